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
	dataCentreOutTarget = 3 * clock.Second
	leaveTarget         = 3 * clock.Second
	settingsTarget      = 5 * clock.Second
	// coldStartKnownWithin is the time in which the first answer of an upstream that
	// started cold without warning can have been told to all daemons: two hops
	// of a flood, each up to a tick, and the publishing interval. Work that
	// began before cannot be bounded, because nobody knew of the cold start.
	coldStartKnownWithin = 250 * clock.Millisecond
	// replySlack is added to the deadline within which a caller has its reply.
	replySlack = 50 * clock.Millisecond
)

// checker is what the callers received and the upstreams logged.
type checker struct {
	w          *world
	executions map[string][]*execution
	failures   []string
}

// checkInvariants returns the violations of all invariants, each with its id in front.
func (w *world) checkInvariants() []string {
	e := &checker{w: w, executions: map[string][]*execution{}}
	for _, r := range w.executions {
		e.executions[r.request] = append(e.executions[r.request], r)
	}
	for _, k := range w.calls {
		for _, r := range k.replies {
			if r.kind == "answer" {
				e.checkOneSnapshot(k, r)
				e.checkCoverage(k, r)
			}
			e.checkNotRun(k, r)
		}
		e.checkOwnReply(k)
		e.checkPlannedStop(k)
	}
	e.checkColdStarts()
	e.checkDataCentresOut()
	e.checkNonIdempotent()
	e.checkLeaving()
	e.checkSettings()
	return e.failures
}

func (e *checker) reportf(id, format string, args ...any) {
	if len(e.failures) < 40 {
		e.failures = append(e.failures, id+": "+fmt.Sprintf(format, args...))
	}
}

func parsePart(data string) (id string, version uint64, shard int, ok bool) {
	fields := strings.Fields(data)
	if len(fields) != 3 {
		return "", 0, 0, false
	}
	version, wrongVersion := strconv.ParseUint(fields[1], 10, 64)
	shard, wrongShard := strconv.Atoi(fields[2])
	return fields[0], version, shard, wrongVersion == nil && wrongShard == nil
}

// checkOneSnapshot checks I1.
func (e *checker) checkOneSnapshot(k *call, r reply) {
	for shard, data := range r.parts {
		if _, version, _, ok := parsePart(data); ok && version != r.version {
			e.reportf("I1", "%s: part %d of version %d in an answer of version %d", k.request.id, shard, version, r.version)
		}
	}
}

// checkCoverage checks I2 against the shards that the version has and the runs.
func (e *checker) checkCoverage(k *call, r reply) {
	total := e.w.shardCounts[r.version]
	if !r.coverageKnown || r.total != total || r.covered != len(r.parts) || r.covered+len(r.missing) != total {
		e.reportf("I2", "%s: asked %d covered %d missing %v with %d parts, version %d has %d shards",
			k.request.id, r.total, r.covered, r.missing, len(r.parts), r.version, total)
	}
	for _, s := range r.missing {
		if _, covered := r.parts[s]; covered {
			e.reportf("I2", "%s: shard %d is covered and missing", k.request.id, s)
		}
	}
	for s, data := range r.parts {
		_, _, shard, ok := parsePart(data)
		ran := slices.ContainsFunc(e.executions[k.request.id], func(x *execution) bool {
			return x.answered && x.shard == uint32(s) && x.sendNumber == k.request.sendNumber && x.end <= k.receivedAt
		})
		if !ok || shard != s || !ran {
			e.reportf("I2", "%s: shard %d counts as covered by %q", k.request.id, s, data)
		}
	}
}

// checkColdStarts checks I3: concurrency at an upstream in a cold start. Work of a
// daemon that could not know of the cold start yet is not counted.
func (e *checker) checkColdStarts() {
	known := e.coldStartsKnown()
	open := map[process][]*execution{}
	for _, r := range e.w.executions {
		p := process{r.upstream, r.boot}
		if r.start < warmUpEnd || r.start <= known[p][""] && r.start <= known[p][r.daemon] {
			continue
		}
		open[p] = slices.DeleteFunc(open[p], func(o *execution) bool { return o.end != 0 && o.end <= r.start })
		open[p] = append(open[p], r)
		if r.coldBound > 0 && len(open[p]) > r.coldBound {
			e.reportf("I3", "at %.0f %d run at cold %s, bound %d", float64(r.start), len(open[p]), r.upstream, r.coldBound)
		}
	}
}

