package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Picker chooses the replica of an attempt and records its result. Each successful
// Pick is followed by exactly one Done. Pick must not retain the slices of the
// request.
type Picker interface {
	Pick(now clock.Millis, request upstream.PickRequest) (upstream.Choice, error)
	Done(now clock.Millis, choice upstream.Choice, result upstream.Result)
}

// Catalogue tracks which replicas hold which shards of which snapshot versions.
type Catalogue interface {
	Choose(exclude ...snapshot.Version) (snapshot.ShardMap, bool)
	Holders(version snapshot.Version, shard snapshot.Shard) []string
	Withdraw(replica string, version snapshot.Version)
}

// Latency estimates the latency of the service's attempts. Quantile takes a
// quantile from 0 to 1 and returns false while there are too few samples.
type Latency interface {
	Quantile(q float64) (clock.Millis, bool)
}

// Budget is a token bucket that limits hedges or retries to a fraction of the
// first attempts.
type Budget interface {
	// RecordRegular adds the tokens of n first attempts.
	RecordRegular(n int)
	// Take removes cost tokens, or returns false if there are too few.
	Take(cost float64) bool
}

// Quarantine tracks the fingerprints of requests that crash upstreams.
type Quarantine interface {
	// IsBlocked reports whether the fingerprint is quarantined.
	IsBlocked(now clock.Millis, f quarantine.Fingerprint) bool
	// IsSuspect reports whether an upstream was lost with the fingerprint in
	// flight and the fingerprint has not completed since.
	IsSuspect(now clock.Millis, f quarantine.Fingerprint) bool
	// NeedsCanary reports whether the fingerprint must run on one shard first.
	NeedsCanary(now clock.Millis, f quarantine.Fingerprint) bool
	// RecordCrash records that the connection to an upstream was lost with the
	// fingerprint in flight, in an attempt sent at the instant sent. It returns
	// true if the fingerprint is now quarantined.
	RecordCrash(now clock.Millis, f quarantine.Fingerprint, id upstream.ID, sent clock.Millis) bool
	// BlockIfConfirmed quarantines a fingerprint that was in flight at crashes
	// of two distinct upstreams. It returns true if the fingerprint is now quarantined.
	BlockIfConfirmed(now clock.Millis, f quarantine.Fingerprint) bool
	// RecordSuccess records that the fingerprint completed on an upstream.
	RecordSuccess(now clock.Millis, f quarantine.Fingerprint)
}

// Dependencies holds the collaborators that the queries of a service share. Picker
// and Catalogue are required. Without HedgeBudget or Latency no hedge is sent,
// without RetryBudget no retry, and without Quarantine no request is suspected.
// They are used without locking, from the goroutine that calls the Query.
type Dependencies struct {
	Picker      Picker
	Catalogue   Catalogue
	Latency     Latency
	HedgeBudget Budget
	RetryBudget Budget
	Quarantine  Quarantine
}

func (d Dependencies) latencyQuantile(q float64) (clock.Millis, bool) {
	if d.Latency == nil {
		return 0, false
	}
	return d.Latency.Quantile(q)
}

// creditBudgets credits both budgets with n first attempts.
func (d Dependencies) creditBudgets(n int) {
	if d.HedgeBudget != nil {
		d.HedgeBudget.RecordRegular(n)
	}
	if d.RetryBudget != nil {
		d.RetryBudget.RecordRegular(n)
	}
}

func takeTokens(budget Budget, cost float64) bool {
	return budget != nil && budget.Take(cost)
}
