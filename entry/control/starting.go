package control

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// kindStarting marks the records by which a daemon tells that it has announced
// itself but lets no caller in yet.
const kindStarting = "starting"

const (
	// startingLifetime bounds how long a lost end of a start keeps callers
	// away from a daemon. It is renewed every second while the start lasts.
	startingLifetime = 15 * clock.Second
	// startedLifetime only has to outlive the record that it replaces.
	startedLifetime = clock.Minute
)

// startingDaemons knows the daemons that let no caller in yet. A daemon without a
// record serves. The zero value knows none.
type startingDaemons struct {
	expiresAt map[fleet.ID]clock.Millis
}

// receiveRecord takes a record. It returns false for a record of another kind.
func (s *startingDaemons) receiveRecord(now clock.Millis, record fleet.Record) bool {
	if record.Kind() != kindStarting {
		return false
	}
	if s.expiresAt == nil {
		s.expiresAt = make(map[fleet.ID]clock.Millis)
	}
	if len(record.Body()) == 0 {
		delete(s.expiresAt, fleet.ID(record.Key()))
		return true
	}
	s.expiresAt[fleet.ID(record.Key())] = now + record.Lifetime()
	return true
}

// removeExpired drops records that ended. It reports whether there were any.
func (s *startingDaemons) removeExpired(now clock.Millis) bool {
	removed := false
	for id, expiresAt := range s.expiresAt {
		if now >= expiresAt {
			delete(s.expiresAt, id)
			removed = true
		}
	}
	return removed
}

// servingMembers returns the members that are not starting.
func (s *startingDaemons) servingMembers(members []fleet.Member) []fleet.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool {
		_, found := s.expiresAt[m.ID()]
		return found
	})
}

// publishStart tells the fleet that the start of this daemon lasts or is over.
// The sequence follows the clock, so that the records of a later process
// replace those of an earlier one.
func (c *Control) publishStart(now clock.Millis, inProgress bool) {
	var body []byte
	lifetime := startedLifetime
	if inProgress {
		body, lifetime = []byte{1}, startingLifetime
	}
	record := fleet.NewRecord(kindStarting, string(c.deps.Self.ID()), uint64(now*1000), body, lifetime)
	c.startingDaemons.receiveRecord(now, record)
	c.performMembership(now, c.membership.Publish(now, record))
	c.updateAddresses()
}

// updateAddresses takes the daemons that callers may use.
func (c *Control) updateAddresses() {
	c.addresses.SetMembers(c.startingDaemons.servingMembers(c.membership.Members()))
}
