package quota

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Change is the difference between two tables as one member sees it. With it a
// rank is kept up at the cost of the members that came and went, instead of all
// members.
type Change struct {
	self    uint64
	added   []uint64
	removed []uint64
}

// ChangeSince returns how t differs from old for self. It returns false if self is
// not in both tables.
func (t Table) ChangeSince(old Table, self string) (Change, bool) {
	own, ok := slices.BinarySearch(t.members, self)
	if !ok || !old.Has(self) {
		return Change{}, false
	}
	return Change{self: t.hashes[own], added: t.hashesMissingFrom(old), removed: old.hashesMissingFrom(t)}, true
}

// hashesMissingFrom returns the hashes of the members that other lacks.
func (t Table) hashesMissingFrom(other Table) []uint64 {
	var hashes []uint64
	j := 0
	for i, member := range t.members {
		for j < len(other.members) && other.members[j] < member {
			j++
		}
		if j == len(other.members) || other.members[j] != member {
			hashes = append(hashes, t.hashes[i])
		}
	}
	return hashes
}

// Size returns the number of members that came or went.
func (c Change) Size() int { return len(c.added) + len(c.removed) }

// Rank returns the rank of self for resource after the change, given the rank
// before it.
func (c Change) Rank(resource string, before int) int {
	if c.Size() == 0 {
		return before
	}
	key := xxhash.Sum64String(resource)
	weight := mix(key ^ c.self)
	return before + countHeavier(key, weight, c.added) - countHeavier(key, weight, c.removed)
}

// countHeavier counts the members whose weight for the resource exceeds weight.
func countHeavier(key, weight uint64, hashes []uint64) int {
	count := uint64(0)
	for _, hash := range hashes {
		_, more := bits.Sub64(weight, mix(key^hash), 0)
		count += more
	}
	return int(count)
}
