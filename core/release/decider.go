package release

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/mirror"
)

// The time of a release is divided into the trial, the ramp with the drain, and a margin
// before the end of the ordered duration. The trial is as long as possible: a version
// that becomes bad late is found at a small share.
const (
	marginFraction = 0.08
	minMargin      = 1500 * clock.Millisecond
	maxMargin      = 8 * clock.Second
	finishFraction = 0.3
	minFinish      = 5 * clock.Second
	maxFinish      = 40 * clock.Second
	// drainAfter is the fraction of the finish after which the drain begins.
	drainAfter = 0.6
	// minTrialFraction of the duration is left to the trial of a short release.
	minTrialFraction = 0.3

	trialShare = 0.5 // of the exposure share
	firstShare = 0.2 // of the exposure share, in firstTime
	firstTime  = 2 * clock.Second
	// wantedAttempts is the number of attempts at the new version that a service with
	// little traffic gets in the trial, if the slack of the exposure bound allows it.
	wantedAttempts = 60
	// leastAttempts is the number of attempts at the new version without which the ramp
	// does not begin before the fraction leastFinish of the finish is left.
	leastAttempts = 20
	leastFinish   = 0.6
	// leastWait is the time that a decider waits for evidence, also one that begins
	// after the end of the duration.
	leastWait     = 3 * clock.Second
	maxTrialShare = 0.5

	// unresolved is the suspicion from which the share does not grow. At the end of the
	// time it suffices to reject the version.
	unresolved = 0.35
	// silentTime is the time without a report after which a daemon no longer delays the
	// completion. Where all daemons publish their reports in short intervals,
	// silentPanelTime suffices.
	silentTime      = 6 * clock.Second
	silentPanelTime = 3 * clock.Second
	// reportMaxAge is the age up to which a report shows that a daemon has drained. It is
	// shorter than drainLifetime, in which the daemon does not use an old version.
	reportMaxAge = 5 * clock.Second
	// contentionDelay is the least time between two take-overs of a release by the same
	// daemon.
	contentionDelay = 5 * clock.Second
	// maxPause is the time between two ticks from which a daemon takes the reports that
	// it holds for outdated, and waits for settleTime before it decides.
	maxPause = clock.Second
)

// rampShares are the shares of the ramp, with the fraction of the finish from which each
// applies.
var rampShares = [...]struct{ from, share float64 }{{0, 0.15}, {0.15, 0.35}, {0.3, 0.65}, {0.45, 1}}

// decision is the state of a decider.
type decision struct {
	decidingSince clock.Millis // 0 if this daemon does not decide
	judge         Judge
	windowAt      clock.Millis
	phase         Phase
	phaseAt       clock.Millis
	share         float64
	spokenAt      clock.Millis
	pending       *Status    // the status that is to be written
	inFlight      bool       // a write or read is in progress
	updatesBefore uint64     // statusUpdates at its start
	callEra       mirror.Era // latest known one at its start
	uncertain     bool       // a write had no reply; the status must be read
	retryAt       clock.Millis
	verdict       string                  // for logs
	unheard       map[string]clock.Millis // instant at which a daemon without a report was first seen in the drain
}

// stop ends deciding, for example because the order was removed.
func (d *decision) stop() { *d = decision{} }

// Local is what a daemon observes itself.
type Local struct {
	DataCentre  string
	Draws       uint64
	Exposed     uint64
	OldInFlight int
	Targets     int
	Cells       []Cell
	// StoreAge is the age of the daemon's view of the store.
	StoreAge  clock.Millis
	StoreEra  mirror.Era // of that view
	TimeOfDay int64      // Unix ms
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// PublishReport distributes Report to all daemons.
	PublishReport ActionKind = iota
	// PublishDirective distributes Directive.
	PublishDirective
	// WriteStatus writes Status if the status has still the revision Expect and the
	// order the revision OrderRevision. The adapter calls HandleWrite once.
	WriteStatus
	// ReadStatus reads the status. The adapter calls HandleRead once.
	ReadStatus
	// Log writes a log line.
	Log
)

