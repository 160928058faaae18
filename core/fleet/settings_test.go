package fleet_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// inForceTarget is the time within which accepted settings are in force on all
// daemons (invariant I10).
const inForceTarget = 5 * clock.Second

func init() {
	// All runs check the same cases, unless -rapid.seed is set on the command line.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// propose proposes a change on daemon i, based on the revision expect.
func (n *network) propose(i int, expect uint64, change string) {
	d := n.daemons[daemonID(i)]
	n.performRollout(d, d.rollout.Propose(n.now, rollout.NewProposal(expect, change, []byte("{}"))))
}

// outcome returns the outcome of a change on daemon i, zero if it is not settled.
func (n *network) outcome(i int, change string) rollout.Outcome {
	for _, a := range n.daemons[daemonID(i)].settledActions {
		if a.ChangeID() == change {
			return a.Outcome()
		}
	}
	return 0
}

// watchers returns the daemons that watch the key of the platform.
func (n *network) watchers() []fleet.ID {
	var found []fleet.ID
	for _, id := range n.ids {
		if !n.down[id] && n.daemons[id].rollout.Watching() {
			found = append(found, id)
		}
	}
	return found
}

// startSettledFleet starts a fleet of 12 daemons in which the change "first" is in
// force.
func startSettledFleet(seed uint64) *network {
	n := startFleet(seed, 12, 3, 15*clock.Second)
	n.propose(0, 0, "first")
	n.advance(inForceTarget)
	n.checkSettings(1, "first")
	return n
}

// Guards against settings that some daemons miss when one fault occurs around a
// write, and against a platform that is left with another document than the daemons.
func TestSettingsConvergeUnderOneFault(t *testing.T) {
	cases := []struct {
		name    string
		inject  func(n *network) // runs before daemon 0 proposes "second"
		after   func(n *network) // runs 50 ms after that
		outcome rollout.Outcome
	}{
		{"none", nil, nil, rollout.Applied},
		{"platform down right after acceptance", func(n *network) { n.platform.downAfterWrite = true }, nil, rollout.Applied},
		{"watchers lost", func(n *network) {
			for _, id := range n.watchers() {
				if id != daemonID(0) {
					n.kill(id, true)
				}
			}
		}, nil, rollout.Applied},
		{"writer dies before it learns of the acceptance", func(n *network) { n.platform.killWriter = true }, nil, 0},
		{"writer dies and platform goes down after the watchers saw the write",
			func(n *network) { n.platform.killWriter = true },
			func(n *network) { n.platform.goDown(n) }, 0},
		{"reply lost", func(n *network) { n.platform.loseReply = true }, nil, rollout.Applied},
		{"daemon paused",
			func(n *network) { n.daemons[daemonID(4)].pausedUntil = n.now + 3000 },
			func(n *network) { n.advance(3000) }, rollout.Applied},
		{"region cut off from the other daemons", func(n *network) { n.partition(4) }, nil, rollout.Applied},
		{"region cut off from daemons and platform, healed", func(n *network) {
			n.partition(4)
			n.platform.unavailable = func(id fleet.ID) bool { return n.partitionSide[id] == 0 }
		}, func(n *network) {
			n.advance(10 * clock.Minute)
			n.partition(0)
			n.platform.unavailable = nil
		}, rollout.Applied},
		{"platform restored to the first document", nil, func(n *network) {
			n.advance(1000)
			n.platform.restore(n, rollout.NewDocument(1, "first", []byte("{}")), 1)
		}, rollout.Applied},
		{"platform restored without any document", nil, func(n *network) {
			n.advance(1000)
			n.platform.restore(n, rollout.Document{}, 0)
		}, rollout.Applied},
		{"messages lost", func(n *network) { n.lossProbability = 0.05 }, nil, rollout.Applied},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startSettledFleet(2)
			require.Empty(t, n.failures)
			if c.inject != nil {
				c.inject(n)
			}
			n.propose(0, 1, "second")
			n.advance(50)
			if c.after != nil {
				c.after(n)
			}
			n.advance(inForceTarget)
			n.checkSettings(2, "second")
			assert.Empty(t, n.failures)
			assert.Equal(t, c.outcome, n.outcome(0, "second"))
			if !n.platform.down {
				n.advance(40 * clock.Second)
				assert.Equal(t, "second", n.platform.document.ChangeID(), "the platform has the document in force")
			}
		})
	}
}

