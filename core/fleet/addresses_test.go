package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

func servingMembers(count, dataCentres int) []Member {
	var members []Member
	for i := range count {
		id := ID(fmt.Sprintf("10.0.%d.%d:7200", i/256, i%256))
		dataCentre := fmt.Sprintf("centre-%d", i%dataCentres)
		members = append(members, NewMember(id, "callers-"+string(id), dataCentre, "region", 1).WithState(Alive))
	}
	return members
}

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
		assert.Len(t, slices.Compact(slices.Sorted(slices.Values(addresses))), 3, "addresses differ")
		for position, address := range addresses {
			at := slices.IndexFunc(members, func(m Member) bool { return m.CallerAddress() == address })
			assert.Equal(t, Alive, members[at].State())
			// Two daemons of the data centre serve: 6 and 9.
			assert.Equal(t, position < 2, members[at].DataCentre() == "centre-0")
		}
		assert.Equal(t, addresses, a.Advise("centre-0", fmt.Sprint(i), rng).Addresses(), "the same caller gets the same answer")
	}
	assert.LessOrEqual(t, longest, 10*clock.Second)
	assert.Greater(t, longest-shortest, 2*clock.Second, "lifetimes are spread")
}

// Guards against an overloaded daemon and against callers that move although
// their daemon stays. The log compares with assignment by modulo.
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
		share := func(n int) float64 { return 100 * float64(n) / callers }
		t.Logf("%d daemons: heaviest %.2f x mean; needlessly moved mean %.1f %%, worst %.1f %%; modulo mean %.1f %%",
			size, float64(most)*float64(size)/callers, share(movedSum)/float64(size), share(worst), share(moduloSum)/float64(size))
		// The bound holds for buckets; 20,000 callers fill 1,024 buckets unevenly.
		assert.LessOrEqual(t, float64(most), 1.25*1.15*callers/float64(size))
		assert.Less(t, share(movedSum)/float64(size), 100.0/float64(size)+5)
	}
}

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
