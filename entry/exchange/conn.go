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
	readBuffer   = 2 << 10
	maxHeadSize  = 64 << 10
	maxReplySize = 4 << 20
	// maxStrays bounds the answers of earlier requests that are skipped.
	maxStrays = 3
)

// errStray means that a connection gave only replies to other requests.
var errStray = errors.New("reply to another request")

// conn is a connection to a replica. One exchange uses it at a time.
type conn struct {
	net.Conn
	probe   func() socket.State
	limited io.LimitedReader
	reader  *bufio.Reader
	expires clock.Millis
	idle    clock.Millis // the replica's own limit, or 0
	reused  bool
	heard   bool // whether a byte of the current answer has come
	last    bool // the replica closes after this answer
}

func newConn(inner net.Conn) (*conn, error) {
	raw, err := inner.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = inner.Close()
		return nil, err
	}
	c := &conn{Conn: inner, probe: socket.NewProbe(raw), limited: io.LimitedReader{R: inner}}
	c.reader = bufio.NewReaderSize(&c.limited, readBuffer)
	return c, nil
}

func (c *conn) idleLimit() clock.Millis {
	if c.idle == 0 {
		return defaultIdle
	}
	return max(0, c.idle-idleMargin)
}

// readReply reads the answer to the exchange. Answers to other requests are
// skipped: a replica may send one twice.
func (c *conn) readReply(x *Exchange) (reply *Reply, reusable bool, err error) {
	request := &http.Request{Method: x.spec.Method}
	c.heard = false
	for range maxStrays {
		c.limited.N = maxHeadSize
		if _, err := c.reader.Peek(1); err != nil {
			return nil, false, err
		}
		c.heard = true
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, false, c.readError(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		c.limited.N = maxReplySize + maxHeadSize
		data, err := body.Read(response, maxReplySize)
		if err != nil {
			return nil, false, c.readError(err)
		}
		if id := response.Header.Get(x.client.names.RequestID); id != "" && id != x.spec.Request {
			continue
		}
		c.note(response)
		reply = &Reply{
			status: response.StatusCode, header: response.Header, body: data,
			seal: response.Header.Get(x.client.names.Seal),
		}
		return reply, !response.Close && c.reader.Buffered() == 0, nil
	}
	return nil, false, errStray
}

func (c *conn) note(response *http.Response) {
	c.last = response.Close
	if limit, ok := keepAliveLimit(response.Header.Get("Keep-Alive")); ok {
		c.idle = limit
	}
}

func (c *conn) readError(err error) error {
	if c.limited.N <= 0 {
		return body.ErrOversized
	}
	return err
}

// failure classifies an exchange without a reply after bytes were sent.
func (c *conn) failure(err error) replica.Result {
	var network net.Error
	switch {
	case errors.As(err, &network) && network.Timeout():
		return replica.Silent
	case c.reused && !c.heard:
		return replica.Closed
	default:
		return replica.Lost
	}
}
