package replica

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// farTrip is the time that a round trip to another data centre of the region
	// adds, and abroadTrip one to another region.
	farTrip    = 2 * clock.Millisecond
	abroadTrip = 30 * clock.Millisecond
	// queueFactor is what an unanswered request adds below the slots, for the
	// requests of other daemons that this one does not see.
	queueFactor = 0.4
	failFactor  = 8.0
	shedFactor  = 3.0
	coldFactor  = 0.6
	// soundSlowness and soundFailures bound what is said of a sound replica.
	soundSlowness = 2.0
	soundFailures = 0.15
	spread        = 0.08 // random part of a score, so that daemons differ
	// drainGrace is how long a draining replica may still be asked if there is
	// no other one. It is well below the time for which it goes on serving.
	drainGrace = clock.Second
)

// Ask describes the request for which a replica is wanted.
type Ask struct {
	expected clock.Millis
	enough   clock.Millis
	tried    []*Replica
	regions  []string
	near     bool
	careful  bool
}

// NewAsk returns an ask for a request that usually takes the expected time and
// was sent to the tried replicas before.
func NewAsk(expected clock.Millis, tried []*Replica) Ask {
	return Ask{expected: max(expected, clock.Millisecond), tried: tried}
}

// Within returns the ask for a request for which an answer within the given
// time is early enough. A replica of the daemon's own data centre that gives it
// is preferred to a faster one elsewhere, since bytes between data centres cost.
func (a Ask) Within(enough clock.Millis) Ask {
	a.enough = enough
	return a
}

// Inside returns the ask for a request that only replicas in the given regions
// may get; all may if there are none.
func (a Ask) Inside(regions []string) Ask {
	a.regions = regions
	return a
}

// Near returns the ask for a request that must stay in the daemon's own data
// centre.
func (a Ask) Near() Ask {
	a.near = true
	return a
}

// allows reports whether the request may be sent where the replica is.
func (a *Ask) allows(r *Replica) bool {
	if a.near && !r.Near() {
		return false
	}
	return len(a.regions) == 0 || (r.region != "" && slices.Contains(a.regions, r.region))
}

// Careful returns the ask for a request that cannot be repeated.
func (a Ask) Careful() Ask {
	a.careful = true
	return a
}

// Pick returns the replica that is expected to answer first. It returns ErrNone
// or ErrBusy. The caller counts the exchange with Begin.
func (p *Pool) Pick(now clock.Millis, ask Ask) (*Replica, error) {
	var best [distances]candidate
	var last candidate
	busy := false
	for _, r := range p.replicas {
		if r.displaced || slices.Contains(ask.tried, r) || slices.Contains(p.set.out, r.entry.DataCentre()) || !ask.allows(r) {
			continue
		}
		if !r.hasRoom(now) {
			busy = true
			continue
		}
		score := r.score(now, ask)
		switch {
		case r.entry.Draining():
			if now < r.drainSeen+drainGrace {
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
	chosen := best[distances-1]
	for _, nearer := range slices.Backward(best[:distances-1]) {
		if nearer.replica != nil && (chosen.replica == nil || nearer.score <= max(chosen.score, ask.enough)) {
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
		return nil, ErrNone
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
	distances // their number
)

// trip is the time that a round trip over the distance adds.
func (d distance) trip() clock.Millis {
	return [distances]clock.Millis{sameDataCentre: 0, sameRegion: farTrip, otherRegion: abroadTrip}[d]
}

// Near reports whether the replica is in the daemon's own data centre.
func (r *Replica) Near() bool { return r.distance == sameDataCentre }

// Around counts the replicas that may be asked for a request that must stay in
// the given regions: the sound ones of a data centre of the daemon's own region,
// and those elsewhere.
func (p *Pool) Around(now clock.Millis, dataCentre string, regions []string) (inside, outside int) {
	ask := Ask{regions: regions}
	for _, r := range p.replicas {
		switch {
		case !r.usable(now) || !ask.allows(r):
		case r.entry.DataCentre() != dataCentre:
			outside++
		case r.distance == sameRegion && r.sound(now):
			inside++
		}
	}
	return inside, outside
}

// HasNear reports whether a replica of the daemon's own data centre may be asked.
func (p *Pool) HasNear(now clock.Millis) bool {
	return slices.ContainsFunc(p.replicas, func(r *Replica) bool { return r.Near() && r.usable(now) })
}

// sound reports whether a replica can be asked without a choice of others.
func (r *Replica) sound(now clock.Millis) bool {
	return now >= r.fullUntil && r.slowness(now) < soundSlowness && r.failures(now) < soundFailures
}

// Told takes how an exchange of another daemon with the replica has ended: OK,
// Failed or Shed.
func (r *Replica) Told(now clock.Millis, result Result) {
	switch result {
	case OK:
		r.fail(now, 0)
	case Shed:
		r.fail(now, shedStep)
	default:
		r.fail(now, failureStep)
	}
}

// In returns the replicas of a data centre.
func (p *Pool) In(dataCentre string) []*Replica {
	var found []*Replica
	for _, r := range p.replicas {
		if r.entry.DataCentre() == dataCentre {
			found = append(found, r)
		}
	}
	return found
}

// Others returns the replicas that are not among the given ones.
func (p *Pool) Others(given []*Replica) []*Replica {
	var others []*Replica
	for _, r := range p.replicas {
		if !slices.Contains(given, r) {
			others = append(others, r)
		}
	}
	return others
}

// Usable returns how many replicas may be asked at all.
func (p *Pool) Usable(now clock.Millis) int {
	n := 0
	for _, r := range p.replicas {
		if r.usable(now) {
			n++
		}
	}
	return n
}

// RoomIn estimates when the pool can take a request again.
func (p *Pool) RoomIn(now, expected clock.Millis) clock.Millis {
	room := clock.Second // the list is read again by then
	for _, r := range p.replicas {
		switch {
		case r.displaced || r.entry.Draining() || slices.Contains(p.set.out, r.entry.DataCentre()):
		case now < r.retryAt:
			room = min(room, r.retryAt-now)
		case !r.hasRoom(now), now < r.fullUntil:
			waiting := max(1, len(r.pending)-r.entry.Slots())
			room = min(room, expected*clock.Millis(waiting)/clock.Millis(r.entry.Slots()))
		default:
			room = min(room, expected)
		}
	}
	return room
}

// hasRoom applies the hard limits.
func (r *Replica) hasRoom(now clock.Millis) bool {
	if len(r.pending) >= r.pool.Connections() {
		return false
	}
	return !r.Cold(now) || r.pool.warmupRate <= 0 || now >= r.coldNext
}

// score estimates the time until the replica answers.
func (r *Replica) score(now clock.Millis, ask Ask) clock.Millis {
	e := ask.expected * clock.Millis(r.slowness(now))
	queued := float64(len(r.pending))
	slots := float64(r.entry.Slots())
	score := e * clock.Millis(1+queueFactor*queued+max(0, queued+1-slots)/slots)
	score += r.overdue(now, ask.expected)
	score += ask.expected * clock.Millis(failFactor*r.failures(now))
	if now < r.fullUntil {
		score += ask.expected * shedFactor
	}
	if r.Cold(now) {
		score += ask.expected * coldFactor
	}
	score += r.distance.trip()
	if ask.careful {
		// Evidence counts more where a wrong choice cannot be repaired.
		score += ask.expected * clock.Millis(failFactor*r.failures(now)+max(0, r.slowness(now)-1))
	}
	return score * clock.Millis(1+spread*r.pool.set.random.Float64())
}
