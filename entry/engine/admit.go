package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/admission"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
)

// Caller holds the settings that apply to the caller of a request.
type Caller struct {
	priority int
	weight   float64
	explain  bool
}

// NewCaller returns a caller with the priority of its class and the weight of its
// tenant, both as core/admission uses them.
func NewCaller(priority int, weight float64) Caller {
	return Caller{priority: priority, weight: weight}
}

// WithExplanation returns a copy of c. If explain is set, answers contain an
// explanation of the attempts.
func (c Caller) WithExplanation(explain bool) Caller {
	c.explain = explain
	return c
}

// admit waits until the request is admitted; finishAdmission must follow. Otherwise
// it returns ErrRefused or ErrAbandoned.
func (s *Service) admit(ctx context.Context, request query.Request, caller Caller) (admission.ID, error) {
	decision := make(chan admission.Reason, 1)
	s.mu.Lock()
	s.lastAdmissionID++
	id := s.lastAdmissionID
	s.decisions[id] = decision
	item := admission.NewItem(id, request.Deadline()).
		WithClass(request.Class(), caller.priority).
		WithTenant(request.Tenant(), caller.weight)
	actions := s.queue.Offer(s.deps.Clock.Now(), item)
	s.mu.Unlock()
	s.performAdmission(actions)
	select {
	case reason := <-decision:
		return id, refusalError(reason)
	case <-ctx.Done():
		return s.withdraw(id, decision)
	}
}

// refusalError returns ErrRefused with the reason, or nil for an admitted request.
func refusalError(reason admission.Reason) error {
	if reason == admission.None {
		return nil
	}
	return errors.Wrap(ErrRefused, reason.String())
}

// withdraw removes a waiting request whose caller has disconnected. If the queue has
// already decided, withdraw waits for the decision and releases an admitted request.
func (s *Service) withdraw(id admission.ID, decision chan admission.Reason) (admission.ID, error) {
	s.mu.Lock()
	waited := s.queue.Withdraw(id)
	if waited {
		delete(s.decisions, id)
	}
	s.mu.Unlock()
	if !waited {
		if reason := <-decision; reason == admission.None {
			s.finishAdmission(id)
		}
	}
	return 0, ErrAbandoned
}

// finishAdmission records the end of an admitted request.
func (s *Service) finishAdmission(id admission.ID) {
	s.mu.Lock()
	actions := s.queue.Finish(s.deps.Clock.Now(), id)
	s.mu.Unlock()
	s.performAdmission(actions)
}

func (s *Service) tickAdmission() {
	s.mu.Lock()
	actions := s.queue.Tick(s.deps.Clock.Now())
	s.mu.Unlock()
	s.performAdmission(actions)
}

// performAdmission delivers decisions of the queue to the waiting requests. The
// caller must not hold the lock.
func (s *Service) performAdmission(actions []admission.Action) {
	if len(actions) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, action := range actions {
		switch action.Kind() {
		case admission.Admit, admission.Refuse:
			if decision := s.decisions[action.ID()]; decision != nil {
				decision <- action.Reason()
				delete(s.decisions, action.ID())
			}
		case admission.Wake:
			s.wakeAdmission(action.At())
		}
	}
}

// wakeAdmission replaces the timer for the next Tick of the queue. The caller holds
// the lock.
func (s *Service) wakeAdmission(at clock.Millis) {
	delay := max(at-s.deps.Clock.Now(), 0).Duration()
	if s.admissionTimer != nil {
		s.admissionTimer.Stop()
	}
	s.admissionTimer = time.AfterFunc(delay, s.tickAdmission)
}
