package dispatch

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

// ActionKind says what the adapter must do.
type ActionKind uint8

// Kinds of actions.
const (
	// Send starts an exchange. Its end is reported with Ended exactly once,
	// also after the request has finished.
	Send ActionKind = iota
	// Delegate asks a daemon of another data centre to gather shards. Its end is
	// reported with Delegated exactly once, also after the request has finished,
	// and some shards may be reported before it.
	Delegate
	// Report tells the daemon that has delegated the request the parts that are
	// there. Those of the Finish that follows are the others.
	Report
	// Abandon says that the answer of an exchange is no longer wanted. Its
	// connection is closed, so that the replica drops the request.
	Abandon
	// Wake calls Tick at the instant At. It replaces the Wake before it.
	Wake
	// Finish hands the outcome to the caller. Only Abandon may follow it.
	Finish
)

// Purpose says why an exchange is started.
type Purpose uint8

// Purposes.
const (
	First Purpose = iota
	Hedge
	Retry
)

// String names the purpose as it appears in logs and metrics.
func (p Purpose) String() string { return [...]string{"first", "hedge", "retry"}[p] }

// Action is an instruction of a Request to its adapter.
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

// Kind returns what to do.
func (a Action) Kind() ActionKind { return a.kind }

// Attempt numbers the exchange or delegation that is started or abandoned, from
// zero.
func (a Action) Attempt() int { return a.attempt }

// Shard returns the shard of a Send; 0 on a route to one replica.
func (a Action) Shard() int { return a.shard }

// Purpose returns why the exchange is started.
func (a Action) Purpose() Purpose { return a.purpose }

// Replica returns the replica of a Send.
func (a Action) Replica() *replica.Replica { return a.replica }

// Shards returns the services that a Delegate hands over.
func (a Action) Shards() []string { return a.shards }

// DataCentre returns where the daemon is that gets a Delegate.
func (a Action) DataCentre() string { return a.dataCentre }

// ReportIn returns when the daemon that gets a Delegate reports what it has.
func (a Action) ReportIn() clock.Millis { return a.reportIn }

// At returns the instant of a Wake, or the deadline of a Send or a Delegate.
func (a Action) At() clock.Millis { return a.at }

// Outcome returns the outcome of a Finish or a Report.
func (a Action) Outcome() Outcome { return a.outcome }

// OutcomeKind says how a request ended.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// Answered passes on the answer of the exchange Attempt.
	Answered OutcomeKind = iota
	// Gathered merges the answers of the exchanges and the delegation in Parts.
	Gathered
	// Refused means that no replica ran the request and none will.
	Refused
	// Unavailable means that the request may have run and has no answer.
	Unavailable
	// TimedOut means that the time ran out before the answer.
	TimedOut
	// CallerGone means that the caller left; nobody waits for an answer.
	CallerGone
)

var outcomeNames = [...]string{"answered", "gathered", "refused", "unavailable", "timed out", "gone"}

// String names the outcome as it appears in logs and metrics.
func (k OutcomeKind) String() string { return outcomeNames[k] }

// Outcome is how a request ended.
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

// Kind returns how the request ended.
func (o Outcome) Kind() OutcomeKind { return o.kind }

// Attempt returns the exchange whose answer is passed on.
func (o Outcome) Attempt() int { return o.attempt }

// Parts returns the exchanges whose answers are merged, and the delegation if it
// is one of them.
func (o Outcome) Parts() []int { return o.parts }

// Covered returns the shards that are in.
func (o Outcome) Covered() []string { return o.covered }

// Failed returns the shards of a delegated request whose replica gives no part,
// without those of Shed.
func (o Outcome) Failed() []string { return o.failed }

// Shed returns the shards of a delegated request that no replica has run.
func (o Outcome) Shed() []string { return o.shed }

// HedgeDue reports whether a hedge of the other shards is due.
func (o Outcome) HedgeDue() bool { return o.hedgeDue }

// Missing returns the shards that are left out.
func (o Outcome) Missing() []string { return o.missing }

// RetryAfter returns when a refused request may find room.
func (o Outcome) RetryAfter() clock.Millis { return o.retryAfter }

// Busy reports whether a request was refused because of the load.
func (o Outcome) Busy() bool { return o.busy }

// Reason says in a few words why the request ended so.
func (o Outcome) Reason() string { return o.reason }
