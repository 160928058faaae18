package admission

import (
	"cmp"
	"slices"
)

const (
	// maxCounters bounds the distinct classes and tenants that are counted,
	// since callers choose the names.
	maxCounters = 1000
	// OtherTenant counts the items beyond that bound.
	OtherTenant = "(other)"
)

// Count is the number of decisions for one class and tenant.
type Count struct {
	class    string
	tenant   string
	admitted uint64
	refused  [reasonCount]uint64
}

// Class returns the class that is counted.
func (c Count) Class() string { return c.class }

// Tenant returns the tenant that is counted.
func (c Count) Tenant() string { return c.tenant }

// Admitted returns the number of admitted items.
func (c Count) Admitted() uint64 { return c.admitted }

// Refused returns the number of items refused for reason.
func (c Count) Refused(reason Reason) uint64 { return c.refused[reason] }

// Counts returns the counters in the order of class and tenant.
func (q *Queue) Counts() []Count {
	counts := make([]Count, 0, len(q.counters.counts))
	for _, c := range q.counters.counts {
		counts = append(counts, *c)
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.tenant, b.tenant))
	})
	return counts
}

type counterKey struct{ class, tenant string }

// counters counts decisions by class and tenant.
type counters struct {
	counts map[counterKey]*Count
}

func (c *counters) count(item Item) *Count {
	if c.counts == nil {
		c.counts = make(map[counterKey]*Count)
	}
	key := counterKey{item.class, item.tenant}
	if found := c.counts[key]; found != nil {
		return found
	}
	if len(c.counts) >= maxCounters {
		key = counterKey{tenant: OtherTenant}
	}
	if found := c.counts[key]; found != nil {
		return found
	}
	made := &Count{class: key.class, tenant: key.tenant}
	c.counts[key] = made
	return made
}

func (c *counters) countAdmitted(item Item) { c.count(item).admitted++ }

func (c *counters) countRefused(item Item, reason Reason) { c.count(item).refused[reason]++ }
