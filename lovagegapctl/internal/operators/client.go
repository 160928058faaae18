// Package operators is the client of the daemons' operators' port.
//
// A read goes to the first address that answers. A change goes on to the next
// address only if the one before cannot have received it; otherwise the caller
// learns that the outcome is unknown and resolves it by the change id.
//
// # Usage
//
//	c := operators.New([]string{"127.0.0.1:17110"}, 5*time.Second)
//	document, err := c.Settings(ctx)
package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/settings"
)

// Errors of a call.
var (
	// ErrUnreachable: no address answered.
	ErrUnreachable = errors.New("no daemon answers")
	// ErrRefused: the daemon answered with an error.
	ErrRefused = errors.New("the daemon refused")
	// ErrConflict: the settings were changed by somebody else meanwhile.
	ErrConflict = errors.New("the settings were changed meanwhile")
	// ErrUnknown: the change may or may not have been applied.
	ErrUnknownOutcome = errors.New("the outcome is unknown")
)

// maxReplyBytes bounds a reply. A metrics reply of a large daemon is the longest.
const maxReplyBytes = 16 << 20

// ConflictError carries the document that is in force instead.
type ConflictError struct {
	current Document
}

// NewConflictError returns the error of a race that current won.
func NewConflictError(current Document) *ConflictError { return &ConflictError{current: current} }

// Current returns the document in force.
func (e *ConflictError) Current() Document { return e.current }

// Error names the revision in force and its author.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: revision %d by %s is in force", ErrConflict, e.current.Revision, e.current.Author)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Client calls the first of several daemons that answers.
type Client struct {
	addresses []string
	preferred int // position of the address that a change goes to first
	timeout   time.Duration
	http      *http.Client
}

// applyExtraTimeout is added to the timeout of a change: a daemon takes up to 10 s
// to find out whether the platform took it.
const applyExtraTimeout = 10 * time.Second

// maxDialTimeout bounds the time to connect, so that an address that swallows
// packets leaves time for the next one.
const maxDialTimeout = 2 * time.Second

// New returns a client; timeout bounds each call to one address.
func New(addresses []string, timeout time.Duration) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: min(maxDialTimeout, timeout)}).DialContext}
	return &Client{addresses: addresses, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Addresses returns the addresses that the client tries.
func (c *Client) Addresses() []string { return c.addresses }

// At returns a client for a single address.
func (c *Client) At(address string) *Client {
	return &Client{addresses: []string{address}, timeout: c.timeout, http: c.http}
}

// Settings returns the document in force.
func (c *Client) Settings(ctx context.Context) (Document, error) {
	return get[Document](ctx, c, "/v1/settings")
}

// Effective returns the values in force at a path.
func (c *Client) Effective(ctx context.Context, path string) (Effective, error) {
	return get[Effective](ctx, c, "/v1/settings/effective?path="+url.QueryEscape(path))
}

// Rollout returns how far the settings have come.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	return get[Rollout](ctx, c, "/v1/rollout")
}

// Fleet returns the daemons.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	return get[Fleet](ctx, c, "/v1/fleet")
}

// Upstreams returns the replicas of a service, or of all for "".
func (c *Client) Upstreams(ctx context.Context, service string) (Upstreams, error) {
	path := "/v1/upstreams"
	if service != "" {
		path += "?service=" + url.QueryEscape(service)
	}
	return get[Upstreams](ctx, c, path)
}

// Events returns the events after a sequence number.
func (c *Client) Events(ctx context.Context, after uint64) (Events, error) {
	return get[Events](ctx, c, fmt.Sprintf("/v1/events?after=%d", after))
}

// Metrics returns the metrics of a daemon.
func (c *Client) Metrics(ctx context.Context) (Metrics, error) {
	return get[Metrics](ctx, c, "/v1/metrics")
}

// Check has a daemon check a tree. Problems are returned as a settings.Error.
func (c *Client) Check(ctx context.Context, tree []byte) error {
	r, err := c.callAvailable(ctx, http.MethodPost, "/v1/settings/check", tree)
	if err != nil {
		return err
	}
	return r.statusError()
}

// Drain has the daemon stop after its running queries.
func (c *Client) Drain(ctx context.Context) error {
	r, err := c.callAvailable(ctx, http.MethodPost, "/v1/drain", nil)
	if err != nil {
		return err
	}
	return r.statusError()
}

