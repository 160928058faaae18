package frontend

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/route"
)

// Limits that apply where the configuration sets none.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * clock.Second
	defaultIdleTimeout   = 15 * clock.Second
)

// maxHeaderBytes bounds what the server reads of a header. The limit of the
// configuration applies once the header has been read.
const maxHeaderBytes = 256 << 10

// The timeouts of the server are placeholders. An http.Server cannot change its
// timeouts, so callerConn recognises the deadlines that they give and replaces them by
// those of the configuration that is in force when the wait begins.
const (
	headerPlaceholder = 48 * time.Hour
	idlePlaceholder   = 24 * time.Hour
)

// NewServer returns a server for callers. It must serve a listener that Listen returned,
// which applies the timeouts.
func NewServer(h *Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerPlaceholder, IdleTimeout: idlePlaceholder, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withCallerConn,
	}
}

// Listen wraps a listener so that its connections apply the header and idle timeouts in
// force. The function limits is called for each wait and must be safe for concurrent use.
func Listen(l net.Listener, limits func() (route.Limits, bool)) net.Listener {
	return &listener{Listener: l, limits: limits}
}

type listener struct {
	net.Listener
	limits func() (route.Limits, bool)
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits, acceptedAt: time.Now(), idle: true}, nil
}

// callerConn is a connection of a caller that applies the timeouts in force.
type callerConn struct {
	net.Conn
	limits func() (route.Limits, bool)

	// The server's goroutine of the connection uses the following fields.
	acceptedAt time.Time
	idle       bool         // waits for the first byte of a request
	beganAt    time.Time    // first byte read of the current request
	requests   int          // requests read
	roundTrip  clock.Millis // 0 if it is not known
}

// SetReadDeadline sets the deadline. One that stems from a placeholder of the server is
// replaced by that of the configuration in force.
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
		c.idle = true
		t = time.Now().Add(positiveOr(limits.IdleTimeout(), defaultIdleTimeout).Duration())
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side.
func (c *callerConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// HeadBytes returns the limit of heads of requests under limits that may not be known yet.
func HeadBytes(limits func() (route.Limits, bool)) int {
	if inForce, configured := limits(); configured {
		return positiveOr(inForce.MaxHeaderBytes(), defaultHeaderBytes)
	}
	return maxHeaderBytes
}

// positiveOr returns the value if it is positive, and else the fallback.
func positiveOr[T int | clock.Millis](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// headerBytes returns the size in bytes of the request line and the headers as the
// caller sent them, without the final empty line.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host) + len("Host: ") + 6
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return size
}
