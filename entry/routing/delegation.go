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

// Ask is what a daemon asks one of another data centre to gather for it: the
// parts of some shards of a request.
type Ask struct {
	Request   Request // Deadline is the time left
	Route     string
	Services  []string // the shards
	Objective clock.Millis
	ReportIn  clock.Millis // when the parts that are there are wanted
	Priority  int
	TopK      int
	Regions   []string
}

// Part is a part of an answer over many shards: the records of some shards and
// the proofs of the replicas that made them.
type Part struct {
	Services []string // the shards that are in
	GaveUp   []string // shards that it does not give
	Shed     []string // shards that it does not give and that no replica has run
	Due      bool     // a hedge of the other shards is due
	Seals    []string
	Records  []byte
	Lost     string // a replica whose connection was lost, or ""
	NotRun   bool   // no replica was asked and none will be
}

func partOf(reply *exchange.Reply) Part {
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
	Gather(ctx context.Context, dataCentre string, ask Ask, report func(Part)) Part
}

// Gather gathers shards for a daemon of another data centre, from one replica of
// this data centre each. It calls report with the parts that are there when they
// are wanted, then with each one, and returns the others. The other daemon has
// let the request in, so the load does not matter here.
func (e *Engine) Gather(ctx context.Context, ask Ask, report func(Part)) Part {
	r, err := route.NewRoute(route.Spec{
		Name: ask.Route, Host: ask.Request.Host, Prefix: "/", Idempotent: true,
		Timeout: ask.Request.Deadline, Objective: ask.Objective, MaxAttempts: 1, Priority: ask.Priority,
		Shards: ask.Services, TopK: ask.TopK, AllowedRegions: ask.Regions,
	})
	if err != nil || !e.takes(ask.Services) {
		return Part{NotRun: true}
	}
	answer := e.do(ctx, &call{
		engine: e, request: ask.Request, route: r, delegated: true, reportIn: ask.ReportIn,
		done: make(chan Answer, 1), early: make(chan Answer, 2*len(ask.Services)+1), report: report,
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

// maxRunning bounds the requests that a daemon runs when it takes delegated ones.
const maxRunning = 2048

// takes reports whether this daemon gathers the shards for another one. It must
// know their limits from its configuration.
func (e *Engine) takes(services []string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.table == nil || len(e.running) >= maxRunning {
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
		Services: a.outcome.Covered(), Seals: a.seals, Records: a.body, Lost: a.lost,
		GaveUp: a.outcome.Failed(), Shed: a.outcome.Shed(), Due: a.outcome.HedgeDue(),
	}
}

// delegate hands shards to a daemon of another data centre.
func (c *call) delegate(now clock.Millis, action dispatch.Action) {
	e := c.engine
	ctx, cancel := context.WithTimeout(context.Background(), (action.At() - now).Duration())
	c.exchanges = append(c.exchanges, abandoner(cancel))
	c.replies = append(c.replies, nil)
	c.steps = append(c.steps, step{
		Service: fmt.Sprintf("%d shards", len(action.Shards())), Replica: action.DataCentre(), Purpose: "delegated",
		At: round(now - c.began), Result: unanswered, ListedAgo: round(now - e.viewed),
	})
	for _, service := range action.Shards() {
		e.parts.Meter.Sent(c.route.Name(), service, "delegated")
	}
	e.reach.RecordRemoteAttempt()
	ask := Ask{
		Request: c.request, Route: c.route.Name(), Services: action.Shards(),
		Objective: c.route.Objective(), ReportIn: action.ReportIn(), Priority: c.route.Priority(), TopK: c.route.TopK(), Regions: c.route.AllowedRegions(),
	}
	ask.Request.Deadline = action.At() - now
	go func() {
		defer cancel()
		c.gathered(action, true, e.parts.Delegates.Gather(ctx, action.DataCentre(), ask, func(part Part) {
			c.gathered(action, false, part)
		}))
	}()
}

// gathered takes a report of the delegation, or its end.
func (c *call) gathered(action dispatch.Action, last bool, part Part) {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock.Now()
	for _, service := range part.Services {
		e.parts.Meter.Ended(service, "delegated")
	}
	if len(part.Services) > 0 || part.NotRun {
		e.reach.RecordRemoteAnswer(now)
	}
	if !c.finished {
		c.part.Services = append(c.part.Services, part.Services...)
		c.part.Seals = append(c.part.Seals, part.Seals...)
		c.part.Records = append(c.part.Records, part.Records...)
		c.part.Lost = cmp.Or(c.part.Lost, part.Lost)
		result := fmt.Sprintf("%d parts", len(c.part.Services))
		if len(c.part.Services) == len(action.Shards()) {
			result = "ok"
		}
		c.traceEnd(now, action.Attempt(), result)
	}
	c.perform(now, c.state.HandleDelegationReport(now, dispatch.DelegationReport{
		Covered: part.Services, Failed: part.GaveUp, Shed: part.Shed, HedgeDue: part.Due, Last: last, NotRun: part.NotRun,
	}))
}

// abandoner gives a delegation up.
type abandoner context.CancelFunc

// Abandon says that the answer is not wanted any more.
func (a abandoner) Abandon() { a() }
