package routing

import (
	"maps"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// StoreUpdate is something that the platform's store says. Exactly one of its parts is
// set.
type StoreUpdate struct {
	// Table is a version of the configuration.
	Table *route.Table
	// OutOfService is a data centre that is taken out, In one that is taken back.
	OutOfService, BackInService string
	// Replica is an entry of the list of replicas.
	Replica *replica.Entry
	// RemovedReplica is the id of a replica that left the list or whose entry cannot be
	// used.
	RemovedReplica string
}

// ApplyUpdates takes facts in the order in which they became true. A configuration
// that is not newer than the one in force changes nothing.
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
			e.updateOutOfService("taken back", update.BackInService)
		case update.Replica != nil:
			if e.applyReplica(now, *update.Replica, len(updates) > largeBatch) {
				listed++
			}
		case update.RemovedReplica != "":
			if e.replicas.Drop(update.RemovedReplica) {
				e.deps.Log.V(1).Info("replica gone", "replica", update.RemovedReplica)
			}
		}
	}
	if listed > 0 && len(updates) > largeBatch {
		e.deps.Log.Info("replicas listed", "new", listed)
	}
}

// largeBatch is the size of a batch, such as a first listing, in which new replicas
// are logged in one line, so that they do not displace other lines.
const largeBatch = 32

// applyReplica takes an entry, and reports whether the replica is new.
func (e *Engine) applyReplica(now clock.Millis, entry replica.Entry, inLargeBatch bool) bool {
	change := e.replicas.Put(now, entry)
	if change != "" && !(inLargeBatch && change == replica.ChangeListed) {
		e.deps.Log.V(1).Info("replica "+change, "replica", entry.ID(), "service", entry.Service(),
			"dataCentre", entry.DataCentre(), "address", entry.Address())
	}
	return change == replica.ChangeListed
}

func (e *Engine) applyTable(table *route.Table) {
	if e.table != nil && table.Version() <= e.table.Version() {
		return
	}
	e.table = table
	e.highestPriorities = table.HighestPriorities()
	for name, service := range table.Services() {
		e.replicas.Pool(name).Configure(service.MaxConnections(), service.WarmupRate())
	}
	e.deps.Log.Info("configuration in force", "version", table.Version(), "routes", table.RouteCount())
}

func (e *Engine) updateOutOfService(change, dataCentre string) {
	e.replicas.SetOutOfService(slices.Sorted(maps.Keys(e.outOfService)))
	e.deps.Log.Info("data centre "+change, "dataCentre", dataCentre)
}

// Observations returns this daemon's fresh evidence about replicas.
func (e *Engine) Observations() []replica.Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.replicas.Observations(e.deps.Clock.Now())
}

// ReceiveObservations takes what peers have observed.
func (e *Engine) ReceiveObservations(observations []replica.Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas.ReceiveObservations(e.deps.Clock.Now(), observations)
}

// SetRegions says in which region each data centre is.
func (e *Engine) SetRegions(regions map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas.SetRegions(regions)
}

// SetBudget changes the fleet-wide budget of repeated requests.
func (e *Engine) SetBudget(budget replica.BudgetPolicy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas.SetBudget(budget)
}

// SetDaemonCount sets the number of daemons over which fleet-wide limits are
// divided.
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
