package query_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/quota"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// schedulesVariable is the environment variable with the number of random fault
// schedules to run. The default is 2,000.
const schedulesVariable = "LOVAGEGAP_SCHEDULES"

// fixedLatency is a Latency with one value for quantiles below 0.99 and one for the
// others. Zero means too few samples.
type fixedLatency struct{ hedge, tail clock.Millis }

func (l fixedLatency) Quantile(q float64) (clock.Millis, bool) {
	if q < 0.99 {
		return l.hedge, l.hedge > 0
	}
	return l.tail, l.tail > 0
}

var replicaNames = []string{"a", "b", "c", "d", "e", "f"}

// drawHarness draws a service, a request, a policy and a fault schedule.
func drawHarness(t *rapid.T) *harness {
	h := &harness{deadline: 1000, shardCounts: make(map[snapshot.Version]int)}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	newest := snapshot.Version(rapid.IntRange(1, 3).Draw(t, "versions"))
	for v := snapshot.Version(1); v <= newest; v++ {
		h.shardCounts[v] = 1 + random.IntN(6)
	}
	replicas := replicaNames[:min(random.IntN(20), len(replicaNames))]
	h.setHoldings(random, replicas, newest)
	h.holderOrder = func(holders []string) []string {
		order := append([]string(nil), holders...)
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		return order
	}
	faultPercent := random.IntN(101)
	crashing := rapid.IntRange(0, 7).Draw(t, "crashing") == 0
	h.behaviour = func(a *attempt) behaviour {
		b := drawBehaviour(random, faultPercent)
		if crashing {
			return behaviour{kind: upstream.ConnectionLost, after: b.after}
		}
		if a.action.Version() <= h.lastRetired {
			b.kind, b.silent = upstream.VersionGone, false
		}
		return b
	}
	h.nextPickError = func() error { return drawPickError(random, faultPercent) }
	h.query = drawQuery(t, h)
	drawEvents(t, h, random, replicas, newest)
	return h
}

// setHoldings gives each replica a random part of the shards of each version.
func (h *harness) setHoldings(random *rand.Rand, replicas []string, newest snapshot.Version) {
	for _, replica := range replicas {
		var holdings []snapshot.Holding
		for v := snapshot.Version(1); v <= newest; v++ {
			var held []snapshot.Shard
			for s := range h.shardCounts[v] {
				if random.IntN(3) > 0 {
					held = append(held, snapshot.Shard(s))
				}
			}
			holdings = append(holdings, snapshot.NewHolding(v, h.shardCounts[v], held))
		}
		h.catalogue.SetHoldings(replica, holdings)
	}
}

// drawBehaviour returns a faulty behaviour in faultPercent of the calls.
func drawBehaviour(random *rand.Rand, faultPercent int) behaviour {
	b := behaviour{after: 1 + clock.Millis(random.IntN(30))}
	if random.IntN(100) >= faultPercent {
		return b
	}
	switch random.IntN(8) {
	case 0:
		b.silent = true
	case 1:
		b.versionOffset = 1 - 2*random.IntN(2)
	case 2:
		b.shardOffset = 1
	case 3:
		b.empty = true
	case 4:
		b.after *= 50
	default:
		b.kind = upstream.Outcome(1 + random.IntN(int(upstream.Cancelled)))
	}
	if random.IntN(4) == 0 {
		b.duplicateAfter = 1 + clock.Millis(random.IntN(20))
	}
	return b
}

// drawPickError returns ErrNoReplica in 0.5 % of the calls. It returns ErrSaturated in
// at most a quarter of the others, in proportion to faultPercent.
func drawPickError(random *rand.Rand, faultPercent int) error {
	switch random.IntN(400) {
	case 0, 1:
		return upstream.ErrNoReplica
	}
	if random.IntN(400) < faultPercent {
		return upstream.ErrSaturated
	}
	return nil
}

