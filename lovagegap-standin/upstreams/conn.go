package upstreams

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// listener enforces the connection limit of a replica: it resets a connection
// above the limit as soon as it is accepted.
type listener struct {
	net.Listener
	upstream *Upstream
}

// Accept returns the next connection within the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, upstream: l.upstream, readableAt: time.Now().Add(l.upstream.connectionCost())}
		if l.upstream.admitConn(c) {
			return c, nil
		}
		c.reset()
	}
}

func (u *Upstream) connectionCost() time.Duration {
	return time.Duration(u.replica.Service.ConnectionCost)
}

// admitConn counts a new connection and assigns it to the running process. It
// returns false if the replica is down or at its limit.
func (u *Upstream) admitConn(c *conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	limit := u.replica.Service.MaxConnections
	if u.faults.Down || (limit > 0 && len(u.conns) >= limit) {
		u.counts.Refused++
		return false
	}
	u.conns[c] = struct{}{}
	c.process = process{bootNumber: u.bootNumber, ctx: u.processCtx}
	u.counts.Accepted++
	u.counts.MaxConnections = max(u.counts.MaxConnections, len(u.conns))
	return true
}

// conn is a connection that can be made silent. Its first read is delayed by the
// cost of a new connection.
type conn struct {
	net.Conn
	upstream   *Upstream
	process    process // that accepted the connection
	readableAt time.Time
	silent     atomic.Bool
	closeOnce  sync.Once
}

// Read returns data. On a silent connection it discards data until the connection
// is closed.
func (c *conn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readableAt); wait > 0 {
		time.Sleep(wait)
	}
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends data. A silent connection discards it and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and no longer counts it towards the limit.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.upstream.mu.Lock()
		delete(c.upstream.conns, c)
		c.upstream.mu.Unlock()
	})
	return err
}

// reset closes the connection with a TCP reset. The server's reader sees the
// closed connection and calls Close, which updates the count.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

type connKey struct{}

// processOf returns the process that accepted the connection of a request.
func processOf(r *http.Request) process { return r.Context().Value(connKey{}).(*conn).process }

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
