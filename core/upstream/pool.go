package upstream

import (
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// Journal records decisions for operators. Now is the time of the decision,
// subject the address of the upstream.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}

// Pool holds the replicas of one service. The zero value is ready for use: it is
// empty, has the default policy, and holds all shares until SetMembers is called.
// It is not safe for concurrent use. Methods that take the time accept an earlier
// one than before and then keep the latest.
type Pool struct {
	random         *rand.Rand
	journal        Journal
	policy         Policy
	replicas       map[ID]*replicaState
	dataCentresOut []string
	now            clock.Millis // latest time passed to the pool

	latencies      latencyHistogram
	typicalLatency clock.Millis // moving average over all replicas; 0 without a sample

	fleet fleetView

	coldStates     map[ID]*coldState
	changedRecords []ColdRecord // written since the last TakeChanges
	joined         bool
	coldExpiryAt   clock.Millis // last call of expireColdStates

	// Scratch slices of Pick.
	usable     []*replicaState
	near       []*replicaState // in this daemon's data centre
	far        []*replicaState // in other data centres
	viaManager []*replicaState // reachable only through the manager of the cold start
}

// SetRandom sets the source of randomness for Pick, which then takes the better
// of two random replicas. Without it Pick takes the best replica, and the earlier
// holder of equal ones.
func (p *Pool) SetRandom(random *rand.Rand) { p.random = random }

// SetJournal sets the journal of ejections, cold starts and suspect connections.
// Without one nothing is recorded.
func (p *Pool) SetJournal(j Journal) { p.journal = j }

// SetPolicy replaces the settings and recomputes the shares.
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

// Add adds a replica. Adding a known address changes nothing. After CompleteJoin,
// a replica without a cold-start record is new and begins a cold start.
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
		p.beginColdStart(replica.id, "", "new upstream without a cold-start record")
	}
}

// Remove removes a replica that the platform no longer lists, with its cold-start
// record. Results of its exchanges in flight are ignored.
func (p *Pool) Remove(id ID) {
	delete(p.replicas, id)
	delete(p.coldStates, id)
}

// SetLeaving marks a replica as leaving, so that Pick does not select it. Reports
// set a mark of their own. Both sources lag, so a replica is leaving while
// either says so; when neither does, it begins a cold start.
func (p *Pool) SetLeaving(id ID, leaving bool) {
	if r := p.replicas[id]; r != nil {
		p.applyLeaving(r, leaving, r.leavingReported)
	}
}

func (p *Pool) applyLeaving(r *replicaState, marked, reported bool) {
	wasLeaving := r.leaving()
	r.leavingMarked, r.leavingReported = marked, reported
	if wasLeaving && !r.leaving() {
		p.beginColdStart(r.replica.id, "", "upstream is no longer leaving")
	}
}

// SetDataCentresOut sets the data centres that operators have taken out. Pick does
// not select replicas in them for any purpose. Replicas in a data centre that is
// brought back begin a cold start.
func (p *Pool) SetDataCentresOut(now clock.Millis, dataCentres []string) {
	p.advanceTo(now)
	p.dataCentresOut = slices.Clone(dataCentres)
	for id, r := range p.replicas {
		wasOut := r.dataCentreOut
		r.dataCentreOut = slices.Contains(p.dataCentresOut, r.replica.dataCentre)
		if wasOut && !r.dataCentreOut {
			p.beginColdStart(id, "", "data centre brought back")
		}
	}
}

// ReceiveReport applies a report of an upstream or of the platform. It updates the
// reported load and the leaving mark and may begin a cold start. It never ejects.
func (p *Pool) ReceiveReport(now clock.Millis, report Report) {
	p.advanceTo(now)
	r := p.replicas[report.upstream]
	if r == nil {
		return
	}
	p.applyLeaving(r, r.leavingMarked, report.leaving)
	r.reportedLoad, r.reportedAt = max(report.load, 0), now
	if p.observeBoot(r, report.boot, now) {
		p.beginColdStart(report.upstream, report.boot, "report states a new boot id")
		return
	}
	if report.cold && p.acceptsColdReport(report) {
		p.beginColdStart(report.upstream, report.boot, "report states a cold start")
	}
}

// Quantile returns the latency that the fraction q, from 0 to 1, of the service's
// recent exchanges did not exceed. Exchanges abandoned after a long wait count
// with the time waited. It returns false while there are too few exchanges.
func (p *Pool) Quantile(q float64) (clock.Millis, bool) {
	return p.latencies.quantile(q)
}

// Tick applies changes that are due by time alone, such as the end of the wait
// after a join. All methods that take the time do so too, so a caller needs Tick
// only without traffic.
func (p *Pool) Tick(now clock.Millis) { p.advanceTo(now) }

// advanceTo sets the pool's time to now, unless it is later already, and applies
// the changes that are due.
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
