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

// schedulesVariable names the environment variable that sets the number of
// random fault schedules. Without it a fixed 2,000 run.
const schedulesVariable = "LOVAGEGAP_SCHEDULES"

// fixedLatency is a Latency with one value for each quantile in use.
type fixedLatency struct{ hedge, tail clock.Millis }

func (l fixedLatency) Quantile(q float64) (clock.Millis, bool) {
	if q < 0.99 {
		return l.hedge, l.hedge > 0
	}
	return l.tail, l.tail > 0
}

var replicaNames = []string{"a", "b", "c", "d", "e", "f"}

// drawWorld draws a service, a request and a policy.
func drawWorld(t *rapid.T) *world {
	w := &world{deadline: 1000, maps: make(map[snapshot.Version]int)}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	newest := snapshot.Version(rapid.IntRange(1, 3).Draw(t, "versions"))
	for v := snapshot.Version(1); v <= newest; v++ {
		w.maps[v] = 1 + random.IntN(6)
	}
	replicas := replicaNames[:min(random.IntN(20), len(replicaNames))]
	w.reportAll(random, replicas, newest)
	w.order = func(holders []string) []string {
		order := append([]string(nil), holders...)
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		return order
	}
	trouble := random.IntN(101)
	killer := rapid.IntRange(0, 7).Draw(t, "killer") == 0
	w.fate = func(s *sub) fate {
		f := drawFate(random, trouble)
		if killer {
			return fate{kind: upstream.ConnectionLost, after: f.after}
		}
		if s.action.Version() <= w.retired {
			f.kind, f.silent = upstream.VersionGone, false
		}
		return f
	}
	w.refuse = func() error { return drawRefusal(random, trouble) }
	w.query = drawQuery(t, w)
	drawIncidents(t, w, random, replicas, newest)
	return w
}

func (w *world) reportAll(random *rand.Rand, replicas []string, newest snapshot.Version) {
	for _, replica := range replicas {
		var holdings []snapshot.Holding
		for v := snapshot.Version(1); v <= newest; v++ {
			var holds []snapshot.Shard
			for s := range w.maps[v] {
				if random.IntN(3) > 0 {
					holds = append(holds, snapshot.Shard(s))
				}
			}
			holdings = append(holdings, snapshot.NewHolding(v, w.maps[v], holds))
		}
		w.catalogue.Report(replica, holdings)
	}
}

func drawFate(random *rand.Rand, trouble int) fate {
	f := fate{after: 1 + clock.Millis(random.IntN(30))}
	if random.IntN(100) >= trouble {
		return f
	}
	switch random.IntN(8) {
	case 0:
		f.silent = true
	case 1:
		f.versionOff = 1 - 2*random.IntN(2)
	case 2:
		f.shardOff = 1
	case 3:
		f.empty = true
	case 4:
		f.after *= 50
	default:
		f.kind = upstream.Kind(1 + random.IntN(int(upstream.Cancelled)))
	}
	if random.IntN(4) == 0 {
		f.again = 1 + clock.Millis(random.IntN(20))
	}
	return f
}

func drawRefusal(random *rand.Rand, trouble int) error {
	switch random.IntN(400) {
	case 0, 1:
		return upstream.ErrNoReplica
	}
	if random.IntN(400) < trouble {
		return upstream.ErrSaturated
	}
	return nil
}

func drawQuery(t *rapid.T, w *world) *query.Query {
	request := query.NewRequest("id", "tatra/live-results", []byte(`"q"`), w.deadline)
	w.idempotent = rapid.Bool().Draw(t, "idempotent")
	if !w.idempotent {
		request = request.NonIdempotent()
	}
	policy := query.Policy{}.WithRetries(rapid.IntRange(0, 3).Draw(t, "retries"))
	if rapid.Bool().Draw(t, "tail-first") {
		policy = policy.WithMode(query.TailFirst).WithWantedCoverage(0.5)
	}
	var hedges, retries quota.Budget
	hedges.Configure(0.5, 10)
	retries.Configure(1, 10)
	resources := query.Resources{Picker: w, Catalogue: &w.catalogue, Hedges: &hedges, Retries: &retries}
	if rapid.Bool().Draw(t, "latency") {
		resources.Latency = fixedLatency{hedge: 15, tail: 29}
	}
	w.suspects = rapid.Bool().Draw(t, "quarantine")
	if w.suspects {
		resources.Quarantine = drawList(t)
	}
	q := query.New(request, policy, resources)
	q.Explain()
	return q
}

// drawList returns a quarantine list, some in canary mode.
func drawList(t *rapid.T) *quarantine.List {
	var list quarantine.List
	if rapid.Bool().Draw(t, "canary") {
		for i, replica := range replicaNames[:3] {
			list.RecordCrash(0, quarantine.Fingerprint(i), upstream.ID(replica), 0)
		}
	}
	return &list
}

// drawIncidents plans what happens to the service while the query runs.
func drawIncidents(t *rapid.T, w *world, random *rand.Rand, replicas []string, newest snapshot.Version) {
	at := func(name string) clock.Millis { return clock.Millis(rapid.IntRange(1, 200).Draw(t, name)) }
	if rapid.Bool().Draw(t, "retire") {
		// Replicas drop the version before the catalogue hears of it.
		w.at(clock.Millis(rapid.IntRange(0, 40).Draw(t, "retire at")), func() { w.retired = newest })
	}
	if rapid.Bool().Draw(t, "repartition") {
		w.at(at("repartition at"), func() {
			w.maps[newest+1] = 1 + random.IntN(5)
			for _, replica := range replicas {
				w.catalogue.Report(replica, []snapshot.Holding{
					snapshot.NewHolding(newest+1, w.maps[newest+1], []snapshot.Shard{0, 1, 2, 3, 4}),
				})
			}
		})
	}
	if rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
		w.at(at("cancel at"), func() { w.perform(w.query.Cancel(w.now)) })
	}
	if rapid.Bool().Draw(t, "early tick") {
		w.at(at("tick at"), func() { w.perform(w.query.Tick(w.now)) })
	}
}

