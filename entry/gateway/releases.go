package gateway

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/release"
	"github.com/lovagegap/lovagegap/entry/routing"
)

// Kinds of the records that the daemons publish about a release.
const (
	releaseReportKind    = "release-report"
	releaseDirectiveKind = "release-directive"
)

const (
	// releaseRecordLifetime exceeds the least lifetime at which records are passed on.
	releaseRecordLifetime = 10 * clock.Second
	// releaseTick is the interval at which the state machines run while there is an
	// order or a status.
	releaseTick = 100 * clock.Millisecond
	// quietReleaseTick is that interval while no order is being carried out.
	quietReleaseTick = clock.Second
	// memberInterval is the interval at which the view of the members is read.
	memberInterval = 500 * clock.Millisecond
	// releaseCallTimeout bounds a call of the store.
	releaseCallTimeout = 900 * time.Millisecond
	// suspensionThreshold is the difference between the advance of the time of day and
	// that of the clock from which the daemon may have been suspended.
	suspensionThreshold = clock.Second
)

// ReleaseCodec names the keys of releases in the store, and encodes statuses. The
// Interpreter decodes them.
type ReleaseCodec interface {
	OrderKey(service string) string
	StatusKey(service string) string
	EncodeStatus(status release.Status) []byte
}

// releases runs the releases of all services on this daemon. It is safe for concurrent
// use. It calls neither the tracker nor the syncer with its lock held, as both call it
// with theirs held.
type releases struct {
	gateway  *Gateway
	log      logr.Logger
	self     string
	settings release.Settings
	wake     chan struct{}

	deciders, members []string // used only by the goroutine of run
	membersAt         clock.Millis

	mu        sync.Mutex
	byService map[string]*serviceRelease
	callCount map[string]int64 // calls of the store by kind and outcome
}

// serviceRelease is the release of a service with the sequence of its records.
type serviceRelease struct {
	*release.Release
	sequence uint64
}

// defaultReleaseSettings apply to a deployment whose process configuration sets none.
var defaultReleaseSettings = release.Settings{ExposureShare: 0.1, ExposureSlack: 50, RollbackTime: 5 * clock.Second}

func newReleases(g *Gateway, self fleet.Member) *releases {
	settings := g.config.Releases
	if settings == (release.Settings{}) {
		settings = defaultReleaseSettings
	}
	return &releases{
		gateway: g, log: g.log.WithName("releases"), self: memberName(self), settings: settings, wake: make(chan struct{}, 1),
		byService: make(map[string]*serviceRelease), callCount: make(map[string]int64),
	}
}

// memberName names one run of a daemon.
func memberName(m fleet.Member) string {
	return string(m.ID()) + "/" + strconv.FormatUint(m.Incarnation(), 10)
}

func (s *releases) now() clock.Millis { return s.gateway.dependencies.Clock.Now() }

func timeOfDay() int64 { return time.Now().UnixMilli() }

// of returns the release of a service, which it creates if there is none. The caller
// holds the lock.
func (s *releases) of(service string) *serviceRelease {
	r := s.byService[service]
	if r == nil {
		r = &serviceRelease{Release: release.New(service, s.self, s.settings)}
		s.byService[service] = r
		s.notify()
	}
	return r
}

// apply takes orders and statuses from the store, and puts the rules that follow from
// them in force.
func (s *releases) apply(updates []routing.StoreUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	changed := make(map[string]bool)
	for _, update := range updates {
		switch {
		case update.Order != nil:
			s.applyOrder(now, update.Order)
			changed[update.Order.Service] = true
		case update.Status != nil:
			if update.Status.Status.Target == "" && s.byService[update.Status.Service] == nil {
				continue
			}
			s.of(update.Status.Service).SetStatus(now, update.Status.Status, timeOfDay())
			changed[update.Status.Service] = true
		}
	}
	for service := range changed {
		if r := s.byService[service]; r != nil {
			s.gateway.engine.SetVersionRule(service, r.Rule())
		}
	}
}

// applyOrder takes an order. The caller holds the lock.
func (s *releases) applyOrder(now clock.Millis, update *routing.OrderUpdate) {
	switch {
	case update.Invalid:
		if r := s.byService[update.Service]; r != nil {
			r.SetOrderRevision(update.Revision)
		}
	case update.Order == nil:
		if r := s.byService[update.Service]; r != nil {
			s.log.Info("release order removed", "service", update.Service, "target", r.Target(), "revision", update.Revision.String())
			r.SetOrder(now, nil)
		}
	default:
		s.log.Info("release ordered", "service", update.Service, "target", update.Order.Target,
			"duration", update.Order.Duration, "revision", update.Revision.String())
		s.of(update.Service).SetOrder(now, update.Order)
		s.notify()
	}
}

