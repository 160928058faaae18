package query_test

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// behaviour is what a fake upstream does with one sub-request.
type behaviour struct {
	kind   upstream.Kind
	after  clock.Millis // until the end is reported
	silent bool         // no end is ever reported
	// Answers of kind OK may be of another shard or version, or empty.
	shardOffset    int
	versionOffset  int
	empty          bool
	duplicateAfter clock.Millis // a duplicate end is reported so much later; zero for none
}

// attempt is what the fake upstreams know of one sub-request.
type attempt struct {
	action          query.Action
	purpose         upstream.Purpose
	behaviour       behaviour
	sentAt          clock.Millis
	ended           bool // reported to the query, or aborted by it
	aborted         bool
	reported        bool
	provenNotRun    bool // reported as not run
	valid           bool // reported in time with the right shard and version
	mayHaveRun      bool // the upstream may have run it
	answeredShard   snapshot.Shard
	answeredVersion snapshot.Version
}

type event struct {
	at      clock.Millis
	attempt query.AttemptID
	run     func() // instead of an end of attempt
}

// corruption breaks one decision on purpose, to prove that a checker sees it.
type corruption struct {
	result     func(s *attempt, a query.AttemptResult) query.AttemptResult
	actions    func([]query.Action) []query.Action
	skipDone   bool         // Done is not counted once
	timerDelay clock.Millis // timers are so much late
}

// harness drives one query against fake upstreams on a manual clock.
type harness struct {
	now               clock.Millis
	deadline          clock.Millis
	idempotent        bool
	quarantineEnabled bool // a quarantine list is in use
	crashed           bool // a connection was lost while a list was in use
	sentBeforeCrash   int
	lastRetired       snapshot.Version // replicas have dropped it and older ones
	shardCounts       map[snapshot.Version]int
	catalogue         snapshot.Catalogue
	query             *query.Query
	behaviour         func(s *attempt) behaviour
	nextPickError     func() error            // error of the next Pick, or nil
	holderOrder       func([]string) []string // order in which replicas are tried
	corruption        corruption

	attempts   []*attempt
	purposes   []upstream.Purpose // of picks that are not sent yet
	picks      int
	results    int
	events     []event
	wake       clock.Millis
	answers    []*query.Answer
	finished   clock.Millis
	violations []string
}

func (w *harness) reportViolation(rule, format string, args ...any) {
	w.violations = append(w.violations, rule+": "+fmt.Sprintf(format, args...))
}

// Pick tries the holders one by one in a pool of its own, which respects the
// exclusions of the ask whatever else a Pool decides.
func (w *harness) Pick(now clock.Millis, ask upstream.Ask) (upstream.Choice, error) {
	if w.nextPickError != nil {
		if err := w.nextPickError(); err != nil {
			return upstream.Choice{}, err
		}
	}
	holders := ask.Holders()
	if w.holderOrder != nil {
		holders = w.holderOrder(holders)
	}
	for _, holder := range holders {
		var pool upstream.Pool
		pool.Add(now, upstream.NewReplica(upstream.ID(holder), "ikeja"))
		if choice, err := pool.Pick(now, ask); err == nil {
			w.picks++
			w.purposes = append(w.purposes, ask.Purpose())
			return choice, nil
		}
	}
	return upstream.Choice{}, upstream.ErrNoReplica
}

func (w *harness) Done(clock.Millis, upstream.Choice, upstream.Result) {
	if w.corruption.skipDone {
		w.corruption.skipDone = false
		return
	}
	w.results++
}

// run drives the query until nothing is due any more.
func (w *harness) run() {
	w.wake = -1
	w.perform(w.query.Start(w.now))
	for len(w.events) > 0 || w.wake >= 0 {
		if w.wake >= 0 && !slices.ContainsFunc(w.events, func(e event) bool { return e.at < w.wake }) {
			w.now, w.wake = max(w.now, w.wake), -1
			w.perform(w.query.Tick(w.now))
			continue
		}
		if len(w.events) == 0 {
			break
		}
		first := 0
		for i, e := range w.events {
			if e.at < w.events[first].at {
				first = i
			}
		}
		e := w.events[first]
		w.events = slices.Delete(w.events, first, first+1)
		w.now = max(w.now, e.at)
		if e.run != nil {
			e.run()
			continue
		}
		w.reportResult(e.attempt)
	}
	w.checkInvariants()
}

