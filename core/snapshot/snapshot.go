// Package snapshot tracks which snapshot versions of a service's index its replicas
// hold, and records the coverage of an answer.
//
// All parts of an answer come from one version. A query chooses it before the
// fan-out from a Catalogue of the replicas' latest reports. Coverage is relative
// to the shard map of that version, because a repartition changes the number of
// shards between versions.
//
// # Usage
//
//	var c snapshot.Catalogue
//	c.SetHoldings("10.0.0.7:80", []snapshot.Holding{snapshot.NewHolding(17, 10, []snapshot.Shard{0, 1})})
//	m, ok := c.Choose()
//	for s := range m.Shards() {
//		holders := c.Holders(m.Version(), s)
//	}
package snapshot

import (
	"iter"
	"slices"
)

// Version identifies one snapshot of a service's index. Newer snapshots have
// higher versions. Zero means that no version is known.
type Version uint64

// Shard is the number of a shard of one version, counted from zero.
type Shard uint32

// ShardMap describes the shards of one version, which a complete answer covers. The
// zero value describes no version.
type ShardMap struct {
	version    Version
	shardCount int
}

// NewShardMap returns the map of a version with shardCount shards.
func NewShardMap(version Version, shardCount int) ShardMap {
	return ShardMap{version: version, shardCount: shardCount}
}

// Version returns the version of the map.
func (m ShardMap) Version() Version { return m.version }

// ShardCount returns the number of shards.
func (m ShardMap) ShardCount() int { return m.shardCount }

// Known reports whether the map describes a version with at least one shard.
func (m ShardMap) Known() bool { return m.version != 0 && m.shardCount > 0 }

// Shards returns an iterator over the shards in ascending order.
func (m ShardMap) Shards() iter.Seq[Shard] {
	return func(yield func(Shard) bool) {
		for s := range m.shardCount {
			if !yield(Shard(s)) {
				return
			}
		}
	}
}

// Holding is the report of a replica about one version: the number of shards of the
// version and those that the replica holds.
type Holding struct {
	version    Version
	shardCount int
	heldShards []Shard
}

// NewHolding returns a holding of a version with shardCount shards. It stores a
// sorted copy of held without duplicates and without shards that the version does
// not have.
func NewHolding(version Version, shardCount int, held []Shard) Holding {
	valid := make([]Shard, 0, len(held))
	for _, s := range held {
		if int(s) < shardCount {
			valid = append(valid, s)
		}
	}
	slices.Sort(valid)
	return Holding{version: version, shardCount: shardCount, heldShards: slices.Compact(valid)}
}

// Version returns the version of the holding.
func (h Holding) Version() Version { return h.version }

// ShardCount returns the number of shards of the version, held or not.
func (h Holding) ShardCount() int { return h.shardCount }

// HeldShards returns the held shards in ascending order. The caller must not
// change the slice.
func (h Holding) HeldShards() []Shard { return h.heldShards }

// describesVersion reports whether the version is known and has at least one shard.
func (h Holding) describesVersion() bool { return h.version != 0 && h.shardCount > 0 }

// Equal reports whether both holdings have the same version, number of shards and
// held shards.
func (h Holding) Equal(other Holding) bool {
	return h.version == other.version && h.shardCount == other.shardCount && slices.Equal(h.heldShards, other.heldShards)
}
