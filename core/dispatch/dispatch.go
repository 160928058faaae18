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
}

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	route    *route.Route
	profile  *Profile
	gate     *Gate
	later    bool
	began    clock.Millis
	cut      clock.Millis // from here on an answer need not be complete
	final    clock.Millis // from here on there is no time for an answer
	deadline clock.Millis
	expected clock.Millis
	work     clock.Millis // time for which an exchange occupies a slot

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

type shard struct {
	pool     *replica.Pool
	tried    []*replica.Replica
	asked    []*replica.Replica // all that may be asked any more, or nil for any
	limit    int                // exchanges that are allowed, if above the attempts
	arrived  int                // exchanges that reached a replica
	shed     int                // those of them that the replica refused
	connects int
	pending  int
	reply    int // last exchange that ended with a replica's own failure, or -1
	winner   int // exchange that covered the shard, or -1
	lost     bool
	hedgeAt  clock.Millis
	retryAt  clock.Millis
}

func (s *shard) open() bool { return s.winner < 0 && !s.lost }

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
		began: now, deadline: deadline, wakeAt: never,
		cut:      now + r.Objective() - max(minCut, r.Objective()*cutShare),
		final:    deadline - min(finalMargin, (deadline-now)/8),
		expected: res.Profile.Expected(r.Objective()),
		work:     res.Profile.Work(r.Objective()),
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

// Expected returns the usual latency of an exchange of this request.
func (q *Request) Expected() clock.Millis { return q.expected }

// Service returns the service that a shard asks.
func (q *Request) Service(shard int) string { return q.shards[shard].pool.Service() }

