// Package routing runs callers' requests on the routes of the configuration.
//
// The decisions are taken by package dispatch of the core. The engine holds
// what its state machines share (the configuration in force, the replicas and
// the evidence about them) under one lock, and carries out their actions
// outside of it.
//
// # Usage
//
//	e := routing.New(routing.Parts{…})
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

// Parts are what an engine is built from.
type Parts struct {
	Clock      clock.Clock
	Log        logr.Logger
	DataCentre string
	Names      exchange.HeaderNames
	Random     *rand.Rand
	Budget     replica.BudgetPolicy
	Meter      Meter
	// Routine reports whether a routine decision is logged; nil logs none.
	Routine func() bool
	// Crashed tells the peers of a request that may have crashed a replica; nil
	// tells nobody. It is called under the lock of the engine.
	Crashed func(f quarantine.Fingerprint, replica string)
	// Delegates gather shards in other data centres; nil if nobody does.
	Delegates Delegates
}

// Meter counts what the engine does. Its methods are called under the lock of
// the engine.
type Meter interface {
	Sent(route, service, purpose string)
	Ended(service, result string)
	Finished(r *route.Route, outcome string, status, missing int, latency clock.Millis)
}

// Engine runs requests. It is safe for concurrent use.
type Engine struct {
	parts  Parts
	client *exchange.Client

	mu       sync.Mutex
	table    *route.Table
	set      *replica.Set
	out      map[string]bool
	profiles map[string]*dispatch.LatencyProfile
	gates    map[string]*dispatch.Admission // by the first service of a route
	urgent   map[string]int                 // highest priority of the routes to a service
	running  map[*call]struct{}
	reach    dispatch.PartitionDetector
	crashes  crashes
	stopAt   clock.Millis // instant at which the daemon ends, or 0
	viewed   clock.Millis // instant up to which the store is known
}

// New returns an engine without a configuration.
func New(parts Parts) *Engine {
	e := &Engine{
		parts:    parts,
		client:   exchange.NewClient(parts.Clock, parts.Names),
		set:      replica.NewSet(parts.DataCentre, parts.Random, parts.Budget),
		out:      make(map[string]bool),
		profiles: make(map[string]*dispatch.LatencyProfile),
		gates:    make(map[string]*dispatch.Admission),
		running:  make(map[*call]struct{}),
	}
	e.crashes.list.SetCanary(false)
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
	status     int
	reply      *exchange.Reply
	body       []byte
	seals      []string
	outcome    dispatch.Outcome // of an answer over many shards
	lost       string           // replica whose connection was lost, told to the daemon that delegated
	missing    []string
	retryAfter clock.Millis
	reason     string
	gone       bool
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

// Gone reports whether the caller left.
func (a Answer) Gone() bool { return a.gone }

func refusal(status int, reason string, after clock.Millis) Answer {
	return Answer{status: status, reason: reason, retryAfter: after}
}

const (
	startingRetry = 400 * clock.Millisecond
	leavingRetry  = 50 * clock.Millisecond
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

// Admit finds the route of a request before its body is read. The answer tells
// why the request cannot be served.
func (e *Engine) Admit(host, path string) (*route.Route, Answer) {
	e.mu.Lock()
	table := e.table
	e.mu.Unlock()
	if table == nil {
		return nil, refusal(http.StatusServiceUnavailable, "no configuration is known yet", startingRetry)
	}
	r, ok := table.Match(host, path)
	if !ok {
		return nil, refusal(http.StatusNotFound, "no route", 0)
	}
	return r, Answer{}
}

// Do runs a request on a route that Admit returned. It returns when there is an
// answer or ctx ends because the caller left.
func (e *Engine) Do(ctx context.Context, r *route.Route, request Request) Answer {
	return e.do(ctx, &call{engine: e, request: request, route: r, done: make(chan Answer, 1)})
}

func (e *Engine) do(ctx context.Context, c *call) Answer {
	c.start()
	for {
		select {
		case early := <-c.early:
			c.report(early.part())
		case answer := <-c.done:
			for len(c.early) > 0 { // the answer does not hold their parts
				c.report((<-c.early).part())
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
	return e.reach.CutOff(e.parts.Clock.Now(), linked)
}

// far reports whether a replica is in another data centre.
func (e *Engine) far(r *replica.Replica) bool { return r.Entry().DataCentre() != e.parts.DataCentre }

// Viewed says up to which instant the store is known.
func (e *Engine) Viewed(at clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.viewed = max(e.viewed, at)
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
	gate := e.gates[service]
	if gate == nil {
		gate = &dispatch.Admission{}
		e.gates[service] = gate
	}
	return dispatch.Resources{
		Set: e.set, Profile: e.profile(r), Admission: gate, LowPriority: r.Priority() > e.urgent[service],
		Draw: e.parts.Random.Float64(),
	}
}

// merge returns the answer over the shards that are in.
func merge(r *route.Route, parts []Part, missing []string) Answer {
	var records topk.Merger
	answer := Answer{status: http.StatusOK, missing: missing}
	for _, part := range parts {
		records.Add(part.Records)
		answer.seals = append(answer.seals, part.Seals...)
	}
	answer.body = records.Greatest(r.TopK())
	return answer
}
