package dispatch

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// requestFixture holds a started request over the services s0, s1, …, each with a
// replica in the data centres a, b and c, and the actions that it has returned. The
// daemon is in a.
type requestFixture struct {
	t         require.TestingT
	set       *replica.Set
	profile   LatencyProfile
	admission Admission
	request   *Request
	sent      []Action
	abandoned []int
	outcome   *Outcome
	wakeAt    clock.Millis
}

func newRequestFixture(t require.TestingT, spec route.Spec) *requestFixture {
	f := &requestFixture{t: t}
	f.set = replica.NewSet("a", rand.New(rand.NewPCG(1, 2)), replica.BudgetPolicy{
		Ratio: 0.2, Slack: 50, Window: 10 * clock.Second, ProcessStart: -10 * clock.Second,
	})
	services := append([]string{}, spec.Shards...)
	for _, split := range spec.Splits {
		services = append(services, split.Service())
	}
	for _, service := range services {
		for i, dataCentre := range []string{"a", "b", "c"} {
			id := service + "-" + string(rune('0'+i))
			f.set.Upsert(0, replica.NewEntry(replica.Spec{
				ID: id, Service: service, Address: id, DataCentre: dataCentre, Slots: 2,
			}))
		}
	}
	spec.Name, spec.Host, spec.Prefix = "r", "h", "/"
	if spec.Timeout == 0 {
		spec.Timeout, spec.Objective = 600, 100
	}
	if spec.MaxAttempts == 0 {
		spec.MaxAttempts = 2
	}
	r, err := route.NewRoute(spec)
	require.NoError(t, err)
	f.request = New(0, r, 600, Resources{Set: f.set, Profile: &f.profile, Admission: &f.admission})
	f.collect(f.request.Start(0))
	return f
}

// singleRoute returns a route to one replica of service s0.
func singleRoute(idempotent bool) route.Spec {
	return route.Spec{Idempotent: idempotent, Splits: []route.Split{route.NewSplit("s0", 1)}}
}

// shardedRoute returns a route over the shards with a minimum coverage of 0.6.
func shardedRoute(shards ...string) route.Spec {
	return route.Spec{Idempotent: true, Shards: shards, TopK: 3, MinCoverage: 0.6}
}

// collect sorts the actions by kind.
func (f *requestFixture) collect(actions []Action) {
	for i, action := range actions {
		require.Nil(f.t, f.outcome, "nothing but Abandon may follow Finish")
		switch action.Kind() {
		case Send:
			f.sent = append(f.sent, action)
		case Wake:
			f.wakeAt = action.At()
		case Abandon:
			f.abandoned = append(f.abandoned, action.Attempt())
		case Finish:
			outcome := action.Outcome()
			for _, later := range actions[i+1:] {
				require.Equal(f.t, Abandon, later.Kind())
				f.abandoned = append(f.abandoned, later.Attempt())
			}
			f.outcome = &outcome
			return
		}
	}
}

func (f *requestFixture) end(now clock.Millis, attempt int, result replica.Result) {
	f.collect(f.request.RecordResult(now, attempt, result))
}

func (f *requestFixture) tick(now clock.Millis) { f.collect(f.request.Tick(now)) }

// Guards against a second run of a non-idempotent request, and against a refusal of
// one that may have run: it is retried only after a result that proves that it has
// not run.
func TestNonIdempotentIsRetriedOnlyIfNotRun(t *testing.T) {
	cases := []struct {
		result  replica.Result
		sends   int
		outcome OutcomeKind
	}{
		{replica.Failed, 1, Answered},
		{replica.Lost, 1, Unavailable},
		{replica.Closed, 1, Unavailable},
		{replica.Silent, 1, Unavailable},
		{replica.Shed, 2, Answered},
		{replica.Foreign, 2, Answered},
		{replica.NotConnected, 2, Answered},
	}
	for _, c := range cases {
		t.Run(c.result.String(), func(t *testing.T) {
			f := newRequestFixture(t, singleRoute(false))
			f.end(5, 0, c.result)
			require.Len(t, f.sent, c.sends)
			if c.sends == 2 {
				f.end(10, 1, replica.OK)
			}
			require.NotNil(t, f.outcome)
			assert.Equal(t, c.outcome, f.outcome.Kind())
		})
	}
}

