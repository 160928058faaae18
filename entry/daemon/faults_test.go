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

// Guards against an overload of upstreams that fall back into a cold start, one
// alone and all of a data centre together (I3).
func TestColdFallbackUnderLoad(t *testing.T) {
	f := launch(t, setup{})
	f.warmUp()
	l := f.pressure(4, 2*time.Millisecond, innocent, everyone...)
	f.within(startTime, "load runs", func() bool { return l.sent() > 1000 })
	alone := f.upstreams.All()[0:1]
	alone[0].Restart()
	f.within(startTime, "the upstream is warm again", func() bool {
		cold, _ := alone[0].Cold()
		return !cold
	})
	f.requireBound(f.upstreams.All())
	lekki := f.upstreams.Select(upstreams.Selector{DataCentre: "lekki"})
	for _, u := range lekki {
		u.Restart()
	}
	f.within(startTime, "the data centre is warm again", func() bool {
		for _, u := range lekki {
			if cold, _ := u.Cold(); cold {
				return false
			}
		}
		return true
	})
	l.require(t)
	f.requireBound(f.upstreams.All())
}

// innocent accepts partial answers, since a query that was in flight at a crash
// is retried only once, but no refusal.
func innocent(status int, a answer, err error) error {
	if err == nil && status == http.StatusOK {
		return nil
	}
	return complete(status, a, err)
}

// waitWarm waits until no daemon treats an upstream as cold any more, which all
// of them do at the start of the fleet.
func (f *fleetUnderTest) waitWarm(l *load) {
	f.t.Helper()
	f.within(startTime, "all upstreams are warm for all daemons", func() bool {
		for n := range f.nodes {
			for _, u := range f.view(n) {
				if u.State != "serving" {
					return false
				}
			}
		}
		return l.sent() > 500
	})
}

func (f *fleetUnderTest) view(n int) []operators.Upstream {
	var reply struct {
		Upstreams []operators.Upstream `json:"upstreams"`
	}
	_, _ = get(f.nodes[n].configuration.operators, "/v1/upstreams", &reply)
	return reply.Upstreams
}

// warmUp runs load until all upstreams are warm.
func (f *fleetUnderTest) warmUp() {
	f.t.Helper()
	l := f.pressure(2, 5*time.Millisecond, func(int, answer, error) error { return nil }, everyone...)
	f.waitWarm(l)
	l.end()
}

// crashBound is the number of crashes that one content can cause when it is
// sent to one daemon after the other: the first fan-out plus one, and two for
// each further query that starts before the quarantine has reached its daemon.
const crashBound = 4 + 1 + 2*(daemonCount-1)

// Guards against a request that takes down one upstream after the other, and
// against innocent requests blamed for it.
func TestCrashingRequestIsBounded(t *testing.T) {
	f := launch(t, setup{})
	f.warmUp()
	var burstOver atomic.Bool
	refused := atomic.Int64{}
	afterBurst := func(status int, a answer, err error) error {
		if !burstOver.Load() && err == nil && status == http.StatusUnprocessableEntity {
			// In flight at the crashes of two upstreams, like the culprit.
			refused.Add(1)
			return nil
		}
		return innocent(status, a, err)
	}
	l := f.pressure(2, 10*time.Millisecond, afterBurst, everyone...)
	for _, u := range f.upstreams.All() {
		u.SetFaults(upstreams.Faults{CrashText: "poison"})
	}
	var statuses, progress []int
	for turn := range 12 {
		status, _, err := ask(web, f.nodes[turn%daemonCount].configuration.callers, service, `{"query": {"text": "poison"}}`)
		require.NoError(t, err)
		statuses = append(statuses, status)
		progress = append(progress, f.crashes())
	}
	burstOver.Store(true)
	crashes := f.crashes()
	t.Logf("%d innocent queries in flight at the crashes were refused", refused.Load())
	t.Logf("crashes after each query %v, replies %v", progress, statuses)
	require.LessOrEqual(t, crashes, crashBound)
	for n := range f.nodes {
		f.within(inForceTime, "quarantined everywhere", func() bool {
			status, _, _ := ask(web, f.nodes[n].configuration.callers, service, `{"query": {"text": "poison"}}`)
			return status == http.StatusUnprocessableEntity
		})
	}
	require.LessOrEqual(t, f.crashes(), crashBound)
	f.within(startTime, "innocent requests get whole answers again", func() bool {
		for n := range f.nodes {
			if complete(ask(web, f.nodes[n].configuration.callers, service, `{"query": "innocent"}`)) != nil {
				return false
			}
		}
		return true
	})
	l.require(t)
}

