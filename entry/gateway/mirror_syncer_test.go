package gateway

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/routing"
	"github.com/lovagegap/lovagegap/entry/telemetry"
)

// revisionAt returns the revision with a number in an era that the store does not state.
func revisionAt(number uint64) mirror.Revision { return mirror.NewRevision(mirror.Era{}, number) }

// noUpdates is an Interpreter that ignores all items.
type noUpdates struct{}

func (noUpdates) Updates(mirror.Item) []routing.StoreUpdate { return nil }

func newTestGateway(t *testing.T) *Gateway {
	g, err := New(Config{
		Name: "a", DataCentre: "x", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", Key: []byte("k"),
		RetryBudget: replica.BudgetPolicy{Window: clock.Second}, RegistryPrefix: "daemons/",
	}, Dependencies{
		Interpreter: noUpdates{}, Log: logr.Discard(), Random: rand.New(rand.NewPCG(1, 2)), Meter: &telemetry.Routes{},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = g.callerListener.Close()
		_ = g.peerListener.Close()
		g.hub.Close()
	})
	return g
}

// requireEndsSoon fails with the message unless call returns within a second.
func requireEndsSoon(t *testing.T, message string, call func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		call()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Second):
		t.Fatal(message)
	}
}

// Guards against a deadlock: the syncer passes new daemons to the tracker with its lock
// held, and the tracker passes the peers to follow to the syncer with its own held.
func TestSetSourcesDoesNotTakeSyncerLock(t *testing.T) {
	g := newTestGateway(t)
	g.mirrorSyncer.mu.Lock()
	requireEndsSoon(t, "setSources waits for the lock of the syncer", func() {
		g.mirrorSyncer.setSources([]string{"10.0.0.1:1"})
	})
	requireEndsSoon(t, "applyChanges waits for its own lock", func() {
		g.mirrorSyncer.applyChanges([]mirror.Item{mirror.NewItem("daemons/10.0.0.1:1", nil, revisionAt(4))})
	})
	g.mirrorSyncer.mu.Unlock()
}

// Guards against a follower that is notified of a change only at the end of its wait, and
// against one that waits beyond it.
func TestFollowerIsNotifiedOfChangeImmediately(t *testing.T) {
	g := newTestGateway(t)
	g.mirrorSyncer.mu.Lock()
	g.mirrorSyncer.applyChanges(g.mirrorSyncer.reader.HandlePage(mirror.Call{}, g.mirrorSyncer.now(), []mirror.Item{mirror.NewItem("a", nil, revisionAt(3))}, revisionAt(3), false))
	g.mirrorSyncer.mu.Unlock()
	reply := make(chan mirrorReply, 1)
	go func() {
		reply <- g.mirrorSyncer.waitForChanges(t.Context(), mirrorRequest{Sender: "b", AfterRevision: 3, WaitMs: 3000})
	}()
	time.Sleep(50 * time.Millisecond)
	g.mirrorSyncer.mu.Lock()
	g.mirrorSyncer.applyChanges(g.mirrorSyncer.reader.HandleEvents(mirror.Call{}, g.mirrorSyncer.now(), []mirror.Item{mirror.NewItem("b", nil, revisionAt(4))}, revisionAt(4)))
	g.mirrorSyncer.mu.Unlock()
	select {
	case r := <-reply:
		assert.Equal(t, uint64(4), r.Revision)
		assert.Len(t, r.Items, 1)
	case <-time.After(time.Second):
		t.Fatal("no reply to the follower within a second of the change")
	}
	began := time.Now()
	r := g.mirrorSyncer.waitForChanges(t.Context(), mirrorRequest{Sender: "b", AfterRevision: 4, WaitMs: 60})
	assert.Empty(t, r.Items)
	assert.Less(t, time.Since(began), 500*time.Millisecond)
}

// delayedWatch is a store whose Watch returns a page that was ready at the call only once
// sent is closed. It closes called first.
type delayedWatch struct {
	Store
	page         Page
	called, sent chan struct{}
}

func (d delayedWatch) Watch(context.Context, string, uint64, clock.Millis) (Page, error) {
	close(d.called)
	<-d.sent
	return d.page, nil
}

// Guards against requests to a replica that has left: a reply of the store from before the
// removal arrives after the daemon has learnt of the removal from a peer.
func TestDelayedWatchDoesNotListReplicaThatLeft(t *testing.T) {
	s := newTestGateway(t).mirrorSyncer
	s.applyChanges(s.reader.HandlePage(mirror.Call{}, s.now(), []mirror.Item{
		mirror.NewItem("servers/left", nil, revisionAt(3)), mirror.NewItem("servers/stays", nil, revisionAt(4)),
	}, revisionAt(4), false))
	store := delayedWatch{
		page:   Page{Items: []mirror.Item{mirror.NewItem("servers/left", nil, revisionAt(5))}, Revision: revisionAt(6)},
		called: make(chan struct{}), sent: make(chan struct{}),
	}
	s.store = store
	call := s.reader.Next(s.now())
	require.Equal(t, mirror.Watch, call.Kind())
	var reading sync.WaitGroup
	reading.Go(func() { s.readStore(t.Context(), call) })
	<-store.called
	s.requestFromPeer(t.Context(), string(newMirrorPeer(t, 9, "servers/stays")), startPeerRound(t, s))
	close(store.sent)
	reading.Wait()
	_, listed := s.mirror.Get("servers/left")
	assert.False(t, listed)
	assert.Equal(t, revisionAt(9), s.mirror.Revision())
	_, _, calls := s.storeMetrics()
	assert.EqualValues(t, 1, calls["watch.outdated"])
}

