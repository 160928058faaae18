package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/entry/routing"
)

const peerPollInterval = 250 * time.Millisecond

// mirrorSyncer keeps the mirror of the store, and turns its changes into facts for the
// engine.
type mirrorSyncer struct {
	gateway *Gateway
	log     logr.Logger
	store   Store
	random  *rand.Rand

	sources atomic.Pointer[[]string]

	mu           sync.Mutex
	mirror       mirror.Mirror
	reader       *mirror.Reader
	configured   bool
	registered   bool
	changed      chan struct{} // closed when the mirror changes
	observations observationMerger
	callCounts   map[string]int64 // by kind and outcome
}

func newMirrorSyncer(g *Gateway) *mirrorSyncer {
	v := &mirrorSyncer{
		gateway: g, log: g.log.WithName("store"), store: g.dependencies.Store, random: deriveGenerator(g.dependencies.Random),
		changed: make(chan struct{}), callCounts: make(map[string]int64),
	}
	v.reader = mirror.NewReader(g.startedAt, &v.mirror, deriveGenerator(g.dependencies.Random))
	return v
}

func (v *mirrorSyncer) now() clock.Millis { return v.gateway.dependencies.Clock.Now() }

func (v *mirrorSyncer) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { v.pollPeers(ctx) })
	for ctx.Err() == nil {
		v.mu.Lock()
		now := v.now()
		if peers := v.sources.Load(); peers != nil {
			v.reader.SetSources(*peers)
		}
		call := v.reader.Next(now)
		v.mu.Unlock()
		if !sleep(ctx, call.At()-now) {
			return
		}
		v.readStore(ctx, call)
		v.register(ctx)
	}
}

func sleep(ctx context.Context, delay clock.Millis) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// readStore carries out a read of the store.
func (v *mirrorSyncer) readStore(parent context.Context, call mirror.Call) {
	ctx, cancel := context.WithTimeout(parent, call.Timeout().Duration())
	defer cancel()
	v.mu.Lock()
	v.reader.Begin(v.now())
	v.mu.Unlock()
	if call.Kind() == mirror.Follow {
		v.followPeer(ctx, call)
		return
	}
	var page Page
	var err error
	if call.Kind() == mirror.List {
		page, err = v.store.List(ctx, v.gateway.config.StorePrefix, call.AfterKey())
	} else {
		page, err = v.store.Watch(ctx, v.gateway.config.StorePrefix, call.AfterRevision(), call.Wait())
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	v.recordCall(call.Kind().String(), err)
	if err != nil {
		if parent.Err() == nil && v.reader.RecordFailure(now, err) {
			v.log.Info("store lost", "error", err.Error())
		}
		return
	}
	if !v.reader.StoreReachable() {
		v.log.Info("store reached", "revision", page.Revision)
	}
	if call.Kind() == mirror.List {
		v.applyChanges(v.reader.HandlePage(now, page.Items, page.Revision, page.More))
	} else {
		v.applyChanges(v.reader.HandleEvents(now, page.Items, page.Revision))
	}
	v.applyChanges(v.mirror.Expire(now))
}

// setSources names the peers that may be followed. It does not take the lock:
// the roster calls it under its own, and the view calls the roster under its.
func (v *mirrorSyncer) setSources(peers []string) { v.sources.Store(&peers) }

// followPeer waits for changes at a peer, and exchanges observations with it.
func (v *mirrorSyncer) followPeer(ctx context.Context, call mirror.Call) {
	ask := mirrorRequest{
		Sender: v.gateway.config.PeerAddress, AfterRevision: call.AfterRevision(), WaitMs: float64(call.Wait()),
		Observations: encodeObservations(v.gateway.engine.Observations()),
	}
	reply, err := fetchMirror(ctx, v.gateway.config.Key, call.Peer(), ask)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordCall(call.Kind().String(), err)
	if err != nil {
		v.reader.RecordSourceFailure(v.now(), call.Peer())
		v.log.Info("peer is not followed for a while", "peer", call.Peer(), "error", err.Error())
		return
	}
	v.applyChanges(v.reader.HandleFollowReply(v.now(), call.Peer(), reply.items(), reply.Complete, reply.Revision, clock.Millis(reply.AgeMs)))
	v.applyChanges(v.mirror.Expire(v.now()))
	v.gateway.engine.Hear(decodeObservations(reply.Observations))
}

// applyChanges hands changes of the mirror to the engine. The caller holds the lock.
func (v *mirrorSyncer) applyChanges(changes []mirror.Item) {
	now := v.now()
	v.gateway.engine.Viewed(now - v.reader.Age(now))
	var facts []routing.Fact
	var seeds []string
	registry := v.gateway.config.RegistryPrefix
	for _, item := range changes {
		if registry != "" && strings.HasPrefix(item.Key(), registry) {
			if !item.Removed() {
				seeds = append(seeds, strings.TrimPrefix(item.Key(), registry))
			}
			continue
		}
		facts = append(facts, v.gateway.dependencies.Interpreter.Facts(item)...)
	}
	if len(seeds) > 0 {
		v.gateway.roster.AddSeeds(seeds)
	}
	if len(facts) > 0 {
		v.gateway.engine.Learn(facts)
	}
	if len(changes) > 0 {
		close(v.changed)
		v.changed = make(chan struct{})
	}
	if !v.configured && v.mirror.Complete() && v.gateway.engine.Version() > 0 {
		v.configured = true
		close(v.gateway.configured)
	}
}

// recordCall counts a call. The caller holds the lock.
func (v *mirrorSyncer) recordCall(kind string, err error) {
	switch {
	case err == nil:
		kind += ".ok"
	case errors.Is(err, mirror.ErrCompacted):
		kind += ".compacted"
	default:
		kind += ".failed"
	}
	v.callCounts[kind]++
}

func (v *mirrorSyncer) storeMetrics() (reached, age int64, calls map[string]int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reader.StoreReachable() {
		reached = 1
	}
	return reached, int64(v.reader.Age(v.now())), maps.Clone(v.callCounts)
}

// register writes this daemon's address to the store once, so that daemons
// find each other without seeds.
func (v *mirrorSyncer) register(ctx context.Context) {
	registry := v.gateway.config.RegistryPrefix
	if v.registered || registry == "" {
		return
	}
	v.mu.Lock()
	complete := v.mirror.Complete()
	_, listed := v.mirror.Get(registry + v.gateway.config.PeerAddress)
	v.mu.Unlock()
	if !complete {
		return
	}
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if err := v.store.Put(ctx, registry+v.gateway.config.PeerAddress, []byte(v.gateway.config.DataCentre)); err != nil {
			return
		}
	}
	v.registered = true
}

