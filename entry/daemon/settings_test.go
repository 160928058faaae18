package daemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/lovagegap-standin/platform"
)

// inForceTarget is the target time within which an accepted change of settings is in
// force in all daemons.
const inForceTarget = 5 * time.Second

// deadlineTree returns a settings tree with the given deadline.
func deadlineTree(deadline string) string {
	return fmt.Sprintf(`{"settings": {"deadline": %q, "addresses": {"lifetime": "1s"}}}`, deadline)
}

// Guards against daemons that keep old settings because the platform, or their
// connection to it, fails right after a change was accepted (I10).
func TestSettingsReachEveryDaemon(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	status, _ := f.applySettings(1, 1, "plain", deadlineTree("900ms"))
	require.Equal(t, http.StatusOK, status)
	t.Logf("plain change: in force after %s", f.waitRevision(2, inForceTarget))

	status, _ = f.applySettings(2, 2, "down-after", deadlineTree("800ms"))
	require.NoError(t, f.platform.SetFaults(platform.Faults{Down: true}))
	require.Equal(t, http.StatusOK, status)
	t.Logf("platform down after acceptance: in force after %s", f.waitRevision(3, inForceTarget))
	require.NoError(t, f.platform.SetFaults(platform.Faults{}))

	f.daemons[3].proxy.cut()
	f.waitFor(waitTimeout, "change accepted", func() bool {
		status, _ = f.applySettings(0, 3, "cut-off", deadlineTree("700ms"))
		return status == http.StatusOK || status == http.StatusConflict
	})
	t.Logf("one daemon cut off: in force after %s", f.waitRevision(4, inForceTarget))
	status, _ = f.applySettings(3, 4, "from-cut-off", deadlineTree("600ms"))
	require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, status)
	require.Equal(t, uint64(4), f.settingsDocument(0).Revision)
}

// Guards against the loss of accepted settings when the platform is restored to an
// older state: daemons must keep them and write them back (I10).
func TestRestoredPlatformKeepsAcceptedSettings(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for n := range uint64(3) {
		status, _ := f.applySettings(int(n), n+1, fmt.Sprintf("change-%d", n), deadlineTree(fmt.Sprintf("%dms", 500+n)))
		require.Equal(t, http.StatusOK, status)
		f.waitRevision(n+2, inForceTarget)
	}
	require.NoError(t, f.platform.Restore(settingsKey, 2))
	written := f.waitFor(inForceTarget, "newer document written back", func() bool {
		require.Equal(t, uint64(4), f.settingsDocument(0).Revision)
		return string(f.platform.Get(settingsKey).Value) != "" && f.platformHolds(4)
	})
	t.Logf("written back after %s", written)
	for n := range f.daemons {
		require.Equal(t, "change-2", f.settingsDocument(n).ChangeID)
	}
	status, _ := f.applySettings(2, 4, "after-restore", deadlineTree("400ms"))
	require.Equal(t, http.StatusOK, status)
	f.waitRevision(5, inForceTarget)
}

// platformHolds reports whether the settings document at the platform has the revision.
func (f *testFleet) platformHolds(revision uint64) bool {
	document := string(f.platform.Get(settingsKey).Value)
	return len(document) > 0 && f.revisionIn(document) == revision
}

func (f *testFleet) revisionIn(document string) uint64 {
	var revision uint64
	_, err := fmt.Sscanf(document, `{"revision":%d,`, &revision)
	require.NoError(f.t, err)
	return revision
}

// Guards against two accepted changes that overwrite each other when operators apply
// changes at several daemons at the same time, and against a conflict reply without
// the winning document (I10).
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	for round := range uint64(5) {
		var wait sync.WaitGroup
		statuses, replies := make([]int, daemonCount), make([]applyReply, daemonCount)
		for n := range f.daemons {
			wait.Go(func() {
				change := fmt.Sprintf("racer-%d-%d", round, n)
				statuses[n], replies[n] = f.applySettings(n, round+1, change, deadlineTree(fmt.Sprintf("%dms", 100+n)))
			})
		}
		wait.Wait()
		f.waitRevision(round+2, inForceTarget)
		winner := f.settingsDocument(0)
		for n, status := range statuses {
			if status == http.StatusOK {
				require.Equal(t, winner.ChangeID, replies[n].ChangeID, "one winner")
				continue
			}
			require.Equal(t, http.StatusConflict, status)
			require.Equal(t, winner.ChangeID, replies[n].Current.ChangeID, "the conflict reply has the winning document")
		}
	}
}

// Guards against a change that is applied twice, or reported as failed although it is
// in force, because the platform's reply was lost and the change was sent again (I10).
func TestLostReplyIsResolved(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	require.NoError(t, f.platform.SetFaults(platform.Faults{LoseReplies: 1}))
	began := time.Now()
	status, reply := f.applySettings(0, 1, "lost", deadlineTree("300ms"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, uint64(2), reply.Revision)
	t.Logf("lost reply resolved after %s", time.Since(began))
	f.waitRevision(2, inForceTarget)

	for n, expect := range []uint64{1, 2, 1, 2} {
		status, reply = f.applySettings(n, expect, "lost", deadlineTree("300ms"))
		require.Equal(t, http.StatusOK, status, "the same change sent again, expecting revision %d", expect)
		require.Equal(t, "lost", reply.ChangeID)
		require.Equal(t, uint64(2), reply.Revision)
	}
	f.setDataCentre(0, "lekki", "out", "lekki-out")
	f.waitRevision(3, inForceTarget)
	f.setDataCentre(1, "lekki", "out", "lekki-out")
	status, _ = f.applySettings(2, 3, "next", deadlineTree("200ms"))
	require.Equal(t, http.StatusOK, status)
	f.waitRevision(4, inForceTarget)
	status, _ = f.applySettings(3, 1, "lost", deadlineTree("300ms"))
	require.Equal(t, http.StatusOK, status, "the same change sent again after later changes")
	require.Equal(t, uint64(4), f.settingsDocument(3).Revision)
	require.Equal(t, uint64(4), f.platform.Get(settingsKey).Revision, "writes at the platform")
}

// Guards against a daemon that serves without settings, or with old ones, after a
// restart while the platform is down: it must get them from its peers (I10).
func TestRestartWhilePlatformIsDown(t *testing.T) {
	f := startFleet(t, fleetOptions{withSeeds: true, drainMargin: 1})
	status, _ := f.applySettings(0, 1, "before", deadlineTree("900ms"))
	require.Equal(t, http.StatusOK, status)
	f.waitRevision(2, inForceTarget)
	require.NoError(t, f.platform.SetFaults(platform.Faults{Down: true}))
	f.daemons[2].stop()
	began := time.Now()
	f.daemons[2].start()
	f.waitReady()
	t.Logf("ready %s after the start", time.Since(began))
	require.Equal(t, uint64(2), f.settingsDocument(2).Revision)
	address := f.daemons[2].configuration.callerAddress
	require.NoError(t, checkComplete(sendQuery(httpClient, address, service, `{"query": 1}`)))
}
