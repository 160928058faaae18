package query_test

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// behaviour is how a fake upstream handles one attempt.
type behaviour struct {
	kind   upstream.Outcome
	after  clock.Millis // from the start until the result is reported
	silent bool         // no result is ever reported
	// A response of kind OK may be for another shard or version, or empty.
	shardOffset    int
	versionOffset  int
	empty          bool
	duplicateAfter clock.Millis // from the result until it is reported again; 0 for no duplicate
}

// attempt is what the fake upstreams record about one attempt.
type attempt struct {
	action          query.Action
	purpose         upstream.Purpose
	behaviour       behaviour
	sentAt          clock.Millis
	ended           bool // reported to the query, or aborted by it
	aborted         bool
	reported        bool
	provenNotRun    bool // the reported result proves that it did not run
	valid           bool // reported before the deadline, for the requested shard and version
	mayHaveRun      bool // the upstream may have run it
	answeredShard   snapshot.Shard
	answeredVersion snapshot.Version
}

// event is something that happens at a planned instant: the result of an attempt,
// or a call of run if it is set.
type event struct {
	at      clock.Millis
	attempt query.AttemptID
	run     func()
}

// corruption falsifies one input or output of the query, to verify that an
// invariant check detects it.
type corruption struct {
	result     func(a *attempt, result query.AttemptResult) query.AttemptResult
	actions    func([]query.Action) []query.Action
	skipDone   bool         // the first call of Done is not counted
	timerDelay clock.Millis // added to the instant of each Wake
}

// harness runs one query against fake upstreams on a manual clock.
type harness struct {
	now               clock.Millis
	deadline          clock.Millis
	idempotent        bool
	quarantineEnabled bool // a quarantine list is in use
	crashed           bool // a connection was lost while a quarantine list was in use
	sentBeforeCrash   int
	lastRetired       snapshot.Version // newest version that the replicas no longer hold
	shardCounts       map[snapshot.Version]int
	catalogue         snapshot.Catalogue
	query             *query.Query
	behaviour         func(a *attempt) behaviour
	nextPickError     func() error            // error of the next Pick, or nil
	holderOrder       func([]string) []string // order in which replicas are tried
	corruption        corruption

	attempts   []*attempt
	purposes   []upstream.Purpose // of picks whose Send has not been performed
	picks      int
	results    int // calls of Done
	events     []event
	wake       clock.Millis // -1 for no timer
	answers    []*query.Answer
	finished   clock.Millis
	violations []string
}

func (h *harness) reportViolation(rule, format string, args ...any) {
	h.violations = append(h.violations, rule+": "+fmt.Sprintf(format, args...))
}

// Pick returns the first holder that the request does not exclude. Each holder is tried
// in a pool of its own, so that only the exclusions decide.
func (h *harness) Pick(now clock.Millis, request upstream.PickRequest) (upstream.Choice, error) {
	if h.nextPickError != nil {
		if err := h.nextPickError(); err != nil {
			return upstream.Choice{}, err
		}
	}
	holders := request.Holders()
	if h.holderOrder != nil {
		holders = h.holderOrder(holders)
	}
	for _, holder := range holders {
		var pool upstream.Pool
		pool.Add(now, upstream.NewReplica(upstream.ID(holder), "ikeja"))
		if choice, err := pool.Pick(now, request); err == nil {
			h.picks++
			h.purposes = append(h.purposes, request.Purpose())
			return choice, nil
		}
	}
	return upstream.Choice{}, upstream.ErrNoReplica
}

func (h *harness) Done(clock.Millis, upstream.Choice, upstream.Result) {
	if h.corruption.skipDone {
		h.corruption.skipDone = false
		return
	}
	h.results++
}

// run runs the query until no event or timer is left, then checks the invariants.
func (h *harness) run() {
	h.wake = -1
	h.perform(h.query.Start(h.now))
	for len(h.events) > 0 || h.wake >= 0 {
		if h.wake >= 0 && !slices.ContainsFunc(h.events, func(e event) bool { return e.at < h.wake }) {
			h.now, h.wake = max(h.now, h.wake), -1
			h.perform(h.query.Tick(h.now))
			continue
		}
		if len(h.events) == 0 {
			break
		}
		first := 0
		for i, e := range h.events {
			if e.at < h.events[first].at {
				first = i
			}
		}
		e := h.events[first]
		h.events = slices.Delete(h.events, first, first+1)
		h.now = max(h.now, e.at)
		if e.run != nil {
			e.run()
			continue
		}
		h.reportResult(e.attempt)
	}
	h.checkInvariants()
}

