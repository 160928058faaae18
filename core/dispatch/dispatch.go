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
	// hedgeDelayFactor times the expected latency is when an answer counts as late.
	hedgeDelayFactor = 2.6
	minHedgeDelay    = 6 * clock.Millisecond
	// recheckInterval is the time until a hedge or a retry that found no replica or no
	// budget is tried again.
	recheckInterval = 8 * clock.Millisecond
	// objectiveMarginFraction of the objective, and at least minCut, is kept for the way back
	// to the caller.
	objectiveMarginFraction = 0.06
	minObjectiveMargin      = 12 * clock.Millisecond
	// localLatencyFraction of the objective is when an answer of a replica is early enough.
	localLatencyFraction = 0.5
	// maxDeadlineMargin is kept before the deadline, so that the caller still gets
	// the answer.
	maxDeadlineMargin = 12 * clock.Millisecond
	// lateRetryReserve is kept in the budget for requests within their objective.
	lateRetryReserve = 4
	// maxConnectFailures bounds the replicas of one shard that were tried in vain for
	// a connection.
	maxConnectFailures = 4
	// maxSheds bounds how often replicas of a shard may refuse a request.
	maxSheds      = 4
	minRetryAfter = 50 * clock.Millisecond
	maxRetryAfter = 2 * clock.Second
)

// Resources are what the requests of a route share.
type Resources struct {
	Set         *replica.Set
	Profile     *LatencyProfile
	Admission   *Admission
	LowPriority bool    // whether a more urgent route shares the services
	Draw        float64 // uniform in [0, 1): chooses between the services of a split
	// DelegateDataCentres are the data centres with a daemon that can gather shards.
	DelegateDataCentres []string
	// Delegated means that another daemon has delegated the request to this one:
	// it has let the request in and counted it, and takes any number of parts.
	Delegated bool
	// ReportIn is when that daemon is told which parts are there. From then on it
	// is told each one at once.
	ReportIn clock.Millis
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	route               *route.Route
	profile             *LatencyProfile
	admission           *Admission
	lowPriority         bool
	delegateDataCentres []string
	delegated           bool
	reportAt            clock.Millis
	hedgeDueReported    bool        // that a hedge is due
	failureUnreported   bool        // a shard, which is not reported yet
	delegation          *delegation // nil without one
	began               clock.Millis
	partialAt           clock.Millis // from here on an answer need not be complete
	answerBy            clock.Millis // from here on there is no time for an answer
	deadline            clock.Millis
	expectedLatency     clock.Millis
	serviceTime         clock.Millis // time for which an exchange occupies a slot

	shards        []shard
	attempts      []attempt
	coveredShards int
	openShards    int // shards that may still be covered
	mayHaveRun    bool

	actions  []Action
	wakeAt   clock.Millis
	nextWake clock.Millis
	finished bool
}

type attempt struct {
	shard     int
	replica   *replica.Replica
	began     clock.Millis
	ended     bool
	abandoned bool
}

// New returns a request that must be answered by the deadline.
func New(now clock.Millis, r *route.Route, deadline clock.Millis, res Resources) *Request {
	deadline = min(deadline, now+r.Timeout())
	q := &Request{
		route: r, profile: res.Profile, admission: res.Admission, lowPriority: res.LowPriority,
		delegateDataCentres: res.DelegateDataCentres, reportAt: never,
		began: now, deadline: deadline, wakeAt: never,
		partialAt:       now + r.Objective() - max(minObjectiveMargin, r.Objective()*objectiveMarginFraction),
		answerBy:        deadline - min(maxDeadlineMargin, (deadline-now)/8),
		expectedLatency: res.Profile.ExpectedLatency(r.Objective()),
		serviceTime:     res.Profile.ServiceTime(r.Objective()),
	}
	if res.Delegated {
		q.delegated = true
		q.reportAt, q.partialAt = now+res.ReportIn, q.answerBy
		q.serviceTime = 0 // counted by the other daemon
	}
	services := r.Shards()
	if services == nil {
		services = []string{r.ChooseService(res.Draw)}
	}
	q.shards = make([]shard, len(services))
	q.attempts = make([]attempt, 0, len(services)+2)
	for i, service := range services {
		q.shards[i] = shard{pool: res.Set.Pool(service), failedReply: -1, winner: -1}
	}
	q.openShards = len(q.shards)
	return q
}

const never = clock.Millis(1e18)

