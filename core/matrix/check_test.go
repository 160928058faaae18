package matrix_test

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// Targets of docs/design.md, section 1.1.
const (
	outTarget      = 3 * clock.Second
	leaveTarget    = 3 * clock.Second
	settingsTarget = 5 * clock.Second
	// knownWithin is the time in which the first answer of an upstream that
	// started cold without warning can have been told to all daemons: two hops
	// of a flood, each up to a tick, and the publishing interval. Work that
	// began before cannot be bounded, because nobody knew of the cold start.
	knownWithin = 250 * clock.Millisecond
	// replySlack is added to the deadline within which a caller has its reply.
	replySlack = 50 * clock.Millisecond
)

// evidence is what the callers received and the upstreams logged.
type evidence struct {
	w        *world
	runs     map[string][]*run
	failures []string
}

// check returns the violations of all invariants, each with its id in front.
func (w *world) check() []string {
	e := &evidence{w: w, runs: map[string][]*run{}}
	for _, r := range w.log {
		e.runs[r.request] = append(e.runs[r.request], r)
	}
	for _, k := range w.calls {
		for _, r := range k.replies {
			if r.kind == "answer" {
				e.oneSnapshot(k, r)
				e.coverage(k, r)
			}
			e.notRun(k, r)
		}
		e.ownAnswer(k)
		e.plannedStop(k)
	}
	e.coldStarts()
	e.dataCentresOut()
	e.once()
	e.leaving()
	e.settings()
	return e.failures
}

func (e *evidence) fail(id, format string, args ...any) {
	if len(e.failures) < 40 {
		e.failures = append(e.failures, id+": "+fmt.Sprintf(format, args...))
	}
}

func parse(data string) (id string, version uint64, shard int, ok bool) {
	fields := strings.Fields(data)
	if len(fields) != 3 {
		return "", 0, 0, false
	}
	version, wrongVersion := strconv.ParseUint(fields[1], 10, 64)
	shard, wrongShard := strconv.Atoi(fields[2])
	return fields[0], version, shard, wrongVersion == nil && wrongShard == nil
}

// oneSnapshot checks I1.
func (e *evidence) oneSnapshot(k *call, r reply) {
	for shard, data := range r.parts {
		if _, version, _, ok := parse(data); ok && version != r.version {
			e.fail("I1", "%s: part %d of version %d in an answer of version %d", k.request.id, shard, version, r.version)
		}
	}
}

// coverage checks I2 against the shards that the version has and the runs.
func (e *evidence) coverage(k *call, r reply) {
	total := e.w.maps[r.version]
	if !r.known || r.asked != total || r.covered != len(r.parts) || r.covered+len(r.missing) != total {
		e.fail("I2", "%s: asked %d covered %d missing %v with %d parts, version %d has %d shards",
			k.request.id, r.asked, r.covered, r.missing, len(r.parts), r.version, total)
	}
	for _, s := range r.missing {
		if _, covered := r.parts[s]; covered {
			e.fail("I2", "%s: shard %d is covered and missing", k.request.id, s)
		}
	}
	for s, data := range r.parts {
		_, _, shard, ok := parse(data)
		ran := slices.ContainsFunc(e.runs[k.request.id], func(x *run) bool {
			return x.answered && x.shard == uint32(s) && x.send == k.request.send && x.end <= k.got
		})
		if !ok || shard != s || !ran {
			e.fail("I2", "%s: shard %d counts as covered by %q", k.request.id, s, data)
		}
	}
}

// coldStarts checks I3: concurrency at an upstream in a cold start. Work of a
// daemon that could not know of the cold start yet is not counted.
func (e *evidence) coldStarts() {
	known := e.coldStartsKnown()
	open := map[process][]*run{}
	for _, r := range e.w.log {
		p := process{r.upstream, r.boot}
		if r.start < startOfRun || r.start <= known[p][""] && r.start <= known[p][r.daemon] {
			continue
		}
		open[p] = slices.DeleteFunc(open[p], func(o *run) bool { return o.end != 0 && o.end <= r.start })
		open[p] = append(open[p], r)
		if r.bound > 0 && len(open[p]) > r.bound {
			e.fail("I3", "at %.0f %d run at cold %s, bound %d", float64(r.start), len(open[p]), r.upstream, r.bound)
		}
	}
}

