package replica

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// reportLifetime is how long the observations of a daemon are passed on.
	reportLifetime = 2 * clock.Second
	// mergeInterval is the least time between two merges of the observations.
	mergeInterval = 100 * clock.Millisecond
)

// ObservationMerger combines the observations of replicas by the daemons of a data
// centre. It passes on that a replica is slow or failing once two daemons observe it: a
// daemon that is itself slow or partially cut off observes that of all replicas. A
// result contains each replica once, so that its size does not grow with the number of
// daemons. The zero value is ready for use. It is not safe for concurrent use.
type ObservationMerger struct {
	reports  map[string]observationReport // by daemon
	merged   []mergedObservation          // the most severe first
	mergedAt clock.Millis
}

// observationReport is the last report of a daemon.
type observationReport struct {
	receivedAt   clock.Millis
	observations []Observation
}

// mergedObservation is the observations of a replica by two daemons, the worst first.
type mergedObservation struct {
	worst, secondWorst Observation
	reporter           string // daemon that reported the worst one
	confirmed          bool   // whether there is a second one
}

// Record replaces the observations of a daemon. An empty list removes them.
func (m *ObservationMerger) Record(now clock.Millis, daemon string, observations []Observation) {
	if m.reports == nil {
		m.reports = make(map[string]observationReport)
	}
	if len(observations) == 0 {
		delete(m.reports, daemon)
		return
	}
	m.reports[daemon] = observationReport{receivedAt: now, observations: observations}
}

// MergeDue reports whether Merge is due before the next result. The caller records
// this daemon's own observations first.
func (m *ObservationMerger) MergeDue(now clock.Millis) bool { return now >= m.mergedAt+mergeInterval }

// Merge combines the reports that have not expired.
func (m *ObservationMerger) Merge(now clock.Millis) {
	m.mergedAt = now
	byID := make(map[string]int)
	m.merged = m.merged[:0]
	for daemon, report := range m.reports {
		if now > report.receivedAt+reportLifetime {
			delete(m.reports, daemon)
			continue
		}
		for _, o := range report.observations {
			i, known := byID[o.id]
			if !known {
				i = len(m.merged)
				byID[o.id] = i
				m.merged = append(m.merged, mergedObservation{})
			}
			m.merged[i].add(daemon, o, known)
		}
	}
	slices.SortFunc(m.merged, func(a, b mergedObservation) int {
		return cmp.Or(cmp.Compare(b.worst.severity(), a.worst.severity()), cmp.Compare(a.worst.id, b.worst.id))
	})
	m.merged = m.merged[:min(len(m.merged), maxObservations)]
}

// add includes an observation by a daemon. Known means that another daemon reported the
// replica before.
func (m *mergedObservation) add(daemon string, o Observation, known bool) {
	m.confirmed = known
	switch {
	case !known || o.severity() > m.worst.severity():
		m.secondWorst = m.worst
		m.worst, m.reporter = o, daemon
	case o.severity() > m.secondWorst.severity():
		m.secondWorst = o
	}
}

// Excluding returns the merged observations for a daemon, at most maxObservations. What
// the daemon reported itself counts as one of the two that are needed, but it does not
// get it back, or it would never expire. The statement of a replica that it leaves needs
// no second daemon.
func (m *ObservationMerger) Excluding(daemon string) []Observation {
	own := make(map[string]bool)
	for _, o := range m.reports[daemon].observations {
		own[o.id] = true
	}
	var list []Observation
	for i := range m.merged {
		if o, ok := m.merged[i].excluding(daemon, own[m.merged[i].worst.id]); ok {
			list = append(list, o)
		}
	}
	return list
}

// excluding returns what a daemon gets of the observations of a replica. Reported means
// that the daemon has reported one of them.
func (m *mergedObservation) excluding(daemon string, reported bool) (Observation, bool) {
	o := m.worst
	switch {
	case m.reporter == daemon && !m.confirmed:
		return Observation{}, false
	case m.reporter == daemon:
		o = m.secondWorst
	case m.confirmed && !reported:
		// The milder of two is what both have seen.
		o = m.secondWorst.or(m.worst)
	}
	if !m.confirmed || !m.worst.adverse() || !m.secondWorst.adverse() {
		return o.statement()
	}
	return o, true
}

// adverse reports whether the daemon itself has found the replica slow or failing.
func (o Observation) adverse() bool {
	return o.slowness >= slowThreshold || o.failureRate >= failingThreshold
}

// or returns the observation, as leaving if either is.
func (o Observation) or(other Observation) Observation {
	if other.leaving && !o.leaving {
		return o.AsLeaving(other.incarnation)
	}
	return o
}

// statement returns what the replica stated itself, and whether it stated anything.
func (o Observation) statement() (Observation, bool) {
	return Observation{id: o.id, slowness: 1}.or(o), o.leaving
}
