package upstream_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// TestMain fixes the seed of the property tests, so that every CI run checks
// the same schedules. "-rapid.seed=N" explores others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "nofailfile": "true", "shrinktime": "2s"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	simShards   = 4
	simReplicas = 3
	simSlots    = 6
	simSteps    = 700
	// listLag is the time after which the platform's list drops a dead VM.
	listLag = 15 * clock.Second
)

// choose returns a number from 0 to n-1; rapid or a seeded source provides it.
type choose func(n int) int

// simUpstream is the upstream's side: it knows its own capacity, which grows
// with every full round of answers, and counts what runs.
type simUpstream struct {
	id          upstream.ID
	region      string
	dc          string
	boot        int
	capacity    int // 0 when warm
	answers     int
	restartedAt clock.Millis
	informed    bool // every daemon that runs knows of the cold start
	informAt    clock.Millis
	leaveAt     clock.Millis // instant after which new work is a violation, or 0
	refusing    clock.Millis
	running     []*simExchange
}

// simExchange is one sub-request at an upstream. Path lists the daemons that
// count it, the one that runs it last.
type simExchange struct {
	path    []*simDaemon
	choices []upstream.Choice
	at      *simUpstream
	began   clock.Millis
	ends    clock.Millis
	boot    int
	silent  bool
}

type simDaemon struct {
	id, region, dc string
	pool           *upstream.Pool
	running        bool
	left           bool
	bornAt         clock.Millis
	diedAt         clock.Millis
}

type simEvent struct {
	at clock.Millis
	do func()
}

// fleetSim runs the pools of several daemons against upstreams.
type fleetSim struct {
	choose      choose
	now         clock.Millis
	upstreams   []*simUpstream
	daemons     []*simDaemon
	events      []simEvent
	split       map[string]bool // daemons on the second side of a partition
	splitAt     clock.Millis
	syncedAt    clock.Millis
	healedAt    clock.Millis
	outAt       map[string]clock.Millis // data centre → instant known everywhere
	connections int
	broken      string // decision that is deliberately wrong
	violations  []string
	relays      int
	coldStarts  int
	started     int
	replaced    int
}

func newFleetSim(pick choose, daemons, regions, connections int, broken string) *fleetSim {
	s := &fleetSim{choose: pick, now: clock.Minute, connections: connections, broken: broken,
		split: map[string]bool{}, outAt: map[string]clock.Millis{}}
	for i := range simShards * simReplicas {
		s.upstreams = append(s.upstreams, &simUpstream{
			id: upstream.ID(fmt.Sprintf("10.1.0.%d:80", i)), region: fmt.Sprint("r", i%regions),
			dc: fmt.Sprint("dc", i%3), capacity: 1, informed: true,
		})
	}
	for range daemons {
		s.addDaemon(regions)
	}
	s.syncViews()
	for _, d := range s.daemons {
		d.pool.CompleteJoin(s.now, false)
	}
	s.spread()
	return s
}

func (s *fleetSim) addDaemon(regions int) *simDaemon {
	i := len(s.daemons)
	d := &simDaemon{id: fmt.Sprintf("d%02d", i), region: fmt.Sprint("r", i%regions), dc: fmt.Sprint("dc", i%3),
		pool: new(upstream.Pool), running: true, bornAt: s.now}
	policy := upstream.Policy{}.WithLimits(simSlots, s.connections).WithEjection(5, 200, 2000)
	if s.broken == "gate" && i == 1 {
		policy = policy.WithColdStart(false, 1, 8)
	}
	d.pool.SetRandom(rand.New(rand.NewPCG(uint64(i), 7)))
	d.pool.SetPolicy(s.now, policy)
	for _, u := range s.upstreams {
		d.pool.Add(s.now, upstream.NewReplica(u.id, u.dc).WithRegion(u.region))
	}
	s.daemons = append(s.daemons, d)
	return d
}

