package load

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a rotation of services in step with that of the entries, which
// would query each service at one daemon only.
func TestEachServiceIsQueriedAtEveryEntry(t *testing.T) {
	const services, entries = 4, 4
	pairs := make(map[[2]int]bool)
	counts := make([]int, services)
	for i := range services * entries {
		service := serviceIndex(i, services)
		counts[service]++
		pairs[[2]int{service, i % entries}] = true
	}
	require.Len(t, pairs, services*entries)
	require.Equal(t, []int{entries, entries, entries, entries}, counts)
}
