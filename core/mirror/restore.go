package mirror

import (
	"bytes"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// rewritePeriod is the time after a restore of the store within which operators write
	// again what it has lost.
	rewritePeriod = 15 * clock.Second
	// maxCopyAge is the age of the copy up to which keys that were removed since then are
	// recognised after a restore.
	maxCopyAge = clock.Minute
	// maxRecentRemovals bounds the keys that are recognised.
	maxRecentRemovals = 4096
)

// Kind says how the items of a key are written and removed.
type Kind uint8

// Kinds of keys.
const (
	// Durable items stay until they are removed.
	Durable Kind = iota
	// Ephemeral items are written all the time, and removed when their writer is silent.
	Ephemeral
	// Restriction items are durable, and forbid something while they exist.
	Restriction
	// Conditional items are durable, and are written on condition of their revision. After a
	// restore the listed ones are in effect at once, since the next write needs their revisions.
	Conditional
)

// Sequence orders the values that a key has had. They are compared element by element. The
// zero value means that the order is unknown.
type Sequence [2]int64

// Schema describes the items of a store.
type Schema interface {
	// Kind returns the kind of a key.
	Kind(key string) Kind
	// Sequence returns what the value of an item says of its order.
	Sequence(item Item) Sequence
}

// deferredChange is a change of the store that is not in effect yet.
type deferredChange struct {
	change Item
	until  clock.Millis
	// lapsed means that the key may have lapsed although its writer is alive. Other changes
	// are deferred because the store was restored from an older copy.
	lapsed bool
	// dropAt is when the item in effect is dropped, although the change is one to another item, or
	// 0. Its removal was held back as that of a lapsed key when the store was restored.
	dropAt clock.Millis
}

// heldUntil returns the instant until which a removal of the key is held back, or 0.
func (d deferredChange) heldUntil() clock.Millis {
	if d.lapsed {
		return d.until
	}
	return d.dropAt
}

// recentRemoval is a key that was removed at an instant.
type recentRemoval struct {
	key string
	at  clock.Millis
}

// restore replaces the contents with the first complete listing of a later era, and returns
// the changes. The copy that the store was restored from lacks the latest changes of the
// earlier era. As operators and replicas write them again, the known state of a key stays in
// effect for a time if the listed one may be older.
func (m *Mirror) restore(now clock.Millis, items []Item, revision Revision) []Item {
	if now > m.restoredAt+maxCopyAge {
		m.highestEarlier = 0
	}
	m.highestEarlier = max(m.highestEarlier, m.revision.number)
	earlier := m.deferred
	m.revision, m.compactedRevision, m.restoredAt = revision, revision, now
	m.tombstones = m.tombstones[:0]
	m.deferred = nil
	m.silence.start(now, minSilenceAfterRestore, 0, m, items)
	removed := m.recentlyRemoved(now)
	listed := make(map[string]bool, len(items))
	var changes []Item
	for _, item := range items {
		listed[item.key] = true
		changes = append(changes, m.restoreListed(now, item, earlier[item.key], removed[item.key])...)
	}
	for key := range m.items {
		if !listed[key] {
			changes = append(changes, m.restoreMissing(now, key, earlier[key])...)
		}
	}
	return changes
}

// restoreListed takes a listed item after a restore and returns the changes. Earlier is what was
// deferred for the key, and removed says whether it was removed recently.
func (m *Mirror) restoreListed(now clock.Millis, item Item, earlier deferredChange, removed bool) []Item {
	known, ok := m.items[item.key]
	// The mirror had all keys, so that an entry of that time has been removed. A new one with a
	// revision that was issued again takes effect when it is written next.
	outdated := m.kind(item.key) == Ephemeral && item.revision.number <= m.highestEarlier
	dropAt := earlier.heldUntil()
	if (!ok && (removed || outdated)) || (ok && dropAt > 0) {
		known, ok = NewRemoval(item.key, Revision{}), true
	}
	if ok {
		if period := m.retention(known, item); period > 0 {
			m.postpone(deferredChange{change: item, until: now + period, dropAt: dropAt})
			return nil
		}
	}
	return m.put([]Item{item})
}

// restoreMissing defers the removal of a key that a listing after a restore lacks, and returns
// the changes. Earlier is what was deferred for the key.
func (m *Mirror) restoreMissing(now clock.Millis, key string, earlier deferredChange) []Item {
	removal := NewRemoval(key, m.revision)
	if m.kind(key) == Conditional {
		m.drop(now, key)
		return []Item{removal}
	}
	d := deferredChange{
		change: removal, until: now + m.retention(m.items[key], removal), lapsed: m.kind(key) == Ephemeral,
	}
	if until := earlier.heldUntil(); until > 0 {
		d.until, d.lapsed = until, true
	}
	m.postpone(d)
	return nil
}

// retention returns for how long the known state of a key outlives the listed one after a
// restore. A removal stands for a missing key.
func (m *Mirror) retention(known, listed Item) clock.Millis {
	switch {
	case m.kind(known.key) == Conditional:
		return 0
	case listed.removed && m.kind(known.key) == Ephemeral:
		return lapseGracePeriod
	case listed.removed:
		return rewritePeriod
	case listed.revision.number > m.highestEarlier:
		// It was written after what the mirror knows, in whichever era.
		return 0
	case known.removed && m.kind(known.key) == Restriction:
		return 0
	case !known.removed && (bytes.Equal(known.value, listed.value) || m.precedes(known, listed)):
		return 0
	}
	return rewritePeriod
}

func (m *Mirror) kind(key string) Kind {
	if m.schema == nil {
		return Durable
	}
	return m.schema.Kind(key)
}

// precedes reports whether the value of a shows that it was written before b.
func (m *Mirror) precedes(a, b Item) bool {
	if m.schema == nil {
		return false
	}
	first, second := m.schema.Sequence(a), m.schema.Sequence(b)
	return first != Sequence{} && second != Sequence{} && slices.Compare(first[:], second[:]) < 0
}

// postpone defers a change.
func (m *Mirror) postpone(d deferredChange) {
	if m.deferred == nil {
		m.deferred = make(map[string]deferredChange)
	}
	m.deferred[d.change.key] = d
}

// dropHeld drops the items whose removal was held back when the store was restored, and returns
// the removals.
func (m *Mirror) dropHeld(now clock.Millis) []Item {
	var changes []Item
	for key, d := range m.deferred {
		if d.dropAt == 0 || now < max(d.dropAt, m.storeFailedAt+lapseGracePeriod) {
			continue
		}
		d.dropAt = 0
		m.postpone(d)
		if _, ok := m.items[key]; ok {
			delete(m.items, key)
			m.recordRemoval(now, key)
			changes = append(changes, NewRemoval(key, m.revision))
		}
	}
	return changes
}

// recordRemoval remembers that a key was removed.
func (m *Mirror) recordRemoval(now clock.Millis, key string) {
	m.removals = append(m.removals, recentRemoval{key: key, at: now})
	if len(m.removals) > maxRecentRemovals || now > m.removals[0].at+maxCopyAge {
		m.removals = m.removals[1:]
	}
}

// recentlyRemoved returns the keys that were removed within maxCopyAge.
func (m *Mirror) recentlyRemoved(now clock.Millis) map[string]bool {
	keys := make(map[string]bool)
	for _, removal := range m.removals {
		if now <= removal.at+maxCopyAge {
			keys[removal.key] = true
		}
	}
	return keys
}
