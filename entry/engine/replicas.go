package engine

import (
	"context"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// pauseThreshold is the time without a Tick after which the process is taken to have
// been paused. It is longer than scheduling delays and equals the threshold of
// core/fleet.
const pauseThreshold = 2 * clock.Second

// AddReplica adds a replica to the pool.
func (s *Service) AddReplica(replica upstream.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Add(s.now(), replica)
}

// RemoveReplica removes a replica from the pool and from the snapshot catalogue.
func (s *Service) RemoveReplica(id upstream.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Remove(id)
	s.catalogue.Remove(string(id))
}

// ReceiveReport applies a status report of an upstream and the snapshots that it
// holds.
func (s *Service) ReceiveReport(report upstream.Report, holdings []snapshot.Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.ReceiveReport(s.now(), report)
	s.catalogue.SetHoldings(string(report.Upstream()), holdings)
}

// WithPool calls f with the replica pool under the service's lock. f must not
// block, call the service or keep p.
func (s *Service) WithPool(f func(now clock.Millis, p *upstream.Pool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), &s.pool)
}

// Tick advances the pool to the current time and returns the cold-start records
// that changed since the last call, which the caller sends to the peers. It must be
// called much more often than every pauseThreshold.
func (s *Service) Tick() []upstream.ColdRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.lastTickAt = now
	s.pool.Tick(now)
	return s.pool.TakeChanges()
}

// now returns the current time and must be called before every decision of the
// pool. If it detects a pause of the process, it calls Resume first, because the
// pool's view of the fleet may be outdated. The caller holds the lock.
func (s *Service) now() clock.Millis {
	now := s.deps.Clock.Now()
	if s.lastTickAt != 0 && now-s.lastTickAt > pauseThreshold {
		s.lastTickAt = now
		s.pool.Resume(now)
	}
	return now
}

// SnapshotKnown reports whether any replica has reported a snapshot of the service.
func (s *Service) SnapshotKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.catalogue.Choose()
	return ok
}

// QueryCount returns the number of queries that run or wait for admission.
func (s *Service) QueryCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running() + s.queue.Waiting()
}

// RunForPeer runs one attempt of a peer's query with this daemon's share of the
// upstream: it picks the upstream and calls exchange without the lock. If there is
// no free share, the outcome is upstream.NoRelayShare and nothing is run.
func (s *Service) RunForPeer(
	ctx context.Context, request upstream.PickRequest,
	exchange func(context.Context, upstream.Choice) query.AttemptResult,
) query.AttemptResult {
	s.mu.Lock()
	choice, err := s.pool.Pick(s.now(), request)
	s.mu.Unlock()
	if err != nil {
		return query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, ""))
	}
	result := exchange(ctx, choice)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Done(s.now(), choice, result.UpstreamResult())
	return result
}
