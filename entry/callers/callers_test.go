package callers_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/ticket"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/callers"
	"github.com/lovagegap/lovagegap/entry/engine"
	"github.com/lovagegap/lovagegap/entry/telemetry"
)

const path = "/v1/users/u/services/s/query"

// world is the daemon behind the handler: one service with real queries over
// a pool of one replica for each shard, whose sub-answers the test decides.
type world struct {
	manual    clock.Manual
	tree      *settings.Tree
	refusing  string
	leaving   bool
	requests  int
	runErr    error
	shards    int
	result    func(shard snapshot.Shard) upstream.Outcome
	telemetry telemetry.Telemetry
	issuer    *ticket.Issuer
}

func newWorld(t *testing.T) *world {
	t.Helper()
	tree, err := settings.Parse([]byte(`{"users":{"u":{"services":{"s":{}}}}}`))
	require.NoError(t, err)
	return &world{
		tree: tree, shards: 3, issuer: ticket.NewIssuer("10.0.0.1:7200", 1, []byte("key")),
		result: func(snapshot.Shard) upstream.Outcome { return upstream.OK },
	}
}

func (w *world) Service(name string) (callers.Service, bool) { return w, name == "u/s" }
func (w *world) InForce() (*settings.Tree, uint64)           { return w.tree, 7 }
func (w *world) Advice(string, string) ([]string, clock.Millis) {
	return []string{"10.0.0.1:80"}, 10 * clock.Second
}
func (w *world) CallerAddress(daemon string) string { return "callers of " + daemon }
func (w *world) NotReadyReason() string             { return w.refusing }
func (w *world) Leaving() bool                      { return w.leaving }
func (w *world) BeginRequest()                      { w.requests++ }
func (w *world) EndRequest()                        { w.requests-- }

// Run runs a real query whose sub-requests all end as the test says.
func (w *world) Run(_ context.Context, request query.Request, _ engine.Caller) (*query.Answer, error) {
	if w.runErr != nil {
		return nil, w.runErr
	}
	var pool upstream.Pool
	var catalogue snapshot.Catalogue
	for n := range w.shards {
		id := upstream.ID(strings.Repeat("x", n+1))
		pool.Add(0, upstream.NewReplica(id, "d"))
		catalogue.SetHoldings(string(id), []snapshot.Holding{snapshot.NewHolding(5, w.shards, []snapshot.Shard{snapshot.Shard(n)})})
	}
	q := query.New(request, query.Policy{}, query.Dependencies{Picker: &pool, Catalogue: &catalogue})
	pending := q.Start(w.manual.Now())
	for len(pending) > 0 {
		action := pending[0]
		pending = pending[1:]
		switch action.Kind() {
		case query.Finish:
			return action.Answer(), nil
		case query.Send:
			result := upstream.NewResult(w.result(action.Shard()), 1, "boot")
			answer := query.NewAttemptResult(result, action.Shard(), action.Version(), []byte(`{}`))
			pending = append(pending, q.HandleResult(w.manual.Now(), action.Attempt(), answer)...)
		}
	}
	w.manual.Advance(request.Deadline())
	for _, action := range q.Tick(w.manual.Now()) {
		if action.Kind() == query.Finish {
			return action.Answer(), nil
		}
	}
	return nil, errors.New("the query did not finish")
}

func (w *world) handler() http.Handler {
	return callers.New(callers.Ports{
		Clock: w.manual.Clock(), Daemon: "d-1", Services: w, Settings: w, Fleet: w, Life: w,
		Telemetry: &w.telemetry, Tickets: w.issuer,
	})
}

type reply struct {
	status  int
	header  http.Header
	Error   struct{ Code, Message, Ran, Owner, Address string }
	Answer  *struct{ Coverage struct{ Missing []int } }
	Ticket  string
	Partial bool
	Good    bool
	Parts   []struct{ Shard int }
}

func call(t *testing.T, handler http.Handler, method, path, body string) reply {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	r := reply{status: recorder.Code, header: recorder.Header()}
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &r), recorder.Body.String())
	return r
}

