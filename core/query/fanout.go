package query

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	// tailQuantile is the quantile of the attempt latency after which TailFirst
	// treats a missing shard as late.
	tailQuantile = 0.99

	// attemptTimeoutFactor is the multiple of the latency at tailQuantile after
	// which an attempt times out. Stragglers are hedged earlier; three times the
	// tail latency is rarely exceeded other than by a dead connection.
	attemptTimeoutFactor = 3

	// minAttemptTimeout is the shortest attempt timeout. It prevents a short pause
	// of an upstream that usually answers within a few milliseconds from being
	// treated as a dead connection.
	minAttemptTimeout = 50 * clock.Millisecond

	// maxRestarts is the most restarts of one query. It limits the load when one
	// version after another is retired.
	maxRestarts = 3
)

// newDelays derives the delays from the service's latency. The attempt timeout is
// at most half of the time left until the deadline.
func (q *Query) newDelays(now clock.Millis) delays {
	left := q.request.deadline - now
	d := delays{attemptTimeout: left / 2}
	if tail, ok := q.dependencies.latencyQuantile(tailQuantile); ok {
		d.tail = tail
		d.attemptTimeout = min(max(attemptTimeoutFactor*tail, minAttemptTimeout), left/2)
	}
	if q.policy.HedgesEnabled() && q.dependencies.HedgeBudget != nil {
		d.firstHedge, _ = q.dependencies.latencyQuantile(q.policy.firstHedgeQuantile())
		d.secondHedge, _ = q.dependencies.latencyQuantile(secondHedgeQuantile)
	}
	return d
}

// pinVersion resets the fan-out to the version of shardMap, the only one whose
// responses count from now on.
func (q *Query) pinVersion(now clock.Millis, shardMap snapshot.ShardMap) {
	n := shardMap.ShardCount()
	q.versionState = versionState{
		shardMap: shardMap,
		coverage: snapshot.NewCoverage(shardMap),
		parts:    make([][]byte, n),
		shards:   make([]shardState, n),
	}
	q.needsRestart = false
	q.delays = q.newDelays(now)
	if q.attempts == nil {
		// Capacity for one attempt per shard, and an eighth more for hedges and retries.
		q.attempts = make([]attemptState, 0, n+n/8+1)
	}
}

// fanOut starts all remaining shards, or the next one in canary mode.
func (q *Query) fanOut(now clock.Millis) {
	if q.canary {
		q.startNextShard(now)
		return
	}
	q.fanOutAt = now
	if q.actions == nil {
		q.actions = make([]Action, 0, len(q.shards)-int(q.nextShard)+1)
	}
	for q.startNextShard(now) {
	}
}

// startNextShard starts the next shard and reports whether there was one.
func (q *Query) startNextShard(now clock.Millis) bool {
	if int(q.nextShard) >= len(q.shards) {
		return false
	}
	shard := q.nextShard
	q.nextShard++
	q.startShard(now, shard)
	return true
}

// recordCrash reports to the quarantine that a connection was lost with the
// request in flight.
func (q *Query) recordCrash(now clock.Millis, choice upstream.Choice) {
	if q.dependencies.Quarantine == nil {
		return
	}
	q.markSuspect(now)
	q.quarantined = q.dependencies.Quarantine.RecordCrash(now, q.fingerprint, choice.Upstream(), choice.PickedAt()) || q.quarantined
}

// confirmCrash asks the quarantine to block a suspect if no attempt is running and
// no shard is covered.
func (q *Query) confirmCrash(now clock.Millis) {
	if q.dependencies.Quarantine == nil || !q.suspect || q.answerState().coverage.Covered() > 0 {
		return
	}
	running := func(a attemptState) bool { return !a.ended }
	if !slices.ContainsFunc(q.attempts, running) {
		q.dependencies.Quarantine.BlockIfConfirmed(now, q.fingerprint)
	}
}

// markSuspect marks the request as suspected of crashing upstreams. The limit of
// one retry also applies to retries that were granted before and still wait for
// a replica.
func (q *Query) markSuspect(now clock.Millis) {
	if q.suspect {
		return
	}
	q.suspect = true
	for shard := range q.shards {
		s := &q.shards[shard]
		if s.phase != waiting || s.purpose != upstream.Retry {
			continue
		}
		if q.suspectRetryUsed {
			q.failShard(now, snapshot.Shard(shard), "request is suspected of crashing upstreams")
		}
		q.suspectRetryUsed = true
	}
}

// endCanary ends canary mode, because an upstream has completed the request, and
// fans out. It has no effect on a suspect.
func (q *Query) endCanary(now clock.Millis) {
	if !q.canary || q.suspect {
		return
	}
	q.canary = false
	q.recordStep(now, 0, "", EventCanary, "an upstream completed the request without crashing")
	q.fanOut(now)
}

// continueCanary fans out if a shard is covered, else starts the next shard,
// since the last one did not show whether the request crashes upstreams. It
// returns false if the query is not in canary mode or nothing is left to start.
func (q *Query) continueCanary(now clock.Millis) bool {
	if !q.canary {
		return false
	}
	if q.coverage.Covered() > 0 {
		q.canary = false
		q.fanOut(now)
		return true
	}
	return !q.suspect && q.startNextShard(now)
}

// restart aborts the fan-out and repeats it on another version. It returns false
// if the query stays on the pinned version.
func (q *Query) restart(now clock.Millis) bool {
	if !q.mayRestart(now) {
		return false
	}
	shardMap, ok := q.dependencies.Catalogue.Choose(append(q.previousVersions, q.shardMap.Version())...)
	if !ok || !shardMap.Known() || !q.improvesCoverage(shardMap) {
		q.needsRestart = false
		return false
	}
	q.abortAll(now, "snapshot version has been retired")
	q.previousVersions = append(q.previousVersions, q.shardMap.Version())
	if q.coverage.Fraction() > q.fallback.coverage.Fraction() {
		q.fallback = q.versionState
	}
	q.recordStep(now, 0, "", EventRestart, "replicas no longer hold the snapshot version")
	q.counters.restarts++
	q.pinVersion(now, shardMap)
	q.fanOut(now)
	return true
}

// mayRestart applies the conditions that do not depend on the other version. A
// request that is not idempotent restarts only if no attempt can have run; it
// keeps needsRestart, since running attempts may still prove that they did not run.
func (q *Query) mayRestart(now clock.Millis) bool {
	if q.request.nonIdempotent {
		return q.mayHaveRun == 0 && q.hasTimeToRestart(now) && q.counters.restarts < maxRestarts
	}
	if q.suspect || !q.hasTimeToRestart(now) || q.counters.restarts >= maxRestarts {
		q.needsRestart = false
		return false
	}
	return true
}

// hasTimeToRestart reports whether a new fan-out is likely to end before the
// deadline.
func (q *Query) hasTimeToRestart(now clock.Millis) bool {
	expected, _ := q.dependencies.latencyQuantile(DefaultHedgeQuantile)
	return now+expected < q.request.deadline
}

// improvesCoverage reports whether a larger fraction of the shards has a holder in
// the other version than has not failed in the pinned one. The fractions are
// cross-multiplied to stay in integers.
func (q *Query) improvesCoverage(other snapshot.ShardMap) bool {
	reachable := 0
	for i := range q.shards {
		if q.shards[i].phase != failed {
			reachable++
		}
	}
	held := 0
	for shard := range other.Shards() {
		if len(q.dependencies.Catalogue.Holders(other.Version(), shard)) > 0 {
			held++
		}
	}
	return held*len(q.shards) > reachable*other.ShardCount()
}
