package upstreams

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/body"
)

// Exchange is one attempt at a sub-request, with the upstream chosen for it.
type Exchange struct {
	upstream  upstream.ID
	service   string
	requestID string
	shard     snapshot.Shard
	version   snapshot.Version
	deadline  clock.Millis
	body      []byte
	fresh     bool   // only on a new connection
	gated     bool   // the choice respects cold-start concurrency
	boot      string // boot id of the process that may run it unless it is gated; "" for any
}

// NewExchange returns the exchange for an action of kind query.Send. The request
// id at the upstream is requestID and the number of the attempt. The caller does
// not change body while the exchange runs.
func NewExchange(action query.Action, requestID, service string, body []byte) Exchange {
	return Exchange{
		upstream:  action.Choice().Upstream(),
		service:   headerValue(service),
		requestID: headerValue(requestID) + "/" + strconv.FormatUint(uint64(action.Attempt()), 10),
		shard:     action.Shard(),
		version:   action.Version(),
		deadline:  action.At(),
		body:      body,
		fresh:     action.Choice().FreshConnection(),
		gated:     action.Choice().Gated(),
		boot:      action.Choice().Boot(),
	}
}

// headerValue escapes text that comes from callers or peers if it is not a valid
// value of a header.
func headerValue(text string) string {
	if httpguts.ValidHeaderFieldValue(text) {
		return text
	}
	return url.QueryEscape(text)
}

// requestBuffers holds encoded requests. Buffers above maxPooledBufferBytes are
// not kept.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

const maxPooledBufferBytes = 64 << 10

// The method of a request decides whether its reply has a body.
var (
	postRequest = &http.Request{Method: http.MethodPost}
	getRequest  = &http.Request{Method: http.MethodGet}
)

// encode appends the HTTP request to b. remaining is the time until the deadline.
func (e *Exchange) encode(b []byte, remaining clock.Millis) []byte {
	b = append(b, "POST /v1/shards/"...)
	b = strconv.AppendUint(b, uint64(e.shard), 10)
	b = append(b, "/query HTTP/1.1\r\nHost: "...)
	b = append(b, e.upstream...)
	b = append(b, "\r\nContent-Type: application/json\r\nLovagegap-Service: "...)
	b = append(b, e.service...)
	b = append(b, "\r\nLovagegap-Snapshot: "...)
	b = strconv.AppendUint(b, uint64(e.version), 10)
	b = append(b, "\r\nLovagegap-Request: "...)
	b = append(b, e.requestID...)
	b = append(b, "\r\nLovagegap-Deadline: "...)
	b = strconv.AppendFloat(b, float64(remaining), 'f', 3, 64)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(e.body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, e.body...)
}

// Exchange runs e and returns its result. It waits for a connection if all that
// the limit allows are in use, until ctx or the deadline of e ends.
func (c *Client) Exchange(ctx context.Context, e Exchange) query.AttemptResult {
	result, data := c.runExchange(ctx, &e)
	if result.Outcome() != upstream.OK {
		return query.NewAttemptFailure(result)
	}
	return query.NewAttemptResult(result, e.shard, e.version, data)
}

func (c *Client) runExchange(ctx context.Context, e *Exchange) (upstream.Result, []byte) {
	startedAt := c.clock.Now()
	deadline := time.Now().Add((e.deadline - startedAt).Duration())
	p := c.pool(e.upstream)
	r, sent, err := p.send(ctx, e, deadline)
	latency := c.clock.Now() - startedAt
	if err == nil {
		p.recordAnswer()
		return upstream.NewResult(e.outcome(r), latency, r.header.Get("Lovagegap-Boot")), r.body
	}
	outcome := failureOutcome(ctx, err, sent)
	switch outcome {
	case upstream.Timeout:
		// The network path may have failed silently, and with it the idle
		// connections.
		p.closeIdle()
	case upstream.ConnectionLost:
		p.recordConnectionLoss()
	}
	return upstream.NewResult(outcome, latency, ""), nil
}

