package release

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/replica"
)

const (
	simTick    = 100 * clock.Millisecond
	simService = "ledger"
)

var simSettings = Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * clock.Second}

// revisionAt returns the revision with a number in the first era.
func revisionAt(number uint64) mirror.Revision { return mirror.NewRevision(mirror.Era{}, number) }

// fleetSim is a fleet of daemons on a manual clock, with a store and the pools that send
// requests under the rules of the releases.
type fleetSim struct {
	t       *testing.T
	random  *rand.Rand
	now     clock.Millis
	daemons []*simDaemon
	order   *Order
	status  Status
	era     mirror.Era
	// retained is the order that the daemons know and a restored store lacks, or nil.
	retained *Order
	history  []State // that the store has held
	calls    int
	reports  int // published
	// loseReplies applies writes without a reply; silent answers no call.
	loseReplies, silent bool
	rate                float64 // requests per second of the fleet
	failing             func() float64
	requests, exposed   int
	bad                 int
	badLimitAt          clock.Millis // instant of the 50th bad answer, or 0
	lastExposedAt       clock.Millis
	oldAtCompletion     int // requests in flight at old replicas when the release completed
}

type simDaemon struct {
	*Release
	id          string
	dead, cut   bool
	alone       bool         // takes itself for the only daemon that may decide
	goneAt      clock.Millis // instant at which it last answered
	pool        *replica.Pool
	cells       map[CellKey]*Counts
	open        []simRequest
	seenOrder   *Order
	seenEra     mirror.Era
	storeSeenAt clock.Millis
	writes      []Action // held back while paused
	paused      bool
}

type simRequest struct {
	replica   *replica.Replica
	startedAt clock.Millis
}

func newFleetSim(t *testing.T, seed uint64, daemons int) *fleetSim {
	s := &fleetSim{t: t, random: rand.New(rand.NewPCG(seed, 3)), now: 1000, rate: 120, failing: func() float64 { return 0 }}
	for i := range daemons {
		s.daemons = append(s.daemons, s.newDaemon(fmt.Sprintf("d%d", i)))
	}
	return s
}

func (s *fleetSim) newDaemon(id string) *simDaemon {
	set := replica.NewSet("a", rand.New(rand.NewPCG(s.random.Uint64(), 1)), replica.BudgetPolicy{Window: clock.Second})
	for i := range 6 {
		version := "v1"
		if i >= 3 {
			version = "v2"
		}
		set.Upsert(s.now, replica.NewEntry(replica.Spec{
			ID: fmt.Sprintf("i-%d", i), Service: simService, Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: "a",
			Slots: 8, Version: version,
		}))
	}
	return &simDaemon{
		Release: New(simService, fmt.Sprintf("%s/%v", id, s.now), simSettings), id: id, goneAt: s.now, pool: set.Pool(simService),
		cells: make(map[CellKey]*Counts),
	}
}

// restart replaces a daemon by a new run that remembers nothing.
func (s *fleetSim) restart(i int) { s.daemons[i] = s.newDaemon(s.daemons[i].id) }

func (s *fleetSim) setOrder(order *Order) { s.order = order }

// Times after which the fleet suspects a daemon that does not answer, and drops it.
const (
	simSuspicion = 3500 * clock.Millisecond
	simDrop      = 6500 * clock.Millisecond
)

// view returns the daemons that the view of the members shows as alive, and all that it
// shows. A daemon that does not answer stays for a time.
func (s *fleetSim) view() (alive, present []string) {
	for _, d := range s.daemons {
		if !d.dead && !d.cut && !d.paused {
			d.goneAt = s.now
		}
		if s.now-d.goneAt < simSuspicion {
			alive = append(alive, d.self)
		}
		if s.now-d.goneAt < simDrop {
			present = append(present, d.self)
		}
	}
	return alive, present
}

func (s *fleetSim) decider() *simDaemon {
	for _, d := range s.daemons {
		if !d.dead && !d.cut && d.first {
			return d
		}
	}
	return nil
}

// run advances the fleet until the instant, or until done returns true.
func (s *fleetSim) run(length clock.Millis, done func() bool) {
	for end := s.now + length; s.now < end && (done == nil || !done()); {
		s.now += simTick
		for _, d := range s.daemons {
			if !d.dead && !d.paused {
				s.step(d)
			}
		}
	}
}

