package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Guards against a clock that goes back or does not advance.
func TestClockAdvances(t *testing.T) {
	for name, c := range map[string]clock.Clock{"system": Clock(), "fallback": clock.New(readWallClock)} {
		began := c.Now()
		time.Sleep(20 * time.Millisecond)
		assert.GreaterOrEqual(t, float64(c.Now()-began), 19.0, name)
	}
}

// Guards against a fallback that misses suspension, or that goes back with the time of day.
func TestFallbackCountsSuspension(t *testing.T) {
	var c wallClock
	assert.EqualValues(t, 100, c.now(100, 100))
	assert.EqualValues(t, 9200, c.now(9200, 200), "suspended for 9 s")
	assert.EqualValues(t, 9300, c.now(-5000, 300), "time of day set back")
}
