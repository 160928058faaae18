// Package routing serves callers' requests on the routes of the configuration.
//
// Package core/dispatch decides which replicas a request is sent to. The engine
// holds what the state machines of all requests share under one lock: the
// configuration in force, the replicas and their health. Exchanges with replicas
// run outside of the lock.
//
// # Usage
//
//	e := routing.New(routing.Dependencies{…})
//	e.ApplyUpdates(updates) // from the platform's store
//	r, refused := e.MatchRoute(host, path)
//	answer := e.Serve(ctx, r, routing.Request{…}) // one goroutine per request
package routing

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
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

// Dependencies holds the collaborators and fixed settings of an engine.
type Dependencies struct {
	Clock clock.Clock
	// SuspendingClock also counts the time during which the machine is suspended.
	SuspendingClock clock.Clock
	// MaxProofAge is the age of the proof of RecordProof above which requests with a key
	// are refused; 0 means no limit.
	MaxProofAge clock.Millis
	Log         logr.Logger
	DataCentre  string
	Names       exchange.HeaderNames
	Random      *rand.Rand
	Budget      replica.BudgetPolicy
	Meter       Meter
	// LogRoutine reports whether to log a request that was served in time; nil
	// logs none of them.
	LogRoutine func() bool
	// PublishCrash reports to the peers that a request may have crashed a replica; nil
	// disables it. It is called under the lock of the engine and must not block.
	PublishCrash func(f quarantine.Fingerprint, replica string)
	// PublishQuarantine publishes to the peers that a request is quarantined for the time
	// left; nil disables it. It is called like PublishCrash.
	PublishQuarantine func(f quarantine.Fingerprint, left clock.Millis)
	// Delegates gathers shards through daemons of other data centres; nil disables
	// delegation.
	Delegates Delegates
	// Allowances limits the requests of tenants; nil means no limits.
	Allowances Allowances
	// ReplyMemory bounds the bytes of the replies of replicas that are read or sent to
	// callers at a time; zero stands for the default.
	ReplyMemory int64
}

// Meter records metrics of attempts and requests. Its methods are called under
// the lock of the engine and must not call back.
type Meter interface {
	AttemptSent(route, service, purpose string)
	AttemptEnded(service, result string)
	RequestFinished(r *route.Route, outcome string, status, missing int, latency clock.Millis)
	// TenantRequest counts a request of a tenant; refused is the reason for which it was
	// not run, or "". It is called without the lock, like KeyRefused.
	TenantRequest(tenant, refused string)
	// KeyRefused counts a request that Authorize has refused.
	KeyRefused(reason string)
}

// Engine serves requests. It is safe for concurrent use.
type Engine struct {
	deps   Dependencies
	client *exchange.Client

	mu            sync.Mutex
	table         *route.Table
	replicas      *replica.Set
	outOfService  map[string]bool
	profiles      map[string]*dispatch.LatencyProfile
	delays        map[string]*dispatch.DelayProfile // by route, like profiles
	lateness      dispatch.TimerLateness
	admissions    map[string]*dispatch.Admission // by the first service of a route
	priorities    map[string][]int               // of the requests to a service, as route.Table.Priorities returns them
	running       map[*call]struct{}
	partition     dispatch.PartitionDetector
	crashes       crashTracker
	releases      map[string]*releaseEvidence // by service, while its versions are restricted
	stopAt        clock.Millis                // when the daemon exits, or 0 if no stop is planned
	storeViewTime clock.Millis                // time up to which changes of the store are known
	panics        int64                       // events whose handling panicked
	provenAt      clock.Millis                // of the latest proof, on the clock that counts suspension
	proven        bool                        // whether there is a proof
	staleLogged   bool                        // the last logged result of configurationStale
}

