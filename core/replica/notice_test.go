package replica

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/clock"
)

// pickable reports whether Pick returns a replica of the pool.
func pickable(s *Set, now clock.Millis) bool {
	_, err := s.Pool("s").Pick(now, NewCriteria(expectedLatency, nil))
	return err == nil
}

// Guards against requests to a replica that has stated that it leaves: it is the last
// resort for a short time and then not picked, until it is listed as another run.
func TestLeavingReplicaIsNotPicked(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("near", "a"), entry("far", "b"))
	s.get("near").HandleNotices(100, 90, Notices{Leaving: true})
	for now := clock.Millis(100); now < 10*clock.Second; now += 50 {
		require.Equal(t, "far", pickID(t, s, now))
	}
	assert.False(t, s.Pool("s").HasLocal(100), "its shard is not served here")
	far := s.get("far")
	assert.Equal(t, "near", pickID(t, s, 200, far), "last resort while it still serves")
	_, err := s.Pool("s").Pick(100+drainGrace, NewCriteria(expectedLatency, []*Replica{far}))
	assert.ErrorIs(t, err, ErrNoneUsable)

	put(s, 2000, entry("near", "a")) // the list lags behind
	assert.Equal(t, "far", pickID(t, s, 2000))
	restarted := entry("near", "a")
	restarted.Incarnation = 7
	put(s, 2000, restarted)
	assert.Equal(t, "near", pickID(t, s, 2000), "the belief ends with the run of the replica")
}

// Guards against a replica that stays out after a restart that the list does not show:
// a reply without the notice to a later request ends the belief, one to an earlier
// request does not.
func TestLaterReplyWithoutNoticeEndsLeaving(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("r", "a"))
	r := s.get("r")
	r.HandleNotices(100, 90, Notices{Leaving: true})
	r.HandleNotices(110, 95, Notices{})
	assert.False(t, pickable(s, 100+drainGrace), "the reply was to a request before the notice")
	r.HandleNotices(300, 200, Notices{})
	assert.True(t, pickable(s, 100+drainGrace))
}

// Guards against peers that do not learn of a leaving replica, or that apply the
// report to another run of it or for ever.
func TestPeersLearnOfLeavingReplica(t *testing.T) {
	s, peer := newTestSet(), newTestSet()
	for _, set := range []*Set{s, peer} {
		near := entry("near", "a")
		near.Incarnation = 5
		put(set, 0, near, entry("far", "b"))
	}
	s.get("near").HandleNotices(100, 90, Notices{Leaving: true})
	reports := s.Observations(100)
	require.Len(t, reports, 1)
	incarnation, leaving := reports[0].Leaving()
	require.True(t, leaving)
	require.EqualValues(t, 5, incarnation)
	peer.ReceiveObservations(200, reports)
	assert.Equal(t, "far", pickID(t, peer, 200))
	assert.Equal(t, "near", pickID(t, peer, 200, peer.get("far")), "a peer alone cannot take a replica out")
	assert.Empty(t, peer.Observations(200), "reports of peers are not passed on")
	assert.Equal(t, "near", pickID(t, peer, 200+peerLeavingLifetime))

	restarted := entry("near", "a")
	restarted.Incarnation = 6
	put(peer, 300, restarted)
	peer.ReceiveObservations(300, reports)
	assert.Equal(t, "near", pickID(t, peer, 300), "the report is about an earlier run")
}

