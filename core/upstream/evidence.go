package upstream

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// censoredQuantile is the quantile of the service's latencies above which the time
// waited for an abandoned exchange counts as a latency. It is below the quantiles
// that hedges wait for.
const censoredQuantile = 0.9

// Done ends the exchange that Pick began and records its result. It must be called
// once for each choice, also if the exchange was not started.
func (p *Pool) Done(now clock.Millis, choice Choice, result Result) {
	p.advanceTo(now)
	r := choice.replica
	if r == nil {
		return
	}
	p.release(r, &choice, result.outcome)
	if p.replicas[choice.upstream] != r {
		return // removed, or replaced by another VM at the same address
	}
	if choice.via != "" && relayFailed(result.outcome) {
		r.relayOffset++
		return
	}
	switch result.outcome {
	case OK:
		p.recordSuccess(r, &choice, result)
	case VersionGone, WrongShard:
		p.recordNotHeld(r, &choice, result)
	case Shed:
		p.recordShed(r, &choice)
	case Timeout:
		p.recordTimeout(r, &choice, result)
	case Cancelled:
		p.recordCancelled(r, &choice, result)
	case IdleConnectionsClosed:
		p.recordIdleConnectionsClosed(r, &choice)
	case NotConnected, ConnectionLost:
		p.recordConnectionFailure(r, result.outcome)
	default:
		p.recordFailure(r, result.outcome.String())
	}
}

// relayFailed reports whether the outcome of a relayed exchange may stem from the
// relaying daemon, so that it is no evidence about the upstream.
func relayFailed(outcome Outcome) bool {
	switch outcome {
	case NotConnected, ConnectionLost, Shed, NoRelayShare, RelayLost, IdleConnectionsClosed:
		return true
	default:
		return false
	}
}

// AbandonedHold is the time within which an upstream is expected to notice that the
// connection of an abandoned exchange was closed. Until then the exchange counts against
// the level share of a cold upstream.
const AbandonedHold = 250 * clock.Millisecond

// release removes the exchange from those in flight. One that this daemon abandoned still
// counts at a cold upstream for AbandonedHold.
func (p *Pool) release(r *replicaState, choice *Choice, outcome Outcome) {
	r.inFlight--
	if choice.cold && (outcome == Cancelled || outcome == Timeout) {
		r.abandoned = append(r.abandoned, p.now+AbandonedHold)
	}
	if choice.via == "" {
		r.directInFlight--
	}
	if choice.coldShareGranted {
		r.grantedInFlight--
	}
	if choice.trial {
		r.ejection.trialInFlight = false
	}
}

// recordSuccess records a valid response.
func (p *Pool) recordSuccess(r *replicaState, choice *Choice, result Result) {
	begun := p.detectColdStart(r, choice, result)
	p.recordLatency(r, result.latency)
	p.countSlowAnswer(r, result.latency)
	r.consecutiveFailures, r.penaltyDoublings = 0, 0
	p.clearSuspicion(r, choice)
	if choice.trial && r.slowAnswers == 0 {
		p.readmit(r)
	}
	if choice.trial && r.slowAnswers > 0 {
		p.eject(r, "trial answered too slowly")
	}
	if !begun {
		p.countRoundSuccess(r, choice)
	}
}

// recordShed penalises the score of a replica that refused a sub-request under load.
// Such a replica is healthy, so only a shed trial ejects it.
func (p *Pool) recordShed(r *replicaState, choice *Choice) {
	if choice.trial {
		p.eject(r, "trial refused under load")
	}
	r.penaltyDoublings = min(r.penaltyDoublings+1, maxPenaltyDoublings)
	r.penalisedAt = p.now
	p.lowerLevel(r, "shed")
}

// recordNotHeld records the answer of a healthy upstream that does not hold the shard
// or the snapshot version.
func (p *Pool) recordNotHeld(r *replicaState, choice *Choice, result Result) {
	p.detectRestart(r, choice, result.boot)
	if choice.trial {
		p.readmit(r)
	}
}

// recordCancelled records the time waited for an abandoned exchange. A trial that was
// abandoned after slowTrialFactor times the typical latency has failed.
func (p *Pool) recordCancelled(r *replicaState, choice *Choice, result Result) {
	p.recordLatencyAtLeast(r, result.latency)
	p.recordCensoredLatency(result.latency)
	if choice.trial && result.latency > slowTrialFactor*p.typicalLatency {
		p.eject(r, "trial abandoned without an answer")
	}
}

// recordCensoredLatency adds the time waited for an abandoned exchange to the latency
// histogram if it is above censoredQuantile. Without the stragglers that hedges
// replace, every quantile would be too low, and more sub-requests would be hedged
// than the budget allows. Shorter waits, such as those of hedges that lost, say
// nothing about the upper quantiles.
func (p *Pool) recordCensoredLatency(elapsed clock.Millis) {
	threshold, ok := p.latencies.quantile(censoredQuantile)
	if ok && elapsed > threshold {
		p.latencies.add(p.now, elapsed)
	}
}

// recordTimeout marks the connections as suspect after a timeout on a reused one, so
// that the next exchange uses a new connection. A timeout on a new or relayed
// connection is a failure of the replica.
func (p *Pool) recordTimeout(r *replicaState, choice *Choice, result Result) {
	if choice.via != "" || choice.freshConnection {
		p.recordLatencyAtLeast(r, result.latency)
		p.recordFailure(r, "timeout")
		return
	}
	p.lowerLevel(r, "timeout")
	if r.suspectConnection {
		return
	}
	r.suspectConnection = true
	p.recordEvent(journal.Connection, r.replica.id, "exchange timed out; connections suspect")
}

// clearSuspicion ends the suspicion after a success on a new connection.
func (p *Pool) clearSuspicion(r *replicaState, choice *Choice) {
	if !r.suspectConnection || !choice.freshConnection {
		return
	}
	r.suspectConnection = false
	p.recordEvent(journal.Connection, r.replica.id, "new connection answered; earlier connections had failed silently")
}

// afterConnectionLoss reports whether connections were refused, lost or closed and no
// success has resolved it.
func (r *replicaState) afterConnectionLoss() bool {
	return r.connectionFailed || r.connectionsClosed || (r.cold != nil && r.cold.localGate)
}

// recordIdleConnectionsClosed records that all idle connections were closed, or that a
// connection leads to another process than the known one. Upstreams close idle
// connections in normal operation too, so this is no failure. But the process may
// have restarted, so it gets no more work than a cold one until an answer has its
// boot id. If the boot id changed since the choice, the restart is already known.
func (p *Pool) recordIdleConnectionsClosed(r *replicaState, choice *Choice) {
	if choice.boot != r.boot {
		return
	}
	r.connectionsClosed = true
	r.connectionsClosedAt = p.now
	p.setLocalGate(r)
}

// recordConnectionFailure records a refused or lost connection.
func (p *Pool) recordConnectionFailure(r *replicaState, outcome Outcome) {
	r.connectionFailed = true
	r.connectionFailedAt = p.now
	p.setLocalGate(r)
	p.recordFailure(r, outcome.String())
}

// recordFailure counts a failure, which penalises the score, lowers the level of a cold
// start and may eject the replica.
func (p *Pool) recordFailure(r *replicaState, cause string) {
	r.consecutiveFailures++
	r.penaltyDoublings = min(r.penaltyDoublings+1, maxPenaltyDoublings)
	r.penalisedAt = p.now
	p.lowerLevel(r, cause)
	p.ejectIfFailing(r, cause)
}
