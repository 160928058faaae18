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

// startStandin starts a stand-in upstream that accepts at most three connections.
func startStandin(t *testing.T) *upstreams.Upstream {
	fleet, err := upstreams.Start(deployment.Deployment{
		User: "u", DataCentres: []string{"ikeja"}, UpstreamIP: "127.0.0.1",
		Services: []deployment.Service{{Name: "s", ShardCount: 1, ReplicasPerShard: 1, Slots: 2, MaxConnections: 3}},
	}, clock.Clock{})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	return fleet.All()[0]
}

// newStandinExchange returns an exchange with the shard and version that the
// stand-in holds.
func newStandinExchange(u *upstreams.Upstream, deadline clock.Millis) Exchange {
	e := newExchange(upstream.ID(u.Address()), "q1/0", deadline)
	e.shard, e.version = 0, 1
	return e
}

// TestLimitIsNotExceeded guards against more connections than the limit, and against
// permits that are lost, while exchanges are cancelled and connections are replaced: the upstream resets the
// connections above its own limit. The close grace suits a busy machine.
func TestLimitIsNotExceeded(t *testing.T) {
	u := startStandin(t)
	client := New(clock.Clock{})
	client.closeGrace = 100 * time.Millisecond
	client.SetLimit(upstream.ID(u.Address()), 3)
	var wait sync.WaitGroup
	for worker := range 12 {
		wait.Go(func() {
			for i := range 10 {
				ctx, cancel := context.WithCancel(context.Background())
				if (worker+i)%10 == 0 {
					cancel()
				}
				e := newStandinExchange(u, longDeadline)
				e.fresh = (worker+i)%7 == 0
				result, _ := client.runExchange(ctx, &e)
				if ctx.Err() == nil && result.Outcome() != upstream.OK {
					t.Error(result.Outcome())
				}
				cancel()
			}
		})
	}
	wait.Wait()
	// No permit is lost: after their close grace all three serve at a time.
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range 3 {
		c, err := client.pool(upstream.ID(u.Address())).acquire(ctx, requirements{})
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
	}
	require.Eventually(t, func() bool { return u.Counts().MaxConnections >= 3 }, 5*time.Second, time.Millisecond)
	require.Equal(t, 3, u.Counts().MaxConnections)
	require.Zero(t, u.Counts().Refused)
}

// TestSilentConnectionIsNotReused guards against an exchange on the connection on
// which the exchange before timed out, because its network path failed silently.
func TestSilentConnectionIsNotReused(t *testing.T) {
	u := startStandin(t)
	client := New(clock.Clock{})
	client.SetLimit(upstream.ID(u.Address()), 3)
	require.Equal(t, upstream.OK, exchangeOutcome(client, newStandinExchange(u, longDeadline)))
	u.Silence()
	require.Equal(t, upstream.Timeout, exchangeOutcome(client, newStandinExchange(u, shortDeadline)))
	require.Equal(t, upstream.OK, exchangeOutcome(client, newStandinExchange(u, longDeadline)))
}

// TestLimitChanges guards against exchanges at a limit of zero or after Close, and
// against a pool that stays in memory after its upstream was removed.
func TestLimitChanges(t *testing.T) {
	u := startStandin(t)
	id := upstream.ID(u.Address())
	client := New(clock.Clock{})
	client.SetLimit(id, 3)
	require.Equal(t, upstream.OK, exchangeOutcome(client, newStandinExchange(u, longDeadline)))

	client.SetLimit(id, 0)
	require.Equal(t, upstream.NotConnected, exchangeOutcome(client, newStandinExchange(u, longDeadline)))
	require.Eventually(t, func() bool { open, _ := client.Connections(id); return open == 0 }, 5*time.Second, time.Millisecond)
	client.SetLimit(id, 1)
	require.Equal(t, upstream.OK, exchangeOutcome(client, newStandinExchange(u, longDeadline)))

	client.Remove(id)
	require.Eventually(t, func() bool {
		client.mu.RLock()
		defer client.mu.RUnlock()
		return len(client.pools) == 0
	}, 5*time.Second, time.Millisecond)
	client.Close()
	require.Equal(t, upstream.NotConnected, exchangeOutcome(client, newStandinExchange(u, longDeadline)))
}

