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

// errNoPermit means that the limit leaves no connection for the exchange.
var errNoPermit = errors.New("no connection allowed")

// pool is the connections to one upstream. Each connection has a place from
// the start of its dial until shortly after its end; the number of places in
// use never exceeds the limit, except after the limit was lowered.
type pool struct {
	client *Client
	id     upstream.ID

	mu           sync.Mutex
	limit        int
	permitsInUse int
	closingCount int     // places of closed connections, in their grace
	idle         []*conn // the most recently used last
	waiters      []*waiter
	dialHold     dialHold
	cancelStatus context.CancelFunc // ends the running status call
	reapTimer    *time.Timer
}

// waiter is an exchange without a connection. It receives a used connection,
// or nil for the right to dial. The channel is closed if the limit falls to
// zero.
type waiter struct {
	requirements
	grant chan *conn
}

// acquire returns a connection for one exchange. A fresh one is always new,
// and the idle ones are closed. It waits for a place until ctx ends.
func (p *pool) acquire(ctx context.Context, required requirements) (*conn, error) {
	p.mu.Lock()
	if required.fresh {
		p.closeIdleLocked()
	}
	if c := p.takeIdleLocked(); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.limit == 0 {
		p.mu.Unlock()
		return nil, errNoPermit
	}
	if !p.mayDialLocked(required) {
		p.mu.Unlock()
		return nil, errStaleChoice
	}
	if p.permitsInUse < p.limit {
		p.permitsInUse++
		p.mu.Unlock()
		return p.connect(ctx)
	}
	w := &waiter{requirements: required, grant: make(chan *conn, 1)}
	p.waiters = append(p.waiters, w)
	if p.cancelStatus != nil {
		p.cancelStatus()
	}
	p.mu.Unlock()
	return p.awaitGrant(ctx, w)
}

func (p *pool) awaitGrant(ctx context.Context, w *waiter) (*conn, error) {
	select {
	case c, ok := <-w.grant:
		return p.useGrant(ctx, w, c, ok)
	case <-ctx.Done():
	}
	p.mu.Lock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.mu.Unlock()
		return nil, ctx.Err()
	}
	p.mu.Unlock()
	// The grant was made at the same moment; it goes to the next in line.
	if c, ok := <-w.grant; c != nil {
		p.release(c)
	} else if ok {
		p.releaseUnusedPermit()
	}
	return nil, ctx.Err()
}

func (p *pool) useGrant(ctx context.Context, w *waiter, c *conn, ok bool) (*conn, error) {
	switch {
	case !ok:
		return nil, errNoPermit
	case c != nil:
		return c, nil
	}
	p.mu.Lock()
	may := p.mayDialLocked(w.requirements)
	p.mu.Unlock()
	if !may {
		p.releaseUnusedPermit()
		return nil, errStaleChoice
	}
	return p.connect(ctx)
}

// connect uses a place that the caller holds.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	c, err := dial(ctx, p.client.dialer(), string(p.id))
	if err != nil {
		if ctx.Err() == nil {
			p.recordConnectionLoss()
			p.releaseUnusedPermit()
			return nil, err
		}
		// The upstream may have accepted the connection that was given up.
		p.mu.Lock()
		p.closingCount++
		p.mu.Unlock()
		p.releasePermitAfterGrace()
		return nil, err
	}
	return c, nil
}

// releasePermitAfterGrace frees the place of a closing connection once the upstream can
// have noticed its end.
func (p *pool) releasePermitAfterGrace() {
	time.AfterFunc(p.client.closeGrace, func() { p.releasePermit(1) })
}

// takeIdleLocked returns an idle connection that is still open and not too old.
// The caller holds the lock.
func (p *pool) takeIdleLocked() *conn {
	now := p.client.clock.Now()
	age := p.client.idleTimeout()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		found := c.probe()
		switch {
		case found == socket.Ended:
			// The upstream does not count it any more.
			_ = c.Close()
			p.permitsInUse--
			p.dialHold.unreported = len(p.idle) == 0
		case found == socket.Quiet && now-c.idleSince < age:
			c.reused = true
			return c
		default:
			p.closeLocked(c)
		}
	}
	return nil
}

