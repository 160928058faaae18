package telemetry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

const (
	// maxShownTenants is the number of tenants with metrics of their own.
	maxShownTenants = 50
	// maxCountedTenants bounds the tenants that are counted apart. Names come from the
	// operators' configurations, of which a daemon may see many.
	maxCountedTenants = 20_000
	// maxRefusalReasons bounds the reasons for which requests of a tenant are refused.
	maxRefusalReasons = 8
)

// tenantCounts holds the numbers of a tenant's requests, and of the refused ones by reason.
type tenantCounts struct {
	requests int64
	refused  [maxRefusalReasons]int64 // in the order of tenantSeries.reasons
}

// tenantSeries counts the requests of tenants, and those that were refused for their key.
// The zero value is ready for use. It is not safe for concurrent use.
type tenantSeries struct {
	byName     map[string]*tenantCounts
	reasons    []string
	keyRefused map[string]int64 // by reason
}

// TenantRequest counts a request of a tenant, and the reason if it was refused.
func (t *Routes) TenantRequest(tenant, refused string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tenants.count(tenant, refused)
}

// KeyRefused counts a request that was refused for its key.
func (t *Routes) KeyRefused(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tenants.keyRefused == nil {
		t.tenants.keyRefused = make(map[string]int64)
	}
	t.tenants.keyRefused[reason]++
}

func (s *tenantSeries) count(name, refused string) {
	if s.byName == nil {
		s.byName = make(map[string]*tenantCounts)
	}
	if s.byName[name] == nil && len(s.byName) >= maxCountedTenants {
		name = overflowName
	}
	counts := s.byName[name]
	if counts == nil {
		counts = &tenantCounts{}
		s.byName[name] = counts
	}
	counts.requests++
	if refused == "" {
		return
	}
	i := slices.Index(s.reasons, refused)
	if i < 0 {
		if len(s.reasons) == maxRefusalReasons {
			return
		}
		i = len(s.reasons)
		s.reasons = append(s.reasons, refused)
	}
	counts.refused[i]++
}

// appendText appends the metrics of the tenants with most requests, the sum of the others,
// and the refusals for keys.
func (s *tenantSeries) appendText(lines []string) []string {
	names := slices.SortedFunc(maps.Keys(s.byName), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.byName[b].requests, s.byName[a].requests), cmp.Compare(a, b))
	})
	var others tenantCounts
	shown := 0
	for _, name := range names {
		counts := s.byName[name]
		if shown < maxShownTenants && name != overflowName {
			shown++
			lines = s.appendTenant(lines, name, counts)
			continue
		}
		others.requests += counts.requests
		for i, refused := range counts.refused {
			others.refused[i] += refused
		}
	}
	if others.requests > 0 {
		lines = s.appendTenant(lines, overflowName, &others)
	}
	for reason, count := range s.keyRefused {
		lines = append(lines, fmt.Sprintf("keys.refused.%s %d", reason, count))
	}
	return lines
}

func (s *tenantSeries) appendTenant(lines []string, name string, counts *tenantCounts) []string {
	lines = append(lines, fmt.Sprintf("tenant.%s.requests %d", name, counts.requests))
	for i, reason := range s.reasons {
		if counts.refused[i] > 0 {
			lines = append(lines, fmt.Sprintf("tenant.%s.refused.%s %d", name, reason, counts.refused[i]))
		}
	}
	return lines
}
