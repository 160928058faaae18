package daemon

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/entry/operators"
	"github.com/lovagegap/lovagegap/lovagegap-standin/upstreams"
)

// Guards against overload of upstreams that restart and are cold again under load, one
// alone and all of a data centre together (I3).
func TestColdFallbackUnderLoad(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	f.warmUp()
	l := f.startLoad(4, 2*time.Millisecond, checkAnswered, allDaemons...)
	f.waitFor(waitTimeout, "load runs", func() bool { return l.sent() > 1000 })
	alone := f.upstreams.All()[0:1]
	alone[0].Restart()
	f.waitFor(waitTimeout, "the upstream is warm again", func() bool {
		cold, _ := alone[0].Cold()
		return !cold
	})
	f.requireColdLimit(f.upstreams.All())
	lekki := f.upstreams.Select(upstreams.Selector{DataCentre: "lekki"})
	for _, u := range lekki {
		u.Restart()
	}
	f.waitFor(waitTimeout, "the data centre is warm again", func() bool {
		for _, u := range lekki {
			if cold, _ := u.Cold(); cold {
				return false
			}
		}
		return true
	})
	l.requireNoFailures(t)
	f.requireColdLimit(f.upstreams.All())
}

// checkAnswered returns an error unless the reply is an answer, complete or partial. An
// answer may be partial because a query in flight at a crash is retried only once.
func checkAnswered(status int, a answer, err error) error {
	if err == nil && status == http.StatusOK {
		return nil
	}
	return checkComplete(status, a, err)
}

// suspectedReason is the reason of the refusal of a further attempt for a query that was
// in flight at the crashes of two upstreams.
const suspectedReason = "request is suspected of crashing upstreams"

// onlySuspected reports whether every shard that the refused query lacks lost its
// connection and was then refused another attempt for suspectedReason.
func (a answer) onlySuspected() bool {
	if a.Answer == nil || len(a.Answer.Coverage.Missing) == 0 {
		return false
	}
	for _, shard := range a.Answer.Coverage.Missing {
		lost, refused := false, false
		for _, step := range a.Answer.Explain.Steps {
			if step.Shard == shard {
				lost = lost || step.Reason == "connection lost"
				refused = refused || (step.Event == "refusal" && step.Reason == suspectedReason)
			}
		}
		if !lost || !refused {
			return false
		}
	}
	return true
}

// waitWarm waits until all upstreams are warm for all daemons. At the start of the fleet
// every daemon treats every upstream as cold.
func (f *testFleet) waitWarm(l *queryLoad) {
	f.t.Helper()
	f.waitFor(waitTimeout, "all upstreams are warm for all daemons", func() bool {
		for n := range f.daemons {
			for _, u := range f.upstreamView(n) {
				if u.State != "serving" {
					return false
				}
			}
		}
		return l.sent() > 500
	})
}

// upstreamView returns the upstreams as daemon n sees them.
func (f *testFleet) upstreamView(n int) []operators.Upstream {
	var reply struct {
		Upstreams []operators.Upstream `json:"upstreams"`
	}
	_, _ = getJSON(f.daemons[n].configuration.operatorAddress, "/v1/upstreams", &reply)
	return reply.Upstreams
}

// warmUp runs load until all upstreams are warm.
func (f *testFleet) warmUp() {
	f.t.Helper()
	l := f.startLoad(2, 5*time.Millisecond, func(int, answer, error) error { return nil }, allDaemons...)
	f.waitWarm(l)
	l.stopAndWait()
}

// maxCrashes is the maximum number of crashes that requests with the same body cause
// when they are sent to one daemon after the other: one for each of the 4 shards of
// the first query plus one, and two for each further query that starts before the
// quarantine has reached its daemon.
const maxCrashes = 4 + 1 + 2*(daemonCount-1)

// Guards against a request that crashes one upstream after the other, and against
// quarantine of harmless requests that were in flight at the crashes.
func TestCrashingRequestIsBounded(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	f.warmUp()
	var burstOver atomic.Bool
	refused := atomic.Int64{}
	duringBurst := func(status int, a answer, err error) error {
		if err == nil && (status == http.StatusUnprocessableEntity || a.onlySuspected()) {
			// The query was in flight at the crashes of two upstreams, as the crashing
			// request was.
			refused.Add(1)
			return nil
		}
		return checkAnswered(status, a, err)
	}
	newCheck := func() func(int, answer, error) error {
		if burstOver.Load() {
			return checkAnswered
		}
		return duringBurst
	}
	const callersPerDaemon = 2
	l := f.startLoadWith(callersPerDaemon, 10*time.Millisecond, newCheck, allDaemons...)
	for _, u := range f.upstreams.All() {
		u.SetFaults(upstreams.Faults{CrashText: "poison"})
	}
	var statuses, progress []int
	for turn := range 12 {
		address := f.daemons[turn%daemonCount].configuration.callerAddress
		status, _, err := sendQuery(httpClient, address, service, `{"query": {"text": "poison"}}`)
		require.NoError(t, err)
		statuses = append(statuses, status)
		progress = append(progress, f.crashCount())
	}
	burstOver.Store(true)
	crashes := f.crashCount()
	t.Logf("%d harmless queries in flight at the crashes were refused", refused.Load())
	t.Logf("crashes after each query %v, replies %v", progress, statuses)
	require.LessOrEqual(t, crashes, maxCrashes)
	// A caller has one query in flight at a crash, and one is refused only after two.
	require.LessOrEqual(t, refused.Load(), int64(callersPerDaemon*daemonCount*crashes/2), "harmless queries refused")
	for n := range f.daemons {
		f.waitFor(inForceTarget, "the request is quarantined at every daemon", func() bool {
			address := f.daemons[n].configuration.callerAddress
			status, _, _ := sendQuery(httpClient, address, service, `{"query": {"text": "poison"}}`)
			return status == http.StatusUnprocessableEntity
		})
	}
	require.LessOrEqual(t, f.crashCount(), maxCrashes)
	f.waitFor(waitTimeout, "harmless requests get complete answers again", func() bool {
		for n := range f.daemons {
			address := f.daemons[n].configuration.callerAddress
			if checkComplete(sendQuery(httpClient, address, service, `{"query": "innocent"}`)) != nil {
				return false
			}
		}
		return true
	})
	l.requireNoFailures(t)
}

