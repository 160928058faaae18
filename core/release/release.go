// Package release moves the traffic of a service to replicas of a new version.
//
// Operators order it with the version and a time. Each daemon runs a Release for each
// ordered service. One of the daemons, the decider, collects the evidence of all,
// judges the new version, and publishes its directive: the share of the requests that the
// new version gets. The status of the release, running, completed or rolled back, is
// written to the platform's store by compare-and-swap, and outlives all daemons.
//
// The store may be restored from an older copy. What it has lost of a status stays in effect,
// and the decider writes it again.
//
// Each daemon also bounds the requests that it sends to an unproven version by its own
// traffic, so that the bound on the fleet's exposure does not depend on messages.
//
// # Usage
//
//	r := release.New(now, "ledger", self, settings)
//	r.SetOrder(now, &order)              // nil if there is none
//	r.SetStatus(now, status)             // the zero value if there is none
//	r.SetMembers(now, daemons)
//	r.ReceiveReport(now, daemon, report) // evidence of another daemon
//	r.ReceiveDirective(now, directive, age)
//	for _, action := range r.Tick(now, local) { publish, write, read or log }
//	r.HandleWrite(now, result)
//	pool.SetVersionRule(r.Rule())
package release

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/quota"
	"github.com/lovagegap/lovagegap/core/replica"
)

// Settings bounds the exposure to a new version.
type Settings struct {
	// An unproven version gets at most ExposureShare of the requests to the service,
	// plus ExposureSlack.
	ExposureShare, ExposureSlack float64
	// RollbackTime is the time from the 50th bad answer of a bad version to its last
	// request. Zero stands for defaultRollbackTime.
	RollbackTime clock.Millis
}

// Order is the operators' order to move a service to a version.
type Order struct {
	Target   string
	Duration clock.Millis
	Revision mirror.Revision // of the item in the store
}

// State is the state of a release as the store holds it.
type State string

// States. A terminal state never changes.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s == Completed || s == RolledBack }

// Status is the status of a release. The zero value means that there is none.
type Status struct {
	State     State
	Target    string
	Excluded  []string // versions that earlier releases did not complete
	Decider   string   // daemon that wrote it
	StartedAt int64    // time of day at which the release started, in Unix ms
	// Revision is that of the item in the store, or of its removal. Its number is 0 if no
	// removal is known.
	Revision mirror.Revision
}

// Equal reports whether two statuses state the same, whatever their revisions.
func (s Status) Equal(other Status) bool {
	return s.State == other.State && s.Target == other.Target && s.Decider == other.Decider &&
		s.StartedAt == other.StartedAt && slices.Equal(s.Excluded, other.Excluded)
}

// maxExcluded bounds the versions that a status lists as rolled back.
const maxExcluded = 8

// Phase is the phase of a release.
type Phase uint8

// Phases, in order.
const (
	// Trial sends a bounded part of the requests to the new version.
	Trial Phase = iota
	// Ramp follows when the version is found good; the share grows to 1.
	Ramp
	// Drain selects only the new version until no request is in flight at an old one.
	Drain
	// Rejected follows when the version is found bad.
	Rejected
)

// String names the phase as it appears in logs.
func (p Phase) String() string {
	if int(p) < 4 {
		return [...]string{"trial", "ramp", "drain", "rejected"}[p]
	}
	return "unknown"
}

// Directive is what the decider tells all daemons.
type Directive struct {
	Target   string          `cbor:"1,keyasint"`
	Revision mirror.Revision `cbor:"-"`          // of the decider's status; the directive with the latest one is obeyed
	Sequence uint64          `cbor:"3,keyasint"` // orders the directives of a decider
	Phase    Phase           `cbor:"4,keyasint"`
	Share    float64         `cbor:"5,keyasint"`
	// ElapsedMs is the time since the order.
	ElapsedMs float64 `cbor:"6,keyasint"`
	Daemons   int     `cbor:"7,keyasint"` // that share the slack of the exposure bound
}

// newer reports whether the directive replaces another one.
func (w *Directive) newer(other *Directive) bool {
	if order := w.Revision.Compare(other.Revision); order != 0 {
		return order > 0
	}
	return w.Sequence > other.Sequence
}

