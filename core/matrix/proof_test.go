package matrix_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// allHoldersRestart leaves half of the shards without a replica for a while.
var allHoldersRestart = fault{"every holder restarts", func(w *world) {
	for _, i := range []int{0, 2, 4, 6} {
		w.crashUpstream(w.upstreams[i], 2*clock.Second)
	}
}}

// Guards against checkers that cannot fail: each broken decision, which wraps
// the real state machine of a daemon, must be noticed under the invariant that
// it breaks, and the same run with the right decision must hold.
func TestCheckersDetectWrongDecisions(t *testing.T) {
	cases := []struct {
		id, broken, fault, step string
		focus                   int
	}{
		{"I1", "version", "late and misleading reports", "fan-out", 0},
		{"I2", "empty", "late and misleading reports", "fan-out", 0},
		{"I2", "claims all", "every holder restarts", "fan-out", 0},
		{"I3", "cold share", "VM replaced", "waiting", 2},
		{"I3", "cold share", "cold start without warning", "waiting", 0},
		{"I4", "out", "data centre out", "fan-out", 0},
		{"I5", "other request", "straggler", "merge", 0},
		{"I5", "twice", "straggler", "merge", 0},
		{"I5", "no reply", "straggler", "merge", 0},
		{"I6", "not run", "late and misleading reports", "fan-out", 0},
		{"I7", "ticket", "straggler", "reply", 0},
		{"I7", "resend", "cold start without warning", "waiting", 0},
		{"I8", "leaving", "VM replaced", "waiting", 0},
		{"I9", "close", "straggler", "announce", 1},
		{"I9", "stale advice", "holder paused and unaware", "announce", 1},
		{"I10", "revert", "straggler", "check", 0},
		{"I10", "never in force", "straggler", "check", 0},
	}
	for _, c := range cases {
		t.Run(c.id+" "+c.broken+" "+c.fault, func(t *testing.T) {
			t.Parallel()
			f := allHoldersRestart
			if i := slices.IndexFunc(faults, func(f fault) bool { return f.name == c.fault }); i >= 0 {
				f = faults[i]
			}
			s := steps[slices.IndexFunc(steps, func(s step) bool { return s.name == c.step })]
			v := variant{seed: 77, focus: c.focus, bystander: c.broken == "stale advice", trace: tracer(t)}
			assert.Empty(t, runCell(s, v, f.inject), "the right decision")
			v.wrongDecision = c.broken
			failures := runCell(s, v, f.inject)
			noticed := slices.ContainsFunc(failures, func(f string) bool { return strings.HasPrefix(f, c.id+":") })
			assert.True(t, noticed, "the broken decision gives %v", failures[:min(3, len(failures))])
		})
	}
}

// Guards against verdicts that differ between runs: the same seed gives the
// same log at the upstreams, whatever the order of map iterations.
func TestSameSeedGivesSameRun(t *testing.T) {
	for n, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			v := variant{seed: uint64(500 + n), focus: n % 4}
			s := steps[n%len(steps)]
			first, second := runScenario(s, v, f.inject), runScenario(s, v, f.inject)
			assert.Equal(t, len(first.executions), len(second.executions))
			for i := range min(len(first.executions), len(second.executions)) {
				if *first.executions[i] != *second.executions[i] {
					t.Fatalf("run %d differs: %+v, %+v", i, *first.executions[i], *second.executions[i])
				}
			}
		})
	}
}

// Guards against rows that hold because their fault does nothing: each fault
// must change what the upstreams logged or how writes of settings ended.
func TestFaultsTakeEffect(t *testing.T) {
	s := steps[slices.IndexFunc(steps, func(s step) bool { return s.name == "check" })]
	seen := func(inject func(w *world)) string {
		w := runScenario(s, variant{seed: 900}, inject)
		var text strings.Builder
		fmt.Fprint(&text, w.store.settledProposals, w.store.acceptedWrites)
		for _, r := range w.executions {
			fmt.Fprint(&text, *r)
		}
		return text.String()
	}
	calm := seen(func(*world) {})
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			assert.True(t, seen(f.inject) != calm)
		})
	}
}
