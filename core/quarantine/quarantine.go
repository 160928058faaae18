// Package quarantine finds requests that crash upstreams and blocks them.
//
// When a connection is lost with a request in flight, the request becomes a
// suspect. A suspect that then completes anywhere is cleared. One that is in
// flight at crashes of two distinct upstreams without a success in between is
// quarantined for a while, and peers are told; it must have been sent again
// after the first of them, or have ended without any success. After a burst of crashes,
// requests that have not been seen to complete run on one shard first.
//
// # Usage
//
//	var list quarantine.List
//	f := quarantine.FingerprintOf("association/review-desk", body)
//	if list.Blocked(now, f) { ... }
//	list.Crash(now, f, upstreamID, sent) // or list.Success(now, f)
//	for _, entry := range list.Changes() { ... } // tell peers
//	list.Learn(now, entry)                       // told by a peer
package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Fingerprint identifies requests with the same service and content.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// FingerprintOf returns the fingerprint of a request. The separator occurs in
// no service name, so that service and body cannot be shifted into each other.
func FingerprintOf(service string, body []byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

const (
	// Duration is the time for which a fingerprint is quarantined.
	Duration = 10 * clock.Minute

	// Capacity bounds the suspects and, separately, the quarantined entries.
	// When it is reached, the oldest is dropped.
	Capacity = 1024

	// lostUpstreamsToBlock is the number of distinct upstreams that must be lost.
	// One may be a coincidence.
	lostUpstreamsToBlock = 2

	// suspectValidity is the time after which a crash no longer counts against a
	// fingerprint.
	suspectValidity = clock.Minute

	// A burst is burstSize distinct upstreams lost within burstSpan. Canary
	// mode lasts for canaryTerm after it.
	burstUpstreams = 3
	burstWindow    = 10 * clock.Second
	canaryDuration = clock.Minute

	// minExtension is the gain in time that makes a known entry worth telling
	// again. It is above any difference between the clocks of two daemons, so
	// that peers do not refresh each other forever.
	minExtension = clock.Minute
)

// Journal takes events for operators.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}

// Entry is a quarantined fingerprint.
type Entry struct {
	fingerprint Fingerprint
	evidence    []upstream.ID
	end         clock.Millis
}

// NewEntry returns an entry as told by a peer. End is on the clock of this
// daemon; the wire should carry the time left.
func NewEntry(f Fingerprint, evidence []upstream.ID, end clock.Millis) Entry {
	return Entry{fingerprint: f, evidence: evidence, end: end}
}

// Fingerprint returns what is blocked.
func (e Entry) Fingerprint() Fingerprint { return e.fingerprint }

// Evidence returns the upstreams that were lost.
func (e Entry) Evidence() []upstream.ID { return e.evidence }

// End returns the instant at which the quarantine ends.
func (e Entry) End() clock.Millis { return e.end }
