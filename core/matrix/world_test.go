package matrix_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// Sizes of the deployment under test: three data centres in one region, and a
// fourth that is a region of its own.
const (
	shards        = 4
	slots         = 16
	connections   = 32
	burstSize     = 8
	burstInterval = clock.Second / 2
	queryTimeout  = clock.Second // deadline of an ordinary query
	warmUpEnd     = 9 * clock.Second
	runLength     = 16 * clock.Second
)

var centres = []string{"a", "b", "c", "d"}

// regionOf returns the region of a data centre.
func regionOf(centre string) string {
	if centre == "d" {
		return "far"
	}
	return "near"
}

type event struct {
	at       clock.Millis
	sequence uint64
	action   func()
}

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

// world is everything that runs in one cell of the matrix.
type world struct {
	now                clock.Millis
	rng                *rand.Rand
	events             eventQueue
	lastSequence       uint64
	lastLinkID         uint64
	daemons            []*daemon
	upstreams          []*upstreamVM
	store              platform
	links              map[[2]fleet.ID]uint64
	farRegionCutOff    bool // the far region is cut off
	cutOffAt           clock.Millis
	healedAt           clock.Millis
	silentConnections  map[string]int // connections to upstreams that stay silent, by daemon and upstream
	silentLinks        map[uint64]bool
	misleadingReports  bool
	shardCounts        map[uint64]int // shards of each version that ever existed
	calls              []*call
	executions         []*execution
	connectionFailures []connectionFailure
	leaves             []upstreamLeave
	disturbances       map[*daemon][]period
	triggers           map[string]func()
	reachedSteps       map[string]bool
	subjectID          string  // id of the request whose steps are watched
	bystander          bool    // faults hit a daemon that is not in focus
	focus              *daemon // whose query, settings change or stop is watched
	wrongDecision      string  // decision that is deliberately wrong, or ""
	trace              func(format string, args ...any)
}

// upstreamLeave is an upstream that announced at the instant at that it leaves.
type upstreamLeave struct {
	upstream    string
	announcedAt clock.Millis
}

// period is a time in which a daemon was stopped or cut off by a fault.
type period struct{ from, to clock.Millis }

// disturb notes that a fault keeps d from the others for a time.
func (w *world) disturb(d *daemon, duration clock.Millis) {
	w.disturbances[d] = append(w.disturbances[d], period{w.now, w.now + duration})
}

// wasDisturbed reports whether a fault stopped or cut off d between two instants.
func (w *world) wasDisturbed(d *daemon, from, to clock.Millis) bool {
	for _, s := range w.disturbances[d] {
		if s.from <= to && s.to >= from {
			return true
		}
	}
	return false
}

func newWorld(seed uint64, wrongDecision string) *world {
	w := &world{
		now: 1000, rng: rand.New(rand.NewPCG(seed, 1)), links: map[[2]fleet.ID]uint64{}, silentConnections: map[string]int{},
		shardCounts: map[uint64]int{7: shards}, triggers: map[string]func(){}, reachedSteps: map[string]bool{}, wrongDecision: wrongDecision,
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

func (w *world) schedule(delay clock.Millis, action func()) {
	w.lastSequence++
	heap.Push(&w.events, event{at: w.now + delay, sequence: w.lastSequence, action: action})
}

func (w *world) runFor(duration clock.Millis) {
	until := w.now + duration
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
	}
	w.now = until
}

// reachStep runs the trigger of a step the first time that the run reaches it.
func (w *world) reachStep(step string) {
	w.reachedSteps[step] = true
	trigger := w.triggers[step]
	delete(w.triggers, step)
	if trigger != nil {
		w.tracef("step %s", step)
		trigger()
	}
}

func (w *world) tracef(format string, args ...any) {
	if w.trace != nil {
		w.trace("%10.2f "+format, append([]any{float64(w.now)}, args...)...)
	}
}

// centresConnected reports whether two data centres reach each other.
func (w *world) centresConnected(a, b string) bool {
	return !w.farRegionCutOff || regionOf(a) == regionOf(b)
}

// latency is the one-way time between two data centres.
func latency(a, b string) clock.Millis {
	if regionOf(a) != regionOf(b) {
		return 4
	}
	return 1
}

// deliver runs an input of d after the span, or after its pause.
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

// every runs f of d in intervals as long as the daemon runs.
func (w *world) every(d *daemon, interval clock.Millis, task func()) {
	var next func()
	next = func() {
		task()
		w.deliver(d, interval, next)
	}
	w.deliver(d, clock.Millis(w.rng.Float64())*interval, next)
}
