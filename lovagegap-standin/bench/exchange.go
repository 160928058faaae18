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
	execution   *execution
	attempt     query.AttemptID
	shard       snapshot.Shard
	version     snapshot.Version
	sender      *daemon
	relayChoice *upstream.Choice // choice of the relaying peer
	replica     *replica
	boot        int // process that the connection belongs to
	sentAt      clock.Millis
	aborted     bool
	ended       bool
}

// relayThrough asks a peer to run the sub-request on its share.
func (x *exchange) relayThrough(peer *daemon, choice upstream.Choice) {
	sim := x.execution.daemon.simulation
	sim.scheduleAfter(networkDelay(x.execution.daemon.dataCentre, peer.dataCentre), func() {
		if x.aborted {
			return
		}
		ask := upstream.NewPickRequest(x.shard, x.version, []string{string(choice.Upstream())}).ForPeer(choice.ColdShareGranted())
		onward, err := peer.pool.Pick(sim.now, ask)
		if err != nil {
			x.returnResult(peer, upstream.NewResult(upstream.NoRelayShare, 0, ""))
			return
		}
		x.sender, x.relayChoice = peer, &onward
		x.start(onward.FreshConnection())
	})
}

// start sends the sub-request on an idle connection, or on a new one.
func (x *exchange) start(fresh bool) {
	sim, r := x.execution.daemon.simulation, x.replica
	oneWay := networkDelay(x.sender.dataCentre, r.dataCentre)
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
		sim.scheduleAfter(oneWay, func() { r.arrive(x) })
		return
	}
	x.connect(oneWay)
}

func (x *exchange) connect(oneWay clock.Millis) {
	sim, r := x.execution.daemon.simulation, x.replica
	sim.result.dials++
	switch {
	case r.silent:
		sim.scheduleAfter(dialTimeout, func() { x.finish(upstream.NewResult(upstream.NotConnected, 0, "")) })
	case r.refuses:
		sim.scheduleAfter(2*oneWay, func() { x.finish(upstream.NewResult(upstream.NotConnected, 0, "")) })
	default:
		sim.scheduleAfter(sim.service.connectTime+oneWay, func() { r.arrive(x) })
	}
}

// finish takes the end of the exchange at the daemon that sent it.
func (x *exchange) finish(result upstream.Result) {
	sim := x.execution.daemon.simulation
	if x.aborted || x.ended {
		return
	}
	x.ended = true
	switch result.Outcome() {
	case upstream.NotConnected, upstream.ConnectionLost:
	default:
		x.sender.idle[x.replica.id].count++
	}
	result = upstream.NewResult(result.Outcome(), sim.now-x.sentAt, result.Boot())
	if x.relayChoice == nil {
		x.reportResult(result)
		return
	}
	x.sender.pool.Done(sim.now, *x.relayChoice, result)
	sim.broadcastRecords(x.sender)
	x.returnResult(x.sender, result)
}

// returnResult brings a result from a relaying peer.
func (x *exchange) returnResult(peer *daemon, result upstream.Result) {
	sim := x.execution.daemon.simulation
	sim.scheduleAfter(networkDelay(peer.dataCentre, x.execution.daemon.dataCentre), func() {
		if !x.aborted {
			x.reportResult(upstream.NewResult(result.Outcome(), sim.now-x.sentAt, result.Boot()))
		}
	})
}

func (x *exchange) reportResult(result upstream.Result) {
	x.ended = true
	answer := query.NewAttemptFailure(result)
	if result.Outcome() == upstream.OK {
		answer = query.NewAttemptResult(result, x.shard, x.version, []byte("x"))
	}
	x.execution.perform(x.execution.query.HandleResult(x.execution.daemon.simulation.now, x.attempt, answer))
}

// abort closes the connection; the upstream notices one way later.
func (x *exchange) abort() {
	sim := x.execution.daemon.simulation
	x.aborted = true
	if x.relayChoice != nil && !x.ended {
		x.ended = true
		x.sender.pool.Done(sim.now, *x.relayChoice, upstream.NewResult(upstream.Cancelled, sim.now-x.sentAt, ""))
	}
	sim.scheduleAfter(networkDelay(x.sender.dataCentre, x.replica.dataCentre), func() { x.replica.cancel(x) })
	if x.sender.variant.replacesConnections {
		x.sender.replaceConnection(x.replica)
	}
}

// replaceConnection opens a connection in place of one that was closed.
func (d *daemon) replaceConnection(r *replica) {
	boot := r.boot
	d.simulation.scheduleAfter(d.simulation.service.connectTime, func() {
		idle := d.idle[r.id]
		if !r.silent && !r.refuses && r.boot == boot && idle.boot == boot {
			idle.count++
		}
	})
}
