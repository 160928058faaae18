package release

import (
	"slices"
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

// Guards against a status that goes back with the copy from which the store was restored: a
// final state that runs again, and an unproven version that counts as one of the old ones.
func TestStatusInEffectAfterRestore(t *testing.T) {
	running := Status{State: Running, Target: "v2", Decider: "e", Excluded: []string{"v0"}}
	completed := Status{State: Completed, Target: "v2", Decider: "e", Excluded: []string{"v0"}}
	rolledBack := Status{State: RolledBack, Target: "v2", Decider: "e", Excluded: []string{"v0"}}
	for name, c := range map[string]struct {
		known, stored Status
		ordered       string
		want          Status
	}{
		"nothing known":                  {Status{}, running, "v2", running},
		"same":                           {completed, completed, "v2", completed},
		"running, other decider":         {running, Status{State: Running, Target: "v2", Decider: "f", Excluded: []string{"v0"}}, "v2", Status{State: Running, Target: "v2", Decider: "f", Excluded: []string{"v0"}}},
		"running is missing":             {running, Status{}, "v2", running},
		"running is completed":           {running, completed, "v2", completed},
		"completed runs":                 {completed, running, "v2", completed},
		"rolled back runs":               {rolledBack, running, "v2", rolledBack},
		"completed is missing":           {completed, Status{}, "v2", completed},
		"completed is missing, no order": {completed, Status{}, "", completed},
		"final state of the new era":     {completed, rolledBack, "v2", rolledBack},
		"earlier release":                {rolledBack, Status{State: Completed, Target: "v1"}, "v2", rolledBack},
		"earlier release, no order":      {completed, Status{State: Completed, Target: "v1"}, "", completed},
		"earlier release ordered again": {
			rolledBack, Status{State: Running, Target: "v1", Excluded: []string{"v3"}}, "v1",
			Status{State: Running, Target: "v1", Excluded: []string{"v3", "v0", "v2"}},
		},
		"earlier release ordered after completion": {completed, Status{State: Completed, Target: "v1"}, "v1", completed},
		"excluded versions are missing": {
			running, Status{State: Running, Target: "v2", Decider: "f"}, "v2", Status{State: Running, Target: "v2", Decider: "f", Excluded: []string{"v0"}},
		},
		"next order": {rolledBack, Status{State: Completed, Target: "v1"}, "v3", rolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(simService, "d", simSettings)
			if c.known.Target != "" {
				c.known.Revision = inEra(1, 95)
				r.SetStatus(1000, c.known, 0)
			}
			if c.ordered != "" {
				r.SetOrder(1000, &Order{Target: c.ordered, Duration: clock.Minute, Revision: inEra(2, 30)})
			}
			c.stored.Revision = inEra(2, 40)
			for range 2 { // a second restore changes nothing
				r.SetStatus(2000, c.stored, 0)
				assert.True(t, c.want.Equal(r.Status()), "%+v", r.Status())
				assert.Equal(t, c.stored.Revision, r.Status().Revision)
				assert.Equal(t, c.stored, r.Stored())
				c.stored.Revision = inEra(3, 40)
			}
			if c.stored.Target != "" {
				written := Status{State: Running, Target: "v9", Revision: inEra(3, 41)}
				r.SetStatus(3000, written, 0)
				assert.Equal(t, "v9", r.Status().Target, "written since")
			}
		})
	}
}

// Guards against requests that fail because the order and the status of an earlier version are back
// with a copy, while the replicas of that version have stopped since a later one was completed.
func TestEarlierOrderAfterCompletionIsNewRelease(t *testing.T) {
	s := newFleetSim(t, 7, 6)
	s.setOrder(&Order{Target: "v2", Duration: 20 * clock.Second, Revision: revisionAt(1)})
	s.run(20*clock.Second, s.ended)
	require.Equal(t, Completed, s.status.State)
	s.run(clock.Second, nil)
	s.history, s.rate = nil, 0 // the traffic of the simulation takes v2 for the new version
	s.restore(Status{State: Completed, Target: "v1", Revision: revisionAt(2)}, &Order{Target: "v1", Duration: 30 * clock.Second, Revision: revisionAt(1)})
	s.run(5*clock.Second, func() bool {
		for _, d := range s.daemons {
			assert.False(t, d.Rule().Mode == replica.TargetOnly && d.Rule().Target == "v1")
		}
		return false
	})
	assert.Equal(t, Running, s.status.State)
	assert.Equal(t, "v1", s.status.Target)
	assert.Empty(t, s.status.Excluded, "the completed version is in use")
	assert.Equal(t, []State{Running}, s.history)
}