// TestWaitingExchangeEnds guards against an exchange that waits for a connection
// beyond its deadline, its cancellation or a limit of zero.
func TestWaitingExchangeEnds(t *testing.T) {
	hold := make(chan struct{})
	arrived := make(chan struct{}, 1)
	s := startScripted(t, func(c net.Conn, r *http.Request, n int) {
		arrived <- struct{}{}
		<-hold
		replyValid(c, r, n)
	})
	client := New(clock.Clock{})
	done := make(chan upstream.Outcome, 3)
	go func() { done <- exchangeOutcome(client, newExchange(s.id(), "q1/0", longDeadline)) }()
	<-arrived
	require.Equal(t, upstream.NotConnected, exchangeOutcome(client, newExchange(s.id(), "q2/0", shortDeadline)))

	ctx, cancel := context.WithCancel(t.Context())
	p := client.pool(s.id())
	queued := func(n int) func() bool {
		return func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.waiters) == n
		}
	}
	go func() {
		require.Eventually(t, queued(1), 5*time.Second, time.Millisecond)
		cancel()
	}()
	e := newExchange(s.id(), "q3/0", longDeadline)
	result, _ := client.runExchange(ctx, &e)
	require.Equal(t, upstream.Cancelled, result.Outcome())

	waiting := make(chan upstream.Outcome, 1)
	go func() { waiting <- exchangeOutcome(client, newExchange(s.id(), "q4/0", longDeadline)) }()
	require.Eventually(t, queued(1), 5*time.Second, time.Millisecond)
	client.SetLimit(s.id(), 0)
	require.Equal(t, upstream.NotConnected, <-waiting)
	close(hold)
	require.Equal(t, upstream.OK, <-done, "a running exchange is not interrupted")
	requests, connections := s.counts()
	require.Equal(t, 1, requests)
	require.Equal(t, 1, connections)
}

// TestIdleTimeout guards against a connection that stays idle beyond the timeout of
// a middlebox and is lost silently, whether or not the pool is used again.
func TestIdleTimeout(t *testing.T) {
	var manual clock.Manual
	u := startStandin(t)
	client := New(manual.Clock())
	client.SetLimit(upstream.ID(u.Address()), 2)
	send := func() upstream.Outcome {
		e := newStandinExchange(u, 0)
		e.deadline = manual.Now() + longDeadline
		return exchangeOutcome(client, e)
	}
	require.Equal(t, upstream.OK, send())
	manual.Advance(defaultIdleTimeout - 1)
	require.Equal(t, upstream.OK, send())
	require.Equal(t, 1, u.Counts().Accepted)
	manual.Advance(defaultIdleTimeout)
	require.Equal(t, upstream.OK, send())
	require.Equal(t, 2, u.Counts().Accepted)

	p := client.pool(upstream.ID(u.Address()))
	manual.Advance(defaultIdleTimeout)
	p.reap()
	_, idle := p.size()
	require.Zero(t, idle)
}

// TestStatus guards against a status that is read wrongly, and against an
// unreachable upstream that is taken for one without a spare connection.
func TestStatus(t *testing.T) {
	u := startStandin(t)
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
	require.True(t, errors.Is(err, ErrStatusUnreadable))
	require.False(t, errors.Is(err, ErrNoSpareConnection))
}

// TestStatusYieldsToExchange guards against a status call that keeps the only
// connection from an exchange, or that takes the last free one of several.
func TestStatusYieldsToExchange(t *testing.T) {
	arrived := make(chan struct{}, 1)
	hold := make(chan struct{})
	s := startScripted(t, func(c net.Conn, r *http.Request, n int) {
		switch {
		case r.Method == http.MethodGet:
			arrived <- struct{}{} // and never replies
		case r.Header.Get("Lovagegap-Request") == "hold":
			arrived <- struct{}{}
			<-hold
			replyValid(c, r, n)
		default:
			replyValid(c, r, n)
		}
	})
	client := New(clock.Clock{})
	failed := make(chan error, 1)
	go func() {
		_, err := client.Status(t.Context(), s.id())
		failed <- err
	}()
	<-arrived
	require.Equal(t, upstream.OK, exchangeOutcome(client, newExchange(s.id(), "q1/0", longDeadline)))
	require.True(t, errors.Is(<-failed, ErrNoSpareConnection))

	client.SetLimit(s.id(), 2)
	done := make(chan upstream.Outcome, 1)
	go func() { done <- exchangeOutcome(client, newExchange(s.id(), "hold", longDeadline)) }()
	<-arrived
	_, err := client.Status(t.Context(), s.id())
	require.True(t, errors.Is(err, ErrNoSpareConnection))
	close(hold)
	require.Equal(t, upstream.OK, <-done)
}
