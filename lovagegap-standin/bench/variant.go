package bench

import (
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/admission"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// variant selects the decisions that the daemons of a run make. The zero value is
// lovagegap with the defaults of the settings tree.
type variant struct {
	name             string
	mode             query.Mode
	wantedCoverage   float64 // fraction of the shards that tail-first waits for; zero for all
	noHedges         bool
	noRetries        bool
	maxRetries       int // for each shard; zero for the default
	unlimitedRetries bool
	noColdStartGate  bool
	noEjection       bool
	noNearPreference bool
	noAdmission      bool
	// adaptiveAdmission derives the concurrency of admission from the service time.
	adaptiveAdmission bool
	// admissionConcurrency is the number of queries that a daemon runs at a time; zero
	// for the default.
	admissionConcurrency int
	// noBurstRounds keeps no more hedge tokens than the burst of the settings.
	noBurstRounds bool
	// replacesConnections reopens a connection at once that a cancellation closed.
	replacesConnections bool
	// noLatencyEstimates lets attempts time out after half the deadline, and turns
	// quarantine off.
	noLatencyEstimates bool
	// firstHolder, if set, replaces the comparison of holders by an order. It
	// returns the index of the first holder to try, modulo their number.
	firstHolder func(s *sequentialPicker, shard snapshot.Shard) int
}

// Variants of the tables. Each baseline differs from lovagegap in the fields that are set.
var (
	lovagegap            = variant{name: "lovagegap"}
	withoutColdStartGate = variant{name: "no cold-start gate", noColdStartGate: true}
	roundRobin           = variant{
		name: "round robin, no hedging", noHedges: true, noRetries: true, noColdStartGate: true,
		noEjection: true, noNearPreference: true, noAdmission: true, noLatencyEstimates: true,
		firstHolder: roundRobinHolder,
	}
	naiveRetry = variant{
		name: "naive retry x 3", noHedges: true, maxRetries: 3, unlimitedRetries: true, noColdStartGate: true,
		noEjection: true, noNearPreference: true, noAdmission: true, noLatencyEstimates: true,
		firstHolder: roundRobinHolder,
	}
	mainVariants = []variant{lovagegap, roundRobin, naiveRetry}
)

const (
	hedgeBurstRounds = 8 // fan-outs; as in entry/engine

	hugeCount            = 1 << 30 // more than the failures or holders of any run
	unlimitedConcurrency = 100000  // queries of a daemon; no run has as many
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

// unlimitedBudget grants every token.
type unlimitedBudget struct{}

func (unlimitedBudget) RecordRegular(int) {}
func (unlimitedBudget) Take(float64) bool { return true }

// sequentialPicker offers the pool one holder at a time, so that the pool cannot compare
// their load. It implements query's Picker.
type sequentialPicker struct {
	pool         *upstream.Pool
	random       *rand.Rand
	turnsByShard map[snapshot.Shard]int // picks so far
	firstHolder  func(s *sequentialPicker, shard snapshot.Shard) int
}

// roundRobinHolder starts each pick of a shard one holder later than the pick before.
func roundRobinHolder(s *sequentialPicker, shard snapshot.Shard) int {
	s.turnsByShard[shard]++
	return s.turnsByShard[shard]
}

// randomHolder starts at a random holder.
func randomHolder(s *sequentialPicker, _ snapshot.Shard) int { return s.random.IntN(hugeCount) }

// Pick returns the choice of the first holder, in the variant's order, that the pool
// accepts, or the pool's error for the last holder.
func (s *sequentialPicker) Pick(now clock.Millis, request upstream.PickRequest) (upstream.Choice, error) {
	holders := request.Holders()
	first := s.firstHolder(s, request.Shard())
	var err error
	for i := range holders {
		index := (first + i) % len(holders)
		var choice upstream.Choice
		choice, err = s.pool.Pick(now, request.WithHolders(holders[index:index+1]))
		if err == nil {
			return choice, nil
		}
	}
	return upstream.Choice{}, err
}

// Done reports the result of an exchange to the pool.
func (s *sequentialPicker) Done(now clock.Millis, choice upstream.Choice, result upstream.Result) {
	s.pool.Done(now, choice, result)
}
