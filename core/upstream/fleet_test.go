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
// the same schedules. The flag -rapid.seed=N selects others.
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
	// listDelay is the time after which the platform's list no longer has a dead VM.
	listDelay = 15 * clock.Second
)

// intN returns a number from 0 to n-1, drawn by rapid or by a seeded source.
type intN func(n int) int

// simUpstream is a simulated upstream. Its capacity doubles after as many answers as
// it had capacity.
type simUpstream struct {
	id               upstream.ID
	region           string
	dataCentre       string
	boot             int
	capacity         int // concurrency in a cold start; 0 when warm
	answers          int
	restartedAt      clock.Millis
	coldStartKnown   bool // by every running daemon
	coldStartKnownAt clock.Millis
	leavesAt         clock.Millis // time after which new work is a violation, or 0
	refusesUntil     clock.Millis
	running          []*simExchange
}

// simExchange is a sub-request at an upstream.
type simExchange struct {
	daemons  []*simDaemon      // that count it; the last one sends it to the upstream
	choices  []upstream.Choice // of each of daemons
	target   *simUpstream
	begunAt  clock.Millis
	endsAt   clock.Millis
	boot     int
	timesOut bool
}

// simDaemon is a daemon with a real pool.
type simDaemon struct {
	id, region, dataCentre string
	pool                   *upstream.Pool
	running                bool
	left                   bool // by a planned stop
	bornAt                 clock.Millis
	diedAt                 clock.Millis
}

// simEvent is a function that runs at a time of the simulation.
type simEvent struct {
	at  clock.Millis
	run func()
}

// fleetSim simulates the pools of several daemons against upstreams, and checks at the
// upstreams that the limits hold.
type fleetSim struct {
	intN           intN
	now            clock.Millis
	upstreams      []*simUpstream
	daemons        []*simDaemon
	events         []simEvent
	otherSide      map[string]bool // daemons on the second side of a partition
	partitionedAt  clock.Millis
	viewsSyncedAt  clock.Millis
	healedAt       clock.Millis
	takenOutAt     map[string]clock.Millis // by data centre: when all daemons know
	connections    int                     // limit of each upstream
	mistake        string                  // deliberate fault of a daemon or of the simulation, or ""
	violations     []string
	relays         int
	coldStarts     int
	exchangesBegun int
	replacements   int
}

func newFleetSim(random intN, daemons, regions, connections int, mistake string) *fleetSim {
	s := &fleetSim{intN: random, now: clock.Minute, connections: connections, mistake: mistake,
		otherSide: map[string]bool{}, takenOutAt: map[string]clock.Millis{}}
	for i := range simShards * simReplicas {
		s.upstreams = append(s.upstreams, &simUpstream{
			id: upstream.ID(fmt.Sprintf("10.1.0.%d:80", i)), region: fmt.Sprint("r", i%regions),
			dataCentre: fmt.Sprint("dc", i%3), capacity: 1, coldStartKnown: true,
		})
	}
	for range daemons {
		s.addDaemon(regions)
	}
	s.syncViews()
	for _, d := range s.daemons {
		d.pool.CompleteJoin(s.now, false)
	}
	s.spreadRecords()
	return s
}

func (s *fleetSim) addDaemon(regions int) *simDaemon {
	i := len(s.daemons)
	d := &simDaemon{id: fmt.Sprintf("d%02d", i), region: fmt.Sprint("r", i%regions), dataCentre: fmt.Sprint("dc", i%3),
		pool: new(upstream.Pool), running: true, bornAt: s.now}
	policy := upstream.Policy{}.WithLimits(simSlots, s.connections).WithEjection(5, 200, 2000)
	if s.mistake == "gate" && i == 1 {
		policy = policy.WithColdStart(false, 1, 8)
	}
	d.pool.SetRandom(rand.New(rand.NewPCG(uint64(i), 7)))
	d.pool.SetPolicy(s.now, policy)
	for _, u := range s.upstreams {
		d.pool.Add(s.now, upstream.NewReplica(u.id, u.dataCentre).WithRegion(u.region))
	}
	s.daemons = append(s.daemons, d)
	return d
}

