package upstreams

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// holdingUpstream is a scripted upstream that replies to requests called "hold" once the
// test opens it.
type holdingUpstream struct {
	*scriptedUpstream
	client  *Client
	arrived chan struct{}
	unblock chan struct{}
	done    chan upstream.Outcome
}

func newHoldingUpstream(t *testing.T, limit int) *holdingUpstream {
	g := &holdingUpstream{client: New(clock.Clock{}), arrived: make(chan struct{}, 4), unblock: make(chan struct{}), done: make(chan upstream.Outcome, 4)}
	g.scriptedUpstream = startScripted(t, func(c net.Conn, r *http.Request, n int) {
		switch r.Header.Get("Lovagegap-Request") {
		case "silent":
			return
		case "hold":
			g.arrived <- struct{}{}
			<-g.unblock
		}
		replyValid(c, r, n)
	})
	g.client.SetLimit(g.id(), limit)
	return g
}

// hold starts n exchanges and returns once all have reached the upstream.
func (g *holdingUpstream) hold(n int) {
	for range n {
		go func() { g.done <- exchangeOutcome(g.client, newExchange(g.id(), "hold", longDeadline)) }()
		<-g.arrived
	}
}

func (g *holdingUpstream) release(t *testing.T, n int) {
	close(g.unblock)
	for range n {
		require.Equal(t, upstream.OK, <-g.done)
	}
}

// TestCloseGraceDelaysDial guards against a new connection that reaches the upstream before
// the end of the one that it replaces.
func TestCloseGraceDelaysDial(t *testing.T) {
	s := startScripted(t, replyWithChange("Lovagegap-Boot", "Connection: close\r\nLovagegap-Boot"))
	client := New(clock.Clock{})
	client.closeGrace = time.Hour
	require.Equal(t, upstream.OK, exchangeOutcome(client, newExchange(s.id(), "q1/0", longDeadline)))
	open, idle := client.Connections(s.id())
	require.Equal(t, []int{1, 0}, []int{open, idle})
	require.Equal(t, upstream.NotConnected, exchangeOutcome(client, newExchange(s.id(), "q2/0", shortDeadline)))
	_, connections := s.counts()
	require.Equal(t, 1, connections)
}

// TestFreshWaiterGetsNewConnection guards against a used connection that is handed to an
// exchange which waits for a fresh one.
func TestFreshWaiterGetsNewConnection(t *testing.T) {
	g := newHoldingUpstream(t, 1)
	g.hold(1)
	fresh := newExchange(g.id(), "q1/1", longDeadline)
	fresh.fresh = true
	done := make(chan upstream.Outcome, 1)
	go func() { done <- exchangeOutcome(g.client, fresh) }()
	p := g.client.pool(g.id())
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.waiters) == 1
	}, 5*time.Second, time.Millisecond)
	g.release(t, 1)
	require.Equal(t, upstream.OK, <-done)
	_, connections := g.counts()
	require.Equal(t, 2, connections)
}

// TestTimeoutClosesIdleConnections guards against a second exchange that waits on an
// idle connection of a pair whose path has gone silent.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	g := newHoldingUpstream(t, 3)
	g.hold(3)
	g.release(t, 3)
	_, idle := g.client.Connections(g.id())
	require.Equal(t, 3, idle)
	require.Equal(t, upstream.Timeout, exchangeOutcome(g.client, newExchange(g.id(), "silent", shortDeadline)))
	_, idle = g.client.Connections(g.id())
	require.Zero(t, idle)
}

// TestLoweredLimitClosesConnections guards against connections above a limit that was lowered
// while they were in use.
func TestLoweredLimitClosesConnections(t *testing.T) {
	g := newHoldingUpstream(t, 3)
	g.hold(3)
	g.client.SetLimit(g.id(), 1)
	g.release(t, 3)
	require.Eventually(t, func() bool { open, _ := g.client.Connections(g.id()); return open == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, upstream.OK, exchangeOutcome(g.client, newExchange(g.id(), "q1/0", longDeadline)))
	_, connections := g.counts()
	require.Equal(t, 3, connections)
}
