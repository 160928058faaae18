package bench

import (
	"fmt"
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	daemons = 4
	// remote and local are the one-way delays between and inside data centres.
	remote = 1 * clock.Millisecond
	local  = 0.1 * clock.Millisecond
	// settled is the instant at which daemons that joined at zero use their
	// shares.
	settled = 6 * clock.Second
	// warmUp is the part of the queries that is not measured, since latency
	// estimates and connections do not exist yet.
	warmUp = 0.1
)

// scenario is one run.
type scenario struct {
	service     service
	variant     variant
	utilisation float64
	queries     int
	deadline    clock.Millis
	faults      func(w *world) // plans faults relative to w.start
}

// world is one simulation: daemons that share upstreams.
type world struct {
	plan
	service  service
	random   *rand.Rand
	replicas []*replica
	byID     map[upstream.ID]*replica
	daemons  []*daemon
	start    clock.Millis
	leftAt   map[string]clock.Millis // data centre → instant at which it was taken out
	result   result
}

func newWorld(s scenario) *world {
	w := &world{
		service: s.service, start: settled,
		random: rand.New(rand.NewPCG(20261204, 1)),
		byID:   make(map[upstream.ID]*replica),
		leftAt: make(map[string]clock.Millis),
	}
	w.result.scenario = s
	for i := range s.service.shards * s.service.replicas {
		shard, place := i/s.service.replicas, i%s.service.replicas
		r := &replica{
			world: w, boot: 1, slowness: 1,
			id:         upstream.ID(fmt.Sprintf("10.%d.%d.%d:80", place, shard/250, shard%250)),
			dataCentre: s.service.dataCentres[(shard+place)%len(s.service.dataCentres)],
		}
		w.replicas = append(w.replicas, r)
		w.byID[r.id] = r
	}
	for i := range daemons {
		w.daemons = append(w.daemons, newDaemon(w, i, s))
	}
	for _, d := range w.daemons {
		d.join()
	}
	return w
}

// run carries out a scenario.
func run(s scenario) *result {
	w := newWorld(s)
	if s.faults != nil {
		s.faults(w)
	}
	rate := s.service.rate(s.utilisation)
	at := w.start
	for i := range s.queries {
		at += clock.Millis(w.random.ExpFloat64() / rate)
		arrival, d := at, w.daemons[w.random.IntN(len(w.daemons))]
		measured := i >= int(warmUp*float64(s.queries))
		w.at(arrival, func() { d.submit(arrival+s.deadline, measured) })
	}
	w.result.span = at - w.start
	w.plan.run()
	w.result.sort()
	return &w.result
}

// delay returns the one-way delay between two data centres.
func delay(a, b string) clock.Millis {
	if a == b {
		return local
	}
	return remote
}

// reply sends the end of an exchange back to its daemon.
func (w *world) reply(x *exchange, kind upstream.Outcome) {
	if x.replica.silent {
		return
	}
	result := upstream.NewResult(kind, 0, x.replica.bootID())
	if kind == upstream.ConnectionLost {
		result = upstream.NewResult(kind, 0, "")
	}
	w.after(delay(x.sender.dataCentre, x.replica.dataCentre), func() { x.end(result) })
}

// noteArrival counts work that reaches a data centre that was taken out.
func (w *world) noteArrival(r *replica) {
	if at, ok := w.leftAt[r.dataCentre]; ok && w.now > at+3*clock.Second {
		w.result.afterLeaving++
	}
}

// each calls f for the replicas of a data centre.
func (w *world) each(dataCentre string, f func(r *replica)) {
	for _, r := range w.replicas {
		if r.dataCentre == dataCentre {
			f(r)
		}
	}
}

// spread sends the cold-start records that a daemon wrote to its peers.
func (w *world) spread(from *daemon) {
	for _, record := range from.pool.TakeChanges() {
		for _, to := range w.daemons {
			if to != from {
				w.after(delay(from.dataCentre, to.dataCentre), func() { to.learn(record) })
			}
		}
	}
}

func (w *world) holdings(r *replica) []snapshot.Holding {
	for i, other := range w.replicas {
		if other == r {
			shard := snapshot.Shard(i / w.service.replicas)
			return []snapshot.Holding{snapshot.NewHolding(1, w.service.shards, []snapshot.Shard{shard})}
		}
	}
	return nil
}
