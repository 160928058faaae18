package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// AttemptID numbers the sub-requests of one query from zero. A late result is
// matched to its attempt, never to its shard alone.
type AttemptID uint32

// ActionKind says what the adapter must do.
type ActionKind uint8

// Kinds of actions.
const (
	// Send starts a sub-request and later reports its end with SubAnswer.
	Send ActionKind = iota
	// Abort cancels a running sub-request. Its connection is closed, and its
	// end is not reported.
	Abort
	// Wake calls Tick at the given instant. It replaces the Wake before it.
	Wake
	// Finish hands the answer to the caller. It is the last action.
	Finish
)

// Action is an instruction of a Query to its adapter.
type Action struct {
	kind    ActionKind
	attempt AttemptID
	shard   snapshot.Shard
	version snapshot.Version
	choice  upstream.Choice
	at      clock.Millis
	answer  *Answer
}

// Kind returns what to do.
func (a Action) Kind() ActionKind { return a.kind }

// Attempt returns the sub-request to start or to cancel.
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

// AttemptResult is the end of one sub-request as the adapter saw it. For a result
// of kind OK it carries the identity that the upstream stated, which is checked
// against what was asked.
type AttemptResult struct {
	result  upstream.Result
	shard   snapshot.Shard
	version snapshot.Version
	data    []byte
}

// NewAttemptResult returns a sub-answer with data for a shard of a version.
func NewAttemptResult(result upstream.Result, shard snapshot.Shard, version snapshot.Version, data []byte) AttemptResult {
	return AttemptResult{result: result, shard: shard, version: version, data: data}
}

// NewAttemptFailure returns the end of a sub-request that brought no answer.
func NewAttemptFailure(result upstream.Result) AttemptResult {
	return AttemptResult{result: result}
}
