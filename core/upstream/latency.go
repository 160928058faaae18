package upstream

import (
	"math"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Constants of latencyHistogram. Buckets cover 20 µs to over 100 s and grow by 5 %, which
// bounds the error of a quantile.
const (
	latencyFloor   = 0.02 * clock.Millisecond
	latencyGrowth  = 1.05 // upper bound of a bucket per lower bound
	latencyBuckets = 320
	// latencyMaxWeight is the total weight at which all weights are halved, so that the
	// histogram of a busy service follows a change within a few thousand samples.
	latencyMaxWeight = 8192
	// latencyDecayInterval is the time after which all weights are halved even below
	// latencyMaxWeight, so that old samples of a service with little traffic decay too.
	latencyDecayInterval = 10 * clock.Second
	// latencyMinWeight is the total weight below which there is no quantile.
	latencyMinWeight = 20
)

var latencyLogGrowth = math.Log(latencyGrowth)

// latencyHistogram is a histogram of latencies in which the weight of old samples decays.
// The zero value is empty.
type latencyHistogram struct {
	buckets   [latencyBuckets]float32
	weight    float64
	decayedAt clock.Millis
	samples   uint32 // number added so far
	cached    [4]cachedQuantile
	oldest    int // index in cached
}

// cachedQuantile is a quantile and the number of samples after which it was computed.
type cachedQuantile struct {
	q       float64
	value   clock.Millis
	samples uint32
}

// quantileCacheSamples is the number of new samples for which a computed quantile is
// reused. At 45,000 samples a second that is less than 2 ms.
const quantileCacheSamples = 64

// add records a latency, after halving the weights if that is due.
func (h *latencyHistogram) add(now, latency clock.Millis) {
	if now-h.decayedAt > latencyDecayInterval || h.weight >= latencyMaxWeight {
		h.decay()
		h.decayedAt = now
	}
	h.buckets[bucketOf(latency)]++
	h.weight++
	h.samples++
}

// decay halves all weights and clears the cached quantiles.
func (h *latencyHistogram) decay() {
	h.weight = 0
	for i := range h.buckets {
		h.buckets[i] /= 2
		h.weight += float64(h.buckets[i])
	}
	h.cached = [4]cachedQuantile{}
}

// quantile returns the quantile q, from 0 to 1, or false if there are too few samples.
func (h *latencyHistogram) quantile(q float64) (clock.Millis, bool) {
	if h.weight < latencyMinWeight {
		return 0, false
	}
	for i := range h.cached {
		c := &h.cached[i]
		if c.q == q && c.value > 0 && h.samples-c.samples < quantileCacheSamples {
			return c.value, true
		}
	}
	value := h.computeQuantile(q)
	h.cacheQuantile(cachedQuantile{q: q, value: value, samples: h.samples})
	return value, true
}

// cacheQuantile replaces the cached value of the same quantile, or else the oldest one.
func (h *latencyHistogram) cacheQuantile(fresh cachedQuantile) {
	for i := range h.cached {
		if h.cached[i].q == fresh.q {
			h.cached[i] = fresh
			return
		}
	}
	h.cached[h.oldest] = fresh
	h.oldest = (h.oldest + 1) % len(h.cached)
}

// computeQuantile interpolates within the bucket in which the quantile lies.
func (h *latencyHistogram) computeQuantile(q float64) clock.Millis {
	target := q * h.weight
	seen := 0.0
	for i, weight := range h.buckets {
		if weight > 0 && seen+float64(weight) >= target {
			fraction := (target - seen) / float64(weight)
			return latencyFloor * clock.Millis(math.Pow(latencyGrowth, float64(i)+fraction))
		}
		seen += float64(weight)
	}
	return latencyFloor * clock.Millis(math.Pow(latencyGrowth, latencyBuckets))
}

// bucketOf returns the index of the bucket of a latency.
func bucketOf(latency clock.Millis) int {
	if latency <= latencyFloor {
		return 0
	}
	bucket := int(math.Log(float64(latency/latencyFloor)) / latencyLogGrowth)
	return min(bucket, latencyBuckets-1)
}
