package rollout

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/quota"
)

const (
	// WatchTimeout is the longest time of one watch call.
	WatchTimeout = 30 * clock.Second
	// CallTimeout is the longest time of a read or a write at the platform. Two
	// of them fit into the 5 s within which operators expect an answer.
	CallTimeout = 2 * clock.Second
	// watchersPerDataCentre keeps a watcher when one of them fails.
	watchersPerDataCentre = 2
	// The backoff bounds the calls to a failing platform to less than one a
	// second for each watcher. With its jitter of half it ends within 3.75 s
	// after the platform returns, below the 5 s target.
	initialBackoff = 250 * clock.Millisecond
	maxBackoff     = 2500 * clock.Millisecond
	// lostEventGrace is the time after which a call without any answer counts as
	// failed, so that a lost event never stops a watcher.
	lostEventGrace = 1 * clock.Second
	// maxWriteBackDelay spreads the writes of the watchers that all see an older
	// document at the same time; after the first of them the others see it.
	maxWriteBackDelay = 500 * clock.Millisecond
)

// watcher is the state of watching the platform.
type watcher struct {
	active         bool
	callID         uint64
	pendingCall    ActionKind // Watch, Read, CompareAndSwap; zero if none is pending
	deadline       clock.Millis
	tokenKnown     bool // token is what the key had when last seen
	token          uint64
	needsWriteBack bool // the key shows an older document than the one in force
	failures       int
	nextCallAt     clock.Millis
}

// SetMembers takes the members of the fleet and decides whether this daemon
// watches: the alive members ranked first for its data centre do. A daemon
// that knows no other member in its data centre watches itself.
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
	pending, call := r.watcher.pendingCall == Watch, r.watcher.callID
	r.watcher = watcher{active: active, nextCallAt: now}
	if pending {
		return []Action{{kind: Unwatch, callID: call}}
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
	limit := WatchTimeout + lostEventGrace
	switch {
	case !w.tokenKnown:
		action = Action{kind: Read}
		limit = CallTimeout + lostEventGrace
	case w.needsWriteBack:
		action = Action{kind: CompareAndSwap, token: w.token, document: r.current}
		limit = CallTimeout + lostEventGrace
	}
	action.callID = r.nextCallID()
	w.callID, w.pendingCall, w.deadline = action.callID, action.kind, now+limit
	return append(actions, action)
}

// HandlePlatformEvent handles the answer to a call.
func (r *Rollout) HandlePlatformEvent(now clock.Millis, e Event) []Action {
	var actions []Action
	if e.kind == Value || e.kind == WriteConflict {
		actions = r.applyIfNewer(now, e.document, "", "found at the platform")
	}
	if p := r.proposal; p != nil && e.callID == p.callID && p.pendingCall != 0 {
		return r.handleProposalEvent(now, e, actions)
	}
	if e.callID != r.watcher.callID || r.watcher.pendingCall == 0 {
		// The call was given up. If it was a write that took effect, the next
		// read or watch finds the document.
		return actions
	}
	return r.handleWatcherEvent(now, e, actions)
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
		// A restored platform may reuse the token, so the key is read after
		// each watch that ended without a change.
		w.tokenKnown = !wasWatch
	case Written:
		w.token, w.tokenKnown, w.needsWriteBack = e.token, true, false
		r.recordEvent(now, "wrote the newer document back to the platform")
	case Value, WriteConflict:
		w.token, w.tokenKnown = e.token, true
		w.needsWriteBack = isNewer(r.settingsVersion, e.document.SettingsVersion())
		if w.needsWriteBack {
			w.nextCallAt = now + maxWriteBackDelay*clock.Millis(r.rng.Float64())
		}
	}
	return actions
}

// recordWatcherFailure schedules the next attempt. The token is read again, because a
// failed write may have taken effect.
func (r *Rollout) recordWatcherFailure(now clock.Millis) {
	w := &r.watcher
	w.pendingCall, w.tokenKnown = 0, false
	w.nextCallAt = now + r.backoff(w.failures)
	w.failures++
}

func (r *Rollout) backoff(failures int) clock.Millis {
	span := min(maxBackoff, initialBackoff*clock.Millis(uint(1)<<min(failures, 8)))
	return span * clock.Millis(0.5+r.rng.Float64())
}
