package routing

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quarantine"
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
	time.Sleep((outageSpread + 10*clock.Millisecond).Duration())
	answer = l.serveTarget(t.Context(), "p2", poisonTarget)
	assert.Equal(t, http.StatusBadGateway, answer.Status(), answer.Reason())
	assert.EqualValues(t, 3, crashes.Load(), "the third crash confirms and is not retried")
	for i := range 3 {
		answer = l.serveTarget(t.Context(), fmt.Sprint("p3-", i), poisonTarget)
		assert.Equal(t, http.StatusServiceUnavailable, answer.Status(), answer.Reason())
	}
	assert.EqualValues(t, 3, crashes.Load(), "a quarantined request reaches no replica")
	assert.Equal(t, http.StatusOK, l.serve(t.Context(), "other").Status())
}

// Guards against a harmless request that is quarantined because replicas close kept
// connections as it is sent: the retry goes over a new connection and is answered. If the
// process stands still, a hedge may come before the retry. It goes over a kept connection too
// and uses up the attempts of the route.
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
	retried := 0
	for i := range 8 * replicas {
		id := fmt.Sprint("later-", i)
		answer := l.serve(t.Context(), id)
		var ends []string
		for _, exchange := range l.exchangesOf(id) {
			ends = append(ends, fmt.Sprint(exchange["purpose"], " ", exchange["result"]))
		}
		if slices.Contains(ends, "retry ok") {
			retried++
		}
		if answer.Status() != http.StatusOK {
			require.Equal(t, []string{"first closed", "hedge closed"}, ends, answer.Reason())
		}
	}
	assert.Positive(t, closed.Load())
	assert.Positive(t, retried)
	assert.Nil(t, l.findLine("request quarantined"))
}

// Guards against a request that crashes the only replica of a service again and again: the
// replica restarts under the same ID, and its crashes pass for one.
func TestCrashAfterRestartUnderSameIDConfirms(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
	l.configure(singleRoute(false))
	var crashes atomic.Int32
	spec := l.startReplica("s0", "i-0", func(w http.ResponseWriter, r *http.Request) {
		crashes.Add(1)
		closeConnection(w, r)
	})
	for run := range 2 {
		spec.Incarnation = 1_800_000_000_000 + int64(run)
		l.listReplica(spec)
		answer := l.serveTarget(t.Context(), fmt.Sprint("p-", run), poisonTarget)
		assert.Equal(t, http.StatusBadGateway, answer.Status(), answer.Reason())
		time.Sleep((outageSpread + 10*clock.Millisecond).Duration())
	}
	spec.Incarnation++
	l.listReplica(spec)
	answer := l.serveTarget(t.Context(), "again", poisonTarget)
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status(), answer.Reason())
	assert.EqualValues(t, 2, crashes.Load())
}

// Guards against a harmless request that is quarantined because two connections to one run
// of a replica were lost, as by a reset of connections: this is no second crash.
func TestSecondLossOfOneRunDoesNotConfirm(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
	l.configure(singleRoute(false))
	spec := l.startReplica("s0", "i-0", closeConnection)
	spec.Incarnation = 1_800_000_000_000
	l.listReplica(spec)
	for n := range 3 {
		answer := l.serveTarget(t.Context(), fmt.Sprint("p-", n), poisonTarget)
		assert.Equal(t, http.StatusBadGateway, answer.Status(), answer.Reason())
		time.Sleep((outageSpread + 10*clock.Millisecond).Duration())
	}
}

// Guards against crash reports that use up their limit because a delegate names the same
// lost replica in each of its reports on one request.
func TestRepeatedReportOfLostReplicaCountsOnce(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
	reports := make(map[string]int) // by replica; guarded by the lock of the engine
	l.deps.PublishCrash = func(_ quarantine.Fingerprint, id string) { reports[id]++ }
	l.deps.Delegates = scriptedDelegates(func(report func(Part)) Part {
		for range maxCrashReportsPerSecond {
			report(Part{LostReplica: "i-0"})
		}
		return Part{LostReplica: "i-0", Failed: []string{"s0", "s1", "s2"}}
	})
	l.configure(shardedRoute(3, 1))
	for _, service := range []string{"s0", "s1", "s2"} {
		for _, dataCentre := range []string{"y", "z"} {
			spec := l.startReplica(service, service+"-"+dataCentre, closeConnection)
			spec.DataCentre = dataCentre
			l.listReplica(spec)
		}
	}
	answer := l.serveTarget(t.Context(), "r", poisonTarget)
	assert.NotEqual(t, http.StatusOK, answer.Status())
	assert.Contains(t, reports, "i-0")
	for id, count := range reports {
		assert.Equal(t, 1, count, id)
	}
}

// scriptedDelegates is a port of delegation to the data centre y. The function sends the
// reports on a request and returns the last one.
type scriptedDelegates func(report func(Part)) Part

func (scriptedDelegates) DataCentres() []string { return []string{"y"} }

