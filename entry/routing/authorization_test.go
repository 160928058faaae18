package routing

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// configureTenants puts a route in force whose tenants have the keys.
func (l *loggedEngine) configureTenants(version uint64, spec route.Spec, keysByTenant map[string][]string) {
	spec.Name, spec.Host, spec.Prefix = "search", "h", "/"
	spec.Timeout, spec.Objective, spec.MaxAttempts = 2400, 600, 2
	r, err := route.NewRoute(spec)
	require.NoError(l.t, err)
	var services []route.Service
	for _, name := range r.Services() {
		services = append(services, route.NewService(name, 10, 0))
	}
	table, err := route.NewTable(version, []*route.Route{r}, services, route.Limits{})
	require.NoError(l.t, err)
	var tenants []route.TenantKeys
	for name, keys := range keysByTenant {
		tenants = append(tenants, route.TenantKeys{Tenant: route.NewTenant(name, 1, 0, 0), Keys: keys})
	}
	table, err = table.WithTenants(route.NewKeyHasher([]byte("secret")), tenants)
	require.NoError(l.t, err)
	l.ApplyUpdates([]StoreUpdate{{Table: table}})
}

// serveWithKey authorizes and serves a request.
func (l *loggedEngine) serveWithKey(id, key string) Answer {
	r, refused := l.MatchRoute("h", "/a")
	require.NotNil(l.t, r, refused.Reason())
	authorization, refused, ok := l.Authorize(r, []string{key})
	if !ok {
		return refused
	}
	return l.Serve(l.t.Context(), r, Request{
		ID: id, Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{"Id": {id}}, Deadline: 2400,
		Tenant: authorization.Tenant, KeyHash: authorization.KeyHash,
	})
}

// Guards against a request that runs after the removal of its key: one that waits for a
// retry, and one whose body arrives late. One whose key stays must go on.
func TestWaitingRequestIsRefusedWhenKeyIsRemoved(t *testing.T) {
	for name, c := range map[string]struct {
		left   []string // keys in the new configuration
		status int
		sent   int
	}{
		"removed":               {[]string{"other"}, http.StatusServiceUnavailable, 1},
		"kept":                  {[]string{"k"}, http.StatusOK, 2},
		"tenants not used more": {nil, http.StatusOK, 2},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
			newKeys := map[string][]string{"acme": c.left}
			if c.left == nil {
				newKeys = nil
			}
			l.configureTenants(1, singleRoute(false), map[string][]string{"acme": {"k"}})
			arrivals := make(chan struct{}, 9)
			reply := func(w http.ResponseWriter, r *http.Request) {
				arrivals <- struct{}{}
				if len(arrivals) > 1 {
					replyGood(w, r)
					return
				}
				l.configureTenants(2, singleRoute(false), newKeys)
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			l.startReplica("s0", "i-0", reply)
			l.startReplica("s0", "i-1", reply)
			assert.Equal(t, c.status, l.serveWithKey("r1", "k").Status())
			assert.Len(t, arrivals, c.sent)
		})
	}
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.startReplica("s0", "i-0", replyAfter(time.Millisecond))
	l.configureTenants(1, singleRoute(true), map[string][]string{"acme": {"k"}})
	r, _ := l.MatchRoute("h", "/a")
	authorization, _, ok := l.Authorize(r, []string{"k"})
	require.True(t, ok)
	l.configureTenants(2, singleRoute(true), map[string][]string{"acme": {"other"}})
	answer := l.Serve(t.Context(), r, Request{ID: "late", Method: http.MethodGet, Target: "/a", Host: "h",
		Tenant: authorization.Tenant, KeyHash: authorization.KeyHash})
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status())
	assert.Equal(t, "the key was removed", answer.Reason())
}

// Guards against a request that is quarantined because another tenant's equal one crashed
// replicas, and against fingerprints that change where there are no tenants.
func TestFingerprintContainsTenant(t *testing.T) {
	of := func(tenant *route.Tenant, key string) string {
		r := Request{Method: "GET", Host: "h", Target: "/a", Tenant: tenant, KeyHash: route.NewKeyHasher(nil).Hash(key)}
		return r.fingerprint().String()
	}
	a, b := route.NewTenant("a", 0, 0, 0), route.NewTenant("b", 0, 0, 0)
	assert.NotEqual(t, of(a, "k"), of(b, "k"))
	assert.NotEqual(t, of(a, "k"), of(nil, "k"))
	assert.Equal(t, of(a, "k"), of(a, "other key of the tenant"))
}