// New returns an engine without a configuration. It refuses requests until
// ApplyUpdates has set a routing table.
func New(deps Dependencies) *Engine {
	e := &Engine{
		deps:         deps,
		client:       exchange.NewClient(deps.Clock, deps.Names),
		replicas:     replica.NewSet(deps.DataCentre, deps.Random, deps.Budget),
		outOfService: make(map[string]bool),
		profiles:     make(map[string]*dispatch.LatencyProfile),
		delays:       make(map[string]*dispatch.DelayProfile),
		admissions:   make(map[string]*dispatch.Admission),
		running:      make(map[*call]struct{}),
		releases:     make(map[string]*releaseEvidence),
	}
	if deps.ReplyMemory > 0 {
		e.client.LimitReplyMemory(deps.ReplyMemory)
	}
	e.crashes.quarantine.SetCanaryEnabled(false)
	e.crashes.quarantine.SetOutageSpread(outageSpread)
	return e
}

// Request is a caller's request with its whole body.
type Request struct {
	ID       string
	Method   string
	Target   string // request target, as in the request line
	Host     string
	Header   http.Header // without hop-by-hop headers
	Body     []byte
	Deadline clock.Millis  // time left, or 0 if the caller set no deadline
	Tenant   *route.Tenant // of the caller's key, or nil
	KeyHash  route.KeyHash // of the caller's key, if Tenant is set and no daemon delegated the request
	Arrival  dispatch.Arrival

	submittedAt clock.Millis // before the wait for the tenant's allowance, or 0 without one
}

// Answer is the result of a request: the reply of a replica, the merged records
// of many shards, or a refusal.
type Answer struct {
	status      int
	reply       *exchange.Reply
	body        []byte
	seals       []string
	outcome     dispatch.Outcome // only of an answer over many shards
	lostReplica string           // replica whose connection was lost, reported to the delegating daemon
	leaving     []replica.Observation
	missing     []string
	retryAfter  clock.Millis
	reason      string
	callerGone  bool
	route       *route.Route
	decidedAt   clock.Millis // instant of the decision to answer, or 0 without an answer of replicas
}

// Status returns the HTTP status code.
func (a Answer) Status() int { return a.status }

// Reply returns the replica's reply to pass on unchanged, or nil.
func (a Answer) Reply() *exchange.Reply { return a.reply }

// Body returns the merged records of an answer over many shards, or nil.
func (a Answer) Body() []byte { return a.body }

// Seals returns the replicas' proofs for the parts of an answer over many
// shards.
func (a Answer) Seals() []string { return a.seals }

// Missing returns the number of shards that the answer does not cover.
func (a Answer) Missing() int { return len(a.missing) }

// RetryAfter returns how long the caller should wait before it retries a refused
// request, or 0 if no time is known.
func (a Answer) RetryAfter() clock.Millis { return a.retryAfter }

// Reason describes why there is no answer of a replica, for people.
func (a Answer) Reason() string { return a.reason }

// CallerGone reports whether the caller left before there was an answer.
func (a Answer) CallerGone() bool { return a.callerGone }

func refusal(status int, reason string, retryAfter clock.Millis) Answer {
	return Answer{status: status, reason: reason, retryAfter: retryAfter}
}

// Times after which callers should retry a refused request.
const (
	startingRetryAfter = 400 * clock.Millisecond
	stoppingRetryAfter = 50 * clock.Millisecond
)

// Limits returns the limits on callers from the configuration in force, and
// false if there is no configuration yet.
func (e *Engine) Limits() (route.Limits, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table == nil {
		return route.Limits{}, false
	}
	return e.table.Limits(), true
}

// MatchRoute returns the route of a request; it needs no body. If the request cannot
// be served, the route is nil and the answer holds status and reason.
func (e *Engine) MatchRoute(host, path string) (*route.Route, Answer) {
	e.mu.Lock()
	table := e.table
	e.mu.Unlock()
	if table == nil {
		return nil, refusal(http.StatusServiceUnavailable, "no configuration loaded yet", startingRetryAfter)
	}
	r, ok := table.Match(host, path)
	if !ok {
		return nil, refusal(http.StatusNotFound, "no route matches the host and path", 0)
	}
	return r, Answer{}
}

