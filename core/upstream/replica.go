package upstream

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

// replicaState is this daemon's own evidence about a replica.
type replicaState struct {
	replica       Replica
	dataCentreOut bool

	leavingMarked   bool
	leavingReported bool

	inFlight        int // all exchanges of this daemon
	directInFlight  int // exchanges on this daemon's own connections
	grantedInFlight int // relayed exchanges that use this daemon's cold share

	meanLatency clock.Millis // moving average; 0 before the first sample
	sampledAt   clock.Millis
	samples     int

	consecutiveFailures int // in a row; ejects
	penaltyDoublings    int // doublings of the score
	penalisedAt         clock.Millis
	slowAnswers         int // answers in a row far above the service's typical latency

	ejection ejection

	suspectConnection   bool // connections may be silent; the next exchange is fresh
	connectionsClosed   bool // idle connections ended since the last success
	connectionsClosedAt clock.Millis
	connectionFailed    bool // refused or lost connection since the last success
	connectionFailedAt  clock.Millis
	boot                string
	previousBoot        string
	bootAt              clock.Millis
	baselineLatency     clock.Millis // slow moving average for latency jumps
	jumpedAnswers       int

	reportedLoad float64
	reportedAt   clock.Millis

	rank            int
	rankVersion     uint64 // table of members that rank belongs to
	slotShare       int
	connectionShare int
	relays          []string // computed on demand
	relaysComputed  bool
	relayOffset     int
	gatedAttemptAt  clock.Millis // last relayed attempt behind a local gate

	cold *coldState // nil unless the gate is closed
}

// Constants of the latency estimate.
const (
	// latencyWeight is the part of a new sample in the moving average; about
	// the last ten samples decide.
	latencyWeight = 0.2
	// baselineWeight makes the baseline follow about a hundred samples, so
	// that three slow answers do not raise it.
	baselineWeight = 0.02
	// typicalWeight averages over about a hundred samples of all replicas.
	typicalWeight = 0.01
	// excessHalvingAge halves the excess of an estimate over the typical latency;
	// without it a replica that was slow once would never be asked again.
	excessHalvingAge = 5 * clock.Second
	// penaltyDecayInterval is the time without failure that takes back one doubling.
	penaltyDecayInterval = clock.Second
	// maxPenaltyDoublings is the largest number of doublings: 64 times.
	maxPenaltyDoublings = 6
	// loadHalvingAge is the age at which reported load counts half.
	loadHalvingAge = 2 * clock.Second
	// reportedLoadWeight bounds the weight of fresh reported load.
	reportedLoadWeight = 0.5
	// zeroSlotShare stands for a slots share of zero, which only guides selection.
	zeroSlotShare = 0.5
	// maxCensoredFactor bounds an estimate built from abandoned exchanges alone.
	maxCensoredFactor = 64
)

func (r *replicaState) leaving() bool { return r.leavingMarked || r.leavingReported }

// score is lower for better replicas.
func (p *Pool) score(r *replicaState) float64 {
	slots := float64(r.slotShare)
	if slots == 0 {
		slots = zeroSlotShare
	}
	load := float64(r.inFlight+1) / slots
	if r.reportedLoad > 0 {
		load += r.otherDaemonsLoad(p.now) / float64(p.policy.Slots())
	}
	score := float64(p.expectedLatency(r)) * load
	return score * float64(int(1)<<r.activeDoublings(p.now))
}

// expectedLatency returns the expected latency. A replica without samples is taken
// for typical; an estimate above typical ages.
func (p *Pool) expectedLatency(r *replicaState) clock.Millis {
	if r.meanLatency == 0 {
		return max(p.typicalLatency, latencyFloor)
	}
	excess := r.meanLatency - p.typicalLatency
	if excess <= 0 {
		return r.meanLatency
	}
	age := max(p.now-r.sampledAt, 0)
	return p.typicalLatency + excess/(1+age/excessHalvingAge)
}

// otherDaemonsLoad returns the reported load of other daemons, discounted by age.
func (r *replicaState) otherDaemonsLoad(now clock.Millis) float64 {
	age := max(now-r.reportedAt, 0)
	others := max(r.reportedLoad-float64(r.inFlight), 0)
	return others * reportedLoadWeight / (1 + float64(age/loadHalvingAge))
}

func (r *replicaState) activeDoublings(now clock.Millis) int {
	if r.penaltyDoublings == 0 {
		return 0
	}
	faded := int(max(now-r.penalisedAt, 0) / penaltyDecayInterval)
	return max(min(r.penaltyDoublings, maxPenaltyDoublings)-faded, 0)
}

// recordLatency takes the latency of a valid sub-answer.
func (p *Pool) recordLatency(r *replicaState, latency clock.Millis) {
	r.samples++
	r.sampledAt = p.now
	if r.meanLatency == 0 {
		r.meanLatency = max(latency, latencyFloor)
	} else {
		r.meanLatency += latencyWeight * (latency - r.meanLatency)
	}
	p.latencies.add(p.now, latency)
	if p.typicalLatency == 0 {
		p.typicalLatency = latency
	}
	p.typicalLatency += typicalWeight * (latency - p.typicalLatency)
}

// recordLatencyAtLeast takes the time after which an exchange was given up. The
// waiting time counts in full while no answer is counted, as in the estimate
// of a mean from censored samples; repeated hedging of a replica therefore
// drives its estimate far above the hedge delay.
func (p *Pool) recordLatencyAtLeast(r *replicaState, elapsed clock.Millis) {
	current := p.expectedLatency(r)
	if elapsed <= current {
		return
	}
	raised := current + latencyWeight*elapsed
	r.meanLatency = min(raised, max(maxCensoredFactor*p.typicalLatency, elapsed))
	r.sampledAt = p.now
}
