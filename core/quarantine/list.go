package quarantine

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	// completionSlots is the number of slots of the hash table of completions, which
	// takes 64 KB. Of two fingerprints with the same slot only the later one is kept;
	// the other may have to run as a canary again.
	completionSlots = 4096
	// completionValidity is how long after a completion crashes do not count against
	// a fingerprint. A request that crashes each upstream never completes. One that
	// starts to crash upstreams because of a new index becomes a suspect after this
	// time.
	completionValidity = 5 * clock.Second
)

// List holds the suspects and the quarantined fingerprints that one daemon knows. The
// zero value is an empty list. It is not safe for concurrent use.
type List struct {
	journal        Journal
	canaryDisabled bool
	outageSpread   clock.Millis
	suspects       map[Fingerprint]suspect
	blocked        map[Fingerprint]Entry
	changes        []Entry      // not yet returned by TakeChanges
	crashes        []crash      // within burstWindow, one per upstream, the latest last
	canaryUntil    clock.Millis // end of canary mode
	completions    []completion // by fingerprint modulo completionSlots; nil before the first
}

// completion is the last success of a fingerprint on an upstream.
type completion struct {
	fingerprint Fingerprint
	at          clock.Millis
}

// suspect holds the crashes with a fingerprint in flight since its last success.
type suspect struct {
	crashedUpstreams []upstream.ID // distinct
	firstCrash       clock.Millis
	lastCrash        clock.Millis
}

// crash is the loss of an upstream with any request in flight.
type crash struct {
	upstream upstream.ID
	at       clock.Millis
}

// SetJournal sets the journal that records events. Without one no events are recorded.
func (l *List) SetJournal(j Journal) { l.journal = j }

// SetCanaryEnabled enables or disables canary mode, which is enabled by default.
func (l *List) SetCanaryEnabled(enabled bool) { l.canaryDisabled = !enabled }

// SetOutageSpread sets the time within which upstreams that fail together are lost; it is
// 0 by default. The loss of an upstream to which a request was sent within that time after
// the first loss does not block its fingerprint: the retry of a harmless request may meet
// another upstream of the same outage.
func (l *List) SetOutageSpread(spread clock.Millis) { l.outageSpread = spread }

// IsBlocked reports whether the fingerprint is quarantined, so that its requests must
// be refused. It removes an entry that has ended.
func (l *List) IsBlocked(now clock.Millis, f Fingerprint) bool {
	entry, ok := l.blocked[f]
	if !ok {
		return false
	}
	if now < entry.end {
		return true
	}
	delete(l.blocked, f)
	l.recordEvent(now, f, "quarantine ended")
	return false
}

// Empty reports whether there are neither suspects nor quarantined fingerprints, so
// that callers need not compute a fingerprint.
func (l *List) Empty() bool { return len(l.suspects) == 0 && len(l.blocked) == 0 }

// IsSuspect reports whether an upstream was lost with the fingerprint in flight within
// suspectValidity and the fingerprint has not completed since.
func (l *List) IsSuspect(now clock.Millis, f Fingerprint) bool {
	s, ok := l.suspects[f]
	return ok && now < s.lastCrash+suspectValidity
}

// NeedsCanary reports whether a request with the fingerprint must run on one shard
// first: in canary mode, unless the fingerprint is known to have completed before.
func (l *List) NeedsCanary(now clock.Millis, f Fingerprint) bool {
	if l.canaryDisabled || now >= l.canaryUntil {
		return false
	}
	return l.completions == nil || l.completions[f%completionSlots].fingerprint != f
}

// recentlyCompleted reports whether the fingerprint completed on an upstream within
// completionValidity, so that a lost connection is not evidence against it.
func (l *List) recentlyCompleted(now clock.Millis, f Fingerprint) bool {
	if l.completions == nil {
		return false
	}
	c := l.completions[f%completionSlots]
	return c.fingerprint == f && now < c.at+completionValidity
}

// RecordCrash records that the connection to an upstream was lost while a request with
// the fingerprint, sent to it at the time sent, was in flight. It returns true if the
// fingerprint is now blocked. Upstreams lost with requests that were all sent before
// the first of these crashes, or within the outage spread after it, are not sufficient
// evidence: when a data centre fails, harmless requests are in flight on all of its
// upstreams. Only BlockIfConfirmed acts on such crashes. A crash within
// completionValidity of a success does not count.
func (l *List) RecordCrash(now clock.Millis, f Fingerprint, id upstream.ID, sent clock.Millis) bool {
	l.detectBurst(now, id)
	if l.IsBlocked(now, f) {
		return true
	}
	if l.recentlyCompleted(now, f) {
		return false
	}
	return sent >= l.addEvidence(now, f, id)+l.outageSpread && l.BlockIfConfirmed(now, f)
}

// Suspect records that an upstream may have crashed with the fingerprint in flight, on
// evidence that is too weak to block it: the end of a reused connection may be that of
// an idle one. The next crash with the fingerprint is then the second one. Like a crash,
// this does not count within completionValidity of a success.
func (l *List) Suspect(now clock.Millis, f Fingerprint, id upstream.ID) {
	if !l.IsBlocked(now, f) && !l.recentlyCompleted(now, f) {
		l.addEvidence(now, f, id)
	}
}

