package query_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/quota"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// eventQueue is a heap of events ordered by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// latencySample is a Latency of values in ascending order.
type latencySample []clock.Millis

func (s latencySample) Quantile(q float64) (clock.Millis, bool) {
	return s[int(q*float64(len(s)-1))], true
}

// loadGenerator runs overlapping queries that share the dependencies of a service.
type loadGenerator struct {
	events       eventQueue
	dependencies query.Dependencies
	drawLatency  func() clock.Millis // latency of an attempt
	elapsed      latencySample       // of the queries
	sent, shards int                 // attempts and shards of all queries
}

// newLoadGenerator returns a generator for a service whose attempts take 5 ms at the
// median and 11 ms at the p99. A fraction of them, the stragglers, takes 50 times as
// long.
func newLoadGenerator(shards int, stragglers float64) *loadGenerator {
	random := rand.New(rand.NewPCG(1, 0))
	g := &loadGenerator{drawLatency: func() clock.Millis {
		latency := 5 * math.Exp(0.35*random.NormFloat64())
		if random.Float64() < stragglers {
			latency *= 50
		}
		return clock.Millis(latency)
	}}
	var samples latencySample
	for range 20000 {
		samples = append(samples, g.drawLatency())
	}
	slices.Sort(samples)
	var catalogue snapshot.Catalogue
	for _, replica := range []string{"a", "b", "c"} {
		all := slices.Collect(snapshot.NewShardMap(1, shards).Shards())
		catalogue.SetHoldings(replica, []snapshot.Holding{snapshot.NewHolding(1, shards, all)})
	}
	var hedges, retries quota.Budget
	hedges.Configure(0.04, 20)
	retries.Configure(0.1, 20)
	g.dependencies = query.Dependencies{
		Picker: stubPicker{}, Catalogue: &catalogue, Latency: samples, HedgeBudget: &hedges, RetryBudget: &retries,
	}
	return g
}

func (g *loadGenerator) run(queries, shards int) {
	for i := range queries {
		start := 10 * clock.Millis(i)
		q := query.New(query.NewRequest("id", "s", nil, start+1000), query.Policy{}, g.dependencies)
		heap.Push(&g.events, event{at: start, run: func() { g.perform(start, q, q.Start(start)) }})
	}
	g.shards = queries * shards
	for len(g.events) > 0 {
		heap.Pop(&g.events).(event).run()
	}
	slices.Sort(g.elapsed)
}

func (g *loadGenerator) perform(now clock.Millis, q *query.Query, actions []query.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case query.Send:
			at := now + g.drawLatency()
			result := query.NewAttemptResult(
				upstream.NewResult(upstream.OK, at-now, ""), a.Shard(), a.Version(), []byte("x"),
			)
			heap.Push(&g.events, event{at: at, run: func() { g.perform(at, q, q.HandleResult(at, a.Attempt(), result)) }})
		case query.Wake:
			heap.Push(&g.events, event{at: a.At(), run: func() { g.perform(a.At(), q, q.Tick(a.At())) }})
		case query.Finish:
			g.elapsed = append(g.elapsed, a.Answer().Elapsed())
			g.sent += a.Answer().Sent()
		}
	}
}

// Guards against hedging that is too rare or too expensive: with 1 % stragglers the
// p99 of the queries is at most 1.5 times the p99 without stragglers, for at most 5 %
// more attempts than shards.
func TestStragglers(t *testing.T) {
	for _, shards := range []int{5, 25, 270} {
		queries := 3000
		if shards > 100 {
			queries = 1500 // keeps the test within two seconds
		}
		baseline, stragglers := newLoadGenerator(shards, 0), newLoadGenerator(shards, 0.01)
		baseline.run(queries, shards)
		stragglers.run(queries, shards)
		before, _ := baseline.elapsed.Quantile(0.99)
		after, _ := stragglers.elapsed.Quantile(0.99)
		extra := float64(stragglers.sent)/float64(stragglers.shards) - 1
		t.Logf("%d shards: p99 %.1f ms without stragglers, %.1f ms with, extra attempts %.3f", shards, before, after, extra)
		require.LessOrEqual(t, float64(after), 1.5*float64(before))
		require.LessOrEqual(t, extra, 0.05)
	}
}
