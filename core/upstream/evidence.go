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
	p.observe(now)
	r := choice.replica
	if r == nil {
		return
	}
	p.release(r, &choice)
	if p.replicas[choice.upstream] != r {
		return // removed, or replaced by another VM at the same address
	}
	if choice.via != "" && relayFailed(result.kind) {
		r.relayTurn++
		return
	}
	switch result.kind {
	case OK:
		p.succeeded(r, &choice, result)
	case VersionGone, WrongShard:
		p.declined(r, &choice, result)
	case Shed:
		p.shed(r, &choice)
	case Timeout:
		p.timedOut(r, &choice, result)
	case Cancelled:
		p.abandoned(r, &choice, result)
	case Stale:
		p.ended(r, &choice)
	case NotConnected, ConnectionLost:
		p.disconnected(r, result.kind)
	default:
		p.failed(r, result.kind.String())
	}
}

// relayFailed reports whether a relayed exchange may have failed at the
// relaying daemon, which says nothing about the upstream.
func relayFailed(kind Kind) bool {
	switch kind {
	case NotConnected, ConnectionLost, Shed, NoShare, RelayLost, Stale:
		return true
	default:
		return false
	}
}

func (p *Pool) release(r *replicaState, choice *Choice) {
	r.inFlight--
	if choice.via == "" {
		r.direct--
	}
	if choice.granted {
		r.granted--
	}
	if choice.trial {
		r.ejection.trial = false
	}
}

func (p *Pool) succeeded(r *replicaState, choice *Choice, result Result) {
	opened := p.inferCold(r, choice, result)
	p.sample(r, result.latency)
	p.countSlow(r, result.latency)
	r.failures, r.penalty = 0, 0
	p.clearSuspicion(r, choice)
	if choice.trial && r.slow == 0 {
		p.readmit(r)
	}
	if choice.trial && r.slow > 0 {
		p.eject(r, "slow trial")
	}
	if !opened {
		p.countRound(r, choice)
	}
}

// shed makes the replica less attractive for a moment. An upstream that sheds
// is healthy, so it is not ejected for it.
func (p *Pool) shed(r *replicaState, choice *Choice) {
	if choice.trial {
		p.eject(r, "trial shed")
	}
	r.penalty = min(r.penalty+1, maxPenalty)
	r.failedAt = p.now
	p.holdLevel(r, "shed")
}

// declined takes the answer of a healthy upstream that does not hold what was
// asked.
func (p *Pool) declined(r *replicaState, choice *Choice, result Result) {
	p.learnBoot(r, choice, result.boot)
	if choice.trial {
		p.readmit(r)
	}
}

// abandoned takes the waiting time of an exchange that was given up. A trial
// that had to be hedged has failed.
func (p *Pool) abandoned(r *replicaState, choice *Choice, result Result) {
	p.sampleAtLeast(r, result.latency)
	p.censored(result.latency)
	if choice.trial && result.latency > slowTrial*p.typical {
		p.eject(r, "trial abandoned as too slow")
	}
}

// censored counts the waiting time of an exchange that was given up among the
// latencies if it lies in their upper part. Without the stragglers that hedges
// replaced, every quantile would be too low, and more sub-requests would be
// hedged than the budget pays for. Shorter waiting times, such as those of
// hedges that lost, say nothing about the upper part.
func (p *Pool) censored(elapsed clock.Millis) {
	usual, ok := p.latencies.quantile(censoredQuantile)
	if ok && elapsed > usual {
		p.latencies.add(p.now, elapsed)
	}
}

// timedOut blames the connection first: the next exchange uses a fresh one,
// and only its failure counts against the replica.
func (p *Pool) timedOut(r *replicaState, choice *Choice, result Result) {
	if choice.via != "" || choice.fresh {
		p.sampleAtLeast(r, result.latency)
		p.failed(r, "timeout")
		return
	}
	p.holdLevel(r, "timeout")
	if r.suspect {
		return
	}
	r.suspect = true
	p.record(journal.Connection, r.replica.id, "timeout; connections suspected")
}

func (p *Pool) clearSuspicion(r *replicaState, choice *Choice) {
	if !r.suspect || !choice.fresh {
		return
	}
	r.suspect = false
	p.record(journal.Connection, r.replica.id, "fresh connection answered; old ones were silent")
}

// unproven reports whether connections were refused, lost or ended since the last
// success.
func (r *replicaState) unproven() bool {
	return r.lost || r.stale || (r.cold != nil && r.cold.local)
}

// ended takes the end of all idle connections, or a connection to another
// process than the known one. An upstream closes idle connections also in
// normal operation, so it is no failure; but the process may have restarted, so
// that it gets no more work than a cold one until an answer tells. A restart
// that became known since the choice explains the end.
func (p *Pool) ended(r *replicaState, choice *Choice) {
	if choice.boot != r.boot {
		return
	}
	r.stale = true
	r.staleAt = p.now
	p.gate(r)
}

func (p *Pool) disconnected(r *replicaState, kind Kind) {
	r.lost = true
	r.lostAt = p.now
	p.gate(r)
	p.failed(r, kind.String())
}

func (p *Pool) failed(r *replicaState, cause string) {
	r.failures++
	r.penalty = min(r.penalty+1, maxPenalty)
	r.failedAt = p.now
	p.holdLevel(r, cause)
	p.judgeFailures(r, cause)
}
