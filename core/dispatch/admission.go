package dispatch

import (
	"math"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// admissionFactor is the multiple of the latency objective up to which the
	// queue wait and service time of an admitted request may sum. It is above one
	// because the estimate assumes that replicas work one after the other.
	admissionFactor = 1.2
	// lowPriorityFactor and returningFactor multiply that limit for routes below
	// the highest priority of their services, and for requests that return after a
	// refusal.
	lowPriorityFactor = 0.85
	returningFactor   = 1.25
	// returningTimeFraction is the fraction of the route's timeout below which the
	// time left marks a request as returning.
	returningTimeFraction = 0.85
	// hedgeBacklogFraction is the fraction of the latency objective above which a
	// backlog prevents hedges and repeats at replicas that have shed, since they
	// would only lengthen the queue.
	hedgeBacklogFraction = 0.35
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
}

// queueWait estimates how long a request waits for slots of replicas. An answer
// may leave out the shards with the longest backlogs.
func (q *Request) queueWait(now clock.Millis) clock.Millis {
	backlogs := make([]clock.Millis, len(q.shards))
	groupWork := q.groupWork(now)
	for i := range q.shards {
		backlogs[i] = q.shards[i].pool.Backlog(now, groupWork)
	}
	slices.Sort(backlogs)
	return backlogs[q.requiredShards()-1]
}

// groupWork returns the mean of this daemon's average work over the shards. A daemon of
// a large fleet sends a shard a request too rarely to estimate the load of the shard from
// its own requests there, but all shards of a route get the same requests.
func (q *Request) groupWork(now clock.Millis) clock.Millis {
	sum := clock.Millis(0)
	for i := range q.shards {
		sum += q.shards[i].pool.AverageWork(now)
	}
	return sum / clock.Millis(len(q.shards))
}

// admit reports whether the request is admitted, and otherwise the time after which
// the caller may retry. That time grows with the refusal rate, so that returning
// requests do not arrive in another overload.
func (q *Request) admit(now clock.Millis) (bool, clock.Millis) {
	if q.delegated {
		return true, 0 // admitted by the delegating daemon
	}
	limit := q.route.Objective() * admissionFactor
	if q.lowPriority {
		limit *= lowPriorityFactor
	}
	if q.deadline-now < q.route.Timeout()*returningTimeFraction {
		limit *= returningFactor
	}
	wait := q.queueWait(now)
	excess := wait + q.serviceTime - limit
	if wait == 0 || excess <= 0 {
		q.admission.refusalRate -= q.admission.refusalRate * refusalRateStep
		return true, 0
	}
	q.admission.refusalRate += (1 - q.admission.refusalRate) * refusalRateStep
	probability := math.Pow(1-q.admission.refusalRate, 2) + minAdmissionProbability
	return false, (excess + q.serviceTime) / clock.Millis(probability)
}

// backlogged reports whether another attempt would only lengthen the shard's queue.
func (q *Request) backlogged(now clock.Millis, s *shard) bool {
	return s.pool.Backlog(now, q.groupWork(now)) > q.route.Objective()*hedgeBacklogFraction
}
