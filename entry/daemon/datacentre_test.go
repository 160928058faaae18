package daemon

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/lovagegap-standin/upstreams"
)

// quietTime is the stated target after which a data centre that is out, or an
// upstream that is leaving, sees no new work.
const quietTime = 3 * clock.Second

// lastWork returns when the newest sub-request of the upstreams began.
func lastWork(list []*upstreams.Upstream) clock.Millis {
	var last clock.Millis
	for _, u := range list {
		for _, e := range u.Log(0) {
			last = max(last, e.Started)
		}
	}
	return last
}

// requireFinished demands that work was neither interrupted by a crash nor is
// still running.
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

// Guards against work that reaches a data centre after it was taken out, and
// against an overload of its cold upstreams when it returns (I3, I4).
func TestDataCentreOutAndIn(t *testing.T) {
	f := launch(t, setup{})
	for _, u := range f.upstreams.All() {
		u.SetFaults(upstreams.Faults{SlowShare: 0.02, SlowFactor: 30, ShedShare: 0.01})
	}
	l := f.pressure(3, 5*time.Millisecond, complete, everyone...)
	f.within(startTime, "load runs", func() bool { return l.sent() > 1000 })
	lekki := f.upstreams.Select(upstreams.Selector{DataCentre: "lekki"})
	require.NotZero(t, lastWork(lekki))

	f.dataCentre(0, "lekki", "out", "lekki-out")
	out := f.clock.Now()
	f.within(startTime, "time passes", func() bool { return f.clock.Now() > out+2*quietTime })
	last := lastWork(lekki)
	t.Logf("last work began %s after the reply", last-out)
	require.LessOrEqual(t, last, out+quietTime)
	requireFinished(t, lekki, out+quietTime)

	for _, u := range lekki {
		u.Restart()
	}
	f.dataCentre(3, "lekki", "in", "lekki-in")
	back := f.clock.Now()
	f.within(startTime, "upstreams of the data centre get work and become warm", func() bool {
		for _, u := range lekki {
			if cold, _ := u.Cold(); cold {
				return false
			}
		}
		return lastWork(lekki) > back
	})
	t.Logf("warm %s after the reply", f.clock.Now()-back)
	l.require(t)
	f.requireBound(lekki)
}

// requireBound demands that no cold upstream had more work at a time than it
// can handle.
func (f *fleetUnderTest) requireBound(list []*upstreams.Upstream) {
	f.t.Helper()
	for _, u := range list {
		entries := u.Log(0)
		require.Zero(f.t, u.Counts().ColdCrashes, "%s in %s fell over: %s", u.Address(), u.DataCentre(), overload(entries))
		for _, e := range entries {
			require.False(f.t, e.Cold && e.Concurrency > e.Capacity, "%s: %+v", u.Address(), e)
		}
	}
}

// overload returns the entries around the first one that was more than a cold
// upstream bears, so that a failure names the daemons that sent them.
func overload(entries []upstreams.LogEntry) string {
	i := slices.IndexFunc(entries, func(e upstreams.LogEntry) bool { return e.Cold && e.Concurrency > e.Capacity })
	if i < 0 {
		return "not in the log any more"
	}
	return fmt.Sprintf("%+v", entries[max(0, i-5):min(len(entries), i+3)])
}

// Guards against work sent to an upstream that leaves, whoever says so (I8).
func TestLeavingUpstream(t *testing.T) {
	f := launch(t, setup{})
	l := f.pressure(3, 5*time.Millisecond, complete, everyone...)
	f.within(startTime, "load runs", func() bool { return l.sent() > 500 })
	listed, self := f.upstreams.All()[0:1], f.upstreams.All()[4:5]
	require.True(t, f.platform.MarkLeaving(listed[0].Address()))
	self[0].SetFaults(upstreams.Faults{Leaving: true})
	left := f.clock.Now()
	f.within(startTime, "time passes", func() bool { return f.clock.Now() > left+2*quietTime })
	l.require(t)
	for _, list := range [][]*upstreams.Upstream{listed, self} {
		last := lastWork(list)
		t.Logf("last work began %s after the signal", last-left)
		require.NotZero(t, last)
		require.LessOrEqual(t, last, left+quietTime)
		requireFinished(t, list, left+quietTime)
	}
}
