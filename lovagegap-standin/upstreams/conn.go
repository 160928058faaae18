package upstreams

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// listener enforces the connection cap: a connection above it is reset at
// once.
type listener struct {
	net.Listener
	upstream *Upstream
}

// Accept returns the next connection within the cap.
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

// conn is a connection that can fall silent and whose first read waits for the
// cost of a new connection.
type conn struct {
	net.Conn
	upstream   *Upstream
	process    process // to the process that accepted it
	readableAt time.Time
	silent     atomic.Bool
	closeOnce  sync.Once
}

// Read returns data, or on a silent connection nothing until it is closed.
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

// Write sends data; a silent connection discards it.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and frees its place under the cap.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.upstream.mu.Lock()
		delete(c.upstream.conns, c)
		c.upstream.mu.Unlock()
	})
	return err
}

// reset drops the connection with a TCP reset. The server's reader sees the
// closed connection and calls Close, which frees the place.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

type connKey struct{}

// processOf returns the right to run what arrived on the connection of a request.
func processOf(r *http.Request) process { return r.Context().Value(connKey{}).(*conn).process }

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
