package query

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	// minPickBackoff and lastPause bound the time before a shard without a free
	// replica asks again; it doubles from one to the other. Slots become free
	// every few milliseconds, while a replica that returns takes longer.
	minPickBackoff = 2 * clock.Millisecond
	maxPickBackoff = 32 * clock.Millisecond

	// shedRetryCost is the price of a retry after Shed, which answers overload with
	// more work.
	shedRetryCost = 2

	never = clock.Millis(math.MaxFloat64)
)

type shardPhase uint8

const (
	notStarted shardPhase = iota
	waiting               // for a replica
	running
	covered
	abandoned // nothing more is tried
)

// shardState is what is done for one shard of the pinned version.
type shardState struct {
	lastAttempt          int32 // newest attempt, as index + 1
	runningAttempts      int8
	retries              int8
	phase                shardPhase
	purpose              upstream.Purpose // of the sub-request that a waiting shard asks for
	needsFreshConnection bool             // an attempt timed out: its connection may be dead
	hedges               int8
	hedgeRefused         bool // a hedge was refused, which is noted once
	pickBackoff          clock.Millis
	pickAt               clock.Millis
	hedgeAt              clock.Millis // zero for no hedge
}

// startShard asks for the first sub-request of shard.
func (q *Query) startShard(now clock.Millis, shard snapshot.Shard) {
	q.openShards++
	q.assignReplica(now, shard)
}

// assignReplica looks for a replica for the sub-request that shard wants.
func (q *Query) assignReplica(now clock.Millis, shard snapshot.Shard) {
	s := &q.shards[shard]
	holders := q.dependencies.Catalogue.Holders(q.shardMap.Version(), shard)
	if len(holders) == 0 {
		q.needsRestart = q.needsRestart || q.versionWithdrawn
		q.abandonShard(now, shard, "no replica holds the shard")
		return
	}
	choice, err := q.pickReplica(now, shard, holders, s.purpose)
	if err != nil {
		q.waitForReplica(now, shard, holders, err)
		return
	}
	q.sendAssigned(now, shard, choice)
}

func (q *Query) sendAssigned(now clock.Millis, shard snapshot.Shard, choice upstream.Choice) {
	purpose := q.shards[shard].purpose
	event := EventSend
	if purpose == upstream.Retry {
		event = EventRetry
		q.counters.retries++
	} else if q.counters.restarts == 0 {
		// Only the first fan-out earns tokens, so that restarts do not pay
		// for further extra work.
		q.uncreditedAttempts++
	}
	q.recordStep(now, shard, choice.Upstream(), event, "")
	q.sendAttempt(now, shard, choice)
}

// pickReplica asks for a replica that the shard has not tried. Once the shard has
// waited in vain, or wants another connection, a tried replica will do.
func (q *Query) pickReplica(now clock.Millis, shard snapshot.Shard, holders []string, purpose upstream.Purpose) (upstream.Choice, error) {
	s := &q.shards[shard]
	ask := upstream.NewAsk(shard, q.shardMap.Version(), holders).For(purpose)
	if s.needsFreshConnection {
		ask = ask.OnFreshConnection()
	}
	if s.lastAttempt == 0 {
		return q.dependencies.Picker.Pick(now, ask)
	}
	choice, err := q.dependencies.Picker.Pick(now, ask.Excluding(q.replicasOf(s, anyAttempt)...))
	again := s.pickBackoff > 0 || s.needsFreshConnection
	if err == nil || purpose == upstream.Hedge || !again || !errors.Is(err, upstream.ErrNoReplica) {
		return choice, err
	}
	return q.dependencies.Picker.Pick(now, ask.Excluding(q.replicasOf(s, excludesReplica)...))
}

func anyAttempt(*attemptState) bool { return true }

// excludesReplica reports whether an attempt rules its replica out for its shard.
func excludesReplica(a *attemptState) bool {
	return !a.ended || a.kind == upstream.VersionGone || a.kind == upstream.WrongShard
}

// replicasOf lists the replicas of the shard's attempts for which counts is true.
// The result is valid until the next call.
func (q *Query) replicasOf(s *shardState, include func(*attemptState) bool) []upstream.ID {
	q.excludeBuffer = q.excludeBuffer[:0]
	for i := s.lastAttempt; i != 0; i = q.attempts[i-1].previousAttempt {
		a := &q.attempts[i-1]
		if include(a) {
			q.excludeBuffer = append(q.excludeBuffer, a.choice.Upstream())
		}
	}
	return q.excludeBuffer
}

// waitForReplica lets shard ask again shortly, unless every holder has said that it
// cannot serve the shard.
func (q *Query) waitForReplica(now clock.Millis, shard snapshot.Shard, holders []string, err error) {
	s := &q.shards[shard]
	barred := q.replicasOf(s, excludesReplica)
	able := func(holder string) bool { return !slices.Contains(barred, upstream.ID(holder)) }
	if !slices.ContainsFunc(holders, able) {
		q.needsRestart = q.needsRestart || q.versionWithdrawn
		q.abandonShard(now, shard, "every holder refused the shard")
		return
	}
	q.backOff(now, shard, err.Error())
}

