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
	maxHeadBytes    = 64 << 10 // status line and headers of a reply
	maxBodyBytes    = 4 << 20
	maxReplyMemory  = 32 << 20
	// maxReplyHeads bounds the heads that are read for an exchange: those of informational
	// replies and of the final one.
	maxReplyHeads = 3
)

// replyMemory bounds the bodies that are read at a time, so that upstreams that send
// bytes without end do not use up the memory of the daemon.
var replyMemory = body.NewMemory(maxReplyMemory)

// LimitReplyMemory bounds the memory of the replies that are read at a time to less than
// the default, for all clients of the process.
func LimitReplyMemory(bytes int64) { replyMemory.SetLimit(min(bytes, maxReplyMemory)) }

// errMalformedReply means that a reply is not valid HTTP.
var errMalformedReply = errors.New("reply is not valid HTTP")

// pastDeadline makes reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to an upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	probe     func() socket.State // state of the idle socket
	head      *body.HeadReader    // reads from Conn
	limited   io.LimitedReader    // bounds what reader reads for one reply
	reader    *bufio.Reader
	idleSince clock.Millis
	reused    bool   // carried an exchange before
	boot      string // boot id of the process at the other end, "" if unknown
}

func dial(ctx context.Context, dialer net.Dialer, address string) (*conn, error) {
	tcp, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := tcp.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = tcp.Close()
		return nil, err
	}
	c := &conn{Conn: tcp, probe: socket.NewProbe(raw), head: body.NewHeadReader(tcp).WithMemory(replyMemory)}
	c.limited.R = c.head
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c, nil
}

// Close closes the connection and gives up the head that is being read.
func (c *conn) Close() error {
	c.head.EndHead()
	return c.Conn.Close()
}

// exchange writes a request and reads the reply. sent reports whether a byte of
// the request may have been sent; the count that Write returns is exact on a TCP
// socket. method is a request with the method of the exchange, which decides
// whether the reply has a body. The end of ctx interrupts the exchange.
func (c *conn) exchange(
	ctx context.Context, deadline time.Time, request []byte, method *http.Request,
) (r reply, sent bool, err error) {
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
		// The cancelled context may still set pastDeadline, during a later exchange.
		r.reusable = false
	}
	return r, n > 0, err
}

// reply is a reply that was read completely. The connection may carry another
// exchange if reusable is true.
type reply struct {
	status   int
	header   http.Header
	body     []byte
	reusable bool
	reused   bool // the connection carried an exchange before
}

// readReply reads the reply to a request of the given method. It skips informational
// replies, which the final one follows.
func (c *conn) readReply(method *http.Request) (reply, error) {
	response, err := c.readHead(method)
	for range maxReplyHeads - 1 {
		if err != nil || response.StatusCode >= http.StatusOK {
			break
		}
		response, err = c.readHead(method)
	}
	switch {
	case err != nil:
		return reply{}, c.classifyReadError(err)
	case response.StatusCode < http.StatusOK:
		return reply{}, errors.Wrapf(errMalformedReply, "more than %d informational replies", maxReplyHeads-1)
	}
	// Close would read an oversized body to its end, so the connection is
	// closed instead after an error.
	c.head.EndHead()
	c.limited.N = maxBodyBytes + maxHeadBytes
	data, err := body.Read(response, maxBodyBytes, replyMemory)
	if err != nil {
		return reply{}, c.classifyReadError(err)
	}
	return reply{
		status: response.StatusCode, header: response.Header, body: data,
		reusable: !response.Close && c.reader.Buffered() == 0, reused: c.reused,
	}, nil
}

func (c *conn) readHead(method *http.Request) (*http.Response, error) {
	c.limited.N = maxHeadBytes
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.head.BeginHead(buffered)
	return c.head.ReadResponse(c.reader, method)
}

// classifyReadError marks the error of a reply that is not valid HTTP as
// errMalformedReply, and returns body.ErrOversized for a head above its limit.
// Errors of the connection stay as they are.
func (c *conn) classifyReadError(err error) error {
	var network net.Error
	switch {
	case errors.Is(err, body.ErrOversized), errors.Is(err, body.ErrNoMemory), errors.As(err, &network):
		return err
	case c.limited.N <= 0:
		return body.ErrOversized
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	default:
		return errors.Mark(err, errMalformedReply)
	}
}
