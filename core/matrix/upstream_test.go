package matrix_test

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// execution is an entry in the log of an upstream: one sub-request that it ran.
type execution struct {
	upstream    string
	centre      string
	boot        int
	request     string // of the caller, the same when it sends again
	sendNumber  int    // which sending of it
	shard       uint32
	version     uint64
	daemon      string
	start       clock.Millis
	end         clock.Millis // 0 while it runs
	answered    bool
	concurrency int // concurrency at the start, this one included
	coldBound   int // cold bound at the start, 0 when warm
}

// connectionFailure is a connection that an upstream lost or refused: evidence of a
// restart that reached the daemon at the instant at.
type connectionFailure struct {
	process    process
	daemon     string
	observedAt clock.Millis
}

// process is one run of an upstream's process.
type process struct {
	upstream string
	boot     int
}

// upstreamVM is a simulated upstream.
type upstreamVM struct {
	id             string
	centre         string
	shardGroup     int // 0 holds the first half of the shards, 1 the second, 2 all
	boot           int
	bootAt         clock.Millis
	planned        bool // the fleet could know of the cold start beforehand
	coldBound      int  // 0 when warm
	answersAtBound int
	createdAt      clock.Millis
	gone           bool
	goneAt         clock.Millis
	refusesUntil   clock.Millis
	leaving        bool
	leavingAt      clock.Millis
	slowUntil      clock.Millis // until when it is 50 times slower
	versions       []uint64
	exchanges      []*exchange
}

// statusReport is what an upstream's status said at an instant.
type statusReport struct {
	boot     int
	cold     bool
	leaving  bool
	holdings []snapshot.Holding
}

func (w *world) addUpstream(id, centre string, shardGroup int) *upstreamVM {
	u := &upstreamVM{id: id, centre: centre, shardGroup: shardGroup, bootAt: w.now, createdAt: w.now, planned: true, coldBound: 1,
		versions: []uint64{7}}
	if w.now < warmUpEnd {
		u.createdAt = 0
	}
	w.upstreams = append(w.upstreams, u)
	return u
}

