package upstream

import "github.com/lovagegap/lovagegap/core/clock"

// Defaults of a Policy.
const (
	DefaultSlots            = 4
	DefaultConnections      = 45
	DefaultInitialLevel     = 1
	DefaultLatencyJump      = 8
	DefaultEjectionFailures = 5
	DefaultEjectionBase     = clock.Second
	DefaultEjectionMax      = clock.Minute
)

// Policy holds the settings of a pool. The zero value has the defaults of the
// settings tree.
type Policy struct {
	slots             int
	connections       int
	coldStartDisabled bool
	initialLevel      int
	latencyJump       float64
	ejectionFailures  int
	ejectionBase      clock.Millis
	ejectionMax       clock.Millis
}

// WithLimits returns the policy with the slots and connections of each
// upstream, counted over the whole fleet.
func (p Policy) WithLimits(slots, connections int) Policy {
	p.slots, p.connections = slots, connections
	return p
}

// WithColdStart returns the policy with the cold-start gate. Initial is the
// first fleet-wide concurrency at a cold upstream; jump is the latency ratio
// that counts as evidence of a cold start.
func (p Policy) WithColdStart(enabled bool, initial int, jump float64) Policy {
	p.coldStartDisabled, p.initialLevel, p.latencyJump = !enabled, initial, jump
	return p
}

// WithEjection returns the policy with the failures in a row that eject a
// replica, and the first and the longest ejection.
func (p Policy) WithEjection(failures int, base, longest clock.Millis) Policy {
	p.ejectionFailures, p.ejectionBase, p.ejectionMax = failures, base, longest
	return p
}

// Slots returns the sub-requests that an upstream runs at a time.
func (p Policy) Slots() int { return positiveOr(p.slots, DefaultSlots) }

// Connections returns the connections that an upstream accepts.
func (p Policy) Connections() int { return positiveOr(p.connections, DefaultConnections) }

// ColdStartEnabled reports whether cold upstreams are gated.
func (p Policy) ColdStartEnabled() bool { return !p.coldStartDisabled }

// InitialLevel returns the first concurrency at a cold upstream. It is never
// above the slots.
func (p Policy) InitialLevel() int {
	return min(positiveOr(p.initialLevel, DefaultInitialLevel), p.Slots())
}

// LatencyJump returns the latency ratio that is evidence of a cold start.
func (p Policy) LatencyJump() float64 { return positiveOr(p.latencyJump, DefaultLatencyJump) }

// EjectionFailures returns the failures in a row that eject a replica.
func (p Policy) EjectionFailures() int {
	return positiveOr(p.ejectionFailures, DefaultEjectionFailures)
}

// EjectionBase returns the length of a first ejection.
func (p Policy) EjectionBase() clock.Millis { return positiveOr(p.ejectionBase, DefaultEjectionBase) }

// EjectionMax returns the longest ejection.
func (p Policy) EjectionMax() clock.Millis { return positiveOr(p.ejectionMax, DefaultEjectionMax) }

func positiveOr[N int | float64 | clock.Millis](value, otherwise N) N {
	if value > 0 {
		return value
	}
	return otherwise
}
