package upstreams

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/entry/body"
	"github.com/lovagegap/lovagegap/entry/socket"
)

const (
	readBufferBytes = 4 << 10
	maxHeadBytes    = 64 << 10
	maxBodyBytes    = 4 << 20
)

// errMalformedReply means that a reply is not HTTP.
var errMalformedReply = errors.New("malformed reply")

// pastDeadline is a deadline that ends reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to an upstream. One exchange uses it at a time.
type conn struct {
	net.Conn
	probe     func() socket.State
	limited   io.LimitedReader
	reader    *bufio.Reader
	idleSince clock.Millis
	reused    bool
	boot      string // process at the other end, "" until known
}

func dial(ctx context.Context, dialer net.Dialer, address string) (*conn, error) {
	inner, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := inner.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = inner.Close()
		return nil, err
	}
	c := &conn{Conn: inner, probe: socket.NewProbe(raw), limited: io.LimitedReader{R: inner}}
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c, nil
}

// exchange writes a request and reads the reply. Sent tells whether a byte of
// the request can have left: the count of Write is exact on a TCP socket.
func (c *conn) exchange(ctx context.Context, deadline time.Time, request []byte, method *http.Request) (r reply, sent bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return reply{}, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	n, err := c.Write(request)
	if err == nil {
		r, err = c.readReply(method)
	}
	if boot := r.header.Get("Lovagegap-Boot"); boot != "" {
		c.boot = boot
	}
	if !stop() {
		// The cancellation may still move the deadline.
		r.reusable = false
	}
	return r, n > 0, err
}

// reply is a reply that was read completely.
type reply struct {
	status   int
	header   http.Header
	body     []byte
	reusable bool
}

func (c *conn) readReply(method *http.Request) (reply, error) {
	c.limited.N = maxHeadBytes
	response, err := http.ReadResponse(c.reader, method)
	if err != nil {
		return reply{}, c.classifyReadError(err)
	}
	// The body is not closed: Close would read an oversized body to its end.
	// After an error the connection is closed instead.
	c.limited.N = maxBodyBytes + maxHeadBytes
	data, err := body.Read(response, maxBodyBytes)
	if err != nil {
		return reply{}, c.classifyReadError(err)
	}
	return reply{
		status: response.StatusCode, header: response.Header, body: data,
		reusable: !response.Close && c.reader.Buffered() == 0,
	}, nil
}

// classifyReadError tells a broken connection from a reply that is not HTTP or too
// large.
func (c *conn) classifyReadError(err error) error {
	var network net.Error
	switch {
	case errors.Is(err, body.ErrOversized), errors.As(err, &network):
		return err
	case c.limited.N <= 0:
		return body.ErrOversized
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	default:
		return errors.Mark(err, errMalformedReply)
	}
}
