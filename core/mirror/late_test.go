package mirror

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// changeBound is the stated bound on the time from a change to its effect, for a daemon with a
// path to the store or to a daemon that knows the changes.
const changeBound = 3 * clock.Second

// pendingReply is a reply on its way to a daemon.
type pendingReply struct {
	at       clock.Millis
	revision uint64
}

// delayedCall is a call of the store that is open.
type delayedCall struct {
	call   Call
	sentAt clock.Millis
	reply  *pendingReply
	failed bool
}

// delayedStore makes the calls of a reader, and answers each one after a delay.
type delayedStore struct {
	reader *Reader
	delay  func() clock.Millis
	pages  int // of a listing, with an item each; 0 for one without items
	calls  []*delayedCall
}

// page returns the page of a listing after a key, and whether there are further ones.
func (s *delayedStore) page(afterKey string) (items []Item, more bool) {
	if s.pages == 0 {
		return nil, false
	}
	key := afterKey + "a"
	return []Item{NewItem(key, nil, revisionAt(1))}, len(key) < s.pages
}

// step handles what is due at an instant at which the store has the given revision.
func (s *delayedStore) step(now clock.Millis, newest uint64) {
	busy := slices.ContainsFunc(s.calls, func(c *delayedCall) bool {
		return !c.failed && now < c.sentAt+c.call.Overdue() && s.reader.Awaits(c.call)
	})
	if next := s.reader.Next(now); !busy && next.At() <= now {
		s.calls = append(s.calls, &delayedCall{call: s.reader.Begin(next, now, now), sentAt: now})
	}
	s.calls = slices.DeleteFunc(s.calls, func(c *delayedCall) bool {
		due := c.call.Kind() == List || newest > c.call.AfterRevision().Number() || now >= c.sentAt+c.call.Wait()
		if due && c.reply == nil {
			c.reply = &pendingReply{now + s.delay(), newest}
		}
		if c.reply != nil && now >= c.reply.at {
			if c.call.Kind() == List {
				items, more := s.page(c.call.AfterKey())
				s.reader.HandlePage(c.call, now, items, revisionAt(c.reply.revision), more)
			} else {
				s.reader.HandleEvents(c.call, now, nil, revisionAt(c.reply.revision))
			}
			return true
		}
		if !c.failed && now >= c.sentAt+c.call.Timeout() {
			c.failed = true
			s.reader.RecordFailure(c.call, now, ErrNoReply)
		}
		return now >= c.sentAt+c.call.Limit()
	})
}

// noPeer is the distance of a peer that does not exist.
const noPeer clock.Millis = -1

// longestLateness returns the longest time from a change to its arrival in the mirror of a
// daemon, if the replies of the store are delayed and a peer at a distance always knows the last
// change. The time of a change from before inTouchAt counts from then.
func longestLateness(seed uint64, delay func(random *rand.Rand) clock.Millis, peerDistance, inTouchAt clock.Millis) clock.Millis {
	const step, length = 5 * clock.Millisecond, 2 * clock.Minute
	random := rand.New(rand.NewPCG(seed, 3))
	var m Mirror
	r := NewReader(1, &m, random)
	if inTouchAt == 0 {
		r.HandlePage(Call{}, 1, nil, revisionAt(1), false)
	}
	store := &delayedStore{reader: r, delay: func() clock.Millis { return delay(random) }}
	commits := []clock.Millis{0, 0} // by revision
	arrived := uint64(1)
	var longest, nextCommit clock.Millis
	var round *PeerRound
	var peerReply *pendingReply
	for now := clock.Millis(10); now < length; now += step {
		if now >= nextCommit {
			commits = append(commits, now)
			nextCommit = now + 50 + 400*clock.Millis(random.Float64())
		}
		newest := uint64(len(commits) - 1)
		store.step(now, newest)
		if started, due := r.StartPeerRound(now, now); due && peerReply == nil && peerDistance != noPeer {
			round, peerReply = started, &pendingReply{now + 2*peerDistance, newest}
		} else if due {
			started.End()
		}
		if peerReply != nil && now >= peerReply.at {
			r.HandlePeerReply(now, nil, !m.Complete(), revisionAt(peerReply.revision), peerDistance)
			round.End()
			peerReply = nil
		}
		for ; arrived < m.Revision().Number(); arrived++ {
			longest = max(longest, now-max(commits[arrived+1], inTouchAt))
		}
	}
	if arrived < uint64(len(commits)-1) {
		longest = max(longest, length-commits[arrived+1])
	}
	return longest
}

