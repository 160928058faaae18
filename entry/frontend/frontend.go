// Package frontend serves callers whose requests are forwarded unchanged: it reads a
// request, passes it to the routing engine and writes the answer.
//
// Its Handler is a plain http.Handler without a router, since requests for any host,
// method and path must be forwarded without normalisation.
//
// # Usage
//
//	handler := frontend.New(engine, frontend.HeaderNames{…}, lifecycle)
//	server := frontend.NewServer(handler)
//	err := server.Serve(frontend.Listen(listener, engine.Limits))
package frontend

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/connlimit"
	"github.com/lovagegap/lovagegap/entry/exchange"
	"github.com/lovagegap/lovagegap/entry/routing"
)

// HeaderNames are the names of the headers between callers and daemons.
type HeaderNames struct {
	RequestID      string // ID of the request
	Deadline       string // time that the caller will wait, in milliseconds
	ExpectInstance string // set by daemons only; removed from requests of callers
	Seals          string // seals of the replicas whose replies an answer over many shards contains
	MissingShards  string // number of shards missing from an answer over many shards
	Key            string // key of the caller's tenant; empty if there are no tenants
	Tenant         string // name of the tenant, for replicas; empty if there are no tenants
}

// Lifecycle reports the state of the daemon. It must be safe for concurrent use.
type Lifecycle interface {
	// Leaving reports whether the planned stop has begun, so that callers should use
	// other daemons.
	Leaving() bool
}

// Handler serves requests of callers. It is safe for concurrent use.
type Handler struct {
	engine    *routing.Engine
	headers   HeaderNames
	lifecycle Lifecycle
}

// New returns a handler that passes requests to the engine.
func New(engine *routing.Engine, headers HeaderNames, lifecycle Lifecycle) *Handler {
	return &Handler{engine: engine, headers: headers, lifecycle: lifecycle}
}

// ServeHTTP serves one request. It changes the header of r.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := rawPath(r)
	limits, configured := h.engine.Limits()
	if configured && headerBytes(r) > positiveOr(limits.MaxHeaderBytes(), defaultHeaderBytes) {
		h.reject(w, r, path, http.StatusRequestHeaderFieldsTooLarge, "request header exceeds the limit")
		return
	}
	matched, refusal := h.engine.MatchRoute(r.Host, path)
	if matched == nil {
		h.engine.LogRejected(r.Header.Get(h.headers.RequestID), r.Host, path, refusal.Status(), refusal.Reason())
		h.writeAnswer(w, r, refusal)
		return
	}
	authorization, refused, ok := h.authorize(r, matched)
	if !ok {
		h.rejectUnauthorized(w, r, path, refused)
		return
	}
	body, err := connlimit.ReadBody(w, r, int64(positiveOr(limits.MaxBodyBytes(), defaultBodyBytes)), matched.Timeout().Duration())
	switch {
	case errors.Is(err, connlimit.ErrNoMemory):
		w.Header().Set("Retry-After", connlimit.RetryAfter)
		fallthrough
	case err != nil:
		status, reason := connlimit.RefusalOf(err)
		h.reject(w, r, path, status, reason)
		return
	}
	request := h.newRequest(r, body, authorization)
	request.Arrival = arrival(r.Context())
	answer := h.engine.Serve(r.Context(), matched, request)
	h.writeAnswer(w, r, answer)
	// The server would flush the answer only after the handler, out of its sight.
	if http.NewResponseController(w).Flush() == nil {
		h.engine.RecordWritten(answer)
	}
}

// reject answers a request that is refused before its body has been read to the end. It
// closes the connection instead of reading the rest of the body.
func (h *Handler) reject(w http.ResponseWriter, r *http.Request, path string, status int, reason string) {
	h.engine.LogRejected(r.Header.Get(h.headers.RequestID), r.Host, path, status, reason)
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
}

