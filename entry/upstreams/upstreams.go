// Package upstreams sends sub-requests to upstreams over HTTP/1.1.
//
// Each upstream has its own connection pool with a connection limit. A
// connection carries one exchange at a time. A connection whose exchange was
// cancelled or timed out is closed, so that late bytes of its reply cannot be
// read as the reply to the next exchange.
//
// The package has its own pool because http.Transport may repeat a POST by
// itself, does not report whether a byte of a request was sent, and cannot change
// its connection limit at run time. Replies are parsed by net/http.
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
	// defaultLimit is the connection limit until SetLimit sets this daemon's
	// share. It is the smallest limit with which the upstream can be used.
	defaultLimit      = 1
	keepAliveInterval = 5 * time.Second
	// defaultCloseGrace is how long a closed connection still counts against
	// the limit. The upstream notices the close about 1 ms later and would
	// refuse a new connection that arrives before.
	defaultCloseGrace = 5 * time.Millisecond
)

// Client exchanges sub-requests and status calls with upstreams. It holds a
// connection pool for each upstream and is safe for concurrent use.
type Client struct {
	clock            clock.Clock
	dialTimeoutNanos atomic.Int64
	idleTimeoutNanos atomic.Int64
	closeGrace       time.Duration

	mu     sync.RWMutex // acquired before pool.mu
	pools  map[upstream.ID]*pool
	closed bool
}

// New returns a client that reads time from c.
func New(c clock.Clock) *Client {
	client := &Client{clock: c, closeGrace: defaultCloseGrace, pools: make(map[upstream.ID]*pool)}
	client.SetTimeouts(defaultDialTimeout, defaultIdleTimeout)
	return client
}

// SetTimeouts sets the dial timeout and the time after which an idle connection
// is closed.
func (c *Client) SetTimeouts(dial, idle clock.Millis) {
	c.dialTimeoutNanos.Store(int64(dial.Duration()))
	c.idleTimeoutNanos.Store(int64(idle.Duration()))
}

func (c *Client) idleTimeout() clock.Millis {
	return clock.FromDuration(time.Duration(c.idleTimeoutNanos.Load()))
}

// SetLimit sets the number of connections that this daemon may have to an
// upstream. Connections above a lowered limit are closed as soon as no exchange
// uses them. With a limit of zero every new exchange ends as
// upstream.NotConnected.
func (c *Client) SetLimit(id upstream.ID, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.poolLocked(id).setLimit(max(limit, 0))
	}
}

// Remove closes the connections to an upstream: idle ones at once, others after
// their exchange. Exchanges that wait for a connection end as
// upstream.NotConnected.
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

// removeIfUnused deletes the pool of a removed upstream after its last
// connection is closed. Until then the pool stays, so that an upstream that is
// added again does not exceed its limit.
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
// of an upstream, and how many of them are idle. Connections that are being
// dialled or were closed a moment ago count too.
func (c *Client) Connections(id upstream.ID) (open, idle int) { return c.pool(id).size() }

// Close closes all idle connections. New exchanges end as upstream.NotConnected;
// running ones complete.
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

// poolLocked returns the pool of an upstream and creates it if there is none.
// The caller holds c.mu for writing.
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
