package front

import (
	"net"
	"net/http"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/route"
)

// Limits that hold where the configuration names none.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * clock.Second
	defaultIdleTimeout   = 15 * clock.Second
)

// maxHeaderBytes bounds what is read of a header before its limit is applied.
const maxHeaderBytes = 256 << 10

// The timeouts of the server are placeholders: the connections replace them by
// those of the configuration that is in force when the wait begins.
const (
	headerPlaceholder = 48 * time.Hour
	idlePlaceholder   = 24 * time.Hour
)

// NewServer returns a server for callers on connections of a Listener.
func NewServer(h *Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerPlaceholder, IdleTimeout: idlePlaceholder, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Listen returns a listener whose connections keep to the timeouts in force.
func Listen(l net.Listener, limits func() (route.Limits, bool)) net.Listener {
	return &listener{Listener: l, limits: limits}
}

type listener struct {
	net.Listener
	limits func() (route.Limits, bool)
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits}, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	limits func() (route.Limits, bool)
}

// SetReadDeadline sets the deadline, or that of the configuration in force if it
// is a placeholder of the server.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	const midpoint = (headerPlaceholder + idlePlaceholder) / 2
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limits, _ := c.limits()
	switch left := time.Until(t); {
	case left > midpoint:
		t = time.Now().Add(positiveOr(limits.HeaderTimeout(), defaultHeaderTimeout).Duration())
	case left > idlePlaceholder/2:
		t = time.Now().Add(positiveOr(limits.IdleTimeout(), defaultIdleTimeout).Duration())
	}
	return c.Conn.SetReadDeadline(t)
}

func positiveOr[T int | clock.Millis](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// headerBytes returns the bytes of the header of a request.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("Host: ") + 6
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}
