package bench

import (
	"fmt"
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/admission"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/quota"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Budgets as in the defaults of the settings tree.
const (
	hedgeBurst = 20  // tokens
	retryRatio = 0.1 // retries per first attempt
	retryBurst = 20  // tokens
)

// daemon is a simulated entry daemon: the state machines of the core, and the connections
// that a real daemon's adapters hold.
type daemon struct {
	simulation     *simulation
	id             string
	dataCentre     string
	variant        variant
	pool           *upstream.Pool
	dependencies   query.Dependencies
	queue          admission.Queue // of queries
	hedgeBudget    quota.Budget
	retryBudget    quota.Budget
	quarantineList quarantine.List
	catalogue      snapshot.Catalogue
	idle           map[upstream.ID]*idleConnections
	waiting        map[admission.ID]*execution // not yet admitted
	lastQueryID    admission.ID
}

// idleConnections counts the idle connections to an upstream.
type idleConnections struct {
	boot  int // process of the upstream that the connections lead to
	count int
}

// newDaemon returns a daemon that has yet to join. The daemons are spread over the data
// centres of the service by index.
func newDaemon(sim *simulation, index int, s scenario) *daemon {
	d := &daemon{
		simulation: sim, id: fmt.Sprintf("daemon-%d", index), variant: s.variant,
		dataCentre: s.service.dataCentres[index%len(s.service.dataCentres)],
		idle:       make(map[upstream.ID]*idleConnections),
		waiting:    make(map[admission.ID]*execution),
	}
	for _, r := range sim.replicas {
		d.idle[r.id] = &idleConnections{}
		d.catalogue.SetHoldings(string(r.id), sim.holdings(r))
	}
	d.hedgeBudget.Configure(query.DefaultHedgeRatio, hedgeBurst)
	if !s.variant.noBurstRounds {
		d.hedgeBudget.SetBurstRounds(hedgeBurstRounds)
	}
	d.retryBudget.Configure(retryRatio, retryBurst)
	d.queue.SetPolicy(0, s.variant.admissionPolicy())
	d.dependencies = query.Dependencies{
		Catalogue: &d.catalogue, HedgeBudget: &d.hedgeBudget, RetryBudget: &d.retryBudget,
	}
	random := rand.New(rand.NewPCG(uint64(index), 7))
	d.pool = d.newPool(random)
	d.dependencies.Picker = d.pool
	if s.variant.firstHolder != nil {
		d.dependencies.Picker = &sequentialPicker{
			pool: d.pool, random: random,
			firstHolder: s.variant.firstHolder, turnsByShard: make(map[snapshot.Shard]int),
		}
	}
	if !s.variant.noLatencyEstimates {
		d.dependencies.Latency, d.dependencies.Quarantine = d.pool, &d.quarantineList
	}
	if s.variant.unlimitedRetries {
		d.dependencies.RetryBudget = unlimitedBudget{}
	}
	return d
}

func (d *daemon) newPool(random *rand.Rand) *upstream.Pool {
	pool := new(upstream.Pool)
	pool.SetRandom(random)
	pool.SetPolicy(0, d.variant.poolPolicy(d.simulation.service))
	for _, r := range d.simulation.replicas {
		pool.Add(0, upstream.NewReplica(r.id, r.dataCentre))
	}
	return pool
}

// join makes the daemon a member of a fleet with all daemons and warm upstreams. With
// noNearPreference, every member appears to be outside the upstreams' data centres.
func (d *daemon) join() {
	var members []upstream.Member
	for _, other := range d.simulation.daemons {
		dataCentre := other.dataCentre
		if d.variant.noNearPreference {
			dataCentre = "elsewhere"
		}
		members = append(members, upstream.NewMember(other.id, "", dataCentre, upstream.Alive).WithListed())
	}
	d.pool.SetMembers(0, d.id, members)
	d.pool.CompleteJoin(0, true)
}

// receiveRecord applies a peer's cold-start record and passes on what changes.
func (d *daemon) receiveRecord(record upstream.ColdRecord) {
	d.pool.ReceiveRecord(d.simulation.now, record)
	d.simulation.broadcastRecords(d)
}

// setDataCentresOut applies the setting that takes data centres out of service. No
// argument brings all of them back.
func (d *daemon) setDataCentresOut(dataCentres ...string) {
	d.pool.SetDataCentresOut(d.simulation.now, dataCentres)
	d.simulation.broadcastRecords(d)
}

// submit offers a caller's query to the admission queue. The query counts in the results
// only if measured.
func (d *daemon) submit(deadline clock.Millis, measured bool) {
	d.lastQueryID++
	// Queries with equal bodies have one fingerprint, so quarantine could take one for another.
	body := fmt.Appendf(nil, `{"query": "%s/%d"}`, d.id, d.lastQueryID)
	request := query.NewRequest("id", "s", body, deadline)
	e := &execution{daemon: d, id: d.lastQueryID, startedAt: d.simulation.now, measured: measured}
	e.query = query.New(request, d.variant.queryPolicy(), d.dependencies)
	d.waiting[e.id] = e
	d.performAdmission(d.queue.Offer(d.simulation.now, admission.NewItem(e.id, deadline)))
}

// performAdmission performs the actions of the admission queue.
func (d *daemon) performAdmission(actions []admission.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case admission.Admit:
			e := d.waiting[a.ID()]
			delete(d.waiting, a.ID())
			e.perform(e.query.Start(d.simulation.now))
		case admission.Refuse:
			d.simulation.result.recordRefusal(d.waiting[a.ID()])
			delete(d.waiting, a.ID())
		case admission.Wake:
			d.simulation.scheduleAt(a.At(), func() { d.performAdmission(d.queue.Tick(d.simulation.now)) })
		}
	}
}