// Guards against a second run of a non-idempotent request by a hedge.
func TestNonIdempotentIsNeverHedged(t *testing.T) {
	f := newRequestFixture(t, singleRoute(false))
	for now := clock.Millis(0); now < 500; now += 10 {
		f.tick(now)
	}
	assert.Len(t, f.sent, 1)
}

// Guards against a false refusal: the request is pending at a replica when its
// deadline passes.
func TestPendingRequestTimesOutInsteadOfRefusal(t *testing.T) {
	f := newRequestFixture(t, singleRoute(false))
	f.tick(590)
	require.NotNil(t, f.outcome)
	assert.Equal(t, TimedOut, f.outcome.Kind())
}

// Guards against a wrong outcome of a request that every replica has shed: it must
// be refused with a time to retry.
func TestRequestShedByAllReplicasIsRefused(t *testing.T) {
	f := newRequestFixture(t, singleRoute(false))
	for attempt := 0; f.outcome == nil; attempt++ {
		require.Less(t, attempt, maxSheds)
		f.end(clock.Millis(5*attempt), attempt, replica.Shed)
	}
	used := make(map[*replica.Replica]bool)
	for _, send := range f.sent {
		used[send.Replica()] = true
	}
	assert.Len(t, used, 2, "the route allows two replicas")
	assert.Equal(t, Refused, f.outcome.Kind())
	assert.GreaterOrEqual(t, f.outcome.RetryAfter(), minRetryAfter)
	assert.LessOrEqual(t, f.outcome.RetryAfter(), maxRetryAfter)
}

// Guards against a request that leaves the allowed regions of its route: it is
// refused if the available replicas are all in other regions.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	f := newRequestFixture(t, singleRoute(true))
	r, err := route.NewRoute(route.Spec{Host: "h", Prefix: "/", Timeout: 600, Objective: 100, MaxAttempts: 2,
		AllowedRegions: []string{"west"}, Splits: []route.Split{route.NewSplit("s0", 1)}})
	require.NoError(t, err)
	start := func() Action {
		actions := New(0, r, 600, Resources{Set: f.set, Profile: &f.profile, Admission: &f.admission}).Start(0)
		require.NotEmpty(t, actions)
		return actions[0]
	}
	f.set.SetRegions(map[string]string{"a": "east", "b": "east", "c": "east"})
	assert.Equal(t, Refused, start().Outcome().Kind())
	f.set.SetRegions(map[string]string{"a": "east", "b": "west", "c": "east"})
	assert.Equal(t, "b", start().Replica().Entry().DataCentre())
}

// Guards against a request that waits for a service without replicas.
func TestServiceWithoutReplicasIsRefusedImmediately(t *testing.T) {
	f := newRequestFixture(t, singleRoute(true))
	for _, id := range []string{"s0-0", "s0-1", "s0-2"} {
		f.set.Remove(id)
	}
	r, err := route.NewRoute(route.Spec{Host: "h", Prefix: "/", Timeout: 600, Objective: 100, MaxAttempts: 2,
		Splits: []route.Split{route.NewSplit("s0", 1)}})
	require.NoError(t, err)
	q := New(0, r, 600, Resources{Set: f.set, Profile: &f.profile, Admission: &f.admission})
	actions := q.Start(0)
	require.Len(t, actions, 1)
	assert.Equal(t, Refused, actions[0].Outcome().Kind())
}

// Guards against hedges that use up the budget of repeats while replicas shed, so that
// requests are not retried and fail: a hedge makes an answer earlier, a retry decides
// whether there is one. Also guards against hedges that are withheld without such need.
func TestHedgesLeaveBudgetForRetries(t *testing.T) {
	for name, failing := range map[string]bool{"a replica fails": true, "no replica fails": false} {
		t.Run(name, func(t *testing.T) {
			f := newRequestFixture(t, singleRoute(true))
			pool := f.set.Pool("s0")
			for pool.Budget().Remaining(0) > pool.Budget().Size(0)*hedgeReserveFraction {
				require.True(t, pool.Budget().Take(0, 0))
			}
			if failing {
				other, err := pool.Pick(0, replica.NewCriteria(10, []*replica.Replica{f.sent[0].Replica()}))
				require.NoError(t, err)
				other.Begin(0, 10)
				other.End(1, 0, replica.Failed, 10)
			}
			f.tick(60)
			if !failing {
				require.Len(t, f.sent, 2)
				assert.Equal(t, Hedge, f.sent[1].Purpose())
				return
			}
			require.Len(t, f.sent, 1, "a hedge was due")
			assert.Equal(t, []WithheldHedge{{Service: "s0", Reason: withheldNoBudget}}, f.request.WithheldHedges())
			f.end(61, 0, replica.Shed)
			require.Len(t, f.sent, 2)
			assert.Equal(t, Retry, f.sent[1].Purpose())
		})
	}
}

