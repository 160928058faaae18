package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	// queueLimit is the number of waiting sub-requests from which an upstream sheds
	// further ones.
	queueLimit = 64
	// restartTime is how long connections are refused after a process has crashed.
	restartTime = 200 * clock.Millisecond
	// dialTimeout is the default of the setting connections.dial.
	dialTimeout = 250 * clock.Millisecond
)

// replica is a simulated upstream with slots, a queue and a cold start. A cold process
// crashes when it gets more concurrent sub-requests than it can handle.
type replica struct {
	simulation       *simulation
	id               upstream.ID
	dataCentre       string
	boot             int     // number of the process, from 1
	slowness         float64 // multiple of the service time
	cold             bool
	coldCapacity     int  // concurrent sub-requests that a cold process can handle
	completedInRound int  // successes since coldCapacity last changed
	refuses          bool // refuses connections
	silent           bool // drops all packets
	fails            bool // answers every sub-request with an error
	running          []*exchange
	waiting          []*exchange
}

func (r *replica) bootID() string { return fmt.Sprintf("%s-%d", r.id, r.boot) }

// capacity returns the number of sub-requests that the process can run concurrently.
func (r *replica) capacity() int {
	if r.cold {
		return min(r.coldCapacity, r.simulation.service.slots)
	}
	return r.simulation.service.slots
}

// arrive runs, queues or sheds a sub-request that reaches the upstream. It crashes a cold
// process that the sub-request takes above its capacity.
func (r *replica) arrive(x *exchange) {
	sim := r.simulation
	if x.aborted || r.silent {
		return
	}
	if r.refuses || x.boot != r.boot {
		sim.reply(x, upstream.ConnectionLost)
		return
	}
	sim.recordArrival(r)
	concurrency := len(r.running) + len(r.waiting) + 1
	if r.cold && concurrency > r.capacity() {
		sim.result.aboveColdBound++
		sim.reply(x, upstream.ConnectionLost)
		r.crash(restartTime)
		return
	}
	switch {
	case len(r.running) < r.capacity():
		r.startServing(x)
	case len(r.waiting) >= queueLimit:
		sim.reply(x, upstream.Shed)
	default:
		r.waiting = append(r.waiting, x)
	}
}

func (r *replica) startServing(x *exchange) {
	r.running = append(r.running, x)
	r.simulation.result.busyTime += r.serve(x)
}

// serve schedules the response to a running sub-request and returns its service time.
func (r *replica) serve(x *exchange) clock.Millis {
	took := r.simulation.service.drawServiceTime(r.simulation.random) * clock.Millis(max(r.slowness, 1))
	r.simulation.scheduleAfter(took, func() {
		if !r.remove(&r.running, x) {
			return
		}
		outcome := upstream.OK
		if r.fails {
			outcome = upstream.Failed
		} else {
			r.recordWarmUp()
		}
		r.simulation.reply(x, outcome)
		r.startWaiting()
	})
	return took
}

// cancel removes a sub-request whose sender has closed the connection.
func (r *replica) cancel(x *exchange) {
	if r.remove(&r.waiting, x) || !r.remove(&r.running, x) {
		return
	}
	r.startWaiting()
}

// remove removes an exchange from a list and reports whether it was in it.
func (r *replica) remove(from *[]*exchange, x *exchange) bool {
	i := slices.Index(*from, x)
	if i < 0 {
		return false
	}
	*from = slices.Delete(*from, i, i+1)
	return true
}

// startWaiting starts waiting sub-requests while there is capacity.
func (r *replica) startWaiting() {
	for len(r.waiting) > 0 && len(r.running) < r.capacity() {
		x := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.startServing(x)
	}
}

// recordWarmUp records a success. A cold process doubles its capacity after as many
// successes as its capacity, and is warm when the capacity reaches its slots.
func (r *replica) recordWarmUp() {
	if !r.cold {
		return
	}
	r.completedInRound++
	if r.completedInRound < r.coldCapacity {
		return
	}
	r.completedInRound = 0
	r.coldCapacity *= 2
	if r.coldCapacity >= r.simulation.service.slots {
		r.cold = false
	}
}

// crash ends the process and its connections. The next process is cold and accepts
// connections after downtime.
func (r *replica) crash(downtime clock.Millis) {
	lost := append(slices.Clone(r.running), r.waiting...)
	r.running, r.waiting = nil, nil
	r.boot++
	r.cold, r.coldCapacity, r.completedInRound = true, 1, 0
	for _, x := range lost {
		r.simulation.reply(x, upstream.ConnectionLost)
	}
	r.refuses = true
	boot := r.boot
	r.simulation.scheduleAfter(downtime, func() {
		if r.boot == boot {
			r.refuses = false
		}
	})
}

// goSilent makes the replica drop all packets without a reply, as in the loss of its data
// centre, until returnCold.
func (r *replica) goSilent() {
	r.running, r.waiting = nil, nil
	r.silent = true
}

// returnCold makes a silent replica reachable as a new, cold process.
func (r *replica) returnCold() {
	r.silent = false
	r.boot++
	r.cold, r.coldCapacity, r.completedInRound = true, 1, 0
}

// service is the shape of a service and its load.
type service struct {
	name              string
	dataCentres       []string
	shardCount        int
	replicasPerShard  int
	slots             int // sub-requests that an upstream runs concurrently
	maxConnections    int // to an upstream, over all daemons
	connectTime       clock.Millis
	medianServiceTime clock.Millis
	stragglerFraction float64 // of the sub-requests
}

const (
	// serviceTimeSigma is the sigma of the log-normal service time. The p99 is 2.3 times
	// the median.
	serviceTimeSigma = 0.35
	// stragglerFactor is as in the target of docs/design.md, section 1.6.
	stragglerFactor = 50 // multiple of the service time
)

// drawServiceTime returns a random service time.
func (s service) drawServiceTime(random *rand.Rand) clock.Millis {
	took := s.medianServiceTime * clock.Millis(math.Exp(serviceTimeSigma*random.NormFloat64()))
	if random.Float64() < s.stragglerFraction {
		took *= stragglerFactor
	}
	return took
}

// arrivalRate returns the queries per millisecond that keep the fraction utilisation of
// the slots busy when there are no stragglers.
func (s service) arrivalRate(utilisation float64) float64 {
	mean := float64(s.medianServiceTime) * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
	return utilisation * float64(s.replicasPerShard*s.slots) / mean
}