// Guards against input that gets an unclear status, or that disturbs anything:
// each case is followed by a good request.
func TestBadInput(t *testing.T) {
	cases := []struct {
		name, path, body, code, says string
		status                       int
	}{
		{"malformed JSON", path, `{"query":`, "malformed", "body", 400},
		{"two values", path, `{"query":1} {"query":2}`, "malformed", "more than one", 400},
		{"misspelt field", path, `{"query":1,"idempotant":false}`, "malformed", "idempotant", 400},
		{"no query", path, `{}`, "malformed", "query is missing", 400},
		{"deadline without unit", path, `{"query":1,"deadline":"250"}`, "malformed", "deadline", 400},
		{"expired deadline", path, `{"query":1,"deadline":"-1ms"}`, "malformed", "deadline", 400},
		{"endless deadline", path, `{"query":1,"deadline":"11m"}`, "malformed", "10m", 400},
		{"coverage above one", path, `{"query":1,"minCoverage":1.5}`, "malformed", "minCoverage", 400},
		{"class with a space", path, `{"query":1,"class":"a b"}`, "malformed", "class", 400},
		{"endless request id", path, `{"query":1,"requestId":"` + strings.Repeat("x", 129) + `"}`, "malformed", "requestId", 400},
		{"unknown service", "/v1/users/u/services/other/query", `{"query":1}`, "unknown-service", "u/other", 404},
		{"unknown path", "/v1/nothing", `{}`, "unknown-path", "", 404},
		{"oversized body", path, `{"query":"` + strings.Repeat("x", 1<<20) + `"}`, "too-large", "", 413},
		{"non-idempotent without ticket", path, `{"query":1,"idempotent":false}`, "no-ticket", "ticket", 428},
	}
	w := newWorld(t)
	handler := w.handler()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := call(t, handler, http.MethodPost, tc.path, tc.body)
			require.Equal(t, tc.status, r.status)
			require.Equal(t, tc.code, r.Error.Code)
			require.Contains(t, r.Error.Message, tc.says)
			require.Equal(t, "not-run", r.Error.Ran)
			require.Equal(t, http.StatusOK, call(t, handler, http.MethodPost, path, `{"query":1}`).status)
			require.Zero(t, w.requests)
		})
	}
}

// Guards against answers that claim more than they cover.
func TestAnswers(t *testing.T) {
	lost := func(missing snapshot.Shard) func(snapshot.Shard) upstream.Outcome {
		return func(s snapshot.Shard) upstream.Outcome {
			if s == missing {
				return upstream.Failed
			}
			return upstream.OK
		}
	}
	t.Run("complete", func(t *testing.T) {
		r := call(t, newWorld(t).handler(), http.MethodPost, path, `{"query":1}`)
		require.Equal(t, 200, r.status)
		require.False(t, r.Partial)
		require.True(t, r.Good)
		require.Len(t, r.Parts, 3)
	})
	t.Run("partial", func(t *testing.T) {
		w := newWorld(t)
		w.result = lost(1)
		r := call(t, w.handler(), http.MethodPost, path, `{"query":1}`)
		require.Equal(t, 200, r.status)
		require.True(t, r.Partial)
		require.False(t, r.Good)
		require.Len(t, r.Parts, 2)
	})
	t.Run("below the minimum", func(t *testing.T) {
		w := newWorld(t)
		w.result = lost(2)
		r := call(t, w.handler(), http.MethodPost, path, `{"query":1,"minCoverage":1}`)
		require.Equal(t, 504, r.status)
		require.Equal(t, "ran", r.Error.Ran)
		require.Equal(t, []int{2}, r.Answer.Coverage.Missing)
	})
}

// Guards against a wrong statement about having run when the daemon itself
// refuses.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(w *world)
		status int
		code   string
	}{
		{"starting", func(w *world) { w.refusing = "the daemon is starting" }, 503, "not-ready"},
		{"admission", func(w *world) { w.runErr = errors.Wrap(engine.ErrRefused, "overflow") }, 429, "refused"},
		{"no snapshot", func(w *world) { w.shards = 0 }, 503, "no-upstream"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			tc.change(w)
			r := call(t, w.handler(), http.MethodPost, path, `{"query":1}`)
			require.Equal(t, tc.status, r.status)
			require.Equal(t, tc.code, r.Error.Code)
			require.Equal(t, "not-run", r.Error.Ran)
		})
	}
}

