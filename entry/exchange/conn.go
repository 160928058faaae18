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
	// maxReplies bounds the replies that are read for an exchange, including skipped
	// ones: informational replies and those to other requests.
	maxReplies = 3
)

// errOtherReplies is returned if the last of maxReplies replies was skipped too.
var errOtherReplies = errors.New("no reply to this request among the replies read")

// conn is a connection to a replica. One exchange at a time uses it.
type conn struct {
	net.Conn
	probe      func() socket.State
	limited    io.LimitedReader
	reader     *bufio.Reader
	idleUntil  clock.Millis
	keepAlive  clock.Millis // idle limit that the replica announced, or 0
	reused     bool
	replyBegun bool // whether a byte of a reply was read in the current exchange
	closing    bool // the replica closes the connection after this reply
}

// newConn takes ownership of a TCP connection, also if it returns an error.
func newConn(inner net.Conn) (*conn, error) {
	raw, err := inner.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = inner.Close()
		return nil, err
	}
	c := &conn{Conn: inner, probe: socket.NewProbe(raw), limited: io.LimitedReader{R: inner}}
	c.reader = bufio.NewReaderSize(&c.limited, readBufferBytes)
	return c, nil
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
		if _, err := c.reader.Peek(1); err != nil {
			return nil, false, err
		}
		c.replyBegun = true
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, c.readError(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		c.limited.N = maxBodyBytes + maxHeaderBytes
		data, err := body.Read(response, maxBodyBytes)
		if err != nil {
			return nil, false, c.readError(err)
		}
		if id := response.Header.Get(x.client.headers.RequestID); id != "" && id != x.spec.RequestID {
			continue
		}
		c.recordConnectionHeaders(response)
		reply = &Reply{
			status: response.StatusCode, header: response.Header, body: data,
			seal: response.Header.Get(x.client.headers.Seal),
		}
		return reply, !response.Close && c.reader.Buffered() == 0, nil
	}
	return nil, false, errOtherReplies
}

// recordConnectionHeaders records what a reply says about the connection.
func (c *conn) recordConnectionHeaders(response *http.Response) {
	c.closing = response.Close
	if limit, ok := keepAliveLimit(response.Header.Get("Keep-Alive")); ok {
		c.keepAlive = limit
	}
}

// readError returns body.ErrOversized if the error is due to the size limit.
func (c *conn) readError(err error) error {
	if c.limited.N <= 0 {
		return body.ErrOversized
	}
	return err
}

// classifyFailure returns the result of an exchange of which bytes were sent and that
// got no reply.
func (c *conn) classifyFailure(err error) replica.Result {
	var network net.Error
	switch {
	case errors.As(err, &network) && network.Timeout():
		return replica.Silent
	case c.reused && !c.replyBegun:
		return replica.Closed
	default:
		return replica.Lost
	}
}
