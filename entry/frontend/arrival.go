package frontend

import (
	"context"
	"net"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/entry/socket"
)

// callerConnKey is the key of the connection in the context of its requests.
type callerConnKey struct{}

func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
	return ctx
}

// arrival returns how the current request of a connection reached the daemon. It is called
// once for each request.
func arrival(ctx context.Context) dispatch.Arrival {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return dispatch.Arrival{}
	}
	c.requests++
	found := dispatch.Arrival{Waited: clock.FromDuration(time.Since(c.beganAt))}
	if c.requests == 1 {
		// The handshake has just measured the round trip. Later estimates of the kernel
		// contain the time for which the caller delays its acknowledgements.
		c.roundTrip = clock.FromDuration(socket.RoundTrip(c.Conn))
		found.NewConnection, found.Silent = true, clock.FromDuration(c.beganAt.Sub(c.acceptedAt))
	}
	found.RoundTrip = c.roundTrip
	return found
}

// Read reads from the connection and notes when a request begins.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.idle {
		c.idle, c.beganAt = false, time.Now()
	}
	return n, err
}
