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

// job is a caller's request on its way through a daemon.
type job struct {
	d        *daemon
	call     *call
	id       admission.ID
	ticket   ticket.Ticket
	query    *query.Query
	running  map[query.AttemptID]func()
	wake     int
	finished bool
	revision uint64
}

// watched reports whether steps of this job start faults.
func (j *job) watched() bool { return j.call.request.id == j.d.w.subject }

func (j *job) at(step string) {
	if j.watched() {
		j.d.w.at(step)
	}
}

// Pick watches for the hedge of the subject.
func (j *job) Pick(now clock.Millis, ask upstream.PickRequest) (upstream.Choice, error) {
	choice, err := j.d.pool.Pick(now, ask)
	if err == nil && ask.Purpose() == upstream.Hedge {
		j.d.w.after(0, func() { j.at("hedge") })
	}
	return choice, err
}

// Done passes the result to the pool.
func (j *job) Done(now clock.Millis, choice upstream.Choice, result upstream.Result) {
	j.d.pool.Done(now, choice, result)
}

// accept takes a request from a caller.
func (d *daemon) accept(k *call) {
	j := &job{d: d, call: k, running: map[query.AttemptID]func(){}, revision: d.revision}
	if d == d.w.focus && d.drain.ClosesConnections() {
		d.w.at("last advice")
	}
	d.drain.BeginRequest()
	if d.refuses() {
		j.refuse(query.NotRun)
		return
	}
	if k.request.once && !j.redeem() {
		return
	}
	d.next++
	j.id = d.next
	d.waiting[j.id] = j
	j.at("admission")
	if !d.up {
		return
	}
	d.performAdmission(d.queue.Offer(d.w.now, admission.NewItem(j.id, d.w.now+k.request.deadline)))
}

// redeem decides by the ticket whether the request may run here.
func (j *job) redeem() bool {
	v := j.d.issuer.Admit(j.d.w.now, j.call.request.ticket)
	j.ticket = v.Ticket()
	if j.d.w.broken == "ticket" && v.Status() != ticket.StatusMalformed {
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
			j := d.waiting[a.ID()]
			delete(d.waiting, a.ID())
			j.begin()
		case admission.Refuse:
			j := d.waiting[a.ID()]
			delete(d.waiting, a.ID())
			if j.call.request.once {
				d.issuer.Release(j.ticket)
			}
			j.refuse(query.NotRun)
		case admission.Wake:
			d.w.deliver(d, max(a.At()-d.w.now, 0), func() { d.performAdmission(d.queue.Tick(d.w.now)) })
		}
	}
}

func (j *job) begin() {
	d, w := j.d, j.d.w
	j.at("snapshot choice")
	if !d.up {
		return
	}
	r := j.call.request
	request := query.NewRequest(r.id, "service", []byte(r.body), w.now+r.deadline)
	if r.once && w.broken != "resend" {
		request = request.NonIdempotent()
	}
	j.query = query.New(request, query.Policy{}, query.Dependencies{
		Picker: j, Catalogue: &d.catalogue, Latency: &d.pool, HedgeBudget: &d.hedges, RetryBudget: &d.retries, Quarantine: &d.list,
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
			j.at("fan-out")
			j.send(a)
		case query.Abort:
			j.abort(a.Attempt())
		case query.Wake:
			j.wake++
			number := j.wake
			w.deliver(d, max(a.At()-w.now, 0), func() {
				if j.wake == number && !j.finished {
					j.perform(j.query.Tick(w.now))
				}
			})
			w.after(2, func() { j.at("waiting") })
		case query.Finish:
			j.finish(a.Answer())
		}
	}
}

func (j *job) abort(attempt query.AttemptID) {
	if cancel := j.running[attempt]; cancel != nil {
		delete(j.running, attempt)
		cancel()
	}
}

func (j *job) send(a query.Action) {
	d, w := j.d, j.d.w
	done := func(answer query.AttemptResult) {
		delete(j.running, a.Attempt())
		if answer.UpstreamResult().Outcome() == upstream.OK {
			j.at("merge")
		}
		if d.up && !j.finished {
			j.perform(j.query.HandleResult(w.now, a.Attempt(), answer))
		}
	}
	if a.Choice().Via() != "" {
		j.running[a.Attempt()] = w.relay(d, a, j.call.request, done)
		return
	}
	j.running[a.Attempt()] = w.exchange(d, a.Choice().Upstream(), a, j.call.request, a.Choice().FreshConnection(), done).cancel
}

