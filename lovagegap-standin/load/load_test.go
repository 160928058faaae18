package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// startDaemon starts a simulated entry daemon and returns its address and its count
// of queries. It calls answer for the n-th query, counted from 1.
func startDaemon(t *testing.T, answer func(w http.ResponseWriter, n int64)) (string, *atomic.Int64) {
	var queries atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/users/u/services/{service}/query", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, queries.Add(1))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), &queries
}

func writeCoverage(w http.ResponseWriter, covered int) {
	fmt.Fprintf(w, `{"coverage":{"asked":4,"covered":%d}}`, covered)
}

func testOptions(entries ...string) Options {
	return Options{Entries: entries, User: "u", Services: []string{"s"}, Rate: 2000, Count: 40, Deadline: 10 * time.Second}
}

// Guards against outcomes that the report counts wrongly or leaves out: errors,
// partial answers, complete answers and closed connections.
func TestReportCountsEveryOutcome(t *testing.T) {
	entry, _ := startDaemon(t, func(w http.ResponseWriter, n int64) {
		switch n % 4 {
		case 0:
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"error":{"code":"overload"}}`)
		case 1:
			writeCoverage(w, 3)
		case 2:
			writeCoverage(w, 4)
		default:
			panic(http.ErrAbortHandler)
		}
	})
	report, err := Run(t.Context(), testOptions(entry))
	require.NoError(t, err)
	s := report.Summaries()[0]
	require.Equal(t, 40, s.Sent)
	require.Equal(t, 20, s.Answered)
	require.Equal(t, 10, s.Complete)
	require.InDelta(t, 0.875, s.Coverage, 1e-9)
	require.Equal(t, map[string]int{"overload": 10, "connection": 10}, s.Errors)
	require.True(t, report.Failed())
	var text strings.Builder
	report.Print(&text)
	require.Contains(t, text.String(), "40 sent, 20 answered, 10 complete, 0 dropped, mean coverage 0.8750")
	require.Contains(t, text.String(), "overload: 10")
	var total int64
	for _, n := range report.bucketCounts("s") {
		total += n
	}
	require.Equal(t, int64(40), total, "every latency is in a bucket")
}

// Guards against a closed-loop generator, which would hide a stall of the daemon.
// The daemon answers no query until all have arrived.
func TestSendingDoesNotWaitForAnswers(t *testing.T) {
	all := make(chan struct{})
	entry, _ := startDaemon(t, func(w http.ResponseWriter, n int64) {
		if n == 40 {
			close(all)
		}
		<-all
		writeCoverage(w, 4)
	})
	report, err := Run(t.Context(), testOptions(entry))
	require.NoError(t, err)
	require.False(t, report.Failed())
	l := report.Summaries()[0].Latency
	require.Positive(t, l.P50)
	require.LessOrEqual(t, l.P50, l.P99)
	require.LessOrEqual(t, l.P99, l.Max)
}

// Guards against queries that still go to the configured entries after a daemon has
// advised other addresses.
func TestQueriesFollowAdvisedAddresses(t *testing.T) {
	named, queries := startDaemon(t, func(w http.ResponseWriter, _ int64) { writeCoverage(w, 4) })
	var dataCentre atomic.Value
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dataCentre.Store(r.URL.Query().Get("dataCentre"))
		fmt.Fprintf(w, `{"addresses":[%q],"lifetime":"1h"}`, named)
	}))
	defer first.Close()
	o := testOptions(strings.TrimPrefix(first.URL, "http://"))
	o.FollowAddresses, o.DataCentre = true, "ikeja"
	report, err := Run(t.Context(), o)
	require.NoError(t, err)
	require.False(t, report.Failed())
	require.Equal(t, int64(40), queries.Load())
	require.Equal(t, "ikeja", dataCentre.Load())
}

// Guards against partial answers of the warm-up in the report.
func TestWarmUpQueriesAreNotMeasured(t *testing.T) {
	entry, queries := startDaemon(t, func(w http.ResponseWriter, n int64) { writeCoverage(w, int(min(n, 4))) })
	o := testOptions(entry)
	o.ReadyTimeout, o.WarmUp = 20*time.Second, true
	report, err := Run(t.Context(), o)
	require.NoError(t, err)
	require.False(t, report.Failed(), "partial answers precede the measurement")
	require.Equal(t, int64(44), queries.Load())
}

// Guards against options that are missing or out of range, and against a cancelled
// run that passes as successful.
func TestRunErrors(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	gone := strings.TrimPrefix(closed.URL, "http://")
	cases := []struct {
		name   string
		change func(*Options)
		want   error
	}{
		{"no entry", func(o *Options) { o.Entries = nil }, ErrOptions},
		{"no service", func(o *Options) { o.Services = nil }, ErrOptions},
		{"rate 0", func(o *Options) { o.Rate = 0 }, ErrOptions},
		{"rate above the limit", func(o *Options) { o.Rate = maxQueriesPerSecond + 1 }, ErrOptions},
		{"count 0", func(o *Options) { o.Count = 0 }, ErrOptions},
		{"count above the limit", func(o *Options) { o.Count = maxQueries + 1 }, ErrOptions},
		{"no deadline", func(o *Options) { o.Deadline = 0 }, ErrOptions},
		{"not ready", func(o *Options) { o.ReadyTimeout = time.Millisecond }, ErrNotReady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := testOptions(gone)
			c.change(&o)
			_, err := Run(t.Context(), o)
			require.True(t, errors.Is(err, c.want), "%v", err)
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	report, err := Run(ctx, testOptions(gone))
	require.NoError(t, err)
	require.True(t, report.Failed(), "a run without queries has failed")
}

// Guards against a reply whose status has no name, such as 000, that counts as an answer.
func TestUnnamedStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "299", "700"} {
		entry, _ := startDaemon(t, func(w http.ResponseWriter, _ int64) {
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				const text = `{"coverage":{"asked":4,"covered":4}}`
				fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
				_ = c.Close()
			}
		})
		report, err := Run(t.Context(), testOptions(entry))
		require.NoError(t, err)
		s := report.Summaries()[0]
		require.Equal(t, 40, s.Sent)
		require.Zero(t, s.Answered, status)
		require.Equal(t, map[string]int{"bad-status": 40}, s.Errors, status)
	}
}
