package release

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// suspectThreshold is the cumulative log-likelihood ratio at which a version is
	// found bad. The simulation in judge_test.go gives the error rates.
	suspectThreshold = 8.0
	// perRouteSurcharge is added to the threshold for evidence of a single route, since
	// several routes are tested.
	perRouteSurcharge = 1.5
	// remainderThreshold is what must remain of the ratio without the replica that
	// contributes most: one slow or failing replica is no evidence against a version.
	remainderThreshold = 6.0
	// singleReplicaSurcharge is added to the threshold while only one replica of the
	// new version has been used.
	singleReplicaSurcharge = 2.0

	// The rate of the old version, from which the expectation for the new one is
	// derived, is raised by these margins: a relative and an absolute difference that
	// is tolerated, and one standard deviation of the estimate.

	rateFactor    = 1.25
	rateTolerance = 0.01
	// priorWeight is the number of attempts that the rate of a wider scope counts for.
	priorWeight = 8.0
	// lateBuckets is the number of buckets above the median of the old version from
	// which an answer is late: at least twice the median.
	lateBuckets = 3
	// minMedianSamples is the number of latencies of the old version below which no
	// answer counts as late.
	minMedianSamples = 20
	maxExpectedRate  = 0.9
)

// excesses are the additional rates of bad answers that are tested for. The small one
// finds a fault of a few answers in a hundred, the large one finds a grave fault early.
var excesses = [...]float64{0.06, 0.25}

// sign is a kind of evidence.
type sign uint8

const (
	failure sign = iota
	lateness
	signCount
)

// Window holds the evidence of the whole fleet over a short time, by data centre of
// the daemons.
type Window map[string][]Cell

// add adds a cell, to the one with the same key if there is one.
func (w Window) add(dataCentre string, cell Cell) {
	for i := range w[dataCentre] {
		if w[dataCentre][i].CellKey == cell.CellKey {
			w[dataCentre][i].Counts.add(cell.Counts)
			return
		}
	}
	own := Cell{CellKey: cell.CellKey}
	own.Counts.add(cell.Counts)
	w[dataCentre] = append(w[dataCentre], own)
}

// Judge tests whether the answers of a new version are bad more often than those of the
// old ones in the same windows: failures, and answers later than twice the median of
// the old version on the route. The test is a cumulative sum of log-likelihood ratios
// that does not fall below 0, so that a version that becomes bad later is found as
// soon as one that is bad at once. The zero value is ready for use.
type Judge struct {
	old      map[string]*Counts // of old versions, by route
	sums     map[chainKey]float64
	replicas map[uint32]bool // of the new version that have been used
	attempts int             // of the new version
	bad      [signCount]int  // of the new version
}

// chainKey names a cumulative sum. Route "" holds the sum over all routes, and without
// is the number of a replica that is left out, or 0.
type chainKey struct {
	route   string
	without uint32
	sign    sign
	excess  int
}

// Attempts returns the number of attempts of the new version that have been judged.
func (j *Judge) Attempts() int { return j.attempts }

// Failures returns the number of failed attempts of the new version.
func (j *Judge) Failures() int { return j.bad[failure] }

// Late returns the number of late answers of the new version.
func (j *Judge) Late() int { return j.bad[lateness] }

// sample is the number of bad answers in a number of attempts.
type sample struct{ bad, attempts float64 }

func (s *sample) add(other sample) {
	s.bad += other.bad
	s.attempts += other.attempts
}

// rate returns the share of bad answers, with a prior.
func (s sample) rate(prior float64) float64 {
	return (s.bad + priorWeight*prior) / (s.attempts + priorWeight)
}

// Add adds the evidence of a window.
func (j *Judge) Add(w Window) {
	if j.old == nil {
		j.old, j.sums, j.replicas = make(map[string]*Counts), make(map[chainKey]float64), make(map[uint32]bool)
	}
	for _, cells := range w {
		for _, cell := range cells {
			switch {
			case cell.Replica != 0 && cell.Attempts > 0:
				j.addReplica(cell.Replica)
			case cell.Replica == 0:
				if j.old[cell.Route] == nil {
					j.old[cell.Route] = &Counts{}
				}
				j.old[cell.Route].add(cell.Counts)
			}
		}
	}
	for kind := range signCount {
		j.addSign(w, kind)
	}
}

// addReplica starts the sums without a replica. They equal those with it, since it has
// contributed nothing yet.
func (j *Judge) addReplica(replica uint32) {
	if j.replicas[replica] {
		return
	}
	j.replicas[replica] = true
	for key, sum := range maps.Clone(j.sums) {
		if key.without == 0 {
			key.without = replica
			j.sums[key] = sum
		}
	}
}

// sampleOf returns the bad answers of a cell.
func (j *Judge) sampleOf(cell *Cell, kind sign) sample {
	if kind == failure {
		return sample{bad: float64(cell.Failures), attempts: float64(cell.Attempts)}
	}
	old := j.old[cell.Route]
	if old == nil || old.timed() < minMedianSamples {
		return sample{}
	}
	median, _ := old.median()
	return sample{bad: float64(cell.from(median + lateBuckets)), attempts: float64(cell.timed())}
}