// Action is an instruction to the adapter.
type Action struct {
	Kind          ActionKind
	Report        Report
	Directive     Directive
	Status        Status
	Expect        mirror.Revision
	OrderRevision mirror.Revision
	Message       string
	Values        []any
}

// Outdated reports whether a WriteStatus was planned in an earlier era than the given one. Its
// revisions may stand for other items by now, so it must not be sent.
func (a Action) Outdated(era mirror.Era) bool {
	return a.Expect.Era().Compare(era) < 0 || a.OrderRevision.Era().Compare(era) < 0
}

// schedule returns the instants at which the ramp begins and at which the release must be
// complete, and the time for ramp and drain.
func (r *Release) schedule() (rampAt, dueAt, finish clock.Millis) {
	d := r.order.Duration
	margin := min(max(d*marginFraction, minMargin), maxMargin, d/4)
	finish = min(max(d*finishFraction, minFinish), maxFinish, (d-margin)*(1-minTrialFraction))
	dueAt = r.startedAt + d - margin
	return dueAt - finish, dueAt, finish
}

// Tick returns what is due. It is called every 100 ms or so while the release is active.
func (r *Release) Tick(now clock.Millis, local Local) []Action {
	r.observeEra(local.StoreEra)
	if r.stored.Target == "" && local.StoreEra.Compare(r.stored.Revision.Era()) > 0 {
		// Otherwise the changes of the store would have brought it.
		r.setStored(Status{Revision: mirror.NewRevision(local.StoreEra, 0)})
	}
	if !r.Active() {
		return r.rewrite(now, local)
	}
	var actions []Action
	phase, revision := r.phaseInForce(now)
	report := Report{
		Target: r.target, DataCentre: local.DataCentre, Revision: revision, Phase: phase, Draws: local.Draws, Exposed: local.Exposed,
		OldInFlight: local.OldInFlight, Targets: local.Targets, Cells: local.Cells,
	}
	if r.reportDue(now, report) {
		r.reportAt, r.reported = now, report
		if !r.panelist {
			report.Cells = nil
		}
		actions = append(actions, Action{Kind: PublishReport, Report: report})
	}
	r.ReceiveReport(now, r.self, report)
	r.recordTick(now)
	if !r.first {
		r.decision.stop()
		return actions
	}
	return append(actions, r.decide(now, local)...)
}

// recordTick begins to follow the release anew after a pause.
func (r *Release) recordTick(now clock.Millis) {
	if now > r.tickedAt+maxPause {
		r.decision.stop()
		r.followedSince = now
	}
	r.tickedAt = now
}

// reportDue reports whether to publish the report. Daemons that take part in the trial
// publish all of them, the others changes of what delays the completion.
func (r *Release) reportDue(now clock.Millis, report Report) bool {
	since := now - r.reportAt
	if r.panelist {
		return since >= r.interval()
	}
	changed := report.Phase != r.reported.Phase || report.Revision.Compare(r.reported.Revision) != 0 ||
		(report.OldInFlight > 0) != (r.reported.OldInFlight > 0) || (report.Targets > 0) != (r.reported.Targets > 0)
	return since >= quietInterval || (changed && report.Phase == Drain && since >= r.interval())
}

