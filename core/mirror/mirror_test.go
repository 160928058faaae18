package mirror

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// revisionAt returns the revision with a number in an era that the store does not state.
func revisionAt(number uint64) Revision { return NewRevision(Era{}, number) }

func item(key string, revision uint64) Item { return NewItem(key, []byte(key), revisionAt(revision)) }

// changedKeys returns the keys of the changes, with a minus sign before removed ones.
func changedKeys(changes []Item) []string {
	var found []string
	for _, c := range changes {
		name := c.Key()
		if c.Removed() {
			name = "-" + name
		}
		found = append(found, name)
	}
	return found
}

// newTestMirror returns a mirror with the keys a, b and c at revision 3.
func newTestMirror() *Mirror {
	var m Mirror
	m.Replace(0, []Item{item("a", 1), item("b", 2), item("c", 3)}, revisionAt(3))
	return &m
}

// Guards against a change that is reported twice, as when the pages of a listing and
// the replies of a watch overlap.
func TestKnownChangesAreNotAppliedAgain(t *testing.T) {
	m := newTestMirror()
	assert.Equal(t, []string{"b", "-c"},
		changedKeys(m.Apply(10, []Item{item("a", 1), item("b", 5), NewRemoval("c", revisionAt(6))}, revisionAt(6))))
	assert.Empty(t, m.Apply(11, []Item{item("b", 5), NewRemoval("c", revisionAt(6)), NewRemoval("b", revisionAt(4))}, revisionAt(6)))
	assert.Equal(t, revisionAt(6), m.Revision())
}

// Guards against a replica that has left and is used again: the reply of a watch or of a
// peer is delayed, and the mirror has learnt of the removal in the meantime.
func TestDelayedReplyDoesNotRestoreRemovedKey(t *testing.T) {
	for name, handle := range map[string]func(r *Reader, items []Item, revision uint64) []Item{
		"watch": func(r *Reader, items []Item, revision uint64) []Item {
			return r.HandleEvents(Call{}, 30, items, revisionAt(revision))
		},
		"peer": func(r *Reader, items []Item, revision uint64) []Item {
			return r.HandlePeerReply(30, items, false, revisionAt(revision), 0)
		},
		"follow": func(r *Reader, items []Item, revision uint64) []Item {
			return r.HandleFollowReply(30, "p", items, false, revisionAt(revision), 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMirror()
			r := newTestReader(m)
			assert.Equal(t, []string{"-a"}, changedKeys(r.HandlePeerReply(20, []Item{NewRemoval("a", revisionAt(5))}, false, revisionAt(6), 0)))
			assert.Empty(t, handle(r, []Item{item("a", 4)}, 4), "ends before the removal")
			assert.Equal(t, []string{"b"}, changedKeys(handle(r, []Item{item("a", 4), NewRemoval("a", revisionAt(5)), item("b", 7)}, 7)),
				"ends after the removal: the replica must not be listed and removed again")
			_, listed := m.Get("a")
			assert.False(t, listed)
			items, _, _ := m.ChangesSince(revisionAt(0))
			assert.Equal(t, []string{"c", "b"}, changedKeys(items), "for a peer")
		})
	}
}

// Guards against a replica that has left and stays listed: its removal is held back after a
// failure of the store, and a delayed reply contains an earlier write of the key.
func TestDelayedReplyDoesNotEndHeldRemoval(t *testing.T) {
	m := newTestMirror()
	m.RecordStoreFailure(1000)
	m.Apply(1500, []Item{NewRemoval("a", revisionAt(5))}, revisionAt(6))
	assert.Empty(t, m.Apply(1600, []Item{item("a", 4)}, revisionAt(4)))
	assert.Equal(t, []string{"-a"}, changedKeys(m.Expire(1000+lapseGracePeriod)))
}

// Guards against a replica that has left and is used again, or one that is lost: whatever
// replies are lost, delayed, listed again or passed on by peers, the mirror must have all
// changes up to its revision.
func TestRemovedKeysStayRemovedUnderFaults(t *testing.T) {
	for seed := range uint64(100) {
		s := newSimulation(seed, 0.05, 0.2)
		s.removeChance = 0.5
		require.NotPanics(t, func() { s.run(2 * clock.Minute) }, "seed %d", seed)
		require.NoError(t, s.err, "seed %d", seed)
		require.False(t, s.unnoticed, "seed %d", seed)
	}
}

