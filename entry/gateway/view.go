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

const viewTick = 250 * time.Millisecond

// view keeps the mirror of the store, and turns its changes into facts for the
// engine.
type view struct {
	gateway *Gateway
	log     logr.Logger
	store   Store
	random  *rand.Rand

	sources atomic.Pointer[[]string]

	mu         sync.Mutex
	mirror     mirror.Mirror
	reader     *mirror.Reader
	known      bool
	registered bool
	news       chan struct{} // closed when the mirror changes
	observed   observed
	calls      map[string]int64 // by kind and outcome
}

func newView(g *Gateway) *view {
	v := &view{
		gateway: g, log: g.log.WithName("store"), store: g.ports.Store, random: derive(g.ports.Random),
		news: make(chan struct{}), calls: make(map[string]int64),
	}
	v.reader = mirror.NewReader(g.began, &v.mirror, derive(g.ports.Random))
	return v
}

func (v *view) now() clock.Millis { return v.gateway.ports.Clock.Now() }

func (v *view) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { v.ask(ctx) })
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
		v.read(ctx, call)
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

// read carries out a read of the store.
func (v *view) read(life context.Context, call mirror.Call) {
	ctx, cancel := context.WithTimeout(life, call.Timeout().Duration())
	defer cancel()
	v.mu.Lock()
	v.reader.Begin(v.now())
	v.mu.Unlock()
	if call.Kind() == mirror.Follow {
		v.follow(ctx, call)
		return
	}
	var page Page
	var err error
	if call.Kind() == mirror.List {
		page, err = v.store.List(ctx, v.gateway.config.Prefix, call.AfterKey())
	} else {
		page, err = v.store.Watch(ctx, v.gateway.config.Prefix, call.AfterRevision(), call.Wait())
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	v.count(call.Kind().String(), err)
	if err != nil {
		if life.Err() == nil && v.reader.RecordFailure(now, err) {
			v.log.Info("store lost", "error", err.Error())
		}
		return
	}
	if !v.reader.StoreReachable() {
		v.log.Info("store reached", "revision", page.Revision)
	}
	if call.Kind() == mirror.List {
		v.learn(v.reader.HandlePage(now, page.Items, page.Revision, page.More))
	} else {
		v.learn(v.reader.HandleEvents(now, page.Items, page.Revision))
	}
	v.learn(v.mirror.Expire(now))
}

// setSources names the peers that may be followed. It does not take the lock:
// the roster calls it under its own, and the view calls the roster under its.
func (v *view) setSources(peers []string) { v.sources.Store(&peers) }

// follow waits for changes at a peer, and exchanges observations with it.
func (v *view) follow(ctx context.Context, call mirror.Call) {
	ask := viewAsk{
		From: v.gateway.config.Peers, After: call.AfterRevision(), Wait: float64(call.Wait()),
		Observed: toWire(v.gateway.engine.Observations()),
	}
	reply, err := fetch(ctx, v.gateway.config.Key, call.Peer(), ask)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.count(call.Kind().String(), err)
	if err != nil {
		v.reader.RecordSourceFailure(v.now(), call.Peer())
		v.log.Info("peer is not followed for a while", "peer", call.Peer(), "error", err.Error())
		return
	}
	v.learn(v.reader.HandleFollowReply(v.now(), call.Peer(), reply.items(), reply.Complete, reply.Revision, clock.Millis(reply.Age)))
	v.learn(v.mirror.Expire(v.now()))
	v.gateway.engine.ReceiveObservations(fromWire(reply.Observed))
}

// learn hands changes of the mirror to the engine. The caller holds the lock.
func (v *view) learn(changes []mirror.Item) {
	now := v.now()
	v.gateway.engine.RecordStoreView(now - v.reader.Age(now))
	var facts []routing.StoreUpdate
	var seeds []string
	registry := v.gateway.config.Registry
	for _, item := range changes {
		if registry != "" && strings.HasPrefix(item.Key(), registry) {
			if !item.Removed() {
				seeds = append(seeds, strings.TrimPrefix(item.Key(), registry))
			}
			continue
		}
		facts = append(facts, v.gateway.ports.Interpreter.Facts(item)...)
	}
	if len(seeds) > 0 {
		v.gateway.roster.AddSeeds(seeds)
	}
	if len(facts) > 0 {
		v.gateway.engine.ApplyUpdates(facts)
	}
	if len(changes) > 0 {
		close(v.news)
		v.news = make(chan struct{})
	}
	if !v.known && v.mirror.Complete() && v.gateway.engine.Version() > 0 {
		v.known = true
		close(v.gateway.complete)
	}
}

// count counts a call. The caller holds the lock.
func (v *view) count(kind string, err error) {
	switch {
	case err == nil:
		kind += ".ok"
	case errors.Is(err, mirror.ErrCompacted):
		kind += ".compacted"
	default:
		kind += ".failed"
	}
	v.calls[kind]++
}

func (v *view) figures() (reached, age int64, calls map[string]int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reader.StoreReachable() {
		reached = 1
	}
	return reached, int64(v.reader.Age(v.now())), maps.Clone(v.calls)
}

// register writes this daemon's address to the store once, so that daemons
// find each other without seeds.
func (v *view) register(ctx context.Context) {
	registry := v.gateway.config.Registry
	if v.registered || registry == "" {
		return
	}
	v.mu.Lock()
	complete := v.mirror.Complete()
	_, listed := v.mirror.Get(registry + v.gateway.config.Peers)
	v.mu.Unlock()
	if !complete {
		return
	}
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if err := v.store.Put(ctx, registry+v.gateway.config.Peers, []byte(v.gateway.config.DataCentre)); err != nil {
			return
		}
	}
	v.registered = true
}

