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

// gate is a scripted upstream that replies to requests called "hold" once the
// test opens it.
type gate struct {
	*script
	client  *Client
	arrived chan struct{}
	open    chan struct{}
	done    chan upstream.Outcome
}

func newGate(t *testing.T, limit int) *gate {
	g := &gate{client: New(clock.Clock{}), arrived: make(chan struct{}, 4), open: make(chan struct{}), done: make(chan upstream.Outcome, 4)}
	g.script = start(t, func(c net.Conn, r *http.Request, n int) {
		switch r.Header.Get("Lovagegap-Request") {
		case "silent":
			return
		case "hold":
			g.arrived <- struct{}{}
			<-g.open
		}
		answer(c, r, n)
	})
	g.client.SetLimit(g.id(), limit)
	return g
}

// hold starts n exchanges and returns once all have reached the upstream.
func (g *gate) hold(n int) {
	for range n {
		go func() { g.done <- kind(g.client, newExchange(g.id(), "hold", ample)) }()
		<-g.arrived
	}
}

func (g *gate) release(t *testing.T, n int) {
	close(g.open)
	for range n {
		require.Equal(t, upstream.OK, <-g.done)
	}
}

// TestGrace guards against a new connection that reaches the upstream before
// the end of the one that it replaces.
func TestGrace(t *testing.T) {
	s := start(t, changed("Lovagegap-Boot", "Connection: close\r\nLovagegap-Boot"))
	client := New(clock.Clock{})
	client.grace = time.Hour
	require.Equal(t, upstream.OK, kind(client, newExchange(s.id(), "q1/0", ample)))
	open, idle := client.Connections(s.id())
	require.Equal(t, []int{1, 0}, []int{open, idle})
	require.Equal(t, upstream.NotConnected, kind(client, newExchange(s.id(), "q2/0", brief)))
	_, connections := s.seen()
	require.Equal(t, 1, connections)
}

// TestFreshWaits guards against a used connection that is handed to an
// exchange which waits for a fresh one.
func TestFreshWaits(t *testing.T) {
	g := newGate(t, 1)
	g.hold(1)
	fresh := newExchange(g.id(), "q1/1", ample)
	fresh.fresh = true
	done := make(chan upstream.Outcome, 1)
	go func() { done <- kind(g.client, fresh) }()
	p := g.client.pool(g.id())
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.waiting) == 1
	}, 5*time.Second, time.Millisecond)
	g.release(t, 1)
	require.Equal(t, upstream.OK, <-done)
	_, connections := g.seen()
	require.Equal(t, 2, connections)
}

// TestTimeoutSuspectsIdle guards against a second exchange that waits on an
// idle connection of a pair whose path has gone silent.
func TestTimeoutSuspectsIdle(t *testing.T) {
	g := newGate(t, 3)
	g.hold(3)
	g.release(t, 3)
	_, idle := g.client.Connections(g.id())
	require.Equal(t, 3, idle)
	require.Equal(t, upstream.Timeout, kind(g.client, newExchange(g.id(), "silent", brief)))
	_, idle = g.client.Connections(g.id())
	require.Zero(t, idle)
}

// TestLoweredLimit guards against connections above a limit that was lowered
// while they were in use.
func TestLoweredLimit(t *testing.T) {
	g := newGate(t, 3)
	g.hold(3)
	g.client.SetLimit(g.id(), 1)
	g.release(t, 3)
	require.Eventually(t, func() bool { open, _ := g.client.Connections(g.id()); return open == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, upstream.OK, kind(g.client, newExchange(g.id(), "q1/0", ample)))
	_, connections := g.seen()
	require.Equal(t, 3, connections)
}