// Guards against a final state that the store has lost and nobody writes again, that all
// daemons write, or that is not in effect meanwhile.
func TestLostFinalStateIsWrittenAgain(t *testing.T) {
	for _, want := range []State{Completed, RolledBack} {
		for name, copied := range map[string]Status{
			"missing":         {},
			"running":         {State: Running, Target: "v2", Decider: "d0", Revision: revisionAt(2)},
			"earlier release": {State: Completed, Target: "v1", Revision: revisionAt(1)},
		} {
			for orderName, restore := range map[string]func(s *fleetSim, status Status){
				"order in the copy": func(s *fleetSim, status Status) { s.restore(status, s.order) },
				"order removed": func(s *fleetSim, status Status) {
					s.setOrder(nil)
					s.run(clock.Second, nil)
					s.restore(status, nil)
				},
				"order lost": func(s *fleetSim, status Status) {
					s.restore(status, nil)
					s.run(6*clock.Second, func() bool {
						assert.Equal(s.t, status.State, s.status.State, "the write would need the order")
						return false
					})
					s.retained = nil
				},
				"order written again": func(s *fleetSim, status Status) {
					order := *s.order
					s.restore(status, nil)
					s.run(6*clock.Second, nil)
					order.Revision = s.nextRevision()
					s.retained, s.order = nil, &order
				},
			} {
				t.Run(string(want)+"/"+name+"/"+orderName, func(t *testing.T) {
					s := newFleetSim(t, 7, 6)
					if want == RolledBack {
						s.failing = func() float64 { return 0.6 }
					}
					s.setOrder(&Order{Target: "v2", Duration: 20 * clock.Second, Revision: revisionAt(1)})
					s.run(20*clock.Second, s.ended)
					require.Equal(t, want, s.status.State)
					final := s.status
					s.run(clock.Second, nil)
					s.calls, s.history = 0, nil
					mode := map[State]replica.VersionMode{Completed: replica.TargetOnly, RolledBack: replica.OldVersions}[want]
					check := func() bool {
						for _, d := range s.daemons {
							assert.Equal(t, want, d.Status().State)
							assert.Equal(t, mode, d.Rule().Mode)
						}
						return !t.Failed() && s.status.Equal(final)
					}
					restore(s, copied)
					s.run(4*clock.Second, check)
					assert.True(t, s.status.Equal(final), "%+v", s.status)
					s.run(10*clock.Second, func() bool { check(); return false })
					assert.Equal(t, []State{want}, s.history)
					assert.Equal(t, 1, s.calls, "calls of the store")
				})
			}
		}
	}
}

// Guards against daemons that all write what the store has lost, and against one that writes
// before it can have learned of a later status.
func TestOnlyDeciderWritesLostStatus(t *testing.T) {
	writers := 0
	for _, self := range []string{"d", "e", "f"} {
		r := New(simService, self, simSettings)
		members := []string{"d", "e", "f"}
		r.SetMembers(members, members)
		r.SetOrder(1000, &Order{Target: "v2", Duration: clock.Minute, Revision: inEra(1, 90)})
		r.SetStatus(1000, Status{State: RolledBack, Target: "v2", Revision: inEra(1, 95)}, 0)
		assert.False(t, r.Working())
		r.SetOrder(9000, &Order{Target: "v2", Duration: clock.Minute, Revision: inEra(2, 90)})
		r.SetStatus(9000, Status{Revision: inEra(2, 94)}, 0)
		assert.True(t, r.Working())
		assert.Empty(t, callsUntil(r, 9000, 9000+settleTime, mirror.NewEra(2, 0)))
		calls := callsUntil(r, 9000+settleTime, 12_000, mirror.NewEra(2, 0))
		if len(calls) > 0 {
			writers++
			assert.Len(t, calls, 1)
			assert.Equal(t, inEra(2, 0), calls[0].Expect)
			assert.Equal(t, inEra(2, 90), calls[0].OrderRevision)
			assert.Equal(t, RolledBack, calls[0].Status.State)
		}
	}
	assert.Equal(t, 1, writers)
}

