package routing

import (
	"net/http"

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
	e.mu.Lock()
	table := e.table
	e.mu.Unlock()
	switch {
	case !table.HasTenants():
		return Authorization{}, Answer{}, true
	case r.Public():
		return Authorization{Enforced: true}, Answer{}, true
	case len(keys) > 1:
		return Authorization{}, refusal(http.StatusBadRequest, "the key is given more than once", 0), false
	case len(keys) == 0 || keys[0] == "":
		return Authorization{}, refusal(http.StatusUnauthorized, "the route requires a key", 0), false
	}
	if hash, ok := table.HashKey(keys[0]); ok {
		if tenant, ok := table.TenantOfHash(hash); ok {
			return Authorization{Enforced: true, Tenant: tenant, KeyHash: hash}, Answer{}, true
		}
	}
	return Authorization{}, refusal(http.StatusUnauthorized, "the key is unknown", 0), false
}

// refusedAttempts returns the reason for which the request may make no further attempts,
// or "": its key is no longer one of its tenant. The key of a delegated request was checked
// by the delegating daemon. The caller holds the lock.
func (c *call) refusedAttempts() string {
	table := c.engine.table
	if c.request.Tenant == nil || c.delegated || !table.HasTenants() {
		return ""
	}
	if tenant, ok := table.TenantOfHash(c.request.KeyHash); !ok || tenant.Name() != c.request.Tenant.Name() {
		return "the key was removed"
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
