package matrix_test

import (
	"strings"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/inventory"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// vmListLag is the delay of changes of upstreams in the platform's list of VMs.
const vmListLag = clock.Second

// acceptedWrite is a write that the platform accepted.
type acceptedWrite struct {
	at       clock.Millis
	document rollout.Document
}

// settledProposal is the outcome of a proposal as reported to its operator.
type settledProposal struct {
	change  string
	outcome rollout.Outcome
}

// pendingWatch is a watch call that is answered at the next write.
type pendingWatch struct {
	d    *daemon
	call uint64
}

// platform is the simulated key-value store, with the settings document as its only
// key, and a record of the results.
type platform struct {
	down             bool
	delay            clock.Millis // one-way
	loseNextReply    bool
	document         rollout.Document
	token            uint64 // version of the key
	watches          []pendingWatch
	acceptedWrites   []acceptedWrite
	settledProposals []settledProposal
}

// reachesStore reports whether d reaches the store, which is in data centre a.
func (w *world) reachesStore(d *daemon) bool {
	return !w.store.down && w.centresConnected(d.centre, "a")
}

// callStore performs a call of the rollout to the store.
func (w *world) callStore(d *daemon, a rollout.Action) {
	if a.Kind() == rollout.Unwatch {
		return
	}
	w.schedule(w.store.delay, func() {
		p := &w.store
		if !w.reachesStore(d) {
			w.deliverStoreEvent(d, rollout.NewEvent(rollout.Failed, a.CallID(), 0, rollout.Document{}))
			return
		}
		switch a.Kind() {
		case rollout.Read:
			w.deliverStoreEvent(d, rollout.NewEvent(rollout.Value, a.CallID(), p.token, p.document))
		case rollout.Watch:
			w.watchStore(d, a)
		case rollout.CompareAndSwap:
			w.writeStore(d, a)
		}
	})
}

// watchStore answers with the document if it is newer than the token of the call, and
// otherwise at the next write or after WatchTimeout.
func (w *world) watchStore(d *daemon, a rollout.Action) {
	p := &w.store
	if a.Token() != p.token {
		w.deliverStoreEvent(d, rollout.NewEvent(rollout.Value, a.CallID(), p.token, p.document))
		return
	}
	p.watches = append(p.watches, pendingWatch{d: d, call: a.CallID()})
	w.schedule(rollout.WatchTimeout, func() {
		for i, other := range p.watches {
			if other.d == d && other.call == a.CallID() {
				p.watches = append(p.watches[:i:i], p.watches[i+1:]...)
				w.deliverStoreEvent(d, rollout.NewEvent(rollout.Unchanged, a.CallID(), p.token, rollout.Document{}))
				return
			}
		}
	})
}

// writeStore performs a compare-and-swap and answers the pending watches.
func (w *world) writeStore(d *daemon, a rollout.Action) {
	p := &w.store
	if a.Token() != p.token {
		w.deliverStoreEvent(d, rollout.NewEvent(rollout.WriteConflict, a.CallID(), p.token, p.document))
		return
	}
	p.token++
	p.document = a.Document()
	p.acceptedWrites = append(p.acceptedWrites, acceptedWrite{at: w.now, document: p.document})
	w.tracef("platform accepts revision %d of change %q: %s",
		p.document.Revision(), p.document.ChangeID(), p.document.Body())
	w.reachStep("reply")
	kind := rollout.Written
	if p.loseNextReply {
		kind, p.loseNextReply = rollout.Failed, false
	}
	w.deliverStoreEvent(d, rollout.NewEvent(kind, a.CallID(), p.token, rollout.Document{}))
	if !p.down {
		for _, pending := range p.watches {
			w.deliverStoreEvent(pending.d, rollout.NewEvent(rollout.Value, pending.call, p.token, p.document))
		}
		p.watches = nil
	}
}

// takeStoreDown makes the store unreachable and fails all pending watches.
func (w *world) takeStoreDown() {
	w.store.down = true
	for _, pending := range w.store.watches {
		w.deliverStoreEvent(pending.d, rollout.NewEvent(rollout.Failed, pending.call, 0, rollout.Document{}))
	}
	w.store.watches = nil
}

// deliverStoreEvent delivers the result of a call to d. If the region of d is cut off,
// the call times out instead.
func (w *world) deliverStoreEvent(d *daemon, e rollout.Event) {
	delay := w.store.delay
	if !w.centresConnected(d.centre, "a") {
		delay, e = rollout.CallTimeout, rollout.NewEvent(rollout.Failed, e.CallID(), 0, rollout.Document{})
	}
	w.deliver(d, delay, func() { d.performRollout(d.rollout.HandlePlatformEvent(w.now, e)) })
}

// listVMs returns the platform's list of VMs, which lags behind their actual state.
func (w *world) listVMs() []inventory.VM {
	var list []inventory.VM
	for _, d := range w.daemons {
		if d.up || w.now-d.downAt < 15*clock.Second {
			list = append(list, inventory.NewEntryVM(d.address(), string(d.id), d.centre, regionOf(d.centre)))
		}
	}
	for _, u := range w.upstreams {
		if w.now < u.createdAt+vmListLag || (u.gone && w.now > u.goneAt+vmListLag) {
			continue
		}
		vm := inventory.NewUpstreamVM(u.id, "service", u.centre, regionOf(u.centre))
		if u.leaving && w.now > u.leavingAt+vmListLag {
			vm = vm.AsLeaving()
		}
		list = append(list, vm)
	}
	return list
}

// dataCentresOut returns the data centres that a settings document takes out.
func dataCentresOut(document rollout.Document) []string {
	return strings.Fields(string(document.Body()))
}

// proposeSettings proposes a change of the settings at d, as an operator does.
func (w *world) proposeSettings(d *daemon, change, body string) {
	if !d.up || d.pausedUntil > w.now {
		return
	}
	w.reachStep("check")
	d.performRollout(d.rollout.Propose(w.now, rollout.NewProposal(
		d.rollout.Current().Revision(), change, []byte(body))))
}