// newStrictEngine returns an engine that refuses requests with a key once its proof is
// older than 4750 ms, and its clock that counts suspension, which reads 0.
func newStrictEngine(t *testing.T) (*loggedEngine, *clock.Manual) {
	l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
	manual := &clock.Manual{}
	l.deps.SuspendingClock, l.deps.MaxProofAge = manual.Clock(), 4750
	return l, manual
}

// Guards against requests with a key at a daemon whose configuration may be outdated: one
// without a proof, and one that was partitioned, frozen or suspended. Also guards against
// the refusal of requests that need no key.
func TestOldProofRefusesRequestsWithKey(t *testing.T) {
	l, manual := newStrictEngine(t)
	l.startReplica("s0", "i-0", replyGood)
	l.configureTenants(1, singleRoute(true), map[string][]string{"acme": {"k"}})
	expect := func(status int, when string) {
		t.Helper()
		answer := l.serveWithKey("r1", "k")
		assert.Equal(t, status, answer.Status(), when)
		if status == http.StatusServiceUnavailable {
			assert.Positive(t, answer.RetryAfter(), when)
		}
	}
	expect(http.StatusServiceUnavailable, "no proof")
	assert.True(t, l.RecordProof(0))
	expect(http.StatusOK, "proof just made")
	manual.Advance(4750)
	expect(http.StatusOK, "at the limit")
	manual.Advance(1)
	expect(http.StatusServiceUnavailable, "beyond the limit")
	assert.False(t, l.RecordProof(-10), "older proof")
	expect(http.StatusServiceUnavailable, "older proof")
	l.RecordProof(4700)
	expect(http.StatusOK, "new proof")
	manual.Advance(clock.Hour)
	expect(http.StatusServiceUnavailable, "resumed after a suspension")

	l.deps.MaxProofAge = 0
	expect(http.StatusOK, "revocation not strict")
	assert.Equal(t, http.StatusServiceUnavailable, l.serveWithKey("r2", "added").Status(), "a newer configuration may have the key")
	l.RecordProof(manual.Now())
	assert.Equal(t, http.StatusUnauthorized, l.serveWithKey("r2", "added").Status())
	manual.Advance(clock.Hour)
	l.deps.MaxProofAge = 4750
	public := singleRoute(true)
	public.Public = true
	l.configureTenants(2, public, map[string][]string{"acme": {"k"}})
	expect(http.StatusOK, "public route")
	l.configureTenants(3, singleRoute(true), nil)
	expect(http.StatusOK, "no tenants")
}

// Guards against attempts after the proof has become too old while the request waited: a
// first attempt after a late body, a retry, and those of a delegated request.
func TestOldProofForbidsFurtherAttempts(t *testing.T) {
	l, manual := newStrictEngine(t)
	l.RecordProof(0)
	l.configureTenants(1, singleRoute(false), map[string][]string{"acme": {"k"}})
	var arrivals atomic.Int32
	for _, id := range []string{"i-0", "i-1"} {
		l.startReplica("s0", id, func(w http.ResponseWriter, r *http.Request) {
			arrivals.Add(1)
			manual.Advance(5000)
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	answer := l.serveWithKey("retry", "k")
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status())
	assert.Equal(t, staleReason, answer.Reason())
	assert.EqualValues(t, 1, arrivals.Load())
	r, _ := l.MatchRoute("h", "/a")
	answer = l.Serve(t.Context(), r, Request{ID: "late", Method: http.MethodGet, Target: "/a", Host: "h", Tenant: route.NewTenant("acme", 1, 0, 0)})
	assert.Equal(t, staleReason, answer.Reason())
	gather := GatherRequest{Request: Request{ID: "far", Method: http.MethodGet, Target: "/a", Host: "h", Deadline: 400,
		Tenant: route.NewTenant("acme", 1, 0, 0)}, Route: "search", Services: []string{"s0"}, Objective: 100, ReportIn: 20, TopK: 2}
	assert.True(t, l.Gather(t.Context(), gather, func(Part) {}).NotRun)
	assert.EqualValues(t, 1, arrivals.Load())
}

// Guards against requests of tenants that are treated by the priority of their route, and
// against ranks for requests of a deployment without tenants.
func TestRankFollowsTenantsPriority(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.configure(singleRoute(true))
	r, _ := l.MatchRoute("h", "/a")
	assert.Equal(t, []any{false, 0}, []any{l.resources(r, nil).LowPriority, l.resources(r, nil).TenantRank})
	l.configureTenants(8, singleRoute(true), map[string][]string{"acme": {"k"}}) // of priority 1
	for priority, expected := range map[int][]any{1: {false, 0}, 2: {true, 1}} {
		resources := l.resources(r, route.NewTenant("x", priority, 0, 0))
		assert.Equal(t, expected, []any{resources.LowPriority, resources.TenantRank}, "priority %d", priority)
	}
}
