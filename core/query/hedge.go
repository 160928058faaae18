package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	// maxHedgesPerShard is the most hedges of one shard. With 1 % stragglers and
	// 270 shards, the first hedge is a straggler too in 2.7 % of the queries, so
	// a single hedge per shard would not keep the p99.
	maxHedgesPerShard = 2

	// secondHedgeQuantile is the quantile of the attempt latency after which a
	// hedge is hedged in turn. It may be low because few shards are affected: 3 %
	// of the shards are hedged, and a second hedge for a fifth of them adds 0.6 %.
	secondHedgeQuantile = 0.8

	// refusedHedgeDelayDivisor sets the delay until a refused hedge is tried
	// again: the delay of the first hedge divided by it.
	refusedHedgeDelayDivisor = 4
)

// scheduleHedge sets the instant at which the shard's newest attempt is hedged, or
// none if the shard must not be hedged.
func (q *Query) scheduleHedge(now clock.Millis, s *shardState) {
	s.hedgeAt = 0
	if s.hedges >= maxHedgesPerShard || q.delays.firstHedge == 0 || q.request.nonIdempotent || q.suspect {
		return
	}
	delay := q.delays.firstHedge
	if s.hedges > 0 {
		delay = q.delays.secondHedge
	}
	s.hedgeAt = now + delay
	q.scheduleTick(s.hedgeAt)
}

// tickHedge sends a hedge for the shard if it is due.
func (q *Query) tickHedge(now clock.Millis, shard snapshot.Shard) {
	s := &q.shards[shard]
	if s.phase != running || s.hedgeAt == 0 || q.suspect || q.canary {
		return
	}
	if now < s.hedgeAt {
		q.scheduleTick(s.hedgeAt)
		return
	}
	holders := q.dependencies.Catalogue.Holders(q.shardMap.Version(), shard)
	if len(holders) <= len(q.replicasOf(s, anyAttempt)) {
		s.hedgeAt = 0
		q.recordStep(now, shard, "", EventRefusal, "no other replica holds the shard")
		return
	}
	if reason := q.sendHedge(now, shard, holders); reason != "" {
		q.postponeHedge(now, shard, reason)
	}
}

// postponeHedge schedules another try of a refused hedge. Every query earns
// tokens, and most slow attempts end before the next try, which leaves the tokens
// to the real stragglers.
func (q *Query) postponeHedge(now clock.Millis, shard snapshot.Shard, reason string) {
	s := &q.shards[shard]
	if !s.hedgeRefused {
		s.hedgeRefused = true
		q.recordStep(now, shard, "", EventRefusal, reason)
	}
	s.hedgeAt = now + max(q.delays.firstHedge/refusedHedgeDelayDivisor, minPickBackoff)
	q.scheduleTick(s.hedgeAt)
}

// sendHedge sends a hedge for shard, or returns why it was refused. If no replica
// is available, the query keeps the token for its next hedge.
func (q *Query) sendHedge(now clock.Millis, shard snapshot.Shard, holders []string) string {
	if !q.hedgeTokenHeld && !takeTokens(q.dependencies.HedgeBudget, 1) {
		return "hedge budget is empty"
	}
	q.hedgeTokenHeld = true
	choice, err := q.pickReplica(now, shard, holders, upstream.Hedge)
	if err != nil {
		return err.Error()
	}
	q.hedgeTokenHeld = false
	q.shards[shard].hedges++
	q.counters.hedges++
	q.recordStep(now, shard, choice.Upstream(), EventHedge, "attempt is slower than the hedge quantile")
	q.sendAttempt(now, shard, choice)
	return ""
}
