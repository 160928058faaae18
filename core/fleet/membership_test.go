package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// Guards against views that still name a lost daemon, or miss a running one, when
// the time allowed after a fault has passed.
func TestMemberViewsConvergeAfterFault(t *testing.T) {
	cases := []struct {
		name   string
		size   int
		inject func(n *network)
		settle clock.Millis
	}{
		{"nothing", 16, func(*network) {}, 0},
		{"two daemons", 2, func(*network) {}, 0},
		{"one daemon", 1, func(*network) {}, 0},
		{"killed process", 16, func(n *network) { n.kill(daemonID(3), false) }, 6 * clock.Second},
		{"lost VM", 16, func(n *network) { n.kill(daemonID(3), true) }, 9 * clock.Second},
		{"lost VM of four", 4, func(n *network) { n.kill(daemonID(3), true) }, 9 * clock.Second},
		{"lost data centre", 24, func(n *network) {
			for i := 0; i < 24; i += 3 {
				n.kill(daemonID(i), true)
			}
		}, 30 * clock.Second},
		{"short pause", 16, func(n *network) { n.daemons[daemonID(2)].pausedUntil = n.now + 3000 }, 9 * clock.Second},
		{"long pause", 16, func(n *network) { n.daemons[daemonID(2)].pausedUntil = n.now + 60000 }, 80 * clock.Second},
		{"replaced VM", 16, func(n *network) { n.kill(daemonID(2), true); n.advance(2000); n.restart(2) }, 15 * clock.Second},
		{"region cut off for an hour", 12, func(n *network) {
			for i := range 5 {
				n.partitionSide[daemonID(i)] = 1
			}
			n.advance(clock.Hour)
			for i := range 5 {
				n.partitionSide[daemonID(i)] = 0
			}
		}, 60 * clock.Second},
		{"one daemon cut off", 16, func(n *network) {
			n.partitionSide[daemonID(5)] = 1
			n.advance(3 * clock.Minute)
			n.partitionSide[daemonID(5)] = 0
		}, 60 * clock.Second},
		{"loss of messages", 16, func(n *network) {
			n.lossProbability = 0.02
			n.advance(clock.Minute)
			n.lossProbability = 0
		}, 30 * clock.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startFleet(1, c.size, 3, 15*clock.Second)
			n.checkViews()
			require.Empty(t, n.failures, "before the fault")
			c.inject(n)
			n.advance(c.settle)
			n.checkViews()
			assert.Empty(t, n.failures)
		})
	}
}

// restart starts daemon i again with a list of VMs that names only the next four
// daemons.
func (n *network) restart(i int) {
	d := n.startDaemon(i, 3)
	var vms []fleet.VM
	for j := range 4 {
		vms = append(vms, fleet.NewVM(daemonID(i+1+j), "", "", "", false))
	}
	n.perform(d, d.membership.Seed(n.now, vms))
}

// Guards against suspicion of daemons that are not at fault, such as the peers of a
// paused daemon. A daemon refutes a suspicion with a higher incarnation, so
// unchanged incarnations show that none was suspected.
func TestHealthyDaemonsAreNotSuspected(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(n *network)
		except int // daemon that may raise its incarnation, -1 for none
	}{
		{"a pair that does not reach each other", func(n *network) {
			first := n.daemons[daemonID(0)]
			n.blocked[linkKey(daemonID(0), first.membership.Links()[0])] = true
			n.advance(2 * clock.Minute)
		}, -1},
		{"a paused daemon", func(n *network) {
			n.daemons[daemonID(2)].pausedUntil = n.now + 2500
			n.advance(20 * clock.Second)
		}, 2},
		{"a daemon paused for long", func(n *network) {
			n.daemons[daemonID(2)].pausedUntil = n.now + 30*clock.Second
			n.advance(60 * clock.Second)
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startFleet(11, 24, 3, 15*clock.Second)
			before := make(map[fleet.ID]uint64)
			for _, id := range n.ids {
				before[id] = n.daemons[id].membership.Self().Incarnation()
			}
			c.fault(n)
			n.checkViews()
			assert.Empty(t, n.failures)
			for i, id := range n.ids {
				if i != c.except {
					assert.Equal(t, before[id], n.daemons[id].membership.Self().Incarnation(), id)
				}
			}
		})
	}
}

// Guards against an outage when a partition heals: each side receives records that
// declare its own daemons dead, and must keep them alive until they have refuted.
func TestHealedPartitionKeepsMembersAlive(t *testing.T) {
	n := startFleet(12, 16, 3, 15*clock.Second)
	n.partition(6)
	n.advance(3 * clock.Minute)
	sides := make(map[fleet.ID]int)
	for _, id := range n.ids {
		sides[id] = n.partitionSide[id]
	}
	n.partition(0)
	for range 3000 {
		n.advance(20)
		for _, at := range n.ids {
			for _, m := range n.daemons[at].membership.Members() {
				if sides[at] == sides[m.ID()] && !m.Alive() {
					n.recordFailure("%s sees %s of its own side as %s", at, m.ID(), m.State())
				}
			}
		}
	}
	n.checkViews()
	assert.Empty(t, n.failures)
}
