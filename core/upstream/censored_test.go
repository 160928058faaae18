package upstream_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Guards against quantiles that ignore the stragglers which hedges replaced:
// with 1 % of them cancelled, the p97 must still leave 3 % above it.
func TestQuantileCountsAbandonedExchanges(t *testing.T) {
	var p upstream.Pool
	p.Add(0, upstream.NewReplica("a", "ikeja"))
	random := rand.New(rand.NewPCG(1, 2))
	ask := upstream.NewPickRequest(0, 1, []string{"a"})
	above, total := 0, 0
	for i := range 50000 {
		now := clock.Millis(i)
		latency := clock.Millis(5 * math.Exp(0.35*random.NormFloat64()))
		if random.Float64() < 0.01 {
			latency *= 50
		}
		delay, known := p.Quantile(0.97)
		choice, err := p.Pick(now, ask)
		require.NoError(t, err)
		kind := upstream.OK
		if known && i > 10000 {
			total++
			if latency > delay {
				above++
				kind, latency = upstream.Cancelled, delay+5
			}
		}
		p.Done(now, choice, upstream.NewResult(kind, latency, "boot"))
	}
	require.InDelta(t, 0.03, float64(above)/float64(total), 0.004)
}
