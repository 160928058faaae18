package replica

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quota"
)

// Set holds all replicas that the platform lists, with a pool for each service.
// It is not safe for concurrent use.
type Set struct {
	dataCentre   string
	regions      map[string]string // region of each data centre
	random       *rand.Rand
	pools        map[string]*Pool      // by service
	replicas     map[string]*Replica   // by id
	byAddress    map[string][]*Replica // in the order of their last entries
	services     map[string]bool       // that the configuration names; nil before there is one
	outOfService []string              // data centres
	daemonCount  int                   // at least 1
	budget       BudgetPolicy
	viewedAt     clock.Millis // time up to which all changes of the list are known, or 0
}

// BudgetPolicy is the fleet-wide budget of repeated requests (retries and hedges)
// of each service: within any window, Ratio times the regular requests plus Slack.
type BudgetPolicy struct {
	Ratio        float64      // repeated requests per regular request
	Slack        float64      // repeated requests per window
	Window       clock.Millis // length of the window
	ProcessStart clock.Millis // start of the first window, over which the slack is granted gradually
}

// NewSet returns an empty set for a daemon in the given data centre.
func NewSet(dataCentre string, random *rand.Rand, budget BudgetPolicy) *Set {
	return &Set{
		dataCentre: dataCentre, random: random, daemonCount: 1, budget: budget,
		pools: make(map[string]*Pool), replicas: make(map[string]*Replica),
		byAddress: make(map[string][]*Replica),
	}
}

// Pool returns the pool of a service, which it creates if there is none.
func (s *Set) Pool(service string) *Pool {
	p := s.pools[service]
	if p == nil {
		p = &Pool{set: s, service: service}
		s.configureBudget(p)
		s.pools[service] = p
	}
	return p
}

// SetBudget replaces the fleet-wide budget of repeated requests of each service.
func (s *Set) SetBudget(budget BudgetPolicy) {
	s.budget = budget
	for _, p := range s.pools {
		s.configureBudget(p)
	}
}

// SetDaemonCount sets the number of daemons among which fleet-wide limits are
// divided. A count below 1 is taken as 1.
func (s *Set) SetDaemonCount(count int) {
	s.daemonCount = max(1, count)
	for _, p := range s.pools {
		s.configureBudget(p)
	}
}

// usableBudgetShare is the share of the budget that is used. The rest is a margin,
// because the daemons' windows are not aligned with the one in which the
// repeated requests of the fleet are counted.
const usableBudgetShare = 0.9

func (s *Set) configureBudget(p *Pool) {
	p.budget.Configure(s.budget.Ratio*usableBudgetShare, s.budget.Slack*usableBudgetShare/float64(s.daemonCount),
		s.budget.Window, s.budget.ProcessStart)
}

// SetServices sets the services that the configuration names. Entries of other services
// name no replica: they take no address over. They are kept, since a later configuration
// may name the service.
func (s *Set) SetServices(services []string) {
	s.services = make(map[string]bool, len(services))
	for _, service := range services {
		s.services[service] = true
	}
	for address, listed := range s.byAddress {
		if len(listed) > 1 {
			s.assignAddress(address)
		}
	}
}

// SetOutOfService sets the data centres whose replicas are not picked. It keeps the
// slice.
func (s *Set) SetOutOfService(dataCentres []string) { s.outOfService = dataCentres }

// SetRegions sets the region of each data centre, and keeps the map. A data centre
// that is not in it is treated as near as one of the daemon's own region, but its
// replicas get no request that must stay in certain regions.
func (s *Set) SetRegions(regions map[string]string) {
	s.regions = regions
	for _, r := range s.replicas {
		s.locate(r)
	}
}

// locate sets the region and the distance of a replica.
func (s *Set) locate(r *Replica) {
	dataCentre := r.entry.DataCentre()
	r.region = s.regions[dataCentre]
	switch {
	case dataCentre == s.dataCentre:
		r.distance = sameDataCentre
	case r.region == "" || r.region == s.regions[s.dataCentre]:
		r.distance = sameRegion
	default:
		r.distance = otherRegion
	}
}

// Changes that Upsert returns, as the log shows them.
const (
	ChangeListed = "listed" // the replica was not known
	// changeRestarted means that the incarnation, version, service or address has changed;
	// the evidence about the previous run is discarded.
	changeRestarted = "restarted"
	changeDraining  = "draining"
	changeCold      = "cold"
)

