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
	// Time after the acceptance of a change in which daemons stop using a data centre.
	dataCentreOutTarget = 3 * clock.Second
	// Time after the announcement in which daemons stop using a leaving upstream.
	leaveTarget = 3 * clock.Second
	// Time after the acceptance of a change in which every daemon applies it.
	settingsTarget = 5 * clock.Second
	// Time after the first answer of an upstream that restarted without warning in
	// which all daemons learn of its cold start: two hops between peers, each up to
	// a tick, and the publishing interval. Requests sent earlier cannot be limited,
	// because their daemons do not know of the cold start.
	coldStartKnownWithin = 250 * clock.Millisecond
	// Time after the deadline in which a caller must have its reply.
	replySlack = 50 * clock.Millisecond
)

// checker collects the violations of the invariants in a finished run.
type checker struct {
	w          *world
	executions map[string][]*execution // by request
	violations []string
}

// checkInvariants returns the violations of all invariants, each preceded by the
// ID of its invariant.
func (w *world) checkInvariants() []string {
	c := &checker{w: w, executions: map[string][]*execution{}}
	for _, r := range w.executions {
		c.executions[r.request] = append(c.executions[r.request], r)
	}
	for _, k := range w.calls {
		for _, r := range k.replies {
			if r.kind == "answer" {
				c.checkOneSnapshot(k, r)
				c.checkCoverage(k, r)
			}
			c.checkNotRun(k, r)
		}
		c.checkOwnReply(k)
		c.checkPlannedStop(k)
	}
	c.checkColdStarts()
	c.checkDataCentresOut()
	c.checkNonIdempotent()
	c.checkLeaving()
	c.checkSettings()
	return c.violations
}

// reportf adds a violation of the invariant id. Violations beyond the first 40 are
// dropped.
func (c *checker) reportf(id, format string, args ...any) {
	if len(c.violations) < 40 {
		c.violations = append(c.violations, id+": "+fmt.Sprintf(format, args...))
	}
}

// parsePart splits the data of a part, which an upstream sends, into the request ID,
// the snapshot version and the shard.
func parsePart(data string) (id string, version uint64, shard int, ok bool) {
	fields := strings.Fields(data)
	if len(fields) != 3 {
		return "", 0, 0, false
	}
	version, versionErr := strconv.ParseUint(fields[1], 10, 64)
	shard, shardErr := strconv.Atoi(fields[2])
	return fields[0], version, shard, versionErr == nil && shardErr == nil
}

// checkOneSnapshot checks I1: all parts of an answer are of one snapshot version.
func (c *checker) checkOneSnapshot(k *call, r reply) {
	for shard, data := range r.parts {
		if _, version, _, ok := parsePart(data); ok && version != r.version {
			c.reportf("I1", "%s: part of shard %d has version %d in an answer of version %d",
				k.request.id, shard, version, r.version)
		}
	}
}

// checkCoverage checks I2: the coverage that an answer states agrees with the
// shards of the version and with what upstreams executed.
func (c *checker) checkCoverage(k *call, r reply) {
	total := c.w.shardCounts[r.version]
	if !r.coverageKnown || r.total != total || r.covered != len(r.parts) || r.covered+len(r.missing) != total {
		c.reportf("I2", "%s: total %d, covered %d, missing %v with %d parts; version %d has %d shards",
			k.request.id, r.total, r.covered, r.missing, len(r.parts), r.version, total)
	}
	for _, s := range r.missing {
		if _, covered := r.parts[s]; covered {
			c.reportf("I2", "%s: shard %d is both covered and missing", k.request.id, s)
		}
	}
	for s, data := range r.parts {
		_, _, shard, ok := parsePart(data)
		ran := slices.ContainsFunc(c.executions[k.request.id], func(x *execution) bool {
			return x.answered && x.shard == uint32(s) && x.sendNumber == k.request.sendNumber && x.end <= k.receivedAt
		})
		if !ok || shard != s || !ran {
			c.reportf("I2", "%s: shard %d counts as covered by the part %q", k.request.id, s, data)
		}
	}
}

// checkColdStarts checks I3: the concurrency at an upstream in a cold start stays
// within its bound. Requests of a daemon that cannot know of the cold start yet are
// not counted.
func (c *checker) checkColdStarts() {
	known := c.coldStartsKnown()
	running := map[process][]*execution{}
	for _, r := range c.w.executions {
		p := process{r.upstream, r.boot}
		if r.start < warmUpEnd || r.start <= known[p][""] && r.start <= known[p][r.daemon] {
			continue
		}
		running[p] = slices.DeleteFunc(running[p], func(o *execution) bool { return o.end != 0 && o.end <= r.start })
		running[p] = append(running[p], r)
		if r.coldBound > 0 && len(running[p]) > r.coldBound {
			c.reportf("I3", "at %.0f ms %d requests run at %s in its cold start, bound %d",
				float64(r.start), len(running[p]), r.upstream, r.coldBound)
		}
	}
}

