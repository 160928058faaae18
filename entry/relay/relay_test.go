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

const eventTimeout = 10 * time.Second

// runnerFunc is a Runner in a function.
type runnerFunc func(ctx context.Context, subRequest relay.SubRequest) query.AttemptResult

func (f runnerFunc) RunRelayed(ctx context.Context, request relay.SubRequest) query.AttemptResult {
	return f(ctx, request)
}

type daemon struct {
	relay   *relay.Relay
	hub     *peers.Hub
	address string
}

// startDaemon starts a daemon that listens for relay links and runs sub-requests
// with runner.
func startDaemon(t testing.TB, runner runnerFunc) daemon {
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

// newSubRequest returns the sub-request of a new query whose deadline is timeLeft
// away.
func newSubRequest(t testing.TB, body []byte, timeLeft clock.Millis) relay.SubRequest {
	t.Helper()
	var pool upstream.Pool
	var catalogue snapshot.Catalogue
	pool.Add(0, upstream.NewReplica("10.0.0.7:80", "ikeja"))
	catalogue.SetHoldings("10.0.0.7:80", []snapshot.Holding{snapshot.NewHolding(17, 1, []snapshot.Shard{0})})
	now := clock.Clock{}.Now()
	q := query.New(query.NewRequest("r", "u/s", body, now+timeLeft), query.Policy{},
		query.Dependencies{Picker: &pool, Catalogue: &catalogue})
	for _, action := range q.Start(now) {
		if action.Kind() == query.Send {
			return relay.NewSubRequest(action, "r", "u/s", body)
		}
	}
	require.Fail(t, "the query has no Send action")
	return relay.SubRequest{}
}

// echo returns the body as the result.
func echo(_ context.Context, s relay.SubRequest) query.AttemptResult {
	return query.NewAttemptResult(upstream.NewResult(upstream.OK, 3, "boot"), s.Shard(), s.Version(), s.Body())
}

// Guards against lost or altered bodies: a body longer than one message of a
// link is split and joined again, in either direction.
func TestBodiesOfAllSizesAreRelayed(t *testing.T) {
	for _, size := range []int{1, 100, 128 << 10, 1 << 20} {
		a, b := startDaemon(t, echo), startDaemon(t, echo)
		body := make([]byte, size)
		body[size-1] = 7
		answer := a.relay.Exchange(context.Background(), b.address, newSubRequest(t, body, 10*clock.Second))
		require.Equal(t, upstream.OK, answer.UpstreamResult().Outcome())
		require.Equal(t, "boot", answer.UpstreamResult().Boot())
		require.Equal(t, snapshot.Version(17), answer.Version())
		require.Equal(t, body, answer.Data())
	}
}

// Guards against attempts of one query that reach an upstream with the same id:
// the reply to one could be taken for the reply to the other.
func TestAttemptIDContainsTheAttemptNumber(t *testing.T) {
	require.Equal(t, "r/0", newSubRequest(t, []byte("q"), clock.Second).AttemptID())
}

// Guards against an outcome that says wrongly whether the sub-request ran, when
// the peer refuses it, cannot be reached or does not end it by the deadline.
func TestOutcomeOfFailedExchange(t *testing.T) {
	hang := func(ctx context.Context, _ relay.SubRequest) query.AttemptResult {
		<-ctx.Done()
		return query.NewAttemptFailure(upstream.NewResult(upstream.Cancelled, 0, ""))
	}
	refuse := func(context.Context, relay.SubRequest) query.AttemptResult {
		return query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, ""))
	}
	cases := []struct {
		name     string
		runner   runnerFunc
		fault    func(b daemon)
		timeLeft clock.Millis
		want     upstream.Outcome
	}{
		{name: "peer has no share", runner: refuse, timeLeft: 10 * clock.Second, want: upstream.NoRelayShare},
		{
			name: "peer is unreachable", runner: echo, fault: func(b daemon) { b.hub.Close() },
			timeLeft: 10 * clock.Second, want: upstream.NotConnected,
		},
		{name: "deadline", runner: hang, timeLeft: 100 * clock.Millisecond, want: upstream.Timeout},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a, b := startDaemon(t, echo), startDaemon(t, tc.runner)
			if tc.fault != nil {
				tc.fault(b)
			}
			answer := a.relay.Exchange(context.Background(), b.address, newSubRequest(t, []byte("q"), tc.timeLeft))
			require.Equal(t, tc.want, answer.UpstreamResult().Outcome())
		})
	}
}

// Guards against an exchange that waits for its deadline after the link to the
// peer broke, and against an outcome that says that it did not run.
func TestLinkLossEndsExchangeAsRelayLost(t *testing.T) {
	started := make(chan struct{})
	a := startDaemon(t, echo)
	b := startDaemon(t, func(ctx context.Context, _ relay.SubRequest) query.AttemptResult {
		close(started)
		<-ctx.Done()
		return query.NewAttemptFailure(upstream.NewResult(upstream.Cancelled, 0, ""))
	})
	go func() {
		<-started
		b.hub.Close()
	}()
	answer := a.relay.Exchange(context.Background(), b.address, newSubRequest(t, []byte("q"), clock.Minute))
	require.Equal(t, upstream.RelayLost, answer.UpstreamResult().Outcome())
}

// Guards against sub-requests that keep running at the peer after another attempt
// won the hedge.
func TestCancelStopsSubRequestAtPeer(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	a := startDaemon(t, echo)
	b := startDaemon(t, func(ctx context.Context, _ relay.SubRequest) query.AttemptResult {
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
	answer := a.relay.Exchange(ctx, b.address, newSubRequest(t, []byte("q"), clock.Minute))
	require.Equal(t, upstream.Cancelled, answer.UpstreamResult().Outcome())
	select {
	case <-cancelled:
	case <-time.After(eventTimeout):
		require.Fail(t, "the sub-request still runs at the peer")
	}
}

// BenchmarkExchange measures relayed sub-requests that run in parallel over one
// link. The processor time covers both daemons.
func BenchmarkExchange(b *testing.B) {
	requester, runner := startDaemon(b, echo), startDaemon(b, echo)
	body := make([]byte, 200)
	s := newSubRequest(b, body, clock.Hour)
	answer := requester.relay.Exchange(context.Background(), runner.address, s)
	require.Equal(b, upstream.OK, answer.UpstreamResult().Outcome())
	b.ReportAllocs()
	b.SetParallelism(16)
	defer benchtime.Report(b)()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			requester.relay.Exchange(context.Background(), runner.address, s)
		}
	})
}
