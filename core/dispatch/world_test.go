package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// simulation plays daemons, replicas and callers in virtual time, to see how the
// decisions of this package and of package replica act together under a load.
type simulation struct {
	random   *rand.Rand
	now      clock.Millis
	events   eventQueue
	sequence int
	scenario scenario
	daemons  []*simDaemon
	replicas [][]*simReplica // by shard
	route    *route.Route
	seconds  []callerStats
	began    clock.Millis
}

// scenario describes a load.
type scenario struct {
	dataCentres           []string // of the daemons
	shards                int
	slotsPerReplica       int
	queuePerReplica       int
	serviceTime           clock.Millis
	objective             clock.Millis
	timeout               clock.Millis
	minCoverage           float64
	requestsPerSecond     float64
	burstFactor           float64 // factor of the load in the burst
	burstFrom             clock.Millis
	burstTo               clock.Millis
	duration              clock.Millis
	pauseLength           clock.Millis
	pausePeriod           clock.Millis
	handshake             clock.Millis
	slowFraction          float64 // of the replicas, while the burst lasts
	slowFactor            float64
	silent                func(w *simulation, r *simReplica) bool
	retryRatio            float64
	retrySlack            float64
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

// callerStats counts what callers saw.
type callerStats struct {
	requests, inTime, late, refusedOnce, refused, failed int
	benefit                                              float64
	sent, remote, dialled                                int
}

func (t callerStats) String() string {
	n := float64(max(1, t.requests))
	return fmt.Sprintf("asked %d benefit %.3f in time %.3f late %.3f refused %.3f (once %.3f) failed %.3f; sent %.2f far %.3f dialled %.3f",
		t.requests, t.benefit/n, float64(t.inTime)/n, float64(t.late)/n, float64(t.refused)/n, float64(t.refusedOnce)/n, float64(t.failed)/n,
		float64(t.sent)/n, float64(t.remote)/float64(max(1, t.sent)), float64(t.dialled)/float64(max(1, t.sent)))
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

func (w *simulation) after(delay clock.Millis, do func()) {
	w.sequence++
	heap.Push(&w.events, &event{at: w.now + max(0, delay), seq: w.sequence, run: do})
}

type simDaemon struct {
	simulation *simulation
	dataCentre string
	set        *replica.Set
	profile    LatencyProfile
	gate       Admission
	idle       map[*simReplica]int
}

// simReplica runs requests in its slots, in the order of arrival.
type simReplica struct {
	id         string
	dataCentre string
	running    int
	waiting    []*simExchange
	pausePhase clock.Millis
	slowFactor float64
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

func newSimulation(p scenario, seed uint64) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 7)), scenario: p, now: 1000, began: 1000}
	copies := 3
	names := []string{"a", "b", "c"}
	var services []string
	if p.shards == 0 {
		copies = p.singleReplicas
	}
	for shard := range max(1, p.shards) {
		services = append(services, fmt.Sprintf("s%d", shard))
		var list []*simReplica
		for i := range copies {
			list = append(list, &simReplica{
				id: fmt.Sprintf("s%d-%d", shard, i), dataCentre: names[i%len(names)], slowFactor: 1,
				pausePhase: p.pausePeriod * clock.Millis(w.random.Float64()),
			})
		}
		w.replicas = append(w.replicas, list)
	}
	spec := route.Spec{
		Name: "r", Host: "h", Prefix: "/", Idempotent: p.idempotent, Timeout: p.timeout, Objective: p.objective,
		MaxAttempts: 2, Shards: services, TopK: 10, MinCoverage: p.minCoverage,
	}
	if p.shards == 0 {
		spec.Shards, spec.Splits = nil, []route.Split{route.NewSplit("s0", 1)}
	}
	r, err := route.NewRoute(spec)
	if err != nil {
		panic(err)
	}
	w.route = r
	for i, dataCentre := range p.dataCentres {
		d := &simDaemon{simulation: w, dataCentre: dataCentre, idle: make(map[*simReplica]int)}
		d.set = replica.NewSet(dataCentre, rand.New(rand.NewPCG(seed, uint64(100+i))), replica.BudgetPolicy{
			Ratio: p.retryRatio, Slack: p.retrySlack, Span: 10 * clock.Second, Began: -10 * clock.Second,
		})
		d.set.SetDaemons(len(p.dataCentres))
		for shard, list := range w.replicas {
			d.set.Pool(services[shard]).Configure(p.connectionsPerReplica, 0)
			for _, x := range list {
				d.set.Put(w.now, replica.NewEntry(replica.Spec{
					ID: x.id, Service: services[shard], Address: x.id, DataCentre: x.dataCentre, Slots: p.slotsPerReplica,
				}))
			}
		}
		w.daemons = append(w.daemons, d)
	}
	return w
}

