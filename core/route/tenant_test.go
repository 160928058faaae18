package route

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func withTenants(t *testing.T, tenants ...TenantKeys) (*Table, error) {
	t.Helper()
	table, err := NewTable(1, nil, nil, Limits{})
	require.NoError(t, err)
	return table.WithTenants(NewKeyHasher([]byte("secret")), tenants)
}

// Guards against a request that is taken for one of another tenant, and against a key
// that matches although it is unusable: an empty one would admit requests without key.
func TestKeysSelectTenants(t *testing.T) {
	long := strings.Repeat("k", maxKeyBytes+1)
	a, b := NewTenant("a", 0, 10, 5), NewTenant("b", 2, 0, 0)
	table, err := withTenants(t, TenantKeys{a, []string{"k1", "k2", ""}}, TenantKeys{b, []string{"k 3", long}})
	require.NoError(t, err)
	assert.True(t, table.HasTenants())
	for key, expected := range map[string]*Tenant{"k1": a, "k2": a, "k 3": b, "": nil, long: nil, "k": nil, "K1": nil} {
		tenant, ok := table.TenantOfKey(key)
		assert.Equal(t, expected != nil, ok, "key %.5q", key)
		assert.Same(t, expected, tenant, "key %.5q", key)
	}
	none, err := withTenants(t)
	require.NoError(t, err)
	assert.False(t, none.HasTenants())
}

// Guards against a configuration that leaves open which tenant a key belongs to, one
// whose names cannot be header values, and keys in error messages.
func TestInvalidTenantsAreRejected(t *testing.T) {
	for name, tenants := range map[string][]TenantKeys{
		"empty name":        {{NewTenant("", 0, 0, 0), nil}},
		"line break":        {{NewTenant("a\r\nb", 0, 0, 0), nil}},
		"negative priority": {{NewTenant("a", -2, 0, 0), nil}},
		"negative rate":     {{NewTenant("a", 0, -1, 0), nil}},
		"undefined burst":   {{NewTenant("a", 0, 1, math.NaN()), nil}},
		"repeated name":     {{NewTenant("a", 0, 0, 0), nil}, {NewTenant("a", 0, 0, 0), nil}},
		"shared key":        {{NewTenant("a", 0, 0, 0), []string{"k-1"}}, {NewTenant("b", 0, 0, 0), []string{"k-1"}}},
	} {
		_, err := withTenants(t, tenants...)
		require.ErrorIs(t, err, ErrInvalid, name)
		assert.NotContains(t, err.Error(), "k-1", name)
	}
}

// Guards against a tenant's priority that does not take precedence over its route's, and
// one that counts on public routes.
func TestPrioritiesOfServices(t *testing.T) {
	newRoute := func(service string, priority int, public bool) *Route {
		r, err := NewRoute(Spec{Name: service, Host: "h", Prefix: "/" + service + "/", Timeout: 10, Objective: 5, MaxAttempts: 1,
			Priority: priority, Public: public, Splits: []Split{NewSplit(service, 1)}})
		require.NoError(t, err)
		return r
	}
	routes := []*Route{newRoute("a", 4, false), newRoute("a", 2, false), newRoute("b", 7, true)}
	table, err := NewTable(1, routes, []Service{NewService("a", 0, 0), NewService("b", 0, 0)}, Limits{})
	require.NoError(t, err)
	assert.Equal(t, map[string][]int{"a": {2, 4}, "b": {7}}, table.Priorities(), "without tenants")
	own, first, none := NewTenant("x", 3, 0, 0), NewTenant("y", 0, 0, 0), NewTenant("z", NoPriority, 0, 0)
	table, err = table.WithTenants(NewKeyHasher(nil), []TenantKeys{{own, nil}, {first, nil}, {none, nil}})
	require.NoError(t, err)
	assert.Equal(t, map[string][]int{"a": {0, 2, 3, 4}, "b": {7}}, table.Priorities())
	assert.Equal(t, []int{3, 0, 4}, []int{own.PriorityOn(routes[0]), first.PriorityOn(routes[0]), none.PriorityOn(routes[0])})
}
