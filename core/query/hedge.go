package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	// maxHedgesPerShard is the number of hedges of one shard. With 1 % stragglers and
	// 270 shards, 2.7 % of the queries meet a straggler again in a first hedge,
	// so that one hedge for a shard would not keep the p99.
	maxHedgesPerShard = 2

	// secondHedgeQuantile is the latency after which a hedge counts as slow.
	// It is low, because few shards get that far: 3 % are hedged, and a fifth
	// of these hedges again adds 0.6 %.
	secondHedgeQuantile = 0.8
)

// scheduleHedge sets the instant at which the shard's sub-request counts as slow.
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

// tickHedge sends another sub-request for a shard whose present one is slow.
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

// postponeHedge lets a shard whose hedge was refused ask again soon: tokens come
// in with every query, and most sub-requests that are slow at first end before
// the next turn, which leaves the tokens to the real stragglers.
func (q *Query) postponeHedge(now clock.Millis, shard snapshot.Shard, reason string) {
	s := &q.shards[shard]
	if !s.hedgeRefused {
		s.hedgeRefused = true
		q.recordStep(now, shard, "", EventRefusal, reason)
	}
	s.hedgeAt = now + max(q.delays.firstHedge/4, minPickBackoff)
	q.scheduleTick(s.hedgeAt)
}

// sendHedge sends a hedge for shard, or says why not. A token that was paid for a
// hedge without a replica is kept for the next hedge of the query.
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
	q.recordStep(now, shard, choice.Upstream(), EventHedge, "slower than the hedge quantile")
	q.sendAttempt(now, shard, choice)
	return ""
}