// authorize checks the key of a request, before its body is read.
func (h *Handler) authorize(r *http.Request, matched *route.Route) (routing.Authorization, routing.Answer, bool) {
	if h.headers.Key == "" {
		return routing.Authorization{}, routing.Answer{}, true
	}
	return h.engine.Authorize(matched, r.Header.Values(h.headers.Key))
}

// rejectUnauthorized answers a request without a valid key. Like reject, it closes the
// connection instead of reading a body.
func (h *Handler) rejectUnauthorized(w http.ResponseWriter, r *http.Request, path string, refused routing.Answer) {
	h.engine.LogUnauthorized(r.Header.Get(h.headers.RequestID), r.Host, path, refused)
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	h.writeAnswer(w, r, refused)
}

// rawPath returns the path of the request as the caller sent it.
func rawPath(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		return path
	}
	return r.URL.EscapedPath()
}

// newRequest returns the request for the engine.
func (h *Handler) newRequest(r *http.Request, body []byte, authorization routing.Authorization) routing.Request {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	request := routing.Request{
		ID: r.Header.Get(h.headers.RequestID), Method: r.Method, Target: target,
		Host: r.Host, Body: body, Tenant: authorization.Tenant, KeyHash: authorization.KeyHash,
	}
	if left, err := strconv.ParseFloat(r.Header.Get(h.headers.Deadline), 64); err == nil && left > 0 {
		request.Deadline = clock.Millis(left)
	}
	request.Header = h.forwardedHeader(r.Header)
	if authorization.Enforced {
		request.Header.Del(h.headers.Key)
		request.Header.Del(h.headers.Tenant)
		if authorization.Tenant != nil {
			request.Header.Set(h.headers.Tenant, authorization.Tenant.Name())
		}
	}
	return request
}

// hopHeaders are the headers that concern a single connection. They are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardedHeader returns the headers that are forwarded to the replica. It modifies
// the header of the request instead of copying it, since afterwards only the ID of the
// request is read from it.
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

// writeAnswer sends the answer. It aborts the connection of a caller that has left: one that
// has closed only its sending side would read a return without an answer as a success.
func (h *Handler) writeAnswer(w http.ResponseWriter, r *http.Request, answer routing.Answer) {
	if answer.CallerGone() {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	var body []byte
	switch {
	case answer.Reply() != nil:
		defer answer.Reply().Release()
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
	if r.Method != http.MethodHead || answer.Reply() == nil {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	} else if length := answer.Reply().Header().Get("Content-Length"); length != "" {
		header.Set("Content-Length", length)
	}
	w.WriteHeader(answer.Status())
	_, _ = w.Write(body)
}

// writeReplicaHeaders sets the headers of the reply of a replica, except the hop-by-hop
// ones, and returns the body.
func writeReplicaHeaders(header http.Header, reply *exchange.Reply) []byte {
	for name, values := range reply.Header() {
		header[name] = values
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
	return reply.Body()
}

// writeMergedHeaders sets the headers of an answer over many shards, and returns the
// body.
func (h *Handler) writeMergedHeaders(header http.Header, answer routing.Answer) []byte {
	header.Set(h.headers.Seals, strings.Join(answer.Seals(), ", "))
	header.Set(h.headers.MissingShards, strconv.Itoa(answer.Missing()))
	header.Set("Content-Type", "application/octet-stream")
	return answer.Body()
}

// writeRefusalHeaders sets the headers of an answer by the daemon itself, and returns
// the body.
func writeRefusalHeaders(header http.Header, answer routing.Answer) []byte {
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if after := answer.RetryAfter(); after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(float64(after/clock.Second), 'f', 3, 64))
	}
	return []byte(answer.Reason() + "\n")
}

// echoRequestID copies the ID of the request into an answer that does not come from a
// replica.
func (h *Handler) echoRequestID(header http.Header, r *http.Request) {
	if id := r.Header.Get(h.headers.RequestID); id != "" {
		header.Set(h.headers.RequestID, id)
	}
}