// memberView returns what daemon d knows of daemon o. A daemon that died or is cut off is
// suspect after 3.5 s and dead after 7 s, each with a lag that depends on d; a planned
// stop is known after the lag. New daemons are known after 500 ms, see syncViews.
func (s *fleetSim) memberView(d, o *simDaemon) upstream.Member {
	state := upstream.Alive
	cutOff := s.otherSide[d.id] != s.otherSide[o.id]
	silentFor := clock.Millis(0)
	if cutOff && s.partitionedAt > 0 {
		silentFor = s.now - s.partitionedAt
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
	member := upstream.NewMember(o.id, o.region, o.dataCentre, state)
	unlisted := !o.running && s.now-o.diedAt > listDelay
	if unlisted || s.mistake == "list" && state == upstream.Dead {
		return member
	}
	return member.WithListed()
}

func (s *fleetSim) syncViews() {
	s.viewsSyncedAt = s.now
	for _, d := range s.daemons {
		if !d.running {
			continue
		}
		var members []upstream.Member
		for _, o := range s.daemons {
			if o == d || s.now-o.bornAt >= 500 || o.bornAt == clock.Minute {
				members = append(members, s.memberView(d, o))
			}
		}
		if s.mistake == "shares" && d.id == "d01" {
			members = []upstream.Member{upstream.NewMember(d.id, d.region, d.dataCentre, upstream.Alive)}
		}
		d.pool.SetMembers(s.now, d.id, members)
	}
}

func (s *fleetSim) connected(a, b *simDaemon) bool {
	return a.running && b.running && s.otherSide[a.id] == s.otherSide[b.id]
}

// spreadRecords delivers the changed records of all daemons after 1 to 10 ms.
func (s *fleetSim) spreadRecords() {
	for _, from := range s.daemons {
		if !from.running {
			continue
		}
		for _, record := range from.pool.TakeChanges() {
			for _, to := range s.daemons {
				s.schedule(clock.Millis(1+s.intN(10)), func() { s.deliverRecord(from, to, record) })
			}
		}
	}
}

func (s *fleetSim) deliverRecord(from, to *simDaemon, record upstream.ColdRecord) {
	if from != to && s.connected(from, to) {
		to.pool.ReceiveRecord(s.now, record)
	}
}

func (s *fleetSim) schedule(delay clock.Millis, run func()) {
	s.events = append(s.events, simEvent{at: s.now + delay, run: run})
}

// advance advances the time in steps of 1 ms and runs the events that are due.
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
			e.run()
		}
		for _, u := range s.upstreams {
			s.finishExchanges(u)
		}
		s.spreadRecords()
	}
	if s.now-s.viewsSyncedAt >= 50 {
		s.syncViews()
	}
}

// finishExchanges ends the exchanges of u whose time has come.
func (s *fleetSim) finishExchanges(u *simUpstream) {
	for _, x := range slices.Clone(u.running) {
		if x.endsAt > s.now {
			continue
		}
		outcome := upstream.OK
		if x.timesOut {
			outcome = upstream.Timeout
		} else if u.capacity > 0 {
			u.countAnswer()
		}
		s.endExchange(x, outcome)
	}
}

