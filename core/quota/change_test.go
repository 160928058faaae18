package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/quota"
)

// TestChangeRankMatchesTable guards against ranks that drift from those of the
// whole table over many updates; the shares could then exceed a limit in total.
func TestChangeRankMatchesTable(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	members := map[string]bool{"self": true}
	list := func() []string {
		var all []string
		for member := range members {
			all = append(all, member)
		}
		return all
	}
	table := quota.NewTable(list())
	ranks := map[string]int{}
	for n := range 50 {
		ranks[fmt.Sprint("upstream-", n)] = 0
	}
	for range 200 {
		for range source.IntN(4) {
			name := fmt.Sprint("member-", source.IntN(60))
			members[name] = !members[name]
			if !members[name] {
				delete(members, name)
			}
		}
		next := quota.NewTable(list())
		change, ok := next.ChangeSince(table, "self")
		require.True(t, ok)
		table = next
		for resource, before := range ranks {
			ranks[resource] = change.Rank(resource, before)
			want, _ := table.Rank(resource, "self")
			require.Equal(t, want, ranks[resource])
		}
	}
}

// TestChangeNeedsSelfInBothTables guards against an update of a rank that the
// member does not have, because it is missing from the old or the new table.
func TestChangeNeedsSelfInBothTables(t *testing.T) {
	_, ok := quota.NewTable([]string{"a"}).ChangeSince(quota.NewTable([]string{"a", "self"}), "self")
	require.False(t, ok)
	_, ok = quota.NewTable([]string{"a", "self"}).ChangeSince(quota.Table{}, "self")
	require.False(t, ok)
}