// partition separates the first count daemons from the others; zero heals the
// partition.
func (n *network) partition(count int) {
	for i, id := range n.ids {
		n.partitionSide[id] = 0
		if i < count {
			n.partitionSide[id] = 1
		}
	}
}

// Guards against a lost change when two operators change the same revision: exactly
// one change is applied, and the other operator learns of the conflict.
func TestConcurrentProposalsConflict(t *testing.T) {
	n := startSettledFleet(3)
	n.propose(1, 1, "left")
	n.propose(7, 1, "right")
	n.advance(inForceTarget)
	outcomes := []rollout.Outcome{n.outcome(1, "left"), n.outcome(7, "right")}
	assert.ElementsMatch(t, []rollout.Outcome{rollout.Applied, rollout.Conflict}, outcomes)
	n.checkSettings(2, n.platform.document.ChangeID())
	assert.Empty(t, n.failures)
}

// Guards against a writer that reports a conflict for its own accepted change: the
// reply is lost, and another change follows before the writer reads the key.
func TestLostReplyIsNotReportedAsConflict(t *testing.T) {
	n := startSettledFleet(4)
	n.platform.loseReply = true
	n.propose(1, 1, "lost")
	n.advance(20)
	n.propose(7, 2, "next")
	n.advance(inForceTarget)
	assert.Equal(t, rollout.Applied, n.outcome(1, "lost"))
	assert.Equal(t, rollout.Applied, n.outcome(7, "next"))
	n.checkSettings(3, "next")
	assert.Empty(t, n.failures)
}

// Guards against a change that comes into force without the platform, and against a
// daemon that cannot start without the platform although its peers have the
// document.
func TestProposeWhilePlatformDown(t *testing.T) {
	n := startSettledFleet(5)
	n.platform.goDown(n)
	n.propose(1, 1, "unwritten")
	n.advance(15 * clock.Second)
	assert.Contains(t, []rollout.Outcome{rollout.Unavailable, rollout.Unknown}, n.outcome(1, "unwritten"))
	n.checkSettings(1, "first")
	d := n.startDaemon(12, 3)
	n.perform(d, d.membership.Seed(n.now, []fleet.VM{fleet.NewVM(daemonID(2), "", "", "", false)}))
	n.advance(inForceTarget)
	n.checkSettings(1, "first")
	assert.Empty(t, n.failures, "a starting daemon gets the document from a peer")
}

// Guards against checks that cannot fail: each injected wrong decision must give a
// failure, and the same run without it must give none.
func TestChecksDetectFaultyDaemon(t *testing.T) {
	cases := []struct {
		name  string
		fault fault
		run   func(n *network)
	}{
		{"dead members are never dialled", neverReconnects, func(n *network) {
			n.partition(5)
			n.advance(2 * clock.Minute)
			n.partition(0)
			n.advance(clock.Minute)
			n.checkViews()
		}},
		{"reported settings versions are ignored", ignoresReportedSettings, func(n *network) {
			n.daemons[daemonID(4)].pausedUntil = n.now + 20*clock.Second
			n.propose(0, 1, "second")
			n.advance(20*clock.Second + inForceTarget)
			n.checkSettings(2, "second")
		}},
		{"any document is applied", appliesAnything, func(n *network) {
			n.propose(0, 1, "second")
			n.advance(inForceTarget)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			correct, faulty := startSettledFleet(6), startSettledFleet(6)
			faulty.fault = c.fault
			c.run(correct)
			c.run(faulty)
			assert.Empty(t, correct.failures)
			assert.NotEmpty(t, faulty.failures)
		})
	}
}

