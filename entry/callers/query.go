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

// exchange is one caller's query on its way through the handler.
type exchange struct {
	handler   *handler
	began     clock.Millis
	name      string
	user      string
	service   string
	body      wireRequest
	tree      *settings.Tree
	revision  uint64
	effective *settings.Effective
	answer    *query.Answer
}

func (h *handler) query(c echo.Context) error {
	x := &exchange{handler: h, began: h.ports.Clock.Now(), user: c.Param("user"), service: c.Param("service")}
	x.name = x.user + "/" + x.service
	r := x.run(c)
	status, body := x.reply(r)
	return c.JSON(status, body)
}

// run carries out the query. It returns a refusal instead of an answer, or
// together with an answer that is below the minimum coverage.
func (x *exchange) run(c echo.Context) *refusal {
	h := x.handler
	x.tree, x.revision = h.ports.Settings.InForce()
	service, ok := h.ports.Services.Service(x.name)
	if ok {
		x.effective, _ = x.tree.Effective(x.user, x.service)
	}
	var r *refusal
	if x.body, r = decode(c); r != nil {
		return r
	}
	if r := h.unready(); r != nil {
		return x.unredeemed(r)
	}
	if !ok {
		return x.unredeemed(refuse(http.StatusNotFound, "unknown-service", "no service %s", x.name))
	}
	// Where the tree does not name the class, the nearest level above counts.
	x.effective, _ = x.tree.Effective(x.user, x.service, x.body.Class)
	span, r := deadline(x.body, x.effective)
	if r != nil {
		return x.unredeemed(r)
	}
	if x.body.RequestID == "" {
		x.body.RequestID = h.newID()
	}
	request := h.request(x.name, x.body.RequestID, x.body, span)
	if request.Idempotent() {
		return x.execute(c, service, request)
	}
	return x.executeOnce(c, service, request)
}

// unredeemed returns a refusal from before the ticket was looked at: with a
// ticket, the request may have run when it was sent before.
func (x *exchange) unredeemed(r *refusal) *refusal {
	if !idempotent(x.body) && x.body.Ticket != "" {
		r.ran = query.MayHaveRun
	}
	return r
}

// executeOnce runs a non-idempotent request under its ticket.
func (x *exchange) executeOnce(c echo.Context, service Service, request query.Request) *refusal {
	t, r := x.handler.redeem(x.body.Ticket)
	if r != nil {
		return r
	}
	ran := query.MayHaveRun
	defer func() { x.settle(t, ran) }()
	r = x.execute(c, service, request)
	if r != nil {
		ran = r.ran
	} else {
		ran = x.answer.RunState()
	}
	return r
}

func (x *exchange) settle(t ticket.Ticket, ran query.RunState) {
	x.handler.issuer.settle(t, ran)
}

func (x *exchange) execute(c echo.Context, service Service, request query.Request) *refusal {
	weight := x.tree.TenantWeight(x.user, x.service, x.body.Tenant)
	caller := engine.NewCaller(x.effective.Priority(), weight).Explaining(x.body.Explain)
	answer, err := service.Run(c.Request().Context(), request, caller)
	switch {
	case errors.Is(err, engine.ErrRefused):
		return refuse(http.StatusTooManyRequests, "refused", "%v", err)
	case err != nil:
		return refuse(statusClosed, "caller-gone", "%v", err)
	}
	x.answer = answer
	return outcome(answer)
}

// statusClosed is recorded for callers that went away; nobody receives it.
const statusClosed = 499

// outcome turns an answer that is none into a refusal.
func outcome(answer *query.Answer) *refusal {
	switch answer.Outcome() {
	case query.Answered:
		return nil
	case query.NoSnapshot:
		return refuse(http.StatusServiceUnavailable, "no-upstream", "no snapshot of the service is known").after(answer.RunState())
	case query.Quarantined:
		return refuse(http.StatusUnprocessableEntity, "quarantined",
			"requests with this content crash upstreams").after(answer.RunState())
	case query.Abandoned:
		return refuse(statusClosed, "caller-gone", "the caller went away").after(answer.RunState())
	default:
		return refuse(http.StatusGatewayTimeout, "below-minimum",
			"%d of %d shards answered", answer.Coverage().Covered(), answer.Coverage().Total()).after(answer.RunState())
	}
}

// reply judges and counts the answer or refusal and returns its wire form.
func (x *exchange) reply(r *refusal) (int, any) {
	status := http.StatusOK
	if r != nil {
		status = r.status
	}
	good := x.record(status, r)
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

func (x *exchange) wireAnswer(good bool) wireAnswer {
	coverage := x.answer.Coverage()
	wire := wireAnswer{
		RequestID: x.body.RequestID, Snapshot: x.answer.Version(), Coverage: newCoverage(coverage),
		Partial: !coverage.Complete(), Good: good, SettingsRevision: x.revision,
		Elapsed: x.answer.Elapsed().Duration().String(), Parts: newParts(x.answer.Parts()),
	}
	if x.body.Explain {
		wire.Explain = newExplanation(x.handler.ports.Daemon, x.answer)
	}
	return wire
}

// record evaluates the good-answer expression and counts the outcome. A
// request for an unknown service is not counted, so that callers cannot invent
// series.
func (x *exchange) record(status int, r *refusal) bool {
	if x.effective == nil {
		return false
	}
	facts := telemetry.Answer{
		Latency: x.handler.ports.Clock.Now() - x.began, Status: status, Revision: x.revision,
	}
	if r != nil {
		facts.Code = r.code
	}
	partial := true
	if a := x.answer; a != nil {
		facts.Coverage = a.Coverage().Fraction()
		facts.Shards, facts.Attempts = a.Coverage().Total(), a.Sent()
		facts.Hedges, facts.Retries, facts.LateResults = a.Hedges(), a.Retries(), a.LateResults()
		partial = !a.Coverage().Complete()
	}
	judged := settings.NewAnswerAttributes(status, facts.Coverage, facts.Latency, partial).
		WithCaller(x.body.Class, x.body.Tenant, x.name)
	good, err := x.effective.GoodAnswer().Evaluate(judged)
	facts.Good, facts.GoodExpressionFailed = good, err != nil
	series := telemetry.Series{Service: x.name, Class: x.body.Class, Tenant: x.body.Tenant}
	x.handler.ports.Telemetry.RecordAnswer(series, facts)
	return good
}
