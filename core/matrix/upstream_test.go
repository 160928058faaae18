package matrix_test

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// execution is an entry in the log of an upstream: a request that it ran for a shard.
type execution struct {
	upstream    string
	centre      string
	boot        int
	request     string // ID of the caller's request
	sendNumber  int    // of the caller's request
	shard       uint32
	version     uint64
	daemon      string
	start       clock.Millis
	end         clock.Millis // 0 while it runs
	answered    bool
	concurrency int // of the upstream at the start, this execution included
	coldBound   int // limit of the concurrency at the start, 0 when warm
}

// connectionFailure is a connection to an upstream that broke or was refused, from
// which the daemon learns at observedAt that the upstream may have restarted.
type connectionFailure struct {
	process    process
	daemon     string
	observedAt clock.Millis
}

// process identifies a process of an upstream.
type process struct {
	upstream string
	boot     int // number of earlier processes
}

// upstreamVM is a simulated upstream.
type upstreamVM struct {
	id             string
	centre         string
	shardGroup     int // 0 for the first half of the shards, 1 for the second, 2 for all
	boot           int
	bootAt         clock.Millis
	planned        bool // the fleet can know of the cold start in advance; false after a crash
	coldBound      int  // limit of the concurrency in a cold start, 0 when warm
	answersAtBound int  // since the bound was last raised
	createdAt      clock.Millis
	gone           bool
	goneAt         clock.Millis
	refusesUntil   clock.Millis
	leaving        bool
	leavingAt      clock.Millis
	slowUntil      clock.Millis // service times are 50 times longer until then
	versions       []uint64
	exchanges      []*exchange
}

// statusReport is the reply of an upstream to a poll of its status.
type statusReport struct {
	boot     int
	cold     bool
	leaving  bool
	holdings []snapshot.Holding
}

// addUpstream starts an upstream in a cold start. During the warm-up it is listed at
// once.
func (w *world) addUpstream(id, centre string, shardGroup int) *upstreamVM {
	u := &upstreamVM{
		id: id, centre: centre, shardGroup: shardGroup, bootAt: w.now, createdAt: w.now, planned: true, coldBound: 1,
		versions: []uint64{7},
	}
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

// shardsHeld returns the shards of a version that an upstream holds.
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

// statusOf returns the reply of an upstream to a poll. While reports are misleading,
// upstream 1 claims shards that it does not hold, upstream 0 claims a cold start, and
// the others deny theirs.
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

// exchange is the request of an attempt and its response. On a silent connection it
// gets no response.
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
	onSilentConnection bool        // sent on a connection that stays silent
	servedBy           *upstreamVM // nil until the upstream runs the request
	execution          *execution  // nil until the upstream runs the request
	faultPercentile    int         // random, below 100; low ones have a bad response while reports are misleading
}

// startExchange sends the request of an attempt from d to an upstream. The result is
// passed to onResult, unless the exchange is cancelled before.
func (w *world) startExchange(
	d *daemon, upstreamID upstream.ID, action query.Action, r request, freshConnection bool,
	onResult func(query.AttemptResult),
) *exchange {
	x := &exchange{
		w: w, d: d, upstreamID: string(upstreamID), shard: action.Shard(), version: action.Version(), request: r,
		freshConnection: freshConnection, startedAt: w.now, onResult: onResult, faultPercentile: w.rng.IntN(100),
	}
	u := w.upstreamByID(x.upstreamID)
	if u != nil {
		w.schedule(latency(d.centre, u.centre), func() { x.arrive(u) })
	}
	return x
}

func (x *exchange) connectionKey() string { return string(x.d.id) + " " + x.upstreamID }

// arrive handles the arrival of the request at its upstream.
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

// execute logs the execution of the request and schedules its end.
func (x *exchange) execute(u *upstreamVM) {
	w := x.w
	u.exchanges = append(u.exchanges, x)
	x.servedBy = u
	x.execution = &execution{
		upstream: u.id, centre: u.centre, boot: u.boot, request: x.request.id, sendNumber: x.request.sendNumber,
		shard: uint32(x.shard), version: uint64(x.version), daemon: string(x.d.id), start: w.now,
		concurrency: len(u.exchanges), coldBound: u.coldBound,
	}
	w.executions = append(w.executions, x.execution)
	if u.coldBound > 0 {
		w.tracef("%s runs %s on shard %d for %s in its cold start: concurrency %d, bound %d",
			u.id, x.request.id, x.shard, x.d.id, len(u.exchanges), u.coldBound)
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

// serviceTime returns how long an upstream takes for a request.
func (w *world) serviceTime(u *upstreamVM, x *exchange) clock.Millis {
	duration := 3 + clock.Millis(w.rng.Float64()*4)
	if w.now < u.slowUntil {
		duration *= 50
	}
	if x.request.id == w.subjectID && x.request.slow == "shard" && x.shard == 0 &&
		x.request.slowedCount != nil && *x.request.slowedCount == 0 {
		*x.request.slowedCount++
		duration = 200
	}
	if x.request.slow == "all" {
		duration = 9 * clock.Second
	}
	return duration
}

// complete ends the execution with a response. In a cold start, the upstream doubles
// its bound after as many responses as the bound, and is warm above its slots.
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

// endExecution logs the end of the execution, if the request is running.
func (x *exchange) endExecution() {
	if x.execution == nil || x.execution.end != 0 {
		return
	}
	x.execution.end = x.w.now
	x.servedBy.exchanges = slices.DeleteFunc(x.servedBy.exchanges, func(o *exchange) bool { return o == x })
}

func (x *exchange) result(outcome upstream.Outcome, boot string) upstream.Result {
	return upstream.NewResult(outcome,
		x.w.now+latency(x.d.centre, x.w.upstreamByID(x.upstreamID).centre)-x.startedAt, boot)
}

// deliverResult passes the result of an attempt to its daemon, unless the daemon is cut
// off or the exchange has ended.
func (x *exchange) deliverResult(u *upstreamVM, result query.AttemptResult) {
	w := x.w
	if !w.centresConnected(x.d.centre, u.centre) {
		return
	}
	w.deliver(x.d, latency(x.d.centre, u.centre), func() {
		if !x.ended {
			x.ended = true
			if outcome := result.UpstreamResult().Outcome(); outcome == upstream.NotConnected ||
				outcome == upstream.ConnectionLost {
				w.recordConnectionFailure(u, x)
			}
			x.onResult(result)
		}
	})
}

// cancel closes the connection. The upstream ends the execution after the latency.
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

// crashUpstream ends the process of an upstream. Another one accepts connections after
// downTime, in a cold start.
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

// recordConnectionFailure records that the daemon of x observes a broken or refused
// connection. It is not called for a cancelled exchange.
func (w *world) recordConnectionFailure(u *upstreamVM, x *exchange) {
	w.tracef("%s breaks or refuses a connection of %s", u.id, x.d.id)
	w.connectionFailures = append(w.connectionFailures, connectionFailure{process{u.id, u.boot}, string(x.d.id), w.now})
}

// loseUpstream ends the VM of an upstream. Its connections fall silent.
func (w *world) loseUpstream(u *upstreamVM) {
	if u.gone {
		return
	}
	for _, x := range slices.Clone(u.exchanges) {
		x.endExecution()
	}
	u.gone, u.goneAt = true, w.now
}