// countAnswer counts an answer and doubles the capacity after a full round.
func (u *simUpstream) countAnswer() {
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

func (s *fleetSim) endExchange(x *simExchange, outcome upstream.Outcome) {
	x.target.running = slices.DeleteFunc(x.target.running, func(o *simExchange) bool { return o == x })
	boot := ""
	if outcome == upstream.OK {
		boot = fmt.Sprint(x.boot)
	}
	for i := len(x.daemons) - 1; i >= 0; i-- {
		if x.daemons[i].running {
			x.daemons[i].pool.Done(s.now, x.choices[i], upstream.NewResult(outcome, s.now-x.begunAt, boot))
		}
	}
}

// sendSubRequest lets daemon d send a sub-request to a holder of shard.
func (s *fleetSim) sendSubRequest(d *simDaemon, shard int) {
	var holders []string
	for i := range simReplicas {
		holders = append(holders, string(s.upstreams[shard+i*simShards].id))
	}
	request := upstream.NewPickRequest(0, 1, holders)
	if _, out := s.takenOutAt[s.upstreams[shard].dataCentre]; s.mistake == "left" && (out || s.upstreams[shard].leavesAt > 0) {
		s.beginExchange(&simExchange{
			target: s.upstreams[shard], daemons: []*simDaemon{d}, choices: make([]upstream.Choice, 1),
		})
		return
	}
	choice, err := d.pool.Pick(s.now, request)
	if err != nil {
		return
	}
	x := &simExchange{
		target: s.upstreamAt(choice.Upstream()), daemons: []*simDaemon{d}, choices: []upstream.Choice{choice},
	}
	if choice.Via() != "" && !s.relay(x, d, choice) {
		d.pool.Done(s.now, choice, upstream.NewResult(upstream.Shed, 1, ""))
		return
	}
	if s.now < x.target.refusesUntil {
		s.endExchange(x, upstream.NotConnected)
		return
	}
	s.beginExchange(x)
}

// relay relays a sub-request through the daemon of choice, and reports whether that daemon
// accepts it.
func (s *fleetSim) relay(x *simExchange, d *simDaemon, choice upstream.Choice) bool {
	peer := s.daemons[slices.IndexFunc(s.daemons, func(o *simDaemon) bool { return o.id == choice.Via() })]
	if !s.connected(d, peer) || peer.left {
		return false
	}
	request := upstream.NewPickRequest(0, 1, []string{string(choice.Upstream())}).ForPeer(choice.ColdShareGranted())
	onward, err := peer.pool.Pick(s.now, request)
	if err != nil {
		return false
	}
	s.relays++
	x.daemons, x.choices = append(x.daemons, peer), append(x.choices, onward)
	return true
}

func (s *fleetSim) upstreamAt(id upstream.ID) *simUpstream {
	return s.upstreams[slices.IndexFunc(s.upstreams, func(u *simUpstream) bool { return u.id == id })]
}

// beginExchange begins an exchange at its upstream and checks the invariants there.
func (s *fleetSim) beginExchange(x *simExchange) {
	u := x.target
	x.begunAt, x.boot = s.now, u.boot
	x.timesOut = s.intN(60) == 0
	x.endsAt = s.now + clock.Millis(2+s.intN(25))
	u.running = append(u.running, x)
	s.exchangesBegun++
	s.checkInvariants(u)
}

// checkInvariants checks the limit on connections, that leaving upstreams and data centres
// taken out get no new work, and the concurrency at cold upstreams.
func (s *fleetSim) checkInvariants(u *simUpstream) {
	if len(u.running) > s.connections {
		s.recordViolation("%d connections at %s, limit %d", len(u.running), u.id, s.connections)
	}
	if u.leavesAt > 0 && s.now > u.leavesAt {
		s.recordViolation("new work at %s, which is leaving", u.id)
	}
	if at, ok := s.takenOutAt[u.dataCentre]; ok && s.now > at {
		s.recordViolation("new work at %s in %s, which is out", u.id, u.dataCentre)
	}
	s.updateColdStartKnown(u)
	if u.capacity == 0 || !u.coldStartKnown {
		return
	}
	running := 0
	for _, x := range u.running {
		if x.begunAt >= u.coldStartKnownAt {
			running++
		}
	}
	if running > u.capacity {
		s.recordViolation("%d running at cold %s, capacity %d", running, u.id, u.capacity)
	}
}

// updateColdStartKnown records when every running daemon treats a restarted upstream as
// cold. The limit applies to exchanges since then, because no daemon could know of the
// restart before.
func (s *fleetSim) updateColdStartKnown(u *simUpstream) {
	if u.coldStartKnown {
		return
	}
	for _, d := range s.daemons {
		if !d.running || d.left || (s.mistake == "gate" && d.id == "d01") {
			continue
		}
		if !knowsColdStart(d.pool, u) {
			return
		}
	}
	u.coldStartKnown, u.coldStartKnownAt = true, s.now+1
}

// knowsColdStart reports whether a pool has a local gate for u, or a record of a cold start
// since its latest restart.
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

func (s *fleetSim) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}
