package routing

import (
	"maps"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// Fact is something that the platform's store says. Exactly one of its parts is
// set.
type Fact struct {
	// Table is a version of the configuration.
	Table *route.Table
	// Out is a data centre that is taken out, In one that is taken back.
	Out, In string
	// Replica is an entry of the list of replicas.
	Replica *replica.Entry
	// Gone is the id of a replica that left the list or whose entry cannot be
	// used.
	Gone string
}

// Learn takes facts in the order in which they became true. A configuration
// that is not newer than the one in force changes nothing.
func (e *Engine) Learn(facts []Fact) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock.Now()
	listed := 0
	for _, fact := range facts {
		switch {
		case fact.Table != nil:
			e.adopt(fact.Table)
		case fact.Out != "":
			e.out[fact.Out] = true
			e.setOut("taken out", fact.Out)
		case fact.In != "":
			delete(e.out, fact.In)
			e.setOut("taken back", fact.In)
		case fact.Replica != nil:
			if e.put(now, *fact.Replica, len(facts) > manyFacts) {
				listed++
			}
		case fact.Gone != "":
			if e.set.Drop(fact.Gone) {
				e.parts.Log.V(1).Info("replica gone", "replica", fact.Gone)
			}
		}
	}
	if listed > 0 && len(facts) > manyFacts {
		e.parts.Log.Info("replicas listed", "new", listed)
	}
}

// manyFacts is the size of a batch, such as a first listing, in which new replicas
// are logged in one line, so that they do not displace other lines.
const manyFacts = 32

// put takes an entry, and reports whether the replica is new.
func (e *Engine) put(now clock.Millis, entry replica.Entry, many bool) bool {
	change := e.set.Put(now, entry)
	if change != "" && !(many && change == replica.ChangeListed) {
		e.parts.Log.V(1).Info("replica "+change, "replica", entry.ID(), "service", entry.Service(),
			"dataCentre", entry.DataCentre(), "address", entry.Address())
	}
	return change == replica.ChangeListed
}

func (e *Engine) adopt(table *route.Table) {
	if e.table != nil && table.Version() <= e.table.Version() {
		return
	}
	e.table = table
	e.urgent = table.HighestPriorities()
	for name, service := range table.Services() {
		e.set.Pool(name).Configure(service.MaxConnections(), service.WarmupRate())
	}
	e.parts.Log.Info("configuration in force", "version", table.Version(), "routes", table.RouteCount())
}

func (e *Engine) setOut(change, dataCentre string) {
	e.set.SetOutOfService(slices.Sorted(maps.Keys(e.out)))
	e.parts.Log.Info("data centre "+change, "dataCentre", dataCentre)
}

// Observations returns this daemon's fresh evidence about replicas.
func (e *Engine) Observations() []replica.Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.Observations(e.parts.Clock.Now())
}

// Hear takes what peers have observed.
func (e *Engine) Hear(told []replica.Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.ReceiveObservations(e.parts.Clock.Now(), told)
}

// SetRegions says in which region each data centre is.
func (e *Engine) SetRegions(regions map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.SetRegions(regions)
}

// SetBudget changes the fleet-wide budget of repeated requests.
func (e *Engine) SetBudget(budget replica.BudgetPolicy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.SetBudget(budget)
}

// SetDaemons sets the number of daemons over which fleet-wide limits are
// divided.
func (e *Engine) SetDaemons(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.SetDaemonCount(count)
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
