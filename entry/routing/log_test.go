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

var testNames = exchange.HeaderNames{RequestID: "Id", Deadline: "Left", ExpectInstance: "Expect-Id", NotRun: "Not-Run", Seal: "Seal", Leaving: "Leaving"}

type noMeter struct{}

func (noMeter) AttemptSent(string, string, string)                           {}
func (noMeter) AttemptEnded(string, string)                                  {}
func (noMeter) RequestFinished(*route.Route, string, int, int, clock.Millis) {}
func (noMeter) TenantRequest(string, string)                                 {}
func (noMeter) KeyRefused(string)                                            {}

// loggedEngine is an engine that records its log lines.
type loggedEngine struct {
	*Engine
	t     *testing.T
	mu    sync.Mutex
	lines []map[string]any
}

func newLoggedEngine(t *testing.T, budget replica.BudgetPolicy) *loggedEngine {
	l := &loggedEngine{t: t}
	sink := funcr.NewJSON(func(text string) {
		var line map[string]any
		if assert.NoError(t, json.Unmarshal([]byte(text), &line)) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.lines = append(l.lines, line)
		}
	}, funcr.Options{Verbosity: 1})
	budget.Window, budget.ProcessStart = 10*clock.Second, clock.Clock{}.Now()-clock.Minute
	l.Engine = New(Dependencies{
		Log: logr.New(sink.GetSink()), DataCentre: "x", Names: testNames, Random: rand.New(rand.NewPCG(1, 2)),
		Budget: budget, Meter: noMeter{}, LogRoutine: func() bool { return true },
	})
	t.Cleanup(l.Close)
	return l
}

// findLine returns the last line with the message, or nil.
func (l *loggedEngine) findLine(message string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.lines) - 1; i >= 0; i-- {
		if l.lines[i]["msg"] == message {
			return l.lines[i]
		}
	}
	return nil
}

// exchangesOf returns the exchanges in the line about the end of a request.
func (l *loggedEngine) exchangesOf(request string) []map[string]any {
	var exchanges []map[string]any
	for _, line := range l.writtenLines() {
		steps, _ := line["exchanges"].([]any)
		if line["request"] != request {
			continue
		}
		for _, step := range steps {
			exchanges = append(exchanges, step.(map[string]any))
		}
	}
	require.NotEmpty(l.t, exchanges, "no line about %s", request)
	return exchanges
}

// writtenLines returns all lines so far.
func (l *loggedEngine) writtenLines() []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}

// replyFunc is the handler of a replica under test.
type replyFunc func(w http.ResponseWriter, r *http.Request)

func replyGood(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "proof")
	_, _ = w.Write(make([]byte, 16))
}

func replyFailing(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "proof")
	w.WriteHeader(http.StatusInternalServerError)
}

func replyAfter(delay time.Duration) replyFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		replyGood(w, r)
	}
}

func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, _ := w.(http.Hijacker).Hijack()
	_ = c.Close()
}

// startReplica starts a replica of a service and adds it to the engine.
func (l *loggedEngine) startReplica(service, id string, reply replyFunc) replica.Spec {
	server := httptest.NewServer(http.HandlerFunc(reply))
	l.t.Cleanup(server.Close)
	spec := replica.Spec{ID: id, Service: service, Address: server.Listener.Addr().String(), DataCentre: "x", Slots: 4}
	l.listReplica(spec)
	return spec
}

func (l *loggedEngine) listReplica(spec replica.Spec) {
	entry := replica.NewEntry(spec)
	l.ApplyUpdates([]StoreUpdate{{Replica: &entry}})
}

// configure puts one route in force.
func (l *loggedEngine) configure(spec route.Spec) {
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
	l.ApplyUpdates([]StoreUpdate{{Table: table}})
}

func (l *loggedEngine) serve(ctx context.Context, id string) Answer {
	return l.serveTarget(ctx, id, "/a")
}

func (l *loggedEngine) serveTarget(ctx context.Context, id, target string) Answer {
	r, refused := l.MatchRoute("h", target)
	require.NotNil(l.t, r, refused.Reason())
	return l.Serve(ctx, r, Request{
		ID: id, Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{"Id": {id}}, Deadline: 2400,
	})
}

func singleRoute(idempotent bool) route.Spec {
	return route.Spec{Idempotent: idempotent, Splits: []route.Split{route.NewSplit("s0", 1)}}
}

