// Package replica decides which replica of a service runs a request.
//
// A Set holds the replicas that the platform lists, a Pool those of one
// service, with this daemon's own evidence about each: how many requests wait
// for it, how long the oldest one has waited, how slow and how often failing
// its last answers were. The list lags, so the evidence decides.
//
// # Usage
//
//	set := replica.NewSet("ikeja", random)
//	set.Put(now, entry)                         // an entry of the list is new or has changed
//	set.Drop(id)                                // an entry is gone
//	set.SetOut([]string{"bodija"})              // data centres that are taken out
//	r, err := set.Pool("ledger").Pick(now, replica.NewCriteria(expected, tried))
//	r.Begin(now)
//	// send the request
//	r.End(now, began, replica.OK, expected)
package replica

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Sentinel errors of Pick.
var (
	// ErrNoneUsable means that no replica of the service may be asked.
	ErrNoneUsable = errors.New("no replica may be asked")
	// ErrBusy means that there are replicas, but all are at a limit.
	ErrBusy = errors.New("all replicas are at their limit")
)

// Spec holds the values of a new Entry.
type Spec struct {
	ID          string
	Service     string
	Address     string // IP:port
	DataCentre  string
	Slots       int // requests that it runs at the same time
	Draining    bool
	ColdFor     clock.Millis // how much longer it stays cold
	Incarnation int64        // tells apart two runs under one id
}

// Entry is a replica as the platform lists it.
type Entry struct{ spec Spec }

// NewEntry returns an entry.
func NewEntry(spec Spec) Entry {
	spec.Slots = max(1, spec.Slots)
	return Entry{spec: spec}
}

// ID returns the instance id.
func (e Entry) ID() string { return e.spec.ID }

// Service returns the service that the replica belongs to.
func (e Entry) Service() string { return e.spec.Service }

// Address returns the address as IP:port.
func (e Entry) Address() string { return e.spec.Address }

// DataCentre returns the data centre.
func (e Entry) DataCentre() string { return e.spec.DataCentre }

// Slots returns how many requests the replica runs at the same time.
func (e Entry) Slots() int { return e.spec.Slots }

// Draining reports whether the replica is about to leave.
func (e Entry) Draining() bool { return e.spec.Draining }

// Result is how an exchange with a replica ended.
type Result uint8

// Results.
const (
	// OK means that the replica answered.
	OK Result = iota
	// Failed means that the replica ran the request and reported a failure, or
	// that its answer could not be used.
	Failed
	// Shed means that the replica refused the request and did not run it.
	Shed
	// Foreign means that another replica has the address; it did not run the
	// request.
	Foreign
	// NotConnected means that no byte of the request left.
	NotConnected
	// Lost means that the connection broke after bytes had left; the request
	// may have run.
	Lost
	// Closed means that a used connection ended before the answer began, as
	// when the replica closed it while it was idle; the request may have run.
	Closed
	// Silent means that no answer came in time; the request may have run.
	Silent
	// Abandoned means that this daemon no longer wanted the answer.
	Abandoned
)

var resultNames = [...]string{"ok", "failed", "shed", "foreign", "not connected", "lost", "closed", "silent", "abandoned"}

// String names the result as it appears in logs and metrics.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// NotRun reports whether the result proves that the request did not run.
func (r Result) NotRun() bool { return r == Shed || r == Foreign || r == NotConnected }

// Answered reports whether the replica has sent an answer of any kind.
func (r Result) Answered() bool { return r == OK || r == Failed || r == Shed || r == Foreign }

// Arrived reports whether the replica may count the request as an arrival.
func (r Result) Arrived() bool { return r != NotConnected }

const (
	sampleCount     = 5
	maxLatencyRatio = 6 // bounds what one late answer says about the next one
	minOverdue      = 12 * clock.Millisecond
	// overdueFactor times the expected latency is when an unanswered request
	// becomes evidence that the replica stands still.
	overdueFactor = 2.2
	// sampleMaxAge ends the validity of older samples once a new one is there.
	sampleMaxAge       = clock.Second
	rememberedSlowness = 1.15             // slowness that is not forgotten yet
	slownessDecayTime  = 6 * clock.Second // time constant with which slowness is forgotten
	failureDecayTime   = 3 * clock.Second
	failureWeight      = 0.2
	lossWeight         = 0.5
	shedWeight         = 0.1 // less than a failure, since a full replica sheds too
	minBackoff         = 150 * clock.Millisecond
	maxBackoff         = 2 * clock.Second
)

// Replica is one replica with the evidence about it. It is not safe for
// concurrent use.
type Replica struct {
	entry Entry
	pool  *Pool
	// displaced means that another replica has the address.
	displaced bool
	region    string // "" if unknown
	distance  distance

	pending          []exchange // unanswered, oldest first
	latencyRatios    [sampleCount]float64
	ratioCount       int // ratios in use
	nextRatio        int
	medianRatio      float64
	lastSampleAt     clock.Millis
	slownessFromPeer bool // whether the slowness is what a peer told

	lastFailureRate   float64
	lastFailureRateAt clock.Millis

	connectFailures int // exchanges in a row without a connection
	retryAt         clock.Millis
	sheddingUntil   clock.Millis

	drainingSince     clock.Millis
	coldUntil         clock.Millis
	nextColdRequestAt clock.Millis // earliest instant of the next request while cold

	reportedState string // state told last, "" for ready
	reportedAt    clock.Millis
}

