package dispatch

import (
	"math"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// gateShare of the objective may be filled by the wait and the work of a
	// request that is let in. It is above one, because the estimate counts all
	// work as if one replica after the other did it.
	gateShare = 1.2
	// laterShare of that is for routes that are not the most urgent ones of
	// their services, and returnShare for requests that were refused before and
	// came back as told.
	laterShare  = 0.85
	returnShare = 1.25
	// returnedLeft is the share of the route's time that is left at most to a
	// request that comes again.
	returnedLeft = 0.85
	// crowdedShare of the objective is the wait from which no hedge is sent: a
	// second exchange would only make the queue longer.
	crowdedShare = 0.35
	refusedStep  = 0.02
	minLetIn     = 0.02
)

// Gate remembers how many requests to a set of services were not let in lately.
// The zero value is ready for use. It is not safe for concurrent use.
type Gate struct {
	refused float64 // share
}

// wait estimates how long a request waits for slots: the longest wait among the
// shards that an answer needs.
func (q *Request) wait(now clock.Millis) clock.Millis {
	backlogs := make([]clock.Millis, len(q.shards))
	for i := range q.shards {
		backlogs[i] = q.shards[i].pool.Backlog(now)
	}
	slices.Sort(backlogs)
	return backlogs[q.needed()-1]
}

// admitted reports whether a request is let in, and otherwise when there may be
// room for it. The longer the more requests were refused lately, so that those
// that come back do not meet the same crowd.
func (q *Request) admitted(now clock.Millis) (bool, clock.Millis) {
	if q.delegated {
		return true, 0 // let in by the other daemon
	}
	allowed := q.route.Objective() * gateShare
	if q.later {
		allowed *= laterShare
	}
	if q.deadline-now < q.route.Timeout()*returnedLeft {
		allowed *= returnShare
	}
	waits := q.wait(now)
	over := waits + q.work - allowed
	if waits == 0 || over <= 0 {
		q.gate.refused -= q.gate.refused * refusedStep
		return true, 0
	}
	q.gate.refused += (1 - q.gate.refused) * refusedStep
	letIn := math.Pow(1-q.gate.refused, 2) + minLetIn
	return false, (over + q.work) / clock.Millis(letIn)
}

// crowded reports whether a hedge to the shard would only add to its queue.
func (q *Request) crowded(now clock.Millis, s *shard) bool {
	return s.pool.Backlog(now) > q.route.Objective()*crowdedShare
}
