package engine

import (
	"context"
	"sync"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
)

// run is one query in progress.
type run struct {
	service *Service
	request query.Request
	query   *query.Query
	done    chan *query.Answer

	mu      sync.Mutex
	running map[query.AttemptID]context.CancelFunc
	timer   *time.Timer
}

// step takes a decision under the service's lock and carries out the actions.
func (r *run) step(decide func(now clock.Millis) []query.Action) {
	r.service.mu.Lock()
	actions := decide(r.service.now())
	r.service.mu.Unlock()
	for _, action := range actions {
		r.perform(action)
	}
}

func (r *run) perform(action query.Action) {
	switch action.Kind() {
	case query.Send:
		r.send(action)
	case query.Abort:
		r.abort(action.Attempt())
	case query.Wake:
		r.wake(action.At())
	case query.Finish:
		r.finish(action.Answer())
	}
}

func (r *run) send(action query.Action) {
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	r.running[action.Attempt()] = cancel
	r.mu.Unlock()
	r.service.workers.run(func() {
		answer := r.service.parts.Exchanger.Exchange(ctx, action, r.request)
		r.abort(action.Attempt())
		r.step(func(now clock.Millis) []query.Action {
			return r.query.HandleResult(now, action.Attempt(), answer)
		})
	})
}

func (r *run) abort(attempt query.AttemptID) {
	r.mu.Lock()
	cancel := r.running[attempt]
	delete(r.running, attempt)
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// wake replaces the timer: the query has one wake-up at a time.
func (r *run) wake(at clock.Millis) {
	delay := max(at-r.service.parts.Clock.Now(), 0).Duration()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(delay, func() { r.step(r.query.Tick) })
}

func (r *run) finish(answer *query.Answer) {
	r.mu.Lock()
	if r.timer != nil {
		r.timer.Stop()
	}
	r.mu.Unlock()
	r.done <- answer
}
