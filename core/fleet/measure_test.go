package fleet_test

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// Churn of an ordinary day in a fleet of churnFleetSize daemons.
const (
	restartsPerDay = 1600.0
	failuresPerDay = 26.0
	churnFleetSize = 2100.0
	secondsPerDay  = 86400.0
	// churnFactor is the rate of the measured churn as a multiple of the ordinary
	// rate: a minute of measurement has the churn of an hour.
	churnFactor = 60.0
)

func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Sec+usage.Stime.Sec) + float64(usage.Utime.Usec+usage.Stime.Usec)/1e6
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measurePhase advances by span. It returns the bytes and messages sent per daemon
// and second, and the processor time per daemon and simulated second, as a fraction
// of a core.
func (n *network) measurePhase(span clock.Millis) (bytes, messages, cpuShare float64) {
	bytesBefore, messagesBefore, cpuBefore := n.bytesSent, n.messagesSent, cpuSeconds()
	n.advance(span)
	daemonSeconds := float64(len(n.ids)) * float64(span/clock.Second)
	return float64(n.bytesSent-bytesBefore) / daemonSeconds,
		float64(n.messagesSent-messagesBefore) / daemonSeconds,
		(cpuSeconds() - cpuBefore) / daemonSeconds
}

// TestMeasureFleet prints the cost of the control plane by fleet size.
// LOVAGEGAP_MEASURE gives the sizes, for example "16,64,256"; without it the test is
// skipped.
func TestMeasureFleet(t *testing.T) {
	sizes := os.Getenv("LOVAGEGAP_MEASURE")
	if sizes == "" {
		t.Skip("set LOVAGEGAP_MEASURE to fleet sizes to measure")
	}
	fmt.Println("links of 20 ms one way; processor time includes the network in memory; B and messages are sent, with 48 B of headers each")
	fmt.Println("daemons | links mean/max | rest B/s, msg/s, core % | churn x60 B/s, core % | day's churn B/s | heap KB | kill seen first/all ms | silent loss first/all ms | settings 20 KB all ms | platform calls/s | each watches calls/s | lease 3 s calls/s")
	for _, text := range strings.Split(sizes, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		measureFleet(t, size)
	}
}

// measureFleet prints the row of the table for a fleet of size daemons.
func measureFleet(t *testing.T, size int) {
	before := heapBytes()
	n := newNetwork(1)
	n.oneWayDelay = 20
	var vms []fleet.VM
	dataCentres := max(3, size*29/2100)
	for i := range size {
		vms = append(vms, fleet.NewVM(
			daemonID(i), "callers-"+string(daemonID(i)), dataCentreOf(i, dataCentres), "region", false))
	}
	for i := range size {
		n.schedule(clock.Millis(i)*5, func() {
			n.perform(n.startDaemon(i, dataCentres), n.daemons[daemonID(i)].membership.Seed(n.now, vms))
		})
	}
	n.advance(clock.Millis(size)*5 + 30*clock.Second)
	n.checkViews()
	heap := (heapBytes() - before) / float64(size) / 1024
	links, most := 0, 0
	for _, id := range n.ids {
		up := len(n.daemons[id].membership.Links())
		links += up
		most = max(most, up)
	}
	n.platform.calls = 0
	restBytes, restMessages, restShare := n.measurePhase(60 * clock.Second)
	calls := float64(n.platform.calls) / 60
	n.scheduleChurn(size, dataCentres, vms)
	churnBytes, _, churnShare := n.measurePhase(60 * clock.Second)
	n.advance(15 * clock.Second)
	n.checkViews()
	d := n.daemons[daemonID(size/2)]
	started := n.now
	n.performRollout(d, d.rollout.Propose(n.now, rollout.NewProposal(0, "first", make([]byte, 20<<10))))
	n.advance(10 * clock.Second)
	slowest := clock.Millis(0)
	for _, id := range n.ids {
		at, ok := n.daemons[id].inForceAt[1]
		if !ok {
			t.Errorf("%s has no settings", id)
		}
		slowest = max(slowest, at-started)
	}
	killFirst, killAll := n.measureDetection(size/3, false)
	lossFirst, lossAll := n.measureDetection(size/4, true)
	fmt.Printf("%d | %.1f/%d | %.0f, %.1f, %.3f | %.0f, %.3f | %.0f | %.0f | %.0f/%.0f | %.0f/%.0f | %.0f | %.2f | %.2f | %.2f\n",
		size, float64(links)/float64(size), most, restBytes, restMessages, 100*restShare, churnBytes, 100*churnShare,
		restBytes+max(0, churnBytes-restBytes)/churnFactor, heap,
		float64(killFirst), float64(killAll), float64(lossFirst), float64(lossAll),
		float64(slowest), calls, 2*float64(size)/float64(rollout.WatchTimeout/clock.Second), float64(size)/3)
	for _, failure := range n.failures {
		t.Error(failure)
	}
}

// scheduleChurn schedules the restarts and failures of an ordinary hour within the
// next minute.
func (n *network) scheduleChurn(size, dataCentres int, vms []fleet.VM) {
	scale := float64(size) / churnFleetSize * 60 / secondsPerDay * churnFactor
	restarts := max(1, int(restartsPerDay*scale+0.5))
	failures := max(1, int(failuresPerDay*scale+0.5))
	for k := range restarts + failures {
		i := (k*7 + 1) % size
		at := clock.Millis(k) * 50 * clock.Second / clock.Millis(restarts+failures)
		failed := k >= restarts
		if !failed {
			n.schedule(at, func() { n.perform(n.daemons[daemonID(i)], n.daemons[daemonID(i)].membership.Leave(n.now)) })
			n.schedule(at+900, func() { n.perform(n.daemons[daemonID(i)], n.daemons[daemonID(i)].membership.Left(n.now)) })
		}
		n.schedule(at+1000, func() { n.kill(daemonID(i), failed) })
		n.schedule(at+2000, func() {
			n.perform(n.startDaemon(i, dataCentres), n.daemons[daemonID(i)].membership.Seed(n.now, vms))
		})
	}
}

// measureDetection kills a daemon and returns the time until the first and until the
// last of the other daemons sees it dead.
func (n *network) measureDetection(i int, silent bool) (first, last clock.Millis) {
	id := daemonID(i)
	n.kill(id, silent)
	started := n.now
	for n.now < started+30*clock.Second {
		n.advance(50)
		unaware := 0
		for _, other := range n.ids {
			if n.down[other] {
				continue
			}
			if m, _ := n.daemons[other].membership.Member(id); m.State() == fleet.Dead {
				if first == 0 {
					first = n.now - started
				}
				continue
			}
			unaware++
		}
		if unaware == 0 {
			return first, n.now - started
		}
	}
	n.recordFailure("%s is not seen dead by all daemons", id)
	return first, n.now - started
}
