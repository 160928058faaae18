// Package dispatch runs one caller's request on a route: at one replica of a
// service, or at one replica of each of many shards.
//
// A Request is a state machine without I/O. It sends each request first to the
// replica that is expected to answer first, hedges what is late, retries what
// failed, and answers in time: until the objective nears it waits for every
// shard, then it answers with the shards that are in if they reach the route's
// minimum. Requests that are not idempotent are sent again only if it is proved
// that they have not run.
//
// # Usage
//
//	q := dispatch.New(now, r, deadline, dispatch.Resources{Set: set, Profile: profile, Draw: random.Float64()})
//	actions := q.Start(now)
//	for each action: send, abandon, replace the timer, or finish
//	actions = q.Ended(now, attempt, replica.OK)
//	actions = q.Tick(now)
//	actions = q.Cancel(now)       // the caller has gone
package dispatch

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

const (
	// hedgeFactor times the expected latency is when an answer counts as late.
	hedgeFactor = 2.6
	minHedge    = 6 * clock.Millisecond
	// recheck is the time until a hedge or a retry that found no replica or no
	// budget is tried again.
	recheck = 8 * clock.Millisecond
	// cutShare of the objective, and at least minCut, is kept for the way back
	// to the caller.
	cutShare = 0.06
	minCut   = 12 * clock.Millisecond
	// earlyShare of the objective is when an answer of a replica is early enough.
	earlyShare = 0.5
	// finalMargin is kept before the deadline, so that the caller still gets
	// the answer.
	finalMargin = 12 * clock.Millisecond
	// lateReserve is kept in the budget for requests within their objective.
	lateReserve = 4
	// maxConnects bounds the replicas of one shard that were tried in vain for
	// a connection.
	maxConnects = 4
	// maxSheds bounds how often replicas of a shard may refuse a request.
	maxSheds      = 4
	minRetryAfter = 50 * clock.Millisecond
	maxRetryAfter = 2 * clock.Second
)

// Resources are what the requests of a route share.
type Resources struct {
	Set     *replica.Set
	Profile *Profile
	Gate    *Gate
	Later   bool    // whether a more urgent route shares the services
	Draw    float64 // uniform in [0, 1): chooses between the services of a split
	// Delegates are the data centres with a daemon that can gather shards.
	Delegates []string
	// Delegated means that another daemon has delegated the request to this one:
	// it has let the request in and counted it, and takes any number of parts.
	Delegated bool
	// ReportIn is when that daemon is told which parts are there. From then on it
	// is told each one at once.
	ReportIn clock.Millis
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	route      *route.Route
	profile    *Profile
	gate       *Gate
	later      bool
	delegates  []string
	delegated  bool
	reportAt   clock.Millis
	reported   bool        // that a hedge is due
	gaveUp     bool        // a shard, which is not reported yet
	delegation *delegation // nil without one
	began      clock.Millis
	cut        clock.Millis // from here on an answer need not be complete
	final      clock.Millis // from here on there is no time for an answer
	deadline   clock.Millis
	expected   clock.Millis
	work       clock.Millis // time for which an exchange occupies a slot

	shards   []shard
	attempts []attempt
	covered  int
	open     int // shards that may still be covered
	mayRun   bool

	actions  []Action
	wakeAt   clock.Millis
	nextWake clock.Millis
	finished bool
}

type attempt struct {
	shard   int
	replica *replica.Replica
	began   clock.Millis
	ended   bool
	dropped bool
}

// New returns a request that must be answered by the deadline.
func New(now clock.Millis, r *route.Route, deadline clock.Millis, res Resources) *Request {
	deadline = min(deadline, now+r.Timeout())
	q := &Request{
		route: r, profile: res.Profile, gate: res.Gate, later: res.Later,
		delegates: res.Delegates, reportAt: never,
		began: now, deadline: deadline, wakeAt: never,
		cut:      now + r.Objective() - max(minCut, r.Objective()*cutShare),
		final:    deadline - min(finalMargin, (deadline-now)/8),
		expected: res.Profile.Expected(r.Objective()),
		work:     res.Profile.Work(r.Objective()),
	}
	if res.Delegated {
		q.delegated = true
		q.reportAt, q.cut = now+res.ReportIn, q.final
		q.work = 0 // counted by the other daemon
	}
	services := r.Shards()
	if services == nil {
		services = []string{r.Choose(res.Draw)}
	}
	q.shards = make([]shard, len(services))
	q.attempts = make([]attempt, 0, len(services)+2)
	for i, service := range services {
		q.shards[i] = shard{pool: res.Set.Pool(service), reply: -1, winner: -1}
	}
	q.open = len(q.shards)
	return q
}

const never = clock.Millis(1e18)

