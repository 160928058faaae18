package routing

import (
	"cmp"
	"context"
	"fmt"
	"net/http"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/exchange"
)

// GatherRequest is what a daemon asks one of another data centre to gather for it: the
// parts of some shards of a request.
type GatherRequest struct {
	Request        Request // Deadline is the time left
	Route          string
	Services       []string // the shards
	Objective      clock.Millis
	ReportIn       clock.Millis // when the parts that are there are wanted
	Priority       int
	TopK           int
	AllowedRegions []string
}

// Part is a part of an answer over many shards: the records of some shards and
// the proofs of the replicas that made them.
type Part struct {
	Covered     []string // the shards that are in
	Failed      []string // shards that it does not give
	Shed        []string // shards that it does not give and that no replica has run
	HedgeDue    bool     // a hedge of the other shards is due
	Seals       []string
	Records     []byte
	LostReplica string // a replica whose connection was lost, or ""
	NotRun      bool   // no replica was asked and none will be
}

func partFromReply(reply *exchange.Reply) Part {
	return Part{Seals: []string{reply.Seal()}, Records: reply.Body()}
}

// Delegates are the daemons of other data centres that gather shards for this
// one. Its methods must not wait for the engine.
type Delegates interface {
	// DataCentres returns where there is a daemon to ask, in random order.
	DataCentres() []string
	// Gather asks a daemon of the data centre. It may call report with the parts
	// that are there early and returns the others, if any. The end of ctx gives it
	// up.
	Gather(ctx context.Context, dataCentre string, ask GatherRequest, report func(Part)) Part
}

// Gather gathers shards for a daemon of another data centre, from one replica of
// this data centre each. It calls report with the parts that are there when they
// are wanted, then with each one, and returns the others. The other daemon has
// let the request in, so the load does not matter here.
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

// delegationRunningLimit bounds the requests that a daemon runs when it takes delegated ones.
const delegationRunningLimit = 2048

// acceptsDelegation reports whether this daemon gathers the shards for another one. It must
// know their limits from its configuration.
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

func (a Answer) part() Part {
	return Part{
		Covered: a.outcome.Covered(), Seals: a.seals, Records: a.body, LostReplica: a.lostReplica,
		Failed: a.outcome.Failed(), Shed: a.outcome.Shed(), HedgeDue: a.outcome.HedgeDue(),
	}
}

// delegate hands shards to a daemon of another data centre.
func (c *call) delegate(now clock.Millis, action dispatch.Action) {
	e := c.engine
	ctx, cancel := context.WithTimeout(context.Background(), (action.At() - now).Duration())
	c.exchanges = append(c.exchanges, abandoner(cancel))
	c.replies = append(c.replies, nil)
	c.traces = append(c.traces, exchangeTrace{
		Service: fmt.Sprintf("%d shards", len(action.Shards())), Replica: action.DataCentre(), Purpose: "delegated",
		At: truncateToTenths(now - c.began), Result: unanswered, ListedAgo: truncateToTenths(now - e.storeViewTime),
	})
	for _, service := range action.Shards() {
		e.deps.Meter.AttemptSent(c.route.Name(), service, "delegated")
	}
	e.partition.RecordRemoteAttempt()
	ask := GatherRequest{
		Request: c.request, Route: c.route.Name(), Services: action.Shards(),
		Objective: c.route.Objective(), ReportIn: action.ReportIn(), Priority: c.route.Priority(), TopK: c.route.TopK(), AllowedRegions: c.route.AllowedRegions(),
	}
	ask.Request.Deadline = action.At() - now
	go func() {
		defer cancel()
		c.handleReport(action, true, e.deps.Delegates.Gather(ctx, action.DataCentre(), ask, func(part Part) {
			c.handleReport(action, false, part)
		}))
	}()
}

// handleReport takes a report of the delegation, or its end.
func (c *call) handleReport(action dispatch.Action, last bool, part Part) {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Now()
	for _, service := range part.Covered {
		e.deps.Meter.AttemptEnded(service, "delegated")
	}
	if len(part.Covered) > 0 || part.NotRun {
		e.partition.RecordRemoteAnswer(now)
	}
	if !c.finished {
		c.delegatedPart.Covered = append(c.delegatedPart.Covered, part.Covered...)
		c.delegatedPart.Seals = append(c.delegatedPart.Seals, part.Seals...)
		c.delegatedPart.Records = append(c.delegatedPart.Records, part.Records...)
		c.delegatedPart.LostReplica = cmp.Or(c.delegatedPart.LostReplica, part.LostReplica)
		result := fmt.Sprintf("%d parts", len(c.delegatedPart.Covered))
		if len(c.delegatedPart.Covered) == len(action.Shards()) {
			result = "ok"
		}
		c.traceEnd(now, action.Attempt(), result)
	}
	c.perform(now, c.machine.HandleDelegationReport(now, dispatch.DelegationReport{
		Covered: part.Covered, Failed: part.Failed, Shed: part.Shed, HedgeDue: part.HedgeDue, Last: last, NotRun: part.NotRun,
	}))
}

// abandoner gives a delegation up.
type abandoner context.CancelFunc

// Abandon says that the answer is not wanted any more.
func (a abandoner) Abandon() { a() }
