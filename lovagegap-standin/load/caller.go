package load

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxReplyBytes        = 64 << 20 // longer replies are truncated
	readyPollInterval    = 50 * time.Millisecond
	maxIdleConnsPerEntry = 256
	exampleQuery         = `{"text":"example"}`
)

// caller sends queries to the entry addresses in rotation. It is safe for
// concurrent use.
type caller struct {
	Options
	httpClient http.Client

	mu                sync.Mutex
	addresses         []string
	nextIndex         int
	addressesExpireAt time.Time
}

func newCaller(o Options) *caller {
	if o.Body == "" {
		o.Body = exampleQuery
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry}
	return &caller{Options: o, httpClient: http.Client{Transport: transport}, addresses: o.Entries}
}

func (c *caller) close() { c.httpClient.CloseIdleConnections() }

// awaitReady waits until every entry daemon is ready and, with WarmUp, has answered
// each service completely. It returns ErrNotReady after ReadyTimeout.
func (c *caller) awaitReady(ctx context.Context) error {
	if c.ReadyTimeout <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.ReadyTimeout)
	defer cancel()
	for _, entry := range c.Entries {
		if err := c.pollUntil(ctx, entry, func() bool { return c.isReady(ctx, entry) }); err != nil {
			return err
		}
		if err := c.warmUp(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

// warmUp queries each service until one answer is complete, which means that the
// daemon has connected to the upstreams. These queries are not measured.
func (c *caller) warmUp(ctx context.Context, entry string) error {
	if !c.WarmUp {
		return nil
	}
	for _, service := range c.Services {
		complete := func() bool {
			r := c.queryEntry(ctx, entry, service, time.Now())
			return r.errorCode == "" && r.shardsTotal > 0 && r.shardsCovered == r.shardsTotal
		}
		if err := c.pollUntil(ctx, entry+" for "+service, complete); err != nil {
			return err
		}
	}
	return nil
}

// pollUntil calls done until it returns true. It returns ErrNotReady, with subject in
// its message, once ctx has ended.
func (c *caller) pollUntil(ctx context.Context, subject string, done func() bool) error {
	for !done() {
		if !sleepUntil(ctx, time.Now().Add(readyPollInterval)) {
			return errors.Wrapf(ErrNotReady, "%s after %s", subject, c.ReadyTimeout)
		}
	}
	return nil
}

func (c *caller) isReady(ctx context.Context, entry string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/ready", nil)
	if err != nil {
		return false
	}
	reply, err := c.httpClient.Do(request)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// nextEntry returns the entry address for the next query, and requests new
// addresses first if theirs have expired.
func (c *caller) nextEntry(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.FollowAddresses && !time.Now().Before(c.addressesExpireAt) {
		c.refreshAddresses(ctx)
	}
	c.nextIndex++
	return c.addresses[c.nextIndex%len(c.addresses)]
}

// refreshAddresses requests the entry addresses from the first daemon that replies.
// If none does, the old addresses stay in use for another second. The caller holds
// the lock.
func (c *caller) refreshAddresses(ctx context.Context) {
	c.addressesExpireAt = time.Now().Add(time.Second)
	candidates := append(slices.Clone(c.addresses), c.Entries...)
	for _, address := range candidates {
		advice, err := c.requestAddresses(ctx, address)
		if err == nil && len(advice.Addresses) > 0 {
			c.addresses = advice.Addresses
			c.addressesExpireAt = time.Now().Add(advice.validFor())
			return
		}
	}
}

func (c *caller) requestAddresses(ctx context.Context, address string) (addressAdvice, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var advice addressAdvice
	target := "http://" + address + "/v1/addresses?dataCentre=" + url.QueryEscape(c.DataCentre)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return advice, err
	}
	reply, err := c.httpClient.Do(request)
	if err != nil {
		return advice, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return advice, errors.Newf("request addresses from %s: status %d", address, reply.StatusCode)
	}
	return advice, json.NewDecoder(reply.Body).Decode(&advice)
}

// result is the outcome of one query.
type result struct {
	latency       time.Duration // since the time when the query was due
	errorCode     string        // "" for an answer
	shardsTotal   int
	shardsCovered int
	body          []byte
}

func (c *caller) query(ctx context.Context, service string, due time.Time) result {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+replyGrace)
	defer cancel()
	return c.queryEntry(ctx, c.nextEntry(ctx), service, due)
}

func (c *caller) queryEntry(ctx context.Context, entry, service string, due time.Time) result {
	target := "http://" + entry + "/v1/users/" + url.PathEscape(c.User) + "/services/" + url.PathEscape(service) + "/query"
	body, err := json.Marshal(queryRequest{Query: json.RawMessage(c.Body), Deadline: c.Deadline.String()})
	if err != nil {
		return result{errorCode: "bad-body"}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return result{errorCode: "bad-address"}
	}
	request.Header.Set("Content-Type", "application/json")
	reply, err := c.httpClient.Do(request)
	if err != nil {
		return result{latency: time.Since(due), errorCode: transportErrorCode(ctx, "connection")}
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return result{latency: time.Since(due), errorCode: transportErrorCode(ctx, "interrupted")}
	}
	return decodeResult(reply.StatusCode, text, time.Since(due))
}

// transportErrorCode returns code, or "timeout" if ctx has ended.
func transportErrorCode(ctx context.Context, code string) string {
	if ctx.Err() != nil {
		return "timeout"
	}
	return code
}

func decodeResult(status int, text []byte, latency time.Duration) result {
	var wire queryReply
	if err := json.Unmarshal(text, &wire); err != nil {
		return result{latency: latency, errorCode: "bad-reply"}
	}
	r := result{latency: latency, body: text, shardsTotal: wire.Coverage.Asked, shardsCovered: wire.Coverage.Covered}
	if status != http.StatusOK {
		r.errorCode = cmp.Or(wire.Error.Code, http.StatusText(status), "bad-status")
	}
	return r
}
