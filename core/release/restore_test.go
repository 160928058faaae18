package release

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/replica"
)

// inEra returns the revision with a number in an era that the store states.
func inEra(stated, number uint64) mirror.Revision {
	return mirror.NewRevision(mirror.NewEra(stated, 0), number)
}

// newOrdered returns a release of the version v2 on the daemon d, whose store is in era 1.
func newOrdered() *Release {
	r := New(simService, "d", simSettings)
	r.SetOrder(1000, &Order{Target: "v2", Duration: clock.Minute, Revision: inEra(1, 90)})
	return r
}

// callsUntil ticks the release up to an instant and returns the calls of the store that it wants.
func callsUntil(r *Release, from, until clock.Millis, era mirror.Era) (calls []Action) {
	for now := from; now < until; now += simTick {
		for _, action := range r.Tick(now, Local{Targets: 1, StoreEra: era}) {
			if action.Kind == WriteStatus || action.Kind == ReadStatus {
				calls = append(calls, action)
			}
		}
	}
	return calls
}

// requireCall ticks the release until it wants a call of the store, and returns it with the
// instant.
func requireCall(t *testing.T, r *Release, now clock.Millis, era mirror.Era, kind ActionKind) (Action, clock.Millis) {
	t.Helper()
	for end := now + 10*clock.Second; now < end; now += simTick {
		if calls := callsUntil(r, now, now+1, era); len(calls) > 0 {
			require.Equal(t, kind, calls[0].Kind)
			return calls[0], now
		}
	}
	require.Fail(t, "no call of the store")
	return Action{}, 0
}

// Guards against a status that is ignored after the store was restored from an older copy,
// since its number is lower, and against one of before the restore that comes late.
func TestStatusOfLaterEraIsTaken(t *testing.T) {
	before := Status{State: Running, Target: "v2", Decider: "e", Revision: inEra(1, 95)}
	after := Status{State: Running, Target: "v2", Decider: "f", Revision: inEra(2, 40)}
	r := newOrdered()
	r.SetStatus(1000, before, 0)
	r.SetStatus(2000, after, 0)
	assert.Equal(t, after, r.Status())
	for _, late := range []Status{before, {Revision: inEra(1, 0)}, {Revision: inEra(1, 99)}, {Revision: inEra(2, 39)}} {
		r.SetStatus(3000, late, 0)
		assert.Equal(t, after, r.Status())
	}
	r.SetStatus(4000, Status{Revision: inEra(2, 41)}, 0)
	assert.Empty(t, r.Status().Target, "removed")
}

// Guards against a version that gets requests by a directive of before the restore, and
// against directives of the next decider that are ignored because their numbers are lower.
func TestDirectiveOfEarlierEraIsNotObeyed(t *testing.T) {
	directive := Directive{Target: "v2", Phase: Ramp, Share: 0.5, Revision: inEra(1, 95), Sequence: 7}
	later := Directive{Target: "v2", Phase: Ramp, Share: 0.2, Revision: inEra(2, 40), Sequence: 1}
	share := func(r *Release) float64 {
		share, _ := r.Share(2000)
		return share
	}
	r := newOrdered()
	r.SetStatus(1000, Status{State: Running, Target: "v2", Decider: "e", Revision: inEra(1, 95)}, 0)
	r.ReceiveDirective(1000, directive, 0)
	require.InDelta(t, 0.5, share(r), 0)
	r.SetStatus(2000, Status{State: Running, Target: "v2", Decider: "f", Revision: inEra(2, 40)}, 0)
	assert.Equal(t, replica.OldVersions, r.Rule().Mode)
	directive.Revision, directive.Sequence = inEra(1, 99), 8
	r.ReceiveDirective(2000, directive, 0)
	assert.Equal(t, replica.OldVersions, r.Rule().Mode)
	r.ReceiveDirective(2000, later, 0)
	assert.InDelta(t, 0.2, share(r), 0)

	ahead := newOrdered()
	ahead.SetStatus(1000, Status{State: Running, Target: "v2", Decider: "e", Revision: inEra(1, 95)}, 0)
	for _, d := range []Directive{directive, later, directive} {
		ahead.ReceiveDirective(2000, d, 0)
	}
	assert.InDelta(t, 0.2, share(ahead), 0, "the directive has come before the status")
}

// Guards against revisions that lose their era between daemons, and against records of a store
// that states no era which are larger than before.
func TestRecordsStateEra(t *testing.T) {
	for revision, fields := range map[mirror.Revision]int{
		revisionAt(5): 0, inEra(3, 5): 1, mirror.NewRevision(mirror.NewEra(3, 2), 5): 1, mirror.NewRevision(mirror.NewEra(0, 1), 5): 1,
	} {
		directive := Directive{Target: "v2", Revision: revision, Share: 0.5}
		body := EncodeDirective(directive)
		decoded, err := DecodeDirective(body)
		require.NoError(t, err)
		assert.Equal(t, directive, decoded)
		var raw map[int]any
		require.NoError(t, cbor.Unmarshal(body, &raw))
		assert.Len(t, raw, 7+fields)
		assert.EqualValues(t, 5, raw[2])

		report := Report{Target: "v2", Revision: revision}
		body = EncodeReport(report)
		decodedReport, err := DecodeReport(body)
		require.NoError(t, err)
		assert.Equal(t, report, decodedReport)
		raw = nil
		require.NoError(t, cbor.Unmarshal(body, &raw))
		assert.Len(t, raw, 8+fields)
		assert.EqualValues(t, 5, raw[3])
	}
}

