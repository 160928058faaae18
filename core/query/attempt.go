package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// attemptState is one sub-request.
type attemptState struct {
	shard     snapshot.Shard
	version   snapshot.Version
	previous  int32 // earlier attempt of the same shard, as index + 1
	choice    upstream.Choice
	timeoutAt clock.Millis
	kind      upstream.Outcome
	ended     bool
	proven    bool // the result proves that it did not run
}

// check compares a sub-answer with what was asked of the attempt.
func (a *attemptState) check(answer SubAnswer) upstream.Result {
	result := answer.result
	if result.Outcome() != upstream.OK {
		return result
	}
	if answer.shard != a.shard || answer.version != a.version || len(answer.data) == 0 {
		return upstream.NewResult(upstream.Failed, result.Latency(), result.Boot())
	}
	return result
}

// send starts an attempt for shard at the chosen replica.
func (q *Query) send(now clock.Millis, shard snapshot.Shard, choice upstream.Choice) {
	s := &q.shards[shard]
	attempt := Attempt(len(q.attempts))
	timeoutAt := q.attemptDeadline(now)
	version := q.shardMap.Version()
	q.attempts = append(q.attempts, attemptState{
		shard: shard, version: version, previous: s.newest, choice: choice, timeoutAt: timeoutAt,
	})
	s.newest = int32(attempt) + 1
	s.running++
	s.phase = running
	if choice.Via() == "" {
		// A relaying peer may refuse again, so its pause goes on growing.
		s.pause = 0
	}
	q.unproven++
	q.armHedge(now, s)
	q.schedule(timeoutAt)
	q.actions = append(q.actions, Action{
		kind: Send, attempt: attempt, shard: shard, version: version, choice: choice, at: q.request.deadline,
	})
}

// attemptDeadline returns the instant at which a silent attempt is given up
// if it can be retried. Work that cannot be resent waits for the deadline.
func (q *Query) attemptDeadline(now clock.Millis) clock.Millis {
	if q.request.nonIdempotent {
		return q.request.deadline
	}
	return min(now+q.limits.timeout, q.request.deadline)
}

// end closes an attempt and hands its result to the picker.
func (q *Query) end(now clock.Millis, a *attemptState, result upstream.Result) {
	a.ended = true
	a.kind = result.Outcome()
	q.shards[a.shard].running--
	if a.kind.NotRun() {
		a.proven = true
		q.unproven--
	}
	if a.kind == upstream.OK {
		q.succeeded = true
	}
	q.resources.Picker.Done(now, a.choice, result)
}

// abort cancels a running attempt. One that has been silent for longer than
// the attempt timeout is evidence against its connection.
func (q *Query) abort(now clock.Millis, index int, reason string) {
	a := &q.attempts[index]
	kind := upstream.Cancelled
	latency := now - a.choice.PickedAt()
	if q.limits.timeout > 0 && latency >= q.limits.timeout {
		kind = upstream.Timeout
	}
	q.end(now, a, upstream.NewResult(kind, latency, ""))
	q.counters.cancelled++
	q.note(now, a.shard, a.choice.Upstream(), EventAbort, reason)
	q.actions = append(q.actions, Action{kind: Abort, attempt: Attempt(index), choice: a.choice})
}

// abortShard cancels the running attempts of shard.
func (q *Query) abortShard(now clock.Millis, shard snapshot.Shard, reason string) {
	s := &q.shards[shard]
	for i := s.newest; i != 0 && s.running > 0; i = q.attempts[i-1].previous {
		if !q.attempts[i-1].ended {
			q.abort(now, int(i-1), reason)
		}
	}
}

// abortAll cancels every running attempt.
func (q *Query) abortAll(now clock.Millis, reason string) {
	for shard := range q.shards {
		q.abortShard(now, snapshot.Shard(shard), reason)
	}
}