// Guards against a follower that misses a removal: a delayed reply must not make the mirror
// forget which removals it no longer knows.
func TestDelayedReplyKeepsCompactedRevision(t *testing.T) {
	m := newTestMirror()
	removals := make([]Item, 0, maxTombstones)
	for revision := uint64(10); len(removals) < maxTombstones; revision++ {
		removals = append(removals, NewRemoval("gone", revisionAt(revision)))
	}
	last := removals[len(removals)-1].revision.number
	m.Apply(10, removals, revisionAt(last))
	m.Apply(20, []Item{NewRemoval("late", revisionAt(4))}, revisionAt(4))
	for range maxTombstones {
		last++
		m.Apply(30, []Item{NewRemoval("gone", revisionAt(last))}, revisionAt(last))
	}
	_, complete, _ := m.ChangesSince(revisionAt(last - maxTombstones - 1))
	assert.True(t, complete)
}

// Guards against a delayed listing that returns the mirror to an earlier state.
func TestOutdatedListingIsIgnored(t *testing.T) {
	m := newTestMirror()
	m.Apply(10, []Item{item("d", 9)}, revisionAt(9))
	assert.Empty(t, m.Replace(20, []Item{item("a", 1)}, revisionAt(4)))
	assert.Equal(t, 4, m.Len())
}

// Guards against the loss of replicas that are alive but whose keys lapsed while the
// store was unavailable. Keys that are written again within the grace period must
// not be reported as removed; the others are removed at its end.
func TestLapsedEntriesAreHeldAfterStoreFailure(t *testing.T) {
	m := newTestMirror()
	m.RecordStoreFailure(1000)
	assert.Empty(t, m.Apply(1500, []Item{NewRemoval("a", revisionAt(4)), NewRemoval("b", revisionAt(5))}, revisionAt(5)))
	assert.Equal(t, []string{"a"}, changedKeys(m.Apply(2000, []Item{item("a", 6)}, revisionAt(6))))
	assert.Empty(t, m.Expire(3000))
	assert.Equal(t, []string{"-b"}, changedKeys(m.Expire(1000+lapseGracePeriod)))
	assert.Equal(t, []string{"-c"}, changedKeys(m.Apply(9000, []Item{NewRemoval("c", revisionAt(9))}, revisionAt(9))),
		"without a store failure a removal applies at once")
}

// Guards against lapsed keys that are removed during a second failure of the store,
// or are kept after the grace period of the last one.
func TestGracePeriodStartsAtLastStoreFailure(t *testing.T) {
	m := newTestMirror()
	m.RecordStoreFailure(1000)
	m.Apply(1500, []Item{NewRemoval("a", revisionAt(4))}, revisionAt(4))
	m.RecordStoreFailure(3000)
	assert.Empty(t, m.Expire(4000))
	assert.Equal(t, []string{"-a"}, changedKeys(m.Expire(3000+lapseGracePeriod)))
}

// newSettledReader returns a reader with the keys of newTestMirror at revision 6, and a as
// removed, that has read the store for long enough to be settled.
func newSettledReader(t *testing.T, now clock.Millis) *Reader {
	m := newTestMirror()
	r := newTestReader(m)
	for at := now - lapseGracePeriod - 10; at < now; at += 1000 {
		call := r.Begin(r.Next(at), at, at)
		r.HandleEvents(call, at, []Item{NewRemoval("a", revisionAt(5))}, revisionAt(6))
	}
	r.HandleEvents(r.Begin(r.Next(now-10), now-10, now-10), now-10, nil, revisionAt(6))
	require.True(t, r.Settled(now))
	return r
}

// Guards against requests to a replica that has left, at a daemon whose own calls of the
// store go on failing: a peer that reads the store has confirmed the removal.
func TestSettledPeerEndsHeldRemovals(t *testing.T) {
	const now = 20_000
	peer := newSettledReader(t, now)
	m := newTestMirror()
	r := newTestReader(m)
	r.RecordFailure(Call{}, now-100, ErrUnavailable)
	items, complete, revision := peer.mirror.ChangesSince(m.Revision())
	assert.Empty(t, r.HandlePeerReply(now, items, complete, revision, peer.Age(now)), "held back")
	r.RecordFailure(Call{}, now+1, ErrUnavailable)
	assert.False(t, r.Settled(now+1))
	assert.Empty(t, r.HandleSettledReply(now+1, revisionAt(4), false), "of before the removal")
	assert.Equal(t, []string{"-a"}, changedKeys(r.HandleSettledReply(now+2, revision, false)))
	_, listed := m.Get("a")
	assert.False(t, listed)
	assert.Empty(t, m.Apply(now+3, []Item{item("a", 4)}, revisionAt(6)), "is not listed again by an older reply")
}

