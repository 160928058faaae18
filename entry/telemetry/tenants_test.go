package telemetry

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against metrics whose number grows with the tenants, against a busy tenant that
// has none of its own, and against requests that are lost in the sum.
func TestTenantMetricsAreBounded(t *testing.T) {
	var r Routes
	for i := range maxCountedTenants + 10 {
		r.TenantRequest(fmt.Sprintf("t%d", i), "")
	}
	for range 3 {
		r.TenantRequest("t17000", "limit")
	}
	for i := range maxRefusalReasons + 2 {
		r.TenantRequest("t17000", fmt.Sprintf("reason-%d", i))
	}
	r.KeyRefused("unknown")
	var text strings.Builder
	require.NoError(t, r.WriteText(&text))
	assert.Equal(t, maxShownTenants+1, strings.Count(text.String(), ".requests "))
	assert.Contains(t, text.String(), "tenant.t17000.requests 14\n")
	assert.Contains(t, text.String(), "tenant.t17000.refused.limit 3\n")
	assert.Contains(t, text.String(), fmt.Sprintf("tenant.other.requests %d\n", maxCountedTenants+10-maxShownTenants))
	assert.Contains(t, text.String(), "keys.refused.unknown 1\n")
}
