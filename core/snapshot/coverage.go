package snapshot

// Coverage records which shards of a shard map an answer covers. The zero value is
// the coverage of an unknown map.
type Coverage struct {
	shardMap     ShardMap
	covered      []bool
	coveredCount int
}

// NewCoverage returns the coverage of m with no shard covered.
func NewCoverage(m ShardMap) Coverage {
	return Coverage{shardMap: m, covered: make([]bool, m.ShardCount())}
}

// Add marks shard as covered. It returns false if the shard is outside the map or
// already covered.
func (c *Coverage) Add(shard Shard) bool {
	if int(shard) >= len(c.covered) || c.covered[shard] {
		return false
	}
	c.covered[shard] = true
	c.coveredCount++
	return true
}

// Known reports whether the shard map is known. If it is not, the other accessors
// return zero or empty values.
func (c Coverage) Known() bool { return c.shardMap.Known() }

// Total returns the number of shards of the map.
func (c Coverage) Total() int { return c.shardMap.ShardCount() }

// Covered returns the number of covered shards.
func (c Coverage) Covered() int { return c.coveredCount }

// Complete reports whether the map is known and every shard is covered.
func (c Coverage) Complete() bool { return c.Known() && c.coveredCount == c.shardMap.ShardCount() }

// Has reports whether shard is covered.
func (c Coverage) Has(shard Shard) bool {
	return int(shard) < len(c.covered) && c.covered[shard]
}

// Fraction returns the covered fraction of the shards, from 0 to 1.
func (c Coverage) Fraction() float64 {
	if !c.Known() {
		return 0
	}
	return float64(c.coveredCount) / float64(c.shardMap.ShardCount())
}

// Missing returns the shards that are not covered, in ascending order.
func (c Coverage) Missing() []Shard {
	missing := make([]Shard, 0, len(c.covered)-c.coveredCount)
	for s, ok := range c.covered {
		if !ok {
			missing = append(missing, Shard(s))
		}
	}
	return missing
}