// Guards against a second run of a non-idempotent request.
func TestTickets(t *testing.T) {
	once := func(ticket string) string {
		return `{"query":1,"idempotent":false,"ticket":"` + ticket + `"}`
	}
	w := newWorld(t)
	handler := w.handler()
	issue := func() string { return call(t, handler, http.MethodPost, "/v1/tickets", "").Ticket }

	used := issue()
	require.Equal(t, 200, call(t, handler, http.MethodPost, path, once(used)).status)
	again := call(t, handler, http.MethodPost, path, once(used))
	require.Equal(t, 409, again.status)
	require.Equal(t, "ran", again.Error.Ran)

	refused := issue()
	w.runErr = errors.Wrap(engine.ErrRefused, "overflow")
	require.Equal(t, 429, call(t, handler, http.MethodPost, path, once(refused)).status)
	w.runErr = nil
	require.Equal(t, 200, call(t, handler, http.MethodPost, path, once(refused)).status)

	uncertain := issue()
	w.result = func(snapshot.Shard) upstream.Outcome { return upstream.ConnectionLost }
	require.Equal(t, "may-have-run", call(t, handler, http.MethodPost, path, once(uncertain)).Error.Ran)
	require.Equal(t, 409, call(t, handler, http.MethodPost, path, once(uncertain)).status)

	elsewhere := newWorld(t)
	elsewhere.issuer = ticket.NewIssuer("10.0.0.2:7200", 1, []byte("key"))
	r := call(t, elsewhere.handler(), http.MethodPost, path, once(issue()))
	require.Equal(t, 421, r.status)
	require.Equal(t, "may-have-run", r.Error.Ran)
	require.Equal(t, "callers of 10.0.0.1:7200", r.Error.Address)

	restarted := newWorld(t)
	restarted.issuer = ticket.NewIssuer("10.0.0.1:7200", 2, []byte("key"))
	r = call(t, restarted.handler(), http.MethodPost, path, once(issue()))
	require.Equal(t, 409, r.status)
	require.Equal(t, "may-have-run", r.Error.Ran)
}

// Guards against "not run" for a ticket that another daemon, or an earlier
// request, may have used: the caller would take a new one and run it twice.
func TestRefusalsOfTickets(t *testing.T) {
	cases := []struct {
		name, path, body string
		change           func(w *world)
		status           int
		ran              string
	}{
		{"foreign ticket", path, `{"query":1,"idempotent":false,"ticket":"made up"}`, nil, 400, "may-have-run"},
		{"starting", path, `{"query":1,"idempotent":false,"ticket":"t"}`, func(w *world) { w.refusing = "starting" }, 503, "may-have-run"},
		{"unknown service", "/v1/users/u/services/x/query", `{"query":1,"idempotent":false,"ticket":"t"}`, nil, 404, "may-have-run"},
		{"bad deadline", path, `{"query":1,"idempotent":false,"ticket":"t","deadline":"0s"}`, nil, 400, "may-have-run"},
		{"no ticket", path, `{"query":1,"idempotent":false}`, nil, 428, "not-run"},
		{"idempotent", path, `{"query":1}`, func(w *world) { w.refusing = "starting" }, 503, "not-run"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t)
			if tc.change != nil {
				tc.change(w)
			}
			r := call(t, w.handler(), http.MethodPost, tc.path, tc.body)
			require.Equal(t, tc.status, r.status)
			require.Equal(t, tc.ran, r.Error.Ran)
		})
	}
}

// Guards against callers that stay on the connection of a daemon that leaves.
func TestLeavingClosesConnections(t *testing.T) {
	w := newWorld(t)
	w.leaving = true
	r := call(t, w.handler(), http.MethodPost, path, `{"query":1}`)
	require.Equal(t, 200, r.status)
	require.Equal(t, "close", r.header.Get("Connection"))
}