func (s *fleetSim) step(d *simDaemon) {
	if !s.silent && !d.cut {
		d.storeSeenAt, d.seenEra = s.now, s.era
		if order := s.knownOrder(); d.seenOrder != order {
			d.seenOrder = order
			if order != nil && order.Target != d.Target() {
				clear(d.cells)
			}
			d.SetOrder(s.now, order)
		}
		d.SetStatus(s.now, s.status, s.timeOfDay())
	}
	switch alive, present := s.view(); {
	case d.alone:
		d.SetMembers([]string{d.self}, present)
	case !d.cut:
		d.SetMembers(alive, present)
	}
	d.pool.SetVersionRule(d.Rule())
	s.traffic(d)
	draws, exposed, oldInFlight := d.pool.VersionTraffic()
	local := Local{
		DataCentre: "a", Draws: draws, Exposed: exposed, OldInFlight: oldInFlight, Targets: d.pool.UsableTargets(s.now),
		StoreAge: s.now - d.storeSeenAt, StoreEra: d.seenEra, TimeOfDay: s.timeOfDay(),
	}
	for key, counts := range d.cells {
		cell := Cell{CellKey: key}
		cell.Counts.add(*counts)
		local.Cells = append(local.Cells, cell)
	}
	for _, action := range d.Tick(s.now, local) {
		s.perform(d, action)
	}
	d.pool.SetVersionRule(d.Rule())
}

func (s *fleetSim) timeOfDay() int64 { return 1_700_000_000_000 + int64(s.now) }

func (s *fleetSim) perform(d *simDaemon, action Action) {
	switch action.Kind {
	case PublishReport, PublishDirective:
		if action.Kind == PublishReport {
			s.reports++
		}
		for _, other := range s.daemons {
			if other == d || other.dead || other.cut || d.cut || other.paused {
				continue
			}
			if action.Kind == PublishReport {
				report, err := DecodeReport(EncodeReport(action.Report))
				require.NoError(s.t, err)
				other.ReceiveReport(s.now, d.self, report)
			} else {
				directive, err := DecodeDirective(EncodeDirective(action.Directive))
				require.NoError(s.t, err)
				other.ReceiveDirective(s.now, directive, 0)
			}
		}
	case WriteStatus:
		if d.paused {
			d.writes = append(d.writes, action)
			return
		}
		s.write(d, action)
	case ReadStatus:
		s.calls++
		d.HandleRead(s.now, Result{Known: !s.silent && !d.cut, Era: s.era, Status: s.status}, s.timeOfDay())
	}
}

func (s *fleetSim) write(d *simDaemon, action Action) {
	s.calls++
	if s.silent || d.cut {
		d.HandleWrite(s.now, Result{}, s.timeOfDay())
		return
	}
	orderNumber := uint64(0)
	if s.order != nil {
		orderNumber = s.order.Revision.Number()
	}
	if s.status.Revision.Number() == action.Expect.Number() && orderNumber == action.OrderRevision.Number() {
		revision := s.nextRevision()
		s.status = action.Status
		s.status.Revision = revision
		s.history = append(s.history, s.status.State)
		if s.status.State == Completed {
			for _, other := range s.daemons {
				if other.dead || other.cut {
					continue
				}
				for _, q := range other.open {
					if !q.replica.IsTarget() {
						s.oldAtCompletion++
					}
				}
			}
		}
	}
	d.HandleWrite(s.now, Result{Known: !s.loseReplies, Era: s.era, Status: s.status}, s.timeOfDay())
}

