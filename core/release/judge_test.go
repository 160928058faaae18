package release

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// trial simulates the evidence of a release: windows of one second with requests to
// three replicas of the new version and to old ones, in two data centres.
type trial struct {
	rate     float64 // requests per second to the service
	share    float64 // of the new version
	seconds  int
	failing  float64 // share of the new version's answers that fail, from badFrom on
	slow     float64 // share that takes slowdown times as long, from badFrom on
	slowdown float64
	badFrom  int // second
	badRoute string
	// Trouble raises the failures of both versions, and the latency, in some seconds.
	trouble float64
	// slowReplica makes one replica of the new version slow.
	slowReplica bool
}

// run returns the second in which the version is found bad, or -1, and the number of
// bad answers of the new version until then.
func (tr trial) run(seed uint64) (foundAt, bad int) {
	random := rand.New(rand.NewPCG(seed, 7))
	var j Judge
	for second := range tr.seconds {
		w := make(Window)
		troubled := tr.trouble > 0 && second%10 < 3
		for range poisson(random, tr.rate) {
			dataCentre := fmt.Sprint("dc", random.IntN(2))
			cell := Cell{CellKey: CellKey{Route: fmt.Sprint("r", random.IntN(3))}}
			if random.Float64() < tr.share {
				cell.Replica = uint32(1 + random.IntN(3))
			}
			latency := clock.Millis(20 * math.Exp(0.35*random.NormFloat64()))
			failed := random.Float64() < 0.003
			if troubled {
				failed = failed || random.Float64() < tr.trouble
				if random.Float64() < tr.trouble {
					latency *= 5
				}
			}
			if cell.Replica != 0 && second >= tr.badFrom && (tr.badRoute == "" || tr.badRoute == cell.Route) {
				broken, late := random.Float64() < tr.failing, random.Float64() < tr.slow
				if broken || late {
					bad++
				}
				failed = failed || broken
				if late {
					latency *= clock.Millis(tr.slowdown)
				}
			}
			if tr.slowReplica && cell.Replica == 1 {
				latency *= 6
			}
			cell.Record(failed, latency)
			w.add(dataCentre, cell)
		}
		j.Add(w)
		if j.Suspicion().Bad() {
			return second, bad
		}
	}
	return -1, bad
}

// poisson returns a random number of events.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for limit, product := math.Exp(-mean), random.Float64(); product > limit; n++ {
		product *= random.Float64()
	}
	return n
}

const trialSeeds = 1000

// Guards against a test that finds good versions bad, or overlooks bad ones. The bounds
// on errors follow from the cost of an error: a wrong rollback costs about as much as a
// missed completion, and a bad version must be found before its 50th bad answer.
func TestJudgeErrorRates(t *testing.T) {
	const limit = 50
	for name, c := range map[string]struct {
		trial
		good bool
	}{
		"good":                     {trial{rate: 120, share: 0.06, seconds: 60}, true},
		"good, half the traffic":   {trial{rate: 120, share: 0.5, seconds: 60}, true},
		"good, little traffic":     {trial{rate: 4, share: 0.3, seconds: 60}, true},
		"good, background trouble": {trial{rate: 120, share: 0.06, seconds: 60, trouble: 0.2}, true},
		"good, one slow replica":   {trial{rate: 120, share: 0.06, seconds: 60, slowReplica: true}, true},
		"fails at once":            {trial{rate: 120, share: 0.06, seconds: 60, failing: 0.3}, false},
		"fails always":             {trial{rate: 120, share: 0.06, seconds: 60, failing: 1}, false},
		"fails later":              {trial{rate: 120, share: 0.06, seconds: 60, failing: 0.3, badFrom: 30}, false},
		"fails under load":         {trial{rate: 120, share: 0.4, seconds: 15, failing: 0.3, badFrom: 8}, false},
		"fails on one route":       {trial{rate: 120, share: 0.06, seconds: 60, failing: 0.5, badRoute: "r1"}, false},
		"slow":                     {trial{rate: 120, share: 0.06, seconds: 60, slow: 1, slowdown: 4}, false},
		"partly slow":              {trial{rate: 120, share: 0.06, seconds: 60, slow: 0.4, slowdown: 5}, false},
		"fails in trouble":         {trial{rate: 120, share: 0.06, seconds: 60, failing: 0.3, trouble: 0.2}, false},
		"fails, little traffic":    {trial{rate: 4, share: 0.3, seconds: 60, failing: 0.4}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wrong, late, most := 0, 0, 0
			for seed := range uint64(trialSeeds) {
				foundAt, bad := c.run(seed)
				switch {
				case (foundAt < 0) != c.good:
					wrong++
				case !c.good && bad >= limit:
					late++
				}
				most = max(most, bad)
			}
			t.Logf("wrong %d of %d, found after %d bad answers: %d, most bad answers: %d", wrong, trialSeeds, limit, late, most)
			assert.LessOrEqual(t, wrong, trialSeeds/100, "wrong verdicts")
			assert.LessOrEqual(t, late, trialSeeds/100, "bad versions found after the limit")
		})
	}
}
