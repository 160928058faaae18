package query_test

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// fate is what a fake upstream does with one sub-request.
type fate struct {
	kind   upstream.Outcome
	after  clock.Millis // until the end is reported
	silent bool         // no end is ever reported
	// Answers of kind OK may be of another shard or version, or empty.
	shardOff   int
	versionOff int
	empty      bool
	again      clock.Millis // a duplicate end is reported so much later; zero for none
}

// sub is what the fake upstreams know of one sub-request.
type sub struct {
	action    query.Action
	purpose   upstream.Purpose
	fate      fate
	sentAt    clock.Millis
	ended     bool // reported to the query, or aborted by it
	aborted   bool
	reported  bool
	proven    bool // reported as not run
	valid     bool // reported in time with the right shard and version
	mayHave   bool // the upstream may have run it
	upstreamS snapshot.Shard
	upstreamV snapshot.Version
}

type event struct {
	at      clock.Millis
	attempt query.Attempt
	run     func() // instead of an end of attempt
}

// tamper breaks one decision on purpose, to prove that a checker sees it.
type tamper struct {
	answer  func(s *sub, a query.SubAnswer) query.SubAnswer
	actions func([]query.Action) []query.Action
	forget  bool         // Done is not counted once
	slow    clock.Millis // timers are so much late
}

// world drives one query against fake upstreams on a manual clock.
type world struct {
	now             clock.Millis
	deadline        clock.Millis
	idempotent      bool
	suspects        bool // a quarantine list is in use
	crashed         bool // a connection was lost while a list was in use
	sentBeforeCrash int
	retired         snapshot.Version // replicas have dropped it and older ones
	maps            map[snapshot.Version]int
	catalogue       snapshot.Catalogue
	query           *query.Query
	fate            func(s *sub) fate
	refuse          func() error            // error of the next Pick, or nil
	order           func([]string) []string // order in which replicas are tried
	tamper          tamper

	subs     []*sub
	purposes []upstream.Purpose // of picks that are not sent yet
	picked   int
	done     int
	events   []event
	wake     clock.Millis
	answers  []*query.Answer
	finished clock.Millis
	faults   []string
}

func (w *world) fault(rule, format string, args ...any) {
	w.faults = append(w.faults, rule+": "+fmt.Sprintf(format, args...))
}

// Pick tries the holders one by one in a pool of its own, which respects the
// exclusions of the ask whatever else a Pool decides.
func (w *world) Pick(now clock.Millis, ask upstream.PickRequest) (upstream.Choice, error) {
	if w.refuse != nil {
		if err := w.refuse(); err != nil {
			return upstream.Choice{}, err
		}
	}
	holders := ask.Holders()
	if w.order != nil {
		holders = w.order(holders)
	}
	for _, holder := range holders {
		var pool upstream.Pool
		pool.Add(now, upstream.NewReplica(upstream.ID(holder), "ikeja"))
		if choice, err := pool.Pick(now, ask); err == nil {
			w.picked++
			w.purposes = append(w.purposes, ask.Purpose())
			return choice, nil
		}
	}
	return upstream.Choice{}, upstream.ErrNoReplica
}

func (w *world) Done(clock.Millis, upstream.Choice, upstream.Result) {
	if w.tamper.forget {
		w.tamper.forget = false
		return
	}
	w.done++
}

// run drives the query until nothing is due any more.
func (w *world) run() {
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
		w.report(e.attempt)
	}
	w.check()
}

func (w *world) at(at clock.Millis, run func()) {
	w.events = append(w.events, event{at: at, run: run})
}

func (w *world) perform(actions []query.Action) {
	if w.tamper.actions != nil {
		actions = w.tamper.actions(actions)
	}
	if len(w.answers) > 0 && len(actions) > 0 {
		w.fault("finish", "%d actions after Finish", len(actions))
	}
	for _, action := range actions {
		switch action.Kind() {
		case query.Send:
			w.send(action)
		case query.Abort:
			w.abort(action.Attempt())
		case query.Wake:
			w.wake = action.At() + w.tamper.slow
		case query.Finish:
			w.answers = append(w.answers, action.Answer())
			w.finished, w.wake = w.now, -1
		}
	}
}

func (w *world) send(action query.Action) {
	s := &sub{action: action, sentAt: w.now, purpose: w.purposes[0]}
	w.purposes = w.purposes[1:]
	w.subs = append(w.subs, s)
	if int(action.Attempt()) != len(w.subs)-1 {
		w.fault("actions", "attempt %d out of order", action.Attempt())
	}
	s.fate = w.fate(s)
	s.mayHave = !s.fate.kind.NotRun() || s.fate.silent
	s.upstreamS = action.Shard() + snapshot.Shard(s.fate.shardOff)
	s.upstreamV = action.Version() + snapshot.Version(s.fate.versionOff)
	if s.fate.silent {
		return
	}
	w.events = append(w.events, event{at: w.now + s.fate.after, attempt: action.Attempt()})
	if s.fate.again > 0 {
		w.events = append(w.events, event{at: w.now + s.fate.after + s.fate.again, attempt: action.Attempt()})
	}
}

func (w *world) abort(attempt query.Attempt) {
	s := w.subs[attempt]
	if s.ended {
		w.fault("actions", "abort of attempt %d, which has ended", attempt)
	}
	s.ended, s.aborted = true, true
}

// report tells the query how an attempt ended. Ends of aborted attempts are
// reported too, as if the abort and the end had crossed.
func (w *world) report(attempt query.Attempt) {
	s := w.subs[attempt]
	result := upstream.NewResult(s.fate.kind, w.now-s.sentAt, "boot")
	answer := query.NewFailure(result)
	if s.fate.kind == upstream.OK {
		data := fmt.Appendf(nil, "%d/%d", s.upstreamV, s.upstreamS)
		if s.fate.empty {
			data = nil
		}
		answer = query.NewSubAnswer(result, s.upstreamS, s.upstreamV, data)
	}
	if w.tamper.answer != nil {
		answer = w.tamper.answer(s, answer)
	}
	open := len(w.answers) == 0
	if open && !s.ended {
		s.ended, s.reported = true, true
		s.proven = s.fate.kind.NotRun()
		s.valid = s.fate.kind == upstream.OK && !s.fate.empty && s.fate.shardOff == 0 &&
			s.fate.versionOff == 0 && w.now <= w.deadline
		if s.fate.kind == upstream.ConnectionLost && w.suspects && !w.crashed {
			w.crashed, w.sentBeforeCrash = true, len(w.subs)
		}
	}
	w.perform(w.query.SubAnswer(w.now, attempt, answer))
	for i, other := range w.subs {
		if s.valid && !other.ended && other.action.Shard() == s.action.Shard() && other.action.Version() == s.action.Version() {
			w.fault("actions", "attempt %d goes on although its shard is covered", i)
		}
	}
}