// Guards against more attempts than the route allows.
func TestAttemptsAreBounded(t *testing.T) {
	f := newRequestFixture(t, singleRoute(true))
	f.end(5, 0, replica.Lost)
	f.end(10, 1, replica.Lost)
	require.NotNil(t, f.outcome)
	assert.Len(t, f.sent, 2)
	assert.Equal(t, Unavailable, f.outcome.Kind())
}

// Guards against waiting for a late shard past the objective while the minimum
// coverage is reached.
func TestPartialAnswerBeforeObjective(t *testing.T) {
	f := newRequestFixture(t, shardedRoute("s0", "s1", "s2"))
	require.Len(t, f.sent, 3)
	f.end(10, 0, replica.OK)
	f.end(12, 2, replica.OK)
	assert.Nil(t, f.outcome, "waits for a complete answer until the objective is close")
	f.tick(f.request.partialAt)
	require.NotNil(t, f.outcome)
	assert.Equal(t, Gathered, f.outcome.Kind())
	assert.Equal(t, []int{0, 2}, f.outcome.Parts())
	assert.Equal(t, []string{"s1"}, f.outcome.Missing())
	assert.Contains(t, f.abandoned, 1)
}

// Guards against an answer below the minimum coverage of the route.
func TestNoAnswerBelowMinimumCoverage(t *testing.T) {
	f := newRequestFixture(t, shardedRoute("s0", "s1", "s2"))
	f.end(10, 0, replica.OK)
	f.tick(f.request.partialAt)
	assert.Nil(t, f.outcome)
	f.tick(599)
	require.NotNil(t, f.outcome)
	assert.Equal(t, TimedOut, f.outcome.Kind())
}

// Guards against a merged answer with two parts of one shard.
func TestHedgedShardIsAnsweredOnce(t *testing.T) {
	f := newRequestFixture(t, shardedRoute("s0", "s1"))
	f.end(10, 1, replica.OK)
	for now := clock.Millis(20); len(f.sent) < 3 && now < 80; now += 5 {
		f.tick(now)
	}
	require.Len(t, f.sent, 3)
	assert.Equal(t, Hedge, f.sent[2].Purpose())
	assert.NotEqual(t, f.sent[0].Replica(), f.sent[2].Replica())
	f.end(85, 2, replica.OK)
	require.NotNil(t, f.outcome)
	assert.Equal(t, []int{2, 1}, f.outcome.Parts())
	assert.Equal(t, []int{0}, f.abandoned)
	f.end(86, 0, replica.OK)
}

// Guards against a request that is known to crash replicas and is hedged or retried: no
// shard that had an attempt gets another one.
func TestForbiddenRepeatsAreNotMade(t *testing.T) {
	f := newRequestFixture(t, shardedRoute("s0", "s1"))
	f.request.ForbidRepeats()
	f.end(10, 0, replica.Lost)
	require.NotNil(t, f.outcome)
	assert.Equal(t, Unavailable, f.outcome.Kind())

	f = newRequestFixture(t, singleRoute(true))
	f.request.ForbidRepeats()
	for now := clock.Millis(20); now < 400; now += 5 {
		f.tick(now)
	}
	assert.Len(t, f.sent, 1)
}

// Guards against wasted work for a caller that has disconnected, and against closing
// the connection of a non-idempotent attempt.
func TestCancelAbandonsIdempotentAttempts(t *testing.T) {
	f := newRequestFixture(t, shardedRoute("s0", "s1"))
	f.collect(f.request.Cancel(20))
	assert.Equal(t, CallerGone, f.outcome.Kind())
	assert.Equal(t, []int{0, 1}, f.abandoned)

	f = newRequestFixture(t, singleRoute(false))
	f.collect(f.request.Cancel(20))
	assert.Equal(t, CallerGone, f.outcome.Kind())
	assert.Empty(t, f.abandoned)
}

