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

// eventQueue is a heap of events in order of time.
type eventQueue []event

func (p eventQueue) Len() int           { return len(p) }
func (p eventQueue) Less(i, j int) bool { return p[i].at < p[j].at }
func (p eventQueue) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *eventQueue) Push(x any)        { *p = append(*p, x.(event)) }
func (p *eventQueue) Pop() any {
	last := len(*p) - 1
	e := (*p)[last]
	*p = (*p)[:last]
	return e
}

// latencySample is a Latency of sorted measurements.
type latencySample []clock.Millis

func (s latencySample) Quantile(q float64) (clock.Millis, bool) {
	return s[int(q*float64(len(s)-1))], true
}

// loadGenerator runs overlapping queries that share their budgets.
type loadGenerator struct {
	events            eventQueue
	resources         query.Dependencies
	drawLatency       func() clock.Millis // latency of a sub-request
	elapsed           latencySample
	sent, shardsAsked int
}

// newLoadGenerator returns a load on a service whose sub-requests take 5 ms at the
// median and 11 ms at the p99, and 50 times as long for stragglers.
func newLoadGenerator(shards int, stragglers float64) *loadGenerator {
	random := rand.New(rand.NewPCG(1, 0))
	l := &loadGenerator{drawLatency: func() clock.Millis {
		latency := 5 * math.Exp(0.35*random.NormFloat64())
		if random.Float64() < stragglers {
			latency *= 50
		}
		return clock.Millis(latency)
	}}
	var seen latencySample
	for range 20000 {
		seen = append(seen, l.drawLatency())
	}
	slices.Sort(seen)
	var catalogue snapshot.Catalogue
	for _, replica := range []string{"a", "b", "c"} {
		all := slices.Collect(snapshot.NewShardMap(1, shards).Shards())
		catalogue.SetHoldings(replica, []snapshot.Holding{snapshot.NewHolding(1, shards, all)})
	}
	var hedges, retries quota.Budget
	hedges.Configure(0.04, 20)
	retries.Configure(0.1, 20)
	l.resources = query.Dependencies{Picker: stubPicker{}, Catalogue: &catalogue, Latency: seen, HedgeBudget: &hedges, RetryBudget: &retries}
	return l
}

func (l *loadGenerator) run(queries, shards int) {
	for i := range queries {
		start := 10 * clock.Millis(i)
		q := query.New(query.NewRequest("id", "s", nil, start+1000), query.Policy{}, l.resources)
		heap.Push(&l.events, event{at: start, run: func() { l.perform(start, q, q.Start(start)) }})
	}
	l.shardsAsked = queries * shards
	for len(l.events) > 0 {
		heap.Pop(&l.events).(event).run()
	}
	slices.Sort(l.elapsed)
}

func (l *loadGenerator) perform(now clock.Millis, q *query.Query, actions []query.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case query.Send:
			at := now + l.drawLatency()
			answer := query.NewAttemptResult(upstream.NewResult(upstream.OK, at-now, ""), a.Shard(), a.Version(), []byte("x"))
			heap.Push(&l.events, event{at: at, run: func() { l.perform(at, q, q.HandleResult(at, a.Attempt(), answer)) }})
		case query.Wake:
			heap.Push(&l.events, event{at: a.At(), run: func() { l.perform(a.At(), q, q.Tick(a.At())) }})
		case query.Finish:
			l.elapsed = append(l.elapsed, a.Answer().Elapsed())
			l.sent += a.Answer().Sent()
		}
	}
}

// Guards the target for stragglers: with 1 % of them the p99 stays within 1.5
// times the p99 without, for at most 5 % extra sub-requests.
func TestStragglers(t *testing.T) {
	for _, shards := range []int{5, 25, 270} {
		queries := 3000
		if shards > 100 {
			queries = 1500 // keeps the test within two seconds
		}
		quiet, slow := newLoadGenerator(shards, 0), newLoadGenerator(shards, 0.01)
		quiet.run(queries, shards)
		slow.run(queries, shards)
		before, _ := quiet.elapsed.Quantile(0.99)
		after, _ := slow.elapsed.Quantile(0.99)
		extra := float64(slow.sent)/float64(slow.shardsAsked) - 1
		t.Logf("%d shards: p99 %.1f ms without stragglers, %.1f ms with, extra load %.3f", shards, before, after, extra)
		require.LessOrEqual(t, float64(after), 1.5*float64(before))
		require.LessOrEqual(t, extra, 0.05)
	}
}