func shardedRoute(shards int, minCoverage float64) route.Spec {
	spec := route.Spec{Idempotent: true, TopK: 2, MinCoverage: minCoverage}
	for n := range shards {
		spec.Shards = append(spec.Shards, fmt.Sprintf("s%d", n))
	}
	return spec
}

// Guards against requests whose outcome the log does not explain: each outcome has
// one line with the request, the route, the version of the configuration, the
// reason and the exchanges that led to it.
func TestLogLineForEachOutcome(t *testing.T) {
	cases := map[string]struct {
		route    route.Spec
		replicas map[string]replyFunc // by service
		message  string
		status   float64
		outcome  string
		reason   string // exact, "" for none
		purpose  string // of the last exchange
	}{
		"served": {
			route: singleRoute(true), replicas: map[string]replyFunc{"s0": replyGood},
			message: "request served", status: 200, outcome: "answered", purpose: "first",
		},
		"late": {
			route: singleRoute(false), replicas: map[string]replyFunc{"s0": replyAfter(750 * time.Millisecond)},
			message: "answer late", status: 200, outcome: "answered", purpose: "first",
		},
		"without a shard": {
			route:    shardedRoute(3, 0.5),
			replicas: map[string]replyFunc{"s0": replyGood, "s1": replyGood, "s2": replyAfter(3 * time.Second)},
			message:  "answer partial", status: 200, outcome: "gathered", purpose: "first",
		},
		"refused at once": {
			route:   singleRoute(true),
			message: "request not served", status: 503, outcome: "refused", reason: "no replica of the service is available",
		},
		"lost": {
			route: singleRoute(false), replicas: map[string]replyFunc{"s0": closeConnection},
			message: "request not served", status: 502, outcome: "unavailable", reason: "no replica can answer", purpose: "first",
		},
		"out of time": {
			route: singleRoute(false), replicas: map[string]replyFunc{"s0": replyAfter(3 * time.Second)},
			message: "request not served", status: 504, outcome: "timed out",
			reason: "the deadline passed without an answer", purpose: "first",
		},
		"replica's own failure": {
			route: singleRoute(false), replicas: map[string]replyFunc{"s0": replyFailing},
			message: "request not served", status: 500, outcome: "answered", purpose: "first",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLoggedEngine(t, replica.BudgetPolicy{})
			l.configure(c.route)
			for service, reply := range c.replicas {
				l.startReplica(service, "i-"+service, reply)
			}
			l.serve(t.Context(), "r1")
			line := l.findLine(c.message)
			require.NotNil(t, line, "%v", l.writtenLines())
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

// Guards against a refusal for want of replicas whose log line does not say of which
// service, and why those that are listed are not asked.
func TestLogLineOfRefusalShowsStatesOfReplicas(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.configure(shardedRoute(3, 1))
	l.startReplica("s0", "i-ready", replyGood)
	displaced := l.startReplica("s1", "i-displaced", replyGood)
	displaced.ID = "i-later"
	displaced.Service = "s0"
	l.listReplica(displaced)
	answer := l.serve(t.Context(), "r1")
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status())
	line := l.findLine("request not served")
	require.NotNil(t, line, "%v", l.writtenLines())
	assert.Equal(t, []any{
		map[string]any{"service": "s1", "states": map[string]any{"displaced": 1.0}},
		map[string]any{"service": "s2", "states": map[string]any{}},
	}, line["unavailable"])
}

// Guards against hedges and retries that are missing from the log line of a request.
func TestLogLineShowsHedgeAndRetry(t *testing.T) {
	generous := replica.BudgetPolicy{Ratio: 1, Slack: 100}
	for purpose, first := range map[string]replyFunc{"hedge": replyAfter(1500 * time.Millisecond), "retry": replyFailing} {
		t.Run(purpose, func(t *testing.T) {
			l := newLoggedEngine(t, generous)
			l.configure(singleRoute(true))
			l.startReplica("s0", "i-bad", first)
			bad := l.findLine("replica listed")
			require.NotNil(t, bad)
			assert.Equal(t, "i-bad", bad["replica"])
			var line map[string]any
			l.startReplica("s0", "i-good", replyGood)
			for n := 0; n < 20 && line == nil; n++ { // until the bad replica is picked first
				l.serve(t.Context(), fmt.Sprint("r", n))
				served := l.findLine("request served")
				if served == nil {
					served = l.findLine("answer late")
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

// Guards against missing log lines for requests that reach no replica: without a
// configuration, from a caller that disconnects, and when quarantined.
func TestLogLineForRequestsThatReachNoReplica(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	_, refused := l.MatchRoute("h", "/a")
	l.LogRejected("r0", "h", "/a", refused.Status(), refused.Reason())
	line := l.findLine("request rejected")
	assert.Equal(t, "r0", line["request"])
	assert.EqualValues(t, 0, line["version"])
	assert.Equal(t, "no configuration loaded yet", line["reason"])

	l.configure(singleRoute(false))
	disconnected := make(chan struct{}) // the replica must not end the request before the caller does
	l.startReplica("s0", "i-lost", func(w http.ResponseWriter, r *http.Request) {
		<-disconnected
		closeConnection(w, r)
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.serve(ctx, "r1")
	close(disconnected)
	require.NotNil(t, l.findLine("caller disconnected"))

	l.serve(t.Context(), "r2")
	l.startReplica("s0", "i-lost-too", closeConnection)
	for n := 0; n < 10 && l.findLine("request quarantined") == nil; n++ {
		time.Sleep((outageSpread / 4).Duration())
		l.serve(t.Context(), "r3")
	}
	require.NotNil(t, l.findLine("request quarantined"))
	l.serve(t.Context(), "r4")
	line = l.findLine("request not served")
	assert.Equal(t, "quarantined", line["outcome"])
	assert.Equal(t, "the request is quarantined: it may crash replicas", line["reason"])
}

// Guards against missing log lines for changes of the state of a replica, of a data
// centre or of the configuration.
func TestLogLineForEachStateChange(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.configure(singleRoute(false))
	line := l.findLine("configuration in force")
	assert.EqualValues(t, 7, line["version"])

	spec := l.startReplica("s0", "i-1", replyFailing)
	assert.Equal(t, "i-1", l.findLine("replica listed")["replica"])
	for n := range 6 {
		l.serve(t.Context(), fmt.Sprint("r", n))
	}
	line = l.findLine("replica is failing")
	require.NotNil(t, line)
	assert.Equal(t, "i-1", line["replica"])
	assert.Equal(t, "ready", line["before"])
	assert.Equal(t, "failed", line["result"])
	assert.Positive(t, line["failing"])

	cold := spec
	cold.ColdFor = clock.Minute
	l.listReplica(cold)
	assert.NotNil(t, l.findLine("replica cold"))
	spec.Draining = true
	l.listReplica(spec)
	assert.NotNil(t, l.findLine("replica draining"))
	spec.Draining, spec.Incarnation = false, 5
	l.listReplica(spec)
	assert.NotNil(t, l.findLine("replica restarted"))
	l.ApplyUpdates([]StoreUpdate{{RemovedReplica: "i-1"}, {OutOfService: "y"}, {BackInService: "y"}})
	assert.Equal(t, "i-1", l.findLine("replica removed")["replica"])
	assert.Equal(t, "y", l.findLine("data centre taken out")["dataCentre"])
	assert.Equal(t, "y", l.findLine("data centre brought back")["dataCentre"])

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	l.listReplica(replica.Spec{ID: "i-2", Service: "s0", Address: closed.Addr().String(), DataCentre: "x", Slots: 1})
	l.serve(t.Context(), "r")
	line = l.findLine("replica is unreachable")
	require.NotNil(t, line)
	assert.Equal(t, "not connected", line["result"])
}

// Guards against a first listing that uses up the rate limit of the log with one
// line for each replica, so that lines about requests are dropped.
func TestFirstListingWritesOneLogLine(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.configure(singleRoute(true))
	var updates []StoreUpdate
	for n := range 200 {
		entry := replica.NewEntry(replica.Spec{
			ID: fmt.Sprint("i", n), Service: "s0", Address: fmt.Sprint("10.0.0.1:", n), DataCentre: "x",
		})
		updates = append(updates, StoreUpdate{Replica: &entry})
	}
	l.ApplyUpdates(updates)
	assert.EqualValues(t, 200, l.findLine("replicas listed")["new"])
	assert.Nil(t, l.findLine("replica listed"))
	assert.Len(t, l.writtenLines(), 2)
	l.ApplyUpdates(updates[:1])
	assert.Len(t, l.writtenLines(), 2, "nothing is new")
}