// Guards against replacing a replica's error answer by an error of the daemon.
func TestReplicaFailureIsPassedOn(t *testing.T) {
	f := newRequestFixture(t, singleRoute(true))
	f.end(5, 0, replica.Failed)
	f.end(10, 1, replica.Failed)
	require.NotNil(t, f.outcome)
	assert.Equal(t, Answered, f.outcome.Kind())
	assert.Equal(t, 1, f.outcome.Attempt())
}

// endShard ends the only pending attempt for the shard.
func (f *requestFixture) endShard(now clock.Millis, shard int, result replica.Result) {
	last := -1
	for _, send := range f.sent {
		if send.Shard() == shard && !f.request.attempts[send.Attempt()].ended {
			last = send.Attempt()
		}
	}
	require.GreaterOrEqual(f.t, last, 0, "no attempt of the shard is pending")
	f.end(now, last, result)
}

// Guards against a panic in the retry of a shard that was shed as often as the route
// allows, when no replica that shed it is left.
func TestShedShardWithoutReplicaLeftFails(t *testing.T) {
	f := newRequestFixture(t, shardedRoute("s0", "s1", "s2"))
	now := clock.Millis(1)
	for _, result := range []replica.Result{replica.Shed, replica.Shed, replica.Foreign, replica.Foreign} {
		for f.request.shards[1].pending == 0 {
			now += recheckInterval
			f.tick(now)
		}
		f.endShard(now, 1, result)
	}
	for f.outcome == nil {
		now += recheckInterval
		f.tick(now)
	}
	assert.Equal(t, TimedOut, f.outcome.Kind(), "the other shards are pending")
}

// Guards against a shard that goes to more replicas than its route allows: one that
// was not reached must not be tried after the route's maximum of others has shed it.
func TestShedShardStaysAtReplicasThatShedIt(t *testing.T) {
	f := newRequestFixture(t, shardedRoute("s0", "s1", "s2"))
	f.endShard(1, 1, replica.NotConnected)
	for range maxSheds {
		f.endShard(300, 1, replica.Shed) // the connection backoff has ended
	}
	var unreached *replica.Replica
	reached := make(map[*replica.Replica]bool)
	for _, send := range f.sent {
		switch {
		case send.Shard() != 1:
		case unreached == nil:
			unreached = send.Replica()
		default:
			reached[send.Replica()] = true
		}
	}
	assert.Len(t, reached, 2)
	assert.NotContains(t, reached, unreached)
	assert.True(t, f.request.shards[1].failed)
}

// Guards against the failures that TestInvariantsUnderRandomResults found with these
// seeds: an index out of range, and a shard at more replicas than its route allows.
func TestInvariantsWithSeedsThatFailed(t *testing.T) {
	seed := flag.Lookup("rapid.seed")
	before := seed.Value.String()
	defer func() { require.NoError(t, seed.Value.Set(before)) }()
	for _, failed := range []string{
		"15706607428960751922", "17534530875392456761", "1969194649850527929", "13185231995608389381",
	} {
		require.NoError(t, seed.Value.Set(failed))
		t.Run(failed, TestInvariantsUnderRandomResults)
	}
}

// Guards, with random results in random order, against a second run, a false
// refusal, two outcomes, a shard twice in an answer, and too many attempts.
func TestInvariantsUnderRandomResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		spec := singleRoute(idempotent)
		if idempotent && rapid.Bool().Draw(t, "gather") {
			spec = shardedRoute("s0", "s1", "s2", "s3")
		}
		f := newRequestFixture(t, spec)
		now := clock.Millis(0)
		ended := make(map[int]bool)
		results := make(map[int]replica.Result)
		for step := 0; step < 40 && f.outcome == nil; step++ {
			now += clock.Millis(rapid.IntRange(0, 60).Draw(t, "gap"))
			var pending []int
			for i := range f.sent {
				if !ended[f.sent[i].Attempt()] {
					pending = append(pending, f.sent[i].Attempt())
				}
			}
			if len(pending) == 0 || rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				f.tick(now)
				continue
			}
			attempt := pending[rapid.IntRange(0, len(pending)-1).Draw(t, "attempt")]
			result := replica.Result(rapid.IntRange(0, int(replica.Silent)).Draw(t, "result"))
			ended[attempt], results[attempt] = true, result
			f.end(now, attempt, result)
		}
		if f.outcome == nil {
			f.tick(601)
		}
		require.NotNil(t, f.outcome, "a request finishes at its deadline")
		f.checkInvariants(t, idempotent, ended, results)
	})
}

