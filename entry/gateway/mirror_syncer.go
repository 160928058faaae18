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
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/entry/routing"
)

// outdatedAge is the age of the mirror from which it is reported as outdated.
const outdatedAge = 2 * clock.Second

// peerPollInterval is the interval at which pollPeers checks whether to request changes
// from a peer, and applies the held removals that are due.
const peerPollInterval = 250 * time.Millisecond

// registrationTimeout is that of a write of this daemon's registration.
const registrationTimeout = time.Second

// mirrorSyncer keeps the mirror in sync with the store, directly or through a peer,
// and applies its changes to the engine and the tracker. It is safe for concurrent
// use.
type mirrorSyncer struct {
	gateway *Gateway
	log     logr.Logger
	store   Store
	random  *rand.Rand

	sources     atomic.Pointer[[]string]   // peers that may be followed
	recordedEra atomic.Pointer[mirror.Era] // latest one in records of peers
	calls       sync.WaitGroup             // calls of the store that are open
	replied     chan struct{}              // receives after the reply to a call of the store

	mu            sync.Mutex
	mirror        mirror.Mirror
	reader        *mirror.Reader
	registration  *mirror.Registration
	configured    bool          // whether Gateway.configured is closed
	changed       chan struct{} // closed when the mirror changes
	observations  replica.ObservationMerger
	callCounts    map[string]int64 // by kind of call and outcome
	silentEntries int64            // taken out of effect so far
	outdatedFrom  clock.Millis     // when the mirror was last current before it became outdated; 0 while it is not
}

func newMirrorSyncer(g *Gateway) *mirrorSyncer {
	s := &mirrorSyncer{
		gateway: g, log: g.log.WithName("store"), store: g.dependencies.Store,
		random:  deriveGenerator(g.dependencies.Random),
		replied: make(chan struct{}, 1), changed: make(chan struct{}), callCounts: make(map[string]int64),
	}
	s.mirror.SetSchema(g.dependencies.Schema)
	s.reader = mirror.NewReader(g.startedAt, &s.mirror, deriveGenerator(g.dependencies.Random))
	s.registration = mirror.NewRegistration(deriveGenerator(g.dependencies.Random))
	s.reader.SetMaxProofAge(g.config.MaxProofAge)
	return s
}

func (s *mirrorSyncer) now() clock.Millis { return s.gateway.dependencies.Clock.Now() }

// suspendingNow returns the current instant on the clock that counts suspension.
func (s *mirrorSyncer) suspendingNow() clock.Millis {
	return s.gateway.dependencies.SuspendingClock.Now()
}

// run reads the store, or follows a peer, until ctx ends.
func (s *mirrorSyncer) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	defer s.calls.Wait()
	wait.Go(func() { s.pollPeers(ctx) })
	for ctx.Err() == nil {
		s.mu.Lock()
		now := s.now()
		if peers := s.sources.Load(); peers != nil {
			s.reader.SetSources(*peers)
		}
		if era := s.recordedEra.Load(); era != nil {
			s.reader.ObserveEra(now, *era)
		}
		call := s.reader.Next(now)
		s.mu.Unlock()
		if delay := call.At() - now; delay > 0 {
			// A late reply or a new source may change the call meanwhile.
			if !sleep(ctx, delay) {
				return
			}
			continue
		}
		s.readStore(ctx, call)
		s.register(ctx)
	}
}

// sleep waits for the delay. It returns false if ctx ends first.
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

// storeCall is a call of the store that is open.
type storeCall struct {
	mirror.Call

	began clock.Millis
	done  chan struct{} // closed when the call has ended or failed

	// The lock of the syncer guards the following.
	failed bool // it had no reply by its timeout
	ended  bool
}

