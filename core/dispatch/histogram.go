package dispatch

import (
	"math"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	latencyBuckets    = 110
	bucketGrowth      = 1.12 // upper bound of a bucket per its lower bound
	lowestBucketBound = 0.5 * clock.Millisecond
)

// histogram counts durations in buckets of geometrically growing width. The zero value is
// empty.
type histogram struct {
	counts [latencyBuckets]float32
	weight float32 // sum of counts
}

// locate returns the bucket of a duration and the fraction of the bucket below it.
func locate(d clock.Millis) (bucket int, within float64) {
	if d <= lowestBucketBound {
		return 0, 0
	}
	position := math.Log(float64(d/lowestBucketBound)) / math.Log(bucketGrowth)
	if position >= latencyBuckets {
		return latencyBuckets - 1, 1
	}
	return int(position), position - math.Floor(position)
}

func (h *histogram) add(d clock.Millis) {
	bucket, _ := locate(d)
	h.counts[bucket]++
	h.weight++
}

// scale multiplies all counts, so that later ones weigh more.
func (h *histogram) scale(factor float32) {
	h.weight = 0
	for i := range h.counts {
		h.counts[i] *= factor
		h.weight += h.counts[i]
	}
}

// quantile returns the duration below which the fraction q of the weight lies.
func (h *histogram) quantile(q float32) clock.Millis {
	left := h.weight * q
	for i, count := range h.counts {
		if left <= count && count > 0 {
			within := float64(left / count)
			return lowestBucketBound * clock.Millis(math.Pow(bucketGrowth, float64(i)+within))
		}
		left -= count
	}
	return lowestBucketBound * clock.Millis(math.Pow(bucketGrowth, latencyBuckets))
}

// weightAbove returns the weight of the durations above d.
func (h *histogram) weightAbove(d clock.Millis) float32 {
	bucket, within := locate(d)
	above := h.counts[bucket] * float32(1-within)
	for _, count := range h.counts[bucket+1:] {
		above += count
	}
	return above
}
