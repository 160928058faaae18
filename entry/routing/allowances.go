package routing

import (
	"context"
	"net/http"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/route"
)

// Allowances grants tenants' requests within their fleet-wide limits. It must be safe
// for concurrent use.
type Allowances interface {
	// Take requests permission for one request of a tenant. It may wait some
	// milliseconds for a peer, but not longer than ctx.
	Take(ctx context.Context, tenant *route.Tenant) Grant
	// Return gives the permission of a request back that provably did not run.
	Return(tenant *route.Tenant)
}

// Grant is the answer to a request for permission. If it is not granted, LimitReached
// reports whether the tenant's limit is known to be reached, and RetryAfter when the
// caller should retry.
type Grant struct {
	Granted      bool
	LimitReached bool
	RetryAfter   clock.Millis
}

// takeAllowance requests permission for a request of a tenant with a limit, and takes
// the time that this needs off the deadline. Without permission it returns the refusal
// and false.
func (e *Engine) takeAllowance(ctx context.Context, r *route.Route, request *Request) (Answer, bool) {
	began := e.deps.Clock.Now()
	grant := e.deps.Allowances.Take(ctx, request.Tenant)
	switch {
	case !grant.Granted && ctx.Err() != nil:
		return Answer{status: statusCallerGone, callerGone: true}, false
	case !grant.Granted && grant.LimitReached:
		return refusal(http.StatusTooManyRequests, "the tenant's limit of requests is reached", grant.RetryAfter), false
	case !grant.Granted:
		return refusal(http.StatusServiceUnavailable, "the tenant's limit of requests cannot be checked", grant.RetryAfter), false
	}
	waited := e.deps.Clock.Now() - began
	if waited <= 0 {
		return Answer{}, true
	}
	left := r.Timeout()
	if request.Deadline > 0 {
		left = min(left, request.Deadline)
	}
	// A deadline of 0 means none, so an expired one becomes the smallest that is refused.
	request.Deadline = max(left-waited, clock.Millisecond/1000)
	return Answer{}, true
}

// notRun reports whether no replica has run the request and none will. The engine
// replaces replies of replicas with this status.
func (a Answer) notRun() bool { return a.status == http.StatusServiceUnavailable }
