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
	name                 string
	mode                 query.Mode
	wantedCoverage       float64 // coverage that tail-first waits for; zero for all
	noHedges             bool
	noRetries            bool
	maxRetries           int // zero for the default
	unlimitedRetries     bool
	noColdStartGate      bool
	noEjection           bool
	noNearPreference     bool
	noAdmission          bool
	adaptiveAdmission    bool                                                // admission follows the service time
	admissionConcurrency int                                                 // admitted queries of a daemon; zero for the default
	noBurstRounds        bool                                                // no more hedge tokens are kept than the setting says
	replacesConnections  bool                                                // a connection closed by a cancellation is replaced at once
	noLatencyEstimates   bool                                                // attempts time out after half the deadline; no quarantine
	firstHolder          func(s *sequentialPicker, shard snapshot.Shard) int // order of holders instead of a comparison
}

// The variants of the tables.
var (
	lovagegap            = variant{name: "lovagegap"}
	withoutColdStartGate = variant{name: "no cold-start gate", noColdStartGate: true}
	roundRobin           = variant{
		name: "round robin, no hedging", noHedges: true, noRetries: true, noColdStartGate: true,
		noEjection: true, noNearPreference: true, noAdmission: true, noLatencyEstimates: true, firstHolder: roundRobinHolder,
	}
	naiveRetry = variant{
		name: "naive retry x 3", noHedges: true, maxRetries: 3, unlimitedRetries: true, noColdStartGate: true,
		noEjection: true, noNearPreference: true, noAdmission: true, noLatencyEstimates: true, firstHolder: roundRobinHolder,
	}
	mainVariants = []variant{lovagegap, roundRobin, naiveRetry}
)

const (
	// hedgeBurstRounds is the constant of entry/engine.
	hedgeBurstRounds = 8

	hugeCount            = 1 << 30
	unlimitedConcurrency = 100000
	maxEjectionTime      = clock.Minute
)

func (v variant) queryPolicy() query.Policy {
	p := query.Policy{}.WithMode(v.mode).WithHedgesEnabled(!v.noHedges)
	if v.wantedCoverage > 0 {
		p = p.WithWantedCoverage(v.wantedCoverage)
	}
	switch {
	case v.noRetries:
		p = p.WithMaxRetries(0)
	case v.maxRetries > 0:
		p = p.WithMaxRetries(v.maxRetries)
	}
	return p
}

func (v variant) poolPolicy(s service) upstream.Policy {
	p := upstream.Policy{}.WithLimits(s.slots, s.maxConnections).
		WithColdStart(!v.noColdStartGate, upstream.DefaultInitialLevel, upstream.DefaultLatencyJump)
	if v.noEjection {
		p = p.WithEjection(hugeCount, clock.Second, maxEjectionTime)
	}
	return p
}

func (v variant) admissionPolicy() admission.Policy {
	switch {
	case v.adaptiveAdmission:
		return admission.Policy{}.WithAdaptive(true)
	case v.admissionConcurrency > 0:
		return admission.Policy{}.WithConcurrency(v.admissionConcurrency)
	case v.noAdmission:
		return admission.Policy{}.WithConcurrency(unlimitedConcurrency)
	}
	return admission.Policy{}
}

// unlimitedBudget is a budget that never runs out.
type unlimitedBudget struct{}

func (unlimitedBudget) Earn(int)          {}
func (unlimitedBudget) Take(float64) bool { return true }

// sequentialPicker asks the pool about one holder at a time, so that it cannot compare.
type sequentialPicker struct {
	pool         *upstream.Pool
	random       *rand.Rand
	turnsByShard map[snapshot.Shard]int
	firstHolder  func(s *sequentialPicker, shard snapshot.Shard) int
}

func roundRobinHolder(s *sequentialPicker, shard snapshot.Shard) int {
	s.turnsByShard[shard]++
	return s.turnsByShard[shard]
}

func randomHolder(s *sequentialPicker, _ snapshot.Shard) int { return s.random.IntN(hugeCount) }

// Pick takes the first holder, in the baseline's order, that may be asked.
func (s *sequentialPicker) Pick(now clock.Millis, ask upstream.PickRequest) (upstream.Choice, error) {
	holders := ask.Holders()
	first := s.firstHolder(s, ask.Shard())
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
func (s *sequentialPicker) Done(now clock.Millis, choice upstream.Choice, result upstream.Result) {
	s.pool.Done(now, choice, result)
}
