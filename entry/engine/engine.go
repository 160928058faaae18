// Package engine runs the queries of one service.
//
// One lock guards the replica pool, the catalogue, the admission queue and all
// running queries of the service. Decisions are taken under the lock; the
// resulting actions are carried out outside it.
//
// # Usage
//
//	service := engine.New("association/review-desk", engine.Dependencies{...}, seed)
//	service.Configure(engine.NewConfiguration(effective))
//	answer, err := service.Run(ctx, request, caller)
//	if errors.Is(err, engine.ErrRefused) { ... } // not run
package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/admission"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/quota"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Sentinel errors of Run.
var (
	// ErrRefused means that admission refused the request. It was not run.
	ErrRefused = errors.New("request refused")
	// ErrAbandoned means that the caller went away before the request ran.
	ErrAbandoned = errors.New("caller went away")
)

// hedgeBurstRounds is the number of fan-outs whose hedge tokens are kept, whatever
// the burst. With 270 shards and a burst of 20, which is less than two
// fan-outs, the p99 with 1 % stragglers was twice the p99 without them.
const hedgeBurstRounds = 8

// Exchanger carries a sub-request to its upstream, directly or through the
// peer that the choice names, and returns how it ended.
type Exchanger interface {
	Exchange(ctx context.Context, action query.Action, request query.Request) query.AttemptResult
}

// Journal takes events for operators.
type Journal = upstream.Journal

// Dependencies are what a service shares with the rest of the daemon.
type Dependencies struct {
	Clock      clock.Clock
	Exchanger  Exchanger
	Quarantine query.Quarantine
	Journal    Journal
}

// Service runs the queries of one service. It is safe for concurrent use.
type Service struct {
	name    string
	deps    Dependencies
	workers workerPool

	mu              sync.Mutex
	pool            upstream.Pool
	catalogue       snapshot.Catalogue
	queue           admission.Queue
	hedges          quota.Budget
	retries         quota.Budget
	policy          query.Policy
	lastAdmissionID admission.ID
	verdicts        map[admission.ID]chan admission.Reason
	admissionTimer  *time.Timer
	lastTickAt      clock.Millis // last Tick
}

// New returns the engine of the service called name, in the form user/service.
// The seed decides the choices among equal replicas.
func New(name string, deps Dependencies, seed uint64) *Service {
	s := &Service{
		name: name, deps: deps, workers: newWorkerPool(),
		verdicts: make(map[admission.ID]chan admission.Reason),
	}
	s.pool.SetRandom(rand.New(rand.NewPCG(seed, 0)))
	s.pool.SetJournal(deps.Journal)
	s.hedges.KeepRounds(hedgeBurstRounds)
	return s
}

// Name returns the service's name in the form user/service.
func (s *Service) Name() string { return s.name }

// Configure puts settings in force. Running queries keep the ones they began
// with.
func (s *Service) Configure(c Configuration) {
	s.mu.Lock()
	now := s.now()
	s.policy = c.query
	s.pool.SetPolicy(now, c.pool)
	s.hedges.Configure(c.hedgeRatio, c.hedgeBurst)
	s.retries.Configure(c.retryRatio, c.retryBurst)
	actions := s.queue.SetPolicy(now, c.admission)
	s.mu.Unlock()
	s.performAdmission(actions)
}

// Run carries out one query and returns its answer. It returns ErrRefused or
// ErrAbandoned if the query was not run at all; a ctx that ends later ends the
// query early.
func (s *Service) Run(ctx context.Context, request query.Request, caller Caller) (*query.Answer, error) {
	id, err := s.admit(ctx, request, caller)
	if err != nil {
		return nil, err
	}
	defer s.finishAdmission(id)
	r := &queryRun{
		service: s,
		request: request,
		cancels: make(map[query.AttemptID]context.CancelFunc),
		done:    make(chan *query.Answer, 1),
	}
	r.query = query.New(request, s.currentPolicy(), s.dependencies())
	if caller.explain {
		r.query.EnableExplanation()
	}
	r.step(r.query.Start)
	select {
	case answer := <-r.done:
		return answer, nil
	case <-ctx.Done():
		r.step(r.query.Cancel)
		return <-r.done, nil
	}
}

func (s *Service) currentPolicy() query.Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy
}

func (s *Service) dependencies() query.Dependencies {
	return query.Dependencies{
		Picker: &s.pool, Catalogue: &s.catalogue, Latency: &s.pool,
		HedgeBudget: &s.hedges, RetryBudget: &s.retries, Quarantine: s.deps.Quarantine,
	}
}
