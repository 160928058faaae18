package telemetry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against figures that are missing in the text, and against names of
// routes that grow the memory without bound.
func TestRoutesAreCountedWithinBounds(t *testing.T) {
	var r Routes
	r.Sent("feed", "shard-1", "first")
	r.Ended("shard-1", "not connected")
	r.Finished("feed", "gathered", 200, 1, 12.5)
	for i := range 10 * maxRoutes {
		r.Finished(fmt.Sprintf("route-%d", i), "refused", 503, 0, 1)
		r.Sent("", fmt.Sprintf("service-%d", i), "first")
	}
	var out strings.Builder
	require.NoError(t, r.WriteText(&out))
	text := out.String()
	for _, line := range []string{
		"route.feed.outcome.gathered 1", "route.feed.status.200 1", "route.feed.partial 1",
		"route.feed.latency.p99 12500", "service.shard-1.sent.first 1", "service.shard-1.ended.not-connected 1",
	} {
		assert.Contains(t, text, line+"\n")
	}
	assert.Contains(t, text, "route.other.outcome.refused")
	assert.Less(t, strings.Count(text, "\n"), 8*maxRoutes+4*maxServices)
}