// coldStartsKnown returns for each process when each daemon knew by a failed
// connection, and under "" when all knew by the first answer.
func (e *checker) coldStartsKnown() map[process]map[string]clock.Millis {
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
	for _, f := range e.w.connectionFailures {
		// A sub-request sent before the failure was heard of arrives later.
		knew(f.process, f.daemon, f.observedAt+5)
	}
	for _, r := range e.w.executions {
		p := process{r.upstream, r.boot}
		if r.boot == 0 {
			knew(p, "", 0)
		}
		if r.answered {
			knew(p, "", r.end+coldStartKnownWithin)
		}
		knew(p, r.daemon, math.MaxFloat64)
	}
	return known
}

// checkDataCentresOut checks I4 from the moment the platform accepted the change.
func (e *checker) checkDataCentresOut() {
	for i, a := range e.w.store.acceptedWrites {
		for _, centre := range dataCentresOut(a.document) {
			from, until := a.at, clock.Millis(math.MaxFloat64)
			for _, next := range slices.Backward(e.w.store.acceptedWrites[i+1:]) {
				if !slices.Contains(dataCentresOut(next.document), centre) {
					until = next.at
				}
			}
			for _, r := range e.w.executions {
				if r.centre == centre && r.start > e.targetStart(r.daemon, from)+dataCentreOutTarget && r.start < until {
					e.reportf("I4", "%s sends %s to %s in %s, %.0f ms after it was taken out",
						r.daemon, r.request, r.upstream, centre, float64(r.start-from))
				}
			}
		}
	}
}

// targetStart returns the instant from which the targets of a change count for a
// daemon: a cut-off one can know of it only after the cut has healed.
func (e *checker) targetStart(daemon string, at clock.Millis) clock.Millis {
	far := regionOf(e.w.daemonByID(fleet.ID(daemon)).centre) == "far"
	if far && e.w.cutOffAt > 0 && e.w.cutOffAt < at+dataCentreOutTarget && at < e.w.healedAt {
		return e.w.healedAt
	}
	return at
}

// checkOwnReply checks I5: one reply to the own request, within the deadline from
// a daemon that no fault stopped or cut off.
func (e *checker) checkOwnReply(k *call) {
	due := k.sentAt + k.request.timeout + replySlack
	if len(k.replies) > 1 {
		e.reportf("I5", "%s has %d replies", k.request.id, len(k.replies))
	}
	for _, r := range k.replies {
		if r.kind != "broken" && r.id != k.request.id {
			e.reportf("I5", "%s gets the reply to %s", k.request.id, r.id)
		}
		for _, data := range r.parts {
			if id, _, _, ok := parsePart(data); ok && id != k.request.id {
				e.reportf("I5", "%s gets a part of %s", k.request.id, id)
			}
		}
	}
	late := k.receivedAt == 0 || k.receivedAt > due
	if late && due < e.w.now && !e.w.wasDisturbed(k.daemon, k.sentAt-5, due) && !e.w.wasCutOff(k, due) {
		e.reportf("I5", "%s, sent to %s at %.0f, has no reply in time (%.0f)", k.request.id, k.daemon.id, float64(k.sentAt), float64(k.receivedAt))
	}
}

// wasCutOff reports whether a cut lay between the caller and the daemon.
func (w *world) wasCutOff(k *call, until clock.Millis) bool {
	return regionOf(k.callerCentre) != regionOf(k.daemon.centre) && w.cutOffAt > 0 && w.cutOffAt <= until && w.healedAt >= k.sentAt
}

// checkNotRun checks I6.
func (e *checker) checkNotRun(k *call, r reply) {
	if r.kind == "broken" || r.runState != query.NotRun {
		return
	}
	for _, x := range e.executions[k.request.id] {
		if x.sendNumber == k.request.sendNumber {
			e.reportf("I6", "%s is called not run and ran at %s", k.request.id, x.upstream)
		}
	}
}

