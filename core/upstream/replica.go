package upstream

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

// replicaState is what this daemon has observed of a replica, and its shares there.
type replicaState struct {
	replica       Replica
	dataCentreOut bool

	leavingMarked   bool // by SetLeaving
	leavingReported bool // by ReceiveReport

	inFlight        int // all exchanges of this daemon
	directInFlight  int // exchanges on this daemon's own connections
	grantedInFlight int // relayed exchanges that count against this daemon's level share
	// abandoned holds, for each abandoned exchange that the upstream may still run, the
	// instant until which it counts against this daemon's level share.
	abandoned []clock.Millis

	meanLatency clock.Millis // moving average; 0 without a sample
	sampledAt   clock.Millis
	samples     int

	consecutiveFailures int          // since the last success
	penaltyDoublings    int          // of the score
	penalisedAt         clock.Millis // last failure or shed
	slowAnswers         int          // in a row; see slowLatencyFactor

	ejection ejection

	suspectConnection   bool // an exchange timed out; the next one uses a new connection
	connectionsClosed   bool // idle connections were closed; not resolved by a success yet
	connectionsClosedAt clock.Millis
	connectionFailed    bool // refused or lost; not resolved by a success yet
	connectionFailedAt  clock.Millis
	boot                string // boot id of the upstream's process; "" if unknown
	previousBoot        string
	bootAt              clock.Millis // when boot was first seen
	baselineLatency     clock.Millis // slow moving average with which jumps are detected
	jumpedAnswers       int          // in a row

	reportedLoad float64 // sub-requests that the upstream runs or queues
	reportedAt   clock.Millis

	rank            int
	rankVersion     uint64 // version of the share table that rank belongs to
	slotShare       int
	connectionShare int
	relays          []string // peers with a share of the connections
	relaysComputed  bool
	relayOffset     int          // grows when a relay fails
	gatedAttemptAt  clock.Millis // last attempt through the manager behind a local gate

	cold *coldState // nil unless cold-start concurrency applies
}

// Constants of the score.
const (
	// latencyWeight is the weight of a new sample in a replica's mean latency, which
	// thereby follows about the last ten samples.
	latencyWeight = 0.2
	// baselineWeight is the weight of a new sample in the baseline latency, which
	// thereby follows about a hundred samples and is not raised by three slow ones.
	baselineWeight = 0.02
	// typicalWeight is the weight of a new sample in the typical latency, which
	// thereby follows about a hundred samples of all replicas.
	typicalWeight = 0.01
	// excessHalvingAge is the age of the last sample at which the excess of a mean
	// latency over the typical one counts half. Without ageing, a replica that was
	// slow once would not be selected again.
	excessHalvingAge = 5 * clock.Second
	// penaltyDecayInterval is the time without failure that removes one doubling.
	penaltyDecayInterval = clock.Second
	// maxPenaltyDoublings bounds the doublings, so that a score is raised at most 64
	// times.
	maxPenaltyDoublings = 6
	// loadHalvingAge is the age of a report at which its load counts half.
	loadHalvingAge = 2 * clock.Second
	// reportedLoadWeight is the weight of a sub-request in a new report, relative to
	// one of this daemon's own.
	reportedLoadWeight = 0.5
	// zeroSlotShare replaces a slot share of 0 in the score. Slots do not limit a
	// daemon, they only influence selection.
	zeroSlotShare = 0.5
	// maxCensoredFactor is the multiple of the typical latency up to which abandoned
	// exchanges alone raise a mean latency.
	maxCensoredFactor = 64
)

func (r *replicaState) leaving() bool { return r.leavingMarked || r.leavingReported }

// score returns the expected latency of r times its load, doubled for each recent
// failure. Lower is better.
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

// expectedLatency returns the mean latency of r, of which the part above the typical
// latency ages. A replica without samples has the typical latency.
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

// otherDaemonsLoad returns the reported sub-requests of other daemons, weighted and
// discounted by the age of the report.
func (r *replicaState) otherDaemonsLoad(now clock.Millis) float64 {
	age := max(now-r.reportedAt, 0)
	others := max(r.reportedLoad-float64(r.inFlight), 0)
	return others * reportedLoadWeight / (1 + float64(age/loadHalvingAge))
}

// activeDoublings returns the penalty doublings that have not decayed.
func (r *replicaState) activeDoublings(now clock.Millis) int {
	if r.penaltyDoublings == 0 {
		return 0
	}
	decayed := int(max(now-r.penalisedAt, 0) / penaltyDecayInterval)
	return max(min(r.penaltyDoublings, maxPenaltyDoublings)-decayed, 0)
}

// recordLatency records the latency of a valid response.
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

// recordLatencyAtLeast records the time after which an exchange was abandoned, which
// is a lower bound of its latency (a censored sample). The time waited is added
// without counting an answer, as in the estimate of a mean from censored samples.
// A replica that is hedged repeatedly therefore gets a mean latency far above the
// hedge delay.
func (p *Pool) recordLatencyAtLeast(r *replicaState, elapsed clock.Millis) {
	current := p.expectedLatency(r)
	if elapsed <= current {
		return
	}
	raised := current + latencyWeight*elapsed
	r.meanLatency = min(raised, max(maxCensoredFactor*p.typicalLatency, elapsed))
	r.sampledAt = p.now
}