// Report is the evidence of one daemon since the order reached it. All counts only grow.
type Report struct {
	Target      string          `cbor:"1,keyasint"`
	DataCentre  string          `cbor:"2,keyasint"` // of the daemon
	Revision    mirror.Revision `cbor:"-"`          // of the directive in force
	Phase       Phase           `cbor:"4,keyasint"` // in force
	Draws       uint64          `cbor:"5,keyasint"` // requests to the service
	Exposed     uint64          `cbor:"6,keyasint"` // requests sent to the new version
	OldInFlight int             `cbor:"7,keyasint"`
	Targets     int             `cbor:"8,keyasint"` // usable replicas of the new version
	// Final is the final state that this daemon knows and a restored store lacks, or "".
	Final State  `cbor:"13,keyasint,omitempty"`
	Cells []Cell `cbor:"-"`
}

const (
	defaultRollbackTime = 5 * clock.Second
	// maxInterval is the longest time between two reports of a daemon, two directives of the
	// decider, and two windows of the judge. The three delays add up.
	maxInterval = 500 * clock.Millisecond
	// intervalFraction of the rollback time bounds that time too.
	intervalFraction = 0.1
	// directiveLifeFraction of the rollback time is the time after which a daemon without a
	// newer directive sends nothing more to a version that isn't proven.
	directiveLifeFraction = 0.5
	// drainLifetime is that time in the phase Drain. It exceeds the time between the
	// last report of a daemon and the completion that is based on it, so that no
	// daemon goes back to an old version that is stopped.
	drainLifetime = 10 * clock.Second
	// maxStoreAge is the age of the view of the store from which a decider gives no
	// directive, since the order may have been removed.
	maxStoreAge = 5 * clock.Second
	// settleTime is the time for which a daemon must have followed the release, to have
	// the reports and directives of the others, before it decides.
	settleTime = 1500 * clock.Millisecond
	// inheritedAge is the time that a release has run before a daemon heard of it, from
	// which it takes no part of the slack of the exposure bound: an earlier run of the
	// daemon may have used it.
	inheritedAge = 3 * clock.Second
	// writeRetryInterval is the time between two attempts to write or read a status.
	writeRetryInterval = 1 * clock.Second
	// panelSize is the number of daemons that take part in the trial. Reports of more
	// daemons would exceed the limit on control traffic of a large fleet.
	panelSize = 32
	// quietInterval is the time between two reports of another daemon whose state has
	// not changed.
	quietInterval = 4 * clock.Second
	// usableBound is the share of the bound on the exposure that is used. The rest is
	// for the time between the first bad answers of a version found good and the
	// rollback.
	usableBound = 0.7
)

// rollbackTime returns the time for a rollback.
func (s *Settings) rollbackTime() clock.Millis {
	if s.RollbackTime <= 0 {
		return defaultRollbackTime
	}
	return s.RollbackTime
}

// interval returns the time between two reports, directives and windows.
func (r *Release) interval() clock.Millis {
	return min(maxInterval, r.settings.rollbackTime()*intervalFraction)
}

// directiveLifetime returns the time for which a directive is obeyed before the drain.
func (r *Release) directiveLifetime() clock.Millis {
	return r.settings.rollbackTime() * directiveLifeFraction
}

// heldReport is the latest report of a daemon.
type heldReport struct {
	report  Report
	at      clock.Millis
	counted map[CellKey]Counts // already in the windows
}

// Release is the state of the release of one service on one daemon. It is not safe for
// concurrent use.
type Release struct {
	service, self string
	settings      Settings

	order         *Order
	status        Status     // in effect
	stored        Status     // in the store
	kept          Status     // in effect before the last restore, until the store has caught up
	statusUpdates uint64     // calls of SetStatus so far
	era           mirror.Era // latest known one of the store
	inherited     bool       // the release ran for inheritedAge before this daemon heard of it
	startedAt     clock.Millis
	target        string   // that the fields below apply to
	deciders      []string // daemons that may decide
	members       []string // daemons that may send requests
	directive     Directive
	directiveAt   clock.Millis
	rejected      bool
	reports       map[string]*heldReport // of all daemons, this one included
	reportAt      clock.Millis
	reported      Report // without cells, the latest of this daemon
	tickedAt      clock.Millis
	// followedSince is the instant from which the daemon has followed the release
	// without a pause.
	followedSince clock.Millis
	ownedAt       clock.Millis // instant at which this daemon last became the decider in the store
	first         bool         // this daemon is the decider by its view of the members
	panelist      bool         // this daemon takes part in the trial

	decision
}

