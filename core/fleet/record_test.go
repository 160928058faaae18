package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

func (n *network) publish(i int, key string, sequence uint64, body string, lifetime clock.Millis) {
	d := n.daemons[name(i)]
	n.perform(d, d.m.Publish(n.now, fleet.NewRecord("cold", key, sequence, []byte(body), lifetime)))
}

// bodies returns what every running daemon holds for a key, "" for nothing.
func (n *network) bodies(key string) map[string]int {
	found := make(map[string]int)
	for _, id := range n.ids {
		if n.down[id] {
			continue
		}
		body := ""
		for _, r := range n.daemons[id].m.Records(n.now, "cold") {
			if r.Key() == key {
				body = string(r.Body())
			}
		}
		found[body]++
	}
	return found
}

func TestRecordsOfOtherSubsystems(t *testing.T) {
	cases := []struct {
		name string
		run  func(n *network)
		want map[string]int
	}{
		{"a record reaches everybody within 100 ms", func(n *network) {
			n.publish(0, "k", 1, "a", clock.Hour)
			n.run(100)
		}, map[string]int{"a": 12}},
		{"a higher sequence wins whatever the order", func(n *network) {
			n.publish(0, "k", 2, "new", clock.Hour)
			n.publish(5, "k", 1, "old", clock.Hour)
			n.run(1000)
		}, map[string]int{"new": 12}},
		{"equal sequences end the same everywhere", func(n *network) {
			n.publish(0, "k", 1, "a", clock.Hour)
			n.publish(5, "k", 1, "b", clock.Hour)
			n.run(1000)
		}, map[string]int{"b": 12}},
		{"a record expires and does not come back", func(n *network) {
			n.publish(0, "k", 1, "a", 8*clock.Second)
			n.run(20 * clock.Second)
		}, map[string]int{"": 12}},
		{"a daemon that joins gets a copy", func(n *network) {
			for i := range 300 {
				n.publish(i%12, fmt.Sprint(i), 1, string(make([]byte, 900)), clock.Hour)
			}
			n.publish(0, "k", 1, "a", clock.Hour)
			n.kill(name(3), false)
			n.run(2000)
			n.restart(3)
			n.run(1000)
		}, map[string]int{"a": 12}},
		{"a partition is repaired", func(n *network) {
			n.cut(4)
			n.run(clock.Minute)
			n.publish(0, "k", 1, "a", clock.Hour)
			n.publish(8, "k", 2, "b", clock.Hour)
			n.cut(0)
			n.run(30 * clock.Second)
		}, map[string]int{"b": 12}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := fleetOf(7, 12, 3, 12*clock.Second)
			c.run(n)
			assert.Equal(t, c.want, n.bodies("k"))
			assert.Empty(t, n.failures)
		})
	}
}

func TestRecordsAreBounded(t *testing.T) {
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

// The platform's list lags: it must neither add a daemon that does not answer
// nor remove one that does.
func TestListOnlySeeds(t *testing.T) {
	n := fleetOf(8, 6, 3, 12*clock.Second)
	var vms []fleet.VM
	for i := 4; i < 10; i++ {
		vms = append(vms, fleet.NewVM(name(i), "", "", "", false))
	}
	for _, id := range n.ids {
		n.perform(n.daemons[id], n.daemons[id].m.Seed(n.now, vms))
	}
	dials := n.dials
	n.run(5 * clock.Minute)
	n.checkViews()
	assert.Empty(t, n.failures)
	assert.Greater(t, n.dials, dials, "listed VMs are tried")
	assert.Less(t, n.dials-dials, uint64(4*3*60), "each by three daemons, at most every 5 s")
	n.start(7, 3)
	n.run(30 * clock.Second)
	n.checkViews()
	assert.Empty(t, n.failures, "a listed VM that answers at last becomes a member")
}

// A daemon that was paused must not act on what it believes until it has met a
// peer, or has waited in vain.
func TestPausedDaemonDoubtsItself(t *testing.T) {
	cases := []struct {
		name     string
		size     int
		pause    clock.Millis
		trustsAt clock.Millis // after the end of the pause
	}{
		{"short gap", 4, 1500, 0},
		{"pause with peers", 4, 5000, 300},
		{"pause without peers", 1, 5000, 2100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := fleetOf(9, c.size, 3, 12*clock.Second)
			d := n.daemons[name(0)]
			incarnation := d.m.Self().Incarnation()
			assert.True(t, d.m.Trustworthy(n.now))
			d.paused = n.now + c.pause
			n.run(c.pause - 1)
			assert.Equal(t, c.pause <= 2000, d.m.Trustworthy(n.now), "doubts even before its next tick")
			n.run(c.trustsAt + 150)
			assert.True(t, d.m.Trustworthy(n.now))
			assert.Equal(t, c.pause > 2000, d.m.Self().Incarnation() > incarnation)
		})
	}
}

func TestLeavingIsSeenByAll(t *testing.T) {
	n := fleetOf(10, 8, 3, 12*clock.Second)
	d := n.daemons[name(2)]
	for _, step := range []struct {
		announce func(clock.Millis) []fleet.Action
		want     fleet.State
	}{{d.m.Leave, fleet.Leaving}, {d.m.Left, fleet.Left}} {
		n.perform(d, step.announce(n.now))
		n.run(500)
		for _, id := range n.ids {
			m, _ := n.daemons[id].m.Member(name(2))
			assert.Equal(t, step.want, m.State(), id)
		}
	}
	n.run(clock.Minute)
	assert.Equal(t, 7, n.daemons[name(0)].m.AliveCount(), "a daemon that left does not come back")
}
