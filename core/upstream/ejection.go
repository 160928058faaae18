package upstream

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

const (
	// slowLatencyFactor is the multiple of the service's typical latency above which
	// an answer is slow, and of the fastest other holder's mean latency above which a
	// replica with slow answers is ejected. Stragglers are about 50 times slower.
	slowLatencyFactor = 10
	// slowTrialFactor is the multiple of the service's typical latency after which an
	// abandoned trial counts as failed.
	slowTrialFactor = 3
	// slowAnswerLimit is the number of slow answers in a row after which a replica is
	// compared with the other holders.
	slowAnswerLimit = 5
	// ejectionResetAfter is the time since the end of an ejection after which the next
	// one lasts the base time again.
	ejectionResetAfter = 10 * clock.Minute
)

// ejection is the state of a replica's ejection, which depends only on what this daemon
// has observed. After it, one trial decides whether the replica is readmitted.
type ejection struct {
	active        bool
	until         clock.Millis // end of the ejection
	count         int          // ejections in a row; sets the length of the next
	lastEnd       clock.Millis // end of the latest ejection, also when none is active
	cause         string
	trialInFlight bool // at most one trial at a time
	exempt        bool // scratch of Pick: takes part, so that half of the holders do
}

// excludes reports whether selection by score must pass over the replica.
func (e *ejection) excludes() bool { return e.active && !e.exempt }

// awaitsTrial reports whether the ejection is over and no trial is in flight.
func (e *ejection) awaitsTrial(now clock.Millis) bool {
	return e.active && now >= e.until && !e.trialInFlight
}

// eject begins an ejection. It lasts twice as long as the previous one, up to the
// policy's maximum.
func (p *Pool) eject(r *replicaState, cause string) {
	e := &r.ejection
	if p.now-e.lastEnd > ejectionResetAfter {
		e.count = 0
	}
	length := min(p.policy.EjectionBase()*clock.Millis(int64(1)<<min(e.count, 30)), p.policy.EjectionMax())
	e.active, e.cause = true, cause
	e.until = p.now + length
	e.lastEnd = e.until
	e.count++
	r.slowAnswers = 0
	p.recordEvent(journal.Ejection, r.replica.id, fmt.Sprintf("ejected for %v: %s", length.Duration(), cause))
}

// readmit ends an ejection after a successful trial.
func (p *Pool) readmit(r *replicaState) {
	r.ejection.active = false
	p.recordEvent(journal.Ejection, r.replica.id, "trial succeeded; readmitted")
}

// ejectIfFailing ejects a replica after the policy's number of failures in a row, or
// after a failed trial. Failures during an ejection do not prolong it.
func (p *Pool) ejectIfFailing(r *replicaState, cause string) {
	if r.ejection.active && p.now < r.ejection.until {
		return
	}
	if r.ejection.active {
		p.eject(r, "trial failed: "+cause)
		return
	}
	if r.consecutiveFailures >= p.policy.EjectionFailures() {
		p.eject(r, fmt.Sprintf("%d failures in a row, the last: %s", r.consecutiveFailures, cause))
	}
}

// countSlowAnswer counts the slow answers in a row.
func (p *Pool) countSlowAnswer(r *replicaState, latency clock.Millis) {
	if latency > slowLatencyFactor*p.typicalLatency {
		r.slowAnswers++
		return
	}
	r.slowAnswers = 0
}

// ejectIfSlow ejects a replica that is much slower than the fastest other usable holder
// of the shard. If all holders are slow, none is ejected.
func (p *Pool) ejectIfSlow(r *replicaState) {
	fastest := clock.Millis(0)
	for _, other := range p.usable {
		if other == r || other.meanLatency == 0 {
			continue
		}
		if fastest == 0 || other.meanLatency < fastest {
			fastest = other.meanLatency
		}
	}
	if fastest > 0 && r.meanLatency > slowLatencyFactor*fastest {
		p.eject(r, fmt.Sprintf("latency %v, fastest other holder %v", r.meanLatency, fastest))
	}
}

// removeEjected removes ejected replicas from p.usable, except those that await their
// trial if the request is a first attempt. At most half of the holders, rounded down,
// count as ejected; the others are exempt.
func (p *Pool) removeEjected(req *PickRequest, holders int) {
	ejected := 0
	for _, r := range p.usable {
		r.ejection.exempt = false
		if r.slowAnswers >= slowAnswerLimit && !r.ejection.active {
			p.ejectIfSlow(r)
		}
		if r.ejection.active {
			ejected++
		}
	}
	if ejected == 0 {
		return
	}
	for excess := ejected - holders/2; excess > 0; excess-- {
		p.exemptEarliest()
	}
	kept := p.usable[:0]
	for _, r := range p.usable {
		if !r.ejection.excludes() || (req.purpose == FirstAttempt && r.ejection.awaitsTrial(p.now)) {
			kept = append(kept, r)
		}
	}
	p.usable = kept
}

// exemptEarliest exempts the replica whose ejection ends first.
func (p *Pool) exemptEarliest() {
	var first *replicaState
	for _, r := range p.usable {
		if r.ejection.excludes() && (first == nil || r.ejection.until < first.ejection.until) {
			first = r
		}
	}
	if first != nil {
		first.ejection.exempt = true
	}
}
