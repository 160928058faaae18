package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

func slow(id string, slowness float64) Observation { return NewObservation(id, slowness, 0) }

func failing(id string, rate float64) Observation { return NewObservation(id, 1, rate) }

func leaving(id string) Observation { return NewObservation(id, 1, 0).AsLeaving(7) }

// Guards against replies that grow with the number of followers. 99 followers in a
// data centre, each with observations of the same replicas, received 2.6 MB a second
// from the daemon that they followed.
func TestMergedObservationsAreBounded(t *testing.T) {
	var m ObservationMerger
	for follower := range 99 {
		var list []Observation
		for n := range 256 {
			list = append(list, slow(fmt.Sprint("i", (n+follower)%400), 2))
		}
		m.Record(0, fmt.Sprint("daemon", follower), list)
	}
	m.Merge(0)
	count := len(m.Excluding("daemon0"))
	assert.LessOrEqual(t, count, maxObservations)
	assert.Greater(t, count, maxObservations/2)
	assert.False(t, m.MergeDue(mergeInterval-1))
	assert.True(t, m.MergeDue(mergeInterval))
}

// Guards against one daemon that takes sound replicas out for all others because it is
// itself slow or partially cut off, against a daemon that receives its own observations
// back, so that they never expire, and against observations that are lost because
// several daemons report the same replica.
func TestObservationsNeedTwoDaemons(t *testing.T) {
	cases := map[string]struct {
		reports map[string][]Observation
		want    map[string][]Observation // by the daemon that gets them
	}{
		"one daemon": {
			map[string][]Observation{"a": {slow("x", 5), failing("y", 1)}},
			map[string][]Observation{"a": nil, "b": nil},
		},
		"two daemons: the others get what both have seen": {
			map[string][]Observation{"a": {slow("x", 5)}, "b": {slow("x", 3)}},
			map[string][]Observation{"a": {slow("x", 3)}, "b": {slow("x", 5)}, "c": {slow("x", 3)}},
		},
		"three daemons": {
			map[string][]Observation{"a": {slow("x", 5)}, "b": {slow("x", 4)}, "c": {slow("x", 2)}},
			map[string][]Observation{
				"a": {slow("x", 4)}, "b": {slow("x", 5)}, "c": {slow("x", 5)}, "d": {slow("x", 4)},
			},
		},
		"different replicas": {
			map[string][]Observation{"a": {slow("x", 5)}, "b": {slow("y", 4)}},
			map[string][]Observation{"a": nil, "b": nil, "c": nil},
		},
		"the replica states that it leaves": {
			map[string][]Observation{"a": {leaving("x")}},
			map[string][]Observation{"a": nil, "b": {leaving("x")}},
		},
		"leaving, and slow for one daemon": {
			map[string][]Observation{"a": {slow("x", 5).AsLeaving(7)}},
			map[string][]Observation{"b": {leaving("x")}},
		},
		"leaving to one daemon, slow for another": {
			map[string][]Observation{"a": {leaving("x")}, "b": {slow("x", 5)}},
			map[string][]Observation{"a": nil, "b": {leaving("x")}, "c": {leaving("x")}},
		},
		"failing for one daemon, slow for another": {
			map[string][]Observation{"a": {failing("x", 1)}, "b": {slow("x", 5)}},
			map[string][]Observation{"c": {failing("x", 1)}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var m ObservationMerger
			for daemon, list := range c.reports {
				m.Record(0, daemon, list)
			}
			m.Merge(0)
			for daemon, want := range c.want {
				assert.ElementsMatch(t, want, m.Excluding(daemon), "to %s", daemon)
			}
		})
	}
}

// Guards against reports that outlive what their daemon observes.
func TestReportsEnd(t *testing.T) {
	var m ObservationMerger
	m.Record(0, "a", []Observation{slow("x", 5)})
	m.Record(0, "b", []Observation{slow("x", 5)})
	m.Merge(0)
	require.Len(t, m.Excluding("c"), 1)
	m.Record(10, "a", nil)
	m.Merge(10)
	assert.Empty(t, m.Excluding("c"), "a has withdrawn its observations")
	m.Record(20, "a", []Observation{slow("x", 5)})
	m.Merge(reportLifetime + clock.Millisecond)
	assert.Empty(t, m.Excluding("c"), "the report of b has expired")
}
