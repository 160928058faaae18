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
	// pace is the time from one watch to the next. A watch over replicas that
	// write all the time returns at once.
	pace = 1100 * clock.Millisecond
	// watchWait is how long a quiet watch waits. A connection that went silent
	// is noticed shortly after it, and the knowledge of a daemon that others
	// follow does not look older than maxAge meanwhile.
	watchWait   = 1200 * clock.Millisecond
	watchSlack  = 700 * clock.Millisecond
	callTimeout = 900 * clock.Millisecond
	firstRetry  = 150 * clock.Millisecond
	maxRetry    = 800 * clock.Millisecond
	// askAfter is the silence of the store after which peers are asked.
	askAfter = 1500 * clock.Millisecond
	askPace  = 700 * clock.Millisecond

	// A daemon that follows another one hears of a change as soon as that one
	// does. One that is silent or does not reach the store itself is left for
	// blameTime.
	followWait  = 1400 * clock.Millisecond
	followSlack = 400 * clock.Millisecond
	followPace  = 200 * clock.Millisecond
	maxAge      = 1600 * clock.Millisecond
	blameTime   = 3 * clock.Second
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
	kind     CallKind
	at       clock.Millis
	afterKey string
	after    uint64
	wait     clock.Millis
	timeout  clock.Millis
	peer     string
}

// Kind returns what to read.
func (c Call) Kind() CallKind { return c.kind }

// At returns the instant at which the call is due.
func (c Call) At() clock.Millis { return c.at }

// AfterKey returns the last key of the page before.
func (c Call) AfterKey() string { return c.afterKey }

// After returns the revision of a Watch.
func (c Call) After() uint64 { return c.after }

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

	listing   []Item
	afterKey  string
	listedAt  uint64 // revision of the first page
	relist    bool
	started   clock.Millis
	failures  int
	retryAt   clock.Millis
	confirmed clock.Millis // latest answer of the store, or of a peer as old as that
	direct    clock.Millis // latest answer of the store
	asked     clock.Millis
	began     clock.Millis
	sources   []string                // daemons to follow, the first one that is not blamed
	blamed    map[string]clock.Millis // until when a source is left
}

// NewReader returns a reader that fills m, for a daemon that starts now.
func NewReader(now clock.Millis, m *Mirror, random *rand.Rand) *Reader {
	return &Reader{random: random, mirror: m, relist: true, began: now, blamed: make(map[string]clock.Millis)}
}

// SetSources names the daemons that may be followed, in order. Without one the
// daemon reads the store itself.
func (r *Reader) SetSources(peers []string) { r.sources = peers }

// source returns the daemon to follow now.
func (r *Reader) source(now clock.Millis) (string, bool) {
	for _, peer := range r.sources {
		if now >= r.blamed[peer] {
			return peer, true
		}
	}
	return "", false
}

// Next returns the next read.
func (r *Reader) Next(now clock.Millis) Call {
	if peer, ok := r.source(now); ok && !r.relist {
		return Call{
			kind: Follow, peer: peer, at: max(now, r.started+followPace), after: r.mirror.Revision(),
			wait: followWait, timeout: followWait + followSlack,
		}
	}
	if r.relist {
		return Call{kind: List, at: max(now, r.retryAt), afterKey: r.afterKey, timeout: callTimeout}
	}
	at := max(r.started+pace, r.retryAt)
	return Call{kind: Watch, at: max(now, at), after: r.mirror.Revision(), wait: watchWait, timeout: watchWait + watchSlack}
}

// Begin notes that a call starts.
func (r *Reader) Begin(now clock.Millis) { r.started = now }

// Page takes a page of a listing and returns the changes once it is complete.
func (r *Reader) Page(now clock.Millis, items []Item, revision uint64, more bool) []Item {
	r.answered(now)
	if r.afterKey == "" {
		r.listing, r.listedAt = nil, revision
	}
	r.listing = append(r.listing, items...)
	if more && len(items) > 0 {
		r.afterKey = items[len(items)-1].key
		return nil
	}
	changes := r.mirror.Replace(now, r.listing, r.listedAt)
	r.relist, r.afterKey, r.listing = false, "", nil
	return changes
}

// Events takes the reply of a watch and returns the changes.
func (r *Reader) Events(now clock.Millis, events []Item, revision uint64) []Item {
	r.answered(now)
	return r.mirror.Apply(now, events, revision)
}

func (r *Reader) answered(now clock.Millis) {
	r.failures, r.retryAt = 0, 0
	r.confirmed, r.direct = now, now
}

// Failed takes the error of a call. It returns true if the store was answering
// before.
func (r *Reader) Failed(now clock.Millis, err error) bool {
	if errors.Is(err, ErrCompacted) {
		r.relist, r.afterKey = true, ""
		r.confirmed, r.direct = now, now
		return false
	}
	r.mirror.Trouble(now)
	r.failures++
	r.afterKey = ""
	backoff := min(maxRetry, firstRetry*clock.Millis(uint(1)<<min(r.failures-1, 4)))
	r.retryAt = now + backoff*clock.Millis(0.6+0.8*r.random.Float64())
	return r.failures == 1
}

// AskPeer reports whether a peer should be asked now, and counts it as asked.
func (r *Reader) AskPeer(now clock.Millis) bool {
	silent := now - max(r.direct, r.began)
	if r.direct == 0 {
		// A daemon that starts asks at once: the store may be away.
		silent += askAfter
	}
	if silent < askAfter || (r.asked > 0 && now < r.asked+askPace) {
		return false
	}
	r.asked = now
	return true
}

// Told takes the reply of a peer whose own knowledge is as old as age, and
// returns the changes.
func (r *Reader) Told(now clock.Millis, items []Item, complete bool, revision uint64, age clock.Millis) []Item {
	if revision < r.mirror.Revision() || revision == 0 {
		return nil
	}
	r.confirmed = max(r.confirmed, now-age)
	if complete {
		return r.mirror.Replace(now, items, revision)
	}
	return r.mirror.Apply(now, items, revision)
}

// Followed takes the reply of the daemon that is followed, and returns the
// changes. One whose own knowledge is old is not followed for a while.
func (r *Reader) Followed(now clock.Millis, peer string, items []Item, complete bool, revision uint64, age clock.Millis) []Item {
	if revision == 0 || age > maxAge {
		r.Blame(now, peer)
	} else {
		r.direct = max(r.direct, now-age)
	}
	return r.Told(now, items, complete, revision, age)
}

// Blame notes that a daemon that is followed did not answer.
func (r *Reader) Blame(now clock.Millis, peer string) {
	for known, until := range r.blamed {
		if now >= until {
			delete(r.blamed, known)
		}
	}
	r.blamed[peer] = now + blameTime
}

// Age returns how old the knowledge of the store is.
func (r *Reader) Age(now clock.Millis) clock.Millis {
	return now - max(r.confirmed, r.began)
}

// Reached reports whether the last call of the store was answered.
func (r *Reader) Reached() bool { return r.failures == 0 && r.direct > 0 }
