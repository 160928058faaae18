package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/routing"
)

// oneReplica is an Interpreter for a configuration with one replica, which drains with the
// second write of the key.
type oneReplica struct {
	t       *testing.T
	address string
}

func (o oneReplica) Updates(item mirror.Item) []routing.StoreUpdate {
	r, err := route.NewRoute(route.Spec{
		Name: "r", Host: "h", Prefix: "/", Timeout: 1000, Objective: 500, MaxAttempts: 1,
		Splits: []route.Split{route.NewSplit("s", 1)},
	})
	require.NoError(o.t, err)
	table, err := route.NewTable(1, []*route.Route{r}, []route.Service{route.NewService("s", 10, 0)}, route.Limits{})
	require.NoError(o.t, err)
	entry := replica.NewEntry(replica.Spec{
		ID: "i", Service: "s", Address: o.address, DataCentre: "x", Slots: 4, Draining: item.Revision().Number() > 1,
	})
	return []routing.StoreUpdate{{Table: table}, {Replica: &entry}}
}

// Guards against requests to a draining replica whose entry is known late: the reply that
// contains the entry must not make the list pass for current before the entry is applied.
func TestDrainingReplicaOfLateEntryIsNotAsked(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		asked bool
	}{"in time": {0, true}, "late": {2700 * time.Millisecond, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			var connections atomic.Int32
			go func() {
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					connections.Add(1)
					_ = connection.Close()
				}
			}()
			s := newTestGateway(t).mirrorSyncer
			s.gateway.dependencies.Interpreter = oneReplica{t, listener.Addr().String()}
			begin := func() mirror.Call {
				return s.reader.Begin(s.reader.Next(s.now()), s.now(), s.suspendingNow())
			}
			s.applyChanges(s.reader.HandlePage(begin(), s.now(), []mirror.Item{mirror.NewItem("a", nil, revisionAt(1))}, revisionAt(1), false))
			time.Sleep(c.delay)
			s.applyChanges(s.reader.HandleEvents(begin(), s.now(), []mirror.Item{mirror.NewItem("a", nil, revisionAt(2))}, revisionAt(2)))
			matched, _ := s.gateway.engine.MatchRoute("h", "/")
			require.NotNil(t, matched)
			s.gateway.engine.Serve(t.Context(), matched, routing.Request{ID: "q", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			assert.Equal(t, c.asked, connections.Load() > 0)
		})
	}
}