func (w *harness) scheduleEvent(at clock.Millis, run func()) {
	w.events = append(w.events, event{at: at, run: run})
}

func (w *harness) perform(actions []query.Action) {
	if w.corruption.actions != nil {
		actions = w.corruption.actions(actions)
	}
	if len(w.answers) > 0 && len(actions) > 0 {
		w.reportViolation("finish", "%d actions after Finish", len(actions))
	}
	for _, action := range actions {
		switch action.Kind() {
		case query.Send:
			w.send(action)
		case query.Abort:
			w.abort(action.Attempt())
		case query.Wake:
			w.wake = action.At() + w.corruption.timerDelay
		case query.Finish:
			w.answers = append(w.answers, action.Answer())
			w.finished, w.wake = w.now, -1
		}
	}
}

func (w *harness) send(action query.Action) {
	s := &attempt{action: action, sentAt: w.now, purpose: w.purposes[0]}
	w.purposes = w.purposes[1:]
	w.attempts = append(w.attempts, s)
	if int(action.Attempt()) != len(w.attempts)-1 {
		w.reportViolation("actions", "attempt %d out of order", action.Attempt())
	}
	s.behaviour = w.behaviour(s)
	s.mayHaveRun = !s.behaviour.kind.NotRun() || s.behaviour.silent
	s.answeredShard = action.Shard() + snapshot.Shard(s.behaviour.shardOffset)
	s.answeredVersion = action.Version() + snapshot.Version(s.behaviour.versionOffset)
	if s.behaviour.silent {
		return
	}
	w.events = append(w.events, event{at: w.now + s.behaviour.after, attempt: action.Attempt()})
	if s.behaviour.duplicateAfter > 0 {
		w.events = append(w.events, event{at: w.now + s.behaviour.after + s.behaviour.duplicateAfter, attempt: action.Attempt()})
	}
}

func (w *harness) abort(attempt query.AttemptID) {
	s := w.attempts[attempt]
	if s.ended {
		w.reportViolation("actions", "abort of attempt %d, which has ended", attempt)
	}
	s.ended, s.aborted = true, true
}

// reportResult tells the query how an attempt ended. Ends of aborted attempts are
// reported too, as if the abort and the end had crossed.
func (w *harness) reportResult(attempt query.AttemptID) {
	s := w.attempts[attempt]
	result := upstream.NewResult(s.behaviour.kind, w.now-s.sentAt, "boot")
	answer := query.NewAttemptFailure(result)
	if s.behaviour.kind == upstream.OK {
		data := fmt.Appendf(nil, "%d/%d", s.answeredVersion, s.answeredShard)
		if s.behaviour.empty {
			data = nil
		}
		answer = query.NewAttemptResult(result, s.answeredShard, s.answeredVersion, data)
	}
	if w.corruption.result != nil {
		answer = w.corruption.result(s, answer)
	}
	open := len(w.answers) == 0
	if open && !s.ended {
		s.ended, s.reported = true, true
		s.provenNotRun = s.behaviour.kind.NotRun()
		s.valid = s.behaviour.kind == upstream.OK && !s.behaviour.empty && s.behaviour.shardOffset == 0 &&
			s.behaviour.versionOffset == 0 && w.now <= w.deadline
		if s.behaviour.kind == upstream.ConnectionLost && w.quarantineEnabled && !w.crashed {
			w.crashed, w.sentBeforeCrash = true, len(w.attempts)
		}
	}
	w.perform(w.query.HandleResult(w.now, attempt, answer))
	for i, other := range w.attempts {
		if s.valid && !other.ended && other.action.Shard() == s.action.Shard() && other.action.Version() == s.action.Version() {
			w.reportViolation("actions", "attempt %d goes on although its shard is covered", i)
		}
	}
}
