package matrix_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// allHoldersRestart leaves half of the shards without a replica for 2 s, so that
// answers are incomplete.
var allHoldersRestart = fault{"every holder restarts", func(w *world) {
	for _, i := range []int{0, 2, 4, 6} {
		w.crashUpstream(w.upstreams[i], 2*clock.Second)
	}
}}

// TestCheckersDetectWrongDecisions guards against checks that cannot fail. Each wrong
// decision, made around the real state machine of a daemon, must be reported under
// the invariant that it violates; the same run without it must hold.
func TestCheckersDetectWrongDecisions(t *testing.T) {
	cases := []struct {
		invariant, wrongDecision, fault, step string
		focus                                 int
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
		t.Run(c.invariant+" "+c.wrongDecision+" "+c.fault, func(t *testing.T) {
			t.Parallel()
			f := allHoldersRestart
			if i := slices.IndexFunc(faults, func(f fault) bool { return f.name == c.fault }); i >= 0 {
				f = faults[i]
			}
			s := steps[slices.IndexFunc(steps, func(s step) bool { return s.name == c.step })]
			v := variant{seed: 77, focus: c.focus, bystander: c.wrongDecision == "stale advice", trace: tracer(t)}
			assert.Empty(t, runCell(s, v, f.inject), "violations without the wrong decision")
			v.wrongDecision = c.wrongDecision
			violations := runCell(s, v, f.inject)
			detected := slices.ContainsFunc(violations, func(failure string) bool {
				return strings.HasPrefix(failure, c.invariant+":")
			})
			assert.True(t, detected, "violations with the wrong decision: %v", violations[:min(3, len(violations))])
		})
	}
}

// TestSameSeedGivesSameRun guards against runs that cannot be repeated: something other
// than the seed, such as the order of a map iteration, changes what upstreams log.
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
					t.Fatalf("execution %d differs: %+v, %+v", i, *first.executions[i], *second.executions[i])
				}
			}
		})
	}
}

// TestFaultsTakeEffect guards against rows that hold because their fault does nothing.
// Each fault must change what upstreams log or how proposals of settings end.
func TestFaultsTakeEffect(t *testing.T) {
	s := steps[slices.IndexFunc(steps, func(s step) bool { return s.name == "check" })]
	observed := func(inject func(w *world)) string {
		w := runScenario(s, variant{seed: 900}, inject)
		var text strings.Builder
		fmt.Fprint(&text, w.store.settledProposals, w.store.acceptedWrites)
		for _, r := range w.executions {
			fmt.Fprint(&text, *r)
		}
		return text.String()
	}
	withoutFault := observed(func(*world) {})
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			assert.True(t, observed(f.inject) != withoutFault)
		})
	}
}
