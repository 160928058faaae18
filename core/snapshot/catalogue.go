package snapshot

import "slices"

// Catalogue records which replicas hold which shards of which versions. The
// zero value is empty and ready for use. It is not safe for concurrent use.
type Catalogue struct {
	holdings map[string][]Holding
	indexes  map[Version]*versionIndex
}

// versionIndex lists the holders of each shard of one version. Two replicas
// that disagree on the number of shards cannot both be right; the larger number
// is taken, so that coverage is never overstated.
type versionIndex struct {
	holders             [][]string  // by shard, sorted
	heldCount           int         // shards with at least one holder
	reportsByShardCount map[int]int // reports by the number of shards that they state
}

// SetHoldings replaces what is known of replica. It returns true if anything
// changed.
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

// Withdraw records that replica answered that it no longer has version. A
// later Report that names the version again restores it.
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

// Remove drops everything known of replica.
func (c *Catalogue) Remove(replica string) {
	for _, h := range c.holdings[replica] {
		c.removeHolding(replica, h)
	}
	delete(c.holdings, replica)
}

// Holders returns the replicas that hold shard of version, in ascending order.
// The slice must not be changed and is valid until the catalogue changes.
func (c *Catalogue) Holders(version Version, shard Shard) []string {
	index := c.indexes[version]
	if index == nil || int(shard) >= len(index.holders) {
		return nil
	}
	return index.holders[shard]
}

// Choose returns the map of the newest version in which every shard has a
// holder, else of the version with the largest covered fraction. Versions in
// exclude are passed over. It returns false if no version is left.
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

// preferredOver orders versions by covered fraction, then by age. Fractions are
// compared crosswise to stay in integers.
func (x *versionIndex) preferredOver(version Version, other *versionIndex, otherVersion Version) bool {
	left := x.heldCount * len(other.holders)
	right := other.heldCount * len(x.holders)
	if left != right {
		return left > right
	}
	return version > otherVersion
}

// addHolding enters one holding of replica into the index.
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

// removeHolding takes one holding of replica out of the index.
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

// resize fits the holders to the largest number of shards that is stated.
// Shards beyond it have no holder, since only a report that states more shards
// can hold them.
func (x *versionIndex) resize() {
	shards := 0
	for total := range x.reportsByShardCount {
		shards = max(shards, total)
	}
	if shards <= len(x.holders) {
		x.holders = x.holders[:shards]
		return
	}
	holders := make([][]string, shards)
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