// traffic ends the requests of the last tick and sends new ones.
func (s *fleetSim) traffic(d *simDaemon) {
	var open []simRequest
	for _, q := range d.open {
		if s.random.Float64() < 0.3 {
			open = append(open, q) // takes longer than a tick
			continue
		}
		result, latency := replica.OK, clock.Millis(20*(0.7+0.6*s.random.Float64()))
		key := CellKey{Route: "r"}
		if q.replica.IsTarget() {
			key.Replica = ReplicaNumber(q.replica.Entry().ID())
			if s.random.Float64() < s.failing() {
				result = replica.Failed
				if s.bad++; s.bad == 50 {
					s.badLimitAt = s.now
				}
			}
		}
		q.replica.End(s.now, q.startedAt, result, 20)
		if d.cells[key] == nil {
			d.cells[key] = &Counts{}
		}
		d.cells[key].Record(result == replica.Failed, latency)
	}
	d.open = open
	for i := range poisson(s.random, s.rate/float64(len(s.daemons))*float64(simTick/clock.Second)) {
		now := s.now + clock.Millis(i)/1000
		choice := d.pool.DrawVersion(now)
		r, err := d.pool.Pick(now, replica.NewCriteria(20, nil).OfVersion(choice))
		if err != nil {
			continue
		}
		s.requests++
		r.Begin(now, 20)
		d.pool.RecordDraw()
		d.open = append(d.open, simRequest{replica: r, startedAt: now})
		if r.Entry().Version() == "v2" && d.pool.HasRelease() {
			s.exposed++
			s.lastExposedAt = s.now
			if d.Rule().Bounded && s.status.State == Running && d.directive.Phase == Trial {
				assert.LessOrEqual(s.t, float64(s.exposed), simSettings.ExposureShare*float64(s.requests)+simSettings.ExposureSlack,
					"exposure before the verdict")
			}
		}
	}
}

// knownOrder returns the order that daemons know.
func (s *fleetSim) knownOrder() *Order {
	if s.retained != nil {
		return s.retained
	}
	return s.order
}

// restore replaces the store by a copy with another status, which lacks the order if order
// is nil.
func (s *fleetSim) restore(status Status, order *Order) {
	s.era = mirror.NewEra(s.era.Stated()+1, 0)
	if order == nil {
		s.retained = s.order
	}
	s.status, s.order = status, nil
	s.status.Revision = mirror.NewRevision(s.era, status.Revision.Number())
	if order != nil {
		copied := *order
		copied.Revision = mirror.NewRevision(s.era, order.Revision.Number())
		s.order = &copied
	}
}

// nextRevision returns the revision of the next write to the store.
func (s *fleetSim) nextRevision() mirror.Revision {
	last := s.status.Revision.Number()
	if s.order != nil {
		last = max(last, s.order.Revision.Number())
	}
	return mirror.NewRevision(s.era, last+1)
}

func (s *fleetSim) ended() bool { return s.status.State.Terminal() }

// Guards against a release in a fleet of more daemons than take part in the trial that is
// judged wrongly, or completes while one of them has a request at an old replica.
func TestLargeFleet(t *testing.T) {
	for want, failing := range map[State]float64{Completed: 0, RolledBack: 0.4} {
		s := newFleetSim(t, 6, 3*panelSize)
		s.rate, s.failing = 400, func() float64 { return failing }
		s.setOrder(&Order{Target: "v2", Duration: 40 * clock.Second, Revision: revisionAt(1)})
		s.run(40*clock.Second, s.ended)
		assert.Equal(t, want, s.status.State)
		assert.Zero(t, s.oldAtCompletion)
		assert.LessOrEqual(t, s.reports, 40*2*panelSize+3*3*panelSize*40/4, "reports")
	}
}

// Guards against a completion while a daemon that has just started, long after the drain
// began, may still use old versions.
func TestStartedDaemonDelaysCompletion(t *testing.T) {
	r := New(simService, "d", simSettings)
	r.SetOrder(0, &Order{Target: "v2", Duration: clock.Minute})
	r.phaseAt = 1000
	now := r.phaseAt + 20*clock.Second
	r.ReceiveReport(now, "d", Report{Target: "v2", Phase: Drain})
	assert.True(t, r.drained(now))
	r.SetMembers([]string{"d"}, []string{"d", "e"})
	assert.False(t, r.drained(now))
	r.ReceiveReport(now+silentPanelTime+1, "d", Report{Target: "v2", Phase: Drain})
	assert.True(t, r.drained(now+silentPanelTime+1), "a daemon that never reports delays the completion for a time")
}