// checkNonIdempotent checks I7: no shard ran a non-idempotent request twice.
func (e *checker) checkNonIdempotent() {
	seen := map[string]bool{}
	for _, k := range e.w.calls {
		if !k.request.nonIdempotent || seen[k.request.id] {
			continue
		}
		seen[k.request.id] = true
		ran := map[uint32]string{}
		for _, r := range e.executions[k.request.id] {
			if other, ok := ran[r.shard]; ok {
				e.reportf("I7", "%s ran on shard %d at %s and %s", k.request.id, r.shard, other, r.upstream)
			}
			ran[r.shard] = r.upstream
		}
	}
}

// checkLeaving checks I8.
func (e *checker) checkLeaving() {
	for _, l := range e.w.leaves {
		for _, r := range e.w.executions {
			if r.upstream == l.upstream && r.start > l.announcedAt+leaveTarget {
				e.reportf("I8", "%s sends %s to %s, %.0f ms after it began to leave", r.daemon, r.request, l.upstream, float64(r.start-l.announcedAt))
			}
		}
	}
}

// checkPlannedStop checks I9: a caller that follows the advice meets no broken
// connection at a daemon that stopped as planned.
func (e *checker) checkPlannedStop(k *call) {
	for _, r := range k.replies {
		if r.kind == "broken" && k.daemon.stoppedAt > 0 && !e.w.wasCutOff(k, k.receivedAt) {
			e.reportf("I9", "%s, sent at %.0f, broke when %s stopped at %.0f", k.request.id, float64(k.sentAt), k.daemon.id, float64(k.daemon.stoppedAt))
		}
	}
}

// checkSettings checks I10 by the revisions that the answers state and by what
// operators were told.
func (e *checker) checkSettings() {
	last := uint64(0)
	for _, a := range e.w.store.acceptedWrites {
		if a.document.Revision() <= last {
			e.reportf("I10", "the platform's revision goes from %d to %d", last, a.document.Revision())
		}
		last = a.document.Revision()
	}
	for _, s := range e.w.store.settledProposals {
		isAccepted := slices.ContainsFunc(e.w.store.acceptedWrites, func(a acceptedWrite) bool { return a.document.Change() == s.change })
		refused := s.outcome != rollout.Applied && s.outcome != rollout.Unknown
		if (s.outcome == rollout.Applied && !isAccepted) || (refused && isAccepted) {
			e.reportf("I10", "%s is reported as %s, accepted: %v", s.change, s.outcome, isAccepted)
		}
	}
	for _, d := range e.w.daemons {
		e.checkInForce(d)
		e.checkReverts(d)
	}
}

// checkInForce looks for answers with settings that are too old. A daemon that was
// stopped or cut off has the whole target from the end of that time.
func (e *checker) checkInForce(d *daemon) {
	for _, a := range e.w.store.acceptedWrites {
		for _, k := range e.w.calls {
			if k.daemon != d || k.sentAt < a.at+settingsTarget || k.receivedAt == 0 || k.replies[0].kind != "answer" {
				continue
			}
			excused := e.w.wasDisturbed(d, max(a.at, k.sentAt-settingsTarget), k.sentAt)
			if r := k.replies[0]; r.settingsRevision < a.document.Revision() && !excused {
				e.reportf("I10", "%s has revision %d in force, %.0f ms after %d was accepted", d.id, r.settingsRevision, float64(k.sentAt-a.at), a.document.Revision())
			}
		}
	}
}

// checkReverts looks for an answer older than one received before it was asked for.
func (e *checker) checkReverts(d *daemon) {
	var calls []*call
	for _, k := range e.w.calls {
		if k.daemon == d && k.receivedAt > 0 && k.replies[0].kind == "answer" {
			calls = append(calls, k)
		}
	}
	byEnd := slices.Clone(calls)
	slices.SortStableFunc(byEnd, func(a, b *call) int { return int(math.Ceil(float64(a.receivedAt - b.receivedAt))) })
	newest, i := uint64(0), 0
	for _, k := range calls {
		for ; i < len(byEnd) && byEnd[i].receivedAt <= k.sentAt; i++ {
			newest = max(newest, byEnd[i].replies[0].settingsRevision)
		}
		if r := k.replies[0]; r.settingsRevision < newest {
			e.reportf("I10", "%s goes back from revision %d to %d", d.id, newest, r.settingsRevision)
		}
	}
}