func (r *Release) decide(now clock.Millis, local Local) []Action {
	d := &r.decision
	if d.decidingSince == 0 {
		d.decidingSince, d.windowAt = now, now
		for _, held := range r.reports { // a new judge needs all the evidence
			clear(held.counted)
		}
	}
	if now < r.followedSince+settleTime || local.StoreAge > maxStoreAge {
		return nil
	}
	var actions []Action
	if r.status.Target != r.target || r.status.State != Running || r.status.Decider != r.self || r.lost() {
		d.phaseAt = 0
		if r.stored.Target == r.target && r.ownedAt > 0 && now < r.ownedAt+contentionDelay {
			return nil // another daemon decides too; the two must not write in turns
		}
		// The write makes sure that no earlier decider can still change the status.
		if d.pending == nil || d.pending.State != Running || d.pending.Target != r.target {
			d.want(Status{
				State: Running, Target: r.target, Excluded: r.status.excludedFor(r.target), Decider: r.self,
				StartedAt: local.TimeOfDay - int64(now-r.startedAt),
			})
		}
		return append(actions, r.write(now)...)
	}
	if d.phaseAt == 0 {
		d.phaseAt, d.phase = now, Trial
		if r.directive.Target == r.target { // of an earlier decider
			d.phase, d.share = r.directive.Phase, r.directive.Share
		}
		if r.rejected {
			d.phase, d.verdict = Rejected, "rejected by the previous decider"
		}
		actions = append(actions, r.logPhase("release decider starts"))
	}
	if now >= d.windowAt+r.interval() {
		d.windowAt = now
		d.judge.Add(r.takeWindow())
	}
	if d.phase != Rejected {
		actions = append(actions, r.advance(now)...)
	}
	if d.phase == Rejected {
		d.want(r.terminal(RolledBack))
	}
	switch drained := d.phase == Drain && r.drained(now); {
	case drained:
		d.want(r.terminal(Completed))
	case d.pending != nil && d.pending.State == Completed && !d.inFlight:
		d.pending = nil // the write failed, and the release is no longer drained
	}
	if now >= d.spokenAt+r.interval() || r.directive.Phase != d.phase || r.directive.Revision.Compare(r.status.Revision) != 0 {
		d.spokenAt = now
		directive := Directive{
			Target: r.target, Revision: r.status.Revision, Sequence: r.directive.Sequence + 1, Phase: d.phase, Share: d.share,
			ElapsedMs: float64(now - r.startedAt), Daemons: len(r.members),
		}
		r.ReceiveDirective(now, directive, 0)
		actions = append(actions, Action{Kind: PublishDirective, Directive: directive})
	}
	return append(actions, r.write(now)...)
}

func (r *Release) terminal(state State) Status {
	status := r.status
	status.State = state
	return status
}

// advance changes phase and share as the evidence and the time require.
func (r *Release) advance(now clock.Millis) []Action {
	d := &r.decision
	suspicion := d.judge.Suspicion()
	rampAt, dueAt, finish := r.schedule()
	switch {
	case suspicion.Bad():
		return r.reject(now, "bad: "+suspicion.String())
	case now >= dueAt && suspicion.Share() >= unresolved && d.phase != Drain:
		return r.reject(now, "doubtful at the end of the time: "+suspicion.String())
	case d.phase == Trial && d.judge.Attempts() == 0 && now >= max(r.startedAt+r.order.Duration, d.phaseAt+leastWait):
		return r.reject(now, "no evidence: no replica of the version was usable")
	case d.phase == Trial && (now < rampAt || d.judge.Attempts() == 0 || suspicion.Share() >= unresolved ||
		(d.judge.Attempts() < leastAttempts && now < dueAt-finish*leastFinish)):
		d.share = r.trialShare(now, max(now, rampAt))
		return nil
	case d.phase == Trial:
		d.phase, d.phaseAt = Ramp, now
		d.verdict = fmt.Sprintf("good by %d attempts", d.judge.Attempts())
		d.share = rampShares[0].share
		return []Action{r.logPhase("release found good")}
	case d.phase == Ramp:
		return r.ramp(now, rampAt, dueAt, finish, suspicion)
	}
	return nil
}

// ramp raises the share, unless there is doubt about the version, and begins the drain.
func (r *Release) ramp(now, rampAt, dueAt, finish clock.Millis, suspicion Suspicion) []Action {
	d := &r.decision
	// A ramp that began late takes the time that is left.
	begin := max(rampAt, d.phaseAt)
	length := max(minFinish/2, min(finish, dueAt-begin))
	progress := float64((now - begin) / length)
	share := d.share
	for _, step := range rampShares {
		if progress >= step.from {
			share = max(share, step.share)
		}
	}
	if share > d.share && suspicion.Share() >= unresolved {
		return nil
	}
	d.share = max(d.share, share)
	if d.share >= 1 && progress >= drainAfter && r.targetsUsable(now) && suspicion.Share() < unresolved {
		d.phase, d.phaseAt = Drain, now
		return []Action{r.logPhase("release drains the old versions")}
	}
	return nil
}

