package upstream_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	u1 = upstream.ID("10.0.0.1:80")
	u2 = upstream.ID("10.0.0.2:80")
	u3 = upstream.ID("10.0.0.3:80")
)

// fixture is the pool of daemon d1 in data centre "near" with two replicas there, u1 and
// u2, and one in another data centre, u3.
type fixture struct {
	t      *testing.T
	now    clock.Millis
	pool   upstream.Pool
	events journal.Journal
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: clock.Minute}
	f.pool.SetJournal(&f.events)
	f.pool.SetMembers(f.now, "d1", []upstream.Member{upstream.NewMember("d1", "r", "near", upstream.Alive)})
	f.pool.Add(f.now, upstream.NewReplica(u1, "near"))
	f.pool.Add(f.now, upstream.NewReplica(u2, "near"))
	f.pool.Add(f.now, upstream.NewReplica(u3, "far"))
	return f
}

// pickRequest returns a request for a first attempt at one of the replicas.
func pickRequest(ids ...upstream.ID) upstream.PickRequest {
	var holders []string
	for _, id := range ids {
		holders = append(holders, string(id))
	}
	return upstream.NewPickRequest(0, 1, holders)
}

// exchange runs an exchange with id that takes the latency, and returns its choice.
func (f *fixture) exchange(id upstream.ID, outcome upstream.Outcome, latency clock.Millis, boot string) upstream.Choice {
	choice, err := f.pool.Pick(f.now, pickRequest(id))
	require.NoError(f.t, err)
	f.now += latency
	f.pool.Done(f.now, choice, upstream.NewResult(outcome, latency, boot))
	return choice
}

// repeat runs exchanges with id one after another.
func (f *fixture) repeat(times int, id upstream.ID, outcome upstream.Outcome, latency clock.Millis) {
	for range times {
		f.exchange(id, outcome, latency, "b1")
	}
}

// status returns the status of a replica.
func (f *fixture) status(id upstream.ID) upstream.Status {
	for _, s := range f.pool.Statuses() {
		if s.Replica().ID() == id {
			return s
		}
	}
	f.t.Fatalf("no status of %s", id)
	return upstream.Status{}
}

// pick returns the replica that the pool selects, without leaving an exchange in flight.
func (f *fixture) pick(req upstream.PickRequest) upstream.ID {
	choice, err := f.pool.Pick(f.now, req)
	require.NoError(f.t, err)
	f.pool.Done(f.now, choice, upstream.NewResult(upstream.VersionGone, 0, ""))
	return choice.Upstream()
}

// Guards against a score that ignores latency, load, distance or failures of a replica.
func TestPickSelectsBestReplica(t *testing.T) {
	cases := []struct {
		name    string
		setUp   func(f *fixture)
		request upstream.PickRequest
		want    upstream.ID
	}{
		{"lower latency", func(f *fixture) {
			f.repeat(5, u1, upstream.OK, 20)
			f.repeat(5, u2, upstream.OK, 5)
		}, pickRequest(u1, u2), u2},
		{"fewer in flight", func(f *fixture) {
			_, err := f.pool.Pick(f.now, pickRequest(u1))
			require.NoError(f.t, err)
		}, pickRequest(u1, u2), u2},
		{"near although twice as slow", func(f *fixture) {
			f.repeat(20, u1, upstream.OK, 9)
			f.repeat(20, u3, upstream.OK, 5)
		}, pickRequest(u1, u3), u1},
		{"far when the near one is three times as slow", func(f *fixture) {
			f.repeat(5, u1, upstream.OK, 15)
			f.repeat(5, u3, upstream.OK, 5)
		}, pickRequest(u1, u3), u3},
		{"replica after a failure is passed over", func(f *fixture) {
			f.repeat(5, u2, upstream.OK, 6)
			f.repeat(5, u1, upstream.OK, 5)
			f.exchange(u1, upstream.Failed, 5, "")
		}, pickRequest(u1, u2), u2},
		{"replica that shed is passed over", func(f *fixture) {
			f.repeat(5, u2, upstream.OK, 6)
			f.repeat(5, u1, upstream.OK, 5)
			f.exchange(u1, upstream.Shed, 1, "")
		}, pickRequest(u1, u2), u2},
		{"replica abandoned after a long wait is passed over", func(f *fixture) {
			f.repeat(5, u2, upstream.OK, 6)
			f.repeat(5, u1, upstream.OK, 5)
			f.exchange(u1, upstream.Cancelled, 30, "")
		}, pickRequest(u1, u2), u2},
		{"less reported load", func(f *fixture) {
			f.pool.ReceiveReport(f.now, upstream.NewReport(u1, "", 8))
		}, pickRequest(u1, u2), u2},
		{"excluded replica is passed over", func(*fixture) {}, pickRequest(u1, u2).Excluding(u1), u2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			tc.setUp(f)
			require.Equal(t, tc.want, f.pick(tc.request))
		})
	}
}

