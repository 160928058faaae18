package upstream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Guards against a fleet that refuses all work in the 5 s after it starts. Until the
// daemons know of each other, each is in a minority without a partition.
func TestMinorityBeforeJoinDelaysNothing(t *testing.T) {
	member := func(id string, state upstream.MemberState) upstream.Member {
		return upstream.NewMember(id, "r", "near", state).WithListed()
	}
	var pool upstream.Pool
	now := clock.Minute
	pool.Add(now, upstream.NewReplica(u1, "near"))
	pool.SetMembers(now, "d1", []upstream.Member{
		member("d1", upstream.Alive), member("d2", upstream.ListedOnly), member("d3", upstream.ListedOnly),
	})
	now += clock.Second
	pool.SetMembers(now, "d1", []upstream.Member{
		member("d1", upstream.Alive), member("d2", upstream.Alive), member("d3", upstream.Alive),
	})
	pool.CompleteJoin(now, false)
	choice, err := pool.Pick(now, pickRequest(u1))
	require.NoError(t, err)
	require.True(t, choice.Gated())
}
