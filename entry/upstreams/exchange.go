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
	upstream upstream.ID
	service  string
	request  string
	shard    snapshot.Shard
	version  snapshot.Version
	deadline clock.Millis
	body     []byte
	fresh    bool
	gated    bool
	boot     string // the process that may run it unless it is gated; "" for any
}

// NewExchange returns the exchange that carries out a Send of a query.
func NewExchange(action query.Action, request, service string, body []byte) Exchange {
	return Exchange{
		upstream: action.Choice().Upstream(),
		service:  headerValue(service),
		request:  headerValue(request) + "/" + strconv.FormatUint(uint64(action.Attempt()), 10),
		shard:    action.Shard(),
		version:  action.Version(),
		deadline: action.At(),
		body:     body,
		fresh:    action.Choice().FreshConnection(),
		gated:    action.Choice().Gated(),
		boot:     action.Choice().Boot(),
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

// buffers holds request buffers up to keptBuffer bytes.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

const keptBuffer = 64 << 10

// Methods tell the reader of a reply whether it has a body.
var (
	post = &http.Request{Method: http.MethodPost}
	get  = &http.Request{Method: http.MethodGet}
)

// encode appends the request as it is sent.
func (e *Exchange) encode(b []byte, left clock.Millis) []byte {
	b = append(b, "POST /v1/shards/"...)
	b = strconv.AppendUint(b, uint64(e.shard), 10)
	b = append(b, "/query HTTP/1.1\r\nHost: "...)
	b = append(b, e.upstream...)
	b = append(b, "\r\nContent-Type: application/json\r\nLovagegap-Service: "...)
	b = append(b, e.service...)
	b = append(b, "\r\nLovagegap-Snapshot: "...)
	b = strconv.AppendUint(b, uint64(e.version), 10)
	b = append(b, "\r\nLovagegap-Request: "...)
	b = append(b, e.request...)
	b = append(b, "\r\nLovagegap-Deadline: "...)
	b = strconv.AppendFloat(b, float64(left), 'f', 3, 64)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(e.body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, e.body...)
}

// Exchange carries out one sub-request and returns how it ended. It waits for
// a connection if all that the limit allows are in use.
func (c *Client) Exchange(ctx context.Context, e Exchange) query.AttemptResult {
	result, data := c.carry(ctx, &e)
	if result.Outcome() != upstream.OK {
		return query.NewAttemptFailure(result)
	}
	return query.NewAttemptResult(result, e.shard, e.version, data)
}

func (c *Client) carry(ctx context.Context, e *Exchange) (upstream.Result, []byte) {
	began := c.clock.Now()
	deadline := time.Now().Add((e.deadline - began).Duration())
	p := c.pool(e.upstream)
	r, sent, err := p.send(ctx, e, deadline)
	latency := c.clock.Now() - began
	if err == nil {
		p.answered()
		return upstream.NewResult(e.kind(r), latency, r.header.Get("Lovagegap-Boot")), r.body
	}
	kind := failure(ctx, err, sent)
	switch kind {
	case upstream.Timeout:
		// The path may have gone silent, so idle connections are suspect.
		p.closeIdle()
	case upstream.ConnectionLost:
		p.lost()
	}
	return upstream.NewResult(kind, latency, ""), nil
}

// send tries again if a used connection turns out to be closed before a byte
// of the request left.
func (p *pool) send(ctx context.Context, e *Exchange, deadline time.Time) (r reply, sent bool, err error) {
	for {
		c, err := p.acquireUntil(ctx, deadline, want{fresh: e.fresh, gated: e.gated})
		if err != nil {
			return reply{}, false, err
		}
		reused := c.reused
		if err = p.prove(ctx, c, e, deadline); err == nil {
			r, sent, err = p.use(ctx, c, e, deadline)
		}
		if err == nil || sent || !reused || errors.Is(err, errStale) || ctx.Err() != nil || !time.Now().Before(deadline) {
			return r, sent, err
		}
		p.ended()
	}
}

func (p *pool) acquireUntil(ctx context.Context, deadline time.Time, w want) (*conn, error) {
	if !w.fresh && ctx.Err() == nil {
		p.mu.Lock()
		c := p.takeIdle()
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
	return p.acquire(ctx, w)
}

func (p *pool) use(ctx context.Context, c *conn, e *Exchange, deadline time.Time) (reply, bool, error) {
	buffer := buffers.Get().(*[]byte)
	left := max(clock.FromDuration(time.Until(deadline)), 0)
	*buffer = e.encode((*buffer)[:0], left)
	r, sent, err := c.exchange(ctx, deadline, *buffer, post)
	if cap(*buffer) <= keptBuffer {
		buffers.Put(buffer)
	}
	switch {
	case err != nil && sent && errors.Is(ctx.Err(), context.Canceled):
		p.abandon(c)
	case err != nil || !r.reusable || (r.status == http.StatusOK && !e.answered(r)):
		p.discard(c)
	default:
		p.release(c)
	}
	return r, sent, err
}

// failure classifies an exchange without a reply.
func failure(ctx context.Context, err error, sent bool) upstream.Outcome {
	var network net.Error
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return upstream.Cancelled
	case errors.Is(err, errStale):
		return upstream.IdleConnectionsClosed
	case !sent:
		return upstream.NotConnected
	case errors.Is(err, errMalformed), errors.Is(err, body.ErrOversized):
		return upstream.Failed
	case errors.As(err, &network) && network.Timeout():
		return upstream.Timeout
	default:
		return upstream.ConnectionLost
	}
}

// answered reports whether the reply belongs to this sub-request.
func (e *Exchange) answered(r reply) bool {
	return r.header.Get("Lovagegap-Request") == e.request
}

func (e *Exchange) kind(r reply) upstream.Outcome {
	kind := replyKind(r)
	if kind == upstream.OK && !e.valid(r) {
		return upstream.Failed
	}
	return kind
}

// valid checks a reply with status 200. The body becomes part of the answer,
// so it must be JSON.
func (e *Exchange) valid(r reply) bool {
	shard, shardErr := strconv.ParseUint(r.header.Get("Lovagegap-Shard"), 10, 32)
	version, versionErr := strconv.ParseUint(r.header.Get("Lovagegap-Snapshot"), 10, 64)
	return shardErr == nil && versionErr == nil &&
		snapshot.Shard(shard) == e.shard && snapshot.Version(version) == e.version &&
		e.answered(r) && len(r.body) > 0 && json.Valid(r.body)
}

func replyKind(r reply) upstream.Outcome {
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
