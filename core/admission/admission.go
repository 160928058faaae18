// Package admission decides which requests of a service run now, which wait
// and which are refused.
//
// A Queue bounds the number of requests that run and that wait. Waiting requests
// are ordered by the priority of their class, and within a priority by weighted
// fair queueing among tenants, so that a burst of one tenant does not delay the
// others. A request that is not expected to finish before its deadline is
// refused at once, which leaves its caller time for an alternative. A refused
// request has not been run.
//
// A Queue performs no I/O and has no timers: its methods return the Actions
// that the caller must carry out.
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

// Item is a request that is offered to a Queue.
type Item struct {
	id       ID
	deadline clock.Millis
	class    string
	priority int
	tenant   string
	weight   float64
}

// NewItem returns an item with an absolute deadline, DefaultPriority, no class, and
// no tenant.
func NewItem(id ID, deadline clock.Millis) Item {
	return Item{id: id, deadline: deadline, priority: DefaultPriority, weight: 1}
}

// WithClass returns the item with its class and the priority of that class.
func (i Item) WithClass(class string, priority int) Item {
	i.class, i.priority = class, priority
	return i
}

// WithTenant returns the item with its tenant and the tenant's weight, which is its
// share relative to other tenants. A weight of 0 or less is taken as 1.
func (i Item) WithTenant(tenant string, weight float64) Item {
	i.tenant, i.weight = tenant, weight
	if weight <= 0 {
		i.weight = 1
	}
	return i
}

// ID returns the item's identity.
func (i Item) ID() ID { return i.id }

// Deadline returns the instant by which the item must have finished.
func (i Item) Deadline() clock.Millis { return i.deadline }

// Class returns the caller's class.
func (i Item) Class() string { return i.class }

// Priority returns the priority of the class; the highest one runs first.
func (i Item) Priority() int { return i.priority }

// Tenant returns the caller's tenant.
func (i Item) Tenant() string { return i.tenant }

// Weight returns the weight of the tenant.
func (i Item) Weight() float64 { return i.weight }

// ActionKind says what the caller must do.
type ActionKind uint8

// Kinds of actions.
const (
	// Admit means to run the item, and to call Queue.Finish when it ends.
	Admit ActionKind = iota
	// Refuse means to answer that the item was refused and has not been run.
	Refuse
	// Wake means to call Queue.Tick at the instant Action.At.
	Wake
)

// Reason says why an item is refused.
type Reason uint8

// Reasons.
const (
	// None is the reason of an action other than Refuse.
	None Reason = iota
	// Overflow means that the queue is full and the item was shed.
	Overflow
	// Late means that the item is not expected to finish before its deadline.
	Late
	// Duplicate means that an item with the same id waits or runs.
	Duplicate

	reasonCount
)

var reasonNames = [reasonCount]string{"", "queue full", "deadline cannot be met", "duplicate id"}

// String names the reason as it appears in errors and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Action is an instruction of a Queue to its caller.
type Action struct {
	kind   ActionKind
	id     ID
	reason Reason
	at     clock.Millis
}

// Kind returns what the caller must do.
func (a Action) Kind() ActionKind { return a.kind }

// ID returns the id of the item to admit or refuse.
func (a Action) ID() ID { return a.id }

// Reason returns why the item is refused.
func (a Action) Reason() Reason { return a.reason }

// At returns the instant at which a Wake calls for Queue.Tick.
func (a Action) At() clock.Millis { return a.at }
