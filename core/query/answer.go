package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
)

// Outcome is how a query ended.
type Outcome uint8

// Outcomes.
const (
	// Answered: the coverage is at least the minimum, and not zero.
	Answered Outcome = iota
	// BelowMinimum: the deadline passed, or every shard was covered or
	// failed, before the minimum coverage was reached.
	BelowMinimum
	// NoSnapshot: no replica of the service has reported a snapshot.
	NoSnapshot
	// Quarantined: the request is refused because it crashes upstreams. It
	// may have run if it was quarantined during this query; see Answer.RunState.
	Quarantined
	// Abandoned: the caller cancelled the query.
	Abandoned
)

// RunState is what is known about the execution of a request on any upstream.
type RunState uint8

// Run states.
const (
	// NotRun: every attempt is proven not to have run.
	NotRun RunState = iota
	// MayHaveRun: no upstream answered, but an attempt may have run.
	MayHaveRun
	// HasRun: an upstream returned a valid response.
	HasRun
)

var runStateNames = [...]string{"not-run", "may-have-run", "ran"}

// String returns the form that callers receive.
func (r RunState) String() string { return runStateNames[r] }

// Part is the response of one shard.
type Part struct {
	shard snapshot.Shard
	data  []byte
}

// Shard returns the shard that answered.
func (p Part) Shard() snapshot.Shard { return p.shard }

// Data returns the body of the response as the upstream sent it.
func (p Part) Data() []byte { return p.data }

// Answer is the result of a query.
type Answer struct {
	outcome  Outcome
	runState RunState
	version  snapshot.Version
	coverage snapshot.Coverage
	parts    []Part
	elapsed  clock.Millis
	steps    []Step
	sent     int
	counters counters
}

// Outcome returns how the query ended.
func (a *Answer) Outcome() Outcome { return a.outcome }

// RunState returns whether the request has run on any upstream.
func (a *Answer) RunState() RunState { return a.runState }

// Version returns the snapshot version of every part.
func (a *Answer) Version() snapshot.Version { return a.version }

// Coverage returns which shards of the version the parts cover.
func (a *Answer) Coverage() snapshot.Coverage { return a.coverage }

// Parts returns the responses in shard order, one for each covered shard.
func (a *Answer) Parts() []Part { return a.parts }

// Elapsed returns the time from Start to Finish.
func (a *Answer) Elapsed() clock.Millis { return a.elapsed }

// Steps returns the explanation in order of time, or nil if it is not enabled.
func (a *Answer) Steps() []Step { return a.steps }

// Sent returns the number of attempts.
func (a *Answer) Sent() int { return a.sent }

// Hedges returns the number of hedges among the attempts.
func (a *Answer) Hedges() int { return a.counters.hedges }

// Retries returns the number of retries among the attempts.
func (a *Answer) Retries() int { return a.counters.retries }

// LateResults returns the number of late or duplicate results that were dropped
// because the attempt had already ended.
func (a *Answer) LateResults() int { return a.counters.lateResults }

// Cancelled returns the number of attempts that were cancelled, such as the
// slower one of a hedged pair.
func (a *Answer) Cancelled() int { return a.counters.cancelled }

// Restarts returns how often the query restarted on another version.
func (a *Answer) Restarts() int { return a.counters.restarts }

// finish aborts the running attempts and returns the last actions of the query.
func (q *Query) finish(now clock.Millis, outcome Outcome, reason string) []Action {
	q.confirmCrash(now)
	q.abortAll(now, reason)
	q.finished = true
	if q.uncreditedAttempts > 0 {
		q.dependencies.creditBudgets(q.uncreditedAttempts)
	}
	q.recordStep(now, 0, "", EventFinish, reason)
	actions := append(q.actions, Action{kind: Finish, answer: q.newAnswer(now, outcome)})
	q.actions = nil
	return actions
}

// newAnswer builds the answer from the version of answerState, so that all parts
// come from one version.
func (q *Query) newAnswer(now clock.Millis, outcome Outcome) *Answer {
	state := q.answerState()
	answer := &Answer{
		outcome:  outcome,
		runState: q.runState(),
		version:  state.shardMap.Version(),
		coverage: state.coverage,
		elapsed:  now - q.startedAt,
		steps:    q.steps,
		sent:     len(q.attempts),
		counters: q.counters,
	}
	answer.parts = make([]Part, 0, state.coverage.Covered())
	for shard, data := range state.parts {
		if state.coverage.Has(snapshot.Shard(shard)) {
			answer.parts = append(answer.parts, Part{shard: snapshot.Shard(shard), data: data})
		}
	}
	return answer
}

// answerState returns the state of the version with the best coverage: the pinned
// version, or an earlier one that covered more before the query restarted.
func (q *Query) answerState() *versionState {
	if q.fallback.coverage.Fraction() > q.coverage.Fraction() {
		return &q.fallback
	}
	return &q.versionState
}

func (q *Query) outcome() Outcome {
	coverage := q.answerState().coverage
	if coverage.Covered() == 0 || coverage.Fraction() < q.minCoverage() {
		return BelowMinimum
	}
	return Answered
}

// runState returns NotRun only if every attempt is proven not to have run.
func (q *Query) runState() RunState {
	switch {
	case q.hasRun:
		return HasRun
	case q.mayHaveRun > 0:
		return MayHaveRun
	default:
		return NotRun
	}
}
