package admission_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/admission"
	"github.com/lovagegap/lovagegap/core/clock"
)

// TestMain fixes the seed of the property tests, so that CI is deterministic.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

const farDeadline = 1000 * clock.Second

// newQueue returns a queue with fixed limits on running and waiting items.
func newQueue(concurrency, waiting int) *admission.Queue {
	q := new(admission.Queue)
	q.SetPolicy(0, admission.Policy{}.WithConcurrency(concurrency).WithMaxWaiting(waiting))
	return q
}

func item(id int, class string, priority int, tenant string, weight float64) admission.Item {
	return admission.NewItem(admission.ID(id), farDeadline).WithClass(class, priority).WithTenant(tenant, weight)
}

// idsOf returns the ids of the items of all actions of a kind.
func idsOf(kind admission.ActionKind, actions []admission.Action) []int {
	var ids []int
	for _, a := range actions {
		if a.Kind() == kind {
			ids = append(ids, int(a.ID()))
		}
	}
	return ids
}

// Guards against a zero Queue that panics or has other limits than the defaults, and
// against a second item with an id that is in use.
func TestZeroValueHasDefaultPolicy(t *testing.T) {
	var q admission.Queue
	for i := range admission.DefaultConcurrency + admission.DefaultMaxWaiting {
		require.Empty(t, idsOf(admission.Refuse, q.Offer(0, item(i, "", 50, "", 1))))
	}
	require.Equal(t, admission.DefaultConcurrency, q.Running())
	require.Equal(t, admission.DefaultMaxWaiting, q.Waiting())
	require.Len(t, idsOf(admission.Refuse, q.Offer(0, item(9999, "", 50, "", 1))), 1)
	actions := q.Offer(0, item(0, "", 50, "", 1))
	require.Equal(t, admission.Duplicate, actions[0].Reason())
}

// Guards against admission out of order: the priority of the class comes first, then
// the weight of the tenant, then the order of arrival.
func TestAdmissionOrder(t *testing.T) {
	cases := []struct {
		name  string
		items []admission.Item
		want  []int
	}{
		{"arrival", []admission.Item{item(1, "", 50, "a", 1), item(2, "", 50, "a", 1)}, []int{1, 2}},
		{"class before arrival", []admission.Item{item(1, "low", 10, "a", 1), item(2, "high", 90, "a", 1)}, []int{2, 1}},
		{"tenants alternate", []admission.Item{
			item(1, "", 50, "a", 1), item(2, "", 50, "a", 1), item(3, "", 50, "a", 1), item(4, "", 50, "b", 1),
		}, []int{1, 4, 2, 3}},
		{"double weight, double share", []admission.Item{
			item(1, "", 50, "a", 1), item(2, "", 50, "a", 1), item(3, "", 50, "b", 2), item(4, "", 50, "b", 2),
			item(5, "", 50, "b", 2), item(6, "", 50, "b", 2),
		}, []int{1, 3, 4, 2, 5, 6}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := newQueue(1, 100)
			q.Offer(0, item(100, "", 50, "x", 1))
			for _, i := range tc.items {
				q.Offer(0, i)
			}
			running := []int{100}
			var order []int
			for len(running) > 0 {
				running = idsOf(admission.Admit, q.Finish(0, admission.ID(running[0])))
				order = append(order, running...)
			}
			require.Equal(t, tc.want, order)
		})
	}
}

// Guards against a tenant that fills the queue and starves the others: each must be
// served in proportion to its weight.
func TestTenantsShareByWeight(t *testing.T) {
	q := newQueue(4, 64)
	served := map[string]int{}
	tenant := map[int]string{}
	var running []int
	next := 0
	offer := func(name string, weight float64) {
		next++
		tenant[next] = name
		running = append(running, idsOf(admission.Admit, q.Offer(0, item(next, "", 50, name, weight)))...)
	}
	for range 4000 {
		for range 8 {
			offer("flood", 1)
		}
		offer("light", 1)
		offer("heavy", 3)
		offer("heavy", 3)
		done := running[0]
		running = running[1:]
		served[tenant[done]]++
		running = append(running, idsOf(admission.Admit, q.Finish(0, admission.ID(done)))...)
	}
	require.InDelta(t, 800, served["light"], 80)
	require.InDelta(t, 800, served["flood"], 80)
	require.InDelta(t, 2400, served["heavy"], 240)
}

