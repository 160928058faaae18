package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// step draws one fault or some traffic.
func (s *fleetSim) step(regions int) {
	switch s.choose(48) {
	case 0, 1:
		s.restart(s.upstreams[s.choose(len(s.upstreams))])
	case 2:
		u := s.upstreams[s.choose(len(s.upstreams))]
		u.refusing = s.now + clock.Millis(50+s.choose(400))
	case 3:
		s.kill(s.daemons[s.choose(len(s.daemons))])
	case 4:
		s.join(regions)
	case 5:
		s.leave(s.daemons[s.choose(len(s.daemons))])
	case 6:
		s.partition()
	case 7:
		s.takeOut(fmt.Sprint("dc", s.choose(3)))
	case 8:
		s.leaveUpstream(s.upstreams[s.choose(len(s.upstreams))])
	case 9, 10:
		s.replace(s.choose(len(s.upstreams)))
	case 11:
		s.advance(clock.Millis(200 + s.choose(3000)))
		if s.splitAt > 0 {
			s.advance(clock.Millis(s.choose(8000)))
		}
	default:
		for range 1 + s.choose(12) {
			s.ask(s.runningDaemon(), s.choose(simShards))
		}
		s.advance(clock.Millis(1 + s.choose(5)))
	}
}

func (s *fleetSim) runningDaemon() *simDaemon {
	running := slices.DeleteFunc(slices.Clone(s.daemons), func(d *simDaemon) bool { return !d.running || d.left })
	return running[s.choose(len(running))]
}

func (s *fleetSim) running() int {
	count := 0
	for _, d := range s.daemons {
		if d.running && !d.left {
			count++
		}
	}
	return count
}

// restart begins a cold start without warning. Connections break.
func (s *fleetSim) restart(u *simUpstream) {
	u.boot++
	u.capacity, u.answers = 1, 0
	u.informed = false
	u.restartedAt = s.now
	s.coldStarts++
	for _, x := range slices.Clone(u.running) {
		s.end(x, upstream.ConnectionLost)
	}
}

// replace puts a new VM with another address in the place of an upstream. It
// is cold and every daemon can know it, so the bound holds from the start.
func (s *fleetSim) replace(i int) {
	old := s.upstreams[i]
	s.restart(old)
	s.replaced++
	fresh := &simUpstream{id: upstream.ID(fmt.Sprintf("10.2.%d.%d:80", s.replaced, i)), region: old.region, dc: old.dc,
		capacity: 1, informed: true}
	s.upstreams[i] = fresh
	for _, d := range s.daemons {
		if d.running {
			s.after(clock.Millis(s.choose(300)), func() {
				d.pool.Remove(old.id)
				d.pool.Add(s.now, upstream.NewReplica(fresh.id, fresh.dc).WithRegion(fresh.region))
				d.pool.SetLeaving(fresh.id, fresh.leaveAt > 0)
			})
		}
	}
}

func (s *fleetSim) kill(d *simDaemon) {
	if !d.running || s.running() <= 2 {
		return
	}
	d.running = false
	d.diedAt = s.now
	for _, u := range s.upstreams {
		u.running = slices.DeleteFunc(u.running, func(x *simExchange) bool { return x.path[len(x.path)-1] == d })
	}
}

// leave is a planned stop: the daemon announces it once nothing is in flight.
func (s *fleetSim) leave(d *simDaemon) {
	if !d.running || s.running() <= 2 || s.splitAt > 0 {
		return
	}
	s.advance(40)
	d.left, d.running = true, false
	d.diedAt = s.now
}

// join starts a daemon that copies the records of a peer.
func (s *fleetSim) join(regions int) {
	if s.splitAt > 0 || len(s.daemons) > 24 || s.now-s.healedAt < 20*clock.Second {
		return
	}
	peer := s.runningDaemon()
	d := s.addDaemon(regions)
	for _, record := range peer.pool.Records() {
		d.pool.ReceiveRecord(s.now, record)
	}
	s.applyOut(d)
	for _, u := range s.upstreams {
		d.pool.SetLeaving(u.id, u.leaveAt > 0)
	}
	s.syncViews()
	d.pool.CompleteJoin(s.now, s.broken != "join")
}

// partition cuts some daemons off, or heals. On healing, records are repaired
// while members become reachable again.
func (s *fleetSim) partition() {
	if s.splitAt > 0 && s.choose(4) > 0 {
		return // most partitions outlast the detection of deaths
	}
	if s.splitAt > 0 {
		s.split, s.splitAt, s.healedAt = map[string]bool{}, 0, s.now
		s.syncViews()
		s.after(200, s.repair)
		return
	}
	for _, d := range s.daemons {
		s.split[d.id] = s.choose(2) == 0
	}
	s.splitAt = s.now
}

