package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/entry/routing"
	"github.com/lovagegap/lovagegap/entry/telemetry"
)

type nothing struct{}

func (nothing) Facts(mirror.Item) []routing.StoreUpdate { return nil }

func newTestGateway(t *testing.T) *Gateway {
	g, err := New(Config{
		Name: "a", DataCentre: "x", Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Key: []byte("k"),
		Budget: replica.BudgetPolicy{Window: clock.Second}, Registry: "daemons/",
	}, Ports{
		Interpreter: nothing{}, Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)), Meter: &telemetry.Routes{},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = g.front.Close()
		_ = g.control.Close()
		g.hub.Close()
	})
	return g
}

func endsSoon(t *testing.T, what string, do func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		do()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Second):
		t.Fatal(what)
	}
}

// Guards against a deadlock: the view tells the roster of new daemons while it
// holds its lock, and the roster tells the view whom to follow while it holds
// its own.
func TestRosterDoesNotWaitForTheView(t *testing.T) {
	g := newTestGateway(t)
	g.view.mu.Lock()
	endsSoon(t, "the roster waits for the view", func() { g.view.setSources([]string{"10.0.0.1:1"}) })
	endsSoon(t, "the view waits for itself", func() {
		g.view.learn([]mirror.Item{mirror.NewItem("daemons/10.0.0.1:1", nil, 4)})
	})
	g.view.mu.Unlock()
}

// Guards against a follower that waits longer than a change takes, or for ever.
func TestFollowerHearsOfAChangeAtOnce(t *testing.T) {
	g := newTestGateway(t)
	g.view.mu.Lock()
	g.view.learn(g.view.reader.HandlePage(g.view.now(), []mirror.Item{mirror.NewItem("a", nil, 3)}, 3, false))
	g.view.mu.Unlock()
	reply := make(chan viewReply, 1)
	go func() { reply <- g.view.await(t.Context(), viewAsk{From: "b", After: 3, Wait: 3000}) }()
	time.Sleep(50 * time.Millisecond)
	g.view.mu.Lock()
	g.view.learn(g.view.reader.HandleEvents(g.view.now(), []mirror.Item{mirror.NewItem("b", nil, 4)}, 4))
	g.view.mu.Unlock()
	select {
	case r := <-reply:
		assert.Equal(t, uint64(4), r.Revision)
		assert.Len(t, r.Items, 1)
	case <-time.After(time.Second):
		t.Fatal("the follower still waits")
	}
	began := time.Now()
	r := g.view.await(t.Context(), viewAsk{From: "b", After: 4, Wait: 60})
	assert.Empty(t, r.Items)
	assert.Less(t, time.Since(began), 500*time.Millisecond)
}

// Guards against records of a foreign daemon that break this one.
func TestMalformedCrashRecordsAreLeftOut(t *testing.T) {
	g := newTestGateway(t)
	for _, key := range []string{"", "x", "zz/i-1", "/i-1", "12"} {
		g.hearRecord(newCrashRecord(key, "i-1"))
	}
	for _, id := range []string{"i-1", "i-2"} {
		g.hearRecord(newCrashRecord("12/"+id, id))
	}
}
