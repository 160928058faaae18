package telemetry

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/route"
)

// Routes holds the metrics of requests on routes: outcomes, statuses and latencies
// of answers by route and by class, which is the priority of the route, and
// attempts by service. It also counts requests and refusals by tenant, and refusals of
// keys. Routes, classes and services above a limit are counted together as "other", like
// all tenants but those with most requests. The zero value is ready for use. It is safe
// for concurrent use.
type Routes struct {
	once     sync.Once
	registry metrics.Registry

	mu       sync.Mutex
	routes   map[string]*answerSeries
	classes  map[int]*answerSeries
	services map[string]*serviceSeries
	tenants  tenantSeries
}

const (
	maxRoutes            = 64
	maxClasses           = 16
	maxServices          = 128
	latencySampleSize    = 256
	microsecondsPerMilli = 1000 // latency histograms hold microseconds
)

// answerSeries holds the metrics of the answers of a route or class.
type answerSeries struct {
	prefix   string
	latency  metrics.Histogram
	outcomes map[string]metrics.Counter
	statuses map[string]metrics.Counter
	partial  metrics.Counter
}

// serviceSeries holds the counters of attempts of a service, by purpose and by
// result.
type serviceSeries struct {
	sent  map[string]metrics.Counter
	ended map[string]metrics.Counter
}

// Registry returns the go-metrics registry, in which other subsystems register
// their metrics.
func (t *Routes) Registry() metrics.Registry {
	t.once.Do(func() {
		t.registry = metrics.NewRegistry()
		t.routes = make(map[string]*answerSeries)
		t.classes = make(map[int]*answerSeries)
		t.services = make(map[string]*serviceSeries)
	})
	return t.registry
}

// SetGauge sets the gauge of another subsystem.
func (t *Routes) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, t.Registry()).Update(value)
}

// AttemptSent counts an attempt at a replica of the service. The purpose is that of
// the attempt, such as "first". The name of the route is not used.
func (t *Routes) AttemptSent(_, service, purpose string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, name := t.serviceSeries(service)
	t.countValue(s.sent, purpose, "service", name, "sent")
}

// AttemptEnded counts the end of an attempt with its result.
func (t *Routes) AttemptEnded(service, result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, name := t.serviceSeries(service)
	t.countValue(s.ended, result, "service", name, "ended")
}

// RequestFinished counts the answer to a request on a route. Missing is the number of
// parts that a gathered answer lacks.
func (t *Routes) RequestFinished(r *route.Route, outcome string, status, missing int, latency clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordAnswer(t.routeSeries(r.Name()), outcome, status, missing, latency)
	t.recordAnswer(t.classSeries(r.Priority()), outcome, status, missing, latency)
}

func (t *Routes) recordAnswer(s *answerSeries, outcome string, status, missing int, latency clock.Millis) {
	t.countValue(s.outcomes, outcome, s.prefix, "outcome")
	t.countValue(s.statuses, strconv.Itoa(status), s.prefix, "status")
	s.latency.Update(int64(latency * microsecondsPerMilli))
	if missing > 0 {
		s.partial.Inc(1)
	}
}

// countValue increments the counter of a value in counters. To save allocations it
// builds the name of the counter, of which name is the start, only for the first
// occurrence of the value.
func (t *Routes) countValue(counters map[string]metrics.Counter, value string, name ...string) {
	c := counters[value]
	if c == nil {
		metricName := strings.Join(append(name, strings.ReplaceAll(value, " ", "-")), ".")
		c = metrics.GetOrRegisterCounter(metricName, t.Registry())
		counters[value] = c
	}
	c.Inc(1)
}

func (t *Routes) routeSeries(name string) *answerSeries {
	t.Registry()
	if t.routes[name] == nil && len(t.routes) >= maxRoutes {
		name = overflowName
	}
	if t.routes[name] == nil {
		t.routes[name] = t.newAnswerSeries("route." + name)
	}
	return t.routes[name]
}

// overflowClass stands for all classes above maxClasses.
const overflowClass = -1

func (t *Routes) classSeries(priority int) *answerSeries {
	t.Registry()
	if t.classes[priority] == nil && len(t.classes) >= maxClasses {
		priority = overflowClass
	}
	if t.classes[priority] == nil {
		name := strconv.Itoa(priority)
		if priority == overflowClass {
			name = overflowName
		}
		t.classes[priority] = t.newAnswerSeries("class." + name)
	}
	return t.classes[priority]
}

func (t *Routes) newAnswerSeries(prefix string) *answerSeries {
	s := &answerSeries{
		prefix:   prefix,
		latency:  metrics.NewHistogram(metrics.NewUniformSample(latencySampleSize)),
		outcomes: make(map[string]metrics.Counter),
		statuses: make(map[string]metrics.Counter),
		partial:  metrics.NewRegisteredCounter(prefix+".partial", t.registry),
	}
	_ = t.registry.Register(prefix+".latency", s.latency)
	return s
}

// serviceSeries returns the series of the service and the name under which it is
// counted. The caller holds the lock.
func (t *Routes) serviceSeries(name string) (*serviceSeries, string) {
	t.Registry()
	if t.services[name] == nil && len(t.services) >= maxServices {
		name = overflowName
	}
	s := t.services[name]
	if s == nil {
		s = &serviceSeries{sent: make(map[string]metrics.Counter), ended: make(map[string]metrics.Counter)}
		t.services[name] = s
	}
	return s, name
}

// WriteText writes the metrics as text, one line with a name and a value for each,
// sorted. Latencies are in microseconds.
func (t *Routes) WriteText(w io.Writer) error {
	var lines []string
	t.mu.Lock()
	t.Registry().Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			s := m.Snapshot()
			quantiles := s.Percentiles([]float64{0.5, 0.99})
			lines = append(lines,
				fmt.Sprintf("%s.count %d", name, s.Count()), fmt.Sprintf("%s.max %d", name, s.Max()),
				fmt.Sprintf("%s.p50 %.0f", name, quantiles[0]), fmt.Sprintf("%s.p99 %.0f", name, quantiles[1]))
		}
	})
	lines = t.tenants.appendText(lines)
	t.mu.Unlock()
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, "\n")+"\n")
	return err
}
