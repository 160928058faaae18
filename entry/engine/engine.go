// Package engine runs the queries of one service: admission, the fan-out to the
// upstreams, and the replica pool.
//
// One lock guards the replica pool, the snapshot catalogue, the admission queue
// and all running queries of the service. Decisions are taken under the lock; the
// resulting actions are performed outside it, apart from the delivery of admission
// decisions.
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
	// ErrRefused means that the admission queue refused the request. It was not run.
	ErrRefused = errors.New("request refused")
	// ErrAbandoned means that ctx ended before the request was admitted. It was not
	// run.
	ErrAbandoned = errors.New("caller gone before admission")
)

// hedgeBurstRounds is the number of fan-outs whose earned hedge tokens are kept even
// if they exceed hedge.burst. With 270 shards, a burst of 20 tokens is less than two
// fan-outs earn; the p99 with 1 % stragglers was then twice the p99 without them.
const hedgeBurstRounds = 8 // fan-outs

// Exchanger exchanges the request and response of one attempt with its upstream.
type Exchanger interface {
	// Exchange sends the attempt of action directly or through the peer in its
	// choice, and returns the result. It returns early when ctx ends.
	Exchange(ctx context.Context, action query.Action, request query.Request) query.AttemptResult
}

// Journal records events for operators.
type Journal = upstream.Journal

// Dependencies are the collaborators of a Service. All services of a daemon share
// them.
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
	decisions       map[admission.ID]chan admission.Reason
	admissionTimer  *time.Timer
	lastTickAt      clock.Millis // of the last Tick or pause detected by now; 0 before the first
}

// New returns the Service called name, in the form user/service. The seed determines
// the choices among equal replicas.
func New(name string, deps Dependencies, seed uint64) *Service {
	s := &Service{
		name: name, deps: deps, workers: newWorkerPool(),
		decisions: make(map[admission.ID]chan admission.Reason),
	}
	s.pool.SetRandom(rand.New(rand.NewPCG(seed, 0)))
	s.pool.SetJournal(deps.Journal)
	s.hedges.SetBurstRounds(hedgeBurstRounds)
	return s
}

// Name returns the name of the service in the form user/service.
func (s *Service) Name() string { return s.name }

// Configure applies new settings. Running queries keep the query policy with which
// they started.
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

// Run waits for admission, runs one query and returns its answer. It returns
// ErrRefused or ErrAbandoned if the query was not run. If ctx ends while the query
// runs, the query is cancelled and the answer says so.
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

// dependencies returns the collaborators of a query. The query may use them only
// under the lock.
func (s *Service) dependencies() query.Dependencies {
	return query.Dependencies{
		Picker: &s.pool, Catalogue: &s.catalogue, Latency: &s.pool,
		HedgeBudget: &s.hedges, RetryBudget: &s.retries, Quarantine: s.deps.Quarantine,
	}
}
