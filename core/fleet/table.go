package fleet

import (
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
)

// memberEntry is a member record with its derived values.
type memberEntry struct {
	Member
	positions      [ringCount]uint64
	includedDigest uint64 // part of the bucket digest, zero if the member is gone
	changedAt      clock.Millis
}

// memberTable holds the member records, their positions on the hash rings, and the
// digests of the buckets.
//
// Dead members and those that left are on no ring and in no digest. Each daemon
// removes them at its own time after goneRetention; if digests covered them, the
// digests of two daemons would differ until both have removed the member, and the
// repair would restore it each time.
type memberTable struct {
	entries       map[ID]*memberEntry
	byID          []*memberEntry // sorted, since members is called at each change of the view
	rings         [ringCount][]*memberEntry
	bucketDigests [bucketCount]uint64 // XOR of the included digests of a bucket
	alive         int
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// ringPositions returns the hash of id on each ring.
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

// put stores a record and returns the state of the member before, zero if it was
// unknown.
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

// updateAggregates adds e to the alive count and the bucket digest if sign is 1, and
// takes it out if sign is -1.
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

// updateRings inserts e into the rings or deletes it from them.
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

// remove deletes a member.
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

// digest returns the digest of all buckets.
func (t *memberTable) digest() uint64 { return foldDigests(&t.bucketDigests) }

// foldDigests combines the digests of the buckets, each rotated by its index, so
// that equal changes in two buckets do not cancel out.
func foldDigests(all *[bucketCount]uint64) uint64 {
	var sum uint64
	for i, d := range all {
		sum ^= bits.RotateLeft64(d, i)
	}
	return sum
}

// ringNeighbours returns the members before and after the position of id on a ring,
// other than id itself, or nil if there is no other. The member id need not be on
// the ring.
func (t *memberTable) ringNeighbours(
	ring int, id ID, positions [ringCount]uint64,
) (predecessor, successor *memberEntry) {
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

// neighbours returns the predecessors and successors of id on all rings, without
// duplicates.
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

// isPredecessor reports whether self is directly before the position of id on any
// ring.
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
// ordered by id, so that runs with the same input send the same messages.
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

// differingBuckets returns the set of buckets whose digests differ, as a bit mask.
func differingBuckets(a, b *[bucketCount]uint64) uint64 {
	var mask uint64
	for i := range a {
		if a[i] != b[i] {
			mask |= 1 << i
		}
	}
	return mask
}