// drawQuery draws the request, the policy and the dependencies of a query.
func drawQuery(t *rapid.T, h *harness) *query.Query {
	request := query.NewRequest("id", "tatra/live-results", []byte(`"q"`), h.deadline)
	h.idempotent = rapid.Bool().Draw(t, "idempotent")
	if !h.idempotent {
		request = request.NonIdempotent()
	}
	policy := query.Policy{}.WithMaxRetries(rapid.IntRange(0, 3).Draw(t, "retries"))
	if rapid.Bool().Draw(t, "tail-first") {
		policy = policy.WithMode(query.TailFirst).WithWantedCoverage(0.5)
	}
	var hedges, retries quota.Budget
	hedges.Configure(0.5, 10)
	retries.Configure(1, 10)
	dependencies := query.Dependencies{Picker: h, Catalogue: &h.catalogue, HedgeBudget: &hedges, RetryBudget: &retries}
	if rapid.Bool().Draw(t, "latency") {
		dependencies.Latency = fixedLatency{hedge: 15, tail: 29}
	}
	h.quarantineEnabled = rapid.Bool().Draw(t, "quarantine")
	if h.quarantineEnabled {
		dependencies.Quarantine = drawQuarantine(t)
	}
	q := query.New(request, policy, dependencies)
	q.EnableExplanation()
	return q
}

// drawQuarantine returns a quarantine list, which is in canary mode or empty.
func drawQuarantine(t *rapid.T) *quarantine.List {
	var list quarantine.List
	if rapid.Bool().Draw(t, "canary") {
		for i, replica := range replicaNames[:3] {
			list.RecordCrash(0, quarantine.Fingerprint(i), upstream.ID(replica), 0)
		}
	}
	return &list
}

// drawEvents schedules changes of the service, a cancellation and an early Tick
// while the query runs.
func drawEvents(t *rapid.T, h *harness, random *rand.Rand, replicas []string, newest snapshot.Version) {
	at := func(name string) clock.Millis { return clock.Millis(rapid.IntRange(1, 200).Draw(t, name)) }
	if rapid.Bool().Draw(t, "retire") {
		// The catalogue learns of it only from the results of attempts.
		h.scheduleEvent(clock.Millis(rapid.IntRange(0, 40).Draw(t, "retire at")), func() { h.lastRetired = newest })
	}
	if rapid.Bool().Draw(t, "repartition") {
		h.scheduleEvent(at("repartition at"), func() {
			h.shardCounts[newest+1] = 1 + random.IntN(5)
			for _, replica := range replicas {
				h.catalogue.SetHoldings(replica, []snapshot.Holding{
					snapshot.NewHolding(newest+1, h.shardCounts[newest+1], []snapshot.Shard{0, 1, 2, 3, 4}),
				})
			}
		})
	}
	if rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
		h.scheduleEvent(at("cancel at"), func() { h.perform(h.query.Cancel(h.now)) })
	}
	if rapid.Bool().Draw(t, "early tick") {
		h.scheduleEvent(at("tick at"), func() { h.perform(h.query.Tick(h.now)) })
	}
}

// Guards against answers that break an invariant under some order of faults: parts
// of one snapshot version, correct coverage and run state, at most one run of a
// request that is not idempotent, and one answer before the deadline.
func TestInvariantsUnderRandomFaultSchedules(t *testing.T) {
	checks := "2000"
	if n := os.Getenv(schedulesVariable); n != "" {
		checks = n
	}
	for name, value := range map[string]string{"checks": checks, "seed": "1", "nofailfile": "true"} {
		require.NoError(t, flag.Set("rapid."+name, value))
	}
	var counts occurrences
	rapid.Check(t, func(t *rapid.T) {
		h := drawHarness(t)
		h.run()
		counts.add(h.answers)
		if len(h.violations) > 0 {
			t.Fatal(strings.Join(h.violations, "\n"))
		}
	})
	t.Logf("occurrences: %v", counts)
	for name, n := range counts {
		require.NotZero(t, n, name)
	}
	require.Len(t, counts, 16)
}

// occurrences counts by name what happened in the queries of many schedules, to show
// that the schedules reach it.
type occurrences map[string]int

