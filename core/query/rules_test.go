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

// script lists the fates of each shard's sub-requests in order. Those that it
// does not name are answered after 5 ms.
type script map[snapshot.Shard][]fate

// tokens is a budget that earns nothing.
type tokens struct{ left float64 }

func (b *tokens) Earn(int) {}

func (b *tokens) Take(cost float64) bool {
	if b.left < cost {
		return false
	}
	b.left -= cost
	return true
}

func ends(kind upstream.Kind) fate { return fate{kind: kind, after: 5} }

var (
	slow   = fate{after: 100}
	silent = fate{silent: true, kind: upstream.Timeout}
)

const newest snapshot.Version = 9

// ruleCase is a query over three shards of version 9, each held by a and b,
// with p95 = 10 ms, p99 = 20 ms and so an attempt timeout of 60 ms.
type ruleCase struct {
	name         string
	script       script
	once         bool // not idempotent
	policy       query.Policy
	retries      float64 // tokens of the retry budget
	hedges       float64
	replicas     []string
	versions     int  // held ones, up to the newest; 0 for one
	poor         bool // older versions lack holders for two of the shards
	refusals     []error
	crashedElse  bool // the request is a suspect already
	canary       bool
	wantOutcome  query.Outcome
	wantRan      query.Ran
	wantCovered  int
	wantVersion  snapshot.Version
	wantSent     int
	wantHedges   int
	wantRetries  int
	wantRestarts int
	wantElapsed  clock.Millis
}

func (c ruleCase) world() *world {
	w := &world{deadline: 1000, maps: make(map[snapshot.Version]int), idempotent: !c.once, suspects: true}
	holds := []snapshot.Shard{0, 1, 2}
	var holdings []snapshot.Holding
	for v := newest; v > newest-snapshot.Version(max(c.versions, 1)); v-- {
		w.maps[v] = 3
		holdings = append(holdings, snapshot.NewHolding(v, 3, holds))
		if c.poor {
			holds = holds[:1]
		}
	}
	for _, replica := range c.replicas {
		w.catalogue.Report(replica, holdings)
	}
	sent := make(map[snapshot.Shard]int)
	w.fate = func(s *sub) fate {
		shard := s.action.Shard()
		sent[shard]++
		if fates := c.script[shard]; sent[shard] <= len(fates) {
			return fates[sent[shard]-1]
		}
		return ends(upstream.OK)
	}
	w.refuse = func() error {
		if len(c.refusals) == 0 {
			return nil
		}
		err := c.refusals[0]
		c.refusals = c.refusals[1:]
		return err
	}
	w.query = query.New(c.request(), c.policy, query.Resources{
		Picker: w, Catalogue: &w.catalogue, Latency: fixedLatency{hedge: 10, tail: 20},
		Hedges: &tokens{c.hedges}, Retries: &tokens{c.retries}, Quarantine: c.list(),
	})
	w.query.Explain()
	return w
}

func (c ruleCase) request() query.Request {
	request := query.NewRequest("id", "s", []byte("body"), 1000)
	if c.once {
		return request.NonIdempotent()
	}
	return request
}

func (c ruleCase) list() *quarantine.List {
	var list quarantine.List
	if c.crashedElse {
		list.RecordCrash(0, quarantine.FingerprintOf("s", []byte("body")), "z", 0)
	}
	if c.canary {
		for i, id := range []upstream.ID{"x", "y", "z"} {
			list.RecordCrash(0, quarantine.Fingerprint(i), id, 0)
		}
	}
	return &list
}

