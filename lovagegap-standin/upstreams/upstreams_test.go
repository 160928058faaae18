package upstreams

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/lovagegap-standin/deployment"
)

func startFleet(t *testing.T, service deployment.Service) *Fleet {
	service.Name = "s"
	f, err := Start(deployment.Deployment{
		User: "u", DataCentres: []string{"ikeja", "lekki"}, UpstreamIP: "127.0.0.1", Seed: 1,
		Services: []deployment.Service{service},
	}, clock.Clock{})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func startReplica(t *testing.T, service deployment.Service) *Upstream {
	service.ShardCount, service.ReplicasPerShard = 1, 1
	return startFleet(t, service).All()[0]
}

// sendQuery sends a query for shard 0 on a new connection. It returns status code
// 0 if the connection ended without a complete reply.
func sendQuery(ctx context.Context, u *Upstream, version int, body string) (int, http.Header) {
	transport := &http.Transport{DisableKeepAlives: true}
	target := "http://" + u.Address() + "/v1/shards/0/query"
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	request.Header.Set("Lovagegap-Snapshot", fmt.Sprint(version))
	request.Header.Set("Lovagegap-Request", "q1/0")
	reply, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer reply.Body.Close()
	if _, err := io.ReadAll(reply.Body); err != nil {
		return 0, nil
	}
	return reply.StatusCode, reply.Header
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 5*time.Second, time.Millisecond, description)
}

func lastOutcome(u *Upstream) string {
	entries := u.Log(0)
	return entries[len(entries)-1].Outcome
}

// Guards against faults without effect, or with the wrong one: each fault has to
// give its status code and its outcome in the log, and only a crash restarts the
// process.
func TestFaultDeterminesReplyAndOutcome(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		version int
		code    int
		outcome string
	}{
		{"none", Faults{}, 1, 200, Completed},
		{"version not held", Faults{}, 2, 410, Misrouted},
		{"shed", Faults{ShedShare: 1}, 1, 503, Shed},
		{"failed", Faults{FailShare: 1}, 1, 500, Completed},
		{"crash", Faults{CrashText: "relay"}, 1, 0, Crashed},
		{"another text does not crash", Faults{CrashText: "sprint"}, 1, 200, Completed},
		{"no reply", Faults{ReplyFault: NoReply}, 1, 0, Completed},
		{"half a body", Faults{ReplyFault: HalfBody}, 1, 0, Completed},
		{"leaving still serves", Faults{Leaving: true}, 1, 200, Completed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := startReplica(t, deployment.Service{Slots: 2})
			boot := u.Boot()
			u.SetFaults(c.faults)
			code, header := sendQuery(t.Context(), u, c.version, `{"text":"relay"}`)
			require.Equal(t, c.code, code)
			require.Equal(t, c.code == 503, header.Get("Lovagegap-Ran") == "not-run")
			eventually(t, c.outcome, func() bool { return lastOutcome(u) == c.outcome })
			require.Equal(t, c.outcome == Crashed, u.Boot() != boot, "only a crash changes the boot ID")
			cold, _ := u.Cold()
			require.Equal(t, c.outcome == Crashed, cold)
		})
	}
}

// Guards against a cold start that warms up too early or tolerates overload: the
// capacity doubles once as many sub-requests have completed, and one concurrent
// sub-request above the capacity crashes the process.
func TestColdStartDoublesCapacityAndCrashesAboveIt(t *testing.T) {
	u := startReplica(t, deployment.Service{Slots: 6, StartCold: true})
	for _, want := range []int{1, 2, 2, 4, 4, 4, 4, 6} {
		_, level := u.Cold()
		require.Equal(t, want, level)
		code, _ := sendQuery(t.Context(), u, 1, "")
		require.Equal(t, 200, code)
	}
	cold, _ := u.Cold()
	require.False(t, cold)
	require.Zero(t, u.Counts().ColdCrashes)

	slow := startReplica(t, deployment.Service{Slots: 6, StartCold: true, ServiceTime: deployment.Duration(time.Hour)})
	boot := slow.Boot()
	done := make(chan int, 1)
	go func() {
		code, _ := sendQuery(t.Context(), slow, 1, "")
		done <- code
	}()
	eventually(t, "one sub-request running", func() bool { return slow.Status().Load == 1 })
	code, _ := sendQuery(t.Context(), slow, 1, "")
	require.Zero(t, code)
	require.Zero(t, <-done, "the crash ends the running sub-request")
	require.Equal(t, 1, slow.Counts().ColdCrashes)
	require.NotEqual(t, boot, slow.Boot())
	require.Zero(t, slow.Status().Load)
}

