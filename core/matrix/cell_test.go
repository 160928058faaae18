package matrix_test

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/clock"
)

// step is a column of the matrix: the run of kind reaches it once.
type step struct {
	scenario string // query, settings or stop
	name     string
	trigger  string
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

// skipReason gives the reason why a cell does not apply.
func skipReason(f fault, s step) string {
	if f.name == "write applied, reply lost" && s.scenario == "settings" && (s.name == "spread" || s.name == "in force") {
		return "the reply has been given before this step"
	}
	return ""
}

// variant is one run of a cell.
type variant struct {
	seed          uint64
	wrongDecision string
	nonIdempotent bool // the subject of a query column is not idempotent
	bystander     bool // the fault hits another daemon
	focus         int  // the daemon of the query, the change or the stop
	trace         func(format string, args ...any)
}

// runCell runs one step with a fault when it is reached, and returns violations.
func runCell(s step, v variant, inject func(w *world)) []string {
	w := runScenario(s, v, inject)
	failures := w.checkInvariants()
	if !w.reachedSteps[s.trigger] {
		failures = append(failures, "step not reached: "+s.name)
	}
	return append(failures, w.checkTraffic()...)
}

// runScenario runs one step with a fault when it is reached.
func runScenario(s step, v variant, inject func(w *world)) *world {
	w := newWorld(v.seed+*seedOffset, v.wrongDecision)
	w.trace, w.focus, w.bystander = v.trace, w.daemons[v.focus], v.bystander
	w.triggers[s.trigger] = func() { inject(w) }
	w.schedule(500, func() { w.startScenario(s, v) })
	w.runFor(runLength)
	return w
}

// startScenario starts what the column is about.
func (w *world) startScenario(s step, v variant) {
	switch s.scenario {
	case "query":
		w.subjectID = "subject"
		r := request{id: "subject", sendNumber: 1, body: "subject", timeout: queryTimeout, nonIdempotent: v.nonIdempotent}
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

// proposeRestore brings data centre b back, as the operator at daemon 1 does.
func (w *world) proposeRestore() {
	if len(w.store.acceptedWrites) > 1 {
		w.proposeSettings(w.daemons[1], "in b", "")
	}
}

// startPlannedStop stops the daemon as planned while it runs a long request.
func (w *world) startPlannedStop() {
	d := w.focus
	long := request{id: "long", sendNumber: 1, body: "long", timeout: 12 * clock.Second, nonIdempotent: true, slow: "all"}
	w.sendRequest(&caller{centre: d.centre, requestCount: 1}, d, long)
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

// checkTraffic guards against a run in which nothing is answered.
func (w *world) checkTraffic() []string {
	complete, before := 0, 0
	for _, k := range w.calls {
		if len(k.replies) == 0 || k.replies[0].kind != "answer" || len(k.replies[0].missing) > 0 {
			continue
		}
		if k.sentAt < warmUpEnd {
			before++
		} else {
			complete++
		}
	}
	if complete < 300 || before < 50 {
		return []string{fmt.Sprintf("only %d complete answers, %d before the fault", complete, before)}
	}
	return nil
}

// cellVariants returns the runs of a cell. A query runs once as idempotent in the
// region of most upstreams, and once as non-idempotent where the fault hits.
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