// Guards against evidence that is counted twice when a report becomes too large to name
// its routes.
func TestLargeReport(t *testing.T) {
	report := Report{Target: "v2", DataCentre: "a"}
	for route := range 4 {
		for number := range uint32(5) {
			cell := Cell{CellKey: CellKey{Route: fmt.Sprint("route-", route), Replica: number}}
			for bucket := range latencyBuckets {
				cell.addLatency(bucket, 10)
			}
			cell.Attempts = 10 * latencyBuckets
			report.Cells = append(report.Cells, cell)
		}
	}
	r := New(simService, "d", simSettings)
	r.SetOrder(0, &Order{Target: "v2", Duration: clock.Minute})
	r.ReceiveReport(1, "e", report)
	r.takeWindow()
	for i := range report.Cells {
		report.Cells[i].Counts = report.Cells[i].Clone()
		for bucket := range latencyBuckets {
			report.Cells[i].addLatency(bucket, 1000)
		}
		report.Cells[i].Attempts += 1000 * latencyBuckets
	}
	body := EncodeReport(report)
	assert.LessOrEqual(t, len(body), fleet.MaxRecordBodyBytes)
	decoded, err := DecodeReport(body)
	require.NoError(t, err)
	r.ReceiveReport(2, "e", decoded)
	total := uint32(0)
	for _, cell := range r.takeWindow()["a"] {
		total += cell.Attempts
	}
	assert.Equal(t, uint32(4*5*1000*latencyBuckets), total)
}

// Guards against a sound version that is not completed in time or while requests are in
// flight at old replicas, at several durations and amounts of traffic, and against more
// than a handful of calls of the store.
func TestGoodReleaseCompletes(t *testing.T) {
	for _, duration := range []clock.Millis{12 * clock.Second, 30 * clock.Second, 120 * clock.Second} {
		for _, rate := range []float64{2, 120, 1000} {
			t.Run(fmt.Sprintf("%v/%v", duration, rate), func(t *testing.T) {
				s := newFleetSim(t, 5, 10)
				s.rate = rate
				s.setOrder(&Order{Target: "v2", Duration: duration, Revision: revisionAt(1)})
				ordered := s.now
				s.run(2*duration, s.ended)
				assert.Equal(t, Completed, s.status.State)
				assert.LessOrEqual(t, s.now-ordered, duration)
				assert.Zero(t, s.oldAtCompletion, "in flight at old replicas")
				assert.LessOrEqual(t, s.calls, 3, "calls of the store")
				s.run(20*clock.Second, nil)
				assert.Equal(t, []State{Running, Completed}, s.history)
				for _, d := range s.daemons {
					assert.Equal(t, replica.TargetOnly, d.Rule().Mode)
				}
			})
		}
	}
}

// Guards against a bad version that is completed, gets more than the exposure bound, or
// is still used when the time for the rollback is over.
func TestBadReleaseIsRolledBack(t *testing.T) {
	const duration = 60 * clock.Second
	for name, c := range map[string]struct {
		failing func(s *fleetSim, elapsed clock.Millis) float64
		rate    func(elapsed clock.Millis) float64
	}{
		"at once": {failing: func(*fleetSim, clock.Millis) float64 { return 0.5 }},
		"always":  {failing: func(*fleetSim, clock.Millis) float64 { return 1 }},
		"partly":  {failing: func(*fleetSim, clock.Millis) float64 { return 0.2 }},
		"later": {failing: func(_ *fleetSim, elapsed clock.Millis) float64 {
			return map[bool]float64{true: 0.4}[elapsed > duration/2]
		}},
		"under load": {failing: func(s *fleetSim, _ clock.Millis) float64 {
			return map[bool]float64{true: 0.5}[s.daemons[0].directive.Share > 0.3]
		}},
		"traffic falls": {
			failing: func(*fleetSim, clock.Millis) float64 { return 0.3 },
			rate: func(elapsed clock.Millis) float64 {
				return map[bool]float64{true: 4, false: 400}[elapsed > 3*clock.Second]
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				s := newFleetSim(t, seed, 10)
				ordered := s.now
				s.failing = func() float64 { return c.failing(s, s.now-ordered) }
				s.setOrder(&Order{Target: "v2", Duration: duration, Revision: revisionAt(1)})
				s.run(duration, func() bool {
					if c.rate != nil {
						s.rate = c.rate(s.now - ordered)
					}
					return false
				})
				assert.Equal(t, RolledBack, s.status.State, "seed %d", seed)
				assert.LessOrEqual(t, float64(s.exposed), 0.1*float64(s.requests)+50, "exposure")
				if s.badLimitAt > 0 {
					assert.LessOrEqual(t, s.lastExposedAt, s.badLimitAt+simSettings.RollbackTime)
				}
				assert.Equal(t, []State{Running, RolledBack}, s.history)
			}
		})
	}
}

