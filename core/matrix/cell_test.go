package matrix_test

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/clock"
)

// step is a column of the matrix, a point that a run of its scenario reaches.
type step struct {
	scenario string // "query", "settings" or "stop"
	name     string
	trigger  string // passed to world.reachStep
}

var steps = []step{
	{"query", "admission", "admission"},
	{"query", "snapshot choice", "snapshot choice"},
	{"query", "fan-out", "fan-out"},
	{"query", "waiting", "waiting"},
	{"query", "hedge", "hedge"},
	{"query", "merge", "merge"},
	{"query", "reply", "reply to the caller"},
	{"settings", "check", "check"},
	{"settings", "write", "write"},
	{"settings", "reply", "reply"},
	{"settings", "spread", "spread"},
	{"settings", "in force", "in force"},
	{"stop", "announce", "announce"},
	{"stop", "last advice", "last advice"},
	{"stop", "in flight", "in flight"},
	{"stop", "close", "close"},
}

// skipReason returns why the cell of f and s does not apply, or "" if it does.
func skipReason(f fault, s step) string {
	if f.name == "write applied, reply lost" && s.scenario == "settings" && (s.name == "spread" || s.name == "in force") {
		return "the reply has been given before this step"
	}
	return ""
}

// variant holds the parameters of one run of a cell.
type variant struct {
	seed          uint64
	wrongDecision string // deliberately wrong decision, or ""
	nonIdempotent bool   // the query under test is non-idempotent
	bystander     bool   // a pause hits another daemon than the one in focus
	focus         int    // number of the daemon of the query, the settings change or the stop
	trace         func(format string, args ...any)
}

// runCell runs a scenario, injects a fault when it reaches s, and returns the
// violations found.
func runCell(s step, v variant, inject func(w *world)) []string {
	w := runScenario(s, v, inject)
	violations := w.checkInvariants()
	if !w.reachedSteps[s.trigger] {
		violations = append(violations, "step not reached: "+s.name)
	}
	return append(violations, w.checkTraffic()...)
}

// runScenario runs the scenario of s and injects a fault when it reaches s.
func runScenario(s step, v variant, inject func(w *world)) *world {
	w := newWorld(v.seed+*seedOffset, v.wrongDecision)
	w.trace, w.focus, w.bystander = v.trace, w.daemons[v.focus], v.bystander
	w.triggers[s.trigger] = func() { inject(w) }
	w.schedule(500, func() { w.startScenario(s, v) })
	w.runFor(runLength)
	return w
}

// startScenario starts the query, settings change or planned stop at the daemon in
// focus.
func (w *world) startScenario(s step, v variant) {
	switch s.scenario {
	case "query":
		w.subjectID = "subject"
		r := request{
			id: "subject", sendNumber: 1, body: "subject", timeout: queryTimeout, nonIdempotent: v.nonIdempotent,
		}
		if s.name == "hedge" {
			r.slow, r.slowedCount = "shard", new(int)
		}
		w.sendRequest(&caller{centre: w.focus.centre, requestCount: 1}, w.focus, r)
	case "settings":
		w.proposeSettings(w.focus, "out b", "b")
		w.schedule(10*clock.Second, func() { w.proposeRestore() })
	case "stop":
		w.startPlannedStop()
	}
}

// proposeRestore proposes at daemon 1 to bring data centre b back, if the change
// that took it out was accepted.
func (w *world) proposeRestore() {
	if len(w.store.acceptedWrites) > 1 {
		w.proposeSettings(w.daemons[1], "in b", "")
	}
}

// startPlannedStop starts the planned stop of the daemon in focus while it runs a
// request that takes 9 s at each upstream.
func (w *world) startPlannedStop() {
	d := w.focus
	longRequest := request{
		id: "long", sendNumber: 1, body: "long", timeout: 12 * clock.Second, nonIdempotent: true, slow: "all",
	}
	w.sendRequest(&caller{centre: d.centre, requestCount: 1}, d, longRequest)
	w.schedule(100, func() {
		w.reachStep("announce")
		d.startDrain()
	})
	w.schedule(7600, func() {
		if d.up && d.drain.InFlight() > 0 {
			w.reachStep("in flight")
		}
	})
}

// checkTraffic returns a violation if too few requests are answered, since the
// invariants hold vacuously without answers.
func (w *world) checkTraffic() []string {
	afterWarmUp, duringWarmUp := 0, 0
	for _, k := range w.calls {
		if len(k.replies) == 0 || k.replies[0].kind != "answer" || len(k.replies[0].missing) > 0 {
			continue
		}
		if k.sentAt < warmUpEnd {
			duringWarmUp++
		} else {
			afterWarmUp++
		}
	}
	if afterWarmUp < 300 || duringWarmUp < 50 {
		return []string{fmt.Sprintf("too few complete answers: %d after the warm-up, %d during it",
			afterWarmUp, duringWarmUp)}
	}
	return nil
}

// cellVariants returns the runs of a cell. A query runs as idempotent at daemon 0,
// in the region of most upstreams, and as non-idempotent in the data centre that
// the fault affects. A hedge is tested only with an idempotent query.
func cellVariants(f fault, s step, seed uint64) []variant {
	affectedDaemon, ok := map[string]int{"data centre lost": 2, "data centre out": 2, "region cut off": 3}[f.name]
	switch {
	case s.name == "hedge":
		return []variant{{seed: seed}}
	case s.scenario == "query" && !ok:
		return []variant{{seed: seed}, {seed: seed, nonIdempotent: true}}
	case s.scenario == "query":
		return []variant{{seed: seed}, {seed: seed, nonIdempotent: true, focus: affectedDaemon}}
	case s.scenario == "stop" && f.name == "region cut off":
		return []variant{{seed: seed, focus: 3}}
	case f.name == "holder paused and unaware" && s.scenario == "stop":
		return []variant{{seed: seed, focus: 1}, {seed: seed, focus: 1, bystander: true}}
	case f.name == "holder paused and unaware" && s.scenario == "settings":
		return []variant{{seed: seed}, {seed: seed, bystander: true}}
	case s.scenario == "stop":
		return []variant{{seed: seed, focus: 1}}
	default:
		return []variant{{seed: seed, focus: affectedDaemon}}
	}
}
