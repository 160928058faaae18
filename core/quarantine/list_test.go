package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	f = quarantine.Fingerprint(7)
	// completionValidity is how long after a completion crashes do not count against
	// a fingerprint.
	completionValidity = 5 * clock.Second
)

// Guards against requests to different services that share a fingerprint because the
// hash does not cover the boundary between service and body.
func TestFingerprintSeparatesServiceAndBody(t *testing.T) {
	require.Equal(t, quarantine.FingerprintOf("s", []byte("b")), quarantine.FingerprintOf("s", []byte("b")))
	require.NotEqual(t, quarantine.FingerprintOf("sb", nil), quarantine.FingerprintOf("s", []byte("b")))
	require.NotEqual(t, quarantine.FingerprintOf("s", []byte("b")), quarantine.FingerprintOf("r", []byte("b")))
}

// Guards against blocking a harmless request that was in flight when upstreams failed
// for another reason, and against not blocking one that crashes each upstream.
func TestRecordCrashBlocksAfterTwoUpstreams(t *testing.T) {
	type step struct {
		at      clock.Millis
		lost    upstream.ID // a crash, or a success if it is empty
		blocked bool
		suspect bool
		age     clock.Millis // time from sending the request to the crash
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"one upstream makes a suspect", []step{{0, "a", false, true, 0}}},
		{"two upstreams block", []step{{0, "a", false, true, 0}, {1, "b", true, false, 0}}},
		{"the same upstream twice does not block", []step{{0, "a", false, true, 0}, {1, "a", false, true, 0}}},
		{"a success clears the suspect for a while", []step{
			{0, "a", false, true, 0}, {1, "", false, false, 0}, {2, "b", false, false, 0}, {3, "c", false, false, 0},
			{1 + completionValidity, "b", false, true, 0}, {2 + completionValidity, "c", true, false, 0},
		}},
		{"an old crash does not count", []step{{0, "a", false, true, 0}, {clock.Minute, "b", false, true, 0}}},
		{"a success does not end a quarantine", []step{{0, "a", false, true, 0}, {1, "b", true, false, 0}, {2, "", true, false, 0}}},
		{"two upstreams lost together do not block", []step{{5, "a", false, true, 5}, {6, "b", false, true, 6}}},
		{"lost together, then sent again", []step{
			{5, "a", false, true, 5}, {6, "b", false, true, 6}, {9, "c", true, false, 3},
		}},
		{"lost together, then a success", []step{
			{5, "a", false, true, 5}, {6, "b", false, true, 6}, {7, "", false, false, 0}, {9, "c", false, false, 3},
			{7 + completionValidity, "c", false, true, 3},
		}},
		{"a quarantine ends", []step{
			{0, "a", false, true, 0}, {1, "b", true, false, 0},
			{1 + quarantine.Duration, "", false, false, 0}, {2 + quarantine.Duration, "a", false, false, 0},
			{1 + quarantine.Duration + completionValidity, "a", false, true, 0},
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var list quarantine.List
			for i, s := range tc.steps {
				if s.lost == "" {
					list.RecordSuccess(s.at, f)
				} else {
					require.Equal(t, s.blocked, list.RecordCrash(s.at, f, s.lost, s.at-s.age), "step %d", i)
				}
				require.Equal(t, s.blocked, list.IsBlocked(s.at, f), "step %d", i)
				require.Equal(t, s.suspect, list.IsSuspect(s.at, f), "step %d", i)
			}
		})
	}
}

// Guards against a request that is never blocked because it was sent to both crashed
// upstreams before the first crash and is not retried.
func TestBlockIfConfirmedBlocksWithoutRetry(t *testing.T) {
	var list quarantine.List
	list.RecordCrash(5, f, "a", 0)
	require.False(t, list.BlockIfConfirmed(5, f), "one upstream may be a coincidence")
	require.False(t, list.RecordCrash(6, f, "b", 0))
	require.True(t, list.BlockIfConfirmed(7, f))
	require.True(t, list.IsBlocked(7, f))
	require.Len(t, list.TakeChanges(), 1)
}

// Guards against a harmless request that is blocked because idle connections ended while
// it was sent, and against a crash after such an end that does not count as the second one.
func TestSuspicionBlocksOnlyWithCrash(t *testing.T) {
	var list quarantine.List
	list.Suspect(0, f, "a")
	list.Suspect(1, f, "b")
	require.True(t, list.IsSuspect(1, f))
	require.False(t, list.IsBlocked(1, f))
	require.True(t, list.RecordCrash(3, f, "c", 2))

	list = quarantine.List{}
	list.Suspect(5, f, "a")
	require.False(t, list.RecordCrash(6, f, "b", 4), "sent before the first loss")
	list.RecordSuccess(7, f)
	list.Suspect(8, f, "a")
	require.False(t, list.IsSuspect(8, f), "it has completed just before")
}

// Guards against a harmless request whose retry meets another upstream of the same outage,
// lost some milliseconds later, and that is blocked for it.
func TestOutageSpreadSeparatesLosses(t *testing.T) {
	var list quarantine.List
	list.SetOutageSpread(250)
	require.False(t, list.RecordCrash(10, f, "a", 0))
	require.False(t, list.RecordCrash(12, f, "b", 10))
	require.False(t, list.RecordCrash(300, f, "c", 259))
	require.True(t, list.RecordCrash(301, f, "d", 260))
}