// run plays the plan and returns the tallies of each second.
func (w *simulation) run() []callerStats {
	w.seconds = make([]callerStats, int(w.scenario.duration/clock.Second)+1)
	w.scheduleArrivals()
	if w.scenario.slowFraction > 0 {
		w.after(w.scenario.burstFrom, func() { w.slowDownReplicas(w.scenario.slowFactor) })
		w.after(w.scenario.burstTo, func() { w.slowDownReplicas(1) })
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.run()
	}
	return w.seconds
}

func (w *simulation) slowDownReplicas(factor float64) {
	for _, list := range w.replicas {
		for _, r := range list {
			r.slowFactor = 1
			if factor > 1 && w.random.Float64() < w.scenario.slowFraction {
				r.slowFactor = factor
			}
		}
	}
}

func (w *simulation) scheduleArrivals() {
	elapsed := w.now - w.began
	if elapsed >= w.scenario.duration {
		return
	}
	rate := w.scenario.requestsPerSecond
	if elapsed >= w.scenario.burstFrom && elapsed < w.scenario.burstTo {
		rate *= w.scenario.burstFactor
	}
	w.sendRequest()
	w.after(clock.Millis(w.random.ExpFloat64()/rate)*clock.Second, w.scheduleArrivals)
}

// zoneOf draws the data centre of a caller; each has the same number.
func (w *simulation) daemonFor() *simDaemon {
	names := []string{"a", "b", "c"}
	dataCentre := names[w.random.IntN(len(names))]
	var near []*simDaemon
	for _, d := range w.daemons {
		if d.dataCentre == dataCentre {
			near = append(near, d)
		}
	}
	if len(near) == 0 {
		near = w.daemons
	}
	return near[w.random.IntN(len(near))]
}

// sendRequest sends one caller's request.
func (w *simulation) sendRequest() {
	window := &w.seconds[int((w.now-w.began)/clock.Second)]
	window.requests++
	w.submit(window, w.now, w.now, 1)
}

func (w *simulation) submit(window *callerStats, first, now clock.Millis, retries int) {
	d := w.daemonFor()
	w.after(clock.Millisecond, func() {
		d.serve(window, w.scenario.timeout-(now-first), func(o Outcome, covered int) {
			w.after(clock.Millisecond, func() { w.handleOutcome(window, first, now, retries, o, covered) })
		})
	})
}

func (w *simulation) handleOutcome(window *callerStats, first, attempt clock.Millis, retries int, o Outcome, covered int) {
	left := w.scenario.timeout - (w.now - first)
	total := len(w.replicas)
	switch o.Kind() {
	case Answered, Gathered:
		share := float64(covered) / float64(total)
		if w.now-first <= w.scenario.objective {
			window.inTime++
			window.benefit += share * share
		} else {
			window.late++
			window.benefit += 0.1 * share * share
			if w.now-attempt <= w.scenario.objective && attempt > first {
				window.benefit += 0.45 * share * share
			}
		}
	case Refused:
		if retries > 0 && left > 0 {
			window.refusedOnce++
			w.after(min(o.RetryAfter(), left/3), func() { w.submit(window, first, w.now, retries-1) })
			return
		}
		window.refused++
	default:
		if retries > 0 && left > 20 {
			w.submit(window, first, w.now, retries-1)
			return
		}
		window.failed++
	}
}