// Guards against attempts of any purpose at a replica that is leaving or whose data centre
// is taken out.
func TestNoWorkForReplicasLeavingOrTakenOut(t *testing.T) {
	for _, purpose := range []upstream.Purpose{upstream.FirstAttempt, upstream.Hedge, upstream.Retry} {
		f := newFixture(t)
		f.pool.SetLeaving(u1, true)
		f.pool.ReceiveReport(f.now, upstream.NewReport(u1, "b1", 0)) // outdated: does not state that it is leaving
		f.pool.SetDataCentresOut(f.now, []string{"far"})
		_, err := f.pool.Pick(f.now, pickRequest(u1, u3).WithPurpose(purpose))
		require.ErrorIs(t, err, upstream.ErrNoReplica)
		require.Equal(t, upstream.StateLeaving, f.status(u1).State())
		require.Equal(t, upstream.StateOut, f.status(u3).State())
		f.pool.SetDataCentresOut(f.now, nil)
		require.Equal(t, upstream.StateCold, f.status(u3).State())
	}
}

// Guards against counting a timeout against a replica whose connection broke silently. Only
// a timeout on a new connection raises the replica's latency.
func TestTimeoutSuspectsConnectionBeforeReplica(t *testing.T) {
	f := newFixture(t)
	f.repeat(5, u1, upstream.OK, 5)
	before := f.status(u1).Latency()
	require.False(t, f.exchange(u1, upstream.Timeout, 100, "").FreshConnection())
	require.Equal(t, before, f.status(u1).Latency())
	require.True(t, f.status(u1).SuspectConnection())
	require.True(t, f.exchange(u1, upstream.OK, 5, "b1").FreshConnection())
	require.False(t, f.status(u1).SuspectConnection())
	f.exchange(u1, upstream.Timeout, 100, "")
	require.True(t, f.exchange(u1, upstream.Timeout, 100, "").FreshConnection())
	require.Greater(t, f.status(u1).Latency(), before)
}

// Guards against an ejected replica that gets work before its trial succeeds, or more than
// one trial at a time, and against ejections that do not grow.
func TestEjectionUntilTrialSucceeds(t *testing.T) {
	f := newFixture(t)
	f.repeat(5, u2, upstream.OK, 5)
	f.repeat(5, u1, upstream.Failed, 5)
	require.Equal(t, upstream.StateEjected, f.status(u1).State())
	require.Equal(t, u2, f.pick(pickRequest(u1, u2)))
	f.now += clock.Second
	trial, err := f.pool.Pick(f.now, pickRequest(u1, u2))
	require.NoError(t, err)
	require.Equal(t, u1, trial.Upstream())
	require.True(t, trial.Trial())
	require.Equal(t, u2, f.pick(pickRequest(u1, u2)), "only one trial at a time")
	f.pool.Done(f.now, trial, upstream.NewResult(upstream.Failed, 5, ""))
	f.now += clock.Second
	require.Equal(t, upstream.StateEjected, f.status(u1).State(), "the second ejection must be longer")
	f.now += clock.Second
	f.exchange(u1, upstream.OK, 5, "b1")
	require.Equal(t, upstream.StateServing, f.status(u1).State())
}

