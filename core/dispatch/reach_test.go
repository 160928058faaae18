package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// recordFanOut plays a request that asks some shards in other data centres.
func recordFanOut(r *PartitionDetector, now clock.Millis, far, answered int, outcome Outcome) {
	for range far {
		r.RecordRemoteAttempt()
	}
	for range answered {
		r.RecordRemoteAnswer(now)
	}
	r.RecordOutcome(now, outcome)
}

// Guards against callers that keep coming to a data centre from which nothing
// gets out: of 36 shards 9 have no replica there, and answers need 34.
// The daemon gets four requests a second.
func TestCallersAreSentElsewhereWhenCutOff(t *testing.T) {
	var r PartitionDetector
	now := 10 * clock.Second
	served, late := Outcome{kind: Gathered}, Outcome{kind: TimedOut}
	for range 8 {
		recordFanOut(&r, now, 9, 9, served)
		now += 250
	}
	assert.False(t, r.CutOff(now, true))
	cutAt := now
	for !r.CutOff(now, true) && now < cutAt+5*clock.Second {
		recordFanOut(&r, now, 9, 0, late)
		now += 250
	}
	assert.LessOrEqual(t, now-cutAt, clock.Second, "time until the daemon names others")

	now += 10 * clock.Second
	assert.True(t, r.CutOff(now, false), "still cut off while no other data centre is heard of")
	assert.False(t, r.CutOff(now, true), "back once one is heard of")
	recordFanOut(&r, now, 9, 9, served)
	assert.False(t, r.CutOff(now, true))
}

// Guards against daemons that send their callers away although it is no better
// elsewhere: replicas of many shards are down everywhere, or there is too much
// load, or no replica elsewhere was asked.
func TestCallersStayWithoutEvidenceOfPartition(t *testing.T) {
	cases := map[string]struct {
		far, answered int
		outcome       Outcome
	}{
		"some replicas elsewhere answer":   {far: 9, answered: 3, outcome: Outcome{kind: TimedOut}},
		"too much load":                    {far: 0, answered: 0, outcome: Outcome{kind: Refused, busy: true}},
		"no replica elsewhere was asked":   {far: 0, answered: 0, outcome: Outcome{kind: Unavailable}},
		"callers leave":                    {far: 9, answered: 0, outcome: Outcome{kind: CallerGone}},
		"served from the own data centre":  {far: 2, answered: 0, outcome: Outcome{kind: Gathered}},
		"a replica's own failure is given": {far: 9, answered: 0, outcome: Outcome{kind: Answered}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var r PartitionDetector
			now := 10 * clock.Second
			for range 100 {
				recordFanOut(&r, now, c.far, c.answered, c.outcome)
				now += 50
				assert.False(t, r.CutOff(now, true))
			}
		})
	}
}

// Guards against one request that fails while all others are served.
func TestFewUnservedRequestsAreNoCutOff(t *testing.T) {
	var r PartitionDetector
	now := 10 * clock.Second
	for n := range 40 {
		outcome := Outcome{kind: Gathered}
		if n%4 == 0 {
			outcome = Outcome{kind: Unavailable}
		}
		recordFanOut(&r, now, 9, 0, outcome)
		now += 250
		assert.False(t, r.CutOff(now, true))
	}
}
