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

// Exchange is one sub-request to one upstream.
type Exchange struct {
	upstream  upstream.ID
	service   string
	requestID string
	shard     snapshot.Shard
	version   snapshot.Version
	deadline  clock.Millis
	body      []byte
	fresh     bool
	gated     bool
	boot      string // the process that may run it unless it is gated; "" for any
}

// NewExchange returns the exchange that carries out a Send of a query.
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

// headerValue escapes text that callers chose and that could break out of a
// header line.
func headerValue(text string) string {
	if httpguts.ValidHeaderFieldValue(text) {
		return text
	}
	return url.QueryEscape(text)
}

// requestBuffers holds request buffers up to keptBuffer bytes.
var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

const maxPooledBufferBytes = 64 << 10

// Methods tell the reader of a reply whether it has a body.
var (
	postRequest = &http.Request{Method: http.MethodPost}
	getRequest  = &http.Request{Method: http.MethodGet}
)

// encode appends the request as it is sent.
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

// Exchange carries out one sub-request and returns how it ended. It waits for
// a connection if all that the limit allows are in use.
func (c *Client) Exchange(ctx context.Context, e Exchange) query.AttemptResult {
	result, data := c.runExchange(ctx, &e)
	if result.Outcome() != upstream.OK {
		return query.NewAttemptFailure(result)
	}
	return query.NewAttemptResult(result, e.shard, e.version, data)
}

func (c *Client) runExchange(ctx context.Context, e *Exchange) (upstream.Result, []byte) {
	began := c.clock.Now()
	deadline := time.Now().Add((e.deadline - began).Duration())
	p := c.pool(e.upstream)
	r, sent, err := p.send(ctx, e, deadline)
	latency := c.clock.Now() - began
	if err == nil {
		p.recordAnswer()
		return upstream.NewResult(e.outcome(r), latency, r.header.Get("Lovagegap-Boot")), r.body
	}
	kind := failureOutcome(ctx, err, sent)
	switch kind {
	case upstream.Timeout:
		// The path may have gone silent, so idle connections are suspect.
		p.closeIdle()
	case upstream.ConnectionLost:
		p.recordConnectionLoss()
	}
	return upstream.NewResult(kind, latency, ""), nil
}

// send tries again if a used connection turns out to be closed before a byte
// of the request left.
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
		if err == nil || sent || !reused || errors.Is(err, errStaleChoice) || ctx.Err() != nil || !time.Now().Before(deadline) {
			return r, sent, err
		}
		p.recordIdleClosed()
	}
}

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

func (p *pool) exchangeOn(ctx context.Context, c *conn, e *Exchange, deadline time.Time) (reply, bool, error) {
	buffer := requestBuffers.Get().(*[]byte)
	left := max(clock.FromDuration(time.Until(deadline)), 0)
	*buffer = e.encode((*buffer)[:0], left)
	r, sent, err := c.exchange(ctx, deadline, *buffer, postRequest)
	if cap(*buffer) <= maxPooledBufferBytes {
		requestBuffers.Put(buffer)
	}
	switch {
	case err != nil && sent && errors.Is(ctx.Err(), context.Canceled):
		p.abandon(c)
	case err != nil || !r.reusable || (r.status == http.StatusOK && !e.matchesRequest(r)):
		p.discard(c)
	default:
		p.release(c)
	}
	return r, sent, err
}

// failureOutcome classifies an exchange without a reply.
func failureOutcome(ctx context.Context, err error, sent bool) upstream.Outcome {
	var network net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return upstream.Cancelled
	case errors.Is(err, errStaleChoice):
		return upstream.IdleConnectionsClosed
	case !sent:
		return upstream.NotConnected
	case errors.Is(err, errMalformedReply), errors.Is(err, body.ErrOversized):
		return upstream.Failed
	case errors.As(err, &network) && network.Timeout():
		return upstream.Timeout
	default:
		return upstream.ConnectionLost
	}
}

// matchesRequest reports whether the reply belongs to this sub-request.
func (e *Exchange) matchesRequest(r reply) bool {
	return r.header.Get("Lovagegap-Request") == e.requestID
}

func (e *Exchange) outcome(r reply) upstream.Outcome {
	kind := replyOutcome(r)
	if kind == upstream.OK && !e.validAnswer(r) {
		return upstream.Failed
	}
	return kind
}

// validAnswer checks a reply with status 200. The body becomes part of the answer,
// so it must be JSON.
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
