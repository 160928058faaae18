package upstream

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// farFactor is how much better a far replica must score to be preferred to a
// near one.
const farFactor = 2

// proofInterval is the interval at which a daemon without a cold share asks,
// through a peer, a replica whose connection failed.
const proofInterval = clock.Second

// route says how this daemon may reach a replica now.
type route uint8

const (
	blocked    route = iota // at a limit
	direct                  // on an own connection
	relayed                 // through a daemon that has a share of connections
	lastResort              // through the daemon that has the cold share
)

// Pick chooses a replica for ask and counts the exchange as in flight until
// Done. It returns ErrNoReplica or ErrSaturated.
func (p *Pool) Pick(now clock.Millis, ask Ask) (Choice, error) {
	p.observe(now)
	p.gather(&ask)
	if len(p.usable) == 0 {
		return Choice{}, ErrNoReplica
	}
	if r := p.required(&ask); r != nil {
		return p.choose(r, &ask), nil
	}
	p.sortOut(&ask)
	best := p.better(p.twoChoices(p.near), p.twoChoices(p.far))
	if best == nil {
		best = p.twoChoices(p.fallback)
	}
	if best == nil {
		return Choice{}, ErrSaturated
	}
	return p.choose(best, &ask), nil
}

// gather lists the replicas that may be asked in p.usable, without those whose
// ejection counts.
func (p *Pool) gather(ask *Ask) {
	p.usable = p.usable[:0]
	holders := 0
	for _, holder := range ask.holders {
		r := p.replicas[ID(holder)]
		if r == nil || r.leaving() || r.out {
			continue
		}
		excluded := slices.Contains(ask.exclude, r.replica.id)
		if !excluded || ask.purpose != Retry {
			holders++
		}
		if !excluded {
			p.usable = append(p.usable, r)
		}
	}
	p.withoutEjected(ask, holders)
}

// required returns a replica that needs this sub-request to make progress: one
// that returns from an ejection, a cold one that this daemon manages, or one
// behind a local gate without a share. They score too badly, sit too far away
// or have too small a share to be picked otherwise.
func (p *Pool) required(ask *Ask) *replicaState {
	if ask.purpose != First {
		return nil
	}
	for _, r := range p.usable {
		if !r.ejection.waiting(p.now) && !p.needsProof(r) {
			continue
		}
		switch p.route(r, ask) {
		case direct, relayed:
			return r
		case lastResort:
			if r.cold.local && p.now-r.provedAt >= proofInterval {
				r.provedAt = p.now
				return r
			}
		}
	}
	return nil
}

// needsProof reports whether a cold replica waits for a success through this
// daemon.
func (p *Pool) needsProof(r *replicaState) bool {
	return r.cold != nil && r.inFlight == 0 && (r.cold.manages || r.cold.local)
}

// sortOut divides the usable replicas by data centre and way.
func (p *Pool) sortOut(ask *Ask) {
	p.near, p.far, p.fallback = p.near[:0], p.far[:0], p.fallback[:0]
	for _, r := range p.usable {
		if r.ejection.holds() {
			continue
		}
		switch p.route(r, ask) {
		case blocked:
		case lastResort:
			p.fallback = append(p.fallback, r)
		default:
			if r.replica.dataCentre == p.fleet.self.dataCentre {
				p.near = append(p.near, r)
			} else {
				p.far = append(p.far, r)
			}
		}
	}
}

// route applies the hard limits to a replica.
func (p *Pool) route(r *replicaState, ask *Ask) route {
	if r.cold != nil && !ask.granted {
		if r.cold.share == 0 {
			return p.lastResort(r, ask)
		}
		if r.direct+r.granted >= r.cold.share {
			return blocked
		}
	}
	if p.connections(r) > r.direct {
		return direct
	}
	if p.connections(r) == 0 && !ask.noRelay && p.relay(r) != "" {
		return relayed
	}
	return blocked
}

func (p *Pool) lastResort(r *replicaState, ask *Ask) route {
	if ask.noRelay || p.coldRelay(r) == "" {
		return blocked
	}
	return lastResort
}

// twoChoices compares two random replicas and returns the better one. Without
// randomness it returns the best of all.
func (p *Pool) twoChoices(from []*replicaState) *replicaState {
	switch {
	case len(from) == 0:
		return nil
	case len(from) == 1:
		return from[0]
	case p.random == nil:
		return p.best(from)
	}
	i := p.random.IntN(len(from))
	j := p.random.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	if p.score(from[j]) < p.score(from[i]) {
		return from[j]
	}
	return from[i]
}

func (p *Pool) best(from []*replicaState) *replicaState {
	best := from[0]
	for _, r := range from[1:] {
		if p.score(r) < p.score(best) {
			best = r
		}
	}
	return best
}

// better prefers the near replica until it scores more than farFactor times
// the far one.
func (p *Pool) better(near, far *replicaState) *replicaState {
	if near == nil {
		return far
	}
	if far == nil || p.score(near) <= farFactor*p.score(far) {
		return near
	}
	return far
}

// choose counts an exchange with r as in flight.
func (p *Pool) choose(r *replicaState, ask *Ask) Choice {
	choice := Choice{upstream: r.replica.id, replica: r, began: p.now, fresh: ask.fresh || r.suspect,
		gated: r.cold != nil || ask.granted, unproven: r.unproven(), boot: r.boot}
	switch p.route(r, ask) {
	case relayed:
		choice.via = p.relay(r)
		choice.granted = r.cold != nil
	case lastResort:
		choice.via = p.coldRelay(r)
	default:
		r.direct++
	}
	if choice.granted {
		r.granted++
	}
	if r.ejection.waiting(p.now) {
		r.ejection.trial = true
		choice.trial = true
	}
	r.inFlight++
	return choice
}
