package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/admission"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
)

// Caller is what the settings say about the caller of a request.
type Caller struct {
	priority int
	weight   float64
	explain  bool
}

// NewCaller returns a caller whose class has priority and whose tenant has
// weight.
func NewCaller(priority int, weight float64) Caller {
	return Caller{priority: priority, weight: weight}
}

// WithExplanation returns the caller with a wish for an explanation of the answer.
func (c Caller) WithExplanation(explain bool) Caller {
	c.explain = explain
	return c
}

// admit waits until the request may run. It returns ErrRefused or ErrAbandoned.
func (s *Service) admit(ctx context.Context, request query.Request, caller Caller) (admission.ID, error) {
	verdict := make(chan admission.Reason, 1)
	s.mu.Lock()
	s.lastAdmissionID++
	id := s.lastAdmissionID
	s.verdicts[id] = verdict
	item := admission.NewItem(id, request.Deadline()).
		WithClass(request.Class(), caller.priority).
		WithTenant(request.Tenant(), caller.weight)
	actions := s.queue.Offer(s.deps.Clock.Now(), item)
	s.mu.Unlock()
	s.performAdmission(actions)
	select {
	case reason := <-verdict:
		return id, refusalError(reason)
	case <-ctx.Done():
		return s.withdraw(id, verdict)
	}
}

func refusalError(reason admission.Reason) error {
	if reason == admission.None {
		return nil
	}
	return errors.Wrap(ErrRefused, reason.String())
}

// withdraw ends the wait of a caller that went away. If the queue has decided
// meanwhile, the verdict is on its way; an admitted place is given back.
func (s *Service) withdraw(id admission.ID, verdict chan admission.Reason) (admission.ID, error) {
	s.mu.Lock()
	waited := s.queue.Withdraw(id)
	if waited {
		delete(s.verdicts, id)
	}
	s.mu.Unlock()
	if !waited {
		if reason := <-verdict; reason == admission.None {
			s.finishAdmission(id)
		}
	}
	return 0, ErrAbandoned
}

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

// performAdmission tells the waiting requests about decisions of the queue.
func (s *Service) performAdmission(actions []admission.Action) {
	if len(actions) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, action := range actions {
		switch action.Kind() {
		case admission.Admit, admission.Refuse:
			if verdict := s.verdicts[action.ID()]; verdict != nil {
				verdict <- action.Reason()
				delete(s.verdicts, action.ID())
			}
		case admission.Wake:
			s.wakeAdmission(action.At())
		}
	}
}

func (s *Service) wakeAdmission(at clock.Millis) {
	delay := max(at-s.deps.Clock.Now(), 0).Duration()
	if s.admissionTimer != nil {
		s.admissionTimer.Stop()
	}
	s.admissionTimer = time.AfterFunc(delay, s.tickAdmission)
}