// relay runs a sub-request through the peer that the choice names. It returns
// a function that cancels it.
func (w *world) relay(d *daemon, a query.Action, r request, done func(query.AttemptResult)) func() {
	peer := w.daemon(fleet.ID(a.Choice().Via()))
	span, over := latency(d.centre, peer.centre), false
	back := func(answer query.AttemptResult) {
		if w.joined(d.centre, peer.centre) {
			w.deliver(d, span, func() {
				if !over {
					over = true
					done(answer)
				}
			})
		}
	}
	if !peer.up && peer.stopped > 0 {
		back(query.NewAttemptFailure(upstream.NewResult(upstream.RelayLost, span, "")))
	}
	cancel := func() {}
	w.deliver(peer, span, func() {
		if over || !w.joined(d.centre, peer.centre) {
			return
		}
		cancel = peer.runForPeer(a, r, back)
	})
	return func() {
		over = true
		w.deliver(peer, span, func() { cancel() })
	}
}

func (d *daemon) runForPeer(a query.Action, r request, back func(query.AttemptResult)) func() {
	w := d.w
	ask := upstream.NewPickRequest(a.Shard(), a.Version(), []string{string(a.Choice().Upstream())}).ForPeer(a.Choice().ColdShareGranted())
	choice, err := d.pool.Pick(w.now, ask)
	if err != nil {
		back(query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, "")))
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
	x := w.exchange(d, choice.Upstream(), a, r, choice.FreshConnection(), func(answer query.AttemptResult) {
		end(answer.UpstreamResult())
		back(answer)
	})
	return func() {
		x.cancel()
		end(upstream.NewResult(upstream.Cancelled, w.now-x.began, ""))
	}
}

func (j *job) finish(answer *query.Answer) {
	d := j.d
	j.finished = true
	j.at("reply to the caller")
	if !d.up {
		return
	}
	if j.call.request.once {
		j.settle(answer.RunState())
	}
	d.performAdmission(d.queue.Finish(d.w.now, j.id))
	if d.w.broken == "not run" && !answer.Coverage().Complete() {
		j.refuse(query.NotRun)
		return
	}
	if answer.Outcome() != query.Answered {
		j.refuse(answer.RunState())
		return
	}
	c := answer.Coverage()
	r := reply{kind: "answer", id: j.call.request.id, ran: answer.RunState(), version: uint64(answer.Version()), known: c.Known(),
		asked: c.Total(), covered: c.Covered(), parts: map[int]string{}, revision: j.revision}
	for _, s := range c.Missing() {
		r.missing = append(r.missing, int(s))
	}
	for _, p := range answer.Parts() {
		r.parts[int(p.Shard())] = string(p.Data())
	}
	if d.w.broken == "claims all" {
		for _, s := range r.missing {
			r.parts[s] = fmt.Sprintf("%s %d %d", r.id, r.version, s)
		}
		r.covered, r.missing = len(r.parts), nil
	}
	j.reply(r)
}

func (j *job) settle(ran query.RunState) {
	switch ran {
	case query.NotRun:
		j.d.issuer.Release(j.ticket)
	case query.HasRun:
		j.d.issuer.RecordOutcome(j.ticket, ticket.OutcomeCompleted)
	default:
		j.d.issuer.RecordOutcome(j.ticket, ticket.OutcomeUncertain)
	}
}

func (j *job) refuse(ran query.RunState) {
	j.reply(reply{kind: "refusal", id: j.call.request.id, ran: ran, revision: j.revision})
}

// reply sends the reply to the caller and ends the request.
func (j *job) reply(r reply) {
	d, w := j.d, j.d.w
	if w.broken == "other request" && r.kind == "answer" && d.number == 1 {
		r.id = "another"
	}
	if w.broken == "no reply" && d.number == 1 && w.now > startOfRun {
		d.drain.EndRequest()
		return
	}
	d.drain.EndRequest()
	j.call.written = true
	if !w.joined(j.call.from, d.centre) {
		return
	}
	w.after(latency(j.call.from, d.centre), func() { w.receive(j.call, r) })
	if w.broken == "twice" {
		w.after(5, func() { w.receive(j.call, r) })
	}
}
