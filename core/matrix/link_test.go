package matrix_test

import (
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/rollout"
)

func pair(a, b fleet.ID) [2]fleet.ID {
	if a > b {
		a, b = b, a
	}
	return [2]fleet.ID{a, b}
}

func (w *world) daemon(id fleet.ID) *daemon {
	for _, d := range w.daemons {
		if d.id == id {
			return d
		}
	}
	return nil
}

// reach reports whether a message gets from a to b.
func (w *world) reach(a, b *daemon) bool { return a.up && b.up && w.joined(a.centre, b.centre) }

func (w *world) dial(d *daemon, to fleet.ID) {
	d.dials[to]++
	number, target := d.dials[to], w.daemon(to)
	w.after(2*latency(d.centre, target.centre), func() {
		if d.dials[to] != number || !w.reach(d, target) || target.paused > w.now || d.paused > w.now {
			return
		}
		if _, open := w.conns[pair(d.id, to)]; open {
			return
		}
		w.nextID++
		w.conns[pair(d.id, to)] = w.nextID
		for _, end := range [][2]*daemon{{d, target}, {target, d}} {
			end[0].perform(end[0].members.LinkUp(w.now, end[1].id))
			end[0].performRollout(end[0].rollout.LinkUp(w.now, end[1].id))
		}
	})
}

func (w *world) hangup(d *daemon, peer fleet.ID) {
	d.dials[peer]++
	if _, open := w.conns[pair(d.id, peer)]; open {
		delete(w.conns, pair(d.id, peer))
		if w.reach(d, w.daemon(peer)) {
			w.linkDown(w.daemon(peer), d)
		}
	}
	d.performRollout(d.rollout.LinkDown(w.now, peer))
}

func (w *world) linkDown(d, peer *daemon) {
	w.deliver(d, latency(d.centre, peer.centre), func() {
		if _, open := w.conns[pair(d.id, peer.id)]; !open {
			d.perform(d.members.LinkDown(w.now, peer.id))
			d.performRollout(d.rollout.LinkDown(w.now, peer.id))
		}
	})
}

// kill ends a daemon. Peers of an ended process see their links close; those
// of a lost VM see nothing.
func (w *world) kill(d *daemon, silent bool) {
	if !d.up {
		return
	}
	d.up, d.downAt = false, w.now
	for _, o := range w.daemons {
		if _, open := w.conns[pair(d.id, o.id)]; open && o != d {
			delete(w.conns, pair(d.id, o.id))
			if !silent && w.joined(d.centre, o.centre) {
				w.linkDown(o, d)
			}
		}
	}
	w.breakCalls(d, silent)
}

func (w *world) send(d *daemon, to fleet.ID, message fleet.Message) {
	conn, open := w.conns[pair(d.id, to)]
	if !open {
		return
	}
	var data []byte
	var err error
	switch message.(type) {
	case rollout.Offer, rollout.Pull, rollout.Chunk:
		data, err = rollout.Encode(d.members.Self(), message)
	default:
		data, err = fleet.Encode(d.members.Self(), message)
	}
	target := w.daemon(to)
	if err != nil {
		panic(err)
	}
	if !w.joined(d.centre, target.centre) || w.silentLinks[conn] {
		return
	}
	w.deliver(target, latency(d.centre, target.centre), func() {
		if w.conns[pair(d.id, to)] == conn {
			target.receive(data)
		}
	})
}

func (d *daemon) receive(data []byte) {
	e, err := fleet.DecodeEnvelope(data)
	if err != nil {
		panic(err)
	}
	switch e.Kind() {
	case rollout.KindOffer, rollout.KindPull, rollout.KindDocument:
		message, err := rollout.Decode(e)
		if err != nil {
			panic(err)
		}
		d.performRollout(d.rollout.Receive(d.w.now, e.From(), message))
	default:
		message, err := fleet.Decode(e)
		if err != nil {
			panic(err)
		}
		d.perform(d.members.Receive(d.w.now, e.From(), message))
	}
}
