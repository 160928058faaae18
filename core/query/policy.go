package query

// Mode selects when a query with missing shards stops waiting.
type Mode uint8

// Modes.
const (
	// CoverageFirst waits for missing shards until the deadline.
	CoverageFirst Mode = iota
	// TailFirst answers once the wanted coverage is reached and the missing
	// shards are later than the 99th percentile of the service's attempts.
	TailFirst
)

var modeNames = [...]string{"coverage-first", "tail-first"}

// String returns the form used in the settings tree.
func (m Mode) String() string { return modeNames[m] }

// Defaults of the settings tree.
const (
	DefaultWantedCoverage = 1.0  // fraction of the shards
	DefaultHedgeQuantile  = 0.95 // quantile of the attempt latency
	DefaultHedgeRatio     = 0.04 // hedges per first attempt
	DefaultMaxRetries     = 2    // retries per shard
)

// Policy holds the settings of a query. The zero value has the defaults of the
// settings tree. The With methods return a changed copy.
type Policy struct {
	mode           Mode
	wantedCoverage override
	minCoverage    float64 // fraction of the shards
	hedgeQuantile  float64 // of the attempt latency, 0 to 1
	hedgeRatio     override
	hedgesDisabled bool
	maxRetries     override
}

// override is an optional number that replaces a default. It distinguishes a
// configured zero from an absent value.
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

// WithMode returns the policy with the mode.
func (p Policy) WithMode(mode Mode) Policy {
	p.mode = mode
	return p
}

// WithWantedCoverage returns the policy with the fraction of shards, from 0 to 1,
// at which TailFirst may answer before the deadline.
func (p Policy) WithWantedCoverage(fraction float64) Policy {
	p.wantedCoverage = override{value: fraction, set: true}
	return p
}

// WithMinCoverage returns the policy with the minimum coverage, from 0 to 1, of
// requests that set none.
func (p Policy) WithMinCoverage(fraction float64) Policy {
	p.minCoverage = fraction
	return p
}

// WithHedgeQuantile returns the policy with the quantile of the service's attempt
// latency after which a hedge is sent. Zero selects the default.
func (p Policy) WithHedgeQuantile(quantile float64) Policy {
	p.hedgeQuantile = quantile
	return p
}

// WithHedgeRatio returns the policy with the ratio of the hedge budget, in hedges
// per first attempt. A low ratio raises the quantile after which a shard is
// hedged, so that no more hedges are due than the budget pays for.
func (p Policy) WithHedgeRatio(ratio float64) Policy {
	p.hedgeRatio = override{value: ratio, set: true}
	return p
}

// WithHedgesEnabled returns the policy with hedges enabled or disabled.
func (p Policy) WithHedgesEnabled(enabled bool) Policy {
	p.hedgesDisabled = !enabled
	return p
}

// WithMaxRetries returns the policy with the most retries of one shard.
func (p Policy) WithMaxRetries(maxRetries int) Policy {
	p.maxRetries = override{value: float64(maxRetries), set: true}
	return p
}

// Mode returns the mode.
func (p Policy) Mode() Mode { return p.mode }

// WantedCoverage returns the fraction of shards at which TailFirst may answer
// before the deadline.
func (p Policy) WantedCoverage() float64 { return p.wantedCoverage.orDefault(DefaultWantedCoverage) }

// MinCoverage returns the minimum coverage of requests that set none.
func (p Policy) MinCoverage() float64 { return p.minCoverage }

// HedgeQuantile returns the configured quantile of the attempt latency after
// which a hedge is sent.
func (p Policy) HedgeQuantile() float64 {
	if p.hedgeQuantile == 0 {
		return DefaultHedgeQuantile
	}
	return p.hedgeQuantile
}

// HedgeRatio returns the ratio of the hedge budget, in hedges per first attempt.
func (p Policy) HedgeRatio() float64 { return p.hedgeRatio.orDefault(DefaultHedgeRatio) }

// HedgesEnabled reports whether hedges may be sent.
func (p Policy) HedgesEnabled() bool { return !p.hedgesDisabled && p.HedgeRatio() > 0 }

// firstHedgeBudgetShare is the fraction of the hedge budget that first hedges of
// shards may use. If they used all of it, tokens would often be missing for the
// real stragglers; the rest pays for second hedges and for fluctuation.
const firstHedgeBudgetShare = 0.75

// firstHedgeQuantile returns the quantile after which the first hedge of a shard
// is sent: the configured one, or a higher one if the budget does not pay for it.
func (p Policy) firstHedgeQuantile() float64 {
	return max(p.HedgeQuantile(), 1-firstHedgeBudgetShare*p.HedgeRatio())
}

// MaxRetries returns the most retries of one shard.
func (p Policy) MaxRetries() int { return int(p.maxRetries.orDefault(DefaultMaxRetries)) }
