package quota

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Change is the difference between two tables, with which one member updates
// its ranks. An update costs one weight per added or removed member instead of
// one per member of the table. A Change is immutable.
type Change struct {
	self    uint64
	added   []uint64
	removed []uint64
}

// ChangeSince returns the change from old to t for the ranks of self. It returns
// false if self is not in both tables.
func (t Table) ChangeSince(old Table, self string) (Change, bool) {
	own, ok := slices.BinarySearch(t.members, self)
	if !ok || !old.Has(self) {
		return Change{}, false
	}
	return Change{self: t.hashes[own], added: t.hashesMissingFrom(old), removed: old.hashesMissingFrom(t)}, true
}

// hashesMissingFrom returns the hashes of the members of t that are not in other.
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

// Size returns the number of members added or removed.
func (c Change) Size() int { return len(c.added) + len(c.removed) }

// Rank returns the rank of self for resource in the new table, given its rank in
// the old one.
func (c Change) Rank(resource string, before int) int {
	if c.Size() == 0 {
		return before
	}
	key := xxhash.Sum64String(resource)
	weight := mix(key ^ c.self)
	return before + countHeavier(key, weight, c.added) - countHeavier(key, weight, c.removed)
}

// countHeavier returns how many of the members with the given hashes have a
// weight above weight for the resource whose hash is key.
func countHeavier(key, weight uint64, hashes []uint64) int {
	count := uint64(0)
	for _, hash := range hashes {
		_, more := bits.Sub64(weight, mix(key^hash), 0)
		count += more
	}
	return int(count)
}
