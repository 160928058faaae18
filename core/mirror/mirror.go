// Package mirror keeps a daemon's copy of the keys of the platform's store, and
// schedules the reads of the store and of peers that keep it current.
//
// A Mirror holds the items under one key prefix. It is filled from listings and
// watches of the store, or from the mirror of another daemon, which the daemon
// follows or falls back to while the store does not answer. A Reader limits the
// rate of the calls, because each call of the store is charged, and replicas
// write so often that a watch returns at once.
//
// # Usage
//
//	var m mirror.Mirror
//	changes := m.Replace(now, items, revision)         // a complete listing
//	changes = m.Apply(now, events, revision)           // the reply of a watch, or of a peer
//	changes = m.Expire(now)                            // lapsed items that were not written again
//	items, complete, revision := m.ChangesSince(after) // for a peer
package mirror

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// lapseGracePeriod is how long after a failure of the store removals are held
	// back. Keys may have lapsed during the failure; the writers that are alive have
	// written theirs again by the end of the period.
	lapseGracePeriod = 2200 * clock.Millisecond
	// maxTombstones bounds the removals that are kept for ChangesSince.
	maxTombstones = 4096
)

// Item is a key of the store with its value, or the removal of a key.
type Item struct {
	key      string
	value    []byte
	revision uint64
	removed  bool
}

// NewItem returns a key that was written at a revision. It keeps value.
func NewItem(key string, value []byte, revision uint64) Item {
	return Item{key: key, value: value, revision: revision}
}

// NewRemoval returns the removal of a key at a revision.
func NewRemoval(key string, revision uint64) Item {
	return Item{key: key, revision: revision, removed: true}
}

// Key returns the key.
func (i Item) Key() string { return i.key }

// Value returns the value, which the caller must not modify.
func (i Item) Value() []byte { return i.value }

// Revision returns the revision of the write or the removal.
func (i Item) Revision() uint64 { return i.revision }

// Removed reports whether the key was removed.
func (i Item) Removed() bool { return i.removed }

// Mirror is a copy of the keys under a prefix. The zero value is an empty mirror.
// It is not safe for concurrent use.
type Mirror struct {
	items             map[string]Item
	held              map[string]heldRemoval // removals that are held back, by key
	tombstones        []Item                 // latest removals, in the order of arrival
	compactedRevision uint64                 // removals up to this revision may be missing in tombstones
	revision          uint64
	complete          bool
	storeFailedAt     clock.Millis // latest failure of the store, or 0
}

// heldRemoval is a removal that is held back until an instant.
type heldRemoval struct {
	revision uint64
	until    clock.Millis
}

// Complete reports whether the mirror has received a complete listing.
func (m *Mirror) Complete() bool { return m.complete }

// Revision returns the revision up to which the mirror has all changes.
func (m *Mirror) Revision() uint64 { return m.revision }

// Len returns the number of items, including those whose removal is held back.
func (m *Mirror) Len() int { return len(m.items) }

// Held returns the number of items whose removal is held back.
func (m *Mirror) Held() int { return len(m.held) }

// RecordStoreFailure records that a call of the store failed at now. Removals up to
// lapseGracePeriod later are held back, because keys may have lapsed although
// their writers are alive.
func (m *Mirror) RecordStoreFailure(now clock.Millis) { m.storeFailedAt = now }

// Replace replaces the contents with a complete listing and returns the changes.
// Revision is that of the first page; the listing may include later changes,
// which Apply ignores when the watch delivers them again. A listing that is older
// than the mirror is ignored.
func (m *Mirror) Replace(now clock.Millis, items []Item, revision uint64) []Item {
	if revision < m.revision {
		return nil
	}
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.key] = true
	}
	var changes []Item
	for key, old := range m.items {
		if !listed[key] && old.revision <= revision {
			changes = m.remove(now, changes, NewRemoval(key, revision))
		}
	}
	slices.SortFunc(changes, func(a, b Item) int { return cmp.Compare(a.key, b.key) })
	m.complete = true
	// Removals between the old revision and that of the listing are unknown.
	m.compactedRevision = revision
	m.tombstones = m.tombstones[:0]
	m.revision = revision
	return append(changes, m.put(items)...)
}

