package upstream

import (
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// Journal records the decisions that operators ask about later.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}

// Pool holds the replicas of one service. The zero value is empty, has the
// default policy and all shares, and is ready for use. It is not safe for
// concurrent use.
type Pool struct {
	random         *rand.Rand
	journal        Journal
	policy         Policy
	replicas       map[ID]*replicaState
	dataCentresOut []string
	now            clock.Millis // latest instant seen

	latencies      latencyHistogram
	typicalLatency clock.Millis // moving average over all replicas

	fleet fleetView

	coldStates     map[ID]*coldState
	changedRecords []ColdRecord
	joined         bool
	coldExpiryAt   clock.Millis
	usable         []*replicaState // scratch of Pick
	near           []*replicaState // scratch of Pick
	far            []*replicaState // scratch of Pick
	viaManager     []*replicaState // scratch of Pick
}

// SetRandom sets the source of randomness for choices among replicas. Without
// it the pool picks the best replica, with ties going to the earlier holder.
func (p *Pool) SetRandom(random *rand.Rand) { p.random = random }

// SetJournal sets where ejections, cold starts and suspected connections are
// recorded. Without it nothing is recorded.
func (p *Pool) SetJournal(j Journal) { p.journal = j }

// SetPolicy replaces the settings.
func (p *Pool) SetPolicy(now clock.Millis, policy Policy) {
	p.advanceTo(now)
	if p.policy == policy {
		return
	}
	p.policy = policy
	if !policy.ColdStartEnabled() {
		p.disableGates()
	}
	p.recomputeShares()
}

// Add makes a replica known. Adding a known replica changes nothing. Once the
// daemon has joined the fleet, a replica that no cold-start record names is
// taken for new and therefore cold.
func (p *Pool) Add(now clock.Millis, replica Replica) {
	p.advanceTo(now)
	if p.replicas == nil {
		p.replicas = make(map[ID]*replicaState)
	}
	if _, ok := p.replicas[replica.id]; ok {
		return
	}
	r := &replicaState{replica: replica}
	r.dataCentreOut = slices.Contains(p.dataCentresOut, replica.dataCentre)
	p.replicas[replica.id] = r
	p.recomputeReplicaShare(r)
	if c := p.coldStates[replica.id]; c != nil {
		p.recomputeLevelShare(c)
		return
	}
	if p.joined {
		p.beginColdStart(replica.id, "", "upstream unknown to this daemon and its peers")
	}
}

// Remove forgets a replica that the platform no longer lists.
func (p *Pool) Remove(id ID) {
	delete(p.replicas, id)
	delete(p.coldStates, id)
}

// SetLeaving marks a replica as leaving, so that it receives no new work. A
// replica that no longer leaves is cold. Reports say the same on their own: a
// replica leaves as long as either source says so, since both lag.
func (p *Pool) SetLeaving(id ID, leaving bool) {
	if r := p.replicas[id]; r != nil {
		p.applyLeaving(r, leaving, r.leavingReported)
	}
}

func (p *Pool) applyLeaving(r *replicaState, marked, reported bool) {
	before := r.leaving()
	r.leavingMarked, r.leavingReported = marked, reported
	if before && !r.leaving() {
		p.beginColdStart(r.replica.id, "", "upstream no longer leaving")
	}
}

// SetDataCentresOut names the data centres that operators have taken out. Replicas in
// them receive no new work of any purpose; replicas of a data centre that is
// brought back are cold.
func (p *Pool) SetDataCentresOut(now clock.Millis, dataCentres []string) {
	p.advanceTo(now)
	p.dataCentresOut = slices.Clone(dataCentres)
	for id, r := range p.replicas {
		was := r.dataCentreOut
		r.dataCentreOut = slices.Contains(p.dataCentresOut, r.replica.dataCentre)
		if was && !r.dataCentreOut {
			p.beginColdStart(id, "", "data centre brought back")
		}
	}
}

// ReceiveReport takes what an upstream or the platform says about an upstream. It
// steers the score and may start a cold start; it never ejects.
func (p *Pool) ReceiveReport(now clock.Millis, report Report) {
	p.advanceTo(now)
	r := p.replicas[report.upstream]
	if r == nil {
		return
	}
	p.applyLeaving(r, r.leavingMarked, report.leaving)
	r.reportedLoad, r.reportedAt = max(report.load, 0), now
	if p.observeBoot(r, report.boot, now) {
		p.beginColdStart(report.upstream, report.boot, "new boot id in a report")
		return
	}
	if report.cold && p.acceptsColdReport(report) {
		p.beginColdStart(report.upstream, report.boot, "reported by the upstream")
	}
}

// Quantile returns the latency below which the part q of the service's recent
// valid sub-answers lay. It returns false while there are too few of them.
func (p *Pool) Quantile(q float64) (clock.Millis, bool) {
	return p.latencies.quantile(q)
}

// Tick applies what becomes due with time alone. Pick and Done do the same,
// so Tick only matters to a pool without traffic.
func (p *Pool) Tick(now clock.Millis) { p.advanceTo(now) }

// advanceTo moves the pool to now.
func (p *Pool) advanceTo(now clock.Millis) {
	p.now = max(p.now, now)
	if p.fleet.due(p.now) {
		p.recomputeShares()
	}
	if p.now-p.coldExpiryAt > coldExpiryInterval {
		p.expireColdStates()
	}
}

func (p *Pool) recordEvent(kind journal.Kind, id ID, cause string) {
	if p.journal != nil {
		p.journal.Add(p.now, kind, string(id), cause)
	}
}