// Guards against slow replicas that stay in selection, and against the ejection of the only
// holder of a shard because it is slow.
func TestSlowReplicaIsEjectedAmongFastHolders(t *testing.T) {
	f := newFixture(t)
	f.pool.SetPolicy(f.now, upstream.Policy{}.WithColdStart(false, 1, 8))
	f.repeat(40, u2, upstream.OK, 5)
	f.repeat(6, u1, upstream.OK, 250)
	require.Equal(t, u1, f.pick(pickRequest(u1)), "a single holder must not be ejected")
	require.Equal(t, u2, f.pick(pickRequest(u1, u2)))
	require.Equal(t, upstream.StateEjected, f.status(u1).State())
}

// Guards against ejections that leave a shard without replicas. With every holder ejected,
// hedges must still reach half of the holders, rounded up.
func TestAtLeastHalfOfHoldersStayReachable(t *testing.T) {
	reached := func(f *fixture, holders []upstream.ID, refuse func(upstream.ID) bool) int {
		var tried []upstream.ID
		for {
			choice, err := f.pool.Pick(f.now, pickRequest(holders...).WithPurpose(upstream.Hedge).Excluding(tried...))
			if err != nil || refuse(choice.Upstream()) {
				return len(tried)
			}
			tried = append(tried, choice.Upstream())
		}
	}
	for n := 1; n <= 3; n++ {
		f := newFixture(t)
		holders := []upstream.ID{u1, u2, u3}[:n]
		for _, id := range holders {
			f.repeat(5, id, upstream.Failed, 1)
			require.Equal(t, upstream.StateEjected, f.status(id).State())
		}
		require.GreaterOrEqual(t, reached(f, holders, func(upstream.ID) bool { return false }), n-n/2)
		allEjected := func(id upstream.ID) bool { return f.status(id).State() == upstream.StateEjected }
		require.Less(t, reached(f, holders, allEjected), n-n/2,
			"the check must fail for a pool that excludes all ejected replicas")
	}
}