// Guards the invariants of the query tier (one snapshot, true coverage, one
// run, true refusals, one answer in time) against any order of faults.
func TestRandomSchedules(t *testing.T) {
	checks := "2000"
	if n := os.Getenv(schedulesVariable); n != "" {
		checks = n
	}
	for name, value := range map[string]string{"checks": checks, "seed": "1", "nofailfile": "true"} {
		require.NoError(t, flag.Set("rapid."+name, value))
	}
	var reached tally
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.run()
		reached.add(w.answers)
		if len(w.faults) > 0 {
			t.Fatal(strings.Join(w.faults, "\n"))
		}
	})
	t.Logf("reached: %v", reached)
	for what, n := range reached {
		require.NotZero(t, n, what)
	}
	require.Len(t, reached, 16)
}

// tally counts what the answers of many schedules went through.
type tally map[string]int

func (c *tally) add(answers []*query.Answer) {
	if *c == nil {
		*c = make(tally)
	}
	for _, a := range answers {
		(*c)["hedges"] += a.Hedges()
		(*c)["retries"] += a.Retries()
		(*c)["restarts"] += a.Restarts()
		(*c)["late"] += a.Late()
		(*c)["cancelled"] += a.Cancelled()
		(*c)["outcome "+outcomeNames[a.Outcome()]]++
		(*c)[a.Ran().String()]++
		if a.Coverage().Complete() {
			(*c)["complete"]++
		}
		if a.Restarts() > 0 && a.Coverage().Complete() {
			(*c)["complete after a restart"]++
		}
		if a.Restarts() > 0 && a.Version() != a.Steps()[len(a.Steps())-1].Version() {
			(*c)["answer of an earlier version"]++
		}
	}
}

var outcomeNames = []string{"answered", "below minimum", "no snapshot", "quarantined", "abandoned"}

func falsify(kind upstream.Kind, as upstream.Kind) func(*sub, query.SubAnswer) query.SubAnswer {
	return func(s *sub, a query.SubAnswer) query.SubAnswer {
		if s.fate.kind != kind {
			return a
		}
		return query.NewFailure(upstream.NewResult(as, 1, ""))
	}
}

// Guards against checkers that cannot fail: each broken decision must be
// reported, by the checker that is named.
func TestCheckersSeeBrokenDecisions(t *testing.T) {
	ok := upstream.NewResult(upstream.OK, 1, "")
	cases := []struct {
		name, rule string
		tamper     tamper
	}{
		{"version check passes anything", "snapshot", tamper{answer: func(s *sub, a query.SubAnswer) query.SubAnswer {
			if s.fate.versionOff == 0 {
				return a
			}
			return query.NewSubAnswer(ok, s.upstreamS, s.action.Version(), []byte("9/0"))
		}}},
		{"shard check passes anything", "shard", tamper{answer: func(s *sub, a query.SubAnswer) query.SubAnswer {
			if s.fate.shardOff == 0 {
				return a
			}
			return query.NewSubAnswer(ok, s.action.Shard(), s.upstreamV, []byte("1/9"))
		}}},
		{"empty sub-answer covers", "coverage", tamper{answer: func(s *sub, a query.SubAnswer) query.SubAnswer {
			if !s.fate.empty {
				return a
			}
			return query.NewSubAnswer(ok, s.upstreamS, s.upstreamV, []byte("x"))
		}}},
		{"lost connection counts as not run", "once", tamper{answer: falsify(upstream.ConnectionLost, upstream.NotConnected)}},
		{"timeout counts as not run", "ran", tamper{answer: falsify(upstream.Timeout, upstream.NotConnected)}},
		{"refusal counts as run", "ran", tamper{answer: falsify(upstream.Shed, upstream.Failed)}},
		{"crash is not seen", "suspect", tamper{answer: falsify(upstream.ConnectionLost, upstream.Failed)}},
		{"answer is given twice", "finish", tamper{actions: func(actions []query.Action) []query.Action {
			if n := len(actions); n > 0 && actions[n-1].Kind() == query.Finish {
				return append(actions, actions[n-1])
			}
			return actions
		}}},
		{"loser is not cancelled", "actions", tamper{actions: func(actions []query.Action) []query.Action {
			return slices.DeleteFunc(actions, func(a query.Action) bool { return a.Kind() == query.Abort })
		}}},
		{"timer is lost", "finish", tamper{actions: func(actions []query.Action) []query.Action {
			return slices.DeleteFunc(actions, func(a query.Action) bool { return a.Kind() == query.Wake })
		}}},
		{"timer comes late", "deadline", tamper{slow: 5}},
		{"result is withheld from the pool", "done", tamper{forget: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			schedule := rapid.Custom(func(t *rapid.T) bool {
				w := drawWorld(t)
				w.tamper = tc.tamper
				w.run()
				for _, fault := range w.faults {
					if strings.HasPrefix(fault, tc.rule+": ") {
						return true
					}
				}
				return false
			})
			seen := false
			for seed := 0; seed < 1000 && !seen; seed++ {
				seen = schedule.Example(seed)
			}
			require.True(t, seen)
		})
	}
}
