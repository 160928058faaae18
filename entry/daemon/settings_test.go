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

// inForceTime is the stated target for an accepted change of settings.
const inForceTime = 5 * time.Second

// tree returns a settings tree that differs by the deadline.
func tree(deadline string) string {
	return fmt.Sprintf(`{"settings": {"deadline": %q, "addresses": {"lifetime": "1s"}}}`, deadline)
}

// Guards against daemons that keep old settings because the platform, or their
// own way to it, fails right after a change was accepted (I10).
func TestSettingsReachEveryDaemon(t *testing.T) {
	f := launch(t, setup{})
	status, _ := f.apply(1, 1, "plain", tree("900ms"))
	require.Equal(t, http.StatusOK, status)
	t.Logf("plain change: in force after %s", f.waitRevision(2, inForceTime))

	status, _ = f.apply(2, 2, "down-after", tree("800ms"))
	require.NoError(t, f.platform.SetFaults(platform.Faults{Down: true}))
	require.Equal(t, http.StatusOK, status)
	t.Logf("platform down after acceptance: in force after %s", f.waitRevision(3, inForceTime))
	require.NoError(t, f.platform.SetFaults(platform.Faults{}))

	f.nodes[3].gate.cut()
	f.within(startTime, "change accepted", func() bool {
		status, _ = f.apply(0, 3, "cut-off", tree("700ms"))
		return status == http.StatusOK || status == http.StatusConflict
	})
	t.Logf("one daemon cut off: in force after %s", f.waitRevision(4, inForceTime))
	status, _ = f.apply(3, 4, "from-cut-off", tree("600ms"))
	require.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, status)
	require.Equal(t, uint64(4), f.document(0).Revision)
}

// Guards against a restored platform that takes accepted settings back (I10).
func TestRestoredPlatformRevertsNothing(t *testing.T) {
	f := launch(t, setup{})
	for n := range uint64(3) {
		status, _ := f.apply(int(n), n+1, fmt.Sprintf("change-%d", n), tree(fmt.Sprintf("%dms", 500+n)))
		require.Equal(t, http.StatusOK, status)
		f.waitRevision(n+2, inForceTime)
	}
	require.NoError(t, f.platform.Restore(settingsKey, 2))
	written := f.within(inForceTime, "newer document written back", func() bool {
		require.Equal(t, uint64(4), f.document(0).Revision)
		return string(f.platform.Get(settingsKey).Value) != "" && f.stored(4)
	})
	t.Logf("written back after %s", written)
	for n := range f.nodes {
		require.Equal(t, "change-2", f.document(n).ChangeID)
	}
	status, _ := f.apply(2, 4, "after-restore", tree("400ms"))
	require.Equal(t, http.StatusOK, status)
	f.waitRevision(5, inForceTime)
}

// stored reports whether the platform's key holds the revision.
func (f *fleetUnderTest) stored(revision uint64) bool {
	document := string(f.platform.Get(settingsKey).Value)
	return len(document) > 0 && f.revisionOf(document) == revision
}

func (f *fleetUnderTest) revisionOf(document string) uint64 {
	var revision uint64
	_, err := fmt.Sscanf(document, `{"revision":%d,`, &revision)
	require.NoError(f.t, err)
	return revision
}

// Guards against two accepted changes that overwrite each other, and against a
// loser that is not told what won (I10).
func TestRacingOperators(t *testing.T) {
	f := launch(t, setup{})
	for round := range uint64(5) {
		var wait sync.WaitGroup
		statuses, replies := make([]int, daemonCount), make([]applied, daemonCount)
		for n := range f.nodes {
			wait.Go(func() {
				change := fmt.Sprintf("racer-%d-%d", round, n)
				statuses[n], replies[n] = f.apply(n, round+1, change, tree(fmt.Sprintf("%dms", 100+n)))
			})
		}
		wait.Wait()
		f.waitRevision(round+2, inForceTime)
		winner := f.document(0)
		for n, status := range statuses {
			if status == http.StatusOK {
				require.Equal(t, winner.ChangeID, replies[n].ChangeID, "one winner")
				continue
			}
			require.Equal(t, http.StatusConflict, status)
			require.Equal(t, winner.ChangeID, replies[n].Current.ChangeID, "the loser sees the winner's document")
		}
	}
}

// Guards against a change that is applied twice, or reported as failed although
// it took effect, because the platform's reply was lost (I10).
func TestLostReplyIsResolved(t *testing.T) {
	f := launch(t, setup{})
	require.NoError(t, f.platform.SetFaults(platform.Faults{LoseReplies: 1}))
	began := time.Now()
	status, reply := f.apply(0, 1, "lost", tree("300ms"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, uint64(2), reply.Revision)
	t.Logf("lost reply resolved after %s", time.Since(began))
	f.waitRevision(2, inForceTime)

	for n, expect := range []uint64{1, 2, 1, 2} {
		status, reply = f.apply(n, expect, "lost", tree("300ms"))
		require.Equal(t, http.StatusOK, status, "the same change sent again, expecting revision %d", expect)
		require.Equal(t, "lost", reply.ChangeID)
		require.Equal(t, uint64(2), reply.Revision)
	}
	f.dataCentre(0, "lekki", "out", "lekki-out")
	f.waitRevision(3, inForceTime)
	f.dataCentre(1, "lekki", "out", "lekki-out")
	status, _ = f.apply(2, 3, "next", tree("200ms"))
	require.Equal(t, http.StatusOK, status)
	f.waitRevision(4, inForceTime)
	status, _ = f.apply(3, 1, "lost", tree("300ms"))
	require.Equal(t, http.StatusOK, status, "a change that others followed")
	require.Equal(t, uint64(4), f.document(3).Revision)
	require.Equal(t, uint64(4), f.platform.Get(settingsKey).Revision, "writes at the platform")
}

// Guards against a daemon that starts without settings, or with old ones, while
// the platform is down (I10).
func TestRestartWhilePlatformIsDown(t *testing.T) {
	f := launch(t, setup{seeds: true, margin: 1})
	status, _ := f.apply(0, 1, "before", tree("900ms"))
	require.Equal(t, http.StatusOK, status)
	f.waitRevision(2, inForceTime)
	require.NoError(t, f.platform.SetFaults(platform.Faults{Down: true}))
	f.nodes[2].stop()
	began := time.Now()
	f.nodes[2].start()
	f.waitReady()
	t.Logf("ready %s after the start", time.Since(began))
	require.Equal(t, uint64(2), f.document(2).Revision)
	require.NoError(t, complete(ask(web, f.nodes[2].configuration.callers, service, `{"query": 1}`)))
}
