package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

const (
	prioritySlots       = 2
	priorityServiceTime = 20 * clock.Millisecond
)

func newPrioritySet(slack float64) *replica.Set {
	set := replica.NewSet("a", rand.New(rand.NewPCG(1, 2)), replica.BudgetPolicy{
		Ratio: 0, Slack: slack, Window: 10 * clock.Second, ProcessStart: -10 * clock.Second,
	})
	for i := range 4 {
		id := fmt.Sprint("s0-", i)
		set.Upsert(0, replica.NewEntry(replica.Spec{ID: id, Service: "s0", Address: id, DataCentre: "a", Slots: prioritySlots}))
	}
	return set
}

// runningRequest is a request whose only attempt ends at an instant.
type runningRequest struct {
	request *Request
	endsAt  clock.Millis
}

// admittedFractions sends perSecond requests a second to four replicas, which can serve
// 400, in turn from tenants of the four ranks. It returns the fraction of the requests of
// each rank that is admitted after the first second.
func admittedFractions(t *testing.T, perSecond int) [4]float64 {
	spec := singleRoute(false)
	spec.Name, spec.Host, spec.Prefix, spec.Timeout, spec.Objective, spec.MaxAttempts = "r", "h", "/", 1000, 150, 1
	r, err := route.NewRoute(spec)
	require.NoError(t, err)
	set, admission, profile := newPrioritySet(0), &Admission{}, &LatencyProfile{}
	freeAt := make(map[string][]clock.Millis) // of the slots, by replica
	random := rand.New(rand.NewPCG(5, 6))
	var running []runningRequest
	var sent, admitted [4]float64
	for i := range 5 * perSecond {
		now := clock.Second * clock.Millis(i) / clock.Millis(perSecond)
		for len(running) > 0 && running[0].endsAt <= now {
			running[0].request.RecordResult(running[0].endsAt, 0, replica.OK)
			running = running[1:]
		}
		rank := i % 4
		q := New(now, r, now+1000, Resources{Set: set, Profile: profile, Admission: admission, LowPriority: rank > 0, TenantRank: rank,
			RankDraw: random.Float64()})
		actions := q.Start(now)
		if now >= clock.Second {
			sent[rank]++
		}
		if actions[0].Kind() != Send {
			continue
		}
		if now >= clock.Second {
			admitted[rank]++
		}
		id := actions[0].Replica().Entry().ID()
		if freeAt[id] == nil {
			freeAt[id] = make([]clock.Millis, prioritySlots)
		}
		slot := slices.Index(freeAt[id], slices.Min(freeAt[id]))
		freeAt[id][slot] = max(freeAt[id][slot], now) + priorityServiceTime
		running = append(running, runningRequest{q, freeAt[id][slot]})
		slices.SortFunc(running, func(a, b runningRequest) int { return cmp.Compare(a.endsAt, b.endsAt) })
	}
	for rank := range admitted {
		admitted[rank] /= sent[rank]
	}
	return admitted
}

// Guards against an overload in which tenants of low priority displace those of a higher
// one or get nothing, and against refusals by priority while there is room.
func TestTenantsOfHigherPriorityAreAdmittedFirst(t *testing.T) {
	assert.Equal(t, [4]float64{1, 1, 1, 1}, admittedFractions(t, 300), "within the capacity")
	overloaded := admittedFractions(t, 600)
	t.Logf("admitted by rank at 1.5 times the capacity: %.3f", overloaded)
	for rank := 1; rank < 4; rank++ {
		assert.LessOrEqual(t, overloaded[rank], overloaded[rank-1], "rank %d", rank)
	}
	assert.Greater(t, overloaded[0], 0.9)
	mean := (overloaded[0] + overloaded[1] + overloaded[2] + overloaded[3]) / 4
	assert.Greater(t, overloaded[3], mean/4, "a tenant must be served a quarter as often as all")
}

// Guards against tenants of low priority that use up the retry budget of the others, and
// against a reserve for requests without a tenant.
func TestTenantsOfLowPriorityLeaveRetryBudget(t *testing.T) {
	for rank, left := range map[int]int{0: 0, 1: 3, 2: 6, 3: 9, 7: 9} {
		set := newPrioritySet(20)
		budget := set.Pool("s0").Budget()
		spec := singleRoute(true)
		spec.Name, spec.Host, spec.Prefix, spec.Timeout, spec.Objective, spec.MaxAttempts = "r", "h", "/", 1000, 150, 2
		r, err := route.NewRoute(spec)
		require.NoError(t, err)
		for range 60 {
			q := New(0, r, 1000, Resources{Set: set, Profile: &LatencyProfile{}, Admission: &Admission{}, TenantRank: rank})
			for _, action := range q.Start(0) {
				if action.Kind() == Send {
					q.RecordResult(1, action.Attempt(), replica.Shed)
				}
			}
		}
		assert.InDelta(t, left, budget.Remaining(1), 0.01, "rank %d", rank)
	}
}
