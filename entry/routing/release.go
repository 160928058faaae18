package routing

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/release"
	"github.com/lovagegap/lovagegap/core/replica"
)

// OrderUpdate is a change of the order to release a version of a service.
type OrderUpdate struct {
	Service  string
	Order    *release.Order  // nil if the order was removed, or is invalid
	Invalid  bool            // the last valid order stays in force
	Revision mirror.Revision // of the item
}

// StatusUpdate is a change of the status of a release. A status without a target means that it
// was removed.
type StatusUpdate struct {
	Service string
	Status  release.Status
}

const (
	// maxEvidenceRoutes is the number of routes of a service whose evidence is counted
	// separately. The evidence of the others is counted together.
	maxEvidenceRoutes = 3
	// abandonedFactor is the multiple of the expected latency from which an abandoned
	// exchange is evidence: its answer would have been later still.
	abandonedFactor = 2
)

// releaseEvidence counts the attempts of a service during a release.
type releaseEvidence struct {
	target string
	routes map[string]bool
	cells  map[release.CellKey]*release.Counts
}

// SetVersionRule sets which versions of a service requests run on. The evidence starts
// anew with another target version.
func (e *Engine) SetVersionRule(service string, rule replica.VersionRule) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas.Pool(service).SetVersionRule(rule)
	switch evidence := e.releases[service]; {
	case rule.Mode == replica.AllVersions:
		delete(e.releases, service)
	case evidence == nil || evidence.target != rule.Target:
		e.releases[service] = &releaseEvidence{
			target: rule.Target, routes: make(map[string]bool), cells: make(map[release.CellKey]*release.Counts),
		}
	}
}

// ReleaseTraffic returns what this daemon has observed of a service since the rule for
// its target version was first set.
func (e *Engine) ReleaseTraffic(service string) release.Local {
	e.mu.Lock()
	defer e.mu.Unlock()
	pool := e.replicas.Pool(service)
	local := release.Local{DataCentre: e.deps.DataCentre, Targets: pool.UsableTargets(e.deps.Clock.Now())}
	local.Draws, local.Exposed, local.OldInFlight = pool.VersionTraffic()
	if evidence := e.releases[service]; evidence != nil {
		for key, counts := range evidence.cells {
			local.Cells = append(local.Cells, release.Cell{CellKey: key, Counts: counts.Clone()})
		}
	}
	return local
}

// recordEvidence counts the result of an attempt for the release of its service. Its
// latency counts from the instant at which it had a connection, since requests to a new
// version need new connections more often. The latency of a cold replica, or of one in
// another data centre, says nothing about its version; nor does an answer from another
// data centre that the network may have lost. The caller holds the lock.
func (c *call) recordEvidence(now, connected clock.Millis, target *replica.Replica, result replica.Result) {
	e := c.engine
	entry := target.Entry()
	evidence := e.releases[entry.Service()]
	if evidence == nil {
		return
	}
	latency, failed := now-connected, false
	switch result {
	case replica.OK:
	case replica.Failed, replica.Garbled:
		latency, failed = -1, true
	case replica.Lost, replica.Silent:
		if e.isRemote(target) {
			return
		}
		latency, failed = -1, true
	case replica.Abandoned:
		if latency < abandonedFactor*e.profile(c.route).ExpectedLatency(c.route.Objective()) {
			return
		}
	default:
		return
	}
	if target.Cold(connected) || e.isRemote(target) {
		if result == replica.Abandoned {
			return
		}
		latency = -1
	}
	key := release.CellKey{Route: c.route.Name()}
	if !evidence.routes[key.Route] {
		if len(evidence.routes) < maxEvidenceRoutes {
			evidence.routes[key.Route] = true
		} else {
			key.Route = ""
		}
	}
	if entry.Version() == evidence.target {
		key.Replica = release.ReplicaNumber(entry.ID())
	}
	counts := evidence.cells[key]
	if counts == nil {
		counts = &release.Counts{}
		evidence.cells[key] = counts
	}
	counts.Record(failed, latency)
}