// Guards against restarts that begin no cold start, and against cold starts without a
// restart.
func TestEvidenceBeginsColdStart(t *testing.T) {
	cases := []struct {
		name string
		act  func(f *fixture)
		cold bool
	}{
		{"answer of the known process", func(f *fixture) { f.exchange(u1, upstream.OK, 5, "b1") }, false},
		{"new boot id", func(f *fixture) { f.exchange(u1, upstream.OK, 5, "b2") }, true},
		{"refused, then accepted", func(f *fixture) {
			f.exchange(u1, upstream.NotConnected, 1, "")
			f.exchange(u1, upstream.OK, 5, "b1")
		}, true},
		{"lost, then accepted", func(f *fixture) {
			f.exchange(u1, upstream.ConnectionLost, 1, "")
			f.exchange(u1, upstream.OK, 5, "b1")
		}, true},
		{"idle connections ended", func(f *fixture) { f.exchange(u1, upstream.IdleConnectionsClosed, 0, "") }, true},
		{"idle connections ended, same process", func(f *fixture) {
			f.exchange(u1, upstream.IdleConnectionsClosed, 0, "")
			f.exchange(u1, upstream.OK, 5, "b1")
		}, false},
		{"idle connections ended, other process", func(f *fixture) {
			f.exchange(u1, upstream.IdleConnectionsClosed, 0, "")
			f.exchange(u1, upstream.OK, 5, "b2")
		}, true},
		{"idle connections ended, process unknown", func(f *fixture) {
			f.exchange(u1, upstream.IdleConnectionsClosed, 0, "")
			f.exchange(u1, upstream.OK, 5, "")
		}, true},
		{"idle connections ended, choice before a known restart", func(f *fixture) {
			old, err := f.pool.Pick(f.now, pickRequest(u1))
			require.NoError(f.t, err)
			episode := uint64(f.now)
			f.pool.ReceiveRecord(f.now, upstream.NewColdRecord(u1, episode, 1, "b2", 1, "d2", false))
			f.pool.ReceiveRecord(f.now, upstream.NewColdRecord(u1, episode, 9, "b2", 11, "d2", true))
			f.pool.Done(f.now, old, upstream.NewResult(upstream.IdleConnectionsClosed, 0, ""))
		}, false},
		{"latency jump on several answers", func(f *fixture) { f.repeat(3, u1, upstream.OK, 50) }, true},
		{"latency jump on two answers", func(f *fixture) { f.repeat(2, u1, upstream.OK, 50) }, false},
		{"report of a cold start", func(f *fixture) {
			f.pool.ReceiveReport(f.now, upstream.NewReport(u1, "b1", 0).WithCold())
		}, true},
		{"new boot id in a report", func(f *fixture) { f.pool.ReceiveReport(f.now, upstream.NewReport(u1, "b2", 0)) }, true},
		{"late report of an earlier boot id", func(f *fixture) {
			f.exchange(u1, upstream.OK, 5, "b2")
			f.repeat(13, u1, upstream.OK, 5) // ends the cold start; the answers still state b1
			f.pool.ReceiveReport(f.now, upstream.NewReport(u1, "b1", 0))
		}, false},
		{"record of a peer", func(f *fixture) {
			f.pool.ReceiveRecord(f.now, upstream.NewColdRecord(u1, uint64(f.now), 1, "b2", 1, "d2", false))
		}, true},
		{"record with an episode far in the future", func(f *fixture) {
			f.pool.ReceiveRecord(f.now, upstream.NewColdRecord(u1, 1<<63, 1, "b2", 1, "d2", false))
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.repeat(20, u1, upstream.OK, 5)
			tc.act(f)
			require.Equal(t, tc.cold, f.status(u1).Level() > 0, f.status(u1).State())
		})
	}
}

// Guards against blaming a request for the crash of an upstream that was already down
// before the request.
func TestAfterConnectionLoss(t *testing.T) {
	f := newFixture(t)
	f.repeat(3, u1, upstream.OK, 5)
	require.False(t, f.exchange(u1, upstream.ConnectionLost, 1, "").AfterConnectionLoss())
	require.True(t, f.exchange(u1, upstream.ConnectionLost, 1, "").AfterConnectionLoss())
	require.True(t, f.exchange(u1, upstream.OK, 5, "b2").AfterConnectionLoss())
	require.False(t, f.exchange(u1, upstream.OK, 5, "b2").AfterConnectionLoss())
}

// Guards against a level that grows before its round of successes is complete. With 4 slots
// it must be 1, 2 and 4, and then the upstream is warm.
func TestColdStartLevelDoubles(t *testing.T) {
	f := newFixture(t)
	f.pool.CompleteJoin(f.now, false)
	for _, level := range []int{1, 2, 4} {
		require.Equal(t, level, f.status(u1).Level())
		for range level {
			f.exchange(u1, upstream.OK, 5, "b1")
		}
	}
	require.Equal(t, upstream.StateServing, f.status(u1).State())
	ended := slices.ContainsFunc(f.pool.TakeChanges(), func(r upstream.ColdRecord) bool {
		return r.Upstream() == u1 && r.Warm()
	})
	require.True(t, ended, "peers must receive the record of the warm upstream")
	require.Empty(t, f.pool.TakeChanges())
	f.pool.Add(f.now, upstream.NewReplica("10.0.0.9:80", "near"))
	_, err := f.pool.Pick(f.now, pickRequest("10.0.0.9:80"))
	require.NoError(t, err)
	_, err = f.pool.Pick(f.now, pickRequest("10.0.0.9:80"))
	require.ErrorIs(t, err, upstream.ErrSaturated, "a new upstream gets one exchange at a time")
}

