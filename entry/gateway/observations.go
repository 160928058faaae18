package gateway

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// reportLifetime is how long observations of a daemon are passed on.
	reportLifetime = 2 * clock.Second
	// mergeInterval bounds how often the observations are merged.
	mergeInterval = 100 * clock.Millisecond
	// maxMergedObservations bounds the observations in a reply.
	maxMergedObservations = 256
)

// observationMerger is what this daemon and those that follow it have observed of
// replicas. A reply holds each replica once, so that it does not grow with the
// number of followers. The zero value is ready for use.
type observationMerger struct {
	reports  map[string]observationReport // by daemon
	merged   []mergedObservation          // worst first
	mergedAt clock.Millis
}

type observationReport struct {
	receivedAt   clock.Millis
	observations []wireObservation
}

// mergedObservation is the worst observation of a replica, and the worst one of
// another daemon, which that daemon itself gets.
type mergedObservation struct {
	worst, secondWorst wireObservation
	reporter           string // daemon that told the worst one
}

func (o wireObservation) severity() float32 { return o.Slowness + o.FailureRate }

// record takes what a daemon has observed lately.
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

// mergeDue reports whether the observations are to be merged again before the next
// reply, so that this daemon's own are taken first.
func (o *observationMerger) mergeDue(now clock.Millis) bool { return now >= o.mergedAt+mergeInterval }

// merge combines what was heard lately.
func (o *observationMerger) merge(now clock.Millis) {
	o.mergedAt = now
	byID := make(map[string]int)
	o.merged = o.merged[:0]
	for from, told := range o.reports {
		if now > told.receivedAt+reportLifetime {
			delete(o.reports, from)
			continue
		}
		for _, one := range told.observations {
			i, known := byID[one.ReplicaID]
			if !known {
				i = len(o.merged)
				byID[one.ReplicaID] = i
				o.merged = append(o.merged, mergedObservation{})
			}
			o.merged[i].add(from, one)
		}
	}
	slices.SortFunc(o.merged, func(a, b mergedObservation) int {
		return cmp.Or(cmp.Compare(b.worst.severity(), a.worst.severity()), cmp.Compare(a.worst.ReplicaID, b.worst.ReplicaID))
	})
	o.merged = o.merged[:min(len(o.merged), maxMergedObservations)]
}

func (m *mergedObservation) add(from string, one wireObservation) {
	switch {
	case one.severity() > m.worst.severity():
		m.secondWorst = m.worst
		m.worst, m.reporter = one, from
	case one.severity() > m.secondWorst.severity():
		m.secondWorst = one
	}
}

// excluding returns the merged observations without those of one daemon.
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
