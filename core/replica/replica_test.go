package replica

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

const expectedLatency = 10 * clock.Millisecond

func newTestSet() *Set {
	return NewSet("a", rand.New(rand.NewPCG(1, 1)), BudgetPolicy{
		Ratio: 0.2, Slack: 40, Window: 10 * clock.Second, ProcessStart: -10 * clock.Second,
	})
}

func entry(id, dataCentre string) Spec {
	return Spec{ID: id, Service: "s", Address: id, DataCentre: dataCentre, Slots: 2}
}

func put(s *Set, now clock.Millis, specs ...Spec) {
	for _, spec := range specs {
		s.Upsert(now, NewEntry(spec))
	}
}

func pickID(t *testing.T, s *Set, now clock.Millis, tried ...*Replica) string {
	t.Helper()
	r, err := s.Pool("s").Pick(now, NewCriteria(expectedLatency, tried).PreferLocalWithin(50))
	require.NoError(t, err)
	return r.Entry().ID()
}

func (s *Set) get(id string) *Replica { return s.replicas[id] }

// Guards against traffic to another data centre while the local replica answers
// within the limit. Enough unanswered requests make it exceed the limit.
func TestLocalReplicaIsPreferredWithinLimit(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("far1", "b"), entry("near", "a"), entry("far2", "c"))
	for range 4 {
		assert.Equal(t, "near", pickID(t, s, 0))
		s.get("near").Begin(0, expectedLatency)
	}
	for range 6 {
		s.get("near").Begin(0, expectedLatency)
	}
	assert.NotEqual(t, "near", pickID(t, s, 0), "ten unanswered requests exceed the limit")
}

// Guards against traffic to another region while a nearer replica is usable, and
// against a request that reaches a region outside the allowed ones, such as that
// of a data centre whose region is unknown.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	s := newTestSet()
	s.SetRegions(map[string]string{"a": "west", "b": "west", "c": "east"})
	put(s, 0, entry("abroad", "c"), entry("far", "b"), entry("near", "a"), entry("unknown", "d"))
	pickIn := func(regions []string, tried ...*Replica) string {
		r, err := s.Pool("s").Pick(0, NewCriteria(expectedLatency, tried).PreferLocalWithin(50).InRegions(regions))
		if err != nil {
			assert.ErrorIs(t, err, ErrNoneUsable)
			return ""
		}
		return r.Entry().ID()
	}
	near, far, unknown := s.get("near"), s.get("far"), s.get("unknown")
	assert.Equal(t, "near", pickIn(nil))
	assert.Contains(t, []string{"far", "unknown"}, pickIn(nil, near), "the daemon's own region is preferred")
	assert.Equal(t, "abroad", pickIn(nil, near, far, unknown))
	assert.Equal(t, "abroad", pickIn([]string{"east"}))
	assert.Equal(t, "near", pickIn([]string{"west", "east"}))
	assert.Equal(t, "abroad", pickIn([]string{"west", "east"}, near, far), "an unknown region is not allowed")
	assert.Empty(t, pickIn([]string{"west"}, near, far))
	s.SetRegions(map[string]string{"a": "west", "b": "west", "c": "east", "d": "west"})
	assert.Equal(t, "unknown", pickIn([]string{"west"}, near, far), "the region of the data centre is now known")
}

// Guards against requests to a replica that has stopped answering: the age of its
// oldest unanswered exchange must lower its rank before the exchange fails.
func TestReplicaWithOverdueExchangeIsAvoided(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("near", "a"), entry("far", "b"))
	s.get("near").Begin(0, expectedLatency)
	assert.Equal(t, "near", pickID(t, s, 10))
	assert.True(t, s.get("near").Overdue(60, expectedLatency))
	assert.Equal(t, "far", pickID(t, s, 60))
	s.get("near").End(61, 0, OK, expectedLatency)
	assert.Equal(t, "near", pickID(t, s, 61), "a single pause is not held against it")
}

