package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/clock"
)

// TestFleetStaysWithinBudgetInAnyWindow guards against more extra requests than
// the fleet-wide budget allows in some window, when daemons with uneven and
// changing load each use their whole share.
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
			// The regular requests count in this window, the previous one, or one
			// that starts half a length earlier, whichever has most.
			regularCount := max(countBetween(regular, from, from+span), countBetween(regular, from-span/2, from+span/2),
				countBetween(regular, from-span, from))
			if float64(sent) > ratio*float64(regularCount)+slack+ratio*float64(regularCount)*0.1+1 {
				t.Fatalf("%d extra requests in the window from %v for %d regular requests", sent, from, regularCount)
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

// TestSlackGrowsOverFirstWindow guards against a daemon that uses the whole slack
// again after each restart.
func TestSlackGrowsOverFirstWindow(t *testing.T) {
	var w WindowBudget
	w.Configure(0.2, 40, 10*clock.Second, 1000)
	assert.InDelta(t, 10, w.Remaining(1000), 0.1)
	assert.InDelta(t, 40, w.Remaining(11000), 0.1)
	assert.False(t, w.Take(1000, 20), "Take leaves the reserve")
}

// TestZeroWindowBudgetAllowsNothing guards against extra requests without a budget
// before the budget is configured.
func TestZeroWindowBudgetAllowsNothing(t *testing.T) {
	var w WindowBudget
	w.RecordRegular(5)
	assert.False(t, w.Take(5, 0))
}