func (d scriptedDelegates) Gather(_ context.Context, _ string, _ GatherRequest, report func(Part)) Part {
	return d(report)
}

// Guards against a crash that a delegating daemon does not learn of, since another daemon
// had sent the request to the replica.
func TestDelegateReportsLostReplica(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.configure(shardedRoute(1, 0.5))
	l.startReplica("s0", "i-0", closeConnection)
	part := l.Gather(t.Context(), GatherRequest{
		Request: Request{ID: "r", Method: http.MethodGet, Target: poisonTarget, Host: "h", Header: http.Header{"Id": {"r"}}, Deadline: 1000},
		Route:   "search", Services: []string{"s0"}, Objective: 500, ReportIn: 1000, TopK: 1,
	}, func(Part) {})
	assert.Equal(t, "i-0", part.LostReplica)
	assert.Equal(t, []string{"s0"}, part.Failed)
}

// engineFleet holds engines that report crashes to each other.
type engineFleet []*loggedEngine

func newEngineFleet(t *testing.T, count int) engineFleet {
	var fleet engineFleet
	for i := range count {
		l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
		l.configure(singleRoute(false))
		l.deps.PublishCrash = func(f quarantine.Fingerprint, id string) {
			go fleet.others(i, func(peer *loggedEngine) { peer.ReceiveCrash(f, id) })
		}
		l.deps.PublishQuarantine = func(f quarantine.Fingerprint, left clock.Millis) {
			go fleet.others(i, func(peer *loggedEngine) { peer.ReceiveQuarantine(f, left) })
		}
		fleet = append(fleet, l)
	}
	return fleet
}

// others calls f with all engines but the one with the given index, if any has it.
func (fleet engineFleet) others(index int, f func(peer *loggedEngine)) {
	for i, peer := range fleet {
		if i != index {
			f(peer)
		}
	}
}

// startReplica starts a replica that all engines use.
func (fleet engineFleet) startReplica(id string, reply replyFunc) {
	spec := fleet[0].startReplica("s0", id, reply)
	fleet.others(0, func(peer *loggedEngine) { peer.listReplica(spec) })
}

// Guards against a harmless request that all callers send alike and that is quarantined
// everywhere after some replicas have crashed at once: each daemon has it in flight there
// and reports the loss to the others, which take a report for a crash of a later attempt.
func TestOutageOfReplicasIsNoEvidence(t *testing.T) {
	fleet := newEngineFleet(t, 3)
	const replicas, crashing = 9, 6
	crash, finish := make(chan struct{}), make(chan struct{})
	var running atomic.Int32
	var over atomic.Bool
	for i := range replicas {
		fleet.startReplica(fmt.Sprint("i-", i), func(w http.ResponseWriter, r *http.Request) {
			running.Add(1)
			if i >= crashing {
				<-finish
				replyGood(w, r)
				return
			}
			<-crash
			if over.Load() {
				replyGood(w, r)
				return
			}
			closeConnection(w, r)
		})
	}
	var inFlight sync.WaitGroup
	for n := range len(fleet) * replicas {
		inFlight.Go(func() { fleet[n%len(fleet)].serveTarget(t.Context(), fmt.Sprint("popular-", n), "/popular") })
	}
	require.Eventually(t, func() bool { return int(running.Load()) == len(fleet)*replicas }, time.Second, time.Millisecond)
	close(crash)
	time.Sleep(100 * time.Millisecond) // for the reports, before an answer clears the request
	over.Store(true)
	close(finish)
	inFlight.Wait()
	for i, l := range fleet {
		assert.Nil(t, l.findLine("request quarantined"))
		answer := l.serveTarget(t.Context(), fmt.Sprint("later-", i), "/popular")
		assert.Equal(t, http.StatusOK, answer.Status(), answer.Reason())
	}
}

// Guards against a request that is not idempotent and crashes a replica at each daemon,
// since no daemon sees a second crash: one that knows of the first from a peer
// quarantines the request everywhere.
func TestCrashAtAnotherDaemonConfirms(t *testing.T) {
	fleet := newEngineFleet(t, 3)
	var crashes atomic.Int32
	for i := range 6 {
		id := fmt.Sprint("i-", i)
		fleet.startReplica(id, func(w http.ResponseWriter, r *http.Request) {
			crashes.Add(1)
			fleet.others(-1, func(l *loggedEngine) { l.ApplyUpdates([]StoreUpdate{{RemovedReplica: id}}) })
			closeConnection(w, r)
		})
	}
	for i, l := range fleet {
		l.serveTarget(t.Context(), fmt.Sprint("p-", i), poisonTarget)
		time.Sleep((outageSpread + 100*clock.Millisecond).Duration())
	}
	assert.EqualValues(t, 2, crashes.Load())
	for _, l := range fleet {
		answer := l.serveTarget(t.Context(), "again", poisonTarget)
		assert.Equal(t, http.StatusServiceUnavailable, answer.Status(), answer.Reason())
	}
}
