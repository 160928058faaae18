// Package query fans one caller's query out over all shards of a service and
// collects the responses into an answer.
//
// A Query is a state machine without I/O: its adapter passes events in with the
// current time and carries out the returned actions in order. The query pins one
// snapshot version before the fan-out and accepts only responses of that version.
// If the replicas retire the version, the query restarts on another one.
//
// # Usage
//
//	q := query.New(request, policy, query.Dependencies{Picker: &pool, Catalogue: &catalogue})
//	actions := q.Start(now)
//	for each action: send or abort an attempt, replace the timer, or finish
//	actions = q.HandleResult(now, attempt, result) // when an attempt ends
//	actions = q.Tick(now)                          // when the timer fires
package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Query is the state of one query. It is not safe for concurrent use.
type Query struct {
	request      Request
	policy       Policy
	dependencies Dependencies
	delays       delays
	startedAt    clock.Millis
	versionState

	fallback         versionState       // version with the best coverage among previousVersions
	previousVersions []snapshot.Version // versions pinned before the last restart
	needsRestart     bool               // a shard failed because replicas no longer hold the pinned version

	fingerprint      quarantine.Fingerprint
	suspect          bool // the request may crash upstreams; never reset
	suspectRetryUsed bool // a suspect gets one retry in total
	quarantined      bool // the request was quarantined after Start
	canary           bool // one shard at a time until an upstream completes the request

	attempts           []attemptState
	mayHaveRun         int  // attempts without proof that they did not run, including running ones
	hasRun             bool // an upstream returned a valid response
	hedgeTokenHeld     bool // a token was taken for a hedge that could not be sent
	uncreditedAttempts int  // first attempts of shards that are not yet credited to the budgets
	counters           counters

	actions       []Action
	timerAt       clock.Millis  // instant of the outstanding Wake, or never
	nextDue       clock.Millis  // earliest instant at which Tick has work to do
	excludeBuffer []upstream.ID // result of replicasOf, reused by the next call
	explain       bool
	steps         []Step
	finished      bool
}

// versionState is the state of the fan-out on one version.
type versionState struct {
	shardMap         snapshot.ShardMap
	coverage         snapshot.Coverage
	parts            [][]byte       // responses by shard; nil unless covered
	shards           []shardState   // by shard
	openShards       int            // started shards that are neither covered nor failed
	nextShard        snapshot.Shard // lowest shard that has not been started
	fanOutAt         clock.Millis   // start of the full fan-out, after canary mode
	versionWithdrawn bool           // a replica has answered that it no longer holds the version
}

// delays holds the delays that are derived from the service's latency. Zero
// disables what the delay is for.
type delays struct {
	firstHedge     clock.Millis // from the start of an attempt
	secondHedge    clock.Millis // from the first hedge
	tail           clock.Millis // from fanOutAt until missing shards count as late
	attemptTimeout clock.Millis // from the start of an attempt
}

// counters holds the numbers of events that the answer reports.
type counters struct {
	hedges      int
	retries     int
	lateResults int
	cancelled   int
	restarts    int
}

// New returns a query in its initial state. Start begins the fan-out.
func New(request Request, policy Policy, dependencies Dependencies) *Query {
	return &Query{request: request, policy: policy, dependencies: dependencies}
}

// EnableExplanation makes the query record the steps that Answer.Steps returns.
// It must be called before Start.
func (q *Query) EnableExplanation() { q.explain = true }

// Start pins a snapshot version and starts an attempt for every shard, or for
// one shard in canary mode. It must be called once.
func (q *Query) Start(now clock.Millis) []Action {
	q.startedAt = now
	q.timerAt = never
	q.nextDue = q.request.deadline
	if now >= q.request.deadline {
		return q.finish(now, BelowMinimum, "deadline passed before the start")
	}
	if !q.checkQuarantine(now) {
		return q.finish(now, Quarantined, "request is quarantined because it crashes upstreams")
	}
	shardMap, ok := q.dependencies.Catalogue.Choose()
	if !ok || !shardMap.Known() {
		return q.finish(now, NoSnapshot, "no replica has reported a snapshot")
	}
	q.pinVersion(now, shardMap)
	q.fanOut(now)
	return q.advance(now)
}

// checkQuarantine initializes the quarantine state of the request. It returns
// false if the request is quarantined.
func (q *Query) checkQuarantine(now clock.Millis) bool {
	list := q.dependencies.Quarantine
	if list == nil {
		return true
	}
	q.fingerprint = quarantine.FingerprintOf(q.request.service, q.request.body)
	if list.IsBlocked(now, q.fingerprint) {
		return false
	}
	q.suspect = list.IsSuspect(now, q.fingerprint)
	q.canary = list.NeedsCanary(now, q.fingerprint)
	return true
}

