package dispatch

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// unservedStep is the weight of one request in the share of unserved ones.
	unservedStep           = 0.25
	cutOffUnservedFraction = 0.55
	// cutOffUnanswered is the number of exchanges with other data centres that
	// must have stayed without an answer, and cutOffSilence for how long.
	cutOffUnanswered = 5
	cutOffSilence    = 300 * clock.Millisecond
	// rejoinAfter is the time without an unserved request after which a daemon
	// that has peers in other data centres again takes callers again.
	rejoinAfter = 1500 * clock.Millisecond
)

// PartitionDetector tells whether this daemon's data centre is cut off from the others, so
// that callers are served better elsewhere: most requests lately were not
// served, and no replica of another data centre has answered. The zero value is
// ready for use. It is not safe for concurrent use.
type PartitionDetector struct {
	unservedFraction float64
	unanswered       int // exchanges with other data centres since the last answer
	lastAnswerAt     clock.Millis
	lastUnservedAt   clock.Millis
	cutOff           bool
}

// RecordRemoteAttempt counts an exchange that begins with a replica of another data centre.
func (r *PartitionDetector) RecordRemoteAttempt() { r.unanswered++ }

// RecordRemoteAnswer takes that a replica of another data centre has answered, whatever
// it said.
func (r *PartitionDetector) RecordRemoteAnswer(now clock.Millis) {
	*r = PartitionDetector{lastAnswerAt: now, unservedFraction: r.unservedFraction, lastUnservedAt: r.lastUnservedAt}
}

// RecordOutcome takes the outcome of a request. Refusals because of the load and
// requests whose caller has gone say nothing.
func (r *PartitionDetector) RecordOutcome(now clock.Millis, outcome Outcome) {
	switch outcome.kind {
	case Answered, Gathered:
		r.unservedFraction -= r.unservedFraction * unservedStep
		return
	case CallerGone:
		return
	case Refused:
		if outcome.busy {
			return
		}
	}
	r.unservedFraction += (1 - r.unservedFraction) * unservedStep
	r.lastUnservedAt = now
	if r.unservedFraction >= cutOffUnservedFraction && r.unanswered >= cutOffUnanswered && now-r.lastAnswerAt >= cutOffSilence {
		r.cutOff = true
	}
}

// CutOff reports whether callers should use daemons of other data centres.
// Linked says whether this daemon has links to some of them.
func (r *PartitionDetector) CutOff(now clock.Millis, linked bool) bool {
	if r.cutOff && linked && now-r.lastUnservedAt > rejoinAfter {
		*r = PartitionDetector{lastAnswerAt: now}
	}
	return r.cutOff
}