// Guards against a replica that has left and is used again, because a daemon has read the mirror
// of a peer that lists the store in pages, and doesn't know which revisions these are from.
func TestPeerStatesLastPageOfListing(t *testing.T) {
	peer, s := newTestGateway(t), newTestGateway(t).mirrorSyncer
	reader := peer.mirrorSyncer.reader
	items := []mirror.Item{mirror.NewItem("servers/a", nil, revisionAt(3)), mirror.NewItem("servers/c", nil, revisionAt(15))}
	for i, revision := range []uint64{10, 15} {
		reader.HandlePage(reader.Begin(reader.Next(s.now()), s.now(), 0), s.now(), items[i:i+1], revisionAt(revision), i == 0)
	}
	server := httptest.NewServer(peer.peerHandler())
	defer server.Close()
	s.requestFromPeer(t.Context(), server.Listener.Addr().String(), startPeerRound(t, s))
	assert.Equal(t, revisionAt(10), s.mirror.Revision())
	assert.Equal(t, revisionAt(15), s.reader.ListedThrough())
}

// Guards against a panic on malformed crash records of a peer.
func TestMalformedCrashRecordsAreIgnored(t *testing.T) {
	g := newTestGateway(t)
	for _, key := range []string{"", "x", "zz/i-1", "/i-1", "12"} {
		g.handleRecord(newCrashRecord(key, "i-1"))
		g.handleRecord(newQuarantineRecord(key, clock.Minute))
	}
	for _, id := range []string{"i-1", "i-2"} {
		g.handleRecord(newCrashRecord("12/"+id, id))
	}
}

// tenantTable is an Interpreter that puts a configuration with a tenant in force.
type tenantTable struct{ t *testing.T }

func (i tenantTable) Updates(item mirror.Item) []routing.StoreUpdate {
	table, err := route.NewTable(item.Revision().Number(), nil, nil, route.Limits{})
	require.NoError(i.t, err)
	table, err = table.WithTenants(route.NewKeyHasher(nil), []route.TenantKeys{{Tenant: route.NewTenant("a", 0, 0, 0), Keys: []string{"k"}}})
	require.NoError(i.t, err)
	return []routing.StoreUpdate{{Table: table}}
}

// Guards against a proof that is not passed on with the time for which the request was
// held, against a follower that gets a later proof only at the end of its wait, and against
// proofs in the messages of a deployment without tenants.
func TestProofIsPassedOnToFollower(t *testing.T) {
	for name, interpreter := range map[string]Interpreter{"tenants": tenantTable{t}, "no tenants": noUpdates{}} {
		t.Run(name, func(t *testing.T) {
			manual := &clock.Manual{}
			s := newTestGateway(t).mirrorSyncer
			s.gateway.dependencies.Interpreter, s.gateway.dependencies.SuspendingClock = interpreter, manual.Clock()
			call := s.reader.Begin(s.reader.Next(s.now()), s.now(), s.suspendingNow())
			s.applyChanges(s.reader.HandlePage(call, s.now(), []mirror.Item{mirror.NewItem("a", nil, revisionAt(3))}, revisionAt(3), false))
			manual.Advance(1000)
			request := mirrorRequest{Sender: "b", AfterRevision: 3, WaitMs: 300}
			if s.gateway.engine.HasTenants() {
				request.ProofAgeMs, request.WaitMs = 1010, 30_000
			}
			arrived, reply := make(chan struct{}), make(chan mirrorReply)
			go func() {
				close(arrived)
				reply <- s.waitForChanges(t.Context(), request)
			}()
			<-arrived
			time.Sleep(100 * time.Millisecond) // until the request waits
			manual.Advance(400)
			s.mu.Lock()
			call = s.reader.Begin(s.reader.Next(s.now()), s.now(), s.suspendingNow())
			manual.Advance(50)
			s.applyChanges(s.reader.HandleEvents(call, s.now(), nil, revisionAt(3)))
			s.mu.Unlock()
			got := <-reply
			if !s.gateway.engine.HasTenants() {
				assert.Nil(t, got.Proof)
				return
			}
			require.NotNil(t, got.Proof)
			assert.Equal(t, wireProof{AgeMs: 50, HeldMs: 450}, *got.Proof)
		})
	}
}

// slowStore answers each call after a delay, unless it is cancelled.
type slowStore struct {
	Store

	delay time.Duration
}