// readStore makes a call that the reader has planned, to the store or to a peer. It returns
// when the next one may start. A call of the store without a reply stays open.
func (s *mirrorSyncer) readStore(ctx context.Context, planned mirror.Call) {
	s.mu.Lock()
	began := s.now()
	call := &storeCall{Call: s.reader.Begin(planned, began, s.suspendingNow()), began: began, done: make(chan struct{})}
	s.mu.Unlock()
	if call.Kind() == mirror.Follow {
		ctx, cancel := context.WithTimeout(ctx, call.Timeout().Duration())
		defer cancel()
		s.followPeer(ctx, call.Call)
		return
	}
	s.calls.Go(func() { s.callStore(ctx, call) })
	overdue := time.NewTimer(call.Overdue().Duration())
	defer overdue.Stop()
	for {
		select {
		case <-call.done:
			return
		case <-overdue.C:
			return
		case <-s.replied:
		}
		s.mu.Lock()
		awaited := s.reader.Awaits(call.Call)
		s.mu.Unlock()
		if !awaited {
			return
		}
	}
}

// callStore makes a call of the store and handles its reply, even if it comes after the
// timeout.
func (s *mirrorSyncer) callStore(parent context.Context, call *storeCall) {
	ctx, cancel := context.WithTimeout(parent, call.Limit().Duration())
	defer cancel()
	timeout := time.AfterFunc(call.Timeout().Duration(), func() { s.recordTimeout(call) })
	defer timeout.Stop()
	var page Page
	var err error
	if call.Kind() == mirror.List {
		page, err = s.store.List(ctx, s.gateway.config.StorePrefix, call.AfterKey())
	} else {
		page, err = s.store.Watch(ctx, s.gateway.config.StorePrefix, call.AfterRevision().Number(), call.Wait())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	call.ended = true
	if !call.failed {
		defer close(call.done)
	}
	now := s.now()
	if err != nil {
		if !call.failed {
			s.recordFailure(call, now, err, parent.Err() != nil)
		}
		return
	}
	if call.failed {
		s.callCounts[call.Kind().String()+".late"]++
	} else {
		s.recordCall(call.Kind().String(), nil)
	}
	s.handlePage(call, now, page)
	select {
	case s.replied <- struct{}{}:
	default: // the reader of the store has yet to receive an earlier one
	}
}

// recordTimeout records that a call has had no reply by its timeout.
func (s *mirrorSyncer) recordTimeout(call *storeCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.ended {
		return
	}
	call.failed = true
	s.recordFailure(call, s.now(), errors.Wrapf(mirror.ErrNoReply, "%s", call.Kind().String()), false)
	close(call.done)
}

// recordFailure records the error of a call, unless the daemon stops. The caller holds the
// lock.
func (s *mirrorSyncer) recordFailure(call *storeCall, now clock.Millis, err error, stopping bool) {
	s.recordCall(call.Kind().String(), err)
	switch {
	case stopping:
	case s.reader.RecordFailure(call.Call, now, err):
		s.log.Info("store lost", "error", err.Error(), "took", now-call.began)
	default:
		s.log.V(1).Info("call of the store failed", "kind", call.Kind().String(), "error", err.Error(), "took", now-call.began)
	}
}

// handlePage applies the reply to a call of the store. The caller holds the lock.
func (s *mirrorSyncer) handlePage(call *storeCall, now clock.Millis, page Page) {
	if !s.reader.StoreReachable() {
		s.log.Info("store reached", "revision", page.Revision.String())
	}
	age := s.reader.Age(now)
	mirrored := s.mirror.Revision()
	var changes []mirror.Item
	if call.Kind() == mirror.List {
		changes = s.reader.HandlePage(call.Call, now, page.Items, page.Revision, page.More)
	} else {
		changes = s.reader.HandleEvents(call.Call, now, page.Items, page.Revision)
	}
	s.recordReply(call.Kind().String(), "", mirrored, call.Resolve(page.Revision), changes)
	if call.Kind() == mirror.Watch && len(page.Items) == 0 && page.Revision.Number() > call.AfterRevision().Number() {
		// All keys of a store may be mirrored, so such a reply may lack changes.
		s.callCounts["watch.skipped"]++
		s.log.V(1).Info("watch without changes has a later revision", "after", call.AfterRevision().String(), "revision", page.Revision.String())
	}
	s.logChanges(call.Kind().String(), "", now-call.began, age, changes)
	s.applyChanges(changes)
	s.applyExpired(now)
}

// logChanges logs changes that may have come late, with where they came from, how long
// that call took and the age that the mirror had before. The caller holds the lock.
func (s *mirrorSyncer) logChanges(kind, peer string, took, age clock.Millis, changes []mirror.Item) {
	if len(changes) > 0 && max(took, age) >= outdatedAge/2 {
		s.log.V(1).Info("delayed changes", "kind", kind, "peer", peer, "took", took, "age", age,
			"changes", len(changes), "revision", s.mirror.Revision().String(), "held", s.mirror.Held())
	}
}

// logAge logs when the mirror becomes outdated and when it is current again. The caller
// holds the lock.
func (s *mirrorSyncer) logAge(now clock.Millis) {
	age := s.reader.Age(now)
	switch {
	case age >= outdatedAge && s.outdatedFrom == 0:
		s.outdatedFrom = now - age
		s.log.Info("store data is outdated", "age", age, "revision", s.mirror.Revision().String(), "reachable", s.reader.StoreReachable(),
			"calls", s.callCounts)
	case age < outdatedAge && s.outdatedFrom != 0:
		s.log.Info("store data is current", "lasted", now-s.outdatedFrom, "revision", s.mirror.Revision().String())
		s.outdatedFrom = 0
	}
}

// applyExpired applies the changes that have been held back for long enough, and takes entries
// of silent replicas out of effect. The caller holds the lock.
func (s *mirrorSyncer) applyExpired(now clock.Millis) {
	s.applyHeld(s.mirror.Expire(now), "expired")
	silent := s.mirror.WithdrawSilent(now)
	for _, item := range silent {
		s.log.V(1).Info("entry is not written again", "key", item.Key(), "mirrored", s.mirror.Revision().String())
	}
	if len(silent) > 0 {
		s.silentEntries += int64(len(silent))
		s.applyChanges(silent)
	}
}

// applySettled applies the removals that the reply of a daemon confirms. The caller holds
// the lock.
func (s *mirrorSyncer) applySettled(now clock.Millis, reply mirrorReply, followed bool) {
	if reply.Settled {
		s.applyHeld(s.reader.HandleSettledReply(now, reply.revision(), followed), "confirmed by a peer")
	}
}

// applyHeld applies changes that were held back. The caller holds the lock.
func (s *mirrorSyncer) applyHeld(changes []mirror.Item, cause string) {
	if len(changes) > 0 {
		s.log.V(1).Info("held changes applied", "changes", len(changes), "first", changes[0].Key(), "cause", cause,
			"held", s.mirror.Held(), "retained", s.mirror.Retained())
	}
	s.applyChanges(changes)
}

// recordReply counts and logs a reply that is older than the mirror was when it arrived, with
// the number of changes that it made, and logs when the mirror passes to another era. A peer
// without a copy replies with the zero revision. The caller holds the lock.
func (s *mirrorSyncer) recordReply(kind, peer string, mirrored, revision mirror.Revision, changes []mirror.Item) {
	if !revision.IsZero() && revision.Before(mirrored) {
		s.callCounts[kind+".outdated"]++
		s.log.V(1).Info("outdated reply", "kind", kind, "peer", peer, "revision", revision.String(), "mirrored", mirrored.String(),
			"changes", len(changes))
	}
	if now := s.mirror.Revision(); now.Era() != mirrored.Era() && !mirrored.IsZero() {
		s.log.Info("store was restored from an older copy", "kind", kind, "peer", peer, "revision", now.String(), "mirrored", mirrored.String(),
			"changes", len(changes), "retained", s.mirror.Retained(), "held", s.mirror.Held())
	}
}

// setSources sets the peers that may be followed. It must not take the lock: the
// tracker calls it with its own lock held, and the syncer calls the tracker with its
// lock held, so the two could deadlock.
func (s *mirrorSyncer) setSources(peers []string) { s.sources.Store(&peers) }

// observeEra takes the era in a record of a peer. Like setSources it must not take the lock.
func (s *mirrorSyncer) observeEra(era mirror.Era) {
	for {
		known := s.recordedEra.Load()
		if (known != nil && era.Compare(*known) <= 0) || s.recordedEra.CompareAndSwap(known, &era) {
			return
		}
	}
}

// followPeer waits for changes of the mirror of a peer, and exchanges observations
// of replicas with it.
func (s *mirrorSyncer) followPeer(ctx context.Context, call mirror.Call) {
	request := newMirrorRequest(s.gateway.config.PeerAddress, call.AfterRevision())
	request.WaitMs = float64(call.Wait())
	request.Observations = encodeObservations(s.gateway.engine.Observations())
	sentAt := s.suspendingNow()
	if s.gateway.engine.HasTenants() {
		s.mu.Lock()
		request.ProofAgeMs = float64(s.reader.ProofAge(sentAt))
		s.mu.Unlock()
	}
	began := s.now()
	reply, err := fetchMirror(ctx, s.gateway.config.Key, call.Peer(), request)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.recordCall(call.Kind().String(), err)
	if err != nil {
		s.reader.RecordSourceFailure(now, call.Peer())
		s.log.Info("following a peer failed", "peer", call.Peer(), "error", err.Error(), "took", now-began)
		return
	}
	age := s.reader.Age(now)
	mirrored := s.mirror.Revision()
	changes := s.reader.HandleFollowReply(now, call.Peer(), reply.items(), reply.Complete, reply.revision(),
		mirror.AgeAtArrival(clock.Millis(reply.AgeMs), now-began, call.Wait()))
	s.reader.HandleListedThrough(reply.revision(), reply.through())
	s.recordReply(call.Kind().String(), call.Peer(), mirrored, reply.revision(), changes)
	s.handleProof(sentAt, reply)
	s.logChanges(call.Kind().String(), call.Peer(), now-began, age, changes)
	s.applyChanges(changes)
	s.applySettled(now, reply, true)
	s.applyExpired(now)
	s.gateway.engine.ReceiveObservations(decodeObservations(reply.Observations))
}

// handleProof records the proof in the reply of a peer to a request that was sent at an
// instant. The caller holds the lock, and has applied the reply to the mirror.
func (s *mirrorSyncer) handleProof(sentAt clock.Millis, reply mirrorReply) {
	if reply.Proof != nil {
		s.reader.HandlePeerProof(sentAt, s.suspendingNow(), reply.revision(),
			mirror.PeerProof{Age: clock.Millis(reply.Proof.AgeMs), Held: clock.Millis(reply.Proof.HeldMs)})
	}
}

// applyChanges applies changes of the mirror: registrations of daemons become seeds
// of the tracker, all other items updates of the engine. After these the engine gets the
// proof, which holds only with them. It wakes the followers that wait for changes. The
// caller holds the lock.
func (s *mirrorSyncer) applyChanges(changes []mirror.Item) {
	var updates []routing.StoreUpdate
	var seeds []string
	registry := s.gateway.config.RegistryPrefix
	for _, item := range changes {
		if registry != "" && strings.HasPrefix(item.Key(), registry) {
			if !item.Removed() {
				seeds = append(seeds, strings.TrimPrefix(item.Key(), registry))
			}
			continue
		}
		updates = append(updates, s.gateway.dependencies.Interpreter.Updates(item)...)
	}
	if len(seeds) > 0 {
		s.gateway.tracker.AddSeeds(seeds)
	}
	if len(updates) > 0 {
		// An order restricts the versions before the replicas that come with it are listed.
		if s.gateway.dependencies.Releases != nil {
			s.gateway.releases.apply(updates)
		}
		s.gateway.engine.ApplyUpdates(updates)
	}
	now := s.now()
	s.gateway.engine.RecordStoreView(now - s.reader.Age(now))
	advanced := false
	if provenAt, proven := s.reader.ProvenAt(); proven {
		advanced = s.gateway.engine.RecordProof(provenAt)
	}
	if len(changes) > 0 || advanced {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if !s.configured && s.mirror.Complete() && s.gateway.engine.Version() > 0 {
		s.configured = true
		close(s.gateway.configured)
	}
}

// recordCall counts a call of a kind by its outcome. The caller holds the lock.
func (s *mirrorSyncer) recordCall(kind string, err error) {
	switch {
	case err == nil:
		kind += ".ok"
	case errors.Is(err, mirror.ErrCompacted):
		kind += ".compacted"
	default:
		kind += ".failed"
	}
	s.callCounts[kind]++
}

// era returns the era of the mirror.
func (s *mirrorSyncer) era() mirror.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirror.Revision().Era()
}

// restoreMetrics returns the era that the store states, the number of later restores that
// were inferred, the number of keys that differ from the store, and the number of entries of
// silent replicas so far.
func (s *mirrorSyncer) restoreMetrics() (stated, inferred, retained, silent int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.mirror.Revision().Era()
	return int64(era.Stated()), int64(era.Inferred()), int64(s.mirror.Retained()), s.silentEntries
}

// storeMetrics returns 1 or 0 for whether the store is reachable, the age of the
// mirror in milliseconds, and the number of calls by kind and outcome.
func (s *mirrorSyncer) storeMetrics() (reached, age int64, calls map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader.StoreReachable() {
		reached = 1
	}
	return reached, int64(s.reader.Age(s.now())), maps.Clone(s.callCounts)
}

// heldRemovals returns the number of removals that are held back.
func (s *mirrorSyncer) heldRemovals() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.mirror.Held())
}

