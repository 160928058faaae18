package admission

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// newSampleWeight is the weight of the newest service time in the moving
	// average, which then covers about the last ten items.
	newSampleWeight = 0.1
	// idleHalvingTime is the time without running items after which the estimate is
	// halved; after twice that time it is a third. Without the decay an estimate
	// longer than all deadlines would refuse every item for ever.
	idleHalvingTime = clock.Second
)

// serviceTimeEstimator estimates how long an item runs. The queue leaves out items
// that ran into their deadline: they were cut off, and counting them would cause
// requests to be refused whose partial answers are still useful.
type serviceTimeEstimator struct {
	mean      clock.Millis // moving average; 0 without samples
	updatedAt clock.Millis
}

func (s *serviceTimeEstimator) observe(now, took clock.Millis) {
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += newSampleWeight * (took - s.mean)
	s.updatedAt = now
}

func (s *serviceTimeEstimator) estimate(now clock.Millis, idle bool) clock.Millis {
	if !idle || now <= s.updatedAt {
		return s.mean
	}
	return s.mean / (1 + (now-s.updatedAt)/idleHalvingTime)
}

const (
	// queueingRatio is the ratio of the mean service time of a round to the baseline
	// above which the upstreams are assumed to queue requests.
	queueingRatio = 2
	// limitDecreaseFactor is the factor by which a round above queueingRatio changes
	// the limit.
	limitDecreaseFactor = 0.8
	// baselineSpan is the time over which the minimum service time is taken.
	baselineSpan = 30 * clock.Second
	// maxBaselineRise is the largest factor by which the baseline rises from one
	// span to the next, so that lasting overload does not become the baseline.
	maxBaselineRise = 1.1
)

// adaptiveLimit adjusts the concurrency by additive increase and multiplicative
// decrease (AIMD), once per round of as many finished items as the limit. It
// decreases when the mean service time of the round is above queueingRatio times
// the baseline, and increases by one when the round reached the limit.
type adaptiveLimit struct {
	current        float64      // limit; 0 for the maximum, before the first adjustment
	baseline       clock.Millis // minimum service time of the previous span, or a lower one since
	spanMin        clock.Millis // minimum service time of the present span
	spanStart      clock.Millis
	roundTotal     clock.Millis // sum of the service times of the round
	roundCount     int          // finished items of the round
	roundSaturated bool         // whether the limit was reached during the round
}

// value returns the present limit, which is between 1 and maxLimit and starts at
// maxLimit.
func (a *adaptiveLimit) value(maxLimit int) int {
	if a.current == 0 {
		return maxLimit
	}
	return max(min(int(a.current), maxLimit), 1)
}

// observe adds the service time of a finished item, and adjusts the limit at the end
// of a round. Saturated says whether the limit was reached when the item ended.
func (a *adaptiveLimit) observe(now, took clock.Millis, limit, maxLimit int, saturated bool) {
	a.updateBaseline(now, took)
	a.roundTotal += took
	a.roundCount++
	a.roundSaturated = a.roundSaturated || saturated
	if a.roundCount < limit {
		return
	}
	mean := a.roundTotal / clock.Millis(a.roundCount)
	switch {
	case mean > queueingRatio*a.baseline:
		a.current = max(float64(limit)*limitDecreaseFactor, 1)
	case a.roundSaturated:
		a.current = float64(min(limit+1, maxLimit))
	}
	a.roundTotal, a.roundCount, a.roundSaturated = 0, 0, false
}

// updateBaseline updates the minimum service time, and starts a new span if the
// present one is over.
func (a *adaptiveLimit) updateBaseline(now, took clock.Millis) {
	if a.spanMin == 0 || took < a.spanMin {
		a.spanMin = took
	}
	if a.baseline == 0 || took < a.baseline {
		a.baseline = took
	}
	if now-a.spanStart < baselineSpan {
		return
	}
	a.baseline = min(a.spanMin, maxBaselineRise*a.baseline)
	a.spanMin, a.spanStart = 0, now
}
