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
//	m.SetSchema(schema)
//	changes := m.Replace(now, items, revision)         // a complete listing
//	changes = m.Apply(now, events, revision)           // the reply of a watch, or of a peer
//	changes = m.Expire(now)                            // changes that were held back
//	changes = m.WithdrawSilent(now)                    // entries of replicas that do not write
//	items, complete, revision := m.ChangesSince(after) // for a peer
//
// The store may be restored from an older copy and issue revisions again. Each Revision
// therefore belongs to an Era, which the store states or a Reader infers. With the first
// listing of a later era, what the mirror knows stays in effect for a time where the copy may
// be older; see Schema.
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
	revision Revision
	removed  bool
}

// NewItem returns a key that was written at a revision. It keeps value.
func NewItem(key string, value []byte, revision Revision) Item {
	return Item{key: key, value: value, revision: revision}
}

// NewRemoval returns the removal of a key at a revision.
func NewRemoval(key string, revision Revision) Item {
	return Item{key: key, revision: revision, removed: true}
}

// Key returns the key.
func (i Item) Key() string { return i.key }

// Value returns the value, which the caller must not modify.
func (i Item) Value() []byte { return i.value }

// Revision returns the revision of the write or the removal.
func (i Item) Revision() Revision { return i.revision }

// Removed reports whether the key was removed.
func (i Item) Removed() bool { return i.removed }

// Mirror is a copy of the keys under a prefix. The zero value is an empty mirror.
// It is not safe for concurrent use.
type Mirror struct {
	schema            Schema
	items             map[string]Item           // in effect
	deferred          map[string]deferredChange // by key
	tombstones        []Item                    // latest removals of the era, in the order of arrival
	compactedRevision Revision                  // removals up to this revision may be missing in tombstones
	removals          []recentRemoval           // in the order of arrival
	revision          Revision
	complete          bool
	storeFailedAt     clock.Millis // latest failure of the store, or 0
	restoredAt        clock.Millis // when the mirror passed to its era
	highestEarlier    uint64       // number of a revision in the eras that a copy may be from
	silence           silenceCheck
}

// SetSchema describes the items. Without a schema all of them are durable.
func (m *Mirror) SetSchema(schema Schema) { m.schema = schema }

// Complete reports whether the mirror has received a complete listing.
func (m *Mirror) Complete() bool { return m.complete }

// Revision returns the revision up to which the mirror has all changes.
func (m *Mirror) Revision() Revision { return m.revision }

// Len returns the number of items, including those whose removal is held back.
func (m *Mirror) Len() int { return len(m.items) }

// Held returns the number of items whose removal is held back because they may have lapsed.
func (m *Mirror) Held() int {
	n := 0
	for _, d := range m.deferred {
		if d.lapsed || d.dropAt > 0 {
			n++
		}
	}
	return n
}

// Retained returns the number of other keys that differ from the store, since it was restored
// or their writers are silent.
func (m *Mirror) Retained() int { return len(m.deferred) - m.Held() }

// RecordStoreFailure records that a call of the store failed at now. Removals up to
// lapseGracePeriod later are held back, because keys may have lapsed although
// their writers are alive.
func (m *Mirror) RecordStoreFailure(now clock.Millis) { m.storeFailedAt = now }

// Replace replaces the contents with a complete listing and returns the changes.
// Revision is that of the first page; the listing may include later changes of the same
// era, which Apply ignores when the watch delivers them again. A listing that is older
// than the mirror is ignored.
func (m *Mirror) Replace(now clock.Millis, items []Item, revision Revision) []Item {
	switch {
	case revision.Before(m.revision):
		return nil
	case m.complete && revision.era != m.revision.era:
		return m.restore(now, items, revision)
	}
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.key] = true
	}
	var changes []Item
	for key, old := range m.items {
		// That a key is still missing whose removal is deferred says nothing new.
		if !listed[key] && !revision.Before(old.revision) && m.Stored(key) {
			changes = m.remove(now, changes, NewRemoval(key, revision))
		}
	}
	for key, d := range m.deferred {
		if _, known := m.items[key]; !known && !listed[key] && !d.change.removed {
			delete(m.deferred, key)
		}
	}
	slices.SortFunc(changes, func(a, b Item) int { return cmp.Compare(a.key, b.key) })
	m.recordListing(now, items)
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
//
// Changes of a later era, which need a listing first, are ignored, too.
func (m *Mirror) Apply(now clock.Millis, changes []Item, revision Revision) []Item {
	if revision.era != m.revision.era && m.complete {
		return nil
	}
	if len(changes) > 0 {
		m.silence.recordReply(now)
	}
	var fresh []Item
	for _, change := range changes {
		if !m.revision.Before(change.revision) {
			continue
		}
		m.silence.recordWrite(now, change.key)
		if change.removed {
			fresh = m.remove(now, fresh, change)
		} else {
			fresh = append(fresh, m.put([]Item{change})...)
		}
	}
	if m.revision.Before(revision) {
		m.revision = revision
	}
	return fresh
}

