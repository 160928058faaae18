package routing

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/exchange"
)

var testNames = exchange.HeaderNames{RequestID: "Id", Deadline: "Left", ExpectInstance: "Expect-Id", NotRun: "Not-Run", Seal: "Seal"}

type noMeter struct{}

func (noMeter) Sent(string, string, string)                           {}
func (noMeter) Ended(string, string)                                  {}
func (noMeter) Finished(*route.Route, string, int, int, clock.Millis) {}

// logged is an engine with the lines that it writes.
type logged struct {
	*Engine
	t     *testing.T
	mu    sync.Mutex
	lines []map[string]any
}

func newLogged(t *testing.T, budget replica.BudgetPolicy) *logged {
	l := &logged{t: t}
	sink := funcr.NewJSON(func(text string) {
		var line map[string]any
		if assert.NoError(t, json.Unmarshal([]byte(text), &line)) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.lines = append(l.lines, line)
		}
	}, funcr.Options{Verbosity: 1})
	budget.Window, budget.ProcessStart = 10*clock.Second, clock.Clock{}.Now()-clock.Minute
	l.Engine = New(Parts{
		Log: logr.New(sink.GetSink()), DataCentre: "x", Names: testNames, Random: rand.New(rand.NewPCG(1, 2)),
		Budget: budget, Meter: noMeter{}, Routine: func() bool { return true },
	})
	t.Cleanup(l.Close)
	return l
}

// find returns the last line with a message.
func (l *logged) find(message string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.lines) - 1; i >= 0; i-- {
		if l.lines[i]["msg"] == message {
			return l.lines[i]
		}
	}
	return nil
}

// written returns the lines so far.
func (l *logged) written() []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}

// answer is how a replica under test answers.
type answer func(w http.ResponseWriter, r *http.Request)

func good(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "proof")
	_, _ = w.Write(make([]byte, 16))
}

func failing(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "proof")
	w.WriteHeader(http.StatusInternalServerError)
}

func after(delay time.Duration) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		good(w, r)
	}
}

func lost(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	_ = c.Close()
}

// replica starts a replica of a service and tells the engine of it.
func (l *logged) replica(service, id string, do answer) replica.Spec {
	server := httptest.NewServer(http.HandlerFunc(do))
	l.t.Cleanup(server.Close)
	spec := replica.Spec{ID: id, Service: service, Address: server.Listener.Addr().String(), DataCentre: "x", Slots: 4}
	l.list(spec)
	return spec
}

func (l *logged) list(spec replica.Spec) {
	entry := replica.NewEntry(spec)
	l.Learn([]Fact{{Replica: &entry}})
}

// configure puts one route in force.
func (l *logged) configure(spec route.Spec) {
	spec.Name, spec.Host, spec.Prefix = "search", "h", "/"
	spec.Timeout, spec.Objective, spec.MaxAttempts = 2400, 600, 2
	r, err := route.NewRoute(spec)
	require.NoError(l.t, err)
	var services []route.Service
	for _, name := range r.Services() {
		services = append(services, route.NewService(name, 10, 0))
	}
	table, err := route.NewTable(7, []*route.Route{r}, services, route.Limits{})
	require.NoError(l.t, err)
	l.Learn([]Fact{{Table: table}})
}

func (l *logged) ask(ctx context.Context, id string) Answer {
	r, refused := l.Admit("h", "/a")
	require.NotNil(l.t, r, refused.Reason())
	return l.Do(ctx, r, Request{ID: id, Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{}, Deadline: 2400})
}

func one(idempotent bool) route.Spec {
	return route.Spec{Idempotent: idempotent, Splits: []route.Split{route.NewSplit("s0", 1)}}
}

func many(shards int, least float64) route.Spec {
	spec := route.Spec{Idempotent: true, TopK: 2, MinCoverage: least}
	for n := range shards {
		spec.Shards = append(spec.Shards, fmt.Sprintf("s%d", n))
	}
	return spec
}

