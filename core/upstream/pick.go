package upstream

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// nearPreferenceFactor is how much better a far replica must score to be preferred to a
// near one.
const nearPreferenceFactor = 2

// gatedAttemptInterval is the interval at which a daemon without a cold share asks,
// through a peer, a replica whose connection failed.
const gatedAttemptInterval = clock.Second

// routeKind says how this daemon may reach a replica now.
type routeKind uint8

const (
	routeBlocked routeKind = iota // at a limit
	routeDirect                   // on an own connection
	routeRelayed                  // through a daemon that has a share of connections
	routeManager                  // through the daemon that has the cold share
)

// Pick chooses a replica for ask and counts the exchange as in flight until
// Done. It returns ErrNoReplica or ErrSaturated.
func (p *Pool) Pick(now clock.Millis, ask PickRequest) (Choice, error) {
	p.advanceTo(now)
	p.collectUsable(&ask)
	if len(p.usable) == 0 {
		return Choice{}, ErrNoReplica
	}
	if r := p.neededReplica(&ask); r != nil {
		return p.begin(r, &ask), nil
	}
	p.classifyUsable(&ask)
	best := p.preferNear(p.twoChoices(p.near), p.twoChoices(p.far))
	if best == nil {
		best = p.twoChoices(p.viaManager)
	}
	if best == nil {
		return Choice{}, ErrSaturated
	}
	return p.begin(best, &ask), nil
}

// collectUsable lists the replicas that may be asked in p.usable, without those whose
// ejection counts.
func (p *Pool) collectUsable(ask *PickRequest) {
	p.usable = p.usable[:0]
	holders := 0
	for _, holder := range ask.holders {
		r := p.replicas[ID(holder)]
		if r == nil || r.leaving() || r.dataCentreOut {
			continue
		}
		excluded := slices.Contains(ask.excluded, r.replica.id)
		if !excluded || ask.purpose != Retry {
			holders++
		}
		if !excluded {
			p.usable = append(p.usable, r)
		}
	}
	p.removeEjected(ask, holders)
}

// neededReplica returns a replica that needs this sub-request to make progress: one
// that returns from an ejection, a cold one that this daemon manages, or one
// behind a local gate without a share. They score too badly, sit too far away
// or have too small a share to be picked otherwise.
func (p *Pool) neededReplica(ask *PickRequest) *replicaState {
	if ask.purpose != FirstAttempt {
		return nil
	}
	for _, r := range p.usable {
		if !r.ejection.awaitsTrial(p.now) && !p.needsSuccess(r) {
			continue
		}
		switch p.route(r, ask) {
		case routeDirect, routeRelayed:
			return r
		case routeManager:
			if r.cold.localGate && p.now-r.gatedAttemptAt >= gatedAttemptInterval {
				r.gatedAttemptAt = p.now
				return r
			}
		}
	}
	return nil
}

// needsSuccess reports whether a cold replica waits for a success through this
// daemon.
func (p *Pool) needsSuccess(r *replicaState) bool {
	return r.cold != nil && r.inFlight == 0 && (r.cold.manages || r.cold.localGate)
}

// classifyUsable divides the usable replicas by data centre and way.
func (p *Pool) classifyUsable(ask *PickRequest) {
	p.near, p.far, p.viaManager = p.near[:0], p.far[:0], p.viaManager[:0]
	for _, r := range p.usable {
		if r.ejection.excludes() {
			continue
		}
		switch p.route(r, ask) {
		case routeBlocked:
		case routeManager:
			p.viaManager = append(p.viaManager, r)
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
func (p *Pool) route(r *replicaState, ask *PickRequest) routeKind {
	if r.cold != nil && !ask.coldShareGranted {
		if r.cold.levelShare == 0 {
			return p.managerRoute(r, ask)
		}
		if r.directInFlight+r.grantedInFlight >= r.cold.levelShare {
			return routeBlocked
		}
	}
	if p.connections(r) > r.directInFlight {
		return routeDirect
	}
	if p.connections(r) == 0 && !ask.relayed && p.relay(r) != "" {
		return routeRelayed
	}
	return routeBlocked
}

func (p *Pool) managerRoute(r *replicaState, ask *PickRequest) routeKind {
	if ask.relayed || p.coldStartManager(r) == "" {
		return routeBlocked
	}
	return routeManager
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

// preferNear prefers the near replica until it scores more than farFactor times
// the far one.
func (p *Pool) preferNear(near, far *replicaState) *replicaState {
	if near == nil {
		return far
	}
	if far == nil || p.score(near) <= nearPreferenceFactor*p.score(far) {
		return near
	}
	return far
}

// begin counts an exchange with r as in flight.
func (p *Pool) begin(r *replicaState, ask *PickRequest) Choice {
	choice := Choice{upstream: r.replica.id, replica: r, pickedAt: p.now, freshConnection: ask.freshConnection || r.suspectConnection,
		gated: r.cold != nil || ask.coldShareGranted, afterConnectionLoss: r.afterConnectionLoss(), boot: r.boot}
	switch p.route(r, ask) {
	case routeRelayed:
		choice.via = p.relay(r)
		choice.coldShareGranted = r.cold != nil
	case routeManager:
		choice.via = p.coldStartManager(r)
	default:
		r.directInFlight++
	}
	if choice.coldShareGranted {
		r.grantedInFlight++
	}
	if r.ejection.awaitsTrial(p.now) {
		r.ejection.trialInFlight = true
		choice.trial = true
	}
	r.inFlight++
	return choice
}
