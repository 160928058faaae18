package bench

import (
	"fmt"
	"io"
	"sync"
)

// parallelSimulations is the number of simulations that run concurrently; each uses one
// core.
const parallelSimulations = 4

// Report holds all tables and the data of the pictures.
type Report struct {
	tables         []*table
	loadSeries     []series  // per variant: first without, then with stragglers
	dataCentreLoss []*result // one per variant
}

// series is the results of one variant at rising load.
type series struct {
	name    string
	results []*result
}

// Run runs all simulations, about three minutes of CPU time, and returns their report.
func Run() *Report {
	r := &Report{}
	r.tables = []*table{
		measureHealthy(), measureStragglers(), measureReplicaDown(), measureAllFailing(), measureRestarts(),
		r.measureDataCentreLoss(), measureDataCentreTakenOut(), measureModes(), measureDecisions(),
	}
	r.measureLatencyAgainstLoad()
	return r
}

// Print writes the tables in Markdown. It ignores errors of w.
func (r *Report) Print(w io.Writer) {
	for _, t := range r.tables {
		t.print(w)
	}
}

// runAll runs scenarios concurrently and returns the results in the order of scenarios.
func runAll(scenarios []scenario) []*result {
	results := make([]*result, len(scenarios))
	slots := make(chan struct{}, parallelSimulations)
	var group sync.WaitGroup
	for i, s := range scenarios {
		group.Go(func() {
			slots <- struct{}{}
			results[i] = run(s)
			<-slots
		})
	}
	group.Wait()
	return results
}

// allServices returns services and wideService.
func allServices() []service { return append(append([]service(nil), services...), wideService) }

func measureHealthy() *table {
	t := &table{title: "Healthy", header: tableHeader("service", "load", "variant"),
		description: "No faults. Load is the part of the slots that is busy. Time is virtual. " +
			"Naive retry is the same as round robin here."}
	var list []scenario
	for _, s := range allServices() {
		for _, utilisation := range []float64{moderateLoad, highLoad} {
			for _, v := range []variant{lovagegap, roundRobin} {
				list = append(list, newScenario(s, v, utilisation))
			}
		}
	}
	for _, r := range runAll(list) {
		s := r.scenario
		t.addRow(rowCells([]string{s.service.name, formatPercent(s.utilisation), s.variant.name}, r)...)
	}
	return t
}

// Targets in docs/design.md, section 1.6.
const (
	maxStragglerP99Ratio  = 1.5  // p99 with stragglers per p99 without
	maxExtraLoad          = 0.05 // additional sub-requests per shard
	maxRetryAmplification = 1.1  // first attempts and retries per first attempt
)

func measureStragglers() *table {
	t := &table{title: "Stragglers", header: append(tableHeader("service", "variant"), "p99 / healthy p99", "target"),
		description: "1 % of the sub-requests take 50 times as long; 40 % load. Target: p99 at most 1.5 x that of the same " +
			"variant without stragglers, extra load at most 5 %."}
	var list []scenario
	for _, s := range allServices() {
		for _, v := range mainVariants {
			list = append(list, newScenario(s, v, moderateLoad), newScenario(s.withStragglers(), v, moderateLoad))
		}
	}
	results := runAll(list)
	for i := 0; i < len(results); i += 2 {
		before, after := results[i], results[i+1]
		s := after.scenario
		ratio := after.quantile(0.99) / before.quantile(0.99)
		met := ratio <= maxStragglerP99Ratio && after.extraLoad() <= maxExtraLoad
		t.addRow(rowCells([]string{s.service.name, s.variant.name}, after, formatFactor(ratio), verdict(met))...)
	}
	return t
}

func measureReplicaDown() *table {
	t := &table{title: "One replica down", header: tableHeader("service", "variant"),
		description: "One replica of one shard refuses connections; 40 % load."}
	var list []scenario
	for _, s := range []service{services[0], services[2], wideService} {
		for _, v := range mainVariants {
			down := newScenario(s, v, moderateLoad)
			down.faults = oneReplicaRefuses
			list = append(list, down)
		}
	}
	for _, r := range runAll(list) {
		t.addRow(rowCells([]string{r.scenario.service.name, r.scenario.variant.name}, r)...)
	}
	return t
}

