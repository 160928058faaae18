package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Picker chooses replicas and learns from results. Each successful Pick is
// followed by exactly one Done. Pick must not keep the slices of the ask.
type Picker interface {
	Pick(now clock.Millis, ask upstream.Ask) (upstream.Choice, error)
	Done(now clock.Millis, choice upstream.Choice, result upstream.Result)
}

// Catalogue knows which replicas hold which shards of which versions.
type Catalogue interface {
	Choose(exclude ...snapshot.Version) (snapshot.Map, bool)
	Holders(version snapshot.Version, shard snapshot.Shard) []string
	Withdraw(replica string, version snapshot.Version)
}

// Latency estimates the latency of the service's sub-requests. Quantile
// returns false as long as too few sub-requests have been seen.
type Latency interface {
	Quantile(q float64) (clock.Millis, bool)
}

// Budget bounds extra sub-requests to a fraction of first ones.
type Budget interface {
	Earn(n int)
	Take(cost float64) bool
}

// Quarantine knows requests that crash upstreams.
type Quarantine interface {
	IsBlocked(now clock.Millis, f quarantine.Fingerprint) bool
	IsSuspect(now clock.Millis, f quarantine.Fingerprint) bool
	NeedsCanary(now clock.Millis, f quarantine.Fingerprint) bool
	RecordCrash(now clock.Millis, f quarantine.Fingerprint, id upstream.ID, sent clock.Millis) bool
	BlockIfConfirmed(now clock.Millis, f quarantine.Fingerprint) bool
	RecordSuccess(now clock.Millis, f quarantine.Fingerprint)
}

// Resources are the parts of a service that its queries share. Picker and
// Catalogue are required. Without Hedges or Latency no hedge is sent, without
// Retries no retry, and without Quarantine no request is suspected.
type Resources struct {
	Picker     Picker
	Catalogue  Catalogue
	Latency    Latency
	Hedges     Budget
	Retries    Budget
	Quarantine Quarantine
}

func (r Resources) quantile(q float64) (clock.Millis, bool) {
	if r.Latency == nil {
		return 0, false
	}
	return r.Latency.Quantile(q)
}

// earn credits both budgets with n first sub-requests.
func (r Resources) earn(n int) {
	if r.Hedges != nil {
		r.Hedges.Earn(n)
	}
	if r.Retries != nil {
		r.Retries.Earn(n)
	}
}

func take(b Budget, cost float64) bool {
	return b != nil && b.Take(cost)
}