// Upsert adds or updates a replica from an entry of the platform's list. It returns
// the change for the log, such as ChangeListed, or "" for none.
func (s *Set) Upsert(now clock.Millis, e Entry) (change string) {
	r := s.replicas[e.ID()]
	if r != nil && (r.entry.spec.Incarnation != e.spec.Incarnation || r.entry.Version() != e.Version() ||
		r.entry.Service() != e.Service() || r.entry.Address() != e.Address()) {
		s.Remove(e.ID())
		r, change = nil, changeRestarted
	}
	if r == nil {
		if change == "" {
			change = ChangeListed
		}
		p := s.Pool(e.Service())
		r = &Replica{pool: p}
		s.replicas[e.ID()] = r
		p.replicas = append(p.replicas, r)
	}
	if e.Draining() && !r.entry.Draining() {
		if !r.leaving {
			r.drainingSince = s.listedBy(now)
		}
		change = changeDraining
	}
	r.entry = e
	s.locate(r)
	r.foreign = false
	s.byAddress[e.Address()] = append(withoutReplica(s.byAddress[e.Address()], r), r)
	s.assignAddress(e.Address())
	if e.spec.ColdFor > 0 {
		if !r.Cold(now) && change == "" {
			change = changeCold
		}
		r.startColdPeriod(now, e.spec.ColdFor)
	} else {
		r.coldUntil = min(r.coldUntil, now)
	}
	return change
}

// RecordView records that all changes of the list up to an instant are known. Those that
// Upsert gets afterwards were made later.
func (s *Set) RecordView(at clock.Millis) { s.viewedAt = max(s.viewedAt, at) }

// listedBy returns the instant by which a change that is known from now on would have been
// listed without an undue delay.
func (s *Set) listedBy(now clock.Millis) clock.Millis {
	if s.viewedAt == 0 {
		return now
	}
	return min(now, s.viewedAt+maxListingDelay)
}

// assignAddress determines which of the replicas that are listed with an address has it,
// and marks the others as displaced. Of two, the one that started later has it, or the
// one whose entry came later if neither did. A replica at whose address another one
// answered, or of a service that the configuration does not name, has it only if there
// is no other one.
func (s *Set) assignAddress(address string) {
	var owner *Replica
	for _, r := range s.byAddress[address] {
		if owner == nil || cmp.Or(
			cmpBool(!r.foreign, !owner.foreign),
			cmpBool(s.names(r), s.names(owner)),
			cmp.Compare(r.entry.Incarnation(), owner.entry.Incarnation()),
		) >= 0 {
			owner = r
		}
	}
	for _, r := range s.byAddress[address] {
		r.displaced = r != owner
	}
}

// names reports whether the configuration names the service of a replica.
func (s *Set) names(r *Replica) bool { return s.services == nil || s.services[r.entry.Service()] }

// cmpBool compares two conditions; true is greater.
func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Remove removes a replica that is no longer listed, and reports whether it was
// known.
func (s *Set) Remove(id string) bool {
	r := s.replicas[id]
	if r == nil {
		return false
	}
	delete(s.replicas, id)
	address := r.entry.Address()
	s.byAddress[address] = withoutReplica(s.byAddress[address], r)
	if len(s.byAddress[address]) == 0 {
		delete(s.byAddress, address)
	}
	s.assignAddress(address)
	r.pool.replicas = withoutReplica(r.pool.replicas, r)
	if r.pool.versions != nil && len(r.pending) > 0 {
		r.pool.removed = append(r.pool.removed, r)
	}
	return true
}

// withoutReplica removes a replica from a list, in place.
func withoutReplica(list []*Replica, r *Replica) []*Replica {
	return slices.DeleteFunc(list, func(x *Replica) bool { return x == r })
}

// CountByState returns the number of replicas in each state. A replica counts in
// the first state that applies of draining, leaving (by its replies), displaced,
// unreachable, held (it wants no request for a time), out (its data centre is out of
// service), cold, slow, failing and ready.
func (s *Set) CountByState(now clock.Millis) map[string]int {
	return countByState(now, maps.Values(s.replicas))
}

// CountByState is like Set.CountByState for the replicas of one service.
func (p *Pool) CountByState(now clock.Millis) map[string]int {
	return countByState(now, slices.Values(p.replicas))
}

func countByState(now clock.Millis, replicas iter.Seq[*Replica]) map[string]int {
	states := make(map[string]int)
	for r := range replicas {
		states[r.state(now)]++
	}
	return states
}

// stateReady is the state of a replica to which no other state applies.
const stateReady = "ready"

// minStateChangeInterval is the least time between two reported state changes of a
// replica, so that one that oscillates around a threshold does not flood the logs.
const minStateChangeInterval = clock.Second

