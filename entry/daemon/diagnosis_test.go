package daemon

import (
	"fmt"
	"sync"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/lovagegap-standin/upstreams"
)

const (
	stallInterval  = 5 * clock.Millisecond  // between two readings of the clock
	reportedStall  = 30 * clock.Millisecond // lateness from which a stall is reported
	slowSubRequest = 50 * clock.Millisecond // from which a sub-request is reported
)

// diagnosis records what a failure of a test with real processes cannot be explained
// without: whether the process that runs the test, and so the replicas, got processor
// time, and what reached the replicas.
type diagnosis struct {
	clock  clock.Clock
	mu     sync.Mutex
	stalls []string
}

// startDiagnosis begins to record, and reports to the log of the test if it fails. The
// daemons must not be stopped before.
func startDiagnosis(f *testFleet) {
	d := &diagnosis{clock: f.clock}
	done := make(chan struct{})
	go d.recordStalls(done)
	f.t.Cleanup(func() {
		close(done)
		if f.t.Failed() {
			d.report(f)
		}
	})
}

func (d *diagnosis) recordStalls(done chan struct{}) {
	ticker := time.NewTicker(stallInterval.Duration())
	defer ticker.Stop()
	for last := d.clock.Now(); ; {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := d.clock.Now()
		if late := now - last - stallInterval; late >= reportedStall {
			d.mu.Lock()
			d.stalls = append(d.stalls, fmt.Sprintf("%.0f ms until %.0f", float64(late), float64(now)))
			d.mu.Unlock()
		}
		last = now
	}
}

func (d *diagnosis) report(f *testFleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.t.Logf("test failed at %.0f; the test's process stood still: %v", float64(d.clock.Now()), d.stalls)
	for _, event := range f.events(string(journal.ColdStart)) {
		f.t.Logf("event: %+v", event)
	}
	for _, u := range f.upstreams.All() {
		for _, entry := range u.Log(0) {
			if entry.Outcome != upstreams.Completed || entry.Finished-entry.Started >= slowSubRequest {
				f.t.Logf("replica %s: shard %s %s at %.0f to %.0f, %d running or queued, request %s",
					u.Address(), entry.Shard, entry.Outcome, float64(entry.Started), float64(entry.Finished),
					entry.Concurrency, entry.Request)
			}
		}
	}
}