// crashCount returns the number of crashes of all upstreams.
func (f *testFleet) crashCount() int {
	crashes := 0
	for _, u := range f.upstreams.All() {
		crashes += u.Counts().Crashes
	}
	return crashes
}

// Guards against late or partial answers, and against ejection of healthy upstreams,
// when open connections fall silent because a middlebox has lost its state.
func TestQueriesSurviveSilentConnections(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	f.warmUp()
	l := f.startLoad(3, 5*time.Millisecond, checkComplete, allDaemons...)
	for _, u := range f.upstreams.All()[0:1] {
		u.Silence()
	}
	before := l.sent()
	f.waitFor(waitTimeout, "load goes on", func() bool { return l.sent() > before+500 })
	for _, u := range f.upstreams.All() {
		u.Silence()
	}
	before = l.sent()
	f.waitFor(waitTimeout, "load goes on", func() bool { return l.sent() > before+1000 })
	l.requireNoFailures(t)
	require.Empty(t, f.events("ejection"))
}

// Guards against answers that mix two snapshot versions, and against coverage computed
// from the shard count of the wrong version, while a service is repartitioned (I1, I2).
func TestRepartitionUnderLoad(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	f.warmUp()
	shards := map[uint64]int{1: 4, 2: 6, 3: 3}
	checkReply := func(status int, a answer, err error) error {
		if err != nil || status != http.StatusOK {
			return checkComplete(status, a, err)
		}
		return checkCoverage(a, shards)
	}
	l := f.startLoad(2, 20*time.Millisecond, checkReply, allDaemons...)
	f.waitFor(waitTimeout, "load runs", func() bool { return l.sent() > 200 })
	seen := make(map[uint64]bool)
	for version := uint64(2); version <= 3; version++ {
		f.upstreams.Publish(service, version, shards[version], 0.5)
		f.sendProbes(100, shards, seen)
		f.upstreams.Publish(service, version, shards[version], 1)
		f.sendProbes(100, shards, seen)
		f.upstreams.Drop(service, version-1, 0.5)
		f.sendProbes(100, shards, seen)
		f.upstreams.Drop(service, version-1, 1)
		f.waitFor(waitTimeout, "new version is used", func() bool {
			f.sendProbes(20, shards, seen)
			return seen[version]
		})
	}
	l.requireNoFailures(t)
	require.Len(t, seen, 3, "versions seen")
}

// checkCoverage returns an error unless the coverage of an answer agrees with its parts
// and with the shard count of its snapshot version.
func checkCoverage(a answer, shards map[uint64]int) error {
	covered := make(map[int]bool)
	for _, p := range a.Parts {
		if p.Shard != p.Data.Shard || covered[p.Shard] {
			return fmt.Errorf("the part of shard %d is a duplicate or has the data of shard %d", p.Shard, p.Data.Shard)
		}
		covered[p.Shard] = true
	}
	for _, shard := range a.Coverage.Missing {
		if covered[shard] {
			return fmt.Errorf("shard %d is listed as missing but is covered or listed twice", shard)
		}
		covered[shard] = true
	}
	if len(covered) != shards[a.Snapshot] || a.Coverage.Asked != shards[a.Snapshot] || a.Coverage.Covered != len(a.Parts) {
		return fmt.Errorf("snapshot %d: coverage is %+v, want one of %d shards", a.Snapshot, a.Coverage, shards[a.Snapshot])
	}
	if a.Partial != (len(a.Coverage.Missing) > 0) {
		return fmt.Errorf("partial is %v but the missing shards are %v", a.Partial, a.Coverage.Missing)
	}
	return nil
}

// sendProbes sends queries with distinct bodies and fails the test unless the logs of
// the upstreams show that each part of an answer was computed on the snapshot version
// that the answer names. It adds the versions of the answers to seen.
func (f *testFleet) sendProbes(count int, shards map[uint64]int, seen map[uint64]bool) {
	f.t.Helper()
	for range count {
		f.probeCount++
		body := fmt.Sprintf(`{"probe": %d}`, f.probeCount)
		daemon := f.daemons[f.probeCount%daemonCount]
		status, a, err := sendQuery(httpClient, daemon.configuration.callerAddress, service, `{"query": `+body+`}`)
		require.NoError(f.t, err)
		require.Equal(f.t, http.StatusOK, status, "%+v", a.Error)
		require.NoError(f.t, checkCoverage(a, shards))
		ran := make(map[string]bool)
		for _, u := range f.upstreams.All() {
			for _, e := range u.Log(0) {
				if e.Body == body && e.Outcome == upstreams.Completed {
					ran[e.Version+"/"+e.Shard] = true
				}
			}
		}
		for _, p := range a.Parts {
			require.True(f.t, ran[fmt.Sprintf("%d/%d", a.Snapshot, p.Shard)],
				"shard %d did not run on snapshot %d: %v", p.Shard, a.Snapshot, ran)
		}
		seen[a.Snapshot] = true
	}
}
