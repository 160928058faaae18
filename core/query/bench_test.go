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

// freePicker costs nothing, so that the benchmark measures the query alone.
type freePicker struct{}

func (freePicker) Pick(clock.Millis, upstream.PickRequest) (upstream.Choice, error) {
	return upstream.Choice{}, nil
}

func (freePicker) Done(clock.Millis, upstream.Choice, upstream.Result) {}

// BenchmarkQuery runs queries over 270 shards, the design size, in which 1 %
// of the sub-requests are hedged.
func BenchmarkQuery(b *testing.B) {
	const shards = 270
	var catalogue snapshot.Catalogue
	for _, replica := range []string{"a", "b", "c"} {
		var all []snapshot.Shard
		for s := range snapshot.NewMap(1, shards).All() {
			all = append(all, s)
		}
		catalogue.Report(replica, []snapshot.Holding{snapshot.NewHolding(1, shards, all)})
	}
	var hedges, retries quota.Budget
	var list quarantine.List
	resources := query.Resources{
		Picker: freePicker{}, Catalogue: &catalogue, Latency: fixedLatency{hedge: 10, tail: 20},
		Hedges: &hedges, Retries: &retries, Quarantine: &list,
	}
	request := query.NewRequest("id", "s", []byte(`{"text": "query"}`), 1000)
	result := upstream.NewResult(upstream.OK, 5, "boot")
	data := []byte("data")
	b.ReportAllocs()
	for b.Loop() {
		q := query.New(request, query.Policy{}, resources)
		q.Start(0)
		answer := func(a query.Attempt) {
			q.SubAnswer(5, a, query.NewSubAnswer(result, snapshot.Shard(a), 1, data))
		}
		for a := query.Attempt(3); a < shards; a++ {
			answer(a)
		}
		q.Tick(10)
		for a := query.Attempt(0); a < 3; a++ {
			answer(a)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/shards, "ns/sub-request")
}