func (o *occurrences) add(answers []*query.Answer) {
	if *o == nil {
		*o = make(occurrences)
	}
	for _, a := range answers {
		(*o)["hedges"] += a.Hedges()
		(*o)["retries"] += a.Retries()
		(*o)["restarts"] += a.Restarts()
		(*o)["late"] += a.LateResults()
		(*o)["cancelled"] += a.Cancelled()
		(*o)["outcome "+outcomeNames[a.Outcome()]]++
		(*o)[a.RunState().String()]++
		if a.Coverage().Complete() {
			(*o)["complete"]++
		}
		if a.Restarts() > 0 && a.Coverage().Complete() {
			(*o)["complete after a restart"]++
		}
		if a.Restarts() > 0 && a.Version() != a.Steps()[len(a.Steps())-1].Version() {
			(*o)["answer of an earlier version"]++
		}
	}
}

var outcomeNames = []string{"answered", "below minimum", "no snapshot", "quarantined", "abandoned"}

// replaceResult returns a corruption that reports results of kind as another kind.
func replaceResult(
	kind upstream.Outcome, reported upstream.Outcome,
) func(*attempt, query.AttemptResult) query.AttemptResult {
	return func(a *attempt, result query.AttemptResult) query.AttemptResult {
		if a.behaviour.kind != kind {
			return result
		}
		return query.NewAttemptFailure(upstream.NewResult(reported, 1, ""))
	}
}

// Guards against invariant checks that never fail: each corruption must be reported
// by the check of the named rule in one of 1,000 schedules.
func TestInvariantChecksDetectCorruption(t *testing.T) {
	ok := upstream.NewResult(upstream.OK, 1, "")
	cases := []struct {
		name, rule string
		corruption corruption
	}{
		{"response of another version is accepted", "snapshot", corruption{result: func(
			a *attempt, result query.AttemptResult,
		) query.AttemptResult {
			if a.behaviour.versionOffset == 0 {
				return result
			}
			return query.NewAttemptResult(ok, a.answeredShard, a.action.Version(), []byte("9/0"))
		}}},
		{"response of another shard is accepted", "shard", corruption{result: func(
			a *attempt, result query.AttemptResult,
		) query.AttemptResult {
			if a.behaviour.shardOffset == 0 {
				return result
			}
			return query.NewAttemptResult(ok, a.action.Shard(), a.answeredVersion, []byte("1/9"))
		}}},
		{"empty response is accepted", "coverage", corruption{result: func(
			a *attempt, result query.AttemptResult,
		) query.AttemptResult {
			if !a.behaviour.empty {
				return result
			}
			return query.NewAttemptResult(ok, a.answeredShard, a.answeredVersion, []byte("x"))
		}}},
		{"lost connection counts as not run", "once",
			corruption{result: replaceResult(upstream.ConnectionLost, upstream.NotConnected)}},
		{"timeout counts as not run", "ran",
			corruption{result: replaceResult(upstream.Timeout, upstream.NotConnected)}},
		{"refusal counts as run", "ran",
			corruption{result: replaceResult(upstream.Shed, upstream.Failed)}},
		{"crash is reported as a failure", "suspect",
			corruption{result: replaceResult(upstream.ConnectionLost, upstream.Failed)}},
		{"answer is returned twice", "finish", corruption{actions: func(actions []query.Action) []query.Action {
			if n := len(actions); n > 0 && actions[n-1].Kind() == query.Finish {
				return append(actions, actions[n-1])
			}
			return actions
		}}},
		{"slower attempt of a hedged pair is not aborted", "actions", corruption{actions: func(actions []query.Action) []query.Action {
			return slices.DeleteFunc(actions, func(a query.Action) bool { return a.Kind() == query.Abort })
		}}},
		{"timer is lost", "finish", corruption{actions: func(actions []query.Action) []query.Action {
			return slices.DeleteFunc(actions, func(a query.Action) bool { return a.Kind() == query.Wake })
		}}},
		{"timer fires late", "deadline", corruption{timerDelay: 5}},
		{"result is not passed to the picker", "done", corruption{skipDone: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			schedule := rapid.Custom(func(t *rapid.T) bool {
				h := drawHarness(t)
				h.corruption = tc.corruption
				h.run()
				for _, violation := range h.violations {
					if strings.HasPrefix(violation, tc.rule+": ") {
						return true
					}
				}
				return false
			})
			detected := false
			for seed := 0; seed < 1000 && !detected; seed++ {
				detected = schedule.Example(seed)
			}
			require.True(t, detected)
		})
	}
}
