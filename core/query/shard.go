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
	// minPickBackoff and maxPickBackoff limit the backoff of a shard that waits
	// for a replica; it doubles with each unsuccessful pick. Slots of replicas
	// become free every few milliseconds, while a replica that comes back takes
	// longer.
	minPickBackoff = 2 * clock.Millisecond
	maxPickBackoff = 32 * clock.Millisecond

	// retryCost is the number of retry budget tokens that a retry takes.
	retryCost = 1.0

	// shedRetryCost is the number of tokens that a retry after Shed takes. It is
	// higher because such a retry adds load while an upstream is overloaded.
	shedRetryCost = 2

	// never is later than any instant.
	never = clock.Millis(math.MaxFloat64)
)

// shardPhase is the progress of a shard.
type shardPhase uint8

const (
	notStarted shardPhase = iota
	waiting               // for a replica
	running               // at least one attempt is running
	covered               // a valid response has arrived
	failed                // no further attempt is made
)

// shardState is the state of one shard of the pinned version.
type shardState struct {
	lastAttempt          int32 // index + 1 of the newest attempt, or 0
	runningAttempts      int8
	retries              int8
	phase                shardPhase
	purpose              upstream.Purpose // of the next attempt that is not a hedge
	needsFreshConnection bool             // an attempt timed out, so its connection may be dead
	hedges               int8
	hedgeRefused         bool         // a refused hedge has been recorded as a step, which is done once
	pickBackoff          clock.Millis // last backoff, or 0
	pickAt               clock.Millis // instant of the next pick of a waiting shard
	hedgeAt              clock.Millis // instant of the next hedge; 0 for none
}

// startShard starts the first attempt of shard.
func (q *Query) startShard(now clock.Millis, shard snapshot.Shard) {
	q.openShards++
	q.assignReplica(now, shard)
}

// assignReplica picks a replica for the next attempt of shard and sends it. The
// shard waits if no replica is available, and fails if none holds it.
func (q *Query) assignReplica(now clock.Millis, shard snapshot.Shard) {
	s := &q.shards[shard]
	holders := q.dependencies.Catalogue.Holders(q.shardMap.Version(), shard)
	if len(holders) == 0 {
		q.needsRestart = q.needsRestart || q.versionWithdrawn
		q.failShard(now, shard, "no replica holds the shard")
		return
	}
	choice, err := q.pickReplica(now, shard, holders, s.purpose)
	if err != nil {
		q.waitForReplica(now, shard, holders, err)
		return
	}
	q.sendAssigned(now, shard, choice)
}

// sendAssigned sends the next attempt of shard to the picked replica.
func (q *Query) sendAssigned(now clock.Millis, shard snapshot.Shard, choice upstream.Choice) {
	purpose := q.shards[shard].purpose
	event := EventSend
	if purpose == upstream.Retry {
		event = EventRetry
		q.counters.retries++
	} else if q.counters.restarts == 0 {
		// Restarts earn no tokens, since they would pay for further hedges
		// and retries.
		q.uncreditedAttempts++
	}
	q.recordStep(now, shard, choice.Upstream(), event, "")
	q.sendAttempt(now, shard, choice)
}

// pickReplica picks a replica that has had no attempt of the shard. If there is
// none, and the shard has backed off before or needs a fresh connection, replicas
// of earlier attempts are allowed too, other than for a hedge.
func (q *Query) pickReplica(
	now clock.Millis, shard snapshot.Shard, holders []string, purpose upstream.Purpose,
) (upstream.Choice, error) {
	s := &q.shards[shard]
	request := upstream.NewPickRequest(shard, q.shardMap.Version(), holders).WithPurpose(purpose)
	if s.needsFreshConnection {
		request = request.OnFreshConnection()
	}
	if s.lastAttempt == 0 {
		return q.dependencies.Picker.Pick(now, request)
	}
	choice, err := q.dependencies.Picker.Pick(now, request.Excluding(q.replicasOf(s, anyAttempt)...))
	mayRepeat := s.pickBackoff > 0 || s.needsFreshConnection
	if err == nil || purpose == upstream.Hedge || !mayRepeat || !errors.Is(err, upstream.ErrNoReplica) {
		return choice, err
	}
	return q.dependencies.Picker.Pick(now, request.Excluding(q.replicasOf(s, excludesReplica)...))
}

func anyAttempt(*attemptState) bool { return true }

// excludesReplica reports whether an attempt rules its replica out for further
// attempts at the shard.
func excludesReplica(a *attemptState) bool {
	return !a.ended || a.kind == upstream.VersionGone || a.kind == upstream.WrongShard
}

