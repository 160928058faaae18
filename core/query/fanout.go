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

	// timeoutFactor times the tail latency is the time after which a silent
	// attempt is given up. Stragglers are left to hedges, which come earlier;
	// three times the tail is rarely reached by anything but a dead connection.
	timeoutFactor = 3

	// minTimeout keeps a short pause of an upstream that answers within few
	// milliseconds from being taken for a dead connection.
	minTimeout = 50 * clock.Millisecond

	// maxRestarts bounds the load of queries that meet one vanishing version
	// after another.
	maxRestarts = 3
)

// measure derives the delays from the service's latency.
func (q *Query) measure(now clock.Millis) limits {
	left := q.request.deadline - now
	l := limits{timeout: left / 2}
	if tail, ok := q.resources.quantile(tailQuantile); ok {
		l.tail = tail
		l.timeout = min(max(timeoutFactor*tail, minTimeout), left/2)
	}
	if q.policy.Hedges() && q.resources.Hedges != nil {
		l.hedge, _ = q.resources.quantile(q.policy.firstHedgeQuantile())
		l.rehedge, _ = q.resources.quantile(secondHedgeQuantile)
	}
	return l
}

// pin makes the map's version the only one whose sub-answers count.
func (q *Query) pin(now clock.Millis, shardMap snapshot.Map) {
	n := shardMap.Shards()
	q.pinned = pinned{
		shardMap: shardMap,
		coverage: snapshot.NewCoverage(shardMap),
		data:     make([][]byte, n),
		shards:   make([]shardState, n),
	}
	q.stale = false
	q.limits = q.measure(now)
	if q.attempts == nil {
		// Room for the first fan-out and the usual few hedges and retries.
		q.attempts = make([]attemptState, 0, n+n/8+1)
	}
}

// fanOut asks for every shard, or for one in canary mode.
func (q *Query) fanOut(now clock.Millis) {
	if q.canary {
		q.askNext(now)
		return
	}
	q.released = now
	if q.actions == nil {
		q.actions = make([]Action, 0, len(q.shards)-int(q.asked)+1)
	}
	for q.askNext(now) {
	}
}

// askNext begins the next shard and reports whether there was one.
func (q *Query) askNext(now clock.Millis) bool {
	if int(q.asked) >= len(q.shards) {
		return false
	}
	shard := q.asked
	q.asked++
	q.begin(now, shard)
	return true
}

// crashed records that a connection was lost with the request in flight.
func (q *Query) crashed(now clock.Millis, choice upstream.Choice) {
	if q.resources.Quarantine == nil {
		return
	}
	q.becomeSuspect(now)
	q.blocked = q.resources.Quarantine.RecordCrash(now, q.fingerprint, choice.Upstream(), choice.Began()) || q.blocked
}

// confirmCrash reports a suspect of which nothing completed and nothing runs any
// more.
func (q *Query) confirmCrash(now clock.Millis) {
	if q.resources.Quarantine == nil || !q.suspect || q.source().coverage.Covered() > 0 {
		return
	}
	running := func(a attemptState) bool { return !a.ended }
	if !slices.ContainsFunc(q.attempts, running) {
		q.resources.Quarantine.BlockIfConfirmed(now, q.fingerprint)
	}
}

// becomeSuspect applies the limit of a suspect also to retries that were
// granted before and still wait for a replica.
func (q *Query) becomeSuspect(now clock.Millis) {
	if q.suspect {
		return
	}
	q.suspect = true
	for shard := range q.shards {
		s := &q.shards[shard]
		if s.phase != waiting || s.wants != upstream.Retry {
			continue
		}
		if q.spared {
			q.giveUp(now, snapshot.Shard(shard), "suspected of crashing upstreams")
		}
		q.spared = true
	}
}

// survived ends canary mode: an upstream has run the request to its end.
func (q *Query) survived(now clock.Millis) {
	if !q.canary || q.suspect {
		return
	}
	q.canary = false
	q.note(now, 0, "", EventCanary, "an upstream survived the request")
	q.fanOut(now)
}

// advanceCanary goes on in canary mode after a shard that did not tell whether
// upstreams survive. It returns false if there is nothing left to do.
func (q *Query) advanceCanary(now clock.Millis) bool {
	if !q.canary {
		return false
	}
	if q.coverage.Covered() > 0 {
		q.canary = false
		q.fanOut(now)
		return true
	}
	return !q.suspect && q.askNext(now)
}

// restart moves the whole query to another version. It returns false if the
// answer stays on the pinned one.
func (q *Query) restart(now clock.Millis) bool {
	if !q.mayRestart(now) {
		return false
	}
	shardMap, ok := q.resources.Catalogue.Choose(append(q.gone, q.shardMap.Version())...)
	if !ok || !shardMap.Known() || !q.improves(shardMap) {
		q.stale = false
		return false
	}
	q.abortAll(now, "the version is gone")
	q.gone = append(q.gone, q.shardMap.Version())
	if q.coverage.Fraction() > q.fallback.coverage.Fraction() {
		q.fallback = q.pinned
	}
	q.note(now, 0, "", EventRestart, "replicas no longer have the version")
	q.counters.restarts++
	q.pin(now, shardMap)
	q.fanOut(now)
	return true
}

// mayRestart applies the rules that do not depend on the other version. Work
// that must not run twice restarts only once nothing can have run.
func (q *Query) mayRestart(now clock.Millis) bool {
	if q.request.nonIdempotent {
		return q.unproven == 0 && q.hasTime(now) && q.counters.restarts < maxRestarts
	}
	if q.suspect || !q.hasTime(now) || q.counters.restarts >= maxRestarts {
		q.stale = false
		return false
	}
	return true
}

// hasTime reports whether a new fan-out is likely to end before the deadline.
func (q *Query) hasTime(now clock.Millis) bool {
	usual, _ := q.resources.quantile(DefaultHedgeQuantile)
	return now+usual < q.request.deadline
}

// improves reports whether the other version promises more coverage than is
// still within reach on the pinned one.
func (q *Query) improves(other snapshot.Map) bool {
	reachable := 0
	for i := range q.shards {
		if q.shards[i].phase != lost {
			reachable++
		}
	}
	held := 0
	for shard := range other.All() {
		if len(q.resources.Catalogue.Holders(other.Version(), shard)) > 0 {
			held++
		}
	}
	return held*len(q.shards) > reachable*other.Shards()
}
