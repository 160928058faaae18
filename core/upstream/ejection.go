package upstream

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

const (
	// slowLatencyFactor is how far above the other holders' latency a replica must
	// answer to be ejected; a straggler is about 50 times slower.
	slowLatencyFactor = 10
	// slowTrialFactor is how far above the typical latency a trial may run before
	// giving it up counts as a failure.
	slowTrialFactor = 3
	// slowAnswerLimit is the number of such answers in a row.
	slowAnswerLimit = 5
	// ejectionResetAfter is the time after which a replica that works again is
	// ejected for the base time only.
	ejectionResetAfter = 10 * clock.Minute
)

// ejection keeps a replica out of selection on this daemon's own evidence.
type ejection struct {
	active        bool
	until         clock.Millis
	count         int
	endsAt        clock.Millis
	cause         string
	trialInFlight bool // the one trial is in flight
	exempt        bool // scratch of Pick: over the bound for the asked shard
}

// excludes reports whether selection must pass over the replica.
func (e *ejection) excludes() bool { return e.active && !e.exempt }

// awaitsTrial reports whether the replica waits for its trial.
func (e *ejection) awaitsTrial(now clock.Millis) bool {
	return e.active && now >= e.until && !e.trialInFlight
}

// eject starts an ejection that lasts twice as long as the previous one.
func (p *Pool) eject(r *replicaState, cause string) {
	e := &r.ejection
	if p.now-e.endsAt > ejectionResetAfter {
		e.count = 0
	}
	length := min(p.policy.EjectionBase()*clock.Millis(int64(1)<<min(e.count, 30)), p.policy.EjectionMax())
	e.active, e.cause = true, cause
	e.until = p.now + length
	e.endsAt = e.until
	e.count++
	r.slowAnswers = 0
	p.recordEvent(journal.Ejection, r.replica.id, fmt.Sprintf("ejected for %v: %s", length.Duration(), cause))
}

// readmit ends an ejection after a trial.
func (p *Pool) readmit(r *replicaState) {
	r.ejection.active = false
	p.recordEvent(journal.Ejection, r.replica.id, "trial succeeded; readmitted")
}

// ejectIfFailing ejects a replica after too many failures in a row, and again
// after a failed trial.
func (p *Pool) ejectIfFailing(r *replicaState, cause string) {
	if r.ejection.active && p.now < r.ejection.until {
		return
	}
	if r.ejection.active {
		p.eject(r, "trial failed: "+cause)
		return
	}
	if r.consecutiveFailures >= p.policy.EjectionFailures() {
		p.eject(r, fmt.Sprintf("%d failures in a row, last: %s", r.consecutiveFailures, cause))
	}
}

// countSlowAnswer counts answers far above the typical latency of the service.
func (p *Pool) countSlowAnswer(r *replicaState, latency clock.Millis) {
	if latency > slowLatencyFactor*p.typicalLatency {
		r.slowAnswers++
		return
	}
	r.slowAnswers = 0
}

// ejectIfSlow ejects a replica that is far above the other holders of a shard.
// A shard that is slow everywhere ejects nothing.
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
		p.eject(r, fmt.Sprintf("latency %v, other holders from %v", r.meanLatency, fastest))
	}
}

// removeEjected removes ejected replicas from p.usable, but for those over
// the bound of half the holders and those that wait for their trial.
func (p *Pool) removeEjected(ask *PickRequest, holders int) {
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
	for over := ejected - holders/2; over > 0; over-- {
		p.exemptEarliest()
	}
	kept := p.usable[:0]
	for _, r := range p.usable {
		if !r.ejection.excludes() || (ask.purpose == FirstAttempt && r.ejection.awaitsTrial(p.now)) {
			kept = append(kept, r)
		}
	}
	p.usable = kept
}

// exemptEarliest lets the replica take part whose ejection ends first.
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
