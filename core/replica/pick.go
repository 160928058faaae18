package replica

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// Network round-trip times between data centres.
	sameRegionRoundTrip  = 2 * clock.Millisecond
	otherRegionRoundTrip = 30 * clock.Millisecond

	// The penalties are added to the score of a replica, as multiples of the
	// expected latency.

	// pendingPenalty applies to each unanswered exchange, also while slots are
	// free: other daemons have exchanges there too, which this one does not see.
	pendingPenalty   = 0.4
	failurePenalty   = 8.0 // at a failure rate of 1, and in proportion below it
	sheddingPenalty  = 3.0
	coldStartPenalty = 0.6

	maxHealthySlowness    = 2.0  // multiple of the expected latency
	maxHealthyFailureRate = 0.15 // share of exchanges
	// scoreJitter is the largest random addition to a score, as a share of it.
	// It keeps daemons with the same evidence from picking the same replica.
	scoreJitter = 0.08
	// drainGrace is how long a draining replica is still picked if there is no
	// other one. It is well below the time for which such a replica serves on.
	drainGrace = clock.Second
	// maxListingDelay is the time from a change to its listing beyond which drainGrace
	// counts from an earlier instant than that of the listing.
	maxListingDelay = 1500 * clock.Millisecond
)

// Criteria describes the request for which Pick chooses a replica. Its methods
// return a changed copy.
type Criteria struct {
	expected             clock.Millis // latency
	localPreferenceLimit clock.Millis
	lateAfter            clock.Millis // 0 for never
	tried                []*Replica
	among                []*Replica // nil for all
	regions              []string   // nil or empty for all
	localOnly            bool
	nonIdempotent        bool
	version              VersionChoice
}

// NewCriteria returns the criteria for a request with an expected latency. The
// tried replicas are not picked again; the slice is not copied.
func NewCriteria(expected clock.Millis, tried []*Replica) Criteria {
	return Criteria{expected: max(expected, clock.Millisecond), tried: tried}
}

// PreferLocalWithin prefers a nearer replica that is expected to answer within
// the limit to a faster one farther away, because traffic between data centres
// costs money.
func (c Criteria) PreferLocalWithin(limit clock.Millis) Criteria {
	c.localPreferenceLimit = limit
	return c
}

// LateAfter ends the preference of a nearer replica whose answers take at least the given
// time, in which the caller sends a second attempt elsewhere. Zero means never.
func (c Criteria) LateAfter(delay clock.Millis) Criteria {
	c.lateAfter = delay
	return c
}

// InRegions restricts the choice to replicas in the given regions. An empty list
// allows every region. A replica whose region is unknown is in none of them.
func (c Criteria) InRegions(regions []string) Criteria {
	c.regions = regions
	return c
}

// Among restricts the choice to the given replicas. The slice is not copied.
func (c Criteria) Among(replicas []*Replica) Criteria {
	c.among = replicas
	return c
}

// LocalOnly restricts the choice to the daemon's own data centre.
func (c Criteria) LocalOnly() Criteria {
	c.localOnly = true
	return c
}

// allows reports whether the replica satisfies the criteria apart from those tried.
func (c *Criteria) allows(r *Replica) bool {
	if (c.localOnly && !r.Local()) || (c.among != nil && !slices.Contains(c.among, r)) {
		return false
	}
	return len(c.regions) == 0 || (r.region != "" && slices.Contains(c.regions, r.region))
}

// OfVersion sets the version that was drawn for the request.
func (c Criteria) OfVersion(choice VersionChoice) Criteria {
	c.version = choice
	return c
}

// NonIdempotent gives slowness and failures more weight, for a request that
// cannot be retried.
func (c Criteria) NonIdempotent() Criteria {
	c.nonIdempotent = true
	return c
}

