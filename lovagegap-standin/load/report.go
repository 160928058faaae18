package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3   // of recorded latencies
	maxBarWidth       = 40  // characters
	maxExampleLength  = 160 // characters of the example answer that are printed
)

// bucketBoundsMs are the upper bounds of the buckets in the printed histogram.
var bucketBoundsMs = []float64{1, 2, 3, 4, 5, 6, 8, 10, 12, 15, 20, 30, 50, 70, 100, 200, 500, 1000, 2000, 5000}

// Report holds the outcome of a run. It is safe for concurrent use.
type Report struct {
	startedAt, endedAt time.Time
	options            Options

	mu       sync.Mutex
	services map[string]*measurement
}

type measurement struct {
	Summary
	histogram   *hdrhistogram.Histogram // microseconds
	coverageSum float64                 // over the answers, 0 to 1 each
}

func newReport(o Options) *Report {
	r := &Report{options: o, services: make(map[string]*measurement)}
	for _, service := range o.Services {
		r.services[service] = &measurement{
			Summary:   Summary{Service: service, Errors: make(map[string]int)},
			histogram: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		}
	}
	return r
}

func (r *Report) recordDropped(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[service].Dropped++
}

func (r *Report) recordResult(service string, result result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.services[service]
	m.Sent++
	_ = m.histogram.RecordValue(min(max(result.latency.Microseconds(), 1), maxLatencyMicros))
	if result.errorCode != "" {
		m.Errors[result.errorCode]++
		return
	}
	m.Answered++
	if result.shardsTotal > 0 {
		m.coverageSum += float64(result.shardsCovered) / float64(result.shardsTotal)
	}
	if result.shardsTotal > 0 && result.shardsCovered == result.shardsTotal {
		m.Complete++
	}
	if m.Example == "" {
		m.Example = string(result.body)
	}
}

// Summaries returns a summary for each service, in the order of Options.Services.
func (r *Report) Summaries() []Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	var summaries []Summary
	for _, service := range r.options.Services {
		summaries = append(summaries, r.services[service].summary())
	}
	return summaries
}

func (m *measurement) summary() Summary {
	s := m.Summary
	if s.Answered > 0 {
		s.Coverage = m.coverageSum / float64(s.Answered)
	}
	at := func(quantile float64) float64 { return millis(m.histogram.ValueAtQuantile(quantile)) }
	s.Latency = Latency{
		Mean: m.histogram.Mean() / 1000, P50: at(50), P99: at(99), P999: at(99.9), Max: millis(m.histogram.Max()),
	}
	s.Errors = maps.Clone(s.Errors)
	return s
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// Failed reports whether any query was dropped or not answered completely, or none
// was sent for some service.
func (r *Report) Failed() bool {
	for _, s := range r.Summaries() {
		if s.Complete != s.Sent || s.Dropped > 0 || s.Sent == 0 {
			return true
		}
	}
	return false
}

// Print writes an example answer, the counts and a latency histogram for each
// service.
func (r *Report) Print(w io.Writer) {
	for _, s := range r.Summaries() {
		fmt.Fprintf(w, "== %s/%s\n", r.options.User, s.Service)
		if s.Example != "" {
			fmt.Fprintf(w, "example  %.*s\n", maxExampleLength, strings.TrimSpace(s.Example))
		}
		fmt.Fprintf(w, "queries  %d sent, %d answered, %d complete, %d dropped, mean coverage %.4f\n",
			s.Sent, s.Answered, s.Complete, s.Dropped, s.Coverage)
		for _, code := range slices.Sorted(maps.Keys(s.Errors)) {
			fmt.Fprintf(w, "error    %s: %d\n", code, s.Errors[code])
		}
		l := s.Latency
		fmt.Fprintf(w, "latency  mean %.1f ms, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, max %.1f ms\n",
			l.Mean, l.P50, l.P99, l.P999, l.Max)
		r.printHistogram(w, s.Service)
	}
	fmt.Fprintf(w, "ran for %s\n", r.endedAt.Sub(r.startedAt).Round(time.Millisecond))
}

func (r *Report) printHistogram(w io.Writer, service string) {
	counts := r.bucketCounts(service)
	highest := slices.Max(counts)
	for i, count := range counts {
		if count == 0 {
			continue
		}
		label := "more"
		if i < len(bucketBoundsMs) {
			label = fmt.Sprintf("<= %g", bucketBoundsMs[i])
		}
		bar := strings.Repeat("#", int(max(count*maxBarWidth/highest, 1)))
		fmt.Fprintf(w, "%9s ms %7d %s\n", label, count, bar)
	}
}

// bucketCounts returns the number of recorded latencies in each bucket. The last
// bucket counts those above the highest bound.
func (r *Report) bucketCounts(service string) []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]int64, len(bucketBoundsMs)+1)
	for _, bar := range r.services[service].histogram.Distribution() {
		i, _ := slices.BinarySearch(bucketBoundsMs, millis(bar.To))
		counts[i] += bar.Count
	}
	return counts
}
