package settings

import (
	"encoding/json"
	"sync"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Origins that are not a path.
const (
	OriginDefault = "default"
	OriginFleet   = "fleet"
)

// setting is a value together with the level that set it.
type setting struct {
	value   parsedValue
	literal string
	origin  string
}

// Effective holds the values in force at one level, after inheritance. It
// never changes. Levels share the settings that they inherit.
type Effective struct {
	settings [levelKeyCount]*setting
	// invalid marks keys whose own value was refused, so that the inherited
	// one is not held against others.
	invalid [levelKeyCount]bool
}

// defaults returns the values that hold where nothing is set.
var defaults = sync.OnceValue(func() *Effective {
	e := &Effective{}
	for id := range levelKeyCount {
		e.settings[id] = defaultSetting(id)
	}
	return e
})

// defaultSetting reads the default of a key from the table. A default that
// does not parse is a fault in the table, which a test finds.
func defaultSetting(id keyID) *setting {
	key := keyTable[id]
	var problems problemList
	n, err := readNode([]byte(key.defaultJSON), &problems)
	if err != nil {
		panic(err)
	}
	v, wrong := key.parseValue(n)
	if wrong != "" {
		panic("settings: default of " + key.name + " " + wrong)
	}
	if key.kind == KindExpression {
		if v.goodAnswer, err = CompileGoodAnswer(v.text); err != nil {
			panic(err)
		}
	}
	return &setting{value: v, literal: key.defaultJSON, origin: OriginDefault}
}

func (e *Effective) number(id keyID) float64        { return e.settings[id].value.number }
func (e *Effective) integer(id keyID) int           { return int(e.settings[id].value.number) }
func (e *Effective) duration(id keyID) clock.Millis { return clock.Millis(e.settings[id].value.number) }
func (e *Effective) boolean(id keyID) bool          { return e.settings[id].value.boolean }

// Deadline returns the time within which a query is answered.
func (e *Effective) Deadline() clock.Millis { return e.duration(keyDeadline) }

// MinCoverage returns the coverage below which the answer is an error.
func (e *Effective) MinCoverage() float64 { return e.number(keyMinCoverage) }

// WantedCoverage returns the coverage at which tail-first may answer early.
func (e *Effective) WantedCoverage() float64 { return e.number(keyWantedCoverage) }

// Policy returns CoverageFirst or TailFirst.
func (e *Effective) Policy() string { return e.settings[keyPolicy].value.text }

// GoodAnswer returns the compiled good-answer condition.
func (e *Effective) GoodAnswer() *GoodAnswer { return e.settings[keyGoodAnswer].value.goodAnswer }

// Priority returns the order of admission.
func (e *Effective) Priority() int { return e.integer(keyPriority) }

// HedgeEnabled reports whether hedges are sent.
func (e *Effective) HedgeEnabled() bool { return e.boolean(keyHedgeEnabled) }

// HedgeQuantile returns the quantile after which a sub-request is late.
func (e *Effective) HedgeQuantile() float64 { return e.number(keyHedgeQuantile) }

// HedgeRatio returns the hedges earned by one first sub-request.
func (e *Effective) HedgeRatio() float64 { return e.number(keyHedgeRatio) }

// HedgeBurst returns the most hedges that can be saved up.
func (e *Effective) HedgeBurst() float64 { return e.number(keyHedgeBurst) }

// RetryAttempts returns the most retries of one shard.
func (e *Effective) RetryAttempts() int { return e.integer(keyRetryAttempts) }

// RetryRatio returns the retries earned by one first sub-request.
func (e *Effective) RetryRatio() float64 { return e.number(keyRetryRatio) }

// RetryBurst returns the most retries that can be saved up.
func (e *Effective) RetryBurst() float64 { return e.number(keyRetryBurst) }

// ColdStartEnabled reports whether cold upstreams get bounded work.
func (e *Effective) ColdStartEnabled() bool { return e.boolean(keyColdStartEnabled) }

// ColdStartInitial returns the first concurrency of a cold upstream.
func (e *Effective) ColdStartInitial() int { return e.integer(keyColdStartInitial) }

// ColdStartLatencyJump returns the factor that counts as a cold start.
func (e *Effective) ColdStartLatencyJump() float64 { return e.number(keyColdStartLatencyJump) }

// EjectionFailures returns the failures in a row that eject an upstream.
func (e *Effective) EjectionFailures() int { return e.integer(keyEjectionFailures) }

// EjectionBase returns the length of the first ejection.
func (e *Effective) EjectionBase() clock.Millis { return e.duration(keyEjectionBase) }

// EjectionMax returns the greatest length of an ejection.
func (e *Effective) EjectionMax() clock.Millis { return e.duration(keyEjectionMax) }

// AdmissionConcurrency returns how many queries run at a time.
func (e *Effective) AdmissionConcurrency() int { return e.integer(keyAdmissionConcurrency) }

// AdmissionQueue returns how many queries wait.
func (e *Effective) AdmissionQueue() int { return e.integer(keyAdmissionQueue) }

// UpstreamsSlots returns the fleet-wide concurrency of an upstream.
func (e *Effective) UpstreamsSlots() int { return e.integer(keyUpstreamsSlots) }

// UpstreamsConnections returns the fleet-wide connection cap of an upstream.
func (e *Effective) UpstreamsConnections() int { return e.integer(keyUpstreamsConnections) }

// ConnectionsIdle returns when an unused connection is closed.
func (e *Effective) ConnectionsIdle() clock.Millis { return e.duration(keyConnectionsIdle) }

// ConnectionsDial returns the time to establish a connection.
func (e *Effective) ConnectionsDial() clock.Millis { return e.duration(keyConnectionsDial) }

// CanaryEnabled reports whether unknown queries run on one shard first after
// a burst of crashes.
func (e *Effective) CanaryEnabled() bool { return e.boolean(keyCanaryEnabled) }

// AddressesCount returns the number of entry addresses given to a caller.
func (e *Effective) AddressesCount() int { return e.integer(keyAddressesCount) }

// AddressesLifetime returns how long a caller keeps its entry addresses.
func (e *Effective) AddressesLifetime() clock.Millis { return e.duration(keyAddressesLifetime) }

// Origin returns the level that set a key: "default", "fleet" or a path such
// as "users.association". It is "" for an unknown key.
func (e *Effective) Origin(key string) string {
	id, ok := keysByName[key]
	if !ok {
		return ""
	}
	return e.settings[id].origin
}

// Value is one key with the value in force and its origin.
type Value struct {
	key     string
	literal string
	origin  string
}

// Key returns the name of the key.
func (v Value) Key() string { return v.key }

// JSON returns the value as it is spelled in the tree.
func (v Value) JSON() json.RawMessage { return json.RawMessage(v.literal) }

// Origin returns the level that set the value.
func (v Value) Origin() string { return v.origin }

// Values lists every key in the order of the table.
func (e *Effective) Values() []Value {
	list := make([]Value, levelKeyCount)
	for id := range levelKeyCount {
		s := e.settings[id]
		list[id] = Value{key: keyTable[id].name, literal: s.literal, origin: s.origin}
	}
	return list
}
