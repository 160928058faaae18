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

// daemon is an entry daemon: the state machines of the core and the
// connections that an adapter would hold.
type daemon struct {
	world      *world
	id         string
	dataCentre string
	variant    variant
	pool       *upstream.Pool
	resources  query.Dependencies
	queue      admission.Queue
	hedges     quota.Budget
	retries    quota.Budget
	list       quarantine.List
	catalogue  snapshot.Catalogue
	idle       map[upstream.ID]*connections
	waiting    map[admission.ID]*execution
	next       admission.ID
}

// connections are the idle ones to one process of an upstream.
type connections struct {
	boot  int
	count int
}

func newDaemon(w *world, i int, s scenario) *daemon {
	d := &daemon{
		world: w, id: fmt.Sprintf("daemon-%d", i), variant: s.variant,
		dataCentre: s.service.dataCentres[i%len(s.service.dataCentres)],
		idle:       make(map[upstream.ID]*connections),
		waiting:    make(map[admission.ID]*execution),
	}
	for _, r := range w.replicas {
		d.idle[r.id] = &connections{}
		d.catalogue.SetHoldings(string(r.id), w.holdings(r))
	}
	d.hedges.Configure(query.DefaultHedgeRatio, 20)
	if !s.variant.narrowBurst {
		d.hedges.SetBurstRounds(hedgeRounds)
	}
	d.retries.Configure(0.1, 20)
	d.queue.SetPolicy(0, s.variant.admission())
	d.resources = query.Dependencies{
		Catalogue: &d.catalogue, HedgeBudget: &d.hedges, RetryBudget: &d.retries,
	}
	random := rand.New(rand.NewPCG(uint64(i), 7))
	d.pool = d.newPool(random)
	d.resources.Picker = d.pool
	if s.variant.order != nil {
		d.resources.Picker = &singly{
			pool: d.pool, random: random, order: s.variant.order, turns: make(map[snapshot.Shard]int),
		}
	}
	if !s.variant.noEstimates {
		d.resources.Latency, d.resources.Quarantine = d.pool, &d.list
	}
	if s.variant.unlimitedRetries {
		d.resources.RetryBudget = unlimited{}
	}
	return d
}

func (d *daemon) newPool(random *rand.Rand) *upstream.Pool {
	pool := new(upstream.Pool)
	pool.SetRandom(random)
	pool.SetPolicy(0, d.variant.pool(d.world.service))
	for _, r := range d.world.replicas {
		pool.Add(0, upstream.NewReplica(r.id, r.dataCentre))
	}
	return pool
}

// join makes the daemons members of one fleet in which the upstreams are warm.
func (d *daemon) join() {
	var members []upstream.Member
	for _, other := range d.world.daemons {
		dataCentre := other.dataCentre
		if d.variant.noNear {
			dataCentre = "elsewhere"
		}
		members = append(members, upstream.NewMember(other.id, "", dataCentre, upstream.Alive).WithListed())
	}
	d.pool.SetMembers(0, d.id, members)
	d.pool.CompleteJoin(0, true)
}

func (d *daemon) learn(record upstream.ColdRecord) {
	d.pool.ReceiveRecord(d.world.now, record)
	d.world.spread(d)
}

// setOut applies the setting that takes data centres out.
func (d *daemon) setOut(dataCentres ...string) {
	d.pool.SetDataCentresOut(d.world.now, dataCentres)
	d.world.spread(d)
}

// submit takes a caller's query.
func (d *daemon) submit(deadline clock.Millis, measured bool) {
	d.next++
	// Each query differs, so that quarantine does not take one for another.
	body := fmt.Appendf(nil, `{"query": "%s/%d"}`, d.id, d.next)
	request := query.NewRequest("id", "s", body, deadline)
	r := &execution{daemon: d, id: d.next, began: d.world.now, measured: measured}
	r.query = query.New(request, d.variant.query(), d.resources)
	d.waiting[r.id] = r
	d.admit(d.queue.Offer(d.world.now, admission.NewItem(r.id, deadline)))
}

func (d *daemon) admit(actions []admission.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case admission.Admit:
			r := d.waiting[a.ID()]
			delete(d.waiting, a.ID())
			r.perform(r.query.Start(d.world.now))
		case admission.Refuse:
			d.world.result.refuse(d.waiting[a.ID()])
			delete(d.waiting, a.ID())
		case admission.Wake:
			d.world.at(a.At(), func() { d.admit(d.queue.Tick(d.world.now)) })
		}
	}
}

// execution is one query in progress.
type execution struct {
	daemon    *daemon
	id        admission.ID
	query     *query.Query
	began     clock.Millis
	wakeAt    clock.Millis
	measured  bool
	exchanges []*exchange
}

func (r *execution) perform(actions []query.Action) {
	w := r.daemon.world
	for _, a := range actions {
		switch a.Kind() {
		case query.Send:
			r.send(a)
		case query.Abort:
			r.exchanges[a.Attempt()].abort()
		case query.Wake:
			r.wake(a.At())
		case query.Finish:
			r.wakeAt = -1
			w.result.add(r, a.Answer())
			r.daemon.admit(r.daemon.queue.Finish(w.now, r.id))
		}
	}
	w.spread(r.daemon)
}

// wake replaces the timer before it.
func (r *execution) wake(at clock.Millis) {
	w := r.daemon.world
	r.wakeAt = at
	w.at(at, func() {
		if r.wakeAt == at {
			r.perform(r.query.Tick(w.now))
		}
	})
}

func (r *execution) send(a query.Action) {
	d := r.daemon
	x := &exchange{
		run: r, attempt: a.Attempt(), shard: a.Shard(), version: a.Version(),
		sender: d, sentAt: d.world.now, replica: d.world.byID[a.Choice().Upstream()],
	}
	r.exchanges = append(r.exchanges, x)
	if via := a.Choice().Via(); via != "" {
		x.relayThrough(d.peer(via), a.Choice())
		return
	}
	x.start(a.Choice().FreshConnection())
}

func (d *daemon) peer(id string) *daemon {
	for _, other := range d.world.daemons {
		if other.id == id {
			return other
		}
	}
	return nil
}
