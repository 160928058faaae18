// Package query runs one caller's query over all shards of a service.
//
// A Query is a state machine without I/O: the adapter feeds it events with the
// current time and carries out the actions it returns, in order. It pins one
// snapshot version before the fan-out and accepts only sub-answers of that
// version; if the version vanishes, the whole query starts again on another.
//
// # Usage
//
//	q := query.New(request, policy, query.Resources{Picker: &pool, Catalogue: &catalogue})
//	actions := q.Start(now)
//	for each action: send, abort, replace the timer, or finish
//	actions = q.SubAnswer(now, attempt, subAnswer)
//	actions = q.Tick(now)
package query

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Query is the state of one query. It is not safe for concurrent use.
type Query struct {
	request   Request
	policy    Policy
	resources Resources
	limits    limits
	began     clock.Millis
	pinned

	fallback pinned             // earlier version with the best coverage
	gone     []snapshot.Version // versions that were pinned before
	stale    bool               // a shard of the pinned version is lost to all replicas

	fingerprint quarantine.Fingerprint
	suspect     bool // may crash upstreams; stays set until the end
	spared      bool // the one retry of a suspect has been granted
	blocked     bool // quarantined while running
	canary      bool // one shard at a time until an upstream has survived

	attempts  []attemptState
	unproven  int  // attempts that are not proven not run
	succeeded bool // some upstream returned a valid sub-answer
	hedgePaid bool // a hedge token was taken but no hedge could be sent
	firsts    int  // first sub-requests that the budgets have not been told of
	counters  counters

	actions  []Action
	wakeAt   clock.Millis // instant of the Wake that is outstanding
	nextWake clock.Millis // earliest instant at which something is due
	exclude  []upstream.ID
	explain  bool
	steps    []Step
	finished bool
}

// pinned is the state of the fan-out on one version.
type pinned struct {
	shardMap  snapshot.Map
	coverage  snapshot.Coverage
	data      [][]byte
	shards    []shardState
	open      int            // shards that may still get a sub-answer
	asked     snapshot.Shard // shards below it have been asked
	released  clock.Millis   // instant at which the whole fan-out was allowed
	withdrawn bool           // some replica no longer has the version
}

// limits are the delays that follow from the service's latency. Zero means
// that there is none.
type limits struct {
	hedge   clock.Millis
	rehedge clock.Millis // from the first hedge to the second
	tail    clock.Millis
	timeout clock.Millis
}

type counters struct {
	hedges    int
	retries   int
	late      int
	cancelled int
	restarts  int
}

// New returns a query that is ready to start.
func New(request Request, policy Policy, resources Resources) *Query {
	return &Query{request: request, policy: policy, resources: resources}
}

// Explain makes the query record its steps for the answer.
func (q *Query) Explain() { q.explain = true }

// Start pins a snapshot version and sends a sub-request for every shard.
func (q *Query) Start(now clock.Millis) []Action {
	q.began = now
	q.wakeAt = forever
	q.nextWake = q.request.deadline
	if now >= q.request.deadline {
		return q.finish(now, BelowMinimum, "deadline passed before the start")
	}
	if !q.inspect(now) {
		return q.finish(now, Quarantined, "crashes upstreams")
	}
	shardMap, ok := q.resources.Catalogue.Choose()
	if !ok || !shardMap.Known() {
		return q.finish(now, NoSnapshot, "no replica has reported a snapshot")
	}
	q.pin(now, shardMap)
	q.fanOut(now)
	return q.settle(now)
}

// inspect looks the request up in the quarantine. It returns false if the
// request is blocked.
func (q *Query) inspect(now clock.Millis) bool {
	list := q.resources.Quarantine
	if list == nil {
		return true
	}
	q.fingerprint = quarantine.FingerprintOf(q.request.service, q.request.body)
	if list.IsBlocked(now, q.fingerprint) {
		return false
	}
	q.suspect = list.IsSuspect(now, q.fingerprint)
	q.canary = list.NeedsCanary(now, q.fingerprint)
	return true
}

// recheck takes up what crashes of other queries have shown since the start.
// It returns false if the request is blocked by now.
func (q *Query) recheck(now clock.Millis) bool {
	list := q.resources.Quarantine
	if list == nil {
		return true
	}
	q.blocked = q.blocked || list.IsBlocked(now, q.fingerprint)
	if list.IsSuspect(now, q.fingerprint) {
		q.becomeSuspect(now)
	}
	return !q.blocked
}