// Guards against requests to a replica that has left, at a daemon whose calls fail although the
// store answers its peers, none of which is settled; and against the loss of replicas that are
// alive while the store answers nobody.
func TestOnlyFailuresOfStoreExtendGracePeriod(t *testing.T) {
	for name, age := range map[string]clock.Millis{"store answers peers": 100, "store answers nobody": 5000} {
		t.Run(name, func(t *testing.T) {
			m := newTestMirror()
			r := newTestReader(m)
			r.RecordFailure(Call{}, 10_000, ErrUnavailable)
			assert.Empty(t, r.HandlePeerReply(10_100, []Item{NewRemoval("a", revisionAt(5))}, false, revisionAt(5), age), "held back")
			for at := clock.Millis(11_000); at < 16_000; at += 1000 {
				r.RecordFailure(Call{}, at, ErrUnavailable)
				r.HandlePeerReply(at+100, nil, false, revisionAt(5), age+map[bool]clock.Millis{true: at - 10_000}[age > maxSourceAge])
			}
			var want []string
			if age <= maxSourceAge {
				want = []string{"-a"}
			}
			assert.Equal(t, want, changedKeys(m.Expire(10_000+lapseGracePeriod)))
		})
	}
}

// Guards against the loss of replicas that are alive, by the reply of a peer that cannot
// know yet whether their keys have lapsed.
func TestPeerIsSettledOnlyAfterReadingForGracePeriod(t *testing.T) {
	const now = 20_000
	for name, disturb := range map[string]func(r *Reader){
		"store failed": func(r *Reader) { r.RecordFailure(r.Begin(r.Next(now), now, now), now, ErrUnavailable) },
		"store answers again": func(r *Reader) {
			r.RecordFailure(r.Begin(r.Next(now), now, now), now, ErrUnavailable)
			r.HandleEvents(r.Begin(r.Next(now+1), now+1, now+1), now+1, nil, revisionAt(6))
		},
		"resumed after a gap": func(r *Reader) {
			call := r.Begin(r.Next(now+maxReadGap), now+maxReadGap, 0)
			r.HandleEvents(call, now+maxReadGap, nil, revisionAt(6))
		},
		"follows an outdated peer": func(r *Reader) {
			*r = *newTestReader(r.mirror)
			r.HandleFollowReply(now, "p", nil, false, revisionAt(6), 0)
		},
		"follows a settled peer": func(r *Reader) { *r = *newTestReader(r.mirror); r.HandleSettledReply(now, revisionAt(6), true) },
	} {
		r := newSettledReader(t, now)
		disturb(r)
		assert.Equal(t, name == "follows a settled peer", r.Settled(max(now, r.storeAnsweredAt)+1), name)
	}
}

// Guards against a peer that misses a removal: it must get the changes since its
// revision, or a complete listing if the removals since then are unknown.
func TestChangesSinceIncludesRemovals(t *testing.T) {
	m := newTestMirror()
	m.Apply(10, []Item{NewRemoval("b", revisionAt(4)), item("d", 5)}, revisionAt(5))
	items, complete, revision := m.ChangesSince(revisionAt(3))
	assert.Equal(t, []string{"-b", "d"}, changedKeys(items))
	assert.False(t, complete)
	assert.Equal(t, revisionAt(5), revision)
	items, complete, _ = m.ChangesSince(revisionAt(2))
	assert.True(t, complete, "removals before the listing are unknown")
	assert.Equal(t, []string{"a", "c", "d"}, changedKeys(items))
}

func newTestReader(m *Mirror) *Reader { return NewReader(0, m, rand.New(rand.NewPCG(1, 1))) }

// Guards against too many calls of the store: a watch that returns at once must not
// be repeated before watchInterval, and failures must cause growing delays.
func TestCallsArePaced(t *testing.T) {
	var m Mirror
	r := newTestReader(&m)
	call := r.Begin(r.Next(0), 0, 0)
	assert.Equal(t, List, call.Kind())
	r.HandlePage(call, 5, []Item{item("a", 1)}, revisionAt(7), false)
	call = r.Next(6)
	assert.Equal(t, Watch, call.Kind())
	assert.Equal(t, revisionAt(7), call.AfterRevision())
	assert.Equal(t, watchInterval, call.At())
	var delays []clock.Millis
	now := clock.Millis(2000)
	for range 6 {
		call = r.Begin(r.Next(now), now, now)
		r.RecordFailure(call, now, ErrUnavailable)
		delays = append(delays, r.Next(now).At()-now)
		now = r.Next(now).At()
	}
	assert.GreaterOrEqual(t, delays[0], minRetryDelay*0.6)
	assert.LessOrEqual(t, delays[5], maxRetryDelay*1.4)
}

