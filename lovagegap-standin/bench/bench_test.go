package bench

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// shortScenario returns a run of few queries.
func shortScenario(s service, v variant, faults func(*simulation)) scenario {
	return newTimedScenario(s, v, highLoad, 2500, faults)
}

// Guards against runs that depend on the order of a map or on the wall clock.
func TestRunIsDeterministic(t *testing.T) {
	x := shortScenario(services[4].withStragglers(), lovagegap, repeatedRestarts)
	first, second := run(x), run(x)
	require.Equal(t, first.samples, second.samples)
	require.Equal(t, first.sent, second.sent)
	require.Positive(t, first.hedges)
}

// Guards the bound of a cold upstream, and the count of violations itself: the
// baseline must exceed the bound in the same run.
func TestColdStartGateKeepsBound(t *testing.T) {
	require.Zero(t, run(shortScenario(services[0], lovagegap, repeatedRestarts)).aboveColdBound)
	require.Positive(t, run(shortScenario(services[0], roundRobin, repeatedRestarts)).aboveColdBound)
}
