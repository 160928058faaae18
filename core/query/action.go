package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// AttemptID identifies an attempt within one query, numbered from zero. A shard
// may have several attempts, so results are matched by attempt, not by shard.
type AttemptID uint32

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// Send starts an attempt. The adapter reports its end with HandleResult.
	Send ActionKind = iota
	// Abort cancels a running attempt. The adapter closes its connection and
	// does not report its end.
	Abort
	// Wake calls Tick at the given instant. It replaces an earlier Wake.
	Wake
	// Finish passes the answer to the caller. It is the last action of a query.
	Finish
)

// Action is an instruction from a Query to its adapter.
type Action struct {
	kind    ActionKind
	attempt AttemptID
	shard   snapshot.Shard
	version snapshot.Version
	choice  upstream.Choice
	at      clock.Millis
	answer  *Answer
}

// Kind returns the kind of the action, which determines the valid accessors.
func (a Action) Kind() ActionKind { return a.kind }

// Attempt returns the attempt of a Send or an Abort.
func (a Action) Attempt() AttemptID { return a.attempt }

// Shard returns the shard of a Send.
func (a Action) Shard() snapshot.Shard { return a.shard }

// Version returns the snapshot version of a Send.
func (a Action) Version() snapshot.Version { return a.version }

// Choice returns the replica of a Send or an Abort.
func (a Action) Choice() upstream.Choice { return a.choice }

// At returns the instant of a Wake, or the deadline of a Send.
func (a Action) At() clock.Millis { return a.at }

// Answer returns the answer of a Finish.
func (a Action) Answer() *Answer { return a.answer }

// AttemptResult is the end of an attempt as the adapter observed it. With a result
// of kind OK it holds the shard and version that the upstream stated, which the
// query compares with those it requested.
type AttemptResult struct {
	result  upstream.Result
	shard   snapshot.Shard
	version snapshot.Version
	data    []byte
}

// NewAttemptResult returns the result of an attempt that brought a response. The
// shard and version are those that the upstream stated. The data is not copied.
func NewAttemptResult(
	result upstream.Result, shard snapshot.Shard, version snapshot.Version, data []byte,
) AttemptResult {
	return AttemptResult{result: result, shard: shard, version: version, data: data}
}

// NewAttemptFailure returns the result of an attempt that brought no response.
func NewAttemptFailure(result upstream.Result) AttemptResult {
	return AttemptResult{result: result}
}
