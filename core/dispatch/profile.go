package dispatch

import (
	"math"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	latencyBuckets    = 110
	bucketGrowth      = 1.12
	lowestBucketBound = 0.5 * clock.Millisecond
	// decayThreshold is the number of answers from which the older half loses its
	// weight.
	decayThreshold  = 600
	minSamples      = 12
	refreshInterval = 16
	// priorLatencyFraction of the objective is the expected latency before any answer.
	priorLatencyFraction = 0.125
	serviceTimeRise      = 30 * clock.Second
)

// LatencyProfile is the recent latency of the exchanges of one route. The zero value
// has seen none. It is not safe for concurrent use.
type LatencyProfile struct {
	counts        [latencyBuckets]float32
	weight        float32
	samples       int
	median        clock.Millis
	serviceTime   clock.Millis // low quantile that rises slowly
	serviceTimeAt clock.Millis
	sinceRefresh  int
}

// Record records the latency of an answer.
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
		p.updateServiceTime(now, p.quantile(0.3))
		p.sinceRefresh = 0
	}
}

// updateServiceTime moves the base: down at once, up slowly, so that a queue that lasts
// for seconds is not taken for work.
func (p *LatencyProfile) updateServiceTime(now, low clock.Millis) {
	if p.serviceTime == 0 || low < p.serviceTime {
		p.serviceTime = low
	} else {
		p.serviceTime += (low - p.serviceTime) * min(1, (now-p.serviceTimeAt)/serviceTimeRise)
	}
	p.serviceTimeAt = now
}

// ServiceTime returns how long an exchange occupies a slot, without the time that it
// waits for one.
func (p *LatencyProfile) ServiceTime(objective clock.Millis) clock.Millis {
	if p.samples < minSamples {
		return objective * priorLatencyFraction
	}
	return p.serviceTime
}

// ExpectedLatency returns the usual latency, on a route with the given objective.
func (p *LatencyProfile) ExpectedLatency(objective clock.Millis) clock.Millis {
	if p.samples < minSamples {
		return objective * priorLatencyFraction
	}
	return p.median
}

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
