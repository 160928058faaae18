package admission

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

// Queue admits the requests of one service. The zero value has the default
// policy and is ready for use. It is not safe for concurrent use.
type Queue struct {
	policy      Policy
	levels      []*level // highest priority first
	waiting     int
	flowByID    map[ID]*flow // of the waiting items
	running     map[ID]runningItem
	serviceTime serviceTimeEstimator
	limit       adaptiveLimit
	counters    counters
	wakeAt      clock.Millis // instant of the last Wake, or 0
}

// runningItem is an admitted item that has not finished.
type runningItem struct {
	item      Item
	startedAt clock.Millis
}

// SetPolicy replaces the settings, sheds the waiting items that exceed the new limit
// and admits those that a higher one allows. Running items are not affected.
func (q *Queue) SetPolicy(now clock.Millis, policy Policy) []Action {
	q.policy = policy
	var actions []Action
	for q.waiting > policy.MaxWaiting() {
		actions = q.shed(actions)
	}
	return q.admitWaiting(now, actions)
}

// Offer admits a new item, queues it or refuses it. To make room for it, Offer may
// refuse a waiting item instead. A queued item is admitted or refused by a later
// call of any method that returns actions.
func (q *Queue) Offer(now clock.Millis, item Item) []Action {
	q.initMaps()
	if q.contains(item.id) {
		return []Action{{kind: Refuse, id: item.id, reason: Duplicate}}
	}
	if q.missesDeadline(now, item, q.estimateWait(now, item)) {
		return []Action{q.refuse(item, Late)}
	}
	if q.waiting == 0 && len(q.running) < q.Limit() {
		return []Action{q.admit(now, item)}
	}
	var actions []Action
	q.enqueue(item)
	if q.waiting > q.policy.MaxWaiting() {
		actions = q.shed(actions)
	}
	actions = q.admitWaiting(now, actions)
	if q.flowByID[item.id] != nil {
		actions = q.scheduleWake(now, item, actions)
	}
	return actions
}

// Finish records the end of an admitted item, and admits waiting ones. It does
// nothing if the item does not run.
func (q *Queue) Finish(now clock.Millis, id ID) []Action {
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	took := now - r.startedAt
	saturated := len(q.running)+1 >= q.Limit()
	q.limit.observe(now, took, q.Limit(), q.policy.Concurrency(), saturated)
	if now < r.item.deadline {
		q.serviceTime.observe(now, took)
	}
	return q.admitWaiting(now, nil)
}

// Withdraw removes a waiting item whose caller has disconnected. It returns false if the
// item does not wait.
func (q *Queue) Withdraw(id ID) bool {
	f := q.flowByID[id]
	if f == nil {
		return false
	}
	f.remove(id)
	q.removeWaiting(id)
	return true
}

// Tick refuses the waiting items that are no longer expected to finish before their
// deadlines, and returns a Wake for the next ones.
func (q *Queue) Tick(now clock.Millis) []Action {
	var actions []Action
	service := q.serviceTime.estimate(now, len(q.running) == 0)
	next := clock.Millis(0)
	for _, l := range q.levels {
		for _, f := range l.flows {
			for _, item := range f.takeLate(now + service) {
				q.removeWaiting(item.id)
				actions = append(actions, q.refuse(item, Late))
			}
			next = f.earliestDeadline(next)
		}
	}
	q.wakeAt = 0
	actions = q.admitWaiting(now, actions)
	if q.waiting > 0 && next > 0 {
		q.wakeAt = max(next-service, now+clock.Millisecond)
		actions = append(actions, Action{kind: Wake, at: q.wakeAt})
	}
	return actions
}

// Limit returns how many items may run concurrently at present.
func (q *Queue) Limit() int {
	if !q.policy.adaptive {
		return q.policy.Concurrency()
	}
	return q.limit.value(q.policy.Concurrency())
}

// Running returns the number of running items.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return q.waiting }

// ServiceTime returns the present estimate of how long an item runs, or 0 before
// an item has finished within its deadline.
func (q *Queue) ServiceTime(now clock.Millis) clock.Millis {
	return q.serviceTime.estimate(now, len(q.running) == 0)
}

