// Package mirror keeps a daemon's copy of keys of the platform's store and
// decides when to read them, and from whom.
//
// A Mirror holds the items under one prefix. It is filled from pages and
// events of the store, or from the mirror of another daemon while the store
// turns this one away. A Reader paces the calls: each call is priced, and
// replicas write so often that a watch always returns at once.
//
// # Usage
//
//	var m mirror.Mirror
//	changes := m.Replace(now, items, revision)   // a complete listing
//	changes = m.Apply(now, events, revision)     // a reply of a watch, or of a peer
//	changes = m.Expire(now)                      // entries that did not come back
//	items, complete, revision := m.Since(after)  // for a peer
package mirror

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// lapseGracePeriod is how long an entry that lapsed while the store was away is
	// kept after the store's return. Replicas that are alive are back by then.
	lapseGracePeriod = 2200 * clock.Millisecond
	// maxTombstones bounds the removals that are kept for peers.
	maxTombstones = 4096
)

// Item is a key of the store with its value, or the removal of a key.
type Item struct {
	key      string
	value    []byte
	revision uint64
	removed  bool
}

// NewItem returns an item as it was written at a revision.
func NewItem(key string, value []byte, revision uint64) Item {
	return Item{key: key, value: value, revision: revision}
}

// NewRemoval returns the removal of a key at a revision.
func NewRemoval(key string, revision uint64) Item {
	return Item{key: key, revision: revision, removed: true}
}

// Key returns the key.
func (i Item) Key() string { return i.key }

// Value returns the value. It must not be changed.
func (i Item) Value() []byte { return i.value }

// Revision returns the revision of the write or the removal.
func (i Item) Revision() uint64 { return i.revision }

// Removed reports whether the key was removed.
func (i Item) Removed() bool { return i.removed }

// Mirror is a copy of the keys under a prefix. The zero value is empty. It is
// not safe for concurrent use.
type Mirror struct {
	items             map[string]Item
	heldUntil         map[string]clock.Millis // removals that are held back, and until when
	tombstones        []Item                  // removals, oldest first
	compactedRevision uint64                  // removals up to this revision are not in gone
	revision          uint64
	complete          bool
	storeFailedAt     clock.Millis // latest failure of the store, or 0
}

// Complete reports whether the mirror has had a complete listing.
func (m *Mirror) Complete() bool { return m.complete }

// Revision returns the revision up to which all changes are known.
func (m *Mirror) Revision() uint64 { return m.revision }

// Len returns the number of items.
func (m *Mirror) Len() int { return len(m.items) }

// RecordStoreFailure notes that the store failed. Entries may have lapsed meanwhile
// although their writers are alive.
func (m *Mirror) RecordStoreFailure(now clock.Millis) { m.storeFailedAt = now }

// Replace takes a complete listing. Revision is the one at which the listing
// began; later changes may be in it and come again with Apply. It returns what
// is new.
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
	// Removals between the old revision and the listing were not seen.
	m.compactedRevision = revision
	m.tombstones = m.tombstones[:0]
	m.revision = revision
	return append(changes, m.put(items)...)
}

// Apply takes the changes up to a revision. Changes that are known already are
// left out of the result.
func (m *Mirror) Apply(now clock.Millis, changes []Item, revision uint64) []Item {
	var fresh []Item
	for _, change := range changes {
		if change.removed {
			fresh = m.remove(now, fresh, change)
		} else {
			fresh = append(fresh, m.put([]Item{change})...)
		}
	}
	m.revision = max(m.revision, revision)
	return fresh
}

func (m *Mirror) put(items []Item) []Item {
	if m.items == nil {
		m.items = make(map[string]Item)
	}
	var fresh []Item
	for _, item := range items {
		old, known := m.items[item.key]
		if known && old.revision >= item.revision {
			if _, lapsed := m.heldUntil[item.key]; !lapsed {
				continue
			}
		}
		delete(m.heldUntil, item.key)
		m.items[item.key] = item
		fresh = append(fresh, item)
	}
	return fresh
}

// remove drops an item at once, or later if the store was in trouble.
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
		if m.heldUntil == nil {
			m.heldUntil = make(map[string]clock.Millis)
		}
		if _, held := m.heldUntil[removal.key]; !held {
			m.heldUntil[removal.key] = m.storeFailedAt + lapseGracePeriod
		}
		return changes
	}
	delete(m.heldUntil, removal.key)
	delete(m.items, removal.key)
	return append(changes, removal)
}

func (m *Mirror) addTombstone(removal Item) {
	m.tombstones = append(m.tombstones, removal)
	if len(m.tombstones) > maxTombstones {
		m.compactedRevision = m.tombstones[0].revision
		m.tombstones = m.tombstones[1:]
	}
}

// Expire returns the removals that were held back and are due.
func (m *Mirror) Expire(now clock.Millis) []Item {
	var changes []Item
	for key, until := range m.heldUntil {
		if m.storeFailedAt+lapseGracePeriod > until {
			// The store failed again meanwhile.
			until = m.storeFailedAt + lapseGracePeriod
			m.heldUntil[key] = until
		}
		if now >= until {
			changes = append(changes, NewRemoval(key, m.revision))
			delete(m.heldUntil, key)
			delete(m.items, key)
		}
	}
	slices.SortFunc(changes, func(a, b Item) int { return cmp.Compare(a.key, b.key) })
	return changes
}

// ChangesSince returns the changes after a revision for a peer, or all items if the
// removals since then are not known any more.
func (m *Mirror) ChangesSince(after uint64) (items []Item, complete bool, revision uint64) {
	complete = after < m.compactedRevision || after == 0
	for key, item := range m.items {
		if _, lapsed := m.heldUntil[key]; !lapsed && (complete || item.revision > after) {
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

// Get returns the item of a key.
func (m *Mirror) Get(key string) (Item, bool) {
	item, ok := m.items[key]
	return item, ok
}
