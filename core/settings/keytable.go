package settings

// keyID is an index into keyTable.
type keyID uint8

// The inherited keys, which belong to the levels from fleet to class, come
// first: an Effective holds the ids below levelKeyCount.
const (
	keyDeadline keyID = iota
	keyMinCoverage
	keyWantedCoverage
	keyPolicy
	keyGoodAnswer
	keyPriority
	keyHedgeEnabled
	keyHedgeQuantile
	keyHedgeRatio
	keyHedgeBurst
	keyRetryAttempts
	keyRetryRatio
	keyRetryBurst
	keyColdStartEnabled
	keyColdStartInitial
	keyColdStartLatencyJump
	keyEjectionFailures
	keyEjectionBase
	keyEjectionMax
	keyAdmissionConcurrency
	keyAdmissionQueue
	keyUpstreamsSlots
	keyUpstreamsConnections
	keyConnectionsIdle
	keyConnectionsDial
	keyCanaryEnabled
	keyAddressesCount
	keyAddressesLifetime
	levelKeyCount
	keyTenantWeight = keyID(iota - 1) // takes the id of levelKeyCount, which is not a key
	keyDataCentreOut
	keyCount
)

// Level is a kind of node of the tree that holds values.
type Level uint8

// Levels that inherit, from the outermost to the innermost, followed by the two
// kinds of named entries that hold a single value and inherit nothing.
const (
	LevelFleet Level = iota
	LevelUser
	LevelService
	LevelClass
	LevelTenant
	LevelDataCentre
)

var levelNames = [...]string{"fleet", "user", "service", "class", "tenant", "data centre"}

// String returns the name of the level, for example "service".
func (l Level) String() string { return levelNames[l] }

// levelSet is a bit set of levels: bit 1<<Level.
type levelSet uint8

// Sets of levels at which keys are allowed. Keys of state that all classes of a
// service share, such as its queue or its budgets, are not allowed at a class.
const (
	fleetToClass   = levelSet(1<<LevelFleet | 1<<LevelUser | 1<<LevelService | 1<<LevelClass)
	fleetToService = levelSet(1<<LevelFleet | 1<<LevelUser | 1<<LevelService)
	fleetOnly      = levelSet(1 << LevelFleet)
	tenantOnly     = levelSet(1 << LevelTenant)
	dataCentreOnly = levelSet(1 << LevelDataCentre)
)

// Values of the key "policy".
const (
	PolicyCoverageFirst = "coverage-first"
	PolicyTailFirst     = "tail-first"
)

// DefaultGoodAnswer is the default value of the key "goodAnswer".
const DefaultGoodAnswer = "status == 200 && coverage >= 1"

