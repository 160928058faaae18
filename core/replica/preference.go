package replica

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// The daemon's own data centre is preferred, because bytes between data centres cost money.
// The load that the preference gives way to is a near replica that stays slow, or stands
// still, while farther ones have free slots. With a limit by the objective alone, all daemons
// of a data centre keep sending to a replica that queues, and hedge to its idle siblings.

// candidate is the replica with the lowest score so far.
type candidate struct {
	replica *Replica
	score   clock.Millis
	late    bool // see Criteria.late; for candidates by distance only
}

// offer replaces the candidate by a replica with a lower score, and reports whether it did.
func (c *candidate) offer(r *Replica, score clock.Millis) bool {
	if c.replica != nil && score >= c.score {
		return false
	}
	c.replica, c.score = r, score
	return true
}

// preferNearer chooses between the best candidates of each distance.
func (c *Criteria) preferNearer(now clock.Millis, best *[distanceCount]candidate) candidate {
	chosen := best[distanceCount-1]
	for _, nearer := range slices.Backward(best[:distanceCount-1]) {
		if nearer.replica != nil && (chosen.replica == nil || nearer.score <= chosen.score ||
			nearer.score <= c.localPreferenceLimit && nearer.maintainsPreference(now)) {
			chosen = nearer
		}
	}
	return chosen
}

// maintainsPreference reports whether a nearer replica with a higher score than a farther one
// may be preferred. One that fails may not, since the repeat of a request is worth more than
// the traffic that it saves. One that is late may not either: its requests are sent to the
// farther one too, so that no traffic is saved.
func (c *candidate) maintainsPreference(now clock.Millis) bool {
	return !c.late && c.replica.failureRate(now) < maxHealthyFailureRate
}

// late reports whether the replica answers later than Criteria.LateAfter allows, given the
// latency of its recent answers and the age of an exchange that is overdue. Late answers
// that one pause explains are over when they are known, and do not count. Neither do
// unanswered exchanges that are not overdue: such a queue is short.
func (c *Criteria) late(r *Replica, latency, overdue clock.Millis) bool {
	if c.lateAfter == 0 {
		return false
	}
	return overdue >= c.lateAfter || (latency >= c.lateAfter && (r.late.lasting || r.slownessFromPeer))
}
