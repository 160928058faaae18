// Package snapshot tracks which index versions the replicas of a service hold
// and accounts for the coverage of an answer.
//
// An answer is built from one version only. The version is chosen before the
// fan-out from a Catalogue of what replicas last reported, and coverage counts
// against the shard map of that version, because a repartition changes the
// number of shards from one version to the next.
//
// # Usage
//
//	var c snapshot.Catalogue
//	c.Report("10.0.0.7:80", []snapshot.Holding{snapshot.NewHolding(17, 10, []snapshot.Shard{0, 1})})
//	m, ok := c.Choose()
//	for s := range m.All() {
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

// Shard is the number of a shard within the shard map of one version.
type Shard uint32

// ShardMap is the shard map of one version: which shards a complete answer covers.
type ShardMap struct {
	version    Version
	shardCount int
}

// NewShardMap returns the map of version with shards numbered from zero.
func NewShardMap(version Version, shardCount int) ShardMap {
	return ShardMap{version: version, shardCount: shardCount}
}

// Version returns the version that the map describes.
func (m ShardMap) Version() Version { return m.version }

// ShardCount returns the number of shards.
func (m ShardMap) ShardCount() int { return m.shardCount }

// Known reports whether the map describes a version at all.
func (m ShardMap) Known() bool { return m.version != 0 && m.shardCount > 0 }

// Shards iterates over the shards of the map in ascending order.
func (m ShardMap) Shards() iter.Seq[Shard] {
	return func(yield func(Shard) bool) {
		for s := range m.shardCount {
			if !yield(Shard(s)) {
				return
			}
		}
	}
}

// Holding is one replica's report about one version: how many shards the
// version has in all, and which of them the replica holds.
type Holding struct {
	version    Version
	shardCount int
	heldShards []Shard
}

// NewHolding returns a holding. It keeps a sorted copy of holds without
// shards outside the map.
func NewHolding(version Version, shardCount int, held []Shard) Holding {
	kept := make([]Shard, 0, len(held))
	for _, s := range held {
		if int(s) < shardCount {
			kept = append(kept, s)
		}
	}
	slices.Sort(kept)
	return Holding{version: version, shardCount: shardCount, heldShards: slices.Compact(kept)}
}

// Version returns the version that is held.
func (h Holding) Version() Version { return h.version }

// ShardCount returns the total number of shards of the version.
func (h Holding) ShardCount() int { return h.shardCount }

// HeldShards returns the held shards in ascending order. The caller must not
// change the slice.
func (h Holding) HeldShards() []Shard { return h.heldShards }

// describesVersion reports whether the holding describes a version at all.
func (h Holding) describesVersion() bool { return h.version != 0 && h.shardCount > 0 }

// Equal reports whether both reports say the same.
func (h Holding) Equal(other Holding) bool {
	return h.version == other.version && h.shardCount == other.shardCount && slices.Equal(h.heldShards, other.heldShards)
}
