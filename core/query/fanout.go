package query

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	// tailQuantile is the latency above which tail-first calls a missing
	// shard late.
	tailQuantile = 0.99

	// attemptTimeoutFactor times the tail latency is the time after which a silent
	// attempt is given up. Stragglers are left to hedges, which come earlier;
	// three times the tail is rarely reached by anything but a dead connection.
	attemptTimeoutFactor = 3

	// minAttemptTimeout keeps a short pause of an upstream that answers within few
	// milliseconds from being taken for a dead connection.
	minAttemptTimeout = 50 * clock.Millisecond

	// maxRestarts bounds the load of queries that meet one vanishing version
	// after another.
	maxRestarts = 3
)

// newDelays derives the delays from the service's latency.
func (q *Query) newDelays(now clock.Millis) delays {
	left := q.request.deadline - now
	l := delays{attemptTimeout: left / 2}
	if tail, ok := q.dependencies.latencyQuantile(tailQuantile); ok {
		l.tail = tail
		l.attemptTimeout = min(max(attemptTimeoutFactor*tail, minAttemptTimeout), left/2)
	}
	if q.policy.HedgesEnabled() && q.dependencies.HedgeBudget != nil {
		l.firstHedge, _ = q.dependencies.latencyQuantile(q.policy.firstHedgeQuantile())
		l.secondHedge, _ = q.dependencies.latencyQuantile(secondHedgeQuantile)
	}
	return l
}

// pinVersion makes the map's version the only one whose sub-answers count.
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
		// Room for the first fan-out and the usual few hedges and retries.
		q.attempts = make([]attemptState, 0, n+n/8+1)
	}
}

// fanOut asks for every shard, or for one in canary mode.
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

// startNextShard begins the next shard and reports whether there was one.
func (q *Query) startNextShard(now clock.Millis) bool {
	if int(q.nextShard) >= len(q.shards) {
		return false
	}
	shard := q.nextShard
	q.nextShard++
	q.startShard(now, shard)
	return true
}

// recordCrash records that a connection was lost with the request in flight.
func (q *Query) recordCrash(now clock.Millis, choice upstream.Choice) {
	if q.dependencies.Quarantine == nil {
		return
	}
	q.markSuspect(now)
	q.quarantined = q.dependencies.Quarantine.Crash(now, q.fingerprint, choice.Upstream(), choice.Began()) || q.quarantined
}

// confirmCrash reports a suspect of which nothing completed and nothing runs any
// more.
func (q *Query) confirmCrash(now clock.Millis) {
	if q.dependencies.Quarantine == nil || !q.suspect || q.answerState().coverage.Covered() > 0 {
		return
	}
	running := func(a attemptState) bool { return !a.ended }
	if !slices.ContainsFunc(q.attempts, running) {
		q.dependencies.Quarantine.Confirm(now, q.fingerprint)
	}
}

// markSuspect applies the limit of a suspect also to retries that were
// granted before and still wait for a replica.
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
			q.abandonShard(now, snapshot.Shard(shard), "suspected of crashing upstreams")
		}
		q.suspectRetryUsed = true
	}
}

// endCanary ends canary mode: an upstream has run the request to its end.
func (q *Query) endCanary(now clock.Millis) {
	if !q.canary || q.suspect {
		return
	}
	q.canary = false
	q.recordStep(now, 0, "", EventCanary, "an upstream survived the request")
	q.fanOut(now)
}

// continueCanary goes on in canary mode after a shard that did not tell whether
// upstreams survive. It returns false if there is nothing left to do.
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

// restart moves the whole query to another version. It returns false if the
// answer stays on the pinned one.
func (q *Query) restart(now clock.Millis) bool {
	if !q.mayRestart(now) {
		return false
	}
	shardMap, ok := q.dependencies.Catalogue.Choose(append(q.previousVersions, q.shardMap.Version())...)
	if !ok || !shardMap.Known() || !q.improvesCoverage(shardMap) {
		q.needsRestart = false
		return false
	}
	q.abortAll(now, "the version is gone")
	q.previousVersions = append(q.previousVersions, q.shardMap.Version())
	if q.coverage.Fraction() > q.fallback.coverage.Fraction() {
		q.fallback = q.versionState
	}
	q.recordStep(now, 0, "", EventRestart, "replicas no longer have the version")
	q.counters.restarts++
	q.pinVersion(now, shardMap)
	q.fanOut(now)
	return true
}

// mayRestart applies the rules that do not depend on the other version. Work
// that must not run twice restarts only once nothing can have run.
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

// hasTimeToRestart reports whether a new fan-out is likely to end before the deadline.
func (q *Query) hasTimeToRestart(now clock.Millis) bool {
	usual, _ := q.dependencies.latencyQuantile(DefaultHedgeQuantile)
	return now+usual < q.request.deadline
}

// improvesCoverage reports whether the other version promises more coverage than is
// still within reach on the pinned one.
func (q *Query) improvesCoverage(other snapshot.ShardMap) bool {
	reachable := 0
	for i := range q.shards {
		if q.shards[i].phase != abandoned {
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
