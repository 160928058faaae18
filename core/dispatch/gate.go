package dispatch

import (
	"math"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// admissionFactor of the objective may be filled by the wait and the work of a
	// request that is let in. It is above one, because the estimate counts all
	// work as if one replica after the other did it.
	admissionFactor = 1.2
	// lowPriorityFactor of that is for routes that are not the most urgent ones of
	// their services, and returnShare for requests that were refused before and
	// came back as told.
	lowPriorityFactor = 0.85
	returningFactor   = 1.25
	// returningTimeFraction is the share of the route's time that is left at most to a
	// request that comes again.
	returningTimeFraction = 0.85
	// hedgeBacklogFraction of the objective is the wait from which no hedge is sent: a
	// second exchange would only make the queue longer.
	hedgeBacklogFraction    = 0.35
	refusalRateStep         = 0.02
	minAdmissionProbability = 0.02
)

// Admission remembers how many requests to a set of services were not let in lately.
// The zero value is ready for use. It is not safe for concurrent use.
type Admission struct {
	refusalRate float64 // share
}

// queueWait estimates how long a request waits for slots: the longest wait among the
// shards that an answer needs.
func (q *Request) queueWait(now clock.Millis) clock.Millis {
	backlogs := make([]clock.Millis, len(q.shards))
	for i := range q.shards {
		backlogs[i] = q.shards[i].pool.Backlog(now)
	}
	slices.Sort(backlogs)
	return backlogs[q.requiredShards()-1]
}

// admit reports whether a request is let in, and otherwise when there may be
// room for it. The longer the more requests were refused lately, so that those
// that come back do not meet the same crowd.
func (q *Request) admit(now clock.Millis) (bool, clock.Millis) {
	if q.delegated {
		return true, 0 // let in by the other daemon
	}
	allowed := q.route.Objective() * admissionFactor
	if q.lowPriority {
		allowed *= lowPriorityFactor
	}
	if q.deadline-now < q.route.Timeout()*returningTimeFraction {
		allowed *= returningFactor
	}
	waits := q.queueWait(now)
	over := waits + q.serviceTime - allowed
	if waits == 0 || over <= 0 {
		q.admission.refusalRate -= q.admission.refusalRate * refusalRateStep
		return true, 0
	}
	q.admission.refusalRate += (1 - q.admission.refusalRate) * refusalRateStep
	letIn := math.Pow(1-q.admission.refusalRate, 2) + minAdmissionProbability
	return false, (over + q.serviceTime) / clock.Millis(letIn)
}

// backlogged reports whether a hedge to the shard would only add to its queue.
func (q *Request) backlogged(now clock.Millis, s *shard) bool {
	return s.pool.Backlog(now) > q.route.Objective()*hedgeBacklogFraction
}
