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

// serveForTenant serves a request of a tenant, within its limit if it has one.
func (e *Engine) serveForTenant(ctx context.Context, r *route.Route, request Request) Answer {
	if e.deps.Allowances == nil || !request.Tenant.Limited() {
		return e.serveAdmitted(ctx, r, request)
	}
	if answer, granted := e.takeAllowance(ctx, r, &request); !granted {
		if e.deps.LogRoutine != nil && e.deps.LogRoutine() {
			e.deps.Log.Info("request refused", "request", request.ID, "route", r.Name(), "tenant", request.Tenant.Name(),
				"status", answer.status, "reason", answer.reason, "retryAfter", truncateToTenths(answer.retryAfter))
		}
		return answer
	}
	answer := e.serveAdmitted(ctx, r, request)
	if answer.notRun() {
		e.deps.Allowances.Return(request.Tenant)
	}
	return answer
}

// takeAllowance requests permission for a request of a tenant with a limit, and takes
// the time that this needs off the deadline. It counts into the caller's time. Without permission it returns the refusal
// and false.
func (e *Engine) takeAllowance(ctx context.Context, r *route.Route, request *Request) (Answer, bool) {
	request.submittedAt = e.deps.Clock.Now()
	grant := e.deps.Allowances.Take(ctx, request.Tenant)
	switch {
	case !grant.Granted && ctx.Err() != nil:
		return Answer{status: statusCallerGone, callerGone: true}, false
	case !grant.Granted && grant.LimitReached:
		return refusal(http.StatusTooManyRequests, "the tenant's limit of requests is reached", grant.RetryAfter), false
	case !grant.Granted:
		return refusal(http.StatusServiceUnavailable, limitUnknownReason, grant.RetryAfter), false
	}
	waited := e.deps.Clock.Now() - request.submittedAt
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

const limitUnknownReason = "the tenant's limit of requests cannot be checked"

// refusedReason returns the reason for metrics for which the request was not run, or "".
func (a Answer) refusedReason() string {
	switch {
	case a.status == http.StatusTooManyRequests && a.reply == nil:
		return "limit"
	case !a.notRun():
		return ""
	case a.reason == limitUnknownReason:
		return "limit-unknown"
	case a.reason == staleReason:
		return "stale"
	case a.reason == removedReason:
		return "key-removed"
	}
	return "unavailable"
}

// notRun reports whether no replica has run the request and none will. The engine
// replaces replies of replicas with this status.
func (a Answer) notRun() bool { return a.status == http.StatusServiceUnavailable }
