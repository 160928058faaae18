package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
)

// Outcome says how a query ended.
type Outcome uint8

// Outcomes.
const (
	// Answered: the coverage reaches the request's minimum.
	Answered Outcome = iota
	// BelowMinimum: the deadline passed or no replica was left before the
	// minimum coverage was reached.
	BelowMinimum
	// NoSnapshot: no replica of the service has reported a snapshot.
	NoSnapshot
	// Quarantined: the request is blocked because it crashes upstreams. It
	// may have run if it was blocked during this query; see Answer.Ran.
	Quarantined
	// Abandoned: the caller went away.
	Abandoned
)

// RunState says what is known about a request having run on any upstream.
type RunState uint8

// Degrees of knowledge.
const (
	NotRun RunState = iota
	MayHaveRun
	HasRun
)

var runStateNames = [...]string{"not-run", "may-have-run", "ran"}

// String returns the form used towards callers.
func (r RunState) String() string { return runStateNames[r] }

// Part is the sub-answer of one shard.
type Part struct {
	shard snapshot.Shard
	data  []byte
}

// Shard returns the shard that answered.
func (p Part) Shard() snapshot.Shard { return p.shard }

// Data returns the sub-answer as the upstream sent it.
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

// RunState returns what is known about the request having run.
func (a *Answer) RunState() RunState { return a.runState }

// Version returns the snapshot version of every part.
func (a *Answer) Version() snapshot.Version { return a.version }

// Coverage returns which shards of that version the parts cover.
func (a *Answer) Coverage() snapshot.Coverage { return a.coverage }

// Parts returns the sub-answers in shard order, one for each covered shard.
func (a *Answer) Parts() []Part { return a.parts }

// Elapsed returns the time from Start to the end.
func (a *Answer) Elapsed() clock.Millis { return a.elapsed }

// Steps explains what was done, in order.
func (a *Answer) Steps() []Step { return a.steps }

// Sent returns the number of sub-requests that were sent.
func (a *Answer) Sent() int { return a.sent }

// Hedges returns the number of hedges among the sent sub-requests.
func (a *Answer) Hedges() int { return a.counters.hedges }

// Retries returns the number of retries among the sent sub-requests.
func (a *Answer) Retries() int { return a.counters.retries }

// LateResults returns the number of ends of sub-requests that were dropped because
// the attempt had ended already: late or duplicate ones.
func (a *Answer) LateResults() int { return a.counters.lateResults }

// Cancelled returns the number of sub-requests that were cancelled, such as
// the slower one of a hedged pair.
func (a *Answer) Cancelled() int { return a.counters.cancelled }

// Restarts returns how often the query moved to another version.
func (a *Answer) Restarts() int { return a.counters.restarts }

// finish aborts what still runs and hands out the answer.
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

// newAnswer builds the answer from the pinned version, or from an earlier one
// that got further before it vanished. All parts come from one version.
func (q *Query) newAnswer(now clock.Millis, outcome Outcome) *Answer {
	source := q.answerState()
	answer := &Answer{
		outcome:  outcome,
		runState: q.runState(),
		version:  source.shardMap.Version(),
		coverage: source.coverage,
		elapsed:  now - q.startedAt,
		steps:    q.steps,
		sent:     len(q.attempts),
		counters: q.counters,
	}
	answer.parts = make([]Part, 0, source.coverage.Covered())
	for shard, data := range source.parts {
		if source.coverage.Has(snapshot.Shard(shard)) {
			answer.parts = append(answer.parts, Part{shard: snapshot.Shard(shard), data: data})
		}
	}
	return answer
}

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

// runState says NotRun only if every attempt is proven not run.
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