// addEvidence adds an upstream to those that were lost with the fingerprint in flight,
// and returns the time of the first loss.
func (l *List) addEvidence(now clock.Millis, f Fingerprint, id upstream.ID) (firstCrash clock.Millis) {
	s := l.suspects[f]
	if now >= s.lastCrash+suspectValidity {
		s.crashedUpstreams = nil
	}
	if len(s.crashedUpstreams) == 0 {
		s.firstCrash = now
	}
	if !slices.Contains(s.crashedUpstreams, id) {
		s.crashedUpstreams = append(s.crashedUpstreams, id)
	}
	s.lastCrash = now
	l.setSuspect(f, s)
	return s.firstCrash
}

// BlockIfConfirmed blocks a fingerprint that was in flight at crashes of two distinct
// upstreams. A query calls it when it ends without any success. It returns true if
// it blocked the fingerprint.
func (l *List) BlockIfConfirmed(now clock.Millis, f Fingerprint) bool {
	s := l.suspects[f]
	if len(s.crashedUpstreams) < lostUpstreamsToBlock {
		return false
	}
	delete(l.suspects, f)
	l.block(now, Entry{fingerprint: f, evidence: s.crashedUpstreams, end: now + Duration}, "two distinct upstreams crashed")
	return true
}

// RecordSuccess records that a request with the fingerprint completed on an upstream.
// The fingerprint is no longer a suspect; a quarantine remains in force until its end.
func (l *List) RecordSuccess(now clock.Millis, f Fingerprint) {
	if len(l.suspects) > 0 {
		delete(l.suspects, f)
	}
	if l.completions == nil {
		l.completions = make([]completion, completionSlots)
	}
	l.completions[f%completionSlots] = completion{fingerprint: f, at: now}
}

// ReceiveEntry adds an entry received from a peer. The entry ends at the latest
// Duration from now. It returns true if the entry is new or extends a known one by
// minExtension; TakeChanges then returns it, so that it is forwarded once.
func (l *List) ReceiveEntry(now clock.Millis, entry Entry) bool {
	entry.end = min(entry.end, now+Duration)
	if now >= entry.end {
		return false
	}
	if known, ok := l.blocked[entry.fingerprint]; ok && entry.end < known.end+minExtension {
		return false
	}
	delete(l.suspects, entry.fingerprint)
	l.block(now, entry, "received from a peer")
	return true
}

// TakeChanges returns the entries that were added or extended since the last call, to be
// sent to all peers. It returns at most Capacity entries, the newest ones.
func (l *List) TakeChanges() []Entry {
	changes := l.changes
	l.changes = nil
	return changes
}

// Entries returns the entries in force, sorted by fingerprint, to be sent to a peer
// that has just connected.
func (l *List) Entries(now clock.Millis) []Entry {
	entries := make([]Entry, 0, len(l.blocked))
	for _, entry := range l.blocked {
		if now < entry.end {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Compare(a.fingerprint, b.fingerprint)
	})
	return entries
}

// Release ends the quarantine of a fingerprint on this daemon only.
func (l *List) Release(now clock.Millis, f Fingerprint) {
	if _, ok := l.blocked[f]; ok {
		delete(l.blocked, f)
		l.recordEvent(now, f, "released")
	}
}

// setSuspect stores a suspect. At the capacity it evicts the one with the oldest last
// crash.
func (l *List) setSuspect(f Fingerprint, s suspect) {
	if l.suspects == nil {
		l.suspects = make(map[Fingerprint]suspect)
	}
	if _, known := l.suspects[f]; !known && len(l.suspects) >= Capacity {
		evictOldest(l.suspects, func(s suspect) clock.Millis { return s.lastCrash })
	}
	l.suspects[f] = s
}

// block stores an entry, adds it to the changes and records an event. At the capacity
// it evicts the entry that ends first.
func (l *List) block(now clock.Millis, entry Entry, cause string) {
	if l.blocked == nil {
		l.blocked = make(map[Fingerprint]Entry)
	}
	if _, known := l.blocked[entry.fingerprint]; !known && len(l.blocked) >= Capacity {
		evictOldest(l.blocked, func(e Entry) clock.Millis { return e.end })
	}
	l.blocked[entry.fingerprint] = entry
	if len(l.changes) >= Capacity {
		l.changes = slices.Delete(l.changes, 0, 1)
	}
	l.changes = append(l.changes, entry)
	l.recordEvent(now, entry.fingerprint, cause)
}

// detectBurst records the crash of an upstream and starts or extends canary mode if it
// completes a burst.
func (l *List) detectBurst(now clock.Millis, id upstream.ID) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c crash) bool {
		return c.upstream == id || now >= c.at+burstWindow
	})
	l.crashes = append(l.crashes, crash{upstream: id, at: now})
	if len(l.crashes) < burstUpstreams {
		return
	}
	l.crashes = slices.Delete(l.crashes, 0, len(l.crashes)-burstUpstreams)
	if now >= l.canaryUntil && l.journal != nil && !l.canaryDisabled {
		l.journal.Add(now, journal.Quarantine, string(id), "canary mode begins after a burst of crashes")
	}
	l.canaryUntil = now + canaryDuration
}

func (l *List) recordEvent(now clock.Millis, f Fingerprint, cause string) {
	if l.journal != nil {
		l.journal.Add(now, journal.Quarantine, f.String(), cause)
	}
}

// evictOldest removes the element with the lowest instant. Ties are broken by the
// fingerprint, so that the choice does not depend on the iteration order of the map.
func evictOldest[V any](m map[Fingerprint]V, instant func(V) clock.Millis) {
	var oldest Fingerprint
	first := true
	for f, v := range m {
		if first || instant(v) < instant(m[oldest]) || (instant(v) == instant(m[oldest]) && f < oldest) {
			oldest, first = f, false
		}
	}
	delete(m, oldest)
}