// put stores the items that are newer than the present ones, and returns those that are in
// effect.
func (m *Mirror) put(items []Item) []Item {
	if m.items == nil {
		m.items = make(map[string]Item)
	}
	var fresh []Item
	for _, item := range items {
		known, ok := m.items[item.key]
		d, isDeferred := m.deferred[item.key]
		switch {
		case ok && !isDeferred && !known.revision.Before(item.revision):
			continue
		case isDeferred && !d.change.removed && !d.change.revision.Before(item.revision):
			continue
		case ok && isDeferred && known.revision.era != item.revision.era && m.precedes(item, known):
			// The writer repeats its writes in their order.
			m.postpone(deferredChange{change: item, until: m.restoredAt + rewritePeriod})
			continue
		}
		delete(m.deferred, item.key)
		m.items[item.key] = item
		fresh = append(fresh, item)
	}
	return fresh
}

// remove removes an item and appends the removal to changes. Within the grace
// period of a store failure the removal is held back for Expire instead. It ends the retention
// after a restore of the store.
func (m *Mirror) remove(now clock.Millis, changes []Item, removal Item) []Item {
	known, ok := m.items[removal.key]
	if ok && removal.revision.Before(known.revision) {
		return changes
	}
	m.addTombstone(removal)
	d, isDeferred := m.deferred[removal.key]
	if isDeferred && d.lapsed && now < d.until {
		return changes
	}
	if !ok {
		delete(m.deferred, removal.key)
		return changes
	}
	if m.storeFailedAt > 0 && now < m.storeFailedAt+lapseGracePeriod {
		if !isDeferred || !d.lapsed {
			m.postpone(deferredChange{change: removal, until: m.storeFailedAt + lapseGracePeriod, lapsed: true})
		}
		return changes
	}
	m.drop(now, removal.key)
	return append(changes, removal)
}

// drop removes a key.
func (m *Mirror) drop(now clock.Millis, key string) {
	delete(m.deferred, key)
	delete(m.items, key)
	m.recordRemoval(now, key)
}

// addTombstone keeps a removal for ChangesSince.
func (m *Mirror) addTombstone(removal Item) {
	m.tombstones = append(m.tombstones, removal)
	if len(m.tombstones) > maxTombstones {
		m.compactedRevision = m.tombstones[0].revision
		m.tombstones = m.tombstones[1:]
	}
}

// Expire applies the changes that have been held back for long enough, and returns them.
func (m *Mirror) Expire(now clock.Millis) []Item {
	changes := m.dropHeld(now)
	return append(changes, m.applyDeferred(now, func(d *deferredChange) bool {
		if d.lapsed {
			// A failure of the store since then extends the grace period.
			d.until = max(d.until, m.storeFailedAt+lapseGracePeriod)
		}
		return now >= d.until
	})...)
}

// ConfirmRemovals applies the held removals of lapsed keys up to a revision, and returns them.
// Another daemon whose mirror has this revision has held them back for long enough.
func (m *Mirror) ConfirmRemovals(now clock.Millis, revision Revision) []Item {
	return m.applyDeferred(now, func(d *deferredChange) bool {
		return d.lapsed && d.change.revision.era == revision.era && !revision.Before(d.change.revision)
	})
}

// applyDeferred applies the deferred changes for which due returns true.
func (m *Mirror) applyDeferred(now clock.Millis, due func(d *deferredChange) bool) []Item {
	var changes []Item
	for key, d := range m.deferred {
		switch {
		case !due(&d):
			m.deferred[key] = d
		case d.change.removed:
			m.drop(now, key)
			changes = append(changes, NewRemoval(key, m.revision))
		default:
			delete(m.deferred, key)
			m.items[key] = d.change
			changes = append(changes, d.change)
		}
	}
	slices.SortFunc(changes, func(a, b Item) int { return cmp.Compare(a.key, b.key) })
	return changes
}

// ChangesSince returns the changes of the store after a revision, for a peer whose mirror is
// at that revision, and the revision of this mirror. Changes that this mirror holds back are
// included. If the removals since then are no longer known, as in another era, or after is
// zero, complete is true and items is a complete listing. A peer that is in a later era gets
// no items.
func (m *Mirror) ChangesSince(after Revision) (items []Item, complete bool, revision Revision) {
	if m.revision.era.Compare(after.era) < 0 {
		return nil, false, m.revision
	}
	complete = after.IsZero() || after.era != m.revision.era || after.Before(m.compactedRevision)
	for key, item := range m.items {
		if _, isDeferred := m.deferred[key]; !isDeferred && (complete || after.Before(item.revision)) {
			items = append(items, item)
		}
	}
	for _, d := range m.deferred {
		if !d.change.removed && (complete || after.Before(d.change.revision)) {
			items = append(items, d.change)
		}
	}
	if !complete {
		for _, removal := range m.tombstones {
			if after.Before(removal.revision) {
				items = append(items, removal)
			}
		}
	}
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(a.revision.Compare(b.revision), cmp.Compare(a.key, b.key))
	})
	return items, complete, m.revision
}

// Get returns the item of a key that is in effect, and whether there is one.
func (m *Mirror) Get(key string) (Item, bool) {
	item, ok := m.items[key]
	return item, ok
}

// Stored reports whether the store has a key, as far as this mirror knows.
func (m *Mirror) Stored(key string) bool {
	if d, isDeferred := m.deferred[key]; isDeferred {
		return !d.change.removed
	}
	_, ok := m.items[key]
	return ok
}
