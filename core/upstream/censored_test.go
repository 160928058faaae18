package upstream_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Guards against quantiles that are too low because slow exchanges are cancelled once
// their hedge has answered. With 1 % stragglers and every exchange above the p97
// cancelled, 3 % of the latencies must still be above the p97.
func TestQuantileCountsAbandonedExchanges(t *testing.T) {
	var p upstream.Pool
	p.Add(0, upstream.NewReplica("a", "ikeja"))
	random := rand.New(rand.NewPCG(1, 2))
	request := upstream.NewPickRequest(0, 1, []string{"a"})
	above, total := 0, 0
	for i := range 50000 {
		now := clock.Millis(i)
		latency := clock.Millis(5 * math.Exp(0.35*random.NormFloat64()))
		if random.Float64() < 0.01 {
			latency *= 50
		}
		delay, known := p.Quantile(0.97)
		choice, err := p.Pick(now, request)
		require.NoError(t, err)
		outcome := upstream.OK
		if known && i > 10000 {
			total++
			if latency > delay {
				above++
				outcome, latency = upstream.Cancelled, delay+5
			}
		}
		p.Done(now, choice, upstream.NewResult(outcome, latency, "boot"))
	}
	require.InDelta(t, 0.03, float64(above)/float64(total), 0.004)
}