// Apply proposes a change. The error is a ConflictError, a settings.Error or
// wraps ErrUnknown if the change may have been applied; the next Apply then
// starts with the next address.
func (c *Client) Apply(ctx context.Context, change Change) (Applied, error) {
	var none Applied
	body, err := encode(change)
	if err != nil {
		return none, err
	}
	r, err := c.postChange(ctx, body)
	if err != nil {
		return none, err
	}
	applied, err := r.applyResult()
	if errors.Is(err, ErrUnknownOutcome) {
		c.preferred++
	}
	return applied, err
}

// applyResult interprets the reply to a change.
func (r reply) applyResult() (Applied, error) {
	var none Applied
	switch {
	case r.status == http.StatusConflict:
		return none, r.conflictError()
	case r.status >= http.StatusInternalServerError:
		return none, errors.Wrapf(ErrUnknownOutcome, "%s", r.description())
	}
	if err := r.statusError(); err != nil {
		return none, err
	}
	applied, err := decode[Applied](r)
	if err != nil {
		return none, errors.Wrapf(ErrUnknownOutcome, "%v", err)
	}
	return applied, nil
}

// postChange posts to the addresses in turn until a connection is made.
func (c *Client) postChange(ctx context.Context, body []byte) (reply, error) {
	var last error
	for i := range c.addresses {
		address := c.addresses[(c.preferred+i)%len(c.addresses)]
		r, err := c.call(ctx, c.timeout+applyExtraTimeout, address, http.MethodPost, "/v1/settings/apply", body)
		if err == nil {
			return r, nil
		}
		if !isDialError(err) {
			c.preferred += i + 1
			return reply{}, errors.Wrapf(ErrUnknownOutcome, "%v", err)
		}
		last = err
	}
	return reply{}, unreachableError(last)
}

// isDialError reports whether the connection was never established, so that the
// daemon cannot have received anything.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func unreachableError(last error) error {
	if last == nil {
		return ErrUnreachable
	}
	return errors.Wrapf(ErrUnreachable, "%v", last)
}

// get gets and decodes a path.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var none T
	r, err := c.callAvailable(ctx, http.MethodGet, path, nil)
	if err != nil {
		return none, err
	}
	if err := r.statusError(); err != nil {
		return none, err
	}
	return decode[T](r)
}

func decode[T any](r reply) (T, error) {
	var v T
	if err := json.Unmarshal(r.body, &v); err != nil {
		return v, errors.Wrapf(ErrRefused, "%s: the reply cannot be read: %v", r.address, err)
	}
	return v, nil
}

// callAvailable calls the addresses in turn until one answers. A daemon that is starting
// or leaving answers 503 and does not count.
func (c *Client) callAvailable(ctx context.Context, method, path string, body []byte) (reply, error) {
	var last error
	for _, address := range c.addresses {
		r, err := c.call(ctx, c.timeout, address, method, path, body)
		if err == nil && r.status != http.StatusServiceUnavailable {
			return r, nil
		}
		last = err
		if err == nil {
			last = errors.Newf("%s", r.description())
		}
	}
	return reply{}, unreachableError(last)
}

func (c *Client) call(ctx context.Context, timeout time.Duration, address, method, path string, body []byte) (reply, error) {
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply{}, err
	}
	return reply{address: address, status: response.StatusCode, body: content}, nil
}

// encode writes JSON without changing the characters of expressions.
func encode(v any) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// reply is what a daemon answered.
type reply struct {
	address string
	status  int
	body    []byte
}

// statusError returns the error that a status of 300 and above stands for.
func (r reply) statusError() error {
	if r.status < http.StatusMultipleChoices {
		return nil
	}
	if r.status == http.StatusUnprocessableEntity {
		var problems problemsReply
		if err := json.Unmarshal(r.body, &problems); err == nil && len(problems.Problems) > 0 {
			return settings.NewError(problems.Problems)
		}
	}
	return errors.Wrapf(ErrRefused, "%s", r.description())
}

func (r reply) conflictError() error {
	var e errorReply
	if err := json.Unmarshal(r.body, &e); err != nil || e.Current == nil {
		return errors.Wrapf(ErrConflict, "%s", r.description())
	}
	return &ConflictError{current: *e.Current}
}

// description names the daemon, the status and the daemon's message.
func (r reply) description() string {
	var e errorReply
	text := fmt.Sprintf("%s: status %d", r.address, r.status)
	if err := json.Unmarshal(r.body, &e); err == nil && e.Error.Message != "" {
		text += ": " + e.Error.Message
	}
	return text
}
