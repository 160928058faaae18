// Package upstreams is the adapter that carries sub-requests to upstreams over
// HTTP/1.1.
//
// Each upstream has a connection pool of its own with a hard cap. A connection
// carries one exchange at a time, and a connection whose exchange was abandoned
// is closed: late bytes of an old exchange can never be read as a new answer.
//
// The package keeps its own pool instead of using http.Transport, because it
// must know exactly whether a byte of a request left, must never repeat a POST
// by itself, and needs a cap that changes at run time. Replies are read by
// net/http.
//
// # Usage
//
//	client := upstreams.New(clock.Clock{})
//	defer client.Close()
//	client.SetLimit("10.0.0.7:80", 11)
//	answer := client.Exchange(ctx, upstreams.NewExchange(action, request, service, body))
//	status, err := client.Status(ctx, "10.0.0.7:80")
//	client.Remove("10.0.0.7:80")
package upstreams

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/socket"
)

const (
	defaultDialTimeout = 250 * clock.Millisecond
	defaultIdleTimeout = 30 * clock.Second // below the usual timeout of middleboxes
	// defaultLimit applies until SetLimit names this daemon's share. One
	// connection is the least with which the upstream can be used at all.
	defaultLimit      = 1
	keepAliveInterval = 5 * time.Second
	// defaultCloseGrace is how long a closed connection still counts against the cap.
	// The upstream sees the end about 1 ms later and would refuse a new
	// connection that arrives first.
	defaultCloseGrace = 5 * time.Millisecond
)

// Client holds the connection pools. It is safe for concurrent use.
type Client struct {
	clock            clock.Clock
	dialTimeoutNanos atomic.Int64 // nanoseconds
	idleTimeoutNanos atomic.Int64 // nanoseconds
	closeGrace       time.Duration

	mu     sync.RWMutex // taken before the lock of a pool
	pools  map[upstream.ID]*pool
	closed bool
}

// New returns a client that reads time from c.
func New(c clock.Clock) *Client {
	client := &Client{clock: c, closeGrace: defaultCloseGrace, pools: make(map[upstream.ID]*pool)}
	client.SetTimeouts(defaultDialTimeout, defaultIdleTimeout)
	return client
}

// SetTimeouts changes the time allowed for a new connection and the age at
// which an unused connection is closed.
func (c *Client) SetTimeouts(dial, idle clock.Millis) {
	c.dialTimeoutNanos.Store(int64(dial.Duration()))
	c.idleTimeoutNanos.Store(int64(idle.Duration()))
}

func (c *Client) idleTimeout() clock.Millis {
	return clock.FromDuration(time.Duration(c.idleTimeoutNanos.Load()))
}

// SetLimit sets the number of connections that this daemon may have to an
// upstream. Connections above a lowered limit are closed as they become free.
// At zero every exchange ends as not connected.
func (c *Client) SetLimit(id upstream.ID, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.poolLocked(id).setLimit(max(limit, 0))
	}
}

// Remove closes the connections to an upstream that is gone: idle ones at
// once, others after their exchange. Exchanges that wait end as not connected.
func (c *Client) Remove(id upstream.ID) {
	c.mu.RLock()
	p := c.pools[id]
	c.mu.RUnlock()
	if p == nil {
		return
	}
	p.setLimit(0)
	c.removeIfUnused(p)
}

// removeIfUnused drops the pool of a removed upstream once its last connection is
// closed. Until then it stays, so that an upstream that is added again cannot
// exceed its limit.
func (c *Client) removeIfUnused(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[p.id] == p && p.unused() {
		delete(c.pools, p.id)
	}
}

// CloseIdleConnections closes all idle connections to an upstream.
func (c *Client) CloseIdleConnections(id upstream.ID) { c.pool(id).closeIdle() }

// Connections returns the number of connections that count against the limit
// of an upstream, and how many of them are idle.
func (c *Client) Connections(id upstream.ID) (open, idle int) { return c.pool(id).size() }

// Close closes all idle connections and refuses new exchanges.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.Unlock()
	for _, p := range pools {
		p.setLimit(0)
	}
}

func (c *Client) pool(id upstream.ID) *pool {
	c.mu.RLock()
	p := c.pools[id]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poolLocked(id)
}

// poolLocked returns the pool of an upstream. The caller holds the lock.
func (c *Client) poolLocked(id upstream.ID) *pool {
	p := c.pools[id]
	if p == nil {
		p = &pool{client: c, id: id, limit: defaultLimit}
		if c.closed {
			p.limit = 0
		}
		c.pools[id] = p
	}
	return p
}

func (c *Client) dialer() net.Dialer {
	return net.Dialer{
		Timeout:         time.Duration(c.dialTimeoutNanos.Load()),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control:         socket.SetUserTimeout,
	}
}