// Guards against a full queue that sheds the wrong item: it must be of the lowest
// priority, and there the newest one of the tenant with the most waiting items.
func TestFullQueueShedsLowestPriorityFirst(t *testing.T) {
	cases := []struct {
		name  string
		items []admission.Item
		want  []int // refused, in order
	}{
		{"newest of one class", []admission.Item{
			item(1, "", 50, "a", 1), item(2, "", 50, "a", 1), item(3, "", 50, "a", 1),
		}, []int{3}},
		{"lowest class first, newest first", []admission.Item{
			item(1, "low", 10, "a", 1), item(2, "low", 10, "a", 1), item(3, "high", 90, "a", 1), item(4, "high", 90, "a", 1),
		}, []int{2, 1}},
		{"low class does not displace a high one", []admission.Item{
			item(1, "high", 90, "a", 1), item(2, "high", 90, "a", 1), item(3, "low", 10, "b", 1),
		}, []int{3}},
		{"tenant with the most waiting items", []admission.Item{
			item(1, "", 50, "a", 1), item(2, "", 50, "a", 1), item(3, "", 50, "b", 1),
		}, []int{2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := newQueue(1, 2)
			q.Offer(0, item(100, "", 50, "x", 1))
			var refused []int
			for _, i := range tc.items {
				actions := q.Offer(0, i)
				refused = append(refused, idsOf(admission.Refuse, actions)...)
			}
			require.Equal(t, tc.want, refused)
			require.Equal(t, 2, q.Waiting())
		})
	}
}

// newQueueWithEstimate returns a queue with a concurrency of 1 that estimates the
// service time as 100 ms, and has run item 2 since 100 ms.
func newQueueWithEstimate(t *testing.T) *admission.Queue {
	q := newQueue(1, 100)
	q.Offer(0, item(1, "", 50, "a", 1))
	q.Finish(100, 1)
	require.Equal(t, 100*clock.Millisecond, q.ServiceTime(100))
	q.Offer(100, item(2, "", 50, "a", 1))
	return q
}

// Guards against items that wait although they cannot finish before their deadlines,
// and against a long estimate that refuses every item for ever.
func TestItemThatMissesItsDeadlineIsRefused(t *testing.T) {
	t.Run("refused by Offer when the estimated wait is too long", func(t *testing.T) {
		q := newQueueWithEstimate(t)
		actions := q.Offer(100, admission.NewItem(3, 290))
		require.Equal(t, []int{3}, idsOf(admission.Refuse, actions))
		require.Equal(t, admission.Late, actions[0].Reason())
		require.Empty(t, idsOf(admission.Refuse, q.Offer(100, admission.NewItem(4, 310))))
		require.Equal(t, []int{5}, idsOf(admission.Refuse, q.Offer(100, admission.NewItem(5, 390))),
			"one item waits ahead of it")
	})
	t.Run("refused by Tick at the instant of Wake", func(t *testing.T) {
		q := newQueueWithEstimate(t)
		actions := q.Offer(100, admission.NewItem(3, 310))
		require.Equal(t, admission.Wake, actions[0].Kind())
		require.Empty(t, idsOf(admission.Refuse, q.Tick(actions[0].At()-1)))
		require.Equal(t, []int{3}, idsOf(admission.Refuse, q.Tick(actions[0].At())))
	})
	t.Run("refused by Finish when it is next but too late", func(t *testing.T) {
		q := newQueueWithEstimate(t)
		q.Offer(100, admission.NewItem(3, 310))
		actions := q.Finish(250, 2)
		require.Equal(t, []int{3}, idsOf(admission.Refuse, actions))
		require.Zero(t, q.Waiting())
	})
	t.Run("an estimate longer than all deadlines decays while idle", func(t *testing.T) {
		q := newQueueWithEstimate(t)
		q.Finish(5000, 2)
		refused := q.Offer(5000, admission.NewItem(3, 5200))
		require.Len(t, idsOf(admission.Refuse, refused), 1)
		require.Len(t, idsOf(admission.Admit, q.Offer(15000, admission.NewItem(4, 15200))), 1)
	})
}

// Guards against a withdrawn item that is admitted later, and against the withdrawal
// of one that runs.
func TestWithdrawRemovesWaitingItem(t *testing.T) {
	q := newQueue(1, 2)
	q.Offer(0, item(1, "", 50, "a", 1))
	q.Offer(0, item(2, "", 50, "a", 1))
	require.True(t, q.Withdraw(2))
	require.False(t, q.Withdraw(2))
	require.False(t, q.Withdraw(1), "an admitted item ends with Finish")
	require.Empty(t, q.Finish(5, 1))
}

// Guards against an adaptive limit that does not fall while upstreams queue requests,
// does not recover afterwards, or leaves the range from 1 to the configured limit.
func TestAdaptiveLimitFollowsServiceTime(t *testing.T) {
	q := new(admission.Queue)
	q.SetPolicy(0, admission.Policy{}.WithConcurrency(20).WithAdaptive(true))
	now := clock.Millis(0)
	id := 0
	drive := func(rounds int, service func(running int) clock.Millis) {
		for range rounds {
			var running []int
			for range 40 {
				id++
				running = append(running, idsOf(admission.Admit, q.Offer(now, item(id, "", 50, "", 1)))...)
			}
			for len(running) > 0 {
				now += service(len(running))
				finished := running
				running = nil
				for _, done := range finished {
					running = append(running, idsOf(admission.Admit, q.Finish(now, admission.ID(done)))...)
				}
				require.GreaterOrEqual(t, q.Limit(), 1)
				require.LessOrEqual(t, q.Limit(), 20)
			}
		}
	}
	drive(5, func(int) clock.Millis { return 10 })
	require.Equal(t, 20, q.Limit())
	drive(30, func(running int) clock.Millis { return clock.Millis(10 + 10*max(running-5, 0)) })
	require.Less(t, q.Limit(), 10)
	drive(30, func(int) clock.Millis { return 10 })
	require.Equal(t, 20, q.Limit())
}

