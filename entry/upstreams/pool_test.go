package upstreams

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/lovagegap-standin/deployment"
	"github.com/lovagegap/lovagegap/lovagegap-standin/upstreams"
)

// replica starts one stand-in upstream with a hard cap of three connections.
func replica(t *testing.T) *upstreams.Upstream {
	fleet, err := upstreams.Start(deployment.Deployment{
		User: "u", DataCentres: []string{"ikeja"}, Upstreams: "127.0.0.1",
		Services: []deployment.Service{{Name: "s", Shards: 1, Replicas: 1, Slots: 2, Connections: 3}},
	}, clock.Clock{})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	return fleet.All()[0]
}

func toReplica(u *upstreams.Upstream, deadline clock.Millis) Exchange {
	e := newExchange(upstream.ID(u.Address()), "q1/0", deadline)
	e.shard, e.version = 0, 1
	return e
}

// TestCap guards against more connections than the limit, also while
// exchanges are cancelled and connections are replaced: the upstream resets a
// connection above its cap. The grace is long enough for a busy machine.
func TestCap(t *testing.T) {
	u := replica(t)
	client := New(clock.Clock{})
	client.grace = 100 * time.Millisecond
	client.SetLimit(upstream.ID(u.Address()), 3)
	var wait sync.WaitGroup
	for worker := range 12 {
		wait.Go(func() {
			for i := range 10 {
				ctx, cancel := context.WithCancel(context.Background())
				if (worker+i)%10 == 0 {
					cancel()
				}
				e := toReplica(u, ample)
				e.fresh = (worker+i)%7 == 0
				result, _ := client.carry(ctx, &e)
				if ctx.Err() == nil && result.Outcome() != upstream.OK {
					t.Error(result.Outcome())
				}
				cancel()
			}
		})
	}
	wait.Wait()
	require.Equal(t, 3, u.Counts().MaxConnections)
	require.Zero(t, u.Counts().Refused)
}

// TestSilent guards against an exchange that waits on a connection whose path
// has gone silent after a first one timed out on it.
func TestSilent(t *testing.T) {
	u := replica(t)
	client := New(clock.Clock{})
	client.SetLimit(upstream.ID(u.Address()), 3)
	require.Equal(t, upstream.OK, kind(client, toReplica(u, ample)))
	u.Silence()
	require.Equal(t, upstream.Timeout, kind(client, toReplica(u, brief)))
	require.Equal(t, upstream.OK, kind(client, toReplica(u, ample)))
}

func TestLimit(t *testing.T) {
	u := replica(t)
	id := upstream.ID(u.Address())
	client := New(clock.Clock{})
	client.SetLimit(id, 3)
	require.Equal(t, upstream.OK, kind(client, toReplica(u, ample)))

	client.SetLimit(id, 0)
	require.Equal(t, upstream.NotConnected, kind(client, toReplica(u, ample)))
	require.Eventually(t, func() bool { open, _ := client.Connections(id); return open == 0 }, 5*time.Second, time.Millisecond)
	client.SetLimit(id, 1)
	require.Equal(t, upstream.OK, kind(client, toReplica(u, ample)))

	client.Remove(id)
	require.Eventually(t, func() bool {
		client.mu.RLock()
		defer client.mu.RUnlock()
		return len(client.pools) == 0
	}, 5*time.Second, time.Millisecond)
	client.Close()
	require.Equal(t, upstream.NotConnected, kind(client, toReplica(u, ample)))
}

