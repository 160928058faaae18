package bench

import (
	"container/heap"

	"github.com/lovagegap/lovagegap/core/clock"
)

// event is an action scheduled for an instant. Events of the same instant run in the
// order in which they were scheduled.
type event struct {
	at       clock.Millis
	sequence uint64 // position in the order of scheduling
	action   func()
}

// eventHeap is a min-heap by instant and sequence; it implements heap.Interface.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// scheduler is the manual clock of a simulation with its pending events.
type scheduler struct {
	now            clock.Millis
	pending        eventHeap
	scheduledCount uint64
}

// scheduleAt schedules action for instant, or for now if instant has passed.
func (s *scheduler) scheduleAt(instant clock.Millis, action func()) {
	s.scheduledCount++
	heap.Push(&s.pending, event{at: max(instant, s.now), sequence: s.scheduledCount, action: action})
}

func (s *scheduler) scheduleAfter(delay clock.Millis, action func()) {
	s.scheduleAt(s.now+delay, action)
}

// runUntilEmpty runs the events in order, also those that they schedule, until none
// is pending.
func (s *scheduler) runUntilEmpty() {
	for len(s.pending) > 0 {
		next := heap.Pop(&s.pending).(event)
		s.now = next.at
		next.action()
	}
}
