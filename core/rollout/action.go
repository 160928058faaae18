package rollout

import (
	"github.com/lovagegap/lovagegap/core/fleet"
)

// ActionKind tells what the adapter does for an action.
type ActionKind uint8

// Kinds of actions. Watch, Read and CompareAndSwap are calls of the platform;
// each is answered by exactly one Event with the same call number.
const (
	// Send sends Message to Peer.
	Send ActionKind = iota + 1
	// Watch waits for a value whose token differs from Token, for at most
	// WatchTime. It is answered by Value, Unchanged or Failed.
	Watch
	// Unwatch cancels the pending Watch; no event follows.
	Unwatch
	// Read reads the key. It is answered by Value or Failed.
	Read
	// CompareAndSwap writes Document if the key still has Token. It is
	// answered by Written, Conflicting or Failed. A value that does not parse
	// is answered by Failed.
	CompareAndSwap
	// ApplyDocument applies Document.
	ApplyDocument
	// ReportOutcome reports the outcome of the proposal with the change id Change.
	ReportOutcome
)

// Outcome is the outcome of a proposal.
type Outcome uint8

// Outcomes.
const (
	// Applied means that the document is accepted and in force.
	Applied Outcome = iota + 1
	// Conflict means that the expected revision is not the present one; the
	// action carries the present document. The proposal has no effect.
	Conflict
	// Unknown means that the platform did not tell in time. The change may
	// still come into force; its id shows in the document if it does.
	Unknown
	// Unavailable means that the platform did not answer and that no write was
	// sent, so the change has no effect.
	Unavailable
	// Busy means that the daemon still settles another proposal.
	Busy
	// Invalid means that the document breaks a limit.
	Invalid
)

var outcomeNames = [...]string{"", "accepted", "conflict", "unknown", "unavailable", "busy", "invalid"}

// String names the outcome as operators see it.
func (o Outcome) String() string { return outcomeNames[o] }

// Action is a step for the adapter.
type Action struct {
	kind     ActionKind
	peer     fleet.ID
	message  fleet.Message
	document Document
	callID   uint64
	token    uint64
	outcome  Outcome
	changeID string
}

// Kind returns what to do.
func (a Action) Kind() ActionKind { return a.kind }

// Peer returns the receiver of a message.
func (a Action) Peer() fleet.ID { return a.peer }

// Message returns the message to send.
func (a Action) Message() fleet.Message { return a.message }

// Document returns the document to apply, to write or to report.
func (a Action) Document() Document { return a.document }

// CallID numbers a call of the platform.
func (a Action) CallID() uint64 { return a.callID }

// Token returns the expected token of the key; zero for a key that does not exist.
func (a Action) Token() uint64 { return a.token }

// Outcome returns the outcome of a proposal.
func (a Action) Outcome() Outcome { return a.outcome }

// ChangeID returns the change id of the settled proposal.
func (a Action) ChangeID() string { return a.changeID }

// EventKind tells how the platform answered.
type EventKind uint8

// Kinds of events.
const (
	// Value carries the document and the token of the key; a key that does not
	// exist has the zero Document and token zero.
	Value EventKind = iota + 1
	// Unchanged ends a watch without a change.
	Unchanged
	// Written accepts a compare-and-swap and carries the new token.
	Written
	// WriteConflict refuses a compare-and-swap and carries what the key holds.
	WriteConflict
	// Failed means an error or a timeout; a write may have taken effect.
	Failed
)

// Event is the answer to a call of the platform.
type Event struct {
	kind     EventKind
	callID   uint64
	token    uint64
	document Document
}

// NewEvent returns the answer to a call.
func NewEvent(kind EventKind, callID, token uint64, document Document) Event {
	return Event{kind: kind, callID: callID, token: token, document: document}
}

// Kind returns how the platform answered.
func (e Event) Kind() EventKind { return e.kind }

// CallID returns the number of the call.
func (e Event) CallID() uint64 { return e.callID }

// Token returns the platform's revision of the key.
func (e Event) Token() uint64 { return e.token }

// Document returns the document that the key holds.
func (e Event) Document() Document { return e.document }

// Proposal is a change that an operator asks for.
type Proposal struct {
	expectedRevision uint64
	changeID         string
	body             []byte
}

// NewProposal returns a change of the document with revision expect.
func NewProposal(expectedRevision uint64, changeID string, body []byte) Proposal {
	return Proposal{expectedRevision: expectedRevision, changeID: changeID, body: body}
}

// ExpectedRevision returns the revision that the operator changed.
func (p Proposal) ExpectedRevision() uint64 { return p.expectedRevision }

// ChangeID returns the id of the change.
func (p Proposal) ChangeID() string { return p.changeID }

// Body returns the new content.
func (p Proposal) Body() []byte { return p.body }
