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

// errNoPermit means that the connection limit leaves no connection for the call.
var errNoPermit = errors.New("no connection available within the connection limit")

// pool holds the connections to one upstream. Each connection holds a permit
// from the start of its dial until shortly after its close. The permits in use
// exceed the limit only after the limit was lowered.
//
// Methods with the suffix Locked require that the caller holds mu.
type pool struct {
	client *Client
	id     upstream.ID

	mu           sync.Mutex
	limit        int
	permitsInUse int
	closingCount int     // permits of closed connections in their close grace
	idle         []*conn // most recently used last
	waiters      []*waiter
	dialHold     dialHold
	cancelStatus context.CancelFunc // cancels the running status call; nil if there is none
	reapTimer    *time.Timer
}

// waiter is an exchange that waits for a connection. grant delivers an open
// connection, or nil for a permit to dial. It is closed when the limit becomes
// zero.
type waiter struct {
	requirements
	grant chan *conn
}

// acquire returns a connection for one exchange. If a fresh connection is
// required, it closes the idle ones and dials. It waits for a permit until ctx
// ends. It returns errNoPermit, errStaleChoice, an error of the dial or the
// error of ctx.
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

// awaitGrant waits until w receives a connection or a permit, or ctx ends.
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
	// The grant came as ctx ended. It passes to the next waiter.
	if c, ok := <-w.grant; c != nil {
		p.release(c)
	} else if ok {
		p.releaseUnusedPermit()
	}
	return nil, ctx.Err()
}

// useGrant returns the connection that w received, or dials if it received a
// permit. ok is false if the channel was closed.
func (p *pool) useGrant(ctx context.Context, w *waiter, c *conn, ok bool) (*conn, error) {
	switch {
	case !ok:
		return nil, errNoPermit
	case c != nil:
		return c, nil
	}
	p.mu.Lock()
	allowed := p.mayDialLocked(w.requirements)
	p.mu.Unlock()
	if !allowed {
		p.releaseUnusedPermit()
		return nil, errStaleChoice
	}
	return p.connect(ctx)
}

// connect dials with a permit that the caller holds. On an error the permit is
// released.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	c, err := dial(ctx, p.client.dialer(), string(p.id))
	if err != nil {
		if ctx.Err() == nil {
			p.recordConnectionLoss()
			p.releaseUnusedPermit()
			return nil, err
		}
		// The upstream may have accepted the connection before the dial was
		// cancelled.
		p.mu.Lock()
		p.closingCount++
		p.mu.Unlock()
		p.releasePermitAfterGrace()
		return nil, err
	}
	return c, nil
}

// releasePermitAfterGrace releases the permit of a closed connection when the
// upstream has had time to notice the close.
func (p *pool) releasePermitAfterGrace() {
	time.AfterFunc(p.client.closeGrace, func() { p.releasePermit(1) })
}

// takeIdleLocked returns the most recently used idle connection that is still
// open and within the idle timeout, or nil. It closes the others that it meets.
func (p *pool) takeIdleLocked() *conn {
	now := p.client.clock.Now()
	age := p.client.idleTimeout()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		state := c.probe()
		switch {
		case state == socket.Closed:
			// The upstream closed it and counts it no longer.
			_ = c.Close()
			p.permitsInUse--
			p.dialHold.unreported = len(p.idle) == 0
		case state == socket.Open && now-c.idleSince < age:
			c.reused = true
			return c
		default:
			p.closeLocked(c)
		}
	}
	return nil
}

// release returns a connection whose exchange is complete to the pool.
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

// closeLocked closes a connection and releases its permit after the close grace.
func (p *pool) closeLocked(c *conn) {
	_ = c.Close()
	p.closingCount++
	p.releasePermitAfterGrace()
}

// nextWaiterLocked removes the first waiter. There must be one.
func (p *pool) nextWaiterLocked() *waiter {
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	return w
}

// releaseUnusedPermit releases the permit of a connection that was never opened.
func (p *pool) releaseUnusedPermit() { p.releasePermit(0) }

// releasePermit releases one permit. closing is 1 if its connection was in its
// close grace, otherwise 0.
func (p *pool) releasePermit(closing int) {
	p.mu.Lock()
	p.permitsInUse--
	p.closingCount -= closing
	p.grantPermitsLocked()
	unused := p.limit == 0 && p.permitsInUse == 0
	p.mu.Unlock()
	if unused {
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

// unused reports whether the upstream was removed and all its connections are
// closed.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit == 0 && p.permitsInUse == 0
}

// scheduleReapLocked starts the timer that closes idle connections at the idle
// timeout even if no exchange uses the pool again.
func (p *pool) scheduleReapLocked() {
	if p.reapTimer != nil {
		return
	}
	age := p.client.idleTimeout()
	p.reapTimer = time.AfterFunc(age.Duration(), p.reap)
}

// reap closes the connections that have reached the idle timeout.
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

// acquireSpare returns a connection for a status call, or errNoPermit. It leaves
// at least one connection free for exchanges; with a limit of one it takes that
// connection if no exchange uses it. An exchange that finds no permit calls
// cancel. After a success the caller calls endStatus when the call is over.
func (p *pool) acquireSpare(ctx context.Context, cancel context.CancelFunc) (*conn, error) {
	p.mu.Lock()
	inUse := p.permitsInUse - len(p.idle)
	spare := inUse+1 < p.limit || (p.limit == 1 && inUse == 0)
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
