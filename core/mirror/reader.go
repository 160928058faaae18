package mirror

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Sentinel errors of a store.
var (
	// ErrCompacted means that the store no longer has the history since the
	// wanted revision.
	ErrCompacted = errors.New("history is compacted")
	// ErrUnavailable means that the store gave no answer that can be used.
	ErrUnavailable = errors.New("store is unavailable")
)

const (
	// watchInterval is the time from one watch to the next. A watch over replicas that
	// write all the time returns at once.
	watchInterval = 1100 * clock.Millisecond
	// watchWait is how long a quiet watch waits. A connection that went silent
	// is noticed shortly after it, and the knowledge of a daemon that others
	// follow does not look older than maxAge meanwhile.
	watchWait          = 1200 * clock.Millisecond
	watchTimeoutMargin = 700 * clock.Millisecond
	listTimeout        = 900 * clock.Millisecond
	minRetryDelay      = 150 * clock.Millisecond
	maxRetryDelay      = 800 * clock.Millisecond
	// maxStoreSilence is the silence of the store after which peers are asked.
	maxStoreSilence     = 1500 * clock.Millisecond
	peerRequestInterval = 700 * clock.Millisecond

	// A daemon that follows another one hears of a change as soon as that one
	// does. One that is silent or does not reach the store itself is left for
	// blameTime.
	followWait          = 1400 * clock.Millisecond
	followTimeoutMargin = 400 * clock.Millisecond
	followInterval      = 200 * clock.Millisecond
	maxSourceAge        = 1600 * clock.Millisecond
	sourceEjectionTime  = 3 * clock.Second
)

// CallKind is a kind of read.
type CallKind uint8

// Kinds of reads.
const (
	// List reads a page of all items after a key.
	List CallKind = iota
	// Watch waits for changes after a revision.
	Watch
	// Follow waits for changes at a daemon of the same data centre.
	Follow
)

// String names the kind as it appears in metrics.
func (k CallKind) String() string { return [...]string{"list", "watch", "follow"}[k] }

// Call is a read that is due.
type Call struct {
	kind          CallKind
	at            clock.Millis
	afterKey      string
	afterRevision uint64
	wait          clock.Millis
	timeout       clock.Millis
	peer          string
}

// Kind returns what to read.
func (c Call) Kind() CallKind { return c.kind }

// At returns the instant at which the call is due.
func (c Call) At() clock.Millis { return c.at }

// AfterKey returns the last key of the page before.
func (c Call) AfterKey() string { return c.afterKey }

// AfterRevision returns the revision of a Watch.
func (c Call) AfterRevision() uint64 { return c.afterRevision }

// Wait returns how long a Watch may wait for a change.
func (c Call) Wait() clock.Millis { return c.wait }

// Peer returns the daemon that is followed.
func (c Call) Peer() string { return c.peer }

// Timeout returns after which time the call is given up.
func (c Call) Timeout() clock.Millis { return c.timeout }

// Reader decides when a daemon reads the store and when it asks a peer instead.
// It is not safe for concurrent use.
type Reader struct {
	random *rand.Rand
	mirror *Mirror

	listing         []Item
	afterKey        string
	listingRevision uint64 // revision of the first page
	needsListing    bool
	callStartedAt   clock.Millis
	failures        int
	retryAt         clock.Millis
	currentAsOf     clock.Millis // latest answer of the store, or of a peer as old as that
	storeAnsweredAt clock.Millis // latest answer of the store
	peerRequestedAt clock.Millis
	startedAt       clock.Millis
	sources         []string                // daemons to follow, the first one that is not blamed
	ejectedUntil    map[string]clock.Millis // until when a source is left
}

// NewReader returns a reader that fills m, for a daemon that starts now.
func NewReader(now clock.Millis, m *Mirror, random *rand.Rand) *Reader {
	return &Reader{random: random, mirror: m, needsListing: true, startedAt: now, ejectedUntil: make(map[string]clock.Millis)}
}

// SetSources names the daemons that may be followed, in order. Without one the
// daemon reads the store itself.
func (r *Reader) SetSources(peers []string) { r.sources = peers }

// currentSource returns the daemon to follow now.
func (r *Reader) currentSource(now clock.Millis) (string, bool) {
	for _, peer := range r.sources {
		if now >= r.ejectedUntil[peer] {
			return peer, true
		}
	}
	return "", false
}

