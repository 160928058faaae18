package query

// Mode says when a query with missing shards stops waiting.
type Mode uint8

// Modes.
const (
	// CoverageFirst waits for missing shards until the deadline.
	CoverageFirst Mode = iota
	// TailFirst answers once the wanted coverage is reached and the missing
	// shards are later than almost all sub-requests of the service.
	TailFirst
)

var modeNames = [...]string{"coverage-first", "tail-first"}

// String returns the form used in the settings tree.
func (m Mode) String() string { return modeNames[m] }

// Defaults of the settings tree.
const (
	DefaultWantedCoverage = 1.0
	DefaultHedgeQuantile  = 0.95
	DefaultHedgeRatio     = 0.04
	DefaultMaxRetries     = 2
)

// Policy holds the settings that one query needs. The zero value has the
// defaults of the settings tree. It is a value: the With methods return a
// changed copy.
type Policy struct {
	mode           Mode
	wantedCoverage override
	minCoverage    float64
	hedgeQuantile  float64
	hedgeRatio     override
	hedgesDisabled bool
	maxRetries     override
}

// override is a number that replaces a default, which may differ from zero.
type override struct {
	value float64
	set   bool
}

func (o override) orDefault(defaultValue float64) float64 {
	if o.set {
		return o.value
	}
	return defaultValue
}

// WithMode returns the policy with a mode.
func (p Policy) WithMode(mode Mode) Policy {
	p.mode = mode
	return p
}

// WithWantedCoverage returns the policy with the coverage at which TailFirst
// may answer early.
func (p Policy) WithWantedCoverage(fraction float64) Policy {
	p.wantedCoverage = override{value: fraction, set: true}
	return p
}

// WithMinCoverage returns the policy with the minimum coverage of requests
// that name none.
func (p Policy) WithMinCoverage(fraction float64) Policy {
	p.minCoverage = fraction
	return p
}

// WithHedgeQuantile returns the policy with the quantile of the service's
// sub-request latency after which a hedge is sent.
func (p Policy) WithHedgeQuantile(quantile float64) Policy {
	p.hedgeQuantile = quantile
	return p
}

// WithHedgeRatio returns the policy with the ratio of the hedge budget, which
// keeps hedges from being wanted for more sub-requests than it pays for.
func (p Policy) WithHedgeRatio(ratio float64) Policy {
	p.hedgeRatio = override{value: ratio, set: true}
	return p
}

// WithHedgesEnabled returns the policy with hedges enabled or disabled.
func (p Policy) WithHedgesEnabled(enabled bool) Policy {
	p.hedgesDisabled = !enabled
	return p
}

// WithMaxRetries returns the policy with the number of retries for each shard.
func (p Policy) WithMaxRetries(maxRetries int) Policy {
	p.maxRetries = override{value: float64(maxRetries), set: true}
	return p
}

// Mode returns when a query with missing shards stops waiting.
func (p Policy) Mode() Mode { return p.mode }

// WantedCoverage returns the coverage at which TailFirst may answer early.
func (p Policy) WantedCoverage() float64 { return p.wantedCoverage.orDefault(DefaultWantedCoverage) }

// MinCoverage returns the minimum coverage of requests that name none.
func (p Policy) MinCoverage() float64 { return p.minCoverage }

// HedgeQuantile returns the latency quantile after which a hedge is sent.
func (p Policy) HedgeQuantile() float64 {
	if p.hedgeQuantile == 0 {
		return DefaultHedgeQuantile
	}
	return p.hedgeQuantile
}

// HedgeRatio returns the ratio of the hedge budget.
func (p Policy) HedgeRatio() float64 { return p.hedgeRatio.orDefault(DefaultHedgeRatio) }

// HedgesEnabled reports whether hedges may be sent.
func (p Policy) HedgesEnabled() bool { return !p.hedgesDisabled && p.HedgeRatio() > 0 }

// firstHedgeBudgetShare is the part of the hedge budget that first hedges may want.
// If they wanted all of it or more, tokens would often be gone when the real
// stragglers ask; the rest pays for second hedges and for fluctuation.
const firstHedgeBudgetShare = 0.75

// firstHedgeQuantile returns the quantile after which the first hedge of a
// shard is sent: the configured one, or a higher one that the budget pays for.
func (p Policy) firstHedgeQuantile() float64 {
	return max(p.HedgeQuantile(), 1-firstHedgeBudgetShare*p.HedgeRatio())
}

// MaxRetries returns the number of retries for each shard.
func (p Policy) MaxRetries() int { return int(p.maxRetries.orDefault(DefaultMaxRetries)) }
