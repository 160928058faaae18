package query_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/quota"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// script lists the behaviours of each shard's attempts in order. Further attempts
// are answered after 5 ms.
type script map[snapshot.Shard][]behaviour

// fixedBudget is a Budget with a fixed number of tokens, which earns none.
type fixedBudget struct{ left float64 }

func (b *fixedBudget) RecordRegular(int) {}

func (b *fixedBudget) Take(cost float64) bool {
	if b.left < cost {
		return false
	}
	b.left -= cost
	return true
}

// endsWith returns a behaviour that reports a result of kind after 5 ms.
func endsWith(kind upstream.Outcome) behaviour { return behaviour{kind: kind, after: 5} }

var (
	slow   = behaviour{after: 100}
	silent = behaviour{silent: true, kind: upstream.Timeout}
)

// newest is the newest version that replicas hold.
const newest snapshot.Version = 9

// ruleCase is a query over three shards of version 9, each held by the replicas a and
// b by default. The latency is 10 ms at the hedge quantile and 20 ms at the p99, so
// the attempt timeout is 60 ms.
type ruleCase struct {
	name            string
	script          script
	nonIdempotent   bool
	policy          query.Policy
	retryTokens     float64 // in the retry budget
	hedgeTokens     float64 // in the hedge budget
	replicas        []string
	versionCount    int     // versions held, ending with the newest; 0 means 1
	olderIncomplete bool    // versions before the newest have holders for one shard only
	pickErrors      []error // of the first picks
	suspect         bool    // the request is suspected of a crash before the start
	canary          bool    // crashes of other requests have started canary mode
	wantOutcome     query.Outcome
	wantRunState    query.RunState
	wantCovered     int
	wantVersion     snapshot.Version
	wantSent        int
	wantHedges      int
	wantRetries     int
	wantRestarts    int
	wantElapsed     clock.Millis
}

func (c ruleCase) newHarness() *harness {
	h := &harness{
		deadline: 1000, shardCounts: make(map[snapshot.Version]int),
		idempotent: !c.nonIdempotent, quarantineEnabled: true,
	}
	held := []snapshot.Shard{0, 1, 2}
	var holdings []snapshot.Holding
	for v := newest; v > newest-snapshot.Version(max(c.versionCount, 1)); v-- {
		h.shardCounts[v] = 3
		holdings = append(holdings, snapshot.NewHolding(v, 3, held))
		if c.olderIncomplete {
			held = held[:1]
		}
	}
	for _, replica := range c.replicas {
		h.catalogue.SetHoldings(replica, holdings)
	}
	sent := make(map[snapshot.Shard]int)
	h.behaviour = func(a *attempt) behaviour {
		shard := a.action.Shard()
		sent[shard]++
		if behaviours := c.script[shard]; sent[shard] <= len(behaviours) {
			return behaviours[sent[shard]-1]
		}
		return endsWith(upstream.OK)
	}
	h.nextPickError = func() error {
		if len(c.pickErrors) == 0 {
			return nil
		}
		err := c.pickErrors[0]
		c.pickErrors = c.pickErrors[1:]
		return err
	}
	h.query = query.New(c.request(), c.policy, query.Dependencies{
		Picker: h, Catalogue: &h.catalogue, Latency: fixedLatency{hedge: 10, tail: 20},
		HedgeBudget: &fixedBudget{c.hedgeTokens}, RetryBudget: &fixedBudget{c.retryTokens},
		Quarantine: c.quarantineList(),
	})
	h.query.EnableExplanation()
	return h
}

func (c ruleCase) request() query.Request {
	request := query.NewRequest("id", "s", []byte("body"), 1000)
	if c.nonIdempotent {
		return request.NonIdempotent()
	}
	return request
}

func (c ruleCase) quarantineList() *quarantine.List {
	var list quarantine.List
	if c.suspect {
		list.RecordCrash(0, quarantine.FingerprintOf("s", []byte("body")), "z", 0)
	}
	if c.canary {
		for i, id := range []upstream.ID{"x", "y", "z"} {
			list.RecordCrash(0, quarantine.Fingerprint(i), id, 0)
		}
	}
	return &list
}

