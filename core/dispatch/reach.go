package dispatch

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// unservedStep is the weight of one request in the share of unserved ones.
	unservedStep = 0.25
	cutOffShare  = 0.55
	// cutOffExchanges is the number of exchanges with other data centres that
	// must have stayed without an answer, and cutOffSilence for how long.
	cutOffExchanges = 5
	cutOffSilence   = 300 * clock.Millisecond
	// rejoinAfter is the time without an unserved request after which a daemon
	// that has peers in other data centres again takes callers again.
	rejoinAfter = 1500 * clock.Millisecond
)

// Reach tells whether this daemon's data centre is cut off from the others, so
// that callers are served better elsewhere: most requests lately were not
// served, and no replica of another data centre has answered. The zero value is
// ready for use. It is not safe for concurrent use.
type Reach struct {
	unserved   float64
	asked      int // exchanges with other data centres since the last answer
	answeredAt clock.Millis
	unservedAt clock.Millis
	cutOff     bool
}

// Asked counts an exchange that begins with a replica of another data centre.
func (r *Reach) Asked() { r.asked++ }

// Answered takes that a replica of another data centre has answered, whatever
// it said.
func (r *Reach) Answered(now clock.Millis) {
	*r = Reach{answeredAt: now, unserved: r.unserved, unservedAt: r.unservedAt}
}

// Finished takes the outcome of a request. Refusals because of the load and
// requests whose caller has gone say nothing.
func (r *Reach) Finished(now clock.Millis, outcome Outcome) {
	switch outcome.kind {
	case Answered, Gathered:
		r.unserved -= r.unserved * unservedStep
		return
	case Gone:
		return
	case Refused:
		if outcome.busy {
			return
		}
	}
	r.unserved += (1 - r.unserved) * unservedStep
	r.unservedAt = now
	if r.unserved >= cutOffShare && r.asked >= cutOffExchanges && now-r.answeredAt >= cutOffSilence {
		r.cutOff = true
	}
}

// CutOff reports whether callers should use daemons of other data centres.
// Linked says whether this daemon has links to some of them.
func (r *Reach) CutOff(now clock.Millis, linked bool) bool {
	if r.cutOff && linked && now-r.unservedAt > rejoinAfter {
		*r = Reach{answeredAt: now}
	}
	return r.cutOff
}
