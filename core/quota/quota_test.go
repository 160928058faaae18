package quota_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/quota"
)

// TestMain fixes the seed of the property tests, so that runs in CI are repeatable.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

func memberNames(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("d%d", i)
	}
	return list
}

// TestSharesSumToTotal guards against shares of one member list that exceed the
// limit or leave part of it unused.
func TestSharesSumToTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := memberNames(rapid.IntRange(1, 40).Draw(t, "members"))
		total := rapid.IntRange(0, 200).Draw(t, "total")
		resource := rapid.String().Draw(t, "resource")
		sum := 0
		for _, member := range members {
			sum += quota.Share(resource, total, member, members)
		}
		require.Equal(t, total, sum)
	})
}

// TestSharesOfLargerListsStayWithinTotal guards against shares that exceed the
// limit while member lists differ: every list contains all members that use
// their share, and some contain more.
func TestSharesOfLargerListsStayWithinTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := memberNames(30)
		active := all[:rapid.IntRange(1, 30).Draw(t, "active")]
		total := rapid.IntRange(1, 100).Draw(t, "total")
		sum := 0
		for _, m := range active {
			view := all[:rapid.IntRange(len(active), 30).Draw(t, "view")]
			sum += quota.Share("u", total, m, view)
		}
		require.LessOrEqual(t, sum, total)
	})
}

// TestUncountedMemberExceedsTotal guards against a vacuous check of the total: a
// member that uses its share while others do not count it exceeds the limit.
func TestUncountedMemberExceedsTotal(t *testing.T) {
	sum := quota.Share("u", 4, "d0", memberNames(2)) + quota.Share("u", 4, "d1", memberNames(2)) +
		quota.Share("u", 4, "d2", memberNames(3))
	require.Greater(t, sum, 4)
}

// TestLeadingMatchesRanks guards against relays that different daemons choose
// differently, because First, Leading and Rank order the members differently.
func TestLeadingMatchesRanks(t *testing.T) {
	table := quota.NewTable([]string{"b", "a", "c", "a"})
	require.Equal(t, 3, table.Len())
	leading := table.Leading("u", 3)
	require.Equal(t, table.First("u"), leading[0])
	for i, m := range leading {
		rank, ok := table.Rank("u", m)
		require.True(t, ok)
		require.Equal(t, i, rank)
	}
	require.Equal(t, leading[:2], table.Leading("u", 2))
	require.Empty(t, table.Leading("u", 0))
	_, ok := table.Rank("u", "stranger")
	require.False(t, ok)
	require.Zero(t, table.Share("u", 5, "stranger"))
	require.Empty(t, quota.Table{}.First("u"))
}

// TestFirstRanksAreBalanced guards against a hash function that favours some
// members, which would then lead for more upstreams than others.
func TestFirstRanksAreBalanced(t *testing.T) {
	table := quota.NewTable(memberNames(20))
	first := map[string]int{}
	for i := range 20000 {
		first[table.First(fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255))]++
	}
	counts := make([]int, 0, len(first))
	for _, n := range first {
		counts = append(counts, n)
	}
	require.Len(t, counts, 20)
	require.Greater(t, slices.Min(counts), 850)
	require.Less(t, slices.Max(counts), 1150)
}

// TestBudgetStaysWithinRatio guards against more extra requests than the ratio of
// regular requests allows, plus the initial token.
func TestBudgetStaysWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		burst := rapid.Float64Range(0, 50).Draw(t, "burst")
		var b quota.Budget
		b.Configure(ratio, burst)
		earned, taken := 0, 0.0
		for range 200 {
			n := rapid.IntRange(0, 5).Draw(t, "regular")
			b.RecordRegular(n)
			earned += n
			if cost := float64(rapid.IntRange(1, 2).Draw(t, "cost")); b.Take(cost) {
				taken += cost
			}
		}
		require.LessOrEqual(t, taken, ratio*float64(earned)+1+1e-9)
	})
}

// TestZeroBudgetAllowsOneRetry guards against a budget without configuration that
// allows no retry, or any number of them.
func TestZeroBudgetAllowsOneRetry(t *testing.T) {
	var b quota.Budget
	require.True(t, b.Take(1), "a new daemon may retry once")
	require.False(t, b.Take(1))
	b.RecordRegular(10)
	require.True(t, b.Take(1))
}

// BenchmarkShareTable measures the computation of one member's shares of 11,000
// upstreams among 2,100 members.
func BenchmarkShareTable(b *testing.B) {
	members := memberNames(2100)
	upstreams := make([]string, 11000)
	for i := range upstreams {
		upstreams[i] = fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255)
	}
	b.ReportAllocs()
	for b.Loop() {
		table := quota.NewTable(members)
		for _, id := range upstreams {
			table.Share(id, 45, "d7")
		}
	}
}

// BenchmarkLeading measures the choice of 45 relays for an upstream among 2,100
// members.
func BenchmarkLeading(b *testing.B) {
	table := quota.NewTable(memberNames(2100))
	b.ReportAllocs()
	for b.Loop() {
		table.Leading("10.0.0.1:80", 45)
	}
}

// TestBurstRoundsKeepTokensOfSeveralFanOuts guards against a burst that is smaller
// than what a few wide fan-outs earn, and against tokens kept with a burst of
// zero.
func TestBurstRoundsKeepTokensOfSeveralFanOuts(t *testing.T) {
	for _, c := range []struct{ burst, want float64 }{{20, 8 * 0.04 * 270}, {500, 10 * 0.04 * 270}, {0, 0}} {
		var b quota.Budget
		b.Configure(0.04, c.burst)
		b.SetBurstRounds(8)
		b.Take(b.Tokens())
		for range 10 {
			b.RecordRegular(270)
		}
		require.InDelta(t, c.want, b.Tokens(), 1e-9, "burst %v", c.burst)
	}
}