// send runs e on a connection of the pool. It tries another connection if a
// reused one fails before a byte of the request was sent.
func (p *pool) send(ctx context.Context, e *Exchange, deadline time.Time) (r reply, sent bool, err error) {
	for {
		c, err := p.acquireUntil(ctx, deadline, requirements{fresh: e.fresh, gated: e.gated})
		if err != nil {
			return reply{}, false, err
		}
		reused := c.reused
		if err = p.verifyProcess(ctx, c, e, deadline); err == nil {
			r, sent, err = p.exchangeOn(ctx, c, e, deadline)
		}
		if err == nil || sent || !reused || errors.Is(err, errStaleChoice) || ctx.Err() != nil ||
			!time.Now().Before(deadline) {
			return r, sent, err
		}
		p.recordIdleClosed()
	}
}

// acquireUntil is acquire with a deadline. It needs no timer if a connection is
// idle.
func (p *pool) acquireUntil(ctx context.Context, deadline time.Time, required requirements) (*conn, error) {
	if !required.fresh && ctx.Err() == nil {
		p.mu.Lock()
		c := p.takeIdleLocked()
		p.mu.Unlock()
		if c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return p.acquire(ctx, required)
}

// exchangeOn runs e on c and then releases, discards or abandons c.
func (p *pool) exchangeOn(ctx context.Context, c *conn, e *Exchange, deadline time.Time) (reply, bool, error) {
	buffer := requestBuffers.Get().(*[]byte)
	remaining := max(clock.FromDuration(time.Until(deadline)), 0)
	*buffer = e.encode((*buffer)[:0], remaining)
	r, sent, err := c.exchange(ctx, deadline, *buffer, postRequest)
	if cap(*buffer) <= maxPooledBufferBytes {
		requestBuffers.Put(buffer)
	}
	switch {
	case err != nil && sent && errors.Is(ctx.Err(), context.Canceled):
		p.abandon(c)
	case err != nil || !r.reusable || !e.identifies(r):
		p.discard(c)
	default:
		p.release(c)
	}
	return r, sent, err
}

// failureOutcome returns the outcome of an exchange without a complete reply.
func failureOutcome(ctx context.Context, err error, sent bool) upstream.Outcome {
	var network net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return upstream.Cancelled
	case errors.Is(err, errStaleChoice):
		return upstream.IdleConnectionsClosed
	case !sent:
		return upstream.NotConnected
	case errors.Is(err, errMalformedReply), errors.Is(err, body.ErrOversized), errors.Is(err, body.ErrNoMemory):
		return upstream.Failed
	case errors.As(err, &network) && network.Timeout():
		return upstream.Timeout
	default:
		return upstream.ConnectionLost
	}
}

// matchesRequest reports whether the reply states the request id of e.
func (e *Exchange) matchesRequest(r reply) bool {
	return r.header.Get("Lovagegap-Request") == e.requestID
}

// identifies reports whether the reply is the one to e. An upstream may send a reply
// twice, so on a reused connection it must state the request id. On a new one a reply
// other than 200 may leave it out.
func (e *Exchange) identifies(r reply) bool {
	return e.matchesRequest(r) ||
		(r.status != http.StatusOK && !r.reused && r.header.Get("Lovagegap-Request") == "")
}

// outcome returns the outcome of a reply. One that does not belong to e proves nothing,
// also if it states that its request has not run.
func (e *Exchange) outcome(r reply) upstream.Outcome {
	outcome := replyOutcome(r)
	if !e.identifies(r) || (outcome == upstream.OK && !e.validAnswer(r)) {
		return upstream.Failed
	}
	return outcome
}

// validAnswer reports whether a reply with status 200 is the answer to e. Its body
// becomes part of the answer to the caller, so it must be JSON.
func (e *Exchange) validAnswer(r reply) bool {
	shard, shardErr := strconv.ParseUint(r.header.Get("Lovagegap-Shard"), 10, 32)
	version, versionErr := strconv.ParseUint(r.header.Get("Lovagegap-Snapshot"), 10, 64)
	return shardErr == nil && versionErr == nil &&
		snapshot.Shard(shard) == e.shard && snapshot.Version(version) == e.version &&
		e.matchesRequest(r) && len(r.body) > 0 && json.Valid(r.body)
}

func replyOutcome(r reply) upstream.Outcome {
	switch r.status {
	case http.StatusOK:
		return upstream.OK
	case http.StatusGone:
		return upstream.VersionGone
	case http.StatusMisdirectedRequest:
		return upstream.WrongShard
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if r.header.Get("Lovagegap-Ran") == "not-run" {
			return upstream.Shed
		}
	}
	return upstream.Failed
}
