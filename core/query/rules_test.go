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

// behaviours lists the fates of each shard's sub-requests in order. Those that it
// does not name are answered after 5 ms.
type behaviours map[snapshot.Shard][]behaviour

// fixedBudget is a budget that earns nothing.
type fixedBudget struct{ left float64 }

func (b *fixedBudget) Earn(int) {}

func (b *fixedBudget) Take(cost float64) bool {
	if b.left < cost {
		return false
	}
	b.left -= cost
	return true
}

func endsWith(kind upstream.Kind) behaviour { return behaviour{kind: kind, after: 5} }

var (
	slow   = behaviour{after: 100}
	silent = behaviour{silent: true, kind: upstream.Timeout}
)

const newest snapshot.Version = 9

// ruleCase is a query over three shards of version 9, each held by a and b,
// with p95 = 10 ms, p99 = 20 ms and so an attempt timeout of 60 ms.
type ruleCase struct {
	name            string
	behaviours      behaviours
	nonIdempotent   bool // not idempotent
	policy          query.Policy
	retryTokens     float64 // tokens of the retry budget
	hedgeTokens     float64
	replicas        []string
	versionCount    int  // held ones, up to the newest; 0 for one
	olderIncomplete bool // older versions lack holders for two of the shards
	pickErrors      []error
	suspect         bool // the request is a suspect already
	canary          bool
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
	w := &harness{deadline: 1000, shardCounts: make(map[snapshot.Version]int), idempotent: !c.nonIdempotent, quarantineEnabled: true}
	holds := []snapshot.Shard{0, 1, 2}
	var holdings []snapshot.Holding
	for v := newest; v > newest-snapshot.Version(max(c.versionCount, 1)); v-- {
		w.shardCounts[v] = 3
		holdings = append(holdings, snapshot.NewHolding(v, 3, holds))
		if c.olderIncomplete {
			holds = holds[:1]
		}
	}
	for _, replica := range c.replicas {
		w.catalogue.SetHoldings(replica, holdings)
	}
	sent := make(map[snapshot.Shard]int)
	w.behaviour = func(s *attempt) behaviour {
		shard := s.action.Shard()
		sent[shard]++
		if fates := c.behaviours[shard]; sent[shard] <= len(fates) {
			return fates[sent[shard]-1]
		}
		return endsWith(upstream.OK)
	}
	w.nextPickError = func() error {
		if len(c.pickErrors) == 0 {
			return nil
		}
		err := c.pickErrors[0]
		c.pickErrors = c.pickErrors[1:]
		return err
	}
	w.query = query.New(c.request(), c.policy, query.Dependencies{
		Picker: w, Catalogue: &w.catalogue, Latency: fixedLatency{hedge: 10, tail: 20},
		HedgeBudget: &fixedBudget{c.hedgeTokens}, RetryBudget: &fixedBudget{c.retryTokens}, Quarantine: c.quarantineList(),
	})
	w.query.EnableExplanation()
	return w
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
		list.Crash(0, quarantine.FingerprintOf("s", []byte("body")), "z", 0)
	}
	if c.canary {
		for i, id := range []upstream.ID{"x", "y", "z"} {
			list.Crash(0, quarantine.Fingerprint(i), id, 0)
		}
	}
	return &list
}

