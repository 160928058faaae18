package dispatch

import (
	"math"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// priorMarginFraction of the latency objective, and at least minPriorMargin, is the
	// time that an answer is assumed to need from its decision to the caller while
	// nothing is measured.
	priorMarginFraction = 0.06
	minPriorMargin      = 12 * clock.Millisecond
	// priorRoundTrip is the part of that time that is taken for the round trip to a caller,
	// or to a delegating daemon, while it is not known.
	priorRoundTrip = 6 * clock.Millisecond
	// priorWeight is the weight of that assumption among the measured delays.
	priorWeight = 2
	// delayDecayThreshold is the weight of the measured delays at which it is halved, and
	// delayHalfLife the time in which it halves, so that a burst fades in busy and in
	// idle daemons alike.
	delayDecayThreshold = 128
	delayHalfLife       = 20 * clock.Second
	delayDecayInterval  = clock.Second
	// marginQuantile is the quantile of the daemon's delays that is reserved before the
	// expected benefit of answering is weighed against that of waiting.
	marginQuantile = 0.98
	// reserveIterations halve the range of the reserved delay to below a percent.
	reserveIterations = 10
	// latenessLifetime is the time after which a lateness without a successor is
	// ignored.
	latenessLifetime = 10 * clock.Second
	// lateBenefit is the benefit of a late answer per that of one in time.
	lateBenefit = 0.1
	// answerSteps is the number of instants up to the objective that are compared, not
	// closer than minAnswerStep.
	answerSteps   = 12
	minAnswerStep = clock.Millisecond
)

// TimerLateness holds how late the daemon's last two timers were. A goroutine that waits
// for a socket is woken as late as one that waits for a timer, but the daemon cannot
// see by how much. The zero value is no lateness.
type TimerLateness struct {
	last, previous     clock.Millis
	lastAt, previousAt clock.Millis
}

// Record adds a timer that was set for wanted and handled at now.
func (l *TimerLateness) Record(now, wanted clock.Millis) {
	l.previous, l.previousAt = l.last, l.lastAt
	l.last, l.lastAt = max(0, now-wanted), now
}

// sum returns the lateness of two wake-ups: the one that reads a request and the one
// that decides to answer it.
func (l *TimerLateness) sum(now clock.Millis) clock.Millis {
	total := clock.Millis(0)
	if now-l.lastAt < latenessLifetime {
		total += l.last
	}
	if now-l.previousAt < latenessLifetime {
		total += l.previous
	}
	return total
}

// DelayProfile is the recent distribution of the time that this daemon adds to an answer
// on a route: late wake-ups, and the time from the decision to answer until the last byte
// is with the kernel. The zero value has no measurements. It is not safe for concurrent
// use.
type DelayProfile struct {
	delays    histogram
	decayedAt clock.Millis
	margin    clock.Millis // of the last request
}

// Record adds the time from the decision to answer a request to the last byte given to
// the kernel. It adds the lateness of the daemon's timers to each sample rather than
// to the quantiles, since both rise and fall with the load.
func (p *DelayProfile) Record(now, answering clock.Millis, lateness *TimerLateness) {
	p.decay(now)
	p.delays.add(answering + lateness.sum(now))
	if p.delays.weight >= delayDecayThreshold {
		p.delays.scale(0.5)
	}
}

// Margin returns the time that the last request reserved before its objective.
func (p *DelayProfile) Margin() clock.Millis { return p.margin }

func (p *DelayProfile) decay(now clock.Millis) {
	if elapsed := now - p.decayedAt; elapsed >= delayDecayInterval {
		p.delays.scale(float32(math.Exp2(-float64(elapsed / delayHalfLife))))
		p.decayedAt = now
	}
}

// exceedProbability returns the probability that the delay is above d. The prior delay is
// assumed to be spread evenly between 0 and prior.
func (p *DelayProfile) exceedProbability(d, prior clock.Millis) float64 {
	if d <= 0 {
		return 1
	}
	above := p.delays.weightAbove(d) + priorWeight*max(0, 1-float32(d/prior))
	return float64(above / (p.delays.weight + priorWeight))
}

