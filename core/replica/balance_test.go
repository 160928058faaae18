package replica

import (
	"cmp"
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// balanceScenario describes a fleet and its load, for a simulation of the choice of
// replicas in virtual time, without queries to replicas about their load.
type balanceScenario struct {
	name         string
	daemons      int // evenly over five data centres
	shards       int // services that each query is sent to
	replicas     int // of a service, evenly over three data centres
	slots        int
	work         clock.Millis // mean time in a slot
	objective    clock.Millis
	rate         float64 // queries per second of the whole fleet
	slow         float64 // share of the replicas that is 4 to 8 times slower, from slowFrom to slowTo
	firstCentre  float64 // share of the queries that go to the first data centre, apart from its even share of the rest
	duration     clock.Millis
	reportMaxAge clock.Millis // of peers' observations
}

const (
	balancePause       = 120 * clock.Millisecond // of each replica, once in balancePausePeriod
	balancePausePeriod = 3 * clock.Second
	burstFactor        = 2.5
	burstFrom          = 6 * clock.Second
	burstTo            = 10 * clock.Second
	slowFrom           = 4 * clock.Second
	slowTo             = 8 * clock.Second
)

func balanceScenarios() []balanceScenario {
	var list []balanceScenario
	for _, daemons := range []int{30, 110, 2100} {
		for _, slow := range []float64{0, 0.2} {
			suffix := ""
			if slow > 0 {
				suffix = ", slow fifth"
			}
			list = append(list,
				balanceScenario{name: fmt.Sprintf("%d daemons, 45 shards%s", daemons, suffix), daemons: daemons, shards: 45,
					replicas: 3, slots: 4, work: 7, objective: 100, rate: 100, slow: slow},
				balanceScenario{name: fmt.Sprintf("%d daemons, 54 shards, 11 ms%s", daemons, suffix), daemons: daemons, shards: 54,
					replicas: 3, slots: 4, work: 11, objective: 150, rate: 100, slow: slow, firstCentre: 0.5},
				balanceScenario{name: fmt.Sprintf("%d daemons, one service%s", daemons, suffix), daemons: daemons, shards: 1,
					replicas: 19, slots: 2, work: 90, objective: 400, rate: 100, slow: slow})
		}
	}
	for i := range list {
		list[i].duration, list[i].reportMaxAge = 12*clock.Second, 2*clock.Second
	}
	return list
}

// balanceStats is what the replicas and the callers have seen.
type balanceStats struct {
	latencies       []clock.Millis
	inTime          int
	maximum, total  float64 // sums over the samples of a service's replicas: busiest, and mean
	idle, samples   int     // samples in which a replica has a free slot while a sibling queues
	attempts, hedge int
	remote          int
}

func (b *balanceStats) add(o balanceStats) {
	b.latencies = append(b.latencies, o.latencies...)
	b.inTime += o.inTime
	b.maximum += o.maximum
	b.total += o.total
	b.idle += o.idle
	b.samples += o.samples
	b.attempts += o.attempts
	b.hedge += o.hedge
	b.remote += o.remote
}

func (b *balanceStats) quantile(q float64) clock.Millis {
	slices.Sort(b.latencies)
	return b.latencies[int(q*float64(len(b.latencies)-1))]
}

func (b *balanceStats) inTimeShare() float64 { return float64(b.inTime) / float64(len(b.latencies)) }
func (b *balanceStats) busiest() float64     { return b.maximum / b.total }
func (b *balanceStats) idleShare() float64   { return float64(b.idle) / float64(b.samples) }

func (b *balanceStats) hedgeShare() float64  { return float64(b.hedge) / float64(b.attempts) }
func (b *balanceStats) remoteShare() float64 { return float64(b.remote) / float64(b.attempts) }

// String returns the ratio of the busiest to the mean replica, the share of the time in which
// a replica has a free slot while a sibling queues, the latencies of queries (0.5 and 0.99
// quantile), the share within the objective, and the shares of the attempts that are hedges
// and that go to other data centres.
func (b *balanceStats) String() string {
	return fmt.Sprintf("%.2f | %.4f | %.1f | %.1f | %.4f | %.3f | %.3f", b.busiest(), b.idleShare(),
		b.quantile(.5), b.quantile(.99), b.inTimeShare(),
		b.hedgeShare(), b.remoteShare())
}

type balanceEvent struct {
	at  clock.Millis
	seq int
	run func()
}

type balanceQueue []balanceEvent

func (q balanceQueue) Len() int { return len(q) }
func (q balanceQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q balanceQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *balanceQueue) Push(x any)   { *q = append(*q, x.(balanceEvent)) }
func (q *balanceQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// balance is one run of a scenario.
type balance struct {
	scenario balanceScenario
	pick     picker
	random   *rand.Rand
	now      clock.Millis
	queue    balanceQueue
	sequence int
	daemons  []*Set // created when they get their first query
	servers  map[string]*balanceServer
	services [][]*balanceServer
	mergers  map[string]*ObservationMerger
	stats    balanceStats

	// State of alternatives.

	peersMean  map[string]float64 // mean latency ratio of each replica in the second before the last report
	lastChosen map[*Replica]clock.Millis
	chosen     map[*Replica]float64
}

// balanceServer is a replica as it is, rather than as daemons see it.
type balanceServer struct {
	id, dataCentre string
	running        int
	waiting        []*balanceExchange
	speed          float64 // multiple of the work
	slow           float64 // further multiple while slow
	phase          clock.Millis
	latencies      []float64 // ratios since the last report
}

type balanceExchange struct {
	server    *balanceServer
	replica   *Replica
	startedAt clock.Millis
	running   bool
	done      bool
	onEnd     func(x *balanceExchange)
}

func runBalance(sc balanceScenario, c chooser, seed uint64) balanceStats {
	b := &balance{scenario: sc, random: rand.New(rand.NewPCG(seed, 3)), now: clock.Second,
		daemons: make([]*Set, sc.daemons), servers: make(map[string]*balanceServer), mergers: make(map[string]*ObservationMerger),
		peersMean: make(map[string]float64), lastChosen: make(map[*Replica]clock.Millis), chosen: make(map[*Replica]float64)}
	for service := range sc.shards {
		var list []*balanceServer
		for i := range sc.replicas {
			x := &balanceServer{id: fmt.Sprintf("s%d-%d", service, i), dataCentre: string(rune('a' + i%3)),
				speed: math.Exp(0.2 * b.random.NormFloat64()), slow: 1,
				phase: balancePausePeriod * clock.Millis(b.random.Float64())}
			if b.random.Float64() < sc.slow {
				x.slow = 4 + 4*b.random.Float64()
			}
			b.servers[x.id] = x
			list = append(list, x)
		}
		b.services = append(b.services, list)
	}
	b.pick = c.new(b)
	b.report()
	b.arrive()
	b.sample()
	for len(b.queue) > 0 {
		e := heap.Pop(&b.queue).(balanceEvent)
		b.now = e.at
		e.run()
	}
	return b.stats
}

// report makes the mean latency ratios of the last second known to all daemons.
func (b *balance) report() {
	for _, list := range b.services {
		for _, r := range list {
			if len(r.latencies) > 0 {
				sum := 0.0
				for _, ratio := range r.latencies {
					sum += ratio
				}
				b.peersMean[r.id] = sum / float64(len(r.latencies))
				r.latencies = r.latencies[:0]
			}
		}
	}
	if b.elapsed() < b.scenario.duration {
		b.after(clock.Second, b.report)
	}
}

func (b *balance) after(delay clock.Millis, run func()) {
	b.sequence++
	heap.Push(&b.queue, balanceEvent{at: b.now + max(0, delay), seq: b.sequence, run: run})
}

func (b *balance) elapsed() clock.Millis { return b.now - clock.Second }

func (b *balance) arrive() {
	if b.elapsed() >= b.scenario.duration {
		return
	}
	rate := b.scenario.rate
	if b.elapsed() >= burstFrom && b.elapsed() < burstTo {
		rate *= burstFactor
	}
	b.query()
	b.after(clock.Second*clock.Millis(b.random.ExpFloat64()/rate), b.arrive)
}

// daemon returns the daemon that gets the next query.
func (b *balance) daemon() *Set {
	i := b.random.IntN(b.scenario.daemons)
	if b.random.Float64() < b.scenario.firstCentre {
		i -= i % 5
	}
	if b.daemons[i] == nil {
		b.daemons[i] = b.newDaemon(i)
	}
	return b.daemons[i]
}

func (b *balance) newDaemon(i int) *Set {
	dataCentre := string(rune('a' + i%5))
	s := NewSet(dataCentre, rand.New(rand.NewPCG(uint64(i), b.random.Uint64())), BudgetPolicy{
		Ratio: 0.2, Slack: 54, Window: 10 * clock.Second, ProcessStart: -10 * clock.Second})
	s.SetDaemonCount(b.scenario.daemons)
	for service, list := range b.services {
		for _, x := range list {
			s.Upsert(b.now, NewEntry(Spec{ID: x.id, Service: fmt.Sprint(service), Address: x.id,
				DataCentre: x.dataCentre, Slots: b.scenario.slots}))
		}
	}
	if b.mergers[dataCentre] == nil {
		b.mergers[dataCentre] = &ObservationMerger{}
	}
	b.after(b.scenario.reportMaxAge/2*clock.Millis(b.random.Float64()), func() { b.follow(s, fmt.Sprint(i)) })
	return s
}

// follow exchanges observations with the peers of the data centre, which daemons do twice
// in reportMaxAge on calls that exist for another purpose.
func (b *balance) follow(s *Set, name string) {
	if b.elapsed() >= b.scenario.duration {
		return
	}
	m := b.mergers[s.dataCentre]
	m.Record(b.now, name, s.Observations(b.now))
	if m.MergeDue(b.now) {
		m.Merge(b.now)
	}
	s.ReceiveObservations(b.now, m.Excluding(name))
	b.after(b.scenario.reportMaxAge/2, func() { b.follow(s, name) })
}

// query sends a query to each shard. It ends when all have answered, or after four times
// the objective.
func (b *balance) query() {
	s, began, open := b.daemon(), b.now, b.scenario.shards
	for service := range b.scenario.shards {
		p := s.Pool(fmt.Sprint(service))
		p.Budget().RecordRegular(b.now)
		b.attemptShard(p, func() {
			open--
			if open == 0 {
				latency := b.now - began
				b.stats.latencies = append(b.stats.latencies, latency)
				if latency <= b.scenario.objective {
					b.stats.inTime++
				}
			}
		})
	}
}

// attemptShard makes an attempt for a shard, and hedges it as package dispatch does.
func (b *balance) attemptShard(p *Pool, covered func()) {
	var exchanges []*balanceExchange
	var tried []*Replica
	done := false
	criteria := func() Criteria {
		return NewCriteria(b.scenario.work, tried).PreferLocalWithin(b.scenario.objective / 2)
	}
	end := func(winner *balanceExchange) {
		if done {
			return
		}
		done = true
		for _, x := range exchanges {
			if x == winner {
				x.server.latencies = append(x.server.latencies, float64((b.now-x.startedAt)/b.scenario.work))
				x.replica.End(b.now, x.startedAt, OK, b.scenario.work)
			} else {
				b.abandon(x, winner)
			}
		}
		covered()
	}
	send := func(r *Replica) {
		x := &balanceExchange{server: b.servers[r.entry.ID()], replica: r, startedAt: b.now, onEnd: end}
		b.stats.attempts++
		if !r.Local() {
			b.stats.remote++
		}
		tried = append(tried, r)
		r.Begin(b.now, b.scenario.work)
		exchanges = append(exchanges, x)
		b.after(b.networkDelay(r), func() { b.receive(x) })
	}
	send(b.pick(p, b.now, criteria()))
	var hedge func()
	hedge = func() {
		if done || len(exchanges) > 1 {
			return
		}
		r := b.pick(p, b.now, criteria())
		if r != nil && !r.Overdue(b.now, b.scenario.work) && p.Budget().Take(b.now, 0) {
			b.stats.hedge++
			send(r)
			return
		}
		b.after(10*clock.Millisecond, hedge)
	}
	b.after(hedgeDelay(b.scenario.work), hedge)
	b.after(4*b.scenario.objective, func() { end(nil) })
}

func (b *balance) networkDelay(r *Replica) clock.Millis {
	if r.Local() {
		return 0.2
	}
	return 1
}

// abandon ends an exchange whose answer is not needed any more.
func (b *balance) abandon(x, winner *balanceExchange) {
	result := Abandoned
	if winner == nil {
		result = Silent
	}
	x.replica.End(b.now, x.startedAt, result, b.scenario.work)
	x.done = true
	if x.running {
		x.server.running--
		b.startNext(x.server)
	}
}

func (b *balance) receive(x *balanceExchange) {
	if x.done {
		return
	}
	x.server.waiting = append(x.server.waiting, x)
	b.startNext(x.server)
}

func (b *balance) startNext(r *balanceServer) {
	for len(r.waiting) > 0 && r.running < b.scenario.slots {
		x := r.waiting[0]
		r.waiting = r.waiting[1:]
		if x.done {
			continue
		}
		r.running++
		x.running = true
		b.after(b.paused(r, b.workOf(r)), func() {
			if x.done {
				return
			}
			x.done, x.running = true, false
			r.running--
			b.startNext(r)
			b.after(b.networkDelay(x.replica), func() { x.onEnd(x) })
		})
	}
}

// workOf draws the time in a slot: log-normal, and five times longer for 1 %.
func (b *balance) workOf(r *balanceServer) clock.Millis {
	work := b.scenario.work * clock.Millis(r.speed*math.Exp(0.35*b.random.NormFloat64()-0.061))
	if b.random.Float64() < 0.01 {
		work *= 5
	}
	if b.elapsed() >= slowFrom && b.elapsed() < slowTo {
		work *= clock.Millis(r.slow)
	}
	return work
}

// paused returns the work extended by the pauses of the replica.
func (b *balance) paused(r *balanceServer, work clock.Millis) clock.Millis {
	end := b.now + work
	next := b.now - clock.Millis(math.Mod(float64(b.now+r.phase), float64(balancePausePeriod)))
	if b.now < next+balancePause {
		end += next + balancePause - b.now
	}
	for next += balancePausePeriod; next < end; next += balancePausePeriod {
		end += balancePause
	}
	return end - b.now
}

// sample measures the replicas of each service every 5 ms.
func (b *balance) sample() {
	if b.elapsed() >= b.scenario.duration {
		return
	}
	for _, list := range b.services {
		busiest, total, free, queue := 0, 0, false, false
		for _, r := range list {
			waiting := 0
			for _, x := range r.waiting {
				if !x.done {
					waiting++
				}
			}
			busiest, total = max(busiest, r.running+waiting), total+r.running+waiting
			free = free || r.running < b.scenario.slots
			queue = queue || waiting > 0
		}
		b.stats.maximum += float64(busiest)
		b.stats.total += float64(total) / float64(len(list))
		b.stats.samples++
		if free && queue {
			b.stats.idle++
		}
	}
	b.after(5, b.sample)
}

// scored is a candidate with its score, without a random part.
type scored struct {
	replica *Replica
	score   clock.Millis
}

// nearest returns the candidates of the distance that the former rule prefers, the lowest
// score first.
func nearest(p *Pool, now clock.Millis, c Criteria, score scoreFunc) []scored {
	var groups [distanceCount][]scored
	for _, r := range p.replicas {
		if !slices.Contains(c.tried, r) {
			groups[r.distance] = append(groups[r.distance], scored{r, score(r, now, c)})
		}
	}
	var chosen []scored
	for _, group := range slices.Backward(groups[:]) {
		slices.SortFunc(group, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
		if len(group) > 0 && (len(chosen) == 0 || group[0].score <= max(chosen[0].score, c.localPreferenceLimit)) {
			chosen = group
		}
	}
	return chosen
}

// plainScore is the score without its random part.
func plainScore(r *Replica, now clock.Millis, c Criteria) clock.Millis {
	latency := c.expected * clock.Millis(r.slowness(now))
	pending := float64(len(r.pending))
	slots := float64(r.entry.Slots())
	return latency*clock.Millis(1+pendingPenalty*pending+max(0, pending+1-slots)/slots) +
		r.overdueAge(now, c.expected) + c.expected*clock.Millis(failurePenalty*r.failureRate(now)) + r.distance.roundTrip()
}

// near returns how many of the candidates score within the given share of the lowest one.
func near(list []scored, share float64) int {
	n := 0
	for n < len(list) && list[n].score <= list[0].score*clock.Millis(1+share) {
		n++
	}
	return n
}

// rendezvous ranks a replica for a daemon.
func rendezvous(rank int, r *Replica) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %s", rank, r.entry.ID())
	sum := h.Sum64()
	return (sum ^ sum>>32) * 0x9E3779B97F4A7C15 // spreads the last bytes over the leading bits
}

// agedScore discounts latencies by their number and age.
func agedScore(r *Replica, now clock.Millis, c Criteria) clock.Millis {
	n := float64(r.ratioCount)
	s := 1.0
	if n > 0 {
		s = 1 + (r.slowness(now)-1)*n/(n+1)*math.Exp(-float64((now-r.lastSampleAt)/clock.Second))
	}
	return plainScore(r, now, c) - c.expected*clock.Millis(r.slowness(now)-s)
}

// peersScore uses the mean latency ratio of all daemons instead of this daemon's samples.
func peersScore(b *balance) scoreFunc {
	return func(r *Replica, now clock.Millis, c Criteria) clock.Millis {
		mean := cmp.Or(b.peersMean[r.entry.ID()], 1)
		return plainScore(r, now, c) + c.expected*clock.Millis(mean-r.slowness(now))
	}
}

type scoreFunc func(*Replica, clock.Millis, Criteria) clock.Millis

// picker chooses a replica for an attempt; nil if there is none.
type picker func(p *Pool, now clock.Millis, c Criteria) *Replica

// chooser is an alternative for the choice of replicas.
type chooser struct {
	name string
	new  func(b *balance) picker
}

// current is the choice that the daemon makes.
func current() chooser {
	return chooser{"current", func(*balance) picker {
		return func(p *Pool, now clock.Millis, c Criteria) *Replica {
			return pickOrNil(p, now, c.LateAfter(hedgeDelay(c.expected)))
		}
	}}
}

// former is the choice with a preference of the own data centre up to half of the objective,
// however late the replica there is.
func former() chooser {
	return chooser{"former", func(*balance) picker { return pickOrNil }}
}

func pickOrNil(p *Pool, now clock.Millis, c Criteria) *Replica {
	r, _ := p.Pick(now, c)
	return r
}

// with returns a chooser that selects from the candidates of the preferred distance, the
// lowest score first.
func with(name string, score func(b *balance) scoreFunc, sel func(b *balance, s *Set, list []scored) *Replica) chooser {
	return chooser{name, func(b *balance) picker {
		f := score(b)
		return func(p *Pool, now clock.Millis, c Criteria) *Replica {
			list := nearest(p, now, c, f)
			if len(list) == 0 {
				return nil
			}
			return sel(b, p.set, list)
		}
	}}
}

func equalWithin(share float64) func(b *balance, s *Set, list []scored) *Replica {
	return func(_ *balance, s *Set, list []scored) *Replica {
		return list[s.random.IntN(near(list, share))].replica
	}
}

// inverse chooses with a probability proportional to a power of the inverse score.
func inverse(power float64) func(b *balance, s *Set, list []scored) *Replica {
	return func(_ *balance, s *Set, list []scored) *Replica {
		sum := 0.0
		for _, x := range list {
			sum += math.Pow(float64(x.score), -power)
		}
		at := s.random.Float64() * sum
		for _, x := range list {
			if at -= math.Pow(float64(x.score), -power); at <= 0 {
				return x.replica
			}
		}
		return list[0].replica
	}
}

// leastRecent chooses the one of the near candidates that this daemon has chosen least recently.
func leastRecent(b *balance, s *Set, list []scored) *Replica {
	list = list[:near(list, nearShare)]
	s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	r := slices.MinFunc(list, func(x, y scored) int {
		return cmp.Compare(b.lastChosen[x.replica], b.lastChosen[y.replica])
	}).replica
	b.lastChosen[r] = b.now
	return r
}

// ownBudget leaves out replicas that have got more than their share of this daemon's
// requests.
func ownBudget(b *balance, s *Set, list []scored) *Replica {
	sum := 0.0
	for _, x := range list {
		sum += b.chosen[x.replica]
	}
	allowed := slices.DeleteFunc(slices.Clone(list), func(x scored) bool {
		return b.chosen[x.replica] > 1.25*(sum+1)/float64(len(list))
	})
	if len(allowed) == 0 {
		allowed = list
	}
	r := allowed[s.random.IntN(near(allowed, scoreJitter))].replica
	b.chosen[r]++
	return r
}

const nearShare = 0.25 // of the lowest score within which candidates count as equal

// alternatives returns the choices that were weighed.
func alternatives() []chooser {
	plain := func(*balance) scoreFunc { return plainScore }
	limited := func(name string, limit func(c Criteria) clock.Millis) chooser {
		return chooser{name, func(*balance) picker {
			return func(p *Pool, now clock.Millis, c Criteria) *Replica {
				c.localPreferenceLimit = min(c.localPreferenceLimit, limit(c))
				return pickOrNil(p, now, c)
			}
		}}
	}
	return []chooser{
		former(),
		current(),
		with("equal within 25 %", plain, equalWithin(nearShare)),
		with("better of two", plain, func(_ *balance, s *Set, list []scored) *Replica {
			return list[min(s.random.IntN(len(list)), s.random.IntN(len(list)))].replica
		}),
		with("inverse of score^4", plain, inverse(4)),
		with("rank of the daemon", plain, func(b *balance, s *Set, list []scored) *Replica {
			return slices.MaxFunc(list[:near(list, nearShare)], func(x, y scored) int {
				return cmp.Compare(rendezvous(slices.Index(b.daemons, s), x.replica), rendezvous(slices.Index(b.daemons, s), y.replica))
			}).replica
		}),
		with("least recent", plain, leastRecent),
		with("own budget", plain, ownBudget),
		with("discount by age", func(*balance) scoreFunc { return agedScore }, equalWithin(scoreJitter)),
		with("reports of load", peersScore, equalWithin(scoreJitter)),
		with("reports, shared out", peersScore, inverse(1)),
		limited("no preference", func(Criteria) clock.Millis { return 0 }),
		limited("late with own queue", func(c Criteria) clock.Millis { return hedgeDelay(c.expected) }),
		{"late, pauses count", func(*balance) picker {
			return func(p *Pool, now clock.Millis, c Criteria) *Replica {
				list := nearest(p, now, c, plainScore)
				if len(list) > 0 && c.expected*clock.Millis(list[0].replica.slowness(now)) >= hedgeDelay(c.expected) {
					c.localPreferenceLimit = 0
				}
				return pickOrNil(p, now, c)
			}
		}},
		{"late at 4 x", func(*balance) picker {
			return func(p *Pool, now clock.Millis, c Criteria) *Replica {
				return pickOrNil(p, now, c.LateAfter(4*c.expected))
			}
		}},
		{"late at 1.8 x", func(*balance) picker {
			return func(p *Pool, now clock.Millis, c Criteria) *Replica {
				return pickOrNil(p, now, c.LateAfter(1.8*c.expected))
			}
		}},
	}
}

// hedgeDelay is the time after which package dispatch hedges an attempt.
func hedgeDelay(expected clock.Millis) clock.Millis { return max(6, 2.6*expected) }

// Guards against requests that keep going to slow replicas of the own data centre while
// others idle.
func TestSlowReplicasAreRelieved(t *testing.T) {
	for _, sc := range balanceScenarios() {
		if sc.daemons != 30 || sc.slow == 0 || sc.shards == 1 {
			continue
		}
		before, now := runSeeds(sc, former(), 4), runSeeds(sc, current(), 4)
		t.Logf("%s\nformer  %s\ncurrent %s", sc.name, before, now)
		assert.Greater(t, now.inTimeShare(), before.inTimeShare(), sc.name)
		assert.Less(t, now.idleShare(), before.idleShare(), sc.name)
	}
}

// Guards against traffic between data centres because of pauses. Where no replica is slow,
// it may grow at most by the attempts that were hedged.
func TestPausesMoveNoTraffic(t *testing.T) {
	for _, sc := range balanceScenarios() {
		if sc.daemons == 2100 || sc.slow > 0 {
			continue
		}
		before, now := runSeeds(sc, former(), 4), runSeeds(sc, current(), 4)
		t.Logf("%s\nformer  %s\ncurrent %s", sc.name, before, now)
		assert.LessOrEqual(t, now.remoteShare(), before.remoteShare()+before.hedgeShare(), sc.name)
	}
}

// BenchmarkBalanceAlternatives prints the table of docs/design/even-load.md.
func BenchmarkBalanceAlternatives(b *testing.B) {
	const seeds = 6
	for b.Loop() {
		for _, sc := range balanceScenarios() {
			for _, c := range alternatives() {
				b.Logf("| %s | %s | %s |", sc.name, c.name, runSeeds(sc, c, seeds))
			}
		}
	}
}

func runSeeds(sc balanceScenario, c chooser, seeds int) *balanceStats {
	var all balanceStats
	if sc.shards > 1 {
		seeds = (seeds + 2) / 3 // each query is sent to many services
	}
	for seed := range uint64(seeds) {
		all.add(runBalance(sc, c, seed))
	}
	return &all
}
