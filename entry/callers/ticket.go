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

// issue returns a new ticket and the time at which it was issued.
func (i *ticketIssuer) issue() (ticket.Ticket, clock.Millis, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	t, err := i.issuer.Issue(now)
	return t, now, err
}

// admit decides whether the request with the ticket may run.
func (i *ticketIssuer) admit(text string) ticket.Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.issuer.Admit(i.clock.Now(), text)
}

// recordOutcome records how the request with the ticket ended. The ticket may be
// used again only after query.NotRun.
func (i *ticketIssuer) recordOutcome(t ticket.Ticket, runState query.RunState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch runState {
	case query.NotRun:
		i.issuer.Release(t)
	case query.HasRun:
		i.issuer.RecordOutcome(t, ticket.OutcomeCompleted)
	default:
		i.issuer.RecordOutcome(t, ticket.OutcomeUncertain)
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

// admitTicket returns the ticket if the non-idempotent request may run on this daemon,
// otherwise a refusal. Most refusals state query.MayHaveRun, because the ticket may
// have been used on another daemon or before.
func (h *handler) admitTicket(text string) (ticket.Ticket, *refusal) {
	if text == "" {
		return ticket.Ticket{}, newRefusal(http.StatusPreconditionRequired, "no-ticket",
			"a request that is not idempotent needs a ticket from POST /v1/tickets")
	}
	decision := h.tickets.admit(text)
	conflict := func(code, message string, runState query.RunState) *refusal {
		return newRefusal(http.StatusConflict, code, "%s", message).withRunState(runState)
	}
	switch decision.Status() {
	case ticket.StatusAdmitted:
		return decision.Ticket(), nil
	case ticket.StatusNotOwner:
		r := newRefusal(http.StatusMisdirectedRequest, "other-daemon",
			"only daemon %s may run the request of this ticket", decision.Owner())
		r.runState = query.MayHaveRun
		r.owner, r.address = decision.Owner(), h.deps.Directory.CallerAddress(decision.Owner())
		return ticket.Ticket{}, r
	case ticket.StatusRunning:
		return ticket.Ticket{}, conflict("running", "the request is running", query.MayHaveRun)
	case ticket.StatusCompleted:
		return ticket.Ticket{}, conflict("ran", "the request has run", query.HasRun)
	case ticket.StatusUnknown:
		return ticket.Ticket{}, conflict("unknown",
			"it is not known whether the request has run", query.MayHaveRun)
	case ticket.StatusExpired:
		return ticket.Ticket{}, conflict("expired",
			"the ticket has expired; the request may have run before", query.MayHaveRun)
	default:
		return ticket.Ticket{}, malformedRequest("ticket: not issued by a daemon of this fleet").
			withRunState(query.MayHaveRun)
	}
}
