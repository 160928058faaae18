package matrix_test

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// run is an entry in the log of an upstream: one sub-request that it ran.
type run struct {
	upstream string
	centre   string
	boot     int
	request  string // of the caller, the same when it sends again
	send     int    // which sending of it
	shard    uint32
	version  uint64
	daemon   string
	start    clock.Millis
	end      clock.Millis // 0 while it runs
	answered bool
	running  int // concurrency at the start, this one included
	bound    int // cold bound at the start, 0 when warm
}

// failure is a connection that an upstream lost or refused: evidence of a
// restart that reached the daemon at the instant at.
type failure struct {
	of     process
	daemon string
	at     clock.Millis
}

// process is one run of an upstream's process.
type process struct {
	upstream string
	boot     int
}

// vm is a simulated upstream.
type vm struct {
	id        string
	centre    string
	kind      int // 0 holds the first half of the shards, 1 the second, 2 all
	boot      int
	bootAt    clock.Millis
	planned   bool // the fleet could know of the cold start beforehand
	bound     int  // 0 when warm
	answers   int
	bornAt    clock.Millis
	gone      bool
	goneAt    clock.Millis
	refusing  clock.Millis
	leaving   bool
	leavingAt clock.Millis
	slow      clock.Millis // until when it is 50 times slower
	versions  []uint64
	running   []*exchange
}

// report is what an upstream's status said at an instant.
type report struct {
	boot    int
	cold    bool
	leaving bool
	holds   []snapshot.Holding
}

func (w *world) addUpstream(id, centre string, kind int) *vm {
	u := &vm{id: id, centre: centre, kind: kind, bootAt: w.now, bornAt: w.now, planned: true, bound: 1,
		versions: []uint64{7}}
	if w.now < startOfRun {
		u.bornAt = 0
	}
	w.upstreams = append(w.upstreams, u)
	return u
}