// register writes this daemon's address to the store, unless it is listed there, so
// that daemons find each other without seeds. It succeeds once in each era, and is tried
// again after each read until then. It does not wait for the store, whose delay would add
// to that of changes.
func (s *mirrorSyncer) register(ctx context.Context) {
	registry := s.gateway.config.RegistryPrefix
	if registry == "" {
		return
	}
	key := registry + s.gateway.config.PeerAddress
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.mirror.Revision().Era()
	if !s.mirror.Complete() || !s.registration.Begin(s.now(), era, s.mirror.Stored(key)) {
		return
	}
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
		defer cancel()
		err := s.store.Put(ctx, key, []byte(s.gateway.config.DataCentre))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.registration.RecordWrite(era, err == nil)
	})
}

// pollPeers requests changes from random peers while the store is unreachable for
// this daemon.
func (s *mirrorSyncer) pollPeers(ctx context.Context) {
	var rounds sync.WaitGroup
	defer rounds.Wait()
	for sleep(ctx, clock.FromDuration(peerPollInterval)) {
		s.mu.Lock()
		now := s.now()
		round, due := s.reader.StartPeerRound(now, s.suspendingNow())
		s.applyExpired(now)
		s.logAge(now)
		s.mu.Unlock()
		if !due {
			continue
		}
		peers := s.gateway.tracker.LinkedPeers()
		s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		rounds.Go(func() { s.runPeerRound(ctx, round, peers) })
	}
}

