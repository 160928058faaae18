package dispatch

import (
	"math"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

const (
	// admissionFactor is the multiple of the latency objective up to which the
	// queue wait and service time of an admitted request may sum. It is above one
	// because the estimate assumes that replicas work one after the other.
	admissionFactor = 1.2
	// lowPriorityFactor and returningFactor multiply that limit for requests below
	// the highest priority of their services, and for requests that return after a
	// refusal. For tenants the first one applies once for each higher priority.
	lowPriorityFactor = 0.85
	returningFactor   = 1.25
	// maxTenantRank bounds the number of higher priorities that reduce what the requests of a
	// tenant get.
	maxTenantRank = 3
	// highestRankShare is the fraction of the requests of each tenant that are treated as of
	// the highest priority. Otherwise a lasting overload admits none of the lowest one: the
	// queues settle just above its limit.
	highestRankShare = 0.35
	// rankReserveFraction is the fraction of the retry budget that the requests of a tenant
	// leave to those of each higher priority.
	rankReserveFraction = 0.15
	// returningTimeFraction is the fraction of the route's timeout below which the
	// time left marks a request as returning.
	returningTimeFraction = 0.85
	// hedgeBacklogFraction is the fraction of the latency objective above which a
	// backlog prevents hedges and repeats at replicas that have shed, since they
	// would only lengthen the queue.
	hedgeBacklogFraction = 0.35
	// maxWaitingFraction is the fraction of exchanges that wait for so long above which
	// hedges and such repeats stop.
	maxWaitingFraction = 0.3
	// The weight of one exchange in that fraction is that of waitingSamples requests to one
	// replica, or of waitingRequests requests to many shards.
	waitingSamples  = 8
	waitingRequests = 1.5
	// refusalRateStep is the weight of one request in the refusal rate.
	refusalRateStep = 0.02
	// minAdmissionProbability bounds the time after which a caller may retry while
	// nearly all requests are refused.
	minAdmissionProbability = 0.02
)

// Admission is the state of the admission control for the requests to a set of
// services. The zero value is ready for use. It is not safe for concurrent use.
type Admission struct {
	refusalRate float64 // recent fraction of requests that were refused, 0 to 1
	// waitingFraction is the recent fraction of exchanges that waited at their replica
	// for longer than hedgeBacklogFraction of the objective, 0 to 1.
	waitingFraction float64
}

// recordWait records whether an exchange waited at its replica, which is known if the
// replica has answered it, or has not for so long. The exchanges of the shards of one
// request show an overload sooner than the estimate from this daemon's share of the
// load, while a few slow replicas do not pass for one. A replica may shed without being
// full, so that is no sign.
func (q *Request) recordWait(age clock.Millis, result replica.Result) {
	late := age-q.serviceTime > q.route.Objective()*hedgeBacklogFraction
	sample := 0.0
	switch {
	case q.delegated:
		return
	case late && (result == replica.OK || result == replica.Abandoned):
		sample = 1
	case result != replica.OK:
		return
	}
	step := 1 / max(waitingSamples, waitingRequests*float64(len(q.shards)))
	q.admission.waitingFraction += (sample - q.admission.waitingFraction) * step
}

// queueWait estimates how long a request waits for slots of replicas. An answer
// may leave out the shards with the longest queues.
func (q *Request) queueWait(now clock.Millis) clock.Millis {
	waits := make([]clock.Millis, len(q.shards))
	for i := range q.shards {
		waits[i] = q.shards[i].pool.QueueWait(now)
	}
	slices.Sort(waits)
	return waits[q.requiredShards()-1]
}

// admit reports whether the request is admitted, and otherwise the time after which
// the caller may retry. That time grows with the refusal rate, so that returning
// requests do not arrive in another overload.
func (q *Request) admit(now clock.Millis) (bool, clock.Millis) {
	if q.delegated {
		return true, 0 // admitted by the delegating daemon
	}
	limit := q.route.Objective() * admissionFactor
	switch {
	case q.tenantRank > 0:
		limit *= q.rankFactor()
	case q.lowPriority:
		limit *= lowPriorityFactor
	}
	if q.returning {
		limit *= returningFactor
	}
	wait := q.queueWait(now)
	excess := wait + q.serviceTime - limit
	if wait == 0 || excess <= 0 || !q.backlogCredible(now) {
		q.admission.refusalRate -= q.admission.refusalRate * refusalRateStep
		return true, 0
	}
	q.admission.refusalRate += (1 - q.admission.refusalRate) * refusalRateStep
	probability := math.Pow(1-q.admission.refusalRate, 2) + minAdmissionProbability
	return false, (excess + q.serviceTime) / clock.Millis(probability)
}

// backlogCredible reports whether the estimated backlog may refuse a request. A daemon
// of a large fleet sends a shard too few requests to estimate its backlog: one that is
// unanswered for long, at a slow replica, counts as much as a full queue. It then takes
// waiting exchanges as the sign of an overload.
func (q *Request) backlogCredible(now clock.Millis) bool {
	return q.shards[0].pool.KnowsLoad(now) || q.admission.waitingFraction > maxWaitingFraction
}

// rankFactor returns the factor for the limits on the requests of the tenant.
func (q *Request) rankFactor() clock.Millis {
	return clock.Millis(math.Pow(lowPriorityFactor, float64(q.tenantRank)))
}

// overloaded reports whether another attempt for the shard would only lengthen the
// queues: many exchanges wait at their replicas, or the shard has a backlog. A daemon of
// a large fleet sends a shard too few requests to know its backlog.
func (q *Request) overloaded(now clock.Millis, s *shard) bool {
	factor := q.rankFactor()
	return q.admission.waitingFraction > maxWaitingFraction*float64(factor) ||
		(s.pool.KnowsLoad(now) && s.pool.QueueWait(now) > q.route.Objective()*hedgeBacklogFraction*factor)
}
