package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// TestRegularRate guards against a rate that is too low until the window is full, or
// that stays after the requests have ended.
func TestRegularRate(t *testing.T) {
	var w WindowBudget
	assert.Zero(t, w.RegularRate(0))
	w.Configure(0.2, 10, 10*clock.Second, 0)
	for now := 60 * clock.Second; now < 64*clock.Second; now += 50 {
		w.RecordRegular(now)
	}
	assert.InDelta(t, 20, w.RegularRate(64*clock.Second), 1)
	assert.InDelta(t, 8, w.RegularRate(70*clock.Second), 1)
	assert.Zero(t, w.RegularRate(90*clock.Second))
}
