package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/lovagegap-standin/upstreams"
)

// noNewWorkTarget is the target time after which a data centre that was taken out, or
// an upstream that is leaving, gets no new work.
const noNewWorkTarget = 3 * clock.Second

// lastStart returns the start time of the newest sub-request at the upstreams, or
// zero if there is none.
func lastStart(list []*upstreams.Upstream) clock.Millis {
	var last clock.Millis
	for _, u := range list {
		for _, e := range u.Log(0) {
			last = max(last, e.Started)
		}
	}
	return last
}

// requireFinished fails the test if a sub-request that started no later than before
// crashed, failed or is still running.
func requireFinished(t *testing.T, list []*upstreams.Upstream, before clock.Millis) {
	t.Helper()
	for _, u := range list {
		for _, e := range u.Log(0) {
			if e.Started <= before {
				require.Contains(t, []string{upstreams.Completed, upstreams.Cancelled, upstreams.Shed}, e.Outcome)
			}
		}
	}
}

// Guards against work that is sent to a data centre after it was taken out, and
// against overload of its cold upstreams after it was brought in (I3, I4).
func TestDataCentreOutAndIn(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for _, u := range f.upstreams.All() {
		u.SetFaults(upstreams.Faults{SlowShare: 0.02, SlowFactor: 30, ShedShare: 0.01})
	}
	l := f.startLoad(3, 5*time.Millisecond, f.checkCompleteButForFaults, allDaemons...)
	f.waitFor(waitTimeout, "load runs", func() bool { return l.sent() > 1000 })
	lekki := f.upstreams.Select(upstreams.Selector{DataCentre: "lekki"})
	require.NotZero(t, lastStart(lekki))

	f.setDataCentre(0, "lekki", "out", "lekki-out")
	out := f.clock.Now()
	f.waitFor(waitTimeout, "time passes", func() bool { return f.clock.Now() > out+2*noNewWorkTarget })
	last := lastStart(lekki)
	t.Logf("last work began %s after the reply", last-out)
	require.LessOrEqual(t, last, out+noNewWorkTarget)
	requireFinished(t, lekki, out+noNewWorkTarget)

	for _, u := range lekki {
		u.Restart()
	}
	f.setDataCentre(3, "lekki", "in", "lekki-in")
	back := f.clock.Now()
	f.waitFor(waitTimeout, "upstreams of the data centre get work and become warm", func() bool {
		for _, u := range lekki {
			if cold, _ := u.Cold(); cold {
				return false
			}
		}
		return lastStart(lekki) > back
	})
	t.Logf("warm %s after the reply", f.clock.Now()-back)
	l.requireNoFailures(t)
	f.requireColdLimit(lekki)
}

// attemptsPerShard is how many attempts for a shard the default settings allow to reach a
// replica.
const attemptsPerShard = 3

// maxFaultyQueries bounds the queries that may lack a shard because of injected faults. With
// independent faults in 0.03 of the attempts, three attempts for a shard and four shards
// that is one query in ten thousand at most, of which the test sends half: more than three
// are a matter of one run in some hundreds.
const maxFaultyQueries = 3

// checkCompleteButForFaults returns an error unless the reply is complete, or lacks shards
// of which all attempts that the settings allow met an injected fault, by the logs of the
// replicas.
func (f *testFleet) checkCompleteButForFaults(status int, a answer, err error) error {
	incomplete := checkComplete(status, a, err)
	if incomplete == nil || err != nil || status != http.StatusOK || len(a.Coverage.Missing) == 0 {
		return incomplete
	}
	for _, shard := range a.Coverage.Missing {
		attempts, injected := f.countAttempts(a.RequestID, shard)
		if attempts < attemptsPerShard || injected < attempts {
			return fmt.Errorf("%w; %d of %d attempts for shard %d met an injected fault", incomplete, injected, attempts, shard)
		}
	}
	if f.faultyQueries.Add(1) > maxFaultyQueries {
		return fmt.Errorf("%w; more than %d queries met such faults", incomplete, maxFaultyQueries)
	}
	return nil
}

// countAttempts counts the attempts of a request for a shard that reached replicas, and
// those that met an injected fault.
func (f *testFleet) countAttempts(request string, shard int) (attempts, injected int) {
	for _, u := range f.upstreams.All() {
		for _, entry := range u.Log(0) {
			if strings.HasPrefix(entry.Request, request+"/") && entry.Shard == strconv.Itoa(shard) {
				attempts++
				if entry.Injected {
					injected++
				}
			}
		}
	}
	return attempts, injected
}

// requireColdLimit fails the test if a cold upstream had more concurrent work than its
// level allows.
func (f *testFleet) requireColdLimit(list []*upstreams.Upstream) {
	f.t.Helper()
	for _, u := range list {
		entries := u.Log(0)
		require.Zero(f.t, u.Counts().ColdCrashes,
			"overload of the cold upstream %s in %s: %s", u.Address(), u.DataCentre(), describeOverload(entries))
		for _, e := range entries {
			require.False(f.t, e.Cold && e.Concurrency > e.Capacity,
				"concurrency above the level of the cold upstream %s: %+v", u.Address(), e)
		}
	}
}

// describeOverload returns the log entries around the first one above the level of a
// cold upstream, so that a failure shows which daemons sent them.
func describeOverload(entries []upstreams.LogEntry) string {
	i := slices.IndexFunc(entries, func(e upstreams.LogEntry) bool { return e.Cold && e.Concurrency > e.Capacity })
	if i < 0 {
		return "the entry is no longer in the log"
	}
	return fmt.Sprintf("%+v", entries[max(0, i-5):min(len(entries), i+3)])
}

// Guards against new work for an upstream that is leaving, both when the platform's
// list and when its own status says so (I8).
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	l := f.startLoad(3, 5*time.Millisecond, checkComplete, allDaemons...)
	f.waitFor(waitTimeout, "load runs", func() bool { return l.sent() > 500 })
	listed, self := f.upstreams.All()[0:1], f.upstreams.All()[4:5]
	require.True(t, f.platform.MarkLeaving(listed[0].Address()))
	self[0].SetFaults(upstreams.Faults{Leaving: true})
	left := f.clock.Now()
	f.waitFor(waitTimeout, "time passes", func() bool { return f.clock.Now() > left+2*noNewWorkTarget })
	l.requireNoFailures(t)
	for _, list := range [][]*upstreams.Upstream{listed, self} {
		last := lastStart(list)
		t.Logf("last work began %s after the signal", last-left)
		require.NotZero(t, last)
		require.LessOrEqual(t, last, left+noNewWorkTarget)
		requireFinished(t, list, left+noNewWorkTarget)
	}
}
