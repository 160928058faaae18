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
	// firstPause and lastPause bound the time before a shard without a free
	// replica asks again; it doubles from one to the other. Slots become free
	// every few milliseconds, while a replica that returns takes longer.
	firstPause = 2 * clock.Millisecond
	lastPause  = 32 * clock.Millisecond

	// shedCost is the price of a retry after Shed, which answers overload with
	// more work.
	shedCost = 2

	forever = clock.Millis(math.MaxFloat64)
)

type phase uint8

const (
	unasked phase = iota
	waiting       // for a replica
	running
	covered
	lost // nothing more is tried
)

// shardState is what is done for one shard of the pinned version.
type shardState struct {
	newest  int32 // newest attempt, as index + 1
	running int8
	retries int8
	phase   phase
	wants   upstream.Purpose // of the sub-request that a waiting shard asks for
	fresh   bool             // an attempt timed out: its connection may be dead
	hedges  int8
	denied  bool // a hedge was refused, which is noted once
	pause   clock.Millis
	askAt   clock.Millis
	hedgeAt clock.Millis // zero for no hedge
}

// begin asks for the first sub-request of shard.
func (q *Query) begin(now clock.Millis, shard snapshot.Shard) {
	q.open++
	q.ask(now, shard)
}

// ask looks for a replica for the sub-request that shard wants.
func (q *Query) ask(now clock.Millis, shard snapshot.Shard) {
	s := &q.shards[shard]
	holders := q.resources.Catalogue.Holders(q.shardMap.Version(), shard)
	if len(holders) == 0 {
		q.stale = q.stale || q.withdrawn
		q.giveUp(now, shard, "no replica holds the shard")
		return
	}
	choice, err := q.pick(now, shard, holders, s.wants)
	if err != nil {
		q.wait(now, shard, holders, err)
		return
	}
	q.sendWanted(now, shard, choice)
}

func (q *Query) sendWanted(now clock.Millis, shard snapshot.Shard, choice upstream.Choice) {
	purpose := q.shards[shard].wants
	event := EventSend
	if purpose == upstream.Retry {
		event = EventRetry
		q.counters.retries++
	} else if q.counters.restarts == 0 {
		// Only the first fan-out earns tokens, so that restarts do not pay
		// for further extra work.
		q.firsts++
	}
	q.note(now, shard, choice.Upstream(), event, "")
	q.send(now, shard, choice)
}

// pick asks for a replica that the shard has not tried. Once the shard has
// waited in vain, or wants another connection, a tried replica will do.
func (q *Query) pick(now clock.Millis, shard snapshot.Shard, holders []string, purpose upstream.Purpose) (upstream.Choice, error) {
	s := &q.shards[shard]
	ask := upstream.NewAsk(shard, q.shardMap.Version(), holders).For(purpose)
	if s.fresh {
		ask = ask.OnFreshConnection()
	}
	if s.newest == 0 {
		return q.resources.Picker.Pick(now, ask)
	}
	choice, err := q.resources.Picker.Pick(now, ask.Excluding(q.tried(s, anyAttempt)...))
	again := s.pause > 0 || s.fresh
	if err == nil || purpose == upstream.Hedge || !again || !errors.Is(err, upstream.ErrNoReplica) {
		return choice, err
	}
	return q.resources.Picker.Pick(now, ask.Excluding(q.tried(s, barring)...))
}

func anyAttempt(*attemptState) bool { return true }

// barring reports whether an attempt rules its replica out for its shard.
func barring(a *attemptState) bool {
	return !a.ended || a.kind == upstream.VersionGone || a.kind == upstream.WrongShard
}

// tried lists the replicas of the shard's attempts for which counts is true.
// The result is valid until the next call.
func (q *Query) tried(s *shardState, counts func(*attemptState) bool) []upstream.ID {
	q.exclude = q.exclude[:0]
	for i := s.newest; i != 0; i = q.attempts[i-1].previous {
		a := &q.attempts[i-1]
		if counts(a) {
			q.exclude = append(q.exclude, a.choice.Upstream())
		}
	}
	return q.exclude
}

// wait lets shard ask again shortly, unless every holder has said that it
// cannot serve the shard.
func (q *Query) wait(now clock.Millis, shard snapshot.Shard, holders []string, err error) {
	s := &q.shards[shard]
	barred := q.tried(s, barring)
	able := func(holder string) bool { return !slices.Contains(barred, upstream.ID(holder)) }
	if !slices.ContainsFunc(holders, able) {
		q.stale = q.stale || q.withdrawn
		q.giveUp(now, shard, "every holder refused the shard")
		return
	}
	q.pauseFor(now, shard, err.Error())
}

