package matrix_test

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/admission"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/ticket"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// job is the handling of one call by a daemon. It implements query.Picker.
type job struct {
	d                *daemon
	call             *call
	id               admission.ID
	ticket           ticket.Ticket
	query            *query.Query
	cancels          map[query.AttemptID]func() // by running attempt
	wakeNumber       int                        // of the latest wake-up, which voids earlier ones
	finished         bool
	settingsRevision uint64 // in force when the request arrived
}

// isSubject reports whether j handles the query under test.
func (j *job) isSubject() bool { return j.call.request.id == j.d.w.subjectID }

// reachStep reports a step to the world if j handles the query under test.
func (j *job) reachStep(step string) {
	if j.isSubject() {
		j.d.w.reachStep(step)
	}
}

// Pick passes the request to the pool and reports the step of a hedge.
func (j *job) Pick(now clock.Millis, pick upstream.PickRequest) (upstream.Choice, error) {
	choice, err := j.d.pool.Pick(now, pick)
	if err == nil && pick.Purpose() == upstream.Hedge {
		j.d.w.schedule(0, func() { j.reachStep("hedge") })
	}
	return choice, err
}

// Done passes the result to the pool.
func (j *job) Done(now clock.Millis, choice upstream.Choice, result upstream.Result) {
	j.d.pool.Done(now, choice, result)
}

// handleRequest refuses the request of a caller or puts it into the admission queue.
func (d *daemon) handleRequest(k *call) {
	j := &job{d: d, call: k, cancels: map[query.AttemptID]func(){}, settingsRevision: d.settingsRevision}
	if d == d.w.focus && d.drain.ClosesConnections() {
		d.w.reachStep("last advice")
	}
	d.drain.BeginRequest()
	if d.refusesRequests() {
		j.refuse(query.NotRun)
		return
	}
	if k.request.nonIdempotent && !j.redeemTicket() {
		return
	}
	d.lastAdmissionID++
	j.id = d.lastAdmissionID
	d.waitingJobs[j.id] = j
	j.reachStep("admission")
	if !d.up {
		return
	}
	d.performAdmission(d.admissionQueue.Offer(d.w.now, admission.NewItem(j.id, d.w.now+k.request.timeout)))
}

// redeemTicket reports whether the request may run here according to its ticket, and
// refuses it otherwise.
func (j *job) redeemTicket() bool {
	v := j.d.issuer.Admit(j.d.w.now, j.call.request.ticket)
	j.ticket = v.Ticket()
	if j.d.w.wrongDecision == "ticket" && v.Status() != ticket.StatusMalformed {
		return true
	}
	switch v.Status() {
	case ticket.StatusAdmitted:
		return true
	case ticket.StatusNotOwner, ticket.StatusMalformed:
		j.refuse(query.NotRun)
	case ticket.StatusCompleted:
		j.refuse(query.HasRun)
	default:
		j.refuse(query.MayHaveRun)
	}
	return false
}

func (d *daemon) performAdmission(actions []admission.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case admission.Admit:
			j := d.waitingJobs[a.ID()]
			delete(d.waitingJobs, a.ID())
			j.startQuery()
		case admission.Refuse:
			j := d.waitingJobs[a.ID()]
			delete(d.waitingJobs, a.ID())
			if j.call.request.nonIdempotent {
				d.issuer.Release(j.ticket)
			}
			j.refuse(query.NotRun)
		case admission.Wake:
			d.w.deliver(d, max(a.At()-d.w.now, 0), func() { d.performAdmission(d.admissionQueue.Tick(d.w.now)) })
		}
	}
}

func (j *job) startQuery() {
	d, w := j.d, j.d.w
	j.reachStep("snapshot choice")
	if !d.up {
		return
	}
	r := j.call.request
	request := query.NewRequest(r.id, "service", []byte(r.body), w.now+r.timeout)
	if r.nonIdempotent && w.wrongDecision != "resend" {
		request = request.NonIdempotent()
	}
	j.query = query.New(request, query.Policy{}, query.Dependencies{
		Picker: j, Catalogue: &d.catalogue, Latency: &d.pool, HedgeBudget: &d.hedgeBudget,
		RetryBudget: &d.retryBudget, Quarantine: &d.quarantine,
	})
	j.perform(j.query.Start(w.now))
}

func (j *job) perform(actions []query.Action) {
	d, w := j.d, j.d.w
	for _, a := range actions {
		if !d.up {
			return
		}
		switch a.Kind() {
		case query.Send:
			j.reachStep("fan-out")
			j.sendAttempt(a)
		case query.Abort:
			j.abortAttempt(a.Attempt())
		case query.Wake:
			j.wakeNumber++
			number := j.wakeNumber
			w.deliver(d, max(a.At()-w.now, 0), func() {
				if j.wakeNumber == number && !j.finished {
					j.perform(j.query.Tick(w.now))
				}
			})
			w.schedule(2, func() { j.reachStep("waiting") })
		case query.Finish:
			j.finishQuery(a.Answer())
		}
	}
}

func (j *job) abortAttempt(attempt query.AttemptID) {
	if cancel := j.cancels[attempt]; cancel != nil {
		delete(j.cancels, attempt)
		cancel()
	}
}

