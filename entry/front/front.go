// Package front is the adapter for callers whose requests are passed on
// unchanged: it reads a request, hands it to the engine, and writes the answer.
//
// It is a plain http.Handler: any host, method and path may come, and nothing
// may be normalised on the way.
//
// # Usage
//
//	handler := front.New(engine, front.Names{…}, life)
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

// Names are the headers between callers and daemons.
type Names struct {
	RequestID string // names the request
	Deadline  string // time that the caller will wait, in whole milliseconds
	Expect    string // reserved to daemons; not taken from callers
	Seals     string // proofs of the parts of an answer over many shards
	Missing   string // number of shards that are left out
}

// Life tells how far the daemon's life is.
type Life interface {
	// Leaving reports whether callers should use other daemons.
	Leaving() bool
}

var errTooLarge = errors.New("body too large")

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	engine *routing.Engine
	names  Names
	life   Life
}

// New returns a handler.
func New(engine *routing.Engine, names Names, life Life) *Handler {
	return &Handler{engine: engine, names: names, life: life}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := pathOf(r)
	limits, known := h.engine.Limits()
	if known && headerSize(r) > orDefault(limits.MaxHeaderBytes(), defaultHeaderBytes) {
		h.reject(w, r, path, http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
		return
	}
	found, refused := h.engine.MatchRoute(r.Host, path)
	if found == nil {
		h.engine.LogRejected(r.Header.Get(h.names.RequestID), r.Host, path, refused.Status(), refused.Reason())
		h.write(w, r, refused)
		return
	}
	body, err := h.readBody(w, r, found.Timeout(), int64(orDefault(limits.MaxBodyBytes(), defaultBodyBytes)))
	switch {
	case errors.Is(err, errTooLarge):
		h.reject(w, r, path, http.StatusRequestEntityTooLarge, "the body is too large")
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.reject(w, r, path, http.StatusRequestTimeout, "the body did not come in time")
		return
	case err != nil:
		h.reject(w, r, path, http.StatusBadRequest, "the body is incomplete")
		return
	}
	answer := h.engine.Serve(r.Context(), found, h.request(r, body))
	h.write(w, r, answer)
}

// reject answers a request whose body cannot be read to its end.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, path string, status int, reason string) {
	h.engine.LogRejected(r.Header.Get(h.names.RequestID), r.Host, path, status, reason)
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
}

// pathOf returns the path as the caller sent it.
func pathOf(r *http.Request) string {
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
		return nil, errTooLarge
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, err
}

func (h *Handler) request(r *http.Request, body []byte) routing.Request {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	request := routing.Request{
		ID: r.Header.Get(h.names.RequestID), Method: r.Method, Target: target,
		Host: r.Host, Body: body,
	}
	if left, err := strconv.ParseFloat(r.Header.Get(h.names.Deadline), 64); err == nil && left > 0 {
		request.Deadline = clock.Millis(left)
	}
	request.Header = h.forwarded(r.Header)
	return request
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded returns the headers that go to the replica. The header of the
// request is changed, since nobody reads it afterwards.
func (h *Handler) forwarded(header http.Header) http.Header {
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
	header.Del(h.names.Deadline)
	header.Del(h.names.Expect)
	return header
}

// write sends the answer.
func (h *Handler) write(w http.ResponseWriter, r *http.Request, answer routing.Answer) {
	if answer.CallerGone() {
		return
	}
	header := w.Header()
	var body []byte
	switch {
	case answer.Reply() != nil:
		body = passOn(header, answer.Reply())
	case answer.Seals() != nil:
		h.identify(header, r)
		body = h.merged(header, answer)
	default:
		h.identify(header, r)
		body = refusal(header, answer)
	}
	if h.life.Leaving() {
		header.Set("Connection", "close")
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(answer.Status())
	_, _ = w.Write(body)
}

// passOn sets the headers of a replica's answer, except those that concern the
// connection to the replica.
func passOn(header http.Header, reply *exchange.Reply) []byte {
	for name, values := range reply.Header() {
		header[name] = values
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
	return reply.Body()
}

// merged sets the headers of an answer over many shards.
func (h *Handler) merged(header http.Header, answer routing.Answer) []byte {
	header.Set(h.names.Seals, strings.Join(answer.Seals(), ", "))
	header.Set(h.names.Missing, strconv.Itoa(answer.Missing()))
	header.Set("Content-Type", "application/octet-stream")
	return answer.Body()
}

// refusal sets the headers of an answer of the daemon's own.
func refusal(header http.Header, answer routing.Answer) []byte {
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if after := answer.RetryAfter(); after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(float64(after/clock.Second), 'f', 3, 64))
	}
	return []byte(answer.Reason() + "\n")
}

// identify names the request in an answer that no replica named.
func (h *Handler) identify(header http.Header, r *http.Request) {
	if id := r.Header.Get(h.names.RequestID); id != "" {
		header.Set(h.names.RequestID, id)
	}
}
