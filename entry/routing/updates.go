package routing

import (
	"maps"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// StoreUpdate is a change that the platform's store reports. Exactly one of its
// fields is set.
type StoreUpdate struct {
	// Table is the routing table of a version of the configuration.
	Table *route.Table
	// OutOfService is a data centre that is taken out of service, BackInService one
	// that is brought back in.
	OutOfService, BackInService string
	// Replica is a new or changed entry of the list of replicas.
	Replica *replica.Entry
	// RemovedReplica is the id of a replica that left the list or whose entry is
	// invalid.
	RemovedReplica string
	// Order and Status belong to the release of a service; the engine ignores them.
	Order  *OrderUpdate
	Status *StatusUpdate
}

// ApplyUpdates applies updates in the order in which the store made them. A
// configuration that is not newer than the one in force is ignored.
func (e *Engine) ApplyUpdates(updates []StoreUpdate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Now()
	listed := 0
	for _, update := range updates {
		switch {
		case update.Table != nil:
			e.applyTable(update.Table)
		case update.OutOfService != "":
			e.outOfService[update.OutOfService] = true
			e.updateOutOfService("taken out", update.OutOfService)
		case update.BackInService != "":
			delete(e.outOfService, update.BackInService)
			e.updateOutOfService("brought back", update.BackInService)
		case update.Replica != nil:
			if e.applyReplica(now, *update.Replica, len(updates) > largeBatch) {
				listed++
			}
		case update.RemovedReplica != "":
			if e.replicas.Remove(update.RemovedReplica) {
				e.deps.Log.V(1).Info("replica removed", "replica", update.RemovedReplica)
			}
		}
	}
	if listed > 0 && len(updates) > largeBatch {
		e.deps.Log.Info("replicas listed", "new", listed)
	}
}

// largeBatch is the number of updates above which new replicas share one log line.
// A line for each replica of a first listing would use up the rate limit of the log.
const largeBatch = 32

// applyReplica adds or updates a replica and reports whether it is new. The caller
// holds the lock.
func (e *Engine) applyReplica(now clock.Millis, entry replica.Entry, inLargeBatch bool) bool {
	change := e.replicas.Upsert(now, entry)
	if change != "" && !(inLargeBatch && change == replica.ChangeListed) {
		e.deps.Log.V(1).Info("replica "+change, "replica", entry.ID(), "service", entry.Service(),
			"dataCentre", entry.DataCentre(), "address", entry.Address())
	}
	return change == replica.ChangeListed
}

// applyTable puts a newer routing table in force. The caller holds the lock.
func (e *Engine) applyTable(table *route.Table) {
	if e.table != nil && table.Version() <= e.table.Version() {
		return
	}
	e.table = table
	e.priorities = table.Priorities()
	e.replicas.SetServices(slices.Collect(maps.Keys(table.Services())))
	for name, service := range table.Services() {
		e.replicas.Pool(name).Configure(service.MaxConnections(), service.WarmupRate())
	}
	e.deps.Log.Info("configuration in force", "version", table.Version(), "routes", table.RouteCount())
}

// updateOutOfService passes the data centres that are out of service to the replicas. The
// caller holds the lock.
func (e *Engine) updateOutOfService(change, dataCentre string) {
	e.replicas.SetOutOfService(slices.Sorted(maps.Keys(e.outOfService)))
	e.deps.Log.Info("data centre "+change, "dataCentre", dataCentre)
}

// Observations returns this daemon's recent observations of replicas, to be sent
// to its peers.
func (e *Engine) Observations() []replica.Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replicas.Observations(e.deps.Clock.Now())
}

// ReceiveObservations takes observations of replicas that peers have made.
func (e *Engine) ReceiveObservations(observations []replica.Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas.ReceiveObservations(e.deps.Clock.Now(), observations)
}

// SetRegions sets the region of each data centre.
func (e *Engine) SetRegions(regions map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas.SetRegions(regions)
}

// SetBudget sets the fleet-wide budget of retries and hedges.
func (e *Engine) SetBudget(budget replica.BudgetPolicy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas.SetBudget(budget)
}

// SetDaemonCount sets the number of daemons that share the fleet-wide limits.
func (e *Engine) SetDaemonCount(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas.SetDaemonCount(count)
}

// Version returns the version of the configuration in force, or 0.
func (e *Engine) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table == nil {
		return 0
	}
	return e.table.Version()
}
