package telemetry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/route"
)

func newRoute(t *testing.T, name string, priority int) *route.Route {
	t.Helper()
	r, err := route.NewRoute(route.Spec{
		Name: name, Host: "h", Prefix: "/", Timeout: clock.Second, Objective: clock.Second, MaxAttempts: 1,
		Priority: priority, Splits: []route.Split{route.NewSplit("s", 1)},
	})
	require.NoError(t, err)
	return r
}

// Guards against metrics that are missing from the text, and against memory that
// grows with the number of routes, classes and services.
func TestRouteMetricsAreCompleteAndBounded(t *testing.T) {
	var r Routes
	r.AttemptSent("feed", "shard-1", "first")
	r.SetGauge("logs.dropped", 3)
	r.AttemptEnded("shard-1", "not connected")
	r.RequestFinished(newRoute(t, "feed", 1), "gathered", 200, 1, 12.5)
	r.RequestFinished(newRoute(t, "lookup", 1), "answered", 200, 0, 3)
	for i := range 10 * maxRoutes {
		r.RequestFinished(newRoute(t, fmt.Sprintf("route-%d", i), i+2), "refused", 503, 0, 1)
		r.AttemptSent("", fmt.Sprintf("service-%d", i), "first")
	}
	var out strings.Builder
	require.NoError(t, r.WriteText(&out))
	text := out.String()
	for _, line := range []string{
		"logs.dropped 3", "route.feed.outcome.gathered 1", "route.feed.status.200 1", "route.feed.partial 1",
		"route.feed.latency.p99 12500", "class.1.status.200 2", "class.1.outcome.gathered 1", "class.1.partial 1",
		"class.1.latency.p99 12500", "service.shard-1.sent.first 1", "service.shard-1.ended.not-connected 1",
	} {
		assert.Contains(t, text, line+"\n")
	}
	assert.Contains(t, text, "route.other.outcome.refused")
	assert.Contains(t, text, "class.other.outcome.refused")
	assert.Less(t, strings.Count(text, "\n"), 8*maxRoutes+8*maxClasses+4*maxServices)
}