// Guards against changes that take effect late while the replies of the store to one daemon
// are delayed, and its mirror passes for current as soon as one arrives.
func TestChangesArriveInTimeWithDelayedReplies(t *testing.T) {
	delays := map[string]func(*rand.Rand) clock.Millis{
		"0 to 2.5 s": func(random *rand.Rand) clock.Millis { return 2500 * clock.Millis(random.Float64()) },
	}
	for _, delay := range []clock.Millis{0, 1000, 1400, 1600, 1700, 1800, 3000} {
		delays[fmt.Sprint(delay)] = func(*rand.Rand) clock.Millis { return delay }
	}
	for name, delay := range delays {
		for _, distance := range []clock.Millis{20, 120} {
			for seed := range uint64(10) {
				assert.LessOrEqual(t, longestLateness(seed, delay, distance, 0), changeBound,
					"replies late by %s, peer at %v, seed %d", name, distance, seed)
			}
		}
	}
}

// Guards against a daemon without peers that learns of changes late, or never, because it waits
// for a delayed reply before its next call, and gives up calls whose replies still come. The
// daemon starts and is in touch 4 s later.
func TestSlowStoreIsRead(t *testing.T) {
	for delay, bound := range map[clock.Millis]clock.Millis{
		1000: changeBound, 1400: changeBound, 1600: changeBound,
		// From here on calls fail before their replies come.
		2000: 2000 + 3*clock.Second, 3000: 3000 + 3*clock.Second, 3700: 3700 + 3*clock.Second,
	} {
		for seed := range uint64(10) {
			lateness := longestLateness(seed, func(*rand.Rand) clock.Millis { return delay }, noPeer, 4*clock.Second)
			assert.LessOrEqual(t, lateness, bound, "replies late by %v, seed %d", delay, seed)
		}
	}
}

// Guards against a daemon that starts late because the store, which has just returned, never
// answers the calls from before.
func TestLostPageDelaysListingBriefly(t *testing.T) {
	for lostUntil := clock.Millis(1); lostUntil < 10_000; lostUntil += 50 {
		var m Mirror
		r := NewReader(1, &m, rand.New(rand.NewPCG(1, 1)))
		var now clock.Millis
		store := delayedStore{reader: r, pages: 2, delay: func() clock.Millis {
			if now <= lostUntil {
				return 2 * maxCallDuration
			}
			return 5
		}}
		for now = 1; !m.Complete(); now += 5 {
			require.Less(t, now, lostUntil+listTimeout+maxRetryDelay*(1+retryJitter)+50)
			store.step(now, 1)
		}
		if lostUntil < listTimeout/3 {
			require.Less(t, now, listTimeout/2)
		}
	}
}

// Guards against listings of a slow store that take longer than the delays of its replies, or
// make more than two calls for a page, and against a first watch that waits for the second one.
func TestSecondCallsDoNotDelayListing(t *testing.T) {
	const pages = 4
	for delay := clock.Millis(100); delay < listTimeout; delay += 50 {
		var m Mirror
		r := NewReader(1, &m, rand.New(rand.NewPCG(1, 1)))
		store := delayedStore{reader: r, pages: pages, delay: func() clock.Millis { return delay }}
		now, begun := clock.Millis(1), make(map[*delayedCall]bool)
		for ; !m.Complete(); now += 5 {
			require.Less(t, now, pages*(delay+15))
			store.step(now, 1)
			for _, call := range store.calls {
				begun[call] = true
			}
		}
		require.LessOrEqual(t, len(begun), 2*pages)
		require.LessOrEqual(t, r.Next(now).At(), max(now, now-delay+watchInterval))
		for ; now < pages*listTimeout; now += 5 {
			require.True(t, r.StoreReachable(), "the failure of a call that is not needed counts")
			store.step(now, 1)
		}
	}
}

// Guards against a listing that begins anew because the store rejects the second call for a page
// while the first one is open.
func TestRejectedSecondCallDoesNotEndListing(t *testing.T) {
	var m Mirror
	r := NewReader(1, &m, rand.New(rand.NewPCG(1, 1)))
	first := r.Begin(r.Next(1), 1, 1)
	r.HandlePage(first, 5, []Item{NewItem("a", nil, revisionAt(1))}, revisionAt(1), true)
	second := r.Begin(r.Next(5), 5, 5)
	repeated := r.Begin(r.Next(5+second.Overdue()), 5+second.Overdue(), 5+second.Overdue())
	require.Equal(t, "a", repeated.AfterKey())
	r.RecordFailure(repeated, 310, ErrUnavailable)
	r.HandlePage(second, 400, []Item{NewItem("b", nil, revisionAt(1))}, revisionAt(1), false)
	require.True(t, m.Complete())
	_, listed := m.Get("a")
	assert.True(t, listed)
}