// Guards against a write that expects revisions of before a restore, which may stand for other
// items by now.
func TestWriteIsOutdatedInLaterEra(t *testing.T) {
	write, now := requireCall(t, newOrdered(), 1000, mirror.NewEra(1, 0), WriteStatus)
	assert.Positive(t, now)
	assert.Equal(t, inEra(1, 0), write.Expect)
	assert.Equal(t, inEra(1, 90), write.OrderRevision)
	assert.False(t, write.Outdated(mirror.NewEra(1, 0)))
	assert.True(t, write.Outdated(mirror.NewEra(1, 1)))
	assert.True(t, write.Outdated(mirror.NewEra(2, 0)))
	write.Expect = inEra(2, 0)
	assert.True(t, write.Outdated(mirror.NewEra(2, 0)), "the order is that of before")
}

// Guards against a write that is taken for done although the store was restored before it
// answered: the expected numbers may have stood for other items.
func TestReplyOfLaterEraIsReadAgain(t *testing.T) {
	first, second := mirror.NewEra(1, 0), mirror.NewEra(2, 0)
	other := Status{State: RolledBack, Target: "v2", Decider: "e", Revision: inEra(2, 70)}
	for name, read := range map[string]bool{"write": false, "read": true} {
		t.Run(name, func(t *testing.T) {
			r := newOrdered()
			write, now := requireCall(t, r, 1000, first, WriteStatus)
			handle := r.HandleWrite
			if read {
				r.HandleWrite(now, Result{}, 0)
				_, now = requireCall(t, r, now, first, ReadStatus)
				handle = r.HandleRead
			}
			written := write.Status
			written.Revision = inEra(2, 91)
			assert.Empty(t, handle(now, Result{Known: true, Era: second, Status: written}, 0))
			assert.Empty(t, r.Status().Target)
			_, now = requireCall(t, r, now+simTick, first, ReadStatus)
			r.HandleRead(now, Result{Known: true, Era: second, Status: other}, 0)
			assert.Equal(t, other, r.Status())
			assert.Empty(t, callsUntil(r, now, now+5*clock.Second, first))
		})
	}
}

// Guards against a status of a restored store that is undone by the reply to a call that began
// before the restore.
func TestLateReplyOfEarlierEraIsIgnored(t *testing.T) {
	first, second := mirror.NewEra(1, 0), mirror.NewEra(2, 0)
	for name, after := range map[string]Status{
		"status": {State: RolledBack, Target: "v2", Decider: "e", Revision: inEra(2, 40)}, "no status": {Revision: inEra(2, 0)},
	} {
		for _, read := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				r := newOrdered()
				write, now := requireCall(t, r, 1000, first, WriteStatus)
				handle := r.HandleWrite
				if read {
					r.HandleWrite(now, Result{}, 0)
					_, now = requireCall(t, r, now, first, ReadStatus)
					handle = r.HandleRead
				}
				if after.Target != "" {
					r.SetStatus(now, after, 0)
				}
				callsUntil(r, now, now+1, second)
				write.Status.Revision = inEra(1, 120)
				handle(now, Result{Known: true, Era: first, Status: write.Status}, 0)
				assert.Equal(t, after, r.Status())
			})
		}
	}
}

// Guards against writes that fail again and again because the restored store lacks the order,
// and against a status that is not written when the order is back.
func TestStatusIsNotWrittenForRetainedOrder(t *testing.T) {
	second := mirror.NewEra(2, 0)
	r := newOrdered()
	assert.Empty(t, callsUntil(r, 1000, 12_000, second))
	r.SetOrder(12_000, &Order{Target: "v2", Duration: clock.Minute, Revision: inEra(2, 55)})
	write, now := requireCall(t, r, 12_000, second, WriteStatus)
	assert.Equal(t, inEra(2, 0), write.Expect)
	assert.Equal(t, inEra(2, 55), write.OrderRevision)
	assert.LessOrEqual(t, now, 12_000+2*simTick)

	r = newOrdered()
	r.SetStatus(1000, Status{State: Running, Target: "v2", Decider: "e", Revision: inEra(2, 40)}, 0)
	assert.Empty(t, callsUntil(r, 1000, 12_000, second))
	r.SetOrderRevision(inEra(2, 56))
	write, _ = requireCall(t, r, 12_000, second, WriteStatus)
	assert.Equal(t, inEra(2, 40), write.Expect)
	assert.Equal(t, inEra(2, 56), write.OrderRevision, "an invalid order leaves the earlier one in force")
}
