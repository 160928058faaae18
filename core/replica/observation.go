package replica

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// tellSlow, tellFailing and tellSpan say which own evidence is worth
	// telling: of what matters, that is fresh.
	tellSlow    = 1.6
	tellFailing = 0.2
	tellSpan    = 1500 * clock.Millisecond
	// maxObservations bounds what one daemon tells another one.
	maxObservations = 256
)

// Observation is a daemon's evidence about a replica, for daemons of the same
// data centre. A daemon that asks a replica a few times a second would learn
// alone, from its own late answers, what another one knows already.
type Observation struct {
	id       string
	slowness float64
	failing  float64
}

// NewObservation returns an observation as told by a peer.
func NewObservation(id string, slowness, failing float64) Observation {
	return Observation{id: id, slowness: min(max(slowness, 1), maxRatio), failing: min(max(failing, 0), 1)}
}

// ID returns the instance id of the replica.
func (o Observation) ID() string { return o.id }

// Slowness returns how long answers take relative to the usual latency.
func (o Observation) Slowness() float64 { return o.slowness }

// Failing returns the share of recent exchanges that failed.
func (o Observation) Failing() float64 { return o.failing }

// Observations returns this daemon's own fresh evidence about replicas that are
// slow or fail. What peers told is left out.
func (s *Set) Observations(now clock.Millis) []Observation {
	var found []Observation
	for id, r := range s.replicas {
		o := Observation{id: id, slowness: 1}
		if !r.heard && now-r.sampleAt < tellSpan && r.sampled > 0 {
			o.slowness = max(1, r.slowness(now))
		}
		if now-r.failedAt < tellSpan {
			o.failing = r.failures(now)
			if r.displaced {
				o.failing = 1
			}
		}
		if o.slowness >= tellSlow || o.failing >= tellFailing {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.slowness+b.failing, a.slowness+a.failing), cmp.Compare(a.id, b.id))
	})
	return found[:min(len(found), maxObservations)]
}

// Hear takes the observations of a peer. Own fresh evidence goes first.
func (s *Set) Hear(now clock.Millis, told []Observation) {
	for _, o := range told {
		r := s.replicas[o.id]
		if r == nil {
			continue
		}
		if o.slowness >= tellSlow && (r.heard || now-r.sampleAt > sampleGap/2) {
			r.sampled, r.next = 0, 0
			r.keep(o.slowness)
			r.median, r.sampleAt, r.heard = o.slowness, now, true
		}
		if o.failing > r.failures(now) && now-r.failedAt > sampleGap/2 {
			r.failing, r.failedAt = o.failing, now-tellSpan
		}
	}
}
