// Package routing runs callers' requests on the routes of the configuration.
//
// The decisions are taken by package dispatch of the core. The engine holds
// what its state machines share (the configuration in force, the replicas and
// the evidence about them) under one lock, and carries out their actions
// outside of it.
//
// # Usage
//
//	e := routing.New(routing.Dependencies{…})
//	e.Learn(facts)                          // from the platform's store
//	answer := e.Do(ctx, routing.Request{…}) // one goroutine for each request
package routing

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/core/topk"
	"github.com/lovagegap/lovagegap/entry/exchange"
)

// Dependencies are what an engine is built from.
type Dependencies struct {
	Clock      clock.Clock
	Log        logr.Logger
	DataCentre string
	Names      exchange.Names
	Random     *rand.Rand
	Budget     replica.BudgetPolicy
	Meter      Meter
	// LogRoutine reports whether a routine decision is logged; nil logs none.
	LogRoutine func() bool
	// PublishCrash tells the peers of a request that may have crashed a replica; nil
	// tells nobody. It is called under the lock of the engine.
	PublishCrash func(f quarantine.Fingerprint, replica string)
	// Delegates gather shards in other data centres; nil if nobody does.
	Delegates Delegates
}

// Meter counts what the engine does. Its methods are called under the lock of
// the engine.
type Meter interface {
	AttemptSent(route, service, purpose string)
	AttemptEnded(service, result string)
	RequestFinished(r *route.Route, outcome string, status, missing int, latency clock.Millis)
}

// Engine runs requests. It is safe for concurrent use.
type Engine struct {
	deps   Dependencies
	client *exchange.Client

	mu                sync.Mutex
	table             *route.Table
	replicas          *replica.Set
	outOfService      map[string]bool
	profiles          map[string]*dispatch.LatencyProfile
	admissions        map[string]*dispatch.Admission // by the first service of a route
	highestPriorities map[string]int                 // highest priority of the routes to a service
	running           map[*call]struct{}
	partition         dispatch.PartitionDetector
	crashes           crashTracker
	stopAt            clock.Millis // instant at which the daemon ends, or 0
	storeViewTime     clock.Millis // instant up to which the store is known
}

// New returns an engine without a configuration.
func New(deps Dependencies) *Engine {
	e := &Engine{
		deps:         deps,
		client:       exchange.NewClient(deps.Clock, deps.Names),
		replicas:     replica.NewSet(deps.DataCentre, deps.Random, deps.Budget),
		outOfService: make(map[string]bool),
		profiles:     make(map[string]*dispatch.LatencyProfile),
		admissions:   make(map[string]*dispatch.Admission),
		running:      make(map[*call]struct{}),
	}
	e.crashes.quarantine.SetCanary(false)
	return e
}

// Request is a request of a caller, read completely.
type Request struct {
	ID       string
	Method   string
	Target   string // as in the request line
	Host     string
	Header   http.Header // without headers of one connection
	Body     []byte
	Deadline clock.Millis // time left for the caller, or 0 if it named none
}

// Answer is what a caller gets.
type Answer struct {
	status      int
	reply       *exchange.Reply
	body        []byte
	seals       []string
	outcome     dispatch.Outcome // of an answer over many shards
	lostReplica string           // replica whose connection was lost, told to the daemon that delegated
	missing     []string
	retryAfter  clock.Millis
	reason      string
	callerGone  bool
}

// Status returns the status code.
func (a Answer) Status() int { return a.status }

// Reply returns the replica's answer that is passed on unchanged, or nil.
func (a Answer) Reply() *exchange.Reply { return a.reply }

// Body returns the merged records of an answer over many shards.
func (a Answer) Body() []byte { return a.body }

// Seals returns the proofs of the parts of an answer over many shards.
func (a Answer) Seals() []string { return a.seals }

// Missing returns how many shards are left out.
func (a Answer) Missing() int { return len(a.missing) }

// RetryAfter returns when a refused request may be sent again, or 0.
func (a Answer) RetryAfter() clock.Millis { return a.retryAfter }