// Apply applies the changes up to a revision. It returns those that were not known
// and whose removal, if they are removals, is not held back. Replies arrive in any
// order: changes up to the revision of the mirror are ignored, as it already has them
// or later ones of the same keys, which may be removals.
func (m *Mirror) Apply(now clock.Millis, changes []Item, revision uint64) []Item {
	var fresh []Item
	for _, change := range changes {
		switch {
		case change.revision <= m.revision:
		case change.removed:
			fresh = m.remove(now, fresh, change)
		default:
			fresh = append(fresh, m.put([]Item{change})...)
		}
	}
	m.revision = max(m.revision, revision)
	return fresh
}

// put stores the items that are newer than the present ones, and returns them.
func (m *Mirror) put(items []Item) []Item {
	if m.items == nil {
		m.items = make(map[string]Item)
	}
	var fresh []Item
	for _, item := range items {
		old, known := m.items[item.key]
		if known && old.revision >= item.revision {
			if _, held := m.held[item.key]; !held {
				continue
			}
		}
		delete(m.held, item.key)
		m.items[item.key] = item
		fresh = append(fresh, item)
	}
	return fresh
}

// remove removes an item and appends the removal to changes. Within the grace
// period of a store failure the removal is held back for Expire instead.
func (m *Mirror) remove(now clock.Millis, changes []Item, removal Item) []Item {
	old, known := m.items[removal.key]
	if known && old.revision > removal.revision {
		return changes
	}
	m.addTombstone(removal)
	if !known {
		return changes
	}
	if m.storeFailedAt > 0 && now < m.storeFailedAt+lapseGracePeriod {
		if m.held == nil {
			m.held = make(map[string]heldRemoval)
		}
		if _, held := m.held[removal.key]; !held {
			m.held[removal.key] = heldRemoval{revision: removal.revision, until: m.storeFailedAt + lapseGracePeriod}
		}
		return changes
	}
	delete(m.held, removal.key)
	delete(m.items, removal.key)
	return append(changes, removal)
}

// addTombstone keeps a removal for ChangesSince.
func (m *Mirror) addTombstone(removal Item) {
	m.tombstones = append(m.tombstones, removal)
	if len(m.tombstones) > maxTombstones {
		m.compactedRevision = m.tombstones[0].revision
		m.tombstones = m.tombstones[1:]
	}
}

// Expire applies the held removals whose grace period has ended, and returns them.
func (m *Mirror) Expire(now clock.Millis) []Item {
	return m.applyHeld(func(removal *heldRemoval) bool {
		// A failure of the store since then extends the grace period.
		removal.until = max(removal.until, m.storeFailedAt+lapseGracePeriod)
		return now >= removal.until
	})
}

// ConfirmRemovals applies the held removals up to a revision, and returns them. Another
// daemon whose mirror has this revision has held them back for long enough.
func (m *Mirror) ConfirmRemovals(revision uint64) []Item {
	return m.applyHeld(func(removal *heldRemoval) bool { return removal.revision <= revision })
}

// applyHeld applies the held removals for which due returns true.
func (m *Mirror) applyHeld(due func(removal *heldRemoval) bool) []Item {
	var changes []Item
	for key, removal := range m.held {
		if !due(&removal) {
			m.held[key] = removal
			continue
		}
		changes = append(changes, NewRemoval(key, m.revision))
		delete(m.held, key)
		delete(m.items, key)
	}
	slices.SortFunc(changes, func(a, b Item) int { return cmp.Compare(a.key, b.key) })
	return changes
}

// ChangesSince returns the changes after a revision, for a peer whose mirror is at
// that revision, and the revision of this mirror. If the removals since then are no
// longer known, or after is 0, complete is true and items is a complete listing.
func (m *Mirror) ChangesSince(after uint64) (items []Item, complete bool, revision uint64) {
	complete = after < m.compactedRevision || after == 0
	for key, item := range m.items {
		if _, held := m.held[key]; !held && (complete || item.revision > after) {
			items = append(items, item)
		}
	}
	if !complete {
		for _, removal := range m.tombstones {
			if removal.revision > after {
				items = append(items, removal)
			}
		}
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key, b.key))
	})
	return items, complete, m.revision
}

// Get returns the item of a key, and whether there is one.
func (m *Mirror) Get(key string) (Item, bool) {
	item, ok := m.items[key]
	return item, ok
}
