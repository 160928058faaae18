package drain

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

func TestStopsAfterAdviceExpiresAndRequestsEnd(t *testing.T) {
	const lifetime, margin = 10 * clock.Second, 2 * clock.Second
	cases := []struct {
		name    string
		limit   clock.Millis
		advised clock.Millis // end of an answer given before the start
		ends    clock.Millis // instant at which the request in flight ends
		stops   clock.Millis
	}{
		{"idle daemon waits for the last answer and the margin", 0, 0, 0, 12000},
		{"an earlier answer with a longer lifetime", 0, 30000, 0, 32000},
		{"a request in flight", 0, 0, 50000, 50000},
		{"a hard limit", 20000, 0, 50000, 20000},
		{"a hard limit that is not needed", 20000, 0, 0, 12000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d Drain
			d.Configure(margin, c.limit)
			d.RecordAdvice(c.advised)
			d.BeginRequest()
			assert.Empty(t, d.Tick(0), "a serving daemon does not stop")
			assert.False(t, d.ClosesConnections())
			assert.True(t, d.MayBeAdvised())
			assert.Equal(t, []Action{Announce}, d.Start(0, lifetime))
			assert.Empty(t, d.Start(1, lifetime), "a second start changes nothing")
			assert.True(t, d.ClosesConnections())
			assert.False(t, d.MayBeAdvised())
			stopped := clock.Millis(-1)
			for now := clock.Millis(0); now <= 60000; now += 100 {
				if now == c.ends {
					d.EndRequest()
				}
				if len(d.Tick(now)) > 0 {
					assert.Equal(t, clock.Millis(-1), stopped, "stops once")
					stopped = now
				}
			}
			assert.Equal(t, c.stops, stopped)
			assert.Equal(t, Stopped, d.State())
		})
	}
}

// A zero margin would let the daemon close before its peers know that it leaves.
func TestZeroMarginUsesDefault(t *testing.T) {
	var d Drain
	d.Start(0, 10*clock.Second)
	assert.Empty(t, d.Tick(10*clock.Second+DefaultMargin-1))
	assert.Equal(t, []Action{Stop}, d.Tick(10*clock.Second+DefaultMargin))
}

// Guards against a daemon that closes as soon as it resumes from a pause:
// requests that arrived meanwhile have not been read yet.
func TestMarginRestartsAfterPause(t *testing.T) {
	const margin = 2 * clock.Second
	cases := []struct {
		name        string
		pause       clock.Millis // begins at 4000
		limit       clock.Millis
		notBefore   clock.Millis
		nextStopped clock.Millis
	}{
		{"no pause", 100, 0, 11900, 12000},
		{"a scheduling delay", 2000, 0, 11900, 12000},
		{"a pause that ends before the last answer expires", 3000, 0, 11900, 12000},
		{"a pause beyond that", 9000, 0, 14900, 15000},
		{"the hard limit holds after a pause", 9000, 12900, 12900, 13000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d Drain
			d.Configure(margin, c.limit)
			d.Tick(100)
			d.Start(100, 9900)
			for now := clock.Millis(200); now <= c.notBefore; now += 100 {
				if now <= 4000 || now >= 4000+c.pause {
					assert.Empty(t, d.Tick(now), "at %v", now)
				}
			}
			assert.Equal(t, []Action{Stop}, d.Tick(c.nextStopped))
		})
	}
}
