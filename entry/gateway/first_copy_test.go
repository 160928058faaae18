package gateway

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/entry/codec"
)

// newMirrorPeer returns the address of a daemon whose mirror is at a revision and holds
// the keys.
func newMirrorPeer(t *testing.T, revision uint64, keys ...string) fleet.ID {
	return newMirrorPeerAt(t, 0, revision, keys...)
}

// newMirrorPeerAt is like newMirrorPeer for a mirror of an age.
func newMirrorPeerAt(t *testing.T, age clock.Millis, revision uint64, keys ...string) fleet.ID {
	reply := mirrorReply{Complete: true, Revision: revision, AgeMs: float64(age)}
	for _, key := range keys {
		reply.Items = append(reply.Items, wireItem{Key: key, Revision: revision})
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		text, err := codec.Encode(reply)
		require.NoError(t, err)
		_, _ = w.Write(text)
	}))
	t.Cleanup(server.Close)
	return fleet.ID(server.Listener.Addr().String())
}

// Guards against a daemon that restarts without the store and then uses replicas that
// have left, because the first peer that it asked was cut off from the store before:
// the newest of several copies counts, whatever their order.
func TestRestartedDaemonTakesNewestCopy(t *testing.T) {
	stale := newMirrorPeer(t, 5, "servers/left", "servers/stays")
	fresh := newMirrorPeer(t, 9, "servers/stays")
	for name, peers := range map[string][]fleet.ID{
		"stale first": {stale, fresh}, "fresh first": {fresh, stale}, "fresh between": {stale, fresh, stale},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t).mirrorSyncer
			s.runPeerRound(t.Context(), startPeerRound(t, s), peers)
			require.True(t, s.mirror.Complete())
			assert.Equal(t, revisionAt(9), s.mirror.Revision())
			_, listed := s.mirror.Get("servers/left")
			assert.False(t, listed, "the replica has left")
			_, listed = s.mirror.Get("servers/stays")
			assert.True(t, listed)
		})
	}
}

// startPeerRound starts a round of requests of a daemon whose store is silent.
func startPeerRound(t *testing.T, s *mirrorSyncer) *mirror.PeerRound {
	t.Helper()
	round, due := s.reader.StartPeerRound(s.now()+clock.Minute, s.suspendingNow())
	require.True(t, due)
	return round
}

// Guards against changes that take effect late while the store rejects the daemon: peers that
// are outdated or do not reply are asked before one that is current.
func TestOutdatedPeersDoNotDelayChanges(t *testing.T) {
	s := newTestGateway(t).mirrorSyncer
	s.applyChanges(s.reader.HandlePage(mirror.Call{}, s.now(), []mirror.Item{mirror.NewItem("servers/left", nil, revisionAt(3))}, revisionAt(3), false))
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	outdated := newMirrorPeerAt(t, clock.Minute, 3, "servers/left")
	peers := []fleet.ID{outdated, fleet.ID(silent.Addr().String()), newMirrorPeer(t, 9, "servers/stays")}
	ctx, cancel := context.WithCancel(t.Context())
	round := startPeerRound(t, s)
	var running sync.WaitGroup
	running.Go(func() { s.runPeerRound(ctx, round, peers) })
	assert.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.mirror.Revision().Number() == 9
	}, mirrorTimeout, 10*time.Millisecond, "before the silent peer is given up")
	cancel()
	running.Wait()
}

// FuzzPeerMessages guards against a message of a peer that ends the daemon or passes
// with values outside of their limits.
func FuzzPeerMessages(f *testing.F) {
	for _, message := range []any{
		mirrorRequest{Sender: "a", AfterRevision: 1 << 63, WaitMs: 1e308, Observations: []wireObservation{{ReplicaID: "i", Slowness: -1}}},
		mirrorRequest{Observations: []wireObservation{{Slowness: float32(math.NaN()), FailureRate: float32(math.NaN())}}},
		mirrorReply{Items: []wireItem{{Key: "servers/i", Value: []byte("{"), Revision: 1 << 63}, {Removed: true}}, AgeMs: -1e308},
		gatherRequest{RequestID: "r", TimeLeftMs: 5, ObjectiveMs: 1, ReportInMs: 1, Services: []string{"s", "s"}, TopK: -1},
		gatherReply{Shards: []int{1 << 40}, Leaving: []wireObservation{{ReplicaID: "i", Leaving: true, Incarnation: -1}}},
	} {
		text, err := codec.Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte{0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0x81, 0xf6})
	f.Fuzz(func(t *testing.T, text []byte) {
		var request mirrorRequest
		if codec.Decode(text, &request) == nil {
			for _, o := range decodeObservations(request.Observations) {
				if !(o.Slowness() >= 1) || !(o.FailureRate() >= 0 && o.FailureRate() <= 1) {
					t.Fatalf("observation outside of its limits: %+v", o)
				}
			}
		}
		var reply mirrorReply
		if codec.Decode(text, &reply) == nil {
			reply.items()
		}
		var gather gatherRequest
		if codec.Decode(text, &gather) == nil && gather.validate() == nil {
			gather.toRouting()
		}
		var part gatherReply
		if codec.Decode(text, &part) == nil {
			part.toRouting([]string{"s0", "s1"}, make(map[int]bool))
		}
	})
}

// FuzzProcessConfig guards against a process configuration that ends the daemon, or
// that is accepted although it is invalid.
func FuzzProcessConfig(f *testing.F) {
	f.Add([]byte(processText))
	f.Add([]byte(`{"name":"a","graceS":1e400,"repeats":{"slack":-1},"log":{"level":[]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := ParseProcessConfig(text)
		if err == nil && !(p.Config().GracePeriod > 0 && p.Config().RetryBudget.Window > 0) {
			t.Fatalf("invalid configuration accepted: %+v", p)
		}
	})
}
