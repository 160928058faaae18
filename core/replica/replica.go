// Package replica selects the replica of a service that a request is sent to.
//
// A Set holds the replicas that the platform lists, and a Pool those of one
// service. For each replica they keep this daemon's evidence: the number of
// unanswered exchanges, the age of the oldest one, and the latency and failure
// rate of recent exchanges. The platform's list lags behind the state of the
// replicas, so the evidence decides among the listed ones.
//
// # Usage
//
//	set := replica.NewSet("ikeja", random, budget)
//	set.Upsert(now, entry)                      // a listed replica is new or has changed
//	set.Remove(id)                              // a replica is no longer listed
//	set.SetOutOfService([]string{"bodija"})     // data centres out of service
//	r, err := set.Pool("ledger").Pick(now, replica.NewCriteria(expected, tried))
//	r.Begin(now, serviceTime)
//	// send the request
//	r.End(now, startedAt, replica.OK, expected) // startedAt is the instant given to Begin
package replica

import (
	"math"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Sentinel errors of Pick.
var (
	// ErrNoneUsable means that no replica of the service is usable and satisfies
	// the criteria.
	ErrNoneUsable = errors.New("no usable replica")
	// ErrBusy means that there are usable replicas, but all of them are at a limit.
	ErrBusy = errors.New("all usable replicas are at a limit")
)

// Spec holds the fields of a new Entry.
type Spec struct {
	ID          string
	Service     string
	Address     string // IP:port
	DataCentre  string
	Slots       int // number of requests that the replica runs concurrently
	Draining    bool
	ColdFor     clock.Millis // time left of its cold start
	Incarnation int64        // differs between two runs of a replica with the same id
	Version     string       // of its software; "" if the platform names none
}

// Entry is a replica as the platform lists it.
type Entry struct{ spec Spec }

// NewEntry returns an entry. Slots below 1 are taken as 1.
func NewEntry(spec Spec) Entry {
	spec.Slots = max(1, spec.Slots)
	return Entry{spec: spec}
}

// ID returns the id of the replica.
func (e Entry) ID() string { return e.spec.ID }

// Service returns the name of the service.
func (e Entry) Service() string { return e.spec.Service }

// Address returns the address as IP:port.
func (e Entry) Address() string { return e.spec.Address }

// DataCentre returns the name of the data centre.
func (e Entry) DataCentre() string { return e.spec.DataCentre }

// Slots returns how many requests the replica runs concurrently; at least 1.
func (e Entry) Slots() int { return e.spec.Slots }

// Incarnation returns the number that differs between two runs of a replica with the
// same id.
func (e Entry) Incarnation() int64 { return e.spec.Incarnation }

// Version returns the version of the replica's software.
func (e Entry) Version() string { return e.spec.Version }

// Draining reports whether the replica is about to shut down.
func (e Entry) Draining() bool { return e.spec.Draining }

// Result is how an exchange with a replica ended.
type Result uint8

// Results.
const (
	// OK means that the replica sent a usable answer.
	OK Result = iota
	// Failed means that the replica ran the request and reported a failure, or
	// that its answer was not usable.
	Failed
	// Shed means that the replica refused the request and did not run it.
	Shed
	// Foreign means that another replica answered at the address. It did not run
	// the request.
	Foreign
	// NotConnected means that no byte of the request was sent.
	NotConnected
	// Lost means that the connection broke after bytes of the request were sent;
	// the request may have run.
	Lost
	// Closed means that a reused connection ended before the answer began, for
	// example because the replica closed the idle connection; the request may
	// have run.
	Closed
	// Garbled means that the bytes received are no reply of the protocol, or exceed its
	// limits; the request may have run.
	Garbled
	// Silent means that no answer arrived in time; the request may have run.
	Silent
	// Abandoned means that this daemon cancelled the exchange, for example because
	// another attempt was answered first.
	Abandoned
)

var resultNames = [...]string{
	"ok", "failed", "shed", "foreign", "not connected", "lost", "closed", "garbled", "silent", "abandoned",
}

// String names the result as it appears in logs and metrics.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// NotRun reports whether the result proves that the request did not run, so that
// another attempt is safe.
func (r Result) NotRun() bool { return r == Shed || r == Foreign || r == NotConnected }

// Answered reports whether the replica has sent an answer of any kind.
func (r Result) Answered() bool { return r == OK || r == Failed || r == Shed || r == Foreign }

// Arrived reports whether the request may have reached the replica.
func (r Result) Arrived() bool { return r != NotConnected }

const (
	sampleCount = 5 // latency ratios of which the median is taken
	// maxLatencyRatio bounds a latency ratio, so that one very late answer does
	// not dominate the estimate.
	maxLatencyRatio = 6
	// An unanswered exchange is overdue after overdueFactor times the latency that
	// its replica has shown recently, but not before minOverdue.
	minOverdue    = 12 * clock.Millisecond
	overdueFactor = 2.2
	// sampleMaxAge is the age of the last sample from which a new one replaces all
	// earlier ones.
	sampleMaxAge = clock.Second
	// rememberedSlowness is the slowness above which the earlier median is carried
	// over when a new sample replaces the earlier ones.
	rememberedSlowness = 1.15
	slownessDecayTime  = 6 * clock.Second // time constant of the decay of slowness to 1
	// unconfirmedDecayTime is that time constant after a single late answer.
	unconfirmedDecayTime = 700 * clock.Millisecond
	// lateThreshold is the multiple of the expected latency from which a single answer
	// counts as late. A new connection to another data centre takes less.
	lateThreshold = 3
	// maxPause is the longest time for which a sound replica is assumed to stand still.
	maxPause         = 300 * clock.Millisecond
	failureDecayTime = 3 * clock.Second // time constant of the decay of the failure rate to 0

	// The weights are added to the failure rate after an exchange.

	failureWeight = 0.2
	lossWeight    = 0.5
	shedWeight    = 0.1 // below failureWeight, since a healthy replica sheds when it is full

	// negligibleFailureRate is the failure rate below which it counts as 0.
	negligibleFailureRate = 0.01

	minBackoff = 150 * clock.Millisecond // after a failed connection, before jitter
	maxBackoff = 2 * clock.Second        // before jitter
	// maxBackoffDoublings prevents an overflow; maxBackoff is reached earlier.
	maxBackoffDoublings = 5
	// backoffJitter is the largest random deviation of a backoff in either
	// direction, as a fraction of the backoff.
	backoffJitter = 0.25
	lossBackoff   = minBackoff / 2 // after a lost connection

	minSheddingTime = 5 * clock.Millisecond // for which a replica is assumed to shed after it has shed once
)

// Replica is a listed replica with the evidence about it. It is not safe for
// concurrent use.
type Replica struct {
	entry     Entry
	pool      *Pool
	displaced bool   // another listed replica has the address
	foreign   bool   // another process answered at the address since the entry last changed
	region    string // "" if unknown
	distance  distance

	pending          []exchange // unanswered, oldest first
	latencyRatios    [sampleCount]float64
	ratioCount       int     // number of valid latencyRatios
	nextRatio        int     // index that the next ratio is written to
	medianRatio      float64 // median of the valid latencyRatios
	lastSampleAt     clock.Millis
	slownessFromPeer bool // the last sample is an observation of a peer
	unconfirmed      bool // the only sample is a late one
	late             lateRun

	lastFailureRate   float64 // as of lastFailureRateAt, before decay
	lastFailureRateAt clock.Millis

	connectFailures int          // consecutive exchanges with the result NotConnected
	retryAt         clock.Millis // end of the connection backoff
	sheddingUntil   clock.Millis // until when the replica is assumed to shed

	drainingSince     clock.Millis // by its entry or its replies, whichever is first
	leaving           bool         // stated by a reply of this run of the replica
	peerLeavingUntil  clock.Millis // until when a report of a peer that the replica leaves applies
	hold              hold
	coldUntil         clock.Millis
	nextColdRequestAt clock.Millis // earliest instant of this daemon's next request while cold

	reportedState string // by TakeStateChange; "" for ready
	reportedAt    clock.Millis
}

// exchange is an unanswered exchange.
type exchange struct {
	startedAt   clock.Millis
	serviceTime clock.Millis // expected time for which it occupies a slot
}

// Entry returns the replica as listed.
func (r *Replica) Entry() Entry { return r.entry }

// InFlight returns the number of unanswered exchanges.
func (r *Replica) InFlight() int { return len(r.pending) }

// Cold reports whether the replica is in a cold start.
func (r *Replica) Cold(now clock.Millis) bool { return now < r.coldUntil }

// Begin records the start of an exchange that is expected to occupy a slot for
// serviceTime. The instant now identifies the exchange in the call of End.
func (r *Replica) Begin(now, serviceTime clock.Millis) {
	r.pending = append(r.pending, exchange{startedAt: now, serviceTime: serviceTime})
	r.pool.BeginRequest(now, serviceTime)
	if r.IsTarget() {
		r.pool.versions.exposed++
	}
	r.hold.recordSend(now)
	if r.Cold(now) && r.pool.warmUpRate > 0 {
		r.nextColdRequestAt = now + r.pool.coldInterval()
	}
}

// End records the result of the exchange that was started with Begin at the
// instant startedAt. Expected is the expected latency of the request.
func (r *Replica) End(now, startedAt clock.Millis, result Result, expected clock.Millis) {
	if i := slices.IndexFunc(r.pending, func(x exchange) bool { return x.startedAt == startedAt }); i >= 0 {
		r.pool.EndRequest(now, r.pending[i].serviceTime)
		r.pending = slices.Delete(r.pending, i, i+1)
	}
	switch result {
	case OK:
		r.connectFailures = 0
		r.updateFailureRate(now, 0)
		r.recordLatencyRatio(now, startedAt, float64((now-startedAt)/expected))
	case Failed:
		r.connectFailures = 0
		r.updateFailureRate(now, failureWeight)
	case Shed:
		r.connectFailures = 0
		r.updateFailureRate(now, shedWeight)
		r.sheddingUntil = now + max(expected, minSheddingTime)
	case Foreign:
		r.foreign = true
		r.pool.set.assignAddress(r.entry.Address())
		r.lastFailureRateAt = now
	case NotConnected:
		r.startBackoff(now)
	case Garbled:
		r.updateFailureRate(now, lossWeight)
	case Lost:
		r.updateFailureRate(now, lossWeight)
		r.retryAt = max(r.retryAt, now+lossBackoff)
	case Closed:
		r.updateFailureRate(now, shedWeight)
	case Silent:
		r.updateFailureRate(now, lossWeight)
		r.recordLatencyRatio(now, startedAt, float64((now-startedAt)/expected))
	case Abandoned:
		if ratio := float64((now - startedAt) / expected); ratio > r.slowness(now) {
			r.recordLatencyRatio(now, startedAt, ratio)
		}
	}
}

// startBackoff delays further attempts after a failed connection, exponentially
// and with backoffJitter.
func (r *Replica) startBackoff(now clock.Millis) {
	r.connectFailures++
	backoff := min(maxBackoff, minBackoff*clock.Millis(uint(1)<<min(r.connectFailures-1, maxBackoffDoublings)))
	r.retryAt = now + backoff*clock.Millis(1-backoffJitter+2*backoffJitter*r.pool.set.random.Float64())
}

// recordLatencyRatio records the latency of an exchange as a multiple of the expected
// one, and updates the median.
func (r *Replica) recordLatencyRatio(now, startedAt clock.Millis, ratio float64) {
	ratio = min(ratio, maxLatencyRatio)
	switch {
	case r.late.confirms(startedAt, ratio) && r.medianRatio < slowThreshold:
		// No pause explains these late answers. The samples before them are outdated.
		r.ratioCount, r.nextRatio, r.unconfirmed = 0, 0, false
		r.storeRatio(ratio)
	case r.ratioCount == 0 || now-r.lastSampleAt > sampleMaxAge:
		r.startSamples(now, ratio)
	default:
		r.unconfirmed = false
		r.storeRatio(ratio)
	}
	r.lastSampleAt, r.slownessFromPeer = now, false
	var sorted [sampleCount]float64
	copy(sorted[:], r.latencyRatios[:r.ratioCount])
	slices.Sort(sorted[:r.ratioCount])
	r.medianRatio = sorted[(r.ratioCount-1)/2]
}

// startSamples replaces the samples, which are too old, by a new one. The earlier
// estimate counts as a sample, so that a replica that was slow stays so after the first
// late answer. A single late answer may be due to a pause: until another one confirms
// it, the replica is avoided for a short time only.
func (r *Replica) startSamples(now clock.Millis, ratio float64) {
	earlier := 1.0
	if r.slowness(now) > rememberedSlowness {
		earlier = r.medianRatio
	}
	r.unconfirmed = r.ratioCount > 0 && ratio >= lateThreshold && earlier < slowThreshold
	r.ratioCount, r.nextRatio = 0, 0
	if !r.unconfirmed {
		r.storeRatio(earlier)
	}
	r.storeRatio(ratio)
}

// lateRun is a run of late answers without one in time between them.
type lateRun struct {
	count   int
	since   clock.Millis // start of the first exchange
	lasting bool         // exchanges of the run began too far apart to have met the same pause
}

// confirms adds a sample and reports whether it belongs to a run of late answers to
// exchanges that began too far apart to have met the same pause.
func (l *lateRun) confirms(startedAt clock.Millis, ratio float64) bool {
	switch {
	case ratio < lateThreshold:
		*l = lateRun{}
		return false
	case l.count == 0:
		l.since = startedAt
	}
	l.count++
	l.lasting = l.count > 1 && startedAt-l.since >= maxPause
	return l.lasting
}

// storeRatio puts a ratio in place of the oldest one.
func (r *Replica) storeRatio(ratio float64) {
	r.latencyRatios[r.nextRatio] = ratio
	r.nextRatio = (r.nextRatio + 1) % sampleCount
	r.ratioCount = min(r.ratioCount+1, sampleCount)
}

// slowness returns the latency of recent answers as a multiple of the expected
// one. It is a median, so that a single pause does not count. Without new
// samples it decays to 1, so that the replica is tried again.
func (r *Replica) slowness(now clock.Millis) float64 {
	if r.ratioCount == 0 {
		return 1
	}
	decayTime := slownessDecayTime
	if r.unconfirmed {
		decayTime = unconfirmedDecayTime
	}
	age := float64((now - r.lastSampleAt) / decayTime)
	return 1 + (r.medianRatio-1)*math.Exp(-age)
}

// updateFailureRate records an exchange that adds weight to the failure rate; 0 is
// a success.
func (r *Replica) updateFailureRate(now clock.Millis, weight float64) {
	r.lastFailureRate = r.failureRate(now)*(1-max(weight, failureWeight)) + weight
	r.lastFailureRateAt = now
}

// failureRate returns the moving average of the share of exchanges that failed,
// from 0 to 1. It decays to 0, so that the replica is tried again.
func (r *Replica) failureRate(now clock.Millis) float64 {
	if r.lastFailureRate < negligibleFailureRate {
		return 0
	}
	return r.lastFailureRate * math.Exp(-float64((now-r.lastFailureRateAt)/failureDecayTime))
}

// Overdue reports whether the replica has left an exchange unanswered for longer
// than its recent latency explains. Expected is the expected latency.
func (r *Replica) Overdue(now, expected clock.Millis) bool { return r.overdueAge(now, expected) > 0 }

// overdueAge returns the age of the oldest unanswered exchange if it is overdue,
// and 0 otherwise.
func (r *Replica) overdueAge(now, expected clock.Millis) clock.Millis {
	if len(r.pending) == 0 {
		return 0
	}
	age := now - r.pending[0].startedAt
	if age < max(minOverdue, expected*clock.Millis(overdueFactor*max(1, r.slowness(now)))) {
		return 0
	}
	return age
}
