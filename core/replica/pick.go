package replica

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// sameRegionRoundTrip is the time that a round trip to another data centre of the region
	// adds, and abroadTrip one to another region.
	sameRegionRoundTrip  = 2 * clock.Millisecond
	otherRegionRoundTrip = 30 * clock.Millisecond
	// pendingPenalty is what an unanswered request adds below the slots, for the
	// requests of other daemons that this one does not see.
	pendingPenalty   = 0.4
	failurePenalty   = 8.0
	sheddingPenalty  = 3.0
	coldStartPenalty = 0.6
	// maxHealthySlowness and soundFailures bound what is said of a sound replica.
	maxHealthySlowness    = 2.0
	maxHealthyFailureRate = 0.15
	scoreJitter           = 0.08 // random part of a score, so that daemons differ
	// drainGrace is how long a draining replica may still be asked if there is
	// no other one. It is well below the time for which it goes on serving.
	drainGrace = clock.Second
)

// Criteria describes the request for which a replica is wanted.
type Criteria struct {
	expected             clock.Millis
	localPreferenceLimit clock.Millis
	tried                []*Replica
	regions              []string
	localOnly            bool
	nonIdempotent        bool
}

// NewCriteria returns an ask for a request that usually takes the expected time and
// was sent to the tried replicas before.
func NewCriteria(expected clock.Millis, tried []*Replica) Criteria {
	return Criteria{expected: max(expected, clock.Millisecond), tried: tried}
}

// PreferLocalWithin returns the ask for a request for which an answer within the given
// time is early enough. A replica of the daemon's own data centre that gives it
// is preferred to a faster one elsewhere, since bytes between data centres cost.
func (a Criteria) PreferLocalWithin(enough clock.Millis) Criteria {
	a.localPreferenceLimit = enough
	return a
}

// InRegions returns the ask for a request that only replicas in the given regions
// may get; all may if there are none.
func (a Criteria) InRegions(regions []string) Criteria {
	a.regions = regions
	return a
}

// LocalOnly returns the ask for a request that must stay in the daemon's own data
// centre.
func (a Criteria) LocalOnly() Criteria {
	a.localOnly = true
	return a
}

// allows reports whether the request may be sent where the replica is.
func (a *Criteria) allows(r *Replica) bool {
	if a.localOnly && !r.Local() {
		return false
	}
	return len(a.regions) == 0 || (r.region != "" && slices.Contains(a.regions, r.region))
}

// NonIdempotent returns the ask for a request that cannot be repeated.
func (a Criteria) NonIdempotent() Criteria {
	a.nonIdempotent = true
	return a
}

// Pick returns the replica that is expected to answer first. It returns ErrNone
// or ErrBusy. The caller counts the exchange with Begin.
func (p *Pool) Pick(now clock.Millis, ask Criteria) (*Replica, error) {
	var best [distanceCount]candidate
	var last candidate
	busy := false
	for _, r := range p.replicas {
		if r.displaced || slices.Contains(ask.tried, r) || slices.Contains(p.set.outOfService, r.entry.DataCentre()) || !ask.allows(r) {
			continue
		}
		if !r.hasCapacity(now) {
			busy = true
			continue
		}
		score := r.score(now, ask)
		switch {
		case r.entry.Draining():
			if now < r.drainingSince+drainGrace {
				last.offer(r, score)
			}
		case now < r.retryAt:
			// A replica that cannot be reached is asked if all others fail too:
			// the attempt costs little and tells when it is back.
			last.offer(r, score+maxBackoff+r.retryAt-now)
		default:
			best[r.distance].offer(r, score)
		}
	}
	chosen := best[distanceCount-1]
	for _, nearer := range slices.Backward(best[:distanceCount-1]) {
		if nearer.replica != nil && (chosen.replica == nil || nearer.score <= max(chosen.score, ask.localPreferenceLimit)) {
			chosen = nearer
		}
	}
	switch {
	case chosen.replica != nil:
		return chosen.replica, nil
	case last.replica != nil:
		return last.replica, nil
	case busy:
		return nil, ErrBusy
	default:
		return nil, ErrNoneUsable
	}
}

// candidate is the best replica of a kind so far.
type candidate struct {
	replica *Replica
	score   clock.Millis
}

func (c *candidate) offer(r *Replica, score clock.Millis) {
	if c.replica == nil || score < c.score {
		c.replica, c.score = r, score
	}
}

// distance is how far a replica is from the daemon.
type distance uint8

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	distanceCount // their number
)

// roundTrip is the time that a round trip over the distance adds.
func (d distance) roundTrip() clock.Millis {
	return [distanceCount]clock.Millis{sameDataCentre: 0, sameRegion: sameRegionRoundTrip, otherRegion: otherRegionRoundTrip}[d]
}

