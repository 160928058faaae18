// Package front is the adapter for callers whose requests are passed on
// unchanged: it reads a request, hands it to the engine, and writes the answer.
//
// It is a plain http.Handler: any host, method and path may come, and nothing
// may be normalised on the way.
//
// # Usage
//
//	handler := front.New(engine, front.HeaderNames{…}, life)
//	server := front.NewServer(handler)
//	err := server.Serve(front.Listen(listener, engine.Limits))
package front

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/entry/exchange"
	"github.com/lovagegap/lovagegap/entry/routing"
)

// HeaderNames are the headers between callers and daemons.
type HeaderNames struct {
	RequestID      string // names the request
	Deadline       string // time that the caller will wait, in whole milliseconds
	ExpectInstance string // reserved to daemons; not taken from callers
	Seals          string // proofs of the parts of an answer over many shards
	MissingShards  string // number of shards that are left out
}

// Lifecycle tells how far the daemon's life is.
type Lifecycle interface {
	// Leaving reports whether callers should use other daemons.
	Leaving() bool
}

var errBodyTooLarge = errors.New("body too large")

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	engine    *routing.Engine
	headers   HeaderNames
	lifecycle Lifecycle
}

// New returns a handler.
func New(engine *routing.Engine, headers HeaderNames, lifecycle Lifecycle) *Handler {
	return &Handler{engine: engine, headers: headers, lifecycle: lifecycle}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := rawPath(r)
	limits, configured := h.engine.Limits()
	if configured && headerBytes(r) > positiveOr(limits.MaxHeaderBytes(), defaultHeaderBytes) {
		h.reject(w, r, path, http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
		return
	}
	matched, refusal := h.engine.Admit(r.Host, path)
	if matched == nil {
		h.engine.LogRejected(r.Header.Get(h.headers.RequestID), r.Host, path, refusal.Status(), refusal.Reason())
		h.writeAnswer(w, r, refusal)
		return
	}
	body, err := h.readBody(w, r, matched.Timeout(), int64(positiveOr(limits.MaxBodyBytes(), defaultBodyBytes)))
	switch {
	case errors.Is(err, errBodyTooLarge):
		h.reject(w, r, path, http.StatusRequestEntityTooLarge, "the body is too large")
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.reject(w, r, path, http.StatusRequestTimeout, "the body did not come in time")
		return
	case err != nil:
		h.reject(w, r, path, http.StatusBadRequest, "the body is incomplete")
		return
	}
	answer := h.engine.Do(r.Context(), matched, h.newRequest(r, body))
	h.writeAnswer(w, r, answer)
}

// reject answers a request whose body cannot be read to its end.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, path string, status int, reason string) {
	h.engine.LogRejected(r.Header.Get(h.headers.RequestID), r.Host, path, status, reason)
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
}

// rawPath returns the path as the caller sent it.
func rawPath(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		return path
	}
	return r.URL.EscapedPath()
}

// readBody reads the body, which must come within the timeout.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, timeout clock.Millis, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout.Duration()))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, err
}

func (h *Handler) newRequest(r *http.Request, body []byte) routing.Request {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	request := routing.Request{
		ID: r.Header.Get(h.headers.RequestID), Method: r.Method, Target: target,
		Host: r.Host, Body: body,
	}
	if left, err := strconv.ParseFloat(r.Header.Get(h.headers.Deadline), 64); err == nil && left > 0 {
		request.Deadline = clock.Millis(left)
	}
	request.Header = h.forwardedHeader(r.Header)
	return request
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns the headers that go to the replica. The header of the
// request is changed, since nobody reads it afterwards.
func (h *Handler) forwardedHeader(header http.Header) http.Header {
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
	header.Del(h.headers.Deadline)
	header.Del(h.headers.ExpectInstance)
	return header
}

// writeAnswer sends the answer.
func (h *Handler) writeAnswer(w http.ResponseWriter, r *http.Request, answer routing.Answer) {
	if answer.Gone() {
		return
	}
	header := w.Header()
	var body []byte
	switch {
	case answer.Reply() != nil:
		body = writeReplicaHeaders(header, answer.Reply())
	case answer.Seals() != nil:
		h.echoRequestID(header, r)
		body = h.writeMergedHeaders(header, answer)
	default:
		h.echoRequestID(header, r)
		body = writeRefusalHeaders(header, answer)
	}
	if h.lifecycle.Leaving() {
		header.Set("Connection", "close")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Status())
	_, _ = w.Write(body)
}

// writeReplicaHeaders sets the headers of a replica's answer, except those that concern the
// connection to the replica.
func writeReplicaHeaders(header http.Header, reply *exchange.Reply) []byte {
	for name, values := range reply.Header() {
		header[name] = values
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
	return reply.Body()
}

// writeMergedHeaders sets the headers of an answer over many shards.
func (h *Handler) writeMergedHeaders(header http.Header, answer routing.Answer) []byte {
	header.Set(h.headers.Seals, strings.Join(answer.Seals(), ", "))
	header.Set(h.headers.MissingShards, strconv.Itoa(answer.Missing()))
	header.Set("Content-Type", "application/octet-stream")
	return answer.Body()
}

// writeRefusalHeaders sets the headers of an answer of the daemon's own.
func writeRefusalHeaders(header http.Header, answer routing.Answer) []byte {
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if after := answer.RetryAfter(); after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(float64(after/clock.Second), 'f', 3, 64))
	}
	return []byte(answer.Reason() + "\n")
}

// echoRequestID names the request in an answer that no replica named.
func (h *Handler) echoRequestID(header http.Header, r *http.Request) {
	if id := r.Header.Get(h.headers.RequestID); id != "" {
		header.Set(h.headers.RequestID, id)
	}
}
