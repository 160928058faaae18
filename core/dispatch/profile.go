package dispatch

import (
	"math"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	profileBuckets = 110
	profileBase    = 1.12
	profileLowest  = 0.5 * clock.Millisecond
	// profileKept is the number of answers from which the older half loses its
	// weight.
	profileKept    = 600
	profileEnough  = 12
	profileRefresh = 16
	// priorShare of the objective is the expected latency before any answer.
	priorShare = 0.125
	baseSpan   = 30 * clock.Second
)

// Profile is the recent latency of the exchanges of one route. The zero value
// has seen none. It is not safe for concurrent use.
type Profile struct {
	counts  [profileBuckets]float32
	total   float32
	added   int
	median  clock.Millis
	base    clock.Millis // low quantile that rises slowly
	baseAt  clock.Millis
	pending int
}

// Add records the latency of an answer.
func (p *Profile) Add(now, latency clock.Millis) {
	bucket := 0
	if latency > profileLowest {
		bucket = int(math.Log(float64(latency/profileLowest)) / math.Log(profileBase))
	}
	p.counts[min(bucket, profileBuckets-1)]++
	p.total++
	p.added++
	if p.total >= profileKept {
		p.total = 0
		for i := range p.counts {
			p.counts[i] /= 2
			p.total += p.counts[i]
		}
	}
	p.pending++
	if p.pending >= profileRefresh || p.added <= profileEnough*2 {
		p.median = p.quantile(0.5)
		p.settle(now, p.quantile(0.3))
		p.pending = 0
	}
}

// settle moves the base: down at once, up slowly, so that a queue that lasts
// for seconds is not taken for work.
func (p *Profile) settle(now, low clock.Millis) {
	if p.base == 0 || low < p.base {
		p.base = low
	} else {
		p.base += (low - p.base) * min(1, (now-p.baseAt)/baseSpan)
	}
	p.baseAt = now
}

// Work returns how long an exchange occupies a slot, without the time that it
// waits for one.
func (p *Profile) Work(objective clock.Millis) clock.Millis {
	if p.added < profileEnough {
		return objective * priorShare
	}
	return p.base
}

// Expected returns the usual latency, on a route with the given objective.
func (p *Profile) Expected(objective clock.Millis) clock.Millis {
	if p.added < profileEnough {
		return objective * priorShare
	}
	return p.median
}

func (p *Profile) quantile(q float32) clock.Millis {
	left := p.total * q
	for i, count := range p.counts {
		if left <= count && count > 0 {
			within := float64(left / count)
			return profileLowest * clock.Millis(math.Pow(profileBase, float64(i)+within))
		}
		left -= count
	}
	return profileLowest * clock.Millis(math.Pow(profileBase, profileBuckets))
}
