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

const queryPath = "/v1/users/u/services/s/query"

// testDaemon implements the collaborators of the handler. Its service u/s runs real
// queries over a pool with one replica for each shard; the test sets the outcomes of
// the attempts.
type testDaemon struct {
	manual         clock.Manual
	tree           *settings.Tree
	refusingReason string
	leaving        bool
	openRequests   int
	runError       error
	shardCount     int
	attemptOutcome func(shard snapshot.Shard) upstream.Outcome
	telemetry      telemetry.Telemetry
	issuer         *ticket.Issuer
}

func newTestDaemon(t *testing.T) *testDaemon {
	t.Helper()
	tree, err := settings.Parse([]byte(`{"users":{"u":{"services":{"s":{}}}}}`))
	require.NoError(t, err)
	return &testDaemon{
		tree: tree, shardCount: 3, issuer: ticket.NewIssuer("10.0.0.1:7200", 1, []byte("key")),
		attemptOutcome: func(snapshot.Shard) upstream.Outcome { return upstream.OK },
	}
}

func (d *testDaemon) Service(name string) (callers.Service, bool) { return d, name == "u/s" }
func (d *testDaemon) CurrentSettings() (*settings.Tree, uint64)   { return d.tree, 7 }
func (d *testDaemon) Addresses(string, string) ([]string, clock.Millis) {
	return []string{"10.0.0.1:80"}, 10 * clock.Second
}
func (d *testDaemon) CallerAddress(daemon string) string { return "callers of " + daemon }
func (d *testDaemon) NotReadyReason() string             { return d.refusingReason }
func (d *testDaemon) Leaving() bool                      { return d.leaving }
func (d *testDaemon) BeginRequest()                      { d.openRequests++ }
func (d *testDaemon) EndRequest()                        { d.openRequests-- }

// Run runs a real query whose attempts end with attemptOutcome.
func (d *testDaemon) Run(_ context.Context, request query.Request, _ engine.Caller) (*query.Answer, error) {
	if d.runError != nil {
		return nil, d.runError
	}
	var pool upstream.Pool
	var catalogue snapshot.Catalogue
	for n := range d.shardCount {
		id := upstream.ID(strings.Repeat("x", n+1))
		pool.Add(0, upstream.NewReplica(id, "d"))
		catalogue.SetHoldings(string(id), []snapshot.Holding{snapshot.NewHolding(5, d.shardCount, []snapshot.Shard{snapshot.Shard(n)})})
	}
	q := query.New(request, query.Policy{}, query.Dependencies{Picker: &pool, Catalogue: &catalogue})
	pending := q.Start(d.manual.Now())
	for len(pending) > 0 {
		action := pending[0]
		pending = pending[1:]
		switch action.Kind() {
		case query.Finish:
			return action.Answer(), nil
		case query.Send:
			result := upstream.NewResult(d.attemptOutcome(action.Shard()), 1, "boot")
			answer := query.NewAttemptResult(result, action.Shard(), action.Version(), []byte(`{}`))
			pending = append(pending, q.HandleResult(d.manual.Now(), action.Attempt(), answer)...)
		}
	}
	d.manual.Advance(request.Deadline())
	for _, action := range q.Tick(d.manual.Now()) {
		if action.Kind() == query.Finish {
			return action.Answer(), nil
		}
	}
	return nil, errors.New("the query did not finish")
}

