package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Guards against extras above the fleet-wide budget in any window: three
// daemons with uneven and changing load take all that their parts allow.
func TestFleetStaysWithinBudgetInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, span, daemons = 0.2, 54.0, 10 * clock.Second, 3
		windows := make([]WindowBudget, daemons)
		for i := range windows {
			windows[i].Configure(ratio, slack/daemons, span, 0)
		}
		var regular, extra []clock.Millis
		now := clock.Millis(0)
		rate := 1.0
		for now < 40*clock.Second {
			now += clock.Millis(rapid.Float64Range(1, 40).Draw(t, "gap") / rate)
			if rapid.IntRange(0, 200).Draw(t, "change") == 0 {
				rate = rapid.Float64Range(0.05, 3).Draw(t, "rate")
			}
			w := &windows[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			w.RecordRegular(now)
			regular = append(regular, now)
			for w.Take(now, 0) {
				extra = append(extra, now)
			}
		}
		for _, from := range extra {
			sent := countBetween(extra, from, from+span)
			// The regular requests are those of this window, of the one before or
			// of the one half a window before, whichever has most.
			asked := max(countBetween(regular, from, from+span), countBetween(regular, from-span/2, from+span/2),
				countBetween(regular, from-span, from))
			if float64(sent) > ratio*float64(asked)+slack+ratio*float64(asked)*0.1+1 {
				t.Fatalf("%d extras from %v for %d requests", sent, from, asked)
			}
		}
	})
}

func countBetween(instants []clock.Millis, from, to clock.Millis) int {
	n := 0
	for _, at := range instants {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Guards against a daemon that restarts and spends the whole slack anew.
func TestSlackGrowsOverFirstWindow(t *testing.T) {
	var w WindowBudget
	w.Configure(0.2, 40, 10*clock.Second, 1000)
	assert.InDelta(t, 10, w.Remaining(1000), 0.1)
	assert.InDelta(t, 40, w.Remaining(11000), 0.1)
	assert.False(t, w.Take(1000, 20), "what is reserved is not taken")
}

// Guards against a zero Window that allows repeats without a budget.
func TestZeroWindowBudgetAllowsNothing(t *testing.T) {
	var w WindowBudget
	w.RecordRegular(5)
	assert.False(t, w.Take(5, 0))
}
