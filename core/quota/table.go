package quota

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table ranks a fixed list of members for many resources by rendezvous hashing.
// It hashes each member once, so that a rank costs a few multiplications per
// member instead of a hash of two strings: when one of 2,100 members changes,
// the ranks for 11,000 upstreams are computed anew. The zero value has no
// members. A Table is immutable and safe for concurrent use.
type Table struct {
	members []string
	hashes  []uint64
}

// NewTable returns a table of members. Duplicates count once.
func NewTable(members []string) Table {
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	hashes := make([]uint64, len(sorted))
	for i, member := range sorted {
		hashes[i] = xxhash.Sum64String(member)
	}
	return Table{members: sorted, hashes: hashes}
}

// Len returns the number of members.
func (t Table) Len() int { return len(t.members) }

// Members returns the members in ascending order. The caller must not modify
// the slice.
func (t Table) Members() []string { return t.members }

// Has reports whether member is in the table.
func (t Table) Has(member string) bool {
	_, ok := slices.BinarySearch(t.members, member)
	return ok
}

// Rank returns the position of self for resource, starting from zero, and
// false if self is not a member.
func (t Table) Rank(resource, self string) (int, bool) {
	own, ok := slices.BinarySearch(t.members, self)
	if !ok {
		return 0, false
	}
	key := xxhash.Sum64String(resource)
	ownHash := t.hashes[own]
	weight := mix(key ^ ownHash)
	rank := uint64(0)
	for i, hash := range t.hashes {
		if hash == ownHash {
			if i < own {
				rank++
			}
			continue
		}
		// The borrow of the subtraction is 1 for a heavier member. A branch
		// would be mispredicted half of the time.
		_, heavier := bits.Sub64(weight, mix(key^hash), 0)
		rank += heavier
	}
	return int(rank), true
}

// Share returns the share of self in total for resource, or zero if self is not
// a member.
func (t Table) Share(resource string, total int, self string) int {
	rank, ok := t.Rank(resource, self)
	if !ok {
		return 0
	}
	return ShareAtRank(total, len(t.members), rank)
}

// First returns the member ranked first for resource, or "" if the table is
// empty.
func (t Table) First(resource string) string {
	key := xxhash.Sum64String(resource)
	best := ""
	var bestWeight uint64
	for i, hash := range t.hashes {
		weight := mix(key ^ hash)
		if best == "" || weight > bestWeight {
			best, bestWeight = t.members[i], weight
		}
	}
	return best
}

// Leading returns the first n members for resource in order of rank, or all
// members if there are fewer.
func (t Table) Leading(resource string, n int) []string {
	n = min(n, len(t.members))
	if n <= 0 {
		return nil
	}
	key := xxhash.Sum64String(resource)
	best := make([]candidate, 0, n)
	for i, hash := range t.hashes {
		next := candidate{weight: mix(key ^ hash), index: i}
		if len(best) < n {
			best = append(best, next)
			if len(best) == n {
				slices.SortFunc(best, candidate.compare)
			}
			continue
		}
		if next.compare(best[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, next, candidate.compare)
		copy(best[at+1:], best[at:n-1])
		best[at] = next
	}
	leading := make([]string, n)
	for i, c := range best {
		leading[i] = t.members[c.index]
	}
	return leading
}

// candidate is a member with its weight for one resource.
type candidate struct {
	weight uint64
	index  int
}

// compare orders heavier candidates first, and equal ones by their members.
func (c candidate) compare(other candidate) int {
	switch {
	case c.weight > other.weight:
		return -1
	case c.weight < other.weight:
		return 1
	default:
		return c.index - other.index
	}
}

// ShareAtRank returns the share of the member at rank, counted from zero, when
// total is divided among the given number of members. The share never shrinks
// when members leave or the rank improves. So shares computed from different
// member lists sum to at most total as long as every list contains all members
// that use their share.
func ShareAtRank(total, members, rank int) int {
	if total <= 0 || members <= 0 || rank < 0 || rank >= members {
		return 0
	}
	share := total / members
	if rank < total%members {
		share++
	}
	return share
}

// mix is the 64-bit finalizer of MurmurHash3, a bijection in which every input
// bit affects every output bit.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