func (d *testDaemon) handler() http.Handler {
	return callers.New(callers.Dependencies{
		Clock: d.manual.Clock(), Daemon: "d-1", Services: d, Settings: d, Directory: d, Lifecycle: d,
		Telemetry: &d.telemetry, Tickets: d.issuer,
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

// TestInvalidInput guards against invalid requests that get an unclear status, that
// leave a request counted as running, or that make a later valid request fail.
func TestInvalidInput(t *testing.T) {
	cases := []struct {
		name, path, body, code, says string
		status                       int
	}{
		{"malformed JSON", queryPath, `{"query":`, "malformed", "body", 400},
		{"two values", queryPath, `{"query":1} {"query":2}`, "malformed", "more than one", 400},
		{"misspelt field", queryPath, `{"query":1,"idempotant":false}`, "malformed", "idempotant", 400},
		{"no query", queryPath, `{}`, "malformed", "query is missing", 400},
		{"deadline without unit", queryPath, `{"query":1,"deadline":"250"}`, "malformed", "deadline", 400},
		{"expired deadline", queryPath, `{"query":1,"deadline":"-1ms"}`, "malformed", "deadline", 400},
		{"endless deadline", queryPath, `{"query":1,"deadline":"11m"}`, "malformed", "10m", 400},
		{"coverage above one", queryPath, `{"query":1,"minCoverage":1.5}`, "malformed", "minCoverage", 400},
		{"class with a space", queryPath, `{"query":1,"class":"a b"}`, "malformed", "class", 400},
		{"endless request id", queryPath, `{"query":1,"requestId":"` + strings.Repeat("x", 129) + `"}`, "malformed", "requestId", 400},
		{"unknown service", "/v1/users/u/services/other/query", `{"query":1}`, "unknown-service", "u/other", 404},
		{"unknown path", "/v1/nothing", `{}`, "unknown-path", "", 404},
		{"oversized body", queryPath, `{"query":"` + strings.Repeat("x", 1<<20) + `"}`, "too-large", "", 413},
		{"non-idempotent without ticket", queryPath, `{"query":1,"idempotent":false}`, "no-ticket", "ticket", 428},
	}
	d := newTestDaemon(t)
	handler := d.handler()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := call(t, handler, http.MethodPost, tc.path, tc.body)
			require.Equal(t, tc.status, r.status)
			require.Equal(t, tc.code, r.Error.Code)
			require.Contains(t, r.Error.Message, tc.says)
			require.Equal(t, "not-run", r.Error.Ran)
			require.Equal(t, http.StatusOK, call(t, handler, http.MethodPost, queryPath, `{"query":1}`).status)
			require.Zero(t, d.openRequests)
		})
	}
}

// TestAnswerCoverage guards against replies that claim more coverage than the query
// reached.
func TestAnswerCoverage(t *testing.T) {
	lost := func(missing snapshot.Shard) func(snapshot.Shard) upstream.Outcome {
		return func(s snapshot.Shard) upstream.Outcome {
			if s == missing {
				return upstream.Failed
			}
			return upstream.OK
		}
	}
	t.Run("complete", func(t *testing.T) {
		r := call(t, newTestDaemon(t).handler(), http.MethodPost, queryPath, `{"query":1}`)
		require.Equal(t, 200, r.status)
		require.False(t, r.Partial)
		require.True(t, r.Good)
		require.Len(t, r.Parts, 3)
	})
	t.Run("partial", func(t *testing.T) {
		d := newTestDaemon(t)
		d.attemptOutcome = lost(1)
		r := call(t, d.handler(), http.MethodPost, queryPath, `{"query":1}`)
		require.Equal(t, 200, r.status)
		require.True(t, r.Partial)
		require.False(t, r.Good)
		require.Len(t, r.Parts, 2)
	})
	t.Run("below the minimum", func(t *testing.T) {
		d := newTestDaemon(t)
		d.attemptOutcome = lost(2)
		r := call(t, d.handler(), http.MethodPost, queryPath, `{"query":1,"minCoverage":1}`)
		require.Equal(t, 504, r.status)
		require.Equal(t, "ran", r.Error.Ran)
		require.Equal(t, []int{2}, r.Answer.Coverage.Missing)
	})
}

// TestRefusalsSayNotRun guards against a refusal by the daemon itself that leaves
// open whether the request has run.
func TestRefusalsSayNotRun(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *testDaemon)
		status int
		code   string
	}{
		{"starting", func(d *testDaemon) { d.refusingReason = "the daemon is starting" }, 503, "not-ready"},
		{"admission", func(d *testDaemon) { d.runError = errors.Wrap(engine.ErrRefused, "overflow") }, 429, "refused"},
		{"no snapshot", func(d *testDaemon) { d.shardCount = 0 }, 503, "no-upstream"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newTestDaemon(t)
			tc.change(d)
			r := call(t, d.handler(), http.MethodPost, queryPath, `{"query":1}`)
			require.Equal(t, tc.status, r.status)
			require.Equal(t, tc.code, r.Error.Code)
			require.Equal(t, "not-run", r.Error.Ran)
		})
	}
}