// Start sends the first exchanges, or refuses the request at once if it cannot
// be served.
func (q *Request) Start(now clock.Millis) []Action {
	q.nextWake = min(q.cut, q.final, q.reportAt)
	for i := range q.shards {
		if !q.delegated {
			q.shards[i].pool.Budget().Regular(now)
		}
	}
	if now >= q.final {
		return q.refuse(now, "no time left")
	}
	if !q.servable(now) {
		return q.refuse(now, q.reason("no replica of the service", "too few shards have a replica"))
	}
	if ok, after := q.admitted(now); !ok {
		return q.finish(Outcome{kind: Refused, retryAfter: min(maxRetryAfter, max(minRetryAfter, after)), busy: true, reason: "too much work is waiting"})
	}
	q.delegate(now)
	for i := range q.shards {
		if q.shards[i].pending == 0 {
			q.first(now, i)
		}
	}
	return q.settle(now)
}

// servable reports whether enough shards have a replica. Shards without one may
// get it while the request waits for the others.
func (q *Request) servable(now clock.Millis) bool {
	found := 0
	for i := range q.shards {
		if _, err := q.pick(now, &q.shards[i]); err == nil {
			found++
		}
	}
	return found >= max(1, q.needed())
}

// reason returns the text for a route to one service or over many shards.
func (q *Request) reason(one, many string) string {
	if q.route.Shards() == nil {
		return one
	}
	return many
}

// needed returns how many shards an answer must have.
func (q *Request) needed() int {
	switch {
	case q.delegated:
		return 0
	case q.route.Shards() == nil:
		return 1
	default:
		return q.route.MinShards()
	}
}

// Ended takes the end of an exchange. The evidence about the replica counts in
// any case; the answer only if it is still wanted.
func (q *Request) Ended(now clock.Millis, number int, result replica.Result) []Action {
	a := &q.attempts[number]
	if a.ended {
		return nil
	}
	a.ended = true
	a.replica.End(now, a.began, result, q.expected)
	if result == replica.OK {
		q.profile.Add(now, now-a.began)
	}
	if a.dropped || q.finished {
		return nil
	}
	s := &q.shards[a.shard]
	s.pending--
	if !result.NotRun() {
		q.mayRun = true
	}
	switch {
	case result == replica.NotConnected, result == replica.Foreign:
		s.connects++
	default:
		s.arrived++
	}
	if result == replica.Shed {
		s.shed++
	}
	switch {
	case result == replica.OK:
		q.cover(a.shard, number)
	case result == replica.Failed:
		s.reply = number
		fallthrough
	default:
		q.failed(now, a.shard, result)
	}
	return q.settle(now)
}

// Tick does what is due. A Tick that comes early does no harm.
func (q *Request) Tick(now clock.Millis) []Action {
	if q.finished {
		return nil
	}
	q.wakeAt = never
	q.nextWake = q.final
	if now < q.reportAt {
		q.nextWake = min(q.nextWake, q.reportAt)
	}
	if now < q.cut {
		q.nextWake = min(q.nextWake, q.cut)
	}
	if now < q.final {
		for i := range q.shards {
			q.tickShard(now, i)
		}
	}
	return q.settle(now)
}

// Cancel takes that the caller has gone. What may be repeated is given up at
// once; what may not runs to its end.
func (q *Request) Cancel(_ clock.Millis) []Action {
	if q.finished {
		return nil
	}
	return q.finish(Outcome{kind: Gone, reason: "the caller has gone"})
}

// settle decides after each event whether the request goes on.
func (q *Request) settle(now clock.Millis) []Action {
	needed := q.needed()
	switch {
	case q.open == 0 && q.covered >= needed:
		return q.answer("all shards are decided")
	case q.covered >= needed && now >= min(q.cut, q.final):
		return q.answer("the objective is near")
	case q.covered+q.open < needed:
		return q.giveUp(now, q.reason("no replica can answer", "too few shards can answer"))
	case now >= q.final:
		return q.timeOut(now)
	}
	if q.delegated {
		q.report(now)
	}
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case !s.open():
		case s.pending == 0:
			q.nextWake = min(q.nextWake, s.retryAt)
		case q.mayHedge(s):
			q.nextWake = min(q.nextWake, s.hedgeAt)
		}
	}
	return q.flush()
}

// flush returns the collected actions, with a Wake if the one that is
// outstanding comes too late.
func (q *Request) flush() []Action {
	if q.nextWake < q.wakeAt {
		q.wakeAt = q.nextWake
		q.actions = append(q.actions, Action{kind: Wake, at: q.wakeAt})
	}
	return q.take()
}

func (q *Request) take() []Action {
	actions := q.actions
	q.actions = nil
	return actions
}
