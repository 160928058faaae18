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
	// queueLimit is the number of sub-requests that wait at an upstream before
	// it sheds.
	queueLimit = 64
	// restartTime is the time for which a process that fell over refuses
	// connections.
	restartTime = 200 * clock.Millisecond
	// dialTimeout is the default of the setting connections.dial.
	dialTimeout = 250 * clock.Millisecond
)

// replica is a simulated upstream with slots, a queue and a cold start.
type replica struct {
	simulation       *simulation
	id               upstream.ID
	dataCentre       string
	boot             int
	slowness         float64 // factor of the service time
	cold             bool
	coldCapacity     int // work that a cold process can handle at a time
	completedInRound int
	refuses          bool // refuses connections
	silent           bool // drops all packets
	fails            bool // answers every sub-request with an error
	running          []*exchange
	waiting          []*exchange
}

func (r *replica) bootID() string { return fmt.Sprintf("%s-%d", r.id, r.boot) }

func (r *replica) capacity() int {
	if r.cold {
		return min(r.coldCapacity, r.simulation.service.slots)
	}
	return r.simulation.service.slots
}

// arrive takes a sub-request from the network.
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

// serve plans the end of a sub-request and returns its service time.
func (r *replica) serve(x *exchange) clock.Millis {
	took := r.simulation.service.drawServiceTime(r.simulation.random) * clock.Millis(max(r.slowness, 1))
	r.simulation.scheduleAfter(took, func() {
		if !r.remove(&r.running, x) {
			return
		}
		kind := upstream.OK
		if r.fails {
			kind = upstream.Failed
		} else {
			r.recordWarmUp()
		}
		r.simulation.reply(x, kind)
		r.startWaiting()
	})
	return took
}

// cancel takes a sub-request out whose daemon has given up.
func (r *replica) cancel(x *exchange) {
	if r.remove(&r.waiting, x) || !r.remove(&r.running, x) {
		return
	}
	r.startWaiting()
}

func (r *replica) remove(from *[]*exchange, x *exchange) bool {
	i := slices.Index(*from, x)
	if i < 0 {
		return false
	}
	*from = slices.Delete(*from, i, i+1)
	return true
}

func (r *replica) startWaiting() {
	for len(r.waiting) > 0 && len(r.running) < r.capacity() {
		x := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.startServing(x)
	}
}

// recordWarmUp doubles what a cold process can handle with each full round.
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

// crash ends the process. Another one accepts connections after the given
// time and starts cold.
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

// goSilent makes the replica silent, as in the loss of its data centre. It
// returns as a cold process.
func (r *replica) goSilent() {
	r.running, r.waiting = nil, nil
	r.silent = true
}

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
	slots             int
	maxConnections    int
	connectTime       clock.Millis
	medianServiceTime clock.Millis // service time
	stragglerFraction float64      // part of the sub-requests that take longer
}

const (
	// serviceTimeSigma is the sigma of the log-normal service time: the p99 is 2.3 times
	// the median.
	serviceTimeSigma = 0.35
	// stragglerFactor comes from the target in docs/design.md, section 1.6.
	stragglerFactor = 50
)

func (s service) drawServiceTime(random *rand.Rand) clock.Millis {
	took := s.medianServiceTime * clock.Millis(math.Exp(serviceTimeSigma*random.NormFloat64()))
	if random.Float64() < s.stragglerFraction {
		took *= stragglerFactor
	}
	return took
}

// arrivalRate returns the queries in a millisecond that keep the given part of the
// slots busy when there are no stragglers.
func (s service) arrivalRate(utilisation float64) float64 {
	mean := float64(s.medianServiceTime) * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
	return utilisation * float64(s.replicasPerShard*s.slots) / mean
}