func (r *Release) reject(now clock.Millis, reason string) []Action {
	d := &r.decision
	d.phase, d.phaseAt, d.share, d.verdict = Rejected, now, 0, reason
	return []Action{r.logPhase("release rejected")}
}

// trialShare returns the share in the trial: a fixed part of the exposure share, and more
// for a service with little traffic, whose exposure the slack bounds.
func (r *Release) trialShare(now, rampAt clock.Millis) float64 {
	elapsed := now - r.startedAt
	if elapsed < firstTime && !r.inherited {
		return firstShare * r.settings.ExposureShare
	}
	share := trialShare * r.settings.ExposureShare
	draws := uint64(0)
	for _, held := range r.reports {
		draws += held.report.Draws
	}
	if expected := float64(draws) / float64(max(elapsed, 1)) * float64(rampAt-r.startedAt); draws > 0 {
		share = max(share, min(maxTrialShare, min(wantedAttempts, r.settings.ExposureSlack)*usableBound/expected))
	} else {
		share = maxTrialShare
	}
	return share
}

// takeWindow returns the evidence that has been reported since the last window.
func (r *Release) takeWindow() Window {
	w := make(Window)
	for _, held := range r.reports {
		held.mergeCounted()
		for _, cell := range held.report.Cells {
			before := held.counted[cell.CellKey]
			if fresh := cell.Counts.since(before); fresh.Attempts > 0 || len(fresh.Latency) > 0 {
				w.add(held.report.DataCentre, Cell{CellKey: cell.CellKey, Counts: fresh})
				var counted Counts
				counted.add(cell.Counts)
				held.counted[cell.CellKey] = counted
			}
		}
	}
	return w
}

// mergeCounted adapts what has been counted to a report that no longer names routes,
// because its evidence would exceed a record.
func (h *heldReport) mergeCounted() {
	if slices.ContainsFunc(h.report.Cells, func(cell Cell) bool { return cell.Route != "" }) {
		return
	}
	for key, counted := range h.counted {
		if key.Route != "" {
			merged := h.counted[CellKey{Replica: key.Replica}]
			merged.add(counted)
			h.counted[CellKey{Replica: key.Replica}] = merged
			delete(h.counted, key)
		}
	}
}

// targetsUsable reports whether the daemons have usable replicas of the new version.
func (r *Release) targetsUsable(now clock.Millis) bool {
	for _, held := range r.reports {
		if now-held.at < reportMaxAge && held.report.Targets == 0 {
			return false
		}
	}
	return true
}

// drained reports whether no daemon has a request in flight at an old version, nor will
// send one. A daemon that is silent for long does not count: it is dead, or no longer
// obeys the directive.
func (r *Release) drained(now clock.Millis) bool {
	silent := silentTime
	if len(r.members) <= panelSize {
		silent = silentPanelTime
	}
	for _, member := range r.members {
		held := r.reports[member]
		if held == nil && r.decision.unheard[member] == 0 {
			// It has just started, and may not have the directive yet.
			if r.decision.unheard == nil {
				r.decision.unheard = make(map[string]clock.Millis)
			}
			r.decision.unheard[member] = now
		}
		last := r.decision.unheard[member]
		if held != nil {
			last = held.at
		}
		if now-last > silent {
			continue
		}
		if held == nil || now-held.at > reportMaxAge || held.report.Phase != Drain ||
			held.report.Revision.Compare(r.status.Revision) != 0 || held.report.OldInFlight > 0 {
			return false
		}
	}
	return true
}

