package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Events of the steps of an explanation.
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

// Step is one entry of the explanation of an answer.
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

// Version returns the snapshot version that was pinned at that time.
func (s Step) Version() snapshot.Version { return s.version }

// Shard returns the shard of the step. It is 0 for events of the whole query.
func (s Step) Shard() snapshot.Shard { return s.shard }

// Upstream returns the replica of the step, or "" if there is none.
func (s Step) Upstream() upstream.ID { return s.upstream }

// Event returns one of the Event constants.
func (s Step) Event() string { return s.event }

// Reason returns the cause of the event for people, or "".
func (s Step) Reason() string { return s.reason }

// recordStep records a step if the explanation is enabled.
func (q *Query) recordStep(now clock.Millis, shard snapshot.Shard, id upstream.ID, event, reason string) {
	if !q.explain {
		return
	}
	q.steps = append(q.steps, Step{
		at: now - q.startedAt, version: q.shardMap.Version(),
		shard: shard, upstream: id, event: event, reason: reason,
	})
}
