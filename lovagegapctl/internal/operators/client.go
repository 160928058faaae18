// Package operators is a client of the HTTP API on the operators' port of the
// daemons.
//
// A read goes to the first address that answers. A change goes to the next
// address only if the previous one cannot have received it. Otherwise its outcome
// is unknown (ErrUnknownOutcome), and the caller compares the change id of the
// document in force with that of the change.
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

// Errors of calls, to be tested with errors.Is.
var (
	// ErrUnreachable means that no address answered, or only with status 503.
	ErrUnreachable = errors.New("no daemon answered")
	// ErrRefused means that the daemon answered with an error or a malformed reply.
	ErrRefused = errors.New("request refused by the daemon")
	// ErrConflict means that the expected revision is not the one in force.
	ErrConflict = errors.New("settings changed concurrently")
	// ErrUnknownOutcome means that the change may or may not have been applied.
	ErrUnknownOutcome = errors.New("outcome of the change is unknown")
)

// maxReplyBytes limits the body of a reply. The metrics of a large daemon are the
// longest reply.
const maxReplyBytes = 16 << 20

// ConflictError reports a change whose expected revision is not the one in force.
// It wraps ErrConflict.
type ConflictError struct {
	current Document
}

// NewConflictError returns the error of a change that was refused because current
// is in force.
func NewConflictError(current Document) *ConflictError { return &ConflictError{current: current} }

// Current returns the document that is in force instead.
func (e *ConflictError) Current() Document { return e.current }

// Error returns a message with the revision in force and its author.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: revision %d by %s is in force", ErrConflict, e.current.Revision, e.current.Author)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Client calls the first of several daemons that answers. It is not safe for
// concurrent calls of Apply.
type Client struct {
	addresses []string
	preferred int           // index of the address to which Apply sends first; taken modulo the number of addresses
	timeout   time.Duration // of a call to one address; applyExtraTimeout is added for Apply
	http      *http.Client
}

// applyExtraTimeout is added to the timeout of a change, since a daemon takes up to
// 10 s to find out whether the platform stored it.
const applyExtraTimeout = 10 * time.Second

// maxDialTimeout limits the time to connect, so that an address that drops packets
// leaves time for the next one.
const maxDialTimeout = 2 * time.Second

// New returns a client of the addresses, each HOST:PORT or a URL. The timeout limits
// each call to one address.
func New(addresses []string, timeout time.Duration) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: min(maxDialTimeout, timeout)}).DialContext}
	return &Client{addresses: addresses, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Addresses returns the addresses that the client tries.
func (c *Client) Addresses() []string { return c.addresses }

// At returns a client of a single address with the same timeout and connections.
func (c *Client) At(address string) *Client {
	return &Client{addresses: []string{address}, timeout: c.timeout, http: c.http}
}

// Settings returns the settings document in force.
func (c *Client) Settings(ctx context.Context) (Document, error) {
	return get[Document](ctx, c, "/v1/settings")
}

// Effective returns the values in force at a path, such as "fleet" or "users.NAME".
func (c *Client) Effective(ctx context.Context, path string) (Effective, error) {
	return get[Effective](ctx, c, "/v1/settings/effective?path="+url.QueryEscape(path))
}

// Rollout returns the revision that each daemon has in force.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	return get[Rollout](ctx, c, "/v1/rollout")
}

// Fleet returns the daemons as the one that answers sees them.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	return get[Fleet](ctx, c, "/v1/fleet")
}

// Upstreams returns the replicas of a service, given as USER/SERVICE, or of all
// services if it is empty.
func (c *Client) Upstreams(ctx context.Context, service string) (Upstreams, error) {
	path := "/v1/upstreams"
	if service != "" {
		path += "?service=" + url.QueryEscape(service)
	}
	return get[Upstreams](ctx, c, path)
}

// Events returns the events of a daemon after a sequence number of that daemon.
func (c *Client) Events(ctx context.Context, after uint64) (Events, error) {
	return get[Events](ctx, c, fmt.Sprintf("/v1/events?after=%d", after))
}

// Metrics returns the metrics of a daemon.
func (c *Client) Metrics(ctx context.Context) (Metrics, error) {
	return get[Metrics](ctx, c, "/v1/metrics")
}

// Check has a daemon check a tree without applying it. It returns the problems of
// the tree as a settings.Error.
func (c *Client) Check(ctx context.Context, tree []byte) error {
	r, err := c.callAvailable(ctx, http.MethodPost, "/v1/settings/check", tree)
	if err != nil {
		return err
	}
	return r.statusError()
}

