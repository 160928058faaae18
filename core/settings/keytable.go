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
	keyDeadline: {name: "deadline", kind: KindDuration, min: 1, max: 600_000, defaultJSON: `"1s"`, levels: fleetToClass,
		help: "time within which a query is answered when the caller names no deadline"},
	keyMinCoverage: {name: "minCoverage", kind: KindNumber, min: 0, max: 1, defaultJSON: "0", levels: fleetToClass,
		help: "coverage below which the answer is an error"},
	keyWantedCoverage: {name: "wantedCoverage", kind: KindNumber, min: 0, max: 1, defaultJSON: "1", levels: fleetToClass,
		help: "coverage at which tail-first may answer early"},
	keyPolicy: {name: "policy", kind: KindChoice, choices: []string{PolicyCoverageFirst, PolicyTailFirst}, defaultJSON: `"coverage-first"`, levels: fleetToClass,
		help: "whether a query waits for late shards (coverage-first) or answers early (tail-first)"},
	keyGoodAnswer: {name: "goodAnswer", kind: KindExpression, defaultJSON: `"` + DefaultGoodAnswer + `"`, levels: fleetToClass,
		help: "condition under which an answer counts as good"},
	keyPriority: {name: "priority", kind: KindInteger, min: 0, max: 100, defaultJSON: "50", levels: fleetToClass,
		help: "order of admission; the lowest is shed first"},
	keyHedgeEnabled: {name: "hedge.enabled", kind: KindBool, defaultJSON: "true", levels: fleetToClass,
		help: "whether a late sub-request is also sent to a second replica"},
	keyHedgeQuantile: {name: "hedge.quantile", kind: KindNumber, min: 0.5, max: 0.999, defaultJSON: "0.95", levels: fleetToClass,
		help: "quantile of the service's sub-requests after which a sub-request is late"},
	keyHedgeRatio: {name: "hedge.ratio", kind: KindNumber, min: 0, max: 0.5, defaultJSON: "0.04", levels: fleetToService,
		help: "hedges earned by one first sub-request"},
	keyHedgeBurst: {name: "hedge.burst", kind: KindNumber, min: 0, max: 1000, defaultJSON: "20", levels: fleetToService,
		help: "most hedges that can be saved up"},
	keyRetryAttempts: {name: "retry.attempts", kind: KindInteger, min: 0, max: 5, defaultJSON: "2", levels: fleetToClass,
		help: "most retries of one shard"},
	keyRetryRatio: {name: "retry.ratio", kind: KindNumber, min: 0, max: 0.5, defaultJSON: "0.1", levels: fleetToService,
		help: "retries earned by one first sub-request"},
	keyRetryBurst: {name: "retry.burst", kind: KindNumber, min: 0, max: 1000, defaultJSON: "20", levels: fleetToService,
		help: "most retries that can be saved up"},
	keyColdStartEnabled: {name: "coldStart.enabled", kind: KindBool, defaultJSON: "true", levels: fleetToService,
		help: "whether an upstream in a cold start gets bounded work"},
	keyColdStartInitial: {name: "coldStart.initial", kind: KindInteger, min: 1, max: 1000, defaultJSON: "1", levels: fleetToService,
		help: "sub-requests of the whole fleet that a cold upstream gets at first"},
	keyColdStartLatencyJump: {name: "coldStart.latencyJump", kind: KindNumber, min: 2, max: 100, defaultJSON: "8", levels: fleetToService,
		help: "factor of latency growth that counts as a cold start"},
	keyEjectionFailures: {name: "ejection.failures", kind: KindInteger, min: 1, max: 100, defaultJSON: "5", levels: fleetToService,
		help: "failures in a row that eject an upstream"},
	keyEjectionBase: {name: "ejection.base", kind: KindDuration, min: 100, max: 3_600_000, defaultJSON: `"1s"`, levels: fleetToService,
		help: "length of the first ejection"},
	keyEjectionMax: {name: "ejection.max", kind: KindDuration, min: 100, max: 3_600_000, defaultJSON: `"1m"`, levels: fleetToService,
		help: "greatest length of an ejection"},
	keyAdmissionConcurrency: {name: "admission.concurrency", kind: KindInteger, min: 1, max: 100_000, defaultJSON: "256", levels: fleetToService,
		help: "queries of a service that run at a time on one daemon"},
	keyAdmissionQueue: {name: "admission.queue", kind: KindInteger, min: 0, max: 100_000, defaultJSON: "512", levels: fleetToService,
		help: "queries of a service that wait on one daemon"},
	keyUpstreamsSlots: {name: "upstreams.slots", kind: KindInteger, min: 1, max: 10_000, defaultJSON: "4", levels: fleetToService,
		help: "sub-requests that an upstream runs at a time, over the whole fleet"},
	keyUpstreamsConnections: {name: "upstreams.connections", kind: KindInteger, min: 1, max: 10_000, defaultJSON: "45", levels: fleetToService,
		help: "connections that an upstream accepts, over the whole fleet"},
	keyConnectionsIdle: {name: "connections.idle", kind: KindDuration, min: 100, max: 600_000, defaultJSON: `"30s"`, levels: fleetOnly,
		help: "time after which an unused connection is closed"},
	keyConnectionsDial: {name: "connections.dial", kind: KindDuration, min: 100, max: 600_000, defaultJSON: `"250ms"`, levels: fleetOnly,
		help: "time within which a connection is established"},
	keyCanaryEnabled: {name: "canary.enabled", kind: KindBool, defaultJSON: "true", levels: fleetOnly,
		help: "whether unknown queries run on one shard first after a burst of crashes"},
	keyAddressesCount: {name: "addresses.count", kind: KindInteger, min: 1, max: 10, defaultJSON: "3", levels: fleetOnly,
		help: "entry addresses given to a caller"},
	keyAddressesLifetime: {name: "addresses.lifetime", kind: KindDuration, min: 1000, max: 600_000, defaultJSON: `"10s"`, levels: fleetOnly,
		help: "time for which a caller keeps its entry addresses"},
	keyTenantWeight: {name: "weight", kind: KindNumber, min: 0.01, max: 1000, defaultJSON: "1", levels: tenantOnly,
		help: "share of the tenant's turns in the queue of the service"},
	keyDataCentreOut: {name: "out", kind: KindBool, defaultJSON: "false", levels: dataCentreOnly,
		help: "whether the upstreams of the data centre receive no new work"},
}
