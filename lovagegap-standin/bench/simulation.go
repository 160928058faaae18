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
	// One-way network delays between and inside data centres.
	interDataCentreDelay = 1 * clock.Millisecond
	intraDataCentreDelay = 0.1 * clock.Millisecond
	// settledAt is the instant from which daemons that joined at zero use their shares
	// of the upstreams.
	settledAt = 6 * clock.Second
	// evacuationTime is how long after a data centre is taken out sub-requests may still
	// reach it.
	evacuationTime = 3 * clock.Second
	// warmUpFraction is the fraction of a scenario's queries, the first ones, that are
	// not measured because latency estimates and connections do not exist yet.
	warmUpFraction = 0.1
)

// scenario is the input of one run.
type scenario struct {
	service     service
	variant     variant
	utilisation float64 // fraction of the slots that the arrival rate keeps busy
	queries     int
	deadline    clock.Millis          // of each query, since its arrival
	faults      func(sim *simulation) // injects faults or schedules them relative to sim.start; may be nil
}

// simulation is the state of one run: daemons that share upstreams.
type simulation struct {
	scheduler
	service      service
	random       *rand.Rand
	replicas     []*replica
	replicasByID map[upstream.ID]*replica
	daemons      []*daemon
	start        clock.Millis            // instant from which queries arrive
	takenOutAt   map[string]clock.Millis // by data centre, while it is out of service
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

// run simulates a scenario until no event is pending.
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

// networkDelay returns the one-way delay between two data centres, which may be the same.
func networkDelay(a, b string) clock.Millis {
	if a == b {
		return intraDataCentreDelay
	}
	return interDataCentreDelay
}

// reply sends the outcome of an exchange to the daemon that sent it.
func (sim *simulation) reply(x *exchange, outcome upstream.Outcome) {
	if x.replica.silent {
		return
	}
	result := upstream.NewResult(outcome, 0, x.replica.bootID())
	if outcome == upstream.ConnectionLost {
		result = upstream.NewResult(outcome, 0, "")
	}
	sim.scheduleAfter(networkDelay(x.sender.dataCentre, x.replica.dataCentre), func() { x.finish(result) })
}

// recordArrival counts a sub-request that reaches a data centre more than
// evacuationTime after the data centre was taken out.
func (sim *simulation) recordArrival(r *replica) {
	if at, ok := sim.takenOutAt[r.dataCentre]; ok && sim.now > at+evacuationTime {
		sim.result.sentAfterTakenOut++
	}
}

// forEachReplica calls f for each replica in a data centre.
func (sim *simulation) forEachReplica(dataCentre string, f func(r *replica)) {
	for _, r := range sim.replicas {
		if r.dataCentre == dataCentre {
			f(r)
		}
	}
}

// broadcastRecords sends a daemon's changed cold-start records to its peers.
func (sim *simulation) broadcastRecords(from *daemon) {
	for _, record := range from.pool.TakeChanges() {
		for _, to := range sim.daemons {
			if to != from {
				sim.scheduleAfter(networkDelay(from.dataCentre, to.dataCentre), func() { to.receiveRecord(record) })
			}
		}
	}
}

// holdings returns the holding of a replica: one shard of version 1.
func (sim *simulation) holdings(r *replica) []snapshot.Holding {
	for i, other := range sim.replicas {
		if other == r {
			shard := snapshot.Shard(i / sim.service.replicasPerShard)
			return []snapshot.Holding{snapshot.NewHolding(1, sim.service.shardCount, []snapshot.Shard{shard})}
		}
	}
	return nil
}