// Guards against evidence that does not decay: a slow replica is avoided, but must
// be tried again after some time, since only its answers can show recovery.
func TestSlowReplicaIsAvoidedAndTriedAgain(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("near", "a"), entry("far", "b"))
	for i := range 3 {
		began := clock.Millis(i * 200)
		s.get("near").Begin(began, expectedLatency)
		s.get("near").End(began+150, began, OK, expectedLatency)
	}
	assert.Equal(t, "far", pickID(t, s, 600))
	assert.Equal(t, "near", pickID(t, s, 9000))
}

// Guards against a request to a replica that is draining, is no longer listed, was
// tried before, or is in a data centre that is out of service.
func TestIneligibleReplicasAreNotPicked(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("one", "a"), entry("two", "b"), entry("three", "c"))
	leaving := entry("one", "a")
	leaving.Draining = true
	put(s, 100, leaving)
	assert.NotEqual(t, "one", pickID(t, s, 100))
	s.SetOutOfService([]string{"b"})
	assert.Equal(t, "three", pickID(t, s, 100))
	s.Remove("three")
	assert.Equal(t, "one", pickID(t, s, 100), "a draining replica is a last resort within drainGrace")
	_, err := s.Pool("s").Pick(100+drainGrace, NewCriteria(expectedLatency, nil))
	assert.ErrorIs(t, err, ErrNoneUsable, "drainGrace has passed")
	s.SetOutOfService(nil)
	_, err = s.Pool("s").Pick(100, NewCriteria(expectedLatency, []*Replica{s.get("one"), s.get("two")}))
	assert.ErrorIs(t, err, ErrNoneUsable)
}

// Guards against requests to a draining replica that come longer after its entry has changed
// than such a replica serves on, because the daemon learned of the change late.
func TestDrainGraceOfLateEntryIsShorter(t *testing.T) {
	const knownAt = 10_000
	for name, c := range map[string]struct{ viewedAt, until clock.Millis }{
		"in time":      {knownAt - 1400, knownAt + drainGrace},
		"late":         {knownAt - 2000, knownAt - 2000 + maxListingDelay + drainGrace},
		"very late":    {1000, knownAt},
		"first listed": {0, knownAt + drainGrace},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSet()
			put(s, 0, entry("one", "a"))
			s.RecordView(c.viewedAt)
			leaving := entry("one", "a")
			leaving.Draining = true
			put(s, knownAt, leaving)
			s.RecordView(knownAt)
			if c.until > knownAt {
				assert.Equal(t, "one", pickID(t, s, c.until-1))
			}
			_, err := s.Pool("s").Pick(c.until, NewCriteria(expectedLatency, nil))
			assert.ErrorIs(t, err, ErrNoneUsable)
		})
	}
}

// Guards against evidence about an earlier run of a replica: after a restart under
// the same id, such as after failed connections, it must be usable at once.
func TestRestartDiscardsEarlierEvidence(t *testing.T) {
	s := newTestSet()
	spec := entry("one", "a")
	spec.Incarnation = 1
	put(s, 0, spec)
	old := s.get("one")
	old.Begin(0, expectedLatency)
	old.End(1, 0, NotConnected, expectedLatency)
	spec.Incarnation = 2
	put(s, 10, spec)
	assert.NotSame(t, old, s.get("one"))
	assert.Equal(t, 1, s.Pool("s").UsableCount(10))
}

