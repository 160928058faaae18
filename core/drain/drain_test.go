package drain

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Guards against a daemon that closes while a caller still holds a valid answer with
// its address or waits for a reply, and against one that never closes.
func TestStopsAfterAdviceExpiresAndRequestsEnd(t *testing.T) {
	const lifetime, margin = 10 * clock.Second, 2 * clock.Second
	cases := []struct {
		name            string
		maxDuration     clock.Millis
		adviceExpiresAt clock.Millis // of an address answer given before the start
		requestEndsAt   clock.Millis
		stopsAt         clock.Millis
	}{
		{"an idle daemon waits for the last answer and the margin", 0, 0, 0, 12000},
		{"an earlier answer with a longer lifetime", 0, 30000, 0, 32000},
		{"a request in flight", 0, 0, 50000, 50000},
		{"a limit that interrupts a request", 20000, 0, 50000, 20000},
		{"a limit that is not reached", 20000, 0, 0, 12000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d Drain
			d.Configure(margin, c.maxDuration)
			d.RecordAdvice(c.adviceExpiresAt)
			d.BeginRequest()
			assert.Empty(t, d.Tick(0), "a serving daemon does not stop")
			assert.False(t, d.ClosesConnections())
			assert.True(t, d.MayBeAdvised())
			assert.Equal(t, []Action{Announce}, d.Start(0, lifetime))
			assert.Empty(t, d.Start(1, lifetime), "a second start has no effect")
			assert.True(t, d.ClosesConnections())
			assert.False(t, d.MayBeAdvised())
			stoppedAt := clock.Millis(-1)
			for now := clock.Millis(0); now <= 60000; now += 100 {
				if now == c.requestEndsAt {
					d.EndRequest()
				}
				if len(d.Tick(now)) > 0 {
					assert.Equal(t, clock.Millis(-1), stoppedAt, "Stop is returned once")
					stoppedAt = now
				}
			}
			assert.Equal(t, c.stopsAt, stoppedAt)
			assert.Equal(t, Stopped, d.State())
		})
	}
}

// Guards against a margin of zero when none is configured: the daemon would close
// before its peers know that it is leaving.
func TestZeroMarginUsesDefault(t *testing.T) {
	var d Drain
	d.Start(0, 10*clock.Second)
	assert.Empty(t, d.Tick(10*clock.Second+DefaultMargin-1))
	assert.Equal(t, []Action{Stop}, d.Tick(10*clock.Second+DefaultMargin))
}

// Guards against a daemon that closes as soon as its process resumes from a pause,
// before it has read the requests that arrived in the meantime.
func TestMarginRestartsAfterPause(t *testing.T) {
	const margin = 2 * clock.Second
	cases := []struct {
		name          string
		pause         clock.Millis // duration, from 4000 on
		maxDuration   clock.Millis
		lastServingAt clock.Millis
		stopsAt       clock.Millis
	}{
		{"no pause", 100, 0, 11900, 12000},
		{"a scheduling delay", 2000, 0, 11900, 12000},
		{"a pause that ends before the last answer expires", 3000, 0, 11900, 12000},
		{"a pause that ends after the last answer has expired", 9000, 0, 14900, 15000},
		{"a limit that a pause does not extend", 9000, 12900, 12900, 13000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d Drain
			d.Configure(margin, c.maxDuration)
			d.Tick(100)
			d.Start(100, 9900)
			for now := clock.Millis(200); now <= c.lastServingAt; now += 100 {
				if now <= 4000 || now >= 4000+c.pause {
					assert.Empty(t, d.Tick(now), "at %v", now)
				}
			}
			assert.Equal(t, []Action{Stop}, d.Tick(c.stopsAt))
		})
	}
}
