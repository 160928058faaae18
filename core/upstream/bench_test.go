package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

func address(i int) upstream.ID {
	return upstream.ID(fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255))
}

// BenchmarkPickDone measures a Pick, Done and Quantile with 270 shards of three holders.
func BenchmarkPickDone(b *testing.B) {
	const shards = 270
	pool, holders := newSeededPool(3 * shards)
	pool.SetMembers(0, "d1", []upstream.Member{
		upstream.NewMember("d1", "r", "near", upstream.Alive), upstream.NewMember("d2", "r", "far", upstream.Alive),
	})
	requests := make([]upstream.PickRequest, shards)
	for s := range requests {
		requests[s] = upstream.NewPickRequest(0, 1, holders[3*s:3*s+3])
	}
	b.ReportAllocs()
	now := clock.Millis(0)
	for i := 0; b.Loop(); i++ {
		now += 0.02
		choice, err := pool.Pick(now, requests[i%shards])
		if err != nil {
			b.Fatal(err)
		}
		pool.Done(now+5, choice, upstream.NewResult(upstream.OK, 5, "b1"))
		pool.Quantile(0.95)
	}
}

// BenchmarkSetMembers measures the change of one member with 2,100 members and 11,000
// replicas, the target size.
func BenchmarkSetMembers(b *testing.B) {
	pool, _ := newSeededPool(11000)
	members := make([]upstream.Member, 2100)
	for i := range members {
		members[i] = upstream.NewMember(string(address(i)), fmt.Sprint(i%8), "near", upstream.Alive)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		pool.SetMembers(0, string(address(0)), members[:2100-i%2])
	}
}

// selectionLatencies sends requests one after another to the replicas that pick selects,
// and returns the sorted latencies. Of the 300 replicas, slow ones answer 50 times
// slower. Pick returns the replica and a function that takes the latency.
func selectionLatencies(
	slow int, pick func(now clock.Millis, shard int, holders []string) (upstream.ID, func(clock.Millis)),
) []clock.Millis {
	const shards, replicas, requests = 100, 3, 200000
	random := rand.New(rand.NewPCG(5, 6))
	latencies := make([]clock.Millis, 0, requests)
	for i := range requests {
		shard := i % shards
		holders := make([]string, 0, replicas)
		for r := range replicas {
			holders = append(holders, string(address(shard*replicas+r)))
		}
		id, done := pick(clock.Millis(i)/10, shard, holders)
		latency := clock.Millis(4 + 2*random.Float64())
		for s := range slow {
			if id == address(s*100) {
				latency *= 50
			}
		}
		done(latency)
		latencies = append(latencies, latency)
	}
	slices.Sort(latencies)
	return latencies
}

// Guards against a selection that does not avoid slow replicas. With 1 % of the replicas
// 50 times slower and without hedging, p99 must stay at most 1.5 times the highest normal
// latency, and p99.9 must be below that of round robin.
func TestSlowReplicasDoNotRaiseP99(t *testing.T) {
	pool, _ := newSeededPool(300)
	pooled := selectionLatencies(3, func(now clock.Millis, _ int, holders []string) (upstream.ID, func(clock.Millis)) {
		choice, err := pool.Pick(now, upstream.NewPickRequest(0, 1, holders))
		require.NoError(t, err)
		return choice.Upstream(), func(latency clock.Millis) {
			pool.Done(now, choice, upstream.NewResult(upstream.OK, latency, "b1"))
		}
	})
	turn := 0
	robin := selectionLatencies(3, func(_ clock.Millis, _ int, holders []string) (upstream.ID, func(clock.Millis)) {
		turn++
		return upstream.ID(holders[turn/100%3]), func(clock.Millis) {}
	})
	p99 := func(l []clock.Millis) clock.Millis { return l[len(l)*99/100] }
	p999 := func(l []clock.Millis) clock.Millis { return l[len(l)*999/1000] }
	t.Logf("power of two choices p99 %.1f p99.9 %.1f; round robin p99 %.1f p99.9 %.1f",
		p99(pooled), p999(pooled), p99(robin), p999(robin))
	require.LessOrEqual(t, p99(pooled), 1.5*6*clock.Millisecond)
	require.Greater(t, p999(robin), p999(pooled))
}
