package fleet

import (
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
)

// memberEntry is a member with its derived values.
type memberEntry struct {
	Member
	positions      [ringCount]uint64
	includedDigest uint64
	changedAt      clock.Millis
}

// memberTable holds the member records, their positions on the hash rings and the
// digests of the buckets.
//
// Digests cover only members that are not gone. Gone members are dropped by
// each daemon after the retention time; were they covered, the digests of two
// daemons that drop a member at different times would differ, and the repair
// would bring the member back for ever.
type memberTable struct {
	entries       map[ID]*memberEntry
	byID          []*memberEntry // by id; members is called for each change of the view
	rings         [ringCount][]*memberEntry
	bucketDigests [bucketCount]uint64
	alive         int
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

func ringPositions(id ID) [ringCount]uint64 {
	var found [ringCount]uint64
	for ring := range found {
		found[ring] = xxhash.Sum64String(string(rune('a'+ring)) + string(id))
	}
	return found
}

func compareID(e *memberEntry, id ID) int { return strings.Compare(string(e.id), string(id)) }

func comparePosition(ring int) func(e *memberEntry, position uint64) int {
	return func(e *memberEntry, position uint64) int {
		switch {
		case e.positions[ring] < position:
			return -1
		case e.positions[ring] > position:
			return 1
		default:
			return 0
		}
	}
}

// put stores a record and returns the state that it replaces, zero if the
// member was unknown.
func (t *memberTable) put(now clock.Millis, m Member) State {
	if t.entries == nil {
		t.entries = make(map[ID]*memberEntry)
	}
	e := t.entries[m.id]
	var old State
	if e == nil {
		e = &memberEntry{positions: ringPositions(m.id)}
		t.entries[m.id] = e
		at, _ := slices.BinarySearchFunc(t.byID, m.id, compareID)
		t.byID = slices.Insert(t.byID, at, e)
	} else {
		old = e.state
		t.updateAggregates(e, -1)
	}
	wasPresent := old != 0 && !old.gone()
	e.Member = m
	e.changedAt = now
	t.updateAggregates(e, 1)
	if isPresent := !m.state.gone(); isPresent != wasPresent {
		t.updateRings(e, isPresent)
	}
	return old
}

// updateAggregates adds e to the aggregates, or removes it with a negative sign.
func (t *memberTable) updateAggregates(e *memberEntry, sign int) {
	if e.Alive() {
		t.alive += sign
	}
	bucket := bucketOf(string(e.id))
	t.bucketDigests[bucket] ^= e.includedDigest
	e.includedDigest = 0
	if sign > 0 && !e.state.gone() {
		e.includedDigest = e.digest()
		t.bucketDigests[bucket] ^= e.includedDigest
	}
}

func (t *memberTable) updateRings(e *memberEntry, present bool) {
	for ring := range t.rings {
		at, _ := slices.BinarySearchFunc(t.rings[ring], e.positions[ring], comparePosition(ring))
		if present {
			t.rings[ring] = slices.Insert(t.rings[ring], at, e)
			continue
		}
		for at < len(t.rings[ring]) && t.rings[ring][at] != e {
			at++
		}
		if at < len(t.rings[ring]) {
			t.rings[ring] = slices.Delete(t.rings[ring], at, at+1)
		}
	}
}

// remove forgets a member.
func (t *memberTable) remove(id ID) {
	e := t.entries[id]
	if e == nil {
		return
	}
	t.updateAggregates(e, -1)
	if !e.state.gone() {
		t.updateRings(e, false)
	}
	delete(t.entries, id)
	if at, found := slices.BinarySearchFunc(t.byID, id, compareID); found {
		t.byID = slices.Delete(t.byID, at, at+1)
	}
}

// digest returns the digest of the whole table.
func (t *memberTable) digest() uint64 { return foldDigests(&t.bucketDigests) }

func foldDigests(all *[bucketCount]uint64) uint64 {
	var sum uint64
	for i, d := range all {
		sum ^= bits.RotateLeft64(d, i)
	}
	return sum
}

// ringNeighbours returns the member before and the member after the position of id on
// a ring, other than id itself; nil if there is none.
func (t *memberTable) ringNeighbours(ring int, id ID, positions [ringCount]uint64) (predecessor, successor *memberEntry) {
	members := t.rings[ring]
	at, _ := slices.BinarySearchFunc(members, positions[ring], comparePosition(ring))
	for step := range min(2, len(members)) {
		if e := members[(at+step)%len(members)]; e.id != id {
			successor = e
			break
		}
	}
	for step := range min(2, len(members)) {
		if e := members[(at+2*len(members)-1-step)%len(members)]; e.id != id {
			predecessor = e
			break
		}
	}
	return predecessor, successor
}

// neighbours returns the members next to id on the rings, each once.
func (t *memberTable) neighbours(id ID) (predecessors, successors []ID) {
	positions := ringPositions(id)
	for ring := range ringCount {
		b, a := t.ringNeighbours(ring, id, positions)
		if b != nil && !slices.Contains(predecessors, b.id) {
			predecessors = append(predecessors, b.id)
		}
		if a != nil && !slices.Contains(successors, a.id) {
			successors = append(successors, a.id)
		}
	}
	return predecessors, successors
}

// isPredecessor reports whether self is the member before the position of id on
// any ring.
func (t *memberTable) isPredecessor(self, id ID) bool {
	positions := ringPositions(id)
	for ring := range ringCount {
		if before, _ := t.ringNeighbours(ring, id, positions); before != nil && before.id == self {
			return true
		}
	}
	return false
}

// members returns all records ordered by id.
func (t *memberTable) members() []Member {
	all := make([]Member, len(t.byID))
	for i, e := range t.byID {
		all[i] = e.Member
	}
	return all
}

// inBuckets returns the records of the buckets in mask, grouped by bucket and
// ordered by id so that messages are the same in every run.
func (t *memberTable) inBuckets(mask uint64) [bucketCount][]Member {
	var found [bucketCount][]Member
	for _, e := range t.byID {
		bucket := bucketOf(string(e.id))
		if mask&(1<<bucket) != 0 {
			found[bucket] = append(found[bucket], e.Member)
		}
	}
	return found
}

func differingBuckets(a, b *[bucketCount]uint64) uint64 {
	var mask uint64
	for i := range a {
		if a[i] != b[i] {
			mask |= 1 << i
		}
	}
	return mask
}
