package routing

import (
	"context"
	"fmt"
	"net/http"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/exchange"
)

// GatherRequest asks a daemon of another data centre to query some shards of a
// request and to return their parts.
type GatherRequest struct {
	Request        Request // its Deadline is the time left when it is sent
	Route          string
	Services       []string // one service per shard
	Objective      clock.Millis
	ReportIn       clock.Millis // time after which the parts received so far are reported
	Priority       int
	TopK           int
	AllowedRegions []string
}

// Part is a part of an answer over many shards: the records of some shards and
// the proofs of the replicas that returned them.
type Part struct {
	Covered     []string // services of the shards that the part answers
	Failed      []string // shards that will not be answered
	Shed        []string // shards that will not be answered and that no replica has run
	HedgeDue    bool     // whether a hedge of the other shards is due
	Seals       []string
	Records     []byte
	LostReplica string                // a replica whose connection was lost, as runOf names it, or ""
	Leaving     []replica.Observation // replicas that stated that they leave
	NotRun      bool                  // whether no attempt was made and none will be
}

func partFromReply(reply *exchange.Reply) Part {
	return Part{Seals: []string{reply.Seal()}, Records: reply.Body()}
}

// Delegates gathers shards through daemons of other data centres. DataCentres is
// called under the lock of the engine, which report of Gather takes: Gather must not
// call report while it holds a lock that DataCentres needs.
type Delegates interface {
	// DataCentres returns the data centres that have a usable daemon, in random
	// order.
	DataCentres() []string
	// Gather sends the request to a daemon of the data centre. It may call report
	// with early parts and returns the remaining ones, if any. It returns when ctx
	// ends.
	Gather(ctx context.Context, dataCentre string, gather GatherRequest, report func(Part)) Part
}

// Gather queries shards for a daemon of another data centre, with one attempt per
// shard at a replica of this data centre. After gather.ReportIn it calls report with
// the parts received so far, then with each further one, and returns the rest. The
// delegating daemon has admitted the request, so there is no admission here.
func (e *Engine) Gather(ctx context.Context, gather GatherRequest, report func(Part)) Part {
	r, err := route.NewRoute(route.Spec{
		Name: gather.Route, Host: gather.Request.Host, Prefix: "/", Idempotent: true,
		Timeout: gather.Request.Deadline, Objective: gather.Objective, MaxAttempts: 1, Priority: gather.Priority,
		Shards: gather.Services, TopK: gather.TopK, AllowedRegions: gather.AllowedRegions,
	})
	if err != nil || !e.acceptsDelegation(gather.Services) {
		return Part{NotRun: true}
	}
	answer := e.run(ctx, &call{
		engine: e, request: gather.Request, route: r, delegated: true, reportIn: gather.ReportIn,
		done: make(chan Answer, 1), earlyAnswers: make(chan Answer, 2*len(gather.Services)+1), onReport: report,
	})
	switch answer.status {
	case http.StatusOK:
		return answer.part()
	case http.StatusServiceUnavailable:
		return Part{NotRun: true}
	default:
		return Part{}
	}
}

// delegationRunningLimit is the number of running requests, own and delegated, from
// which on a daemon accepts no delegated ones.
const delegationRunningLimit = 2048

// acceptsDelegation reports whether this daemon gathers the shards for another one. All
// services must be in its configuration, since that sets their connection limits.
func (e *Engine) acceptsDelegation(services []string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table == nil || len(e.running) >= delegationRunningLimit {
		return false
	}
	known := e.table.Services()
	for _, service := range services {
		if _, ok := known[service]; !ok {
			return false
		}
	}
	return true
}

// part returns the answer as a report for the delegating daemon.
func (a Answer) part() Part {
	return Part{
		Covered: a.outcome.Covered(), Seals: a.seals, Records: a.body, LostReplica: a.lostReplica,
		Failed: a.outcome.Failed(), Shed: a.outcome.Shed(), HedgeDue: a.outcome.HedgeDue(), Leaving: a.leaving,
	}
}

// delegate delegates shards to a daemon of another data centre. The caller holds the
// lock.
func (c *call) delegate(now clock.Millis, action dispatch.Action) {
	e := c.engine
	ctx, cancel := context.WithTimeout(context.Background(), (action.At() - now).Duration())
	c.exchanges = append(c.exchanges, abandoner(cancel))
	c.replies = append(c.replies, nil)
	c.traces = append(c.traces, exchangeTrace{
		Service: fmt.Sprintf("%d shards", len(action.Shards())), Replica: action.DataCentre(), Purpose: "delegated",
		At: truncateToTenths(now - c.startedAt), Result: unanswered, ListedAgo: truncateToTenths(now - e.storeViewTime),
	})
	for _, service := range action.Shards() {
		e.deps.Meter.AttemptSent(c.route.Name(), service, "delegated")
	}
	e.partition.RecordRemoteAttempt()
	gather := GatherRequest{
		Request: c.request, Route: c.route.Name(), Services: action.Shards(),
		Objective: c.route.Objective(), ReportIn: action.ReportIn(), Priority: c.request.Tenant.PriorityOn(c.route),
		TopK: c.route.TopK(), AllowedRegions: c.route.AllowedRegions(),
	}
	gather.Request.Deadline = action.At() - now
	go func() {
		defer cancel()
		c.handleReport(action, true, e.deps.Delegates.Gather(ctx, action.DataCentre(), gather, func(part Part) {
			c.handleReport(action, false, part)
		}))
	}()
}

// handleReport handles a report of the delegate. The last one ends the delegation.
func (c *call) handleReport(action dispatch.Action, last bool, part Part) {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	defer c.recoverPanic()
	now := e.deps.Clock.Now()
	for _, service := range part.Covered {
		e.deps.Meter.AttemptEnded(service, "delegated")
	}
	if len(part.Covered) > 0 || part.NotRun {
		e.partition.RecordRemoteAnswer(now)
	}
	e.replicas.ReceiveObservations(now, part.Leaving)
	if !c.finished {
		c.delegatedPart.Covered = append(c.delegatedPart.Covered, part.Covered...)
		c.delegatedPart.Seals = append(c.delegatedPart.Seals, part.Seals...)
		c.delegatedPart.Records = append(c.delegatedPart.Records, part.Records...)
		if part.LostReplica != "" {
			c.suspect(now, part.LostReplica)
		}
		result := fmt.Sprintf("%d parts", len(c.delegatedPart.Covered))
		if len(c.delegatedPart.Covered) == len(action.Shards()) {
			result = "ok"
		}
		c.traceEnd(now, action.Attempt(), result)
	}
	c.machine.ForbidAttempts(c.refusedAttempts())
	c.perform(now, c.machine.HandleDelegationReport(now, dispatch.DelegationReport{
		Covered: part.Covered, Failed: part.Failed, Shed: part.Shed, HedgeDue: part.HedgeDue, Last: last, NotRun: part.NotRun,
	}))
}

// abandoner cancels the context of a delegation, so that call.exchanges can hold it
// beside exchanges with replicas.
type abandoner context.CancelFunc

// Abandon ends the delegation, whose result is no longer needed.
func (a abandoner) Abandon() { a() }