func TestQueryRules(t *testing.T) {
	gone, lost := endsWith(upstream.VersionGone), endsWith(upstream.ConnectionLost)
	both, one := []string{"a", "b"}, []string{"a"}
	manyGone := slices.Repeat([]behaviour{gone}, 9)
	tailFirst := query.Policy{}.WithMode(query.TailFirst).WithWantedCoverage(0.6)
	cases := []ruleCase{
		{name: "all answer", wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 5},
		{name: "hedge wins over a straggler", hedgeTokens: 1, behaviours: behaviours{1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantHedges: 1, wantElapsed: 15},
		{name: "no hedge without a token", behaviours: behaviours{1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge when disabled", hedgeTokens: 1, behaviours: behaviours{1: {slow}}, policy: query.Policy{}.WithHedgesEnabled(false),
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge for work that runs once", hedgeTokens: 1, nonIdempotent: true, behaviours: behaviours{1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge without another replica", hedgeTokens: 1, replicas: one, behaviours: behaviours{1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge for a suspect", hedgeTokens: 1, suspect: true, behaviours: behaviours{0: {slow}, 1: {slow}, 2: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "retry after a refusal", retryTokens: 1, behaviours: behaviours{0: {endsWith(upstream.NotConnected)}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "no retry without a token", behaviours: behaviours{0: {endsWith(upstream.NotConnected)}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 5},
		{name: "shed costs two tokens", retryTokens: 1, behaviours: behaviours{0: {endsWith(upstream.Shed)}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 5},
		{name: "shed with two tokens", retryTokens: 2, behaviours: behaviours{0: {endsWith(upstream.Shed)}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "shed by the only replica is asked again after a pause", retryTokens: 2, replicas: one, behaviours: behaviours{0: {endsWith(upstream.Shed)}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 12},
		{name: "retries for each shard are bounded", retryTokens: 9, behaviours: behaviours{0: slices.Repeat([]behaviour{endsWith(upstream.Failed)}, 9)},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 5, wantRetries: 2, wantElapsed: 17},
		{name: "silent attempt is retried on a fresh connection", retryTokens: 1, replicas: one, behaviours: behaviours{0: {silent}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 65},
		{name: "slow attempt is kept if no retry can replace it", replicas: one, behaviours: behaviours{0: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "work that runs once is resent if not run", nonIdempotent: true, retryTokens: 1, behaviours: behaviours{0: {endsWith(upstream.WrongShard)}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "work that runs once is not resent otherwise", nonIdempotent: true, retryTokens: 9, behaviours: behaviours{
			0: {lost}, 1: {endsWith(upstream.Timeout)}, 2: {endsWith(upstream.Failed)}},
			wantOutcome: query.BelowMinimum, wantRunState: query.MayHaveRun, wantSent: 3, wantElapsed: 5},
		{name: "nothing ran", nonIdempotent: true, behaviours: behaviours{
			0: {endsWith(upstream.Shed)}, 1: {endsWith(upstream.NotConnected)}, 2: {endsWith(upstream.WrongShard)}},
			wantOutcome: query.BelowMinimum, wantSent: 3, wantElapsed: 5},
		{name: "other version and other shard cover nothing", behaviours: behaviours{0: {{after: 5, versionOffset: -1}}, 1: {{after: 5, shardOffset: 1}}},
			wantRunState: query.HasRun, wantCovered: 1, wantSent: 3, wantElapsed: 5},
		{name: "version gone at one replica", retryTokens: 1, versionCount: 2, behaviours: behaviours{0: {gone}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "version gone everywhere restarts on the other", retryTokens: 1, versionCount: 2, behaviours: behaviours{0: {gone, gone}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 7, wantRetries: 1, wantRestarts: 1, wantVersion: 8, wantElapsed: 15},
		{name: "version gone everywhere without another is partial", retryTokens: 1, behaviours: behaviours{0: {gone, gone}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "no restart once work that runs once may have run", nonIdempotent: true, retryTokens: 1, versionCount: 2, behaviours: behaviours{0: {gone, gone}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "restart of work that runs once after nothing ran", nonIdempotent: true, versionCount: 2, behaviours: behaviours{0: {gone}, 1: {gone}, 2: {gone}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 6, wantRestarts: 1, wantVersion: 8, wantElapsed: 10},
		{name: "no restart on a version that covers less", retryTokens: 1, versionCount: 2, olderIncomplete: true, behaviours: behaviours{0: {gone, gone}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "no restart of a suspect", retryTokens: 9, versionCount: 2, behaviours: behaviours{0: {gone, gone}, 1: {lost}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 5, wantRetries: 2, wantElapsed: 10},
		{name: "restarts are bounded", versionCount: 6, behaviours: behaviours{0: manyGone, 1: manyGone, 2: manyGone}, wantVersion: 6,
			wantOutcome: query.BelowMinimum, wantRunState: query.MayHaveRun, wantSent: 12, wantRestarts: 3, wantElapsed: 20},
		{name: "restarts of work that runs once are bounded", nonIdempotent: true, versionCount: 6, wantVersion: 6,
			behaviours:  behaviours{0: manyGone, 1: manyGone, 2: manyGone},
			wantOutcome: query.BelowMinimum, wantSent: 12, wantRestarts: 3, wantElapsed: 20},
		{name: "every holder refuses the shard", retryTokens: 9, policy: query.Policy{}.WithMaxRetries(5),
			behaviours:   behaviours{0: {endsWith(upstream.WrongShard), endsWith(upstream.WrongShard)}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "one token pays for one hedge", hedgeTokens: 1, behaviours: behaviours{0: {slow}, 1: {slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantHedges: 1, wantElapsed: 100},
		{name: "second hedge after a straggling first one", hedgeTokens: 2, replicas: []string{"a", "b", "c"}, behaviours: behaviours{1: {slow, slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 5, wantHedges: 2, wantElapsed: 25},
		{name: "hedges of a shard are bounded", hedgeTokens: 9, replicas: []string{"a", "b", "c", "d"}, behaviours: behaviours{1: {slow, slow, slow}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 5, wantHedges: 2, wantElapsed: 120},
		{name: "silent half of a hedged pair takes no retry", hedgeTokens: 1, retryTokens: 1,
			behaviours:   behaviours{0: {silent, {kind: upstream.Failed, after: 80}}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 5, wantHedges: 1, wantRetries: 1, wantElapsed: 75},
		{name: "saturated shard asks again", pickErrors: []error{upstream.ErrSaturated, upstream.ErrNoReplica},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 7},
		{name: "shard without a replica waits until the deadline", pickErrors: slices.Repeat([]error{upstream.ErrNoReplica}, 999),
			wantOutcome: query.BelowMinimum, wantElapsed: 1000},
		{name: "coverage first waits until the deadline", nonIdempotent: true, behaviours: behaviours{0: {silent}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 1000},
		{name: "tail first answers after the tail", policy: tailFirst, behaviours: behaviours{0: {slow}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 20},
		{name: "tail first waits for the wanted coverage", policy: tailFirst, behaviours: behaviours{0: {slow}, 1: {{after: 40}}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 40},
		{name: "below the minimum", policy: query.Policy{}.WithMinCoverage(0.9), behaviours: behaviours{0: {endsWith(upstream.Failed)}},
			wantOutcome: query.BelowMinimum, wantRunState: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 5},
		{name: "suspect gets one retry", retryTokens: 9, behaviours: behaviours{0: {lost}, 1: {{after: 8}}, 2: {{kind: upstream.Failed, after: 6}}},
			wantRunState: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "second crash ends the query", retryTokens: 9, behaviours: behaviours{0: {lost, lost}, 1: {slow}, 2: {slow}},
			wantOutcome: query.Quarantined, wantRunState: query.MayHaveRun, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "canary answers before the rest is sent", canary: true,
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 10},
		{name: "canary crashes at most two upstreams", canary: true, retryTokens: 9, behaviours: behaviours{0: {lost, lost}},
			wantOutcome: query.Quarantined, wantRunState: query.MayHaveRun, wantSent: 2, wantRetries: 1, wantElapsed: 10},
		{name: "canary that crashed one upstream is not fanned out", canary: true, retryTokens: 9, behaviours: behaviours{0: {lost, endsWith(upstream.Failed)}},
			wantOutcome: query.BelowMinimum, wantRunState: query.MayHaveRun, wantSent: 2, wantRetries: 1, wantElapsed: 10},
		{name: "canary that answered after a crash is fanned out", canary: true, retryTokens: 9, behaviours: behaviours{0: {lost}},
			wantRunState: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 15},
		{name: "next canary after a silent one", canary: true, behaviours: behaviours{0: {endsWith(upstream.Timeout)}},
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
			w := tc.newHarness()
			w.run()
			require.Empty(t, w.violations)
			a := w.answers[0]
			got := []any{a.Outcome(), a.RunState(), a.Version(), a.Coverage().Covered(), a.Sent(), a.Hedges(), a.Retries(), a.Restarts(), a.Elapsed()}
			want := []any{tc.wantOutcome, tc.wantRunState, tc.wantVersion, tc.wantCovered, tc.wantSent, tc.wantHedges, tc.wantRetries, tc.wantRestarts, tc.wantElapsed}
			require.Equal(t, want, got, "%v", a.Steps())
		})
	}
}

// Guards against requests that are sent although they are known to crash
// upstreams, and against a refusal that does not say so.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	c := ruleCase{replicas: []string{"a"}}
	w := c.newHarness()
	list := c.quarantineList()
	list.Learn(0, quarantine.NewEntry(quarantine.FingerprintOf("s", []byte("body")), nil, 1000))
	w.query = query.New(c.request(), query.Policy{}, query.Dependencies{Picker: w, Catalogue: &w.catalogue, Quarantine: list})
	w.run()
	require.Empty(t, w.violations)
	require.Equal(t, query.Quarantined, w.answers[0].Outcome())
	require.Equal(t, query.NotRun, w.answers[0].RunState())
}

// Guards against hedges and retries of a request that other queries have shown
// to crash upstreams in the meantime. No shard has answered by then: a request
// that completes anywhere is not blamed.
func TestCrashesReportedByOtherQueries(t *testing.T) {
	f := quarantine.FingerprintOf("s", []byte("body"))
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
			c := ruleCase{replicas: []string{"a", "b"}, behaviours: behaviours{0: {slow}, 1: {slow}, 2: {slow}}}
			w := c.newHarness()
			w.query = query.New(c.request(), query.Policy{}, query.Dependencies{
				Picker: w, Catalogue: &w.catalogue, Latency: fixedLatency{hedge: 10, tail: 20},
				HedgeBudget: &fixedBudget{1}, Quarantine: &list,
			})
			w.scheduleEvent(8, func() {
				for _, id := range tc.crashes {
					list.Crash(8, f, id, 8)
				}
			})
			w.run()
			require.Empty(t, w.violations)
			require.Equal(t, tc.want, w.answers[0].Outcome())
			require.Equal(t, tc.elapsed, w.answers[0].Elapsed())
			require.Zero(t, w.answers[0].Hedges())
		})
	}
}

// Guards against a wrong not-run when an upstream answers after the adapter
// reported that nothing was sent, and against late sub-answers that count.
func TestLateResults(t *testing.T) {
	refused := query.NewAttemptFailure(upstream.NewResult(upstream.NotConnected, 1, ""))
	answer := func(shard snapshot.Shard) query.AttemptResult {
		return query.NewAttemptResult(upstream.NewResult(upstream.OK, 1, ""), shard, newest, []byte("x"))
	}
	w := ruleCase{replicas: []string{"a"}}.newHarness()
	w.query.Start(0)
	w.query.HandleResult(1, 0, refused)
	w.query.HandleResult(2, 0, answer(0))
	w.query.HandleResult(2, 1, refused)
	actions := w.query.HandleResult(2, 2, refused)
	require.Equal(t, query.MayHaveRun, actions[0].Answer().RunState())
	require.Equal(t, 1, actions[0].Answer().LateResults())

	w = ruleCase{replicas: []string{"a"}}.newHarness()
	w.query.Start(0)
	actions = w.query.HandleResult(1000.5, 1, answer(1))
	last := actions[len(actions)-1].Answer()
	require.Equal(t, query.HasRun, last.RunState())
	require.Zero(t, last.Coverage().Covered())
}

// Guards against extra work that grows with the failures: the target is at
// most 1.1 sub-requests for each shard asked with every upstream failing. After
// VersionGone a query moves to another version; each fan-out that fails so has
// withdrawn one of the two versions from one of the two replicas, which bounds
// the fan-outs to four.
func TestRetryBudgetLimitsAmplification(t *testing.T) {
	for kind := upstream.VersionGone; kind <= upstream.Cancelled; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			var budget quota.Budget
			budget.Configure(0.1, 20)
			service := ruleCase{replicas: []string{"a", "b"}, versionCount: 2}.newHarness()
			sent, asked, retries := 0, 0, 0
			for range 200 {
				w := ruleCase{versionCount: 2}.newHarness()
				w.behaviour = func(*attempt) behaviour { return endsWith(kind) }
				w.query = query.New(query.NewRequest("id", "s", nil, 1000), query.Policy{}, query.Dependencies{
					Picker: w, Catalogue: &service.catalogue, RetryBudget: &budget,
				})
				w.run()
				require.Empty(t, w.violations)
				sent += w.answers[0].Sent()
				retries += w.answers[0].Retries()
				asked += w.answers[0].Coverage().Total()
			}
			if kind == upstream.VersionGone {
				require.LessOrEqual(t, sent-retries, 4*3)
				return
			}
			require.Equal(t, 600, asked)
			require.LessOrEqual(t, float64(sent), 1.1*float64(asked)+1, "one token is there at the start")
			require.Greater(t, sent, asked)
		})
	}
}