// Start sends the first exchanges, or refuses the request at once if it cannot
// be served.
func (q *Request) Start(now clock.Millis) []Action {
	q.nextWake = min(q.partialAt, q.answerBy, q.reportAt)
	for i := range q.shards {
		if !q.delegated {
			q.shards[i].pool.Budget().Regular(now)
		}
	}
	if now >= q.answerBy {
		return q.refuse(now, "no time left")
	}
	if !q.servable(now) {
		return q.refuse(now, q.reasonFor("no replica of the service", "too few shards have a replica"))
	}
	if ok, after := q.admit(now); !ok {
		return q.finish(Outcome{kind: Refused, retryAfter: min(maxRetryAfter, max(minRetryAfter, after)), busy: true, reason: "too much work is waiting"})
	}
	q.delegate(now)
	for i := range q.shards {
		if q.shards[i].pending == 0 {
			q.sendFirst(now, i)
		}
	}
	return q.advance(now)
}

// servable reports whether enough shards have a replica. Shards without one may
// get it while the request waits for the others.
func (q *Request) servable(now clock.Millis) bool {
	found := 0
	for i := range q.shards {
		if _, err := q.pickReplica(now, &q.shards[i]); err == nil {
			found++
		}
	}
	return found >= max(1, q.requiredShards())
}

// reasonFor returns the text for a route to one service or over many shards.
func (q *Request) reasonFor(one, many string) string {
	if q.route.Shards() == nil {
		return one
	}
	return many
}

// requiredShards returns how many shards an answer must have.
func (q *Request) requiredShards() int {
	switch {
	case q.delegated:
		return 0
	case q.route.Shards() == nil:
		return 1
	default:
		return q.route.MinShards()
	}
}

// RecordResult takes the end of an exchange. The evidence about the replica counts in
// any case; the answer only if it is still wanted.
func (q *Request) RecordResult(now clock.Millis, number int, result replica.Result) []Action {
	a := &q.attempts[number]
	if a.ended {
		return nil
	}
	a.ended = true
	a.replica.End(now, a.began, result, q.expectedLatency)
	if result == replica.OK {
		q.profile.Record(now, now-a.began)
	}
	if a.abandoned || q.finished {
		return nil
	}
	s := &q.shards[a.shard]
	s.pending--
	if !result.NotRun() {
		q.mayHaveRun = true
	}
	switch {
	case result == replica.NotConnected, result == replica.Foreign:
		s.connectFailures++
	default:
		s.reached++
	}
	if result == replica.Shed {
		s.shed++
	}
	switch {
	case result == replica.OK:
		q.markCovered(a.shard, number)
	case result == replica.Failed:
		s.failedReply = number
		fallthrough
	default:
		q.handleFailure(now, a.shard, result)
	}
	return q.advance(now)
}

// Tick does what is due. A Tick that comes early does no harm.
func (q *Request) Tick(now clock.Millis) []Action {
	if q.finished {
		return nil
	}
	q.wakeAt = never
	q.nextWake = q.answerBy
	if now < q.reportAt {
		q.nextWake = min(q.nextWake, q.reportAt)
	}
	if now < q.partialAt {
		q.nextWake = min(q.nextWake, q.partialAt)
	}
	if now < q.answerBy {
		for i := range q.shards {
			q.tickShard(now, i)
		}
	}
	return q.advance(now)
}

// Cancel takes that the caller has gone. What may be repeated is given up at
// once; what may not runs to its end.
func (q *Request) Cancel(_ clock.Millis) []Action {
	if q.finished {
		return nil
	}
	return q.finish(Outcome{kind: CallerGone, reason: "the caller has gone"})
}

// advance decides after each event whether the request goes on.
func (q *Request) advance(now clock.Millis) []Action {
	needed := q.requiredShards()
	switch {
	case q.openShards == 0 && q.coveredShards >= needed:
		return q.answer("all shards are decided")
	case q.coveredShards >= needed && now >= min(q.partialAt, q.answerBy):
		return q.answer("the objective is near")
	case q.coveredShards+q.openShards < needed:
		return q.giveUp(now, q.reasonFor("no replica can answer", "too few shards can answer"))
	case now >= q.answerBy:
		return q.timeOut(now)
	}
	if q.delegated {
		q.queueReport(now)
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
	return q.takeActions()
}

func (q *Request) takeActions() []Action {
	actions := q.actions
	q.actions = nil
	return actions
}
