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

// queryCall is the state of one HTTP request for a query. Its effective settings
// are nil if the service is unknown, and its answer is nil unless the query ran.
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
	q := &queryCall{handler: h, startedAt: h.deps.Clock.Now(), user: c.Param("user"), service: c.Param("service")}
	q.serviceName = q.user + "/" + q.service
	r := q.run(c)
	status, body := q.reply(r)
	return c.JSON(status, body)
}

// run runs the query. It returns nil if the answer is to be sent, otherwise a
// refusal. An answer below the minimum coverage is set together with a refusal.
func (q *queryCall) run(c echo.Context) *refusal {
	h := q.handler
	q.tree, q.revision = h.deps.Settings.CurrentSettings()
	service, ok := h.deps.Services.Service(q.serviceName)
	if ok {
		q.effective, _ = q.tree.Effective(q.user, q.service)
	}
	var r *refusal
	if q.body, r = decodeRequest(c); r != nil {
		return r
	}
	if r := h.notReady(); r != nil {
		return q.refuseBeforeTicketCheck(r)
	}
	if !ok {
		return q.refuseBeforeTicketCheck(newRefusal(http.StatusNotFound, "unknown-service", "no service %s", q.serviceName))
	}
	// For a class that the tree does not name, Effective returns the settings of
	// the nearest level above.
	q.effective, _ = q.tree.Effective(q.user, q.service, q.body.Class)
	timeout, r := requestTimeout(q.body, q.effective)
	if r != nil {
		return q.refuseBeforeTicketCheck(r)
	}
	if q.body.RequestID == "" {
		q.body.RequestID = h.newRequestID()
	}
	request := h.newRequest(q.serviceName, q.body.RequestID, q.body, timeout)
	if request.Idempotent() {
		return q.execute(c, service, request)
	}
	return q.executeWithTicket(c, service, request)
}

// refuseBeforeTicketCheck returns r for a request whose ticket was not checked. A request
// with a ticket may have run when it was sent before, so r then states
// query.MayHaveRun.
func (q *queryCall) refuseBeforeTicketCheck(r *refusal) *refusal {
	if !isIdempotent(q.body) && q.body.Ticket != "" {
		r.runState = query.MayHaveRun
	}
	return r
}

// executeWithTicket admits the ticket of a non-idempotent request, runs the
// request, and records its run state for the ticket.
func (q *queryCall) executeWithTicket(c echo.Context, service Service, request query.Request) *refusal {
	t, r := q.handler.admitTicket(q.body.Ticket)
	if r != nil {
		return r
	}
	runState := query.MayHaveRun // also if the run panics
	defer func() { q.recordTicketOutcome(t, runState) }()
	r = q.execute(c, service, request)
	if r != nil {
		runState = r.runState
	} else {
		runState = q.answer.RunState()
	}
	return r
}

func (q *queryCall) recordTicketOutcome(t ticket.Ticket, runState query.RunState) {
	q.handler.tickets.recordOutcome(t, runState)
}

// execute runs the query and sets q.answer, unless the request was refused or the
// caller disconnected.
func (q *queryCall) execute(c echo.Context, service Service, request query.Request) *refusal {
	weight := q.tree.TenantWeight(q.user, q.service, q.body.Tenant)
	caller := engine.NewCaller(q.effective.Priority(), weight).WithExplanation(q.body.Explain)
	answer, err := service.Run(c.Request().Context(), request, caller)
	switch {
	case errors.Is(err, engine.ErrRefused):
		return newRefusal(http.StatusTooManyRequests, "refused", "%v", err)
	case err != nil:
		return newRefusal(statusClientClosedRequest, "caller-gone", "%v", err)
	}
	q.answer = answer
	return answerRefusal(answer)
}

// statusClientClosedRequest is recorded in metrics for callers that disconnected; it
// reaches no caller.
const statusClientClosedRequest = 499

// answerRefusal returns the refusal for the outcome of an answer, or nil if the
// outcome is query.Answered.
func answerRefusal(answer *query.Answer) *refusal {
	switch answer.Outcome() {
	case query.Answered:
		return nil
	case query.NoSnapshot:
		return newRefusal(http.StatusServiceUnavailable, "no-upstream",
			"no snapshot of the service is known").withRunState(answer.RunState())
	case query.Quarantined:
		return newRefusal(http.StatusUnprocessableEntity, "quarantined",
			"requests with this content crash upstreams").withRunState(answer.RunState())
	case query.Abandoned:
		return newRefusal(statusClientClosedRequest, "caller-gone",
			"the caller closed the connection").withRunState(answer.RunState())
	default:
		return newRefusal(http.StatusGatewayTimeout, "below-minimum",
			"%d of %d shards answered, below the minimum coverage",
			answer.Coverage().Covered(), answer.Coverage().Total()).withRunState(answer.RunState())
	}
}

// reply records the answer or refusal in the metrics and returns the HTTP status
// and body.
func (q *queryCall) reply(r *refusal) (int, any) {
	status := http.StatusOK
	if r != nil {
		status = r.status
	}
	good := q.recordOutcome(status, r)
	if q.answer == nil {
		return status, r.wire()
	}
	wire := q.wireAnswer(good)
	if r == nil {
		return status, wire
	}
	failure := r.wire()
	failure.Answer = &wire
	return status, failure
}

func (q *queryCall) wireAnswer(good bool) wireAnswer {
	coverage := q.answer.Coverage()
	wire := wireAnswer{
		RequestID: q.body.RequestID, Snapshot: q.answer.Version(), Coverage: newWireCoverage(coverage),
		Partial: !coverage.Complete(), Good: good, SettingsRevision: q.revision,
		Elapsed: q.answer.Elapsed().Duration().String(), Parts: newWireParts(q.answer.Parts()),
	}
	if q.body.Explain {
		wire.Explain = newWireExplanation(q.handler.deps.Daemon, q.answer)
	}
	return wire
}

// recordOutcome evaluates the good-answer expression, records the outcome in the
// metrics and reports whether the answer is good. Requests for unknown services
// are not recorded, so that callers cannot create metric series.
func (q *queryCall) recordOutcome(status int, r *refusal) bool {
	if q.effective == nil {
		return false
	}
	answer := telemetry.Answer{
		Latency: q.handler.deps.Clock.Now() - q.startedAt, Status: status, Revision: q.revision,
	}
	if r != nil {
		answer.Code = r.code
	}
	partial := true
	if a := q.answer; a != nil {
		answer.Coverage = a.Coverage().Fraction()
		answer.Shards, answer.Attempts = a.Coverage().Total(), a.Sent()
		answer.Hedges, answer.Retries, answer.LateResults = a.Hedges(), a.Retries(), a.LateResults()
		partial = !a.Coverage().Complete()
	}
	attributes := settings.NewAnswerAttributes(status, answer.Coverage, answer.Latency, partial).
		WithCaller(q.body.Class, q.body.Tenant, q.serviceName)
	good, err := q.effective.GoodAnswer().Evaluate(attributes)
	answer.Good, answer.GoodExpressionFailed = good, err != nil
	series := telemetry.Series{Service: q.serviceName, Class: q.body.Class, Tenant: q.body.Tenant}
	q.handler.deps.Telemetry.RecordAnswer(series, answer)
	return good
}
