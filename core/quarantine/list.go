package quarantine

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	// completionSlots is the size of the table of completed fingerprints: 64 KB. A
	// collision forgets one of the two, which costs a canary at worst.
	completionSlots = 4096
	// completionValidity is how long a completed fingerprint cannot be blamed. A
	// request that crashes each upstream that runs it never completes; one whose
	// content starts to crash upstreams with a new index is blamed after it.
	completionValidity = 5 * clock.Second
)

// List is what one daemon knows about requests that crash upstreams. The zero
// value is empty and ready for use. It is not safe for concurrent use.
type List struct {
	journal        Journal
	canaryDisabled bool
	suspects       map[Fingerprint]suspect
	blocked        map[Fingerprint]Entry
	changes        []Entry
	crashes        []crash
	canaryUntil    clock.Millis
	completions    []completion
}

// completion is the last success of a fingerprint.
type completion struct {
	fingerprint Fingerprint
	at          clock.Millis
}

type suspect struct {
	lost       []upstream.ID
	firstCrash clock.Millis // first crash
	lastCrash  clock.Millis // last crash
}

type crash struct {
	upstream upstream.ID
	at       clock.Millis
}

// SetJournal sets where events are recorded.
func (l *List) SetJournal(j Journal) { l.journal = j }

// SetCanaryEnabled enables or disables canary mode, which is enabled by default.
func (l *List) SetCanaryEnabled(enabled bool) { l.canaryDisabled = !enabled }

// IsBlocked reports whether requests with the fingerprint are refused.
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

// Empty reports whether the list holds nothing, so that callers can spare
// themselves the fingerprint.
func (l *List) Empty() bool { return len(l.suspects) == 0 && len(l.blocked) == 0 }

// IsSuspect reports whether an upstream was lost with the fingerprint in flight
// and the fingerprint has not completed since.
func (l *List) IsSuspect(now clock.Millis, f Fingerprint) bool {
	s, ok := l.suspects[f]
	return ok && now < s.lastCrash+suspectValidity
}

// NeedsCanary reports whether a request with the fingerprint must run on one shard
// first: shortly after a burst of crashes, unless it has completed before.
func (l *List) NeedsCanary(now clock.Millis, f Fingerprint) bool {
	if l.canaryDisabled || now >= l.canaryUntil {
		return false
	}
	return l.completions == nil || l.completions[f%completionSlots].fingerprint != f
}

// recentlyCompleted reports whether the fingerprint has completed on an upstream so
// recently that lost connections prove nothing against it.
func (l *List) recentlyCompleted(now clock.Millis, f Fingerprint) bool {
	if l.completions == nil {
		return false
	}
	c := l.completions[f%completionSlots]
	return c.fingerprint == f && now < c.at+completionValidity
}

// RecordCrash records that the connection to an upstream was lost with a request in
// flight that was sent to it at the instant sent. It returns true if the
// fingerprint is now blocked. Upstreams lost with requests that were all sent
// before the first of these crashes prove nothing by themselves: a data centre
// that fails takes innocent requests with it.
func (l *List) RecordCrash(now clock.Millis, f Fingerprint, id upstream.ID, sent clock.Millis) bool {
	l.detectBurst(now, id)
	if l.IsBlocked(now, f) {
		return true
	}
	if l.recentlyCompleted(now, f) {
		return false
	}
	s := l.suspects[f]
	if now >= s.lastCrash+suspectValidity {
		s.lost = nil
	}
	if len(s.lost) == 0 {
		s.firstCrash = now
	}
	if !slices.Contains(s.lost, id) {
		s.lost = append(s.lost, id)
	}
	s.lastCrash = now
	l.setSuspect(f, s)
	return sent >= s.firstCrash && l.BlockIfConfirmed(now, f)
}

// BlockIfConfirmed blocks a fingerprint that was in flight at crashes of two distinct
// upstreams. A query calls it when it ends without any success. It returns true
// if the fingerprint is now blocked.
func (l *List) BlockIfConfirmed(now clock.Millis, f Fingerprint) bool {
	s := l.suspects[f]
	if len(s.lost) < lostUpstreamsToBlock {
		return false
	}
	delete(l.suspects, f)
	l.block(now, Entry{fingerprint: f, evidence: s.lost, end: now + Duration}, "lost two upstreams in a row")
	return true
}

// RecordSuccess records that the fingerprint completed on an upstream. It clears a
// suspect; a quarantine that has begun stays until its end.
func (l *List) RecordSuccess(now clock.Millis, f Fingerprint) {
	if len(l.suspects) > 0 {
		delete(l.suspects, f)
	}
	if l.completions == nil {
		l.completions = make([]completion, completionSlots)
	}
	l.completions[f%completionSlots] = completion{fingerprint: f, at: now}
}

// ReceiveEntry takes an entry told by a peer. It returns true if it was news, which
// is then in Changes, so that it is passed on once.
func (l *List) ReceiveEntry(now clock.Millis, entry Entry) bool {
	entry.end = min(entry.end, now+Duration)
	if now >= entry.end {
		return false
	}
	if known, ok := l.blocked[entry.fingerprint]; ok && entry.end < known.end+minExtension {
		return false
	}
	delete(l.suspects, entry.fingerprint)
	l.block(now, entry, "told by a peer")
	return true
}

// Changes returns the entries that are new since the last call.
func (l *List) Changes() []Entry {
	changes := l.changes
	l.changes = nil
	return changes
}

// Entries returns all entries in force, for a peer that has just connected.
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

// Release ends the quarantine of a fingerprint on this daemon.
func (l *List) Release(now clock.Millis, f Fingerprint) {
	if _, ok := l.blocked[f]; ok {
		delete(l.blocked, f)
		l.recordEvent(now, f, "released")
	}
}

func (l *List) setSuspect(f Fingerprint, s suspect) {
	if l.suspects == nil {
		l.suspects = make(map[Fingerprint]suspect)
	}
	if _, known := l.suspects[f]; !known && len(l.suspects) >= Capacity {
		evictOldest(l.suspects, func(s suspect) clock.Millis { return s.lastCrash })
	}
	l.suspects[f] = s
}

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

// detectBurst starts canary mode after a burst of crashes.
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

// evictOldest removes the entry with the lowest instant. Ties are broken by
// the fingerprint, so that the choice does not depend on the map's order.
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