// Reason says in a few words why there is no answer of a replica.
func (a Answer) Reason() string { return a.reason }

// CallerGone reports whether the caller left.
func (a Answer) CallerGone() bool { return a.callerGone }

func refusal(status int, reason string, retryAfter clock.Millis) Answer {
	return Answer{status: status, reason: reason, retryAfter: retryAfter}
}

const (
	startingRetryAfter = 400 * clock.Millisecond
	stoppingRetryAfter = 50 * clock.Millisecond
)

// Limits returns the limits of callers in force, and whether there is a
// configuration.
func (e *Engine) Limits() (route.Limits, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table == nil {
		return route.Limits{}, false
	}
	return e.table.Limits(), true
}

// MatchRoute finds the route of a request before its body is read. The answer tells
// why the request cannot be served.
func (e *Engine) MatchRoute(host, path string) (*route.Route, Answer) {
	e.mu.Lock()
	table := e.table
	e.mu.Unlock()
	if table == nil {
		return nil, refusal(http.StatusServiceUnavailable, "no configuration is known yet", startingRetryAfter)
	}
	r, ok := table.Match(host, path)
	if !ok {
		return nil, refusal(http.StatusNotFound, "no route", 0)
	}
	return r, Answer{}
}

// Serve runs a request on a route that Admit returned. It returns when there is an
// answer or ctx ends because the caller left.
func (e *Engine) Serve(ctx context.Context, r *route.Route, request Request) Answer {
	return e.run(ctx, &call{engine: e, request: request, route: r, done: make(chan Answer, 1)})
}

func (e *Engine) run(ctx context.Context, c *call) Answer {
	c.start()
	for {
		select {
		case early := <-c.earlyAnswers:
			c.onReport(early.part())
		case answer := <-c.done:
			for len(c.earlyAnswers) > 0 { // the answer does not hold their parts
				c.onReport((<-c.earlyAnswers).part())
			}
			return answer
		case <-ctx.Done():
			c.cancel()
			return <-c.done
		}
	}
}

// StopAt says when the daemon ends. Requests that cannot end before are refused,
// and those that still run then are answered just before.
func (e *Engine) StopAt(at clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopAt = at
}

// CutOff reports whether callers are served better by daemons of other data
// centres. Linked says whether this daemon has links to some of them.
func (e *Engine) CutOff(linked bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.partition.CutOff(e.deps.Clock.Now(), linked)
}

// isRemote reports whether a replica is in another data centre.
func (e *Engine) isRemote(r *replica.Replica) bool {
	return r.Entry().DataCentre() != e.deps.DataCentre
}

// RecordStoreView says up to which instant the store is known.
func (e *Engine) RecordStoreView(at clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeViewTime = max(e.storeViewTime, at)
}

// Running returns the number of requests without an answer.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Close closes the connections to replicas.
func (e *Engine) Close() { e.client.Close() }

// profile returns the latencies of a route. The caller holds the lock.
func (e *Engine) profile(r *route.Route) *dispatch.LatencyProfile {
	p := e.profiles[r.Name()]
	if p == nil {
		p = &dispatch.LatencyProfile{}
		e.profiles[r.Name()] = p
	}
	return p
}

// resources returns what the requests of a route share. The caller holds the
// lock.
func (e *Engine) resources(r *route.Route) dispatch.Resources {
	service := r.Services()[0]
	gate := e.admissions[service]
	if gate == nil {
		gate = &dispatch.Admission{}
		e.admissions[service] = gate
	}
	return dispatch.Resources{
		Set: e.replicas, Profile: e.profile(r), Admission: gate, LowPriority: r.Priority() > e.highestPriorities[service],
		Draw: e.deps.Random.Float64(),
	}
}

// mergeParts returns the answer over the shards that are in.
func mergeParts(r *route.Route, parts []Part, missing []string) Answer {
	var records topk.Merger
	answer := Answer{status: http.StatusOK, missing: missing}
	for _, part := range parts {
		records.Add(part.Records)
		answer.seals = append(answer.seals, part.Seals...)
	}
	answer.body = records.Greatest(r.TopK())
	return answer
}
