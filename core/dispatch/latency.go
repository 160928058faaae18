package dispatch

import (
	"math"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	latencyBuckets    = 110
	bucketGrowth      = 1.12 // upper bound of a bucket per its lower bound
	lowestBucketBound = 0.5 * clock.Millisecond
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
	counts        [latencyBuckets]float32
	weight        float32 // sum of counts
	samples       int     // number of all samples ever recorded
	median        clock.Millis
	serviceTime   clock.Millis
	serviceTimeAt clock.Millis // instant of the last update of serviceTime
	sinceRefresh  int          // samples since the last update of the estimates
}

// Record adds the latency of a successful exchange.
func (p *LatencyProfile) Record(now, latency clock.Millis) {
	bucket := 0
	if latency > lowestBucketBound {
		bucket = int(math.Log(float64(latency/lowestBucketBound)) / math.Log(bucketGrowth))
	}
	p.counts[min(bucket, latencyBuckets-1)]++
	p.weight++
	p.samples++
	if p.weight >= decayThreshold {
		p.weight = 0
		for i := range p.counts {
			p.counts[i] /= 2
			p.weight += p.counts[i]
		}
	}
	p.sinceRefresh++
	if p.sinceRefresh >= refreshInterval || p.samples <= minSamples*2 {
		p.median = p.quantile(0.5)
		p.updateServiceTime(now, p.quantile(serviceTimeQuantile))
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

// quantile returns the latency below which the fraction q of the weight lies.
func (p *LatencyProfile) quantile(q float32) clock.Millis {
	left := p.weight * q
	for i, count := range p.counts {
		if left <= count && count > 0 {
			within := float64(left / count)
			return lowestBucketBound * clock.Millis(math.Pow(bucketGrowth, float64(i)+within))
		}
		left -= count
	}
	return lowestBucketBound * clock.Millis(math.Pow(bucketGrowth, latencyBuckets))
}
