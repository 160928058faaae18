package bench

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// exchange is the sub-request and response of one attempt.
type exchange struct {
	execution   *execution
	attempt     query.AttemptID
	shard       snapshot.Shard
	version     snapshot.Version
	sender      *daemon          // holds the connection: the query's daemon or a relaying peer
	relayChoice *upstream.Choice // of the relaying peer; nil if not relayed
	replica     *replica
	boot        int // process of the upstream that the connection belongs to
	sentAt      clock.Millis
	aborted     bool
	ended       bool
}

// relayThrough asks a peer to send the sub-request on the peer's connections. The result
// is NoRelayShare if the peer's pool does not accept it.
func (x *exchange) relayThrough(peer *daemon, choice upstream.Choice) {
	sim := x.execution.daemon.simulation
	sim.scheduleAfter(networkDelay(x.execution.daemon.dataCentre, peer.dataCentre), func() {
		if x.aborted {
			return
		}
		request := upstream.NewPickRequest(x.shard, x.version, []string{string(choice.Upstream())}).
			ForPeer(choice.ColdShareGranted())
		peerChoice, err := peer.pool.Pick(sim.now, request)
		if err != nil {
			x.returnResult(peer, upstream.NewResult(upstream.NoRelayShare, 0, ""))
			return
		}
		x.sender, x.relayChoice = peer, &peerChoice
		x.start(peerChoice.FreshConnection())
	})
}

// start sends the sub-request on an idle connection, or on a new one if there is none.
// With fresh it first closes the idle connections.
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

// connect opens a connection and sends the sub-request on it.
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

// finish ends the exchange at its sender: the connection becomes idle if it is still open,
// and the result goes to the query, through the relay if there is one.
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

// returnResult carries a result from a relaying peer to the daemon of the query.
func (x *exchange) returnResult(peer *daemon, result upstream.Result) {
	sim := x.execution.daemon.simulation
	sim.scheduleAfter(networkDelay(peer.dataCentre, x.execution.daemon.dataCentre), func() {
		if !x.aborted {
			x.reportResult(upstream.NewResult(result.Outcome(), sim.now-x.sentAt, result.Boot()))
		}
	})
}

// reportResult passes the result to the query and performs the actions that follow.
func (x *exchange) reportResult(result upstream.Result) {
	x.ended = true
	attemptResult := query.NewAttemptFailure(result)
	if result.Outcome() == upstream.OK {
		attemptResult = query.NewAttemptResult(result, x.shard, x.version, []byte("x"))
	}
	x.execution.perform(x.execution.query.HandleResult(x.execution.daemon.simulation.now, x.attempt, attemptResult))
}

// abort ends the exchange and closes its connection. The upstream notices after the
// one-way delay.
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

// replaceConnection opens an idle connection to a replica, in place of one that was
// closed. It does so only while the replica accepts connections in the same process.
func (d *daemon) replaceConnection(r *replica) {
	boot := r.boot
	d.simulation.scheduleAfter(d.simulation.service.connectTime, func() {
		idle := d.idle[r.id]
		if !r.silent && !r.refuses && r.boot == boot && idle.boot == boot {
			idle.count++
		}
	})
}
