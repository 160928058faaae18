package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

func observation(id string, slowness float32) wireObservation {
	return wireObservation{ReplicaID: id, Slowness: slowness}
}

// Guards against replies that grow with the number of followers. 99 followers in a
// data centre, each with observations of the same replicas, received 2.6 MB a second
// from the daemon that they followed.
func TestObservationsInReplyAreBounded(t *testing.T) {
	var o observationMerger
	for follower := range 99 {
		var list []wireObservation
		for n := range 256 {
			list = append(list, observation(fmt.Sprint("i", (n+follower)%400), 2))
		}
		o.record(0, fmt.Sprint("daemon", follower), list)
	}
	o.merge(0)
	reply := len(o.excluding("daemon0"))
	assert.LessOrEqual(t, reply, maxMergedObservations)
	assert.Greater(t, reply, maxMergedObservations/2)
	assert.False(t, o.mergeDue(mergeInterval-1))
	assert.True(t, o.mergeDue(mergeInterval))
}

// Guards against a daemon that receives its own observations back as those of another
// daemon, so that they never expire, and against observations that are lost because
// several daemons report the same replica.
func TestDaemonGetsWorstObservationsOfOthers(t *testing.T) {
	var o observationMerger
	o.record(0, "a", []wireObservation{observation("x", 5), observation("only-a", 3)})
	o.record(0, "b", []wireObservation{observation("x", 4), observation("y", 2)})
	o.record(0, "c", []wireObservation{observation("x", 3)})
	o.merge(0)
	assert.ElementsMatch(t, []wireObservation{observation("x", 4), observation("y", 2)}, o.excluding("a"))
	assert.ElementsMatch(t, []wireObservation{observation("x", 5), observation("only-a", 3)}, o.excluding("b"))
	assert.ElementsMatch(t, []wireObservation{observation("x", 5), observation("only-a", 3), observation("y", 2)}, o.excluding("c"))

	o.record(10, "a", nil)
	o.merge(10)
	require.Len(t, o.excluding("c"), 2, "a has withdrawn its observations")
	o.merge(reportLifetime + clock.Second)
	assert.Empty(t, o.excluding("d"), "the reports have expired")
}