// addSign adds the evidence of one kind to the sums.
func (j *Judge) addSign(w Window, kind sign) {
	var fleet, ever sample
	for route, old := range j.old {
		ever.add(j.sampleOf(&Cell{CellKey: CellKey{Route: route}, Counts: *old}, kind))
	}
	for _, cells := range w {
		for i := range cells {
			if cells[i].Replica == 0 {
				fleet.add(j.sampleOf(&cells[i], kind))
			}
		}
	}
	fleetRate := fleet.rate(ever.rate(0))
	gains := make(map[chainKey]float64)
	for _, dataCentre := range slices.Sorted(maps.Keys(w)) {
		cells := w[dataCentre]
		for i := range cells {
			cell := &cells[i]
			if cell.Replica == 0 {
				continue
			}
			s := j.sampleOf(cell, kind)
			j.attempts += int(cell.Attempts) * int(1-kind) // once, not for each kind
			j.bad[kind] += int(s.bad)
			if s.attempts == 0 {
				continue
			}
			var old sample
			for k := range cells {
				if cells[k].Replica == 0 && cells[k].Route == cell.Route {
					old.add(j.sampleOf(&cells[k], kind))
				}
			}
			for excess, delta := range excesses {
				gain := logLikelihoodRatio(s, expectedRate(old, fleetRate), delta)
				j.addGain(gains, chainKey{sign: kind, excess: excess}, cell, gain)
			}
		}
	}
	for key, gain := range gains {
		j.sums[key] = max(0, j.sums[key]+gain)
	}
}

// addGain adds the gain of a cell to all sums that it belongs to.
func (j *Judge) addGain(gains map[chainKey]float64, key chainKey, cell *Cell, gain float64) {
	for _, route := range []string{"", cell.Route} {
		key.route, key.without = route, 0
		gains[key] += gain
		for replica := range j.replicas {
			if replica != cell.Replica {
				key.without = replica
				gains[key] += gain
			}
		}
		if cell.Route == "" {
			return
		}
	}
}

// expectedRate returns the highest rate of bad answers that is expected of a sound
// version, from that of the old version in the same window and data centre.
func expectedRate(old sample, fleetRate float64) float64 {
	rate := old.rate(fleetRate)
	deviation := math.Sqrt(rate * (1 - rate) / (old.attempts + priorWeight))
	return min(maxExpectedRate, rate*rateFactor+rateTolerance+deviation)
}

// logLikelihoodRatio compares a rate that exceeds the expected one by a share delta of
// the remainder with the expected one.
func logLikelihoodRatio(s sample, expected, delta float64) float64 {
	excessive := expected + (1-expected)*delta
	return s.bad*math.Log(excessive/expected) + (s.attempts-s.bad)*math.Log((1-excessive)/(1-expected))
}

// Suspicion returns the strongest evidence against the version as a share of the
// threshold at which it is found bad, with its route ("" for all together) and kind.
func (j *Judge) Suspicion() Suspicion {
	var strongest Suspicion
	for key, sum := range j.sums {
		if key.without != 0 {
			continue
		}
		threshold := suspectThreshold
		if key.route != "" {
			threshold += perRouteSurcharge
		}
		if len(j.replicas) == 1 {
			threshold += singleReplicaSurcharge
		}
		share := sum / threshold
		if len(j.replicas) > 1 {
			share = min(share, j.remainder(key)/remainderThreshold)
		}
		if next := (Suspicion{share: share, route: key.route, sign: key.sign}); next.compare(strongest) > 0 {
			strongest = next
		}
	}
	return strongest
}

// remainder returns the sum without the replica that contributes most.
func (j *Judge) remainder(key chainKey) float64 {
	least := math.Inf(1)
	for replica := range j.replicas {
		key.without = replica
		least = min(least, j.sums[key])
	}
	return least
}

// Suspicion is evidence against a version. The zero value is none.
type Suspicion struct {
	share float64
	route string
	sign  sign
}

// compare orders by strength, and by name where equal, so that all daemons report the
// same one.
func (s Suspicion) compare(other Suspicion) int {
	return cmp.Or(cmp.Compare(s.share, other.share), cmp.Compare(other.route, s.route), cmp.Compare(other.sign, s.sign))
}

// Share returns the strength of the evidence; the version is bad from 1 on.
func (s Suspicion) Share() float64 { return s.share }

// Bad reports whether the evidence suffices to find the version bad.
func (s Suspicion) Bad() bool { return s.share >= 1 }

// String describes the evidence for logs.
func (s Suspicion) String() string {
	text := "failures"
	if s.sign == lateness {
		text = "late answers"
	}
	if s.route != "" {
		text += " on route " + s.route
	}
	return text
}
