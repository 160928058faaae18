package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// simulation runs daemons, replicas and callers in virtual time, to test the
// decisions of this package and of package replica together under load.
type simulation struct {
	random   *rand.Rand
	now      clock.Millis
	events   eventQueue
	sequence int
	scenario scenario
	daemons  []*simDaemon
	replicas [][]*simReplica // by shard
	route    *route.Route
	seconds  []callerStats // by the second in which the caller sent the request
	began    clock.Millis
}

// scenario describes the fleet, the load and the faults of a simulation.
type scenario struct {
	dataCentres           []string // one for each daemon
	shards                int      // 0 for a route to one replica
	slotsPerReplica       int
	queuePerReplica       int
	serviceTime           clock.Millis // mean
	objective             clock.Millis
	timeout               clock.Millis
	minCoverage           float64
	requestsPerSecond     float64 // of all callers
	burstFactor           float64 // multiple of requestsPerSecond during the burst
	burstFrom             clock.Millis
	burstTo               clock.Millis
	duration              clock.Millis
	pauseLength           clock.Millis // of each replica, once in pausePeriod
	pausePeriod           clock.Millis
	handshake             clock.Millis                            // added to an exchange on a new connection
	slowFraction          float64                                 // of the replicas, during the burst
	slowFactor            float64                                 // multiple of the service time of a slow replica
	silent                func(s *simulation, r *simReplica) bool // whether the replica gives no answer
	sheds                 func(s *simulation, r *simReplica) bool // whether the replica sheds a request though it has room
	retryRatio            float64                                 // retries and hedges per regular request
	retrySlack            float64                                 // retries and hedges beyond that ratio
	connectionsPerReplica int
	idempotent            bool
	singleReplicas        int // replicas of the one service of a route without shards
}

func defaultScenario() scenario {
	return scenario{
		dataCentres: []string{"a", "a", "b", "c"}, shards: 10, slotsPerReplica: 2, queuePerReplica: 12, serviceTime: 11,
		objective: 100, timeout: 600, minCoverage: 0.89, requestsPerSecond: 180, burstFactor: 1, duration: 8000,
		pauseLength: 120, pausePeriod: 3000, handshake: 6, slowFactor: 1, retryRatio: 0.2, retrySlack: 54,
		connectionsPerReplica: 26, idempotent: true,
	}
}

// largeScenario is a fleet of 79 daemons in five data centres, two of them without
// replicas, that share the load of 42 shards: a daemon sends 1.3 requests a second to a
// shard.
func largeScenario() scenario {
	sc := defaultScenario()
	sc.dataCentres = nil
	for i := range 79 {
		sc.dataCentres = append(sc.dataCentres, string(rune('a'+i%5)))
	}
	sc.shards, sc.slotsPerReplica, sc.queuePerReplica, sc.serviceTime = 42, 3, 18, 28
	sc.objective, sc.timeout, sc.minCoverage, sc.requestsPerSecond = 200, 2000, 0.95, 100
	sc.pauseLength, sc.pausePeriod, sc.retrySlack, sc.connectionsPerReplica = 250, 6000, 430, 125
	return sc
}

// callerDataCentres returns the data centres of the callers: those of the replicas, and
// the others that have a daemon.
func (sc *scenario) callerDataCentres() []string {
	names := []string{"a", "b", "c"}
	for _, dataCentre := range sc.dataCentres {
		if !slices.Contains(names, dataCentre) {
			names = append(names, dataCentre)
		}
	}
	return names
}

// callerStats counts outcomes as callers see them.
type callerStats struct {
	requests, inTime, late, refusedOnce, refused, failed int
	benefit                                              float64 // sum over the requests, each 0 to 1
	sent, remote, dialled, hedged, shed                  int     // attempts
}

func (c callerStats) String() string {
	n := float64(max(1, c.requests))
	return fmt.Sprintf("requests %d benefit %.3f in time %.3f late %.3f refused %.3f (once %.3f) failed %.3f; "+
		"attempts per request %.2f hedged %.2f shed %.2f remote %.3f dialled %.3f",
		c.requests, c.benefit/n, float64(c.inTime)/n, float64(c.late)/n,
		float64(c.refused)/n, float64(c.refusedOnce)/n, float64(c.failed)/n, float64(c.sent)/n,
		float64(c.hedged)/n, float64(c.shed)/n,
		float64(c.remote)/float64(max(1, c.sent)), float64(c.dialled)/float64(max(1, c.sent)))
}

