package upstream

import (
	"cmp"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// State is the condition of a replica in the operators' view.
type State string

// States of a replica, the one that matters most first.
const (
	StateOut          State = "out"
	StateLeaving      State = "leaving"
	StateEjected      State = "ejected"
	StateTrial        State = "trial"
	StateCold         State = "cold"
	StateGated        State = "gated" // connection failed; nobody proved a cold start yet
	StateServing      State = "serving"
	causeOut                = "data centre taken out"
	causeLeaving            = "upstream is leaving"
	causeGated              = "connection refused or lost"
	causeManagedBy          = "cold start managed by "
	causeNoLevelShare       = "no share of the cold level"
)

// Status is the operators' view of one replica on this daemon.
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

// State returns the condition of the replica.
func (s Status) State() State { return s.state }

// Cause says why the replica is in its state, or "".
func (s Status) Cause() string { return s.cause }

// Latency returns the latency estimate, or 0 without a sample.
func (s Status) Latency() clock.Millis { return s.latency }

// InFlight returns the exchanges that this daemon has running.
func (s Status) InFlight() int { return s.inFlight }

// SlotShare returns this daemon's share of the slots.
func (s Status) SlotShare() int { return s.slotShare }

// ConnectionShare returns this daemon's share of the connections.
func (s Status) ConnectionShare() int { return s.connectionShare }

// Level returns the concurrency admitted over the whole fleet during a cold
// start, or 0 otherwise.
func (s Status) Level() int { return s.level }

// LevelShare returns this daemon's part of the level.
func (s Status) LevelShare() int { return s.levelShare }

// SuspectConnection reports whether the next exchange uses a fresh connection
// because an earlier one timed out.
func (s Status) SuspectConnection() bool { return s.suspectConnection }

// Statuses returns the status of each replica in the order of addresses.
func (p *Pool) Statuses() []Status {
	statuses := make([]Status, 0, len(p.replicas))
	for _, r := range p.replicas {
		statuses = append(statuses, p.status(r))
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.replica.id, b.replica.id) })
	return statuses
}

// ConnectionLimit returns the connections that this daemon may have open to an
// upstream. The adapter must not exceed it.
func (p *Pool) ConnectionLimit(id ID) int {
	r := p.replicas[id]
	if r == nil {
		return 0
	}
	return p.connections(r)
}

func (p *Pool) status(r *replicaState) Status {
	s := Status{
		replica: r.replica, latency: r.meanLatency, inFlight: r.inFlight,
		slotShare: r.slotShare, connectionShare: p.connections(r), suspectConnection: r.suspectConnection,
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
