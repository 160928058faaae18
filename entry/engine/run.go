package engine

import (
	"context"
	"sync"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
)

// queryRun is one running query. The service's lock guards query.
type queryRun struct {
	service *Service
	request query.Request
	query   *query.Query
	done    chan *query.Answer // receives the answer once

	mu      sync.Mutex
	cancels map[query.AttemptID]context.CancelFunc // of the running attempts
	timer   *time.Timer
}

// step calls decide under the service's lock and performs the actions outside it.
func (r *queryRun) step(decide func(now clock.Millis) []query.Action) {
	r.service.mu.Lock()
	actions := decide(r.service.now())
	r.service.mu.Unlock()
	for _, action := range actions {
		r.perform(action)
	}
}

func (r *queryRun) perform(action query.Action) {
	switch action.Kind() {
	case query.Send:
		r.sendAttempt(action)
	case query.Abort:
		r.abortAttempt(action.Attempt())
	case query.Wake:
		r.wake(action.At())
	case query.Finish:
		r.finish(action.Answer())
	}
}

// sendAttempt runs an attempt on a worker. Its context is independent of the
// caller's: only an Abort action cancels it.
func (r *queryRun) sendAttempt(action query.Action) {
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.cancels[action.Attempt()] = cancel
	r.mu.Unlock()
	r.service.workers.start(func() {
		result := r.service.deps.Exchanger.Exchange(ctx, action, r.request)
		r.abortAttempt(action.Attempt())
		r.step(func(now clock.Millis) []query.Action {
			return r.query.HandleResult(now, action.Attempt(), result)
		})
	})
}

// abortAttempt cancels the context of an attempt, unless it has ended.
func (r *queryRun) abortAttempt(attempt query.AttemptID) {
	r.mu.Lock()
	cancel := r.cancels[attempt]
	delete(r.cancels, attempt)
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// wake replaces the timer, since a query has at most one pending wake-up.
func (r *queryRun) wake(at clock.Millis) {
	delay := max(at-r.service.deps.Clock.Now(), 0).Duration()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(delay, func() { r.step(r.query.Tick) })
}

func (r *queryRun) finish(answer *query.Answer) {
	r.mu.Lock()
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Unlock()
	r.done <- answer
}
