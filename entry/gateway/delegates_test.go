package gateway

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/entry/codec"
	"github.com/lovagegap/lovagegap/entry/routing"
)

func newServingMember(peer, dataCentre, region string) fleet.Member {
	return fleet.NewMember(fleet.ID(peer), "callers", dataCentre, region, 1)
}

// startDelegate is a daemon of data centre b that answers an ask with the replies.
func startDelegate(t *testing.T, replies ...gatherReply) (*delegates, *clock.Manual) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, reply := range replies {
			text, err := codec.Encode(reply)
			assert.NoError(t, err)
			_, _ = w.Write(text)
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.Close)
	c := &clock.Manual{}
	d := newDelegates(c.Clock(), newServingMember("10.0.0.1:1", "a", "west"), []byte("k"), rand.New(rand.NewPCG(1, 2)))
	d.setServing([]fleet.Member{
		newServingMember(server.Listener.Addr().String(), "b", "west"),
		newServingMember("10.0.0.2:1", "a", "west"), newServingMember("10.0.0.3:1", "c", "east"),
	})
	return d, c
}

var threeShardRequest = routing.Ask{
	Request:  routing.Request{Method: "GET", Host: "h", Deadline: clock.Second},
	Services: []string{"s0", "s1", "s2"}, Objective: 100, ReportIn: 20,
}

// Guards against parts that are lost between two daemons, and against asks to
// daemons of the own data centre or of another region.
func TestGatherReturnsReportsOfDelegate(t *testing.T) {
	d, _ := startDelegate(t,
		gatherReply{Shards: []int{0, 2}, Seals: []string{"x", "z"}, Records: []byte("1"), More: true},
		gatherReply{Shards: []int{1}, Seals: []string{"y"}, Records: []byte("2"), LostReplica: "i-1"})
	require.Equal(t, []string{"b"}, d.DataCentres())
	var early []routing.Part
	last := d.Gather(t.Context(), "b", threeShardRequest, func(part routing.Part) { early = append(early, part) })
	assert.Equal(t, []routing.Part{{Services: []string{"s0", "s2"}, Seals: []string{"x", "z"}, Records: []byte("1")}}, early)
	assert.Equal(t, routing.Part{Services: []string{"s1"}, Seals: []string{"y"}, Records: []byte("2"), Lost: "i-1"}, last)
	assert.Equal(t, []string{"b"}, d.DataCentres())
	assert.True(t, d.Gather(t.Context(), "c", threeShardRequest, nil).NotRun, "nobody to ask there")
}

// Guards against connections that grow with the fleet, and against helpers that
// are the same for all daemons.
func TestDelegatesPerDataCentreAreBounded(t *testing.T) {
	var serves []fleet.Member
	for i := range 500 {
		serves = append(serves, newServingMember(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), "b", "west"))
	}
	used := make(map[string]int)
	for i := range 500 {
		d := newDelegates(clock.Clock{}, newServingMember(fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), "a", "west"), nil, rand.New(rand.NewPCG(1, 2)))
		d.setServing(serves)
		require.Len(t, d.peers["b"], maxDelegatesPerDataCentre)
		for _, peer := range d.peers["b"] {
			used[peer]++
		}
	}
	assert.Greater(t, len(used), 450, "the work is spread")
	for peer, count := range used {
		assert.Less(t, count, 4*maxDelegatesPerDataCentre, peer)
	}
}

// Guards against asks that go on to a daemon that does not answer properly, and
// against one that is never asked again.
func TestFailedDelegateIsAvoidedTemporarily(t *testing.T) {
	for name, replies := range map[string][]gatherReply{
		"no answer":                    nil,
		"ends before the last report":  {{Shards: []int{0}, More: true}},
		"shard that was not asked for": {{Shards: []int{3}}},
		"shard below zero":             {{Shards: []int{-1}}},
		"shard twice":                  {{Shards: []int{1, 1}}},
		"shard in two reports":         {{Shards: []int{1}, More: true}, {Shards: []int{1}}},
	} {
		t.Run(name, func(t *testing.T) {
			d, c := startDelegate(t, replies...)
			part := d.Gather(t.Context(), "b", threeShardRequest, func(routing.Part) {})
			assert.Empty(t, part.Services)
			assert.False(t, part.NotRun, "it may have asked replicas")
			assert.Empty(t, d.DataCentres())
			c.Advance(avoidDuration)
			assert.Equal(t, []string{"b"}, d.DataCentres())
		})
	}
	t.Run("given up", func(t *testing.T) {
		d, _ := startDelegate(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		<-ctx.Done()
		assert.Empty(t, d.Gather(ctx, "b", threeShardRequest, nil).Services)
		assert.Empty(t, d.DataCentres())
	})
}

// Guards against asks of somebody who does not know the key, against malformed
// ones, and against ones for services that the configuration does not name.
func TestGatherRequestsAreValidated(t *testing.T) {
	g := newTestGateway(t)
	server := httptest.NewServer(g.peerHandler())
	defer server.Close()
	post := func(text []byte, proven string) *http.Response {
		request, err := http.NewRequest(http.MethodPost, server.URL+gatherPath, bytes.NewReader(text))
		require.NoError(t, err)
		request.Header.Set(proofHeader, proven)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		t.Cleanup(func() { _ = response.Body.Close() })
		return response
	}
	text, err := codec.Encode(newGatherRequest(threeShardRequest))
	require.NoError(t, err)
	assert.Equal(t, http.StatusForbidden, post(text, "").StatusCode)
	assert.Equal(t, http.StatusForbidden, post(text, keyProof([]byte("other"), text)).StatusCode)
	bad := [][]byte{nil, {0xff}, {0xa1, 0x18, 0x63, 0x01}}
	for _, spoil := range []func(a *gatherRequest){
		func(a *gatherRequest) { a.Services = nil },
		func(a *gatherRequest) { a.TimeLeftMs = math.NaN() },
		func(a *gatherRequest) { a.ObjectiveMs = -1 },
		func(a *gatherRequest) { a.ReportInMs = math.Inf(1) },
	} {
		ask := newGatherRequest(threeShardRequest)
		spoil(&ask)
		spoilt, err := codec.Encode(ask)
		require.NoError(t, err)
		bad = append(bad, spoilt)
	}
	for _, bad := range bad {
		assert.Equal(t, http.StatusBadRequest, post(bad, keyProof(g.config.Key, bad)).StatusCode, bad)
	}
	response := post(text, keyProof(g.config.Key, text))
	require.Equal(t, http.StatusOK, response.StatusCode)
	var reply gatherReply
	require.NoError(t, codec.NewDecoder(response.Body).Decode(&reply))
	assert.True(t, reply.NotRun)
}
