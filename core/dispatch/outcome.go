package dispatch

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

// answer finishes a request that is covered.
func (q *Request) answer(reason string) []Action {
	if q.route.Shards() == nil {
		return q.finish(Outcome{kind: Answered, attempt: q.shards[0].winner, reason: reason})
	}
	return q.finish(q.unreportedOutcome(reason))
}

// giveUp finishes a request for which too few shards are covered or still open.
func (q *Request) giveUp(now clock.Millis, reason string) []Action {
	if !q.runPossible() {
		return q.refuse(now, reason)
	}
	if q.route.Shards() == nil && q.shards[0].failedReply >= 0 {
		return q.finish(Outcome{kind: Answered, attempt: q.shards[0].failedReply, reason: "the replica returned an error"})
	}
	return q.finish(Outcome{kind: Unavailable, reason: reason})
}

// timeOut finishes a request that has no answer in time.
func (q *Request) timeOut(now clock.Millis) []Action {
	if !q.runPossible() {
		return q.refuse(now, "no replica accepted the request before the deadline")
	}
	return q.finish(Outcome{kind: TimedOut, reason: "the deadline passed without an answer"})
}

// runPossible reports whether a replica may have run the request or may still run
// it.
func (q *Request) runPossible() bool {
	if q.mayHaveRun {
		return true
	}
	for i := range q.shards {
		if q.shards[i].pending > 0 {
			return true
		}
	}
	return false
}

// refuse finishes a request that no replica has run, with an estimate of when a
// replica has room again.
func (q *Request) refuse(now clock.Millis, reason string) []Action {
	after := maxRetryAfter
	for i := range q.shards {
		if s := &q.shards[i]; s.open() || q.route.Shards() == nil {
			after = min(after, s.pool.RetryAfter(now, q.expectedLatency))
		}
	}
	return q.finish(Outcome{kind: Refused, retryAfter: max(minRetryAfter, after), reason: reason})
}

// finish queues the outcome and abandons the pending attempts, except those of a
// non-idempotent request whose caller has disconnected.
func (q *Request) finish(outcome Outcome) []Action {
	q.finished = true
	q.actions = append(q.actions, Action{kind: Finish, outcome: outcome})
	if outcome.kind == CallerGone && !q.route.Idempotent() {
		return q.takeActions()
	}
	for number := range q.attempts {
		a := &q.attempts[number]
		if !a.ended && !a.abandoned {
			a.abandoned = true
			q.actions = append(q.actions, Action{kind: Abandon, attempt: number})
		}
	}
	return q.takeActions()
}