// Guards against a request whose end cannot be explained: each outcome has one
// line with the request, the version of the configuration, the route, the
// reason and the exchanges that decided it.
func TestLineForEachOutcome(t *testing.T) {
	cases := map[string]struct {
		route    route.Spec
		replicas map[string]answer // by service
		message  string
		status   float64
		outcome  string
		reason   string // exact, "" for none
		purpose  string // of the last exchange
	}{
		"served": {
			route: one(true), replicas: map[string]answer{"s0": good},
			message: "request served", status: 200, outcome: "answered", purpose: "first",
		},
		"late": {
			route: one(false), replicas: map[string]answer{"s0": after(750 * time.Millisecond)},
			message: "answer late", status: 200, outcome: "answered", purpose: "first",
		},
		"without a shard": {
			route: many(3, 0.5), replicas: map[string]answer{"s0": good, "s1": good, "s2": after(3 * time.Second)},
			message: "answer without some shards", status: 200, outcome: "gathered", purpose: "first",
		},
		"refused at once": {
			route: one(true), message: "request not served", status: 503, outcome: "refused", reason: "no replica of the service",
		},
		"lost": {
			route: one(false), replicas: map[string]answer{"s0": lost},
			message: "request not served", status: 502, outcome: "unavailable", reason: "no replica can answer", purpose: "first",
		},
		"out of time": {
			route: one(false), replicas: map[string]answer{"s0": after(3 * time.Second)},
			message: "request not served", status: 504, outcome: "timed out", reason: "the time ran out", purpose: "first",
		},
		"replica's own failure": {
			route: one(false), replicas: map[string]answer{"s0": failing},
			message: "request not served", status: 500, outcome: "answered", purpose: "first",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLogged(t, replica.BudgetPolicy{})
			l.configure(c.route)
			for service, do := range c.replicas {
				l.replica(service, "i-"+service, do)
			}
			l.ask(t.Context(), "r1")
			line := l.find(c.message)
			require.NotNil(t, line, "%v", l.written())
			assert.Equal(t, "r1", line["request"])
			assert.Equal(t, "search", line["route"])
			assert.EqualValues(t, 7, line["version"])
			assert.Equal(t, c.status, line["status"])
			assert.Equal(t, c.outcome, line["outcome"])
			if c.reason != "" {
				assert.Equal(t, c.reason, line["reason"])
			}
			if c.status == http.StatusServiceUnavailable {
				assert.Positive(t, line["retryAfter"])
			}
			if c.purpose == "" {
				return
			}
			steps, _ := line["exchanges"].([]any)
			require.NotEmpty(t, steps)
			last := steps[len(steps)-1].(map[string]any)
			assert.Equal(t, c.purpose, last["purpose"])
			assert.Contains(t, last["replica"], "i-s")
			assert.Contains(t, last, "listedAgo")
		})
	}
}

// Guards against hedges and retries that the line of a request does not show.
func TestLineShowsHedgeAndRetry(t *testing.T) {
	generous := replica.BudgetPolicy{Ratio: 1, Slack: 100}
	for purpose, first := range map[string]answer{"hedge": after(1500 * time.Millisecond), "retry": failing} {
		t.Run(purpose, func(t *testing.T) {
			l := newLogged(t, generous)
			l.configure(one(true))
			l.replica("s0", "i-bad", first)
			bad := l.find("replica listed")
			require.NotNil(t, bad)
			assert.Equal(t, "i-bad", bad["replica"])
			var line map[string]any
			l.replica("s0", "i-good", good)
			for n := 0; n < 20 && line == nil; n++ { // until the bad one is picked first
				l.ask(t.Context(), fmt.Sprint("r", n))
				served := l.find("request served")
				if served == nil {
					served = l.find("answer late")
				}
				if steps := served["exchanges"].([]any); len(steps) == 2 {
					line = steps[1].(map[string]any)
				}
			}
			require.NotNil(t, line)
			assert.Equal(t, purpose, line["purpose"])
			assert.Equal(t, "i-good", line["replica"])
		})
	}
}