// Guards against a cold replica that gets more requests from all daemons together
// than the warm-up rate. Four daemons see the same cold replica at the same time;
// in any second they may together exceed the rate by about one request each, for
// which the bound leaves a margin.
func TestWarmUpRateHoldsAcrossDaemons(t *testing.T) {
	const daemons, rate = 4, 8.0
	var sent []clock.Millis
	for d := range daemons {
		s := NewSet("a", rand.New(rand.NewPCG(uint64(d), 9)), BudgetPolicy{})
		s.SetDaemonCount(daemons)
		s.Pool("s").Configure(0, rate)
		cold := entry("cold", "a")
		cold.ColdFor = 10 * clock.Second
		put(s, 0, cold)
		for now := clock.Millis(0); now < 5000; now += 5 {
			if r, err := s.Pool("s").Pick(now, NewCriteria(expectedLatency, nil)); err == nil {
				r.Begin(now, expectedLatency)
				r.End(now+4, now, OK, expectedLatency)
				sent = append(sent, now)
			}
		}
	}
	for _, from := range sent {
		inSecond := 0
		for _, at := range sent {
			if at >= from && at < from+clock.Second {
				inSecond++
			}
		}
		assert.LessOrEqual(t, inSecond, int(rate*1.5)+5)
	}
	assert.Greater(t, len(sent), int(rate*4), "the cold replica gets requests")
}

// Guards against more connections to a replica than its limit for the whole fleet:
// each daemon may use only its part.
func TestConnectionLimitIsDividedAmongDaemons(t *testing.T) {
	s := newTestSet()
	s.SetDaemonCount(4)
	s.Pool("s").Configure(10, 0)
	put(s, 0, entry("one", "a"))
	for range 2 {
		s.get("one").Begin(0, expectedLatency)
	}
	_, err := s.Pool("s").Pick(0, NewCriteria(expectedLatency, nil))
	assert.ErrorIs(t, err, ErrBusy)
}

// Guards against continuous attempts at a replica that refuses connections, and
// against one that stays excluded: it is usable again after the backoff.
func TestUnreachableReplicaIsRetriedWithBackoff(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("one", "a"), entry("two", "b"))
	s.get("one").Begin(0, expectedLatency)
	s.get("one").End(1, 0, NotConnected, expectedLatency)
	assert.Equal(t, "two", pickID(t, s, 2))
	s.get("two").Begin(2, expectedLatency)
	s.get("two").End(3, 2, NotConnected, expectedLatency)
	pickID(t, s, 4)
	assert.Equal(t, 0, s.Pool("s").UsableCount(4))
	assert.Equal(t, 2, s.Pool("s").UsableCount(4+maxBackoff))
}

// Guards against the work of ended requests that stays in the backlog, which would
// cause new requests to be refused.
func TestBacklogReturnsToZero(t *testing.T) {
	s := newTestSet()
	s.SetDaemonCount(4)
	put(s, 0, entry("one", "a"), entry("two", "b"))
	for i := range 8 {
		s.get("one").Begin(clock.Millis(i), expectedLatency)
	}
	assert.Greater(t, s.Pool("s").Backlog(10), 2*expectedLatency)
	for i := range 8 {
		s.get("one").End(20, clock.Millis(i), Abandoned, expectedLatency)
	}
	// The average covers the time of the last few requests.
	assert.Less(t, s.Pool("s").Backlog(3000), expectedLatency/100)
	assert.Less(t, s.Pool("s").Backlog(40_000), clock.Millis(0.01))
	assert.Zero(t, s.Pool("s").unfinished)
	assert.Less(t, s.Pool("s").averageCount, 0.001)
}

// Guards against requests to the address of a departed replica that another one
// has taken over: they would reach the wrong service and be counted there as
// repeated requests.
func TestReplicaWithReusedAddressIsNotPicked(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("old", "a"), entry("other", "b"))
	taken := entry("new", "a")
	taken.Service, taken.Address = "t", "old"
	put(s, 10, taken)
	assert.Equal(t, "other", pickID(t, s, 10), "the list shows the new owner of the address")
	put(s, 20, entry("old", "a"))
	assert.Equal(t, "old", pickID(t, s, 20), "the entry listed last owns the address")

	s.get("old").Begin(20, expectedLatency)
	s.get("old").End(21, 20, Foreign, expectedLatency)
	assert.Equal(t, "other", pickID(t, s, 5000), "displaced by the answer until the entry changes")
	s.Remove("other")
	_, err := s.Pool("s").Pick(5000, NewCriteria(expectedLatency, nil))
	assert.ErrorIs(t, err, ErrNoneUsable, "a displaced replica is not a last resort")
	assert.Contains(t, s.Observations(22), NewObservation("old", 1, 1), "peers are informed")
}