// runPeerRound asks peers in the given order until the round ends. It does not wait for
// peers that are late.
func (s *mirrorSyncer) runPeerRound(ctx context.Context, round *mirror.PeerRound, peers []fleet.ID) {
	var requests sync.WaitGroup
	defer func() {
		requests.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		round.End()
	}()
	for _, peer := range peers {
		s.mu.Lock()
		next, delay := round.Next(), round.Delay()
		s.mu.Unlock()
		if !next {
			return
		}
		replied := make(chan struct{})
		requests.Go(func() {
			defer close(replied)
			s.requestFromPeer(ctx, string(peer), round)
		})
		late := time.NewTimer(delay.Duration())
		select {
		case <-replied:
		case <-late.C:
		}
		late.Stop()
	}
}

// requestFromPeer requests the changes of a peer's mirror, applies them and records the
// reply in the round.
func (s *mirrorSyncer) requestFromPeer(ctx context.Context, peer string, round *mirror.PeerRound) {
	s.mu.Lock()
	after := s.mirror.Revision()
	if !s.mirror.Complete() {
		after = mirror.Revision{}
	}
	s.mu.Unlock()
	began, sentAt := s.now(), s.suspendingNow()
	reply, err := fetchMirror(ctx, s.gateway.config.Key, peer,
		newMirrorRequest(s.gateway.config.PeerAddress, after))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.recordCall("peer", err)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			s.log.V(1).Info("reading the mirror of a peer failed", "peer", peer, "error", err.Error(), "took", now-began)
		}
		return
	}
	age := s.reader.Age(now)
	mirrored := s.mirror.Revision()
	peerAge := mirror.AgeAtArrival(clock.Millis(reply.AgeMs), now-began, 0)
	changes := s.reader.HandlePeerReply(now, reply.items(), reply.Complete, reply.revision(), peerAge)
	s.reader.HandleListedThrough(reply.revision(), reply.through())
	s.recordReply("peer", peer, mirrored, reply.revision(), changes)
	s.handleProof(sentAt, reply)
	s.logChanges("peer", peer, now-began, age, changes)
	s.applyChanges(changes)
	s.applySettled(now, reply, false)
	round.RecordReply(reply.revision(), peerAge, reply.Settled)
}

