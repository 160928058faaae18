package routing

import (
	"net/http"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/exchange"
)

// call is one running request. All fields but done are used under the lock of
// the engine.
type call struct {
	engine    *Engine
	request   Request
	route     *route.Route
	began     clock.Millis
	state     *dispatch.Request
	exchanges []interface{ Abandon() } // by attempt, as the replies and the steps
	replies   []*exchange.Reply
	part      Part // of the delegation
	delegated bool // by another daemon
	reportIn  clock.Millis
	early     chan Answer // reports to that daemon
	report    func(Part)
	steps     []step
	version   uint64 // of the configuration
	timer     *time.Timer
	finished  bool
	done      chan Answer
}

func (c *call) start() {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock.Now()
	c.began = now
	c.version = e.table.Version()
	deadline := now + c.route.Timeout()
	if c.request.Deadline > 0 {
		deadline = min(deadline, now+c.request.Deadline)
	}
	if e.quarantined(now, &c.request) {
		c.finish(quarantinedAnswer(), "quarantined", nil)
		return
	}
	resources := e.resources(c.route)
	switch {
	case c.delegated:
		resources.Delegated, resources.ReportIn = true, c.reportIn
	case e.parts.Delegates != nil && c.route.Shards() != nil:
		resources.DelegateDataCentres = e.parts.Delegates.DataCentres()
	}
	if e.stopAt > 0 {
		if now+resources.Profile.ExpectedLatency(c.route.Objective())*2 > e.stopAt {
			c.finish(refusal(http.StatusServiceUnavailable, "the daemon stops", leavingRetry), "refused", nil)
			return
		}
		deadline = min(deadline, e.stopAt)
	}
	e.running[c] = struct{}{}
	c.state = dispatch.New(now, c.route, deadline, resources)
	c.perform(now, c.state.Start(now))
}

// perform carries out the actions of the state machine.
func (c *call) perform(now clock.Millis, actions []dispatch.Action) {
	for _, action := range actions {
		switch action.Kind() {
		case dispatch.Send:
			c.send(now, action)
		case dispatch.Delegate:
			c.delegate(now, action)
		case dispatch.Report:
			c.early <- c.gather(action.Outcome())
		case dispatch.Abandon:
			c.exchanges[action.Attempt()].Abandon()
		case dispatch.Wake:
			c.wake(now, action.At())
		case dispatch.Finish:
			c.conclude(action.Outcome())
		}
	}
}

func (c *call) send(now clock.Millis, action dispatch.Action) {
	e := c.engine
	entry := action.Replica().Entry()
	x := e.client.NewExchange(exchange.Spec{
		Address: entry.Address(), Instance: entry.ID(),
		Method: c.request.Method, Target: c.request.Target, Host: c.request.Host,
		Header: c.request.Header, Body: c.request.Body, RequestID: c.request.ID,
		Deadline: action.At(), NewConnection: !c.route.Idempotent(), RequireSuccess: len(c.route.Shards()) > 0,
	})
	c.exchanges = append(c.exchanges, x)
	c.replies = append(c.replies, nil)
	if e.far(action.Replica()) {
		e.reach.RecordRemoteAttempt()
	}
	c.traceSend(now, action)
	e.parts.Meter.Sent(c.route.Name(), entry.Service(), action.Purpose().String())
	go c.run(x, action.Attempt(), action.Replica())
}

func (c *call) run(x *exchange.Exchange, attempt int, asked *replica.Replica) {
	reply, result := x.Run()
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	c.replies[attempt] = reply
	now := e.parts.Clock.Now()
	e.parts.Meter.Ended(asked.Entry().Service(), result.String())
	if result.Answered() && e.far(asked) {
		e.reach.RecordRemoteAnswer(now)
	}
	if !c.finished {
		c.traceEnd(now, attempt, result.String())
	}
	actions := c.state.RecordResult(now, attempt, result)
	e.logBelief(now, asked, result)
	c.perform(now, actions)
}

func (c *call) wake(now, at clock.Millis) {
	delay := max(0, at-now).Duration()
	if c.timer == nil {
		c.timer = time.AfterFunc(delay, c.tick)
		return
	}
	c.timer.Reset(delay)
}

func (c *call) tick() {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock.Now()
	c.perform(now, c.state.Tick(now))
}

// cancel takes that the caller left.
func (c *call) cancel() {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.finished {
		return
	}
	now := e.parts.Clock.Now()
	c.perform(now, c.state.Cancel(now))
}

// conclude turns the outcome into the answer.
func (c *call) conclude(outcome dispatch.Outcome) {
	var answer Answer
	switch outcome.Kind() {
	case dispatch.Answered:
		answer = passOn(c.replies[outcome.Attempt()])
	case dispatch.Gathered:
		answer = c.gather(outcome)
	case dispatch.Refused:
		answer = refusal(http.StatusServiceUnavailable, outcome.Reason(), outcome.RetryAfter())
	case dispatch.Unavailable:
		answer = Answer{status: http.StatusBadGateway, reason: outcome.Reason()}
	case dispatch.TimedOut:
		answer = Answer{status: http.StatusGatewayTimeout, reason: outcome.Reason()}
	case dispatch.CallerGone:
		answer = Answer{status: statusCallerLeft, gone: true}
	}
	now := c.engine.parts.Clock.Now()
	if !c.delegated {
		c.engine.reach.RecordOutcome(now, outcome)
		c.noteCrash(now, outcome.Kind())
	}
	c.finish(answer, outcome.Kind().String(), outcome.Missing())
}

// gather merges the parts of an answer over many shards.
func (c *call) gather(outcome dispatch.Outcome) Answer {
	parts := make([]Part, len(outcome.Parts()))
	for i, attempt := range outcome.Parts() {
		parts[i] = c.part
		if reply := c.replies[attempt]; reply != nil {
			parts[i] = partOf(reply)
		}
	}
	answer := merge(c.route, parts, outcome.Missing())
	answer.outcome, answer.lost = outcome, c.lost()
	return answer
}

// statusCallerLeft is only counted; nobody reads it.
const statusCallerLeft = 499

// passOn returns a replica's answer. A success without proof, and a status that
// promises that the request has not run, are not passed on.
func passOn(reply *exchange.Reply) Answer {
	status := reply.Status()
	switch {
	case status < http.StatusMultipleChoices && (reply.Seal() == "" || reply.Header().Get("Content-Encoding") != ""),
		status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests,
		status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest:
		return Answer{status: http.StatusBadGateway, reason: "the replica's answer cannot be passed on"}
	}
	return Answer{status: status, reply: reply}
}

func (c *call) finish(answer Answer, outcome string, missing []string) {
	e := c.engine
	c.finished = true
	delete(e.running, c)
	if c.timer != nil {
		c.timer.Stop()
	}
	now := e.parts.Clock.Now()
	if !c.delegated {
		e.parts.Meter.Finished(c.route, outcome, answer.status, answer.Missing(), now-c.began)
	}
	c.log(now, answer, outcome, missing)
	c.done <- answer
}
