package release

import (
	"math"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	latencyBuckets = 22 // from 1 ms to 1.4 s
	// bucketsPerDoubling is the number of buckets in which the latency doubles.
	bucketsPerDoubling = 2
)

// Counts counts the ended attempts of one kind. The zero value is empty.
type Counts struct {
	Attempts uint32 `cbor:"1,keyasint"`           // with an answer, or without one for a reason that counts
	Failures uint32 `cbor:"2,keyasint,omitempty"` // of Attempts
	// Latency counts the attempts whose latency is known, by bucket.
	Latency []uint32 `cbor:"3,keyasint,omitempty"`
}

// Record adds an attempt. A latency below 0 is not counted.
func (c *Counts) Record(failed bool, latency clock.Millis) {
	c.Attempts++
	if failed {
		c.Failures++
	}
	if latency >= 0 {
		c.addLatency(bucketOf(latency), 1)
	}
}

func bucketOf(latency clock.Millis) int {
	if latency <= clock.Millisecond {
		return 0
	}
	return min(latencyBuckets-1, int(bucketsPerDoubling*math.Log2(float64(latency))))
}

func (c *Counts) addLatency(bucket int, count uint32) {
	for len(c.Latency) <= bucket {
		c.Latency = append(c.Latency, 0)
	}
	c.Latency[bucket] += count
}

// add adds other counts.
func (c *Counts) add(other Counts) {
	c.Attempts += other.Attempts
	c.Failures += other.Failures
	for bucket, count := range other.Latency[:min(len(other.Latency), latencyBuckets)] {
		if count > 0 {
			c.addLatency(bucket, count)
		}
	}
}

// Clone returns a copy.
func (c *Counts) Clone() Counts {
	var copied Counts
	copied.add(*c)
	return copied
}

// since returns the counts that were added after earlier ones. Counts that have fallen
// count as 0.
func (c *Counts) since(earlier Counts) Counts {
	d := Counts{
		Attempts: difference(c.Attempts, earlier.Attempts), Failures: difference(c.Failures, earlier.Failures),
	}
	for bucket, count := range c.Latency[:min(len(c.Latency), latencyBuckets)] {
		if bucket < len(earlier.Latency) {
			count = difference(count, earlier.Latency[bucket])
		}
		if count > 0 {
			d.addLatency(bucket, count)
		}
	}
	return d
}

func difference(later, earlier uint32) uint32 {
	if later < earlier {
		return 0
	}
	return later - earlier
}

// timed returns the number of attempts with a known latency.
func (c *Counts) timed() (sum uint32) {
	for _, count := range c.Latency {
		sum += count
	}
	return sum
}

// from returns the number of attempts in a bucket or a later one.
func (c *Counts) from(bucket int) (sum uint32) {
	for _, count := range c.Latency[min(max(0, bucket), len(c.Latency)):] {
		sum += count
	}
	return sum
}

// median returns the bucket of the median latency, and false without latencies.
func (c *Counts) median() (int, bool) {
	total, sum := c.timed(), uint32(0)
	for bucket, count := range c.Latency {
		if sum += count; total > 0 && 2*sum >= total {
			return bucket, true
		}
	}
	return 0, false
}

// CellKey names the attempts that are counted together.
type CellKey struct {
	Route string
	// Replica is the number of a replica of the new version, from ReplicaNumber; 0
	// stands for all replicas of old versions.
	Replica uint32
}

// Cell holds the counts of the attempts of one daemon, or of the daemons of one data
// centre, on a route.
type Cell struct {
	CellKey
	Counts
}
