package query_test

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// checkInvariants compares the answer with what the fake upstreams recorded.
func (h *harness) checkInvariants() {
	if len(h.answers) != 1 {
		h.reportViolation("finish", "%d answers", len(h.answers))
	}
	if len(h.answers) == 0 {
		return
	}
	answer := h.answers[0]
	if h.finished > h.deadline {
		h.reportViolation("deadline", "finished at %v", h.finished)
	}
	if h.picks != h.results {
		h.reportViolation("done", "%d picks, %d results", h.picks, h.results)
	}
	h.checkParts(answer)
	h.checkCoverage(answer)
	h.checkRunState(answer)
	h.checkExtraAttempts(answer)
}

// checkParts compares each part with the version and shard that the fake upstream
// wrote into the response.
func (h *harness) checkParts(answer *query.Answer) {
	for _, part := range answer.Parts() {
		var version snapshot.Version
		var shard snapshot.Shard
		if _, err := fmt.Sscanf(string(part.Data()), "%d/%d", &version, &shard); err != nil {
			h.reportViolation("shard", "part %d is empty", part.Shard())
			continue
		}
		if version != answer.Version() {
			h.reportViolation("snapshot", "part of version %d in an answer of version %d", version, answer.Version())
		}
		if shard != part.Shard() {
			h.reportViolation("shard", "part of shard %d counted for shard %d", shard, part.Shard())
		}
	}
}

// checkCoverage checks that exactly the shards with a valid response are covered.
func (h *harness) checkCoverage(answer *query.Answer) {
	coverage := answer.Coverage()
	if !coverage.Known() {
		if len(answer.Parts()) > 0 {
			h.reportViolation("coverage", "answer has parts but no shard map")
		}
		return
	}
	if coverage.Total() != h.shardCounts[answer.Version()] {
		h.reportViolation("coverage", "coverage counts %d shards, version has %d", coverage.Total(), h.shardCounts[answer.Version()])
	}
	if len(answer.Parts()) != coverage.Covered() || coverage.Covered()+len(coverage.Missing()) != coverage.Total() {
		h.reportViolation("coverage", "%d parts, %d shards covered", len(answer.Parts()), coverage.Covered())
	}
	valid := make(map[snapshot.Shard]bool)
	for _, a := range h.attempts {
		if a.valid && a.action.Version() == answer.Version() {
			valid[a.action.Shard()] = true
		}
	}
	if len(valid) != coverage.Covered() {
		h.reportViolation("coverage", "%d shards answered, %d covered", len(valid), coverage.Covered())
	}
	for _, part := range answer.Parts() {
		if !valid[part.Shard()] {
			h.reportViolation("coverage", "shard %d is covered without a valid response", part.Shard())
		}
	}
}

// checkRunState checks that the run state is NotRun only if no attempt can have
// run, and HasRun only if a valid response was reported.
func (h *harness) checkRunState(answer *query.Answer) {
	provenNotRun, mayHaveRun, valid := true, false, false
	for _, a := range h.attempts {
		provenNotRun = provenNotRun && a.provenNotRun
		mayHaveRun = mayHaveRun || a.mayHaveRun
		valid = valid || a.valid
	}
	if answer.RunState() == query.NotRun && (mayHaveRun || !provenNotRun) {
		h.reportViolation("ran", "not-run, but an attempt may have run")
	}
	if answer.RunState() != query.NotRun && provenNotRun {
		h.reportViolation("ran", "%v, but every attempt is proven not to have run", answer.RunState())
	}
	if (answer.RunState() == query.HasRun) != valid {
		h.reportViolation("ran", "%v, but any valid response: %v", answer.RunState(), valid)
	}
}

// checkExtraAttempts checks the limits on attempts of suspects and of requests that
// are not idempotent.
func (h *harness) checkExtraAttempts(answer *query.Answer) {
	if answer.Sent() != len(h.attempts) {
		h.reportViolation("actions", "%d attempts sent, answer counts %d", len(h.attempts), answer.Sent())
	}
	runs := make(map[snapshot.Shard]int)
	versions := make(map[snapshot.Version]bool)
	retries := 0
	for i, a := range h.attempts {
		if a.mayHaveRun {
			runs[a.action.Shard()]++
			versions[a.action.Version()] = true
		}
		if !h.crashed || i < h.sentBeforeCrash {
			continue
		}
		if a.purpose == upstream.Hedge {
			h.reportViolation("suspect", "hedge after a crash")
		}
		if a.purpose == upstream.Retry {
			retries++
		}
	}
	if retries > 1 {
		h.reportViolation("suspect", "%d retries after a crash", retries)
	}
	if h.idempotent {
		return
	}
	for shard, n := range runs {
		if n > 1 {
			h.reportViolation("once", "shard %d may have run %d times", shard, n)
		}
	}
	if len(versions) > 1 {
		h.reportViolation("once", "may have run on %d versions", len(versions))
	}
}