// release takes back a connection whose exchange is complete.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.permitsInUse-p.closingCount > p.limit {
		p.closeLocked(c)
		return
	}
	if len(p.waiters) == 0 {
		c.idleSince = p.client.clock.Now()
		p.idle = append(p.idle, c)
		p.scheduleReapLocked()
		return
	}
	if p.waiters[0].fresh {
		p.closeLocked(c)
		return
	}
	c.reused = true
	p.nextWaiterLocked().grant <- c
}

// discard closes a connection that must not be used again.
func (p *pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeLocked frees the place after a grace. The caller holds the lock.
func (p *pool) closeLocked(c *conn) {
	_ = c.Close()
	p.closingCount++
	p.releasePermitAfterGrace()
}

func (p *pool) nextWaiterLocked() *waiter {
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	return w
}

// releaseUnusedPermit frees the place of a connection that was never opened.
func (p *pool) releaseUnusedPermit() { p.releasePermit(0) }

// releasePermit frees one place; closing is 1 if its connection was in its grace.
func (p *pool) releasePermit(closing int) {
	p.mu.Lock()
	p.permitsInUse--
	p.closingCount -= closing
	p.grantPermitsLocked()
	gone := p.limit == 0 && p.permitsInUse == 0
	p.mu.Unlock()
	if gone {
		p.client.removeIfUnused(p)
	}
}

func (p *pool) grantPermitsLocked() {
	for p.permitsInUse < p.limit && len(p.waiters) > 0 {
		p.permitsInUse++
		p.nextWaiterLocked().grant <- nil
	}
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for excess := p.permitsInUse - p.closingCount - limit; excess > 0 && len(p.idle) > 0; excess-- {
		p.closeLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
	for limit == 0 && len(p.waiters) > 0 {
		close(p.nextWaiterLocked().grant)
	}
	p.grantPermitsLocked()
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

func (p *pool) closeIdleLocked() {
	for _, c := range p.idle {
		p.closeLocked(c)
	}
	p.idle = nil
}

func (p *pool) size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permitsInUse, len(p.idle)
}

func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit == 0 && p.permitsInUse == 0
}

// scheduleReapLocked makes sure that idle connections end at their age also if the
// upstream is not used any more. The caller holds the lock.
func (p *pool) scheduleReapLocked() {
	if p.reapTimer != nil {
		return
	}
	age := p.client.idleTimeout()
	p.reapTimer = time.AfterFunc(age.Duration(), p.reap)
}

// reap closes the connections that have been idle for too long.
func (p *pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.clock.Now()
	age := p.client.idleTimeout()
	for len(p.idle) > 0 && now-p.idle[0].idleSince >= age {
		p.closeLocked(p.idle[0])
		p.idle = p.idle[1:]
	}
	p.reapTimer = nil
	if len(p.idle) > 0 {
		p.scheduleReapLocked()
	}
}

// acquireSpare returns a connection for a status call, or errNoPlace. It never
// takes the last free one of several; the only one it takes if it is not in
// use. An exchange that finds no place ends the status call by calling stop.
func (p *pool) acquireSpare(ctx context.Context, cancel context.CancelFunc) (*conn, error) {
	p.mu.Lock()
	used := p.permitsInUse - len(p.idle)
	spare := used+1 < p.limit || (p.limit == 1 && used == 0)
	if !spare || p.cancelStatus != nil {
		p.mu.Unlock()
		return nil, errNoPermit
	}
	p.cancelStatus = cancel
	if c := p.takeIdleLocked(); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if p.permitsInUse >= p.limit {
		p.cancelStatus = nil
		p.mu.Unlock()
		return nil, errNoPermit
	}
	p.permitsInUse++
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
	p.cancelStatus = nil
}