// pollPeers asks peers while the store does not answer this daemon.
func (v *mirrorSyncer) pollPeers(ctx context.Context) {
	for sleep(ctx, clock.FromDuration(peerPollInterval)) {
		v.mu.Lock()
		now := v.now()
		wanted := v.reader.StartPeerRequest(now)
		after := v.mirror.Revision()
		if !v.mirror.Complete() {
			after = 0
		}
		v.applyChanges(v.mirror.Expire(now))
		v.mu.Unlock()
		if !wanted {
			continue
		}
		if peers := v.gateway.roster.Peers(); len(peers) > 0 {
			v.requestFromPeer(ctx, string(peers[v.random.IntN(len(peers))]), after)
		}
	}
}

func (v *mirrorSyncer) requestFromPeer(ctx context.Context, peer string, after uint64) {
	reply, err := fetchMirror(ctx, v.gateway.config.Key, peer, mirrorRequest{Sender: v.gateway.config.PeerAddress, AfterRevision: after})
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			v.log.V(1).Info("peer did not tell", "peer", peer, "error", err.Error())
		}
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyChanges(v.reader.HandlePeerReply(v.now(), reply.items(), reply.Complete, reply.Revision, clock.Millis(reply.AgeMs)))
}

// waitForChanges returns what a peer does not know yet, as soon as there is something.
func (v *mirrorSyncer) waitForChanges(ctx context.Context, ask mirrorRequest) mirrorReply {
	v.recordObservations(ask)
	limit := time.After(min(clock.Millis(ask.WaitMs), maxFollowWait).Duration())
	for {
		v.mu.Lock()
		news := v.changed
		v.mu.Unlock()
		reply := v.changesFor(ask)
		if ask.WaitMs <= 0 || reply.Revision == 0 || len(reply.Items) > 0 {
			return reply
		}
		select {
		case <-news:
		case <-limit:
			return v.changesFor(ask)
		case <-ctx.Done():
			return reply
		}
	}
}

// maxFollowWait bounds how long a peer may let this daemon wait for news.
const maxFollowWait = 5 * clock.Second

// recordObservations takes what a daemon that follows this one has observed.
func (v *mirrorSyncer) recordObservations(ask mirrorRequest) {
	v.gateway.engine.Hear(decodeObservations(ask.Observations))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observations.record(v.now(), ask.Sender, ask.Observations)
}

// observationsFor returns what a daemon that follows this one is told about
// replicas. The caller holds the lock.
func (v *mirrorSyncer) observationsFor(follower string) []wireObservation {
	if now := v.now(); v.observations.mergeDue(now) {
		v.observations.record(now, v.gateway.config.PeerAddress, encodeObservations(v.gateway.engine.Observations()))
		v.observations.merge(now)
	}
	return v.observations.excluding(follower)
}

// changesFor returns what a peer does not know yet.
func (v *mirrorSyncer) changesFor(ask mirrorRequest) mirrorReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.mirror.Complete() {
		return mirrorReply{}
	}
	items, complete, revision := v.mirror.ChangesSince(ask.AfterRevision)
	reply := mirrorReply{Complete: complete, Revision: revision, AgeMs: float64(v.reader.Age(v.now())), Observations: v.observationsFor(ask.Sender)}
	for _, item := range items {
		reply.Items = append(reply.Items, wireItem{
			Key: item.Key(), Value: item.Value(), Revision: item.Revision(), Removed: item.Removed(),
		})
	}
	return reply
}
