package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// attemptState is the state of one attempt at a shard.
type attemptState struct {
	shard           snapshot.Shard
	version         snapshot.Version
	previousAttempt int32 // index + 1 of the preceding attempt at the same shard, or 0
	choice          upstream.Choice
	timeoutAt       clock.Millis
	kind            upstream.Outcome // valid once ended
	ended           bool
	provenNotRun    bool // the result proves that the attempt did not run
}

// validate turns an OK result into a failure if the response is empty or is not
// for the requested shard and version.
func (a *attemptState) validate(attemptResult AttemptResult) upstream.Result {
	result := attemptResult.result
	if result.Outcome() != upstream.OK {
		return result
	}
	if attemptResult.shard != a.shard || attemptResult.version != a.version || len(attemptResult.data) == 0 {
		return upstream.NewResult(upstream.Failed, result.Latency(), result.Boot())
	}
	return result
}

// sendAttempt starts an attempt for shard at the chosen replica.
func (q *Query) sendAttempt(now clock.Millis, shard snapshot.Shard, choice upstream.Choice) {
	s := &q.shards[shard]
	attempt := AttemptID(len(q.attempts))
	timeoutAt := q.attemptTimeoutAt(now)
	version := q.shardMap.Version()
	q.attempts = append(q.attempts, attemptState{
		shard: shard, version: version, previousAttempt: s.lastAttempt, choice: choice, timeoutAt: timeoutAt,
	})
	s.lastAttempt = int32(attempt) + 1
	s.runningAttempts++
	s.phase = running
	if choice.Via() == "" {
		// A relaying peer may refuse the attempt, so only a direct attempt resets
		// the backoff.
		s.pickBackoff = 0
	}
	q.mayHaveRun++
	q.scheduleHedge(now, s)
	q.scheduleTick(timeoutAt)
	q.actions = append(q.actions, Action{
		kind: Send, attempt: attempt, shard: shard, version: version, choice: choice, at: q.request.deadline,
	})
}

// attemptTimeoutAt returns the instant at which an attempt without a result times
// out. A request that is not idempotent cannot be resent and waits until the
// deadline.
func (q *Query) attemptTimeoutAt(now clock.Millis) clock.Millis {
	if q.request.nonIdempotent {
		return q.request.deadline
	}
	return min(now+q.delays.attemptTimeout, q.request.deadline)
}

// endAttempt ends an attempt and passes its result to the picker.
func (q *Query) endAttempt(now clock.Millis, a *attemptState, result upstream.Result) {
	a.ended = true
	a.kind = result.Outcome()
	q.shards[a.shard].runningAttempts--
	if a.kind.NotRun() {
		a.provenNotRun = true
		q.mayHaveRun--
	}
	if a.kind == upstream.OK {
		q.hasRun = true
	}
	q.dependencies.Picker.Done(now, a.choice, result)
}

// abortAttempt cancels a running attempt. An attempt that has run for the attempt
// timeout or longer ends as Timeout, which is evidence against its connection.
func (q *Query) abortAttempt(now clock.Millis, index int, reason string) {
	a := &q.attempts[index]
	kind := upstream.Cancelled
	latency := now - a.choice.PickedAt()
	if q.delays.attemptTimeout > 0 && latency >= q.delays.attemptTimeout {
		kind = upstream.Timeout
	}
	q.endAttempt(now, a, upstream.NewResult(kind, latency, ""))
	q.counters.cancelled++
	q.recordStep(now, a.shard, a.choice.Upstream(), EventAbort, reason)
	q.actions = append(q.actions, Action{kind: Abort, attempt: AttemptID(index), choice: a.choice})
}

// abortShard cancels the running attempts of shard.
func (q *Query) abortShard(now clock.Millis, shard snapshot.Shard, reason string) {
	s := &q.shards[shard]
	for i := s.lastAttempt; i != 0 && s.runningAttempts > 0; i = q.attempts[i-1].previousAttempt {
		if !q.attempts[i-1].ended {
			q.abortAttempt(now, int(i-1), reason)
		}
	}
}

// abortAll cancels every running attempt.
func (q *Query) abortAll(now clock.Millis, reason string) {
	for shard := range q.shards {
		q.abortShard(now, snapshot.Shard(shard), reason)
	}
}