// TestWaiting guards against an exchange that stays in line when it cannot get
// a connection: at its deadline, at its cancellation, at a limit of zero.
func TestWaiting(t *testing.T) {
	hold := make(chan struct{})
	arrived := make(chan struct{}, 1)
	s := start(t, func(c net.Conn, r *http.Request, n int) {
		arrived <- struct{}{}
		<-hold
		answer(c, r, n)
	})
	client := New(clock.Clock{})
	done := make(chan upstream.Outcome, 3)
	go func() { done <- kind(client, newExchange(s.id(), "q1/0", ample)) }()
	<-arrived
	require.Equal(t, upstream.NotConnected, kind(client, newExchange(s.id(), "q2/0", brief)))

	ctx, cancel := context.WithCancel(t.Context())
	p := client.pool(s.id())
	queued := func(n int) func() bool {
		return func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.waiting) == n
		}
	}
	go func() {
		require.Eventually(t, queued(1), 5*time.Second, time.Millisecond)
		cancel()
	}()
	e := newExchange(s.id(), "q3/0", ample)
	result, _ := client.carry(ctx, &e)
	require.Equal(t, upstream.Cancelled, result.Outcome())

	waiting := make(chan upstream.Outcome, 1)
	go func() { waiting <- kind(client, newExchange(s.id(), "q4/0", ample)) }()
	require.Eventually(t, queued(1), 5*time.Second, time.Millisecond)
	client.SetLimit(s.id(), 0)
	require.Equal(t, upstream.NotConnected, <-waiting)
	close(hold)
	require.Equal(t, upstream.OK, <-done, "a running exchange is not interrupted")
	requests, connections := s.seen()
	require.Equal(t, 1, requests)
	require.Equal(t, 1, connections)
}

// TestIdleAge guards against a connection that is kept beyond the timeout of
// a middlebox, used or unused.
func TestIdleAge(t *testing.T) {
	var manual clock.Manual
	u := replica(t)
	client := New(manual.Clock())
	client.SetLimit(upstream.ID(u.Address()), 2)
	send := func() upstream.Outcome {
		e := toReplica(u, 0)
		e.deadline = manual.Now() + ample
		return kind(client, e)
	}
	require.Equal(t, upstream.OK, send())
	manual.Advance(defaultIdle - 1)
	require.Equal(t, upstream.OK, send())
	require.Equal(t, 1, u.Counts().Accepted)
	manual.Advance(defaultIdle)
	require.Equal(t, upstream.OK, send())
	require.Equal(t, 2, u.Counts().Accepted)

	p := client.pool(upstream.ID(u.Address()))
	manual.Advance(defaultIdle)
	p.reap()
	_, idle := p.size()
	require.Zero(t, idle)
}

func TestStatus(t *testing.T) {
	u := replica(t)
	id := upstream.ID(u.Address())
	client := New(clock.Clock{})
	status, err := client.Status(t.Context(), id)
	require.NoError(t, err)
	require.Equal(t, u.Boot(), status.Boot())
	require.Equal(t, 3, status.Connections())
	require.Equal(t, 2, status.Slots())
	require.Len(t, status.Holdings(), 1)
	u.SetFaults(upstreams.Faults{Down: true})
	_, err = client.Status(t.Context(), id)
	require.True(t, errors.Is(err, ErrStatus))
	require.False(t, errors.Is(err, ErrBusy))
}

// TestStatusYields guards against a status call that keeps the only connection
// from an exchange, and against one that takes the last free one.
func TestStatusYields(t *testing.T) {
	arrived := make(chan struct{}, 1)
	hold := make(chan struct{})
	s := start(t, func(c net.Conn, r *http.Request, n int) {
		switch {
		case r.Method == http.MethodGet:
			arrived <- struct{}{} // and never replies
		case r.Header.Get("Lovagegap-Request") == "hold":
			arrived <- struct{}{}
			<-hold
			answer(c, r, n)
		default:
			answer(c, r, n)
		}
	})
	client := New(clock.Clock{})
	failed := make(chan error, 1)
	go func() {
		_, err := client.Status(t.Context(), s.id())
		failed <- err
	}()
	<-arrived
	require.Equal(t, upstream.OK, kind(client, newExchange(s.id(), "q1/0", ample)))
	require.True(t, errors.Is(<-failed, ErrBusy))

	client.SetLimit(s.id(), 2)
	done := make(chan upstream.Outcome, 1)
	go func() { done <- kind(client, newExchange(s.id(), "hold", ample)) }()
	<-arrived
	_, err := client.Status(t.Context(), s.id())
	require.True(t, errors.Is(err, ErrBusy))
	close(hold)
	require.Equal(t, upstream.OK, <-done)
}