// Drain has the daemon that answers stop after its running queries have ended.
func (c *Client) Drain(ctx context.Context) error {
	r, err := c.callAvailable(ctx, http.MethodPost, "/v1/drain", nil)
	if err != nil {
		return err
	}
	return r.statusError()
}

// Apply sends a change of the settings. It returns a ConflictError if the expected
// revision is not in force, a settings.Error if the tree is invalid, and an error
// that wraps ErrUnknownOutcome if the change may have been applied. In the last case
// the next Apply starts with the next address.
func (c *Client) Apply(ctx context.Context, change Change) (Applied, error) {
	var zero Applied
	body, err := encode(change)
	if err != nil {
		return zero, err
	}
	r, err := c.postChange(ctx, body)
	if err != nil {
		return zero, err
	}
	applied, err := r.applyResult()
	if errors.Is(err, ErrUnknownOutcome) {
		c.preferred++
	}
	return applied, err
}

// applyResult returns the result of a change. A status of 500 and above, or below
// 200, and a malformed reply leave the outcome unknown.
func (r reply) applyResult() (Applied, error) {
	var zero Applied
	switch {
	case r.status == http.StatusConflict:
		return zero, r.conflictError()
	case r.status >= http.StatusInternalServerError, r.status < http.StatusOK:
		return zero, errors.Wrapf(ErrUnknownOutcome, "%s", r.description())
	}
	if err := r.statusError(); err != nil {
		return zero, err
	}
	applied, err := decode[Applied](r)
	if err != nil {
		return zero, errors.Wrapf(ErrUnknownOutcome, "%v", err)
	}
	return applied, nil
}

// postChange posts a change to the addresses in turn until it connects to one.
func (c *Client) postChange(ctx context.Context, body []byte) (reply, error) {
	var lastErr error
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
		lastErr = err
	}
	return reply{}, unreachableError(lastErr)
}

// isDialError reports whether no connection was established, so that the daemon
// cannot have received the request.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// unreachableError wraps ErrUnreachable with the error of the last address.
func unreachableError(lastErr error) error {
	if lastErr == nil {
		return ErrUnreachable
	}
	return errors.Wrapf(ErrUnreachable, "%v", lastErr)
}

// get requests a path from the first daemon that answers and decodes the reply.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var zero T
	r, err := c.callAvailable(ctx, http.MethodGet, path, nil)
	if err != nil {
		return zero, err
	}
	if err := r.statusError(); err != nil {
		return zero, err
	}
	return decode[T](r)
}

func decode[T any](r reply) (T, error) {
	var v T
	if err := json.Unmarshal(r.body, &v); err != nil {
		return v, errors.Wrapf(ErrRefused, "%s: cannot decode reply: %v", r.address, err)
	}
	return v, nil
}

// callAvailable calls the addresses in turn until one answers with a status other
// than 503, which a daemon returns while it starts or leaves.
func (c *Client) callAvailable(ctx context.Context, method, path string, body []byte) (reply, error) {
	var lastErr error
	for _, address := range c.addresses {
		r, err := c.call(ctx, c.timeout, address, method, path, body)
		if err == nil && r.status != http.StatusServiceUnavailable {
			return r, nil
		}
		lastErr = err
		if err == nil {
			lastErr = errors.Newf("%s", r.description())
		}
	}
	return reply{}, unreachableError(lastErr)
}

// call sends one request to one address and reads at most maxReplyBytes of the
// reply. An error means that there is no reply.
func (c *Client) call(
	ctx context.Context, timeout time.Duration, address, method, path string, body []byte,
) (reply, error) {
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

// encode returns JSON without HTML escapes, so that <, > and & in expressions stay
// as they are.
func encode(v any) ([]byte, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// reply is the HTTP response of a daemon.
type reply struct {
	address string
	status  int
	body    []byte
}

// statusError returns the error for a status that is no success: a settings.Error for
// a 422 with problems, otherwise one that wraps ErrRefused.
func (r reply) statusError() error {
	if r.status >= http.StatusOK && r.status < http.StatusMultipleChoices {
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

// conflictError returns a ConflictError, or one that wraps ErrConflict if the reply
// does not contain the document in force.
func (r reply) conflictError() error {
	var e errorReply
	if err := json.Unmarshal(r.body, &e); err != nil || e.Current == nil {
		return errors.Wrapf(ErrConflict, "%s", r.description())
	}
	return &ConflictError{current: *e.Current}
}

// description returns the address, the status and the error message of the reply.
func (r reply) description() string {
	var e errorReply
	text := fmt.Sprintf("%s: status %d", r.address, r.status)
	if err := json.Unmarshal(r.body, &e); err == nil && e.Error.Message != "" {
		text += ": " + e.Error.Message
	}
	return text
}