func (f *fleetUnderTest) crashes() int {
	crashes := 0
	for _, u := range f.upstreams.All() {
		crashes += u.Counts().Crashes
	}
	return crashes
}

// Guards against late or partial answers, and against upstreams that are
// blamed, when a middlebox loses its state and open connections go silent.
func TestSilentConnections(t *testing.T) {
	f := launch(t, setup{})
	f.warmUp()
	l := f.pressure(3, 5*time.Millisecond, complete, everyone...)
	for _, u := range f.upstreams.All()[0:1] {
		u.Silence()
	}
	before := l.sent()
	f.within(startTime, "load goes on", func() bool { return l.sent() > before+500 })
	for _, u := range f.upstreams.All() {
		u.Silence()
	}
	before = l.sent()
	f.within(startTime, "load goes on", func() bool { return l.sent() > before+1000 })
	l.require(t)
	require.Empty(t, f.events("ejection"))
}

// Guards against answers mixed of two versions, and against coverage that is
// counted against the wrong one, while shards are repartitioned (I1, I2).
func TestRepartitionUnderLoad(t *testing.T) {
	f := launch(t, setup{})
	f.warmUp()
	shards := map[uint64]int{1: 4, 2: 6, 3: 3}
	sound := func(status int, a answer, err error) error {
		if err != nil || status != http.StatusOK {
			return complete(status, a, err)
		}
		return truthful(a, shards)
	}
	l := f.pressure(2, 20*time.Millisecond, sound, everyone...)
	f.within(startTime, "load runs", func() bool { return l.sent() > 200 })
	seen := make(map[uint64]bool)
	for version := uint64(2); version <= 3; version++ {
		f.upstreams.Publish(service, version, shards[version], 0.5)
		f.probe(100, shards, seen)
		f.upstreams.Publish(service, version, shards[version], 1)
		f.probe(100, shards, seen)
		f.upstreams.Drop(service, version-1, 0.5)
		f.probe(100, shards, seen)
		f.upstreams.Drop(service, version-1, 1)
		f.within(startTime, "new version is used", func() bool {
			f.probe(20, shards, seen)
			return seen[version]
		})
	}
	l.require(t)
	require.Len(t, seen, 3, "versions seen")
}

// truthful compares the coverage of an answer with its parts and with the
// shards of its version.
func truthful(a answer, shards map[uint64]int) error {
	covered := make(map[int]bool)
	for _, p := range a.Parts {
		if p.Shard != p.Data.Shard || covered[p.Shard] {
			return fmt.Errorf("part of shard %d holds shard %d", p.Shard, p.Data.Shard)
		}
		covered[p.Shard] = true
	}
	for _, shard := range a.Coverage.Missing {
		if covered[shard] {
			return fmt.Errorf("shard %d is missing and covered", shard)
		}
		covered[shard] = true
	}
	if len(covered) != shards[a.Snapshot] || a.Coverage.Asked != shards[a.Snapshot] || a.Coverage.Covered != len(a.Parts) {
		return fmt.Errorf("snapshot %d: coverage %+v of %d shards", a.Snapshot, a.Coverage, shards[a.Snapshot])
	}
	if a.Partial != (len(a.Coverage.Missing) > 0) {
		return fmt.Errorf("partial %v with missing %v", a.Partial, a.Coverage.Missing)
	}
	return nil
}

// probe sends queries with contents of their own and demands that an upstream
// ran each part of an answer on the version that the answer names.
func (f *fleetUnderTest) probe(count int, shards map[uint64]int, seen map[uint64]bool) {
	f.t.Helper()
	for range count {
		f.probes++
		body := fmt.Sprintf(`{"probe": %d}`, f.probes)
		node := f.nodes[f.probes%daemonCount]
		status, a, err := ask(web, node.configuration.callers, service, `{"query": `+body+`}`)
		require.NoError(f.t, err)
		require.Equal(f.t, http.StatusOK, status, "%+v", a.Error)
		require.NoError(f.t, truthful(a, shards))
		ran := make(map[string]bool)
		for _, u := range f.upstreams.All() {
			for _, e := range u.Log(0) {
				if e.Body == body && e.Outcome == upstreams.Completed {
					ran[e.Version+"/"+e.Shard] = true
				}
			}
		}
		for _, p := range a.Parts {
			require.True(f.t, ran[fmt.Sprintf("%d/%d", a.Snapshot, p.Shard)], "shard %d of %d: %v", p.Shard, a.Snapshot, ran)
		}
		seen[a.Snapshot] = true
	}
}