// Guards against a decision that is lost, contradicted or made twice when deciders die,
// pause or disagree, replies of the store are lost, or all daemons restart.
func TestDeciderFaults(t *testing.T) {
	const duration = 40 * clock.Second
	for name, fault := range map[string]func(s *fleetSim){
		"decider dies in the trial": func(s *fleetSim) {
			s.run(8*clock.Second, nil)
			s.decider().dead = true
		},
		"decider dies in the ramp": func(s *fleetSim) {
			s.run(duration, func() bool { return s.daemons[0].directive.Phase == Ramp })
			s.decider().dead = true
		},
		"decider dies in the drain": func(s *fleetSim) {
			s.run(duration, func() bool { return s.daemons[0].directive.Phase == Drain })
			s.decider().dead = true
		},
		"decider cut off from all": func(s *fleetSim) {
			s.run(8*clock.Second, nil)
			s.decider().cut = true
		},
		"decider pauses briefly": func(s *fleetSim) {
			s.run(6*clock.Second, nil)
			paused := s.decider()
			paused.paused = true
			s.run(2*clock.Second, nil)
			paused.paused = false
			sequence := s.daemons[0].directive.Sequence
			s.run(4*clock.Second, nil)
			assert.Greater(s.t, s.daemons[0].directive.Sequence, sequence, "directives after the pause must be obeyed")
		},
		"decider pauses in the drain": func(s *fleetSim) {
			s.run(duration, func() bool { return s.daemons[0].directive.Phase == Drain })
			paused := s.decider()
			paused.paused = true
			s.run(7*clock.Second, s.ended)
			paused.paused = false
		},
		"two deciders": func(s *fleetSim) {
			s.run(5*clock.Second, nil)
			for _, d := range s.daemons[:2] {
				d.alone = true
			}
			s.run(6*clock.Second, nil)
			for _, d := range s.daemons {
				d.alone = false
			}
		},
		"replies lost": func(s *fleetSim) {
			s.loseReplies = true
		},
		"all restart in the trial": func(s *fleetSim) {
			s.run(8*clock.Second, nil)
			for i := range s.daemons {
				s.restart(i)
			}
		},
		"all restart in the ramp": func(s *fleetSim) {
			s.run(duration, func() bool { return s.daemons[0].directive.Phase == Ramp })
			for i := range s.daemons {
				s.restart(i)
			}
		},
		"order repeated": func(s *fleetSim) {
			s.run(8*clock.Second, nil)
			s.setOrder(&Order{Target: "v2", Duration: duration, Revision: s.nextRevision()})
		},
	} {
		for _, bad := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/bad=%v", name, bad), func(t *testing.T) {
				s := newFleetSim(t, 9, 8)
				ordered := s.now
				if bad { // from a time at which every fault has happened
					s.failing = func() float64 { return map[bool]float64{true: 0.5}[s.now > ordered+9*clock.Second] }
				}
				s.setOrder(&Order{Target: "v2", Duration: duration, Revision: revisionAt(1)})
				fault(s)
				s.run(ordered+duration-s.now, s.ended)
				want := Completed
				if bad {
					want = RolledBack
				}
				assert.Equal(t, want, s.status.State)
				assert.Zero(t, s.oldAtCompletion)
				assert.LessOrEqual(t, s.calls, 8, "calls of the store")
				first := s.status
				for i := range s.daemons { // a restart of all does not change a terminal status
					s.restart(i)
				}
				s.run(20*clock.Second, nil)
				assert.Equal(t, first, s.status)
				for _, d := range s.daemons {
					mode := d.Rule().Mode
					assert.Equal(t, map[State]replica.VersionMode{Completed: replica.TargetOnly, RolledBack: replica.OldVersions}[want], mode)
				}
			})
		}
	}
}

