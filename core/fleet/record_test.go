package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

func (n *network) publishRecord(i int, key string, sequence uint64, body string, lifetime clock.Millis) {
	d := n.daemons[daemonID(i)]
	n.perform(d, d.membership.Publish(n.now, fleet.NewRecord("cold", key, sequence, []byte(body), lifetime)))
}

// recordBodies counts the running daemons by the body that they hold for a key, ""
// for none.
func (n *network) recordBodies(key string) map[string]int {
	found := make(map[string]int)
	for _, id := range n.ids {
		if n.down[id] {
			continue
		}
		body := ""
		for _, r := range n.daemons[id].membership.Records(n.now, "cold") {
			if r.Key() == key {
				body = string(r.Body())
			}
		}
		found[body]++
	}
	return found
}

// Guards against daemons that keep different records for a key, or none, after a
// flood, an expiry, a restart or a partition.
func TestRecordsConverge(t *testing.T) {
	cases := []struct {
		name string
		run  func(n *network)
		want map[string]int
	}{
		{"a record reaches all daemons within 100 ms", func(n *network) {
			n.publishRecord(0, "k", 1, "a", clock.Hour)
			n.advance(100)
		}, map[string]int{"a": 12}},
		{"a higher sequence wins in any order", func(n *network) {
			n.publishRecord(0, "k", 2, "new", clock.Hour)
			n.publishRecord(5, "k", 1, "old", clock.Hour)
			n.advance(1000)
		}, map[string]int{"new": 12}},
		{"equal sequences converge on the larger body", func(n *network) {
			n.publishRecord(0, "k", 1, "a", clock.Hour)
			n.publishRecord(5, "k", 1, "b", clock.Hour)
			n.advance(1000)
		}, map[string]int{"b": 12}},
		{"a record expires and does not come back", func(n *network) {
			n.publishRecord(0, "k", 1, "a", 8*clock.Second)
			n.advance(20 * clock.Second)
		}, map[string]int{"": 12}},
		{"a daemon that joins gets a copy", func(n *network) {
			for i := range 300 {
				n.publishRecord(i%12, fmt.Sprint(i), 1, string(make([]byte, 900)), clock.Hour)
			}
			n.publishRecord(0, "k", 1, "a", clock.Hour)
			n.kill(daemonID(3), false)
			n.advance(2000)
			n.restart(3)
			n.advance(1000)
		}, map[string]int{"a": 12}},
		{"a partition is repaired", func(n *network) {
			n.partition(4)
			n.advance(clock.Minute)
			n.publishRecord(0, "k", 1, "a", clock.Hour)
			n.publishRecord(8, "k", 2, "b", clock.Hour)
			n.partition(0)
			n.advance(30 * clock.Second)
		}, map[string]int{"b": 12}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startFleet(7, 12, 3, 12*clock.Second)
			c.run(n)
			assert.Equal(t, c.want, n.recordBodies("k"))
			assert.Empty(t, n.failures)
		})
	}
}

// Guards against unbounded memory for records, and against a full store that no
// longer updates known keys.
func TestRecordStoreRejectsRecordsAboveLimits(t *testing.T) {
	m := fleet.New(fleet.NewMember("a:1", "", "", "", 1), rand.New(rand.NewPCG(1, 1)), nil)
	for i := range fleet.MaxStoredRecords + 10 {
		m.Publish(1, fleet.NewRecord("k", fmt.Sprint(i), 1, nil, clock.Hour))
	}
	m.Publish(1, fleet.NewRecord("k", "0", 2, make([]byte, fleet.MaxRecordBodyBytes+1), clock.Hour))
	assert.Len(t, m.Records(1, "k"), fleet.MaxStoredRecords)
	assert.Equal(t, 11, m.RefusedRecords())
	m.Publish(1, fleet.NewRecord("k", "0", 3, []byte{1}, clock.Hour))
	assert.Equal(t, 11, m.RefusedRecords(), "a known key is still updated")
}

// Guards against a fleet that follows the platform's list, which lags: a listed VM
// that does not answer must not become a member, and an unlisted daemon that answers
// must remain one.
func TestVMListNeitherAddsNorRemovesMembers(t *testing.T) {
	n := startFleet(8, 6, 3, 12*clock.Second)
	var vms []fleet.VM
	for i := 4; i < 10; i++ {
		vms = append(vms, fleet.NewVM(daemonID(i), "", "", "", false))
	}
	for _, id := range n.ids {
		n.perform(n.daemons[id], n.daemons[id].membership.Seed(n.now, vms))
	}
	dials := n.dialCount
	n.advance(5 * clock.Minute)
	n.checkViews()
	assert.Empty(t, n.failures)
	assert.Greater(t, n.dialCount, dials, "listed VMs are dialled")
	assert.Less(t, n.dialCount-dials, uint64(4*3*60), "each VM by three daemons, at most every 5 s")
	n.startDaemon(7, 3)
	n.advance(30 * clock.Second)
	n.checkViews()
	assert.Empty(t, n.failures, "a listed VM becomes a member once it answers")
}

// Guards against a daemon that acts on an outdated view after a pause. It must
// distrust the view until a peer acknowledges a ping, or until the time for that has
// passed.
func TestPausedDaemonIsNotTrustworthy(t *testing.T) {
	cases := []struct {
		name     string
		size     int
		pause    clock.Millis
		trustsAt clock.Millis // time from the end of the pause until the view is trusted
	}{
		{"short gap", 4, 1500, 0},
		{"pause with peers", 4, 5000, 300},
		{"pause without peers", 1, 5000, 2100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startFleet(9, c.size, 3, 12*clock.Second)
			d := n.daemons[daemonID(0)]
			incarnation := d.membership.Self().Incarnation()
			assert.True(t, d.membership.Trustworthy(n.now))
			d.pausedUntil = n.now + c.pause
			n.advance(c.pause - 1)
			assert.Equal(t, c.pause <= 2000, d.membership.Trustworthy(n.now), "distrusted before the next tick already")
			n.advance(c.trustsAt + 150)
			assert.True(t, d.membership.Trustworthy(n.now))
			assert.Equal(t, c.pause > 2000, d.membership.Self().Incarnation() > incarnation)
		})
	}
}

// Guards against a planned stop that some daemons miss, and against a daemon that
// left but is restored by a repair.
func TestLeaveReachesAllDaemons(t *testing.T) {
	n := startFleet(10, 8, 3, 12*clock.Second)
	d := n.daemons[daemonID(2)]
	for _, step := range []struct {
		announce func(clock.Millis) []fleet.Action
		want     fleet.State
	}{{d.membership.Leave, fleet.Leaving}, {d.membership.Left, fleet.Left}} {
		n.perform(d, step.announce(n.now))
		n.advance(500)
		for _, id := range n.ids {
			m, _ := n.daemons[id].membership.Member(daemonID(2))
			assert.Equal(t, step.want, m.State(), id)
		}
	}
	n.advance(clock.Minute)
	assert.Equal(t, 7, n.daemons[daemonID(0)].membership.AliveCount(), "the daemon that left is not restored")
}
