package bench

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// exchange is one sub-request on its way. Sender is the daemon that holds the
// connection: the daemon of the query, or the peer that relays for it.
type exchange struct {
	run     *execution
	attempt query.AttemptID
	shard   snapshot.Shard
	version snapshot.Version
	sender  *daemon
	relayed *upstream.Choice // choice of the relaying peer
	replica *replica
	boot    int // process that the connection belongs to
	sentAt  clock.Millis
	aborted bool
	ended   bool
}

// relayThrough asks a peer to run the sub-request on its share.
func (x *exchange) relayThrough(peer *daemon, choice upstream.Choice) {
	w := x.run.daemon.world
	w.after(delay(x.run.daemon.dataCentre, peer.dataCentre), func() {
		if x.aborted {
			return
		}
		ask := upstream.NewPickRequest(x.shard, x.version, []string{string(choice.Upstream())}).ForPeer(choice.ColdShareGranted())
		onward, err := peer.pool.Pick(w.now, ask)
		if err != nil {
			x.back(peer, upstream.NewResult(upstream.NoRelayShare, 0, ""))
			return
		}
		x.sender, x.relayed = peer, &onward
		x.start(onward.FreshConnection())
	})
}

// start sends the sub-request on an idle connection, or on a new one.
func (x *exchange) start(fresh bool) {
	w, r := x.run.daemon.world, x.replica
	way := delay(x.sender.dataCentre, r.dataCentre)
	idle := x.sender.idle[r.id]
	if idle.boot != r.boot && !r.silent {
		idle.boot, idle.count = r.boot, 0
	}
	if fresh {
		idle.count = 0
	}
	x.boot = idle.boot
	if idle.count > 0 {
		idle.count--
		w.after(way, func() { r.arrive(x) })
		return
	}
	x.connect(way)
}

func (x *exchange) connect(way clock.Millis) {
	w, r := x.run.daemon.world, x.replica
	w.result.dials++
	switch {
	case r.silent:
		w.after(dialTimeout, func() { x.end(upstream.NewResult(upstream.NotConnected, 0, "")) })
	case r.refuses:
		w.after(2*way, func() { x.end(upstream.NewResult(upstream.NotConnected, 0, "")) })
	default:
		w.after(w.service.connectionCost+way, func() { r.arrive(x) })
	}
}

// end takes the end of the exchange at the daemon that sent it.
func (x *exchange) end(result upstream.Result) {
	w := x.run.daemon.world
	if x.aborted || x.ended {
		return
	}
	x.ended = true
	switch result.Outcome() {
	case upstream.NotConnected, upstream.ConnectionLost:
	default:
		x.sender.idle[x.replica.id].count++
	}
	result = upstream.NewResult(result.Outcome(), w.now-x.sentAt, result.Boot())
	if x.relayed == nil {
		x.report(result)
		return
	}
	x.sender.pool.Done(w.now, *x.relayed, result)
	w.spread(x.sender)
	x.back(x.sender, result)
}

// back brings a result from a relaying peer.
func (x *exchange) back(peer *daemon, result upstream.Result) {
	w := x.run.daemon.world
	w.after(delay(peer.dataCentre, x.run.daemon.dataCentre), func() {
		if !x.aborted {
			x.report(upstream.NewResult(result.Outcome(), w.now-x.sentAt, result.Boot()))
		}
	})
}

func (x *exchange) report(result upstream.Result) {
	x.ended = true
	answer := query.NewAttemptFailure(result)
	if result.Outcome() == upstream.OK {
		answer = query.NewAttemptResult(result, x.shard, x.version, []byte("x"))
	}
	x.run.perform(x.run.query.HandleResult(x.run.daemon.world.now, x.attempt, answer))
}

// abort closes the connection; the upstream notices one way later.
func (x *exchange) abort() {
	w := x.run.daemon.world
	x.aborted = true
	if x.relayed != nil && !x.ended {
		x.ended = true
		x.sender.pool.Done(w.now, *x.relayed, upstream.NewResult(upstream.Cancelled, w.now-x.sentAt, ""))
	}
	w.after(delay(x.sender.dataCentre, x.replica.dataCentre), func() { x.replica.cancel(x) })
	if x.sender.variant.redial {
		x.sender.redial(x.replica)
	}
}

// redial opens a connection in place of one that was closed.
func (d *daemon) redial(r *replica) {
	boot := r.boot
	d.world.after(d.world.service.connectionCost, func() {
		idle := d.idle[r.id]
		if !r.silent && !r.refuses && r.boot == boot && idle.boot == boot {
			idle.count++
		}
	})
}
