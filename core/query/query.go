// Package query runs one caller's query over all shards of a service.
//
// A Query is a state machine without I/O: the adapter feeds it events with the
// current time and carries out the actions it returns, in order. It pins one
// snapshot version before the fan-out and accepts only sub-answers of that
// version; if the version vanishes, the whole query starts again on another.
//
// # Usage
//
//	q := query.New(request, policy, query.Dependencies{Picker: &pool, Catalogue: &catalogue})
//	actions := q.Start(now)
//	for each action: send, abort, replace the timer, or finish
//	actions = q.SubAnswer(now, attempt, subAnswer)
//	actions = q.Tick(now)
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

	fallback         versionState       // earlier version with the best coverage
	previousVersions []snapshot.Version // versions that were pinned before
	needsRestart     bool               // a shard of the pinned version is lost to all replicas

	fingerprint      quarantine.Fingerprint
	suspect          bool // may crash upstreams; stays set until the end
	suspectRetryUsed bool // the one retry of a suspect has been granted
	quarantined      bool // quarantined while running
	canary           bool // one shard at a time until an upstream has survived

	attempts           []attemptState
	mayHaveRun         int  // attempts that are not proven not run
	hasRun             bool // some upstream returned a valid sub-answer
	hedgeTokenHeld     bool // a hedge token was taken but no hedge could be sent
	uncreditedAttempts int  // first sub-requests that the budgets have not been told of
	counters           counters

	actions       []Action
	timerAt       clock.Millis // instant of the Wake that is outstanding
	nextDue       clock.Millis // earliest instant at which something is due
	excludeBuffer []upstream.ID
	explain       bool
	steps         []Step
	finished      bool
}

// versionState is the state of the fan-out on one version.
type versionState struct {
	shardMap         snapshot.ShardMap
	coverage         snapshot.Coverage
	parts            [][]byte
	shards           []shardState
	openShards       int            // shards that may still get a sub-answer
	nextShard        snapshot.Shard // shards below it have been asked
	fanOutAt         clock.Millis   // instant at which the whole fan-out was allowed
	versionWithdrawn bool           // some replica no longer has the version
}

// delays are the delays that follow from the service's latency. Zero means
// that there is none.
type delays struct {
	firstHedge     clock.Millis
	secondHedge    clock.Millis // from the first hedge to the second
	tail           clock.Millis
	attemptTimeout clock.Millis
}

type counters struct {
	hedges      int
	retries     int
	lateResults int
	cancelled   int
	restarts    int
}

// New returns a query that is ready to start.
func New(request Request, policy Policy, dependencies Dependencies) *Query {
	return &Query{request: request, policy: policy, dependencies: dependencies}
}

// EnableExplanation makes the query record its steps for the answer.
func (q *Query) EnableExplanation() { q.explain = true }

// Start pins a snapshot version and sends a sub-request for every shard.
func (q *Query) Start(now clock.Millis) []Action {
	q.startedAt = now
	q.timerAt = never
	q.nextDue = q.request.deadline
	if now >= q.request.deadline {
		return q.finish(now, BelowMinimum, "deadline passed before the start")
	}
	if !q.checkQuarantine(now) {
		return q.finish(now, Quarantined, "crashes upstreams")
	}
	shardMap, ok := q.dependencies.Catalogue.Choose()
	if !ok || !shardMap.Known() {
		return q.finish(now, NoSnapshot, "no replica has reported a snapshot")
	}
	q.pinVersion(now, shardMap)
	q.fanOut(now)
	return q.advance(now)
}

// checkQuarantine looks the request up in the quarantine. It returns false if the
// request is blocked.
func (q *Query) checkQuarantine(now clock.Millis) bool {
	list := q.dependencies.Quarantine
	if list == nil {
		return true
	}
	q.fingerprint = quarantine.FingerprintOf(q.request.service, q.request.body)
	if list.Blocked(now, q.fingerprint) {
		return false
	}
	q.suspect = list.Suspect(now, q.fingerprint)
	q.canary = list.Canary(now, q.fingerprint)
	return true
}

// recheckQuarantine takes up what crashes of other queries have shown since the start.
// It returns false if the request is blocked by now.
func (q *Query) recheckQuarantine(now clock.Millis) bool {
	list := q.dependencies.Quarantine
	if list == nil {
		return true
	}
	q.quarantined = q.quarantined || list.Blocked(now, q.fingerprint)
	if list.Suspect(now, q.fingerprint) {
		q.markSuspect(now)
	}
	return !q.quarantined
}

// HandleResult takes the end of a sub-request. An answer for another shard or
// version than the one asked counts as a failure of the upstream. The end of
// an attempt that was aborted, or that has ended already, is dropped.
func (q *Query) HandleResult(now clock.Millis, attempt AttemptID, answer AttemptResult) []Action {
	if q.finished || int(attempt) >= len(q.attempts) {
		return nil
	}
	a := &q.attempts[attempt]
	if a.ended {
		q.dropLateResult(now, a, answer)
		return nil
	}
	result := a.validate(answer)
	q.endAttempt(now, a, result)
	q.recordStep(now, a.shard, a.choice.Upstream(), EventResult, result.Kind().String())
	switch {
	case now > q.request.deadline:
		// A late sub-answer covers nothing; settle ends the query.
	case result.Kind() == upstream.OK:
		q.handleSuccess(now, a, answer.data)
	default:
		q.handleFailure(now, a, result.Kind())
	}
	return q.advance(now)
}

// dropLateResult counts an end that comes too late to matter. An end that proves that
// the attempt ran still corrects what is known about the request having run.
func (q *Query) dropLateResult(now clock.Millis, a *attemptState, answer AttemptResult) {
	q.counters.lateResults++
	if a.provenNotRun && !answer.result.Kind().NotRun() {
		a.provenNotRun = false
		q.mayHaveRun++
	}
	q.recordStep(now, a.shard, a.choice.Upstream(), EventDrop, "the attempt has ended already")
}

// Tick does what is due: it asks again for replicas, sends hedges, gives up
// silent attempts and ends the query at its deadline. A Tick that comes early
// does no harm.
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

// Cancel ends the query because its caller went away.
func (q *Query) Cancel(now clock.Millis) []Action {
	if q.finished {
		return nil
	}
	return q.finish(now, Abandoned, "the caller went away")
}

// advance decides after each event whether the query goes on.
func (q *Query) advance(now clock.Millis) []Action {
	for !q.finished {
		switch {
		case q.quarantined:
			return q.finish(now, Quarantined, "crashes upstreams")
		case now >= q.request.deadline:
			return q.finish(now, q.outcome(), "deadline passed")
		case q.needsRestart && q.restart(now):
			// The fan-out on the new version may have settled already.
		case q.openShards > 0 && q.tailReached(now):
			return q.finish(now, q.outcome(), "wanted coverage reached, missing shards are late")
		case q.openShards > 0:
			return q.flush()
		case !q.continueCanary(now):
			return q.finish(now, q.outcome(), "no shard is open")
		}
	}
	return nil
}

// tailReached reports whether tail-first stops waiting for missing shards.
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

func (q *Query) minCoverage() float64 {
	if q.request.minCoverageSet {
		return q.request.minCoverage
	}
	return q.policy.minCoverage
}

// scheduleTick makes sure that Tick is called at the instant at, or earlier.
func (q *Query) scheduleTick(at clock.Millis) {
	q.nextDue = min(q.nextDue, at)
}

// flush returns the collected actions. It adds a Wake only if the one that is
// outstanding comes too late.
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
