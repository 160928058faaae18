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

// connectionCounter counts the connections that an upstream has open, as it sees them.
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

func (c *connectionCounter) counts() (most, opened int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxOpen, c.opened
}

// startCountedUpstream serves an upstream that answers its status, and no query before
// its caller goes away, which it notices only after lag.
func startCountedUpstream(t *testing.T, closeLag time.Duration) (upstream.ID, *connectionCounter) {
	t.Helper()
	c := &connectionCounter{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"boot":"b1"}`)
			return
		}
		// The server watches for the end of a connection once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		time.Sleep(closeLag)
	}))
	server.Config.ConnState = c.connStateChanged
	server.Start()
	t.Cleanup(server.Close)
	return upstream.ID(server.Listener.Addr().String()), c
}

// runCancelledExchange runs an exchange that is cancelled while the upstream works on it.
func runCancelledExchange(t *testing.T, client *Client, id upstream.ID, after time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	timer := time.AfterFunc(after, cancel)
	defer timer.Stop()
	e := newExchange(id, "q/0", longDeadline)
	result, _ := client.runExchange(ctx, &e)
	require.Equal(t, upstream.Cancelled, result.Outcome())
}

// Guards against a cap that is exceeded under cancellations, because the
// upstream still counts connections that the daemon has closed.
func TestCancellationsKeepTheLimit(t *testing.T) {
	const limit = 3
	id, seen := startCountedUpstream(t, 20*time.Millisecond)
	client := New(clock.Clock{})
	// The server counts a connection as closed shortly after its end; the grace
	// is long enough for a busy machine.
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
	most, opened := seen.counts()
	require.LessOrEqual(t, most, limit)
	require.Greater(t, opened, limit)
}

// Guards against an exchange that pays for a new connection because a hedge
// was cancelled before it.
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
