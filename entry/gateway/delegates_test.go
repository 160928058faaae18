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
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/body/bodytest"
	"github.com/lovagegap/lovagegap/entry/codec"
	"github.com/lovagegap/lovagegap/entry/routing"
)

func newServingMember(peer, dataCentre, region string) fleet.Member {
	return fleet.NewMember(fleet.ID(peer), "callers", dataCentre, region, 1)
}

// startDelegate starts a daemon of data centre b that answers each request with the
// replies, and returns the delegates of a daemon of data centre a.
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

var threeShardRequest = routing.GatherRequest{
	Request:  routing.Request{Method: "GET", Host: "h", Deadline: clock.Second},
	Services: []string{"s0", "s1", "s2"}, Objective: 100, ReportIn: 20,
}

// Guards against early or final reports of a delegate that get lost, and against
// delegation to daemons of the same data centre or of another region.
func TestGatherReturnsReportsOfDelegate(t *testing.T) {
	d, _ := startDelegate(t,
		gatherReply{Shards: []int{0, 2}, Seals: []string{"x", "z"}, Records: []byte("1"), More: true},
		gatherReply{Shards: []int{1}, Seals: []string{"y"}, Records: []byte("2"), LostReplica: "i-1"})
	require.Equal(t, []string{"b"}, d.DataCentres())
	var early []routing.Part
	last := d.Gather(t.Context(), "b", threeShardRequest, func(part routing.Part) { early = append(early, part) })
	assert.Equal(t, []routing.Part{{Covered: []string{"s0", "s2"}, Seals: []string{"x", "z"}, Records: []byte("1")}}, early)
	assert.Equal(t, routing.Part{Covered: []string{"s1"}, Seals: []string{"y"}, Records: []byte("2"), LostReplica: "i-1"}, last)
	assert.Equal(t, []string{"b"}, d.DataCentres())
	assert.True(t, d.Gather(t.Context(), "c", threeShardRequest, nil).NotRun, "data centre of another region")
}

// Guards against a number of connections that grows with the fleet, and against an
// uneven load because all daemons select the same delegates.
func TestDelegatesPerDataCentreAreBounded(t *testing.T) {
	var members []fleet.Member
	for i := range 500 {
		members = append(members, newServingMember(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), "b", "west"))
	}
	selections := make(map[string]int)
	for i := range 500 {
		d := newDelegates(clock.Clock{}, newServingMember(fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), "a", "west"), nil,
			rand.New(rand.NewPCG(1, 2)))
		d.setServing(members)
		require.Len(t, d.peers["b"], maxDelegatesPerDataCentre)
		for _, peer := range d.peers["b"] {
			selections[peer]++
		}
	}
	assert.Greater(t, len(selections), 450, "daemons that are selected")
	for peer, count := range selections {
		assert.Less(t, count, 4*maxDelegatesPerDataCentre, peer)
	}
}

// Guards against delegation that continues to a daemon that does not answer, or sends
// invalid reports, and against a daemon that is avoided for ever.
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
			assert.Empty(t, part.Covered)
			assert.False(t, part.NotRun, "the delegate may have made attempts")
			assert.Empty(t, d.DataCentres())
			c.Advance(avoidDuration)
			assert.Equal(t, []string{"b"}, d.DataCentres())
		})
	}
	t.Run("cancelled", func(t *testing.T) {
		d, _ := startDelegate(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		<-ctx.Done()
		assert.Empty(t, d.Gather(ctx, "b", threeShardRequest, nil).Covered)
		assert.Empty(t, d.DataCentres())
	})
}