// recheckQuarantine applies evidence from crashes that other queries have
// recorded since Start. It returns false if the request is now quarantined.
func (q *Query) recheckQuarantine(now clock.Millis) bool {
	list := q.dependencies.Quarantine
	if list == nil {
		return true
	}
	q.quarantined = q.quarantined || list.IsBlocked(now, q.fingerprint)
	if list.IsSuspect(now, q.fingerprint) {
		q.markSuspect(now)
	}
	return !q.quarantined
}

// HandleResult processes the end of an attempt. A response for another shard or
// version than the requested one counts as a failure of the upstream. A result of
// an attempt that was aborted, or that has already ended, is counted and dropped.
// Results after Finish are ignored.
func (q *Query) HandleResult(now clock.Millis, attempt AttemptID, attemptResult AttemptResult) []Action {
	if q.finished || int(attempt) >= len(q.attempts) {
		return nil
	}
	a := &q.attempts[attempt]
	if a.ended {
		q.dropLateResult(now, a, attemptResult)
		return nil
	}
	result := a.validate(attemptResult)
	q.endAttempt(now, a, result)
	q.recordStep(now, a.shard, a.choice.Upstream(), EventResult, result.Outcome().String())
	switch {
	case now > q.request.deadline:
		// A response after the deadline does not count; advance ends the query.
	case result.Outcome() == upstream.OK:
		q.handleSuccess(now, a, attemptResult.data)
	default:
		q.handleFailure(now, a, result.Outcome())
	}
	return q.advance(now)
}

// dropLateResult counts the result of an attempt that has already ended. If the
// first result was taken as proof that the attempt did not run and this one is
// not, the proof is withdrawn.
func (q *Query) dropLateResult(now clock.Millis, a *attemptState, attemptResult AttemptResult) {
	q.counters.lateResults++
	if a.provenNotRun && !attemptResult.result.Outcome().NotRun() {
		a.provenNotRun = false
		q.mayHaveRun++
	}
	q.recordStep(now, a.shard, a.choice.Upstream(), EventDrop, "attempt has already ended")
}

// Tick does the work that is due: it picks replicas for waiting shards, sends
// hedges, times out attempts and ends the query at its deadline. The adapter
// calls it at the instant of the last Wake; an earlier call is allowed.
func (q *Query) Tick(now clock.Millis) []Action {
	if q.finished {
		return nil
	}
	q.timerAt = never
	q.nextDue = q.request.deadline
	if now < q.request.deadline && q.recheckQuarantine(now) {
		for shard := range q.shards {
			q.tickShard(now, snapshot.Shard(shard))
		}
	}
	return q.advance(now)
}

// Cancel ends the query with outcome Abandoned.
func (q *Query) Cancel(now clock.Millis) []Action {
	if q.finished {
		return nil
	}
	return q.finish(now, Abandoned, "cancelled by the caller")
}

// advance runs after each event. It ends the query, restarts it on another
// version, starts the next canary shard, or returns the actions collected so far.
func (q *Query) advance(now clock.Millis) []Action {
	for !q.finished {
		switch {
		case q.quarantined:
			return q.finish(now, Quarantined, "request is quarantined because it crashes upstreams")
		case now >= q.request.deadline:
			return q.finish(now, q.outcome(), "deadline passed")
		case q.needsRestart && q.restart(now):
			// The fan-out on the new version may already have closed every shard.
		case q.openShards > 0 && q.tailReached(now):
			return q.finish(now, q.outcome(), "wanted coverage reached and missing shards are later than the tail latency")
		case q.openShards > 0:
			return q.flush()
		case !q.continueCanary(now):
			return q.finish(now, q.outcome(), "every shard is covered or failed")
		}
	}
	return nil
}

// tailReached reports whether TailFirst stops waiting for missing shards.
func (q *Query) tailReached(now clock.Millis) bool {
	if q.policy.mode != TailFirst || q.delays.tail == 0 || q.canary {
		return false
	}
	due := q.fanOutAt + q.delays.tail
	if now < due {
		q.scheduleTick(due)
		return false
	}
	return q.coverage.Fraction() >= max(q.policy.WantedCoverage(), q.minCoverage())
}

// minCoverage returns the minimum coverage of the request, else that of the policy.
func (q *Query) minCoverage() float64 {
	if q.request.minCoverageSet {
		return q.request.minCoverage
	}
	return q.policy.minCoverage
}

// scheduleTick ensures that Tick is called no later than at.
func (q *Query) scheduleTick(at clock.Millis) {
	q.nextDue = min(q.nextDue, at)
}

// flush credits the budgets and returns the collected actions. It adds a Wake
// if the outstanding one is later than the next work.
func (q *Query) flush() []Action {
	if q.uncreditedAttempts > 0 {
		q.dependencies.creditBudgets(q.uncreditedAttempts)
		q.uncreditedAttempts = 0
	}
	if q.nextDue < q.timerAt {
		q.timerAt = q.nextDue
		q.actions = append(q.actions, Action{kind: Wake, at: q.timerAt})
	}
	actions := q.actions
	q.actions = nil
	return actions
}