func (s *fleetSim) repair() {
	for _, a := range s.daemons {
		for _, b := range s.daemons {
			for _, record := range a.pool.Records() {
				s.deliver(a, b, record)
			}
		}
	}
}

// takeOut takes a data centre out, or brings the one that is out back.
func (s *fleetSim) takeOut(dc string) {
	if len(s.outAt) == 0 {
		s.outAt[dc] = s.now + 100
	} else {
		clear(s.outAt)
	}
	for _, d := range s.daemons {
		if d.running {
			s.after(clock.Millis(s.choose(100)), func() { s.applyOut(d) })
		}
	}
}

func (s *fleetSim) applyOut(d *simDaemon) {
	var out []string
	for dc := range s.outAt {
		out = append(out, dc)
	}
	d.pool.SetDataCentresOut(s.now, out)
}

func (s *fleetSim) leaveUpstream(u *simUpstream) {
	if u.leaveAt > 0 {
		return
	}
	u.leaveAt = s.now + 100
	for _, d := range s.daemons {
		d.pool.SetLeaving(u.id, true)
	}
}

// run plays one schedule and returns the violations.
func (s *fleetSim) run(regions int) []string {
	for range simSteps {
		s.step(regions)
		if len(s.violations) > 0 && s.broken == "" {
			break
		}
	}
	return s.violations
}

var fleetSizes = []struct {
	name                          string
	daemons, regions, connections int
}{
	{"4 daemons", 4, 1, 45},
	{"4 daemons, fewer connections", 4, 1, 3},
	{"16 daemons", 16, 1, 45},
	{"16 daemons in 2 regions, fewer connections", 16, 2, 10},
}

// Guards I3, I4, I8 and the connection cap, seen from the upstreams, under
// restarts, refusals, kills, joins, departures, partitions and settings.
func TestFleetInvariants(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(size.name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
				s := newFleetSim(draw, size.daemons, size.regions, size.connections, "")
				if violations := s.run(size.regions); len(violations) > 0 {
					t.Fatal(violations[0])
				}
			})
		})
	}
}

// Guards the checkers above: each must notice a decision that is deliberately
// wrong in one daemon.
func TestFleetCheckersNotice(t *testing.T) {
	cases := []struct {
		broken      string
		connections int
		want        string
	}{
		{"gate", 45, "running at cold"},
		{"shares", 3, "connections at"},
		{"join", 45, "running at cold"},
		{"list", 45, "running at cold"},
		{"left", 45, "which is leaving"},
		{"left", 45, "which is out"},
	}
	for _, tc := range cases {
		t.Run(tc.broken+" "+tc.want, func(t *testing.T) {
			noticed := false
			for seed := uint64(0); seed < 20 && !noticed; seed++ {
				source := rand.New(rand.NewPCG(seed, 1))
				s := newFleetSim(source.IntN, 4, 1, tc.connections, tc.broken)
				noticed = slices.ContainsFunc(s.run(1), func(v string) bool { return strings.Contains(v, tc.want) })
			}
			require.True(t, noticed)
		})
	}
}

// endFaults ends all faults and lets traffic run for 30 s.
func (s *fleetSim) endFaults() {
	s.split, s.splitAt = map[string]bool{}, 0
	clear(s.outAt)
	s.advance(listLag + clock.Second)
	for _, u := range s.upstreams {
		u.leaveAt, u.refusing = 0, 0
		for _, d := range s.daemons {
			d.pool.SetLeaving(u.id, false)
		}
	}
	for _, d := range s.daemons {
		s.applyOut(d)
	}
	s.repair()
	for range 6000 {
		for range 5 {
			s.ask(s.runningDaemon(), s.choose(simShards))
		}
		s.advance(5)
	}
}

// Guards against gates that never open again: once faults end, every upstream
// with a daemon in its region serves again, on every daemon.
func TestFleetRecovers(t *testing.T) {
	for seed := range uint64(8) {
		source := rand.New(rand.NewPCG(seed, 9))
		s := newFleetSim(source.IntN, 16, 2, 10, "")
		require.Empty(t, s.run(2))
		require.Greater(t, s.started, 150, "the simulation sends")
		require.Greater(t, s.relays, 50, "the simulation relays")
		s.endFaults()
		regions := map[string]bool{}
		for _, d := range s.daemons {
			regions[d.region] = regions[d.region] || d.running
		}
		for _, d := range s.daemons {
			for _, status := range d.pool.Statuses() {
				current := slices.ContainsFunc(s.upstreams, func(u *simUpstream) bool { return u.id == status.Replica().ID() })
				if !d.running || !current || !regions[status.Replica().Region()] {
					continue
				}
				require.Contains(t, []upstream.State{upstream.StateServing, upstream.StateTrial}, status.State(),
					"seed %d: %s at %s: %s", seed, status.Replica().ID(), d.id, status.Cause())
			}
		}
	}
}
