// Package exchange is an HTTP/1.1 client that forwards requests of callers to
// replicas, and their replies back, unchanged.
//
// A connection carries one exchange at a time. A reply that carries the ID of another
// request is skipped, so a second reply to an earlier request is never returned for a
// later one. Unlike net/http, the package reports exactly whether a byte of the
// request was sent, and never retries a request by itself.
//
// # Usage
//
//	client := exchange.NewClient(clock.Clock{}, exchange.HeaderNames{…})
//	x := client.NewExchange(exchange.Spec{…})
//	reply, result := x.Run() // blocks; one goroutine for each exchange
//	x.Abandon()              // from another goroutine
package exchange

import (
	"math"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/entry/body"
)

// HeaderNames are the names of the headers between daemons and replicas.
type HeaderNames struct {
	RequestID      string // ID of the request, which the replica echoes
	Deadline       string // time left to the deadline in whole milliseconds
	ExpectInstance string // instance for which the request is meant
	NotRun         string // set by a replica that refused the request without running it
	Seal           string // by which a replica proves that it produced the reply
	Leaving        string // set to "1" in all replies of a replica that is about to shut down
}

// Spec describes an exchange. It must not be modified until the exchange has ended.
type Spec struct {
	Address   string // IP:port of the replica
	Instance  string // sent as HeaderNames.ExpectInstance unless empty
	Method    string
	Target    string // path and query, as in the request line
	Host      string
	Header    http.Header // without hop-by-hop headers; contains the ID of the request
	Body      []byte
	RequestID string       // a reply with another ID is skipped
	Deadline  clock.Millis // on the clock of the client
	// NewConnection requires a new connection, which is closed after the exchange. On
	// a reused one it can be unknown whether the request ran, since the replica may
	// close it for being idle while the request is sent.
	NewConnection bool
	// RequireSuccess makes any reply from status 300 a failure. It is for replies that
	// are merged with those of other shards, where only a success can be used.
	RequireSuccess bool
}

// Reply is the complete reply of a replica. It is not modified after Run returned it.
type Reply struct {
	status  int
	header  http.Header
	body    []byte
	seal    string
	notices replica.Notices
	holding *body.Holding // of a large body
}

// newReply returns the reply with the body that was read from the response. A large body
// that is sent to a caller as it is counts in the memory until the reply is released; those
// that are merged with others are not kept.
func (c *Client) newReply(response *http.Response, data []byte, merged bool) *Reply {
	r := &Reply{
		status: response.StatusCode, header: response.Header, body: data,
		seal: response.Header.Get(c.headers.Seal), notices: c.readNotices(response),
	}
	if !merged && len(data) > maxUnheldBytes {
		r.holding = c.memory.Hold(int64(len(data)))
		// For replies that reach no caller, such as the later one after a hedge.
		runtime.AddCleanup(r, (*body.Holding).Release, r.holding)
	}
	return r
}

// Release states that the body was sent or given up. It may be called more than once.
func (r *Reply) Release() { r.holding.Release() }

// readNotices returns what the reply states about the replica. A Retry-After that is
// not a number of seconds is ignored and counted.
func (c *Client) readNotices(response *http.Response) replica.Notices {
	notices := replica.Notices{Leaving: c.headers.Leaving != "" && response.Header.Get(c.headers.Leaving) == "1"}
	if response.StatusCode != http.StatusServiceUnavailable {
		return notices
	}
	if text := response.Header.Get("Retry-After"); text != "" {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(seconds >= 0) || math.IsInf(seconds, 0) {
			c.ignoredRetryAfters.Add(1)
			return notices
		}
		notices.RetryAfter = clock.Second * clock.Millis(seconds)
	}
	return notices
}

// Status returns the status code.
func (r *Reply) Status() int { return r.status }

// Header returns the headers. They must not be modified.
func (r *Reply) Header() http.Header { return r.header }

// Body returns the body. It must not be modified.
func (r *Reply) Body() []byte { return r.body }

// Seal returns the seal by which the replica proves that it produced the reply, or
// "".
func (r *Reply) Seal() string { return r.seal }

// Sealed reports whether the replica proves that it produced the reply, and its body
// unless the reply is an error.
func (r *Reply) Sealed() bool {
	return r.seal != "" && (r.status >= http.StatusMultipleChoices || r.header.Get("Content-Encoding") == "")
}

// Notices returns what the reply states about the replica.
func (r *Reply) Notices() replica.Notices { return r.notices }

// Exchange is one request to one replica. Run may be called once; Abandon is safe for
// concurrent use.
type Exchange struct {
	client *Client
	spec   Spec

	mu          sync.Mutex
	conn        *conn
	connectedAt clock.Millis // 0 before it
	abandoned   bool
}

// NewExchange returns an exchange that starts when Run is called.
func (c *Client) NewExchange(spec Spec) *Exchange { return &Exchange{client: c, spec: spec} }

// expiredDeadline makes blocked reads and writes of a connection fail immediately.
var expiredDeadline = time.Unix(1, 0)

// Abandon cancels the exchange, before or during Run. The connection is closed, so that
// the replica can cancel the request.
func (x *Exchange) Abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
	if x.conn != nil {
		_ = x.conn.SetDeadline(expiredDeadline)
	}
}

// attach assigns the connection to the exchange and sets its deadline. It returns false
// if the exchange has been abandoned.
func (x *Exchange) attach(c *conn, deadline time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandoned {
		return false
	}
	x.conn = c
	x.connectedAt = x.client.clock.Now()
	_ = c.SetDeadline(deadline)
	return true
}

// ConnectedAt returns the instant at which the exchange had a connection, and false if
// it had none.
func (x *Exchange) ConnectedAt() (clock.Millis, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.connectedAt, x.connectedAt > 0
}

// detach removes the connection from the exchange, and reports whether the exchange has
// been abandoned.
func (x *Exchange) detach() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = nil
	return x.abandoned
}

// Run sends the request and reads the reply. It blocks until the reply is complete, the
// deadline passes or the exchange is abandoned. The reply is nil if none was read to its
// end, as with replica.NotConnected, replica.Silent, replica.Closed and replica.Lost.
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
	// Once released, the connection belongs to the exchange that uses it next.
	reused, replyBegun := c.reused, c.replyBegun
	abandoned := x.detach()
	if reusable {
		_ = c.SetDeadline(time.Time{})
		x.client.release(x.spec.Address, c, x.spec.NewConnection)
	} else {
		_ = c.Close()
	}
	switch {
	case replyBegun:
		x.client.recordReply(x.spec.Address)
	case reused && result == replica.Silent:
		x.client.recordSilence(x.spec.Address)
	}
	if abandoned && result != replica.OK && !result.NotRun() {
		result = replica.Abandoned
	}
	return reply, result
}

// roundTrip writes the request and reads the reply. It also returns whether the
// connection can be reused.
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

// encode appends the request in wire format to b.
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

// classify returns the result for a complete reply. One without a seal comes from no
// replica, and a success with a Content-Encoding is not its body.
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
	case !reply.Sealed():
		return replica.Failed
	default:
		return replica.OK
	}
}