// pauseFor lets shard ask again after its pause. No token is taken: nothing
// has reached an upstream.
func (q *Query) pauseFor(now clock.Millis, shard snapshot.Shard, reason string) {
	s := &q.shards[shard]
	s.phase = waiting
	s.pause = min(max(2*s.pause, firstPause), lastPause)
	s.askAt = now + s.pause
	q.schedule(s.askAt)
	q.note(now, shard, "", EventWait, reason)
}

// giveUp closes shard without a sub-answer.
func (q *Query) giveUp(now clock.Millis, shard snapshot.Shard, reason string) {
	q.shards[shard].phase = lost
	q.open--
	q.note(now, shard, "", EventRefusal, reason)
}

// cover takes a valid sub-answer. The first one wins.
func (q *Query) cover(now clock.Millis, a *attemptState, data []byte) {
	if q.resources.Quarantine != nil {
		q.resources.Quarantine.RecordSuccess(now, q.fingerprint)
	}
	shard := a.shard
	if q.coverage.Cover(shard) {
		q.data[shard] = data
		q.shards[shard].phase = covered
		q.open--
	}
	q.abortShard(now, shard, "another replica answered first")
	q.survived(now)
}

// fail takes a result without a usable sub-answer.
func (q *Query) fail(now clock.Millis, a *attemptState, kind upstream.Kind) {
	shard := a.shard
	s := &q.shards[shard]
	switch kind {
	case upstream.VersionGone:
		q.withdrawn = true
		q.resources.Catalogue.Withdraw(string(a.choice.Upstream()), a.version)
	case upstream.ConnectionLost:
		if !a.choice.Unproven() {
			q.crashed(now, a.choice)
		}
	case upstream.Timeout:
		s.fresh = true
	case upstream.Failed:
		q.survived(now)
	}
	if s.running > 0 || !q.recheck(now) {
		return
	}
	switch kind {
	case upstream.NoShare:
		q.pauseFor(now, shard, "the relaying peer has no free share")
		return
	case upstream.Stale:
		q.pauseFor(now, shard, "the connections had ended")
		return
	}
	q.retry(now, shard, kind)
}

// retry resends the sub-request of shard if the rules allow it.
func (q *Query) retry(now clock.Millis, shard snapshot.Shard, kind upstream.Kind) {
	if reason := q.refuseRetry(shard, kind); reason != "" {
		q.stale = q.stale || kind == upstream.VersionGone
		q.giveUp(now, shard, reason)
		return
	}
	q.shards[shard].wants = upstream.Retry
	q.ask(now, shard)
}

// refuseRetry says why a retry after a result of kind is refused. It returns
// "" for a granted retry, which is then paid for.
func (q *Query) refuseRetry(shard snapshot.Shard, kind upstream.Kind) string {
	s := &q.shards[shard]
	cost := 1.0
	if kind == upstream.Shed {
		cost = shedCost
	}
	switch {
	case q.request.nonIdempotent && !kind.NotRun():
		return "not idempotent and may have run"
	case int(s.retries) >= q.policy.Retries():
		return "no retry left for the shard"
	case q.suspect && q.spared:
		return "suspected of crashing upstreams"
	case !take(q.resources.Retries, cost):
		return "retry budget is empty"
	}
	s.retries++
	q.spared = q.spared || q.suspect
	return ""
}

// tickShard does what is due for one shard.
func (q *Query) tickShard(now clock.Millis, shard snapshot.Shard) {
	s := &q.shards[shard]
	switch s.phase {
	case waiting:
		if now >= s.askAt {
			q.ask(now, shard)
			return
		}
		q.schedule(s.askAt)
	case running:
		q.tickAttempts(now, shard)
		q.tickHedge(now, shard)
	}
}

// tickAttempts gives up attempts that have been silent for too long. The only
// attempt of a shard is given up only if a retry may replace it, since a late
// sub-answer is better than none.
func (q *Query) tickAttempts(now clock.Millis, shard snapshot.Shard) {
	s := &q.shards[shard]
	for i := s.newest; i != 0; i = q.attempts[i-1].previous {
		a := &q.attempts[i-1]
		if a.ended {
			continue
		}
		if now < a.timeoutAt {
			q.schedule(a.timeoutAt)
			continue
		}
		if s.running == 1 && q.refuseRetry(shard, upstream.Timeout) != "" {
			a.timeoutAt = min(now+q.limits.timeout, q.request.deadline)
			q.schedule(a.timeoutAt)
			continue
		}
		s.fresh = true
		q.abort(now, int(i-1), "silent for too long")
		if s.running == 0 {
			s.wants = upstream.Retry
			q.ask(now, shard)
			return
		}
	}
}