// Guards against a decider that resumes between its decision and the write, and undoes
// what its successor has decided.
func TestPausedDeciderCannotUndoDecision(t *testing.T) {
	s := newFleetSim(t, 4, 6)
	s.setOrder(&Order{Target: "v2", Duration: 30 * clock.Second, Revision: revisionAt(1)})
	s.run(6*clock.Second, nil)
	paused := s.decider()
	stale := Action{
		Kind: WriteStatus, Status: paused.terminal(Completed), Expect: s.status.Revision, OrderRevision: revisionAt(1),
	}
	paused.dead = true
	s.failing = func() float64 { return 0.6 }
	s.run(20*clock.Second, s.ended)
	require.Equal(t, RolledBack, s.status.State)
	s.write(paused, stale)
	assert.Equal(t, RolledBack, s.status.State)
	assert.Equal(t, RolledBack, paused.Status().State, "the decider must take the status from the refusal")
}

// Guards against requests to the new version while the order is removed, the store is
// silent, or a daemon hears nothing of the decider; and against a terminal state that is
// written without an order.
func TestNewVersionStopsWithoutDirective(t *testing.T) {
	for name, fault := range map[string]func(s *fleetSim){
		"order removed": func(s *fleetSim) { s.setOrder(nil) },
		"store silent":  func(s *fleetSim) { s.silent = true },
		"partitioned": func(s *fleetSim) {
			for _, d := range s.daemons {
				d.cut = true
				_, present := s.view()
				d.SetMembers([]string{"other"}, present)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFleetSim(t, 2, 6)
			s.setOrder(&Order{Target: "v2", Duration: 60 * clock.Second, Revision: revisionAt(1)})
			s.run(10*clock.Second, nil)
			require.Positive(t, s.exposed)
			at := s.now
			fault(s)
			s.run(30*clock.Second, nil)
			assert.LessOrEqual(t, s.lastExposedAt-at, maxStoreAge+simSettings.RollbackTime*directiveLifeFraction+2*simTick)
			assert.Equal(t, []State{Running}, s.history)
		})
	}
}

// Guards against rules that allow a version which no order or configuration allows: an
// order reaches only some daemons, changes midway, or follows a rollback.
func TestRuleOfState(t *testing.T) {
	order := &Order{Target: "v2", Duration: clock.Minute, Revision: revisionAt(3)}
	for name, c := range map[string]struct {
		order     *Order
		status    Status
		directive Directive
		want      replica.VersionRule
	}{
		"nothing known":           {want: replica.VersionRule{}},
		"order only":              {order: order, want: replica.VersionRule{Mode: replica.OldVersions, Target: "v2", TargetIfAlone: true}},
		"directive without order": {directive: Directive{Target: "v2", Revision: revisionAt(9), Share: 1, Phase: Ramp}, want: replica.VersionRule{Mode: replica.OldVersions, Target: "v2"}},
		"running, no directive":   {order: order, status: Status{State: Running, Target: "v2", Revision: revisionAt(4)}, want: replica.VersionRule{Mode: replica.OldVersions, Target: "v2", TargetIfAlone: true}},
		"completed":               {order: order, status: Status{State: Completed, Target: "v2", Revision: revisionAt(4)}, want: replica.VersionRule{Mode: replica.TargetOnly, Target: "v2"}},
		"completed, no order":     {status: Status{State: Completed, Target: "v2", Revision: revisionAt(4)}, want: replica.VersionRule{Mode: replica.TargetOnly, Target: "v2"}},
		"rolled back":             {order: order, status: Status{State: RolledBack, Target: "v2", Revision: revisionAt(4)}, want: replica.VersionRule{Mode: replica.OldVersions, Target: "v2"}},
		"next order after a rollback": {
			order: &Order{Target: "v3", Duration: clock.Minute, Revision: revisionAt(7)}, status: Status{State: RolledBack, Target: "v2", Revision: revisionAt(4)},
			want: replica.VersionRule{Mode: replica.OldVersions, Target: "v3", Excluded: []string{"v2"}, TargetIfAlone: true},
		},
		"directive of an earlier decider": {
			order: order, status: Status{State: Running, Target: "v2", Revision: revisionAt(9)}, directive: Directive{Target: "v2", Revision: revisionAt(8), Share: 1, Phase: Ramp},
			want: replica.VersionRule{Mode: replica.OldVersions, Target: "v2", TargetIfAlone: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(simService, "d", simSettings)
			if c.order != nil {
				r.SetOrder(1000, c.order)
			}
			r.SetStatus(1000, c.status, 0)
			if c.directive.Target != "" {
				r.ReceiveDirective(1000, c.directive, 0)
			}
			assert.Equal(t, c.want, r.Rule())
		})
	}
}

