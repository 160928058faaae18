package upstream

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// nearPreferenceFactor is the multiple of the far replica's score up to which the
// near replica is preferred.
const nearPreferenceFactor = 2

// gatedAttemptInterval is the interval at which a daemon without a level share sends
// an attempt through the manager to a replica whose connections failed.
const gatedAttemptInterval = clock.Second

// routeKind is the way on which this daemon may reach a replica at the moment.
type routeKind uint8

const (
	routeBlocked routeKind = iota // a limit is reached
	routeDirect                   // on a connection of this daemon
	routeRelayed                  // through a daemon with a share of the connections
	routeManager                  // through the manager of the cold start, for lack of a level share
)

// Pick selects a replica for an attempt and counts its exchange as in flight until
// Done is called with the choice. It returns ErrNoReplica or ErrSaturated.
func (p *Pool) Pick(now clock.Millis, req PickRequest) (Choice, error) {
	p.advanceTo(now)
	p.collectUsable(&req)
	if len(p.usable) == 0 {
		return Choice{}, ErrNoReplica
	}
	if r := p.neededReplica(&req); r != nil {
		return p.begin(r, &req), nil
	}
	p.classifyUsable(&req)
	best := p.preferNear(p.twoChoices(p.near), p.twoChoices(p.far))
	if best == nil {
		best = p.twoChoices(p.viaManager)
	}
	if best == nil {
		return Choice{}, ErrSaturated
	}
	return p.begin(best, &req), nil
}

// collectUsable sets p.usable to the eligible replicas.
func (p *Pool) collectUsable(req *PickRequest) {
	p.usable = p.usable[:0]
	holders := 0
	for _, holder := range req.holders {
		r := p.replicas[ID(holder)]
		if r == nil || r.leaving() || r.dataCentreOut {
			continue
		}
		excluded := slices.Contains(req.excluded, r.replica.id)
		if !excluded || req.purpose != Retry {
			holders++
		}
		if !excluded {
			p.usable = append(p.usable, r)
		}
	}
	p.removeEjected(req, holders)
}

// neededReplica returns a replica whose state only this attempt can advance: one
// that awaits its trial, a cold one that this daemon manages, or one behind a
// local gate. Selection by score would pass over them because of their score,
// their distance or their small share. It returns nil if there is none.
func (p *Pool) neededReplica(req *PickRequest) *replicaState {
	if req.purpose != FirstAttempt {
		return nil
	}
	for _, r := range p.usable {
		if !r.ejection.awaitsTrial(p.now) && !p.needsSuccess(r) {
			continue
		}
		switch p.route(r, req) {
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

// needsSuccess reports whether a cold replica needs a success of this daemon and no
// exchange is in flight that could bring it.
func (p *Pool) needsSuccess(r *replicaState) bool {
	return r.cold != nil && r.inFlight == 0 && (r.cold.manages || r.cold.localGate)
}

// classifyUsable divides the usable replicas by data centre and route.
func (p *Pool) classifyUsable(req *PickRequest) {
	p.near, p.far, p.viaManager = p.near[:0], p.far[:0], p.viaManager[:0]
	for _, r := range p.usable {
		if r.ejection.excludes() {
			continue
		}
		switch p.route(r, req) {
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

// route applies the limits on concurrency and connections to a replica.
func (p *Pool) route(r *replicaState, req *PickRequest) routeKind {
	if r.cold != nil && !req.coldShareGranted {
		if r.cold.levelShare == 0 {
			return p.managerRoute(r, req)
		}
		if r.directInFlight+r.grantedInFlight+r.abandonedCount(p.now) >= r.cold.levelShare {
			return routeBlocked
		}
	}
	if p.usableConnections(r) > r.directInFlight {
		return routeDirect
	}
	if p.usableConnections(r) == 0 && !req.relayed && p.relay(r) != "" {
		return routeRelayed
	}
	return routeBlocked
}

// abandonedCount returns the number of abandoned exchanges that the upstream may still run.
func (r *replicaState) abandonedCount(now clock.Millis) int {
	r.abandoned = slices.DeleteFunc(r.abandoned, func(until clock.Millis) bool { return now >= until })
	return len(r.abandoned)
}

func (p *Pool) managerRoute(r *replicaState, req *PickRequest) routeKind {
	if req.relayed || p.coldStartManager(r) == "" {
		return routeBlocked
	}
	return routeManager
}

// twoChoices returns the better of two random replicas, or without a source of
// randomness the best of all. It returns nil for an empty list.
func (p *Pool) twoChoices(candidates []*replicaState) *replicaState {
	switch {
	case len(candidates) == 0:
		return nil
	case len(candidates) == 1:
		return candidates[0]
	case p.random == nil:
		return p.best(candidates)
	}
	i := p.random.IntN(len(candidates))
	j := p.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if p.score(candidates[j]) < p.score(candidates[i]) {
		return candidates[j]
	}
	return candidates[i]
}

func (p *Pool) best(candidates []*replicaState) *replicaState {
	best := candidates[0]
	for _, r := range candidates[1:] {
		if p.score(r) < p.score(best) {
			best = r
		}
	}
	return best
}

// preferNear returns the near replica unless its score is more than
// nearPreferenceFactor times that of the far one. Either may be nil.
func (p *Pool) preferNear(near, far *replicaState) *replicaState {
	if near == nil {
		return far
	}
	if far == nil || p.score(near) <= nearPreferenceFactor*p.score(far) {
		return near
	}
	return far
}

// fitsAnyProcess reports whether the limit of concurrency that applies to r also suits a
// process that has just started. A raised level is that of the known process.
func (p *Pool) fitsAnyProcess(r *replicaState, req *PickRequest) bool {
	if r.cold == nil {
		return req.coldShareGranted
	}
	return r.cold.localGate || r.cold.record.level <= p.policy.InitialLevel()
}

// begin counts an exchange with r as in flight and returns the choice.
func (p *Pool) begin(r *replicaState, req *PickRequest) Choice {
	choice := Choice{
		upstream: r.replica.id, replica: r, pickedAt: p.now,
		freshConnection:     req.freshConnection || r.suspectConnection,
		cold:                r.cold != nil || req.coldShareGranted,
		gated:               p.fitsAnyProcess(r, req),
		afterConnectionLoss: r.afterConnectionLoss(),
		boot:                r.boot,
	}
	switch p.route(r, req) {
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
