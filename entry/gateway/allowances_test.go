package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/codec"
	"github.com/lovagegap/lovagegap/entry/routing"
)

// startOwner starts a daemon that owns all tenants, and returns the allowances of
// another one that requests its tokens. Their buckets are full.
func startOwner(t testing.TB, handler func(*Gateway) http.Handler) (*allowances, *clock.Manual) {
	c := &clock.Manual{}
	g := &Gateway{config: Config{Key: []byte("k")}}
	server := httptest.NewServer(handler(g))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	owner := newServingMember(address, "a", "r")
	random := rand.New(rand.NewPCG(1, 2))
	g.allowances = newAllowances(c.Clock(), Config{PeerAddress: address, Key: []byte("k")}, random)
	borrower := newAllowances(c.Clock(), Config{PeerAddress: "10.0.0.1:1", Key: []byte("k")}, random)
	for _, a := range []*allowances{g.allowances, borrower} {
		a.setAvailable([]fleet.Member{owner})
		t.Cleanup(a.client.CloseIdleConnections)
	}
	for range 100 {
		c.Advance(clock.Second)
		g.allowances.ledger.Tick(c.Now())
		borrower.ledger.Tick(c.Now())
	}
	return borrower, c
}

func serveAllowances(g *Gateway) http.Handler { return g.peerHandler() }

// Guards against requests within the limit that are refused, requests beyond it that are
// granted, and refusals without the time until the next token.
func TestOwnerGrantsTokens(t *testing.T) {
	a, c := startOwner(t, serveAllowances)
	tenant := route.NewTenant("hats", 0, 2, 3)
	for range 3 {
		require.Equal(t, routing.Grant{Granted: true}, a.Take(t.Context(), tenant))
	}
	refused := a.Take(t.Context(), tenant)
	assert.False(t, refused.Granted)
	assert.True(t, refused.LimitReached)
	assert.InDelta(t, 500, float64(refused.RetryAfter), 1)
	c.Advance(clock.Second)
	assert.True(t, a.Take(t.Context(), tenant).Granted)
	a.Return(tenant)
	assert.Equal(t, int64(1), a.metrics()["tokens-outstanding"])
	assert.True(t, a.Take(t.Context(), tenant).Granted)
	assert.True(t, a.Take(t.Context(), tenant).Granted)
	assert.True(t, a.Take(t.Context(), tenant).LimitReached)
}

// Guards against requests that wait longer than they can afford for an owner that does
// not answer, is not the owner or fails, and against a 429 although the limit is not
// known to be reached.
func TestRequestsDoNotWaitForFailedOwner(t *testing.T) {
	for name, handler := range map[string]func(*Gateway) http.Handler{
		"silent": func(*Gateway) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed only after the body
				<-r.Context().Done()
			})
		},
		"failing": func(*Gateway) http.Handler { return http.NotFoundHandler() },
		"malformed": func(*Gateway) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0xff}) })
		},
		"not the owner": func(g *Gateway) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				g.allowances.setAvailable([]fleet.Member{newServingMember("10.0.0.9:1", "a", "r")})
				g.allowances.clock = clock.Clock{} // past the time in which it hands over
				g.peerHandler().ServeHTTP(w, r)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := startOwner(t, handler)
			tenant := route.NewTenant("hats", 0, 0.5, 1)
			for range 20 { // use up the reserve
				require.False(t, a.Take(t.Context(), tenant).LimitReached)
			}
			began := time.Now()
			grant := a.Take(t.Context(), tenant)
			assert.False(t, grant.Granted)
			assert.False(t, grant.LimitReached)
			assert.Positive(t, grant.RetryAfter)
			assert.Less(t, time.Since(began), 500*time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			assert.False(t, a.Take(ctx, tenant).Granted)
		})
	}
}

// Guards against tokens for senders without the deployment key, and against malformed
// requests that change the ledger.
func TestAllowanceRequestsAreValidated(t *testing.T) {
	g := newTestGateway(t)
	server := httptest.NewServer(g.peerHandler())
	defer server.Close()
	post := func(request allowanceRequest, key []byte) int {
		body, err := codec.Encode(request)
		require.NoError(t, err)
		message, err := http.NewRequest(http.MethodPost, server.URL+allowancePath, bytes.NewReader(body))
		require.NoError(t, err)
		message.Header.Set(proofHeader, keyProof(key, body))
		response, err := http.DefaultClient.Do(message)
		require.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	valid := allowanceRequest{Tenant: "hats", Rate: 1, Burst: 1, Needed: 1}
	assert.Equal(t, http.StatusOK, post(valid, g.config.Key))
	assert.Equal(t, http.StatusForbidden, post(valid, []byte("other")))
	for _, invalidate := range []func(r *allowanceRequest){
		func(r *allowanceRequest) { r.Tenant = "" },
		func(r *allowanceRequest) { r.Tenant = string(make([]byte, 300)) },
		func(r *allowanceRequest) { r.Rate = math.NaN() },
		func(r *allowanceRequest) { r.Burst = math.Inf(1) },
		func(r *allowanceRequest) { r.Needed = -1 },
		func(r *allowanceRequest) { r.Unused = 1 << 40 },
	} {
		request := valid
		invalidate(&request)
		assert.Equal(t, http.StatusBadRequest, post(request, g.config.Key))
	}
	assert.Equal(t, int64(1), g.allowances.metrics()["owner.calls"])
}

// BenchmarkTake measures a request whose token comes from another daemon, with both
// sides of the call.
func BenchmarkTake(b *testing.B) {
	a, c := startOwner(b, serveAllowances)
	tenant := route.NewTenant("hats", 0, 1e6, 1e9)
	b.ReportAllocs()
	for b.Loop() {
		c.Advance(300) // a late reply would otherwise end the calls for good
		if !a.Take(context.Background(), tenant).Granted {
			b.Fatal("refused")
		}
	}
}
