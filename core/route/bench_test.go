package route

import (
	"fmt"
	"testing"
)

// BenchmarkTenantOfKey measures the check of a request's key among 10,000 tenants.
func BenchmarkTenantOfKey(b *testing.B) {
	var tenants []TenantKeys
	for i := range 10_000 {
		tenants = append(tenants, TenantKeys{NewTenant(fmt.Sprint("tenant-", i), 0, 1, 1), []string{fmt.Sprintf("key-%032d", i)}})
	}
	table, err := NewTable(1, nil, nil, Limits{})
	if err != nil {
		b.Fatal(err)
	}
	if table, err = table.WithTenants(NewKeyHasher([]byte("secret")), tenants); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.TenantOfKey(tenants[77].Keys[0]); !ok {
			b.Fatal("unknown key")
		}
	}
}