// Guards against a write that is sent each second although the store has an order that the
// mirror doesn't show yet.
func TestConflictWithoutOrderIsNotRepeatedOften(t *testing.T) {
	era := mirror.NewEra(2, 0)
	r := New(simService, "d", simSettings)
	r.SetStatus(1000, Status{State: Completed, Target: "v2", Revision: inEra(1, 95)}, 0)
	r.SetStatus(2000, Status{Revision: inEra(2, 94)}, 0)
	writes := 0
	for now := clock.Millis(2000); now < 17_000; now += simTick {
		for _, call := range callsUntil(r, now, now+1, era) {
			writes++
			assert.Equal(t, inEra(2, 0), call.OrderRevision)
			r.HandleWrite(now, Result{Known: true, Era: era, Status: r.Stored()}, 0)
		}
	}
	assert.Positive(t, writes)
	assert.LessOrEqual(t, writes, 3)
	assert.Equal(t, Completed, r.Status().State)
}

// Guards against a release that ends wrongly, late or not at all because the store was
// restored while it was running.
func TestReleaseSurvivesRestore(t *testing.T) {
	const duration = 40 * clock.Second
	for phase, reached := range map[string]func(s *fleetSim) bool{
		"trial": func(s *fleetSim) bool { return s.now > 9*clock.Second },
		"ramp":  func(s *fleetSim) bool { return s.daemons[0].directive.Phase == Ramp },
		"drain": func(s *fleetSim) bool { return s.daemons[0].directive.Phase == Drain },
	} {
		for name, restore := range map[string]func(s *fleetSim){
			"status in the copy": func(s *fleetSim) { s.restore(s.status, s.order) },
			"status lost":        func(s *fleetSim) { s.restore(Status{}, s.order) },
			"order and status lost": func(s *fleetSim) {
				order := *s.order
				s.restore(Status{}, nil)
				s.run(2*clock.Second, nil)
				order.Revision = s.nextRevision()
				s.retained, s.order = nil, &order
			},
			"twice": func(s *fleetSim) {
				s.restore(Status{}, s.order)
				s.run(2*clock.Second, nil)
				s.restore(Status{}, s.order)
			},
		} {
			for want, failing := range map[State]float64{Completed: 0, RolledBack: 0.5} {
				t.Run(phase+"/"+name+"/"+string(want), func(t *testing.T) {
					s := newFleetSim(t, 11, 8)
					s.setOrder(&Order{Target: "v2", Duration: duration, Revision: revisionAt(1)})
					ordered := s.now
					s.run(duration, func() bool { return reached(s) })
					require.Equal(t, Running, s.status.State)
					s.failing = func() float64 { return failing }
					restore(s)
					s.run(2*clock.Second, nil)
					assert.Equal(t, "v2", s.status.Target, "what the store has lost is written again")
					s.run(ordered+duration-s.now, s.ended)
					if phase != "drain" || want == Completed { // a version that fails in the drain only may be found good
						assert.Equal(t, want, s.status.State)
					}
					assert.True(t, s.ended())
					assert.Zero(t, s.oldAtCompletion)
					assert.LessOrEqual(t, s.calls, 8, "calls of the store")
					assert.Equal(t, s.era, s.status.Revision.Era())
				})
			}
		}
	}
}

