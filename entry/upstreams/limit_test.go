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

// holdingUpstream is a scripted upstream that replies to requests with the id
// "hold" after release, and never to those with the id "silent".
type holdingUpstream struct {
	*scriptedUpstream
	client  *Client
	arrived chan struct{}
	unblock chan struct{}
	done    chan upstream.Outcome
}

func newHoldingUpstream(t *testing.T, limit int) *holdingUpstream {
	h := &holdingUpstream{
		client: New(clock.Clock{}), arrived: make(chan struct{}, 4), unblock: make(chan struct{}),
		done: make(chan upstream.Outcome, 4),
	}
	h.scriptedUpstream = startScripted(t, func(c net.Conn, r *http.Request, n int) {
		switch r.Header.Get("Lovagegap-Request") {
		case "silent":
			return
		case "hold":
			h.arrived <- struct{}{}
			<-h.unblock
		}
		replyValid(c, r, n)
	})
	h.client.SetLimit(h.id(), limit)
	return h
}

// hold starts n exchanges and returns when all have reached the upstream.
func (h *holdingUpstream) hold(n int) {
	for range n {
		go func() { h.done <- exchangeOutcome(h.client, newExchange(h.id(), "hold", longDeadline)) }()
		<-h.arrived
	}
}

// release lets the upstream reply and waits for the n exchanges.
func (h *holdingUpstream) release(t *testing.T, n int) {
	close(h.unblock)
	for range n {
		require.Equal(t, upstream.OK, <-h.done)
	}
}

// TestCloseGraceDelaysDial guards against a new connection that reaches the
// upstream before the close of the connection that it replaces.
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

// TestFreshWaiterGetsNewConnection guards against a used connection that is handed
// to a waiting exchange which requires a new one.
func TestFreshWaiterGetsNewConnection(t *testing.T) {
	h := newHoldingUpstream(t, 1)
	h.hold(1)
	fresh := newExchange(h.id(), "q1/1", longDeadline)
	fresh.fresh = true
	done := make(chan upstream.Outcome, 1)
	go func() { done <- exchangeOutcome(h.client, fresh) }()
	p := h.client.pool(h.id())
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.waiters) == 1
	}, 5*time.Second, time.Millisecond)
	h.release(t, 1)
	require.Equal(t, upstream.OK, <-done)
	_, connections := h.counts()
	require.Equal(t, 2, connections)
}

// TestTimeoutClosesIdleConnections guards against exchanges that time out one after
// the other on idle connections whose network path has failed silently.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	h := newHoldingUpstream(t, 3)
	h.hold(3)
	h.release(t, 3)
	_, idle := h.client.Connections(h.id())
	require.Equal(t, 3, idle)
	require.Equal(t, upstream.Timeout, exchangeOutcome(h.client, newExchange(h.id(), "silent", shortDeadline)))
	_, idle = h.client.Connections(h.id())
	require.Zero(t, idle)
}

// TestLoweredLimitClosesConnections guards against connections above a limit that
// was lowered while they were in use.
func TestLoweredLimitClosesConnections(t *testing.T) {
	h := newHoldingUpstream(t, 3)
	h.hold(3)
	h.client.SetLimit(h.id(), 1)
	h.release(t, 3)
	require.Eventually(t, func() bool { open, _ := h.client.Connections(h.id()); return open == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, upstream.OK, exchangeOutcome(h.client, newExchange(h.id(), "q1/0", longDeadline)))
	_, connections := h.counts()
	require.Equal(t, 3, connections)
}
