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

// world plays daemons, replicas and callers in virtual time, to see how the
// decisions of this package and of package replica act together under a load.
type world struct {
	random   *rand.Rand
	now      clock.Millis
	events   eventQueue
	sequence int
	plan     plan
	daemons  []*worldDaemon
	replicas [][]*worldReplica // by shard
	route    *route.Route
	windows  []tally
	began    clock.Millis
}

// plan describes a load.
type plan struct {
	dataCentres  []string // of the daemons
	shards       int
	slots        int
	queue        int
	work         clock.Millis
	objective    clock.Millis
	timeout      clock.Millis
	minCoverage  float64
	perSecond    float64
	burst        float64 // factor of the load in the burst
	burstFrom    clock.Millis
	burstTo      clock.Millis
	length       clock.Millis
	pause        clock.Millis
	pauseEvery   clock.Millis
	handshake    clock.Millis
	slowShare    float64 // of the replicas, while the burst lasts
	slowFactor   float64
	mute         func(w *world, r *worldReplica) bool
	budgetRatio  float64
	budgetSlack  float64
	connections  int
	idempotent   bool
	singleCopies int // replicas of the one service of a route without shards
}

func defaultPlan() plan {
	return plan{
		dataCentres: []string{"a", "a", "b", "c"}, shards: 10, slots: 2, queue: 12, work: 11,
		objective: 100, timeout: 600, minCoverage: 0.89, perSecond: 180, burst: 1, length: 8000,
		pause: 120, pauseEvery: 3000, handshake: 6, slowFactor: 1, budgetRatio: 0.2, budgetSlack: 54,
		connections: 26, idempotent: true,
	}
}

// tally counts what callers saw.
type tally struct {
	asked, inTime, late, refusedOnce, refused, failed int
	benefit                                           float64
	sent, far, dialled                                int
}

func (t tally) String() string {
	n := float64(max(1, t.asked))
	return fmt.Sprintf("asked %d benefit %.3f in time %.3f late %.3f refused %.3f (once %.3f) failed %.3f; sent %.2f far %.3f dialled %.3f",
		t.asked, t.benefit/n, float64(t.inTime)/n, float64(t.late)/n, float64(t.refused)/n, float64(t.refusedOnce)/n, float64(t.failed)/n,
		float64(t.sent)/n, float64(t.far)/float64(max(1, t.sent)), float64(t.dialled)/float64(max(1, t.sent)))
}

type event struct {
	at  clock.Millis
	seq int
	do  func()
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

func (w *world) after(delay clock.Millis, do func()) {
	w.sequence++
	heap.Push(&w.events, &event{at: w.now + max(0, delay), seq: w.sequence, do: do})
}

type worldDaemon struct {
	world      *world
	dataCentre string
	set        *replica.Set
	profile    Profile
	gate       Gate
	idle       map[*worldReplica]int
}

// worldReplica runs requests in its slots, in the order of arrival.
type worldReplica struct {
	id         string
	dataCentre string
	running    int
	waiting    []*worldExchange
	phase      clock.Millis
	slow       float64
}

type worldExchange struct {
	daemon    *worldDaemon
	replica   *worldReplica
	end       func(result replica.Result)
	dialled   bool
	abandoned bool
	running   bool
	done      bool
}

func newWorld(p plan, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), plan: p, now: 1000, began: 1000}
	copies := 3
	names := []string{"a", "b", "c"}
	var services []string
	if p.shards == 0 {
		copies = p.singleCopies
	}
	for shard := range max(1, p.shards) {
		services = append(services, fmt.Sprintf("s%d", shard))
		var list []*worldReplica
		for i := range copies {
			list = append(list, &worldReplica{
				id: fmt.Sprintf("s%d-%d", shard, i), dataCentre: names[i%len(names)], slow: 1,
				phase: p.pauseEvery * clock.Millis(w.random.Float64()),
			})
		}
		w.replicas = append(w.replicas, list)
	}
	spec := route.Spec{
		Name: "r", Host: "h", Prefix: "/", Idempotent: p.idempotent, Timeout: p.timeout, Objective: p.objective,
		Attempts: 2, Shards: services, TopK: 10, MinCoverage: p.minCoverage,
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
		d := &worldDaemon{world: w, dataCentre: dataCentre, idle: make(map[*worldReplica]int)}
		d.set = replica.NewSet(dataCentre, rand.New(rand.NewPCG(seed, uint64(100+i))), replica.BudgetPolicy{
			Ratio: p.budgetRatio, Slack: p.budgetSlack, Window: 10 * clock.Second, ProcessStart: -10 * clock.Second,
		})
		d.set.SetDaemonCount(len(p.dataCentres))
		for shard, list := range w.replicas {
			d.set.Pool(services[shard]).Configure(p.connections, 0)
			for _, x := range list {
				d.set.Put(w.now, replica.NewEntry(replica.Spec{
					ID: x.id, Service: services[shard], Address: x.id, DataCentre: x.dataCentre, Slots: p.slots,
				}))
			}
		}
		w.daemons = append(w.daemons, d)
	}
	return w
}

