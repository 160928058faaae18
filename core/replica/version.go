package replica

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// VersionMode says which versions of a service the requests run on.
type VersionMode uint8

// Modes.
const (
	// AllVersions makes no difference between versions.
	AllVersions VersionMode = iota
	// OldVersions never selects the target version.
	OldVersions
	// SplitVersions sends a share of the requests to the target version. The old
	// versions are its fallback.
	SplitVersions
	// TargetOnly selects only the target version.
	TargetOnly
)

// String names the mode as it appears in logs.
func (m VersionMode) String() string { return [...]string{"all", "old", "split", "target"}[m] }

// VersionRule restricts the requests of a service to versions of its replicas. The zero
// value allows all of them.
type VersionRule struct {
	Mode     VersionMode
	Target   string       // version
	Excluded []string     // versions that were rolled back earlier
	Share    float64      // of the requests that go to the target version with SplitVersions
	Until    clock.Millis // SplitVersions and TargetOnly become OldVersions from then on; 0 for never
	// Bounded means that requests to the target version are an exposure to an unproven
	// version: this daemon sends at most ExposureShare of its requests to it, plus
	// ExposureSlack, and no retries and hedges.
	Bounded                      bool
	ExposureShare, ExposureSlack float64
	// TargetIfAlone allows the target version while no replica of another version is
	// listed, as when the version that is ordered runs already.
	TargetIfAlone bool
}

// mode returns the mode that is in force.
func (v *VersionRule) mode(now clock.Millis) VersionMode {
	if v.Until > 0 && now >= v.Until && v.Mode > OldVersions {
		return OldVersions
	}
	return v.Mode
}

// VersionChoice is the result of a draw for a request. The zero value stands for the old
// versions, and for all of them without a rule.
type VersionChoice uint8

// Choices.
const (
	// OldChoice selects old versions where requests are split.
	OldChoice VersionChoice = iota
	// TargetChoice selects the target version where requests are split, and an old one
	// if no replica of it is usable.
	TargetChoice
)

// versionTraffic is the rule of a pool with a release, and what was sent under it.
type versionTraffic struct {
	rule    VersionRule
	draws   uint64
	exposed uint64 // requests sent to the target version
}

// SetVersionRule sets which versions of the service requests run on. The counts of
// VersionTraffic start anew with another target version.
func (p *Pool) SetVersionRule(rule VersionRule) {
	switch {
	case rule.Mode == AllVersions:
		p.versions, p.removed = nil, nil
	case p.versions == nil || p.versions.rule.Target != rule.Target:
		p.versions = &versionTraffic{rule: rule}
	default:
		p.versions.rule = rule
	}
}

// VersionTraffic returns the number of draws and of requests sent to the target version
// since the rule of that version was first set, and the number of unanswered requests at
// replicas of other versions.
func (p *Pool) VersionTraffic() (draws, exposed uint64, oldInFlight int) {
	if p.versions == nil {
		return 0, 0, 0
	}
	for _, r := range p.replicas {
		if r.entry.Version() != p.versions.rule.Target {
			oldInFlight += len(r.pending)
		}
	}
	return p.versions.draws, p.versions.exposed, oldInFlight + p.removedInFlight()
}

// removedInFlight returns the number of unanswered requests at replicas of other versions
// that are no longer listed.
func (p *Pool) removedInFlight() int {
	p.removed = slices.DeleteFunc(p.removed, func(r *Replica) bool { return len(r.pending) == 0 })
	n := 0
	for _, r := range p.removed {
		if r.entry.Version() != p.versions.rule.Target {
			n += len(r.pending)
		}
	}
	return n
}

// UsableTargets returns the number of usable replicas of the target version that are not
// in a cold start.
func (p *Pool) UsableTargets(now clock.Millis) int {
	n := 0
	for _, r := range p.replicas {
		if p.versions != nil && r.entry.Version() == p.versions.rule.Target && r.available(now) && !r.Cold(now) {
			n++
		}
	}
	return n
}

// HasRelease reports whether a rule restricts the versions of the service.
func (p *Pool) HasRelease() bool { return p.versions != nil }

// IsTarget reports whether the replica has the target version of a release.
func (r *Replica) IsTarget() bool {
	return r.pool.versions != nil && r.entry.Version() == r.pool.versions.rule.Target
}

// RecordDraw counts a request of which the first attempt is sent, in the traffic that
// bounds the exposure.
func (p *Pool) RecordDraw() {
	if p.versions != nil {
		p.versions.draws++
	}
}

// DrawVersion draws the version of a request at the share in force. Each request draws
// once for each of its services.
func (p *Pool) DrawVersion(now clock.Millis) VersionChoice {
	v := p.versions
	if v == nil || v.rule.mode(now) != SplitVersions || p.set.random.Float64() >= v.rule.Share {
		return OldChoice
	}
	return TargetChoice
}

// withinBound reports whether another request to the target version is allowed.
func (v *versionTraffic) withinBound() bool {
	return !v.rule.Bounded ||
		float64(v.exposed+1) <= v.rule.ExposureShare*float64(v.draws)+v.rule.ExposureSlack
}

// versionFilter is what a pick may select: replicas of the target version, of the old
// ones, or any.
type versionFilter uint8

const (
	anyVersion versionFilter = iota
	targetVersion
	oldVersions
)

// versionFilters returns the filter for a pick, and the one to fall back to if no replica
// passes the first; they are equal if there is no fallback. The pool has a rule.
func (p *Pool) versionFilters(now clock.Millis, c *Criteria) (first, fallback versionFilter) {
	v := p.versions
	switch mode := v.rule.mode(now); {
	case mode == TargetOnly, p.targetAlone():
		return targetVersion, targetVersion
	case mode == SplitVersions:
		if v.rule.Share >= 1 && !v.rule.Bounded {
			// A request drawn at a lower share no longer delays the drain.
			return targetVersion, oldVersions
		}
		if c.version == TargetChoice && v.withinBound() && !(v.rule.Bounded && len(c.tried) > 0) {
			return targetVersion, oldVersions
		}
	}
	return oldVersions, oldVersions
}

// targetAlone reports whether the target version is allowed because no other one is listed.
func (p *Pool) targetAlone() bool {
	return p.versions.rule.TargetIfAlone && !slices.ContainsFunc(p.replicas, func(r *Replica) bool {
		return p.allowsVersion(r, oldVersions)
	})
}

// allowsVersion reports whether the filter and the rule of the pool allow the version of
// a replica.
func (p *Pool) allowsVersion(r *Replica, filter versionFilter) bool {
	switch filter {
	case targetVersion:
		return r.entry.Version() == p.versions.rule.Target
	case oldVersions:
		return r.entry.Version() != p.versions.rule.Target && !slices.Contains(p.versions.rule.Excluded, r.entry.Version())
	}
	return true
}

// mayUse reports whether the version of a replica may be selected at present.
func (p *Pool) mayUse(now clock.Millis, r *Replica) bool {
	if p.versions == nil {
		return true
	}
	switch mode := p.versions.rule.mode(now); {
	case mode == TargetOnly, p.targetAlone():
		return p.allowsVersion(r, targetVersion)
	case mode == SplitVersions:
		return p.allowsVersion(r, targetVersion) || p.allowsVersion(r, oldVersions)
	default:
		return p.allowsVersion(r, oldVersions)
	}
}
