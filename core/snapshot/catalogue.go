package snapshot

import "slices"

// Catalogue records which replicas hold which shards of which versions. The
// zero value is empty and ready for use. It is not safe for concurrent use.
type Catalogue struct {
	holdings map[string][]Holding // by replica
	indexes  map[Version]*versionIndex
}

// versionIndex lists the holders of each shard of one version. If replicas report
// different numbers of shards, the largest one counts, so that coverage is never
// overstated.
type versionIndex struct {
	holders             [][]string  // by shard, in ascending order
	heldCount           int         // shards with at least one holder
	reportsByShardCount map[int]int // number of reports by the shard count that they state
}

// SetHoldings replaces the holdings of replica with a copy of holdings. It returns
// true if they differ from the previous ones.
func (c *Catalogue) SetHoldings(replica string, holdings []Holding) bool {
	if c.holdings == nil {
		c.holdings = make(map[string][]Holding)
	}
	if slices.EqualFunc(c.holdings[replica], holdings, Holding.Equal) {
		return false
	}
	for _, h := range c.holdings[replica] {
		c.removeHolding(replica, h)
	}
	for _, h := range holdings {
		c.addHolding(replica, h)
	}
	c.holdings[replica] = slices.Clone(holdings)
	return true
}

// Withdraw removes the holding of version of a replica that has answered that it no
// longer holds the version. A later SetHoldings with the version restores it.
func (c *Catalogue) Withdraw(replica string, version Version) {
	var kept []Holding
	for _, h := range c.holdings[replica] {
		if h.version == version {
			c.removeHolding(replica, h)
			continue
		}
		kept = append(kept, h)
	}
	if _, ok := c.holdings[replica]; ok {
		c.holdings[replica] = kept
	}
}

// Remove removes replica and its holdings.
func (c *Catalogue) Remove(replica string) {
	for _, h := range c.holdings[replica] {
		c.removeHolding(replica, h)
	}
	delete(c.holdings, replica)
}

// Holders returns the replicas that hold shard of version, in ascending order.
// The caller must not change the slice, which is valid until the catalogue changes.
func (c *Catalogue) Holders(version Version, shard Shard) []string {
	index := c.indexes[version]
	if index == nil || int(shard) >= len(index.holders) {
		return nil
	}
	return index.holders[shard]
}

// Choose returns the map of the newest version in which every shard has a holder. If
// there is none, it returns the map of the version with the largest fraction of
// shards that have one. Versions in exclude are skipped. It returns false if no
// version is left.
func (c *Catalogue) Choose(exclude ...Version) (ShardMap, bool) {
	var best Version
	var bestIndex *versionIndex
	for version, index := range c.indexes {
		if slices.Contains(exclude, version) {
			continue
		}
		if bestIndex == nil || index.preferredOver(version, bestIndex, best) {
			best, bestIndex = version, index
		}
	}
	if bestIndex == nil {
		return ShardMap{}, false
	}
	return NewShardMap(best, len(bestIndex.holders)), true
}

// preferredOver reports whether the version of x has a larger fraction of shards with
// a holder than otherVersion, or the same fraction and is newer. The fractions are
// cross-multiplied to stay in integers.
func (x *versionIndex) preferredOver(version Version, other *versionIndex, otherVersion Version) bool {
	left := x.heldCount * len(other.holders)
	right := other.heldCount * len(x.holders)
	if left != right {
		return left > right
	}
	return version > otherVersion
}

// addHolding adds a holding of replica to the index of its version.
func (c *Catalogue) addHolding(replica string, h Holding) {
	if !h.describesVersion() {
		return
	}
	if c.indexes == nil {
		c.indexes = make(map[Version]*versionIndex)
	}
	index := c.indexes[h.version]
	if index == nil {
		index = &versionIndex{reportsByShardCount: make(map[int]int)}
		c.indexes[h.version] = index
	}
	index.reportsByShardCount[h.shardCount]++
	index.resize()
	for _, s := range h.heldShards {
		index.addHolder(replica, s)
	}
}

// removeHolding removes a holding of replica from the index of its version, and the
// index with the last holding.
func (c *Catalogue) removeHolding(replica string, h Holding) {
	if !h.describesVersion() {
		return
	}
	index := c.indexes[h.version]
	for _, s := range h.heldShards {
		index.removeHolder(replica, s)
	}
	index.reportsByShardCount[h.shardCount]--
	if index.reportsByShardCount[h.shardCount] == 0 {
		delete(index.reportsByShardCount, h.shardCount)
	}
	if len(index.reportsByShardCount) == 0 {
		delete(c.indexes, h.version)
		return
	}
	index.resize()
}

// resize adapts holders to the largest reported shard count. The shards that it cuts
// off have no holder, since a holding contains no shards beyond its own shard count.
func (x *versionIndex) resize() {
	shardCount := 0
	for reported := range x.reportsByShardCount {
		shardCount = max(shardCount, reported)
	}
	if shardCount <= len(x.holders) {
		x.holders = x.holders[:shardCount]
		return
	}
	holders := make([][]string, shardCount)
	copy(holders, x.holders)
	x.holders = holders
}

func (x *versionIndex) addHolder(replica string, s Shard) {
	i, found := slices.BinarySearch(x.holders[s], replica)
	if found {
		return
	}
	if len(x.holders[s]) == 0 {
		x.heldCount++
	}
	x.holders[s] = slices.Insert(x.holders[s], i, replica)
}

func (x *versionIndex) removeHolder(replica string, s Shard) {
	i, found := slices.BinarySearch(x.holders[s], replica)
	if !found {
		return
	}
	x.holders[s] = slices.Delete(x.holders[s], i, i+1)
	if len(x.holders[s]) == 0 {
		x.heldCount--
	}
}
