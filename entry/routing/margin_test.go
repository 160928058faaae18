package routing

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/replica"
)

// Guards against a margin that does not follow the engine's measurements, or that the log
// and the gauge do not show: the caller is 100 ms away and opens a connection, so two
// round trips and the prior of 36 ms are reserved; and against an answer that does not wait
// for the last byte in the time that is recorded.
func TestMarginFollowsArrivalAndWriting(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 1, Slack: 10, Window: 10000})
	l.configure(shardedRoute(2, 0.5))
	l.startReplica("s0", "a", replyGood)
	l.startReplica("s1", "b", replyAfter(700*time.Millisecond))
	r, _ := l.MatchRoute("h", "/a")
	require.NotNil(t, r)
	answer := l.Serve(context.Background(), r, Request{
		ID: "q", Method: "GET", Target: "/a", Host: "h", Header: map[string][]string{"Id": {"q"}},
		Arrival: dispatch.Arrival{RoundTrip: 100, NewConnection: true},
	})
	require.Equal(t, 1, answer.Missing())
	line := l.findLine("answer partial")
	require.NotNil(t, line)
	margin, err := clock.Parse(line["margin"].(string))
	require.NoError(t, err)
	assert.InDelta(t, 236, float64(margin), 5)
	taken, err := clock.Parse(line["ms"].(string))
	require.NoError(t, err)
	assert.Less(t, taken, clock.Millis(450), "in time for the caller")
	assert.InDelta(t, 236_000, float64(l.Metrics()["route.search.answer-margin-us"]), 5000)

	time.Sleep(80 * time.Millisecond) // the caller reads slowly
	for range 100 {
		l.RecordWritten(answer)
	}
	l.serve(context.Background(), "next")
	assert.Greater(t, l.Metrics()["route.search.answer-margin-us"], int64(80_000))
	l.RecordWritten(refusal(503, "busy", 0)) // has no route
}