// Guards against changes that are missed between the pages of a listing: the mirror
// must have the revision of the first page, so that the watch delivers them.
func TestListingHasRevisionOfFirstPage(t *testing.T) {
	var m Mirror
	r := newTestReader(&m)
	assert.Empty(t, r.HandlePage(Call{}, 1, []Item{item("a", 1)}, revisionAt(10), true))
	call := r.Next(1)
	assert.Equal(t, "a", call.AfterKey())
	assert.Equal(t, []string{"a", "b"}, changedKeys(r.HandlePage(call, 2, []Item{item("b", 12)}, revisionAt(15), false)))
	assert.Equal(t, revisionAt(10), m.Revision())
}

// Guards against a mirror that stays outdated after the store has compacted the
// changes since its revision.
func TestCompactedHistoryCausesNewListing(t *testing.T) {
	var m Mirror
	r := newTestReader(&m)
	r.HandlePage(Call{}, 1, []Item{item("a", 1)}, revisionAt(10), false)
	r.RecordFailure(Call{}, 2, ErrCompacted)
	call := r.Begin(r.Next(2), 2, 2)
	assert.Equal(t, List, call.Kind())
	assert.Equal(t, []string{"-a", "b"}, changedKeys(r.HandlePage(call, 3, []Item{item("b", 20)}, revisionAt(20), false)))
}

// Guards against a mirror that stays outdated while the store does not answer this
// daemon: it must ask peers after maxStoreSilence, and ignore replies that are
// older than the mirror.
func TestPeersAreAskedWhileStoreIsSilent(t *testing.T) {
	var m Mirror
	r := newTestReader(&m)
	assert.True(t, r.StartPeerRequest(1, 0), "a daemon that starts asks at once")
	assert.Equal(t, []string{"a"}, changedKeys(r.HandlePeerReply(5, []Item{item("a", 3)}, true, revisionAt(3), 100)))
	r.HandlePage(Call{}, 10, []Item{item("a", 3)}, revisionAt(4), false)
	assert.False(t, r.StartPeerRequest(100, 0))
	assert.True(t, r.StartPeerRequest(10+maxStoreSilence, 0))
	assert.False(t, r.StartPeerRequest(11+maxStoreSilence, 0), "within peerRequestInterval")
	assert.Empty(t, r.HandlePeerReply(2000, nil, true, revisionAt(2), 0))
	assert.Equal(t, []string{"b"}, changedKeys(r.HandlePeerReply(2000, []Item{item("b", 9)}, false, revisionAt(9), 300)))
	assert.InDelta(t, 300, float64(r.Age(2000)), 1)
}

// Guards against a daemon that waits before it asks peers although the store has rejected its
// call.
func TestPeersAreAskedAfterFailureOfStore(t *testing.T) {
	r := newTestReader(newTestMirror())
	r.HandleEvents(Call{}, 1000, nil, revisionAt(4))
	assert.False(t, r.StartPeerRequest(1100, 0))
	r.RecordFailure(Call{}, 1200, ErrUnavailable)
	assert.True(t, r.StartPeerRequest(1200, 0))
}

// Guards against several daemons of one data centre that all read the store, and
// against one that keeps following a source that fails or is outdated.
func TestSourceIsFollowedUnlessEjected(t *testing.T) {
	var m Mirror
	r := newTestReader(&m)
	r.SetSources([]string{"p1", "p2"})
	assert.Equal(t, List, r.Next(0).Kind(), "the first listing comes from the store")
	r.HandlePage(Call{}, 1, []Item{item("a", 1)}, revisionAt(10), false)
	call := r.Next(2)
	assert.Equal(t, Follow, call.Kind())
	assert.Equal(t, "p1", call.Peer())
	r.RecordSourceFailure(3, "p1")
	assert.Equal(t, "p2", r.Next(3).Peer())
	r.HandleFollowReply(4, "p2", nil, false, revisionAt(10), maxSourceAge+1)
	assert.Equal(t, Watch, r.Next(5).Kind(), "both sources are ejected")
	assert.Equal(t, "p1", r.Next(3+sourceEjectionTime).Peer())
	require.Equal(t, []string{"b"}, changedKeys(r.HandleFollowReply(3100, "p1", []Item{item("b", 11)}, false, revisionAt(11), 20)))
	assert.False(t, r.StartPeerRequest(3200, 0))
}

// Guards against followers that eject a source whose watch only waits because
// nothing changes: watchWait must stay well below maxSourceAge.
func TestQuietWatchStaysWithinMaxSourceAge(t *testing.T) {
	assert.Less(t, watchWait, maxSourceAge-200*clock.Millisecond)
	assert.Less(t, watchWait+watchTimeoutMargin+followTimeoutMargin, 3*clock.Second,
		"a silent store is detected within the time of a drain")
}
