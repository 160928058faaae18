package dispatch

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// decayThreshold is the total weight of the samples at which all weights are
	// halved, so that recent samples count more.
	decayThreshold = 600
	// minSamples is the number of samples below which estimates are derived from
	// the latency objective.
	minSamples = 12
	// refreshInterval is the number of samples between updates of the estimates.
	refreshInterval = 16
	// serviceTimeQuantile is the quantile of the latency at which exchanges are
	// assumed not to wait for a slot.
	serviceTimeQuantile = 0.3
	// priorLatencyFraction is the fraction of the latency objective that is expected
	// as the latency below minSamples.
	priorLatencyFraction = 0.125
	// serviceTimeRise is the time in which a higher service time is adopted.
	serviceTimeRise = 30 * clock.Second
)

// LatencyProfile is a histogram of the recent latencies of the exchanges of one
// route. The zero value is an empty histogram. It is not safe for concurrent use.
type LatencyProfile struct {
	answered      histogram
	unanswered    histogram // ages at which exchanges were abandoned without an answer
	survival      [latencyBuckets + 1]float32
	samples       int // number of all samples ever recorded
	median        clock.Millis
	serviceTime   clock.Millis
	serviceTimeAt clock.Millis // instant of the last update of serviceTime
	sinceRefresh  int          // samples since the last update of the estimates
}

// Record adds the latency of a successful exchange.
func (p *LatencyProfile) Record(now, latency clock.Millis) {
	p.answered.add(latency)
	p.samples++
	if p.answered.weight >= decayThreshold {
		p.answered.scale(0.5)
		p.unanswered.scale(0.5)
	}
	p.sinceRefresh++
	if p.sinceRefresh >= refreshInterval || p.samples <= minSamples*2 {
		p.median = p.answered.quantile(0.5)
		p.updateServiceTime(now, p.answered.quantile(serviceTimeQuantile))
		p.updateSurvival()
		p.sinceRefresh = 0
	}
}

// updateServiceTime lowers the service time immediately and raises it slowly, so
// that time spent in a queue that persists for seconds is not taken for service
// time.
func (p *LatencyProfile) updateServiceTime(now, low clock.Millis) {
	if p.serviceTime == 0 || low < p.serviceTime {
		p.serviceTime = low
	} else {
		p.serviceTime += (low - p.serviceTime) * min(1, (now-p.serviceTimeAt)/serviceTimeRise)
	}
	p.serviceTimeAt = now
}

// ServiceTime returns the estimated time for which an exchange occupies a slot of a
// replica, without the time in its queue, on a route with the given objective.
func (p *LatencyProfile) ServiceTime(objective clock.Millis) clock.Millis {
	if p.samples < minSamples {
		return objective * priorLatencyFraction
	}
	return p.serviceTime
}

// ExpectedLatency returns the median latency, on a route with the given objective.
func (p *LatencyProfile) ExpectedLatency(objective clock.Millis) clock.Millis {
	if p.samples < minSamples {
		return objective * priorLatencyFraction
	}
	return p.median
}

// RecordUnanswered adds the age at which an exchange was abandoned. Answers that are
// not waited for never reach the histogram of latencies; without the abandoned
// exchanges the late ones among them would appear rarer than they are.
func (p *LatencyProfile) RecordUnanswered(age clock.Millis) { p.unanswered.add(age) }

// updateSurvival estimates the fraction of exchanges without an answer at the lower
// bound of each bucket by the product-limit (Kaplan-Meier) method: abandoned exchanges
// count among those at risk up to the age at which they were abandoned.
func (p *LatencyProfile) updateSurvival() {
	atRisk := p.answered.weight + p.unanswered.weight
	p.survival[0] = 1
	for i, answered := range p.answered.counts {
		// One more exchange at risk keeps the survival above 0 beyond the latest answer.
		p.survival[i+1] = p.survival[i] * (1 - answered/(atRisk+1))
		atRisk = max(0, atRisk-answered-p.unanswered.counts[i])
	}
}

// ReplyProbability returns the probability that an exchange without an answer at the
// given age is answered within the wait. It is 0 while nothing is known.
func (p *LatencyProfile) ReplyProbability(age, wait clock.Millis) float64 {
	if p.samples < minSamples || wait <= 0 {
		return 0
	}
	return 1 - float64(p.survivalAt(max(0, age)+wait)/p.survivalAt(max(0, age)))
}

// survivalAt interpolates the survival between the bounds of the buckets.
func (p *LatencyProfile) survivalAt(age clock.Millis) float32 {
	bucket, within := locate(age)
	return p.survival[bucket] + (p.survival[bucket+1]-p.survival[bucket])*float32(within)
}