// Guards against gather requests that are accepted without proof of the deployment
// key, or although they are malformed, and against attempts for services that are not
// in the configuration.
func TestGatherRequestsAreValidated(t *testing.T) {
	g := newTestGateway(t)
	server := httptest.NewServer(g.peerHandler())
	defer server.Close()
	post := func(body []byte, proof string) *http.Response {
		request, err := http.NewRequest(http.MethodPost, server.URL+gatherPath, bytes.NewReader(body))
		require.NoError(t, err)
		request.Header.Set(proofHeader, proof)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		t.Cleanup(func() { _ = response.Body.Close() })
		return response
	}
	valid, err := codec.Encode(newGatherRequest(threeShardRequest))
	require.NoError(t, err)
	assert.Equal(t, http.StatusForbidden, post(valid, "").StatusCode)
	assert.Equal(t, http.StatusForbidden, post(valid, keyProof([]byte("other"), valid)).StatusCode)
	malformed := [][]byte{nil, {0xff}, {0xa1, 0x18, 0x63, 0x01}}
	for _, invalidate := range []func(r *gatherRequest){
		func(r *gatherRequest) { r.Services = nil },
		func(r *gatherRequest) { r.TimeLeftMs = math.NaN() },
		func(r *gatherRequest) { r.ObjectiveMs = -1 },
		func(r *gatherRequest) { r.ReportInMs = math.Inf(1) },
	} {
		request := newGatherRequest(threeShardRequest)
		invalidate(&request)
		body, err := codec.Encode(request)
		require.NoError(t, err)
		malformed = append(malformed, body)
	}
	for _, body := range malformed {
		assert.Equal(t, http.StatusBadRequest, post(body, keyProof(g.config.Key, body)).StatusCode, body)
	}
	response := post(valid, keyProof(g.config.Key, valid))
	require.Equal(t, http.StatusOK, response.StatusCode)
	var reply gatherReply
	require.NoError(t, codec.NewDecoder(response.Body).Decode(&reply))
	assert.True(t, reply.NotRun)
}

// Guards against a delegated request without its tenant, or with its key or the key's
// hash, which must not leave the daemon.
func TestGatherRequestNamesTenantWithoutKey(t *testing.T) {
	hash := route.NewKeyHasher([]byte("secret")).Hash("key-1")
	request := threeShardRequest
	request.Request.Tenant, request.Request.KeyHash = route.NewTenant("acme", 1, 5, 5), hash
	request.Priority = 2
	text, err := codec.Encode(newGatherRequest(request))
	require.NoError(t, err)
	assert.False(t, bytes.Contains(text, hash[:]) || bytes.Contains(text, []byte("key-1")))
	var wire gatherRequest
	require.NoError(t, codec.Decode(text, &wire))
	decoded := wire.toRouting().Request
	assert.Equal(t, "acme", decoded.Tenant.Name())
	assert.Zero(t, decoded.KeyHash)
	assert.Nil(t, newGatherRequest(threeShardRequest).toRouting().Request.Tenant)
}

// Guards against a reply of a peer that is no valid HTTP and that is taken for a part of an
// answer, a grant of tokens or a copy of the store.
func TestInvalidReplyOfPeerIsAnError(t *testing.T) {
	text, err := codec.Encode(struct{}{})
	require.NoError(t, err)
	valid := fmt.Sprintf("HTTP/1.1 200 OK\r\nX: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	c, random := &clock.Manual{}, rand.New(rand.NewPCG(1, 2))
	d := newDelegates(c.Clock(), newServingMember("10.0.0.1:1", "a", "west"), nil, random)
	a := newAllowances(c.Clock(), Config{PeerAddress: "10.0.0.1:1"}, random)
	calls := map[string]func(peer string) error{
		"mirror": func(peer string) error { _, err := fetchMirror(t.Context(), nil, peer, mirrorRequest{}); return err },
		"gather": func(peer string) error {
			_, err := d.requestGather(t.Context(), peer, threeShardRequest, nil)
			return err
		},
		"allowance": func(peer string) error {
			return a.post(peer+allowancePath, allowanceRequest{}, &allowanceReply{})
		},
	}
	for call, run := range calls {
		require.NoError(t, run(bodytest.Serve(t, valid)), call)
	}
	for name, invalid := range bodytest.InvalidHeads(valid) {
		for call, run := range calls {
			require.ErrorIs(t, run(bodytest.Serve(t, invalid)), errPeerExchange, "%s, %s", name, call)
		}
	}
}
