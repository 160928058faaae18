package query_test

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// checkInvariants compares the answer with what the fake upstreams saw.
func (w *harness) checkInvariants() {
	if len(w.answers) != 1 {
		w.reportViolation("finish", "%d answers", len(w.answers))
	}
	if len(w.answers) == 0 {
		return
	}
	answer := w.answers[0]
	if w.finished > w.deadline {
		w.reportViolation("deadline", "finished at %v", w.finished)
	}
	if w.picks != w.results {
		w.reportViolation("done", "%d picks, %d results", w.picks, w.results)
	}
	w.checkParts(answer)
	w.checkCoverage(answer)
	w.checkRunState(answer)
	w.checkExtraAttempts(answer)
}

// checkParts reads the data, in which each upstream states what it answered.
func (w *harness) checkParts(answer *query.Answer) {
	for _, part := range answer.Parts() {
		var version snapshot.Version
		var shard snapshot.Shard
		if _, err := fmt.Sscanf(string(part.Data()), "%d/%d", &version, &shard); err != nil {
			w.reportViolation("shard", "part %d is empty", part.Shard())
			continue
		}
		if version != answer.Version() {
			w.reportViolation("snapshot", "part of version %d in an answer of version %d", version, answer.Version())
		}
		if shard != part.Shard() {
			w.reportViolation("shard", "part of shard %d counted for shard %d", shard, part.Shard())
		}
	}
}

func (w *harness) checkCoverage(answer *query.Answer) {
	coverage := answer.Coverage()
	if !coverage.Known() {
		if len(answer.Parts()) > 0 {
			w.reportViolation("coverage", "parts without a map")
		}
		return
	}
	if coverage.Total() != w.shardCounts[answer.Version()] {
		w.reportViolation("coverage", "asked %d of %d shards", coverage.Total(), w.shardCounts[answer.Version()])
	}
	if len(answer.Parts()) != coverage.Covered() || coverage.Covered()+len(coverage.Missing()) != coverage.Total() {
		w.reportViolation("coverage", "%d parts, %d covered", len(answer.Parts()), coverage.Covered())
	}
	valid := make(map[snapshot.Shard]bool)
	for _, s := range w.attempts {
		if s.valid && s.action.Version() == answer.Version() {
			valid[s.action.Shard()] = true
		}
	}
	if len(valid) != coverage.Covered() {
		w.reportViolation("coverage", "%d shards answered, %d covered", len(valid), coverage.Covered())
	}
	for _, part := range answer.Parts() {
		if !valid[part.Shard()] {
			w.reportViolation("coverage", "shard %d is covered without a valid sub-answer", part.Shard())
		}
	}
}

func (w *harness) checkRunState(answer *query.Answer) {
	proven, mayHave, valid := true, false, false
	for _, s := range w.attempts {
		proven = proven && s.provenNotRun
		mayHave = mayHave || s.mayHaveRun
		valid = valid || s.valid
	}
	if answer.RunState() == query.NotRun && (mayHave || !proven) {
		w.reportViolation("ran", "not-run, but a sub-request may have run")
	}
	if answer.RunState() != query.NotRun && proven {
		w.reportViolation("ran", "%v, but every sub-request is proven not run", answer.RunState())
	}
	if (answer.RunState() == query.HasRun) != valid {
		w.reportViolation("ran", "%v, valid sub-answers: %v", answer.RunState(), valid)
	}
}

// checkExtraAttempts looks at what was sent beyond the first sub-requests.
func (w *harness) checkExtraAttempts(answer *query.Answer) {
	if answer.Sent() != len(w.attempts) {
		w.reportViolation("actions", "%d sent, answer says %d", len(w.attempts), answer.Sent())
	}
	runs := make(map[snapshot.Shard]int)
	versions := make(map[snapshot.Version]bool)
	retries := 0
	for i, s := range w.attempts {
		if s.mayHaveRun {
			runs[s.action.Shard()]++
			versions[s.action.Version()] = true
		}
		if !w.crashed || i < w.sentBeforeCrash {
			continue
		}
		if s.purpose == upstream.Hedge {
			w.reportViolation("suspect", "hedge after a crash")
		}
		if s.purpose == upstream.Retry {
			retries++
		}
	}
	if retries > 1 {
		w.reportViolation("suspect", "%d retries after a crash", retries)
	}
	if w.idempotent {
		return
	}
	for shard, n := range runs {
		if n > 1 {
			w.reportViolation("once", "shard %d may have run %d times", shard, n)
		}
	}
	if len(versions) > 1 {
		w.reportViolation("once", "may have run on %d versions", len(versions))
	}
}