func (s slowStore) reply(ctx context.Context, page Page) (Page, error) {
	if !sleep(ctx, clock.FromDuration(s.delay)) {
		return Page{}, ctx.Err()
	}
	return page, nil
}

func (s slowStore) List(ctx context.Context, _, _ string) (Page, error) {
	return s.reply(ctx, Page{Items: []mirror.Item{mirror.NewItem("a", nil, revisionAt(3))}, Revision: revisionAt(3)})
}

func (s slowStore) Watch(ctx context.Context, _ string, after uint64, _ clock.Millis) (Page, error) {
	return s.reply(ctx, Page{Items: []mirror.Item{mirror.NewItem("a", nil, revisionAt(after+1))}, Revision: revisionAt(after + 1)})
}

func (slowStore) Put(context.Context, string, []byte) error { return nil }

// Guards against a daemon that never reads a store whose replies come after the timeouts of its
// calls.
func TestRepliesAfterTimeoutAreApplied(t *testing.T) {
	s := newTestGateway(t).mirrorSyncer
	s.store = slowStore{delay: 2200 * time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.run(ctx) })
	assert.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.mirror.Revision().Number() > 3
	}, 10*time.Second, 20*time.Millisecond)
	cancel()
	requireEndsSoon(t, "a call stays open after the stop", running.Wait)
	_, _, calls := s.storeMetrics()
	assert.Positive(t, calls["list.late"])
	assert.Positive(t, calls["watch.late"])
}

// hungPut is a store whose Put returns once released is closed.
type hungPut struct {
	Store
	calls    atomic.Int64
	called   chan struct{} // receives at each call
	released chan struct{}
}

func (h *hungPut) Put(context.Context, string, []byte) error {
	h.calls.Add(1)
	h.called <- struct{}{}
	<-h.released
	return nil
}

// Guards against changes that are late because reads of a slow store wait for the write of the
// registration, and against writes that overlap.
func TestRegistrationDoesNotDelayReads(t *testing.T) {
	s := newTestGateway(t).mirrorSyncer
	s.applyChanges(s.reader.HandlePage(mirror.Call{}, s.now(), []mirror.Item{mirror.NewItem("a", nil, revisionAt(3))}, revisionAt(3), false))
	store := &hungPut{called: make(chan struct{}, 2), released: make(chan struct{})}
	s.store = store
	requireEndsSoon(t, "a read waits for the registration", func() { s.register(t.Context()) })
	<-store.called
	s.register(t.Context())
	close(store.released)
	s.calls.Wait()
	s.register(t.Context())
	s.calls.Wait()
	assert.Equal(t, int64(1), store.calls.Load())
}

// lostPage is a store that never answers the first call of a listing, and the second one after
// a delay.
type lostPage struct {
	slowStore

	calls atomic.Int64
}

func (l *lostPage) List(ctx context.Context, prefix, afterKey string) (Page, error) {
	if l.calls.Add(1) == 1 {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return l.slowStore.List(ctx, prefix, afterKey)
}

// Guards against a daemon that reads the store only after the timeout of a call that is never
// answered.
func TestLostPageIsRequestedAgain(t *testing.T) {
	s := newTestGateway(t).mirrorSyncer
	s.store = &lostPage{slowStore: slowStore{delay: 10 * time.Millisecond}}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.run(ctx) })
	assert.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.mirror.Complete()
	}, 700*time.Millisecond, 5*time.Millisecond)
	cancel()
	requireEndsSoon(t, "a call stays open after the stop", running.Wait)
}

// Guards against complete copies for each request of a daemon that does not know eras, during an
// upgrade of the fleet.
func TestFollowerWithoutEraGetsChanges(t *testing.T) {
	s := newTestGateway(t).mirrorSyncer
	era := mirror.NewEra(3, 0)
	s.applyChanges(s.reader.HandlePage(mirror.Call{}, s.now(), []mirror.Item{mirror.NewItem("a", nil, mirror.NewRevision(era, 3))},
		mirror.NewRevision(era, 4), false))
	began := time.Now()
	reply := s.waitForChanges(t.Context(), mirrorRequest{Sender: "b", AfterRevision: 4, WaitMs: 60})
	assert.Empty(t, reply.Items)
	assert.GreaterOrEqual(t, time.Since(began), 60*time.Millisecond)
	assert.Len(t, s.waitForChanges(t.Context(), mirrorRequest{Sender: "b"}).Items, 1, "a first copy")

	began = time.Now()
	reply = s.waitForChanges(t.Context(), newMirrorRequest("b", mirror.NewRevision(mirror.NewEra(2, 0), 4)))
	assert.True(t, reply.Complete, "of an earlier era")
	reply = s.waitForChanges(t.Context(), newMirrorRequest("b", mirror.NewRevision(mirror.NewEra(4, 0), 4)))
	assert.Empty(t, reply.Items, "of a later era")
	assert.Less(t, time.Since(began), time.Second)
}
