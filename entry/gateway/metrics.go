package gateway

import (
	"github.com/rcrowley/go-metrics"

	"github.com/lovagegap/lovagegap/core/fleet"
)

// UpdateGauges sets the gauges of the current state of the daemon: the engine, the
// members by state, the store and the links to peers.
func (g *Gateway) UpdateGauges(registry metrics.Registry) {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, registry).Update(value) }
	for name, value := range g.engine.Metrics() {
		set(name, value)
	}
	for name, value := range g.limiter.Metrics() {
		set(name, value)
	}
	states := make(map[fleet.State]int64)
	for _, m := range g.tracker.Members() {
		states[m.State()]++
	}
	for _, state := range []fleet.State{fleet.Joining, fleet.Alive, fleet.Leaving, fleet.Suspect, fleet.Dead, fleet.Left} {
		set("members."+state.String(), states[state])
	}
	for name, value := range g.releases.metrics() {
		set(name, value)
	}
	reached, age, calls := g.mirrorSyncer.storeMetrics()
	set("store.reached", reached)
	set("store.age-ms", age)
	stated, inferred, retained, silent := g.mirrorSyncer.restoreMetrics()
	set("store.era", stated)
	set("store.inferred-restores", inferred)
	set("store.retained-keys", retained)
	set("store.silent-entries", silent)
	set("store.held-removals", g.mirrorSyncer.heldRemovals())
	for name, count := range calls {
		set("store.calls."+name, count)
	}
	for name, value := range g.allowances.metrics() {
		set("allowances."+name, value)
	}
	set("links.dropped", int64(g.hub.Dropped()))
	set("links.rejected", int64(g.hub.Rejected()))
}
