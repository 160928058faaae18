package dispatch

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

// shard is one of the services that a request asks.
type shard struct {
	pool            *replica.Pool
	tried           []*replica.Replica
	allowed         []*replica.Replica // all that may be asked any more, or nil for any
	attemptLimit    int                // exchanges that are allowed, if above the attempts
	reached         int                // exchanges that reached a replica
	shed            int                // those of them that the replica refused
	connectFailures int
	pending         int
	failedReply     int // last exchange that ended with a replica's own failure, or -1
	winner          int // exchange that covered the shard, or -1
	failed          bool
	reported        bool // to the daemon that has delegated the request
	hedgeAt         clock.Millis
	retryAt         clock.Millis
}

func (s *shard) open() bool { return s.winner < 0 && !s.failed }

func (q *Request) pickReplica(now clock.Millis, s *shard) (*replica.Replica, error) {
	ask := replica.NewAsk(q.expectedLatency, s.tried).Within(q.route.Objective() * localLatencyFraction).Inside(q.route.AllowedRegions())
	if !q.route.Idempotent() {
		ask = ask.Careful()
	}
	if q.delegated {
		ask = ask.Near()
	}
	return s.pool.Pick(now, ask)
}

func (q *Request) sendFirst(now clock.Millis, i int) {
	s := &q.shards[i]
	r, err := q.pickReplica(now, s)
	if err != nil {
		q.scheduleRetry(now, i)
		return
	}
	q.send(now, i, r, First)
}

func (q *Request) send(now clock.Millis, i int, r *replica.Replica, purpose Purpose) {
	s := &q.shards[i]
	s.tried = append(s.tried, r)
	s.pending++
	s.hedgeAt = now + q.hedgeDelay()
	r.Begin(now, q.serviceTime)
	q.attempts = append(q.attempts, attempt{shard: i, replica: r, began: now})
	q.actions = append(q.actions, Action{
		kind: Send, attempt: len(q.attempts) - 1, shard: i, purpose: purpose, replica: r, at: q.deadline,
	})
}

// hedgeDelay is the time after which an answer is late.
func (q *Request) hedgeDelay() clock.Millis {
	return max(minHedgeDelay, q.expectedLatency*hedgeDelayFactor)
}

func (q *Request) markCovered(i, number int) {
	s := &q.shards[i]
	s.winner = number
	q.coveredShards++
	q.openShards--
	q.abandonAttempts(i)
}

// abandonAttempts abandons the exchanges of a shard that is decided.
func (q *Request) abandonAttempts(i int) {
	if q.shards[i].pending == 0 {
		return
	}
	for number := range q.attempts {
		a := &q.attempts[number]
		if a.shard != i || a.ended || a.abandoned {
			continue
		}
		a.abandoned = true
		q.shards[i].pending--
		q.actions = append(q.actions, Action{kind: Abandon, attempt: number})
	}
}

// handleFailure decides whether a shard whose exchange failed is asked again.
func (q *Request) handleFailure(now clock.Millis, i int, result replica.Result) {
	s := &q.shards[i]
	if s.pending > 0 {
		return
	}
	if !q.route.Idempotent() && !result.NotRun() {
		q.failShard(i)
		return
	}
	q.retryOrFail(now, i)
}

// retryOrFail sends a retry now, plans one for later, or gives the shard up.
func (q *Request) retryOrFail(now clock.Millis, i int) {
	s := &q.shards[i]
	if !q.delegated && s.reached >= q.route.MaxAttempts() && s.shed == s.reached && s.reached < maxSheds && !q.backlogged(now, s) {
		// The replicas that were asked did not run it. No others may be asked,
		// but these may be asked again.
		s.allowShedReplicas()
	}
	if s.reached >= max(q.route.MaxAttempts(), s.attemptLimit) || s.connectFailures >= maxConnectFailures {
		q.failShard(i)
		return
	}
	r, err := q.pickReplica(now, s)
	if err != nil {
		if len(s.tried) > 0 && s.connectFailures > 0 {
			// All replicas were tried; those that could not be reached may be
			// tried again.
			s.tried = s.tried[:0]
		}
		if q.route.Shards() == nil {
			q.failShard(i)
			return
		}
		q.scheduleRetry(now, i)
		return
	}
	if s.reached > 0 && !s.pool.Budget().Take(now, q.budgetReserve(now)) {
		s.retryAt = now + recheckInterval
		return
	}
	q.send(now, i, r, q.retryPurpose(s))
}

// allowShedReplicas limits a shard to the replicas that have refused it, and allows one
// more exchange with one of them.
func (s *shard) allowShedReplicas() {
	if s.allowed == nil {
		s.allowed = s.tried
	}
	last := s.tried[len(s.tried)-1]
	s.attemptLimit = s.reached + 1
	s.tried = s.pool.Others(s.allowed)
	if len(s.allowed) > 1 {
		s.tried = append(s.tried, last)
	}
}

func (q *Request) retryPurpose(s *shard) Purpose {
	if len(s.tried) == 0 {
		return First
	}
	return Retry
}

// budgetReserve returns what a request must leave in the budget: one that is late
// already leaves some of it to those that are in time.
func (q *Request) budgetReserve(now clock.Millis) float64 {
	if now > q.began+q.route.Objective() {
		return lateRetryReserve
	}
	return 0
}

// scheduleRetry plans to look for a replica again. The daemon that has delegated the
// request looks elsewhere at once.
func (q *Request) scheduleRetry(now clock.Millis, i int) {
	if q.delegated {
		q.failShard(i)
		return
	}
	q.shards[i].retryAt = now + recheckInterval
}

func (q *Request) failShard(i int) {
	if q.shards[i].open() {
		q.failureUnreported = true
		q.shards[i].failed = true
		q.openShards--
	}
}

func (q *Request) tickShard(now clock.Millis, i int) {
	s := &q.shards[i]
	switch {
	case !s.open():
	case s.pending == 0 && now >= s.retryAt:
		q.retryOrFail(now, i)
	case s.pending > 0 && now >= s.hedgeAt:
		q.hedge(now, i)
	}
}

// hedge asks a second replica for a shard that is late.
func (q *Request) hedge(now clock.Millis, i int) {
	s := &q.shards[i]
	if !q.mayHedge(s) {
		s.hedgeAt = never
		return
	}
	s.hedgeAt = now + recheckInterval
	if now+q.expectedLatency/2 > q.answerBy || q.backlogged(now, s) {
		return
	}
	r, err := q.pickReplica(now, s)
	if err != nil || r.Overdue(now, q.expectedLatency) || !s.pool.Budget().Take(now, q.budgetReserve(now)) {
		return
	}
	q.send(now, i, r, Hedge)
}

func (q *Request) mayHedge(s *shard) bool {
	return q.route.Idempotent() && s.reached+s.pending < q.route.MaxAttempts()
}
