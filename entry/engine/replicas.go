package engine

import (
	"context"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// pauseThreshold is the time without a Tick that no scheduling delay explains; the
// membership judges pauses by the same time.
const pauseThreshold = 2 * clock.Second

// AddReplica makes a replica known.
func (s *Service) AddReplica(replica upstream.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Add(s.now(), replica)
}

// RemoveReplica forgets a replica.
func (s *Service) RemoveReplica(id upstream.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Remove(id)
	s.catalogue.Remove(string(id))
}

// ReceiveReport takes an upstream's status with the snapshots it says it holds.
func (s *Service) ReceiveReport(report upstream.Report, holdings []snapshot.Holding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.ReceiveReport(s.now(), report)
	s.catalogue.SetHoldings(string(report.Upstream()), holdings)
}

// WithPool calls f with the replica pool under the service's lock. F must not
// block or call the service.
func (s *Service) WithPool(f func(now clock.Millis, p *upstream.Pool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), &s.pool)
}

// Tick lets the pool follow the time and returns the cold-start records that
// are news to peers. It is called much more often than pauseGap.
func (s *Service) Tick() []upstream.ColdRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.lastTickAt = now
	s.pool.Tick(now)
	return s.pool.TakeChanges()
}

// now returns the time for a decision of the pool. After a pause of the process
// the pool's view of the fleet may be old, which the pool is told before it
// decides anything. The caller holds the lock.
func (s *Service) now() clock.Millis {
	now := s.deps.Clock.Now()
	if s.lastTickAt != 0 && now-s.lastTickAt > pauseThreshold {
		s.lastTickAt = now
		s.pool.Resume(now)
	}
	return now
}

// SnapshotKnown reports whether any snapshot of the service is known.
func (s *Service) SnapshotKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.catalogue.Choose()
	return ok
}

// QueryCount returns the queries that run at present.
func (s *Service) QueryCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Running() + s.queue.Waiting()
}

// RunForPeer runs one sub-request of a peer's query on this daemon's share of
// the upstream. Without a free share the result says that it was not run.
func (s *Service) RunForPeer(
	ctx context.Context, request upstream.PickRequest, exchange func(context.Context, upstream.Choice) query.AttemptResult,
) query.AttemptResult {
	s.mu.Lock()
	choice, err := s.pool.Pick(s.now(), request)
	s.mu.Unlock()
	if err != nil {
		return query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, ""))
	}
	answer := exchange(ctx, choice)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Done(s.now(), choice, answer.UpstreamResult())
	return answer
}