// Pick returns the replica that satisfies the criteria and has the lowest score,
// which estimates the time until it answers. A replica that is draining, held or in
// connection backoff is returned only if there is no other one. Pick returns
// ErrNoneUsable, or ErrBusy if all usable replicas are at a limit. The caller
// records the exchange with Replica.Begin. During a release it returns a replica of the
// drawn version, or of an old one if no replica of the target version is usable.
func (p *Pool) Pick(now clock.Millis, criteria Criteria) (*Replica, error) {
	if p.versions == nil {
		r, _, err := p.pick(now, &criteria, anyVersion)
		return r, err
	}
	first, fallback := p.versionFilters(now, &criteria)
	r, lastResort, err := p.pick(now, &criteria, first)
	if first == fallback || (err == nil && !lastResort) {
		return r, err
	}
	if other, otherIsLast, otherErr := p.pick(now, &criteria, fallback); otherErr == nil && (err != nil || !otherIsLast) {
		return other, nil
	}
	return r, err
}

// pick is like Pick for the versions that pass the filter. It also reports whether the
// replica is one that is picked only as a last resort.
func (p *Pool) pick(now clock.Millis, criteria *Criteria, filter versionFilter) (r *Replica, isLastResort bool, err error) {
	var best [distanceCount]candidate
	var lastResort candidate
	atLimit := false
	for _, r := range p.replicas {
		if r.replaced() || slices.Contains(criteria.tried, r) ||
			slices.Contains(p.set.outOfService, r.entry.DataCentre()) || !criteria.allows(r) ||
			(filter != anyVersion && !p.allowsVersion(r, filter)) {
			continue
		}
		if !r.hasCapacity(now) {
			atLimit = true
			continue
		}
		score, latency, overdue := r.score(now, criteria)
		switch {
		case r.draining():
			if now < r.drainingSince+drainGrace {
				lastResort.offer(r, score)
			}
		case now < r.peerLeavingUntil, r.Held(now):
			lastResort.offer(r, score+max(0, r.hold.until-now))
		case now < r.retryAt:
			// An unreachable replica is a last resort: the attempt costs little
			// and shows when the replica is back.
			lastResort.offer(r, score+maxBackoff+r.retryAt-now)
		default:
			if best[r.distance].offer(r, score) {
				best[r.distance].late = criteria.late(r, latency, overdue)
			}
		}
	}
	chosen := criteria.preferNearer(now, &best)
	switch {
	case chosen.replica != nil:
		return chosen.replica, false, nil
	case lastResort.replica != nil:
		return lastResort.replica, true, nil
	case atLimit:
		return nil, false, ErrBusy
	default:
		return nil, false, ErrNoneUsable
	}
}

// distance says where a replica is relative to the daemon.
type distance uint8

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	distanceCount
)

// roundTrip returns the network round-trip time over the distance.
func (d distance) roundTrip() clock.Millis {
	return [distanceCount]clock.Millis{
		sameDataCentre: 0, sameRegion: sameRegionRoundTrip, otherRegion: otherRegionRoundTrip,
	}[d]
}

// Local reports whether the replica is in the daemon's own data centre.
func (r *Replica) Local() bool { return r.distance == sameDataCentre }

// CountByDataCentre counts the usable replicas for a request that must stay in
// the given regions. Inside is the number of healthy ones in the data centre; it
// is 0 if that is the daemon's own or in another region. Outside is the number in
// all other data centres, healthy or not.
func (p *Pool) CountByDataCentre(now clock.Millis, dataCentre string, regions []string) (inside, outside int) {
	criteria := Criteria{regions: regions}
	for _, r := range p.replicas {
		switch {
		case !r.usable(now) || !criteria.allows(r):
		case r.entry.DataCentre() != dataCentre:
			outside++
		case r.distance == sameRegion && r.healthy(now):
			inside++
		}
	}
	return inside, outside
}

// HasLocal reports whether the daemon's own data centre has a usable replica.
func (p *Pool) HasLocal(now clock.Millis) bool {
	return slices.ContainsFunc(p.replicas, func(r *Replica) bool { return r.Local() && r.usable(now) })
}