// Guards against an exchange that reaches a process that has just restarted, under the level
// that its predecessor had reached: it may run in a process other than the known one at the
// initial level only.
func TestRaisedLevelIsThatOfTheKnownProcess(t *testing.T) {
	f := newFixture(t)
	f.pool.CompleteJoin(f.now, false)
	first := f.exchange(u1, upstream.OK, 5, "b1")
	require.True(t, first.Gated(), "at the initial level")
	require.Equal(t, 2, f.status(u1).Level())
	second := f.exchange(u1, upstream.ConnectionLost, 5, "")
	require.False(t, second.Gated(), "at a raised level")
	require.Equal(t, "b1", second.Boot())
	third := f.exchange(u1, upstream.OK, 5, "b2")
	require.True(t, third.Gated(), "behind the gate after the lost connection")
}

// Guards against more work at a cold upstream than its level allows because an exchange was
// cancelled, such as the slower one after a hedge, or timed out: until the upstream notices
// that the connection was closed, it still runs it.
func TestAbandonedExchangeHoldsColdShare(t *testing.T) {
	for _, outcome := range []upstream.Outcome{upstream.Cancelled, upstream.Timeout} {
		t.Run(outcome.String(), func(t *testing.T) {
			f := newFixture(t)
			f.pool.CompleteJoin(f.now, false)
			require.Equal(t, 1, f.status(u1).Level())
			f.exchange(u1, outcome, 5, "")
			_, err := f.pool.Pick(f.now, pickRequest(u1))
			require.ErrorIs(t, err, upstream.ErrSaturated)
			f.now += clock.Second
			_, err = f.pool.Pick(f.now, pickRequest(u1))
			require.NoError(t, err, "the upstream has noticed it by now")
		})
	}
}

// Guards against cold starts without a manager after its death, and against the use of its
// level share within takeoverDelay, while it may still run behind a partition.
func TestTakeoverOfColdStartFromDeadManager(t *testing.T) {
	f := newFixture(t)
	member := func(state upstream.MemberState) upstream.Member { return upstream.NewMember("d2", "r", "far", state) }
	f.pool.SetMembers(f.now, "d1", []upstream.Member{upstream.NewMember("d1", "r", "near", upstream.Alive), member(upstream.Alive)})
	f.pool.ReceiveRecord(f.now, upstream.NewColdRecord(u1, 1, 3, "b", 4, "d2", false))
	f.pool.ReceiveRecord(f.now, upstream.NewColdRecord(u2, 1, 3, "b", 4, "d2", false))
	f.pool.ReceiveRecord(f.now, upstream.NewColdRecord(u3, 1, 3, "b", 4, "d2", false))
	f.pool.SetMembers(f.now, "d1", []upstream.Member{upstream.NewMember("d1", "r", "near", upstream.Alive), member(upstream.Dead)})
	f.now += 9 * clock.Second
	f.pool.Tick(f.now)
	reserved := slices.ContainsFunc(f.pool.Statuses(), func(s upstream.Status) bool { return s.Level() == 4 && s.LevelShare() == 2 })
	require.True(t, reserved, "the level share of the dead manager stays reserved")
	f.now += clock.Second
	f.pool.Tick(f.now)
	for _, s := range f.pool.Statuses() {
		require.Equal(t, 1, s.Level())
		require.Equal(t, 1, s.LevelShare())
	}
}

