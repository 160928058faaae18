package upstream

import (
	"math"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Shape of the latency distribution. Buckets grow by 5 %, which bounds the
// error of a quantile, from 20 µs to over 100 s.
const (
	latencyFloor   = 0.02 * clock.Millisecond
	latencyGrowth  = 1.05
	latencyBuckets = 320
	// latencyMaxWeight is the weight above which all samples are halved, so that
	// a busy service follows a change within a few thousand samples.
	latencyMaxWeight = 8192
	// latencyDecayInterval is the span after which all samples are halved, so that a
	// quiet service forgets as well.
	latencyDecayInterval = 10 * clock.Second
	// latencyMinWeight is the weight below which no quantile is stated.
	latencyMinWeight = 20
)

var latencyLogGrowth = math.Log(latencyGrowth)

// latencyHistogram is a histogram of latencies in which old samples fade. The
// zero value is empty.
type latencyHistogram struct {
	buckets   [latencyBuckets]float32
	weight    float64
	decayedAt clock.Millis
	samples   uint32
	cached    [4]cachedQuantile
	oldest    int
}

// cachedQuantile is a quantile together with the change count for which it
// was computed.
type cachedQuantile struct {
	q       float64
	value   clock.Millis
	samples uint32
}

// quantileCacheSamples is the number of samples for which a computed quantile is
// used again; at 45,000 samples a second that is less than 2 ms.
const quantileCacheSamples = 64

func (d *latencyHistogram) add(now, latency clock.Millis) {
	if now-d.decayedAt > latencyDecayInterval || d.weight >= latencyMaxWeight {
		d.decay()
		d.decayedAt = now
	}
	d.buckets[bucketOf(latency)]++
	d.weight++
	d.samples++
}

func (d *latencyHistogram) decay() {
	d.weight = 0
	for i := range d.buckets {
		d.buckets[i] /= 2
		d.weight += float64(d.buckets[i])
	}
	d.cached = [4]cachedQuantile{}
}

func (d *latencyHistogram) quantile(q float64) (clock.Millis, bool) {
	if d.weight < latencyMinWeight {
		return 0, false
	}
	for i := range d.cached {
		c := &d.cached[i]
		if c.q == q && c.value > 0 && d.samples-c.samples < quantileCacheSamples {
			return c.value, true
		}
	}
	value := d.computeQuantile(q)
	d.cacheQuantile(cachedQuantile{q: q, value: value, samples: d.samples})
	return value, true
}

// cacheQuantile replaces the cached value of the same quantile, else the oldest.
func (d *latencyHistogram) cacheQuantile(fresh cachedQuantile) {
	for i := range d.cached {
		if d.cached[i].q == fresh.q {
			d.cached[i] = fresh
			return
		}
	}
	d.cached[d.oldest] = fresh
	d.oldest = (d.oldest + 1) % len(d.cached)
}

func (d *latencyHistogram) computeQuantile(q float64) clock.Millis {
	wanted := q * d.weight
	seen := 0.0
	for i, weight := range d.buckets {
		if weight > 0 && seen+float64(weight) >= wanted {
			inside := (wanted - seen) / float64(weight)
			return latencyFloor * clock.Millis(math.Pow(latencyGrowth, float64(i)+inside))
		}
		seen += float64(weight)
	}
	return latencyFloor * clock.Millis(math.Pow(latencyGrowth, latencyBuckets))
}

func bucketOf(latency clock.Millis) int {
	if latency <= latencyFloor {
		return 0
	}
	bucket := int(math.Log(float64(latency/latencyFloor)) / latencyLogGrowth)
	return min(bucket, latencyBuckets-1)
}