// Start sends the first exchanges, or refuses the request at once if it cannot
// be served.
func (q *Request) Start(now clock.Millis) []Action {
	q.nextWake = min(q.cut, q.final)
	for i := range q.shards {
		q.shards[i].pool.Budget().Regular(now)
	}
	if now >= q.final {
		return q.refuse(now, "no time left")
	}
	if !q.servable(now) {
		return q.refuse(now, q.reason("no replica of the service", "too few shards have a replica"))
	}
	if ok, after := q.admitted(now); !ok {
		return q.finish(Outcome{kind: Refused, retryAfter: min(maxRetryAfter, max(minRetryAfter, after)), reason: "too much work is waiting"})
	}
	for i := range q.shards {
		q.first(now, i)
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
	return found >= q.needed()
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
	if q.route.Shards() == nil {
		return 1
	}
	return q.route.MinShards()
}

func (q *Request) pick(now clock.Millis, s *shard) (*replica.Replica, error) {
	ask := replica.NewAsk(q.expected, s.tried).Within(q.route.Objective() * earlyShare)
	if !q.route.Idempotent() {
		ask = ask.Careful()
	}
	return s.pool.Pick(now, ask)
}

func (q *Request) first(now clock.Millis, i int) {
	s := &q.shards[i]
	r, err := q.pick(now, s)
	if err != nil {
		s.retryAt = now + recheck
		return
	}
	q.send(now, i, r, First)
}

func (q *Request) send(now clock.Millis, i int, r *replica.Replica, purpose Purpose) {
	s := &q.shards[i]
	s.tried = append(s.tried, r)
	s.pending++
	s.hedgeAt = now + max(minHedge, q.expected*hedgeFactor)
	r.Begin(now, q.work)
	q.attempts = append(q.attempts, attempt{shard: i, replica: r, began: now})
	q.actions = append(q.actions, Action{
		kind: Send, attempt: len(q.attempts) - 1, shard: i, purpose: purpose, replica: r, at: q.deadline,
	})
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

func (q *Request) cover(i, number int) {
	s := &q.shards[i]
	s.winner = number
	q.covered++
	q.open--
	q.drop(i)
}

// drop abandons the exchanges of a shard that is decided.
func (q *Request) drop(i int) {
	if q.shards[i].pending == 0 {
		return
	}
	for number := range q.attempts {
		a := &q.attempts[number]
		if a.shard != i || a.ended || a.dropped {
			continue
		}
		a.dropped = true
		q.shards[i].pending--
		q.actions = append(q.actions, Action{kind: Abandon, attempt: number})
	}
}

// failed decides whether a shard whose exchange failed is asked again.
func (q *Request) failed(now clock.Millis, i int, result replica.Result) {
	s := &q.shards[i]
	if s.pending > 0 {
		return
	}
	if !q.route.Idempotent() && !result.NotRun() {
		q.lose(i)
		return
	}
	q.again(now, i)
}

// again sends a retry now, plans one for later, or gives the shard up.
func (q *Request) again(now clock.Millis, i int) {
	s := &q.shards[i]
	if s.arrived >= q.route.Attempts() && s.shed == s.arrived && s.arrived < maxSheds && !q.crowded(now, s) {
		// The replicas that were asked did not run it. No others may be asked,
		// but these may be asked again.
		s.askAgain()
	}
	if s.arrived >= max(q.route.Attempts(), s.limit) || s.connects >= maxConnects {
		q.lose(i)
		return
	}
	r, err := q.pick(now, s)
	if err != nil {
		if len(s.tried) > 0 && s.connects > 0 {
			// All replicas were tried; those that could not be reached may be
			// tried again.
			s.tried = s.tried[:0]
		}
		if q.route.Shards() == nil {
			q.lose(i)
			return
		}
		s.retryAt = now + recheck
		return
	}
	if s.arrived > 0 && !s.pool.Budget().Take(now, q.reserve(now)) {
		s.retryAt = now + recheck
		return
	}
	q.send(now, i, r, q.retryPurpose(s))
}

// askAgain limits a shard to the replicas that have refused it, and allows one
// more exchange with one of them.
func (s *shard) askAgain() {
	if s.asked == nil {
		s.asked = s.tried
	}
	last := s.tried[len(s.tried)-1]
	s.limit = s.arrived + 1
	s.tried = s.pool.Others(s.asked)
	if len(s.asked) > 1 {
		s.tried = append(s.tried, last)
	}
}

func (q *Request) retryPurpose(s *shard) Purpose {
	if len(s.tried) == 0 {
		return First
	}
	return Retry
}

// reserve returns what a request must leave in the budget: one that is late
// already leaves some of it to those that are in time.
func (q *Request) reserve(now clock.Millis) float64 {
	if now > q.began+q.route.Objective() {
		return lateReserve
	}
	return 0
}

func (q *Request) lose(i int) {
	if q.shards[i].open() {
		q.shards[i].lost = true
		q.open--
	}
}

// Tick does what is due. A Tick that comes early does no harm.
func (q *Request) Tick(now clock.Millis) []Action {
	if q.finished {
		return nil
	}
	q.wakeAt = never
	q.nextWake = q.final
	if now < q.cut {
		q.nextWake = min(q.cut, q.final)
	}
	if now < q.final {
		for i := range q.shards {
			q.tickShard(now, i)
		}
	}
	return q.settle(now)
}

func (q *Request) tickShard(now clock.Millis, i int) {
	s := &q.shards[i]
	switch {
	case !s.open():
	case s.pending == 0 && now >= s.retryAt:
		q.again(now, i)
	case s.pending > 0 && now >= s.hedgeAt:
		q.hedge(now, i)
	}
}

// hedge asks a second replica for a shard that is late.
func (q *Request) hedge(now clock.Millis, i int) {
	s := &q.shards[i]
	if !q.mayHedge(s) {
		s.hedgeAt = never
		return
	}
	s.hedgeAt = now + recheck
	if now+q.expected/2 > q.final {
		return
	}
	if q.crowded(now, s) {
		return
	}
	r, err := q.pick(now, s)
	if err != nil || r.Overdue(now, q.expected) || !s.pool.Budget().Take(now, q.reserve(now)) {
		return
	}
	q.send(now, i, r, Hedge)
}

func (q *Request) mayHedge(s *shard) bool {
	return q.route.Idempotent() && s.arrived+s.pending < q.route.Attempts()
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

func (q *Request) answer(reason string) []Action {
	if q.route.Shards() == nil {
		return q.finish(Outcome{kind: Answered, attempt: q.shards[0].winner, reason: reason})
	}
	outcome := Outcome{kind: Gathered, parts: make([]int, 0, q.covered), reason: reason}
	for i := range q.shards {
		if s := &q.shards[i]; s.winner >= 0 {
			outcome.parts = append(outcome.parts, s.winner)
		} else {
			outcome.missing = append(outcome.missing, s.pool.Service())
		}
	}
	return q.finish(outcome)
}

// giveUp ends a request that no replica can answer any more.
func (q *Request) giveUp(now clock.Millis, reason string) []Action {
	if !q.ran() {
		return q.refuse(now, reason)
	}
	if q.route.Shards() == nil && q.shards[0].reply >= 0 {
		return q.finish(Outcome{kind: Answered, attempt: q.shards[0].reply, reason: "the replica failed"})
	}
	return q.finish(Outcome{kind: Unavailable, reason: reason})
}

func (q *Request) timeOut(now clock.Millis) []Action {
	if !q.ran() {
		return q.refuse(now, "no replica took it in time")
	}
	return q.finish(Outcome{kind: TimedOut, reason: "the time ran out"})
}

// ran reports whether a replica may have run the request or may do so yet.
func (q *Request) ran() bool {
	if q.mayRun {
		return true
	}
	for i := range q.shards {
		if q.shards[i].pending > 0 {
			return true
		}
	}
	return false
}

func (q *Request) refuse(now clock.Millis, reason string) []Action {
	after := maxRetryAfter
	for i := range q.shards {
		if s := &q.shards[i]; s.open() || q.route.Shards() == nil {
			after = min(after, s.pool.RoomIn(now, q.expected))
		}
	}
	return q.finish(Outcome{kind: Refused, retryAfter: max(minRetryAfter, after), reason: reason})
}

func (q *Request) finish(outcome Outcome) []Action {
	q.finished = true
	q.actions = append(q.actions, Action{kind: Finish, outcome: outcome})
	if outcome.kind == Gone && !q.route.Idempotent() {
		return q.take()
	}
	for number := range q.attempts {
		a := &q.attempts[number]
		if !a.ended && !a.dropped {
			a.dropped = true
			q.actions = append(q.actions, Action{kind: Abandon, attempt: number})
		}
	}
	return q.take()
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
