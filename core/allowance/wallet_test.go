package allowance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/allowance"
	"github.com/lovagegap/lovagegap/core/clock"
)

const longAfterStart = clock.Hour

// membersOf returns daemons of one data centre.
func membersOf(names ...string) []allowance.Member {
	var members []allowance.Member
	for _, name := range names {
		members = append(members, allowance.Member{Name: name})
	}
	return members
}

// newWallet returns a wallet of daemon "a" long after the start of the daemon "b", which
// owns all tenants.
func newWallet() *allowance.Wallet {
	view := allowance.NewView(policy, "a", nil, 0)
	view.SetAlive(1, membersOf("b"))
	return allowance.NewWallet(policy, view, rand.New(rand.NewPCG(1, 2)), 0)
}

// Guards against a call to the owner for each request of a tenant that arrives while a
// call is under way, and against more requests granted than tokens were.
func TestConcurrentRequestsShareCall(t *testing.T) {
	w := newWallet()
	limit := allowance.NewLimit(5, 5)
	first := w.Take(longAfterStart, "hats", limit)
	require.Equal(t, allowance.Pending, first.Kind())
	require.Equal(t, 1, first.Call().Needed())
	var later []allowance.Decision
	for range 3 {
		d := w.Take(longAfterStart+1, "hats", limit)
		require.Nil(t, d.Call())
		later = append(later, d)
	}
	w.HandleReply(longAfterStart+2, first.Call(), allowance.Reply{Granted: 1})
	assert.Equal(t, allowance.Granted, w.Resume(longAfterStart+2, first).Kind())
	second := w.Resume(longAfterStart+2, later[0])
	require.NotNil(t, second.Call())
	assert.Equal(t, 3, second.Call().Needed(), "all requests that wait")
	for i := range later[1:] {
		later[i+1] = w.Resume(longAfterStart+2, later[i+1])
		require.Equal(t, allowance.Pending, later[i+1].Kind())
		require.Nil(t, later[i+1].Call())
	}
	w.HandleReply(longAfterStart+3, second.Call(), allowance.Reply{Granted: 2, NextIn: 200, RetryAfter: 300})
	assert.Equal(t, allowance.Granted, w.Resume(longAfterStart+3, second).Kind())
	assert.Equal(t, allowance.Granted, w.Resume(longAfterStart+3, later[1]).Kind())
	refused := w.Resume(longAfterStart+3, later[2])
	assert.Equal(t, allowance.LimitReached, refused.Kind())
	assert.Equal(t, clock.Millis(300), refused.RetryAfter())
	assert.Equal(t, allowance.LimitReached, w.Take(longAfterStart+4, "hats", limit).Kind(), "refused without a call")
}

// Guards against tokens that are spent after their lifetime, as after a suspension of the
// machine, and against returned tokens that live longer than they did.
func TestTokensExpire(t *testing.T) {
	w := newWallet()
	d := w.Take(longAfterStart, "hats", allowance.NewLimit(5, 5))
	w.HandleReply(longAfterStart+10, d.Call(), allowance.Reply{Granted: 1})
	require.Equal(t, allowance.Granted, w.Resume(longAfterStart+10, d).Kind())
	w.Return(longAfterStart+20, "hats")
	assert.Equal(t, 1, w.Outstanding(longAfterStart+policy.Lifetime()))
	assert.Zero(t, w.Outstanding(longAfterStart+policy.Lifetime()+1))
	next := w.Take(longAfterStart+policy.Lifetime()+1, "hats", allowance.NewLimit(5, 5))
	assert.Equal(t, 1, next.Call().Unused())
}

// Guards against a reserve that all daemons together exceed while their owner does not
// answer, and against requests that wait for an owner known to be silent.
func TestReserveIsDividedAmongDaemons(t *testing.T) {
	var members []string
	for i := range 30 {
		members = append(members, fmt.Sprint("10.0.0.", i, ":7000"))
	}
	granted, pending := 0, 0
	for _, self := range members {
		view := allowance.NewView(policy, self, members, 0)
		view.SetAlive(1, membersOf(members...))
		w := allowance.NewWallet(policy, view, rand.New(rand.NewPCG(1, 2)), 0)
		for i := range 50 {
			d := w.Take(longAfterStart+clock.Millis(i), "hats", allowance.NewLimit(0.3, 1))
			for d.Kind() == allowance.Pending {
				pending++
				d = w.Resume(longAfterStart+clock.Millis(i), d)
			}
			if d.Kind() == allowance.Granted {
				granted++
			} else {
				assert.Equal(t, allowance.Unavailable, d.Kind())
			}
		}
	}
	assert.Equal(t, 5, granted, "a quarter of the slack")
	assert.Equal(t, 3*len(members), pending, "for each owner once")
}

// Guards against retries of refused requests that all arrive at the same instant.
func TestRetryAfterIsSpread(t *testing.T) {
	view := allowance.NewView(policy, "a", nil, 0)
	view.SetAlive(0, membersOf("a"))
	l := allowance.NewLedger(policy, view, 0)
	for now := clock.Millis(0); now < 20*clock.Second; now += 250 {
		l.Tick(now)
	}
	const now = 20 * clock.Second
	require.Equal(t, 10, l.Grant(now, "hats", allowance.NewLimit(10, 10), 10, 0, 0).Granted)
	for i := range 5 {
		reply := l.Grant(now, "hats", allowance.NewLimit(10, 10), 1, 0, 0)
		require.InDelta(t, 100, float64(reply.NextIn), 1e-6)
		require.InDelta(t, 100*float64(i+1), float64(reply.RetryAfter), 1e-6)
	}
	for range 1000 {
		require.LessOrEqual(t, l.Grant(now, "hats", allowance.NewLimit(10, 10), 1, 0, 0).RetryAfter, policy.Window)
	}
}

// Guards against a number of connections and calls to one daemon that grows with the
// fleet, and against daemons with the same members that choose different owners.
func TestOwnersAreBounded(t *testing.T) {
	for n, want := range map[int]int{1: 1, 30: 8, 110: 13, 2100: 48} {
		var members []string
		for i := range n {
			members = append(members, fmt.Sprint("10.0.", i/250, ".", i%250, ":7000"))
		}
		first := allowance.NewView(policy, members[0], nil, 0)
		first.SetAlive(0, membersOf(members...))
		last := allowance.NewView(policy, members[n-1], members, 0)
		last.SetAlive(0, membersOf(members...))
		assert.Len(t, first.Owners(), want)
		assert.Equal(t, first.Owners(), last.Owners())
		assert.Equal(t, first.TenantOwners(1, "hats"), last.TenantOwners(1, "hats"))
	}
}