// serve runs a request on a daemon.
func (d *simDaemon) serve(window *callerStats, left clock.Millis, reply func(Outcome, int)) {
	w := d.simulation
	q := New(w.now, w.route, w.now+left, Resources{Set: d.set, Profile: &d.profile, Admission: &d.gate})
	exchanges := make(map[int]*simExchange)
	timer := 0
	var perform func(actions []Action)
	perform = func(actions []Action) {
		for _, action := range actions {
			switch action.Kind() {
			case Send:
				number := action.Attempt()
				target := w.find(action.Replica().Entry().ID())
				window.sent++
				if target.dataCentre != d.dataCentre {
					window.remote++
				}
				x := &simExchange{daemon: d, replica: target}
				x.onEnd = func(result replica.Result) { perform(q.RecordResult(w.now, number, result)) }
				exchanges[number] = x
				if d.idle[target] > 0 {
					d.idle[target]--
				} else {
					x.dialled = true
					window.dialled++
				}
				w.after(w.roundTrip(d, target), func() { target.receive(w, x) })
			case Abandon:
				x := exchanges[action.Attempt()]
				w.after(0, func() { x.abandon(w) })
			case Wake:
				timer++
				current := timer
				w.after(action.At()-w.now, func() {
					if current == timer {
						perform(q.Tick(w.now))
					}
				})
			case Finish:
				reply(action.Outcome(), q.coveredShards)
			}
		}
	}
	perform(q.Start(w.now))
}

func (w *simulation) find(id string) *simReplica {
	for _, list := range w.replicas {
		for _, r := range list {
			if r.id == id {
				return r
			}
		}
	}
	return nil
}

func (w *simulation) roundTrip(d *simDaemon, r *simReplica) clock.Millis {
	if d.dataCentre == r.dataCentre {
		return 0.2
	}
	return 1
}

// abandon closes the connection of an exchange that has not ended.
func (x *simExchange) abandon(w *simulation) {
	if x.done {
		return
	}
	x.done = true
	x.abandoned = true
	if x.running {
		x.replica.running--
		x.replica.startWaiting(w)
	}
	x.onEnd(replica.Abandoned)
}

// receive runs an exchange, queues it or sheds it.
func (r *simReplica) receive(w *simulation, x *simExchange) {
	if x.done {
		return
	}
	if w.scenario.silent != nil && w.scenario.silent(w, r) {
		return
	}
	if r.running < w.scenario.slotsPerReplica {
		r.start(w, x)
		return
	}
	waiting := 0
	for _, other := range r.waiting {
		if !other.done {
			waiting++
		}
	}
	if waiting >= w.scenario.queuePerReplica {
		w.after(w.roundTrip(x.daemon, r), func() { x.finish(replica.Shed) })
		return
	}
	r.waiting = append(r.waiting, x)
}

func (r *simReplica) start(w *simulation, x *simExchange) {
	r.running++
	x.running = true
	work := w.drawServiceTime() * clock.Millis(r.slowFactor)
	if x.dialled {
		work += w.scenario.handshake
	}
	w.after(r.withPauses(w, work), func() {
		if x.done {
			return
		}
		x.running = false
		r.running--
		r.startWaiting(w)
		w.after(w.roundTrip(x.daemon, r), func() { x.finish(replica.OK) })
	})
}

func (r *simReplica) startWaiting(w *simulation) {
	for len(r.waiting) > 0 && r.running < w.scenario.slotsPerReplica {
		x := r.waiting[0]
		r.waiting = r.waiting[1:]
		if !x.done {
			r.start(w, x)
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

// drawServiceTime returns the work of one request.
func (w *simulation) drawServiceTime() clock.Millis {
	const spread = 0.35
	work := w.scenario.serviceTime * clock.Millis(math.Exp(spread*w.random.NormFloat64()-spread*spread/2))
	if w.random.Float64() < 0.01 {
		work *= 5
	}
	return work
}

// withPauses adds the pauses of the replica to a stretch of work.
func (r *simReplica) withPauses(w *simulation, work clock.Millis) clock.Millis {
	if w.scenario.pausePeriod == 0 {
		return work
	}
	left := work
	at := w.now + r.pausePhase
	within := clock.Millis(math.Mod(float64(at), float64(w.scenario.pausePeriod)))
	total := clock.Millis(0)
	for {
		free := w.scenario.pausePeriod - w.scenario.pauseLength - within
		if free < 0 {
			total += w.scenario.pausePeriod - within
			within = 0
			continue
		}
		if left <= free {
			return total + left
		}
		left -= free
		total += free + w.scenario.pauseLength
		within = 0
	}
}

func sum(windows []callerStats) callerStats {
	var all callerStats
	for _, t := range windows {
		all.requests += t.requests
		all.inTime += t.inTime
		all.late += t.late
		all.refused += t.refused
		all.refusedOnce += t.refusedOnce
		all.failed += t.failed
		all.benefit += t.benefit
		all.sent += t.sent
		all.remote += t.remote
		all.dialled += t.dialled
	}
	return all
}
