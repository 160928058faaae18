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

// step applies a random fault or sends some traffic.
func (s *fleetSim) step(regions int) {
	switch s.intN(48) {
	case 0, 1:
		s.restartUpstream(s.upstreams[s.intN(len(s.upstreams))])
	case 2:
		u := s.upstreams[s.intN(len(s.upstreams))]
		u.refusesUntil = s.now + clock.Millis(50+s.intN(400))
	case 3:
		s.killDaemon(s.daemons[s.intN(len(s.daemons))])
	case 4:
		s.startDaemon(regions)
	case 5:
		s.stopDaemon(s.daemons[s.intN(len(s.daemons))])
	case 6:
		s.togglePartition()
	case 7:
		s.toggleDataCentreOut(fmt.Sprint("dc", s.intN(3)))
	case 8:
		s.markUpstreamLeaving(s.upstreams[s.intN(len(s.upstreams))])
	case 9, 10:
		s.replaceUpstream(s.intN(len(s.upstreams)))
	case 11:
		s.advance(clock.Millis(200 + s.intN(3000)))
		if s.partitionedAt > 0 {
			s.advance(clock.Millis(s.intN(8000)))
		}
	default:
		for range 1 + s.intN(12) {
			s.sendSubRequest(s.runningDaemon(), s.intN(simShards))
		}
		s.advance(clock.Millis(1 + s.intN(5)))
	}
}

func (s *fleetSim) runningDaemon() *simDaemon {
	running := slices.DeleteFunc(slices.Clone(s.daemons), func(d *simDaemon) bool { return !d.running || d.left })
	return running[s.intN(len(running))]
}

func (s *fleetSim) runningCount() int {
	count := 0
	for _, d := range s.daemons {
		if d.running && !d.left {
			count++
		}
	}
	return count
}

// restartUpstream restarts an upstream without warning, so that it is cold and its
// connections break.
func (s *fleetSim) restartUpstream(u *simUpstream) {
	u.boot++
	u.capacity, u.answers = 1, 0
	u.coldStartKnown = false
	u.restartedAt = s.now
	s.coldStarts++
	for _, x := range slices.Clone(u.running) {
		s.endExchange(x, upstream.ConnectionLost)
	}
}

// replaceUpstream replaces an upstream by a new VM with another address. The new one is
// cold, and no daemon knows the address, so the limit applies from the beginning.
func (s *fleetSim) replaceUpstream(i int) {
	old := s.upstreams[i]
	s.restartUpstream(old)
	s.replacements++
	fresh := &simUpstream{
		id: upstream.ID(fmt.Sprintf("10.2.%d.%d:80", s.replacements, i)), region: old.region,
		dataCentre: old.dataCentre, capacity: 1, coldStartKnown: true,
	}
	s.upstreams[i] = fresh
	for _, d := range s.daemons {
		if d.running {
			s.schedule(clock.Millis(s.intN(300)), func() {
				d.pool.Remove(old.id)
				d.pool.Add(s.now, upstream.NewReplica(fresh.id, fresh.dataCentre).WithRegion(fresh.region))
				d.pool.SetLeaving(fresh.id, fresh.leavesAt > 0)
			})
		}
	}
}

func (s *fleetSim) killDaemon(d *simDaemon) {
	if !d.running || s.runningCount() <= 2 {
		return
	}
	d.running = false
	d.diedAt = s.now
	for _, u := range s.upstreams {
		u.running = slices.DeleteFunc(u.running, func(x *simExchange) bool { return x.daemons[len(x.daemons)-1] == d })
	}
}

// stopDaemon stops a daemon as planned: it announces that it has left after 40 ms, when
// nothing is in flight.
func (s *fleetSim) stopDaemon(d *simDaemon) {
	if !d.running || s.runningCount() <= 2 || s.partitionedAt > 0 {
		return
	}
	s.advance(40)
	d.left, d.running = true, false
	d.diedAt = s.now
}

// startDaemon adds a daemon that copies the cold-start records of a peer.
func (s *fleetSim) startDaemon(regions int) {
	if s.partitionedAt > 0 || len(s.daemons) > 24 || s.now-s.healedAt < 20*clock.Second {
		return
	}
	peer := s.runningDaemon()
	d := s.addDaemon(regions)
	for _, record := range peer.pool.Records() {
		d.pool.ReceiveRecord(s.now, record)
	}
	s.applyDataCentresOut(d)
	for _, u := range s.upstreams {
		d.pool.SetLeaving(u.id, u.leavesAt > 0)
	}
	s.syncViews()
	d.pool.CompleteJoin(s.now, s.mistake != "join")
}