// Guards against a mirror that looks newer than it is after a delayed reply, and against one
// that looks current because the store has no changes for it.
func TestDelayedRepliesAreDatedBack(t *testing.T) {
	r := newTestReader(newTestMirror())
	r.HandlePage(Call{}, 1, nil, revisionAt(3), false)
	call := r.Begin(r.Next(2000), 2000, 2000)
	require.Equal(t, Watch, call.Kind())
	r.HandleEvents(call, 2000+watchWait+replyDelay, nil, revisionAt(4))
	assert.Zero(t, r.Age(2000+watchWait+replyDelay))
	call = r.Begin(r.Next(4000), 4000, 4000)
	r.HandleEvents(call, 4000+watchWait+replyDelay+400, nil, revisionAt(4))
	assert.EqualValues(t, 400, r.Age(4000+watchWait+replyDelay+400))
	r.RecordFailure(call, 8000, ErrCompacted)
	assert.EqualValues(t, 8000-4000-watchWait-replyDelay, r.Age(8000))

	assert.EqualValues(t, 100, AgeAtArrival(100, watchWait+replyDelay, watchWait))
	assert.EqualValues(t, 150, AgeAtArrival(100, watchWait+replyDelay+50, watchWait))
}

// Guards against a listing that lacks changes, because it has a page of an earlier listing, and
// against one that does not end, because its pages come after their timeouts.
func TestLatePagesBelongToTheirListing(t *testing.T) {
	r := newTestReader(&Mirror{})
	first := r.Begin(r.Next(0), 0, 0)
	r.RecordFailure(first, listTimeout, ErrNoReply)
	again := r.Begin(r.Next(1500), 1500, 1500)
	r.HandlePage(first, 1600, []Item{item("a", 1)}, revisionAt(10), true)
	second := r.Begin(r.Next(1700), 1700, 1700)
	require.Equal(t, "a", second.AfterKey())
	assert.Empty(t, r.HandlePage(again, 1800, []Item{item("x", 11)}, revisionAt(11), false), "the second page is waited for")

	r.RecordFailure(second, 2000, ErrUnavailable)
	assert.Empty(t, r.Next(2100).AfterKey(), "an error begins a new listing")
	r.HandlePage(r.Begin(r.Next(3000), 3000, 3000), 3000, []Item{item("a", 1)}, revisionAt(20), true)
	assert.Empty(t, r.HandlePage(second, 3100, nil, revisionAt(12), false), "of the earlier listing")
	second = r.Begin(r.Next(3200), 3200, 3200)
	assert.Equal(t, []string{"a", "b"}, changedKeys(r.HandlePage(second, 3300, []Item{item("b", 15)}, revisionAt(20), false)))
	assert.Equal(t, revisionAt(20), r.mirror.Revision())
}

// Guards against held removals and a new listing because a call fails that a later one has
// overtaken.
func TestFailureOfOvertakenCallIsIgnored(t *testing.T) {
	for name, err := range map[string]error{"no reply": ErrNoReply, "error": ErrUnavailable, "compacted": ErrCompacted} {
		t.Run(name, func(t *testing.T) {
			r := newTestReader(&Mirror{})
			r.HandlePage(Call{}, 10, []Item{item("a", 1)}, revisionAt(10), false)
			overtaken := r.Begin(r.Next(2000), 2000, 2000)
			r.HandleEvents(r.Begin(r.Next(3400), 3400, 3400), 3500, []Item{item("b", 11)}, revisionAt(11))
			assert.False(t, r.RecordFailure(overtaken, 3900, err))
			assert.True(t, r.StoreReachable())
			assert.Equal(t, Watch, r.Next(3900).Kind())
			assert.Equal(t, []string{"-a"}, changedKeys(r.mirror.Apply(4000, []Item{NewRemoval("a", revisionAt(12))}, revisionAt(12))), "is not held back")
		})
	}
}

// Guards against a mirror that passes for current while the store is listed in pages, and
// whose daemon asks no peer meanwhile.
func TestMirrorIsCurrentAfterLastPage(t *testing.T) {
	r := newTestReader(newTestMirror())
	r.HandlePage(r.Begin(r.Next(1000), 1000, 1000), 1010, []Item{item("a", 4)}, revisionAt(4), true)
	assert.EqualValues(t, 1010, r.Age(1010))
	assert.True(t, r.StartPeerRequest(1010+maxStoreSilence, 0))
	r.HandlePage(r.Begin(r.Next(2000), 2000, 2000), 2010, []Item{item("b", 6)}, revisionAt(6), false)
	assert.EqualValues(t, 1000, r.Age(2010), "as of the first page")
}

