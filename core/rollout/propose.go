package rollout

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// proposalTimeout is the time after which a proposal without a result ends as
// Unknown, or as Unavailable if no write was sent.
const proposalTimeout = 10 * clock.Second

// proposal is the state of the Proposal in progress. It has at most one call pending.
type proposal struct {
	Proposal
	base         fleet.SettingsVersion // of the document in force that the proposal replaces
	written      Document              // sent to the platform; the zero Document before the first write
	callID       uint64
	pendingCall  ActionKind            // Read or CompareAndSwap; zero if none is pending
	callVersion  fleet.SettingsVersion // of the document in force when the pending call began
	callDeadline clock.Millis
	expiresAt    clock.Millis
	nextCallAt   clock.Millis
	failures     int // failed and repeated calls
	token        uint64
	tokenFresh   bool // token was read and no write was sent since
}

// Propose requests that the platform accept a change. Each proposal ends with one
// ReportOutcome action. A change that the document in force already includes is
// reported as Applied whatever revision it expects: an operator repeats a change
// whose reply was lost, and it must be neither applied twice nor refused as a
// conflict.
func (r *Rollout) Propose(now clock.Millis, p Proposal) []Action {
	if r.current.IncludesChange(p.changeID) {
		return []Action{{kind: ReportOutcome, outcome: Applied, changeID: p.changeID, document: r.current}}
	}
	if r.proposal != nil {
		return []Action{{kind: ReportOutcome, outcome: Busy, changeID: p.changeID, document: r.current}}
	}
	if p.expectedRevision != r.current.revision {
		return []Action{{kind: ReportOutcome, outcome: Conflict, changeID: p.changeID, document: r.current}}
	}
	if err := r.current.successor(p.changeID, p.body).validate(); err != nil {
		return []Action{{kind: ReportOutcome, outcome: Invalid, changeID: p.changeID, document: r.current}}
	}
	// The key is read first. After a restore the platform may have given the token of a
	// pending watch to another document.
	r.proposal = &proposal{Proposal: p, base: r.settingsVersion, expiresAt: now + proposalTimeout, nextCallAt: now}
	return r.tickProposal(now, nil)
}

func (r *Rollout) tickProposal(now clock.Millis, actions []Action) []Action {
	p := r.proposal
	if p == nil {
		return actions
	}
	if now >= p.expiresAt {
		if p.written.revision == 0 {
			return r.finishProposal(Unavailable, actions)
		}
		return r.finishProposal(Unknown, actions)
	}
	if p.pendingCall != 0 && now > p.callDeadline {
		r.recordProposalFailure(now)
	}
	if p.pendingCall != 0 || now < p.nextCallAt {
		return actions
	}
	if r.pull != nil {
		// A peer has a newer document, which a restored platform may lack.
		p.tokenFresh = false
		return actions
	}
	action := Action{kind: Read, callID: r.nextCallID()}
	if p.tokenFresh && r.settingsVersion == p.base {
		if p.written.revision == 0 {
			p.written = r.current.successor(p.changeID, p.body)
		}
		action = Action{kind: CompareAndSwap, callID: action.callID, token: p.token, document: p.written}
		p.tokenFresh = false
	}
	p.callID, p.pendingCall, p.callDeadline = action.callID, action.kind, now+CallTimeout+lostEventGrace
	p.callVersion = r.settingsVersion
	return append(actions, action)
}

func (r *Rollout) recordProposalFailure(now clock.Millis) {
	p := r.proposal
	p.pendingCall, p.tokenFresh = 0, false
	p.nextCallAt = now + r.backoff(p.failures)
	p.failures++
}

// handleProposalEvent handles the answer to a call for the proposal. The caller has
// already applied a newer document that the event carries.
func (r *Rollout) handleProposalEvent(now clock.Millis, e Event, actions []Action) []Action {
	p := r.proposal
	wasWrite := p.pendingCall == CompareAndSwap
	p.pendingCall = 0
	switch e.kind {
	case Failed:
		r.recordProposalFailure(now)
		return actions
	case Written:
		if !p.written.follows(r.current) && !r.current.IncludesChange(p.changeID) {
			// Both documents were accepted, so the platform was restored in between. The
			// reply may be older than the restore, and the platform has lost the write.
			return r.finishProposal(Unknown, actions)
		}
		actions = append(actions, r.applyIfNewer(now, p.written, "", "accepted by the platform")...)
		return r.finishProposal(Applied, actions)
	case Value, WriteConflict:
		return r.resolveProposal(now, e, wasWrite, actions)
	default:
		return actions
	}
}

// resolveProposal ends or continues the proposal after the document at the key has
// been read. The change id shows whether an earlier write whose reply was lost took
// effect. While the key still has the token that this write expected, the write may
// yet arrive; it is then repeated with the same token, so that only one of the two
// can succeed.
func (r *Rollout) resolveProposal(now clock.Millis, e Event, wasWrite bool, actions []Action) []Action {
	p := r.proposal
	switch {
	case r.current.IncludesChange(p.changeID):
		return r.finishProposal(Applied, actions)
	case r.settingsVersion != p.base:
		return r.finishProposal(Conflict, actions)
	}
	// The key holds the expected document, or an older one after the platform was
	// restored. The write replaces either.
	p.token, p.tokenFresh, p.nextCallAt = e.token, true, now
	if wasWrite {
		p.nextCallAt = now + r.backoff(p.failures)
		p.failures++
	}
	return r.tickProposal(now, actions)
}

func (r *Rollout) finishProposal(outcome Outcome, actions []Action) []Action {
	changeID := r.proposal.changeID
	r.proposal = nil
	return append(actions, Action{kind: ReportOutcome, outcome: outcome, changeID: changeID, document: r.current})
}
