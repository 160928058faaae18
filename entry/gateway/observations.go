package gateway

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
	// maxMergedObservations bounds the number of observations in a reply.
	maxMergedObservations = 256
)

// observationMerger combines the observations of replicas by this daemon and its
// followers. A reply contains each replica once, so that its size does not grow with
// the number of followers. The zero value is ready for use. It is not safe for
// concurrent use.
type observationMerger struct {
	reports  map[string]observationReport // by daemon
	merged   []mergedObservation          // the most severe first
	mergedAt clock.Millis
}

// observationReport is the last report of a daemon.
type observationReport struct {
	receivedAt   clock.Millis
	observations []wireObservation
}

// mergedObservation is the worst observation of a replica. The daemon that reported
// it gets secondWorst instead, the worst one of the other daemons, so that it does
// not receive its own evidence.
type mergedObservation struct {
	worst, secondWorst wireObservation
	reporter           string // daemon that reported the worst one
}

// leavingSeverity puts a replica that leaves before all slow and failing ones.
const leavingSeverity = 100

// severity orders the observations of a replica; a larger one is worse.
func (o wireObservation) severity() float32 {
	severity := o.Slowness + o.FailureRate
	if o.Leaving {
		severity += leavingSeverity
	}
	return severity
}

// record replaces the observations of a daemon. An empty list removes them.
func (o *observationMerger) record(now clock.Millis, from string, list []wireObservation) {
	if o.reports == nil {
		o.reports = make(map[string]observationReport)
	}
	if len(list) == 0 {
		delete(o.reports, from)
		return
	}
	o.reports[from] = observationReport{receivedAt: now, observations: list}
}

// mergeDue reports whether merge is due before the next reply. The caller records
// this daemon's own observations first.
func (o *observationMerger) mergeDue(now clock.Millis) bool { return now >= o.mergedAt+mergeInterval }

// merge combines the reports that have not expired.
func (o *observationMerger) merge(now clock.Millis) {
	o.mergedAt = now
	byID := make(map[string]int)
	o.merged = o.merged[:0]
	for reporter, report := range o.reports {
		if now > report.receivedAt+reportLifetime {
			delete(o.reports, reporter)
			continue
		}
		for _, observation := range report.observations {
			i, known := byID[observation.ReplicaID]
			if !known {
				i = len(o.merged)
				byID[observation.ReplicaID] = i
				o.merged = append(o.merged, mergedObservation{})
			}
			o.merged[i].add(reporter, observation)
		}
	}
	slices.SortFunc(o.merged, func(a, b mergedObservation) int {
		return cmp.Or(cmp.Compare(b.worst.severity(), a.worst.severity()), cmp.Compare(a.worst.ReplicaID, b.worst.ReplicaID))
	})
	o.merged = o.merged[:min(len(o.merged), maxMergedObservations)]
}

// add includes an observation by a daemon.
func (m *mergedObservation) add(reporter string, observation wireObservation) {
	switch {
	case observation.severity() > m.worst.severity():
		m.secondWorst = m.worst
		m.worst, m.reporter = observation, reporter
	case observation.severity() > m.secondWorst.severity():
		m.secondWorst = observation
	}
}

// excluding returns the merged observations without those that the daemon reported.
func (o *observationMerger) excluding(daemon string) []wireObservation {
	list := make([]wireObservation, 0, len(o.merged))
	for _, m := range o.merged {
		switch {
		case m.reporter != daemon:
			list = append(list, m.worst)
		case m.secondWorst.ReplicaID != "":
			list = append(list, m.secondWorst)
		}
	}
	return list
}
