package dispatch

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// minDelegated is the number of shards from which they are delegated.
	minDelegated = 3
	// delegateTrip is the time for the way to the other daemon and back. Twice of
	// it may pass until its first report comes.
	delegateTrip = 6 * clock.Millisecond
)

// delegation is the shards that a daemon of another data centre gathers for this
// request, so that one answer crosses between the data centres instead of one
// for each shard. That daemon asks one replica of its own data centre for each;
// hedges and retries are sent from here, to other data centres. It reports the
// parts that it has when a hedge is due, and the others one by one.
type delegation struct {
	number   int   // its attempt
	shards   []int // without an end so far
	reported bool
}

// delegate hands the shards that would be asked in other data centres to a
// daemon of the one that has most of them.
func (q *Request) delegate(now clock.Millis) {
	if len(q.delegates) == 0 || q.route.Shards() == nil || !q.route.Idempotent() {
		return
	}
	var elsewhere []int
	for i := range q.shards {
		if r, err := q.pick(now, &q.shards[i]); err == nil && !r.Near() {
			elsewhere = append(elsewhere, i)
		}
	}
	var shards []int
	chosen := ""
	for _, dataCentre := range q.delegates {
		var found []int
		for _, i := range elsewhere {
			// Without a replica elsewhere the shard could not be hedged from here.
			if inside, outside := q.shards[i].pool.Around(now, dataCentre, q.route.Regions()); inside > 0 && outside > 0 {
				found = append(found, i)
			}
		}
		if len(found) > len(shards) {
			shards, chosen = found, dataCentre
		}
	}
	if len(shards) < minDelegated {
		return
	}
	q.delegation = &delegation{number: len(q.attempts), shards: shards}
	q.attempts = append(q.attempts, attempt{shard: -1, began: now})
	names := make([]string, len(shards))
	for n, i := range shards {
		s := &q.shards[i]
		names[n] = s.pool.Service()
		s.pending++
		s.tried = s.pool.In(chosen)
		s.hedgeAt = now + q.hedgeDelay() + 2*delegateTrip
	}
	q.actions = append(q.actions, Action{
		kind: Delegate, attempt: q.delegation.number, shards: names, dataCentre: chosen,
		at: q.deadline, reportIn: max(minHedge, q.hedgeDelay()-delegateTrip),
	})
}

// Delegated takes a report of the delegation: the shards whose parts have come,
// merged into one. Last says that no other report follows, NotRun that no
// replica was asked. The merged part is used as a whole, also where a shard was
// answered here meanwhile.
func (q *Request) Delegated(now clock.Millis, covered []string, last, notRun bool) []Action {
	d := q.delegation
	a := &q.attempts[d.number]
	if a.ended {
		return nil
	}
	a.ended = last
	if a.dropped || q.finished {
		return nil
	}
	if !notRun {
		q.mayRun = true
	}
	left := d.shards[:0]
	for _, i := range d.shards {
		s := &q.shards[i]
		if !slices.Contains(covered, s.pool.Service()) {
			left = append(left, i)
			continue
		}
		s.pending--
		if s.winner >= 0 {
			s.winner = d.number
		} else {
			q.cover(i, d.number)
		}
	}
	d.shards = left
	if !d.reported {
		d.reported = true
		for _, i := range left {
			q.shards[i].hedgeAt = now // a hedge is due there
		}
	}
	if last {
		for _, i := range left {
			q.undelegated(now, i, notRun)
		}
	}
	return q.settle(now)
}

// undelegated decides about a shard whose part did not come.
func (q *Request) undelegated(now clock.Millis, i int, notRun bool) {
	s := &q.shards[i]
	s.pending--
	if !s.open() {
		return
	}
	if !notRun {
		s.arrived++
	}
	if s.pending > 0 {
		return
	}
	if notRun {
		s.tried = nil
	}
	q.again(now, i)
}

// report tells the daemon that has delegated this request the parts that are
// new. It begins when that daemon would hedge, even if there are none, so that it
// hedges only the others.
func (q *Request) report() {
	outcome := q.gathered("")
	if len(outcome.shards) > 0 || !q.reported {
		q.reported = true
		q.actions = append(q.actions, Action{kind: Report, outcome: outcome})
	}
}

// gathered returns the parts that were not reported yet.
func (q *Request) gathered(reason string) Outcome {
	outcome := Outcome{kind: Gathered, reason: reason}
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.reported:
		case s.winner < 0:
			outcome.missing = append(outcome.missing, s.pool.Service())
		default:
			s.reported = true
			outcome.shards = append(outcome.shards, s.pool.Service())
			if !slices.Contains(outcome.parts, s.winner) { // a delegation covers several shards
				outcome.parts = append(outcome.parts, s.winner)
			}
		}
	}
	return outcome
}
