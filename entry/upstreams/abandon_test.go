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

// counter counts the connections that an upstream has open, as it sees them.
type counter struct {
	mu     sync.Mutex
	open   int
	most   int
	opened int
}

func (c *counter) note(_ net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open++
		c.opened++
		c.most = max(c.most, c.open)
	case http.StateClosed:
		c.open--
	}
}

func (c *counter) counts() (most, opened int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.most, c.opened
}

// startCounted serves an upstream that answers its status, and no query before
// its caller goes away, which it notices only after lag.
func startCounted(t *testing.T, lag time.Duration) (upstream.ID, *counter) {
	t.Helper()
	c := &counter{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"boot":"b1"}`)
			return
		}
		// The server watches for the end of a connection once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		time.Sleep(lag)
	}))
	server.Config.ConnState = c.note
	server.Start()
	t.Cleanup(server.Close)
	return upstream.ID(server.Listener.Addr().String()), c
}

// cancelled runs an exchange that is cancelled while the upstream works on it.
func cancelled(t *testing.T, client *Client, id upstream.ID, after time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	timer := time.AfterFunc(after, cancel)
	defer timer.Stop()
	e := newExchange(id, "q/0", ample)
	result, _ := client.carry(ctx, &e)
	require.Equal(t, upstream.Cancelled, result.Outcome())
}

// Guards against a cap that is exceeded under cancellations, because the
// upstream still counts connections that the daemon has closed.
func TestCancellationsKeepTheCap(t *testing.T) {
	const limit = 3
	id, seen := startCounted(t, 20*time.Millisecond)
	client := New(clock.Clock{})
	// The server counts a connection as closed shortly after its end; the grace
	// is long enough for a busy machine.
	client.grace = 50 * time.Millisecond
	defer client.Close()
	client.SetLimit(id, limit)
	var wait sync.WaitGroup
	for range limit {
		wait.Go(func() {
			for range 20 {
				cancelled(t, client, id, 5*time.Millisecond)
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
	id, _ := startCounted(t, 0)
	client := New(clock.Clock{})
	defer client.Close()
	client.SetLimit(id, 2)
	cancelled(t, client, id, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		open, idle := client.Connections(id)
		return open == 1 && idle == 1
	}, 10*time.Second, time.Millisecond)
}
