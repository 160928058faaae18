package routing

import (
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/exchange"
)

// call is a request in progress. Its fields, other than the channels, request,
// route and onReport, are guarded by the lock of the engine.
type call struct {
	engine               *Engine
	request              Request
	route                *route.Route
	startedAt            clock.Millis
	submittedAt          clock.Millis // before the waits for the tenant's allowance and for the lock of the engine
	timerAt              clock.Millis // instant for which the timer is set
	decidedAt            clock.Millis // instant of the decision to answer, or 0
	machine              *dispatch.Request
	exchanges            []interface{ Abandon() } // by attempt, like replies and traces
	replies              []*exchange.Reply
	delegatedPart        Part // merged reports of the delegate
	delegated            bool // whether another daemon delegated this request to us
	reportIn             clock.Millis
	earlyAnswers         chan Answer // reports for the delegating daemon
	onReport             func(Part)
	leaving              []replica.Observation // replicas that stated that they leave
	lostReplicas         []string              // that the request may have crashed, as runOf names them
	traces               []exchangeTrace
	configurationVersion uint64
	timer                *time.Timer
	finished             bool
	done                 chan Answer
}

// stopLatencyFactor is the multiple of the expected latency that must remain
// before the planned stop for a request to be accepted.
const stopLatencyFactor = 2

func (c *call) start() {
	e := c.engine
	if c.submittedAt = c.request.submittedAt; c.submittedAt <= 0 {
		c.submittedAt = e.deps.Clock.Now()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer c.recoverPanic()
	now := e.deps.Clock.Now()
	c.startedAt = now
	c.configurationVersion = e.table.Version()
	deadline := now + c.route.Timeout()
	if c.request.Deadline > 0 {
		deadline = min(deadline, now+c.request.Deadline)
	}
	if e.isQuarantined(now, &c.request) {
		c.finish(quarantinedAnswer(), "quarantined", nil)
		return
	}
	resources := e.resources(c.route, c.request.Tenant)
	resources.Arrival = c.request.Arrival
	resources.Arrival.Waited += now - c.submittedAt
	switch {
	case c.delegated:
		resources.Delegated, resources.ReportIn, resources.Arrival = true, c.reportIn, dispatch.Arrival{}
	case e.deps.Delegates != nil && c.route.Shards() != nil:
		resources.DelegateDataCentres = e.deps.Delegates.DataCentres()
	}
	if e.stopAt > 0 {
		if now+resources.Profile.ExpectedLatency(c.route.Objective())*stopLatencyFactor > e.stopAt {
			c.finish(refusal(http.StatusServiceUnavailable, "the daemon is shutting down", stoppingRetryAfter), "refused", nil)
			return
		}
		deadline = min(deadline, e.stopAt)
	}
	e.running[c] = struct{}{}
	c.machine = dispatch.New(now, c.route, deadline, resources)
	c.machine.ForbidAttempts(c.refusedAttempts())
	c.perform(now, c.machine.Start(now))
}

// perform carries out the actions of the state machine. The caller holds the lock.
func (c *call) perform(now clock.Millis, actions []dispatch.Action) {
	for _, action := range actions {
		switch action.Kind() {
		case dispatch.Send:
			c.send(now, action)
		case dispatch.Delegate:
			c.delegate(now, action)
		case dispatch.Report:
			c.earlyAnswers <- c.gatheredAnswer(action.Outcome())
		case dispatch.Abandon:
			c.exchanges[action.Attempt()].Abandon()
		case dispatch.Wake:
			c.setTimer(now, action.At())
		case dispatch.Finish:
			c.handleOutcome(action.Outcome())
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
		Deadline: action.At(), RequireSuccess: len(c.route.Shards()) > 0,
		NewConnection: !c.route.Idempotent() || c.sentTo(entry.ID()) || c.needsNewConnection(now),
	})
	c.exchanges = append(c.exchanges, x)
	c.replies = append(c.replies, nil)
	if e.isRemote(action.Replica()) {
		e.partition.RecordRemoteAttempt()
	}
	c.traceSend(now, action)
	e.deps.Meter.AttemptSent(c.route.Name(), entry.Service(), action.Purpose().String())
	go c.runExchange(x, now, action.Attempt(), action.Replica())
}

// sentTo reports whether an earlier attempt of the request went to the replica. Its
// second reply could be taken for that of a later attempt on the same connection, since
// both state the same ID.
func (c *call) sentTo(id string) bool {
	return slices.ContainsFunc(c.traces, func(t exchangeTrace) bool { return t.Replica == id })
}

func (c *call) runExchange(x *exchange.Exchange, sent clock.Millis, attempt int, target *replica.Replica) {
	reply, result := x.Run()
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	defer c.recoverPanic()
	c.replies[attempt] = reply
	now := e.deps.Clock.Now()
	e.deps.Meter.AttemptEnded(target.Entry().Service(), result.String())
	if result.Answered() && e.isRemote(target) {
		e.partition.RecordRemoteAnswer(now)
	}
	if !c.finished {
		c.traceEnd(now, attempt, result.String())
	}
	if reply != nil {
		c.recordNotices(now, attempt, target, reply.Notices())
	}
	c.updateQuarantine(now, sent, target.Entry(), result, reply)
	if connected, ok := x.ConnectedAt(); ok {
		c.recordEvidence(now, connected, target, result)
	}
	c.machine.ForbidAttempts(c.refusedAttempts())
	actions := c.machine.RecordResult(now, attempt, result)
	e.logStateChange(now, target, result)
	c.perform(now, actions)
}

// recordNotices applies what a reply states about its replica. The caller holds the
// lock.
func (c *call) recordNotices(now clock.Millis, attempt int, target *replica.Replica, notices replica.Notices) {
	c.machine.RecordNotices(now, attempt, notices)
	entry := target.Entry()
	if notices.Leaving {
		c.leaving = append(c.leaving, replica.NewObservation(entry.ID(), 0, 0).AsLeaving(entry.Incarnation()))
	}
	if notices.RetryAfter > 0 {
		c.engine.deps.Log.V(1).Info("replica turned the daemon away", "replica", entry.ID(), "service", entry.Service(),
			"retryAfter", truncateToTenths(notices.RetryAfter), "request", c.request.ID)
	}
}

func (c *call) setTimer(now, at clock.Millis) {
	c.timerAt = max(now, at)
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
	defer c.recoverPanic()
	now := e.deps.Clock.Now()
	if !c.finished && now >= c.timerAt { // else it was set again after it had fired
		e.lateness.Record(now, c.timerAt)
	}
	c.machine.ForbidAttempts(c.refusedAttempts())
	c.perform(now, c.machine.Tick(now))
}

// recoverPanic ends the request if handling one of its events panics, so that the others
// of the daemon go on. The request may have run. It must be deferred, and the caller
// holds the lock.
func (c *call) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	e := c.engine
	e.panics++
	e.deps.Log.Error(errors.Newf("%v", cause), "panic in a request; only this request ends", "request", c.request.ID,
		"route", c.route.Name(), "stack", string(debug.Stack()))
	if c.finished {
		return
	}
	c.finished = true
	delete(e.running, c)
	if c.timer != nil {
		c.timer.Stop()
	}
	for _, x := range c.exchanges {
		if c.route.Idempotent() {
			x.Abandon()
		}
	}
	c.done <- Answer{status: http.StatusBadGateway, reason: "internal error"}
}

