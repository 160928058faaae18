package clock_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Guards against a manual clock that advances with real time, which would make tests
// depend on the speed of the computer.
func TestManualClockMovesOnlyWhenAdvanced(t *testing.T) {
	var m clock.Manual
	c := m.Clock()
	require.Equal(t, clock.Millis(0), c.Now())
	m.Advance(3 * clock.Second)
	require.Equal(t, 3*clock.Second, c.Now())
}

// Guards against a system clock that goes back, so that a deadline that has passed
// would be in the future again.
func TestSystemClockNeverGoesBack(t *testing.T) {
	var c clock.Clock
	last := c.Now()
	for range 1000 {
		now := c.Now()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
}
