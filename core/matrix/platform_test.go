package matrix_test

import (
	"strings"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/inventory"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// vmListLag is the time by which the platform's list of VMs is late.
const vmListLag = clock.Second

// acceptedWrite is a write that the platform accepted.
type acceptedWrite struct {
	at       clock.Millis
	document rollout.Document
}

// settledProposal is the outcome of a proposal as its operator got it.
type settledProposal struct {
	change  string
	outcome rollout.Outcome
}

type pendingWatch struct {
	d    *daemon
	call uint64
}

// platform is the key-value service with one key, and the list of VMs.
type platform struct {
	down             bool
	delay            clock.Millis
	loseNextReply    bool
	document         rollout.Document
	token            uint64
	watches          []pendingWatch
	acceptedWrites   []acceptedWrite
	settledProposals []settledProposal
}

func (w *world) reachesStore(d *daemon) bool {
	return !w.store.down && w.centresConnected(d.centre, "a")
}

func (w *world) callStore(d *daemon, a rollout.Action) {
	if a.Kind() == rollout.Unwatch {
		return
	}
	w.schedule(w.store.delay, func() {
		p := &w.store
		if !w.reachesStore(d) {
			w.deliverStoreEvent(d, rollout.NewEvent(rollout.Failed, a.Call(), 0, rollout.Document{}))
			return
		}
		switch a.Kind() {
		case rollout.Read:
			w.deliverStoreEvent(d, rollout.NewEvent(rollout.Value, a.Call(), p.token, p.document))
		case rollout.Watch:
			w.watchStore(d, a)
		case rollout.CompareAndSwap:
			w.writeStore(d, a)
		}
	})
}

func (w *world) watchStore(d *daemon, a rollout.Action) {
	p := &w.store
	if a.Token() != p.token {
		w.deliverStoreEvent(d, rollout.NewEvent(rollout.Value, a.Call(), p.token, p.document))
		return
	}
	p.watches = append(p.watches, pendingWatch{d: d, call: a.Call()})
	w.schedule(rollout.WatchTime, func() {
		for i, other := range p.watches {
			if other.d == d && other.call == a.Call() {
				p.watches = append(p.watches[:i:i], p.watches[i+1:]...)
				w.deliverStoreEvent(d, rollout.NewEvent(rollout.Unchanged, a.Call(), p.token, rollout.Document{}))
				return
			}
		}
	})
}

func (w *world) writeStore(d *daemon, a rollout.Action) {
	p := &w.store
	if a.Token() != p.token {
		w.deliverStoreEvent(d, rollout.NewEvent(rollout.Conflicting, a.Call(), p.token, p.document))
		return
	}
	p.token++
	p.document = a.Document()
	p.acceptedWrites = append(p.acceptedWrites, acceptedWrite{at: w.now, document: p.document})
	w.tracef("platform accepts revision %d %q %s", p.document.Revision(), p.document.Change(), p.document.Body())
	w.reachStep("reply")
	kind := rollout.Written
	if p.loseNextReply {
		kind, p.loseNextReply = rollout.Failed, false
	}
	w.deliverStoreEvent(d, rollout.NewEvent(kind, a.Call(), p.token, rollout.Document{}))
	if !p.down {
		for _, o := range p.watches {
			w.deliverStoreEvent(o.d, rollout.NewEvent(rollout.Value, o.call, p.token, p.document))
		}
		p.watches = nil
	}
}

// takeStoreDown ends all pending watches with an error.
func (w *world) takeStoreDown() {
	w.store.down = true
	for _, o := range w.store.watches {
		w.deliverStoreEvent(o.d, rollout.NewEvent(rollout.Failed, o.call, 0, rollout.Document{}))
	}
	w.store.watches = nil
}

// deliverStoreEvent reaches the daemon unless its region is cut off; then the call times
// out on the daemon's side.
func (w *world) deliverStoreEvent(d *daemon, e rollout.Event) {
	delay := w.store.delay
	if !w.centresConnected(d.centre, "a") {
		delay, e = rollout.CallTime, rollout.NewEvent(rollout.Failed, e.Call(), 0, rollout.Document{})
	}
	w.deliver(d, delay, func() { d.performRollout(d.rollout.Platform(w.now, e)) })
}

// listVMs returns the VMs as the platform knows them.
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

// dataCentresOut reads the data centres that a document takes out.
func dataCentresOut(document rollout.Document) []string {
	return strings.Fields(string(document.Body()))
}

// proposeSettings lets an operator change the settings at d.
func (w *world) proposeSettings(d *daemon, change, body string) {
	if !d.up || d.pausedUntil > w.now {
		return
	}
	w.reachStep("check")
	d.performRollout(d.rollout.Propose(w.now, rollout.NewProposal(d.rollout.Current().Revision(), change, []byte(body))))
}
