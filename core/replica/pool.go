package replica

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quota"
)

// Set is all replicas that the platform lists. It is not safe for concurrent
// use.
type Set struct {
	dataCentre   string
	regions      map[string]string // by data centre
	random       *rand.Rand
	pools        map[string]*Pool
	replicas     map[string]*Replica
	byAddress    map[string]*Replica // the one listed last
	outOfService []string
	daemonCount  int
	budget       BudgetPolicy
}

// BudgetPolicy is the fleet-wide budget of repeated requests of each service:
// in any span, Ratio times the requests plus Slack.
type BudgetPolicy struct {
	Ratio        float64
	Slack        float64
	Window       clock.Millis
	ProcessStart clock.Millis // start of the process
}

// NewSet returns an empty set of a daemon in a data centre.
func NewSet(dataCentre string, random *rand.Rand, budget BudgetPolicy) *Set {
	return &Set{
		dataCentre: dataCentre, random: random, daemonCount: 1, budget: budget,
		pools: make(map[string]*Pool), replicas: make(map[string]*Replica),
		byAddress: make(map[string]*Replica),
	}
}

// Pool returns the pool of a service.
func (s *Set) Pool(service string) *Pool {
	p := s.pools[service]
	if p == nil {
		p = &Pool{set: s, service: service}
		s.configureBudget(p)
		s.pools[service] = p
	}
	return p
}

// SetBudget changes the fleet-wide budget of each service.
func (s *Set) SetBudget(budget BudgetPolicy) {
	s.budget = budget
	for _, p := range s.pools {
		s.configureBudget(p)
	}
}

// SetDaemonCount sets the number of daemons over which fleet-wide limits are
// divided.
func (s *Set) SetDaemonCount(count int) {
	s.daemonCount = max(1, count)
	for _, p := range s.pools {
		s.configureBudget(p)
	}
}

// usableBudgetShare keeps back a part of the budget, because the daemons' windows
// begin at other instants than the one that counts.
const usableBudgetShare = 0.9

func (s *Set) configureBudget(p *Pool) {
	p.budget.Configure(s.budget.Ratio*usableBudgetShare, s.budget.Slack*usableBudgetShare/float64(s.daemonCount), s.budget.Window, s.budget.ProcessStart)
}

// SetOutOfService names the data centres that are taken out of service.
func (s *Set) SetOutOfService(dataCentres []string) { s.outOfService = dataCentres }

// SetRegions says in which region each data centre is. A data centre that is
// not named counts as one of the daemon's own region, but its replicas get no
// request that must stay in certain regions.
func (s *Set) SetRegions(regions map[string]string) {
	s.regions = regions
	for _, r := range s.replicas {
		s.locate(r)
	}
}

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

// ChangeListed is the word of Put for a replica that was not known.
const ChangeListed = "listed"

// Put takes an entry of the list that is new or has changed. It returns what
// is new about the replica in a word, or "".
func (s *Set) Put(now clock.Millis, e Entry) (change string) {
	r := s.replicas[e.ID()]
	if r != nil && (r.entry.spec.Incarnation != e.spec.Incarnation || r.entry.Service() != e.Service() || r.entry.Address() != e.Address()) {
		s.Drop(e.ID())
		r, change = nil, "restarted"
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
		r.drainingSince, change = now, "draining"
	}
	r.entry = e
	s.locate(r)
	s.claimAddress(r)
	if e.spec.ColdFor > 0 {
		if !r.Cold(now) && change == "" {
			change = "cold"
		}
		r.startColdPeriod(now, e.spec.ColdFor)
	} else {
		r.coldUntil = min(r.coldUntil, now)
	}
	return change
}

// claimAddress notes that a replica has its address, whoever had it before.
func (s *Set) claimAddress(r *Replica) {
	if before := s.byAddress[r.entry.Address()]; before != nil && before != r {
		before.displaced = true
	}
	s.byAddress[r.entry.Address()] = r
	r.displaced = false
}

// Drop removes a replica that is gone from the list, and reports whether it was
// known.
func (s *Set) Drop(id string) bool {
	r := s.replicas[id]
	if r == nil {
		return false
	}
	delete(s.replicas, id)
	if s.byAddress[r.entry.Address()] == r {
		delete(s.byAddress, r.entry.Address())
	}
	r.pool.replicas = slices.DeleteFunc(r.pool.replicas, func(x *Replica) bool { return x == r })
	return true
}

// CountByState counts the replicas by state: each in the first one of draining,
// displaced, unreachable, out, cold, slow, failing that holds, or ready.
func (s *Set) CountByState(now clock.Millis) map[string]int {
	states := make(map[string]int)
	for _, r := range s.replicas {
		states[r.state(now)]++
	}
	return states
}

// stateReady is the state of a replica without any evidence against it.
const stateReady = "ready"

// minStateChangeInterval is the least time between two changes of belief of a replica that
// are told, so that one at a threshold does not fill the logs.
const minStateChangeInterval = clock.Second

// StateChange is what a daemon believes of a replica, with the evidence.
type StateChange struct {
	state, previous       string
	slowness, failureRate float64
}