// checkInvariants checks the outcome against the results of the attempts.
func (f *requestFixture) checkInvariants(
	t require.TestingT, idempotent bool, ended map[int]bool, results map[int]replica.Result,
) {
	mayHaveRun, runsByShard := 0, make(map[int]int)
	replicasByShard := make(map[int]map[*replica.Replica]bool)
	for _, send := range f.sent {
		result, known := results[send.Attempt()]
		if !known || !result.NotRun() {
			mayHaveRun++
			runsByShard[send.Shard()]++
		}
		if !known || (result != replica.NotConnected && result != replica.Foreign) {
			if replicasByShard[send.Shard()] == nil {
				replicasByShard[send.Shard()] = make(map[*replica.Replica]bool)
			}
			replicasByShard[send.Shard()][send.Replica()] = true
		}
	}
	if !idempotent {
		require.LessOrEqual(t, mayHaveRun, 1, "retried although it may have run")
	}
	if f.outcome.Kind() == Refused {
		require.Zero(t, mayHaveRun, "refused although it may have run")
	}
	for shard, replicas := range replicasByShard {
		require.LessOrEqual(t, len(replicas), 2, "replicas of shard %d", shard)
		require.LessOrEqual(t, runsByShard[shard], 2, "runs of shard %d", shard)
	}
	seen := make(map[int]bool)
	for _, attempt := range f.outcome.Parts() {
		require.Equal(t, replica.OK, results[attempt])
		shard := f.sent[attempt].Shard()
		require.False(t, seen[shard], "a shard is in the answer twice")
		seen[shard] = true
	}
	if f.outcome.Kind() == Gathered {
		require.Equal(t, len(f.request.shards), len(f.outcome.Parts())+len(f.outcome.Missing()))
		require.GreaterOrEqual(t, len(f.outcome.Parts()), 3)
	}
	_ = ended
}

// Guards against hedges at replicas that leave or that want no requests for a time: they
// are a last resort, and a first attempt that is only late needs none.
func TestReplicaOfLastResortIsNotHedgedAt(t *testing.T) {
	for name, notices := range map[string]replica.Notices{
		"leaving": {Leaving: true}, "turned away": {RetryAfter: clock.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRequestFixture(t, singleRoute(true))
			replicas := []*replica.Replica{f.sent[0].Replica()}
			for range 2 {
				other, err := f.set.Pool("s0").Pick(0, replica.NewCriteria(10, replicas))
				require.NoError(t, err)
				replicas = append(replicas, other)
			}
			replicas[1].HandleNotices(0, 0, notices)
			replicas[2].HandleNotices(0, 0, notices)
			for now := clock.Millis(1); now < 500; now++ {
				f.tick(now)
			}
			assert.Len(t, f.sent, 1)
			assert.Equal(t, []WithheldHedge{{Service: "s0", Reason: withheldReplica}}, f.request.WithheldHedges())
		})
	}
}

// Guards against an attempt, retry or hedge of a request whose key was removed, against a
// promise that such a request has not run although it may have, and against one that stays
// forbidden.
func TestForbiddenRequestMakesNoAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		result  replica.Result
		outcome OutcomeKind
	}{
		"shed": {replica.Shed, Refused}, "lost": {replica.Lost, Unavailable}, "answered": {replica.OK, Answered},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRequestFixture(t, singleRoute(true))
			f.request.ForbidAttempts("no key")
			f.tick(300)
			assert.Len(t, f.sent, 1, "no hedge")
			f.end(310, 0, c.result)
			assert.Len(t, f.sent, 1, "no retry")
			require.NotNil(t, f.outcome)
			assert.Equal(t, c.outcome, f.outcome.Kind())
			if c.outcome == Refused {
				assert.Equal(t, "no key", f.outcome.Reason())
			}
		})
	}
	f := newRequestFixture(t, singleRoute(true))
	f.request.ForbidAttempts("no key")
	f.tick(300)
	f.request.ForbidAttempts("")
	f.tick(320)
	assert.Len(t, f.sent, 2, "the hedge is made once attempts are allowed again")
}
