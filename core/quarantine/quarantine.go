// Package quarantine identifies requests that crash upstreams and blocks them.
//
// When a connection is lost with a request in flight, the fingerprint of the request
// becomes a suspect. A success on any upstream clears it. A suspect is quarantined,
// that is, blocked on all daemons for Duration, if it was in flight at crashes of two
// distinct upstreams without a success in between, and either was sent again after
// the first of these crashes or ended without any success.
//
// After a burst of crashes, canary mode applies: requests that are not known to have
// completed before run on one shard first.
//
// # Usage
//
//	var list quarantine.List
//	f := quarantine.FingerprintOf("association/review-desk", body)
//	if list.IsBlocked(now, f) { ... }
//	list.RecordCrash(now, f, upstreamID, sent) // or list.RecordSuccess(now, f)
//	for _, entry := range list.TakeChanges() { ... } // send to the peers
//	list.ReceiveEntry(now, entry)                // from a peer
package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Fingerprint identifies the requests with the same service and body by a hash.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// FingerprintOf returns the fingerprint of a request. The hash covers a zero byte
// between service and body. No service name contains one, so the boundary between
// the two is unambiguous.
func FingerprintOf(service string, body []byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

const (
	// Duration is how long a fingerprint is quarantined.
	Duration = 10 * clock.Minute

	// Capacity is the maximum number of suspects and, separately, of quarantined
	// entries. At the capacity the oldest is evicted.
	Capacity = 1024

	// lostUpstreamsToBlock is the number of distinct upstreams that must be lost
	// with a fingerprint in flight before it is blocked. One may be a coincidence.
	lostUpstreamsToBlock = 2

	// suspectValidity is how long after its last crash a fingerprint is a suspect.
	suspectValidity = clock.Minute

	// A burst is the loss of burstUpstreams distinct upstreams within burstWindow.
	// Canary mode lasts for canaryDuration after it.
	burstUpstreams = 3
	burstWindow    = 10 * clock.Second
	canaryDuration = clock.Minute

	// minExtension is the minimum by which an entry from a peer must extend a known
	// one to replace it. It exceeds the difference between the clocks of any two
	// daemons, so that peers do not extend each other's entries forever.
	minExtension = clock.Minute
)

// Journal records events for operators.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}

// Entry is a quarantined fingerprint.
type Entry struct {
	fingerprint Fingerprint
	evidence    []upstream.ID
	end         clock.Millis
}

// NewEntry returns an entry received from a peer. End is on the clock of this daemon;
// messages should therefore carry the time left. The entry keeps the evidence slice.
func NewEntry(f Fingerprint, evidence []upstream.ID, end clock.Millis) Entry {
	return Entry{fingerprint: f, evidence: evidence, end: end}
}

// Fingerprint returns the fingerprint that is blocked.
func (e Entry) Fingerprint() Fingerprint { return e.fingerprint }

// Evidence returns the upstreams that were lost with the fingerprint in flight. The
// caller must not change the slice.
func (e Entry) Evidence() []upstream.ID { return e.evidence }

// End returns the time at which the quarantine ends.
func (e Entry) End() clock.Millis { return e.end }