// execution is a query from its arrival to its end.
type execution struct {
	daemon    *daemon
	id        admission.ID
	query     *query.Query
	startedAt clock.Millis
	wakeAt    clock.Millis // of the pending timer; -1 once the query has ended
	measured  bool
	exchanges []*exchange // by attempt
}

// perform performs the actions of the query.
func (e *execution) perform(actions []query.Action) {
	sim := e.daemon.simulation
	for _, a := range actions {
		switch a.Kind() {
		case query.Send:
			e.send(a)
		case query.Abort:
			e.exchanges[a.Attempt()].abort()
		case query.Wake:
			e.wake(a.At())
		case query.Finish:
			e.wakeAt = -1
			sim.result.recordAnswer(e, a.Answer())
			e.daemon.performAdmission(e.daemon.queue.Finish(sim.now, e.id))
		}
	}
	sim.broadcastRecords(e.daemon)
}

// wake sets the timer of the query and thereby replaces the previous one.
func (e *execution) wake(at clock.Millis) {
	sim := e.daemon.simulation
	e.wakeAt = at
	sim.scheduleAt(at, func() {
		if e.wakeAt == at {
			e.perform(e.query.Tick(sim.now))
		}
	})
}

// send starts the exchange of an attempt, directly or through a peer.
func (e *execution) send(a query.Action) {
	d := e.daemon
	x := &exchange{
		execution: e, attempt: a.Attempt(), shard: a.Shard(), version: a.Version(),
		sender: d, sentAt: d.simulation.now, replica: d.simulation.replicasByID[a.Choice().Upstream()],
	}
	e.exchanges = append(e.exchanges, x)
	if via := a.Choice().Via(); via != "" {
		x.relayThrough(d.peer(via), a.Choice())
		return
	}
	x.start(a.Choice().FreshConnection())
}

// peer returns the daemon with the ID, or nil.
func (d *daemon) peer(id string) *daemon {
	for _, other := range d.simulation.daemons {
		if other.id == id {
			return other
		}
	}
	return nil
}
