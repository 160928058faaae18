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
		require.True(t, r.Due(0, first, false))
		require.False(t, r.Due(1000, first, true))
		require.False(t, r.Due(2000, first, false), "once in an era")
		at := clock.Millis(10_000)
		for ; !r.Due(at, second, false); at += 10 {
			require.Less(t, at, 10_000+reregistrationSpread)
		}
		latest = max(latest, at)
		r.RecordWrite()
		require.False(t, r.Due(at+reregistrationSpread, second, false))
		require.False(t, r.Due(at+reregistrationSpread, NewEra(3, 0), true), "the store has it")
	}
	assert.Greater(t, latest, 10_000+reregistrationSpread/2)
}