// Guards against a sub-request that runs in the wrong process: one that was read
// just before a restart would use the capacity of the new, cold process.
func TestRestartAbortsRequestsReadBefore(t *testing.T) {
	u := startReplica(t, deployment.Service{Slots: 2})
	serverSide, clientSide := net.Pipe()
	defer clientSide.Close()
	c := &conn{Conn: serverSide, upstream: u}
	require.True(t, u.admitConn(c))
	u.Restart()
	for range 3 {
		r := httptest.NewRequest(http.MethodPost, "/v1/shards/0/query", strings.NewReader("{}"))
		r.Header.Set("Lovagegap-Snapshot", "1")
		r.SetPathValue("shard", "0")
		r = r.WithContext(withConn(r.Context(), c))
		require.PanicsWithValue(t, http.ErrAbortHandler, func() { u.handleQuery(httptest.NewRecorder(), r) })
	}
	require.Zero(t, u.Counts().Started)
	require.Zero(t, u.Counts().ColdCrashes)
	entries := u.Log(0)
	require.Len(t, entries, 3)
	for _, e := range entries {
		require.Equal(t, Crashed, e.Outcome)
		require.NotEqual(t, u.Status().Boot, e.Boot)
	}
}

// Guards against a leak of slots: a sub-request whose connection is closed has to
// release its slot, or its place in the queue.
func TestCancellationFreesSlotAndQueuePlace(t *testing.T) {
	u := startReplica(t, deployment.Service{Slots: 1, QueueLimit: 1, ServiceTime: deployment.Duration(time.Hour)})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan int, 2)
	for n := range 2 {
		go func() {
			code, _ := sendQuery(ctx, u, 1, "")
			done <- code
		}()
		eventually(t, "running or queued", func() bool { return u.Status().Load == n+1 })
	}
	code, _ := sendQuery(t.Context(), u, 1, "")
	require.Equal(t, 503, code, "the queue is full")
	cancel()
	require.Zero(t, <-done)
	require.Zero(t, <-done)
	eventually(t, "slot and queue place released", func() bool { return u.Status().Load == 0 })
	require.Equal(t, 2, u.Counts().Cancelled)
}

