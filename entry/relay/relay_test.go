package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/benchtime"
	"github.com/lovagegap/lovagegap/entry/peers"
	"github.com/lovagegap/lovagegap/entry/relay"
)

const wait = 10 * time.Second

// runnerFunc runs relayed sub-requests.
type runnerFunc func(ctx context.Context, sub relay.SubRequest) query.AttemptResult

func (f runnerFunc) RunRelayed(ctx context.Context, request relay.SubRequest) query.AttemptResult {
	return f(ctx, request)
}

type daemon struct {
	relay   *relay.Relay
	hub     *peers.Hub
	address string
}

func start(t testing.TB, runner runnerFunc) daemon {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	d := daemon{relay: relay.New(clock.Clock{}, runner), address: server.Listener.Addr().String()}
	identity := peers.NewIdentity(d.address, 1)
	d.hub = peers.New(peers.Relay, identity, [][]byte{[]byte("key")}, d.relay, logr.Discard())
	d.relay.Connect(d.hub)
	mux := http.NewServeMux()
	mux.Handle(string(peers.Relay), d.hub)
	server.Config.Handler = mux
	server.Start()
	t.Cleanup(func() {
		d.hub.Close()
		server.Close()
	})
	return d
}

// sub returns a sub-request as a query would send it.
func sub(t testing.TB, body []byte, left clock.Millis) relay.SubRequest {
	t.Helper()
	var pool upstream.Pool
	var catalogue snapshot.Catalogue
	pool.Add(0, upstream.NewReplica("10.0.0.7:80", "ikeja"))
	catalogue.SetHoldings("10.0.0.7:80", []snapshot.Holding{snapshot.NewHolding(17, 1, []snapshot.Shard{0})})
	now := clock.Clock{}.Now()
	q := query.New(query.NewRequest("r", "u/s", body, now+left), query.Policy{},
		query.Dependencies{Picker: &pool, Catalogue: &catalogue})
	for _, action := range q.Start(now) {
		if action.Kind() == query.Send {
			return relay.NewSubRequest(action, "r", "u/s", body)
		}
	}
	require.Fail(t, "the query sent nothing")
	return relay.SubRequest{}
}

func echo(_ context.Context, s relay.SubRequest) query.AttemptResult {
	return query.NewAttemptResult(upstream.NewResult(upstream.OK, 3, "boot"), s.Shard(), s.Version(), s.Body())
}

// Guards against bodies that exceed one message of a link, in either direction.
func TestExchange(t *testing.T) {
	for _, size := range []int{1, 100, 128 << 10, 1 << 20} {
		a, b := start(t, echo), start(t, echo)
		body := make([]byte, size)
		body[size-1] = 7
		answer := a.relay.Exchange(context.Background(), b.address, sub(t, body, 10*clock.Second))
		require.Equal(t, upstream.OK, answer.UpstreamResult().Outcome())
		require.Equal(t, "boot", answer.UpstreamResult().Boot())
		require.Equal(t, snapshot.Version(17), answer.Version())
		require.Equal(t, body, answer.Data())
	}
}

// Guards against two attempts of one query that reach an upstream under the
// same id, so that the reply to one could be taken for the other's.
func TestRequestNamesTheAttempt(t *testing.T) {
	require.Equal(t, "r/0", sub(t, []byte("q"), clock.Second).AttemptID())
}

// Guards against a wrong statement about whether a relayed sub-request ran.
func TestFaults(t *testing.T) {
	hang := func(ctx context.Context, _ relay.SubRequest) query.AttemptResult {
		<-ctx.Done()
		return query.NewAttemptFailure(upstream.NewResult(upstream.Cancelled, 0, ""))
	}
	refuse := func(context.Context, relay.SubRequest) query.AttemptResult {
		return query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, ""))
	}
	cases := []struct {
		name   string
		runner runnerFunc
		fault  func(b daemon)
		left   clock.Millis
		want   upstream.Outcome
	}{
		{name: "peer has no share", runner: refuse, left: 10 * clock.Second, want: upstream.NoRelayShare},
		{name: "peer is gone", runner: echo, fault: func(b daemon) { b.hub.Close() }, left: 10 * clock.Second, want: upstream.NotConnected},
		{name: "deadline", runner: hang, left: 100 * clock.Millisecond, want: upstream.Timeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a, b := start(t, echo), start(t, tc.runner)
			if tc.fault != nil {
				tc.fault(b)
			}
			answer := a.relay.Exchange(context.Background(), b.address, sub(t, []byte("q"), tc.left))
			require.Equal(t, tc.want, answer.UpstreamResult().Outcome())
		})
	}
}

// Guards against an exchange that waits for its deadline although the link to
// the peer broke, and against calling it not run.
func TestLinkLossMayHaveRun(t *testing.T) {
	started := make(chan struct{})
	a := start(t, echo)
	b := start(t, func(ctx context.Context, _ relay.SubRequest) query.AttemptResult {
		close(started)
		<-ctx.Done()
		return query.NewAttemptFailure(upstream.NewResult(upstream.Cancelled, 0, ""))
	})
	go func() {
		<-started
		b.hub.Close()
	}()
	answer := a.relay.Exchange(context.Background(), b.address, sub(t, []byte("q"), clock.Minute))
	require.Equal(t, upstream.RelayLost, answer.UpstreamResult().Outcome())
}

// Guards against losers of a hedge that keep running at the peer.
func TestCancelReachesThePeer(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	a := start(t, echo)
	b := start(t, func(ctx context.Context, _ relay.SubRequest) query.AttemptResult {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return query.NewAttemptFailure(upstream.NewResult(upstream.Cancelled, 0, ""))
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	answer := a.relay.Exchange(ctx, b.address, sub(t, []byte("q"), clock.Minute))
	require.Equal(t, upstream.Cancelled, answer.UpstreamResult().Outcome())
	select {
	case <-cancelled:
	case <-time.After(wait):
		require.Fail(t, "the peer went on")
	}
}

// BenchmarkExchange measures one relayed sub-request, with the work of both
// daemons, in parallel over one link.
func BenchmarkExchange(b *testing.B) {
	asking, running := start(b, echo), start(b, echo)
	body := make([]byte, 200)
	s := sub(b, body, clock.Hour)
	answer := asking.relay.Exchange(context.Background(), running.address, s)
	require.Equal(b, upstream.OK, answer.UpstreamResult().Outcome())
	b.ReportAllocs()
	b.SetParallelism(16)
	defer benchtime.Report(b)()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			asking.relay.Exchange(context.Background(), running.address, s)
		}
	})
}