// backOff lets shard ask again after its pause. No token is taken: nothing
// has reached an upstream.
func (q *Query) backOff(now clock.Millis, shard snapshot.Shard, reason string) {
	s := &q.shards[shard]
	s.phase = waiting
	s.pickBackoff = min(max(2*s.pickBackoff, minPickBackoff), maxPickBackoff)
	s.pickAt = now + s.pickBackoff
	q.scheduleTick(s.pickAt)
	q.recordStep(now, shard, "", EventWait, reason)
}

// abandonShard closes shard without a sub-answer.
func (q *Query) abandonShard(now clock.Millis, shard snapshot.Shard, reason string) {
	q.shards[shard].phase = abandoned
	q.openShards--
	q.recordStep(now, shard, "", EventRefusal, reason)
}

// handleSuccess takes a valid sub-answer. The first one wins.
func (q *Query) handleSuccess(now clock.Millis, a *attemptState, data []byte) {
	if q.dependencies.Quarantine != nil {
		q.dependencies.Quarantine.Success(now, q.fingerprint)
	}
	shard := a.shard
	if q.coverage.Add(shard) {
		q.parts[shard] = data
		q.shards[shard].phase = covered
		q.openShards--
	}
	q.abortShard(now, shard, "another replica answered first")
	q.endCanary(now)
}

// handleFailure takes a result without a usable sub-answer.
func (q *Query) handleFailure(now clock.Millis, a *attemptState, kind upstream.Kind) {
	shard := a.shard
	s := &q.shards[shard]
	switch kind {
	case upstream.VersionGone:
		q.versionWithdrawn = true
		q.dependencies.Catalogue.Withdraw(string(a.choice.Upstream()), a.version)
	case upstream.ConnectionLost:
		if !a.choice.Unproven() {
			q.recordCrash(now, a.choice)
		}
	case upstream.Timeout:
		s.needsFreshConnection = true
	case upstream.Failed:
		q.endCanary(now)
	}
	if s.runningAttempts > 0 || !q.recheckQuarantine(now) {
		return
	}
	switch kind {
	case upstream.NoShare:
		q.backOff(now, shard, "the relaying peer has no free share")
		return
	case upstream.Stale:
		q.backOff(now, shard, "the connections had ended")
		return
	}
	q.retry(now, shard, kind)
}

// retry resends the sub-request of shard if the rules allow it.
func (q *Query) retry(now clock.Millis, shard snapshot.Shard, kind upstream.Kind) {
	if reason := q.claimRetry(shard, kind); reason != "" {
		q.needsRestart = q.needsRestart || kind == upstream.VersionGone
		q.abandonShard(now, shard, reason)
		return
	}
	q.shards[shard].purpose = upstream.Retry
	q.assignReplica(now, shard)
}

// claimRetry says why a retry after a result of kind is refused. It returns
// "" for a granted retry, which is then paid for.
func (q *Query) claimRetry(shard snapshot.Shard, kind upstream.Kind) string {
	s := &q.shards[shard]
	cost := 1.0
	if kind == upstream.Shed {
		cost = shedRetryCost
	}
	switch {
	case q.request.nonIdempotent && !kind.NotRun():
		return "not idempotent and may have run"
	case int(s.retries) >= q.policy.MaxRetries():
		return "no retry left for the shard"
	case q.suspect && q.suspectRetryUsed:
		return "suspected of crashing upstreams"
	case !takeTokens(q.dependencies.RetryBudget, cost):
		return "retry budget is empty"
	}
	s.retries++
	q.suspectRetryUsed = q.suspectRetryUsed || q.suspect
	return ""
}

// tickShard does what is due for one shard.
func (q *Query) tickShard(now clock.Millis, shard snapshot.Shard) {
	s := &q.shards[shard]
	switch s.phase {
	case waiting:
		if now >= s.pickAt {
			q.assignReplica(now, shard)
			return
		}
		q.scheduleTick(s.pickAt)
	case running:
		q.timeOutAttempts(now, shard)
		q.tickHedge(now, shard)
	}
}

// timeOutAttempts gives up attempts that have been silent for too long. The only
// attempt of a shard is given up only if a retry may replace it, since a late
// sub-answer is better than none.
func (q *Query) timeOutAttempts(now clock.Millis, shard snapshot.Shard) {
	s := &q.shards[shard]
	for i := s.lastAttempt; i != 0; i = q.attempts[i-1].previousAttempt {
		a := &q.attempts[i-1]
		if a.ended {
			continue
		}
		if now < a.timeoutAt {
			q.scheduleTick(a.timeoutAt)
			continue
		}
		if s.runningAttempts == 1 && q.claimRetry(shard, upstream.Timeout) != "" {
			a.timeoutAt = min(now+q.delays.attemptTimeout, q.request.deadline)
			q.scheduleTick(a.timeoutAt)
			continue
		}
		s.needsFreshConnection = true
		q.abortAttempt(now, int(i-1), "silent for too long")
		if s.runningAttempts == 0 {
			s.purpose = upstream.Retry
			q.assignReplica(now, shard)
			return
		}
	}
}
