package rollout

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/quota"
)

const (
	// WatchTimeout is the maximum duration of a watch call.
	WatchTimeout = 30 * clock.Second
	// CallTimeout is the maximum duration of a read or a write at the platform. Two
	// of them fit into the 5 s within which operators expect an answer.
	CallTimeout = 2 * clock.Second
	// watchersPerDataCentre is two so that a watcher remains when one fails.
	watchersPerDataCentre = 2
	// The backoff limits the calls to a failing platform to less than one per
	// second and watcher. With a jitter of ±50 % the longest wait is 3.75 s, so that
	// a watcher calls within the 5 s target after the platform has recovered.
	initialBackoff = 250 * clock.Millisecond
	maxBackoff     = 2500 * clock.Millisecond
	// backoffJitter is the largest random deviation of a backoff in either
	// direction, as a fraction of the backoff.
	backoffJitter = 0.5
	// maxBackoffDoublings prevents an overflow; maxBackoff is reached earlier.
	maxBackoffDoublings = 8
	// lostEventGrace is the time beyond a call's timeout after which a call without
	// an Event counts as failed, so that a lost event never stops a watcher.
	lostEventGrace = 1 * clock.Second
	// maxWriteBackDelay is the upper limit of the random delay before a watcher
	// writes the newer document back. All watchers see an older document at the
	// same time; after the first write the others need not write.
	maxWriteBackDelay = 500 * clock.Millisecond
)

// watcher is the state of this daemon's watch of the platform's key. It has at most
// one call pending.
type watcher struct {
	active         bool
	callID         uint64
	pendingCall    ActionKind // Watch, Read, CompareAndSwap; zero if none is pending
	deadline       clock.Millis
	tokenKnown     bool // token is current as of the last answer
	token          uint64
	tokenVersion   fleet.SettingsVersion // of the document that the key held at the token
	callVersion    fleet.SettingsVersion // of the document in force when the pending call began
	needsWriteBack bool                  // the key holds an older document than the one in force
	failures       int                   // consecutive failed calls
	nextCallAt     clock.Millis
}

// SetMembers sets the members of the fleet and decides whether this daemon watches
// the platform. The alive members of each data centre are ranked by rendezvous
// hashing, and the first watchersPerDataCentre of them watch. This daemon always
// counts as alive, so one that knows no other member of its data centre watches.
func (r *Rollout) SetMembers(now clock.Millis, members []fleet.Member) []Action {
	ids := []string{string(r.self)}
	for _, m := range members {
		if m.Alive() && m.DataCentre() == r.dataCentre && m.ID() != r.self {
			ids = append(ids, string(m.ID()))
		}
	}
	rank, _ := quota.Rank("settings/"+r.dataCentre, string(r.self), ids)
	active := rank < watchersPerDataCentre
	if active == r.watcher.active {
		return nil
	}
	watchPending, callID := r.watcher.pendingCall == Watch, r.watcher.callID
	r.watcher = watcher{active: active, nextCallAt: now}
	if watchPending {
		return []Action{{kind: Unwatch, callID: callID}}
	}
	return nil
}

func (r *Rollout) tickWatcher(now clock.Millis, actions []Action) []Action {
	w := &r.watcher
	if w.pendingCall != 0 && now > w.deadline {
		r.recordWatcherFailure(now)
	}
	if !w.active || w.pendingCall != 0 || now < w.nextCallAt {
		return actions
	}
	action := Action{kind: Watch, token: w.token}
	timeout := WatchTimeout + lostEventGrace
	switch {
	case w.needsWriteBack && w.tokenKnown:
		action = Action{kind: CompareAndSwap, token: w.token, document: r.current}
		timeout = CallTimeout + lostEventGrace
	case !w.tokenKnown, isNewer(r.settingsVersion, w.tokenVersion):
		// A newer document has come from a peer. If the platform was restored to the one
		// at the token in the meantime, a watch would not return before its end.
		action = Action{kind: Read}
		timeout = CallTimeout + lostEventGrace
	}
	action.callID = r.nextCallID()
	w.callID, w.pendingCall, w.deadline = action.callID, action.kind, now+timeout
	w.callVersion = r.settingsVersion
	return append(actions, action)
}

