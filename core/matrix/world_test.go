package matrix_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// Sizes and times of the simulated deployment, which has three data centres in one
// region and a fourth in a region of its own.
const (
	shards        = 4
	slots         = 16 // per upstream
	connections   = 32 // per upstream
	burstSize     = 8  // queries per caller
	burstInterval = clock.Second / 2
	queryTimeout  = clock.Second      // of all requests but the long one of a planned stop
	warmUpEnd     = 9 * clock.Second  // instant at which the simulation is handed to a test
	runLength     = 16 * clock.Second // after the warm-up
)

var centres = []string{"a", "b", "c", "d"}

// regionOf returns the region of a data centre.
func regionOf(centre string) string {
	if centre == "d" {
		return "far"
	}
	return "near"
}

// event is an action scheduled at an instant. The sequence orders events of the same
// instant.
type event struct {
	at       clock.Millis
	sequence uint64
	action   func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is the simulation of one run: its clock, events, daemons, upstreams, callers
// and network, and what they log.
type world struct {
	now                clock.Millis
	rng                *rand.Rand
	events             eventQueue
	lastSequence       uint64
	lastLinkID         uint64
	daemons            []*daemon
	upstreams          []*upstreamVM
	store              platform
	links              map[[2]fleet.ID]uint64 // number of the open link by linkKey
	farRegionCutOff    bool
	cutOffAt           clock.Millis    // 0 if the far region is never cut off
	healedAt           clock.Millis    // end of the cut-off
	silentConnections  map[string]int  // number by connectionKey
	silentLinks        map[uint64]bool // by number of the link
	misleadingReports  bool
	shardCounts        map[uint64]int // by snapshot version
	calls              []*call
	executions         []*execution
	connectionFailures []connectionFailure
	leaves             []upstreamLeave
	disturbances       map[*daemon][]period
	triggers           map[string]func() // by step; called when the step is first reached
	reachedSteps       map[string]bool
	subjectID          string  // ID of the query under test
	bystander          bool    // a pause hits another daemon than the one in focus
	focus              *daemon // daemon of the query, settings change or stop under test
	wrongDecision      string  // deliberately wrong decision, or ""
	trace              func(format string, args ...any)
}

// upstreamLeave records that an upstream announced that it leaves.
type upstreamLeave struct {
	upstream    string
	announcedAt clock.Millis
}

// period is a time in which a fault stopped a daemon or cut it off.
type period struct{ from, to clock.Millis }

// disturb records that a fault stops d or cuts it off for a time.
func (w *world) disturb(d *daemon, duration clock.Millis) {
	w.disturbances[d] = append(w.disturbances[d], period{w.now, w.now + duration})
}

// wasDisturbed reports whether a fault stopped d or cut it off at any time between two
// instants.
func (w *world) wasDisturbed(d *daemon, from, to clock.Millis) bool {
	for _, s := range w.disturbances[d] {
		if s.from <= to && s.to >= from {
			return true
		}
	}
	return false
}

// newWorld returns a simulation that has run until warmUpEnd, with all daemons serving
// and callers sending.
func newWorld(seed uint64, wrongDecision string) *world {
	w := &world{
		now: 1000, rng: rand.New(rand.NewPCG(seed, 1)), links: map[[2]fleet.ID]uint64{},
		silentConnections: map[string]int{}, shardCounts: map[uint64]int{7: shards}, triggers: map[string]func(){},
		reachedSteps: map[string]bool{}, wrongDecision: wrongDecision,
		disturbances: map[*daemon][]period{}, silentLinks: map[uint64]bool{},
	}
	w.store.delay = 1
	for i, centre := range []string{"a", "a", "b", "b", "c", "c"} {
		w.addUpstream(fmt.Sprintf("10.1.0.%d:80", i), centre, i%2)
	}
	w.addUpstream("10.1.0.6:80", "d", 2)
	for i := range centres {
		w.daemons = append(w.daemons, w.newDaemon(i))
	}
	for _, d := range w.daemons {
		w.startDaemon(d, false)
	}
	for i := range centres {
		c := &caller{number: i, centre: centres[i], address: w.daemons[i].address(), waitsForReply: i == 0}
		w.schedule(4500, func() { w.sendSteadily(c); w.sendBursts(c) })
	}
	w.schedule(5*clock.Second, func() { w.proposeSettings(w.daemons[0], "first", "") })
	w.runFor(warmUpEnd - w.now)
	clear(w.reachedSteps)
	w.focus = w.daemons[0]
	return w
}

// schedule runs an action after a delay.
func (w *world) schedule(delay clock.Millis, action func()) {
	w.lastSequence++
	heap.Push(&w.events, event{at: w.now + delay, sequence: w.lastSequence, action: action})
}

// runFor runs the simulation for a time.
func (w *world) runFor(duration clock.Millis) {
	until := w.now + duration
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
	}
	w.now = until
}

// reachStep records that the run reaches a step, and calls its trigger the first time.
func (w *world) reachStep(step string) {
	w.reachedSteps[step] = true
	trigger := w.triggers[step]
	delete(w.triggers, step)
	if trigger != nil {
		w.tracef("step %s", step)
		trigger()
	}
}

// tracef logs an event of the run with the current time in milliseconds.
func (w *world) tracef(format string, args ...any) {
	if w.trace != nil {
		w.trace("%10.2f "+format, append([]any{float64(w.now)}, args...)...)
	}
}

// centresConnected reports whether two data centres can reach each other.
func (w *world) centresConnected(a, b string) bool {
	return !w.farRegionCutOff || regionOf(a) == regionOf(b)
}

// latency returns the one-way network latency between two data centres.
func latency(a, b string) clock.Millis {
	if regionOf(a) != regionOf(b) {
		return 4
	}
	return 1
}

// deliver passes an input to d after a delay, or at the end of a pause of d. The input
// is dropped if d is down.
func (w *world) deliver(d *daemon, delay clock.Millis, input func()) {
	var run func()
	run = func() {
		switch {
		case !d.up:
		case d.pausedUntil > w.now:
			w.schedule(d.pausedUntil-w.now, run)
		default:
			input()
		}
	}
	w.schedule(delay, run)
}

// every runs a task of d periodically, first after a random part of the interval,
// until d is down.
func (w *world) every(d *daemon, interval clock.Millis, task func()) {
	var next func()
	next = func() {
		task()
		w.deliver(d, interval, next)
	}
	w.deliver(d, clock.Millis(w.rng.Float64())*interval, next)
}
