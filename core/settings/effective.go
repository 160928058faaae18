package settings

import (
	"encoding/json"
	"sync"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Origins of a value that are not the path of a level.
const (
	OriginDefault = "default"
	OriginFleet   = "fleet"
)

// setting is a value and the level that set it.
type setting struct {
	value   parsedValue
	literal string // JSON, as spelled in the tree
	origin  string // OriginDefault, OriginFleet or the path of the level
}

// Effective holds the values in force at one level, after inheritance. It is
// immutable and safe for concurrent use. Levels share the settings that they
// inherit.
type Effective struct {
	settings [levelKeyCount]*setting
	// invalid marks keys whose value at this level was refused, so that the
	// inherited value is not checked against other keys.
	invalid [levelKeyCount]bool
}

// defaults returns the values in force where no level sets a key.
var defaults = sync.OnceValue(func() *Effective {
	e := &Effective{}
	for id := range levelKeyCount {
		e.settings[id] = defaultSetting(id)
	}
	return e
})

// defaultSetting parses the default of a key. It panics if the default is not valid;
// a test covers every key.
func defaultSetting(id keyID) *setting {
	key := keyTable[id]
	var problems problemList
	n, err := readNode([]byte(key.defaultJSON), &problems)
	if err != nil {
		panic(err)
	}
	v, reason := key.parseValue(n)
	if reason != "" {
		panic("settings: default of " + key.name + " " + reason)
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

// Deadline returns the time within which a query is answered if the caller names no
// deadline.
func (e *Effective) Deadline() clock.Millis { return e.duration(keyDeadline) }

// MinCoverage returns the fraction of shards covered below which an answer is an
// error.
func (e *Effective) MinCoverage() float64 { return e.number(keyMinCoverage) }

// WantedCoverage returns the fraction of shards covered at which the policy
// tail-first may answer early.
func (e *Effective) WantedCoverage() float64 { return e.number(keyWantedCoverage) }

// Policy returns PolicyCoverageFirst or PolicyTailFirst.
func (e *Effective) Policy() string { return e.settings[keyPolicy].value.text }

// GoodAnswer returns the compiled good-answer expression.
func (e *Effective) GoodAnswer() *GoodAnswer { return e.settings[keyGoodAnswer].value.goodAnswer }

// Priority returns the admission priority, from 0 to 100. The lowest is shed first.
func (e *Effective) Priority() int { return e.integer(keyPriority) }

// HedgeEnabled reports whether hedges are sent.
func (e *Effective) HedgeEnabled() bool { return e.boolean(keyHedgeEnabled) }

// HedgeQuantile returns the quantile, from 0 to 1, of the latency of the service's
// sub-requests after which a sub-request is hedged.
func (e *Effective) HedgeQuantile() float64 { return e.number(keyHedgeQuantile) }

// HedgeRatio returns the hedges credited to the hedge budget per first sub-request of
// a shard.
func (e *Effective) HedgeRatio() float64 { return e.number(keyHedgeRatio) }

// HedgeBurst returns the capacity of the hedge budget, in hedges.
func (e *Effective) HedgeBurst() float64 { return e.number(keyHedgeBurst) }

// RetryAttempts returns the maximum number of retries of a shard in one query.
func (e *Effective) RetryAttempts() int { return e.integer(keyRetryAttempts) }

// RetryRatio returns the retries credited to the retry budget per first sub-request
// of a shard.
func (e *Effective) RetryRatio() float64 { return e.number(keyRetryRatio) }

// RetryBurst returns the capacity of the retry budget, in retries.
func (e *Effective) RetryBurst() float64 { return e.number(keyRetryBurst) }

// ColdStartEnabled reports whether the concurrency of an upstream in a cold start is
// limited.
func (e *Effective) ColdStartEnabled() bool { return e.boolean(keyColdStartEnabled) }

// ColdStartInitial returns the initial concurrency of an upstream in a cold start, in
// sub-requests over the whole fleet.
func (e *Effective) ColdStartInitial() int { return e.integer(keyColdStartInitial) }

// ColdStartLatencyJump returns the multiple of an upstream's usual latency that is
// evidence of a cold start.
func (e *Effective) ColdStartLatencyJump() float64 { return e.number(keyColdStartLatencyJump) }

// EjectionFailures returns the number of consecutive failures that eject an upstream.
func (e *Effective) EjectionFailures() int { return e.integer(keyEjectionFailures) }

// EjectionBase returns the duration of the first ejection.
func (e *Effective) EjectionBase() clock.Millis { return e.duration(keyEjectionBase) }

// EjectionMax returns the maximum duration of an ejection.
func (e *Effective) EjectionMax() clock.Millis { return e.duration(keyEjectionMax) }

// AdmissionConcurrency returns the maximum number of queries of a service that run
// concurrently on one daemon.
func (e *Effective) AdmissionConcurrency() int { return e.integer(keyAdmissionConcurrency) }

// AdmissionQueue returns the maximum number of queries of a service that wait for
// admission on one daemon.
func (e *Effective) AdmissionQueue() int { return e.integer(keyAdmissionQueue) }

// UpstreamsSlots returns the maximum number of concurrent sub-requests of an upstream,
// over the whole fleet.
func (e *Effective) UpstreamsSlots() int { return e.integer(keyUpstreamsSlots) }

// UpstreamsConnections returns the maximum number of connections to an upstream, over
// the whole fleet.
func (e *Effective) UpstreamsConnections() int { return e.integer(keyUpstreamsConnections) }

// ConnectionsIdle returns the idle time after which a connection is closed.
func (e *Effective) ConnectionsIdle() clock.Millis { return e.duration(keyConnectionsIdle) }

// ConnectionsDial returns the time limit for establishing a connection.
func (e *Effective) ConnectionsDial() clock.Millis { return e.duration(keyConnectionsDial) }

// CanaryEnabled reports whether, after a burst of crashes, queries that have not
// completed before run on one shard first.
func (e *Effective) CanaryEnabled() bool { return e.boolean(keyCanaryEnabled) }

// AddressesCount returns the number of entry addresses given to a caller.
func (e *Effective) AddressesCount() int { return e.integer(keyAddressesCount) }

// AddressesLifetime returns how long a caller keeps its entry addresses.
func (e *Effective) AddressesLifetime() clock.Millis { return e.duration(keyAddressesLifetime) }

// Origin returns the level that set a key: OriginDefault, OriginFleet or a path such
// as "users.association". It is "" for an unknown key.
func (e *Effective) Origin(key string) string {
	id, ok := keysByName[key]
	if !ok {
		return ""
	}
	return e.settings[id].origin
}

// Value is a key with the value in force and its origin.
type Value struct {
	key     string
	literal string
	origin  string
}

// Key returns the name of the key.
func (v Value) Key() string { return v.key }

// JSON returns the value as it is spelled in the tree.
func (v Value) JSON() json.RawMessage { return json.RawMessage(v.literal) }

// Origin returns the level that set the value: OriginDefault, OriginFleet or a path.
func (v Value) Origin() string { return v.origin }

// Values returns every key with its value, in the order of Keys.
func (e *Effective) Values() []Value {
	list := make([]Value, levelKeyCount)
	for id := range levelKeyCount {
		s := e.settings[id]
		list[id] = Value{key: keyTable[id].name, literal: s.literal, origin: s.origin}
	}
	return list
}
