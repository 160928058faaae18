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

// ticketIssuer makes a ticket.Issuer safe for concurrent use.
type ticketIssuer struct {
	clock clock.Clock

	mu     sync.Mutex
	issuer *ticket.Issuer
}

func (o *ticketIssuer) issue() (ticket.Ticket, clock.Millis, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	t, err := o.issuer.Issue(now)
	return t, now, err
}

func (o *ticketIssuer) admit(text string) ticket.Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.issuer.Admit(o.clock.Now(), text)
}

// recordOutcome records how a request ended. Only a request of which nothing can have
// run may use its ticket again.
func (o *ticketIssuer) recordOutcome(t ticket.Ticket, ran query.RunState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch ran {
	case query.NotRun:
		o.issuer.Abandon(t)
	case query.HasRun:
		o.issuer.Settle(t, ticket.Completed)
	default:
		o.issuer.Settle(t, ticket.Uncertain)
	}
}

func (h *handler) handleTicket(c echo.Context) error {
	if r := h.notReady(); r != nil {
		return h.writeRefusal(c, r)
	}
	t, now, err := h.tickets.issue()
	if err != nil {
		return h.writeRefusal(c, newRefusal(http.StatusServiceUnavailable, "no-ticket", "%v", err))
	}
	lifetime := (t.Expires() - now).Duration().Round(time.Millisecond)
	return c.JSON(http.StatusOK, wireTicket{Ticket: t.Text(), Expires: lifetime.String()})
}

// redeem decides whether a non-idempotent request may run here. A refusal here
// does not tell whether the ticket was used elsewhere or before.
func (h *handler) redeem(text string) (ticket.Ticket, *refusal) {
	if text == "" {
		return ticket.Ticket{}, newRefusal(http.StatusPreconditionRequired, "no-ticket",
			"a request that is not idempotent needs a ticket from POST /v1/tickets")
	}
	verdict := h.tickets.admit(text)
	conflict := func(code, message string, ran query.RunState) *refusal {
		return newRefusal(http.StatusConflict, code, "%s", message).withRunState(ran)
	}
	switch verdict.Kind() {
	case ticket.Run:
		return verdict.Ticket(), nil
	case ticket.Elsewhere:
		r := newRefusal(http.StatusMisdirectedRequest, "other-daemon", "only %s may run this ticket", verdict.Owner())
		r.runState = query.MayHaveRun
		r.owner, r.address = verdict.Owner(), h.deps.Fleet.CallersAddress(verdict.Owner())
		return ticket.Ticket{}, r
	case ticket.AlreadyRunning:
		return ticket.Ticket{}, conflict("running", "the request is running", query.MayHaveRun)
	case ticket.Ran:
		return ticket.Ticket{}, conflict("ran", "the request has run", query.HasRun)
	case ticket.Unknown:
		return ticket.Ticket{}, conflict("unknown", "it is not known whether the request has run", query.MayHaveRun)
	case ticket.Expired:
		return ticket.Ticket{}, conflict("expired", "the ticket has expired; the request may have run before", query.MayHaveRun)
	default:
		return ticket.Ticket{}, malformedRequest("ticket: not issued by this fleet").withRunState(query.MayHaveRun)
	}
}
