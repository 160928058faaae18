package rollout

import (
	"github.com/lovagegap/lovagegap/core/fleet"
)

// ActionKind says what the adapter must do for an Action.
type ActionKind uint8

// Kinds of actions. Watch, Read and CompareAndSwap are calls to the platform; the
// adapter answers each with exactly one Event that has the same call id. It
// answers with Failed if the value of the key does not parse.
const (
	// Send sends Message to Peer.
	Send ActionKind = iota + 1
	// Watch waits for a value whose token differs from Token, for at most
	// WatchTimeout. It is answered by Value, Unchanged or Failed.
	Watch
	// Unwatch cancels the pending Watch, which is then not answered.
	Unwatch
	// Read reads the key, within CallTimeout. It is answered by Value or Failed.
	Read
	// CompareAndSwap writes Document if the key still has Token, within
	// CallTimeout. It is answered by Written, WriteConflict or Failed.
	CompareAndSwap
	// ApplyDocument applies Document, which is now in force.
	ApplyDocument
	// ReportOutcome reports the Outcome of the proposal with the id ChangeID.
	ReportOutcome
)

// Outcome is the outcome of a proposal.
type Outcome uint8

// Outcomes of a proposal.
const (
	// Applied means that the platform accepted the document and that it is in force.
	Applied Outcome = iota + 1
	// Conflict means that the expected revision is not the one in force. The action
	// carries the document in force; the proposal has no effect.
	Conflict
	// Unknown means that a write was sent but its result was not known in time, or that
	// the platform accepted it and was restored from a backup at about the same time. The
	// change may still come into force; the document in force then includes its id.
	Unknown
	// Unavailable means that the platform did not answer before a write was sent.
	// The proposal has no effect.
	Unavailable
	// Busy means that the daemon has another proposal in progress.
	Busy
	// Invalid means that the change id or the body is not valid or exceeds a limit.
	Invalid
)

var outcomeNames = [...]string{"", "accepted", "conflict", "unknown", "unavailable", "busy", "invalid"}

// String returns the name of the outcome that operators see.
func (o Outcome) String() string { return outcomeNames[o] }

// Action is a step that the adapter must perform. Only the fields that its kind
// needs are set.
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

// Kind returns what the adapter must do.
func (a Action) Kind() ActionKind { return a.kind }

// Peer returns the daemon to which the message is sent.
func (a Action) Peer() fleet.ID { return a.peer }

// Message returns the message to send.
func (a Action) Message() fleet.Message { return a.message }

// Document returns the document to apply or to write, or the one in force when a
// proposal ended.
func (a Action) Document() Document { return a.document }

// CallID returns the id of a call to the platform.
func (a Action) CallID() uint64 { return a.callID }

// Token returns the expected token of the key: the platform's revision of it, zero
// for a key that does not exist.
func (a Action) Token() uint64 { return a.token }

// Outcome returns the outcome of the proposal.
func (a Action) Outcome() Outcome { return a.outcome }

// ChangeID returns the change id of the proposal.
func (a Action) ChangeID() string { return a.changeID }

// EventKind says how the platform answered a call.
type EventKind uint8

// Kinds of events.
const (
	// Value carries the document and the token of the key: the zero Document and
	// zero for a key that does not exist.
	Value EventKind = iota + 1
	// Unchanged means that a watch ended without a change.
	Unchanged
	// Written means that a compare-and-swap took effect. It carries the new token.
	Written
	// WriteConflict means that the key had another token. It carries the document
	// and the token that the key has.
	WriteConflict
	// Failed means that the call ended in an error or a timeout. A write may have
	// taken effect nevertheless.
	Failed
)

// Event is the answer to a call to the platform.
type Event struct {
	kind     EventKind
	callID   uint64
	token    uint64
	document Document
}

// NewEvent returns the answer to the call with the given id.
func NewEvent(kind EventKind, callID, token uint64, document Document) Event {
	return Event{kind: kind, callID: callID, token: token, document: document}
}

// Kind returns how the platform answered.
func (e Event) Kind() EventKind { return e.kind }

// CallID returns the id of the call that the event answers.
func (e Event) CallID() uint64 { return e.callID }

// Token returns the platform's revision of the key, zero if it does not exist.
func (e Event) Token() uint64 { return e.token }

// Document returns the document that the key holds.
func (e Event) Document() Document { return e.document }

// Proposal is a change of the settings that an operator requests.
type Proposal struct {
	expectedRevision uint64
	changeID         string
	body             []byte
}

// NewProposal returns a change that replaces the document with revision
// expectedRevision by one with the given body. It keeps body.
func NewProposal(expectedRevision uint64, changeID string, body []byte) Proposal {
	return Proposal{expectedRevision: expectedRevision, changeID: changeID, body: body}
}

// ExpectedRevision returns the revision from which the operator made the change.
func (p Proposal) ExpectedRevision() uint64 { return p.expectedRevision }

// ChangeID returns the id of the change.
func (p Proposal) ChangeID() string { return p.changeID }

// Body returns the new content.
func (p Proposal) Body() []byte { return p.body }