// coldStartsKnown returns for each process when each daemon knew by a failed
// connection, and under "" when all knew by the first answer.
func (e *evidence) coldStartsKnown() map[process]map[string]clock.Millis {
	known := map[process]map[string]clock.Millis{}
	knew := func(p process, daemon string, at clock.Millis) {
		if known[p] == nil {
			known[p] = map[string]clock.Millis{}
			for _, d := range e.w.daemons {
				known[p][string(d.id)] = math.MaxFloat64
			}
			known[p][""] = math.MaxFloat64
		}
		known[p][daemon] = min(known[p][daemon], at)
	}
	for _, f := range e.w.failures {
		// A sub-request sent before the failure was heard of arrives later.
		knew(f.of, f.daemon, f.at+5)
	}
	for _, r := range e.w.log {
		p := process{r.upstream, r.boot}
		if r.boot == 0 {
			knew(p, "", 0)
		}
		if r.answered {
			knew(p, "", r.end+knownWithin)
		}
		knew(p, r.daemon, math.MaxFloat64)
	}
	return known
}

// dataCentresOut checks I4 from the moment the platform accepted the change.
func (e *evidence) dataCentresOut() {
	for i, a := range e.w.store.accepted {
		for _, centre := range outCentres(a.document) {
			from, until := a.at, clock.Millis(math.MaxFloat64)
			for _, next := range slices.Backward(e.w.store.accepted[i+1:]) {
				if !slices.Contains(outCentres(next.document), centre) {
					until = next.at
				}
			}
			for _, r := range e.w.log {
				if r.centre == centre && r.start > e.told(r.daemon, from)+outTarget && r.start < until {
					e.fail("I4", "%s sends %s to %s in %s, %.0f ms after it was taken out",
						r.daemon, r.request, r.upstream, centre, float64(r.start-from))
				}
			}
		}
	}
}

// told returns the instant from which the targets of a change count for a
// daemon: a cut-off one can know of it only after the cut has healed.
func (e *evidence) told(daemon string, at clock.Millis) clock.Millis {
	far := regionOf(e.w.daemon(fleet.ID(daemon)).centre) == "far"
	if far && e.w.splitAt > 0 && e.w.splitAt < at+outTarget && at < e.w.healedAt {
		return e.w.healedAt
	}
	return at
}

// ownAnswer checks I5: one reply to the own request, within the deadline from
// a daemon that no fault stopped or cut off.
func (e *evidence) ownAnswer(k *call) {
	due := k.at + k.request.deadline + replySlack
	if len(k.replies) > 1 {
		e.fail("I5", "%s has %d replies", k.request.id, len(k.replies))
	}
	for _, r := range k.replies {
		if r.kind != "broken" && r.id != k.request.id {
			e.fail("I5", "%s gets the reply to %s", k.request.id, r.id)
		}
		for _, data := range r.parts {
			if id, _, _, ok := parse(data); ok && id != k.request.id {
				e.fail("I5", "%s gets a part of %s", k.request.id, id)
			}
		}
	}
	late := k.got == 0 || k.got > due
	if late && due < e.w.now && !e.w.wasDisturbed(k.daemon, k.at-5, due) && !e.w.wasCut(k, due) {
		e.fail("I5", "%s, sent to %s at %.0f, has no reply in time (%.0f)", k.request.id, k.daemon.id, float64(k.at), float64(k.got))
	}
}

// wasCut reports whether a cut lay between the caller and the daemon.
func (w *world) wasCut(k *call, until clock.Millis) bool {
	return regionOf(k.from) != regionOf(k.daemon.centre) && w.splitAt > 0 && w.splitAt <= until && w.healedAt >= k.at
}

// notRun checks I6.
func (e *evidence) notRun(k *call, r reply) {
	if r.kind == "broken" || r.ran != query.NotRun {
		return
	}
	for _, x := range e.runs[k.request.id] {
		if x.send == k.request.send {
			e.fail("I6", "%s is called not run and ran at %s", k.request.id, x.upstream)
		}
	}
}

