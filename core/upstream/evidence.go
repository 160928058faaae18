package upstream

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// censoredQuantile is the latency above which an exchange that was given up
// counts as a slow one. It lies below the quantiles that hedges wait for.
const censoredQuantile = 0.9

// Done ends the exchange that Pick began and takes its result as evidence.
func (p *Pool) Done(now clock.Millis, choice Choice, result Result) {
	p.advanceTo(now)
	r := choice.replica
	if r == nil {
		return
	}
	p.release(r, &choice)
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

// relayFailed reports whether a relayed exchange may have failed at the
// relaying daemon, which says nothing about the upstream.
func relayFailed(kind Outcome) bool {
	switch kind {
	case NotConnected, ConnectionLost, Shed, NoRelayShare, RelayLost, IdleConnectionsClosed:
		return true
	default:
		return false
	}
}

func (p *Pool) release(r *replicaState, choice *Choice) {
	r.inFlight--
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

func (p *Pool) recordSuccess(r *replicaState, choice *Choice, result Result) {
	opened := p.detectColdStart(r, choice, result)
	p.recordLatency(r, result.latency)
	p.countSlowAnswer(r, result.latency)
	r.consecutiveFailures, r.penaltyDoublings = 0, 0
	p.clearSuspicion(r, choice)
	if choice.trial && r.slowAnswers == 0 {
		p.readmit(r)
	}
	if choice.trial && r.slowAnswers > 0 {
		p.eject(r, "slow trial")
	}
	if !opened {
		p.countRoundSuccess(r, choice)
	}
}

// recordShed makes the replica less attractive for a moment. An upstream that sheds
// is healthy, so it is not ejected for it.
func (p *Pool) recordShed(r *replicaState, choice *Choice) {
	if choice.trial {
		p.eject(r, "trial shed")
	}
	r.penaltyDoublings = min(r.penaltyDoublings+1, maxPenaltyDoublings)
	r.penalisedAt = p.now
	p.lowerLevel(r, "shed")
}

// recordNotHeld takes the answer of a healthy upstream that does not hold what was
// asked.
func (p *Pool) recordNotHeld(r *replicaState, choice *Choice, result Result) {
	p.detectRestart(r, choice, result.boot)
	if choice.trial {
		p.readmit(r)
	}
}

// recordCancelled takes the waiting time of an exchange that was given up. A trial
// that had to be hedged has failed.
func (p *Pool) recordCancelled(r *replicaState, choice *Choice, result Result) {
	p.recordLatencyAtLeast(r, result.latency)
	p.recordCensoredLatency(result.latency)
	if choice.trial && result.latency > slowTrialFactor*p.typicalLatency {
		p.eject(r, "trial abandoned as too slow")
	}
}

// recordCensoredLatency counts the waiting time of an exchange that was given up among the
// latencies if it lies in their upper part. Without the stragglers that hedges
// replaced, every quantile would be too low, and more sub-requests would be
// hedged than the budget pays for. Shorter waiting times, such as those of
// hedges that lost, say nothing about the upper part.
func (p *Pool) recordCensoredLatency(elapsed clock.Millis) {
	usual, ok := p.latencies.quantile(censoredQuantile)
	if ok && elapsed > usual {
		p.latencies.add(p.now, elapsed)
	}
}

// recordTimeout blames the connection first: the next exchange uses a fresh one,
// and only its failure counts against the replica.
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
	p.recordEvent(journal.Connection, r.replica.id, "timeout; connections suspected")
}

func (p *Pool) clearSuspicion(r *replicaState, choice *Choice) {
	if !r.suspectConnection || !choice.freshConnection {
		return
	}
	r.suspectConnection = false
	p.recordEvent(journal.Connection, r.replica.id, "fresh connection answered; old ones were silent")
}

// afterConnectionLoss reports whether connections were refused, lost or ended since the last
// success.
func (r *replicaState) afterConnectionLoss() bool {
	return r.connectionFailed || r.connectionsClosed || (r.cold != nil && r.cold.localGate)
}

// recordIdleConnectionsClosed takes the end of all idle connections, or a connection to another
// process than the known one. An upstream closes idle connections also in
// normal operation, so it is no failure; but the process may have restarted, so
// that it gets no more work than a cold one until an answer tells. A restart
// that became known since the choice explains the end.
func (p *Pool) recordIdleConnectionsClosed(r *replicaState, choice *Choice) {
	if choice.boot != r.boot {
		return
	}
	r.connectionsClosed = true
	r.connectionsClosedAt = p.now
	p.setLocalGate(r)
}

func (p *Pool) recordConnectionFailure(r *replicaState, kind Outcome) {
	r.connectionFailed = true
	r.connectionFailedAt = p.now
	p.setLocalGate(r)
	p.recordFailure(r, kind.String())
}

func (p *Pool) recordFailure(r *replicaState, cause string) {
	r.consecutiveFailures++
	r.penaltyDoublings = min(r.penaltyDoublings+1, maxPenaltyDoublings)
	r.penalisedAt = p.now
	p.lowerLevel(r, cause)
	p.ejectIfFailing(r, cause)
}
