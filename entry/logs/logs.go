// Package logs writes structured logs, one JSON object a line, without ever
// holding up the daemon.
//
// Lines go through a bounded queue to a writer of their own. A writer that
// stalls fills the queue; what does not fit is dropped and counted, and the
// count is logged once there is room. Routine lines are sampled, and all lines
// of a kind are limited to a rate, so that the volume stays bounded under load.
//
// # Usage
//
//	sink := logs.New(os.Stdout)
//	defer sink.Close()
//	sink.Configure(logs.Options{Level: 1, Sample: 100})
//	log := sink.Logger()
//	if sink.Routine() { log.V(1).Info("request served", …) }
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
	// maxLinesPerSecond bounds the lines of one second. Changes of what the daemon
	// believes and failures share it.
	maxLinesPerSecond     = 200
	closeTimeout          = 100 * time.Millisecond
	defaultSampleInterval = 100
)

// Options set what is logged. They can be changed at any time.
type Options struct {
	// Level is 0 for failures and changes, 1 for sampled routine decisions
	// too, 2 for details.
	Level int
	// SampleInterval is one in how many routine decisions is logged; 0 stands for 100.
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
	acceptedLines int
	overRate      int64
	queueFull     int64
	dropped       int64
}

// New returns a sink that writes to w on a goroutine of its own.
func New(w io.Writer) *Sink {
	s := &Sink{queue: make(chan string, maxQueuedLines), closed: make(chan struct{}), done: make(chan struct{})}
	s.sampleInterval.Store(defaultSampleInterval)
	go s.writeQueued(w)
	return s
}

// Configure changes what is logged.
func (s *Sink) Configure(o Options) {
	if o.SampleInterval <= 0 {
		o.SampleInterval = defaultSampleInterval
	}
	s.level.Store(int32(o.Level))
	s.sampleInterval.Store(int32(o.SampleInterval))
}

// Logger returns a logger that writes to the sink.
func (s *Sink) Logger() logr.Logger {
	const maxVerbosity = 10 // filtered by the level, which may change
	inner := funcr.NewJSON(s.write, funcr.Options{
		LogTimestamp: true, Verbosity: maxVerbosity, TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return logr.New(&levelFilter{LogSink: inner.GetSink(), sink: s})
}

// levelFilter drops lines above the level that is in force.
type levelFilter struct {
	logr.LogSink
	sink *Sink
}

// Enabled reports whether lines of a level are written.
func (f *levelFilter) Enabled(level int) bool { return level <= int(f.sink.level.Load()) }

// WithValues returns the filter with values that are in each line.
func (f *levelFilter) WithValues(values ...any) logr.LogSink {
	return &levelFilter{LogSink: f.LogSink.WithValues(values...), sink: f.sink}
}

// WithName returns the filter with a part of a name.
func (f *levelFilter) WithName(name string) logr.LogSink {
	return &levelFilter{LogSink: f.LogSink.WithName(name), sink: f.sink}
}

// SampleRoutine reports whether this routine decision is one of the sample.
func (s *Sink) SampleRoutine() bool {
	return s.level.Load() >= 1 && s.routineCount.Add(1)%int64(s.sampleInterval.Load()) == 0
}

// write queues a line, or counts it as dropped.
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

// reportDropped logs what was dropped before. The caller holds the lock.
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

// Close writes what is queued, unless the writer stalls.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