// Guards against settings that are late after one fault at any moment around a
// write. Once the platform has accepted the change, every running daemon has it in
// force within the target; for a paused daemon the time counts from the end of the
// pause.
func TestSettingsInForceWithinTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := startSettledFleet(rapid.Uint64().Draw(rt, "seed"))
		n.oneWayDelay = clock.Millis(rapid.IntRange(1, 40).Draw(rt, "delay"))
		writer, victim := rapid.IntRange(0, 11).Draw(rt, "writer"), rapid.IntRange(0, 11).Draw(rt, "victim")
		resumed := clock.Millis(0)
		faults := []func(){
			func() { n.kill(daemonID(victim), false) },
			func() { n.kill(daemonID(victim), true) },
			func() { resumed = n.now + 4000; n.daemons[daemonID(victim)].pausedUntil = resumed },
			func() { n.platform.goDown(n) },
			func() { n.platform.loseReply = true },
			func() { n.platform.killWriter = true },
			func() { n.lossProbability = 0.05 },
			func() { n.partition(victim) },
			func() { n.platform.downAfterWrite = true },
			func() { n.propose(victim, 1, "rival") },
		}
		fault := faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "fault")]
		n.schedule(clock.Millis(rapid.IntRange(1, 200).Draw(rt, "at")), fault)
		n.schedule(100, func() {
			if !n.down[daemonID(writer)] {
				n.propose(writer, 1, "second")
			}
		})
		for n.now < 60*clock.Second && n.platform.document.Revision() < 2 {
			n.advance(10)
		}
		if n.platform.document.Revision() < 2 {
			return // the platform did not accept the change
		}
		n.advance(max(n.platform.acceptedAt, resumed) + inForceTarget - n.now)
		n.checkSettings(2, n.platform.document.ChangeID())
		if len(n.failures) > 0 {
			rt.Fatalf("%d failures, first: %s", len(n.failures), n.failures[0])
		}
	})
}

// Guards against settings that revert during a random schedule of faults, and
// against views or settings of running daemons that still differ after the faults
// have ended.
func TestViewsAndSettingsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 14).Draw(rt, "size")
		n := startFleet(rapid.Uint64().Draw(rt, "seed"), size, 3, 12*clock.Second)
		n.oneWayDelay = clock.Millis(rapid.IntRange(1, 80).Draw(rt, "delay"))
		for step := range rapid.IntRange(1, 8).Draw(rt, "steps") {
			at := rapid.IntRange(0, size-1).Draw(rt, "daemon")
			id := daemonID(at)
			d := n.daemons[id]
			switch rapid.IntRange(0, 9).Draw(rt, "fault") {
			case 0:
				n.kill(id, rapid.Bool().Draw(rt, "silent"))
			case 1:
				d.pausedUntil = n.now + clock.Millis(rapid.IntRange(100, 20000).Draw(rt, "pause"))
			case 2:
				n.partition(at)
			case 3:
				n.partition(0)
			case 4:
				n.platform.goDown(n)
			case 5:
				n.platform.down = false
			case 6:
				n.platform.loseReply = true
			case 7:
				n.lossProbability = 0.1
			default:
				if !n.down[id] {
					n.propose(at, d.applied.Revision(), fmt.Sprintf("change-%d", step))
				}
			}
			n.advance(clock.Millis(rapid.IntRange(10, 15000).Draw(rt, "run")))
		}
		n.partition(0)
		n.lossProbability, n.platform.down, n.platform.loseReply = 0, false, false
		n.advance(90 * clock.Second)
		n.checkViews()
		n.checkSettings(n.platform.document.Revision(), n.platform.document.ChangeID())
		if len(n.failures) > 0 {
			rt.Fatalf("%d failures, first: %s", len(n.failures), n.failures[0])
		}
	})
}