// run plays the plan and returns the tallies of each second.
func (w *world) run() []tally {
	w.windows = make([]tally, int(w.plan.length/clock.Second)+1)
	w.arrive()
	if w.plan.slowShare > 0 {
		w.after(w.plan.burstFrom, func() { w.slowDown(w.plan.slowFactor) })
		w.after(w.plan.burstTo, func() { w.slowDown(1) })
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(*event)
		w.now = e.at
		e.do()
	}
	return w.windows
}

func (w *world) slowDown(factor float64) {
	for _, list := range w.replicas {
		for _, r := range list {
			r.slow = 1
			if factor > 1 && w.random.Float64() < w.plan.slowShare {
				r.slow = factor
			}
		}
	}
}

func (w *world) arrive() {
	elapsed := w.now - w.began
	if elapsed >= w.plan.length {
		return
	}
	rate := w.plan.perSecond
	if elapsed >= w.plan.burstFrom && elapsed < w.plan.burstTo {
		rate *= w.plan.burst
	}
	w.ask()
	w.after(clock.Millis(w.random.ExpFloat64()/rate)*clock.Second, w.arrive)
}

// zoneOf draws the data centre of a caller; each has the same number.
func (w *world) daemonFor() *worldDaemon {
	names := []string{"a", "b", "c"}
	dataCentre := names[w.random.IntN(len(names))]
	var near []*worldDaemon
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

// ask sends one caller's request.
func (w *world) ask() {
	window := &w.windows[int((w.now-w.began)/clock.Second)]
	window.asked++
	w.submit(window, w.now, w.now, 1)
}

func (w *world) submit(window *tally, first, now clock.Millis, retries int) {
	d := w.daemonFor()
	w.after(clock.Millisecond, func() {
		d.serve(window, w.plan.timeout-(now-first), func(o Outcome, covered int) {
			w.after(clock.Millisecond, func() { w.answered(window, first, now, retries, o, covered) })
		})
	})
}

func (w *world) answered(window *tally, first, attempt clock.Millis, retries int, o Outcome, covered int) {
	left := w.plan.timeout - (w.now - first)
	total := len(w.replicas)
	switch o.Kind() {
	case Answered, Gathered:
		share := float64(covered) / float64(total)
		if w.now-first <= w.plan.objective {
			window.inTime++
			window.benefit += share * share
		} else {
			window.late++
			window.benefit += 0.1 * share * share
			if w.now-attempt <= w.plan.objective && attempt > first {
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
func (d *worldDaemon) serve(window *tally, left clock.Millis, reply func(Outcome, int)) {
	w := d.world
	q := New(w.now, w.route, w.now+left, Resources{Set: d.set, Profile: &d.profile, Gate: &d.gate})
	exchanges := make(map[int]*worldExchange)
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
					window.far++
				}
				x := &worldExchange{daemon: d, replica: target}
				x.end = func(result replica.Result) { perform(q.Ended(w.now, number, result)) }
				exchanges[number] = x
				if d.idle[target] > 0 {
					d.idle[target]--
				} else {
					x.dialled = true
					window.dialled++
				}
				w.after(w.trip(d, target), func() { target.take(w, x) })
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
				reply(action.Outcome(), q.covered)
			}
		}
	}
	perform(q.Start(w.now))
}

func (w *world) find(id string) *worldReplica {
	for _, list := range w.replicas {
		for _, r := range list {
			if r.id == id {
				return r
			}
		}
	}
	return nil
}

func (w *world) trip(d *worldDaemon, r *worldReplica) clock.Millis {
	if d.dataCentre == r.dataCentre {
		return 0.2
	}
	return 1
}

// abandon closes the connection of an exchange that has not ended.
func (x *worldExchange) abandon(w *world) {
	if x.done {
		return
	}
	x.done = true
	x.abandoned = true
	if x.running {
		x.replica.running--
		x.replica.next(w)
	}
	x.end(replica.Abandoned)
}

// take runs an exchange, queues it or sheds it.
func (r *worldReplica) take(w *world, x *worldExchange) {
	if x.done {
		return
	}
	if w.plan.mute != nil && w.plan.mute(w, r) {
		return
	}
	if r.running < w.plan.slots {
		r.start(w, x)
		return
	}
	waiting := 0
	for _, other := range r.waiting {
		if !other.done {
			waiting++
		}
	}
	if waiting >= w.plan.queue {
		w.after(w.trip(x.daemon, r), func() { x.finish(replica.Shed) })
		return
	}
	r.waiting = append(r.waiting, x)
}

func (r *worldReplica) start(w *world, x *worldExchange) {
	r.running++
	x.running = true
	work := w.draw() * clock.Millis(r.slow)
	if x.dialled {
		work += w.plan.handshake
	}
	w.after(r.stretch(w, work), func() {
		if x.done {
			return
		}
		x.running = false
		r.running--
		r.next(w)
		w.after(w.trip(x.daemon, r), func() { x.finish(replica.OK) })
	})
}

func (r *worldReplica) next(w *world) {
	for len(r.waiting) > 0 && r.running < w.plan.slots {
		x := r.waiting[0]
		r.waiting = r.waiting[1:]
		if !x.done {
			r.start(w, x)
		}
	}
}

func (x *worldExchange) finish(result replica.Result) {
	if x.done {
		return
	}
	x.done = true
	x.daemon.idle[x.replica]++
	x.end(result)
}

// draw returns the work of one request.
func (w *world) draw() clock.Millis {
	const spread = 0.35
	work := w.plan.work * clock.Millis(math.Exp(spread*w.random.NormFloat64()-spread*spread/2))
	if w.random.Float64() < 0.01 {
		work *= 5
	}
	return work
}

// stretch adds the pauses of the replica to a stretch of work.
func (r *worldReplica) stretch(w *world, work clock.Millis) clock.Millis {
	if w.plan.pauseEvery == 0 {
		return work
	}
	left := work
	at := w.now + r.phase
	within := clock.Millis(math.Mod(float64(at), float64(w.plan.pauseEvery)))
	total := clock.Millis(0)
	for {
		free := w.plan.pauseEvery - w.plan.pause - within
		if free < 0 {
			total += w.plan.pauseEvery - within
			within = 0
			continue
		}
		if left <= free {
			return total + left
		}
		left -= free
		total += free + w.plan.pause
		within = 0
	}
}

func sum(windows []tally) tally {
	var all tally
	for _, t := range windows {
		all.asked += t.asked
		all.inTime += t.inTime
		all.late += t.late
		all.refused += t.refused
		all.refusedOnce += t.refusedOnce
		all.failed += t.failed
		all.benefit += t.benefit
		all.sent += t.sent
		all.far += t.far
		all.dialled += t.dialled
	}
	return all
}
