package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// servingMembers returns count alive members, spread evenly over the data centres.
func servingMembers(count, dataCentres int) []Member {
	var members []Member
	for i := range count {
		id := ID(fmt.Sprintf("10.0.%d.%d:7200", i/256, i%256))
		dataCentre := fmt.Sprintf("centre-%d", i%dataCentres)
		members = append(members, NewMember(id, "callers-"+string(id), dataCentre, "region", 1).WithState(Alive))
	}
	return members
}

// firstAddresses returns the preferred address of each caller in centre-0.
func firstAddresses(members []Member, callers int) []string {
	var a AddressAdviser
	a.SetMembers(members)
	rng := rand.New(rand.NewPCG(1, 1))
	found := make([]string, callers)
	for i := range found {
		found[i] = a.Advise("centre-0", fmt.Sprintf("caller-%d", i), rng).Addresses()[0]
	}
	return found
}

// Guards against advice that names daemons that are not alive, prefers a distant
// daemon, differs between requests of a caller, or exceeds the configured lifetime.
func TestAdviseReturnsOnlyServingDaemonsNearestFirst(t *testing.T) {
	members := servingMembers(12, 3)
	for i, s := range []State{Joining, Leaving, Suspect, Dead, Left} {
		members[i] = members[i].WithState(s)
	}
	var a AddressAdviser
	rng := rand.New(rand.NewPCG(1, 1))
	assert.Empty(t, a.Advise("centre-0", "x", rng).Addresses(), "no members")
	a.Configure(3, 10*clock.Second)
	a.SetMembers(members)
	shortest, longest := clock.Hour, clock.Millis(0)
	for i := range 500 {
		advice := a.Advise("centre-0", fmt.Sprint(i), rng)
		shortest, longest = min(shortest, advice.Lifetime()), max(longest, advice.Lifetime())
		addresses := advice.Addresses()
		assert.Len(t, addresses, 3)
		assert.Len(t, slices.Compact(slices.Sorted(slices.Values(addresses))), 3, "duplicate addresses")
		for position, address := range addresses {
			at := slices.IndexFunc(members, func(m Member) bool { return m.CallerAddress() == address })
			assert.Equal(t, Alive, members[at].State())
			// Only daemons 6 and 9 of centre-0 are alive.
			assert.Equal(t, position < 2, members[at].DataCentre() == "centre-0")
		}
		assert.Equal(t, addresses, a.Advise("centre-0", fmt.Sprint(i), rng).Addresses(), "addresses of the same caller")
	}
	assert.LessOrEqual(t, longest, 10*clock.Second)
	assert.Greater(t, longest-shortest, 2*clock.Second, "spread of the lifetimes")
}

// Guards against an overloaded daemon, and against callers that are moved away from
// a daemon that stays when another one leaves. The log shows assignment by modulo
// for comparison.
func TestFewCallersMoveWhenDaemonLeaves(t *testing.T) {
	const callers = 20000
	for _, size := range []int{4, 16, 64} {
		members := servingMembers(size, 1)
		before := firstAddresses(members, callers)
		load := make(map[string]int)
		for _, address := range before {
			load[address]++
		}
		most := 0
		for _, l := range load {
			most = max(most, l)
		}
		movedSum, moduloSum, worst := 0, 0, 0
		for gone := range members {
			after := firstAddresses(slices.Delete(slices.Clone(members), gone, gone+1), callers)
			moved := 0
			for i := range before {
				if before[i] != after[i] && before[i] != members[gone].CallerAddress() {
					moved++
				}
				old, now := i%size, i%(size-1)
				if now >= gone {
					now++
				}
				if old != now && old != gone {
					moduloSum++
				}
			}
			movedSum += moved
			worst = max(worst, moved)
		}
		percentage := func(n int) float64 { return 100 * float64(n) / callers }
		t.Logf("%d daemons: highest load %.2f x mean; needlessly moved mean %.1f %%, worst %.1f %%; modulo mean %.1f %%",
			size, float64(most)*float64(size)/callers,
			percentage(movedSum)/float64(size), percentage(worst), percentage(moduloSum)/float64(size))
		// The bound of 1.25 holds for buckets. The callers fill the buckets unevenly,
		// hence the margin of 1.15.
		assert.LessOrEqual(t, float64(most), 1.25*1.15*callers/float64(size))
		assert.Less(t, percentage(movedSum)/float64(size), 100.0/float64(size)+5)
	}
}

// Guards against a daemon that is within its bound as the preferred address but gets
// too many buckets as the second or third one.
func TestAdviseBoundsLoadAtEachPosition(t *testing.T) {
	for _, size := range []int{3, 4, 7, 72} {
		var a AddressAdviser
		a.SetMembers(servingMembers(size, 1))
		plan := a.plan("centre-0")
		for position := range 3 {
			load := make(map[string]int)
			for _, addresses := range plan {
				load[addresses[position]]++
			}
			for address, l := range load {
				assert.LessOrEqual(t, l, loadBound(size), "%d daemons, position %d, %s", size, position, address)
			}
		}
	}
}

// Guards against callers whose addresses are all lost with their data centre, and that
// cannot ask there for others: the last one must be in another data centre, spread evenly.
func TestAdviseEndsWithAnotherDataCentre(t *testing.T) {
	const dataCentres, callers = 5, 2000
	members := servingMembers(80, dataCentres)
	rng := rand.New(rand.NewPCG(1, 1))
	var a AddressAdviser
	a.SetMembers(members)
	at := make(map[string]string)
	for _, m := range members {
		at[m.CallerAddress()] = m.DataCentre()
	}
	elsewhere := make(map[string]int)
	for i := range callers {
		addresses := a.Advise("centre-0", fmt.Sprint(i), rng).Addresses()
		assert.Len(t, addresses, 3)
		for _, address := range addresses[:2] {
			assert.Equal(t, "centre-0", at[address])
		}
		elsewhere[at[addresses[2]]]++
	}
	assert.Zero(t, elsewhere["centre-0"])
	assert.Len(t, elsewhere, dataCentres-1)
	for dataCentre, count := range elsewhere {
		assert.InDelta(t, callers/(dataCentres-1), count, callers/20, dataCentre)
	}
}