// Guards against counters that grow without bound with the tenants, and against wrong
// counts of a tenant.
func TestCountersAreBounded(t *testing.T) {
	q := newQueue(1, 0)
	q.Offer(0, item(1, "officer", 50, "a", 1))
	q.Offer(0, item(2, "officer", 50, "a", 1))
	for i := range 2000 {
		q.Offer(0, item(10+i, "officer", 50, fmt.Sprint("t", i), 1))
	}
	counts := q.Counts()
	require.LessOrEqual(t, len(counts), 1001)
	i := slices.IndexFunc(counts, func(c admission.Count) bool { return c.Class() == "officer" && c.Tenant() == "a" })
	require.Equal(t, uint64(1), counts[i].Admitted())
	require.Equal(t, uint64(1), counts[i].Refused(admission.Overflow))
}

// decisionLedger checks the actions of a queue: each item is admitted or refused
// once, and no more than concurrency items run.
type decisionLedger struct {
	state                map[admission.ID]admission.ActionKind
	running, concurrency int
}

func (l *decisionLedger) record(actions []admission.Action) error {
	for _, a := range actions {
		if a.Kind() == admission.Wake {
			continue
		}
		if _, known := l.state[a.ID()]; known {
			return fmt.Errorf("item %d was decided twice", a.ID())
		}
		l.state[a.ID()] = a.Kind()
		if a.Kind() == admission.Admit {
			l.running++
		}
	}
	if l.running > l.concurrency {
		return fmt.Errorf("%d items running, limit %d", l.running, l.concurrency)
	}
	return nil
}

// Guards against refused items that run, items that get no decision or two, and
// exceeded limits, under arbitrary calls of Offer, Finish, Withdraw and Tick.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		concurrency, waiting := rapid.IntRange(1, 6).Draw(t, "concurrency"), rapid.IntRange(0, 8).Draw(t, "waiting")
		q := newQueue(concurrency, waiting)
		l := &decisionLedger{state: map[admission.ID]admission.ActionKind{}, concurrency: concurrency}
		now := clock.Millis(0)
		var running []admission.ID
		withdrawn := 0
		offered := 0
		for range 150 {
			now += clock.Millis(rapid.IntRange(0, 30).Draw(t, "span"))
			var actions []admission.Action
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				offered++
				deadline := now + clock.Millis(rapid.IntRange(0, 300).Draw(t, "deadline"))
				actions = q.Offer(now, admission.NewItem(admission.ID(offered), deadline).
					WithClass("", rapid.IntRange(0, 2).Draw(t, "priority")).
					WithTenant(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "tenant")), 1))
			case 3:
				if len(running) > 0 {
					done := running[0]
					running = running[1:]
					l.running--
					actions = q.Finish(now, done)
				}
			case 4:
				if q.Withdraw(admission.ID(rapid.IntRange(1, 150).Draw(t, "id"))) {
					withdrawn++
				}
			default:
				actions = q.Tick(now)
			}
			require.NoError(t, l.record(actions))
			for _, id := range idsOf(admission.Admit, actions) {
				running = append(running, admission.ID(id))
			}
			require.LessOrEqual(t, q.Waiting(), waiting)
			require.Equal(t, len(running), q.Running())
			require.Equal(t, offered, len(l.state)+q.Waiting()+withdrawn, "each item is admitted, refused, withdrawn or waits")
		}
	})
}

// Guards against a decisionLedger that does not detect violations, which would make
// TestQueueInvariants pass vacuously.
func TestDecisionLedgerDetectsViolations(t *testing.T) {
	l := &decisionLedger{state: map[admission.ID]admission.ActionKind{}, concurrency: 1}
	admit := func(id int) []admission.Action { return newQueue(1, 1).Offer(0, item(id, "", 50, "", 1)) }
	require.NoError(t, l.record(admit(1)))
	require.ErrorContains(t, l.record(admit(1)), "decided twice")
	require.ErrorContains(t, l.record(admit(2)), "running, limit")
}

func BenchmarkOfferFinish(b *testing.B) {
	q := newQueue(64, 512)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Offer(clock.Millis(i), admission.NewItem(admission.ID(i), farDeadline+clock.Millis(i)))
		q.Finish(clock.Millis(i)+1, admission.ID(i))
	}
}
