package admission

import (
	"math"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// pruneThreshold is the number of flows of a level from which those without waiting
// items are removed. Callers choose the tenants, so their number is not bounded.
const pruneThreshold = 1024

// level holds the waiting items of one priority. Tenants are served by stride
// scheduling: the flow with the lowest pass is next, and serving an item advances
// its pass by the inverse of its weight.
type level struct {
	priority int
	flows    []*flow
	byTenant map[string]*flow
	waiting  int
	lastPass float64 // pass of the flow that was served last, before it advanced
}

// flow is the FIFO queue of one tenant within a level.
type flow struct {
	level  *level
	tenant string
	weight float64
	pass   float64
	items  []Item
}

// push appends an item to the flow of its tenant, and returns the flow. A flow
// without waiting items starts at lastPass, so that idle time earns no credit.
func (l *level) push(item Item) *flow {
	f := l.byTenant[item.tenant]
	if f == nil {
		l.pruneIdleFlows()
		f = &flow{level: l, tenant: item.tenant}
		l.byTenant[item.tenant] = f
		l.flows = append(l.flows, f)
	}
	if len(f.items) == 0 {
		f.pass = max(f.pass, l.lastPass)
	}
	f.weight = item.weight
	f.items = append(f.items, item)
	l.waiting++
	return f
}

// pop removes and returns the next item. At least one must wait.
func (l *level) pop() Item {
	var next *flow
	for _, f := range l.flows {
		if len(f.items) > 0 && (next == nil || f.pass < next.pass) {
			next = f
		}
	}
	l.lastPass = next.pass
	next.pass += 1 / next.weight
	item := next.items[0]
	next.items = next.items[1:]
	l.waiting--
	return item
}

// longestFlow returns the flow with the most waiting items relative to its weight;
// of equal ones, the one that was created first.
func (l *level) longestFlow() *flow {
	var found *flow
	for _, f := range l.flows {
		if len(f.items) == 0 {
			continue
		}
		if found == nil || f.weightedLength() > found.weightedLength() {
			found = f
		}
	}
	return found
}

// weightedLength returns the number of waiting items per unit of weight.
func (f *flow) weightedLength() float64 { return float64(len(f.items)) / f.weight }

// countAhead estimates how many waiting items of the level are served before a new
// item.
func (l *level) countAhead(item Item) int {
	own := 0
	pass := l.lastPass
	if f := l.byTenant[item.tenant]; f != nil {
		own = len(f.items)
		pass = max(pass, f.pass)
	}
	finish := pass + float64(own)/item.weight
	count := own
	for _, f := range l.flows {
		if f.tenant == item.tenant || len(f.items) == 0 {
			continue
		}
		turns := math.Floor((finish-f.pass)*f.weight) + 1
		count += int(min(max(turns, 0), float64(len(f.items))))
	}
	return count
}

// pruneIdleFlows removes the flows without waiting items once there are
// pruneThreshold flows.
func (l *level) pruneIdleFlows() {
	if len(l.flows) < pruneThreshold {
		return
	}
	l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
		if len(f.items) > 0 {
			return false
		}
		delete(l.byTenant, f.tenant)
		return true
	})
}

// popNewest removes and returns the newest item. At least one must wait.
func (f *flow) popNewest() Item {
	last := len(f.items) - 1
	item := f.items[last]
	f.items = f.items[:last]
	f.level.waiting--
	return item
}

// remove removes an item, which must be in the flow.
func (f *flow) remove(id ID) {
	f.items = slices.DeleteFunc(f.items, func(item Item) bool { return item.id == id })
	f.level.waiting--
}

// takeLate removes and returns the items with a deadline at or before finish.
func (f *flow) takeLate(finish clock.Millis) []Item {
	var late []Item
	f.items = slices.DeleteFunc(f.items, func(item Item) bool {
		if item.deadline > finish {
			return false
		}
		late = append(late, item)
		return true
	})
	f.level.waiting -= len(late)
	return late
}

// earliestDeadline returns the earliest of the deadlines of the flow's items and
// other, where 0 means no deadline.
func (f *flow) earliestDeadline(other clock.Millis) clock.Millis {
	for _, item := range f.items {
		if other == 0 || item.deadline < other {
			other = item.deadline
		}
	}
	return other
}