// Serve runs a request on a route that MatchRoute returned. It returns when there is an
// answer, or when ctx ends because the caller left.
func (e *Engine) Serve(ctx context.Context, r *route.Route, request Request) Answer {
	if request.Tenant == nil {
		return e.serveAdmitted(ctx, r, request)
	}
	answer := e.serveForTenant(ctx, r, request)
	e.deps.Meter.TenantRequest(request.Tenant.Name(), answer.refusedReason())
	return answer
}

func (e *Engine) serveAdmitted(ctx context.Context, r *route.Route, request Request) Answer {
	return e.run(ctx, &call{engine: e, request: request, route: r, done: make(chan Answer, 1)})
}

func (e *Engine) run(ctx context.Context, c *call) Answer {
	c.start()
	for {
		select {
		case early := <-c.earlyAnswers:
			c.onReport(early.part())
		case answer := <-c.done:
			for len(c.earlyAnswers) > 0 { // the final answer does not include their parts
				c.onReport((<-c.earlyAnswers).part())
			}
			return answer
		case <-ctx.Done():
			c.cancel()
			return <-c.done
		}
	}
}

// RecordWritten records that the last byte of an answer has been given to the kernel.
func (e *Engine) RecordWritten(answer Answer) {
	if answer.decidedAt == 0 {
		return
	}
	now := e.deps.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delayProfile(answer.route).Record(now, now-answer.decidedAt, &e.lateness)
}

// StopAt sets the time at which the daemon exits. Of the requests that start after
// the call, those that are not expected to end before that time are refused, and
// the others get it as their latest deadline.
func (e *Engine) StopAt(at clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopAt = at
}

// CutOff reports whether this data centre appears to be cut off, so that callers
// should use daemons of other data centres. Linked says whether this daemon has
// links to daemons of other data centres.
func (e *Engine) CutOff(linked bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.partition.CutOff(e.deps.Clock.Now(), linked)
}

// isRemote reports whether a replica is in another data centre.
func (e *Engine) isRemote(r *replica.Replica) bool {
	return r.Entry().DataCentre() != e.deps.DataCentre
}

// RecordStoreView records that all changes of the store up to a time are known. Those of
// the same reply are applied before, as they may have been made earlier.
func (e *Engine) RecordStoreView(at clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeViewTime = max(e.storeViewTime, at)
	e.replicas.RecordView(at)
}

// Running returns the number of requests in progress.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Close closes the connections to replicas.
func (e *Engine) Close() { e.client.Close() }

// profile returns the latency profile of a route. The caller holds the lock.
func (e *Engine) profile(r *route.Route) *dispatch.LatencyProfile {
	p := e.profiles[r.Name()]
	if p == nil {
		p = &dispatch.LatencyProfile{}
		e.profiles[r.Name()] = p
	}
	return p
}

// delayProfile returns the delay profile of a route. The caller holds the lock.
func (e *Engine) delayProfile(r *route.Route) *dispatch.DelayProfile {
	p := e.delays[r.Name()]
	if p == nil {
		p = &dispatch.DelayProfile{}
		e.delays[r.Name()] = p
	}
	return p
}

// resources returns the resources that the requests of a tenant, or nil, on a route
// share. The caller holds the lock.
func (e *Engine) resources(r *route.Route, tenant *route.Tenant) dispatch.Resources {
	service := r.Services()[0]
	admission := e.admissions[service]
	if admission == nil {
		admission = &dispatch.Admission{}
		e.admissions[service] = admission
	}
	resources := dispatch.Resources{
		Set: e.replicas, Profile: e.profile(r), Delays: e.delayProfile(r), Admission: admission, Random: e.deps.Random.Float64(),
	}
	rank, _ := slices.BinarySearch(e.priorities[service], tenant.PriorityOn(r))
	resources.LowPriority = rank > 0
	if tenant != nil {
		resources.TenantRank, resources.RankDraw = rank, e.deps.Random.Float64()
	}
	return resources
}

// mergeParts merges the parts into one answer with the greatest records of the route's
// top K.
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
