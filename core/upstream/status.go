package upstream

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// State is the state of a replica as shown to operators.
type State string

// States of a replica. If several apply, the first of this list is shown.
const (
	StateOut          State = "out"
	StateLeaving      State = "leaving"
	StateEjected      State = "ejected"
	StateTrial        State = "trial"
	StateCold         State = "cold"
	StateGated        State = "gated" // a connection failed or ended; a restart is not confirmed
	StateServing      State = "serving"
	causeOut                = "data centre taken out"
	causeLeaving            = "upstream is leaving"
	causeGated              = "connection refused, lost or closed while idle"
	causeManagedBy          = "cold start managed by "
	causeNoLevelShare       = "no share of the cold-start concurrency"
)

// Status is what this daemon shows operators about a replica.
type Status struct {
	replica           Replica
	state             State
	cause             string
	latency           clock.Millis
	inFlight          int
	slotShare         int
	connectionShare   int
	level             int
	levelShare        int
	suspectConnection bool
}

// Replica returns the replica.
func (s Status) Replica() Replica { return s.replica }

// State returns the state of the replica.
func (s Status) State() State { return s.state }

// Cause returns the reason for the state in a few words, or "".
func (s Status) Cause() string { return s.cause }

// Latency returns the moving average of the latency, or 0 without a sample.
func (s Status) Latency() clock.Millis { return s.latency }

// InFlight returns the number of exchanges that this daemon has in flight.
func (s Status) InFlight() int { return s.inFlight }

// SlotShare returns this daemon's share of the upstream's slots.
func (s Status) SlotShare() int { return s.slotShare }

// ConnectionShare returns this daemon's share of the upstream's connections, or 0
// while it may not use its share.
func (s Status) ConnectionShare() int { return s.connectionShare }

// Level returns the concurrency that the whole fleet may have at the upstream in
// its cold start, or 0 without a cold start.
func (s Status) Level() int { return s.level }

// LevelShare returns this daemon's share of the level.
func (s Status) LevelShare() int { return s.levelShare }

// SuspectConnection reports whether the next exchange uses a fresh connection
// because an earlier one timed out.
func (s Status) SuspectConnection() bool { return s.suspectConnection }

// Statuses returns the status of each replica, sorted by address.
func (p *Pool) Statuses() []Status {
	statuses := make([]Status, 0, len(p.replicas))
	for _, r := range p.replicas {
		statuses = append(statuses, p.status(r))
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.replica.id, b.replica.id) })
	return statuses
}

// ConnectionLimit returns the number of connections that this daemon may have open
// to an upstream, or 0 if it is unknown. The caller that opens them must not
// exceed it.
func (p *Pool) ConnectionLimit(id ID) int {
	r := p.replicas[id]
	if r == nil {
		return 0
	}
	return p.usableConnections(r)
}

func (p *Pool) status(r *replicaState) Status {
	s := Status{
		replica: r.replica, latency: r.meanLatency, inFlight: r.inFlight,
		slotShare: r.slotShare, connectionShare: p.usableConnections(r), suspectConnection: r.suspectConnection,
	}
	if r.cold != nil {
		s.levelShare = r.cold.levelShare
		s.level = p.policy.InitialLevel()
		if !r.cold.localGate {
			s.level = r.cold.record.level
		}
	}
	s.state, s.cause = p.stateOf(r)
	return s
}

func (p *Pool) stateOf(r *replicaState) (State, string) {
	switch {
	case r.dataCentreOut:
		return StateOut, causeOut
	case r.leaving():
		return StateLeaving, causeLeaving
	case r.ejection.active && p.now >= r.ejection.until:
		return StateTrial, r.ejection.cause
	case r.ejection.active:
		return StateEjected, r.ejection.cause
	case r.cold != nil && r.cold.localGate:
		return StateGated, causeGated
	case r.cold != nil && r.cold.levelShare == 0:
		return StateCold, causeNoLevelShare
	case r.cold != nil:
		return StateCold, causeManagedBy + r.cold.record.owner
	default:
		return StateServing, ""
	}
}
