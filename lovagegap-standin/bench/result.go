package bench

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
)

// result is what one run measured.
type result struct {
	scenario          scenario
	duration          clock.Millis
	busyTime          clock.Millis // service time spent at upstreams
	latencies         []clock.Millis
	admittedQueries   int
	refusedQueries    int
	coverageSum       float64 // sum of fractions
	completeAnswers   int
	shardsAsked       int
	sent              int
	hedges            int
	retries           int
	dials             int
	remoteSent        int
	aboveColdBound    int // sub-requests above the bound of a cold upstream
	sentAfterTakenOut int // sub-requests that reach a data centre 3 s after it was taken out
	samples           []sample
}

// sample is one query on the time axis.
type sample struct {
	startedAt clock.Millis // since the start
	latency   clock.Millis
	coverage  float64
}

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

func (r *result) recordRefusal(q *execution) {
	sim := q.daemon.simulation
	r.samples = append(r.samples, sample{startedAt: q.startedAt - sim.start, latency: 0, coverage: 0})
	if q.measured {
		r.refusedQueries++
	}
}

func (r *result) sortLatencies() { slices.Sort(r.latencies) }

// quantile returns the latency below which the part q of the answers lay.
func (r *result) quantile(q float64) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	return float64(r.latencies[int(q*float64(len(r.latencies)-1))])
}

// meanCoverage is the coverage of the queries that were admitted.
func (r *result) meanCoverage() float64 { return r.coverageSum / float64(max(r.admittedQueries, 1)) }

// extraLoad is the load beyond one sub-request for each shard.
func (r *result) extraLoad() float64 { return float64(r.sent)/float64(max(r.shardsAsked, 1)) - 1 }

// firstAttempts is the number of sub-requests that are neither hedges nor retries.
func (r *result) firstAttempts() float64 { return float64(max(r.sent-r.hedges-r.retries, 1)) }

// retryAmplification relates first sub-requests and retries to first ones.
func (r *result) retryAmplification() float64 { return 1 + float64(r.retries)/r.firstAttempts() }

// totalAmplification relates all sub-requests to first ones.
func (r *result) totalAmplification() float64 { return float64(r.sent) / r.firstAttempts() }

// completeFraction is the part of all queries that were answered completely in time.
func (r *result) completeFraction() float64 {
	return float64(r.completeAnswers) / float64(max(r.admittedQueries+r.refusedQueries, 1))
}

func (r *result) refusedFraction() float64 {
	return float64(r.refusedQueries) / float64(max(r.admittedQueries+r.refusedQueries, 1))
}

func (r *result) remoteFraction() float64 { return float64(r.remoteSent) / float64(max(r.sent, 1)) }