// view is what daemon d knows of daemon o: births after 500 ms, deaths and
// partitions after 3.5 s as suspicion and after 7 s as death, departures with
// a delay that differs between daemons.
func (s *fleetSim) view(d, o *simDaemon) upstream.Member {
	state := upstream.Alive
	cut := s.split[d.id] != s.split[o.id]
	silentFor := clock.Millis(0)
	if cut && s.splitAt > 0 {
		silentFor = s.now - s.splitAt
	}
	if !o.running {
		silentFor = max(silentFor, s.now-o.diedAt)
	}
	lag := clock.Millis(len(d.id)+int(d.id[2])*7%40) * 10
	switch {
	case o.left && s.now-o.diedAt > lag:
		state = upstream.Left
	case o.left:
	case silentFor > 7*clock.Second+lag:
		state = upstream.Dead
	case silentFor > 3500+lag:
		state = upstream.Suspect
	}
	member := upstream.NewMember(o.id, o.region, o.dc, state)
	gone := !o.running && s.now-o.diedAt > listLag
	if gone || s.broken == "list" && state == upstream.Dead {
		return member
	}
	return member.WithListed()
}

func (s *fleetSim) syncViews() {
	s.syncedAt = s.now
	for _, d := range s.daemons {
		if !d.running {
			continue
		}
		var members []upstream.Member
		for _, o := range s.daemons {
			if o == d || s.now-o.bornAt >= 500 || o.bornAt == clock.Minute {
				members = append(members, s.view(d, o))
			}
		}
		if s.broken == "shares" && d.id == "d01" {
			members = []upstream.Member{upstream.NewMember(d.id, d.region, d.dc, upstream.Alive)}
		}
		d.pool.SetMembers(s.now, d.id, members)
	}
}

func (s *fleetSim) reach(a, b *simDaemon) bool {
	return a.running && b.running && s.split[a.id] == s.split[b.id]
}

// spread delivers the changed records of all daemons after a few milliseconds.
func (s *fleetSim) spread() {
	for _, from := range s.daemons {
		if !from.running {
			continue
		}
		for _, record := range from.pool.TakeChanges() {
			for _, to := range s.daemons {
				s.after(clock.Millis(1+s.choose(10)), func() { s.deliver(from, to, record) })
			}
		}
	}
}

func (s *fleetSim) deliver(from, to *simDaemon, record upstream.ColdRecord) {
	if from != to && s.reach(from, to) {
		to.pool.ReceiveRecord(s.now, record)
	}
}

func (s *fleetSim) after(delay clock.Millis, do func()) {
	s.events = append(s.events, simEvent{at: s.now + delay, do: do})
}

// advance moves time on in steps of a millisecond and does what is due.
func (s *fleetSim) advance(span clock.Millis) {
	for end := s.now + span; s.now < end; s.now++ {
		due := s.events[:0:0]
		s.events = slices.DeleteFunc(s.events, func(e simEvent) bool {
			if e.at <= s.now {
				due = append(due, e)
			}
			return e.at <= s.now
		})
		for _, e := range due {
			e.do()
		}
		for _, u := range s.upstreams {
			s.finish(u)
		}
		s.spread()
	}
	if s.now-s.syncedAt >= 50 {
		s.syncViews()
	}
}

// finish ends the exchanges of u that are due.
func (s *fleetSim) finish(u *simUpstream) {
	for _, x := range slices.Clone(u.running) {
		if x.ends > s.now {
			continue
		}
		kind := upstream.OK
		if x.silent {
			kind = upstream.Timeout
		} else if u.capacity > 0 {
			u.answer()
		}
		s.end(x, kind)
	}
}

func (u *simUpstream) answer() {
	u.answers++
	if u.answers < u.capacity {
		return
	}
	u.answers = 0
	u.capacity *= 2
	if u.capacity > simSlots {
		u.capacity = 0
	}
}

func (s *fleetSim) end(x *simExchange, kind upstream.Outcome) {
	x.at.running = slices.DeleteFunc(x.at.running, func(o *simExchange) bool { return o == x })
	boot := ""
	if kind == upstream.OK {
		boot = fmt.Sprint(x.boot)
	}
	for i := len(x.path) - 1; i >= 0; i-- {
		if x.path[i].running {
			x.path[i].pool.Done(s.now, x.choices[i], upstream.NewResult(kind, s.now-x.began, boot))
		}
	}
}

