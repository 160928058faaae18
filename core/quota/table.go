package quota

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table ranks a fixed list of members for many resources. It hashes each
// member once, so that a rank costs one multiplication chain for each member
// instead of a hash of two strings; a change of one member among 2,100 has to
// be applied to 11,000 upstreams. The zero value has no members. A Table is
// immutable and safe for concurrent use.
type Table struct {
	members []string
	hashes  []uint64
}

// NewTable returns the table of members. Repeated members count once.
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

// Members returns the members in ascending order. The caller must not change
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
		// The borrow of the subtraction counts heavier members without a
		// branch, which would be mispredicted every other time.
		_, heavier := bits.Sub64(weight, mix(key^hash), 0)
		rank += heavier
	}
	return int(rank), true
}

// Share returns the part of total that belongs to self.
func (t Table) Share(resource string, total int, self string) int {
	rank, ok := t.Rank(resource, self)
	if !ok {
		return 0
	}
	return ShareAtRank(total, len(t.members), rank)
}

// First returns the member ranked first for resource, or "" for no members.
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

// Leading returns the first n members for resource in rank order.
func (t Table) Leading(resource string, n int) []string {
	n = min(n, len(t.members))
	if n <= 0 {
		return nil
	}
	key := xxhash.Sum64String(resource)
	heap := make([]candidate, 0, n)
	for i, hash := range t.hashes {
		next := candidate{weight: mix(key ^ hash), index: i}
		if len(heap) < n {
			heap = append(heap, next)
			if len(heap) == n {
				slices.SortFunc(heap, candidate.compare)
			}
			continue
		}
		if next.compare(heap[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(heap, next, candidate.compare)
		copy(heap[at+1:], heap[at:n-1])
		heap[at] = next
	}
	leading := make([]string, n)
	for i, c := range heap {
		leading[i] = t.members[c.index]
	}
	return leading
}

// candidate is a member with its weight for one resource.
type candidate struct {
	weight uint64
	index  int
}

// compare orders heavier candidates first and breaks ties by the lower member.
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

// ShareAtRank returns what the member at rank gets when total is divided among
// members. It never falls when members leave or the rank improves, so that
// parts computed from different lists sum to at most total as long as every
// list contains all members that use their part.
func ShareAtRank(total, members, rank int) int {
	if total <= 0 || members <= 0 || rank < 0 || rank >= members {
		return 0
	}
	part := total / members
	if rank < total%members {
		part++
	}
	return part
}

// mix is the finalizer of MurmurHash3: a bijection in which every input bit
// affects every output bit.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