// StateChange is a change of the state of a replica, with the evidence for it.
type StateChange struct {
	state, previous       string
	slowness, failureRate float64
}

// State returns the present state, as named in Set.CountByState.
func (c StateChange) State() string { return c.state }

// Previous returns the state reported last, or ready if there is none.
func (c StateChange) Previous() string { return c.previous }

// Slowness returns the latency of recent answers as a multiple of the expected one.
func (c StateChange) Slowness() float64 { return c.slowness }

// FailureRate returns the share of recent exchanges that failed, from 0 to 1.
func (c StateChange) FailureRate() float64 { return c.failureRate }

// TakeStateChange reports whether the state of the replica differs from the one
// that was reported last, and returns the change. The change then counts as
// reported; the next one follows after minStateChangeInterval at the earliest.
func (r *Replica) TakeStateChange(now clock.Millis) (StateChange, bool) {
	state := r.state(now)
	before := cmp.Or(r.reportedState, stateReady)
	if state == before || now-r.reportedAt < minStateChangeInterval {
		return StateChange{}, false
	}
	r.reportedState, r.reportedAt = state, now
	return StateChange{state: state, previous: before, slowness: r.slowness(now), failureRate: r.failureRate(now)}, true
}

// state returns the first state that applies, as described at Set.CountByState.
func (r *Replica) state(now clock.Millis) string {
	switch {
	case r.entry.Draining():
		return "draining"
	case r.leaving, now < r.peerLeavingUntil:
		return "leaving"
	case r.replaced():
		return "displaced"
	case now < r.retryAt:
		return "unreachable"
	case r.Held(now):
		return "held"
	case slices.Contains(r.pool.set.outOfService, r.entry.DataCentre()):
		return "out"
	case r.Cold(now):
		return "cold"
	case r.slowness(now) >= slowThreshold:
		return "slow"
	case r.failureRate(now) >= failingThreshold:
		return "failing"
	default:
		return stateReady
	}
}

// maxBudgets bounds the services that RemainingBudgets returns.
const maxBudgets = 64

// RemainingBudgets returns, by service, how many repeated requests this daemon may
// still send in the present window. Only the services with the least are included.
func (s *Set) RemainingBudgets(now clock.Millis) map[string]float64 {
	names := slices.SortedFunc(maps.Keys(s.pools), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.pools[a].budget.Remaining(now), s.pools[b].budget.Remaining(now)), cmp.Compare(a, b))
	})
	left := make(map[string]float64)
	for _, name := range names[:min(len(names), maxBudgets)] {
		left[name] = s.pools[name].budget.Remaining(now)
	}
	return left
}

// startColdPeriod marks the replica as cold for the time that is left.
func (r *Replica) startColdPeriod(now, left clock.Millis) {
	if !r.Cold(now) && r.pool.warmUpRate > 0 {
		// Spreads the first requests of all daemons over one interval.
		r.nextColdRequestAt = now + r.pool.coldInterval()*clock.Millis(r.pool.set.random.Float64())
	}
	r.coldUntil = now + left
}

// Pool holds the replicas of one service and this daemon's part of the fleet-wide
// limits on them. It is not safe for concurrent use.
type Pool struct {
	set             *Set
	service         string
	replicas        []*Replica
	versions        *versionTraffic // nil without a release
	removed         []*Replica      // no longer listed, with unanswered requests, while there is a release
	connectionLimit int             // of a replica for the whole fleet; 0 for none
	warmUpRate      float64         // requests per second of the fleet to a cold replica; 0 for no limit
	budget          quota.WindowBudget
	work            clock.Millis // service time of this daemon's unfinished requests
	unfinished      int          // their number
	averageWork     clock.Millis // moving average of work
	averageCount    float64      // moving average of unfinished
	averagesAt      clock.Millis // instant up to which the averages are computed
}

// Configure sets the fleet-wide limits for each replica: connectionLimit is the
// number of connections that it accepts, and warmUpRate the requests per second
// that it may get while cold. Zero means no limit.
func (p *Pool) Configure(connectionLimit int, warmUpRate float64) {
	p.connectionLimit, p.warmUpRate = connectionLimit, warmUpRate
}

// Service returns the name of the service.
func (p *Pool) Service() string { return p.service }

// Budget returns this daemon's part of the budget of repeated requests. The pool
// owns it.
func (p *Pool) Budget() *quota.WindowBudget { return &p.budget }

// MaxConnections returns this daemon's part of the connection limit of a replica;
// at least 1.
func (p *Pool) MaxConnections() int {
	if p.connectionLimit == 0 {
		return defaultMaxConnections
	}
	return max(1, p.connectionLimit/p.set.daemonCount)
}