// exchange is an unanswered exchange.
type exchange struct {
	began    clock.Millis
	slotTime clock.Millis // time for which it occupies a slot
}

// Entry returns the replica as listed.
func (r *Replica) Entry() Entry { return r.entry }

// InFlight returns the number of unanswered exchanges.
func (r *Replica) InFlight() int { return len(r.pending) }

// Cold reports whether the replica is in a cold start.
func (r *Replica) Cold(now clock.Millis) bool { return now < r.coldUntil }

// Begin counts an exchange that occupies a slot for about the given time. The
// instant identifies it for End.
func (r *Replica) Begin(now, work clock.Millis) {
	r.pending = append(r.pending, exchange{began: now, slotTime: work})
	r.pool.AddWork(now, work)
	if r.Cold(now) && r.pool.warmUpRate > 0 {
		r.nextColdRequestAt = now + r.pool.coldInterval()
	}
}

// End takes the end of the exchange that began at the instant began. Expected
// is the usual latency of such a request.
func (r *Replica) End(now, began clock.Millis, result Result, expected clock.Millis) {
	if i := slices.IndexFunc(r.pending, func(x exchange) bool { return x.began == began }); i >= 0 {
		r.pool.AddWork(now, -r.pending[i].slotTime)
		r.pending = slices.Delete(r.pending, i, i+1)
	}
	switch result {
	case OK:
		r.connectFailures = 0
		r.updateFailureRate(now, 0)
		r.recordLatencyRatio(now, float64((now-began)/expected))
	case Failed:
		r.connectFailures = 0
		r.updateFailureRate(now, failureWeight)
	case Shed:
		r.connectFailures = 0
		r.updateFailureRate(now, shedWeight)
		r.sheddingUntil = now + max(expected, 5*clock.Millisecond)
	case Foreign:
		r.displaced = true
		r.lastFailureRateAt = now
	case NotConnected:
		r.startBackoff(now)
	case Lost:
		r.updateFailureRate(now, lossWeight)
		r.retryAt = max(r.retryAt, now+minBackoff/2)
	case Closed:
		r.updateFailureRate(now, shedWeight)
	case Silent:
		r.updateFailureRate(now, lossWeight)
		r.recordLatencyRatio(now, float64((now-began)/expected))
	case Abandoned:
		if ratio := float64((now - began) / expected); ratio > r.slowness(now) {
			r.recordLatencyRatio(now, ratio)
		}
	}
}

func (r *Replica) startBackoff(now clock.Millis) {
	r.connectFailures++
	backoff := min(maxBackoff, minBackoff*clock.Millis(uint(1)<<min(r.connectFailures-1, 5)))
	r.retryAt = now + backoff*clock.Millis(0.75+0.5*r.pool.set.random.Float64())
}

// recordLatencyRatio records the latency of an answer relative to the expected one.
func (r *Replica) recordLatencyRatio(now clock.Millis, ratio float64) {
	if r.ratioCount == 0 || now-r.lastSampleAt > sampleMaxAge {
		// What was known before counts as one sample, so that a single pause
		// does not make a replica slow, and one that was slow still is after
		// the first late answer.
		before := 1.0
		if r.slowness(now) > rememberedSlowness {
			before = r.medianRatio
		}
		r.ratioCount, r.nextRatio = 0, 0
		r.storeRatio(before)
	}
	r.storeRatio(min(ratio, maxLatencyRatio))
	r.lastSampleAt, r.slownessFromPeer = now, false
	var sorted [sampleCount]float64
	copy(sorted[:], r.latencyRatios[:r.ratioCount])
	slices.Sort(sorted[:r.ratioCount])
	r.medianRatio = sorted[(r.ratioCount-1)/2]
}

func (r *Replica) storeRatio(ratio float64) {
	r.latencyRatios[r.nextRatio] = ratio
	r.nextRatio = (r.nextRatio + 1) % sampleCount
	r.ratioCount = min(r.ratioCount+1, sampleCount)
}

// slowness returns how long answers take relative to the expected latency. It
// is a median, so that a single pause does not count, and without new samples
// it returns to 1, so that the replica is tried again.
func (r *Replica) slowness(now clock.Millis) float64 {
	if r.ratioCount == 0 {
		return 1
	}
	age := float64((now - r.lastSampleAt) / slownessDecayTime)
	return 1 + (r.medianRatio-1)*math.Exp(-age)
}

func (r *Replica) updateFailureRate(now clock.Millis, step float64) {
	r.lastFailureRate = r.failureRate(now)*(1-max(step, failureWeight)) + step
	r.lastFailureRateAt = now
}

// failureRate returns the share of recent exchanges that failed.
func (r *Replica) failureRate(now clock.Millis) float64 {
	if r.lastFailureRate < 0.01 {
		return 0
	}
	return r.lastFailureRate * math.Exp(-float64((now-r.lastFailureRateAt)/failureDecayTime))
}

// Overdue reports whether the replica leaves an exchange unanswered for longer
// than it takes.
func (r *Replica) Overdue(now, expected clock.Millis) bool { return r.overdueAge(now, expected) > 0 }

// overdueAge returns how long the oldest unanswered exchange has waited, if that
// is longer than such an exchange takes.
func (r *Replica) overdueAge(now, expected clock.Millis) clock.Millis {
	if len(r.pending) == 0 {
		return 0
	}
	age := now - r.pending[0].began
	if age < max(minOverdue, expected*clock.Millis(overdueFactor*max(1, r.slowness(now)))) {
		return 0
	}
	return age
}