// Guards against replicas that get no requests any more because another writer has listed
// their addresses, and against those of a service that a later configuration names.
func TestEntryOfUnknownServiceTakesNoAddress(t *testing.T) {
	s := newTestSet()
	s.SetServices([]string{"s"})
	put(s, 0, entry("own", "a"))
	other := entry("other", "a")
	other.Service, other.Address, other.Incarnation = "unknown", "own", 7
	put(s, 10, other)
	assert.Equal(t, "own", pickID(t, s, 10))

	s.SetServices([]string{"s", "unknown"})
	_, err := s.Pool("s").Pick(20, NewCriteria(expectedLatency, nil))
	assert.ErrorIs(t, err, ErrNoneUsable, "the other one started later")
	r, err := s.Pool("unknown").Pick(20, NewCriteria(expectedLatency, nil))
	require.NoError(t, err)
	assert.Equal(t, "other", r.Entry().ID())
	s.SetServices([]string{"s"})
	assert.Equal(t, "own", pickID(t, s, 30))
}

// Guards against a replica that stays displaced after the entry that displaced it is gone,
// and one that an older entry displaces, such as one that comes later in a listing.
func TestAddressReturnsToItsReplica(t *testing.T) {
	s := newTestSet()
	own := entry("own", "a")
	own.Incarnation = 5
	put(s, 0, own)
	for _, incarnation := range []int64{4, 5, 6} {
		other := entry("other", "a")
		other.Service, other.Address, other.Incarnation = "t", "own", incarnation
		put(s, 10, other)
		r, err := s.Pool("s").Pick(10, NewCriteria(expectedLatency, nil))
		if incarnation < 5 {
			require.NoError(t, err)
			assert.Equal(t, "own", r.Entry().ID())
		} else {
			assert.ErrorIs(t, err, ErrNoneUsable)
		}
		s.Remove("other")
		assert.Equal(t, "own", pickID(t, s, 20), "the other entry is gone")
	}
}

// Guards against a daemon of a large fleet that never learns that a replica is slow or
// silent, since each of its samples is older than the next one needs: two late answers in
// a row are evidence, one alone is for a short time, and a good one ends it.
func TestSparseSamplesAreEvidence(t *testing.T) {
	const gap = 2400 * clock.Millisecond
	s := newTestSet()
	put(s, 0, entry("r", "a"))
	r := s.get("r")
	now := clock.Millis(0)
	exchange := func(result Result, latency clock.Millis) {
		now += gap
		r.Begin(now-latency, expectedLatency)
		r.End(now, now-latency, result, expectedLatency)
	}
	exchange(OK, expectedLatency)
	exchange(OK, 8*expectedLatency)
	assert.Greater(t, r.slowness(now+100), 4.0, "avoided after a late answer")
	assert.Less(t, r.slowness(now+2*clock.Second), 1.5, "a pause does not count for seconds")
	assert.Empty(t, s.Observations(now), "not reported to peers unless it is confirmed")
	exchange(OK, expectedLatency)
	assert.Less(t, r.slowness(now), 1.1)

	exchange(Abandoned, 8*expectedLatency)
	exchange(Abandoned, 8*expectedLatency)
	assert.Greater(t, r.slowness(now+2*clock.Second), 4.0, "confirmed by a second one")
	assert.NotEmpty(t, s.Observations(now))
	exchange(OK, expectedLatency)
	exchange(OK, expectedLatency)
	assert.Less(t, r.slowness(now), 1.1)
}
