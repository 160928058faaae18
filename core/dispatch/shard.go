package dispatch

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

// shard is the state of one of the services that a request is sent to.
type shard struct {
	pool            *replica.Pool
	tried           []*replica.Replica // excluded from the next pick
	shedBy          []*replica.Replica // replicas that shed an attempt, the last one at the end
	allowed         []*replica.Replica // for further attempts; nil for all
	version         replica.VersionChoice
	drawn           bool // whether version is set
	counted         bool // in the traffic of a release
	raisedLimit     int  // raises the route's limit of attempts if greater
	reached         int  // attempts that reached a replica of the service
	shed            int  // attempts that the replica shed
	connectFailures int  // attempts that reached no replica of the service
	pending         int  // attempts and delegations without a result
	failedReply     int  // last attempt answered with an error of the replica, or -1
	winner          int  // attempt or delegation that covered the shard, or -1
	failed          bool
	reported        bool         // to the daemon that delegated the request
	starved         bool         // waits for the retry budget
	withheld        string       // reason for which the last hedge that was due was withheld, or ""
	sentAt          clock.Millis // start of the first pending attempt or the delegation
	resentAt        clock.Millis // start of the last one if several are pending
	hedgeAt         clock.Millis
	retryAt         clock.Millis
}

// open reports whether the shard may still be covered.
func (s *shard) open() bool { return s.winner < 0 && !s.failed }

// pickReplica selects the replica for the next attempt. It returns an error if
// none is available.
func (q *Request) pickReplica(now clock.Millis, s *shard) (*replica.Replica, error) {
	criteria := replica.NewCriteria(q.expectedLatency, s.tried).
		PreferLocalWithin(q.route.Objective() * localLatencyFraction).
		LateAfter(q.hedgeDelay()).
		InRegions(q.route.AllowedRegions())
	if s.pool.HasRelease() {
		if !s.drawn {
			s.version, s.drawn = s.pool.DrawVersion(now), true
		}
		criteria = criteria.OfVersion(s.version)
	}
	if !q.route.Idempotent() {
		criteria = criteria.NonIdempotent()
	}
	if q.delegated {
		criteria = criteria.LocalOnly()
	}
	if s.allowed != nil {
		criteria = criteria.Among(s.allowed)
	}
	return s.pool.Pick(now, criteria)
}

// sendFirst makes the first attempt for shard i, or schedules it if no replica is
// available.
func (q *Request) sendFirst(now clock.Millis, i int) {
	s := &q.shards[i]
	r, err := q.pickReplica(now, s)
	if err != nil {
		q.scheduleRetry(now, i)
		return
	}
	q.send(now, i, r, First)
}

// send makes an attempt for shard i at the replica.
func (q *Request) send(now clock.Millis, i int, r *replica.Replica, purpose Purpose) {
	s := &q.shards[i]
	s.tried = append(s.tried, r)
	s.pending++
	s.recordStart(now)
	s.starved = false
	if !s.counted {
		s.counted = true
		s.pool.RecordDraw()
	}
	s.hedgeAt = now + q.hedgeDelay()
	r.Begin(now, q.serviceTime)
	q.attempts = append(q.attempts, attempt{shard: i, replica: r, startedAt: now})
	q.actions = append(q.actions, Action{
		kind: Send, attempt: len(q.attempts) - 1, shard: i, purpose: purpose, replica: r, at: q.replyBy,
	})
}

// recordStart records the start of an attempt that is already counted as pending.
func (s *shard) recordStart(now clock.Millis) {
	if s.pending == 1 {
		s.sentAt = now
		return
	}
	s.resentAt = now
}

// hedgeDelay returns the time after which an attempt is hedged.
func (q *Request) hedgeDelay() clock.Millis {
	return max(minHedgeDelay, q.expectedLatency*hedgeDelayFactor)
}