// healthy reports whether there is no evidence against the replica that would
// require an alternative to it.
func (r *Replica) healthy(now clock.Millis) bool {
	return now >= r.sheddingUntil && r.slowness(now) < maxHealthySlowness && r.failureRate(now) < maxHealthyFailureRate
}

// HasFailing reports whether a usable replica of the pool fails or sheds so many requests that
// repeats are needed for the service to be answered.
func (p *Pool) HasFailing(now clock.Millis) bool {
	return slices.ContainsFunc(p.replicas, func(r *Replica) bool {
		return r.usable(now) && r.failureRate(now) >= maxHealthyFailureRate
	})
}

// ReceiveResult applies the result of an exchange between another daemon and the
// replica: OK, Failed or Shed.
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

// InDataCentre returns the replicas in a data centre, usable or not.
func (p *Pool) InDataCentre(dataCentre string) []*Replica {
	var found []*Replica
	for _, r := range p.replicas {
		if r.entry.DataCentre() == dataCentre {
			found = append(found, r)
		}
	}
	return found
}

// UsableCount returns the number of replicas that are neither displaced, draining,
// held, in connection backoff nor in a data centre that is out of service.
func (p *Pool) UsableCount(now clock.Millis) int {
	n := 0
	for _, r := range p.replicas {
		if r.usable(now) {
			n++
		}
	}
	return n
}

// RetryAfter estimates how long it takes until the pool can take a request; at
// most one second.
func (p *Pool) RetryAfter(now, expected clock.Millis) clock.Millis {
	wait := clock.Second // the list of replicas is read again by then
	for _, r := range p.replicas {
		switch {
		case r.replaced() || r.draining() || slices.Contains(p.set.outOfService, r.entry.DataCentre()) || !p.mayUse(now, r):
		case now < r.retryAt:
			wait = min(wait, r.retryAt-now)
		case r.Held(now):
			wait = min(wait, r.hold.until-now)
		case !r.hasCapacity(now), now < r.sheddingUntil:
			waiting := max(1, len(r.pending)-r.entry.Slots())
			wait = min(wait, expected*clock.Millis(waiting)/clock.Millis(r.entry.Slots()))
		default:
			wait = min(wait, expected)
		}
	}
	return wait
}

// hasCapacity reports whether the limits on connections and on requests to a cold or
// held replica allow another exchange.
func (r *Replica) hasCapacity(now clock.Millis) bool {
	if len(r.pending) >= r.pool.MaxConnections() || !r.hold.allows(now) {
		return false
	}
	return !r.Cold(now) || r.pool.warmUpRate <= 0 || now >= r.nextColdRequestAt
}

// score estimates the time until the replica answers, with penalties and jitter. It also
// returns the latency of recent answers, and the age of an exchange that is overdue.
func (r *Replica) score(now clock.Millis, criteria *Criteria) (score, latency, overdue clock.Millis) {
	slowness, failureRate := r.slowness(now), r.failureRate(now)
	latency = criteria.expected * clock.Millis(slowness)
	pending := float64(len(r.pending))
	slots := float64(r.entry.Slots())
	score = latency * clock.Millis(1+pendingPenalty*pending+max(0, pending+1-slots)/slots)
	overdue = r.overdueAge(now, criteria.expected)
	score += overdue
	score += criteria.expected * clock.Millis(failurePenalty*failureRate)
	if now < r.sheddingUntil {
		score += criteria.expected * sheddingPenalty
	}
	if r.Cold(now) {
		score += criteria.expected * coldStartPenalty
	}
	score += r.distance.roundTrip()
	if criteria.nonIdempotent {
		// Evidence counts more, because a failed attempt cannot be retried.
		score += criteria.expected * clock.Millis(failurePenalty*failureRate+max(0, slowness-1))
	}
	return score * clock.Millis(1+scoreJitter*r.pool.set.random.Float64()), latency, overdue
}
