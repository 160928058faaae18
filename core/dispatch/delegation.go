package dispatch

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

const (
	// minDelegatedShards is the least number of shards in a delegation.
	minDelegatedShards = 3
	// delegationRoundTrip is the expected time of a round trip to the other daemon.
	// Hedges of delegated shards are delayed by twice this time, so that its first
	// report arrives before them.
	delegationRoundTrip = 6 * clock.Millisecond
)

// delegation is the set of shards that a daemon of another data centre gathers
// for this request, so that one merged answer crosses between the data centres
// instead of one for each shard. That daemon sends each shard to a replica of its
// own data centre. This daemon hedges and retries them at replicas elsewhere.
// The other daemon reports failed shards immediately, the covered ones when a
// hedge is due, and any later ones one by one.
type delegation struct {
	dataCentre string
	attempt    int   // number of the delegation among the attempts
	shards     []int // neither covered nor failed yet; counted in the backlog of their pools
	hedgeDue   bool  // reported by the other daemon
}

// DelegationReport is a report of the daemon that gathers delegated shards. The
// shards are named by service and not repeated in later reports.
type DelegationReport struct {
	Covered  []string // merged into one answer
	Failed   []string // the attempt failed and may have run
	Shed     []string // no replica ran the request
	HedgeDue bool     // the remaining shards should be hedged
	Last     bool     // no other report follows
	NotRun   bool     // no attempt was made for the shards not listed
}

// delegate delegates the shards that have no available replica in this data
// centre to a daemon of the data centre that has replicas for most of them. A
// shard with a local replica is not delegated, even if a remote one is faster at
// the moment, so that this daemon selects the replica for each attempt.
func (q *Request) delegate(now clock.Millis) {
	if len(q.delegateDataCentres) == 0 || q.route.Shards() == nil || !q.route.Idempotent() {
		return
	}
	var remote []int
	for i := range q.shards {
		if q.shards[i].pool.HasLocal(now) {
			continue
		}
		if r, err := q.pickReplica(now, &q.shards[i]); err == nil && !r.Local() {
			remote = append(remote, i)
		}
	}
	var shards []int
	chosen := ""
	for _, dataCentre := range q.delegateDataCentres {
		var delegable []int
		for _, i := range remote {
			// A hedge needs a replica outside that data centre.
			if inside, outside := q.shards[i].pool.CountByDataCentre(now, dataCentre, q.route.AllowedRegions()); inside > 0 && outside > 0 {
				delegable = append(delegable, i)
			}
		}
		if len(delegable) > len(shards) {
			shards, chosen = delegable, dataCentre
		}
	}
	if len(shards) < minDelegatedShards {
		return
	}
	q.delegation = &delegation{dataCentre: chosen, attempt: len(q.attempts), shards: shards}
	q.attempts = append(q.attempts, attempt{shard: -1, startedAt: now})
	services := make([]string, len(shards))
	for n, i := range shards {
		s := &q.shards[i]
		services[n] = s.pool.Service()
		s.pending++
		s.recordStart(now + delegationRoundTrip)
		s.tried = s.pool.InDataCentre(chosen)
		s.pool.BeginRequest(now, q.serviceTime)
		s.hedgeAt = now + q.hedgeDelay() + 2*delegationRoundTrip
	}
	q.actions = append(q.actions, Action{
		kind: Delegate, attempt: q.delegation.attempt, shards: services, dataCentre: chosen,
		at: q.replyBy, reportIn: q.delegateReportIn(now),
	})
}

// delegateReportIn returns the time after which a delegate first reports: before a hedge
// is due here, and so early that its report, delayed as this daemon's own answers are,
// arrives while the answer may still wait for it.
func (q *Request) delegateReportIn(now clock.Millis) clock.Millis {
	latest := q.partialAt - now - q.delays.reserve(minPriorMargin)
	return max(minHedgeDelay, min(q.hedgeDelay(), latest)-delegationRoundTrip)
}

// HandleDelegationReport handles a report of the daemon that gathers the delegated
// shards. A merged answer cannot be split, so it replaces the answers of this
// daemon's own attempts for the same shards. Reports after the last are ignored.
func (q *Request) HandleDelegationReport(now clock.Millis, report DelegationReport) []Action {
	d := q.delegation
	a := &q.attempts[d.attempt]
	if a.ended {
		return nil
	}
	a.ended = report.Last
	done := a.abandoned || q.finished
	var remaining, uncovered []int
	for _, i := range d.shards {
		s := &q.shards[i]
		service := s.pool.Service()
		covered, shed := slices.Contains(report.Covered, service), slices.Contains(report.Shed, service)
		failed := slices.Contains(report.Failed, service)
		if !covered && !shed && !failed && !report.Last {
			remaining = append(remaining, i)
			continue
		}
		s.pool.EndRequest(now, q.serviceTime)
		switch {
		case done:
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
			uncovered = append(uncovered, i)
		case failed, !report.NotRun:
			if failed {
				q.recordDelegateResult(now, s, replica.Failed)
			}
			q.mayHaveRun = true
			s.reached++
			uncovered = append(uncovered, i)
		default:
			uncovered = append(uncovered, i)
		}
	}
	d.shards = remaining
	if done {
		return nil
	}
	if report.HedgeDue && !d.hedgeDue {
		d.hedgeDue = true
		for _, i := range remaining {
			q.shards[i].hedgeAt = now
		}
	}
	for _, i := range uncovered {
		q.handleUncovered(now, i, report.NotRun)
	}
	return q.advance(now)
}

// recordDelegateResult records a result of the other daemon for the replica that
// gave it, if that data centre has only one for the shard. With several, the
// report does not tell which one it was.
func (q *Request) recordDelegateResult(now clock.Millis, s *shard, result replica.Result) {
	if replicas := s.pool.InDataCentre(q.delegation.dataCentre); len(replicas) == 1 {
		replicas[0].ReceiveResult(now, result)
	}
}

// handleUncovered retries or fails a delegated shard that the other daemon did not
// cover, unless it is covered, failed or hedged already.
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

// queueReport queues a Report to the daemon that delegated this request:
// immediately for failed shards, from reportAt on for covered ones. The first Report
// from reportAt on is queued even without shards, because it states that hedges are
// due.
func (q *Request) queueReport(now clock.Millis) {
	due := now >= q.reportAt
	if !due && !q.failureUnreported {
		return
	}
	outcome := q.unreportedOutcome("")
	outcome.hedgeDue = due
	unreported := len(outcome.covered)+len(outcome.failed)+len(outcome.shed) > 0
	if unreported || (due && !q.hedgeDueReported) {
		q.hedgeDueReported = q.hedgeDueReported || due
		q.actions = append(q.actions, Action{kind: Report, outcome: outcome})
	}
	q.failureUnreported = false
}

// unreportedOutcome returns the shards that no earlier Report held, and marks them
// as reported.
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
