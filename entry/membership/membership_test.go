package membership

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

func member(name, dataCentre string) fleet.Member {
	return fleet.NewMember(fleet.ID(name+":1"), name+":2", dataCentre, "r", 1)
}

// Guards against a daemon that is cut off and has no remote address to return,
// because its members are lost with the links, and against one that returns daemons
// that stopped long ago.
func TestLastRemoteDaemonsAreReturnedWhenCutOff(t *testing.T) {
	var manual clock.Manual
	manual.Advance(clock.Hour)
	tracker := New(Dependencies{
		Clock: manual.Clock(), Log: logr.Discard(), Self: member("self", "x"),
		Random: rand.New(rand.NewPCG(1, 2)), RegionsChanged: func(map[string]string) {},
	})
	remoteAddresses := func(members ...fleet.Member) ([]string, bool) {
		tracker.serving = members
		return tracker.RemoteAddresses()
	}
	own, b, c := member("self", "x"), member("b", "y"), member("c", "z")

	found, linked := remoteAddresses(own)
	assert.Empty(t, found, "no data centre but its own is known")
	assert.False(t, linked)

	found, linked = remoteAddresses(own, b, c)
	assert.ElementsMatch(t, []string{"b:2", "c:2"}, found)
	assert.True(t, linked)

	manual.Advance(clock.Second)
	found, linked = remoteAddresses(own, b)
	assert.Equal(t, []string{"b:2"}, found, "a daemon that no longer serves is not returned beside others")
	assert.True(t, linked)

	manual.Advance(clock.Second)
	found, linked = remoteAddresses(own)
	assert.ElementsMatch(t, []string{"b:2", "c:2"}, found, "cut off: the daemons that served last")
	assert.False(t, linked)

	manual.Advance(cutOffRetention)
	found, _ = remoteAddresses(own)
	assert.Empty(t, found, "past the retention")

	_, _ = remoteAddresses(own, b, c)
	manual.Advance(linkedRetention + clock.Second)
	_, _ = remoteAddresses(own, b)
	found, _ = remoteAddresses(own)
	assert.Equal(t, []string{"b:2"}, found, "c stopped serving long before the cut-off")
}

// Guards against callers that are sent to another region although their own has a
// daemon, against callers without a second address for when the first one fails, and
// against callers whose addresses are all lost with their data centre.
func TestAddressesPreferTheCallersRegion(t *testing.T) {
	var regions map[string]string
	at := func(name, dataCentre, region string) fleet.Member {
		return fleet.NewMember(fleet.ID(name+":1"), name+":2", dataCentre, region, 1)
	}
	a1, a2, b, c := at("a1", "a", "west"), at("a2", "a", "west"), at("b", "b", "west"), at("c", "c", "east")
	tracker := New(Dependencies{
		Clock: clock.Clock{}, Log: logr.Discard(), Self: a1, Random: rand.New(rand.NewPCG(1, 2)),
		RegionsChanged: func(found map[string]string) { regions = found },
	})
	require.Equal(t, map[string]string{"a": "west"}, regions, "its own region is known at the start")
	tracker.updateRegions([]fleet.Member{a1, a2, b, c, at("seed", "", "")})
	require.Equal(t, map[string]string{"a": "west", "b": "west", "c": "east"}, regions)
	for _, tc := range []struct {
		name, dataCentre, region string
		serving                  []fleet.Member
		want                     []string
	}{
		{"two in the data centre", "a", "west", []fleet.Member{a1, a2, b, c}, []string{"a1:2", "a2:2", "b:2"}},
		{"one in the data centre", "b", "west", []fleet.Member{a1, b, c}, []string{"b:2", "a1:2"}},
		{"the only one of its region", "c", "east", []fleet.Member{a1, a2, b, c}, []string{"c:2"}},
		{"none in the data centre", "b", "west", []fleet.Member{a1, a2, c}, []string{"a1:2", "a2:2"}},
		{"none in the region", "c", "east", []fleet.Member{a1, a2}, []string{"a1:2", "a2:2"}},
		{"a data centre without daemons", "d", "east", []fleet.Member{a1, a2, c}, []string{"c:2"}},
		{"a caller without a data centre", "", "", []fleet.Member{a1, c}, []string{"a1:2", "c:2"}},
		{"no daemon serves", "a", "west", nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			serving := slices.Clone(tc.serving)
			for i := range serving {
				serving[i] = serving[i].WithState(fleet.Alive)
			}
			tracker.directory.SetMembers(serving)
			assert.ElementsMatch(t, tc.want, tracker.Addresses(tc.dataCentre, tc.region, "caller"))
		})
	}
}
