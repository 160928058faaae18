package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// Guards against short requests that are refused because long ones of the same service
// are in progress, although half of the slots are free; and against requests that are
// admitted once none is.
func TestLongRequestsBesideFreeSlotsCauseNoRefusal(t *testing.T) {
	const daemons, replicas, slots = 3, 13, 8
	const longServiceTime = 2 * clock.Second
	for name, c := range map[string]struct {
		running int // long requests of each daemon
		refused bool
	}{
		"half of the slots are free": {running: replicas * slots / 2 / daemons},
		"no slot is free":            {running: replicas*slots/daemons + 1, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			set := replica.NewSet("a", rand.New(rand.NewPCG(1, 2)), replica.BudgetPolicy{
				Ratio: 0.2, Slack: 50, Window: 10 * clock.Second, ProcessStart: -10 * clock.Second,
			})
			set.SetDaemonCount(daemons)
			for i := range replicas {
				id := fmt.Sprint("s0-", i)
				set.Upsert(0, replica.NewEntry(replica.Spec{
					ID: id, Service: "s0", Address: id, DataCentre: "a", Slots: slots,
				}))
			}
			pool := set.Pool("s0")
			for range c.running {
				r, err := pool.Pick(0, replica.NewCriteria(longServiceTime, nil))
				require.NoError(t, err)
				r.Begin(0, longServiceTime)
			}
			now := clock.Millis(0)
			for range 100 {
				now += 10 * clock.Millisecond
				pool.Budget().RecordRegular(now)
			}
			now += clock.Second
			spec := singleRoute(false)
			spec.Name, spec.Host, spec.Prefix, spec.Timeout, spec.Objective, spec.MaxAttempts = "r", "h", "/", 4000, 800, 2
			short, err := route.NewRoute(spec)
			require.NoError(t, err)
			request := New(now, short, now+4000, Resources{Set: set, Profile: &LatencyProfile{}, Admission: &Admission{}})
			actions := request.Start(now)
			require.NotEmpty(t, actions)
			if c.refused {
				require.Equal(t, Finish, actions[0].Kind())
				assert.Equal(t, Refused, actions[0].Outcome().Kind())
				return
			}
			assert.Equal(t, Send, actions[0].Kind())
		})
	}
}
