package bench

import (
	"fmt"
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	daemonCount = 4
	// interDataCentreDelay and local are the one-way delays between and inside data centres.
	interDataCentreDelay = 1 * clock.Millisecond
	intraDataCentreDelay = 0.1 * clock.Millisecond
	// settledAt is the instant at which daemons that joined at zero use their
	// shares.
	settledAt = 6 * clock.Second
	// warmUpFraction is the part of the queries that is not measured, since latency
	// estimates and connections do not exist yet.
	warmUpFraction = 0.1
)

// scenario is one run.
type scenario struct {
	service     service
	variant     variant
	utilisation float64
	queries     int
	deadline    clock.Millis
	faults      func(sim *simulation) // plans faults relative to sim.start
}

// simulation is one simulation: daemons that share upstreams.
type simulation struct {
	scheduler
	service      service
	random       *rand.Rand
	replicas     []*replica
	replicasByID map[upstream.ID]*replica
	daemons      []*daemon
	start        clock.Millis
	takenOutAt   map[string]clock.Millis // data centre → instant at which it was taken out
	result       result
}

func newSimulation(s scenario) *simulation {
	sim := &simulation{
		service: s.service, start: settledAt,
		random:       rand.New(rand.NewPCG(20261204, 1)),
		replicasByID: make(map[upstream.ID]*replica),
		takenOutAt:   make(map[string]clock.Millis),
	}
	sim.result.scenario = s
	for i := range s.service.shardCount * s.service.replicasPerShard {
		shard, place := i/s.service.replicasPerShard, i%s.service.replicasPerShard
		r := &replica{
			simulation: sim, boot: 1, slowness: 1,
			id:         upstream.ID(fmt.Sprintf("10.%d.%d.%d:80", place, shard/250, shard%250)),
			dataCentre: s.service.dataCentres[(shard+place)%len(s.service.dataCentres)],
		}
		sim.replicas = append(sim.replicas, r)
		sim.replicasByID[r.id] = r
	}
	for i := range daemonCount {
		sim.daemons = append(sim.daemons, newDaemon(sim, i, s))
	}
	for _, d := range sim.daemons {
		d.join()
	}
	return sim
}

// run carries out a scenario.
func run(s scenario) *result {
	sim := newSimulation(s)
	if s.faults != nil {
		s.faults(sim)
	}
	rate := s.service.arrivalRate(s.utilisation)
	at := sim.start
	for i := range s.queries {
		at += clock.Millis(sim.random.ExpFloat64() / rate)
		arrival, d := at, sim.daemons[sim.random.IntN(len(sim.daemons))]
		measured := i >= int(warmUpFraction*float64(s.queries))
		sim.scheduleAt(arrival, func() { d.submit(arrival+s.deadline, measured) })
	}
	sim.result.duration = at - sim.start
	sim.scheduler.runUntilEmpty()
	sim.result.sortLatencies()
	return &sim.result
}

// networkDelay returns the one-way delay between two data centres.
func networkDelay(a, b string) clock.Millis {
	if a == b {
		return intraDataCentreDelay
	}
	return interDataCentreDelay
}

// reply sends the end of an exchange back to its daemon.
func (sim *simulation) reply(x *exchange, kind upstream.Outcome) {
	if x.replica.silent {
		return
	}
	result := upstream.NewResult(kind, 0, x.replica.bootID())
	if kind == upstream.ConnectionLost {
		result = upstream.NewResult(kind, 0, "")
	}
	sim.scheduleAfter(networkDelay(x.sender.dataCentre, x.replica.dataCentre), func() { x.finish(result) })
}

// recordArrival counts work that reaches a data centre that was taken out.
func (sim *simulation) recordArrival(r *replica) {
	if at, ok := sim.takenOutAt[r.dataCentre]; ok && sim.now > at+3*clock.Second {
		sim.result.sentAfterTakenOut++
	}
}

// forEachReplica calls f for the replicas of a data centre.
func (sim *simulation) forEachReplica(dataCentre string, f func(r *replica)) {
	for _, r := range sim.replicas {
		if r.dataCentre == dataCentre {
			f(r)
		}
	}
}

// broadcastRecords sends the cold-start records that a daemon wrote to its peers.
func (sim *simulation) broadcastRecords(from *daemon) {
	for _, record := range from.pool.TakeChanges() {
		for _, to := range sim.daemons {
			if to != from {
				sim.scheduleAfter(networkDelay(from.dataCentre, to.dataCentre), func() { to.receiveRecord(record) })
			}
		}
	}
}

func (sim *simulation) holdings(r *replica) []snapshot.Holding {
	for i, other := range sim.replicas {
		if other == r {
			shard := snapshot.Shard(i / sim.service.replicasPerShard)
			return []snapshot.Holding{snapshot.NewHolding(1, sim.service.shardCount, []snapshot.Shard{shard})}
		}
	}
	return nil
}
