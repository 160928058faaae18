package callers

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/ticket"
)

// issuer makes a ticket.Issuer safe for concurrent use.
type issuer struct {
	clock clock.Clock

	mu     sync.Mutex
	issuer *ticket.Issuer
}

func (o *issuer) issue() (ticket.Ticket, clock.Millis, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	t, err := o.issuer.Issue(now)
	return t, now, err
}

func (o *issuer) admit(text string) ticket.Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.issuer.Admit(o.clock.Now(), text)
}

// settle records how a request ended. Only a request of which nothing can have
// run may use its ticket again.
func (o *issuer) settle(t ticket.Ticket, ran query.RunState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch ran {
	case query.NotRun:
		o.issuer.Release(t)
	case query.HasRun:
		o.issuer.RecordOutcome(t, ticket.OutcomeCompleted)
	default:
		o.issuer.RecordOutcome(t, ticket.OutcomeUncertain)
	}
}

func (h *handler) ticket(c echo.Context) error {
	if r := h.unready(); r != nil {
		return h.refuse(c, r)
	}
	t, now, err := h.issuer.issue()
	if err != nil {
		return h.refuse(c, refuse(http.StatusServiceUnavailable, "no-ticket", "%v", err))
	}
	lifetime := (t.Expires() - now).Duration().Round(time.Millisecond)
	return c.JSON(http.StatusOK, wireTicket{Ticket: t.Text(), Expires: lifetime.String()})
}

// redeem decides whether a non-idempotent request may run here. A refusal here
// does not tell whether the ticket was used elsewhere or before.
func (h *handler) redeem(text string) (ticket.Ticket, *refusal) {
	if text == "" {
		return ticket.Ticket{}, refuse(http.StatusPreconditionRequired, "no-ticket",
			"a request that is not idempotent needs a ticket from POST /v1/tickets")
	}
	verdict := h.issuer.admit(text)
	conflict := func(code, message string, ran query.RunState) *refusal {
		return refuse(http.StatusConflict, code, "%s", message).after(ran)
	}
	switch verdict.Status() {
	case ticket.StatusAdmitted:
		return verdict.Ticket(), nil
	case ticket.StatusNotOwner:
		r := refuse(http.StatusMisdirectedRequest, "other-daemon", "only %s may run this ticket", verdict.Owner())
		r.ran = query.MayHaveRun
		r.owner, r.address = verdict.Owner(), h.ports.Fleet.CallerAddress(verdict.Owner())
		return ticket.Ticket{}, r
	case ticket.StatusRunning:
		return ticket.Ticket{}, conflict("running", "the request is running", query.MayHaveRun)
	case ticket.StatusCompleted:
		return ticket.Ticket{}, conflict("ran", "the request has run", query.HasRun)
	case ticket.StatusUnknown:
		return ticket.Ticket{}, conflict("unknown", "it is not known whether the request has run", query.MayHaveRun)
	case ticket.StatusExpired:
		return ticket.Ticket{}, conflict("expired", "the ticket has expired; the request may have run before", query.MayHaveRun)
	default:
		return ticket.Ticket{}, malformed("ticket: not issued by this fleet").after(query.MayHaveRun)
	}
}
