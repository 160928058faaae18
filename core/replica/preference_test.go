package replica

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

const testLateAfter = 26 * clock.Millisecond // hedge delay at expectedLatency

// Guards against requests that keep going to a near replica whose answers are so late that
// each is sent to a farther one too, and against traffic to other data centres without that.
func TestPreferenceOfNearReplicaEndsWhereItIsLate(t *testing.T) {
	answer := func(r *Replica, now, latency clock.Millis) {
		r.Begin(now-latency, expectedLatency)
		r.End(now, now-latency, OK, expectedLatency)
	}
	for _, tt := range []struct {
		name      string
		lateAfter clock.Millis
		evidence  func(s *Set, near, far *Replica)
		want      string
	}{
		{"no evidence", testLateAfter, func(*Set, *Replica, *Replica) {}, "near"},
		{"slow", testLateAfter, func(_ *Set, near, _ *Replica) {
			answer(near, 600, 40)
			answer(near, 800, 40)
			answer(near, 1000, 40)
		}, "far"},
		{"late answers of one pause", testLateAfter, func(_ *Set, near, _ *Replica) {
			answer(near, 990, 120)
			answer(near, 995, 80)
			answer(near, 1000, 40)
		}, "near"},
		{"late answers at an interval of seconds", testLateAfter, func(_ *Set, near, _ *Replica) {
			answer(near, -1000, 10)
			answer(near, -200, 40)
			answer(near, 1000, 40)
		}, "far"},
		{"slow, as peers have found", testLateAfter, func(s *Set, _, _ *Replica) {
			s.ReceiveObservations(1000, []Observation{NewObservation("near", 4, 0)})
		}, "far"},
		{"slower, but not late", testLateAfter, func(_ *Set, near, _ *Replica) {
			answer(near, 900, 20)
			answer(near, 950, 20)
			answer(near, 1000, 20)
		}, "near"},
		{"slow, no instant given", 0, func(_ *Set, near, _ *Replica) {
			answer(near, 600, 40)
			answer(near, 800, 40)
			answer(near, 1000, 40)
		}, "near"},
		{"stands still", testLateAfter, func(_ *Set, near, _ *Replica) { near.Begin(970, expectedLatency) }, "far"},
		{"own burst", testLateAfter, func(_ *Set, near, _ *Replica) {
			for i := range 4 {
				near.Begin(clock.Millis(996+i), expectedLatency)
			}
		}, "near"},
		{"both slow, the near one less", testLateAfter, func(_ *Set, near, far *Replica) {
			for i := range 3 {
				answer(near, clock.Millis(600+200*i), 40)
				answer(far, clock.Millis(600+200*i), 60)
			}
		}, "near"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestSet()
			put(s, 0, entry("near", "a"), entry("far", "b"))
			tt.evidence(s, s.get("near"), s.get("far"))
			r, err := s.Pool("s").Pick(1000, NewCriteria(expectedLatency, nil).PreferLocalWithin(50).LateAfter(tt.lateAfter))
			require.NoError(t, err)
			assert.Equal(t, tt.want, r.Entry().ID())
		})
	}
}

// Guards against a near replica that gets nothing any more after it was slow once, so that
// its recovery is never seen.
func TestPreferenceReturnsAfterLateAnswers(t *testing.T) {
	s := newTestSet()
	put(s, 0, entry("near", "a"), entry("far", "b"))
	// Own evidence takes precedence over peers for a time, also when there is none yet.
	const at = 2 * ownEvidencePrecedence
	s.ReceiveObservations(at, []Observation{NewObservation("near", maxLatencyRatio, 0)})
	criteria := NewCriteria(expectedLatency, nil).PreferLocalWithin(100).LateAfter(testLateAfter)
	far, err := s.Pool("s").Pick(at, criteria)
	require.NoError(t, err)
	near, err := s.Pool("s").Pick(at+2*slownessDecayTime, criteria)
	require.NoError(t, err)
	assert.Equal(t, "far", far.Entry().ID())
	assert.Equal(t, "near", near.Entry().ID())
}

// BenchmarkPick measures a choice with and without evidence, of 3 and 19 replicas.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{3, 19} {
		for _, evidence := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d replicas, evidence %t", count, evidence), func(b *testing.B) {
				s := newTestSet()
				for i := range count {
					id := fmt.Sprint(i)
					put(s, 0, entry(id, string(rune('a'+i%3))))
					if evidence {
						s.get(id).Begin(0, expectedLatency)
						s.get(id).End(12, 0, OK, expectedLatency)
						s.get(id).Begin(99, expectedLatency)
					}
				}
				p := s.Pool("s")
				for b.Loop() {
					if _, err := p.Pick(100, benchmarkCriteria()); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func benchmarkCriteria() Criteria {
	return NewCriteria(expectedLatency, nil).PreferLocalWithin(50).LateAfter(testLateAfter)
}