type event struct {
	at  clock.Millis
	seq int
	run func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// after schedules an event.
func (s *simulation) after(delay clock.Millis, run func()) {
	s.sequence++
	heap.Push(&s.events, &event{at: s.now + max(0, delay), seq: s.sequence, run: run})
}

type simDaemon struct {
	simulation *simulation
	dataCentre string
	set        *replica.Set
	profile    LatencyProfile
	admission  Admission
	idle       map[*simReplica]int // idle connections
}

// simReplica runs exchanges in its slots in the order of arrival.
type simReplica struct {
	id         string
	dataCentre string
	running    int // occupied slots
	waiting    []*simExchange
	pausePhase clock.Millis // shifts the pauses of this replica
	slowFactor float64      // multiple of the service time
}

type simExchange struct {
	daemon    *simDaemon
	replica   *simReplica
	onEnd     func(result replica.Result)
	dialled   bool
	abandoned bool
	running   bool
	done      bool
}

// newSimulation returns a simulation of the scenario with three replicas for each
// shard, or singleReplicas for a route to one service, over three data centres.
func newSimulation(sc scenario, seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), scenario: sc, now: 1000, began: 1000}
	replicaCount := 3
	names := []string{"a", "b", "c"}
	var services []string
	if sc.shards == 0 {
		replicaCount = sc.singleReplicas
	}
	for shard := range max(1, sc.shards) {
		services = append(services, fmt.Sprintf("s%d", shard))
		var list []*simReplica
		for i := range replicaCount {
			list = append(list, &simReplica{
				id: fmt.Sprintf("s%d-%d", shard, i), dataCentre: names[i%len(names)], slowFactor: 1,
				pausePhase: sc.pausePeriod * clock.Millis(s.random.Float64()),
			})
		}
		s.replicas = append(s.replicas, list)
	}
	spec := route.Spec{
		Name: "r", Host: "h", Prefix: "/", Idempotent: sc.idempotent, Timeout: sc.timeout, Objective: sc.objective,
		MaxAttempts: 2, Shards: services, TopK: 10, MinCoverage: sc.minCoverage,
	}
	if sc.shards == 0 {
		spec.Shards, spec.Splits = nil, []route.Split{route.NewSplit("s0", 1)}
	}
	r, err := route.NewRoute(spec)
	if err != nil {
		panic(err)
	}
	s.route = r
	for i, dataCentre := range sc.dataCentres {
		d := &simDaemon{simulation: s, dataCentre: dataCentre, idle: make(map[*simReplica]int)}
		d.set = replica.NewSet(dataCentre, rand.New(rand.NewPCG(seed, uint64(100+i))), replica.BudgetPolicy{
			Ratio: sc.retryRatio, Slack: sc.retrySlack, Window: 10 * clock.Second, ProcessStart: -10 * clock.Second,
		})
		d.set.SetDaemonCount(len(sc.dataCentres))
		for shard, list := range s.replicas {
			d.set.Pool(services[shard]).Configure(sc.connectionsPerReplica, 0)
			for _, x := range list {
				d.set.Upsert(s.now, replica.NewEntry(replica.Spec{
					ID: x.id, Service: services[shard], Address: x.id, DataCentre: x.dataCentre, Slots: sc.slotsPerReplica,
				}))
			}
		}
		s.daemons = append(s.daemons, d)
	}
	return s
}

