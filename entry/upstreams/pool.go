package upstreams

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/socket"
)

// errNoPlace means that the limit leaves no connection for the exchange.
var errNoPlace = errors.New("no connection allowed")

// pool is the connections to one upstream. Each connection has a place from
// the start of its dial until shortly after its end; the number of places in
// use never exceeds the limit, except after the limit was lowered.
type pool struct {
	client *Client
	id     upstream.ID

	mu      sync.Mutex
	limit   int
	places  int
	closing int     // places of closed connections, in their grace
	idle    []*conn // the most recently used last
	waiting []*waiter
	stale   staleness
	status  context.CancelFunc // ends the running status call
	reaper  *time.Timer
}

// waiter is an exchange without a connection. It receives a used connection,
// or nil for the right to dial. The channel is closed if the limit falls to
// zero.
type waiter struct {
	want
	grant chan *conn
}

// acquire returns a connection for one exchange. A fresh one is always new,
// and the idle ones are closed. It waits for a place until ctx ends.
func (p *pool) acquire(ctx context.Context, want want) (*conn, error) {
	p.mu.Lock()
	if want.fresh {
		p.dropIdle()
	}
	if c := p.takeIdle(); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.limit == 0 {
		p.mu.Unlock()
		return nil, errNoPlace
	}
	if !p.mayDial(want) {
		p.mu.Unlock()
		return nil, errStale
	}
	if p.places < p.limit {
		p.places++
		p.mu.Unlock()
		return p.connect(ctx)
	}
	w := &waiter{want: want, grant: make(chan *conn, 1)}
	p.waiting = append(p.waiting, w)
	if p.status != nil {
		p.status()
	}
	p.mu.Unlock()
	return p.await(ctx, w)
}

func (p *pool) await(ctx context.Context, w *waiter) (*conn, error) {
	select {
	case c, ok := <-w.grant:
		return p.granted(ctx, w, c, ok)
	case <-ctx.Done():
	}
	p.mu.Lock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.mu.Unlock()
		return nil, ctx.Err()
	}
	p.mu.Unlock()
	// The grant was made at the same moment; it goes to the next in line.
	if c, ok := <-w.grant; c != nil {
		p.release(c)
	} else if ok {
		p.freePlace()
	}
	return nil, ctx.Err()
}

func (p *pool) granted(ctx context.Context, w *waiter, c *conn, ok bool) (*conn, error) {
	switch {
	case !ok:
		return nil, errNoPlace
	case c != nil:
		return c, nil
	}
	p.mu.Lock()
	may := p.mayDial(w.want)
	p.mu.Unlock()
	if !may {
		p.freePlace()
		return nil, errStale
	}
	return p.connect(ctx)
}

// connect uses a place that the caller holds.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	c, err := dial(ctx, p.client.dialer(), string(p.id))
	if err != nil {
		if ctx.Err() == nil {
			p.lost()
			p.freePlace()
			return nil, err
		}
		// The upstream may have accepted the connection that was given up.
		p.mu.Lock()
		p.closing++
		p.mu.Unlock()
		p.freeAfterGrace()
		return nil, err
	}
	return c, nil
}

// freeAfterGrace frees the place of a closing connection once the upstream can
// have noticed its end.
func (p *pool) freeAfterGrace() {
	time.AfterFunc(p.client.grace, func() { p.free(1) })
}

// takeIdle returns an idle connection that is still open and not too old.
// The caller holds the lock.
func (p *pool) takeIdle() *conn {
	now := p.client.clock.Now()
	age := p.client.idleAge()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		found := c.probe()
		switch {
		case found == socket.Closed:
			// The upstream does not count it any more.
			_ = c.Close()
			p.places--
			p.stale.found = len(p.idle) == 0
		case found == socket.Open && now-c.idleSince < age:
			c.reused = true
			return c
		default:
			p.close(c)
		}
	}
	return nil
}

// release takes back a connection whose exchange is complete.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.places-p.closing > p.limit {
		p.close(c)
		return
	}
	if len(p.waiting) == 0 {
		c.idleSince = p.client.clock.Now()
		p.idle = append(p.idle, c)
		p.scheduleReap()
		return
	}
	if p.waiting[0].fresh {
		p.close(c)
		return
	}
	c.reused = true
	p.next().grant <- c
}

// discard closes a connection that must not be used again.
func (p *pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(c)
}

// close frees the place after a grace. The caller holds the lock.
func (p *pool) close(c *conn) {
	_ = c.Close()
	p.closing++
	p.freeAfterGrace()
}

func (p *pool) next() *waiter {
	w := p.waiting[0]
	p.waiting = p.waiting[1:]
	return w
}

// freePlace frees the place of a connection that was never opened.
func (p *pool) freePlace() { p.free(0) }

// free frees one place; closing is 1 if its connection was in its grace.
func (p *pool) free(closing int) {
	p.mu.Lock()
	p.places--
	p.closing -= closing
	p.grantPlaces()
	gone := p.limit == 0 && p.places == 0
	p.mu.Unlock()
	if gone {
		p.client.forget(p)
	}
}

func (p *pool) grantPlaces() {
	for p.places < p.limit && len(p.waiting) > 0 {
		p.places++
		p.next().grant <- nil
	}
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for excess := p.places - p.closing - limit; excess > 0 && len(p.idle) > 0; excess-- {
		p.close(p.idle[0])
		p.idle = p.idle[1:]
	}
	for limit == 0 && len(p.waiting) > 0 {
		close(p.next().grant)
	}
	p.grantPlaces()
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle()
}

func (p *pool) dropIdle() {
	for _, c := range p.idle {
		p.close(c)
	}
	p.idle = nil
}

func (p *pool) size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.places, len(p.idle)
}

func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit == 0 && p.places == 0
}

// scheduleReap makes sure that idle connections end at their age also if the
// upstream is not used any more. The caller holds the lock.
func (p *pool) scheduleReap() {
	if p.reaper != nil {
		return
	}
	age := p.client.idleAge()
	p.reaper = time.AfterFunc(age.Duration(), p.reap)
}

// reap closes the connections that have been idle for too long.
func (p *pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.clock.Now()
	age := p.client.idleAge()
	for len(p.idle) > 0 && now-p.idle[0].idleSince >= age {
		p.close(p.idle[0])
		p.idle = p.idle[1:]
	}
	p.reaper = nil
	if len(p.idle) > 0 {
		p.scheduleReap()
	}
}

// acquireSpare returns a connection for a status call, or errNoPlace. It never
// takes the last free one of several; the only one it takes if it is not in
// use. An exchange that finds no place ends the status call by calling stop.
func (p *pool) acquireSpare(ctx context.Context, stop context.CancelFunc) (*conn, error) {
	p.mu.Lock()
	used := p.places - len(p.idle)
	spare := used+1 < p.limit || (p.limit == 1 && used == 0)
	if !spare || p.status != nil {
		p.mu.Unlock()
		return nil, errNoPlace
	}
	p.status = stop
	if c := p.takeIdle(); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.places >= p.limit {
		p.status = nil
		p.mu.Unlock()
		return nil, errNoPlace
	}
	p.places++
	p.mu.Unlock()
	c, err := p.connect(ctx)
	if err != nil {
		p.endStatus()
	}
	return c, err
}

func (p *pool) endStatus() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = nil
}