func (w *world) upstreamByID(id string) *upstreamVM {
	for _, u := range w.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// shardsHeld lists the shards of a version that an upstream has.
func (w *world) shardsHeld(u *upstreamVM, version uint64) []snapshot.Shard {
	var held []snapshot.Shard
	n := w.shardCounts[version]
	for s := range n {
		if u.shardGroup == 2 || (u.shardGroup == 0) == (s < (n+1)/2) {
			held = append(held, snapshot.Shard(s))
		}
	}
	return held
}

// statusOf is what the upstream answers to a poll. Misleading ones claim shards
// that the upstream does not have and hide a cold start.
func (w *world) statusOf(u *upstreamVM) statusReport {
	r := statusReport{boot: u.boot, cold: u.coldBound > 0, leaving: u.leaving}
	for _, v := range u.versions {
		held := w.shardsHeld(u, v)
		if w.misleadingReports && u.id == w.upstreams[1].id {
			held = []snapshot.Shard{0, 1, 2, 3}
		}
		r.holdings = append(r.holdings, snapshot.NewHolding(snapshot.Version(v), w.shardCounts[v], held))
	}
	if w.misleadingReports {
		r.cold = u.id == w.upstreams[0].id
	}
	return r
}

// exchange is a sub-request on its way.
type exchange struct {
	w                  *world
	d                  *daemon
	upstreamID         string
	shard              snapshot.Shard
	version            snapshot.Version
	request            request
	freshConnection    bool
	startedAt          clock.Millis
	onResult           func(query.AttemptResult)
	ended              bool
	onSilentConnection bool // sent on a connection that stays silent
	servedBy           *upstreamVM
	execution          *execution
	faultPercentile    int
}

// startExchange sends a sub-request from d. Its end is reported to done, unless the
// exchange is cancelled before.
func (w *world) startExchange(d *daemon, upstreamID upstream.ID, action query.Action, r request, freshConnection bool, onResult func(query.AttemptResult)) *exchange {
	x := &exchange{w: w, d: d, upstreamID: string(upstreamID), shard: action.Shard(), version: action.Version(), request: r,
		freshConnection: freshConnection, startedAt: w.now, onResult: onResult, faultPercentile: w.rng.IntN(100)}
	u := w.upstreamByID(x.upstreamID)
	if u != nil {
		w.schedule(latency(d.centre, u.centre), func() { x.arrive(u) })
	}
	return x
}

func (x *exchange) connectionKey() string { return string(x.d.id) + " " + x.upstreamID }

func (x *exchange) arrive(u *upstreamVM) {
	w := x.w
	switch {
	case x.ended:
	case u.gone || !w.centresConnected(x.d.centre, u.centre):
	case !x.freshConnection && w.silentConnections[x.connectionKey()] > 0:
		x.onSilentConnection = true
	case w.now < u.refusesUntil:
		x.deliverResult(u, query.NewAttemptFailure(x.result(upstream.NotConnected, "")))
	case !slices.Contains(u.versions, uint64(x.version)):
		x.deliverResult(u, query.NewAttemptFailure(x.result(upstream.VersionGone, fmt.Sprint(u.boot))))
	case !slices.Contains(w.shardsHeld(u, uint64(x.version)), x.shard):
		x.deliverResult(u, query.NewAttemptFailure(x.result(upstream.WrongShard, fmt.Sprint(u.boot))))
	default:
		x.execute(u)
	}
}

func (x *exchange) execute(u *upstreamVM) {
	w := x.w
	u.exchanges = append(u.exchanges, x)
	x.servedBy = u
	x.execution = &execution{upstream: u.id, centre: u.centre, boot: u.boot, request: x.request.id, sendNumber: x.request.sendNumber,
		shard: uint32(x.shard), version: uint64(x.version), daemon: string(x.d.id), start: w.now,
		concurrency: len(u.exchanges), coldBound: u.coldBound}
	w.executions = append(w.executions, x.execution)
	if u.coldBound > 0 {
		w.tracef("%s runs %s shard %d for %s: %d at bound %d", u.id, x.request.id, x.shard, x.d.id, len(u.exchanges), u.coldBound)
	}
	if x.request.body == "crash" {
		w.schedule(2, func() {
			if x.execution.end == 0 {
				w.crashUpstream(u, 300)
			}
		})
		return
	}
	boot := u.boot
	w.schedule(w.serviceTime(u, x), func() {
		if u.boot == boot && !u.gone && x.execution.end == 0 {
			x.complete(u)
		}
	})
}

func (w *world) serviceTime(u *upstreamVM, x *exchange) clock.Millis {
	span := 3 + clock.Millis(w.rng.Float64()*4)
	if w.now < u.slowUntil {
		span *= 50
	}
	if x.request.id == w.subjectID && x.request.slow == "shard" && x.shard == 0 && x.request.slowedCount != nil && *x.request.slowedCount == 0 {
		*x.request.slowedCount++
		span = 200
	}
	if x.request.slow == "all" {
		span = 9 * clock.Second
	}
	return span
}

func (x *exchange) complete(u *upstreamVM) {
	w := x.w
	x.endExecution()
	x.execution.answered = true
	if u.coldBound > 0 {
		u.answersAtBound++
		if u.answersAtBound >= u.coldBound {
			u.answersAtBound, u.coldBound = 0, 2*u.coldBound
		}
		if u.coldBound > slots {
			u.coldBound = 0
		}
	}
	version := x.version
	data := fmt.Sprintf("%s %d %d", x.request.id, x.version, x.shard)
	if w.misleadingReports && x.faultPercentile < 10 {
		version++
		data = fmt.Sprintf("%s %d %d", x.request.id, version, x.shard)
	} else if w.misleadingReports && x.faultPercentile < 20 {
		data = ""
	}
	if x.faultPercentile < 20 && data == "" && w.wrongDecision == "empty" {
		data = "?"
	}
	if w.wrongDecision == "version" {
		version = x.version
	}
	x.deliverResult(u, query.NewAttemptResult(x.result(upstream.OK, fmt.Sprint(u.boot)), x.shard, version, []byte(data)))
}

// endExecution ends the work of an exchange at its upstream.
func (x *exchange) endExecution() {
	if x.execution == nil || x.execution.end != 0 {
		return
	}
	x.execution.end = x.w.now
	x.servedBy.exchanges = slices.DeleteFunc(x.servedBy.exchanges, func(o *exchange) bool { return o == x })
}

func (x *exchange) result(kind upstream.Outcome, boot string) upstream.Result {
	return upstream.NewResult(kind, x.w.now+latency(x.d.centre, x.w.upstreamByID(x.upstreamID).centre)-x.startedAt, boot)
}

func (x *exchange) deliverResult(u *upstreamVM, answer query.AttemptResult) {
	w := x.w
	if !w.centresConnected(x.d.centre, u.centre) {
		return
	}
	w.deliver(x.d, latency(x.d.centre, u.centre), func() {
		if !x.ended {
			x.ended = true
			if kind := answer.UpstreamResult().Outcome(); kind == upstream.NotConnected || kind == upstream.ConnectionLost {
				w.recordConnectionFailure(u, x)
			}
			x.onResult(answer)
		}
	})
}

// cancel closes the connection; the upstream notices after the latency.
func (x *exchange) cancel() {
	if x.ended {
		return
	}
	x.ended = true
	if x.onSilentConnection {
		x.w.silentConnections[x.connectionKey()]--
	}
	if u := x.w.upstreamByID(x.upstreamID); u != nil && x.w.centresConnected(x.d.centre, u.centre) {
		x.w.schedule(latency(x.d.centre, u.centre), x.endExecution)
	}
}

// crashUpstream ends the upstream's process; another one takes its place later, cold.
func (w *world) crashUpstream(u *upstreamVM, downTime clock.Millis) {
	if u.gone {
		return
	}
	w.tracef("%s crashes", u.id)
	u.boot++
	for _, x := range slices.Clone(u.exchanges) {
		x.endExecution()
		x.deliverResult(u, query.NewAttemptFailure(x.result(upstream.ConnectionLost, "")))
	}
	u.bootAt, u.planned, u.coldBound, u.answersAtBound = w.now, false, 1, 0
	u.refusesUntil = w.now + downTime
}

// recordConnectionFailure logs that a lost or refused connection reached the daemon of x. It
// does not if the daemon had abandoned the exchange.
func (w *world) recordConnectionFailure(u *upstreamVM, x *exchange) {
	w.tracef("%s fails a connection of %s", u.id, x.d.id)
	w.connectionFailures = append(w.connectionFailures, connectionFailure{process{u.id, u.boot}, string(x.d.id), w.now})
}

// loseUpstream ends an upstream's VM without a trace.
func (w *world) loseUpstream(u *upstreamVM) {
	if u.gone {
		return
	}
	for _, x := range slices.Clone(u.exchanges) {
		x.endExecution()
	}
	u.gone, u.goneAt = true, w.now
}