// newPagedReader returns a reader whose mirror is at revision 10. The last page of its listing was
// read at 15, after the removal of b at 14.
func newPagedReader() *Reader {
	r := newTestReader(&Mirror{})
	r.HandlePage(r.Begin(r.Next(0), 0, 0), 0, []Item{item("a", 1)}, revisionAt(10), true)
	r.HandlePage(r.Begin(r.Next(10), 10, 10), 10, []Item{item("c", 15)}, revisionAt(15), false)
	return r
}

// Guards against a replica that has left and is used again: a listing in pages shows that it is
// gone, and a reply that ends before its last page has an earlier write of its key.
func TestRepliesBeforeLastPageAreIgnored(t *testing.T) {
	for name, handle := range map[string]func(r *Reader, items []Item, revision Revision) []Item{
		"watch": func(r *Reader, items []Item, revision Revision) []Item {
			return r.HandleEvents(Call{sentAt: 500}, 1000, items, revision)
		},
		"peer": func(r *Reader, items []Item, revision Revision) []Item {
			return r.HandlePeerReply(1000, items, false, revision, 0)
		},
		"listing of a peer": func(r *Reader, items []Item, revision Revision) []Item {
			return r.HandlePeerReply(1000, append(items, item("a", 1)), true, revision, 0)
		},
		"follow": func(r *Reader, items []Item, revision Revision) []Item {
			return r.HandleFollowReply(1000, "p", items, false, revision, 0)
		},
		"earlier listing": func(r *Reader, items []Item, revision Revision) []Item {
			r.RecordFailure(Call{kind: List}, 900, ErrCompacted)
			return r.HandlePage(Call{listing: r.listingNumber}, 1000, append(items, item("a", 1)), revision, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPagedReader()
			assert.Empty(t, handle(r, []Item{item("b", 12)}, revisionAt(13)))
			assert.Equal(t, revisionAt(10), r.mirror.Revision())
			assert.EqualValues(t, 1000, r.Age(1000), "is not dated by it")
			at, _ := r.ProvenAt()
			assert.Zero(t, at)
			assert.Contains(t, changedKeys(handle(r, []Item{item("c", 15), item("d", 16)}, revisionAt(16))), "d")
		})
	}
}

// Guards against a replica that has left and is used again by a daemon that has read the mirror of
// a peer while that listed the store in pages.
func TestPeersKnowLastPage(t *testing.T) {
	peer, r := newPagedReader(), newTestReader(&Mirror{})
	items, complete, revision := peer.mirror.ChangesSince(Revision{})
	r.HandlePeerReply(900, items, complete, revision, 0)
	r.HandleListedThrough(revision, peer.ListedThrough())
	assert.Empty(t, r.HandlePeerReply(1000, []Item{item("b", 12)}, false, revisionAt(13), 0))
	r.HandlePeerReply(1100, nil, false, revisionAt(16), 0)
	assert.Zero(t, r.ListedThrough())
	r.HandleListedThrough(revision, revisionAt(20))
	assert.Zero(t, r.ListedThrough(), "of a reply that was not applied")
}

// Guards against replies that are ignored until the store has caught up, because it was restored
// to before the last page of a listing and does not state it.
func TestRevisionBeforeLastPageShowsRestore(t *testing.T) {
	r := newPagedReader()
	r.HandleEvents(r.Begin(r.Next(1110), 1110, 1110), 1110, []Item{item("d", 12)}, revisionAt(12))
	call := r.Begin(r.Next(1110), 1110, 1110)
	require.Equal(t, List, call.Kind())
	r.HandlePage(call, 1120, []Item{item("d", 12)}, revisionAt(12), false)
	assert.Equal(t, NewRevision(NewEra(0, 1), 12), r.mirror.Revision())
}

// Guards against a mirror that lists the store again and again, or stands still: the store returns the
// changes in batches, of which the next one ends before the last page of the listing.
func TestBatchBeforeLastPageIsApplied(t *testing.T) {
	r := newTestReader(&Mirror{})
	r.HandlePage(r.Begin(r.Next(0), 0, 0), 0, []Item{valued("a", "1", inEra(1, 5))}, inEra(1, 10), true)
	r.HandlePage(r.Begin(r.Next(10), 10, 10), 10, []Item{valued("b", "1", inEra(1, 6))}, inEra(1, 20), false)
	call := r.Begin(r.Next(1110), 1110, 1110)
	assert.Equal(t, []string{"c"}, changedKeys(r.HandleEvents(call, 1110, []Item{valued("c", "1", inEra(1, 12))}, inEra(1, 12))))
	assert.Equal(t, inEra(1, 12), r.mirror.Revision())
	assert.Equal(t, Watch, r.Next(1110).Kind())
}
