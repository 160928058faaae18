package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Get returns the value of key. The error is ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	var wire wireValue
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	if _, err := c.getValue(ctx, keyPath(key), &wire); err != nil {
		return Value{}, err
	}
	return wire.value(), nil
}

// Watch blocks until the revision of key is not afterRevision, and returns the
// value. The revision is lower than afterRevision if the platform was restored from
// a backup. The error is ErrUnavailable, also if ctx ends.
func (c *Client) Watch(ctx context.Context, key string, afterRevision uint64) (Value, error) {
	path := keyPath(key) + "?after=" + strconv.FormatUint(afterRevision, 10) + "&wait=" + c.pollWait.String()
	for {
		var wire wireValue
		changed, err := c.pollValue(ctx, path, &wire)
		if err != nil {
			return Value{}, err
		}
		if changed && wire.Revision != afterRevision {
			return wire.value(), nil
		}
	}
}

// pollValue asks the platform to reply at the next change, or after pollWait without
// one. It returns false if nothing changed.
func (c *Client) pollValue(ctx context.Context, path string, target *wireValue) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.pollWait+c.callTimeout)
	defer cancel()
	return c.getValue(ctx, path, target)
}

// VMs returns the list of VMs, which the caller may change. Elements that describe no VM
// are left out and counted by InvalidVMs. The platform does not send the list again if
// it is unchanged since the call before. The error is ErrUnavailable.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	known, tag := c.vmList.load()
	var list vmList
	tag, changed, err := c.getIfChanged(ctx, "/v1/vms", tag, list.decode)
	if err != nil {
		return nil, err
	}
	if !changed {
		return known, nil
	}
	c.invalidVMs.Store(int64(list.skipped))
	c.vmList.store(list.vms, tag)
	return slices.Clone(list.vms), nil
}

// InvalidVMs returns the number of elements of the last list that describe no VM.
func (c *Client) InvalidVMs() int64 { return c.invalidVMs.Load() }

// taggedList is the last list of VMs with its HTTP entity tag. The zero value has
// neither.
type taggedList struct {
	mu  sync.Mutex
	vms []VM
	tag string
}

func (l *taggedList) load() ([]VM, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms), l.tag
}

func (l *taggedList) store(vms []VM, tag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms, l.tag = vms, tag
}

// getValue decodes the reply to a GET of path. It returns false if the platform
// replied that nothing changed.
func (c *Client) getValue(ctx context.Context, path string, target any) (bool, error) {
	_, changed, err := c.getIfChanged(ctx, path, "", func(text []byte) error { return json.Unmarshal(text, target) })
	return changed, err
}

// getIfChanged decodes the reply to a GET of path and returns its entity tag. With a
// tag that is not empty the platform replies in full only if the content has
// changed; otherwise the second result is false.
func (c *Client) getIfChanged(
	ctx context.Context, path, tag string, decode func(text []byte) error,
) (string, bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return "", false, errors.Mark(errors.Wrap(err, "build platform request"), ErrUnavailable)
	}
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return "", false, errors.Mark(errors.Wrapf(err, "get %s", path), ErrUnavailable)
	}
	defer reply.Body.Close()
	switch reply.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return tag, false, nil
	default:
		return "", false, errors.Wrapf(ErrUnavailable, "get %s: status %d", path, reply.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err == nil {
		err = decode(text)
	}
	if err != nil {
		return "", false, errors.Mark(errors.Wrapf(err, "decode %s", path), ErrUnavailable)
	}
	return reply.Header.Get("ETag"), true, nil
}

// CompareAndSwap writes data if key has expectedRevision, and returns the new value.
// With ErrConflict it returns the current value instead. The other errors are
// ErrTooLarge, ErrUnavailable (not written) and ErrUnknownOutcome.
func (c *Client) CompareAndSwap(ctx context.Context, key string, data []byte, expectedRevision uint64) (Value, error) {
	if len(data) > MaxValueBytes {
		return Value{}, errors.Wrapf(ErrTooLarge, "put %s: %d bytes, limit %d", key, len(data), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	path := keyPath(key) + "?expect=" + strconv.FormatUint(expectedRevision, 10)
	// Once the transport has a connection, it may send bytes of the request. It
	// repeats a PUT on its own only if it has sent none.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return Value{}, errors.Mark(errors.Wrap(err, "build platform request"), ErrUnavailable)
	}
	reply, err := c.http.Do(request)
	if err != nil {
		outcome := ErrUnavailable
		if sent.Load() {
			outcome = ErrUnknownOutcome
		}
		return Value{}, errors.Mark(errors.Wrapf(err, "put %s", key), outcome)
	}
	defer reply.Body.Close()
	return decodeWriteReply(key, data, reply)
}

// decodeWriteReply reads the reply to a write. With a status that is not part of the
// protocol the outcome is unknown, since the platform may fail after the write.
func decodeWriteReply(key string, data []byte, reply *http.Response) (Value, error) {
	var wire wireValue
	switch reply.StatusCode {
	case http.StatusOK, http.StatusConflict:
	case http.StatusRequestEntityTooLarge:
		return Value{}, errors.Wrapf(ErrTooLarge, "put %s", key)
	default:
		return Value{}, errors.Wrapf(ErrUnknownOutcome, "put %s: status %d", key, reply.StatusCode)
	}
	if err := decodeReply(reply.Body, &wire); err != nil {
		return Value{}, errors.Mark(errors.Wrapf(err, "put %s", key), ErrUnknownOutcome)
	}
	if reply.StatusCode == http.StatusConflict {
		return wire.value(), errors.Wrapf(ErrConflict, "put %s: current revision %d", key, wire.Revision)
	}
	return NewValue(data, wire.Revision), nil
}

func keyPath(key string) string {
	return (&url.URL{Path: "/v1/keys/" + key}).EscapedPath()
}

func decodeReply(body io.Reader, target any) error {
	return json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(target)
}