// Guards against wrong decisions about hedges, retries, restarts, suspects, canary
// mode and the end of a query: each case is one rule with the attempts it costs.
func TestQueryRules(t *testing.T) {
	gone, lost := endsWith(upstream.VersionGone), endsWith(upstream.ConnectionLost)
	both, one := []string{"a", "b"}, []string{"a"}
	manyGone := slices.Repeat([]behaviour{gone}, 9)
	tailFirst := query.Policy{}.WithMode(query.TailFirst).WithWantedCoverage(0.6)
	cases := []ruleCase{
		{name: "every shard answers", wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 5},
		{name: "hedge wins over a straggler", hedgeTokens: 1, script: script{1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantHedges: 1, wantElapsed: 15},
		{name: "no hedge without a token", script: script{1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge when disabled", hedgeTokens: 1, script: script{1: {slow}},
			policy:       query.Policy{}.WithHedgesEnabled(false),
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge for a non-idempotent request", hedgeTokens: 1, nonIdempotent: true,
			script:       script{1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge without another replica", hedgeTokens: 1, replicas: one, script: script{1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge for a suspect", hedgeTokens: 1, suspect: true,
			script:       script{0: {slow}, 1: {slow}, 2: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "retry after a refusal", retryTokens: 1, script: script{0: {endsWith(upstream.NotConnected)}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "no retry without a token", script: script{0: {endsWith(upstream.NotConnected)}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 5},
		{name: "shed costs two tokens", retryTokens: 1, script: script{0: {endsWith(upstream.Shed)}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 5},
		{name: "shed with two tokens", retryTokens: 2, script: script{0: {endsWith(upstream.Shed)}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "shed by the only replica is retried after a backoff", retryTokens: 2, replicas: one,
			script:       script{0: {endsWith(upstream.Shed)}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 12},
		{name: "retries of a shard are limited", retryTokens: 9,
			script:       script{0: slices.Repeat([]behaviour{endsWith(upstream.Failed)}, 9)},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 5, wantRetries: 2, wantElapsed: 17},
		{name: "attempt without a response is retried on a fresh connection", retryTokens: 1, replicas: one,
			script:       script{0: {silent}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 65},
		{name: "slow attempt is kept if no retry can replace it", replicas: one, script: script{0: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "non-idempotent request is retried if not run", nonIdempotent: true, retryTokens: 1,
			script:       script{0: {endsWith(upstream.WrongShard)}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "non-idempotent request is not retried otherwise", nonIdempotent: true, retryTokens: 9,
			script: script{
				0: {lost}, 1: {endsWith(upstream.Timeout)}, 2: {endsWith(upstream.Failed)}},
			wantOutcome: query.BelowMinimum, wantRunState: query.MayHaveRun, wantSent: 3, wantElapsed: 5},
		{name: "no attempt ran", nonIdempotent: true, script: script{
			0: {endsWith(upstream.Shed)}, 1: {endsWith(upstream.NotConnected)}, 2: {endsWith(upstream.WrongShard)}},
			wantOutcome: query.BelowMinimum, wantSent: 3, wantElapsed: 5},
		{name: "response for another version or shard covers nothing",
			script:       script{0: {{after: 5, versionOffset: -1}}, 1: {{after: 5, shardOffset: 1}}},
			wantRunState: query.HasRun, wantCovered: 1, wantSent: 3, wantElapsed: 5},
		{name: "version gone at one replica", retryTokens: 1, versionCount: 2, script: script{0: {gone}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "version gone at every replica restarts on another version", retryTokens: 1, versionCount: 2,
			script:       script{0: {gone, gone}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 7, wantRetries: 1, wantRestarts: 1, wantVersion: 8, wantElapsed: 15},
		{name: "version gone at every replica without another version gives a partial answer", retryTokens: 1,
			script:       script{0: {gone, gone}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "no restart of a non-idempotent request that may have run", nonIdempotent: true, retryTokens: 1,
			versionCount: 2, script: script{0: {gone, gone}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "restart of a non-idempotent request that has not run", nonIdempotent: true, versionCount: 2,
			script:       script{0: {gone}, 1: {gone}, 2: {gone}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 6, wantRestarts: 1, wantVersion: 8, wantElapsed: 10},
		{name: "no restart on a version that covers less", retryTokens: 1,
			versionCount: 2, olderIncomplete: true, script: script{0: {gone, gone}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "no restart of a suspect", retryTokens: 9, versionCount: 2,
			script:       script{0: {gone, gone}, 1: {lost}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 5, wantRetries: 2, wantElapsed: 10},
		{name: "restarts are limited", versionCount: 6,
			script: script{0: manyGone, 1: manyGone, 2: manyGone}, wantVersion: 6,
			wantOutcome: query.BelowMinimum, wantRunState: query.MayHaveRun, wantSent: 12, wantRestarts: 3, wantElapsed: 20},
		{name: "restarts of a non-idempotent request are limited", nonIdempotent: true,
			versionCount: 6, wantVersion: 6,
			script:      script{0: manyGone, 1: manyGone, 2: manyGone},
			wantOutcome: query.BelowMinimum, wantSent: 12, wantRestarts: 3, wantElapsed: 20},
		{name: "every holder of a shard refuses it", retryTokens: 9, policy: query.Policy{}.WithMaxRetries(5),
			script:       script{0: {endsWith(upstream.WrongShard), endsWith(upstream.WrongShard)}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "one token pays for one hedge", hedgeTokens: 1, script: script{0: {slow}, 1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantHedges: 1, wantElapsed: 100},
		{name: "second hedge if the first one is slow", hedgeTokens: 2, replicas: []string{"a", "b", "c"},
			script:       script{1: {slow, slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 5, wantHedges: 2, wantElapsed: 25},
		{name: "hedges of a shard are limited", hedgeTokens: 9, replicas: []string{"a", "b", "c", "d"},
			script:       script{1: {slow, slow, slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 5, wantHedges: 2, wantElapsed: 120},
		{name: "timeout of one attempt of a hedged pair takes no retry", hedgeTokens: 1, retryTokens: 1,
			script:       script{0: {silent, {kind: upstream.Failed, after: 80}}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 5, wantHedges: 1, wantRetries: 1, wantElapsed: 75},
		{name: "shard picks again after ErrSaturated and ErrNoReplica", pickErrors: []error{upstream.ErrSaturated, upstream.ErrNoReplica},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 7},
		{name: "shard without a replica waits until the deadline", pickErrors: slices.Repeat([]error{upstream.ErrNoReplica}, 999),
			wantOutcome: query.BelowMinimum, wantElapsed: 1000},
		{name: "coverage first waits until the deadline", nonIdempotent: true, script: script{0: {silent}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 1000},
		{name: "tail first answers after the tail latency", policy: tailFirst, script: script{0: {slow}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 20},
		{name: "tail first waits for the wanted coverage", policy: tailFirst,
			script:       script{0: {slow}, 1: {{after: 40}}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 40},
		{name: "coverage below the minimum", policy: query.Policy{}.WithMinCoverage(0.9),
			script:      script{0: {endsWith(upstream.Failed)}},
			wantOutcome: query.BelowMinimum, wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 5},
		{name: "suspect gets one retry", retryTokens: 9,
			script:       script{0: {lost}, 1: {{after: 8}}, 2: {{kind: upstream.Failed, after: 6}}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "second crash ends the query", retryTokens: 9, script: script{0: {lost, lost}, 1: {slow}, 2: {slow}},
			wantOutcome: query.Quarantined, wantRunState: query.MayHaveRun, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "canary answers before the other shards start", canary: true,
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 10},
		{name: "canary crashes at most two upstreams", canary: true, retryTokens: 9,
			script:      script{0: {lost, lost}},
			wantOutcome: query.Quarantined, wantRunState: query.MayHaveRun, wantSent: 2, wantRetries: 1, wantElapsed: 10},
		{name: "canary that crashed one upstream is not fanned out", canary: true, retryTokens: 9,
			script:      script{0: {lost, endsWith(upstream.Failed)}},
			wantOutcome: query.BelowMinimum, wantRunState: query.MayHaveRun, wantSent: 2, wantRetries: 1, wantElapsed: 10},
		{name: "canary that answered after a crash is fanned out", canary: true, retryTokens: 9,
			script:       script{0: {lost}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 15},
		{name: "next canary shard after a timeout", canary: true, script: script{0: {endsWith(upstream.Timeout)}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 15},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if tc.replicas == nil {
				tc.replicas = both
			}
			if tc.wantVersion == 0 {
				tc.wantVersion = newest
			}
			h := tc.newHarness()
			h.run()
			require.Empty(t, h.violations)
			a := h.answers[0]
			got := []any{
				a.Outcome(), a.RunState(), a.Version(), a.Coverage().Covered(),
				a.Sent(), a.Hedges(), a.Retries(), a.Restarts(), a.Elapsed(),
			}
			want := []any{
				tc.wantOutcome, tc.wantRunState, tc.wantVersion, tc.wantCovered,
				tc.wantSent, tc.wantHedges, tc.wantRetries, tc.wantRestarts, tc.wantElapsed,
			}
			require.Equal(t, want, got, "%v", a.Steps())
		})
	}
}

// Guards against sending a quarantined request to an upstream, and against an answer
// that does not state the quarantine.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	c := ruleCase{replicas: []string{"a"}}
	h := c.newHarness()
	list := c.quarantineList()
	list.ReceiveEntry(0, quarantine.NewEntry(quarantine.FingerprintOf("s", []byte("body")), nil, 1000))
	h.query = query.New(c.request(), query.Policy{}, query.Dependencies{
		Picker: h, Catalogue: &h.catalogue, Quarantine: list,
	})
	h.run()
	require.Empty(t, h.violations)
	require.Equal(t, query.Quarantined, h.answers[0].Outcome())
	require.Equal(t, query.NotRun, h.answers[0].RunState())
}

// Guards against hedges and retries of a request that crashes upstreams for another
// query after this one has started. No shard has answered when the crashes are
// recorded, since a request that has completed is not suspected.
func TestCrashesReportedByOtherQueries(t *testing.T) {
	fingerprint := quarantine.FingerprintOf("s", []byte("body"))
	cases := []struct {
		name    string
		crashes []upstream.ID
		want    query.Outcome
		elapsed clock.Millis
	}{
		{"suspect", []upstream.ID{"x"}, query.Answered, 100},
		{"quarantined", []upstream.ID{"x", "y"}, query.Quarantined, 10},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var list quarantine.List
			c := ruleCase{replicas: []string{"a", "b"}, script: script{0: {slow}, 1: {slow}, 2: {slow}}}
			h := c.newHarness()
			h.query = query.New(c.request(), query.Policy{}, query.Dependencies{
				Picker: h, Catalogue: &h.catalogue, Latency: fixedLatency{hedge: 10, tail: 20},
				HedgeBudget: &fixedBudget{1}, Quarantine: &list,
			})
			h.scheduleEvent(8, func() {
				for _, id := range tc.crashes {
					list.RecordCrash(8, fingerprint, id, 8)
				}
			})
			h.run()
			require.Empty(t, h.violations)
			require.Equal(t, tc.want, h.answers[0].Outcome())
			require.Equal(t, tc.elapsed, h.answers[0].Elapsed())
			require.Zero(t, h.answers[0].Hedges())
		})
	}
}

// Guards against run state NotRun if an upstream answers after the adapter reported
// that the attempt did not run, and against coverage from a response that arrives
// after the deadline.
func TestLateResults(t *testing.T) {
	refused := query.NewAttemptFailure(upstream.NewResult(upstream.NotConnected, 1, ""))
	answer := func(shard snapshot.Shard) query.AttemptResult {
		return query.NewAttemptResult(upstream.NewResult(upstream.OK, 1, ""), shard, newest, []byte("x"))
	}
	h := ruleCase{replicas: []string{"a"}}.newHarness()
	h.query.Start(0)
	h.query.HandleResult(1, 0, refused)
	h.query.HandleResult(2, 0, answer(0))
	h.query.HandleResult(2, 1, refused)
	actions := h.query.HandleResult(2, 2, refused)
	require.Equal(t, query.MayHaveRun, actions[0].Answer().RunState())
	require.Equal(t, 1, actions[0].Answer().LateResults())

	h = ruleCase{replicas: []string{"a"}}.newHarness()
	h.query.Start(0)
	actions = h.query.HandleResult(1000.5, 1, answer(1))
	last := actions[len(actions)-1].Answer()
	require.Equal(t, query.HasRun, last.RunState())
	require.Zero(t, last.Coverage().Covered())
}

// Guards against retries that multiply the load while every upstream fails. The
// target is at most 1.1 attempts per shard. After VersionGone a query restarts on
// another version instead; each failed fan-out withdraws one of the two versions
// from one of the two replicas, which limits the fan-outs to four.
func TestRetryBudgetLimitsAmplification(t *testing.T) {
	for kind := upstream.VersionGone; kind <= upstream.Cancelled; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			var budget quota.Budget
			budget.Configure(0.1, 20)
			service := ruleCase{replicas: []string{"a", "b"}, versionCount: 2}.newHarness()
			sent, shards, retries := 0, 0, 0
			for range 200 {
				h := ruleCase{versionCount: 2}.newHarness()
				h.behaviour = func(*attempt) behaviour { return endsWith(kind) }
				h.query = query.New(query.NewRequest("id", "s", nil, 1000), query.Policy{}, query.Dependencies{
					Picker: h, Catalogue: &service.catalogue, RetryBudget: &budget,
				})
				h.run()
				require.Empty(t, h.violations)
				sent += h.answers[0].Sent()
				retries += h.answers[0].Retries()
				shards += h.answers[0].Coverage().Total()
			}
			if kind == upstream.VersionGone {
				require.LessOrEqual(t, sent-retries, 4*3)
				return
			}
			require.Equal(t, 600, shards)
			require.LessOrEqual(t, float64(sent), 1.1*float64(shards)+1, "the budget starts with one token")
			require.Greater(t, sent, shards)
		})
	}
}