// Guards against a version that was rolled back and is used again: a read or a write of the
// status that began before ends after the rollback is known from the changes of the store.
func TestDelayedResultDoesNotUndoRollback(t *testing.T) {
	rolledBack := Status{State: RolledBack, Target: "v2", Decider: "e", Revision: revisionAt(9)}
	for name, c := range map[string]struct {
		result Status
		want   Status
	}{
		"no status yet":   {Status{}, rolledBack},
		"earlier status":  {Status{State: Running, Target: "v2", Decider: "e", Revision: revisionAt(5)}, rolledBack},
		"the same status": {rolledBack, rolledBack},
		"a later status":  {Status{State: Completed, Target: "v2", Decider: "e", Revision: revisionAt(12)}, Status{State: Completed, Target: "v2", Decider: "e", Revision: revisionAt(12)}},
		"removed status":  {Status{State: Running, Target: "v2", Decider: "e", Revision: revisionAt(5)}, Status{}},
	} {
		for _, read := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, read %v", name, read), func(t *testing.T) {
				r := New(simService, "d", simSettings)
				r.SetOrder(1000, &Order{Target: "v2", Duration: clock.Minute, Revision: revisionAt(3)})
				now := requireAction(t, r, 1000, WriteStatus)
				handle := r.HandleWrite
				if read {
					r.HandleWrite(now, Result{}, 0)
					now, handle = requireAction(t, r, now, ReadStatus), r.HandleRead
				}
				r.SetStatus(now, rolledBack, 0)
				if c.want.Revision.IsZero() {
					r.SetStatus(now, Status{}, 0)
				}
				handle(now+100, Result{Known: true, Status: c.result}, 0)
				assert.Equal(t, c.want, r.Status())
			})
		}
	}
}

// requireAction ticks the release until it wants the action, and returns the instant.
func requireAction(t *testing.T, r *Release, now clock.Millis, kind ActionKind) clock.Millis {
	for end := now + 10*clock.Second; now < end; now += 100 {
		for _, action := range r.Tick(now, Local{Targets: 1}) {
			if action.Kind == kind {
				return now
			}
		}
	}
	require.Fail(t, "no such action")
	return 0
}

// Guards against an order that is changed midway and leaves the first version in use.
func TestOrderChangedMidway(t *testing.T) {
	s := newFleetSim(t, 3, 5)
	s.setOrder(&Order{Target: "v2", Duration: 60 * clock.Second, Revision: revisionAt(1)})
	s.run(10*clock.Second, nil)
	s.setOrder(&Order{Target: "v3", Duration: 60 * clock.Second, Revision: s.nextRevision()})
	s.run(3*clock.Second, nil)
	assert.Equal(t, Running, s.status.State)
	assert.Equal(t, "v3", s.status.Target)
	s.run(60*clock.Second, nil)
	assert.Equal(t, RolledBack, s.status.State, "no replica of the version exists")
}

// FuzzRecord guards against a record of a peer that ends the daemon.
func FuzzRecord(f *testing.F) {
	f.Add(EncodeDirective(Directive{Target: "v2", Share: 0.5}))
	f.Add(EncodeReport(Report{Target: "v2", Cells: []Cell{{CellKey: CellKey{Route: "r", Replica: 2}, Counts: Counts{Attempts: 2, Latency: []uint32{0, 0, 2}}}}}))
	f.Fuzz(func(_ *testing.T, body []byte) {
		r := New(simService, "d", simSettings)
		r.SetOrder(0, &Order{Target: "v2", Duration: clock.Minute})
		if directive, err := DecodeDirective(body); err == nil {
			r.ReceiveDirective(10, directive, 0)
		}
		if report, err := DecodeReport(body); err == nil {
			r.ReceiveReport(10, "e", report)
		}
		r.Tick(2000, Local{})
		r.Tick(4000, Local{})
	})
}