// SubAnswer takes the end of a sub-request. An answer for another shard or
// version than the one asked counts as a failure of the upstream. The end of
// an attempt that was aborted, or that has ended already, is dropped.
func (q *Query) SubAnswer(now clock.Millis, attempt Attempt, answer SubAnswer) []Action {
	if q.finished || int(attempt) >= len(q.attempts) {
		return nil
	}
	a := &q.attempts[attempt]
	if a.ended {
		q.drop(now, a, answer)
		return nil
	}
	result := a.check(answer)
	q.end(now, a, result)
	q.note(now, a.shard, a.choice.Upstream(), EventResult, result.Kind().String())
	switch {
	case now > q.request.deadline:
		// A late sub-answer covers nothing; settle ends the query.
	case result.Kind() == upstream.OK:
		q.cover(now, a, answer.data)
	default:
		q.fail(now, a, result.Kind())
	}
	return q.settle(now)
}

// drop counts an end that comes too late to matter. An end that proves that
// the attempt ran still corrects what is known about the request having run.
func (q *Query) drop(now clock.Millis, a *attemptState, answer SubAnswer) {
	q.counters.late++
	if a.proven && !answer.result.Kind().NotRun() {
		a.proven = false
		q.unproven++
	}
	q.note(now, a.shard, a.choice.Upstream(), EventDrop, "the attempt has ended already")
}

// Tick does what is due: it asks again for replicas, sends hedges, gives up
// silent attempts and ends the query at its deadline. A Tick that comes early
// does no harm.
func (q *Query) Tick(now clock.Millis) []Action {
	if q.finished {
		return nil
	}
	q.wakeAt = forever
	q.nextWake = q.request.deadline
	if now < q.request.deadline && q.recheck(now) {
		for shard := range q.shards {
			q.tickShard(now, snapshot.Shard(shard))
		}
	}
	return q.settle(now)
}

// Cancel ends the query because its caller went away.
func (q *Query) Cancel(now clock.Millis) []Action {
	if q.finished {
		return nil
	}
	return q.finish(now, Abandoned, "the caller went away")
}

// settle decides after each event whether the query goes on.
func (q *Query) settle(now clock.Millis) []Action {
	for !q.finished {
		switch {
		case q.blocked:
			return q.finish(now, Quarantined, "crashes upstreams")
		case now >= q.request.deadline:
			return q.finish(now, q.outcome(), "deadline passed")
		case q.stale && q.restart(now):
			// The fan-out on the new version may have settled already.
		case q.open > 0 && q.lateEnough(now):
			return q.finish(now, q.outcome(), "wanted coverage reached, missing shards are late")
		case q.open > 0:
			return q.flush()
		case !q.advanceCanary(now):
			return q.finish(now, q.outcome(), "no shard is open")
		}
	}
	return nil
}

// lateEnough reports whether tail-first stops waiting for missing shards.
func (q *Query) lateEnough(now clock.Millis) bool {
	if q.policy.mode != TailFirst || q.limits.tail == 0 || q.canary {
		return false
	}
	due := q.released + q.limits.tail
	if now < due {
		q.schedule(due)
		return false
	}
	return q.coverage.Fraction() >= max(q.policy.WantedCoverage(), q.minCoverage())
}

func (q *Query) minCoverage() float64 {
	if q.request.minSet {
		return q.request.minCoverage
	}
	return q.policy.minimum
}

// schedule makes sure that Tick is called at the instant at, or earlier.
func (q *Query) schedule(at clock.Millis) {
	q.nextWake = min(q.nextWake, at)
}

// flush returns the collected actions. It adds a Wake only if the one that is
// outstanding comes too late.
func (q *Query) flush() []Action {
	if q.firsts > 0 {
		q.resources.earn(q.firsts)
		q.firsts = 0
	}
	if q.nextWake < q.wakeAt {
		q.wakeAt = q.nextWake
		q.actions = append(q.actions, Action{kind: Wake, at: q.wakeAt})
	}
	actions := q.actions
	q.actions = nil
	return actions
}