// Guards against requests to a replica that has turned this daemon away for a time:
// after the grace it gets one, if there is no other, until the time has ended.
func TestHeldReplicaGetsOneRequest(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("near", "a"), entry("far", "b"))
	near, far := s.get("near"), s.get("far")
	near.HandleNotices(100, 90, Notices{RetryAfter: 3 * clock.Second})
	assert.Equal(t, "far", pickID(t, s, 150))
	assert.Equal(t, "near", pickID(t, s, 100+holdGrace, far), "last resort")
	near.Begin(100+holdGrace, expectedLatency)
	_, err := s.Pool("s").Pick(2000, NewCriteria(expectedLatency, []*Replica{far}))
	assert.ErrorIs(t, err, ErrBusy)
	near.End(2000, 100+holdGrace, Shed, expectedLatency)
	near.HandleNotices(2000, 100+holdGrace, Notices{RetryAfter: 2 * clock.Second})
	_, err = s.Pool("s").Pick(2000+holdGrace, NewCriteria(expectedLatency, []*Replica{far}))
	assert.ErrorIs(t, err, ErrBusy, "an extension does not allow another request")
	near.HandleNotices(3999, 1800, Notices{RetryAfter: 10})
	_, err = s.Pool("s").Pick(4000, NewCriteria(expectedLatency, []*Replica{far}))
	assert.ErrorIs(t, err, ErrBusy, "nor does one shortly before the end")
	assert.Equal(t, "near", pickID(t, s, 4009, far))
	assert.Equal(t, 1000*clock.Millisecond, s.Pool("s").RetryAfter(3000, 2000))
}

// Guards against a hold that outlives the run of its replica or has no bound.
func TestHoldEndsWithRunOfReplica(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("r", "a"))
	s.get("r").HandleNotices(0, 0, Notices{RetryAfter: 1e15})
	assert.True(t, s.get("r").Held(maxHold-1))
	assert.False(t, s.get("r").Held(maxHold))
	restarted := entry("r", "a")
	restarted.Incarnation = 1
	put(s, 10, restarted)
	assert.False(t, s.get("r").Held(10))
}

// Guards against more than one request to a replica between half a second after it has
// turned this daemon away and the end of the time that it stated, and against any to
// one that has stated long ago that it leaves, whatever else happens.
func TestNoticesHoldUnderRandomReplies(t *testing.T) {
	const tolerated = 500 * clock.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		s := newTestSet()
		ids := []string{"r0", "r1", "r2"}
		born := make(map[string]int64)
		type window struct{ from, to clock.Millis }
		windows, leftAt := make(map[string][]window), make(map[string]clock.Millis)
		type running struct {
			r         *Replica
			startedAt clock.Millis
		}
		var pending []running
		for _, id := range ids {
			put(s, 0, entry(id, "a"))
		}
		sent := make(map[string][]clock.Millis)
		now := clock.Millis(0)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(1, 400).Draw(t, "gap"))
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind == 0: // a replica starts again
				id := rapid.SampledFrom(ids).Draw(t, "id")
				born[id]++
				spec := entry(id, "a")
				spec.Incarnation = born[id]
				put(s, now, spec)
				delete(windows, id)
				delete(leftAt, id)
				delete(sent, id)
			case kind < 5 && len(pending) > 0:
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "exchange")
				x := pending[i]
				pending = append(pending[:i], pending[i+1:]...)
				id := x.r.Entry().ID()
				notices := Notices{Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0}
				result := OK
				if rapid.Bool().Draw(t, "shed") {
					result = Shed
					notices.RetryAfter = clock.Millis(rapid.IntRange(0, 5000).Draw(t, "after"))
				}
				if s.get(id) == x.r { // a reply of the run that is listed
					if _, left := leftAt[id]; left {
						notices.Leaving = true
					} else if notices.Leaving {
						leftAt[id] = now
					}
					if notices.RetryAfter > 0 {
						windows[id] = append(windows[id], window{now + tolerated, now + notices.RetryAfter})
					}
				}
				x.r.HandleNotices(now, x.startedAt, notices)
				x.r.End(now, x.startedAt, result, expectedLatency)
			default:
				r, err := s.Pool("s").Pick(now, NewCriteria(expectedLatency, nil))
				if err != nil {
					continue
				}
				r.Begin(now, expectedLatency)
				id := r.Entry().ID()
				sent[id] = append(sent[id], now)
				pending = append(pending, running{r, now})
				if left, ok := leftAt[id]; ok && now >= left+drainGrace {
					t.Fatalf("%s got a request %v after it left", id, now-left)
				}
			}
		}
		for id, list := range windows {
			for _, w := range list {
				count := 0
				for _, at := range sent[id] {
					if at >= w.from && at < w.to {
						count++
					}
				}
				if count > 1 {
					t.Fatalf("%s got %d requests from %v to %v", id, count, w.from, w.to)
				}
			}
		}
	})
}
