package dispatch

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

const (
	// minDelegatedShards is the number of shards from which they are delegated.
	minDelegatedShards = 3
	// delegationRoundTrip is the time for the way to the other daemon and back. Twice of
	// it may pass until its first report comes.
	delegationRoundTrip = 6 * clock.Millisecond
)

// delegation is the shards that a daemon of another data centre gathers for this
// request, so that one answer crosses between the data centres instead of one
// for each shard. That daemon asks one replica of its own data centre for each;
// hedges and retries are sent from here, to other data centres. It reports at
// once what it gives up, the parts that it has when a hedge is due, and the
// others one by one.
type delegation struct {
	dataCentre string
	attempt    int   // its attempt
	shards     []int // without an end so far; their work counts
	hedgeDue   bool  // whether it was reported that a hedge is due
}

// DelegationReport is what the daemon that gathers reports about the shards, by service.
type DelegationReport struct {
	Covered  []string // their parts have come, merged into one
	Failed   []string // the replica that was asked gives no part
	Shed     []string // it did not run the request
	HedgeDue bool     // a hedge of the others is due
	Last     bool     // no other report follows
	NotRun   bool     // no replica was asked
}

// delegate hands the shards without a replica in this data centre to a daemon of
// the one that has most of them. Where there is one, but another is better at
// the moment, the choice is left to this daemon.
func (q *Request) delegate(now clock.Millis) {
	if len(q.delegateDataCentres) == 0 || q.route.Shards() == nil || !q.route.Idempotent() {
		return
	}
	var elsewhere []int
	for i := range q.shards {
		if q.shards[i].pool.HasNear(now) {
			continue
		}
		if r, err := q.pickReplica(now, &q.shards[i]); err == nil && !r.Near() {
			elsewhere = append(elsewhere, i)
		}
	}
	var shards []int
	chosen := ""
	for _, dataCentre := range q.delegateDataCentres {
		var found []int
		for _, i := range elsewhere {
			// Without a replica elsewhere the shard could not be hedged from here.
			if inside, outside := q.shards[i].pool.Around(now, dataCentre, q.route.AllowedRegions()); inside > 0 && outside > 0 {
				found = append(found, i)
			}
		}
		if len(found) > len(shards) {
			shards, chosen = found, dataCentre
		}
	}
	if len(shards) < minDelegatedShards {
		return
	}
	q.delegation = &delegation{dataCentre: chosen, attempt: len(q.attempts), shards: shards}
	q.attempts = append(q.attempts, attempt{shard: -1, began: now})
	names := make([]string, len(shards))
	for n, i := range shards {
		s := &q.shards[i]
		names[n] = s.pool.Service()
		s.pending++
		s.tried = s.pool.In(chosen)
		s.pool.AddWork(now, q.serviceTime)
		s.hedgeAt = now + q.hedgeDelay() + 2*delegationRoundTrip
	}
	q.actions = append(q.actions, Action{
		kind: Delegate, attempt: q.delegation.attempt, shards: names, dataCentre: chosen,
		at: q.deadline, reportIn: max(minHedgeDelay, q.hedgeDelay()-delegationRoundTrip),
	})
}

// HandleDelegationReport takes a report of the delegation. A merged part is used as a whole,
// also where a shard was answered here meanwhile.
func (q *Request) HandleDelegationReport(now clock.Millis, told DelegationReport) []Action {
	d := q.delegation
	a := &q.attempts[d.attempt]
	if a.ended {
		return nil
	}
	a.ended = told.Last
	over := a.abandoned || q.finished
	var left, failed []int
	for _, i := range d.shards {
		s := &q.shards[i]
		service := s.pool.Service()
		covered, shed := slices.Contains(told.Covered, service), slices.Contains(told.Shed, service)
		gaveUp := slices.Contains(told.Failed, service)
		if !covered && !shed && !gaveUp && !told.Last {
			left = append(left, i)
			continue
		}
		s.pool.AddWork(now, -q.serviceTime)
		switch {
		case over:
		case covered:
			q.mayHaveRun = true
			q.recordDelegateResult(now, s, replica.OK)
			s.pending--
			if s.winner >= 0 {
				s.winner = d.attempt
			} else {
				q.markCovered(i, d.attempt)
			}
		case shed:
			q.recordDelegateResult(now, s, replica.Shed)
			s.shed++
			s.reached++
			failed = append(failed, i)
		case gaveUp, !told.NotRun:
			if gaveUp {
				q.recordDelegateResult(now, s, replica.Failed)
			}
			q.mayHaveRun = true
			s.reached++
			failed = append(failed, i)
		default:
			failed = append(failed, i)
		}
	}
	d.shards = left
	if over {
		return nil
	}
	if told.HedgeDue && !d.hedgeDue {
		d.hedgeDue = true
		for _, i := range left {
			q.shards[i].hedgeAt = now
		}
	}
	for _, i := range failed {
		q.handleUncovered(now, i, told.NotRun)
	}
	return q.advance(now)
}

// recordDelegateResult takes what the other daemon found out about a replica, if it is known
// which one it asked.
func (q *Request) recordDelegateResult(now clock.Millis, s *shard, result replica.Result) {
	if asked := s.pool.In(q.delegation.dataCentre); len(asked) == 1 {
		asked[0].Told(now, result)
	}
}

// handleUncovered decides about a shard whose part does not come.
func (q *Request) handleUncovered(now clock.Millis, i int, notRun bool) {
	s := &q.shards[i]
	s.pending--
	if !s.open() || s.pending > 0 {
		return
	}
	if notRun {
		s.tried = nil
	}
	q.retryOrFail(now, i)
}

// queueReport tells the daemon that has delegated this request what is new: at once
// which shards it must ask itself, and the parts from when it would hedge.
func (q *Request) queueReport(now clock.Millis) {
	due := now >= q.reportAt
	if !due && !q.failureUnreported {
		return
	}
	outcome := q.unreportedOutcome("")
	outcome.hedgeDue = due
	news := len(outcome.covered)+len(outcome.failed)+len(outcome.shed) > 0
	if news || (due && !q.hedgeDueReported) {
		q.hedgeDueReported = q.hedgeDueReported || due
		q.actions = append(q.actions, Action{kind: Report, outcome: outcome})
	}
	q.failureUnreported = false
}

// unreportedOutcome returns the parts that were not reported yet.
func (q *Request) unreportedOutcome(reason string) Outcome {
	outcome := Outcome{kind: Gathered, reason: reason}
	for i := range q.shards {
		s := &q.shards[i]
		service := s.pool.Service()
		switch {
		case s.reported:
			continue
		case s.winner >= 0:
			outcome.covered = append(outcome.covered, service)
			if !slices.Contains(outcome.parts, s.winner) { // a delegation covers several shards
				outcome.parts = append(outcome.parts, s.winner)
			}
		case q.delegated && s.failed && s.reached == s.shed:
			outcome.shed = append(outcome.shed, service)
		case q.delegated && s.failed:
			outcome.failed = append(outcome.failed, service)
		default:
			outcome.missing = append(outcome.missing, service)
			continue
		}
		s.reported = true
	}
	return outcome
}
