package dispatch

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

func (q *Request) answer(reason string) []Action {
	if q.route.Shards() == nil {
		return q.finish(Outcome{kind: Answered, attempt: q.shards[0].winner, reason: reason})
	}
	return q.finish(q.unreportedOutcome(reason))
}

// giveUp ends a request that no replica can answer any more.
func (q *Request) giveUp(now clock.Millis, reason string) []Action {
	if !q.runPossible() {
		return q.refuse(now, reason)
	}
	if q.route.Shards() == nil && q.shards[0].failedReply >= 0 {
		return q.finish(Outcome{kind: Answered, attempt: q.shards[0].failedReply, reason: "the replica failed"})
	}
	return q.finish(Outcome{kind: Unavailable, reason: reason})
}

func (q *Request) timeOut(now clock.Millis) []Action {
	if !q.runPossible() {
		return q.refuse(now, "no replica took it in time")
	}
	return q.finish(Outcome{kind: TimedOut, reason: "the time ran out"})
}

// runPossible reports whether a replica may have run the request or may do so yet.
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

func (q *Request) refuse(now clock.Millis, reason string) []Action {
	after := maxRetryAfter
	for i := range q.shards {
		if s := &q.shards[i]; s.open() || q.route.Shards() == nil {
			after = min(after, s.pool.RoomIn(now, q.expectedLatency))
		}
	}
	return q.finish(Outcome{kind: Refused, retryAfter: max(minRetryAfter, after), reason: reason})
}

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