// Guards against full load on an upstream that may have restarted after a failed connection.
// Until an answer shows whether it did, it gets one exchange at a time, through the manager
// if this daemon has no level share.
func TestLocalGateAfterFailedConnection(t *testing.T) {
	f := newFixture(t)
	f.pool.SetMembers(f.now, "d1", []upstream.Member{
		upstream.NewMember("d1", "r", "near", upstream.Alive), upstream.NewMember("d2", "r", "far", upstream.Alive),
	})
	for _, id := range []upstream.ID{u1, u2, u3} {
		f.exchange(id, upstream.OK, 5, "b1")
		f.exchange(id, upstream.NotConnected, 1, "")
		require.Equal(t, upstream.StateGated, f.status(id).State())
		choice, err := f.pool.Pick(f.now, pickRequest(id))
		require.NoError(t, err)
		require.Equal(t, f.status(id).LevelShare() == 0, choice.Via() == "d2")
		if choice.Via() == "" {
			_, err = f.pool.Pick(f.now, pickRequest(id))
			require.ErrorIs(t, err, upstream.ErrSaturated)
		}
		f.pool.Done(f.now+5, choice, upstream.NewResult(upstream.OK, 5, "b1"))
		cleared := choice.Via() != ""
		require.Equal(t, cleared, f.status(id).State() == upstream.StateServing,
			"an answer of the known process through a peer must remove the gate")
	}
}

// Guards against connections of a daemon without a share of them, and against sub-requests
// that are relayed twice.
func TestDaemonWithoutShareRelays(t *testing.T) {
	f := newFixture(t)
	f.pool.SetPolicy(f.now, upstream.Policy{}.WithLimits(1, 1))
	members := []upstream.Member{upstream.NewMember("d1", "r", "near", upstream.Alive)}
	for _, id := range []string{"d2", "d3", "d4"} {
		members = append(members, upstream.NewMember(id, "r", "near", upstream.Alive))
	}
	f.pool.SetMembers(f.now, "d1", members)
	f.pool.CompleteJoin(f.now, true)
	for _, id := range []upstream.ID{u1, u2, u3} {
		require.Zero(t, f.pool.ConnectionLimit(id), "a daemon must not use its shares right after it joined")
		choice := f.exchange(id, upstream.OK, 5, "b1")
		require.NotEmpty(t, choice.Via())
		require.NotEqual(t, "d1", choice.Via())
		_, err := f.pool.Pick(f.now, pickRequest(id).ForPeer(false))
		require.ErrorIs(t, err, upstream.ErrSaturated, "a relayed sub-request must not be relayed again")
	}
}

// Guards against the result of an exchange with a removed upstream that counts against
// another VM at the same address.
func TestRemoveWhileExchangeInFlight(t *testing.T) {
	f := newFixture(t)
	choice, err := f.pool.Pick(f.now, pickRequest(u1))
	require.NoError(t, err)
	f.pool.Remove(u1)
	f.pool.Add(f.now, upstream.NewReplica(u1, "near"))
	f.pool.Done(f.now, choice, upstream.NewResult(upstream.ConnectionLost, 5, ""))
	require.Equal(t, upstream.StateServing, f.status(u1).State())
	require.Zero(t, f.status(u1).InFlight())
}

// Guards against quantiles that are inaccurate, or in which old latencies never decay.
func TestQuantileFollowsRecentLatencies(t *testing.T) {
	f := newFixture(t)
	_, known := f.pool.Quantile(0.95)
	require.False(t, known)
	for i := range 1000 {
		f.exchange(u1, upstream.OK, clock.Millis(1+i%100), "b1")
	}
	p95, known := f.pool.Quantile(0.95)
	require.True(t, known)
	require.InDelta(t, 95, float64(p95), 6)
	for range 200 {
		f.now += clock.Second
		f.exchange(u1, upstream.OK, 5, "b1")
	}
	p95, _ = f.pool.Quantile(0.95)
	require.Less(t, p95, 6*clock.Millisecond, "old samples must decay")
}

// newSeededPool returns a pool with a fixed random seed, and the addresses of its replicas.
func newSeededPool(replicas int) (*upstream.Pool, []string) {
	pool := new(upstream.Pool)
	pool.SetRandom(rand.New(rand.NewPCG(1, 2)))
	holders := make([]string, 0, replicas)
	for i := range replicas {
		id := address(i)
		holders = append(holders, string(id))
		pool.Add(0, upstream.NewReplica(id, "near"))
	}
	return pool, holders
}