// ask lets daemon d send a sub-request for shard.
func (s *fleetSim) ask(d *simDaemon, shard int) {
	var holders []string
	for i := range simReplicas {
		holders = append(holders, string(s.upstreams[shard+i*simShards].id))
	}
	ask := upstream.NewPickRequest(0, 1, holders)
	if _, out := s.outAt[s.upstreams[shard].dc]; s.broken == "left" && (out || s.upstreams[shard].leaveAt > 0) {
		s.begin(&simExchange{at: s.upstreams[shard], path: []*simDaemon{d}, choices: make([]upstream.Choice, 1)})
		return
	}
	choice, err := d.pool.Pick(s.now, ask)
	if err != nil {
		return
	}
	x := &simExchange{at: s.find(choice.Upstream()), path: []*simDaemon{d}, choices: []upstream.Choice{choice}}
	if choice.Via() != "" && !s.relay(x, d, choice) {
		d.pool.Done(s.now, choice, upstream.NewResult(upstream.Shed, 1, ""))
		return
	}
	if s.now < x.at.refusing {
		s.end(x, upstream.NotConnected)
		return
	}
	s.begin(x)
}

// relay runs a sub-request through the daemon that choice names.
func (s *fleetSim) relay(x *simExchange, d *simDaemon, choice upstream.Choice) bool {
	peer := s.daemons[slices.IndexFunc(s.daemons, func(o *simDaemon) bool { return o.id == choice.Via() })]
	if !s.reach(d, peer) || peer.left {
		return false
	}
	ask := upstream.NewPickRequest(0, 1, []string{string(choice.Upstream())}).ForPeer(choice.ColdShareGranted())
	onward, err := peer.pool.Pick(s.now, ask)
	if err != nil {
		return false
	}
	s.relays++
	x.path, x.choices = append(x.path, peer), append(x.choices, onward)
	return true
}

func (s *fleetSim) find(id upstream.ID) *simUpstream {
	return s.upstreams[slices.IndexFunc(s.upstreams, func(u *simUpstream) bool { return u.id == id })]
}

// begin starts an exchange at an upstream and checks the invariants there.
func (s *fleetSim) begin(x *simExchange) {
	u := x.at
	x.began, x.boot = s.now, u.boot
	x.silent = s.choose(60) == 0
	x.ends = s.now + clock.Millis(2+s.choose(25))
	u.running = append(u.running, x)
	s.started++
	s.check(u)
}

func (s *fleetSim) check(u *simUpstream) {
	if len(u.running) > s.connections {
		s.fail("%d connections at %s, cap %d", len(u.running), u.id, s.connections)
	}
	if u.leaveAt > 0 && s.now > u.leaveAt {
		s.fail("new work at %s, which is leaving", u.id)
	}
	if at, ok := s.outAt[u.dc]; ok && s.now > at {
		s.fail("new work at %s in %s, which is out", u.id, u.dc)
	}
	s.inform(u)
	if u.capacity == 0 || !u.informed {
		return
	}
	running := 0
	for _, x := range u.running {
		if x.began >= u.informAt {
			running++
		}
	}
	if running > u.capacity {
		s.fail("%d running at cold %s, capacity %d", running, u.id, u.capacity)
	}
}

// inform notes when every running daemon treats a restarted upstream as cold.
// Work that began before cannot be bounded: nobody could know of the restart.
func (s *fleetSim) inform(u *simUpstream) {
	if u.informed {
		return
	}
	for _, d := range s.daemons {
		if !d.running || d.left || (s.broken == "gate" && d.id == "d01") {
			continue
		}
		if !knowsColdStart(d.pool, u) {
			return
		}
	}
	u.informed, u.informAt = true, s.now+1
}

// knowsColdStart reports whether a pool gates u after its latest restart, or
// has a record of a cold start that began since.
func knowsColdStart(pool *upstream.Pool, u *simUpstream) bool {
	for _, status := range pool.Statuses() {
		if status.Replica().ID() == u.id && status.State() == upstream.StateGated {
			return true
		}
	}
	return slices.ContainsFunc(pool.Records(), func(r upstream.ColdRecord) bool {
		return r.Upstream() == u.id && r.Episode() >= uint64(u.restartedAt)
	})
}

func (s *fleetSim) fail(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}
