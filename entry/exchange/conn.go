package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/entry/body"
	"github.com/lovagegap/lovagegap/entry/socket"
)

const (
	readBufferBytes = 2 << 10
	maxHeaderBytes  = 64 << 10
	maxBodyBytes    = 4 << 20
	// maxReplyMemory bounds the bodies that a client reads at a time, so that replicas
	// that send bytes without end do not use up the memory of the daemon.
	maxReplyMemory = 32 << 20
	// maxUnheldBytes is the size up to which a body that was read does not count in the
	// memory of replies.
	maxUnheldBytes = 64 << 10
	// maxReplies bounds the replies that are read for an exchange, including skipped
	// ones: informational replies and those to other requests.
	maxReplies = 3
)

var (
	// errOtherReplies is returned if the last of maxReplies replies was skipped too.
	errOtherReplies = errors.New("no reply to this request among the replies read")
	// errUnidentifiedReply is returned for a reply on a reused connection that does not
	// state the ID of its request.
	errUnidentifiedReply = errors.New("reply on a reused connection without the ID of its request")
)

// conn is a connection to a replica. One exchange at a time uses it.
type conn struct {
	net.Conn
	probe      func() socket.State
	head       *body.HeadReader // reads from Conn
	limited    io.LimitedReader
	reader     *bufio.Reader
	idleUntil  clock.Millis
	keepAlive  clock.Millis // idle limit that the replica announced, or 0
	reused     bool
	replyBegun bool  // whether a byte of a reply was read in the current exchange
	closing    bool  // the replica closes the connection after this reply
	readErr    error // of the last read, such as io.EOF; the HTTP parser replaces it
}

// Read implements io.Reader.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.head.Read(b)
	c.readErr = err
	return n, err
}

// newConn takes ownership of a TCP connection, also if it returns an error.
func newConn(inner net.Conn, memory *body.Memory) (*conn, error) {
	raw, err := inner.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = inner.Close()
		return nil, err
	}
	c := &conn{Conn: inner, probe: socket.NewProbe(raw), head: body.NewHeadReader(inner).WithMemory(memory)}
	c.limited.R = c
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c, nil
}

// Close closes the connection and gives up the head that is being read.
func (c *conn) Close() error {
	c.head.EndHead()
	return c.Conn.Close()
}

// idleLimit returns how long the connection may stay idle before it is closed.
func (c *conn) idleLimit() clock.Millis {
	if c.keepAlive == 0 {
		return defaultIdleLimit
	}
	return max(0, c.keepAlive-keepAliveMargin)
}

// readReply reads the reply to the request of the exchange, and reports whether the
// connection can be reused. Replies to other requests are skipped, since a replica may
// send a reply twice.
func (c *conn) readReply(x *Exchange) (reply *Reply, reusable bool, err error) {
	request := &http.Request{Method: x.spec.Method}
	c.replyBegun = false
	for range maxReplies {
		c.limited.N = maxHeaderBytes
		c.head.BeginHead(c.buffered())
		if _, err := c.reader.Peek(1); err != nil {
			return nil, false, err
		}
		c.replyBegun = true
		response, err := c.head.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, c.readError(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		c.head.EndHead()
		c.limited.N = maxBodyBytes + maxHeaderBytes
		data, err := body.Read(response, maxBodyBytes, x.client.memory)
		if err != nil {
			return nil, false, c.readError(err)
		}
		id := response.Header.Get(x.client.headers.RequestID)
		if id != "" && id != x.spec.RequestID {
			continue
		}
		if id == "" && c.reused && x.spec.RequestID != "" {
			// It may be the reply to an earlier request on the connection.
			return nil, false, errUnidentifiedReply
		}
		c.recordConnectionHeaders(response)
		return x.client.newReply(response, data, x.spec.RequireSuccess), !response.Close && c.reader.Buffered() == 0, nil
	}
	return nil, false, errOtherReplies
}

// buffered returns the bytes that were read with an earlier reply. They are valid until the
// next read.
func (c *conn) buffered() []byte {
	text, _ := c.reader.Peek(c.reader.Buffered())
	return text
}

// recordConnectionHeaders records what a reply says about the connection.
func (c *conn) recordConnectionHeaders(response *http.Response) {
	c.closing = response.Close
	if limit, ok := keepAliveLimit(response.Header.Get("Keep-Alive")); ok {
		c.keepAlive = limit
	}
}

// errMalformedReply marks errors of replies that are no valid HTTP.
var errMalformedReply = errors.New("reply is not valid HTTP")

// readError returns body.ErrOversized if the error is due to the size limit, and marks
// that of a reply that is no valid HTTP. The error of a reply that the end of the
// connection or the deadline cut is that of the connection.
func (c *conn) readError(err error) error {
	switch {
	case c.limited.N <= 0:
		return body.ErrOversized
	case c.readErr != nil:
		return c.readErr
	case errors.Is(err, body.ErrOversized), errors.Is(err, body.ErrNoMemory):
		return err
	default:
		return errors.Mark(err, errMalformedReply)
	}
}

// classifyFailure returns the result of an exchange of which bytes were sent and that
// got no reply.
func (c *conn) classifyFailure(err error) replica.Result {
	var network net.Error
	switch {
	case errors.As(err, &network) && network.Timeout():
		return replica.Silent
	case errors.Is(err, body.ErrOversized), errors.Is(err, body.ErrNoMemory), errors.Is(err, errMalformedReply),
		errors.Is(err, errOtherReplies), errors.Is(err, errUnidentifiedReply):
		return replica.Garbled
	case c.reused && !c.replyBegun:
		return replica.Closed
	default:
		return replica.Lost
	}
}
