package upstream

import "github.com/lovagegap/lovagegap/core/clock"

// Defaults of a Policy. Slots, connections and the initial level are counted per
// upstream over the whole fleet.
const (
	DefaultSlots            = 4
	DefaultConnections      = 45
	DefaultInitialLevel     = 1
	DefaultLatencyJump      = 8 // multiple of the baseline latency
	DefaultEjectionFailures = 5
	DefaultEjectionBase     = clock.Second
	DefaultEjectionMax      = clock.Minute
)

// Policy holds the settings of a pool. The zero value has the defaults of the
// settings tree, as has each number that is zero or negative.
type Policy struct {
	slots             int
	connections       int
	coldStartDisabled bool
	initialLevel      int
	latencyJump       float64 // multiple of the baseline latency
	ejectionFailures  int
	ejectionBase      clock.Millis
	ejectionMax       clock.Millis
}

// WithLimits returns a copy of the policy with the limits of each upstream,
// counted over the whole fleet: the sub-requests that it runs at a time (slots)
// and its connections.
func (p Policy) WithLimits(slots, connections int) Policy {
	p.slots, p.connections = slots, connections
	return p
}

// WithColdStart returns a copy of the policy with the settings of cold starts.
// InitialLevel is the concurrency that the whole fleet starts with at a cold
// upstream; latencyJump is the multiple of an upstream's usual latency above
// which an answer is evidence of a cold start.
func (p Policy) WithColdStart(enabled bool, initialLevel int, latencyJump float64) Policy {
	p.coldStartDisabled, p.initialLevel, p.latencyJump = !enabled, initialLevel, latencyJump
	return p
}

// WithEjection returns a copy of the policy with the number of failures in a row
// that eject a replica, and the lengths of the first and the longest ejection.
// Each further ejection lasts twice as long as the one before.
func (p Policy) WithEjection(failures int, base, longest clock.Millis) Policy {
	p.ejectionFailures, p.ejectionBase, p.ejectionMax = failures, base, longest
	return p
}

// Slots returns the number of sub-requests that an upstream runs at a time.
func (p Policy) Slots() int { return positiveOr(p.slots, DefaultSlots) }

// Connections returns the number of connections that an upstream accepts from
// the whole fleet.
func (p Policy) Connections() int { return positiveOr(p.connections, DefaultConnections) }

// ColdStartEnabled reports whether concurrency at cold upstreams is limited.
func (p Policy) ColdStartEnabled() bool { return !p.coldStartDisabled }

// InitialLevel returns the fleet-wide concurrency at which the cold start of an
// upstream begins, at most Slots.
func (p Policy) InitialLevel() int {
	return min(positiveOr(p.initialLevel, DefaultInitialLevel), p.Slots())
}

// LatencyJump returns the multiple of an upstream's usual latency above which an
// answer is evidence of a cold start.
func (p Policy) LatencyJump() float64 { return positiveOr(p.latencyJump, DefaultLatencyJump) }

// EjectionFailures returns the number of failures in a row that ejects a replica.
func (p Policy) EjectionFailures() int {
	return positiveOr(p.ejectionFailures, DefaultEjectionFailures)
}

// EjectionBase returns the length of a replica's first ejection.
func (p Policy) EjectionBase() clock.Millis { return positiveOr(p.ejectionBase, DefaultEjectionBase) }

// EjectionMax returns the upper bound on the length of an ejection.
func (p Policy) EjectionMax() clock.Millis { return positiveOr(p.ejectionMax, DefaultEjectionMax) }

func positiveOr[N int | float64 | clock.Millis](value, fallback N) N {
	if value > 0 {
		return value
	}
	return fallback
}
