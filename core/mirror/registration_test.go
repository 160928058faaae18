package mirror

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Guards against daemons that nobody finds after the store has lost their registrations, and
// against all of them registering at a time.
func TestRegistrationIsRepeatedAfterRestore(t *testing.T) {
	first, second := NewEra(1, 0), NewEra(2, 0)
	var latest clock.Millis
	for seed := range uint64(20) {
		r := NewRegistration(rand.New(rand.NewPCG(seed, 1)))
		require.True(t, r.Begin(0, first, false))
		r.RecordWrite(first, false)
		require.False(t, r.Begin(1000, first, true))
		require.False(t, r.Begin(2000, first, false), "once in an era")
		at := clock.Millis(10_000)
		for ; !r.Begin(at, second, false); at += 10 {
			require.Less(t, at, 10_000+reregistrationSpread)
		}
		latest = max(latest, at)
		r.RecordWrite(second, true)
		require.False(t, r.Begin(at+reregistrationSpread, second, false))
		require.False(t, r.Begin(at+reregistrationSpread, NewEra(3, 0), true), "the store has it")
	}
	assert.Greater(t, latest, 10_000+reregistrationSpread/2)
}

// Guards against writes of one daemon that overlap, and against a registration that a restore
// during its write has lost.
func TestRegistrationLostDuringWriteIsRepeated(t *testing.T) {
	first, second := NewEra(1, 0), NewEra(2, 0)
	var latest clock.Millis
	for seed := range uint64(20) {
		r := NewRegistration(rand.New(rand.NewPCG(seed, 1)))
		require.True(t, r.Begin(0, first, false))
		require.False(t, r.Begin(100, first, false), "a write is in progress")
		require.False(t, r.Begin(200, second, false), "a write is in progress")
		r.RecordWrite(first, true)
		at := clock.Millis(200)
		for ; !r.Begin(at, second, false); at += 10 {
			require.Less(t, at, 200+reregistrationSpread)
		}
		latest = max(latest, at)
		r.RecordWrite(second, true)
		require.False(t, r.Begin(300+reregistrationSpread, second, false))
	}
	assert.Greater(t, latest, 200+reregistrationSpread/2)
}
