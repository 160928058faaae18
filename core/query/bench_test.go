package query_test

import (
	"testing"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/quota"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// stubPicker does no work, so that the benchmark measures the query alone.
type stubPicker struct{}

func (stubPicker) Pick(clock.Millis, upstream.PickRequest) (upstream.Choice, error) {
	return upstream.Choice{}, nil
}

func (stubPicker) Done(clock.Millis, upstream.Choice, upstream.Result) {}

// BenchmarkQuery runs queries over 270 shards, the design size. A Tick before the
// last three results makes 1 % of the shards due for a hedge.
func BenchmarkQuery(b *testing.B) {
	const shards = 270
	var catalogue snapshot.Catalogue
	for _, replica := range []string{"a", "b", "c"} {
		var all []snapshot.Shard
		for s := range snapshot.NewShardMap(1, shards).Shards() {
			all = append(all, s)
		}
		catalogue.SetHoldings(replica, []snapshot.Holding{snapshot.NewHolding(1, shards, all)})
	}
	var hedges, retries quota.Budget
	var list quarantine.List
	dependencies := query.Dependencies{
		Picker: stubPicker{}, Catalogue: &catalogue, Latency: fixedLatency{hedge: 10, tail: 20},
		HedgeBudget: &hedges, RetryBudget: &retries, Quarantine: &list,
	}
	request := query.NewRequest("id", "s", []byte(`{"text": "query"}`), 1000)
	upstreamResult := upstream.NewResult(upstream.OK, 5, "boot")
	data := []byte("data")
	b.ReportAllocs()
	for b.Loop() {
		q := query.New(request, query.Policy{}, dependencies)
		q.Start(0)
		respond := func(a query.AttemptID) {
			q.HandleResult(5, a, query.NewAttemptResult(upstreamResult, snapshot.Shard(a), 1, data))
		}
		for a := query.AttemptID(3); a < shards; a++ {
			respond(a)
		}
		q.Tick(10)
		for a := query.AttemptID(0); a < 3; a++ {
			respond(a)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/shards, "ns/sub-request")
}
