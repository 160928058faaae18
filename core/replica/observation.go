package replica

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	slowThreshold    = 1.6 // multiple of the expected latency from which a replica counts as slow
	failingThreshold = 0.2 // share of failed exchanges from which a replica counts as failing
	// observationMaxAge is the age up to which this daemon's evidence is shared with peers.
	observationMaxAge = 1500 * clock.Millisecond
	maxObservations   = 256 // in one message to a peer
	// ownEvidencePrecedence is the age up to which this daemon's evidence takes
	// precedence over the observation of a peer.
	ownEvidencePrecedence = sampleMaxAge / 2
)

// Observation is a daemon's evidence that a replica is slow or failing. It is
// shared with the other daemons of the data centre, because a daemon that sends
// a replica only a few requests a second detects this late from its own exchanges.
type Observation struct {
	id          string
	slowness    float64 // multiple of the expected latency
	failureRate float64 // share of recent exchanges that failed, 0 to 1
	incarnation int64   // of the replica that is leaving
	leaving     bool    // stated by the replica
}

// NewObservation returns an observation received from a peer. It clamps
// slowness to between 1 and maxLatencyRatio, and failureRate to between 0 and 1. NaN is
// no evidence.
func NewObservation(id string, slowness, failureRate float64) Observation {
	o := Observation{id: id, slowness: 1}
	if slowness > 1 {
		o.slowness = min(slowness, maxLatencyRatio)
	}
	if failureRate > 0 {
		o.failureRate = min(failureRate, 1)
	}
	return o
}

// AsLeaving returns a copy with the statement of the replica that its run with the
// given incarnation is about to shut down.
func (o Observation) AsLeaving(incarnation int64) Observation {
	o.leaving, o.incarnation = true, incarnation
	return o
}

// Leaving returns the incarnation of the replica that is about to shut down, and
// whether it stated so.
func (o Observation) Leaving() (incarnation int64, leaving bool) { return o.incarnation, o.leaving }

// ID returns the id of the replica.
func (o Observation) ID() string { return o.id }

// Slowness returns the latency of the replica as a multiple of the expected one;
// 1 without evidence.
func (o Observation) Slowness() float64 { return o.slowness }

// FailureRate returns the share of recent exchanges that failed, from 0 to 1.
func (o Observation) FailureRate() float64 { return o.failureRate }

// Observations returns this daemon's recent evidence about slow and failing
// replicas, the worst first and at most maxObservations. Evidence received from
// peers is not passed on.
func (s *Set) Observations(now clock.Millis) []Observation {
	var found []Observation
	for id, r := range s.replicas {
		o := Observation{id: id, slowness: 1}
		if !r.slownessFromPeer && !r.unconfirmed && now-r.lastSampleAt < observationMaxAge && r.ratioCount > 0 {
			o.slowness = max(1, r.slowness(now))
		}
		if now-r.lastFailureRateAt < observationMaxAge {
			o.failureRate = r.failureRate(now)
			if r.replaced() {
				o.failureRate = 1
			}
		}
		if r.leaving {
			o = o.AsLeaving(r.entry.spec.Incarnation)
		}
		if o.leaving || o.adverse() {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.severity(), a.severity()), cmp.Compare(a.id, b.id))
	})
	return found[:min(len(found), maxObservations)]
}

// severity orders observations; a larger one is worse. A replica that leaves comes
// before all others.
func (o Observation) severity() float64 {
	severity := o.slowness + o.failureRate
	if o.leaving {
		severity += maxLatencyRatio
	}
	return severity
}

// ReceiveObservations applies the observations of a peer. This daemon's own
// evidence takes precedence up to the age ownEvidencePrecedence.
func (s *Set) ReceiveObservations(now clock.Millis, observations []Observation) {
	for _, o := range observations {
		r := s.replicas[o.id]
		if r == nil {
			continue
		}
		if o.leaving && o.incarnation == r.entry.spec.Incarnation {
			r.peerLeavingUntil = now + peerLeavingLifetime
		}
		if o.slowness >= slowThreshold && (r.slownessFromPeer || now-r.lastSampleAt > ownEvidencePrecedence) {
			r.ratioCount, r.nextRatio = 0, 0
			r.storeRatio(o.slowness)
			r.medianRatio, r.lastSampleAt, r.slownessFromPeer, r.unconfirmed = o.slowness, now, true, false
		}
		if o.failureRate > r.failureRate(now) && now-r.lastFailureRateAt > ownEvidencePrecedence {
			// The earlier instant keeps Observations from reporting it as own evidence.
			r.lastFailureRate, r.lastFailureRateAt = o.failureRate, now-observationMaxAge
		}
	}
}
