package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Events of an explanation.
const (
	EventSend    = "send"
	EventHedge   = "hedge"
	EventRetry   = "retry"
	EventWait    = "wait"
	EventRefusal = "refusal"
	EventResult  = "result"
	EventAbort   = "abort"
	EventDrop    = "drop"
	EventRestart = "restart"
	EventCanary  = "canary"
	EventFinish  = "finish"
)

// Step is one line of the explanation of an answer.
type Step struct {
	at       clock.Millis
	version  snapshot.Version
	shard    snapshot.Shard
	upstream upstream.ID
	event    string
	reason   string
}

// At returns the time since Start.
func (s Step) At() clock.Millis { return s.at }

// Version returns the version that was pinned at that time.
func (s Step) Version() snapshot.Version { return s.version }

// Shard returns the shard concerned.
func (s Step) Shard() snapshot.Shard { return s.shard }

// Upstream returns the replica concerned, or "".
func (s Step) Upstream() upstream.ID { return s.upstream }

// Event says what happened.
func (s Step) Event() string { return s.event }

// Reason says why it happened, or "".
func (s Step) Reason() string { return s.reason }

// recordStep records a step if the caller wants an explanation.
func (q *Query) recordStep(now clock.Millis, shard snapshot.Shard, id upstream.ID, event, reason string) {
	if !q.explain {
		return
	}
	q.steps = append(q.steps, Step{
		at: now - q.startedAt, version: q.shardMap.Version(),
		shard: shard, upstream: id, event: event, reason: reason,
	})
}
