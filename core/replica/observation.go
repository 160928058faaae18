package replica

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// tellSlow, tellFailing and tellSpan say which own evidence is worth
	// telling: of what matters, that is fresh.
	slowThreshold     = 1.6
	failingThreshold  = 0.2
	observationMaxAge = 1500 * clock.Millisecond
	// maxObservations bounds what one daemon tells another one.
	maxObservations = 256
)

// Observation is a daemon's evidence about a replica, for daemons of the same
// data centre. A daemon that asks a replica a few times a second would learn
// alone, from its own late answers, what another one knows already.
type Observation struct {
	id          string
	slowness    float64
	failureRate float64
}

// NewObservation returns an observation as told by a peer.
func NewObservation(id string, slowness, failureRate float64) Observation {
	return Observation{id: id, slowness: min(max(slowness, 1), maxLatencyRatio), failureRate: min(max(failureRate, 0), 1)}
}

// ID returns the instance id of the replica.
func (o Observation) ID() string { return o.id }

// Slowness returns how long answers take relative to the usual latency.
func (o Observation) Slowness() float64 { return o.slowness }

// FailureRate returns the share of recent exchanges that failed.
func (o Observation) FailureRate() float64 { return o.failureRate }

// Observations returns this daemon's own fresh evidence about replicas that are
// slow or fail. What peers told is left out.
func (s *Set) Observations(now clock.Millis) []Observation {
	var found []Observation
	for id, r := range s.replicas {
		o := Observation{id: id, slowness: 1}
		if !r.slownessFromPeer && now-r.lastSampleAt < observationMaxAge && r.ratioCount > 0 {
			o.slowness = max(1, r.slowness(now))
		}
		if now-r.lastFailureRateAt < observationMaxAge {
			o.failureRate = r.failureRate(now)
			if r.displaced {
				o.failureRate = 1
			}
		}
		if o.slowness >= slowThreshold || o.failureRate >= failingThreshold {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.slowness+b.failureRate, a.slowness+a.failureRate), cmp.Compare(a.id, b.id))
	})
	return found[:min(len(found), maxObservations)]
}

// ReceiveObservations takes the observations of a peer. Own fresh evidence goes first.
func (s *Set) ReceiveObservations(now clock.Millis, observations []Observation) {
	for _, o := range observations {
		r := s.replicas[o.id]
		if r == nil {
			continue
		}
		if o.slowness >= slowThreshold && (r.slownessFromPeer || now-r.lastSampleAt > sampleMaxAge/2) {
			r.ratioCount, r.nextRatio = 0, 0
			r.storeRatio(o.slowness)
			r.medianRatio, r.lastSampleAt, r.slownessFromPeer = o.slowness, now, true
		}
		if o.failureRate > r.failureRate(now) && now-r.lastFailureRateAt > sampleMaxAge/2 {
			r.lastFailureRate, r.lastFailureRateAt = o.failureRate, now-observationMaxAge
		}
	}
}
