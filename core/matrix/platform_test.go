package matrix_test

import (
	"strings"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/inventory"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// listLag is the time by which the platform's list of VMs is late.
const listLag = clock.Second

// accepted is a write that the platform accepted.
type accepted struct {
	at       clock.Millis
	document rollout.Document
}

// settled is the outcome of a proposal as its operator got it.
type settled struct {
	change  string
	outcome rollout.Outcome
}

type watching struct {
	d    *daemon
	call uint64
}

// platform is the key-value service with one key, and the list of VMs.
type platform struct {
	down      bool
	delay     clock.Millis
	loseReply bool
	document  rollout.Document
	token     uint64
	watchers  []watching
	accepted  []accepted
	settled   []settled
}

func (w *world) reachesStore(d *daemon) bool { return !w.store.down && w.joined(d.centre, "a") }

func (w *world) call(d *daemon, a rollout.Action) {
	if a.Kind() == rollout.Unwatch {
		return
	}
	w.after(w.store.delay, func() {
		p := &w.store
		if !w.reachesStore(d) {
			w.answer(d, rollout.NewEvent(rollout.Failed, a.CallID(), 0, rollout.Document{}))
			return
		}
		switch a.Kind() {
		case rollout.Read:
			w.answer(d, rollout.NewEvent(rollout.Value, a.CallID(), p.token, p.document))
		case rollout.Watch:
			w.watch(d, a)
		case rollout.CompareAndSwap:
			w.write(d, a)
		}
	})
}

func (w *world) watch(d *daemon, a rollout.Action) {
	p := &w.store
	if a.Token() != p.token {
		w.answer(d, rollout.NewEvent(rollout.Value, a.CallID(), p.token, p.document))
		return
	}
	p.watchers = append(p.watchers, watching{d: d, call: a.CallID()})
	w.after(rollout.WatchTimeout, func() {
		for i, other := range p.watchers {
			if other.d == d && other.call == a.CallID() {
				p.watchers = append(p.watchers[:i:i], p.watchers[i+1:]...)
				w.answer(d, rollout.NewEvent(rollout.Unchanged, a.CallID(), p.token, rollout.Document{}))
				return
			}
		}
	})
}

func (w *world) write(d *daemon, a rollout.Action) {
	p := &w.store
	if a.Token() != p.token {
		w.answer(d, rollout.NewEvent(rollout.WriteConflict, a.CallID(), p.token, p.document))
		return
	}
	p.token++
	p.document = a.Document()
	p.accepted = append(p.accepted, accepted{at: w.now, document: p.document})
	w.note("platform accepts revision %d %q %s", p.document.Revision(), p.document.ChangeID(), p.document.Body())
	w.at("reply")
	kind := rollout.Written
	if p.loseReply {
		kind, p.loseReply = rollout.Failed, false
	}
	w.answer(d, rollout.NewEvent(kind, a.CallID(), p.token, rollout.Document{}))
	if !p.down {
		for _, o := range p.watchers {
			w.answer(o.d, rollout.NewEvent(rollout.Value, o.call, p.token, p.document))
		}
		p.watchers = nil
	}
}

// fall ends all pending watches with an error.
func (w *world) fall() {
	w.store.down = true
	for _, o := range w.store.watchers {
		w.answer(o.d, rollout.NewEvent(rollout.Failed, o.call, 0, rollout.Document{}))
	}
	w.store.watchers = nil
}

// answer reaches the daemon unless its region is cut off; then the call times
// out on the daemon's side.
func (w *world) answer(d *daemon, e rollout.Event) {
	delay := w.store.delay
	if !w.joined(d.centre, "a") {
		delay, e = rollout.CallTimeout, rollout.NewEvent(rollout.Failed, e.CallID(), 0, rollout.Document{})
	}
	w.deliver(d, delay, func() { d.performRollout(d.rollout.HandlePlatformEvent(w.now, e)) })
}

// list returns the VMs as the platform knows them.
func (w *world) list() []inventory.VM {
	var list []inventory.VM
	for _, d := range w.daemons {
		if d.up || w.now-d.downAt < 15*clock.Second {
			list = append(list, inventory.NewEntryVM(d.address(), string(d.id), d.centre, regionOf(d.centre)))
		}
	}
	for _, u := range w.upstreams {
		if w.now < u.bornAt+listLag || (u.gone && w.now > u.goneAt+listLag) {
			continue
		}
		vm := inventory.NewUpstreamVM(u.id, "service", u.centre, regionOf(u.centre))
		if u.leaving && w.now > u.leavingAt+listLag {
			vm = vm.AsLeaving()
		}
		list = append(list, vm)
	}
	return list
}

// outCentres reads the data centres that a document takes out.
func outCentres(document rollout.Document) []string { return strings.Fields(string(document.Body())) }

// propose lets an operator change the settings at d.
func (w *world) propose(d *daemon, change, body string) {
	if !d.up || d.paused > w.now {
		return
	}
	w.at("check")
	d.performRollout(d.rollout.Propose(w.now, rollout.NewProposal(d.rollout.Current().Revision(), change, []byte(body))))
}
