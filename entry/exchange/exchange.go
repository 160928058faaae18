// Package exchange is the adapter that carries requests of callers to replicas
// over HTTP/1.1 and back, unchanged.
//
// A connection carries one exchange at a time. An answer belongs to an exchange
// only if it names its request, so a second answer to an earlier request is
// never taken for this one. The package tells exactly whether a byte of a
// request left, and never repeats a request by itself.
//
// # Usage
//
//	client := exchange.NewClient(clock.Clock{}, exchange.HeaderNames{…})
//	x := client.New(exchange.Spec{…})
//	reply, result := x.Run()     // blocks; one goroutine for each exchange
//	x.Abandon()
package exchange

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

// HeaderNames are the headers between daemons and replicas.
type HeaderNames struct {
	RequestID      string // names the request; a replica echoes it
	Deadline       string // time left in whole milliseconds
	ExpectInstance string // instance that the request is meant for
	NotRun         string // set by a replica that did not run the request
	Seal           string // proof of a replica that it made the answer
}

// Spec describes one exchange.
type Spec struct {
	Address   string
	Instance  string
	Method    string
	Target    string // as in the request line
	Host      string
	Header    http.Header // without headers of one connection
	Body      []byte
	RequestID string // id of the request
	Deadline  clock.Millis
	// NewConnection asks for a connection of its own. Whether a request ran is then
	// known also if the replica closes its idle connections.
	NewConnection bool
	// RequireSuccess says that the answer is one of many that are merged, so that
	// nothing but a success can be used.
	RequireSuccess bool
}

// Reply is an answer of a replica that was read completely.
type Reply struct {
	status int
	header http.Header
	body   []byte
	seal   string
}

// Status returns the status code.
func (r *Reply) Status() int { return r.status }

// Header returns the headers.
func (r *Reply) Header() http.Header { return r.header }

// Body returns the body.
func (r *Reply) Body() []byte { return r.body }

// Seal returns the replica's proof, or "".
func (r *Reply) Seal() string { return r.seal }

// Exchange is one request to one replica.
type Exchange struct {
	client *Client
	spec   Spec

	mu        sync.Mutex
	conn      *conn
	abandoned bool
}

// NewExchange returns an exchange that is not started.
func (c *Client) NewExchange(spec Spec) *Exchange { return &Exchange{client: c, spec: spec} }

// expiredDeadline is a deadline that ends reads and writes at once.
var expiredDeadline = time.Unix(1, 0)

// Abandon says that the answer is not wanted any more. The connection is
// closed, so that the replica drops the request.
func (x *Exchange) Abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
	if x.conn != nil {
		_ = x.conn.SetDeadline(expiredDeadline)
	}
}

// attach ties the exchange to its connection. It returns false if the answer is
// not wanted any more.
func (x *Exchange) attach(c *conn, deadline time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandoned {
		return false
	}
	x.conn = c
	_ = c.SetDeadline(deadline)
	return true
}

// detach reports whether the exchange was abandoned meanwhile.
func (x *Exchange) detach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return x.abandoned
}

// Run carries out the exchange. It returns a reply unless the result says that
// there is none.
func (x *Exchange) Run() (*Reply, replica.Result) {
	now := x.client.clock.Now()
	left := x.spec.Deadline - now
	if left < clock.Millisecond {
		return nil, replica.NotConnected
	}
	deadline := time.Now().Add(left.Duration())
	c, err := x.client.acquire(x.spec.Address, x.spec.NewConnection, deadline)
	if err != nil {
		return nil, replica.NotConnected
	}
	if !x.attach(c, deadline) {
		x.client.release(x.spec.Address, c, x.spec.NewConnection)
		return nil, replica.Abandoned
	}
	reply, result, reusable := x.roundTrip(c)
	abandoned := x.detach()
	if reusable {
		_ = c.SetDeadline(time.Time{})
		x.client.release(x.spec.Address, c, x.spec.NewConnection)
	} else {
		_ = c.Close()
	}
	switch {
	case c.replyBegun:
		x.client.recordReply(x.spec.Address)
	case c.reused && result == replica.Silent:
		x.client.recordSilence(x.spec.Address)
	}
	if abandoned && result != replica.OK && !result.NotRun() {
		result = replica.Abandoned
	}
	return reply, result
}

func (x *Exchange) roundTrip(c *conn) (*Reply, replica.Result, bool) {
	buffer := buffers.Get().(*[]byte)
	*buffer = x.encode((*buffer)[:0])
	sent, err := c.Write(*buffer)
	if cap(*buffer) <= maxPooledBufferBytes {
		buffers.Put(buffer)
	}
	if err != nil && sent == 0 {
		return nil, replica.NotConnected, false
	}
	if err == nil {
		var reply *Reply
		var reusable bool
		if reply, reusable, err = c.readReply(x); err == nil {
			result := x.classify(reply)
			return reply, result, reusable
		}
	}
	return nil, c.classifyFailure(err), false
}

// encode appends the request as it is sent.
func (x *Exchange) encode(b []byte) []byte {
	headers := &x.client.headers
	left := max(1, int64(x.spec.Deadline-x.client.clock.Now()))
	b = append(b, x.spec.Method...)
	b = append(b, ' ')
	b = append(b, x.spec.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, x.spec.Host...)
	b = append(b, "\r\n"...)
	for name, values := range x.spec.Header {
		for _, value := range values {
			b = appendHeader(b, name, value)
		}
	}
	b = appendHeader(b, headers.Deadline, strconv.FormatInt(left, 10))
	if x.spec.Instance != "" {
		b = appendHeader(b, headers.ExpectInstance, x.spec.Instance)
	}
	if len(x.spec.Body) > 0 || methodHasBody(x.spec.Method) {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(x.spec.Body)))
	}
	b = append(b, "\r\n"...)
	return append(b, x.spec.Body...)
}

func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// classify tells what a reply says about the request and the replica.
func (x *Exchange) classify(reply *Reply) replica.Result {
	headers := &x.client.headers
	switch {
	case reply.status == http.StatusMisdirectedRequest:
		return replica.Foreign
	case reply.header.Get(headers.NotRun) != "":
		return replica.Shed
	case reply.status >= http.StatusInternalServerError,
		x.spec.RequireSuccess && reply.status >= http.StatusMultipleChoices:
		return replica.Failed
	case reply.status < http.StatusMultipleChoices && (reply.seal == "" || reply.header.Get("Content-Encoding") != ""):
		return replica.Failed
	default:
		return replica.OK
	}
}
