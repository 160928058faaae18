// Package journal keeps a bounded record of a daemon's decisions and their causes.
//
// Operators read it with "lovagegapctl events". A full journal drops its oldest
// events; a reader notices the gap by the sequence numbers.
//
// # Usage
//
//	var j journal.Journal
//	j.Add(now, journal.Ejection, "10.0.0.7:80", "5 failures in a row")
//	for _, event := range j.After(0) { ... }
package journal

import (
	"sync"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Kind names the subsystem that an event belongs to.
type Kind string

// Kinds of events.
const (
	Membership Kind = "membership"
	Settings   Kind = "settings"
	Ejection   Kind = "ejection"
	ColdStart  Kind = "cold-start"
	Quarantine Kind = "quarantine"
	Drain      Kind = "drain"
	Connection Kind = "connection"
	Platform   Kind = "platform"
)

// Capacity is the maximum number of events that a Journal keeps. With about 200
// bytes per event, a full journal takes well under 1 MB of memory.
const Capacity = 2048

// Event is one entry of the journal.
type Event struct {
	sequence uint64
	at       clock.Millis
	kind     Kind
	subject  string
	cause    string
}

// Sequence returns the number of the event. Events are numbered from one on, without
// gaps, for each Journal.
func (e Event) Sequence() uint64 { return e.sequence }

// At returns the instant of the event.
func (e Event) At() clock.Millis { return e.at }

// Kind returns the subsystem that the event belongs to.
func (e Event) Kind() Kind { return e.kind }

// Subject returns what the event is about, such as an upstream's address.
func (e Event) Subject() string { return e.subject }

// Cause returns what happened and why, as a text for operators.
func (e Event) Cause() string { return e.cause }

// Journal is a ring buffer of events. The zero value is empty and ready for use. It
// is safe for concurrent use, because several subsystems write to it.
type Journal struct {
	mu           sync.Mutex
	events       []Event
	lastSequence uint64
}

// Add appends an event and drops the oldest one if the journal is full. On a nil
// Journal it does nothing.
func (j *Journal) Add(now clock.Millis, kind Kind, subject, cause string) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastSequence++
	event := Event{sequence: j.lastSequence, at: now, kind: kind, subject: subject, cause: cause}
	if len(j.events) < Capacity {
		j.events = append(j.events, event)
		return
	}
	j.events[(j.lastSequence-1)%Capacity] = event
}

// After returns the events in the journal that follow the one with the given
// sequence, oldest first; with zero, all of them.
func (j *Journal) After(sequence uint64) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	first := uint64(1)
	if j.lastSequence > Capacity {
		first = j.lastSequence - Capacity + 1
	}
	first = max(first, sequence+1)
	var found []Event
	for s := first; s <= j.lastSequence; s++ {
		found = append(found, j.events[(s-1)%Capacity])
	}
	return found
}
