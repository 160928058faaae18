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

// starting knows the daemons that let no caller in yet. A daemon without a
// record serves. The zero value knows none.
type starting struct {
	until map[fleet.ID]clock.Millis
}

// learn takes a record. It returns false for a record of another kind.
func (s *starting) learn(now clock.Millis, record fleet.Record) bool {
	if record.Kind() != kindStarting {
		return false
	}
	if s.until == nil {
		s.until = make(map[fleet.ID]clock.Millis)
	}
	if len(record.Body()) == 0 {
		delete(s.until, fleet.ID(record.Key()))
		return true
	}
	s.until[fleet.ID(record.Key())] = now + record.Lifetime()
	return true
}

// expire drops records that ended. It reports whether there were any.
func (s *starting) expire(now clock.Millis) bool {
	dropped := false
	for id, until := range s.until {
		if now >= until {
			delete(s.until, id)
			dropped = true
		}
	}
	return dropped
}

// serving returns the members that are not starting.
func (s *starting) serving(members []fleet.Member) []fleet.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool {
		_, found := s.until[m.ID()]
		return found
	})
}

// publishStart tells the fleet that the start of this daemon lasts or is over.
// The sequence follows the clock, so that the records of a later process
// replace those of an earlier one.
func (c *Control) publishStart(now clock.Millis, lasts bool) {
	var body []byte
	lifetime := startedLifetime
	if lasts {
		body, lifetime = []byte{1}, startingLifetime
	}
	record := fleet.NewRecord(kindStarting, string(c.parts.Self.ID()), uint64(now*1000), body, lifetime)
	c.starting.learn(now, record)
	c.performFleet(now, c.membership.Publish(now, record))
	c.setAddresses()
}

// setAddresses takes the daemons that callers may use.
func (c *Control) setAddresses() {
	c.addresses.SetMembers(c.starting.serving(c.membership.Members()))
}
