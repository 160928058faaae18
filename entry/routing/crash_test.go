package routing

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/replica"
)

const poisonTarget = "/poison"

// startCrashableReplicas starts replicas that end the connection of each request for
// poisonTarget, and serves requests until connections to all of them are kept. It
// returns the number of such requests that have run.
func startCrashableReplicas(l *loggedEngine, count int) *atomic.Int32 {
	var crashes, warm atomic.Int32
	for i := range count {
		var first atomic.Bool
		l.startReplica("s0", fmt.Sprint("i-", i), func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == poisonTarget {
				crashes.Add(1)
				closeConnection(w, r)
				return
			}
			if !first.Swap(true) {
				warm.Add(1)
			}
			replyGood(w, r)
		})
	}
	for round := 0; int(warm.Load()) < count; round++ {
		serveTogether(l, 2*count, fmt.Sprint("warm-", round))
	}
	return &crashes
}

// serveTogether serves requests at the same time, so that they spread over all replicas.
func serveTogether(l *loggedEngine, count int, name string) {
	var requests sync.WaitGroup
	for i := range count {
		requests.Go(func() {
			assert.Equal(l.t, http.StatusOK, l.serve(l.t.Context(), fmt.Sprint(name, "-", i)).Status())
		})
	}
	requests.Wait()
}

// Guards against a request on an idempotent route that crashes replica after replica and
// is never quarantined, because it goes over kept connections: the end of one of them
// passes for that of an idle one.
func TestCrashOnKeptConnectionIsEvidence(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
	l.configure(singleRoute(true))
	crashes := startCrashableReplicas(l, 6)
	answer := l.serveTarget(t.Context(), "p1", poisonTarget)
	assert.Equal(t, http.StatusBadGateway, answer.Status(), answer.Reason())
	assert.EqualValues(t, 2, crashes.Load(), "one attempt and its retry")
	for i := range 3 {
		answer = l.serveTarget(t.Context(), fmt.Sprint("p2-", i), poisonTarget)
		assert.Equal(t, http.StatusServiceUnavailable, answer.Status(), answer.Reason())
	}
	assert.EqualValues(t, 2, crashes.Load(), "a quarantined request reaches no replica")
	assert.Equal(t, http.StatusOK, l.serve(t.Context(), "other").Status())
}

// Guards against a harmless request that is quarantined because replicas close kept
// connections as it is sent: the retry goes over a new connection and is answered.
func TestClosedIdleConnectionsAreNoCrashes(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
	l.configure(singleRoute(true))
	const replicas = 4
	var closing atomic.Bool
	var closed atomic.Int32
	for i := range replicas {
		var served sync.Map // addresses of the connections that have carried a request
		l.startReplica("s0", fmt.Sprint("i-", i), func(w http.ResponseWriter, r *http.Request) {
			if _, reused := served.LoadOrStore(r.RemoteAddr, true); reused && closing.Load() {
				closed.Add(1)
				closeConnection(w, r)
				return
			}
			replyGood(w, r)
		})
	}
	serveTogether(l, 8*replicas, "warm")
	closing.Store(true)
	for i := range 8 * replicas {
		answer := l.serve(t.Context(), fmt.Sprint("later-", i))
		require.Equal(t, http.StatusOK, answer.Status(), answer.Reason())
	}
	assert.Positive(t, closed.Load())
	assert.Nil(t, l.findLine("request quarantined"))
}
