package snapshot_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/snapshot"
)

func holding(version snapshot.Version, shardCount int, held ...snapshot.Shard) snapshot.Holding {
	return snapshot.NewHolding(version, shardCount, held)
}

// Guards against answers from a version with less coverage than another one, or from
// an older one with the same coverage.
func TestChoosePrefersCoverageThenNewest(t *testing.T) {
	cases := []struct {
		name           string
		holdings       map[string][]snapshot.Holding
		exclude        []snapshot.Version
		wantVersion    snapshot.Version
		wantShardCount int
	}{
		{name: "newest complete version", wantVersion: 2, wantShardCount: 2,
			holdings: map[string][]snapshot.Holding{
				"a": {holding(1, 2, 0), holding(2, 2, 0)},
				"b": {holding(1, 2, 1), holding(2, 2, 1)},
			}},
		{name: "older version while the newer one is incomplete", wantVersion: 1, wantShardCount: 2,
			holdings: map[string][]snapshot.Holding{
				"a": {holding(1, 2, 0), holding(2, 4, 0, 1)},
				"b": {holding(1, 2, 1)},
			}},
		{name: "version with the largest coverage when none is complete", wantVersion: 1, wantShardCount: 3,
			holdings: map[string][]snapshot.Holding{
				"a": {holding(1, 3, 0, 1), holding(2, 3, 0)},
			}},
		{name: "excluded version is skipped", wantVersion: 1, wantShardCount: 2, exclude: []snapshot.Version{2},
			holdings: map[string][]snapshot.Holding{
				"a": {holding(1, 2, 0, 1), holding(2, 2, 0, 1)},
			}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var c snapshot.Catalogue
			for replica, holdings := range tc.holdings {
				c.SetHoldings(replica, holdings)
			}
			m, ok := c.Choose(tc.exclude...)
			require.True(t, ok)
			require.Equal(t, tc.wantVersion, m.Version())
			require.Equal(t, tc.wantShardCount, m.ShardCount())
		})
	}
}

// Guards against overstated coverage if one replica reports too few shards for a
// version.
func TestLargerShardCountWins(t *testing.T) {
	var c snapshot.Catalogue
	c.SetHoldings("a", []snapshot.Holding{holding(1, 1, 0)})
	c.SetHoldings("b", []snapshot.Holding{holding(1, 3, 1)})
	m, ok := c.Choose()
	require.True(t, ok)
	require.Equal(t, 3, m.ShardCount())
	require.Empty(t, c.Holders(1, 2))
}

// Guards against further attempts at a replica for a version that it has answered to
// be gone.
func TestWithdrawRemovesVersionOfReplica(t *testing.T) {
	var c snapshot.Catalogue
	c.SetHoldings("a", []snapshot.Holding{holding(1, 1, 0)})
	c.Withdraw("a", 1)
	_, ok := c.Choose()
	require.False(t, ok)
}

// Guards against an index that differs from the holdings after a sequence of changes:
// after each change it must equal the index of a catalogue that is built anew from
// the holdings.
func TestIndexMatchesHoldingsAfterChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	var c snapshot.Catalogue
	expected := make(map[string][]snapshot.Holding)
	for step := range 3000 {
		replica := string(rune('a' + random.IntN(5)))
		version := snapshot.Version(random.IntN(4))
		switch random.IntN(4) {
		case 0:
			c.Withdraw(replica, version)
			expected[replica] = slices.DeleteFunc(expected[replica], func(h snapshot.Holding) bool {
				return h.Version() == version
			})
		case 1:
			c.Remove(replica)
			delete(expected, replica)
		default:
			var holdings []snapshot.Holding
			for range random.IntN(3) {
				shardCount := random.IntN(4)
				held := []snapshot.Shard{snapshot.Shard(random.IntN(4)), snapshot.Shard(random.IntN(4))}
				holdings = append(holdings, snapshot.NewHolding(snapshot.Version(random.IntN(4)), shardCount, held))
			}
			c.SetHoldings(replica, holdings)
			expected[replica] = holdings
		}
		var rebuilt snapshot.Catalogue
		for r, holdings := range expected {
			rebuilt.SetHoldings(r, holdings)
		}
		for v := range snapshot.Version(4) {
			want, _ := rebuilt.Choose(v)
			got, _ := c.Choose(v)
			require.Equal(t, want, got, "step %d", step)
			for s := range snapshot.Shard(5) {
				require.ElementsMatch(t, rebuilt.Holders(v, s), c.Holders(v, s), "step %d", step)
				require.True(t, slices.IsSorted(c.Holders(v, s)))
			}
		}
	}
}