// Next returns the next read.
func (r *Reader) Next(now clock.Millis) Call {
	if peer, ok := r.currentSource(now); ok && !r.needsListing {
		return Call{
			kind: Follow, peer: peer, at: max(now, r.callStartedAt+followInterval), afterRevision: r.mirror.Revision(),
			wait: followWait, timeout: followWait + followTimeoutMargin,
		}
	}
	if r.needsListing {
		return Call{kind: List, at: max(now, r.retryAt), afterKey: r.afterKey, timeout: listTimeout}
	}
	at := max(r.callStartedAt+watchInterval, r.retryAt)
	return Call{kind: Watch, at: max(now, at), afterRevision: r.mirror.Revision(), wait: watchWait, timeout: watchWait + watchTimeoutMargin}
}

// Begin notes that a call starts.
func (r *Reader) Begin(now clock.Millis) { r.callStartedAt = now }

// HandlePage takes a page of a listing and returns the changes once it is complete.
func (r *Reader) HandlePage(now clock.Millis, items []Item, revision uint64, more bool) []Item {
	r.recordStoreAnswer(now)
	if r.afterKey == "" {
		r.listing, r.listingRevision = nil, revision
	}
	r.listing = append(r.listing, items...)
	if more && len(items) > 0 {
		r.afterKey = items[len(items)-1].key
		return nil
	}
	changes := r.mirror.Replace(now, r.listing, r.listingRevision)
	r.needsListing, r.afterKey, r.listing = false, "", nil
	return changes
}

// HandleEvents takes the reply of a watch and returns the changes.
func (r *Reader) HandleEvents(now clock.Millis, events []Item, revision uint64) []Item {
	r.recordStoreAnswer(now)
	return r.mirror.Apply(now, events, revision)
}

func (r *Reader) recordStoreAnswer(now clock.Millis) {
	r.failures, r.retryAt = 0, 0
	r.currentAsOf, r.storeAnsweredAt = now, now
}

// RecordFailure takes the error of a call. It returns true if the store was answering
// before.
func (r *Reader) RecordFailure(now clock.Millis, err error) bool {
	if errors.Is(err, ErrCompacted) {
		r.needsListing, r.afterKey = true, ""
		r.currentAsOf, r.storeAnsweredAt = now, now
		return false
	}
	r.mirror.RecordStoreFailure(now)
	r.failures++
	r.afterKey = ""
	backoff := min(maxRetryDelay, minRetryDelay*clock.Millis(uint(1)<<min(r.failures-1, 4)))
	r.retryAt = now + backoff*clock.Millis(0.6+0.8*r.random.Float64())
	return r.failures == 1
}

// StartPeerRequest reports whether a peer should be asked now, and counts it as asked.
func (r *Reader) StartPeerRequest(now clock.Millis) bool {
	silence := now - max(r.storeAnsweredAt, r.startedAt)
	if r.storeAnsweredAt == 0 {
		// A daemon that starts asks at once: the store may be away.
		silence += maxStoreSilence
	}
	if silence < maxStoreSilence || (r.peerRequestedAt > 0 && now < r.peerRequestedAt+peerRequestInterval) {
		return false
	}
	r.peerRequestedAt = now
	return true
}

// HandlePeerReply takes the reply of a peer whose own knowledge is as old as age, and
// returns the changes.
func (r *Reader) HandlePeerReply(now clock.Millis, items []Item, complete bool, revision uint64, age clock.Millis) []Item {
	if revision < r.mirror.Revision() || revision == 0 {
		return nil
	}
	r.currentAsOf = max(r.currentAsOf, now-age)
	if complete {
		return r.mirror.Replace(now, items, revision)
	}
	return r.mirror.Apply(now, items, revision)
}

// HandleFollowReply takes the reply of the daemon that is followed, and returns the
// changes. One whose own knowledge is old is not followed for a while.
func (r *Reader) HandleFollowReply(now clock.Millis, peer string, items []Item, complete bool, revision uint64, age clock.Millis) []Item {
	if revision == 0 || age > maxSourceAge {
		r.RecordSourceFailure(now, peer)
	} else {
		r.storeAnsweredAt = max(r.storeAnsweredAt, now-age)
	}
	return r.HandlePeerReply(now, items, complete, revision, age)
}

// RecordSourceFailure notes that a daemon that is followed did not answer.
func (r *Reader) RecordSourceFailure(now clock.Millis, peer string) {
	for known, until := range r.ejectedUntil {
		if now >= until {
			delete(r.ejectedUntil, known)
		}
	}
	r.ejectedUntil[peer] = now + sourceEjectionTime
}

// Age returns how old the knowledge of the store is.
func (r *Reader) Age(now clock.Millis) clock.Millis {
	return now - max(r.currentAsOf, r.startedAt)
}

// StoreReachable reports whether the last call of the store was answered.
func (r *Reader) StoreReachable() bool { return r.failures == 0 && r.storeAnsweredAt > 0 }
