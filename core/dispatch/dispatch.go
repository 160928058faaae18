// Package dispatch executes a caller's request on a route: at one replica of a
// service, or at one replica of each of many shards.
//
// A Request is a state machine without I/O. It makes the first attempt at the
// replica with the lowest expected latency, hedges attempts that are late and
// retries those that failed. On a route over many shards it waits for every
// shard until shortly before the latency objective. From then on it answers as
// soon as the shards that have answered reach the route's minimum coverage. A
// request that is not idempotent is sent again only after a result that proves
// that it has not run.
//
// # Usage
//
//	q := dispatch.New(now, r, deadline, dispatch.Resources{
//		Set: set, Profile: profile, Admission: admission, Random: random.Float64(),
//	})
//	actions := q.Start(now)
//	for each action: send, delegate, report, abandon, reset the timer, or finish
//	q.RecordNotices(now, attempt, notices) // of a reply
//	actions = q.RecordResult(now, attempt, replica.OK)
//	actions = q.HandleDelegationReport(now, report)
//	actions = q.Tick(now)
//	actions = q.Cancel(now) // the caller has disconnected
package dispatch

import (
	"cmp"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

const (
	// hedgeDelayFactor is the multiple of the expected latency after which an
	// attempt is hedged, but not before minHedgeDelay.
	hedgeDelayFactor = 2.6
	minHedgeDelay    = 6 * clock.Millisecond
	// hedgeTimeFraction is the fraction of the expected latency that must be left
	// until the request is answered, so that a hedge may still be in time.
	hedgeTimeFraction = 0.5
	// recheckInterval is the time after which a hedge or retry that found no
	// replica or no budget is tried again.
	recheckInterval = 8 * clock.Millisecond
	// objectiveMarginFraction of the latency objective, and at least
	// minObjectiveMargin, is reserved for returning the answer to the caller.
	objectiveMarginFraction = 0.06
	minObjectiveMargin      = 12 * clock.Millisecond
	// localLatencyFraction of the latency objective is the expected latency up
	// to which a replica in this data centre is preferred to a faster one
	// elsewhere.
	localLatencyFraction = 0.5
	// maxDeadlineMargin, and at most one part in deadlineMarginDivisor of the
	// time left, is reserved before the deadline for returning the answer to
	// the caller.
	maxDeadlineMargin     = 12 * clock.Millisecond
	deadlineMarginDivisor = 8
	// lateRetryReserve is the number of attempts that a request past its
	// objective leaves in the retry budget, for requests still within theirs.
	lateRetryReserve = 4
	// hedgeReserveFraction is the fraction of the retry budget that hedges leave to
	// retries while a replica of the service fails or sheds.
	hedgeReserveFraction = 0.2
	// maxConnectFailures bounds the attempts for one shard that reach no replica
	// of the service.
	maxConnectFailures = 4
	// maxSheds bounds the attempts for one shard whose replicas shed all of them. It
	// may exceed the route's maximum.
	maxSheds      = 4
	minRetryAfter = 50 * clock.Millisecond
	maxRetryAfter = 2 * clock.Second
)

// Resources holds the parameters of a request, and the state that it shares with
// the other requests of its route or services.
type Resources struct {
	Set         *replica.Set
	Profile     *LatencyProfile // of the route
	Admission   *Admission      // of the route's services
	LowPriority bool            // requests of a higher priority share the services
	TenantRank  int             // number of higher priorities that share them; 0 for requests without a tenant
	RankDraw    float64         // uniform in [0, 1); may raise the request of a tenant to the highest priority
	Random      float64         // uniform in [0, 1); selects one of the route's splits
	// DelegateDataCentres lists the data centres with a daemon that accepts
	// delegations.
	DelegateDataCentres []string
	// Delegated means that another daemon has delegated the request to this one.
	// That daemon has done admission and accounting, and accepts any coverage.
	Delegated bool
	// ReportIn is the time after which a delegated request first reports the
	// shards that it has covered. It reports the later ones one by one.
	ReportIn clock.Millis
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	route               *route.Route
	profile             *LatencyProfile
	admission           *Admission
	lowPriority         bool
	tenantRank          int // at most maxTenantRank
	delegateDataCentres []string
	delegated           bool
	reportAt            clock.Millis
	hedgeDueReported    bool        // to the daemon that delegated the request
	failureUnreported   bool        // a shard has failed that is not reported to that daemon
	delegation          *delegation // nil if no shard is delegated
	startedAt           clock.Millis
	returning           bool         // the caller has tried before, to judge by the time that it has left
	partialAt           clock.Millis // instant from which a partial answer is given
	answerBy            clock.Millis // instant from which an answer would miss the deadline
	deadline            clock.Millis
	expectedLatency     clock.Millis
	serviceTime         clock.Millis // time for which an exchange occupies a slot of a replica

	shards        []shard
	attempts      []attempt
	coveredShards int
	openShards    int    // shards that may still be covered
	mayHaveRun    bool   // an ended attempt may have run the request
	noRepeats     bool   // no attempt is made for a shard that had one
	noAttempts    string // reason for which no attempt is made at present, or ""
	lacksReplicas bool   // refused because too few services have an available replica

	actions  []Action
	wakeAt   clock.Millis // instant of the last Wake, or never after it
	nextWake clock.Millis // earliest instant at which Tick has work
	finished bool
}

type attempt struct {
	shard     int // index, or -1 for a delegation
	replica   *replica.Replica
	startedAt clock.Millis
	ended     bool
	abandoned bool
}

// New returns a request that must be answered by the deadline and within the
// timeout of the route.
func New(now clock.Millis, r *route.Route, deadline clock.Millis, res Resources) *Request {
	deadline = min(deadline, now+r.Timeout())
	q := &Request{
		route: r, profile: res.Profile, admission: res.Admission, lowPriority: res.LowPriority,
		tenantRank:          min(res.TenantRank, maxTenantRank),
		delegateDataCentres: res.DelegateDataCentres, reportAt: never,
		startedAt: now, deadline: deadline, wakeAt: never,
		returning:       deadline-now < r.Timeout()*returningTimeFraction,
		partialAt:       now + r.Objective() - max(minObjectiveMargin, r.Objective()*objectiveMarginFraction),
		answerBy:        deadline - min(maxDeadlineMargin, (deadline-now)/deadlineMarginDivisor),
		expectedLatency: res.Profile.ExpectedLatency(r.Objective()),
		serviceTime:     res.Profile.ServiceTime(r.Objective()),
	}
	if q.tenantRank > 0 && res.RankDraw > 1-highestRankShare {
		q.tenantRank, q.lowPriority = 0, false
	}
	if res.Delegated {
		q.delegated = true
		q.reportAt, q.partialAt = now+res.ReportIn, q.answerBy
		q.serviceTime = 0 // counted by the delegating daemon
	}
	services := r.Shards()
	if services == nil {
		services = []string{r.ChooseService(res.Random)}
	}
	q.shards = make([]shard, len(services))
	q.attempts = make([]attempt, 0, len(services)+2)
	for i, service := range services {
		q.shards[i] = shard{pool: res.Set.Pool(service), failedReply: -1, winner: -1}
	}
	q.openShards = len(q.shards)
	return q
}

// never is a far instant that stands for an event that is not scheduled.
const never = clock.Millis(1e18)

// Start makes the first attempts, or refuses the request if the deadline is too
// close, too few replicas are available or admission rejects it.
func (q *Request) Start(now clock.Millis) []Action {
	q.nextWake = min(q.partialAt, q.answerBy, q.reportAt)
	for i := range q.shards {
		if !q.delegated {
			q.shards[i].pool.Budget().RecordRegular(now)
		}
	}
	if now >= q.answerBy {
		return q.refuse(now, "too little time left before the deadline")
	}
	if q.noAttempts != "" {
		return q.refuse(now, q.noAttempts)
	}
	if !q.servable(now) {
		q.lacksReplicas = true
		return q.refuse(now, q.reasonFor("no replica of the service is available",
			"too few shards have an available replica"))
	}
	if ok, after := q.admit(now); !ok {
		return q.finish(Outcome{
			kind: Refused, retryAfter: min(maxRetryAfter, max(minRetryAfter, after)), busy: true,
			reason: "backlog exceeds the admission limit",
		})
	}
	q.delegate(now)
	for i := range q.shards {
		if q.shards[i].pending == 0 {
			q.sendFirst(now, i)
		}
	}
	return q.advance(now)
}

// servable reports whether enough shards have an available replica. The others
// may get one while the request is in progress.
func (q *Request) servable(now clock.Millis) bool {
	available := 0
	for i := range q.shards {
		if _, err := q.pickReplica(now, &q.shards[i]); err == nil {
			available++
		}
	}
	return available >= max(1, q.requiredShards())
}

// reasonFor returns single on a route to one replica, and sharded on a route
// over many shards.
func (q *Request) reasonFor(single, sharded string) string {
	if q.route.Shards() == nil {
		return single
	}
	return sharded
}

// requiredShards returns the minimum number of covered shards in an answer.
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

// RecordNotices applies what the reply to the attempt with the given number states
// about the replica. It is called before RecordResult, which may choose a replica.
func (q *Request) RecordNotices(now clock.Millis, number int, notices replica.Notices) {
	a := &q.attempts[number]
	a.replica.HandleNotices(now, a.startedAt, notices)
}

// ForbidRepeats ends retries and hedges: the request crashes the replicas that run it.
func (q *Request) ForbidRepeats() { q.noRepeats = true }

// ForbidAttempts forbids further attempts for the reason, or allows them again if it is
// empty. It is called before the method that may make one. A request that no replica has
// run is then refused.
func (q *Request) ForbidAttempts(reason string) { q.noAttempts = reason }

// RecordResult records the result of the attempt with the given number. The
// replica's statistics are updated even if the attempt is abandoned or the
// request has finished. A second result of the same attempt is ignored.
func (q *Request) RecordResult(now clock.Millis, number int, result replica.Result) []Action {
	a := &q.attempts[number]
	if a.ended {
		return nil
	}
	a.ended = true
	a.replica.End(now, a.startedAt, result, q.expectedLatency)
	if result == replica.OK {
		q.profile.Record(now, now-a.startedAt)
	}
	q.recordWait(now-a.startedAt, result)
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
		s.recordShed(a.replica)
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

// Tick handles a timer event: it makes the hedges and retries that are due, and
// answers or times out. An early call has no effect other than to reset the timer.
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

// Cancel finishes the request after its caller has disconnected. It abandons the
// pending attempts if the route is idempotent; otherwise they run to completion.
func (q *Request) Cancel(_ clock.Millis) []Action {
	if q.finished {
		return nil
	}
	return q.finish(Outcome{kind: CallerGone, reason: "the caller disconnected"})
}

// advance is called after each event. It finishes the request if its outcome is
// certain, and otherwise schedules the next Tick.
func (q *Request) advance(now clock.Millis) []Action {
	required := q.requiredShards()
	switch {
	case q.openShards == 0 && q.coveredShards >= required:
		return q.answer("all shards have answered or failed")
	case q.coveredShards >= required && now >= min(q.partialAt, q.answerBy):
		return q.answer("the latency objective is close")
	case q.coveredShards+q.openShards < required:
		return q.giveUp(now, cmp.Or(q.noAttempts, q.reasonFor("no replica can answer", "too few shards can answer")))
	case now >= q.answerBy:
		return q.timeOut(now)
	case q.starved(required):
		return q.giveUp(now, "the retry budget is empty")
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

// flush returns the queued actions, with a Wake if the pending one comes after
// nextWake.
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
