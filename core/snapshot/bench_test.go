package snapshot_test

import (
	"fmt"
	"testing"

	"github.com/lovagegap/lovagegap/core/snapshot"
)

// BenchmarkWithdraw has one replica of a service of the design size, 270
// shards on 3 replicas each, lose a version and get it back. All replicas do
// so within seconds when a version is retired, in the path of queries.
func BenchmarkWithdraw(b *testing.B) {
	const shards = 270
	var c snapshot.Catalogue
	report := func(replica int) {
		shard := snapshot.Shard(replica % shards)
		c.SetHoldings(fmt.Sprint(replica), []snapshot.Holding{holding(1, shards, shard), holding(2, shards, shard)})
	}
	for replica := range 3 * shards {
		report(replica)
	}
	for b.Loop() {
		c.Withdraw("7", 1)
		report(7)
	}
}