func (q *Queue) initMaps() {
	if q.flowByID == nil {
		q.flowByID = make(map[ID]*flow)
		q.running = make(map[ID]runningItem)
	}
}

func (q *Queue) contains(id ID) bool {
	_, running := q.running[id]
	return running || q.flowByID[id] != nil
}

// missesDeadline reports whether the item is expected to miss its deadline if it
// starts after wait.
func (q *Queue) missesDeadline(now clock.Millis, item Item, wait clock.Millis) bool {
	return now+wait+q.ServiceTime(now) >= item.deadline
}

// estimateWait estimates how long a new item waits until it is admitted.
func (q *Queue) estimateWait(now clock.Millis, item Item) clock.Millis {
	limit := q.Limit()
	if q.waiting == 0 && len(q.running) < limit {
		return 0
	}
	turns := clock.Millis(q.countAhead(item) + 1)
	return turns * q.ServiceTime(now) / clock.Millis(limit)
}

// countAhead estimates how many waiting items are admitted before a new item.
func (q *Queue) countAhead(item Item) int {
	count := 0
	for _, l := range q.levels {
		if l.priority < item.priority {
			break
		}
		if l.priority > item.priority {
			count += l.waiting
			continue
		}
		count += l.countAhead(item)
	}
	return count
}

func (q *Queue) enqueue(item Item) {
	q.flowByID[item.id] = q.levelFor(item.priority).push(item)
	q.waiting++
}

func (q *Queue) removeWaiting(id ID) {
	delete(q.flowByID, id)
	q.waiting--
}

// shed refuses a waiting item: of the lowest priority with waiting items, the newest
// one of the tenant with the most waiting items relative to its weight.
func (q *Queue) shed(actions []Action) []Action {
	for i := len(q.levels) - 1; i >= 0; i-- {
		if q.levels[i].waiting == 0 {
			continue
		}
		item := q.levels[i].longestFlow().popNewest()
		q.removeWaiting(item.id)
		return append(actions, q.refuse(item, Overflow))
	}
	return actions
}

// admitWaiting admits waiting items up to the limit. It refuses those that are no
// longer expected to finish before their deadlines.
func (q *Queue) admitWaiting(now clock.Millis, actions []Action) []Action {
	for q.waiting > 0 && len(q.running) < q.Limit() {
		item := q.popNext()
		if q.missesDeadline(now, item, 0) {
			actions = append(actions, q.refuse(item, Late))
			continue
		}
		actions = append(actions, q.admit(now, item))
	}
	return actions
}

// popNext removes and returns the next item to admit. At least one must wait.
func (q *Queue) popNext() Item {
	for _, l := range q.levels {
		if l.waiting > 0 {
			item := l.pop()
			q.removeWaiting(item.id)
			return item
		}
	}
	return Item{}
}

func (q *Queue) admit(now clock.Millis, item Item) Action {
	q.running[item.id] = runningItem{item: item, startedAt: now}
	q.counters.countAdmitted(item)
	return Action{kind: Admit, id: item.id}
}

func (q *Queue) refuse(item Item, reason Reason) Action {
	q.counters.countRefused(item, reason)
	return Action{kind: Refuse, id: item.id, reason: reason}
}

// scheduleWake appends a Wake for the instant at which the item can no longer finish
// before its deadline, unless one is due earlier.
func (q *Queue) scheduleWake(now clock.Millis, item Item, actions []Action) []Action {
	at := max(item.deadline-q.ServiceTime(now), now)
	if q.wakeAt > 0 && q.wakeAt <= at {
		return actions
	}
	q.wakeAt = at
	return append(actions, Action{kind: Wake, at: at})
}

// levelFor returns the level of a priority, which it creates if there is none.
func (q *Queue) levelFor(priority int) *level {
	i := 0
	for i < len(q.levels) && q.levels[i].priority > priority {
		i++
	}
	if i < len(q.levels) && q.levels[i].priority == priority {
		return q.levels[i]
	}
	created := &level{priority: priority, byTenant: make(map[string]*flow)}
	q.levels = append(q.levels, nil)
	copy(q.levels[i+1:], q.levels[i:])
	q.levels[i] = created
	return created
}