// ask asks peers while the store does not answer this daemon.
func (v *view) ask(ctx context.Context) {
	for sleep(ctx, clock.FromDuration(viewTick)) {
		v.mu.Lock()
		now := v.now()
		wanted := v.reader.StartPeerRequest(now)
		after := v.mirror.Revision()
		if !v.mirror.Complete() {
			after = 0
		}
		v.learn(v.mirror.Expire(now))
		v.mu.Unlock()
		if !wanted {
			continue
		}
		if peers := v.gateway.roster.LinkedPeers(); len(peers) > 0 {
			v.askPeer(ctx, string(peers[v.random.IntN(len(peers))]), after)
		}
	}
}

func (v *view) askPeer(ctx context.Context, peer string, after uint64) {
	reply, err := fetch(ctx, v.gateway.config.Key, peer, viewAsk{From: v.gateway.config.Peers, After: after})
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			v.log.V(1).Info("peer did not tell", "peer", peer, "error", err.Error())
		}
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.learn(v.reader.HandlePeerReply(v.now(), reply.items(), reply.Complete, reply.Revision, clock.Millis(reply.Age)))
}

// await returns what a peer does not know yet, as soon as there is something.
func (v *view) await(ctx context.Context, ask viewAsk) viewReply {
	v.hear(ask)
	limit := time.After(min(clock.Millis(ask.Wait), maxFollowWait).Duration())
	for {
		v.mu.Lock()
		news := v.news
		v.mu.Unlock()
		reply := v.tell(ask)
		if ask.Wait <= 0 || reply.Revision == 0 || len(reply.Items) > 0 {
			return reply
		}
		select {
		case <-news:
		case <-limit:
			return v.tell(ask)
		case <-ctx.Done():
			return reply
		}
	}
}

// maxFollowWait bounds how long a peer may let this daemon wait for news.
const maxFollowWait = 5 * clock.Second

// hear takes what a daemon that follows this one has observed.
func (v *view) hear(ask viewAsk) {
	v.gateway.engine.ReceiveObservations(fromWire(ask.Observed))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observed.hear(v.now(), ask.From, ask.Observed)
}

// observations returns what a daemon that follows this one is told about
// replicas. The caller holds the lock.
func (v *view) observations(follower string) []viewObservation {
	if now := v.now(); v.observed.due(now) {
		v.observed.hear(now, v.gateway.config.Peers, toWire(v.gateway.engine.Observations()))
		v.observed.merge(now)
	}
	return v.observed.except(follower)
}

// tell returns what a peer does not know yet.
func (v *view) tell(ask viewAsk) viewReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.mirror.Complete() {
		return viewReply{}
	}
	items, complete, revision := v.mirror.ChangesSince(ask.After)
	reply := viewReply{Complete: complete, Revision: revision, Age: float64(v.reader.Age(v.now())), Observed: v.observations(ask.From)}
	for _, item := range items {
		reply.Items = append(reply.Items, viewItem{
			Key: item.Key(), Value: item.Value(), Revision: item.Revision(), Removed: item.Removed(),
		})
	}
	return reply
}
