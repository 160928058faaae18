package callers

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/core/ticket"
	"github.com/lovagegap/lovagegap/entry/engine"
	"github.com/lovagegap/lovagegap/entry/telemetry"
)

// queryCall is one caller's query on its way through the handler.
type queryCall struct {
	handler     *handler
	startedAt   clock.Millis
	serviceName string
	user        string
	service     string
	body        wireRequest
	tree        *settings.Tree
	revision    uint64
	effective   *settings.Effective
	answer      *query.Answer
}

func (h *handler) handleQuery(c echo.Context) error {
	x := &queryCall{handler: h, startedAt: h.deps.Clock.Now(), user: c.Param("user"), service: c.Param("service")}
	x.serviceName = x.user + "/" + x.service
	r := x.run(c)
	status, body := x.reply(r)
	return c.JSON(status, body)
}

// run carries out the query. It returns a refusal instead of an answer, or
// together with an answer that is below the minimum coverage.
func (x *queryCall) run(c echo.Context) *refusal {
	h := x.handler
	x.tree, x.revision = h.deps.Settings.InForce()
	service, ok := h.deps.Services.Service(x.serviceName)
	if ok {
		x.effective, _ = x.tree.Effective(x.user, x.service)
	}
	var r *refusal
	if x.body, r = decodeRequest(c); r != nil {
		return r
	}
	if r := h.notReady(); r != nil {
		return x.refuseUnredeemed(r)
	}
	if !ok {
		return x.refuseUnredeemed(newRefusal(http.StatusNotFound, "unknown-service", "no service %s", x.serviceName))
	}
	// Where the tree does not name the class, the nearest level above counts.
	x.effective, _ = x.tree.Effective(x.user, x.service, x.body.Class)
	span, r := requestTimeout(x.body, x.effective)
	if r != nil {
		return x.refuseUnredeemed(r)
	}
	if x.body.RequestID == "" {
		x.body.RequestID = h.newRequestID()
	}
	request := h.newRequest(x.serviceName, x.body.RequestID, x.body, span)
	if request.Idempotent() {
		return x.execute(c, service, request)
	}
	return x.executeWithTicket(c, service, request)
}

// refuseUnredeemed returns a refusal from before the ticket was looked at: with a
// ticket, the request may have run when it was sent before.
func (x *queryCall) refuseUnredeemed(r *refusal) *refusal {
	if !isIdempotent(x.body) && x.body.Ticket != "" {
		r.runState = query.MayHaveRun
	}
	return r
}

// executeWithTicket runs a non-idempotent request under its ticket.
func (x *queryCall) executeWithTicket(c echo.Context, service Service, request query.Request) *refusal {
	t, r := x.handler.redeem(x.body.Ticket)
	if r != nil {
		return r
	}
	ran := query.MayHaveRun
	defer func() { x.recordTicketOutcome(t, ran) }()
	r = x.execute(c, service, request)
	if r != nil {
		ran = r.runState
	} else {
		ran = x.answer.RunState()
	}
	return r
}

func (x *queryCall) recordTicketOutcome(t ticket.Ticket, ran query.RunState) {
	x.handler.tickets.recordOutcome(t, ran)
}

func (x *queryCall) execute(c echo.Context, service Service, request query.Request) *refusal {
	weight := x.tree.TenantWeight(x.user, x.service, x.body.Tenant)
	caller := engine.NewCaller(x.effective.Priority(), weight).Explaining(x.body.Explain)
	answer, err := service.Run(c.Request().Context(), request, caller)
	switch {
	case errors.Is(err, engine.ErrRefused):
		return newRefusal(http.StatusTooManyRequests, "refused", "%v", err)
	case err != nil:
		return newRefusal(statusClientClosedRequest, "caller-gone", "%v", err)
	}
	x.answer = answer
	return answerRefusal(answer)
}

// statusClientClosedRequest is recorded for callers that went away; nobody receives it.
const statusClientClosedRequest = 499

// answerRefusal turns an answer that is none into a refusal.
func answerRefusal(answer *query.Answer) *refusal {
	switch answer.Outcome() {
	case query.Answered:
		return nil
	case query.NoSnapshot:
		return newRefusal(http.StatusServiceUnavailable, "no-upstream", "no snapshot of the service is known").withRunState(answer.RunState())
	case query.Quarantined:
		return newRefusal(http.StatusUnprocessableEntity, "quarantined",
			"requests with this content crash upstreams").withRunState(answer.RunState())
	case query.Abandoned:
		return newRefusal(statusClientClosedRequest, "caller-gone", "the caller went away").withRunState(answer.RunState())
	default:
		return newRefusal(http.StatusGatewayTimeout, "below-minimum",
			"%d of %d shards answered", answer.Coverage().Covered(), answer.Coverage().Total()).withRunState(answer.RunState())
	}
}

// reply judges and counts the answer or refusal and returns its wire form.
func (x *queryCall) reply(r *refusal) (int, any) {
	status := http.StatusOK
	if r != nil {
		status = r.status
	}
	good := x.recordOutcome(status, r)
	if x.answer == nil {
		return status, r.wire()
	}
	wire := x.wireAnswer(good)
	if r == nil {
		return status, wire
	}
	failure := r.wire()
	failure.Answer = &wire
	return status, failure
}

func (x *queryCall) wireAnswer(good bool) wireAnswer {
	coverage := x.answer.Coverage()
	wire := wireAnswer{
		RequestID: x.body.RequestID, Snapshot: x.answer.Version(), Coverage: newWireCoverage(coverage),
		Partial: !coverage.Complete(), Good: good, SettingsRevision: x.revision,
		Elapsed: x.answer.Elapsed().Duration().String(), Parts: newWireParts(x.answer.Parts()),
	}
	if x.body.Explain {
		wire.Explain = newWireExplanation(x.handler.deps.Daemon, x.answer)
	}
	return wire
}

// recordOutcome evaluates the good-answer expression and counts the outcome. A
// request for an unknown service is not counted, so that callers cannot invent
// series.
func (x *queryCall) recordOutcome(status int, r *refusal) bool {
	if x.effective == nil {
		return false
	}
	facts := telemetry.Facts{
		Latency: x.handler.deps.Clock.Now() - x.startedAt, Status: status, Revision: x.revision,
	}
	if r != nil {
		facts.Code = r.code
	}
	partial := true
	if a := x.answer; a != nil {
		facts.Coverage = a.Coverage().Fraction()
		facts.Shards, facts.Sent = a.Coverage().Total(), a.Sent()
		facts.Hedges, facts.Retries, facts.Late = a.Hedges(), a.Retries(), a.LateResults()
		partial = !a.Coverage().Complete()
	}
	judged := settings.NewFacts(status, facts.Coverage, facts.Latency, partial).
		WithCaller(x.body.Class, x.body.Tenant, x.serviceName)
	good, err := x.effective.GoodAnswer().Evaluate(judged)
	facts.Good, facts.GoodError = good, err != nil
	series := telemetry.Series{Service: x.serviceName, Class: x.body.Class, Tenant: x.body.Tenant}
	x.handler.deps.Telemetry.Answer(series, facts)
	return good
}