// once checks I7: no shard ran a non-idempotent request twice.
func (e *evidence) once() {
	seen := map[string]bool{}
	for _, k := range e.w.calls {
		if !k.request.once || seen[k.request.id] {
			continue
		}
		seen[k.request.id] = true
		ran := map[uint32]string{}
		for _, r := range e.runs[k.request.id] {
			if other, ok := ran[r.shard]; ok {
				e.fail("I7", "%s ran on shard %d at %s and %s", k.request.id, r.shard, other, r.upstream)
			}
			ran[r.shard] = r.upstream
		}
	}
}

// leaving checks I8.
func (e *evidence) leaving() {
	for _, l := range e.w.leaves {
		for _, r := range e.w.log {
			if r.upstream == l.id && r.start > l.at+leaveTarget {
				e.fail("I8", "%s sends %s to %s, %.0f ms after it began to leave", r.daemon, r.request, l.id, float64(r.start-l.at))
			}
		}
	}
}

// plannedStop checks I9: a caller that follows the advice meets no broken
// connection at a daemon that stopped as planned.
func (e *evidence) plannedStop(k *call) {
	for _, r := range k.replies {
		if r.kind == "broken" && k.daemon.stopped > 0 && !e.w.wasCut(k, k.got) {
			e.fail("I9", "%s, sent at %.0f, broke when %s stopped at %.0f", k.request.id, float64(k.at), k.daemon.id, float64(k.daemon.stopped))
		}
	}
}

// settings checks I10 by the revisions that the answers state and by what
// operators were told.
func (e *evidence) settings() {
	last := uint64(0)
	for _, a := range e.w.store.accepted {
		if a.document.Revision() <= last {
			e.fail("I10", "the platform's revision goes from %d to %d", last, a.document.Revision())
		}
		last = a.document.Revision()
	}
	for _, s := range e.w.store.settled {
		is := slices.ContainsFunc(e.w.store.accepted, func(a accepted) bool { return a.document.ChangeID() == s.change })
		refused := s.outcome != rollout.Applied && s.outcome != rollout.Unknown
		if (s.outcome == rollout.Applied && !is) || (refused && is) {
			e.fail("I10", "%s is reported as %s, accepted: %v", s.change, s.outcome, is)
		}
	}
	for _, d := range e.w.daemons {
		e.inForce(d)
		e.reverts(d)
	}
}

// inForce looks for answers with settings that are too old. A daemon that was
// stopped or cut off has the whole target from the end of that time.
func (e *evidence) inForce(d *daemon) {
	for _, a := range e.w.store.accepted {
		for _, k := range e.w.calls {
			if k.daemon != d || k.at < a.at+settingsTarget || k.got == 0 || k.replies[0].kind != "answer" {
				continue
			}
			excused := e.w.wasDisturbed(d, max(a.at, k.at-settingsTarget), k.at)
			if r := k.replies[0]; r.revision < a.document.Revision() && !excused {
				e.fail("I10", "%s has revision %d in force, %.0f ms after %d was accepted", d.id, r.revision, float64(k.at-a.at), a.document.Revision())
			}
		}
	}
}

// reverts looks for an answer older than one received before it was asked for.
func (e *evidence) reverts(d *daemon) {
	var calls []*call
	for _, k := range e.w.calls {
		if k.daemon == d && k.got > 0 && k.replies[0].kind == "answer" {
			calls = append(calls, k)
		}
	}
	byEnd := slices.Clone(calls)
	slices.SortStableFunc(byEnd, func(a, b *call) int { return int(math.Ceil(float64(a.got - b.got))) })
	newest, i := uint64(0), 0
	for _, k := range calls {
		for ; i < len(byEnd) && byEnd[i].got <= k.at; i++ {
			newest = max(newest, byEnd[i].replies[0].revision)
		}
		if r := k.replies[0]; r.revision < newest {
			e.fail("I10", "%s goes back from revision %d to %d", d.id, newest, r.revision)
		}
	}
}
