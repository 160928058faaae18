package bench

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
)

// result holds the measurements of one run. The counts leave out warm-up queries, except
// for dials and the counts at the upstreams.
type result struct {
	scenario          scenario
	duration          clock.Millis
	busyTime          clock.Millis // service time spent at upstreams
	latencies         []clock.Millis
	admittedQueries   int
	refusedQueries    int
	coverageSum       float64 // sum over the admitted queries, each from 0 to 1
	completeAnswers   int
	shardsAsked       int
	sent              int
	hedges            int
	retries           int
	dials             int
	remoteSent        int
	aboveColdBound    int // sub-requests above the capacity of a cold upstream
	sentAfterTakenOut int // sub-requests that reach a data centre after evacuationTime
	samples           []sample
}

// sample is one query on the time axis, measured or not.
type sample struct {
	startedAt clock.Millis // of the query, since the start of the run
	latency   clock.Millis
	coverage  float64
}

// recordAnswer records the answer of an admitted query.
func (r *result) recordAnswer(q *execution, answer *query.Answer) {
	sim := q.daemon.simulation
	took := sim.now - q.startedAt
	fraction := answer.Coverage().Fraction()
	r.samples = append(r.samples, sample{startedAt: q.startedAt - sim.start, latency: took, coverage: fraction})
	if !q.measured {
		return
	}
	r.admittedQueries++
	r.latencies = append(r.latencies, took)
	r.coverageSum += fraction
	if fraction == 1 {
		r.completeAnswers++
	}
	r.shardsAsked += sim.service.shardCount
	r.sent += answer.Sent()
	r.hedges += answer.Hedges()
	r.retries += answer.Retries()
	for _, x := range q.exchanges {
		if x.replica.dataCentre != q.daemon.dataCentre {
			r.remoteSent++
		}
	}
}

// recordRefusal records a query that admission refused.
func (r *result) recordRefusal(q *execution) {
	sim := q.daemon.simulation
	r.samples = append(r.samples, sample{startedAt: q.startedAt - sim.start, latency: 0, coverage: 0})
	if q.measured {
		r.refusedQueries++
	}
}

func (r *result) sortLatencies() { slices.Sort(r.latencies) }

// quantile returns the quantile q of the latency in milliseconds, or 0 without answers.
// The latencies must be sorted.
func (r *result) quantile(q float64) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	return float64(r.latencies[int(q*float64(len(r.latencies)-1))])
}

// meanCoverage returns the mean coverage of the admitted queries.
func (r *result) meanCoverage() float64 { return r.coverageSum / float64(max(r.admittedQueries, 1)) }

// extraLoad returns the sub-requests beyond one for each shard, per shard.
func (r *result) extraLoad() float64 { return float64(r.sent)/float64(max(r.shardsAsked, 1)) - 1 }

// firstAttempts returns the number of sub-requests that are neither hedges nor retries, at
// least 1.
func (r *result) firstAttempts() float64 { return float64(max(r.sent-r.hedges-r.retries, 1)) }

// retryAmplification returns first attempts and retries per first attempt.
func (r *result) retryAmplification() float64 { return 1 + float64(r.retries)/r.firstAttempts() }

// totalAmplification returns sub-requests, hedges included, per first attempt.
func (r *result) totalAmplification() float64 { return float64(r.sent) / r.firstAttempts() }

// completeFraction returns the fraction of all queries that were answered with full coverage
// within the deadline.
func (r *result) completeFraction() float64 {
	return float64(r.completeAnswers) / float64(max(r.admittedQueries+r.refusedQueries, 1))
}

// refusedFraction returns the fraction of all queries that admission refused.
func (r *result) refusedFraction() float64 {
	return float64(r.refusedQueries) / float64(max(r.admittedQueries+r.refusedQueries, 1))
}

// remoteFraction returns the fraction of the sub-requests that went to another data centre.
func (r *result) remoteFraction() float64 { return float64(r.remoteSent) / float64(max(r.sent, 1)) }