// run runs the state machines until ctx ends. Without releases it only waits.
func (s *releases) run(ctx context.Context) {
	lastNow, lastTimeOfDay := s.now(), timeOfDay()
	for {
		idle, quiet := s.idle()
		var timer <-chan time.Time
		switch {
		case idle:
		case quiet:
			timer = time.After(quietReleaseTick.Duration())
		default:
			timer = time.After(releaseTick.Duration())
		}
		select {
		case <-timer:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		if idle {
			lastNow, lastTimeOfDay = s.now(), timeOfDay()
		}
		now, today := s.now(), timeOfDay()
		suspended := clock.Millis(today-lastTimeOfDay) > now-lastNow+suspensionThreshold
		lastNow, lastTimeOfDay = now, today
		s.tick(ctx, now, suspended)
	}
}

// idle reports whether there is no release, and whether no order is being carried out.
func (s *releases) idle() (idle, quiet bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.byService {
		if r.Working() {
			return false, false
		}
	}
	return len(s.byService) == 0, true
}

// notify wakes run.
func (s *releases) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// tick runs the state machines once and carries out their actions.
func (s *releases) tick(ctx context.Context, now clock.Millis, suspended bool) {
	if now >= s.membersAt+memberInterval || s.members == nil {
		s.membersAt = now
		s.deciders, s.members = s.readMembers()
	}
	_, storeAge, _ := s.gateway.mirrorSyncer.storeMetrics()
	storeEra := s.gateway.mirrorSyncer.era()
	type work struct {
		service string
		actions []release.Action
	}
	var all []work
	s.mu.Lock()
	for service, r := range s.byService {
		if r.Idle(now) {
			delete(s.byService, service)
			s.gateway.engine.SetVersionRule(service, r.Rule())
			continue
		}
		if suspended {
			r.ForgetDirective(now)
		}
		r.SetMembers(s.deciders, s.members)
		s.gateway.engine.SetVersionRule(service, r.Rule())
		if r.Working() {
			local := s.gateway.engine.ReleaseTraffic(service)
			local.StoreAge, local.StoreEra, local.TimeOfDay = clock.Millis(storeAge), storeEra, timeOfDay()
			all = append(all, work{service: service, actions: r.Tick(now, local)})
			s.gateway.engine.SetVersionRule(service, r.Rule())
		}
	}
	s.mu.Unlock()
	for _, w := range all {
		for _, action := range w.actions {
			s.perform(ctx, w.service, action)
		}
	}
}

// readMembers returns the daemons that may decide, and those that may send requests. A
// daemon that is leaving still sends the requests that it has.
func (s *releases) readMembers() (deciders, members []string) {
	for _, m := range s.gateway.tracker.Members() {
		switch {
		case m.State() == fleet.Dead, m.State() == fleet.Left, m.CallerAddress() == "":
			continue
		case m.Alive():
			deciders = append(deciders, memberName(m))
		}
		members = append(members, memberName(m))
	}
	return deciders, members
}

func (s *releases) perform(ctx context.Context, service string, action release.Action) {
	switch action.Kind {
	case release.PublishReport:
		s.publish(releaseReportKind, service, release.EncodeReport(action.Report))
	case release.PublishDirective:
		s.publish(releaseDirectiveKind, service, release.EncodeDirective(action.Directive))
	case release.WriteStatus:
		s.gateway.tasks.Go(func() { s.writeStatus(ctx, service, action) })
	case release.ReadStatus:
		s.gateway.tasks.Go(func() { s.readStatus(ctx, service) })
	case release.Log:
		s.log.Info(action.Message, action.Values...)
	}
}

// publish distributes a record. Its key is the service, a line feed and the daemon.
func (s *releases) publish(kind, service string, body []byte) {
	s.mu.Lock()
	r := s.byService[service]
	if r == nil {
		s.mu.Unlock()
		return
	}
	r.sequence++
	sequence := r.sequence
	s.mu.Unlock()
	s.gateway.tracker.Publish(fleet.NewRecord(kind, service+"\n"+s.self, sequence, body, releaseRecordLifetime))
}

// handleRecord takes a record of a peer. The tracker calls it with its lock held.
func (s *releases) handleRecord(record fleet.Record) {
	service, daemon, ok := strings.Cut(record.Key(), "\n")
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	switch record.Kind() {
	case releaseReportKind:
		if r := s.byService[service]; r != nil {
			if report, err := release.DecodeReport(record.Body()); err == nil {
				s.gateway.mirrorSyncer.observeEra(report.Revision.Era())
				r.ReceiveReport(now, daemon, report)
			}
		}
	case releaseDirectiveKind:
		if directive, err := release.DecodeDirective(record.Body()); err == nil {
			s.gateway.mirrorSyncer.observeEra(directive.Revision.Era())
			// A daemon that the order has not reached must not use the new version.
			s.of(service).ReceiveDirective(now, directive, releaseRecordLifetime-record.Lifetime())
		}
	}
}

// errOutdatedWrite means that a write was planned before the store was restored.
var errOutdatedWrite = errors.New("write planned in an earlier era of the store")

func (s *releases) writeStatus(parent context.Context, service string, action release.Action) {
	ctx, cancel := context.WithTimeout(parent, releaseCallTimeout)
	defer cancel()
	codec := s.gateway.dependencies.Releases
	key := codec.StatusKey(service)
	era := s.gateway.mirrorSyncer.era()
	if action.Outdated(era) {
		s.record("write", errOutdatedWrite)
		s.finish(service, func(r *serviceRelease) []release.Action { return r.HandleWrite(s.now(), release.Result{}, timeOfDay()) })
		return
	}
	revision, current, err := s.gateway.dependencies.Store.CompareAndSwap(ctx, []Expectation{
		{Key: key, Revision: action.Expect}, {Key: codec.OrderKey(service), Revision: action.OrderRevision},
	}, key, codec.EncodeStatus(action.Status))
	revision = revision.Resolve(era)
	s.log.Info("release status write", "service", service, "state", string(action.Status.State), "target", action.Status.Target,
		"expected", action.Expect.String(), "revision", revision.String(), "error", errorText(err))
	s.record("write", err)
	s.finish(service, func(r *serviceRelease) []release.Action {
		var result release.Result
		switch {
		case err == nil:
			result = release.Result{Known: true, Era: revision.Era(), Status: action.Status}
			result.Status.Revision = revision
		case errors.Is(err, ErrConflict):
			// The reply may list only the keys that differ from what was expected.
			result = release.Result{Known: true, Era: revision.Era(), Status: r.Stored()}
			for _, item := range current {
				if item.Key() == key {
					result.Status = s.decodeStatus(item, era)
				}
			}
		}
		return r.HandleWrite(s.now(), result, timeOfDay())
	})
}

func (s *releases) readStatus(parent context.Context, service string) {
	ctx, cancel := context.WithTimeout(parent, releaseCallTimeout)
	defer cancel()
	era := s.gateway.mirrorSyncer.era()
	item, err := s.gateway.dependencies.Store.Get(ctx, s.gateway.dependencies.Releases.StatusKey(service))
	var result release.Result
	if err == nil {
		status := s.decodeStatus(item, era)
		result = release.Result{Known: true, Era: status.Revision.Era(), Status: status}
	}
	s.record("read", err)
	s.finish(service, func(r *serviceRelease) []release.Action { return r.HandleRead(s.now(), result, timeOfDay()) })
}

// decodeStatus returns the status in a reply of the store to a call that began when an era was
// known. An invalid one counts as absent.
func (s *releases) decodeStatus(item mirror.Item, known mirror.Era) release.Status {
	revision := item.Revision().Resolve(known)
	for _, update := range s.gateway.dependencies.Interpreter.Updates(item) {
		if update.Status != nil {
			status := update.Status.Status
			status.Revision = revision
			return status
		}
	}
	return release.Status{Revision: mirror.NewRevision(revision.Era(), 0)}
}

// finish passes the result of a call to the state machine and puts its rule in force.
func (s *releases) finish(service string, handle func(r *serviceRelease) []release.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byService[service]
	if r == nil {
		return
	}
	for _, action := range handle(r) {
		s.log.Info(action.Message, action.Values...)
	}
	s.gateway.engine.SetVersionRule(service, r.Rule())
}

func (s *releases) record(kind string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		kind += ".ok"
	case errors.Is(err, ErrConflict):
		kind += ".conflict"
	case errors.Is(err, errOutdatedWrite):
		kind += ".outdated"
	default:
		kind += ".failed"
	}
	s.callCount[kind]++
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// releaseStates numbers the states for metrics.
var releaseStates = map[release.State]int64{release.Running: 1, release.Completed: 2, release.RolledBack: 3}

// metrics returns the gauges of the releases by name. Shares are in thousandths.
func (s *releases) metrics() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	gauges := make(map[string]int64)
	for kind, count := range s.callCount {
		gauges["releases.calls."+kind] = count
	}
	for service, r := range s.byService {
		name := "release." + service + "."
		share, phase := r.Share(s.now())
		local := s.gateway.engine.ReleaseTraffic(service)
		judge := r.Evidence()
		gauges[name+"state"] = releaseStates[r.Status().State]
		gauges[name+"share"] = int64(share * 1000)
		gauges[name+"phase"] = int64(phase)
		gauges[name+"requests"] = int64(local.Draws)
		gauges[name+"exposed"] = int64(local.Exposed)
		gauges[name+"old-in-flight"] = int64(local.OldInFlight)
		gauges[name+"judged"] = int64(judge.Attempts())
		gauges[name+"judged-failed"] = int64(judge.Failures())
		gauges[name+"judged-late"] = int64(judge.Late())
	}
	return gauges
}
