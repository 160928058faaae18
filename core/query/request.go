package query

import "github.com/lovagegap/lovagegap/core/clock"

// Request is one caller's query for a service.
type Request struct {
	id             string
	service        string
	class          string
	tenant         string
	body           []byte
	deadline       clock.Millis
	minCoverage    float64
	minCoverageSet bool
	nonIdempotent  bool
}

// NewRequest returns an idempotent request. The service has the form
// user/service, and the deadline is an instant. The body is not copied.
func NewRequest(id, service string, body []byte, deadline clock.Millis) Request {
	return Request{id: id, service: service, body: body, deadline: deadline}
}

// WithCaller returns the request with the caller's class and tenant.
func (r Request) WithCaller(class, tenant string) Request {
	r.class, r.tenant = class, tenant
	return r
}

// WithMinCoverage returns the request with the fraction of shards, from 0 to 1,
// below which the caller wants an error instead of a partial answer. It replaces
// the minimum of the policy.
func (r Request) WithMinCoverage(fraction float64) Request {
	r.minCoverage, r.minCoverageSet = fraction, true
	return r
}

// NonIdempotent returns the request marked to run at most once per shard.
func (r Request) NonIdempotent() Request {
	r.nonIdempotent = true
	return r
}

// ID returns the id of the request.
func (r Request) ID() string { return r.id }

// Service returns the service in the form user/service.
func (r Request) Service() string { return r.service }

// Class returns the caller's class.
func (r Request) Class() string { return r.class }

// Tenant returns the caller's tenant.
func (r Request) Tenant() string { return r.tenant }

// Body returns the query that is sent to every shard.
func (r Request) Body() []byte { return r.body }

// Deadline returns the instant at which the query ends at the latest.
func (r Request) Deadline() clock.Millis { return r.deadline }

// MinCoverage returns the minimum coverage set with WithMinCoverage, else 0.
func (r Request) MinCoverage() float64 { return r.minCoverage }

// Idempotent reports whether the request may run more than once.
func (r Request) Idempotent() bool { return !r.nonIdempotent }
