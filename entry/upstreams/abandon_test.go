package upstreams

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// connectionCounter counts the connections of a server in the state that the server
// sees.
type connectionCounter struct {
	mu      sync.Mutex
	open    int
	maxOpen int
	opened  int
}

func (c *connectionCounter) connStateChanged(_ net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.opened++
		c.maxOpen = max(c.maxOpen, c.open)
	case http.StateClosed:
		c.open--
	}
}

func (c *connectionCounter) counts() (maxOpen, opened int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxOpen, c.opened
}

// startCountedUpstream starts an upstream that answers status calls at once. It
// never answers a query, and closes the connection closeLag after it notices that
// the query was cancelled.
func startCountedUpstream(t *testing.T, closeLag time.Duration) (upstream.ID, *connectionCounter) {
	t.Helper()
	c := &connectionCounter{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"boot":"b1"}`)
			return
		}
		// The server detects a closed connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		time.Sleep(closeLag)
	}))
	server.Config.ConnState = c.connStateChanged
	server.Start()
	t.Cleanup(server.Close)
	return upstream.ID(server.Listener.Addr().String()), c
}

// runCancelledExchange runs an exchange and cancels it after the given time, while
// the upstream works on it.
func runCancelledExchange(t *testing.T, client *Client, id upstream.ID, after time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	timer := time.AfterFunc(after, cancel)
	defer timer.Stop()
	e := newExchange(id, "q/0", longDeadline)
	result, _ := client.runExchange(ctx, &e)
	require.Equal(t, upstream.Cancelled, result.Outcome())
}

// TestCancellationsKeepTheLimit guards against more connections than the limit
// after cancellations: the upstream still counts connections that the daemon has
// closed.
func TestCancellationsKeepTheLimit(t *testing.T) {
	const limit = 3
	id, seen := startCountedUpstream(t, 20*time.Millisecond)
	client := New(clock.Clock{})
	// The server counts a connection as closed shortly after it was closed. The
	// close grace suits a busy machine.
	client.closeGrace = 50 * time.Millisecond
	defer client.Close()
	client.SetLimit(id, limit)
	var wait sync.WaitGroup
	for range limit {
		wait.Go(func() {
			for range 20 {
				runCancelledExchange(t, client, id, 5*time.Millisecond)
			}
		})
	}
	wait.Wait()
	maxOpen, opened := seen.counts()
	require.LessOrEqual(t, maxOpen, limit)
	require.Greater(t, opened, limit)
}

// TestAbandonedConnectionIsReplaced guards against an exchange that waits for a
// dial because the exchange before, such as a hedge, was cancelled.
func TestAbandonedConnectionIsReplaced(t *testing.T) {
	id, _ := startCountedUpstream(t, 0)
	client := New(clock.Clock{})
	defer client.Close()
	client.SetLimit(id, 2)
	runCancelledExchange(t, client, id, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		open, idle := client.Connections(id)
		return open == 1 && idle == 1
	}, 10*time.Second, time.Millisecond)
}