// State returns what is believed now, as in Set.States.
func (b StateChange) State() string { return b.state }

// Previous returns what was told before.
func (b StateChange) Previous() string { return b.previous }

// Slowness returns how long the last answers took relative to the usual latency.
func (b StateChange) Slowness() float64 { return b.slowness }

// FailureRate returns the share of the last exchanges that failed.
func (b StateChange) FailureRate() float64 { return b.failureRate }

// TakeStateChange returns what is believed of the replica, and whether that has changed
// since it was last told.
func (r *Replica) TakeStateChange(now clock.Millis) (StateChange, bool) {
	state := r.state(now)
	before := cmp.Or(r.reportedState, stateReady)
	if state == before || now-r.reportedAt < minStateChangeInterval {
		return StateChange{}, false
	}
	r.reportedState, r.reportedAt = state, now
	return StateChange{state: state, previous: before, slowness: r.slowness(now), failureRate: r.failureRate(now)}, true
}

func (r *Replica) state(now clock.Millis) string {
	switch {
	case r.entry.Draining():
		return "draining"
	case r.displaced:
		return "displaced"
	case now < r.retryAt:
		return "unreachable"
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

// maxBudgets bounds the services in Budgets.
const maxBudgets = 64

// RemainingBudgets returns what is left of this daemon's part of the budget of repeated
// requests, of the services with the least.
func (s *Set) RemainingBudgets(now clock.Millis) map[string]float64 {
	names := slices.SortedFunc(maps.Keys(s.pools), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.pools[a].budget.Left(now), s.pools[b].budget.Left(now)), cmp.Compare(a, b))
	})
	left := make(map[string]float64)
	for _, name := range names[:min(len(names), maxBudgets)] {
		left[name] = s.pools[name].budget.Left(now)
	}
	return left
}

func (r *Replica) startColdPeriod(now, left clock.Millis) {
	if !r.Cold(now) && r.pool.warmUpRate > 0 {
		// Spreads the first requests of the daemons over one interval.
		r.nextColdRequestAt = now + r.pool.coldInterval()*clock.Millis(r.pool.set.random.Float64())
	}
	r.coldUntil = now + left
}

// Pool is the replicas of one service.
type Pool struct {
	set             *Set
	service         string
	replicas        []*Replica
	connectionLimit int
	warmUpRate      float64
	budget          quota.Window
	work            clock.Millis // of this daemon's unanswered exchanges
	averageWork     clock.Millis // work, smoothed
	averageWorkAt   clock.Millis
}

// Configure sets the fleet-wide limits of each replica: the connections that it
// accepts and the requests a second that it bears while cold. Zero stands for
// no limit.
func (p *Pool) Configure(connectionLimit int, warmUpRate float64) {
	p.connectionLimit, p.warmUpRate = connectionLimit, warmUpRate
}

// Service returns the name of the service.
func (p *Pool) Service() string { return p.service }

// Budget returns this daemon's part of the budget of repeated requests.
func (p *Pool) Budget() *quota.Window { return &p.budget }

// MaxConnections returns how many connections this daemon may have to one replica.
func (p *Pool) MaxConnections() int {
	if p.connectionLimit == 0 {
		return defaultMaxConnections
	}
	return max(1, p.connectionLimit/p.set.daemonCount)
}

const defaultMaxConnections = 1 << 10

// workAveragingTime is the time over which this daemon's work is averaged to stand for
// that of another daemon.
const workAveragingTime = 150 * clock.Millisecond

// AddWork counts work at the replicas, or its end if it is negative.
func (p *Pool) AddWork(now, work clock.Millis) {
	p.updateAverageWork(now)
	p.work = max(0, p.work+work)
}

func (p *Pool) updateAverageWork(now clock.Millis) {
	if now > p.averageWorkAt {
		p.averageWork += (p.work - p.averageWork) * clock.Millis(1-math.Exp(-float64((now-p.averageWorkAt)/workAveragingTime)))
		p.averageWorkAt = now
	}
}

// Backlog estimates how long a new request waits for a slot: the work at the
// replicas over their slots. This daemon knows its own work; for each other
// daemon it takes its own usual one.
func (p *Pool) Backlog(now clock.Millis) clock.Millis {
	p.updateAverageWork(now)
	work := p.work + p.averageWork*clock.Millis(p.set.daemonCount-1)
	if work <= 0 {
		return 0
	}
	slots := 0.0
	for _, r := range p.replicas {
		if r.usable(now) {
			slots += float64(r.entry.Slots()) / max(1, r.slowness(now))
		}
	}
	return work / clock.Millis(max(slots, 0.5))
}

func (r *Replica) usable(now clock.Millis) bool {
	return !r.displaced && !r.entry.Draining() && now >= r.retryAt && !slices.Contains(r.pool.set.outOfService, r.entry.DataCentre())
}

// coldInterval returns the time between two requests of this daemon to one
// cold replica, so that all daemons together keep to the rate.
func (p *Pool) coldInterval() clock.Millis {
	return clock.Second * clock.Millis(float64(p.set.daemonCount)/p.warmUpRate)
}
