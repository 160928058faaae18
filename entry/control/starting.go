package control

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// kindStarting is the kind of the records by which a daemon announces that it has
// joined the fleet but does not serve callers yet. The key is the daemon's ID; a
// record without a body announces that the start is over.
const kindStarting = "starting"

const (
	// startingLifetime bounds the time for which callers are kept away from a
	// daemon if the record that ends its start is lost. The record is renewed
	// every second during the start.
	startingLifetime = 15 * clock.Second
	// startedLifetime must exceed startingLifetime, so that the record outlives
	// the one it replaces.
	startedLifetime = clock.Minute
)

// startingDaemons is the set of daemons that do not serve callers yet. A daemon
// without a record serves. The zero value is empty.
type startingDaemons struct {
	expiresAt map[fleet.ID]clock.Millis
}

// receiveRecord applies a record. It returns false for a record of another kind.
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

// removeExpired removes daemons whose record has expired. It reports whether there
// were any.
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

// publishStart announces to the fleet that the start of this daemon is in progress
// or over. The sequence number is the time in microseconds, so that the records of
// a later process replace those of an earlier one.
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

// updateAddresses updates the daemons whose addresses are given to callers.
func (c *Control) updateAddresses() {
	c.addresses.SetMembers(c.startingDaemons.servingMembers(c.membership.Members()))
}
