package engine

import (
	"github.com/lovagegap/lovagegap/core/admission"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Configuration holds the settings that Service.Configure applies.
type Configuration struct {
	query      query.Policy
	pool       upstream.Policy
	admission  admission.Policy
	hedgeRatio float64 // hedges per regular attempt
	hedgeBurst float64 // hedge tokens kept at most
	retryRatio float64 // retries per regular attempt
	retryBurst float64 // retry tokens kept at most
}

// NewConfiguration returns the configuration for the effective settings of a
// service.
func NewConfiguration(e *settings.Effective) Configuration {
	mode := query.CoverageFirst
	if e.Policy() == settings.PolicyTailFirst {
		mode = query.TailFirst
	}
	return Configuration{
		query: query.Policy{}.WithMode(mode).
			WithWantedCoverage(e.WantedCoverage()).
			WithMinCoverage(e.MinCoverage()).
			WithHedgesEnabled(e.HedgeEnabled()).
			WithHedgeQuantile(e.HedgeQuantile()).
			WithMaxRetries(e.RetryAttempts()),
		pool: upstream.Policy{}.
			WithLimits(e.UpstreamsSlots(), e.UpstreamsConnections()).
			WithColdStart(e.ColdStartEnabled(), e.ColdStartInitial(), e.ColdStartLatencyJump()).
			WithEjection(e.EjectionFailures(), e.EjectionBase(), e.EjectionMax()),
		admission: admission.Policy{}.
			WithConcurrency(e.AdmissionConcurrency()).
			WithMaxWaiting(e.AdmissionQueue()),
		hedgeRatio: e.HedgeRatio(),
		hedgeBurst: e.HedgeBurst(),
		retryRatio: e.RetryRatio(),
		retryBurst: e.RetryBurst(),
	}
}