// coldStartsKnown returns for each upstream process the instants at which daemons
// learn of its cold start: by daemon for a failed connection that it observed, and
// under "" for the first answer, of which all daemons learn.
func (c *checker) coldStartsKnown() map[process]map[string]clock.Millis {
	known := map[process]map[string]clock.Millis{}
	recordKnown := func(p process, daemon string, at clock.Millis) {
		if known[p] == nil {
			known[p] = map[string]clock.Millis{}
			for _, d := range c.w.daemons {
				known[p][string(d.id)] = math.MaxFloat64
			}
			known[p][""] = math.MaxFloat64
		}
		known[p][daemon] = min(known[p][daemon], at)
	}
	for _, f := range c.w.connectionFailures {
		// A request that was sent before the failure was observed arrives up to 5 ms later.
		recordKnown(f.process, f.daemon, f.observedAt+5)
	}
	for _, r := range c.w.executions {
		p := process{r.upstream, r.boot}
		if r.boot == 0 {
			recordKnown(p, "", 0)
		}
		if r.answered {
			recordKnown(p, "", r.end+coldStartKnownWithin)
		}
		recordKnown(p, r.daemon, math.MaxFloat64)
	}
	return known
}

// checkDataCentresOut checks I4: a daemon sends nothing to a data centre once the
// target has passed since the platform accepted the change that takes it out.
func (c *checker) checkDataCentresOut() {
	for i, a := range c.w.store.acceptedWrites {
		for _, centre := range dataCentresOut(a.document) {
			from, until := a.at, clock.Millis(math.MaxFloat64)
			for _, next := range slices.Backward(c.w.store.acceptedWrites[i+1:]) {
				if !slices.Contains(dataCentresOut(next.document), centre) {
					until = next.at
				}
			}
			for _, r := range c.w.executions {
				if r.centre == centre && r.start > c.targetStart(r.daemon, from)+dataCentreOutTarget && r.start < until {
					c.reportf("I4", "%s sends %s to %s in data centre %s, %.0f ms after it was taken out",
						r.daemon, r.request, r.upstream, centre, float64(r.start-from))
				}
			}
		}
	}
}

// targetStart returns the instant from which the target of a change accepted at
// the given instant counts for a daemon. For a daemon in a region that is cut off,
// that is the end of the cut-off.
func (c *checker) targetStart(daemon string, at clock.Millis) clock.Millis {
	far := regionOf(c.w.daemonByID(fleet.ID(daemon)).centre) == "far"
	if far && c.w.cutOffAt > 0 && c.w.cutOffAt < at+dataCentreOutTarget && at < c.w.healedAt {
		return c.w.healedAt
	}
	return at
}

// checkOwnReply checks I5: a caller receives one reply, to its own request, and in
// time unless a fault stopped the daemon or cut it off.
func (c *checker) checkOwnReply(k *call) {
	due := k.sentAt + k.request.timeout + replySlack
	if len(k.replies) > 1 {
		c.reportf("I5", "%s has %d replies", k.request.id, len(k.replies))
	}
	for _, r := range k.replies {
		if r.kind != "broken" && r.id != k.request.id {
			c.reportf("I5", "%s receives the reply to %s", k.request.id, r.id)
		}
		for _, data := range r.parts {
			if id, _, _, ok := parsePart(data); ok && id != k.request.id {
				c.reportf("I5", "%s receives a part of %s", k.request.id, id)
			}
		}
	}
	late := k.receivedAt == 0 || k.receivedAt > due
	if late && due < c.w.now && !c.w.wasDisturbed(k.daemon, k.sentAt-5, due) && !c.w.wasCutOff(k, due) {
		c.reportf("I5", "%s, sent to %s at %.0f ms, has no reply in time: received at %.0f ms, 0 for none",
			k.request.id, k.daemon.id, float64(k.sentAt), float64(k.receivedAt))
	}
}

// wasCutOff reports whether the caller of k was cut off from the daemon at any time
// from the sending until the given instant.
func (w *world) wasCutOff(k *call, until clock.Millis) bool {
	return regionOf(k.callerCentre) != regionOf(k.daemon.centre) &&
		w.cutOffAt > 0 && w.cutOffAt <= until && w.healedAt >= k.sentAt
}

// checkNotRun checks I6: a request that is reported as not run did not run.
func (c *checker) checkNotRun(k *call, r reply) {
	if r.kind == "broken" || r.runState != query.NotRun {
		return
	}
	for _, x := range c.executions[k.request.id] {
		if x.sendNumber == k.request.sendNumber {
			c.reportf("I6", "%s is reported as not run but ran at %s", k.request.id, x.upstream)
		}
	}
}