// togglePartition cuts some daemons off, or heals the partition. After healing, all daemons
// exchange their records within 200 ms.
func (s *fleetSim) togglePartition() {
	if s.partitionedAt > 0 && s.intN(4) > 0 {
		return // most partitions last until the other side counts as dead
	}
	if s.partitionedAt > 0 {
		s.otherSide, s.partitionedAt, s.healedAt = map[string]bool{}, 0, s.now
		s.syncViews()
		s.schedule(200, s.exchangeRecords)
		return
	}
	for _, d := range s.daemons {
		s.otherSide[d.id] = s.intN(2) == 0
	}
	s.partitionedAt = s.now
}

// exchangeRecords delivers all records of all daemons to each other.
func (s *fleetSim) exchangeRecords() {
	for _, a := range s.daemons {
		for _, b := range s.daemons {
			for _, record := range a.pool.Records() {
				s.deliverRecord(a, b, record)
			}
		}
	}
}

// toggleDataCentreOut takes a data centre out, or brings back the one that is out.
func (s *fleetSim) toggleDataCentreOut(dataCentre string) {
	if len(s.takenOutAt) == 0 {
		s.takenOutAt[dataCentre] = s.now + 100
	} else {
		clear(s.takenOutAt)
	}
	for _, d := range s.daemons {
		if d.running {
			s.schedule(clock.Millis(s.intN(100)), func() { s.applyDataCentresOut(d) })
		}
	}
}

func (s *fleetSim) applyDataCentresOut(d *simDaemon) {
	var out []string
	for dc := range s.takenOutAt {
		out = append(out, dc)
	}
	d.pool.SetDataCentresOut(s.now, out)
}

func (s *fleetSim) markUpstreamLeaving(u *simUpstream) {
	if u.leavesAt > 0 {
		return
	}
	u.leavesAt = s.now + 100
	for _, d := range s.daemons {
		d.pool.SetLeaving(u.id, true)
	}
}

// run runs simSteps steps and returns the violations. Without a mistake it stops at the
// first one.
func (s *fleetSim) run(regions int) []string {
	for range simSteps {
		s.step(regions)
		if len(s.violations) > 0 && s.mistake == "" {
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

// Guards against daemons that together exceed an upstream's connections or cold-start
// concurrency, or send work to leaving upstreams or data centres taken out, while
// upstreams and daemons restart, join and leave, and while the network is partitioned.
func TestFleetKeepsInvariants(t *testing.T) {
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

// Guards against checks of the simulation that miss violations: each must detect a
// deliberate mistake.
func TestFleetCheckersDetectMistakes(t *testing.T) {
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
			detected := false
			for seed := uint64(0); seed < 20 && !detected; seed++ {
				source := rand.New(rand.NewPCG(seed, 1))
				s := newFleetSim(source.IntN, 4, 1, tc.connections, tc.broken)
				detected = slices.ContainsFunc(s.run(1), func(v string) bool { return strings.Contains(v, tc.want) })
			}
			require.True(t, detected)
		})
	}
}

// recoverFromFaults ends all faults and runs traffic for 30 s.
func (s *fleetSim) recoverFromFaults() {
	s.otherSide, s.partitionedAt = map[string]bool{}, 0
	clear(s.takenOutAt)
	s.advance(listDelay + clock.Second)
	for _, u := range s.upstreams {
		u.leavesAt, u.refusesUntil = 0, 0
		for _, d := range s.daemons {
			d.pool.SetLeaving(u.id, false)
		}
	}
	for _, d := range s.daemons {
		s.applyDataCentresOut(d)
	}
	s.exchangeRecords()
	for range 6000 {
		for range 5 {
			s.sendSubRequest(s.runningDaemon(), s.intN(simShards))
		}
		s.advance(5)
	}
}

// Guards against cold starts and ejections that never end. After all faults end, every
// daemon must serve from every upstream that has a daemon in its region.
func TestFleetServesAfterFaults(t *testing.T) {
	for seed := range uint64(8) {
		source := rand.New(rand.NewPCG(seed, 9))
		s := newFleetSim(source.IntN, 16, 2, 10, "")
		require.Empty(t, s.run(2))
		require.Greater(t, s.exchangesBegun, 150, "the simulation sends too little")
		require.Greater(t, s.relays, 50, "the simulation relays too little")
		s.recoverFromFaults()
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