// markCovered records that the given attempt or delegation covers shard i.
func (q *Request) markCovered(i, number int) {
	s := &q.shards[i]
	s.winner = number
	q.coveredShards++
	q.openShards--
	q.abandonAttempts(i)
}

// abandonAttempts abandons the pending attempts of shard i.
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

// handleFailure retries or fails shard i, unless another attempt is pending.
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

// retryOrFail makes another attempt for shard i, schedules one, or fails the shard.
func (q *Request) retryOrFail(now clock.Millis, i int) {
	s := &q.shards[i]
	s.starved = false
	if q.noAttempts != "" {
		q.failShard(i)
		return
	}
	if !q.delegated && s.reached >= q.attemptLimit(s) && s.shed == s.reached && s.reached < maxSheds &&
		len(s.shedBy) > 0 && !q.overloaded(now, s) {
		// The attempts are used up, but none has run the request. The route
		// allows no further replicas, so the same ones are retried.
		s.allowShedReplicas()
	}
	if s.reached >= q.attemptLimit(s) || s.connectFailures >= maxConnectFailures || (q.noRepeats && s.reached > 0) {
		q.failShard(i)
		return
	}
	r, err := q.pickReplica(now, s)
	if err != nil {
		if len(s.tried) > 0 && s.connectFailures > 0 {
			// No untried replica is left; those that could not be reached may be
			// retried.
			s.tried = s.tried[:0]
		}
		if q.route.Shards() == nil {
			q.failShard(i)
			return
		}
		q.scheduleRetry(now, i)
		return
	}
	if s.reached > 0 && !s.pool.Budget().Take(now, q.budgetReserve(now, s.pool)) {
		s.starved = true
		s.retryAt = now + recheckInterval
		return
	}
	q.send(now, i, r, q.retryPurpose(s))
}

// attemptLimit returns how many attempts for the shard may reach a replica.
func (q *Request) attemptLimit(s *shard) int { return max(q.route.MaxAttempts(), s.raisedLimit) }

// recordShed records that a replica has shed an attempt for the shard.
func (s *shard) recordShed(by *replica.Replica) {
	s.shed++
	s.shedBy = append(slices.DeleteFunc(s.shedBy, func(r *replica.Replica) bool { return r == by }), by)
}

// allowShedReplicas restricts the shard to the replicas that have shed it, and
// allows one more attempt at one of them, if possible not the last one.
func (s *shard) allowShedReplicas() {
	s.allowed = slices.Clone(s.shedBy)
	s.raisedLimit = s.reached + 1
	s.tried = s.tried[:0]
	if len(s.allowed) > 1 {
		s.tried = append(s.tried, s.allowed[len(s.allowed)-1])
	}
}

// retryPurpose returns First if no tried replica is recorded: before any attempt,
// after a delegation that was not run, or after the tried replicas were reset.
func (q *Request) retryPurpose(s *shard) Purpose {
	if len(s.tried) == 0 && s.allowed == nil {
		return First
	}
	return Retry
}

// starved reports whether the minimum coverage is out of reach unless the retry budget
// recovers. A caller that retries now gets first attempts, which need no budget; a
// request that is itself such a retry waits instead, since its caller may not send
// another one.
func (q *Request) starved(required int) bool {
	if q.returning {
		return false
	}
	reachable := q.coveredShards
	for i := range q.shards {
		if s := &q.shards[i]; s.open() && (s.pending > 0 || !s.starved) {
			reachable++
		}
	}
	return reachable < required
}

// budgetReserve returns the number of attempts that must remain in the retry
// budget of a pool after this request has taken one.
func (q *Request) budgetReserve(now clock.Millis, p *replica.Pool) float64 {
	reserve := p.Budget().Size(now) * rankReserveFraction * float64(q.tenantRank)
	if now > q.startedAt+q.route.Objective() {
		return max(reserve, lateRetryReserve)
	}
	return reserve
}

