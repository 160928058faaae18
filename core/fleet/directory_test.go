package fleet

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against callers whose addresses are all lost with their data centre, against
// callers that run out of addresses while a part of the fleet is down, and against
// addresses that change from answer to answer.
func TestDirectoryNamesManyNearAndSomeFarDaemons(t *testing.T) {
	const dataCentres = 5
	for _, c := range []struct{ daemons, near, far int }{
		{5, 1, 1}, {10, 2, 1}, {80, 16, 8}, {300, maxNearAddresses, maxNearAddresses / nearPerFarAddress},
	} {
		members := servingMembers(c.daemons, dataCentres)
		at := make(map[string]string)
		for _, m := range members {
			at[m.CallerAddress()] = m.DataCentre()
		}
		var d Directory
		d.SetMembers(members)
		named := make(map[string]int)
		for i := range 1000 {
			addresses := d.Addresses("centre-0", "region", fmt.Sprint(i))
			assert.Len(t, slices.Compact(slices.Sorted(slices.Values(addresses))), c.near+c.far, "%d daemons", c.daemons)
			near := 0
			for _, address := range addresses {
				if at[address] == "centre-0" {
					near++
				}
				named[address]++
			}
			assert.Equal(t, c.near, near)
			assert.ElementsMatch(t, addresses, d.Addresses("centre-0", "region", fmt.Sprint(i)))
		}
		assert.Len(t, named, c.daemons, "each daemon is named to some callers")
	}
}

// Guards against answers that change for most callers when a daemon stops: callers close
// their connections to daemons that are no longer named.
func TestDirectoryChangesLittleWhenDaemonStops(t *testing.T) {
	members := servingMembers(300, 5)
	var before, after Directory
	before.SetMembers(members)
	after.SetMembers(members[1:])
	changed, total := 0, 0
	for i := range 500 {
		kept := after.Addresses("centre-1", "region", fmt.Sprint(i))
		for _, address := range before.Addresses("centre-1", "region", fmt.Sprint(i)) {
			total++
			if address != members[0].CallerAddress() && !slices.Contains(kept, address) {
				changed++
			}
		}
	}
	assert.Zero(t, changed, "of %d", total)
}

// Guards against callers that are sent to another region although their own has a
// daemon, and against daemons that do not serve.
func TestDirectoryStaysInRegion(t *testing.T) {
	at := func(address, dataCentre, region string) Member {
		return NewMember(ID(address), address, dataCentre, region, 1).WithState(Alive)
	}
	a1, a2, b, c := at("a1", "a", "west"), at("a2", "a", "west"), at("b", "b", "west"), at("c", "c", "east")
	for _, tc := range []struct {
		name, dataCentre, region string
		members                  []Member
		want                     []string
	}{
		{"two in the data centre", "a", "west", []Member{a1, a2, b, c}, []string{"a1", "a2", "b"}},
		{"one in the data centre", "b", "west", []Member{a1, b, c}, []string{"b", "a1"}},
		{"the only one of its region", "c", "east", []Member{a1, a2, b, c}, []string{"c"}},
		{"none in the data centre", "b", "west", []Member{a1, a2, c}, []string{"a1", "a2"}},
		{"none in the region", "c", "east", []Member{a1, a2}, []string{"a1", "a2"}},
		{"a data centre without daemons", "d", "east", []Member{a1, a2, c}, []string{"c"}},
		{"a caller without a data centre", "", "", []Member{a1, c}, []string{"a1", "c"}},
		{"suspected and leaving daemons", "a", "west", []Member{a1.WithState(Suspect), a2.WithState(Leaving), b}, []string{"b"}},
		{"no daemon serves", "a", "west", nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d Directory
			d.SetMembers(tc.members)
			assert.ElementsMatch(t, tc.want, d.Addresses(tc.dataCentre, tc.region, "caller"))
		})
	}
}

// BenchmarkDirectory measures an answer to a caller by the size of the fleet.
func BenchmarkDirectory(b *testing.B) {
	for _, size := range []int{4, 79, 300, 2100} {
		b.Run(fmt.Sprintf("%d daemons", size), func(b *testing.B) {
			var d Directory
			d.SetMembers(servingMembers(size, min(size, 29)))
			for b.Loop() {
				d.Addresses("centre-0", "region", "100.64.0.7")
			}
		})
	}
}
