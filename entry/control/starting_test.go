package control

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// Guards against advising callers to use a daemon that refuses them because it is
// still starting, and against keeping them away for good when the record that ends
// the start is lost.
func TestStartingDaemonsGetNoCallers(t *testing.T) {
	startBegun := fleet.NewRecord(kindStarting, "b:1", 1, []byte{1}, startingLifetime)
	startEnded := fleet.NewRecord(kindStarting, "b:1", 2, nil, startedLifetime)
	otherKind := fleet.NewRecord("cold", "b:1", 3, []byte{1}, startingLifetime)
	cases := []struct {
		name    string
		records []fleet.Record
		at      clock.Millis
		want    int
	}{
		{"no record", nil, 0, 2},
		{"start in progress", []fleet.Record{startBegun}, startingLifetime - 1, 1},
		{"start is over", []fleet.Record{startBegun, startEnded}, 0, 2},
		{"end of the start was lost", []fleet.Record{startBegun}, startingLifetime, 2},
		{"record of another subsystem", []fleet.Record{otherKind}, 0, 2},
	}
	members := []fleet.Member{
		fleet.NewMember("a:1", "a:2", "ikeja", "", 1).WithState(fleet.Alive),
		fleet.NewMember("b:1", "b:2", "ikeja", "", 1).WithState(fleet.Alive),
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s startingDaemons
			for _, r := range c.records {
				assert.Equal(t, r.Kind() == kindStarting, s.receiveRecord(0, r))
			}
			s.removeExpired(c.at)
			assert.Len(t, s.servingMembers(members), c.want)
		})
	}
}