// run simulates the scenario and returns the statistics of each second.
func (s *simulation) run() []callerStats {
	s.seconds = make([]callerStats, int(s.scenario.duration/clock.Second)+1)
	s.scheduleArrivals()
	if s.scenario.slowFraction > 0 {
		s.after(s.scenario.burstFrom, func() { s.slowDownReplicas(s.scenario.slowFactor) })
		s.after(s.scenario.burstTo, func() { s.slowDownReplicas(1) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		e.run()
	}
	return s.seconds
}

// slowDownReplicas slows down a random slowFraction of the replicas, or restores all
// of them if the factor is 1.
func (s *simulation) slowDownReplicas(factor float64) {
	for _, list := range s.replicas {
		for _, r := range list {
			r.slowFactor = 1
			if factor > 1 && s.random.Float64() < s.scenario.slowFraction {
				r.slowFactor = factor
			}
		}
	}
}

// scheduleArrivals sends a request and schedules the next arrival.
func (s *simulation) scheduleArrivals() {
	elapsed := s.now - s.began
	if elapsed >= s.scenario.duration {
		return
	}
	rate := s.scenario.requestsPerSecond
	if elapsed >= s.scenario.burstFrom && elapsed < s.scenario.burstTo {
		rate *= s.scenario.burstFactor
	}
	s.sendRequest()
	s.after(clock.Millis(s.random.ExpFloat64()/rate)*clock.Second, s.scheduleArrivals)
}

// daemonFor picks a daemon for a caller. Each data centre has the same number of
// callers; one without a daemon sends its callers to any daemon.
func (s *simulation) daemonFor() *simDaemon {
	names := s.scenario.callerDataCentres()
	dataCentre := names[s.random.IntN(len(names))]
	var local []*simDaemon
	for _, d := range s.daemons {
		if d.dataCentre == dataCentre {
			local = append(local, d)
		}
	}
	if len(local) == 0 {
		local = s.daemons
	}
	return local[s.random.IntN(len(local))]
}

// sendRequest simulates a caller's request from now on.
func (s *simulation) sendRequest() {
	stats := &s.seconds[int((s.now-s.began)/clock.Second)]
	stats.requests++
	s.submit(stats, s.now, s.now, 1)
}

// submit sends a request of a caller to a daemon. The parameter first is the instant
// at which the caller sent it for the first time.
func (s *simulation) submit(stats *callerStats, first, now clock.Millis, retriesLeft int) {
	d := s.daemonFor()
	s.after(clock.Millisecond, func() {
		d.serve(stats, s.scenario.timeout-(now-first), func(o Outcome, covered int) {
			s.after(clock.Millisecond, func() { s.handleOutcome(stats, first, now, retriesLeft, o, covered) })
		})
	})
}

// handleOutcome counts an outcome as the caller does, or retries the request. A late
// answer has a tenth of the benefit, plus 0.45 if the objective was met from the
// last retry on.
func (s *simulation) handleOutcome(
	stats *callerStats, first, lastSent clock.Millis, retriesLeft int, o Outcome, covered int,
) {
	left := s.scenario.timeout - (s.now - first)
	total := len(s.replicas)
	switch o.Kind() {
	case Answered, Gathered:
		coverage := float64(covered) / float64(total)
		if s.now-first <= s.scenario.objective {
			stats.inTime++
			stats.benefit += coverage * coverage
		} else {
			stats.late++
			stats.benefit += 0.1 * coverage * coverage
			if s.now-lastSent <= s.scenario.objective && lastSent > first {
				stats.benefit += 0.45 * coverage * coverage
			}
		}
	case Refused:
		if retriesLeft > 0 && left > 0 {
			stats.refusedOnce++
			s.after(min(o.RetryAfter(), left/3), func() { s.submit(stats, first, s.now, retriesLeft-1) })
			return
		}
		stats.refused++
	default:
		if retriesLeft > 0 && left > 20 {
			s.submit(stats, first, s.now, retriesLeft-1)
			return
		}
		stats.failed++
	}
}

// serve executes a request on the daemon with the given time until its deadline.
func (d *simDaemon) serve(stats *callerStats, left clock.Millis, reply func(Outcome, int)) {
	s := d.simulation
	q := New(s.now, s.route, s.now+left, Resources{Set: d.set, Profile: &d.profile, Admission: &d.admission})
	exchanges := make(map[int]*simExchange)
	timer := 0
	var perform func(actions []Action)
	perform = func(actions []Action) {
		for _, action := range actions {
			switch action.Kind() {
			case Send:
				number := action.Attempt()
				target := s.find(action.Replica().Entry().ID())
				stats.sent++
				if action.Purpose() == Hedge {
					stats.hedged++
				}
				if target.dataCentre != d.dataCentre {
					stats.remote++
				}
				x := &simExchange{daemon: d, replica: target}
				x.onEnd = func(result replica.Result) {
					if result == replica.Shed {
						stats.shed++
					}
					perform(q.RecordResult(s.now, number, result))
				}
				exchanges[number] = x
				if d.idle[target] > 0 {
					d.idle[target]--
				} else {
					x.dialled = true
					stats.dialled++
				}
				s.after(s.oneWayDelay(d, target), func() { target.receive(s, x) })
			case Abandon:
				x := exchanges[action.Attempt()]
				s.after(0, func() { x.abandon(s) })
			case Wake:
				timer++
				current := timer
				s.after(action.At()-s.now, func() {
					if current == timer {
						perform(q.Tick(s.now))
					}
				})
			case Finish:
				reply(action.Outcome(), q.coveredShards)
			}
		}
	}
	perform(q.Start(s.now))
}

func (s *simulation) find(id string) *simReplica {
	for _, list := range s.replicas {
		for _, r := range list {
			if r.id == id {
				return r
			}
		}
	}
	return nil
}

// oneWayDelay returns the network delay from the daemon to the replica or back.
func (s *simulation) oneWayDelay(d *simDaemon, r *simReplica) clock.Millis {
	if d.dataCentre == r.dataCentre {
		return 0.2
	}
	return 1
}

// abandon closes the connection of an exchange that is still in progress.
func (x *simExchange) abandon(s *simulation) {
	if x.done {
		return
	}
	x.done = true
	x.abandoned = true
	if x.running {
		x.replica.running--
		x.replica.startWaiting(s)
	}
	x.onEnd(replica.Abandoned)
}

// receive starts an exchange, queues it or sheds it.
func (r *simReplica) receive(s *simulation, x *simExchange) {
	if x.done {
		return
	}
	if s.scenario.silent != nil && s.scenario.silent(s, r) {
		return
	}
	if s.scenario.sheds != nil && s.scenario.sheds(s, r) {
		s.after(s.oneWayDelay(x.daemon, r), func() { x.finish(replica.Shed) })
		return
	}
	if r.running < s.scenario.slotsPerReplica {
		r.start(s, x)
		return
	}
	waiting := 0
	for _, other := range r.waiting {
		if !other.done {
			waiting++
		}
	}
	if waiting >= s.scenario.queuePerReplica {
		s.after(s.oneWayDelay(x.daemon, r), func() { x.finish(replica.Shed) })
		return
	}
	r.waiting = append(r.waiting, x)
}

// start runs an exchange in a slot.
func (r *simReplica) start(s *simulation, x *simExchange) {
	r.running++
	x.running = true
	serviceTime := s.drawServiceTime() * clock.Millis(r.slowFactor)
	if x.dialled {
		serviceTime += s.scenario.handshake
	}
	s.after(r.withPauses(s, serviceTime), func() {
		if x.done {
			return
		}
		x.running = false
		r.running--
		r.startWaiting(s)
		s.after(s.oneWayDelay(x.daemon, r), func() { x.finish(replica.OK) })
	})
}

// startWaiting starts queued exchanges while slots are free.
func (r *simReplica) startWaiting(s *simulation) {
	for len(r.waiting) > 0 && r.running < s.scenario.slotsPerReplica {
		x := r.waiting[0]
		r.waiting = r.waiting[1:]
		if !x.done {
			r.start(s, x)
		}
	}
}

func (x *simExchange) finish(result replica.Result) {
	if x.done {
		return
	}
	x.done = true
	x.daemon.idle[x.replica]++
	x.onEnd(result)
}

// drawServiceTime returns the service time of one exchange: log-normal, and five
// times longer for 1 % of the exchanges.
func (s *simulation) drawServiceTime() clock.Millis {
	const sigma = 0.35 // of the logarithm
	serviceTime := s.scenario.serviceTime * clock.Millis(math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2))
	if s.random.Float64() < 0.01 {
		serviceTime *= 5
	}
	return serviceTime
}

// withPauses returns the service time extended by the pauses of the replica that
// interrupt it.
func (r *simReplica) withPauses(s *simulation, serviceTime clock.Millis) clock.Millis {
	if s.scenario.pausePeriod == 0 {
		return serviceTime
	}
	remaining := serviceTime
	at := s.now + r.pausePhase
	within := clock.Millis(math.Mod(float64(at), float64(s.scenario.pausePeriod)))
	total := clock.Millis(0)
	for {
		untilPause := s.scenario.pausePeriod - s.scenario.pauseLength - within
		if untilPause < 0 {
			total += s.scenario.pausePeriod - within
			within = 0
			continue
		}
		if remaining <= untilPause {
			return total + remaining
		}
		remaining -= untilPause
		total += untilPause + s.scenario.pauseLength
		within = 0
	}
}

// sum adds up statistics.
func sum(list []callerStats) callerStats {
	var all callerStats
	for _, c := range list {
		all.requests += c.requests
		all.inTime += c.inTime
		all.late += c.late
		all.refused += c.refused
		all.refusedOnce += c.refusedOnce
		all.failed += c.failed
		all.benefit += c.benefit
		all.sent += c.sent
		all.remote += c.remote
		all.dialled += c.dialled
		all.hedged += c.hedged
		all.shed += c.shed
	}
	return all
}
