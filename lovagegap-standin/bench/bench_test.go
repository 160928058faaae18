package bench

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// shortScenario returns a scenario of 2.5 s at high load.
func shortScenario(s service, v variant, faults func(*simulation)) scenario {
	return newTimedScenario(s, v, highLoad, 2500*clock.Millisecond, faults)
}

// Guards against results that differ between two runs of a scenario, because code of
// the simulation or the core depends on map order or on the wall clock.
func TestRunIsDeterministic(t *testing.T) {
	x := shortScenario(services[4].withStragglers(), lovagegap, repeatedRestarts)
	first, second := run(x), run(x)
	require.Equal(t, first.samples, second.samples)
	require.Equal(t, first.sent, second.sent)
	require.Positive(t, first.hedges)
}

// Guards against sub-requests above the capacity of a cold upstream with the cold-start
// gate. The round-robin baseline must exceed the bound in the same scenario, else the
// counter of violations is broken.
func TestColdStartGateKeepsBound(t *testing.T) {
	require.Zero(t, run(shortScenario(services[0], lovagegap, repeatedRestarts)).aboveColdBound)
	require.Positive(t, run(shortScenario(services[0], roundRobin, repeatedRestarts)).aboveColdBound)
}
