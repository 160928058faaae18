// Package telemetry counts what the daemon did, for each service, tenant and
// class, in a go-metrics registry.
//
// # Usage
//
//	var t telemetry.Telemetry
//	t.Answer(telemetry.Series{Service: "tatra/live-results", Class: "announcer"}, facts)
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
	// maxSeries bounds the series, since the two histograms of a series take about 32 KB and a
	// daemon's control memory is limited. Further series are counted together.
	maxSeries = 256
	overflow  = "other"
	// sampleSize and sampleAlpha weigh a histogram towards the last five
	// minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Series names the callers that a figure belongs to.
type Series struct {
	Service string // user/service
	Class   string
	Tenant  string
}

// Facts describe one answer.
type Facts struct {
	Latency   clock.Millis
	Coverage  float64
	Status    int
	Code      string // error code, "" for an answer
	Good      bool
	GoodError bool
	Revision  uint64 // settings revision whose expression judged the answer
	Shards    int
	Sent      int
	Hedges    int
	Retries   int
	Late      int
}

// Telemetry holds the daemon's metrics. The zero value is ready for use. It is
// safe for concurrent use.
type Telemetry struct {
	once     sync.Once
	registry metrics.Registry

	mu    sync.Mutex
	known map[Series]*series
}

// series holds the metrics of one Series, so that an answer costs no look-ups
// by name.
type series struct {
	latency  metrics.Histogram // microseconds
	coverage metrics.Histogram // thousandths
	answers  metrics.Counter
	shards   metrics.Counter
	sent     metrics.Counter
	hedges   metrics.Counter
	retries  metrics.Counter
	late     metrics.Counter
	failed   metrics.Counter // expression errors
	name     string
}

// Registry returns the go-metrics registry for figures of other subsystems.
func (t *Telemetry) Registry() metrics.Registry {
	t.once.Do(func() { t.registry = metrics.NewRegistry() })
	return t.registry
}

// Answer counts one answer or refusal.
func (t *Telemetry) Answer(name Series, facts Facts) {
	s := t.series(name)
	s.latency.Update(int64(facts.Latency * 1000))
	s.answers.Inc(1)
	s.shards.Inc(int64(facts.Shards))
	s.sent.Inc(int64(facts.Sent))
	s.hedges.Inc(int64(facts.Hedges))
	s.retries.Inc(int64(facts.Retries))
	s.late.Inc(int64(facts.Late))
	if facts.Code == "" || facts.Coverage > 0 {
		s.coverage.Update(int64(facts.Coverage * 1000))
	}
	if facts.GoodError {
		s.failed.Inc(1)
	}
	t.counter(s.name + ".status." + strconv.Itoa(facts.Status)).Inc(1)
	if facts.Code != "" {
		t.counter(s.name + ".error." + facts.Code).Inc(1)
	}
	t.counter(s.name + judgement(facts)).Inc(1)
}

// judgement names the counter of good or bad answers under one settings
// revision, so that a reported success rate can be derived again.
func judgement(facts Facts) string {
	word := ".bad.revision-"
	if facts.Good {
		word = ".good.revision-"
	}
	return word + strconv.FormatUint(facts.Revision, 10)
}

// Forget drops the counters of good and bad answers that belong to revisions
// before the given one, so that 3,700 changes a day do not fill the registry.
func (t *Telemetry) Forget(before uint64) {
	var old []string
	t.Registry().Each(func(name string, _ any) {
		_, text, found := strings.Cut(name, ".revision-")
		if revision, err := strconv.ParseUint(text, 10, 64); found && err == nil && revision < before {
			old = append(old, name)
		}
	})
	for _, name := range old {
		t.Registry().Unregister(name)
	}
}

// Gauge sets a figure of a subsystem.
func (t *Telemetry) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, t.Registry()).Update(value)
}

// Count adds to a figure of a subsystem.
func (t *Telemetry) Count(name string, n int64) { t.counter(name).Inc(n) }

// WriteJSON writes all metrics as one JSON object.
func (t *Telemetry) WriteJSON(w io.Writer) {
	metrics.WriteJSONOnce(t.Registry(), w)
}

func (t *Telemetry) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, t.Registry())
}

func (t *Telemetry) series(name Series) *series {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.known[name]; s != nil {
		return s
	}
	if len(t.known) >= maxSeries {
		name.Class, name.Tenant = overflow, overflow
		if s := t.known[name]; s != nil {
			return s
		}
	}
	if t.known == nil {
		t.known = make(map[Series]*series)
	}
	s := t.newSeries(name)
	t.known[name] = s
	return s
}

func (t *Telemetry) newSeries(name Series) *series {
	base := "query." + name.Service + "." + orNone(name.Class) + "." + orNone(name.Tenant)
	histogram := func(suffix string) metrics.Histogram {
		sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
		return metrics.GetOrRegisterHistogram(base+suffix, t.Registry(), sample)
	}
	return &series{
		name:     base,
		latency:  histogram(".latency-us"),
		coverage: histogram(".coverage-permille"),
		answers:  t.counter(base + ".answers"),
		shards:   t.counter(base + ".shards"),
		sent:     t.counter(base + ".sent"),
		hedges:   t.counter(base + ".hedges"),
		retries:  t.counter(base + ".retries"),
		late:     t.counter(base + ".late"),
		failed:   t.counter(base + ".good-expression-errors"),
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