// New returns the release of a service on the daemon self.
func New(service, self string, settings Settings) *Release {
	return &Release{service: service, self: self, settings: settings, deciders: []string{self}, members: []string{self},
		first: true, panelist: true, reports: make(map[string]*heldReport)}
}

// ReplicaNumber returns the number under which the evidence of a replica is counted. There
// are few, since the evidence of many replicas does not fit into a record.
func ReplicaNumber(id string) uint32 { return 1 + uint32(xxhash.Sum64String(id)%4) }

// Target returns the version that the release is about, or "".
func (r *Release) Target() string {
	switch {
	case r.order != nil:
		return r.order.Target
	case r.status.Target != "":
		return r.status.Target
	default:
		return r.directive.Target
	}
}

// Status returns the status in effect.
func (r *Release) Status() Status { return r.status }

// Stored returns the status that the store has as far as known. It differs from the one in
// effect if the store was restored from an older copy.
func (r *Release) Stored() Status { return r.stored }

// Active reports whether an order is being carried out.
func (r *Release) Active() bool {
	return r.order != nil && !(r.status.Target == r.order.Target && r.status.State.Terminal())
}

// Working reports whether Tick has something to do: an order is being carried out, or the
// store has lost something of the status.
func (r *Release) Working() bool { return r.Active() || r.lost() }

// SetOrder sets the order in force, or nil if it was removed. An order for the same
// version does not restart the release.
func (r *Release) SetOrder(now clock.Millis, order *Order) {
	if order != nil && (r.order == nil || r.order.Target != order.Target) {
		r.start(now, order.Target)
	}
	r.order = order
	if order == nil {
		r.decision.stop()
	}
	r.updateStatus()
}

// start begins with a target version.
func (r *Release) start(now clock.Millis, target string) {
	r.startedAt = now
	if r.target == target {
		return
	}
	r.target, r.rejected = target, false
	r.inherited = false
	r.decision = decision{}
	if r.directive.Target != target {
		r.directive = Directive{}
	}
	clear(r.reports)
}

// SetStatus sets the status from the changes of the store. One that is older than the
// known one is ignored, also if its number is higher but its era earlier. TimeOfDay is in Unix ms.
func (r *Release) SetStatus(now clock.Millis, status Status, timeOfDay int64) {
	r.statusUpdates++
	r.setStatus(now, status, timeOfDay)
}

func (r *Release) setStatus(now clock.Millis, status Status, timeOfDay int64) {
	absent := status.Revision.Number() == 0 && status.Revision.Era().Compare(r.stored.Revision.Era()) >= 0
	if status.Revision.Before(r.stored.Revision) && !absent {
		return
	}
	r.observeEra(status.Revision.Era())
	first := r.status.Target == ""
	r.setStored(status)
	if status.State == Running && status.Target == r.target && first && status.Decider != r.self {
		// After a restart of this daemon the time continues. The time of day may have
		// jumped, so the elapsed time is bounded by the duration.
		elapsed := clock.Millis(max(0, timeOfDay-status.StartedAt))
		if r.order != nil {
			elapsed = min(elapsed, r.order.Duration)
		}
		r.backdate(now, elapsed)
	}
}

// observeEra records that the store is in an era, or was.
func (r *Release) observeEra(era mirror.Era) {
	if era.Compare(r.era) > 0 {
		r.era = era
	}
}

// backdate records that the release has run for a time, if that is longer than known.
func (r *Release) backdate(now, elapsed clock.Millis) {
	r.inherited = r.inherited || elapsed > now-r.startedAt+inheritedAge
	r.startedAt = min(r.startedAt, now-elapsed)
}

// SetMembers sets the daemons of which one decides, and those that may send requests.
func (r *Release) SetMembers(deciders, members []string) {
	if !slices.Contains(members, r.self) {
		members = append(slices.Clone(members), r.self)
	}
	if slices.Equal(deciders, r.deciders) && slices.Equal(members, r.members) {
		return
	}
	r.deciders, r.members = deciders, members
	rank, ok := quota.NewTable(deciders).Rank(resource+r.service, r.self)
	r.first = ok && rank == 0
	rank, _ = quota.NewTable(members).Rank(resource+r.service, r.self)
	r.panelist = rank < panelSize
}

// resource names the hash by which daemons are ranked for a service.
const resource = "release/"

