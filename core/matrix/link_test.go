package matrix_test

import (
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// linkKey returns the key of the link between two daemons.
func linkKey(a, b fleet.ID) [2]fleet.ID {
	if a > b {
		a, b = b, a
	}
	return [2]fleet.ID{a, b}
}

func (w *world) daemonByID(id fleet.ID) *daemon {
	for _, d := range w.daemons {
		if d.id == id {
			return d
		}
	}
	return nil
}

// daemonsConnected reports whether a and b run and can reach each other.
func (w *world) daemonsConnected(a, b *daemon) bool {
	return a.up && b.up && w.centresConnected(a.centre, b.centre)
}

// dial opens a link to a peer, unless another dial or hang-up follows meanwhile or the
// peer does not respond.
func (w *world) dial(d *daemon, to fleet.ID) {
	d.dialNumbers[to]++
	number, target := d.dialNumbers[to], w.daemonByID(to)
	w.schedule(2*latency(d.centre, target.centre), func() {
		if d.dialNumbers[to] != number || !w.daemonsConnected(d, target) ||
			target.pausedUntil > w.now || d.pausedUntil > w.now {
			return
		}
		if _, open := w.links[linkKey(d.id, to)]; open {
			return
		}
		w.lastLinkID++
		w.links[linkKey(d.id, to)] = w.lastLinkID
		for _, end := range [][2]*daemon{{d, target}, {target, d}} {
			end[0].performMembership(end[0].members.LinkUp(w.now, end[1].id))
			end[0].performRollout(end[0].rollout.LinkUp(w.now, end[1].id))
		}
	})
}

// hangUp closes the link to a peer and voids pending dials.
func (w *world) hangUp(d *daemon, peer fleet.ID) {
	d.dialNumbers[peer]++
	if _, open := w.links[linkKey(d.id, peer)]; open {
		delete(w.links, linkKey(d.id, peer))
		if w.daemonsConnected(d, w.daemonByID(peer)) {
			w.deliverLinkDown(w.daemonByID(peer), d)
		}
	}
	d.performRollout(d.rollout.LinkDown(w.now, peer))
}

// deliverLinkDown tells d that its link to peer was closed, unless it is open again by
// then.
func (w *world) deliverLinkDown(d, peer *daemon) {
	w.deliver(d, latency(d.centre, peer.centre), func() {
		if _, open := w.links[linkKey(d.id, peer.id)]; !open {
			d.performMembership(d.members.LinkDown(w.now, peer.id))
			d.performRollout(d.rollout.LinkDown(w.now, peer.id))
		}
	})
}

// killDaemon ends the process of d. Peers and callers see their connections close,
// unless the whole VM is lost.
func (w *world) killDaemon(d *daemon, vmLost bool) {
	if !d.up {
		return
	}
	d.up, d.downAt = false, w.now
	for _, peer := range w.daemons {
		if _, open := w.links[linkKey(d.id, peer.id)]; open && peer != d {
			delete(w.links, linkKey(d.id, peer.id))
			if !vmLost && w.centresConnected(d.centre, peer.centre) {
				w.deliverLinkDown(peer, d)
			}
		}
	}
	w.breakCallerConnections(d, vmLost)
}

// sendMessage sends a message over the open link to a peer. It is lost without one, or
// if the link is silent or cut off.
func (w *world) sendMessage(d *daemon, to fleet.ID, message fleet.Message) {
	link, open := w.links[linkKey(d.id, to)]
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
	target := w.daemonByID(to)
	if err != nil {
		panic(err)
	}
	if !w.centresConnected(d.centre, target.centre) || w.silentLinks[link] {
		return
	}
	w.deliver(target, latency(d.centre, target.centre), func() {
		if w.links[linkKey(d.id, to)] == link {
			target.receiveMessage(data)
		}
	})
}

// receiveMessage decodes a message of a peer and passes it to its state machine.
func (d *daemon) receiveMessage(data []byte) {
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
		d.performMembership(d.members.Receive(d.w.now, e.From(), message))
	}
}
