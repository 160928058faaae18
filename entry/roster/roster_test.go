package roster

import (
	"math/rand/v2"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

func member(name, dataCentre string) fleet.Member {
	return fleet.NewMember(fleet.ID(name+":1"), name+":2", dataCentre, "r", 1)
}

// Guards against a daemon that is cut off and has nobody to name, and against
// one that names daemons which stopped long ago.
func TestDaemonsElsewhereAreRememberedWhenCutOff(t *testing.T) {
	var manual clock.Manual
	manual.Advance(clock.Hour)
	r := New(Parts{Clock: manual.Clock(), Log: logr.Discard(), Self: member("self", "x"), Random: rand.New(rand.NewPCG(1, 2))})
	hear := func(members ...fleet.Member) ([]string, bool) {
		r.serving = members
		return r.Elsewhere()
	}
	own, near, far := member("self", "x"), member("b", "y"), member("c", "z")

	found, linked := hear(own)
	assert.Empty(t, found, "no data centre but its own is known")
	assert.False(t, linked)

	found, linked = hear(own, near, far)
	assert.ElementsMatch(t, []string{"b:2", "c:2"}, found)
	assert.True(t, linked)

	manual.Advance(clock.Second)
	found, linked = hear(own, near)
	assert.Equal(t, []string{"b:2"}, found, "one that is not heard of is not named beside others")
	assert.True(t, linked)

	manual.Advance(clock.Second)
	found, linked = hear(own)
	assert.ElementsMatch(t, []string{"b:2", "c:2"}, found, "cut off: the last ones that were heard of")
	assert.False(t, linked)

	manual.Advance(remembered)
	found, _ = hear(own)
	assert.Empty(t, found, "not heard of for too long")

	_, _ = hear(own, near, far)
	manual.Advance(alone + clock.Second)
	_, _ = hear(own, near)
	found, _ = hear(own)
	assert.Equal(t, []string{"b:2"}, found, "one that stopped long before the cut")
}
