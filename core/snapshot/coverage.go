package snapshot

// Coverage states which shards of a snapshot's map an answer covers. The zero
// value says that the map, and so the coverage, is unknown.
type Coverage struct {
	shardMap     ShardMap
	covered      []bool
	coveredCount int
}

// NewCoverage returns the empty coverage of the map.
func NewCoverage(m ShardMap) Coverage {
	return Coverage{shardMap: m, covered: make([]bool, m.ShardCount())}
}

// Add records a valid sub-answer for shard. It returns false if the shard
// is outside the map or covered already.
func (c *Coverage) Add(shard Shard) bool {
	if int(shard) >= len(c.covered) || c.covered[shard] {
		return false
	}
	c.covered[shard] = true
	c.coveredCount++
	return true
}

// Known reports whether the shard map is known. The other accessors mean
// nothing without it.
func (c Coverage) Known() bool { return c.shardMap.Known() }

// Total returns the number of shards that a complete answer covers.
func (c Coverage) Total() int { return c.shardMap.ShardCount() }

// Covered returns the number of shards that the answer covers.
func (c Coverage) Covered() int { return c.coveredCount }

// Complete reports whether every shard of a known map is covered.
func (c Coverage) Complete() bool { return c.Known() && c.coveredCount == c.shardMap.ShardCount() }

// Has reports whether shard is covered.
func (c Coverage) Has(shard Shard) bool {
	return int(shard) < len(c.covered) && c.covered[shard]
}

// Fraction returns the covered part of the map, from 0 to 1. It is 0 for an
// unknown map.
func (c Coverage) Fraction() float64 {
	if !c.Known() {
		return 0
	}
	return float64(c.coveredCount) / float64(c.shardMap.ShardCount())
}

// Missing lists the shards that are not covered, in ascending order.
func (c Coverage) Missing() []Shard {
	missing := make([]Shard, 0, len(c.covered)-c.coveredCount)
	for s, ok := range c.covered {
		if !ok {
			missing = append(missing, Shard(s))
		}
	}
	return missing
}
