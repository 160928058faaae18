package dispatch

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// unservedStep is the weight of one request in unservedFraction.
	unservedStep = 0.25
	// A data centre is cut off if at least the fraction cutOffUnservedFraction of
	// the recent requests was not served, at least cutOffUnanswered attempts at
	// other data centres have no answer, and the last answer from there is at
	// least cutOffSilence ago.
	cutOffUnservedFraction = 0.55
	cutOffUnanswered       = 5
	cutOffSilence          = 300 * clock.Millisecond
	// rejoinAfter is the time without an unserved request after which a daemon
	// that has links to other data centres accepts callers again.
	rejoinAfter = 1500 * clock.Millisecond
)

// PartitionDetector detects that this daemon's data centre is cut off from the
// others, so that callers are better served elsewhere: most recent requests were
// not served, and no replica of another data centre answers. The zero value is
// ready for use. It is not safe for concurrent use.
type PartitionDetector struct {
	unservedFraction float64      // of the recent requests
	unanswered       int          // attempts at other data centres since their last answer
	lastAnswerAt     clock.Millis // from another data centre
	lastUnservedAt   clock.Millis
	cutOff           bool
}

// RecordRemoteAttempt records the start of an exchange with another data centre.
func (d *PartitionDetector) RecordRemoteAttempt() { d.unanswered++ }

// RecordRemoteAnswer records an answer of any kind from another data centre.
func (d *PartitionDetector) RecordRemoteAnswer(now clock.Millis) {
	*d = PartitionDetector{lastAnswerAt: now, unservedFraction: d.unservedFraction, lastUnservedAt: d.lastUnservedAt}
}

// RecordOutcome records the outcome of a request. Refusals by admission and requests
// whose caller has disconnected are no evidence.
func (d *PartitionDetector) RecordOutcome(now clock.Millis, outcome Outcome) {
	switch outcome.kind {
	case Answered, Gathered:
		d.unservedFraction -= d.unservedFraction * unservedStep
		return
	case CallerGone:
		return
	case Refused:
		if outcome.busy {
			return
		}
	}
	d.unservedFraction += (1 - d.unservedFraction) * unservedStep
	d.lastUnservedAt = now
	if d.unservedFraction >= cutOffUnservedFraction && d.unanswered >= cutOffUnanswered &&
		now-d.lastAnswerAt >= cutOffSilence {
		d.cutOff = true
	}
}

// CutOff reports whether callers should be sent to daemons of other data centres.
// The parameter linked tells whether this daemon has a link to any of them, which a
// detected partition needs in order to end.
func (d *PartitionDetector) CutOff(now clock.Millis, linked bool) bool {
	if d.cutOff && linked && now-d.lastUnservedAt > rejoinAfter {
		*d = PartitionDetector{lastAnswerAt: now}
	}
	return d.cutOff
}