// hedgeReserve returns the number of attempts that hedges leave in the retry budget of a
// pool, for retries, while some of its replicas fail.
func hedgeReserve(now clock.Millis, p *replica.Pool) float64 {
	if !p.HasFailing(now) {
		return 0
	}
	return p.Budget().Size(now) * hedgeReserveFraction
}

// scheduleRetry schedules another pick for shard i. It fails the shard of a
// delegated request, since the delegating daemon retries it without delay in
// other data centres.
func (q *Request) scheduleRetry(now clock.Millis, i int) {
	if q.delegated {
		q.failShard(i)
		return
	}
	q.shards[i].retryAt = now + recheckInterval
}

// failShard marks shard i as failed if it is still open.
func (q *Request) failShard(i int) {
	if q.shards[i].open() {
		q.failureUnreported = true
		q.shards[i].failed = true
		q.openShards--
	}
}

// tickShard makes the retry or hedge of shard i that is due.
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

// Reasons for which a hedge that is due is withheld, as the log shows them.
const (
	withheldTooLate  = "too late"
	withheldOverload = "overload"
	withheldReplica  = "no replica"
	withheldOverdue  = "other replica overdue"
	withheldNoBudget = "budget"
	withheldRefused  = "refused"
)

// hedge makes a second attempt for shard i, unless it is unlikely to answer in
// time or to help, or the retry budget is exhausted.
func (q *Request) hedge(now clock.Millis, i int) {
	s := &q.shards[i]
	if !q.mayHedge(s) {
		s.hedgeAt = never
		return
	}
	s.hedgeAt = now + recheckInterval
	r, err := q.pickReplica(now, s)
	switch {
	case q.noAttempts != "":
		s.withheld = withheldRefused
	case now+q.expectedLatency*hedgeTimeFraction > q.answerBy:
		s.withheld = withheldTooLate
	case q.overloaded(now, s):
		s.withheld = withheldOverload
	case err != nil || r.LastResort(now):
		s.withheld = withheldReplica
	case r.Overdue(now, q.expectedLatency):
		s.withheld = withheldOverdue
	case !s.pool.Budget().Take(now, max(q.budgetReserve(now, s.pool), hedgeReserve(now, s.pool))):
		s.withheld = withheldNoBudget
	default:
		s.withheld = ""
		q.send(now, i, r, Hedge)
	}
}

// WithheldHedge is a shard that has no answer and whose hedge was withheld.
type WithheldHedge struct {
	Service string `json:"service"`
	Reason  string `json:"reason"`
}

// WithheldHedges returns the shards without an answer whose hedge was withheld when it
// was last due, for logs.
func (q *Request) WithheldHedges() []WithheldHedge {
	var found []WithheldHedge
	for i := range q.shards {
		if s := &q.shards[i]; s.winner < 0 && s.withheld != "" {
			found = append(found, WithheldHedge{Service: s.pool.Service(), Reason: s.withheld})
		}
	}
	return found
}

// UnavailableService is a service of which no replica can be asked, with the number of its
// listed replicas in each state, as replica.Set.CountByState names them.
type UnavailableService struct {
	Service string         `json:"service"`
	States  map[string]int `json:"states"`
}

// UnavailableServices returns the services of which no replica can be asked, for logs, if
// the request was refused for that reason.
func (q *Request) UnavailableServices(now clock.Millis) []UnavailableService {
	if !q.lacksReplicas {
		return nil
	}
	var found []UnavailableService
	for i := range q.shards {
		s := &q.shards[i]
		if _, err := q.pickReplica(now, s); err != nil {
			found = append(found, UnavailableService{Service: s.pool.Service(), States: s.pool.CountByState(now)})
		}
	}
	return found
}

// mayHedge reports whether the shard may be hedged: on an idempotent route and
// below its limit of attempts.
func (q *Request) mayHedge(s *shard) bool {
	return !q.noRepeats && q.route.Idempotent() && s.reached+s.pending < q.route.MaxAttempts()
}