// reserve returns the delay that is exceeded with the probability 1 - marginQuantile. It
// is the prior delay while nothing is measured.
func (p *DelayProfile) reserve(prior clock.Millis) clock.Millis {
	if p.delays.weight < 1 {
		return prior
	}
	low, high := clock.Millis(0), max(prior, p.delays.quantile(marginQuantile))
	for range reserveIterations {
		middle := (low + high) / 2
		if p.exceedProbability(middle, prior) > 1-marginQuantile {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// Arrival describes how the request of a caller reached the daemon. The caller's time
// begins when it opens its connection, or sends the first byte on an open one.
type Arrival struct {
	// Waited is the time from the first byte read to the start of the request.
	Waited clock.Millis
	// Silent is the time from the accept of a new connection to the first byte read.
	Silent clock.Millis
	// RoundTrip is that of the connection, or 0 if it is not known.
	RoundTrip clock.Millis
	// NewConnection means that the request is the first one of its connection.
	NewConnection bool
}

// Fractions of a round trip that pass before the first byte of a request arrives and on
// the way of the answer.
const (
	newConnectionTrips  = 1.5 // handshake, then the request
	openConnectionTrips = 0.5
	answerTrips         = 0.5
)

// maxSilence is the longest time from the accept to the first byte read that counts as
// the caller's. A longer one is no delay of a daemon that still answers in time: the
// caller has opened the connection before it had a request.
const maxSilence = 100 * clock.Millisecond

// callerTime returns the part of the caller's time that passes before the start of the
// request and on the way of the answer.
func (a Arrival) callerTime() clock.Millis {
	if a.NewConnection && a.Silent <= maxSilence {
		return a.Silent + a.Waited + (newConnectionTrips+answerTrips)*a.RoundTrip
	}
	return a.Waited + (openConnectionTrips+answerTrips)*a.RoundTrip
}

// scheduleAnswer sets the instants that depend on the daemon's delays and the caller's
// path. left is the time to the deadline.
func (q *Request) scheduleAnswer(left clock.Millis, a Arrival) {
	objective := q.route.Objective()
	q.priorDelay = max(minPriorMargin, objective*priorMarginFraction)
	deadlinePrior := minPriorMargin
	if a.RoundTrip <= 0 {
		a.RoundTrip = priorRoundTrip
		q.priorDelay -= priorRoundTrip
		deadlinePrior -= priorRoundTrip
	}
	q.dueAt = q.startedAt + objective - a.callerTime()
	q.partialAt = q.dueAt - q.delays.reserve(q.priorDelay)
	longest := left / deadlineMarginDivisor
	q.replyBy = q.deadline - min(longest, a.callerTime())
	q.answerBy = q.deadline - min(longest, a.callerTime()+q.delays.reserve(deadlinePrior))
}

// Margin returns the time before the objective from which on the request weighs an
// answer against waiting for further shards.
func (q *Request) Margin() clock.Millis { return q.startedAt + q.route.Objective() - q.partialAt }

// answerAt returns the instant at which a request whose minimum coverage is reached is
// answered if nothing else happens before it.
func (q *Request) answerAt(now clock.Millis) clock.Millis {
	switch {
	case now < q.partialAt:
		return q.partialAt
	case q.delegated || now >= q.dueAt:
		return now
	default:
		return q.bestAnswerAt(now)
	}
}

// bestAnswerAt returns the instant, from now to the objective, at which an answer has the
// greatest expected benefit.
func (q *Request) bestAnswerAt(now clock.Millis) clock.Millis {
	step := max(minAnswerStep, (q.dueAt-now)/answerSteps)
	best, bestAt := q.expectedBenefit(now, now), now
	for at := now + step; at < q.dueAt; at += step {
		if benefit := q.expectedBenefit(now, at); benefit > best {
			best, bestAt = benefit, at
		}
	}
	return bestAt
}

// expectedBenefit returns the benefit, times the square of the number of shards, of an
// answer at the given instant as far as it can be known now: the expected square of the
// number of shards covered then, and only lateBenefit of it if the daemon's delays make
// the answer late.
func (q *Request) expectedBenefit(now, at clock.Millis) float64 {
	covered, variance := float64(q.coveredShards), 0.0
	if at > now {
		for i := range q.shards {
			if s := &q.shards[i]; s.open() {
				p := q.coverProbability(s, now, at)
				covered += p
				variance += p * (1 - p)
			}
		}
	}
	late := q.delays.exceedProbability(q.dueAt-at, q.priorDelay)
	return (1 - late + late*lateBenefit) * (covered*covered + variance)
}

// coverProbability returns the probability that an open shard is covered at the given
// instant: by an exchange in progress, or by the hedge or retry that is scheduled.
func (q *Request) coverProbability(s *shard, now, at clock.Millis) float64 {
	next := s.retryAt
	missed := 1.0
	if s.pending > 0 {
		next = never
		if q.mayHedge(s) {
			next = s.hedgeAt
		}
		missed = 1 - q.profile.ReplyProbability(now-s.sentAt, at-now)
		if s.pending > 1 {
			missed *= 1 - q.profile.ReplyProbability(now-s.resentAt, at-now)
		}
	}
	if next = max(next, now); next < at {
		missed *= 1 - q.profile.ReplyProbability(0, at-next)
	}
	return 1 - missed
}
