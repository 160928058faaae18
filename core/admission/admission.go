// Package admission decides which requests of a service run now, which wait
// and which are refused.
//
// A Queue bounds the requests that run and those that wait. Waiting requests
// are ordered by the priority of their class and then by weighted turns between
// tenants, so that one tenant's burst does not delay the others. A request
// that cannot finish before its deadline is refused at once, which leaves its
// caller time to do something else. Every refusal means that the request was
// not run.
//
// # Usage
//
//	var q admission.Queue
//	item := admission.NewItem(id, deadline).WithClass("officer", 50).WithTenant("state-board", 2)
//	for _, action := range q.Offer(now, item) {
//		// Admit: run the item, then call q.Finish(now, id)
//		// Refuse: answer with action.Reason()
//		// Wake: call q.Tick at action.At()
//	}
package admission

import "github.com/lovagegap/lovagegap/core/clock"

// ID identifies an item for as long as it waits or runs.
type ID uint64

// Item is a request that wants to run.
type Item struct {
	id       ID
	deadline clock.Millis
	class    string
	priority int
	tenant   string
	weight   float64
}

// NewItem returns an item with an absolute deadline. It has the default
// priority, no class and no tenant.
func NewItem(id ID, deadline clock.Millis) Item {
	return Item{id: id, deadline: deadline, priority: DefaultPriority, weight: 1}
}

// WithClass returns the item with its class and the priority of that class.
func (i Item) WithClass(class string, priority int) Item {
	i.class, i.priority = class, priority
	return i
}

// WithTenant returns the item with its tenant and the tenant's weight.
func (i Item) WithTenant(tenant string, weight float64) Item {
	i.tenant, i.weight = tenant, weight
	if weight <= 0 {
		i.weight = 1
	}
	return i
}

// ID returns the item's identity.
func (i Item) ID() ID { return i.id }

// Deadline returns the instant after which the item is of no use.
func (i Item) Deadline() clock.Millis { return i.deadline }

// Class returns the caller's class.
func (i Item) Class() string { return i.class }

// Priority returns the priority of the class.
func (i Item) Priority() int { return i.priority }

// Tenant returns the caller's tenant.
func (i Item) Tenant() string { return i.tenant }

// Weight returns the weight of the tenant.
func (i Item) Weight() float64 { return i.weight }

// ActionKind says what the adapter must do.
type ActionKind uint8

// Kinds of actions.
const (
	// Admit runs the item. Its end is reported with Finish.
	Admit ActionKind = iota
	// Refuse answers that the item was not run.
	Refuse
	// Wake calls Tick at the given instant.
	Wake
)

// Reason says why an item was refused.
type Reason uint8

// Reasons.
const (
	// None is the reason of actions that refuse nothing.
	None Reason = iota
	// Overflow: the queue is full and the item had the lowest claim.
	Overflow
	// Late: the item cannot finish before its deadline.
	Late
	// Duplicate: an item of the same id waits or runs.
	Duplicate

	reasonCount
)

var reasonNames = [reasonCount]string{"", "queue full", "deadline cannot be met", "duplicate id"}

// String names the reason as it appears in errors and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Action is an instruction of a Queue to its adapter.
type Action struct {
	kind   ActionKind
	id     ID
	reason Reason
	at     clock.Millis
}

// Kind returns what to do.
func (a Action) Kind() ActionKind { return a.kind }

// ID returns the item of an Admit or a Refuse.
func (a Action) ID() ID { return a.id }

// Reason returns why a Refuse was decided.
func (a Action) Reason() Reason { return a.reason }

// At returns the instant of a Wake.
func (a Action) At() clock.Millis { return a.at }