func (r *Release) logPhase(message string) Action {
	d := &r.decision
	draws, exposed := uint64(0), uint64(0)
	for _, held := range r.reports {
		draws += held.report.Draws
		exposed += held.report.Exposed
	}
	suspicion := d.judge.Suspicion()
	return Action{Kind: Log, Message: message, Values: []any{
		"service", r.service, "target", r.target, "phase", d.phase.String(), "share", d.share, "reason", d.verdict,
		"requests", draws, "exposed", exposed, "attempts", d.judge.Attempts(), "failures", d.judge.Failures(),
		"late", d.judge.Late(), "suspicion", suspicion.Share(), "evidence", suspicion.String(), "daemons", len(r.members),
	}}
}

// want sets the status to be written.
func (d *decision) want(status Status) {
	if d.pending == nil || !d.pending.Equal(status) {
		d.pending = &status
	}
}

// write returns the action that brings the pending status to the store, if it is due.
func (r *Release) write(now clock.Millis) []Action {
	d := &r.decision
	if d.pending == nil || d.inFlight || now < d.retryAt {
		return nil
	}
	write := Action{Kind: WriteStatus, Status: *d.pending, Expect: r.stored.expected(), OrderRevision: mirror.NewRevision(r.era, 0)}
	if r.order != nil {
		write.OrderRevision = r.order.Revision
	}
	switch {
	case d.uncertain || write.Expect.Era().Compare(r.era) < 0:
		write = Action{Kind: ReadStatus}
	case write.Outdated(r.era):
		return nil // the restored store may lack the order; it is retained until operators write it again
	}
	d.inFlight, d.updatesBefore, d.callEra = true, r.statusUpdates, r.era
	return []Action{write}
}

// Result is the result of writing or reading a status.
type Result struct {
	// Known is unset if the store gave no usable answer. A write may then have taken
	// effect, or may do so later.
	Known bool
	// Era is that of the store at its answer.
	Era mirror.Era
	// Status is the status that the store holds after the call.
	Status Status
}

// HandleWrite takes the result of WriteStatus. Without an answer the status is read
// before it is written again.
func (r *Release) HandleWrite(now clock.Millis, result Result, timeOfDay int64) []Action {
	r.decision.uncertain = !result.Known
	return r.handleResult(now, result, timeOfDay)
}

// HandleRead takes the result of ReadStatus.
func (r *Release) HandleRead(now clock.Millis, result Result, timeOfDay int64) []Action {
	if result.Known {
		r.decision.uncertain = false
	}
	return r.handleResult(now, result, timeOfDay)
}

// appliesNow reports whether the status in the result of a call is to replace the known one.
// If the known one has changed during the call, only one with a later revision is known
// to be newer. An absent status has no revision.
func (r *Release) appliesNow(status Status) bool {
	return r.statusUpdates == r.decision.updatesBefore ||
		r.stored.Revision.Number() > 0 && r.stored.Revision.Before(status.Revision)
}

func (r *Release) handleResult(now clock.Millis, result Result, timeOfDay int64) []Action {
	d := &r.decision
	inFlight := d.inFlight
	d.inFlight = false
	if !result.Known {
		d.retryAt = now + writeRetryInterval
		return nil
	}
	if inFlight && result.Era.Compare(d.callEra) > 0 {
		// The revisions that the call was based on are those of another item by now.
		r.observeEra(result.Era)
		d.uncertain, d.retryAt = true, now+writeRetryInterval
		return nil
	}
	if r.appliesNow(result.Status) {
		r.setStatus(now, result.Status, timeOfDay)
	}
	if d.pending == nil || !d.pending.Equal(r.stored) {
		// Another decider or an order came first. The next Tick decides anew.
		d.pending, d.retryAt = nil, now+writeRetryInterval
		if r.order == nil {
			d.retryAt = now + rewriteInterval
		}
		return nil
	}
	d.pending = nil
	if r.stored.State == Running && r.stored.Decider == r.self {
		r.ownedAt = now
	}
	return []Action{r.logPhase("release " + string(r.status.State))}
}
