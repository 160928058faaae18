package dispatch

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions. The adapter that performs the I/O executes them in order.
const (
	// Send starts the exchange of an attempt. The adapter calls RecordResult
	// exactly once for it, even after the request has finished.
	Send ActionKind = iota
	// Delegate asks a daemon of another data centre to gather shards. The adapter
	// calls HandleDelegationReport for each report, exactly once with Last set,
	// even after the request has finished.
	Delegate
	// Report sends the shards that were covered or have failed since the last
	// Report to the daemon that delegated the request. The Finish that follows
	// holds the remaining ones.
	Report
	// Abandon cancels the exchange of an attempt or a delegation. The connection
	// of the exchange is closed so that the replica drops the request.
	Abandon
	// Wake sets the timer for the next Tick to At. It replaces any earlier Wake.
	Wake
	// Finish ends the request with its outcome. Only Abandon may follow it.
	Finish
)

// Purpose is the reason for an attempt.
type Purpose uint8

// Purposes.
const (
	First Purpose = iota
	Hedge
	Retry
)

// String names the purpose as it appears in logs and metrics.
func (p Purpose) String() string { return [...]string{"first", "hedge", "retry"}[p] }

// Action is an instruction to the adapter that performs the I/O of a Request.
type Action struct {
	kind       ActionKind
	attempt    int
	shard      int
	purpose    Purpose
	replica    *replica.Replica
	at         clock.Millis
	shards     []string
	dataCentre string
	reportIn   clock.Millis
	outcome    Outcome
}

// Kind returns the kind of the action.
func (a Action) Kind() ActionKind { return a.kind }

// Attempt returns the number of the attempt or delegation that is started or
// abandoned. A request numbers both from zero in one sequence.
func (a Action) Attempt() int { return a.attempt }

// Shard returns the index of the shard of a Send; 0 on a route to one replica.
func (a Action) Shard() int { return a.shard }

// Purpose returns the reason for the attempt of a Send.
func (a Action) Purpose() Purpose { return a.purpose }

// Replica returns the replica of a Send.
func (a Action) Replica() *replica.Replica { return a.replica }

// Shards returns the services of the shards of a Delegate.
func (a Action) Shards() []string { return a.shards }

// DataCentre returns the data centre of the daemon that receives a Delegate.
func (a Action) DataCentre() string { return a.dataCentre }

// ReportIn returns the time after which the daemon that receives a Delegate
// first reports the shards that it has covered.
func (a Action) ReportIn() clock.Millis { return a.reportIn }

// At returns the instant of a Wake, or the deadline of a Send or a Delegate.
func (a Action) At() clock.Millis { return a.at }

// Outcome returns the outcome of a Finish or a Report.
func (a Action) Outcome() Outcome { return a.outcome }

// OutcomeKind is the kind of an Outcome.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// Answered passes on the answer of one attempt, which may be an error of the
	// replica.
	Answered OutcomeKind = iota
	// Gathered merges the answers of the attempts and the delegation in Parts.
	Gathered
	// Refused means that no replica has run the request and none will.
	Refused
	// Unavailable means that the request may have run, but has no answer.
	Unavailable
	// TimedOut means that the deadline passed without an answer and the request
	// may have run.
	TimedOut
	// CallerGone means that the caller disconnected before the answer.
	CallerGone
)

var outcomeNames = [...]string{"answered", "gathered", "refused", "unavailable", "timed out", "gone"}

// String names the outcome as it appears in logs and metrics.
func (k OutcomeKind) String() string { return outcomeNames[k] }

// Outcome is the result of a request, or the content of a Report.
type Outcome struct {
	kind       OutcomeKind
	attempt    int
	parts      []int
	covered    []string
	failed     []string
	shed       []string
	hedgeDue   bool
	missing    []string
	retryAfter clock.Millis
	busy       bool
	reason     string
}

// Kind returns the kind of the outcome.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Attempt returns the number of the attempt whose answer is passed on.
func (o Outcome) Attempt() int { return o.attempt }

// Parts returns the numbers of the attempts whose answers are merged, and of the
// delegation if its answer is one of them.
func (o Outcome) Parts() []int { return o.parts }

// Covered returns the services of the shards whose answers are merged.
func (o Outcome) Covered() []string { return o.covered }

// Failed returns the services of the shards of a delegated request whose attempts
// failed, without those of Shed.
func (o Outcome) Failed() []string { return o.failed }

// Shed returns the services of the shards of a delegated request that no replica
// has run.
func (o Outcome) Shed() []string { return o.shed }

// HedgeDue reports whether the delegating daemon should hedge the shards that are
// not yet covered.
func (o Outcome) HedgeDue() bool { return o.hedgeDue }

// Missing returns the services of the shards that the answer does not cover.
func (o Outcome) Missing() []string { return o.missing }

// RetryAfter returns the time after which the caller may retry a refused request.
func (o Outcome) RetryAfter() clock.Millis { return o.retryAfter }

// Busy reports whether admission refused the request because of the load.
func (o Outcome) Busy() bool { return o.busy }

// Reason returns a short text, for logs and callers, on the cause of the outcome.
func (o Outcome) Reason() string { return o.reason }
