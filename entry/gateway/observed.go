package gateway

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// toldTime is how long observations of a daemon are passed on.
	toldTime = 2 * clock.Second
	// mergeInterval bounds how often the observations are merged.
	mergeInterval = 100 * clock.Millisecond
	// maxObserved bounds the observations in a reply.
	maxObserved = 256
)

// observed is what this daemon and those that follow it have observed of
// replicas. A reply holds each replica once, so that it does not grow with the
// number of followers. The zero value is ready for use.
type observed struct {
	told     map[string]toldObservations // by daemon
	merged   []mergedObservation         // worst first
	mergedAt clock.Millis
}

type toldObservations struct {
	at   clock.Millis
	list []viewObservation
}

// mergedObservation is the worst observation of a replica, and the worst one of
// another daemon, which that daemon itself gets.
type mergedObservation struct {
	worst, second viewObservation
	from          string // daemon that told the worst one
}

func (o viewObservation) weight() float32 { return o.Slowness + o.Failing }

// hear takes what a daemon has observed lately.
func (o *observed) hear(now clock.Millis, from string, list []viewObservation) {
	if o.told == nil {
		o.told = make(map[string]toldObservations)
	}
	if len(list) == 0 {
		delete(o.told, from)
		return
	}
	o.told[from] = toldObservations{at: now, list: list}
}

// due reports whether the observations are to be merged again before the next
// reply, so that this daemon's own are taken first.
func (o *observed) due(now clock.Millis) bool { return now >= o.mergedAt+mergeInterval }

// merge combines what was heard lately.
func (o *observed) merge(now clock.Millis) {
	o.mergedAt = now
	byID := make(map[string]int)
	o.merged = o.merged[:0]
	for from, told := range o.told {
		if now > told.at+toldTime {
			delete(o.told, from)
			continue
		}
		for _, one := range told.list {
			i, known := byID[one.ID]
			if !known {
				i = len(o.merged)
				byID[one.ID] = i
				o.merged = append(o.merged, mergedObservation{})
			}
			o.merged[i].add(from, one)
		}
	}
	slices.SortFunc(o.merged, func(a, b mergedObservation) int {
		return cmp.Or(cmp.Compare(b.worst.weight(), a.worst.weight()), cmp.Compare(a.worst.ID, b.worst.ID))
	})
	o.merged = o.merged[:min(len(o.merged), maxObserved)]
}

func (m *mergedObservation) add(from string, one viewObservation) {
	switch {
	case one.weight() > m.worst.weight():
		m.second = m.worst
		m.worst, m.from = one, from
	case one.weight() > m.second.weight():
		m.second = one
	}
}

// except returns the merged observations without those of one daemon.
func (o *observed) except(daemon string) []viewObservation {
	list := make([]viewObservation, 0, len(o.merged))
	for _, m := range o.merged {
		switch {
		case m.from != daemon:
			list = append(list, m.worst)
		case m.second.ID != "":
			list = append(list, m.second)
		}
	}
	return list
}