func TestRules(t *testing.T) {
	gone, lost := ends(upstream.VersionGone), ends(upstream.ConnectionLost)
	both, one := []string{"a", "b"}, []string{"a"}
	manyGone := slices.Repeat([]fate{gone}, 9)
	tailFirst := query.Policy{}.WithMode(query.TailFirst).WithWantedCoverage(0.6)
	cases := []ruleCase{
		{name: "all answer", wantRan: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 5},
		{name: "hedge wins over a straggler", hedges: 1, script: script{1: {slow}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 4, wantHedges: 1, wantElapsed: 15},
		{name: "no hedge without a token", script: script{1: {slow}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge when disabled", hedges: 1, script: script{1: {slow}}, policy: query.Policy{}.WithHedges(false),
			wantRan: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge for work that runs once", hedges: 1, once: true, script: script{1: {slow}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge without another replica", hedges: 1, replicas: one, script: script{1: {slow}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "no hedge for a suspect", hedges: 1, crashedElse: true, script: script{0: {slow}, 1: {slow}, 2: {slow}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "retry after a refusal", retries: 1, script: script{0: {ends(upstream.NotConnected)}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "no retry without a token", script: script{0: {ends(upstream.NotConnected)}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 5},
		{name: "shed costs two tokens", retries: 1, script: script{0: {ends(upstream.Shed)}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 5},
		{name: "shed with two tokens", retries: 2, script: script{0: {ends(upstream.Shed)}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "shed by the only replica is asked again after a pause", retries: 2, replicas: one, script: script{0: {ends(upstream.Shed)}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 12},
		{name: "retries for each shard are bounded", retries: 9, script: script{0: slices.Repeat([]fate{ends(upstream.Failed)}, 9)},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 5, wantRetries: 2, wantElapsed: 17},
		{name: "silent attempt is retried on a fresh connection", retries: 1, replicas: one, script: script{0: {silent}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 65},
		{name: "slow attempt is kept if no retry can replace it", replicas: one, script: script{0: {slow}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 100},
		{name: "work that runs once is resent if not run", once: true, retries: 1, script: script{0: {ends(upstream.WrongShard)}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "work that runs once is not resent otherwise", once: true, retries: 9, script: script{
			0: {lost}, 1: {ends(upstream.Timeout)}, 2: {ends(upstream.Failed)}},
			wantOutcome: query.BelowMinimum, wantRan: query.MayHaveRun, wantSent: 3, wantElapsed: 5},
		{name: "nothing ran", once: true, script: script{
			0: {ends(upstream.Shed)}, 1: {ends(upstream.NotConnected)}, 2: {ends(upstream.WrongShard)}},
			wantOutcome: query.BelowMinimum, wantSent: 3, wantElapsed: 5},
		{name: "other version and other shard cover nothing", script: script{0: {{after: 5, versionOff: -1}}, 1: {{after: 5, shardOff: 1}}},
			wantRan: query.HasRun, wantCovered: 1, wantSent: 3, wantElapsed: 5},
		{name: "version gone at one replica", retries: 1, versions: 2, script: script{0: {gone}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "version gone everywhere restarts on the other", retries: 1, versions: 2, script: script{0: {gone, gone}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 7, wantRetries: 1, wantRestarts: 1, wantVersion: 8, wantElapsed: 15},
		{name: "version gone everywhere without another is partial", retries: 1, script: script{0: {gone, gone}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "no restart once work that runs once may have run", once: true, retries: 1, versions: 2, script: script{0: {gone, gone}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "restart of work that runs once after nothing ran", once: true, versions: 2, script: script{0: {gone}, 1: {gone}, 2: {gone}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 6, wantRestarts: 1, wantVersion: 8, wantElapsed: 10},
		{name: "no restart on a version that covers less", retries: 1, versions: 2, poor: true, script: script{0: {gone, gone}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "no restart of a suspect", retries: 9, versions: 2, script: script{0: {gone, gone}, 1: {lost}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 5, wantRetries: 2, wantElapsed: 10},
		{name: "restarts are bounded", versions: 6, script: script{0: manyGone, 1: manyGone, 2: manyGone}, wantVersion: 6,
			wantOutcome: query.BelowMinimum, wantRan: query.MayHaveRun, wantSent: 12, wantRestarts: 3, wantElapsed: 20},
		{name: "restarts of work that runs once are bounded", once: true, versions: 6, wantVersion: 6,
			script:      script{0: manyGone, 1: manyGone, 2: manyGone},
			wantOutcome: query.BelowMinimum, wantSent: 12, wantRestarts: 3, wantElapsed: 20},
		{name: "every holder refuses the shard", retries: 9, policy: query.Policy{}.WithRetries(5),
			script:  script{0: {ends(upstream.WrongShard), ends(upstream.WrongShard)}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "one token pays for one hedge", hedges: 1, script: script{0: {slow}, 1: {slow}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 4, wantHedges: 1, wantElapsed: 100},
		{name: "second hedge after a straggling first one", hedges: 2, replicas: []string{"a", "b", "c"}, script: script{1: {slow, slow}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 5, wantHedges: 2, wantElapsed: 25},
		{name: "hedges of a shard are bounded", hedges: 9, replicas: []string{"a", "b", "c", "d"}, script: script{1: {slow, slow, slow}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 5, wantHedges: 2, wantElapsed: 120},
		{name: "silent half of a hedged pair takes no retry", hedges: 1, retries: 1,
			script:  script{0: {silent, {kind: upstream.Failed, after: 80}}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 5, wantHedges: 1, wantRetries: 1, wantElapsed: 75},
		{name: "saturated shard asks again", refusals: []error{upstream.ErrSaturated, upstream.ErrNoReplica},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 7},
		{name: "shard without a replica waits until the deadline", refusals: slices.Repeat([]error{upstream.ErrNoReplica}, 999),
			wantOutcome: query.BelowMinimum, wantElapsed: 1000},
		{name: "coverage first waits until the deadline", once: true, script: script{0: {silent}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 1000},
		{name: "tail first answers after the tail", policy: tailFirst, script: script{0: {slow}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 20},
		{name: "tail first waits for the wanted coverage", policy: tailFirst, script: script{0: {slow}, 1: {{after: 40}}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 40},
		{name: "below the minimum", policy: query.Policy{}.WithMinCoverage(0.9), script: script{0: {ends(upstream.Failed)}},
			wantOutcome: query.BelowMinimum, wantRan: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 5},
		{name: "suspect gets one retry", retries: 9, script: script{0: {lost}, 1: {{after: 8}}, 2: {{kind: upstream.Failed, after: 6}}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "second crash ends the query", retries: 9, script: script{0: {lost, lost}, 1: {slow}, 2: {slow}},
			wantOutcome: query.Quarantined, wantRan: query.MayHaveRun, wantSent: 4, wantRetries: 1, wantElapsed: 10},
		{name: "canary answers before the rest is sent", canary: true,
			wantRan: query.HasRun, wantCovered: 3, wantSent: 3, wantElapsed: 10},
		{name: "canary crashes at most two upstreams", canary: true, retries: 9, script: script{0: {lost, lost}},
			wantOutcome: query.Quarantined, wantRan: query.MayHaveRun, wantSent: 2, wantRetries: 1, wantElapsed: 10},
		{name: "canary that crashed one upstream is not fanned out", canary: true, retries: 9, script: script{0: {lost, ends(upstream.Failed)}},
			wantOutcome: query.BelowMinimum, wantRan: query.MayHaveRun, wantSent: 2, wantRetries: 1, wantElapsed: 10},
		{name: "canary that answered after a crash is fanned out", canary: true, retries: 9, script: script{0: {lost}},
			wantRan: query.HasRun, wantCovered: 3, wantSent: 4, wantRetries: 1, wantElapsed: 15},
		{name: "next canary after a silent one", canary: true, script: script{0: {ends(upstream.Timeout)}},
			wantRan: query.HasRun, wantCovered: 2, wantSent: 3, wantElapsed: 15},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if tc.replicas == nil {
				tc.replicas = both
			}
			if tc.wantVersion == 0 {
				tc.wantVersion = newest
			}
			w := tc.world()
			w.run()
			require.Empty(t, w.faults)
			a := w.answers[0]
			got := []any{a.Outcome(), a.Ran(), a.Version(), a.Coverage().Covered(), a.Sent(), a.Hedges(), a.Retries(), a.Restarts(), a.Elapsed()}
			want := []any{tc.wantOutcome, tc.wantRan, tc.wantVersion, tc.wantCovered, tc.wantSent, tc.wantHedges, tc.wantRetries, tc.wantRestarts, tc.wantElapsed}
			require.Equal(t, want, got, "%v", a.Steps())
		})
	}
}

// Guards against requests that are sent although they are known to crash
// upstreams, and against a refusal that does not say so.
func TestBlockedRequestIsNotSent(t *testing.T) {
	c := ruleCase{replicas: []string{"a"}}
	w := c.world()
	list := c.list()
	list.ReceiveEntry(0, quarantine.NewEntry(quarantine.FingerprintOf("s", []byte("body")), nil, 1000))
	w.query = query.New(c.request(), query.Policy{}, query.Resources{Picker: w, Catalogue: &w.catalogue, Quarantine: list})
	w.run()
	require.Empty(t, w.faults)
	require.Equal(t, query.Quarantined, w.answers[0].Outcome())
	require.Equal(t, query.NotRun, w.answers[0].Ran())
}

// Guards against hedges and retries of a request that other queries have shown
// to crash upstreams in the meantime. No shard has answered by then: a request
// that completes anywhere is not blamed.
func TestCrashesOfOtherQueries(t *testing.T) {
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
			c := ruleCase{replicas: []string{"a", "b"}, script: script{0: {slow}, 1: {slow}, 2: {slow}}}
			w := c.world()
			w.query = query.New(c.request(), query.Policy{}, query.Resources{
				Picker: w, Catalogue: &w.catalogue, Latency: fixedLatency{hedge: 10, tail: 20},
				Hedges: &tokens{1}, Quarantine: &list,
			})
			w.at(8, func() {
				for _, id := range tc.crashes {
					list.RecordCrash(8, f, id, 8)
				}
			})
			w.run()
			require.Empty(t, w.faults)
			require.Equal(t, tc.want, w.answers[0].Outcome())
			require.Equal(t, tc.elapsed, w.answers[0].Elapsed())
			require.Zero(t, w.answers[0].Hedges())
		})
	}
}

// Guards against a wrong not-run when an upstream answers after the adapter
// reported that nothing was sent, and against late sub-answers that count.
func TestLateEnds(t *testing.T) {
	refused := query.NewFailure(upstream.NewResult(upstream.NotConnected, 1, ""))
	answer := func(shard snapshot.Shard) query.SubAnswer {
		return query.NewSubAnswer(upstream.NewResult(upstream.OK, 1, ""), shard, newest, []byte("x"))
	}
	w := ruleCase{replicas: []string{"a"}}.world()
	w.query.Start(0)
	w.query.SubAnswer(1, 0, refused)
	w.query.SubAnswer(2, 0, answer(0))
	w.query.SubAnswer(2, 1, refused)
	actions := w.query.SubAnswer(2, 2, refused)
	require.Equal(t, query.MayHaveRun, actions[0].Answer().Ran())
	require.Equal(t, 1, actions[0].Answer().Late())

	w = ruleCase{replicas: []string{"a"}}.world()
	w.query.Start(0)
	actions = w.query.SubAnswer(1000.5, 1, answer(1))
	last := actions[len(actions)-1].Answer()
	require.Equal(t, query.HasRun, last.Ran())
	require.Zero(t, last.Coverage().Covered())
}

// Guards against extra work that grows with the failures: the target is at
// most 1.1 sub-requests for each shard asked with every upstream failing. After
// VersionGone a query moves to another version; each fan-out that fails so has
// withdrawn one of the two versions from one of the two replicas, which bounds
// the fan-outs to four.
func TestRetryAmplification(t *testing.T) {
	for kind := upstream.VersionGone; kind <= upstream.Cancelled; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			var budget quota.Budget
			budget.Configure(0.1, 20)
			service := ruleCase{replicas: []string{"a", "b"}, versions: 2}.world()
			sent, asked, retries := 0, 0, 0
			for range 200 {
				w := ruleCase{versions: 2}.world()
				w.fate = func(*sub) fate { return ends(kind) }
				w.query = query.New(query.NewRequest("id", "s", nil, 1000), query.Policy{}, query.Resources{
					Picker: w, Catalogue: &service.catalogue, Retries: &budget,
				})
				w.run()
				require.Empty(t, w.faults)
				sent += w.answers[0].Sent()
				retries += w.answers[0].Retries()
				asked += w.answers[0].Coverage().Asked()
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