func measureAllFailing() *table {
	t := &table{title: "All upstreams fail", header: []string{"service", "variant", "retries", "with hedges", "target"},
		description: "Every sub-request fails after its service time; 40 % load. Retries is first " +
			"sub-requests and retries over first ones; target: at most 1.1."}
	var list []scenario
	for _, s := range []service{services[0], services[2], services[7], wideService} {
		for _, v := range mainVariants {
			fails := newScenario(s, v, moderateLoad)
			fails.faults = allReplicasFail
			list = append(list, fails)
		}
	}
	for _, r := range runAll(list) {
		met := r.retryAmplification() <= maxRetryAmplification
		t.addRow(r.scenario.service.name, r.scenario.variant.name,
			formatFactor(r.retryAmplification()), formatFactor(r.totalAmplification()), verdict(met))
	}
	return t
}

func measureRestarts() *table {
	t := &table{title: "An upstream falls cold",
		header: append(tableHeader("service", "variant"), "above the bound", "target"),
		description: "One upstream restarts three times without warning and refuses connections for 200 ms; it falls over " +
			"when it gets more work than it can handle. Target: no sub-request above its bound."}
	var list []scenario
	for _, s := range []service{services[0], services[4]} {
		for _, v := range []variant{lovagegap, withoutColdStartGate, roundRobin, naiveRetry} {
			list = append(list, newTimedScenario(s, v, highLoad, restartRunDuration, repeatedRestarts))
		}
	}
	for _, r := range runAll(list) {
		t.addRow(rowCells([]string{r.scenario.service.name, r.scenario.variant.name}, r,
			formatCount(r.aboveColdBound), verdict(r.aboveColdBound == 0))...)
	}
	return t
}

func (r *Report) measureDataCentreLoss() *table {
	t := &table{title: "A data centre is lost and returns cold",
		header: append(tableHeader("variant"), "complete", "above the bound", "target"),
		description: "review-desk at 40 % load with a deadline of 250 ms. The upstreams of one data centre fall silent after " +
			"4 s and return cold after 10 s of 16 s. Target: no sub-request above the bound of a cold upstream."}
	var list []scenario
	for _, v := range []variant{lovagegap, withoutColdStartGate, roundRobin, naiveRetry} {
		list = append(list, newTimedScenario(services[0], v, moderateLoad, dataCentreRunDuration, dataCentreLoss))
	}
	r.dataCentreLoss = runAll(list)
	for _, x := range r.dataCentreLoss {
		t.addRow(rowCells([]string{x.scenario.variant.name}, x, formatPercent(x.completeFraction()),
			formatCount(x.aboveColdBound), verdict(x.aboveColdBound == 0))...)
	}
	return t
}

func measureDataCentreTakenOut() *table {
	t := &table{title: "A data centre is taken out and brought back",
		header: append(tableHeader("service", "variant"), "complete", "work after 3 s", "above the bound", "target"),
		description: "40 % load, deadline 250 ms. Operators take a data centre out after 4 s; its upstreams stop 3 s later, " +
			"return cold, and the data centre is brought back after 10 s. The baselines have no such setting. " +
			"Target: no work 3 s after it was taken out and none above the bound."}
	var list []scenario
	for _, s := range []service{services[0], services[4]} {
		for _, v := range []variant{lovagegap, withoutColdStartGate, roundRobin} {
			list = append(list, newTimedScenario(s, v, moderateLoad, dataCentreRunDuration, dataCentreTakenOut))
		}
	}
	for _, r := range runAll(list) {
		met := r.sentAfterTakenOut == 0 && r.aboveColdBound == 0
		t.addRow(rowCells([]string{r.scenario.service.name, r.scenario.variant.name}, r, formatPercent(r.completeFraction()),
			formatCount(r.sentAfterTakenOut), formatCount(r.aboveColdBound), verdict(met))...)
	}
	return t
}

// measureLatencyAgainstLoad fills loadSeries for the pictures.
func (r *Report) measureLatencyAgainstLoad() {
	for _, v := range []variant{lovagegap, roundRobin} {
		var list []scenario
		for percent := 10; percent <= 90; percent += 10 {
			list = append(list, newScenario(services[0], v, float64(percent)/100))
		}
		r.loadSeries = append(r.loadSeries, series{name: v.name, results: runAll(list)})
	}
	for _, v := range []variant{lovagegap, roundRobin} {
		var list []scenario
		for percent := 10; percent <= 60; percent += 10 {
			list = append(list, newScenario(services[0].withStragglers(), v, float64(percent)/100))
		}
		r.loadSeries = append(r.loadSeries, series{name: fmt.Sprintf("%s, 1 %% stragglers", v.name), results: runAll(list)})
	}
}