// HandlePlatformEvent handles the answer to a call to the platform. A document that
// it carries comes into force if it is newer, even if the call was given up.
func (r *Rollout) HandlePlatformEvent(now clock.Millis, e Event) []Action {
	var actions []Action
	if e.kind == Value || e.kind == WriteConflict {
		if r.mayPrecedeRestore(e) {
			e.kind = Failed // the key is read again
		} else {
			actions = r.applyIfNewer(now, e.document, "", "found at the platform")
		}
	}
	if p := r.proposal; p != nil && e.callID == p.callID && p.pendingCall != 0 {
		return r.handleProposalEvent(now, e, actions)
	}
	if e.callID != r.watcher.callID || r.watcher.pendingCall == 0 {
		// The call timed out or is no longer needed. If it was a write that took
		// effect, the next read or watch returns the document.
		return actions
	}
	return r.handleWatcherEvent(now, e, actions)
}

// mayPrecedeRestore reports whether an answer may be older than the document in force
// although its document is the newer one. If that doesn't follow the one in force, the
// platform was restored between the two, and only a call that began with the present
// document in force shows which of them the platform has kept.
func (r *Rollout) mayPrecedeRestore(e Event) bool {
	if !isNewer(e.document.SettingsVersion(), r.settingsVersion) || e.document.follows(r.current) {
		return false
	}
	switch p, w := r.proposal, &r.watcher; {
	case p != nil && e.callID == p.callID && p.pendingCall != 0:
		return p.callVersion != r.settingsVersion
	case e.callID == w.callID && w.pendingCall != 0:
		return w.callVersion != r.settingsVersion
	default:
		return true // the call was given up
	}
}

func (r *Rollout) handleWatcherEvent(now clock.Millis, e Event, actions []Action) []Action {
	w := &r.watcher
	if e.kind == Failed {
		r.recordWatcherFailure(now)
		return actions
	}
	wasWatch := w.pendingCall == Watch
	w.pendingCall, w.failures, w.nextCallAt = 0, 0, now
	switch e.kind {
	case Unchanged:
		// A platform that was restored from a backup may reuse the token for another
		// document, so the key is read after each watch that ends without a change.
		w.tokenKnown = !wasWatch
	case Written:
		w.token, w.tokenKnown, w.needsWriteBack = e.token, true, false
		w.tokenVersion = w.callVersion
		r.recordEvent(now, "wrote the newer document back to the platform")
	case Value, WriteConflict:
		w.token, w.tokenKnown = e.token, true
		w.tokenVersion = e.document.SettingsVersion()
		w.needsWriteBack = isNewer(r.settingsVersion, e.document.SettingsVersion())
		if w.needsWriteBack {
			w.nextCallAt = now + maxWriteBackDelay*clock.Millis(r.random.Float64())
		}
	}
	return actions
}

// recordWatcherFailure schedules the next call. It discards the token, because a
// failed write may have taken effect.
func (r *Rollout) recordWatcherFailure(now clock.Millis) {
	w := &r.watcher
	w.pendingCall, w.tokenKnown = 0, false
	w.nextCallAt = now + r.backoff(w.failures)
	w.failures++
}

// backoff returns the wait before the next call after the given number of earlier
// failures: doubled for each of them, with backoffJitter.
func (r *Rollout) backoff(failures int) clock.Millis {
	span := min(maxBackoff, initialBackoff*clock.Millis(uint(1)<<min(failures, maxBackoffDoublings)))
	return span * clock.Millis(1-backoffJitter+2*backoffJitter*r.random.Float64())
}
