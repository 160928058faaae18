package routing

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// fakeAllowances gives each request the same grant.
type fakeAllowances struct {
	grant           Grant
	taken, returned int
}

func (f *fakeAllowances) Take(context.Context, *route.Tenant) Grant {
	f.taken++
	return f.grant
}

func (f *fakeAllowances) Return(*route.Tenant) { f.returned++ }

// Guards against a request that runs beyond its tenant's limit, a refusal that states a
// reached limit without knowledge of it, a permission that is lost with a request that
// did not run, and calls for requests without a limit.
func TestAllowancesLimitRequestsOfTenants(t *testing.T) {
	limited, unlimited := route.NewTenant("a", 0, 5, 5), route.NewTenant("b", 0, 0, 0)
	for _, c := range []struct {
		name            string
		tenant          *route.Tenant
		grant           Grant
		noReplica       bool
		status          int
		retryAfter      clock.Millis
		taken, returned int
	}{
		{"granted", limited, Grant{Granted: true}, false, http.StatusOK, 0, 1, 0},
		{"limit reached", limited, Grant{LimitReached: true, RetryAfter: 70}, false, http.StatusTooManyRequests, 70, 1, 0},
		{"limit unknown", limited, Grant{RetryAfter: 30}, false, http.StatusServiceUnavailable, 30, 1, 0},
		{"not run", limited, Grant{Granted: true}, true, http.StatusServiceUnavailable, 50, 1, 1},
		{"tenant without limit", unlimited, Grant{}, false, http.StatusOK, 0, 0, 0},
		{"no tenant", nil, Grant{}, false, http.StatusOK, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLoggedEngine(t, replica.BudgetPolicy{})
			l.configure(singleRoute(true))
			if !c.noReplica {
				l.startReplica("s0", "i-0", replyGood)
			}
			allowances := &fakeAllowances{grant: c.grant}
			l.deps.Allowances = allowances
			r, _ := l.MatchRoute("h", "/x/")
			answer := l.Serve(t.Context(), r, Request{ID: "1", Method: "GET", Target: "/x/", Host: "h", Tenant: c.tenant})
			assert.Equal(t, c.status, answer.Status())
			if !c.noReplica {
				assert.Equal(t, c.retryAfter, answer.RetryAfter())
			}
			assert.Equal(t, []int{c.taken, c.returned}, []int{allowances.taken, allowances.returned}, "taken and returned")
		})
	}
}