func dial(t *testing.T, u *Upstream) net.Conn {
	c, err := net.Dial("tcp", u.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// statusOnce requests the status on a new connection. It returns an error if the
// connection is above the limit, also one from the dial, since the reset may come
// while the connection is being opened.
func statusOnce(u *Upstream) error {
	c, err := net.Dial("tcp", u.Address())
	if err != nil {
		return err
	}
	defer c.Close()
	return status(c, 5*time.Second)
}

func status(c net.Conn, wait time.Duration) error {
	if _, err := fmt.Fprint(c, "GET /v1/status HTTP/1.1\r\nHost: u\r\n\r\n"); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	reply, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, reply.Body)
	return err
}

// Guards against a connection limit that is not enforced or counts closed
// connections, and against silent connections that reply or close.
func TestConnectionCapAndSilence(t *testing.T) {
	u := startReplica(t, deployment.Service{Slots: 1, MaxConnections: 2})
	first, second := dial(t, u), dial(t, u)
	require.NoError(t, status(first, 5*time.Second))
	require.NoError(t, status(second, 5*time.Second))
	require.Error(t, statusOnce(u), "above the limit")
	require.Equal(t, 1, u.Counts().Refused)

	u.Silence()
	var network net.Error
	err := status(first, 50*time.Millisecond)
	require.ErrorAs(t, err, &network)
	require.True(t, network.Timeout(), "silent, not closed")
	require.NoError(t, second.Close())
	eventually(t, "a new connection gets a reply", func() bool { return statusOnce(u) == nil })
	require.Equal(t, 2, u.Counts().MaxConnections)
}

// Guards against shards that no replica holds when the number of shards changes:
// a version published to all replicas has to be complete, and one published to a
// share of them has to reach no more than that share.
func TestPublishedVersionCoversEveryShard(t *testing.T) {
	held := func(f *Fleet, version uint64) map[int]bool {
		shards := make(map[int]bool)
		for _, u := range f.All() {
			for _, h := range u.Status().Holdings {
				for _, s := range h.HeldShards {
					if h.Version == version {
						shards[s] = true
					}
				}
			}
		}
		return shards
	}
	for _, shards := range []int{1, 3, 4, 5, 8, 11} {
		f := startFleet(t, deployment.Service{ShardCount: 4, ReplicasPerShard: 2, Slots: 1})
		f.Publish("s", 2, shards, 0.125)
		require.LessOrEqual(t, len(held(f, 2)), 2, "one of eight replicas holds the version")
		f.Publish("s", 2, shards, 1)
		require.Len(t, held(f, 2), shards)
		require.Len(t, held(f, 1), 4, "the old version is kept")
		f.Drop("s", 1, 1)
		require.Empty(t, held(f, 1))
	}
}

// Guards against service times that a seed does not reproduce, and against a wrong
// share of slow sub-requests.
func TestServiceTimeFollowsSeedAndSlowShare(t *testing.T) {
	service := deployment.Service{Slots: 1, ServiceTime: deployment.Duration(time.Millisecond), ServiceTimeSigma: 0.2}
	a, b := startReplica(t, service), startReplica(t, service)
	a.SetFaults(Faults{SlowShare: 0.01, SlowFactor: 50})
	b.SetFaults(Faults{SlowShare: 0.01, SlowFactor: 50})
	slow := 0
	for range 10_000 {
		drawn := a.drawServiceTime(&LogEntry{})
		require.Equal(t, drawn, b.drawServiceTime(&LogEntry{}), "same seed")
		if drawn > 10*time.Millisecond {
			slow++
		}
	}
	require.InDelta(t, 100, slow, 40, "1 % of the draws, within four standard deviations")
}

// Guards against an override of the reported status that changes the state itself.
func TestStatusOverrideLeavesStateUnchanged(t *testing.T) {
	u := startReplica(t, deployment.Service{Slots: 2, StartCold: true})
	require.Equal(t, "cold", u.Status().State)
	load := 7
	u.SetFaults(Faults{StatusOverride: &StatusOverride{State: "serving", Load: &load, Holdings: []Holding{}}})
	s := u.Status()
	require.Equal(t, "serving", s.State)
	require.Equal(t, 7, s.Load)
	require.Empty(t, s.Holdings)
	cold, _ := u.Cold()
	require.True(t, cold, "the process is still cold")
}

// Guards against control calls that reach replicas outside the selection, reset
// faults that the body does not contain, or ignore misspelt ones.
func TestControlAppliesToSelectedReplicas(t *testing.T) {
	f := startFleet(t, deployment.Service{ShardCount: 2, ReplicasPerShard: 2, Slots: 1})
	call := func(method, path, body string) int {
		recorder := httptest.NewRecorder()
		f.Control().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
		return recorder.Code
	}
	require.Equal(t, 200, call(http.MethodPut, "/faults?dataCentre=lekki", `{"shed":1}`))
	require.Equal(t, 200, call(http.MethodPut, "/faults?dataCentre=lekki", `{"report":{"state":"serving","load":0}}`))
	for _, u := range f.All() {
		require.Equal(t, u.DataCentre() == "lekki", u.Faults().ShedShare == 1)
		require.Equal(t, u.DataCentre() == "lekki", u.Faults().StatusOverride != nil)
	}
	require.Equal(t, 400, call(http.MethodPut, "/faults", `{"shedd":1}`), "misspelt fault")
	require.Equal(t, 404, call(http.MethodPost, "/restart?service=other", ""))
	require.Equal(t, 200, call(http.MethodPost, "/restart?upstream="+f.All()[0].Address(), ""))
	cold, _ := f.All()[0].Cold()
	require.True(t, cold)
	require.Equal(t, 200, call(http.MethodDelete, "/faults", ""))
	require.Zero(t, f.All()[1].Faults())
	require.Equal(t, 200, call(http.MethodGet, "/log?after=0", ""))
	require.Equal(t, 200, call(http.MethodGet, "/upstreams", ""))
}

// Guards against a log that grows without limit or loses its newest entries.
func TestLogKeepsNewestEntries(t *testing.T) {
	var l requestLog
	u := &Upstream{}
	for range logCapacity + 10 {
		l.add(&LogEntry{})
	}
	u.log = l
	entries := u.Log(0)
	require.Len(t, entries, logCapacity)
	require.Equal(t, 11, entries[0].Sequence)
	require.Equal(t, logCapacity+10, entries[logCapacity-1].Sequence)
	require.Len(t, u.Log(logCapacity+8), 2)
}