// minBacklogSlots bounds the slots that Backlog divides by from below, for a pool
// with hardly any usable slot.
const minBacklogSlots = 0.5

// defaultMaxConnections applies to each replica of a service without a limit.
const defaultMaxConnections = 1 << 10

const (
	// minAveragingTime is the least time constant of the moving average of this daemon's
	// work, which stands in for the work of each other daemon.
	minAveragingTime = 150 * clock.Millisecond
	// averagedRequests is the number of this daemon's requests over which the work is
	// averaged. With fewer, one slow request would pass for one of each daemon.
	averagedRequests = 8
	maxAveragingTime = 10 * clock.Second
	minAveragedRate  = averagedRequests / float64(maxAveragingTime/clock.Second) // requests per second
)

// BeginRequest adds a request that is sent, with the time for which it occupies a slot,
// to the load of the pool. A request that another daemon counts has the service time 0.
func (p *Pool) BeginRequest(now, serviceTime clock.Millis) { p.addLoad(now, serviceTime, 1) }

// EndRequest removes a request that was added with BeginRequest from the load.
func (p *Pool) EndRequest(now, serviceTime clock.Millis) { p.addLoad(now, -serviceTime, -1) }

func (p *Pool) addLoad(now, work clock.Millis, count int) {
	if work == 0 {
		return
	}
	p.updateAverages(now)
	p.work = max(0, p.work+work)
	p.unfinished += count
}

// updateAverages brings the moving averages of the load up to now.
func (p *Pool) updateAverages(now clock.Millis) {
	if now <= p.averagesAt {
		return
	}
	rate := max(minAveragedRate, p.budget.RegularRate(now))
	time := max(minAveragingTime, clock.Second*clock.Millis(averagedRequests/rate))
	weight := 1 - math.Exp(-float64((now-p.averagesAt)/time))
	p.averageWork += (p.work - p.averageWork) * clock.Millis(weight)
	p.averageCount += (float64(p.unfinished) - p.averageCount) * weight
	p.averagesAt = now
}

// KnowsLoad reports whether this daemon sends enough requests to the pool to estimate
// its momentary load from them: at least one in minAveragingTime.
func (p *Pool) KnowsLoad(now clock.Millis) bool {
	return p.budget.RegularRate(now)*float64(minAveragingTime/clock.Second) >= 1
}

// QueueWait estimates how long a new request waits for a slot: not at all while slots are
// free, however long the requests in the others take, and for the backlog otherwise.
func (p *Pool) QueueWait(now clock.Millis) clock.Millis {
	p.updateAverages(now)
	if float64(p.unfinished)+p.averageCount*float64(p.set.daemonCount-1) < p.usableSlots(now) {
		return 0
	}
	return p.Backlog(now)
}

// Backlog estimates the unfinished work of all daemons divided by the usable slots. The
// work of each other daemon is not known, and is assumed to equal the average of this
// one's. A daemon of a large fleet sends few requests to the pool, so the estimate follows
// the load within seconds.
func (p *Pool) Backlog(now clock.Millis) clock.Millis {
	p.updateAverages(now)
	work := p.work + p.averageWork*clock.Millis(p.set.daemonCount-1)
	if work <= 0 {
		return 0
	}
	return work / clock.Millis(max(p.usableSlots(now), minBacklogSlots))
}

// usableSlots returns the slots of the usable replicas. Those of a slow one count in
// proportion to its speed.
func (p *Pool) usableSlots(now clock.Millis) float64 {
	slots := 0.0
	for _, r := range p.replicas {
		if r.usable(now) {
			slots += float64(r.entry.Slots()) / max(1, r.slowness(now))
		}
	}
	return slots
}

// replaced reports whether another process has the address of the replica.
func (r *Replica) replaced() bool { return r.displaced || r.foreign }

// usable reports whether the replica may be picked, apart from its limits.
func (r *Replica) usable(now clock.Millis) bool {
	return r.available(now) && r.pool.mayUse(now, r)
}

// available reports whether the replica is usable if its version is.
func (r *Replica) available(now clock.Millis) bool {
	return !r.replaced() && !r.draining() && now >= r.peerLeavingUntil && !r.Held(now) && now >= r.retryAt &&
		!slices.Contains(r.pool.set.outOfService, r.entry.DataCentre())
}

// coldInterval returns the least time between two requests of this daemon to a cold
// replica. The requests of all daemons together then stay within the warm-up rate.
func (p *Pool) coldInterval() clock.Millis {
	return clock.Second * clock.Millis(float64(p.set.daemonCount)/p.warmUpRate)
}
