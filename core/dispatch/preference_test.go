package dispatch

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
)

// Guards against first attempts at a replica of the own data centre that is known to answer
// only after the hedge delay, though within half of the objective.
func TestLateLocalReplicaGetsNoFirstAttempt(t *testing.T) {
	const objective, now = 100 * clock.Millisecond, 2 * clock.Second
	for slowness, want := range map[float64]string{2.4: "s0-a", 2.8: "s0-b"} {
		set := replica.NewSet("a", rand.New(rand.NewPCG(1, 2)), replica.BudgetPolicy{})
		for _, dataCentre := range []string{"a", "b"} {
			id := "s0-" + dataCentre
			set.Upsert(0, replica.NewEntry(replica.Spec{ID: id, Service: "s0", Address: id, DataCentre: dataCentre, Slots: 2}))
		}
		set.ReceiveObservations(now, []replica.Observation{replica.NewObservation("s0-a", slowness, 0)})
		r, err := route.NewRoute(route.Spec{
			Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: 600, Objective: objective, MaxAttempts: 2,
			Splits: []route.Split{route.NewSplit("s0", 1)},
		})
		require.NoError(t, err)
		q := New(now, r, now+600, Resources{Set: set, Profile: &LatencyProfile{}, Admission: &Admission{}})
		var sent []string
		for _, action := range q.Start(now) {
			if action.Kind() == Send {
				sent = append(sent, action.Replica().Entry().ID())
			}
		}
		assert.Equal(t, []string{want}, sent, "slowness %g", slowness)
	}
}