// Guards against a caller that leaves, a request that is kept away from
// replicas, and one that reaches no route, without a line.
func TestLineForRequestsThatReachNoReplica(t *testing.T) {
	l := newLogged(t, replica.BudgetPolicy{})
	_, refused := l.Admit("h", "/a")
	l.LogRejected("r0", "h", "/a", refused.Status(), refused.Reason())
	line := l.find("request rejected")
	assert.Equal(t, "r0", line["request"])
	assert.EqualValues(t, 0, line["version"])
	assert.Equal(t, "no configuration is known yet", line["reason"])

	l.configure(one(false))
	l.replica("s0", "i-lost", lost)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.ask(ctx, "r1")
	require.NotNil(t, l.find("caller left"))

	l.ask(t.Context(), "r2")
	l.replica("s0", "i-lost-too", lost)
	for n := 0; n < 10 && l.find("request is kept away from replicas") == nil; n++ {
		l.ask(t.Context(), "r3")
	}
	require.NotNil(t, l.find("request is kept away from replicas"))
	l.ask(t.Context(), "r4")
	line = l.find("request not served")
	assert.Equal(t, "quarantined", line["outcome"])
	assert.Equal(t, "the request crashes replicas", line["reason"])
}

// Guards against a change of belief about a replica, a data centre or the
// configuration without a line.
func TestLineForEachChangeOfBelief(t *testing.T) {
	l := newLogged(t, replica.BudgetPolicy{})
	l.configure(one(false))
	line := l.find("configuration in force")
	assert.EqualValues(t, 7, line["version"])

	spec := l.replica("s0", "i-1", failing)
	assert.Equal(t, "i-1", l.find("replica listed")["replica"])
	for n := range 6 {
		l.ask(t.Context(), fmt.Sprint("r", n))
	}
	line = l.find("replica is failing")
	require.NotNil(t, line)
	assert.Equal(t, "i-1", line["replica"])
	assert.Equal(t, "ready", line["before"])
	assert.Equal(t, "failed", line["result"])
	assert.Positive(t, line["failing"])

	cold := spec
	cold.ColdFor = clock.Minute
	l.list(cold)
	assert.NotNil(t, l.find("replica cold"))
	spec.Draining = true
	l.list(spec)
	assert.NotNil(t, l.find("replica draining"))
	spec.Draining, spec.Incarnation = false, 5
	l.list(spec)
	assert.NotNil(t, l.find("replica restarted"))
	l.Learn([]Fact{{Gone: "i-1"}, {Out: "y"}, {In: "y"}})
	assert.Equal(t, "i-1", l.find("replica gone")["replica"])
	assert.Equal(t, "y", l.find("data centre taken out")["dataCentre"])
	assert.Equal(t, "y", l.find("data centre taken back")["dataCentre"])

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	l.list(replica.Spec{ID: "i-2", Service: "s0", Address: closed.Addr().String(), DataCentre: "x", Slots: 1})
	l.ask(t.Context(), "r")
	line = l.find("replica is unreachable")
	require.NotNil(t, line)
	assert.Equal(t, "not connected", line["result"])
}

// Guards against a first listing that fills the log's rate with one line for each
// replica, so that lines about requests are dropped.
func TestFirstListingIsOneLine(t *testing.T) {
	l := newLogged(t, replica.BudgetPolicy{})
	l.configure(one(true))
	var facts []Fact
	for n := range 200 {
		entry := replica.NewEntry(replica.Spec{ID: fmt.Sprint("i", n), Service: "s0", Address: fmt.Sprint("10.0.0.1:", n), DataCentre: "x"})
		facts = append(facts, Fact{Replica: &entry})
	}
	l.Learn(facts)
	assert.EqualValues(t, 200, l.find("replicas listed")["new"])
	assert.Nil(t, l.find("replica listed"))
	assert.Len(t, l.written(), 2)
	l.Learn(facts[:1])
	assert.Len(t, l.written(), 2, "nothing is new")
}