// Guards against a release that runs again, and ends otherwise, since the store has lost its final
// state and the decider has just started, so that only the others know it.
func TestStartedDeciderLearnsLostFinalState(t *testing.T) {
	for _, want := range []State{Completed, RolledBack} {
		for name, copied := range map[string]Status{
			"missing": {}, "running": {State: Running, Target: "v2", Decider: "d0", Revision: revisionAt(2)},
		} {
			t.Run(string(want)+"/"+name, func(t *testing.T) {
				s := newFleetSim(t, 7, 6)
				if want == RolledBack {
					s.failing = func() float64 { return 0.6 }
				}
				s.setOrder(&Order{Target: "v2", Duration: 20 * clock.Second, Revision: revisionAt(1)})
				s.run(20*clock.Second, s.ended)
				require.Equal(t, want, s.status.State)
				s.run(clock.Second, nil)
				s.history = nil
				s.restore(copied, s.order)
				knows := s.daemons[0]
				for i := range s.daemons[1:] {
					s.restart(1 + i)
				}
				s.run(5*clock.Second, nil)
				assert.Equal(t, want, s.status.State)
				s.run(30*clock.Second, nil)
				assert.Equal(t, []State{want}, s.history)
				assert.NotSame(t, knows, s.decider())
				for _, d := range s.daemons {
					assert.Equal(t, want, d.Status().State)
				}
			})
		}
	}
}

// Guards against a release that ends by a report of before a restore, of another version, or
// with a state that isn't final.
func TestFinalStateOfReportIsChecked(t *testing.T) {
	for name, c := range map[string]struct {
		report Report
		want   State
	}{
		"final":           {Report{Target: "v2", Revision: inEra(2, 44), Final: RolledBack}, RolledBack},
		"earlier era":     {Report{Target: "v2", Revision: inEra(1, 99), Final: RolledBack}, Running},
		"later era":       {Report{Target: "v2", Revision: inEra(3, 1), Final: RolledBack}, Running},
		"another version": {Report{Target: "v1", Revision: inEra(2, 44), Final: RolledBack}, Running},
		"not final":       {Report{Target: "v2", Revision: inEra(2, 44)}, Running},
	} {
		t.Run(name, func(t *testing.T) {
			r := newOrdered()
			r.SetStatus(1000, Status{State: Running, Target: "v2", Decider: "e", Revision: inEra(2, 45)}, 0)
			decoded, err := DecodeReport(EncodeReport(c.report))
			require.NoError(t, err)
			assert.Equal(t, c.report, decoded)
			r.ReceiveReport(2000, "f", decoded)
			assert.Equal(t, c.want, r.Status().State)
		})
	}
	_, err := DecodeReport(EncodeReport(Report{Target: "v2", Final: Running}))
	assert.ErrorIs(t, err, ErrMalformed)
}

// Guards against a wrong or missing end of a release while the store is restored again and again
// from copies of random age, also from before the order, and against a final state that changes.
func TestReleaseSurvivesRandomRestores(t *testing.T) {
	const duration, faultsEnd = 30 * clock.Second, 40 * clock.Second
	type snapshot struct {
		status Status
		order  *Order
	}
	for seed := range uint64(24) {
		s := newFleetSim(t, seed, 8)
		want := Completed
		if seed%2 == 1 {
			s.failing, want = func() float64 { return 0.5 }, RolledBack
		}
		copies := []snapshot{{}}
		s.setOrder(&Order{Target: "v2", Duration: duration, Revision: revisionAt(5)})
		ordered, reorderedAt := s.now, clock.Millis(0)
		for s.now < ordered+faultsEnd+15*clock.Second {
			s.run(500*clock.Millisecond, nil)
			switch {
			case s.retained == nil:
				copies = append(copies, snapshot{s.status, s.order})
			case s.now >= reorderedAt:
				order := *s.retained
				order.Revision = s.nextRevision()
				s.retained, s.order = nil, &order
			}
			if s.retained == nil && s.now < ordered+faultsEnd && s.random.Float64() < 0.06 {
				restored := copies[max(0, len(copies)-1-s.random.IntN(24))]
				s.restore(restored.status, restored.order)
				reorderedAt = s.now + clock.Millis(s.random.Float64())*5*clock.Second
			}
			for _, d := range s.daemons {
				assert.False(t, d.Status().State.Terminal() && d.Status().State != want, "seed %d", seed)
			}
		}
		assert.Equal(t, want, s.status.State, "seed %d", seed)
		assert.Zero(t, s.oldAtCompletion, "seed %d", seed)
		assert.LessOrEqual(t, s.calls, 12, "seed %d", seed)
		require.Contains(t, s.history, want, "seed %d", seed)
		first := slices.Index(s.history, want)
		assert.NotContains(t, s.history[first:], Running, "seed %d", seed)
	}
}