// cancel handles a caller that left before there was an answer.
func (c *call) cancel() {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.finished {
		return
	}
	now := e.deps.Clock.Now()
	c.perform(now, c.machine.Cancel(now))
}

// handleOutcome turns the outcome of the state machine into the answer and finishes the call.
func (c *call) handleOutcome(outcome dispatch.Outcome) {
	var answer Answer
	if kind := outcome.Kind(); kind == dispatch.Answered || kind == dispatch.Gathered {
		// Refusals are short, and would hide the time that answers need.
		c.decidedAt = c.engine.deps.Clock.Now()
	}
	switch outcome.Kind() {
	case dispatch.Answered:
		answer = answerFromReply(c.replies[outcome.Attempt()])
	case dispatch.Gathered:
		answer = c.gatheredAnswer(outcome)
	case dispatch.Refused:
		answer = refusal(http.StatusServiceUnavailable, outcome.Reason(), outcome.RetryAfter())
	case dispatch.Unavailable:
		answer = Answer{status: http.StatusBadGateway, reason: outcome.Reason()}
	case dispatch.TimedOut:
		answer = Answer{status: http.StatusGatewayTimeout, reason: outcome.Reason()}
	case dispatch.CallerGone:
		answer = Answer{status: statusCallerGone, callerGone: true}
	}
	now := c.engine.deps.Clock.Now()
	if !c.delegated {
		c.engine.partition.RecordOutcome(now, outcome)
		c.reportCrashes(now, outcome.Kind())
	}
	c.finish(answer, outcome.Kind().String(), outcome.Missing())
}

// gatheredAnswer merges the parts that the outcome names into an answer over many shards.
func (c *call) gatheredAnswer(outcome dispatch.Outcome) Answer {
	parts := make([]Part, len(outcome.Parts()))
	for i, attempt := range outcome.Parts() {
		parts[i] = c.delegatedPart
		if reply := c.replies[attempt]; reply != nil {
			parts[i] = partFromReply(reply)
		}
	}
	answer := mergeParts(c.route, parts, outcome.Missing())
	answer.outcome, answer.leaving = outcome, c.leaving
	if len(c.lostReplicas) > 0 {
		answer.lostReplica = c.lostReplicas[0]
	}
	return answer
}

// statusCallerGone appears in logs and metrics only, since no caller is left to read
// it. The value is the one that nginx uses.
const statusCallerGone = 499

// answerFromReply passes a replica's reply on. It replaces a reply below status 500 that
// has no seal, a compressed success, and the statuses by which a daemon promises that a
// request has not run: the replica may have run it.
func answerFromReply(reply *exchange.Reply) Answer {
	status := reply.Status()
	switch {
	case status < http.StatusInternalServerError && !reply.Sealed(),
		status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests,
		status == http.StatusRequestTimeout, status == http.StatusMisdirectedRequest:
		return Answer{
			status: http.StatusBadGateway,
			reason: "the replica's answer cannot be passed on: no seal, compressed or reserved status",
		}
	}
	return Answer{status: status, reply: reply}
}

// finish records the answer and delivers it. The caller holds the lock.
func (c *call) finish(answer Answer, outcome string, missing []string) {
	e := c.engine
	c.finished = true
	delete(e.running, c)
	if c.timer != nil {
		c.timer.Stop()
	}
	now := e.deps.Clock.Now()
	answer.route, answer.decidedAt = c.route, c.decidedAt
	if !c.delegated {
		e.deps.Meter.RequestFinished(c.route, outcome, answer.status, answer.Missing(), now-c.startedAt)
	}
	c.logFinished(now, answer, outcome, missing)
	c.done <- answer
}
