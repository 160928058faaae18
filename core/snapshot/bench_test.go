package snapshot_test

import (
	"fmt"
	"testing"

	"github.com/lovagegap/lovagegap/core/snapshot"
)

// BenchmarkWithdraw withdraws a version from one replica and restores it, in a service
// of the design size: 270 shards with 3 replicas each. When a version is retired,
// this happens for every replica within seconds, on the path of queries.
func BenchmarkWithdraw(b *testing.B) {
	const shards = 270
	var c snapshot.Catalogue
	setHoldings := func(replica int) {
		shard := snapshot.Shard(replica % shards)
		c.SetHoldings(fmt.Sprint(replica), []snapshot.Holding{holding(1, shards, shard), holding(2, shards, shard)})
	}
	for replica := range 3 * shards {
		setHoldings(replica)
	}
	for b.Loop() {
		c.Withdraw("7", 1)
		setHoldings(7)
	}
}
