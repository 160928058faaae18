package dispatch

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

// shard is one of the services that a request asks.
type shard struct {
	pool     *replica.Pool
	tried    []*replica.Replica
	asked    []*replica.Replica // all that may be asked any more, or nil for any
	limit    int                // exchanges that are allowed, if above the attempts
	arrived  int                // exchanges that reached a replica
	shed     int                // those of them that the replica refused
	connects int
	pending  int
	reply    int // last exchange that ended with a replica's own failure, or -1
	winner   int // exchange that covered the shard, or -1
	lost     bool
	reported bool // to the daemon that has delegated the request
	hedgeAt  clock.Millis
	retryAt  clock.Millis
}

func (s *shard) open() bool { return s.winner < 0 && !s.lost }

func (q *Request) pick(now clock.Millis, s *shard) (*replica.Replica, error) {
	ask := replica.NewCriteria(q.expected, s.tried).PreferLocalWithin(q.route.Objective() * earlyShare).InRegions(q.route.Regions())
	if !q.route.Idempotent() {
		ask = ask.NonIdempotent()
	}
	if q.delegated {
		ask = ask.LocalOnly()
	}
	return s.pool.Pick(now, ask)
}

func (q *Request) first(now clock.Millis, i int) {
	s := &q.shards[i]
	r, err := q.pick(now, s)
	if err != nil {
		q.comeBack(now, i)
		return
	}
	q.send(now, i, r, First)
}

func (q *Request) send(now clock.Millis, i int, r *replica.Replica, purpose Purpose) {
	s := &q.shards[i]
	s.tried = append(s.tried, r)
	s.pending++
	s.hedgeAt = now + q.hedgeDelay()
	r.Begin(now, q.work)
	q.attempts = append(q.attempts, attempt{shard: i, replica: r, began: now})
	q.actions = append(q.actions, Action{
		kind: Send, attempt: len(q.attempts) - 1, shard: i, purpose: purpose, replica: r, at: q.deadline,
	})
}

// hedgeDelay is the time after which an answer is late.
func (q *Request) hedgeDelay() clock.Millis { return max(minHedge, q.expected*hedgeFactor) }

func (q *Request) cover(i, number int) {
	s := &q.shards[i]
	s.winner = number
	q.covered++
	q.open--
	q.drop(i)
}

// drop abandons the exchanges of a shard that is decided.
func (q *Request) drop(i int) {
	if q.shards[i].pending == 0 {
		return
	}
	for number := range q.attempts {
		a := &q.attempts[number]
		if a.shard != i || a.ended || a.dropped {
			continue
		}
		a.dropped = true
		q.shards[i].pending--
		q.actions = append(q.actions, Action{kind: Abandon, attempt: number})
	}
}

// failed decides whether a shard whose exchange failed is asked again.
func (q *Request) failed(now clock.Millis, i int, result replica.Result) {
	s := &q.shards[i]
	if s.pending > 0 {
		return
	}
	if !q.route.Idempotent() && !result.NotRun() {
		q.lose(i)
		return
	}
	q.again(now, i)
}

// again sends a retry now, plans one for later, or gives the shard up.
func (q *Request) again(now clock.Millis, i int) {
	s := &q.shards[i]
	if !q.delegated && s.arrived >= q.route.Attempts() && s.shed == s.arrived && s.arrived < maxSheds && !q.crowded(now, s) {
		// The replicas that were asked did not run it. No others may be asked,
		// but these may be asked again.
		s.askAgain()
	}
	if s.arrived >= max(q.route.Attempts(), s.limit) || s.connects >= maxConnects {
		q.lose(i)
		return
	}
	r, err := q.pick(now, s)
	if err != nil {
		if len(s.tried) > 0 && s.connects > 0 {
			// All replicas were tried; those that could not be reached may be
			// tried again.
			s.tried = s.tried[:0]
		}
		if q.route.Shards() == nil {
			q.lose(i)
			return
		}
		q.comeBack(now, i)
		return
	}
	if s.arrived > 0 && !s.pool.Budget().Take(now, q.reserve(now)) {
		s.retryAt = now + recheck
		return
	}
	q.send(now, i, r, q.retryPurpose(s))
}

// askAgain limits a shard to the replicas that have refused it, and allows one
// more exchange with one of them.
func (s *shard) askAgain() {
	if s.asked == nil {
		s.asked = s.tried
	}
	last := s.tried[len(s.tried)-1]
	s.limit = s.arrived + 1
	s.tried = s.pool.Except(s.asked)
	if len(s.asked) > 1 {
		s.tried = append(s.tried, last)
	}
}

func (q *Request) retryPurpose(s *shard) Purpose {
	if len(s.tried) == 0 {
		return First
	}
	return Retry
}

// reserve returns what a request must leave in the budget: one that is late
// already leaves some of it to those that are in time.
func (q *Request) reserve(now clock.Millis) float64 {
	if now > q.began+q.route.Objective() {
		return lateReserve
	}
	return 0
}

// comeBack plans to look for a replica again. The daemon that has delegated the
// request looks elsewhere at once.
func (q *Request) comeBack(now clock.Millis, i int) {
	if q.delegated {
		q.lose(i)
		return
	}
	q.shards[i].retryAt = now + recheck
}

func (q *Request) lose(i int) {
	if q.shards[i].open() {
		q.gaveUp = true
		q.shards[i].lost = true
		q.open--
	}
}

func (q *Request) tickShard(now clock.Millis, i int) {
	s := &q.shards[i]
	switch {
	case !s.open():
	case s.pending == 0 && now >= s.retryAt:
		q.again(now, i)
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
	s.hedgeAt = now + recheck
	if now+q.expected/2 > q.final || q.crowded(now, s) {
		return
	}
	r, err := q.pick(now, s)
	if err != nil || r.Overdue(now, q.expected) || !s.pool.Budget().Take(now, q.reserve(now)) {
		return
	}
	q.send(now, i, r, Hedge)
}

func (q *Request) mayHedge(s *shard) bool {
	return q.route.Idempotent() && s.arrived+s.pending < q.route.Attempts()
}