// ReceiveReport takes the evidence of a daemon.
func (r *Release) ReceiveReport(now clock.Millis, daemon string, report Report) {
	held := r.reports[daemon]
	switch {
	case report.Target != r.target:
		return
	case held == nil:
		held = &heldReport{counted: make(map[CellKey]Counts)}
		r.reports[daemon] = held
	}
	held.report, held.at = report, now
	if report.Final.Terminal() && report.Revision.Era().Compare(r.era) == 0 {
		r.learnFinal(report.Final, daemon)
	}
}

// ReceiveDirective takes the directive of a decider that was published age ago. A directive is obeyed if
// its decider has written the latest status.
func (r *Release) ReceiveDirective(now clock.Millis, directive Directive, age clock.Millis) {
	if !directive.newer(&r.directive) || directive.Revision.Before(r.status.Revision) {
		return
	}
	r.directive, r.directiveAt = directive, now-max(0, age)
	if directive.Target != r.target {
		return
	}
	r.rejected = r.rejected || directive.Phase == Rejected
	if elapsed := clock.Millis(directive.ElapsedMs); elapsed > 0 {
		r.backdate(now, elapsed)
	}
}

// ForgetDirective ends the effect of the directive, for example because this daemon was suspended
// for a time that its clock does not count.
func (r *Release) ForgetDirective(now clock.Millis) {
	r.directiveAt = min(r.directiveAt, now-max(drainLifetime, r.directiveLifetime()))
}

// SetOrderRevision records that the item of the order has another revision, although the
// order in force stays: its new content is invalid.
func (r *Release) SetOrderRevision(revision mirror.Revision) {
	if r.order != nil {
		order := *r.order
		order.Revision = revision
		r.order = &order
	}
}

// Idle reports whether neither an order nor a status is known, so that the release need
// not be kept once the directives of deciders have expired.
func (r *Release) Idle(now clock.Millis) bool {
	return r.order == nil && r.status.Target == "" && now >= r.directiveAt+clock.Minute
}

// Share returns the share that the new version gets at present, for metrics, and the
// phase of the latest directive.
func (r *Release) Share(now clock.Millis) (float64, Phase) {
	switch rule := r.Rule(); {
	case rule.Until > 0 && now >= rule.Until:
		return 0, r.directive.Phase
	case rule.Mode == replica.TargetOnly:
		return 1, r.directive.Phase
	default:
		return rule.Share, r.directive.Phase
	}
}

// Evidence returns the judge of the decider; it is empty on other daemons.
func (r *Release) Evidence() *Judge { return &r.decision.judge }

// Rule returns which versions the requests of the service may run on.
func (r *Release) Rule() replica.VersionRule {
	target := r.Target()
	current := r.status.Target == target
	rule := replica.VersionRule{
		Mode: replica.OldVersions, Target: target, Excluded: r.status.excludedFor(target),
		TargetIfAlone: r.Active() && !r.rejected,
	}
	switch {
	case target == "":
		return replica.VersionRule{}
	case current && r.status.State == Completed:
		rule.Mode = replica.TargetOnly
	case r.order == nil, r.rejected, !current || r.status.State != Running, r.directive.Target != target,
		r.directive.Revision.Before(r.status.Revision), r.directive.Phase == Trial && !r.panelist:
	case r.directive.Phase == Trial:
		rule.Mode, rule.Share, rule.Until = replica.SplitVersions, r.directive.Share, r.directiveAt+r.directiveLifetime()
		rule.Bounded, rule.ExposureShare = true, r.settings.ExposureShare*usableBound
		if !r.inherited {
			rule.ExposureSlack = r.settings.ExposureSlack * usableBound / float64(min(panelSize, max(1, r.directive.Daemons, len(r.members))))
		}
	case r.directive.Phase == Ramp:
		rule.Mode, rule.Share, rule.Until = replica.SplitVersions, r.directive.Share, r.directiveAt+r.directiveLifetime()
	case r.directive.Phase == Drain:
		rule.Mode, rule.Until = replica.TargetOnly, r.directiveAt+drainLifetime
	}
	return rule
}

// phaseInForce returns the phase of the directive that the daemon obeys, and the revision of
// that directive.
func (r *Release) phaseInForce(now clock.Millis) (Phase, mirror.Revision) {
	switch rule := r.Rule(); {
	case r.rejected:
		return Rejected, r.directive.Revision
	case rule.Mode == replica.TargetOnly && now < rule.Until:
		return Drain, r.directive.Revision
	case rule.Mode == replica.SplitVersions && now < rule.Until:
		return r.directive.Phase, r.directive.Revision
	default:
		return Trial, mirror.Revision{}
	}
}