func (h *harness) scheduleEvent(at clock.Millis, run func()) {
	h.events = append(h.events, event{at: at, run: run})
}

func (h *harness) perform(actions []query.Action) {
	if h.corruption.actions != nil {
		actions = h.corruption.actions(actions)
	}
	if len(h.answers) > 0 && len(actions) > 0 {
		h.reportViolation("finish", "%d actions after Finish", len(actions))
	}
	for _, action := range actions {
		switch action.Kind() {
		case query.Send:
			h.send(action)
		case query.Abort:
			h.abort(action.Attempt())
		case query.Wake:
			h.wake = action.At() + h.corruption.timerDelay
		case query.Finish:
			h.answers = append(h.answers, action.Answer())
			h.finished, h.wake = h.now, -1
		}
	}
}

func (h *harness) send(action query.Action) {
	a := &attempt{action: action, sentAt: h.now, purpose: h.purposes[0]}
	h.purposes = h.purposes[1:]
	h.attempts = append(h.attempts, a)
	if int(action.Attempt()) != len(h.attempts)-1 {
		h.reportViolation("actions", "attempt %d out of order", action.Attempt())
	}
	a.behaviour = h.behaviour(a)
	a.mayHaveRun = !a.behaviour.kind.NotRun() || a.behaviour.silent
	a.answeredShard = action.Shard() + snapshot.Shard(a.behaviour.shardOffset)
	a.answeredVersion = action.Version() + snapshot.Version(a.behaviour.versionOffset)
	if a.behaviour.silent {
		return
	}
	h.events = append(h.events, event{at: h.now + a.behaviour.after, attempt: action.Attempt()})
	if a.behaviour.duplicateAfter > 0 {
		h.events = append(h.events, event{
			at: h.now + a.behaviour.after + a.behaviour.duplicateAfter, attempt: action.Attempt(),
		})
	}
}

func (h *harness) abort(id query.AttemptID) {
	a := h.attempts[id]
	if a.ended {
		h.reportViolation("actions", "abort of attempt %d, which has ended", id)
	}
	a.ended, a.aborted = true, true
}

// reportResult passes the result of an attempt to the query. Results of aborted
// attempts are passed too, since a result may cross with the abort.
func (h *harness) reportResult(id query.AttemptID) {
	a := h.attempts[id]
	result := upstream.NewResult(a.behaviour.kind, h.now-a.sentAt, "boot")
	attemptResult := query.NewAttemptFailure(result)
	if a.behaviour.kind == upstream.OK {
		data := fmt.Appendf(nil, "%d/%d", a.answeredVersion, a.answeredShard)
		if a.behaviour.empty {
			data = nil
		}
		attemptResult = query.NewAttemptResult(result, a.answeredShard, a.answeredVersion, data)
	}
	if h.corruption.result != nil {
		attemptResult = h.corruption.result(a, attemptResult)
	}
	open := len(h.answers) == 0
	if open && !a.ended {
		a.ended, a.reported = true, true
		a.provenNotRun = a.behaviour.kind.NotRun()
		a.valid = a.behaviour.kind == upstream.OK && !a.behaviour.empty && a.behaviour.shardOffset == 0 &&
			a.behaviour.versionOffset == 0 && h.now <= h.deadline
		if a.behaviour.kind == upstream.ConnectionLost && h.quarantineEnabled && !h.crashed {
			h.crashed, h.sentBeforeCrash = true, len(h.attempts)
		}
	}
	h.perform(h.query.HandleResult(h.now, id, attemptResult))
	for i, other := range h.attempts {
		if a.valid && !other.ended &&
			other.action.Shard() == a.action.Shard() && other.action.Version() == a.action.Version() {
			h.reportViolation("actions", "attempt %d is still running although its shard is covered", i)
		}
	}
}
