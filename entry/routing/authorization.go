package routing

import (
	"net/http"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/route"
)

// Authorization is the result of checking the key of a request. The zero value is that
// of a configuration without tenants.
type Authorization struct {
	// Enforced reports whether the configuration has tenants, so that the headers of key
	// and tenant have a meaning.
	Enforced bool
	Tenant   *route.Tenant // of the key; nil on a public route and without tenants
	KeyHash  route.KeyHash // of the key of Tenant
}

// Authorize checks the values of the key header of a request on a route. If the request
// must not run, it returns false and the answer to give.
func (e *Engine) Authorize(r *route.Route, keys []string) (Authorization, Answer, bool) {
	table, stale, current := e.tableForKeys()
	switch {
	case !table.HasTenants():
		return Authorization{}, Answer{}, true
	case r.Public():
		return Authorization{Enforced: true}, Answer{}, true
	case len(keys) > 1:
		e.deps.Meter.KeyRefused("repeated")
		return Authorization{}, refusal(http.StatusBadRequest, "the key is given more than once", 0), false
	case len(keys) == 0 || keys[0] == "":
		e.deps.Meter.KeyRefused("missing")
		return Authorization{}, refusal(http.StatusUnauthorized, "the route requires a key", 0), false
	case stale:
		e.deps.Meter.KeyRefused("stale")
		return Authorization{}, refusal(http.StatusServiceUnavailable, staleReason, staleRetryAfter), false
	}
	if hash, ok := table.HashKey(keys[0]); ok {
		if tenant, ok := table.TenantOfHash(hash); ok {
			return Authorization{Enforced: true, Tenant: tenant, KeyHash: hash}, Answer{}, true
		}
	}
	if !current {
		e.deps.Meter.KeyRefused("stale")
		return Authorization{}, refusal(http.StatusServiceUnavailable, staleReason, staleRetryAfter), false
	}
	e.deps.Meter.KeyRefused("unknown")
	return Authorization{}, refusal(http.StatusUnauthorized, "the key is unknown", 0), false
}

// tableForKeys returns at one moment the table in force, whether the proof is too old for
// requests with a key, and whether it is so new that an unknown key is invalid. It logs
// when the second of these changes.
func (e *Engine) tableForKeys() (table *route.Table, stale, current bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.table.HasTenants() {
		return e.table, false, true
	}
	stale = e.configurationStale()
	if stale != e.staleLogged {
		e.staleLogged = stale
		e.deps.Log.Info("state of requests with a key changed", "refused", stale, "maxProofAge", e.deps.MaxProofAge)
	}
	return e.table, stale, e.proven && e.deps.SuspendingClock.Now()-e.provenAt <= maxUnknownKeyAge
}

const (
	removedReason = "the key was removed"
	staleReason   = "the configuration may be outdated, so keys cannot be checked"
	// maxUnknownKeyAge is the age of the proof above which an unknown key may be one that a
	// newer configuration has added. It also applies if revocation is not strict, and is
	// twice the worst age in normal operation.
	maxUnknownKeyAge = 5 * clock.Second
	// staleRetryAfter is short, because another daemon may have a newer proof.
	staleRetryAfter = 100 * clock.Millisecond
)

// RecordProof records that the updates applied so far contain all changes of the store up
// to an instant on the clock that counts suspension. It reports whether that is later than
// before and matters, because there are tenants.
func (e *Engine) RecordProof(at clock.Millis) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proven && at <= e.provenAt {
		return false
	}
	e.provenAt, e.proven = at, true
	return e.table != nil && e.table.HasTenants()
}

// HasTenants reports whether the configuration in force has tenants.
func (e *Engine) HasTenants() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table != nil && e.table.HasTenants()
}

// configurationStale reports whether the proof is too old for requests with a key. The
// caller holds the lock.
func (e *Engine) configurationStale() bool {
	return e.deps.MaxProofAge > 0 && (!e.proven || e.deps.SuspendingClock.Now()-e.provenAt > e.deps.MaxProofAge)
}

// refusedAttempts returns the reason for which the request may make no further attempts,
// or "": the configuration may be outdated, or the key is no longer one of the tenant. The
// key of a delegated request was checked by the delegating daemon. The caller holds the
// lock.
func (c *call) refusedAttempts() string {
	table := c.engine.table
	switch {
	case c.request.Tenant == nil:
		return ""
	case c.engine.configurationStale():
		return staleReason
	case c.delegated || !table.HasTenants():
		return ""
	}
	if tenant, ok := table.TenantOfHash(c.request.KeyHash); !ok || tenant.Name() != c.request.Tenant.Name() {
		return removedReason
	}
	return ""
}

// LogUnauthorized writes the log line of a request that Authorize has refused, for the
// sample of requests that LogRoutine selects: callers may send any number of them.
func (e *Engine) LogUnauthorized(id, host, path string, refused Answer) {
	if e.deps.LogRoutine != nil && e.deps.LogRoutine() {
		e.LogRejected(id, host, path, refused.Status(), refused.Reason())
	}
}
