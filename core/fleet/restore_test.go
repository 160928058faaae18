package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// platformCopy is an older state of the platform.
type platformCopy struct {
	document rollout.Document
	token    uint64
}

func (p *platform) copy() platformCopy { return platformCopy{document: p.document, token: p.token} }

// checkAppliedChanges records a failure for each change that was reported as applied and
// that is not in force.
func (n *network) checkAppliedChanges() {
	for _, id := range n.ids {
		for _, a := range n.daemons[id].settledActions {
			if a.Outcome() == rollout.Applied && !n.platform.document.IncludesChange(a.ChangeID()) {
				n.recordFailure("%s reported change %q as applied, lost in revision %d, change %q",
					id, a.ChangeID(), n.platform.document.Revision(), n.platform.document.ChangeID())
			}
		}
	}
}

// Guards against settings that go back, differ or are lost after the platform was restored
// from older copies, with changes before and after each return.
func TestSettingsSurviveRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 9).Draw(rt, "size")
		n := startFleet(rapid.Uint64().Draw(rt, "seed"), size, 3, 12*clock.Second)
		var vms []fleet.VM
		for _, id := range n.ids {
			vms = append(vms, fleet.NewVM(id, "", "", "", false))
		}
		n.oneWayDelay = clock.Millis(rapid.IntRange(1, 40).Draw(rt, "delay"))
		n.platform.maxDelay = clock.Millis(rapid.IntRange(0, 1400).Draw(rt, "platform delay"))
		restarted := false
		copies := []platformCopy{n.platform.copy()}
		for step := range rapid.IntRange(2, 14).Draw(rt, "steps") {
			at := rapid.IntRange(0, size-1).Draw(rt, "daemon")
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0:
				copies = append(copies, n.platform.copy())
			case 1:
				n.platform.goDown(n)
				n.advance(clock.Millis(rapid.IntRange(500, 2000).Draw(rt, "away")))
				back := copies[rapid.IntRange(0, len(copies)-1).Draw(rt, "copy")]
				n.platform.restore(n, back.document, back.token)
			case 2:
				n.platform.cutWatches()
			case 3:
				restarted = true
				n.kill(daemonID(at), rapid.Bool().Draw(rt, "silent"))
				n.perform(n.startDaemon(at, 3), n.daemons[daemonID(at)].membership.Seed(n.now, vms))
			default:
				n.propose(at, n.daemons[daemonID(at)].applied.Revision(), fmt.Sprintf("change-%d", step))
			}
			n.advance(clock.Millis(rapid.IntRange(1, 3000).Draw(rt, "run")))
		}
		n.advance(45 * clock.Second)
		n.checkSettings(n.platform.document.Revision(), n.platform.document.ChangeID())
		// The platform and the only daemon that knew a change may both have lost it.
		if !restarted {
			n.checkAppliedChanges()
		}
		if len(n.failures) > 0 {
			rt.Fatalf("%d failures, first: %s", len(n.failures), n.failures[0])
		}
	})
}

// Guards against watchers that leave the platform without the settings in force after it was
// restored from an older copy, or that all write them at the same time.
func TestRestoredPlatformIsWrittenOnce(t *testing.T) {
	cases := []struct {
		name   string
		away   clock.Millis
		silent bool // the connections of the watches are cut silently
		limit  clock.Millis
	}{
		{"at once", 0, false, clock.Second},
		{"away for a moment", 1500, false, inForceTarget},
		{"connections cut silently", 1500, true, rollout.WatchTimeout + inForceTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startSettledFleet(2)
			back := n.platform.copy()
			for revision, change := range []string{"second", "third"} {
				n.propose(0, uint64(revision+1), change)
				n.advance(clock.Second)
			}
			if c.silent {
				n.platform.cutWatches()
			}
			if c.away > 0 {
				n.platform.goDown(n)
				n.advance(c.away)
			}
			n.platform.restore(n, back.document, back.token)
			returned := n.now
			n.platform.writeCalls = nil
			for n.platform.document.Revision() < 3 && n.now < returned+c.limit {
				n.advance(10)
			}
			written := n.now
			require.Equal(t, uint64(3), n.platform.document.Revision())
			n.advance(40 * clock.Second)
			assert.Equal(t, "third", n.platform.document.ChangeID())
			assert.Equal(t, back.token+1, n.platform.token, "one write is accepted")
			calls := n.platform.writeCalls
			assert.LessOrEqual(t, len(calls), len(n.watchers()), "no more writes than watchers")
			assert.Greater(t, calls[len(calls)-1]-calls[0], 100*clock.Millisecond, "the writes are spread")
			n.checkSettings(3, "third")
			assert.Empty(t, n.failures)
			t.Logf("written after %.0f ms; %d writes over %.0f ms", float64(written-returned),
				len(calls), float64(calls[len(calls)-1]-calls[0]))
		})
	}
}

// Guards against a change that is late or lost because a write after the return is given the
// token after which all watchers still wait, their connections having been cut silently.
func TestChangeAtReusedTokenComesIntoForce(t *testing.T) {
	n := startSettledFleet(2)
	back := n.platform.copy()
	for revision, change := range []string{"second", "third"} {
		n.propose(0, uint64(revision+1), change)
		n.advance(clock.Second)
	}
	awaited := n.platform.token
	n.platform.cutWatches()
	n.platform.goDown(n)
	n.advance(1500)
	n.platform.restore(n, back.document, back.token)
	for revision, change := range []string{"fourth", "fifth"} {
		n.propose(7, uint64(revision+3), change)
		n.advance(500)
	}
	require.Equal(t, awaited, n.platform.token)
	n.advance(n.platform.acceptedAt + inForceTarget - n.now)
	n.checkSettings(5, "fifth")
	n.advance(40 * clock.Second)
	n.checkSettings(5, "fifth")
	n.checkAppliedChanges()
	assert.Empty(t, n.failures)
	assert.Equal(t, rollout.Applied, n.outcome(7, "fifth"))
	assert.Equal(t, "fifth", n.platform.document.ChangeID())
}