// waitForChanges returns the changes that a follower does not have yet. If there are
// none, it waits for them up to the follower's limit. It also returns when this daemon has
// a later proof, by whose age the follower's would otherwise grow.
func (s *mirrorSyncer) waitForChanges(ctx context.Context, request mirrorRequest) mirrorReply {
	arrivedAt := s.suspendingNow()
	s.recordObservations(request)
	limit := time.After(min(clock.Millis(request.WaitMs), maxFollowWait).Duration())
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		reply, newerProof := s.changesFor(request, arrivedAt)
		if request.WaitMs <= 0 || reply.Revision == 0 || len(reply.Items) > 0 || newerProof || (request.Era != nil && reply.Era != *request.Era) {
			return reply
		}
		select {
		case <-changed:
		case <-limit:
			reply, _ := s.changesFor(request, arrivedAt)
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

// maxFollowWait bounds how long a request of a follower may wait for changes.
const maxFollowWait = 5 * clock.Second

// recordObservations merges the observations of a follower with those of the others,
// and applies what they confirm. It also takes note of the follower's era.
func (s *mirrorSyncer) recordObservations(request mirrorRequest) {
	s.mu.Lock()
	if request.Era != nil {
		s.reader.ObserveEra(s.now(), request.Era.Era())
	}
	s.observations.Record(s.now(), request.Sender, decodeObservations(request.Observations))
	confirmed := s.observationsFor(s.gateway.config.PeerAddress)
	s.mu.Unlock()
	s.gateway.engine.ReceiveObservations(confirmed)
}

// observationsFor returns the observations of replicas for a daemon that follows this
// one, or for this one. The caller holds the lock.
func (s *mirrorSyncer) observationsFor(daemon string) []replica.Observation {
	if now := s.now(); s.observations.MergeDue(now) {
		s.observations.Record(now, s.gateway.config.PeerAddress, s.gateway.engine.Observations())
		s.observations.Merge(now)
	}
	return s.observations.Excluding(daemon)
}

// changesFor returns the changes after the revision of a peer whose request arrived at an
// instant, and whether the peer needs the proof. The reply is empty while the mirror is
// incomplete.
func (s *mirrorSyncer) changesFor(request mirrorRequest, arrivedAt clock.Millis) (reply mirrorReply, newerProof bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mirror.Complete() {
		return mirrorReply{}, false
	}
	items, complete, revision := s.mirror.ChangesSince(request.after(s.mirror.Revision().Era()))
	reply = mirrorReply{
		Complete: complete, Revision: revision.Number(), Era: mirror.NewWireEra(revision.Era()), AgeMs: float64(s.reader.Age(s.now())),
		Observations: encodeObservations(s.observationsFor(request.Sender)), Settled: s.reader.Settled(s.now()),
		Through: s.reader.ListedThrough().Number(),
	}
	for _, item := range items {
		reply.Items = append(reply.Items, wireItem{
			Key: item.Key(), Value: item.Value(), Revision: item.Revision().Number(), Removed: item.Removed(),
		})
	}
	if !s.gateway.engine.HasTenants() {
		return reply, false
	}
	now := s.suspendingNow()
	if proof, proven := s.reader.StateProof(now, arrivedAt); proven {
		reply.Proof = &wireProof{AgeMs: float64(proof.Age), HeldMs: float64(proof.Held)}
	}
	return reply, s.reader.HasNewerProof(now, arrivedAt, clock.Millis(request.ProofAgeMs)) && request.ProofAgeMs > 0
}