// sendAttempt starts the exchange of an attempt, through a relay if the choice says so.
func (j *job) sendAttempt(a query.Action) {
	d, w := j.d, j.d.w
	onResult := func(result query.AttemptResult) {
		delete(j.cancels, a.Attempt())
		if result.UpstreamResult().Outcome() == upstream.OK {
			j.reachStep("merge")
		}
		if d.up && !j.finished {
			j.perform(j.query.HandleResult(w.now, a.Attempt(), result))
		}
	}
	if a.Choice().Via() != "" {
		j.cancels[a.Attempt()] = w.relayExchange(d, a, j.call.request, onResult)
		return
	}
	j.cancels[a.Attempt()] = w.startExchange(d, a.Choice().Upstream(), a, j.call.request,
		a.Choice().FreshConnection(), onResult).cancel
}

// relayExchange runs an attempt through the peer that its choice names, and passes
// the result to onResult. It returns a function that cancels the attempt.
func (w *world) relayExchange(d *daemon, a query.Action, r request, onResult func(query.AttemptResult)) func() {
	peer := w.daemonByID(fleet.ID(a.Choice().Via()))
	delay, ended := latency(d.centre, peer.centre), false
	replyToPeer := func(result query.AttemptResult) {
		if w.centresConnected(d.centre, peer.centre) {
			w.deliver(d, delay, func() {
				if !ended {
					ended = true
					onResult(result)
				}
			})
		}
	}
	if !peer.up && peer.stoppedAt > 0 {
		replyToPeer(query.NewAttemptFailure(upstream.NewResult(upstream.RelayLost, delay, "")))
	}
	cancel := func() {}
	w.deliver(peer, delay, func() {
		if ended || !w.centresConnected(d.centre, peer.centre) {
			return
		}
		cancel = peer.exchangeForPeer(a, r, replyToPeer)
	})
	return func() {
		ended = true
		w.deliver(peer, delay, func() { cancel() })
	}
}

// exchangeForPeer runs an attempt for a peer and passes the result to replyToPeer. It
// returns a function that cancels the attempt.
func (d *daemon) exchangeForPeer(a query.Action, r request, replyToPeer func(query.AttemptResult)) func() {
	w := d.w
	pick := upstream.NewPickRequest(a.Shard(), a.Version(), []string{string(a.Choice().Upstream())}).
		ForPeer(a.Choice().ColdShareGranted())
	choice, err := d.pool.Pick(w.now, pick)
	if err != nil {
		replyToPeer(query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, "")))
		return func() {}
	}
	d.drain.BeginRequest()
	ended := false
	end := func(result upstream.Result) {
		if ended {
			return
		}
		ended = true
		d.drain.EndRequest()
		d.pool.Done(w.now, choice, result)
	}
	x := w.startExchange(d, choice.Upstream(), a, r, choice.FreshConnection(), func(result query.AttemptResult) {
		end(result.UpstreamResult())
		replyToPeer(result)
	})
	return func() {
		x.cancel()
		end(upstream.NewResult(upstream.Cancelled, w.now-x.startedAt, ""))
	}
}

func (j *job) finishQuery(answer *query.Answer) {
	d := j.d
	j.finished = true
	j.reachStep("reply to the caller")
	if !d.up {
		return
	}
	if j.call.request.nonIdempotent {
		j.settleTicket(answer.RunState())
	}
	d.performAdmission(d.admissionQueue.Finish(d.w.now, j.id))
	if d.w.wrongDecision == "not run" && !answer.Coverage().Complete() {
		j.refuse(query.NotRun)
		return
	}
	if answer.Outcome() != query.Answered {
		j.refuse(answer.RunState())
		return
	}
	c := answer.Coverage()
	r := reply{
		kind: "answer", id: j.call.request.id, runState: answer.RunState(), version: uint64(answer.Version()),
		coverageKnown: c.Known(), total: c.Total(), covered: c.Covered(), parts: map[int]string{},
		settingsRevision: j.settingsRevision,
	}
	for _, s := range c.Missing() {
		r.missing = append(r.missing, int(s))
	}
	for _, p := range answer.Parts() {
		r.parts[int(p.Shard())] = string(p.Data())
	}
	if d.w.wrongDecision == "claims all" {
		for _, s := range r.missing {
			r.parts[s] = fmt.Sprintf("%s %d %d", r.id, r.version, s)
		}
		r.covered, r.missing = len(r.parts), nil
	}
	j.sendReply(r)
}

// settleTicket records with the ticket whether the request ran.
func (j *job) settleTicket(state query.RunState) {
	switch state {
	case query.NotRun:
		j.d.issuer.Release(j.ticket)
	case query.HasRun:
		j.d.issuer.RecordOutcome(j.ticket, ticket.OutcomeCompleted)
	default:
		j.d.issuer.RecordOutcome(j.ticket, ticket.OutcomeUncertain)
	}
}

// refuse sends a refusal that states whether the request ran.
func (j *job) refuse(state query.RunState) {
	j.sendReply(reply{kind: "refusal", id: j.call.request.id, runState: state, settingsRevision: j.settingsRevision})
}

// sendReply sends a reply to the caller and ends the request.
func (j *job) sendReply(r reply) {
	d, w := j.d, j.d.w
	if w.wrongDecision == "other request" && r.kind == "answer" && d.number == 1 {
		r.id = "another"
	}
	if w.wrongDecision == "no reply" && d.number == 1 && w.now > warmUpEnd {
		d.drain.EndRequest()
		return
	}
	d.drain.EndRequest()
	j.call.replied = true
	if !w.centresConnected(j.call.callerCentre, d.centre) {
		return
	}
	w.schedule(latency(j.call.callerCentre, d.centre), func() { w.receiveReply(j.call, r) })
	if w.wrongDecision == "twice" {
		w.schedule(5, func() { w.receiveReply(j.call, r) })
	}
}