// checkNonIdempotent checks I7: no shard runs a non-idempotent request twice.
func (c *checker) checkNonIdempotent() {
	seen := map[string]bool{}
	for _, k := range c.w.calls {
		if !k.request.nonIdempotent || seen[k.request.id] {
			continue
		}
		seen[k.request.id] = true
		ran := map[uint32]string{}
		for _, r := range c.executions[k.request.id] {
			if other, ok := ran[r.shard]; ok {
				c.reportf("I7", "%s ran on shard %d at %s and %s", k.request.id, r.shard, other, r.upstream)
			}
			ran[r.shard] = r.upstream
		}
	}
}

// checkLeaving checks I8: daemons send nothing to an upstream once the target has
// passed since it announced that it leaves.
func (c *checker) checkLeaving() {
	for _, l := range c.w.leaves {
		for _, r := range c.w.executions {
			if r.upstream == l.upstream && r.start > l.announcedAt+leaveTarget {
				c.reportf("I8", "%s sends %s to %s, %.0f ms after it announced that it leaves",
					r.daemon, r.request, l.upstream, float64(r.start-l.announcedAt))
			}
		}
	}
}

// checkPlannedStop checks I9: no connection of a caller that follows the advice
// breaks because of a planned stop.
func (c *checker) checkPlannedStop(k *call) {
	for _, r := range k.replies {
		if r.kind == "broken" && k.daemon.stoppedAt > 0 && !c.w.wasCutOff(k, k.receivedAt) {
			c.reportf("I9", "%s, sent at %.0f ms, has a broken connection to %s, which stopped as planned at %.0f ms",
				k.request.id, float64(k.sentAt), k.daemon.id, float64(k.daemon.stoppedAt))
		}
	}
}

// checkSettings checks I10: revisions of the settings increase, operators are told
// the true outcome of their proposals, and daemons apply new revisions in time and
// do not go back.
func (c *checker) checkSettings() {
	last := uint64(0)
	for _, a := range c.w.store.acceptedWrites {
		if a.document.Revision() <= last {
			c.reportf("I10", "the revision accepted by the platform goes from %d to %d", last, a.document.Revision())
		}
		last = a.document.Revision()
	}
	for _, s := range c.w.store.settledProposals {
		isAccepted := slices.ContainsFunc(c.w.store.acceptedWrites, func(a acceptedWrite) bool {
			return a.document.ChangeID() == s.change
		})
		refused := s.outcome != rollout.Applied && s.outcome != rollout.Unknown
		if (s.outcome == rollout.Applied && !isAccepted) || (refused && isAccepted) {
			c.reportf("I10", "change %q is reported as %s, accepted by the platform: %v", s.change, s.outcome, isAccepted)
		}
	}
	for _, d := range c.w.daemons {
		c.checkInForce(d)
		c.checkReverts(d)
	}
}

// checkInForce reports answers with settings that are older than the target
// allows. For a daemon that was stopped or cut off, the target counts from the end
// of that period.
func (c *checker) checkInForce(d *daemon) {
	for _, a := range c.w.store.acceptedWrites {
		for _, k := range c.w.calls {
			if k.daemon != d || k.sentAt < a.at+settingsTarget || k.receivedAt == 0 || k.replies[0].kind != "answer" {
				continue
			}
			excused := c.w.wasDisturbed(d, max(a.at, k.sentAt-settingsTarget), k.sentAt)
			if r := k.replies[0]; r.settingsRevision < a.document.Revision() && !excused {
				c.reportf("I10", "%s has revision %d in force, %.0f ms after revision %d was accepted",
					d.id, r.settingsRevision, float64(k.sentAt-a.at), a.document.Revision())
			}
		}
	}
}

// checkReverts reports an answer with an older revision than one that was received
// from the same daemon before the request was sent.
func (c *checker) checkReverts(d *daemon) {
	var calls []*call
	for _, k := range c.w.calls {
		if k.daemon == d && k.receivedAt > 0 && k.replies[0].kind == "answer" {
			calls = append(calls, k)
		}
	}
	byReceipt := slices.Clone(calls)
	slices.SortStableFunc(byReceipt, func(a, b *call) int {
		return int(math.Ceil(float64(a.receivedAt - b.receivedAt)))
	})
	newest, i := uint64(0), 0
	for _, k := range calls {
		for ; i < len(byReceipt) && byReceipt[i].receivedAt <= k.sentAt; i++ {
			newest = max(newest, byReceipt[i].replies[0].settingsRevision)
		}
		if r := k.replies[0]; r.settingsRevision < newest {
			c.reportf("I10", "%s goes back from revision %d to %d", d.id, newest, r.settingsRevision)
		}
	}
}