// replicasOf returns the replicas of those attempts at the shard for which include
// returns true. The slice is valid until the next call.
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

// waitForReplica backs off the shard after the failed pick err, unless every holder
// is excluded.
func (q *Query) waitForReplica(now clock.Millis, shard snapshot.Shard, holders []string, err error) {
	s := &q.shards[shard]
	excluded := q.replicasOf(s, excludesReplica)
	available := func(holder string) bool { return !slices.Contains(excluded, upstream.ID(holder)) }
	if !slices.ContainsFunc(holders, available) {
		q.needsRestart = q.needsRestart || q.versionWithdrawn
		q.failShard(now, shard, "every replica that holds the shard has refused it")
		return
	}
	q.backOff(now, shard, err.Error())
}

// backOff schedules the next pick for shard. It takes no retry token, since
// nothing has reached an upstream.
func (q *Query) backOff(now clock.Millis, shard snapshot.Shard, reason string) {
	s := &q.shards[shard]
	s.phase = waiting
	s.pickBackoff = min(max(2*s.pickBackoff, minPickBackoff), maxPickBackoff)
	s.pickAt = now + s.pickBackoff
	q.scheduleTick(s.pickAt)
	q.recordStep(now, shard, "", EventWait, reason)
}

// failShard closes shard without a response. No further attempt is made.
func (q *Query) failShard(now clock.Millis, shard snapshot.Shard, reason string) {
	q.shards[shard].phase = failed
	q.openShards--
	q.recordStep(now, shard, "", EventRefusal, reason)
}

// handleSuccess processes a valid response. The first response of a shard covers
// it, and the other attempts are aborted.
func (q *Query) handleSuccess(now clock.Millis, a *attemptState, data []byte) {
	if q.dependencies.Quarantine != nil {
		q.dependencies.Quarantine.RecordSuccess(now, q.fingerprint)
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

// handleFailure processes a result without a valid response.
func (q *Query) handleFailure(now clock.Millis, a *attemptState, kind upstream.Outcome) {
	shard := a.shard
	s := &q.shards[shard]
	switch kind {
	case upstream.VersionGone:
		q.versionWithdrawn = true
		q.dependencies.Catalogue.Withdraw(string(a.choice.Upstream()), a.version)
	case upstream.ConnectionLost:
		if !a.choice.AfterConnectionLoss() {
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
	case upstream.NoRelayShare:
		q.backOff(now, shard, "relaying peer has no free share")
		return
	case upstream.IdleConnectionsClosed:
		q.backOff(now, shard, "idle connections to the replica had been closed")
		return
	}
	q.retry(now, shard, kind)
}

// retry starts another attempt of shard after a result of kind, or fails the
// shard if no retry is allowed.
func (q *Query) retry(now clock.Millis, shard snapshot.Shard, kind upstream.Outcome) {
	if reason := q.claimRetry(shard, kind); reason != "" {
		q.needsRestart = q.needsRestart || kind == upstream.VersionGone
		q.failShard(now, shard, reason)
		return
	}
	q.shards[shard].purpose = upstream.Retry
	q.assignReplica(now, shard)
}

// claimRetry takes the tokens for a retry after a result of kind. It returns "" if
// the retry is granted, else the reason for which it is refused.
func (q *Query) claimRetry(shard snapshot.Shard, kind upstream.Outcome) string {
	s := &q.shards[shard]
	cost := retryCost
	if kind == upstream.Shed {
		cost = shedRetryCost
	}
	switch {
	case q.request.nonIdempotent && !kind.NotRun():
		return "request is not idempotent and may have run"
	case int(s.retries) >= q.policy.MaxRetries():
		return "shard has no retry left"
	case q.suspect && q.suspectRetryUsed:
		return "request is suspected of crashing upstreams"
	case !takeTokens(q.dependencies.RetryBudget, cost):
		return "retry budget is empty"
	}
	s.retries++
	q.suspectRetryUsed = q.suspectRetryUsed || q.suspect
	return ""
}

// tickShard does the work that is due for one shard.
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

// timeOutAttempts aborts the attempts of shard that have timed out. The only running
// attempt is aborted only if a retry is granted, since a late response is better
// than none.
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
		q.abortAttempt(now, int(i-1), "no response within the attempt timeout")
		if s.runningAttempts == 0 {
			s.purpose = upstream.Retry
			q.assignReplica(now, shard)
			return
		}
	}
}
