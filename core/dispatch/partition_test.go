package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// recordFanOut records a request that sends attempts to other data centres, some of
// which are answered.
func recordFanOut(d *PartitionDetector, now clock.Millis, remote, answered int, outcome Outcome) {
	for range remote {
		d.RecordRemoteAttempt()
	}
	for range answered {
		d.RecordRemoteAnswer(now)
	}
	d.RecordOutcome(now, outcome)
}

// Guards against callers that stay with a data centre cut off from the others. Of 36
// shards, 9 have no replica there, and an answer must cover 34. The daemon receives
// four requests a second.
func TestCallersAreSentElsewhereWhenCutOff(t *testing.T) {
	var d PartitionDetector
	now := 10 * clock.Second
	served, late := Outcome{kind: Gathered}, Outcome{kind: TimedOut}
	for range 8 {
		recordFanOut(&d, now, 9, 9, served)
		now += 250
	}
	assert.False(t, d.CutOff(now, true))
	cutAt := now
	for !d.CutOff(now, true) && now < cutAt+5*clock.Second {
		recordFanOut(&d, now, 9, 0, late)
		now += 250
	}
	assert.LessOrEqual(t, now-cutAt, clock.Second, "time until callers are sent elsewhere")

	now += 10 * clock.Second
	assert.True(t, d.CutOff(now, false), "still cut off without a link to another data centre")
	assert.False(t, d.CutOff(now, true), "accepts callers again once linked")
	recordFanOut(&d, now, 9, 9, served)
	assert.False(t, d.CutOff(now, true))
}

// Guards against sending callers elsewhere without a partition: replicas of many
// shards are down everywhere, the load is too high, or no attempt was made at
// another data centre.
func TestCallersStayWithoutEvidenceOfPartition(t *testing.T) {
	cases := map[string]struct {
		remote, answered int
		outcome          Outcome
	}{
		"some remote replicas answer":    {remote: 9, answered: 3, outcome: Outcome{kind: TimedOut}},
		"refused by admission":           {remote: 0, answered: 0, outcome: Outcome{kind: Refused, busy: true}},
		"no remote attempt":              {remote: 0, answered: 0, outcome: Outcome{kind: Unavailable}},
		"callers disconnect":             {remote: 9, answered: 0, outcome: Outcome{kind: CallerGone}},
		"served by local replicas":       {remote: 2, answered: 0, outcome: Outcome{kind: Gathered}},
		"a replica's error is passed on": {remote: 9, answered: 0, outcome: Outcome{kind: Answered}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d PartitionDetector
			now := 10 * clock.Second
			for range 100 {
				recordFanOut(&d, now, c.remote, c.answered, c.outcome)
				now += 50
				assert.False(t, d.CutOff(now, true))
			}
		})
	}
}

// Guards against a detected partition while only one request in four is not served.
func TestFewUnservedRequestsAreNoCutOff(t *testing.T) {
	var d PartitionDetector
	now := 10 * clock.Second
	for n := range 40 {
		outcome := Outcome{kind: Gathered}
		if n%4 == 0 {
			outcome = Outcome{kind: Unavailable}
		}
		recordFanOut(&d, now, 9, 0, outcome)
		now += 250
		assert.False(t, d.CutOff(now, true))
	}
}