// Local reports whether the replica is in the daemon's own data centre.
func (r *Replica) Local() bool { return r.distance == sameDataCentre }

// CountByDataCentre counts the replicas that may be asked for a request that must stay in
// the given regions: the sound ones of a data centre of the daemon's own region,
// and those elsewhere.
func (p *Pool) CountByDataCentre(now clock.Millis, dataCentre string, regions []string) (inside, outside int) {
	ask := Criteria{regions: regions}
	for _, r := range p.replicas {
		switch {
		case !r.usable(now) || !ask.allows(r):
		case r.entry.DataCentre() != dataCentre:
			outside++
		case r.distance == sameRegion && r.healthy(now):
			inside++
		}
	}
	return inside, outside
}

// HasLocal reports whether a replica of the daemon's own data centre may be asked.
func (p *Pool) HasLocal(now clock.Millis) bool {
	return slices.ContainsFunc(p.replicas, func(r *Replica) bool { return r.Local() && r.usable(now) })
}

// healthy reports whether a replica can be asked without a choice of others.
func (r *Replica) healthy(now clock.Millis) bool {
	return now >= r.sheddingUntil && r.slowness(now) < maxHealthySlowness && r.failureRate(now) < maxHealthyFailureRate
}

// ReceiveResult takes how an exchange of another daemon with the replica has ended: OK,
// Failed or Shed.
func (r *Replica) ReceiveResult(now clock.Millis, result Result) {
	switch result {
	case OK:
		r.updateFailureRate(now, 0)
	case Shed:
		r.updateFailureRate(now, shedWeight)
	default:
		r.updateFailureRate(now, failureWeight)
	}
}

// InDataCentre returns the replicas of a data centre.
func (p *Pool) InDataCentre(dataCentre string) []*Replica {
	var found []*Replica
	for _, r := range p.replicas {
		if r.entry.DataCentre() == dataCentre {
			found = append(found, r)
		}
	}
	return found
}

// Except returns the replicas that are not among the given ones.
func (p *Pool) Except(given []*Replica) []*Replica {
	var others []*Replica
	for _, r := range p.replicas {
		if !slices.Contains(given, r) {
			others = append(others, r)
		}
	}
	return others
}

// UsableCount returns how many replicas may be asked at all.
func (p *Pool) UsableCount(now clock.Millis) int {
	n := 0
	for _, r := range p.replicas {
		if r.usable(now) {
			n++
		}
	}
	return n
}

// RetryAfter estimates when the pool can take a request again.
func (p *Pool) RetryAfter(now, expected clock.Millis) clock.Millis {
	room := clock.Second // the list is read again by then
	for _, r := range p.replicas {
		switch {
		case r.displaced || r.entry.Draining() || slices.Contains(p.set.outOfService, r.entry.DataCentre()):
		case now < r.retryAt:
			room = min(room, r.retryAt-now)
		case !r.hasCapacity(now), now < r.sheddingUntil:
			waiting := max(1, len(r.pending)-r.entry.Slots())
			room = min(room, expected*clock.Millis(waiting)/clock.Millis(r.entry.Slots()))
		default:
			room = min(room, expected)
		}
	}
	return room
}

// hasCapacity applies the hard limits.
func (r *Replica) hasCapacity(now clock.Millis) bool {
	if len(r.pending) >= r.pool.MaxConnections() {
		return false
	}
	return !r.Cold(now) || r.pool.warmUpRate <= 0 || now >= r.nextColdRequestAt
}

// score estimates the time until the replica answers.
func (r *Replica) score(now clock.Millis, ask Criteria) clock.Millis {
	e := ask.expected * clock.Millis(r.slowness(now))
	queued := float64(len(r.pending))
	slots := float64(r.entry.Slots())
	score := e * clock.Millis(1+pendingPenalty*queued+max(0, queued+1-slots)/slots)
	score += r.overdueAge(now, ask.expected)
	score += ask.expected * clock.Millis(failurePenalty*r.failureRate(now))
	if now < r.sheddingUntil {
		score += ask.expected * sheddingPenalty
	}
	if r.Cold(now) {
		score += ask.expected * coldStartPenalty
	}
	score += r.distance.roundTrip()
	if ask.nonIdempotent {
		// Evidence counts more where a wrong choice cannot be repaired.
		score += ask.expected * clock.Millis(failurePenalty*r.failureRate(now)+max(0, r.slowness(now)-1))
	}
	return score * clock.Millis(1+scoreJitter*r.pool.set.random.Float64())
}
