// Package telemetry holds a daemon's metrics in a go-metrics registry: Telemetry
// those of queries by service, class and tenant, and Routes those of requests by
// route, class and service.
//
// # Usage
//
//	var t telemetry.Telemetry
//	series := telemetry.Series{Service: "tatra/live-results", Class: "announcer"}
//	t.RecordAnswer(series, telemetry.Answer{Latency: latency, Status: 200, Coverage: 1, Good: true})
//	t.WriteJSON(w)
package telemetry

import (
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// maxSeries bounds the memory of the series: the two histograms of a series
	// take about 32 KB, and a daemon's control memory is limited. Further classes
	// and tenants of a service are counted together as overflowName.
	maxSeries    = 256
	overflowName = "other"
	// sampleSize and sampleDecay weight a histogram towards the last five
	// minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Series identifies the queries that are counted together. An empty Class or
// Tenant is counted as "none".
type Series struct {
	Service string // user/service
	Class   string
	Tenant  string
}

// Answer is an answer or a refusal as it is counted.
type Answer struct {
	Latency              clock.Millis
	Coverage             float64 // share of the shards that are in the answer, from 0 to 1
	Status               int     // HTTP status
	Code                 string  // error code, "" for an answer
	Good                 bool    // whether the good-answer expression of the settings held
	GoodExpressionFailed bool    // whether the expression ended with an error
	Revision             uint64  // settings revision of the good-answer expression
	Shards               int     // shards of the shard map of the answer
	Attempts             int
	Hedges               int
	Retries              int
	LateResults          int
}

// Telemetry holds the metrics of queries and other subsystems. The zero value is
// ready for use. It is safe for concurrent use.
type Telemetry struct {
	once     sync.Once
	registry metrics.Registry

	mu     sync.Mutex
	series map[Series]*seriesMetrics
}

// seriesMetrics holds the metrics of a Series, so that most of them need no
// look-up by name for each answer.
type seriesMetrics struct {
	latency              metrics.Histogram // microseconds
	coverage             metrics.Histogram // thousandths
	answers              metrics.Counter
	shards               metrics.Counter
	attempts             metrics.Counter
	hedges               metrics.Counter
	retries              metrics.Counter
	lateResults          metrics.Counter
	goodExpressionErrors metrics.Counter
	name                 string // prefix of the names of the metrics
}

// Registry returns the go-metrics registry, in which other subsystems register
// their metrics.
func (t *Telemetry) Registry() metrics.Registry {
	t.once.Do(func() { t.registry = metrics.NewRegistry() })
	return t.registry
}

// RecordAnswer counts an answer or refusal of the series.
func (t *Telemetry) RecordAnswer(name Series, answer Answer) {
	s := t.seriesMetrics(name)
	s.latency.Update(int64(answer.Latency * microsecondsPerMilli))
	s.answers.Inc(1)
	s.shards.Inc(int64(answer.Shards))
	s.attempts.Inc(int64(answer.Attempts))
	s.hedges.Inc(int64(answer.Hedges))
	s.retries.Inc(int64(answer.Retries))
	s.lateResults.Inc(int64(answer.LateResults))
	if answer.Code == "" || answer.Coverage > 0 {
		s.coverage.Update(int64(answer.Coverage * 1000))
	}
	if answer.GoodExpressionFailed {
		s.goodExpressionErrors.Inc(1)
	}
	t.counter(s.name + ".status." + strconv.Itoa(answer.Status)).Inc(1)
	if answer.Code != "" {
		t.counter(s.name + ".error." + answer.Code).Inc(1)
	}
	t.counter(s.name + judgementSuffix(answer)).Inc(1)
}

// judgementSuffix returns the end of the name of the counter of good or bad
// answers. Each settings revision has counters of its own, so that a reported
// success rate can be calculated again.
func judgementSuffix(answer Answer) string {
	prefix := ".bad.revision-"
	if answer.Good {
		prefix = ".good.revision-"
	}
	return prefix + strconv.FormatUint(answer.Revision, 10)
}

// RemoveRevisionsBefore removes the counters of good and bad answers of settings
// revisions before the given one. Without it the registry would grow with each
// change of the settings, of which there are 3,700 a day.
func (t *Telemetry) RemoveRevisionsBefore(revision uint64) {
	var old []string
	t.Registry().Each(func(name string, _ any) {
		_, text, found := strings.Cut(name, ".revision-")
		if counted, err := strconv.ParseUint(text, 10, 64); found && err == nil && counted < revision {
			old = append(old, name)
		}
	})
	for _, name := range old {
		t.Registry().Unregister(name)
	}
}

// SetGauge sets the gauge of another subsystem.
func (t *Telemetry) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, t.Registry()).Update(value)
}

// AddToCounter adds n to the counter of another subsystem.
func (t *Telemetry) AddToCounter(name string, n int64) { t.counter(name).Inc(n) }

// WriteJSON writes all metrics as one JSON object.
func (t *Telemetry) WriteJSON(w io.Writer) {
	metrics.WriteJSONOnce(t.Registry(), w)
}

func (t *Telemetry) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, t.Registry())
}

func (t *Telemetry) seriesMetrics(name Series) *seriesMetrics {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.series[name]; s != nil {
		return s
	}
	if len(t.series) >= maxSeries {
		name.Class, name.Tenant = overflowName, overflowName
		if s := t.series[name]; s != nil {
			return s
		}
	}
	if t.series == nil {
		t.series = make(map[Series]*seriesMetrics)
	}
	s := t.newSeries(name)
	t.series[name] = s
	return s
}

func (t *Telemetry) newSeries(name Series) *seriesMetrics {
	base := "query." + name.Service + "." + valueOrNone(name.Class) + "." + valueOrNone(name.Tenant)
	histogram := func(suffix string) metrics.Histogram {
		sample := metrics.NewExpDecaySample(sampleSize, sampleDecay)
		return metrics.GetOrRegisterHistogram(base+suffix, t.Registry(), sample)
	}
	return &seriesMetrics{
		name:                 base,
		latency:              histogram(".latency-us"),
		coverage:             histogram(".coverage-permille"),
		answers:              t.counter(base + ".answers"),
		shards:               t.counter(base + ".shards"),
		attempts:             t.counter(base + ".sent"),
		hedges:               t.counter(base + ".hedges"),
		retries:              t.counter(base + ".retries"),
		lateResults:          t.counter(base + ".late"),
		goodExpressionErrors: t.counter(base + ".good-expression-errors"),
	}
}

func valueOrNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