// Guards against suspects and quarantined entries that never expire, or expire early.
func TestSuspectAndQuarantineExpire(t *testing.T) {
	var list quarantine.List
	list.RecordCrash(0, f, "a", 0)
	require.True(t, list.IsSuspect(clock.Minute-1, f))
	require.False(t, list.IsSuspect(clock.Minute, f))
	list.RecordCrash(2*clock.Minute, f, "a", 2*clock.Minute)
	list.RecordCrash(2*clock.Minute, f, "b", 2*clock.Minute)
	require.True(t, list.IsBlocked(2*clock.Minute+quarantine.Duration-1, f))
	require.False(t, list.IsBlocked(2*clock.Minute+quarantine.Duration, f))
}

// Guards against canary mode without a burst of crashes, which slows all new requests,
// and against a burst after which requests are not tried on one shard first.
func TestNeedsCanaryAfterBurst(t *testing.T) {
	burst := func(list *quarantine.List, at clock.Millis, ids ...upstream.ID) {
		for i, id := range ids {
			list.RecordCrash(at, quarantine.Fingerprint(100+i), id, at)
		}
	}
	cases := []struct {
		name    string
		prepare func(*quarantine.List)
		at      clock.Millis
		want    bool
	}{
		{"no crashes", func(*quarantine.List) {}, 0, false},
		{"after a burst", func(l *quarantine.List) { burst(l, 0, "a", "b", "c") }, 1, true},
		{"two upstreams are not a burst", func(l *quarantine.List) { burst(l, 0, "a", "b", "a", "b") }, 1, false},
		{"crashes outside the window are not a burst", func(l *quarantine.List) {
			burst(l, 0, "a", "b")
			burst(l, 10*clock.Second, "c")
		}, 10 * clock.Second, false},
		{"ends after a minute", func(l *quarantine.List) { burst(l, 0, "a", "b", "c") }, clock.Minute, false},
		{"not for a request that has completed", func(l *quarantine.List) {
			l.RecordSuccess(0, f)
			burst(l, 0, "a", "b", "c")
		}, 1, false},
		{"not when disabled", func(l *quarantine.List) {
			l.SetCanaryEnabled(false)
			burst(l, 0, "a", "b", "c")
		}, 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var list quarantine.List
			tc.prepare(&list)
			require.Equal(t, tc.want, list.NeedsCanary(tc.at, f))
		})
	}
}

// Guards against entries that are not forwarded, that peers forward to each other
// forever, or that outlive their quarantine.
func TestEntriesSpreadOnce(t *testing.T) {
	var a, b quarantine.List
	a.RecordCrash(0, f, "x", 0)
	a.RecordCrash(0, f, "y", 0)
	changes := a.TakeChanges()
	require.Len(t, changes, 1)
	require.Equal(t, []upstream.ID{"x", "y"}, changes[0].Evidence())
	require.Empty(t, a.TakeChanges())

	require.True(t, b.ReceiveEntry(0, changes[0]))
	require.True(t, b.IsBlocked(1, f))
	require.Len(t, b.TakeChanges(), 1)
	require.False(t, a.ReceiveEntry(0, changes[0]))
	require.False(t, b.ReceiveEntry(1, quarantine.NewEntry(f, nil, quarantine.Duration+10)), "clocks differ slightly")
	require.Empty(t, b.TakeChanges())

	require.True(t, b.ReceiveEntry(0, quarantine.NewEntry(8, nil, 100*quarantine.Duration)))
	require.False(t, b.ReceiveEntry(5, quarantine.NewEntry(9, nil, 5)), "already ended")
	require.Len(t, b.Entries(5), 2)
	require.False(t, b.IsBlocked(quarantine.Duration, 8), "no entry lasts longer than Duration")
	b.Release(1, f)
	require.False(t, b.IsBlocked(1, f))
}

// Guards against memory that grows with the number of distinct requests.
func TestListIsBounded(t *testing.T) {
	var list quarantine.List
	var events journal.Journal
	list.SetJournal(&events)
	for i := range 3 * quarantine.Capacity {
		now := clock.Millis(i)
		list.RecordCrash(now, quarantine.Fingerprint(i), "a", now)
		list.ReceiveEntry(now, quarantine.NewEntry(quarantine.Fingerprint(1<<32+i), nil, now+quarantine.Duration))
	}
	now := clock.Millis(3 * quarantine.Capacity)
	require.Len(t, list.Entries(now), quarantine.Capacity)
	require.Len(t, list.TakeChanges(), quarantine.Capacity)
	require.True(t, list.IsBlocked(now, 1<<32+3*quarantine.Capacity-1), "the newest entry is kept")
	require.False(t, list.IsSuspect(now, 0), "the oldest suspect is evicted")
	require.True(t, list.IsSuspect(now, 3*quarantine.Capacity-1))
	require.Equal(t, fmt.Sprint(quarantine.Fingerprint(1<<32+3*quarantine.Capacity-journal.Capacity)), events.After(0)[0].Subject())
}
