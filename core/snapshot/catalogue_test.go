package snapshot_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/snapshot"
)

func holding(version snapshot.Version, shards int, holds ...snapshot.Shard) snapshot.Holding {
	return snapshot.NewHolding(version, shards, holds)
}

func TestChoose(t *testing.T) {
	cases := []struct {
		name    string
		reports map[string][]snapshot.Holding
		exclude []snapshot.Version
		want    snapshot.Version
		shards  int
	}{
		{name: "newest complete version", want: 2, shards: 2, reports: map[string][]snapshot.Holding{
			"a": {holding(1, 2, 0), holding(2, 2, 0)},
			"b": {holding(1, 2, 1), holding(2, 2, 1)},
		}},
		{name: "older version while the newer one is incomplete", want: 1, shards: 2, reports: map[string][]snapshot.Holding{
			"a": {holding(1, 2, 0), holding(2, 4, 0, 1)},
			"b": {holding(1, 2, 1)},
		}},
		{name: "best covered version when none is complete", want: 1, shards: 3, reports: map[string][]snapshot.Holding{
			"a": {holding(1, 3, 0, 1), holding(2, 3, 0)},
		}},
		{name: "excluded version is passed over", want: 1, shards: 2, exclude: []snapshot.Version{2}, reports: map[string][]snapshot.Holding{
			"a": {holding(1, 2, 0, 1), holding(2, 2, 0, 1)},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var c snapshot.Catalogue
			for replica, holdings := range tc.reports {
				c.SetHoldings(replica, holdings)
			}
			m, ok := c.Choose(tc.exclude...)
			require.True(t, ok)
			require.Equal(t, tc.want, m.Version())
			require.Equal(t, tc.shards, m.ShardCount())
		})
	}
}

// Guards against coverage that is overstated because one replica reports too
// few shards for a version.
func TestLargerShardCountWins(t *testing.T) {
	var c snapshot.Catalogue
	c.SetHoldings("a", []snapshot.Holding{holding(1, 1, 0)})
	c.SetHoldings("b", []snapshot.Holding{holding(1, 3, 1)})
	m, ok := c.Choose()
	require.True(t, ok)
	require.Equal(t, 3, m.ShardCount())
	require.Empty(t, c.Holders(1, 2))
}

// Guards against asking a replica again for a version that it said is gone.
func TestWithdraw(t *testing.T) {
	var c snapshot.Catalogue
	c.SetHoldings("a", []snapshot.Holding{holding(1, 1, 0)})
	c.Withdraw("a", 1)
	_, ok := c.Choose()
	require.False(t, ok)
}

// Guards against an index that drifts from the reports as they change: after
// each change it must equal that of a catalogue built from the reports alone.
func TestIndexFollowsReports(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	var c snapshot.Catalogue
	reports := make(map[string][]snapshot.Holding)
	for step := range 3000 {
		replica := string(rune('a' + random.IntN(5)))
		version := snapshot.Version(random.IntN(4))
		switch random.IntN(4) {
		case 0:
			c.Withdraw(replica, version)
			reports[replica] = slices.DeleteFunc(reports[replica], func(h snapshot.Holding) bool { return h.Version() == version })
		case 1:
			c.Remove(replica)
			delete(reports, replica)
		default:
			var holdings []snapshot.Holding
			for range random.IntN(3) {
				shards := random.IntN(4)
				holds := []snapshot.Shard{snapshot.Shard(random.IntN(4)), snapshot.Shard(random.IntN(4))}
				holdings = append(holdings, snapshot.NewHolding(snapshot.Version(random.IntN(4)), shards, holds))
			}
			c.SetHoldings(replica, holdings)
			reports[replica] = holdings
		}
		var fresh snapshot.Catalogue
		for r, holdings := range reports {
			fresh.SetHoldings(r, holdings)
		}
		for v := range snapshot.Version(4) {
			want, _ := fresh.Choose(v)
			got, _ := c.Choose(v)
			require.Equal(t, want, got, "step %d", step)
			for s := range snapshot.Shard(5) {
				require.ElementsMatch(t, fresh.Holders(v, s), c.Holders(v, s), "step %d", step)
				require.True(t, slices.IsSorted(c.Holders(v, s)))
			}
		}
	}
}
