package bench

import (
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/admission"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// variant says which decisions a run makes. The zero value is lovagegap with
// the defaults of the settings tree.
type variant struct {
	name             string
	mode             query.Mode
	wanted           float64 // coverage that tail-first waits for; zero for all
	noHedges         bool
	noRetries        bool
	retries          int // zero for the default
	unlimitedRetries bool
	noGate           bool
	noEjection       bool
	noNear           bool
	noAdmission      bool
	adaptive         bool                                      // admission follows the service time
	concurrency      int                                       // admitted queries of a daemon; zero for the default
	narrowBurst      bool                                      // no more hedge tokens are kept than the setting says
	redial           bool                                      // a connection closed by a cancellation is replaced at once
	noEstimates      bool                                      // attempts time out after half the deadline; no quarantine
	order            func(s *singly, shard snapshot.Shard) int // order of holders instead of a comparison
}

// The variants of the tables.
var (
	lovagegap  = variant{name: "lovagegap"}
	noGate     = variant{name: "no cold-start gate", noGate: true}
	roundRobin = variant{
		name: "round robin, no hedging", noHedges: true, noRetries: true, noGate: true,
		noEjection: true, noNear: true, noAdmission: true, noEstimates: true, order: inTurn,
	}
	naiveRetry = variant{
		name: "naive retry x 3", noHedges: true, retries: 3, unlimitedRetries: true, noGate: true,
		noEjection: true, noNear: true, noAdmission: true, noEstimates: true, order: inTurn,
	}
	baselines = []variant{lovagegap, roundRobin, naiveRetry}
)

const (
	// hedgeRounds is the constant of entry/engine.
	hedgeRounds = 8

	never      = 1 << 30
	noLimit    = 100000
	defaultMax = clock.Minute
)

func (v variant) query() query.Policy {
	p := query.Policy{}.WithMode(v.mode).WithHedgesEnabled(!v.noHedges)
	if v.wanted > 0 {
		p = p.WithWantedCoverage(v.wanted)
	}
	switch {
	case v.noRetries:
		p = p.WithMaxRetries(0)
	case v.retries > 0:
		p = p.WithMaxRetries(v.retries)
	}
	return p
}

func (v variant) pool(s service) upstream.Policy {
	p := upstream.Policy{}.WithLimits(s.slots, s.connections).
		WithColdStart(!v.noGate, upstream.DefaultInitialLevel, upstream.DefaultLatencyJump)
	if v.noEjection {
		p = p.WithEjection(never, clock.Second, defaultMax)
	}
	return p
}

func (v variant) admission() admission.Policy {
	switch {
	case v.adaptive:
		return admission.Policy{}.WithAdaptive(true)
	case v.concurrency > 0:
		return admission.Policy{}.WithConcurrency(v.concurrency)
	case v.noAdmission:
		return admission.Policy{}.WithConcurrency(noLimit)
	}
	return admission.Policy{}
}

// unlimited is a budget that never runs out.
type unlimited struct{}

func (unlimited) Earn(int)          {}
func (unlimited) Take(float64) bool { return true }

// singly asks the pool about one holder at a time, so that it cannot compare.
type singly struct {
	pool   *upstream.Pool
	random *rand.Rand
	turns  map[snapshot.Shard]int
	order  func(s *singly, shard snapshot.Shard) int
}

func inTurn(s *singly, shard snapshot.Shard) int {
	s.turns[shard]++
	return s.turns[shard]
}

func atRandom(s *singly, _ snapshot.Shard) int { return s.random.IntN(never) }

// Pick takes the first holder, in the baseline's order, that may be asked.
func (s *singly) Pick(now clock.Millis, ask upstream.PickRequest) (upstream.Choice, error) {
	holders := ask.Holders()
	first := s.order(s, ask.Shard())
	var err error
	for i := range holders {
		at := (first + i) % len(holders)
		var choice upstream.Choice
		choice, err = s.pool.Pick(now, ask.WithHolders(holders[at:at+1]))
		if err == nil {
			return choice, nil
		}
	}
	return upstream.Choice{}, err
}

// Done takes the end of an exchange.
func (s *singly) Done(now clock.Millis, choice upstream.Choice, result upstream.Result) {
	s.pool.Done(now, choice, result)
}
