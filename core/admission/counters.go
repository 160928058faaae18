package admission

import (
	"cmp"
	"slices"
)

const (
	// maxCounters bounds the pairs of class and tenant that are counted separately,
	// since callers choose the names.
	maxCounters = 1000
	// OtherTenant is the tenant of the counter, without a class, for the items of
	// all pairs beyond that bound.
	OtherTenant = "(other)"
)

// Count is the number of decisions by outcome for one class and tenant.
type Count struct {
	class    string
	tenant   string
	admitted uint64
	refused  [reasonCount]uint64
}

// Class returns the class of the counted items.
func (c Count) Class() string { return c.class }

// Tenant returns the tenant of the counted items, or OtherTenant.
func (c Count) Tenant() string { return c.tenant }

// Admitted returns the number of admitted items.
func (c Count) Admitted() uint64 { return c.admitted }

// Refused returns the number of items that were refused for the reason.
func (c Count) Refused(reason Reason) uint64 { return c.refused[reason] }

// Counts returns a copy of the counters, ordered by class and tenant. Items that
// were refused as Duplicate are not counted.
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

// counters counts the decisions by class and tenant.
type counters struct {
	counts map[counterKey]*Count
}

// count returns the counter of the item, which it creates if there is none.
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
	created := &Count{class: key.class, tenant: key.tenant}
	c.counts[key] = created
	return created
}

func (c *counters) countAdmitted(item Item) { c.count(item).admitted++ }

func (c *counters) countRefused(item Item, reason Reason) { c.count(item).refused[reason]++ }
