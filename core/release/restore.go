package release

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/mirror"
)

// rewriteInterval is the least time between two writes of a status without an order, which
// fail while the store has an order that this daemon doesn't know.
const rewriteInterval = 5 * clock.Second

// expected returns the revision on condition of which the status can be written. Its number is
// 0 if the store has no status.
func (s Status) expected() mirror.Revision {
	if s.Target == "" {
		return mirror.NewRevision(s.Revision.Era(), 0)
	}
	return s.Revision
}

// excludedFor returns the versions that this release and earlier ones did not complete, for a
// release of a target.
func (s Status) excludedFor(target string) []string {
	excluded := s.Excluded
	if s.Target != "" && s.State != Completed && s.Target != target {
		excluded = append(slices.Clone(excluded), s.Target)
	}
	excluded = slices.DeleteFunc(slices.Clone(excluded), func(version string) bool { return version == target })
	return excluded[max(0, len(excluded)-maxExcluded):]
}

// over returns the status in effect when the store, which was restored from an older copy, has
// the stored one, and s was in effect before. The stored one is in effect if it says as much
// about the same target, or if the order in force names its target again and s was not
// completed. After a completion the replicas of that target may have stopped. Ordered is the
// target of the order, or "".
func (s Status) over(stored Status, ordered string) Status {
	switch {
	case s.Target == "":
	case stored.Target == s.Target && (stored.State.Terminal() || !s.State.Terminal()):
	case stored.Target != "" && stored.Target != s.Target && stored.Target == ordered && s.State != Completed:
	default:
		return s
	}
	excluded := slices.Clone(stored.Excluded)
	for _, version := range s.excludedFor(stored.Target) {
		if len(excluded) < maxExcluded && !slices.Contains(excluded, version) {
			excluded = append(excluded, version)
		}
	}
	stored.Excluded = excluded
	return stored
}

// setStored sets the status that the store has, and the one that is in effect.
func (r *Release) setStored(status Status) {
	switch later := status.Revision.Era().Compare(r.stored.Revision.Era()) > 0; {
	case later && r.kept.Target == "":
		r.kept = r.status
	case later: // a second restore
	case status.Target != "" && status.Target != r.kept.Target && r.stored.Revision.Before(status.Revision):
		// It was written since the restore.
		r.kept = Status{Excluded: r.kept.excludedFor(status.Target)}
	}
	r.stored = status
	r.updateStatus()
}

// updateStatus sets the status in effect from the stored one, and from the one of before the
// last restore until the store has caught up with it.
func (r *Release) updateStatus() {
	ordered := ""
	if r.order != nil {
		ordered = r.order.Target
	}
	r.status = r.kept.over(r.stored, ordered)
	r.status.Revision = r.stored.Revision
	if !r.lost() {
		r.kept = Status{}
	}
}

// lost reports whether a restored store lacks something of the status in effect.
func (r *Release) lost() bool { return !r.status.Equal(r.stored) }

// learnFinal takes a final state of the target that a daemon knows and the store has lost. This
// daemon may have started since the restore.
func (r *Release) learnFinal(state State, daemon string) {
	if r.status.Target == r.target && r.status.State.Terminal() {
		return
	}
	known := Status{State: state, Target: r.target, Excluded: r.status.excludedFor(r.target), Decider: daemon}
	if r.status.Target == r.target {
		known.Decider, known.StartedAt = r.status.Decider, r.status.StartedAt
	}
	r.kept = known
	r.updateStatus()
}

// rewrite publishes the final state that a restored store has lost, and writes the status in
// effect to the store if this daemon decides. It is for the time in which no order is being
// carried out.
func (r *Release) rewrite(now clock.Millis, local Local) []Action {
	r.recordTick(now)
	if !r.lost() {
		r.decision.stop()
		return nil
	}
	var actions []Action
	if r.status.State.Terminal() {
		report := Report{
			Target: r.status.Target, DataCentre: local.DataCentre, Revision: r.stored.Revision, Draws: local.Draws, Exposed: local.Exposed,
			OldInFlight: local.OldInFlight, Targets: local.Targets, Final: r.status.State,
		}
		if r.reportDue(now, report) {
			r.reportAt, r.reported = now, report
			actions = append(actions, Action{Kind: PublishReport, Report: report})
		}
	}
	switch {
	case !r.first:
		r.decision.stop()
	case now >= r.followedSince+settleTime && local.StoreAge <= maxStoreAge:
		r.decision.want(r.status)
		actions = append(actions, r.write(now)...)
	}
	return actions
}