// keyTable describes every key. Parsing, checks, effective values, help and the
// table on the operators' page are derived from it.
var keyTable = [keyCount]Key{
	keyDeadline: {name: "deadline", kind: KindDuration, min: 1, max: 600_000,
		defaultJSON: `"1s"`, levels: fleetToClass,
		help: "time within which a query is answered if the caller names no deadline"},
	keyMinCoverage: {name: "minCoverage", kind: KindNumber, min: 0, max: 1, defaultJSON: "0", levels: fleetToClass,
		help: "coverage below which the answer is an error"},
	keyWantedCoverage: {name: "wantedCoverage", kind: KindNumber, min: 0, max: 1,
		defaultJSON: "1", levels: fleetToClass,
		help: "coverage at which tail-first may answer early"},
	keyPolicy: {name: "policy", kind: KindChoice, choices: []string{PolicyCoverageFirst, PolicyTailFirst},
		defaultJSON: `"coverage-first"`, levels: fleetToClass,
		help: "whether a query waits for late shards (coverage-first) or answers early (tail-first)"},
	keyGoodAnswer: {name: "goodAnswer", kind: KindExpression,
		defaultJSON: `"` + DefaultGoodAnswer + `"`, levels: fleetToClass,
		help: "expression that decides whether an answer counts as good"},
	keyPriority: {name: "priority", kind: KindInteger, min: 0, max: 100, defaultJSON: "50", levels: fleetToClass,
		help: "admission priority; queries with the lowest are shed first"},
	keyHedgeEnabled: {name: "hedge.enabled", kind: KindBool, defaultJSON: "true", levels: fleetToClass,
		help: "whether a late sub-request is also sent to a second replica"},
	keyHedgeQuantile: {name: "hedge.quantile", kind: KindNumber, min: 0.5, max: 0.999,
		defaultJSON: "0.95", levels: fleetToClass,
		help: "quantile of the latency of the service's sub-requests after which a sub-request is late"},
	keyHedgeRatio: {name: "hedge.ratio", kind: KindNumber, min: 0, max: 0.5,
		defaultJSON: "0.04", levels: fleetToService,
		help: "hedges credited to the hedge budget per first sub-request of a shard"},
	keyHedgeBurst: {name: "hedge.burst", kind: KindNumber, min: 0, max: 1000,
		defaultJSON: "20", levels: fleetToService,
		help: "capacity of the hedge budget, in hedges"},
	keyRetryAttempts: {name: "retry.attempts", kind: KindInteger, min: 0, max: 5,
		defaultJSON: "2", levels: fleetToClass,
		help: "maximum number of retries of one shard"},
	keyRetryRatio: {name: "retry.ratio", kind: KindNumber, min: 0, max: 0.5,
		defaultJSON: "0.1", levels: fleetToService,
		help: "retries credited to the retry budget per first sub-request of a shard"},
	keyRetryBurst: {name: "retry.burst", kind: KindNumber, min: 0, max: 1000,
		defaultJSON: "20", levels: fleetToService,
		help: "capacity of the retry budget, in retries"},
	keyColdStartEnabled: {name: "coldStart.enabled", kind: KindBool, defaultJSON: "true", levels: fleetToService,
		help: "whether the concurrency of an upstream in a cold start is limited"},
	keyColdStartInitial: {name: "coldStart.initial", kind: KindInteger, min: 1, max: 1000,
		defaultJSON: "1", levels: fleetToService,
		help: "initial concurrency of an upstream in a cold start, in sub-requests over the whole fleet"},
	keyColdStartLatencyJump: {name: "coldStart.latencyJump", kind: KindNumber, min: 2, max: 100,
		defaultJSON: "8", levels: fleetToService,
		help: "multiple of an upstream's usual latency that is evidence of a cold start"},
	keyEjectionFailures: {name: "ejection.failures", kind: KindInteger, min: 1, max: 100,
		defaultJSON: "5", levels: fleetToService,
		help: "consecutive failures after which an upstream is ejected"},
	keyEjectionBase: {name: "ejection.base", kind: KindDuration, min: 100, max: 3_600_000,
		defaultJSON: `"1s"`, levels: fleetToService,
		help: "duration of the first ejection"},
	keyEjectionMax: {name: "ejection.max", kind: KindDuration, min: 100, max: 3_600_000,
		defaultJSON: `"1m"`, levels: fleetToService,
		help: "maximum duration of an ejection"},
	keyAdmissionConcurrency: {name: "admission.concurrency", kind: KindInteger, min: 1, max: 100_000,
		defaultJSON: "256", levels: fleetToService,
		help: "maximum number of queries of a service that run concurrently on one daemon"},
	keyAdmissionQueue: {name: "admission.queue", kind: KindInteger, min: 0, max: 100_000,
		defaultJSON: "512", levels: fleetToService,
		help: "maximum number of queries of a service that wait for admission on one daemon"},
	keyUpstreamsSlots: {name: "upstreams.slots", kind: KindInteger, min: 1, max: 10_000,
		defaultJSON: "4", levels: fleetToService,
		help: "maximum number of concurrent sub-requests of an upstream, over the whole fleet"},
	keyUpstreamsConnections: {name: "upstreams.connections", kind: KindInteger, min: 1, max: 10_000,
		defaultJSON: "45", levels: fleetToService,
		help: "maximum number of connections to an upstream, over the whole fleet"},
	keyConnectionsIdle: {name: "connections.idle", kind: KindDuration, min: 100, max: 600_000,
		defaultJSON: `"30s"`, levels: fleetOnly,
		help: "time after which an unused connection is closed"},
	keyConnectionsDial: {name: "connections.dial", kind: KindDuration, min: 100, max: 600_000,
		defaultJSON: `"250ms"`, levels: fleetOnly,
		help: "time within which a connection is established"},
	keyCanaryEnabled: {name: "canary.enabled", kind: KindBool, defaultJSON: "true", levels: fleetOnly,
		help: "whether queries that have not completed before run on one shard first after a burst of crashes"},
	keyAddressesCount: {name: "addresses.count", kind: KindInteger, min: 1, max: 10,
		defaultJSON: "3", levels: fleetOnly,
		help: "number of entry addresses given to a caller"},
	keyAddressesLifetime: {name: "addresses.lifetime", kind: KindDuration, min: 1000, max: 600_000,
		defaultJSON: `"10s"`, levels: fleetOnly,
		help: "time for which a caller keeps its entry addresses"},
	keyTenantWeight: {name: "weight", kind: KindNumber, min: 0.01, max: 1000, defaultJSON: "1", levels: tenantOnly,
		help: "weight of the tenant in the queue of the service, relative to the other tenants"},
	keyDataCentreOut: {name: "out", kind: KindBool, defaultJSON: "false", levels: dataCentreOnly,
		help: "whether the upstreams of the data centre receive no new work"},
}
