// Package logs writes structured logs, one JSON object per line, without blocking
// the daemon.
//
// Lines pass through a bounded queue to a goroutine that writes them. When the
// writer stalls and the queue is full, further lines are dropped and counted, and
// the counts are logged once there is room. Lines about routine decisions are
// sampled, and all lines together are limited to a rate, so that the volume stays
// bounded under load.
//
// # Usage
//
//	sink := logs.New(os.Stdout)
//	defer sink.Close()
//	sink.Configure(logs.Options{Level: 1, SampleInterval: 100})
//	log := sink.Logger()
//	if sink.SampleRoutine() { log.V(1).Info("request served", …) }
package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	maxQueuedLines = 1024
	// maxLinesPerSecond bounds the lines of all levels together.
	maxLinesPerSecond     = 200
	closeTimeout          = 100 * time.Millisecond
	defaultSampleInterval = 100
)

// Options select what is logged.
type Options struct {
	// Level is 0 for failures and changes of state, 1 to add sampled routine
	// decisions, 2 to add details.
	Level int
	// SampleInterval is the number of routine decisions of which one is logged.
	// Zero and below stand for 100.
	SampleInterval int
}

// Sink writes log lines. It is safe for concurrent use.
type Sink struct {
	clock          clock.Clock
	queue          chan string
	closed         chan struct{}
	done           chan struct{}
	closeOnce      sync.Once
	level          atomic.Int32
	sampleInterval atomic.Int32
	routineCount   atomic.Int64

	mu            sync.Mutex
	currentSecond int64
	acceptedLines int   // in currentSecond
	overRate      int64 // dropped above the rate since the last report
	queueFull     int64 // dropped for lack of room since the last report
	dropped       int64 // since the start
}

// New returns a sink that writes to w on a goroutine of its own, which Close ends.
// Until Configure the level is 0.
func New(w io.Writer) *Sink {
	s := &Sink{queue: make(chan string, maxQueuedLines), closed: make(chan struct{}), done: make(chan struct{})}
	s.sampleInterval.Store(defaultSampleInterval)
	go s.writeQueued(w)
	return s
}

// Configure replaces the options. It may be called at any time.
func (s *Sink) Configure(o Options) {
	if o.SampleInterval <= 0 {
		o.SampleInterval = defaultSampleInterval
	}
	s.level.Store(int32(o.Level))
	s.sampleInterval.Store(int32(o.SampleInterval))
}

// Logger returns a logger that writes to the sink and follows its level.
func (s *Sink) Logger() logr.Logger {
	const maxVerbosity = 10 // levelFilter applies the level, which may change
	inner := funcr.NewJSON(s.write, funcr.Options{
		LogTimestamp: true, Verbosity: maxVerbosity, TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return logr.New(&levelFilter{LogSink: inner.GetSink(), sink: s})
}

// levelFilter drops lines above the current level of the sink.
type levelFilter struct {
	logr.LogSink
	sink *Sink
}

// Enabled reports whether lines of the level are written.
func (f *levelFilter) Enabled(level int) bool { return level <= int(f.sink.level.Load()) }

// WithValues returns a filter that adds the values to each line.
func (f *levelFilter) WithValues(values ...any) logr.LogSink {
	return &levelFilter{LogSink: f.LogSink.WithValues(values...), sink: f.sink}
}

// WithName returns a filter that adds name to the name of the logger.
func (f *levelFilter) WithName(name string) logr.LogSink {
	return &levelFilter{LogSink: f.LogSink.WithName(name), sink: f.sink}
}

// SampleRoutine reports whether to log the present routine decision: from level 1
// on, one in SampleInterval is logged.
func (s *Sink) SampleRoutine() bool {
	return s.level.Load() >= 1 && s.routineCount.Add(1)%int64(s.sampleInterval.Load()) == 0
}

// write queues the line. A line above the rate, or for which the queue has no room,
// is dropped and counted.
func (s *Sink) write(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := int64(s.clock.Now() / clock.Second); second != s.currentSecond {
		s.currentSecond, s.acceptedLines = second, 0
		s.reportDropped()
	}
	if s.acceptedLines >= maxLinesPerSecond {
		s.overRate++
		s.dropped++
		return
	}
	s.acceptedLines++
	if !s.enqueue(line) {
		s.queueFull++
		s.dropped++
	}
}

func (s *Sink) enqueue(line string) bool {
	select {
	case s.queue <- line:
		return true
	default:
		return false
	}
}

// reportDropped logs how many lines were dropped since the last report. The caller
// holds the lock.
func (s *Sink) reportDropped() {
	if s.overRate+s.queueFull == 0 {
		return
	}
	line := `{"logger":"logs","level":0,"msg":"lines dropped","overRate":` + strconv.FormatInt(s.overRate, 10) +
		`,"queueFull":` + strconv.FormatInt(s.queueFull, 10) + `}`
	if s.enqueue(line) {
		s.overRate, s.queueFull = 0, 0
	}
}

// Dropped returns the number of lines that were dropped since the start.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

func (s *Sink) writeQueued(w io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.queue:
			_, _ = io.WriteString(w, line+"\n")
		case <-s.closed:
			for {
				select {
				case line := <-s.queue:
					_, _ = io.WriteString(w, line+"\n")
				default:
					return
				}
			}
		}
	}
}

// Close writes the queued lines and ends the goroutine of the sink. It waits at
// most 100 ms for a writer that stalls.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
