package admission

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// newSampleWeight makes the estimate follow about the last ten items.
	newSampleWeight = 0.1
	// idleHalvingTime halves the estimate while nothing runs. Without it an
	// estimate above all deadlines would refuse everything for good.
	idleHalvingTime = clock.Second
)

// serviceTimeEstimator estimates how long an item runs. Items that ran into their
// deadline are left out: they were cut off, and counting them would refuse
// the requests whose partial answers are still wanted.
type serviceTimeEstimator struct {
	mean      clock.Millis
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
	// queueingRatio is the ratio of mean to least service time above which
	// the upstreams are taken to be queueing.
	queueingRatio = 2
	// limitDecreaseFactor is applied once for each round of items that is too slow.
	limitDecreaseFactor = 0.8
	// baselineSpan is the span over which the least service time is taken.
	baselineSpan = 30 * clock.Second
	// maxBaselineRise bounds the rise of the least service time from one span to
	// the next, so that lasting overload is not taken for normal.
	maxBaselineRise = 1.1
)

// adaptiveLimit changes the concurrency by additive increase and
// multiplicative decrease. A round is as many items as the limit.
type adaptiveLimit struct {
	current        float64
	baseline       clock.Millis // of the previous span
	spanMin        clock.Millis // of the present span
	spanStart      clock.Millis
	roundTotal     clock.Millis // of the round
	roundCount     int
	roundSaturated bool // the limit was reached in the round
}

// value returns the present limit, which starts at the configured one.
func (a *adaptiveLimit) value(maxLimit int) int {
	if a.current == 0 {
		return maxLimit
	}
	return max(min(int(a.current), maxLimit), 1)
}

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

// updateBaseline keeps the least service time.
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