// TestTicketsPreventSecondRun guards against a second run of a non-idempotent request
// whose ticket is used again, on the same daemon, another one or after a restart.
func TestTicketsPreventSecondRun(t *testing.T) {
	once := func(ticket string) string {
		return `{"query":1,"idempotent":false,"ticket":"` + ticket + `"}`
	}
	d := newTestDaemon(t)
	handler := d.handler()
	issue := func() string { return call(t, handler, http.MethodPost, "/v1/tickets", "").Ticket }

	used := issue()
	require.Equal(t, 200, call(t, handler, http.MethodPost, queryPath, once(used)).status)
	again := call(t, handler, http.MethodPost, queryPath, once(used))
	require.Equal(t, 409, again.status)
	require.Equal(t, "ran", again.Error.Ran)

	refused := issue()
	d.runError = errors.Wrap(engine.ErrRefused, "overflow")
	require.Equal(t, 429, call(t, handler, http.MethodPost, queryPath, once(refused)).status)
	d.runError = nil
	require.Equal(t, 200, call(t, handler, http.MethodPost, queryPath, once(refused)).status)

	uncertain := issue()
	d.attemptOutcome = func(snapshot.Shard) upstream.Outcome { return upstream.ConnectionLost }
	require.Equal(t, "may-have-run", call(t, handler, http.MethodPost, queryPath, once(uncertain)).Error.Ran)
	require.Equal(t, 409, call(t, handler, http.MethodPost, queryPath, once(uncertain)).status)

	elsewhere := newTestDaemon(t)
	elsewhere.issuer = ticket.NewIssuer("10.0.0.2:7200", 1, []byte("key"))
	r := call(t, elsewhere.handler(), http.MethodPost, queryPath, once(issue()))
	require.Equal(t, 421, r.status)
	require.Equal(t, "may-have-run", r.Error.Ran)
	require.Equal(t, "callers of 10.0.0.1:7200", r.Error.Address)

	restarted := newTestDaemon(t)
	restarted.issuer = ticket.NewIssuer("10.0.0.1:7200", 2, []byte("key"))
	r = call(t, restarted.handler(), http.MethodPost, queryPath, once(issue()))
	require.Equal(t, 409, r.status)
	require.Equal(t, "may-have-run", r.Error.Ran)
}

// TestRefusalsBeforeTicketCheck guards against a refusal with "not-run" although the
// ticket may have been used on another daemon or by an earlier request: the caller
// would take a new ticket and run the request twice.
func TestRefusalsBeforeTicketCheck(t *testing.T) {
	cases := []struct {
		name, path, body string
		change           func(d *testDaemon)
		status           int
		ran              string
	}{
		{"foreign ticket", queryPath, `{"query":1,"idempotent":false,"ticket":"made up"}`, nil, 400, "may-have-run"},
		{"starting", queryPath, `{"query":1,"idempotent":false,"ticket":"t"}`, func(d *testDaemon) { d.refusingReason = "starting" }, 503, "may-have-run"},
		{"unknown service", "/v1/users/u/services/x/query", `{"query":1,"idempotent":false,"ticket":"t"}`, nil, 404, "may-have-run"},
		{"bad deadline", queryPath, `{"query":1,"idempotent":false,"ticket":"t","deadline":"0s"}`, nil, 400, "may-have-run"},
		{"no ticket", queryPath, `{"query":1,"idempotent":false}`, nil, 428, "not-run"},
		{"idempotent", queryPath, `{"query":1}`, func(d *testDaemon) { d.refusingReason = "starting" }, 503, "not-run"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newTestDaemon(t)
			if tc.change != nil {
				tc.change(d)
			}
			r := call(t, d.handler(), http.MethodPost, tc.path, tc.body)
			require.Equal(t, tc.status, r.status)
			require.Equal(t, tc.ran, r.Error.Ran)
		})
	}
}

// TestLeavingClosesConnections guards against callers that keep their connection to a
// daemon that is leaving.
func TestLeavingClosesConnections(t *testing.T) {
	d := newTestDaemon(t)
	d.leaving = true
	r := call(t, d.handler(), http.MethodPost, queryPath, `{"query":1}`)
	require.Equal(t, 200, r.status)
	require.Equal(t, "close", r.header.Get("Connection"))
}