func (w *world) upstream(id string) *vm {
	for _, u := range w.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// holds lists the shards of a version that an upstream has.
func (w *world) holds(u *vm, version uint64) []snapshot.Shard {
	var held []snapshot.Shard
	n := w.maps[version]
	for s := range n {
		if u.kind == 2 || (u.kind == 0) == (s < (n+1)/2) {
			held = append(held, snapshot.Shard(s))
		}
	}
	return held
}

// status is what the upstream answers to a poll. Misleading ones claim shards
// that the upstream does not have and hide a cold start.
func (w *world) status(u *vm) report {
	r := report{boot: u.boot, cold: u.bound > 0, leaving: u.leaving}
	for _, v := range u.versions {
		held := w.holds(u, v)
		if w.mislead && u.id == w.upstreams[1].id {
			held = []snapshot.Shard{0, 1, 2, 3}
		}
		r.holds = append(r.holds, snapshot.NewHolding(snapshot.Version(v), w.maps[v], held))
	}
	if w.mislead {
		r.cold = u.id == w.upstreams[0].id
	}
	return r
}

// exchange is a sub-request on its way.
type exchange struct {
	w       *world
	d       *daemon
	to      string
	shard   snapshot.Shard
	version snapshot.Version
	request request
	fresh   bool
	began   clock.Millis
	done    func(query.AttemptResult)
	over    bool
	muted   bool // sent on a connection that stays silent
	at      *vm
	log     *run
	rolled  int
}

// exchange sends a sub-request from d. Its end is reported to done, unless the
// exchange is cancelled before.
func (w *world) exchange(d *daemon, to upstream.ID, sub query.Action, r request, fresh bool, done func(query.AttemptResult)) *exchange {
	x := &exchange{w: w, d: d, to: string(to), shard: sub.Shard(), version: sub.Version(), request: r,
		fresh: fresh, began: w.now, done: done, rolled: w.rng.IntN(100)}
	u := w.upstream(x.to)
	if u != nil {
		w.after(latency(d.centre, u.centre), func() { x.arrive(u) })
	}
	return x
}

func (x *exchange) pair() string { return string(x.d.id) + " " + x.to }

func (x *exchange) arrive(u *vm) {
	w := x.w
	switch {
	case x.over:
	case u.gone || !w.joined(x.d.centre, u.centre):
	case !x.fresh && w.silent[x.pair()] > 0:
		x.muted = true
	case w.now < u.refusing:
		x.reply(u, query.NewAttemptFailure(x.result(upstream.NotConnected, "")))
	case !slices.Contains(u.versions, uint64(x.version)):
		x.reply(u, query.NewAttemptFailure(x.result(upstream.VersionGone, fmt.Sprint(u.boot))))
	case !slices.Contains(w.holds(u, uint64(x.version)), x.shard):
		x.reply(u, query.NewAttemptFailure(x.result(upstream.WrongShard, fmt.Sprint(u.boot))))
	default:
		x.begin(u)
	}
}

func (x *exchange) begin(u *vm) {
	w := x.w
	u.running = append(u.running, x)
	x.at = u
	x.log = &run{upstream: u.id, centre: u.centre, boot: u.boot, request: x.request.id, send: x.request.send,
		shard: uint32(x.shard), version: uint64(x.version), daemon: string(x.d.id), start: w.now,
		running: len(u.running), bound: u.bound}
	w.log = append(w.log, x.log)
	if u.bound > 0 {
		w.note("%s runs %s shard %d for %s: %d at bound %d", u.id, x.request.id, x.shard, x.d.id, len(u.running), u.bound)
	}
	if x.request.body == "crash" {
		w.after(2, func() {
			if x.log.end == 0 {
				w.crash(u, 300)
			}
		})
		return
	}
	boot := u.boot
	w.after(w.serviceTime(u, x), func() {
		if u.boot == boot && !u.gone && x.log.end == 0 {
			x.complete(u)
		}
	})
}

func (w *world) serviceTime(u *vm, x *exchange) clock.Millis {
	span := 3 + clock.Millis(w.rng.Float64()*4)
	if w.now < u.slow {
		span *= 50
	}
	if x.request.id == w.subject && x.request.slow == "shard" && x.shard == 0 && x.request.slowed != nil && *x.request.slowed == 0 {
		*x.request.slowed++
		span = 200
	}
	if x.request.slow == "all" {
		span = 9 * clock.Second
	}
	return span
}

func (x *exchange) complete(u *vm) {
	w := x.w
	x.finish()
	x.log.answered = true
	if u.bound > 0 {
		u.answers++
		if u.answers >= u.bound {
			u.answers, u.bound = 0, 2*u.bound
		}
		if u.bound > slots {
			u.bound = 0
		}
	}
	version := x.version
	data := fmt.Sprintf("%s %d %d", x.request.id, x.version, x.shard)
	if w.mislead && x.rolled < 10 {
		version++
		data = fmt.Sprintf("%s %d %d", x.request.id, version, x.shard)
	} else if w.mislead && x.rolled < 20 {
		data = ""
	}
	if x.rolled < 20 && data == "" && w.broken == "empty" {
		data = "?"
	}
	if w.broken == "version" {
		version = x.version
	}
	x.reply(u, query.NewAttemptResult(x.result(upstream.OK, fmt.Sprint(u.boot)), x.shard, version, []byte(data)))
}

// finish ends the work of an exchange at its upstream.
func (x *exchange) finish() {
	if x.log == nil || x.log.end != 0 {
		return
	}
	x.log.end = x.w.now
	x.at.running = slices.DeleteFunc(x.at.running, func(o *exchange) bool { return o == x })
}

func (x *exchange) result(kind upstream.Outcome, boot string) upstream.Result {
	return upstream.NewResult(kind, x.w.now+latency(x.d.centre, x.w.upstream(x.to).centre)-x.began, boot)
}

func (x *exchange) reply(u *vm, answer query.AttemptResult) {
	w := x.w
	if !w.joined(x.d.centre, u.centre) {
		return
	}
	w.deliver(x.d, latency(x.d.centre, u.centre), func() {
		if !x.over {
			x.over = true
			if kind := answer.UpstreamResult().Outcome(); kind == upstream.NotConnected || kind == upstream.ConnectionLost {
				w.failed(u, x)
			}
			x.done(answer)
		}
	})
}

// cancel closes the connection; the upstream notices after the latency.
func (x *exchange) cancel() {
	if x.over {
		return
	}
	x.over = true
	if x.muted {
		x.w.silent[x.pair()]--
	}
	if u := x.w.upstream(x.to); u != nil && x.w.joined(x.d.centre, u.centre) {
		x.w.after(latency(x.d.centre, u.centre), x.finish)
	}
}

// crash ends the upstream's process; another one takes its place later, cold.
func (w *world) crash(u *vm, downTime clock.Millis) {
	if u.gone {
		return
	}
	w.note("%s crashes", u.id)
	u.boot++
	for _, x := range slices.Clone(u.running) {
		x.finish()
		x.reply(u, query.NewAttemptFailure(x.result(upstream.ConnectionLost, "")))
	}
	u.bootAt, u.planned, u.bound, u.answers = w.now, false, 1, 0
	u.refusing = w.now + downTime
}

// failed logs that a lost or refused connection reached the daemon of x. It
// does not if the daemon had abandoned the exchange.
func (w *world) failed(u *vm, x *exchange) {
	w.note("%s fails a connection of %s", u.id, x.d.id)
	w.failures = append(w.failures, failure{process{u.id, u.boot}, string(x.d.id), w.now})
}

// lose ends an upstream's VM without a trace.
func (w *world) lose(u *vm) {
	if u.gone {
		return
	}
	for _, x := range slices.Clone(u.running) {
		x.finish()
	}
	u.gone, u.goneAt = true, w.now
}
