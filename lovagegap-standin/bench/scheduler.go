package bench

import (
	"container/heap"

	"github.com/lovagegap/lovagegap/core/clock"
)

// event is something that happens at an instant. Events of the same instant
// happen in the order in which they were planned.
type event struct {
	at       clock.Millis
	sequence uint64
	action   func()
}

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

// scheduler is the manual clock of a simulation and what is to happen on it.
type scheduler struct {
	now            clock.Millis
	pending        eventHeap
	scheduledCount uint64
}

func (s *scheduler) scheduleAt(instant clock.Millis, run func()) {
	s.scheduledCount++
	heap.Push(&s.pending, event{at: max(instant, s.now), sequence: s.scheduledCount, action: run})
}

func (s *scheduler) scheduleAfter(delay clock.Millis, run func()) { s.scheduleAt(s.now+delay, run) }

// runUntilEmpty lets everything happen until nothing is planned any more.
func (s *scheduler) runUntilEmpty() {
	for len(s.pending) > 0 {
		next := heap.Pop(&s.pending).(event)
		s.now = next.at
		next.action()
	}
}
