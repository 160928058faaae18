package mirror

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// simulatedKeys are the keys of a simulated store, which take turns in changing: two with a
// sequence, of which one is ephemeral, and two without.
var simulatedKeys = [4]string{"c", "e", "r", "x"}

// commit is a change of a simulated store. Its revision has no era.
type commit struct {
	at   clock.Millis
	item Item
}

// history is an era of a simulated store.
type history struct {
	commits []commit // from 1 on
	copied  uint64   // newest revision of the copy that the store was restored from
	ended   clock.Millis
}

func (h *history) newest() uint64 { return uint64(len(h.commits) - 1) }

// latest returns the latest revision of a key up to one, or 0.
func (h *history) latest(key int, through uint64) uint64 {
	return through - min(through, (through-uint64(key)+4)%4)
}

// changes returns the latest change of each key after a revision and up to another.
func (h *history) changes(after, through uint64) []Item {
	var changes []Item
	for n := max(after, through-min(through, 4)) + 1; n <= through; n++ {
		changes = append(changes, h.commits[n].item)
	}
	return changes
}

// listing returns the items after a key at a revision.
func (h *history) listing(afterKey string, revision uint64) []Item {
	var items []Item
	for key, name := range simulatedKeys {
		if n := h.latest(key, revision); n > 0 && name > afterKey && !h.commits[n].item.removed {
			items = append(items, h.commits[n].item)
		}
	}
	return items
}

// simulatedStore is a store that is restored from older copies.
type simulatedStore struct {
	eras   []*history
	stated bool // whether it states its era, from 1 on
}

func newSimulatedStore(stated bool) *simulatedStore {
	return &simulatedStore{stated: stated, eras: []*history{{commits: make([]commit, 1)}}}
}

func (s *simulatedStore) current() *history { return s.eras[len(s.eras)-1] }

// era returns the era that the store states.
func (s *simulatedStore) era() Era {
	if !s.stated {
		return Era{}
	}
	return NewEra(uint64(len(s.eras)), 0)
}

// write commits the next change.
func (s *simulatedStore) write(at clock.Millis, removal bool) {
	h := s.current()
	n := h.newest() + 1
	key := simulatedKeys[n%4]
	item := valued(key, fmt.Sprintf("%d %d", len(s.eras), n), revisionAt(n))
	switch {
	case removal:
		item = NewRemoval(key, revisionAt(n))
	case n%4 > 1:
		item.value = fmt.Appendf(nil, "%d-%d", len(s.eras), n)
	}
	h.commits = append(h.commits, commit{at, item})
}

// restore ends an era and begins one with a copy that lacks a number of revisions.
func (s *simulatedStore) restore(at clock.Millis, lost uint64) {
	h := s.current()
	h.ended = at
	copied := h.newest() - min(h.newest(), lost)
	s.eras = append(s.eras, &history{commits: slices.Clone(h.commits[:copied+1]), copied: copied})
}

// stored returns what a mirror knows to be stored under a key.
func (m *Mirror) stored(key string) (Item, bool) {
	if d, isDeferred := m.deferred[key]; isDeferred {
		return d.change, !d.change.removed
	}
	return m.Get(key)
}

// lacks reports whether a mirror lacks the change with a revision of its era, or a later one of
// the same key. A change that is held back counts as known.
func (m *Mirror) lacks(h *history, revision uint64) bool {
	if stored, listed := m.stored(simulatedKeys[revision%4]); listed {
		return stored.revision.number < revision
	}
	for n := revision; n <= h.newest(); n += 4 {
		if h.commits[n].item.removed {
			return false
		}
	}
	return true
}

// lacksAny returns an error if a mirror lacks a change that the store had confirmed by an
// instant. The first era is that of the mirror.
func (m *Mirror) lacksAny(eras []*history, at clock.Millis) error {
	for later, h := range eras {
		for n, seen := h.newest(), 0; n > 0 && seen < 4 && (later == 0 || n > h.copied); n-- {
			if h.commits[n].at > at {
				continue
			}
			seen++
			if later > 0 || m.lacks(h, n) {
				return errors.Newf("current as of %v, but revision %d of %v is missing", at, n, h.commits[n].at)
			}
		}
	}
	return nil
}

// mirrorCheck compares a mirror with the history of the store.
type mirrorCheck struct {
	mirror   *Mirror
	revision Revision
	listing  Revision  // that the mirror had last
	entered  uint64    // newest revision of the store when the mirror came to its era
	listed   uint64    // the same when it had a listing last
	floors   [4]uint64 // revision from which the mirror knows each key
	effects  [4]string // values in effect
	dropping [4]bool   // whether the item in effect is to be dropped
}

// run returns an error if the mirror, which is in an era with the given history, went back or
// lacks changes up to its revision.
func (c *mirrorCheck) run(h *history) error {
	revision := c.mirror.Revision()
	if revision.Before(c.revision) {
		return errors.Newf("from %v back to %v", c.revision, revision)
	}
	if revision.era != c.revision.era {
		c.floors, c.entered = [4]uint64{}, h.newest()
	}
	if c.listing != c.mirror.compactedRevision {
		c.listing, c.listed = c.mirror.compactedRevision, h.newest()
	}
	c.revision = revision
	for key, name := range simulatedKeys {
		latest := h.latest(key, revision.number)
		floor := latest
		stored, has := c.mirror.stored(name)
		if has {
			floor = stored.revision.number
			if stored.revision.era != revision.era || floor > h.newest() || string(stored.value) != string(h.commits[floor].item.value) {
				return errors.Newf("at %v: %s has %s of %v", revision, name, stored.value, stored.revision)
			}
		} else if latest > 0 {
			for !h.commits[floor].item.removed {
				if floor += 4; floor > h.newest() {
					return errors.Newf("at %v: %s is missing", revision, name)
				}
			}
		}
		if floor < max(latest, c.floors[key]) {
			return errors.Newf("at %v: %s is at %d, but was at %d, and is at %d in the store", revision, name, floor, c.floors[key], latest)
		}
		c.floors[key] = floor
		inEffect, _ := c.mirror.Get(name)
		d, isDeferred := c.mirror.deferred[name]
		written := !d.change.removed && d.change.revision.number > c.entered && !c.mirror.precedes(d.change, inEffect)
		// A removal that was held back takes effect in the end.
		dropped := inEffect.key == "" && !d.change.removed && c.dropping[key]
		c.dropping[key] = d.dropAt > 0
		if value := string(inEffect.value); isDeferred && value != c.effects[key] && !dropped {
			return errors.Newf("at %v: %s changes from %q to %q although a change is deferred", revision, name, c.effects[key], value)
		} else if isDeferred && !d.lapsed && (written || (d.change.removed && latest > c.listed)) {
			return errors.Newf("at %v: %s is retained although it changed at %d", revision, name, latest)
		}
		c.effects[key] = string(inEffect.value)
	}
	return nil
}
