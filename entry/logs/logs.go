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
	queueLines = 1024
	// linesPerSecond bounds the lines of one second. Changes of what the daemon
	// believes and failures share it.
	linesPerSecond = 200
	closeTimeout   = 100 * time.Millisecond
	defaultSample  = 100
)

// Options set what is logged. They can be changed at any time.
type Options struct {
	// Level is 0 for failures and changes, 1 for sampled routine decisions
	// too, 2 for details.
	Level int
	// Sample is one in how many routine decisions is logged; 0 stands for 100.
	Sample int
}

// Sink writes log lines. It is safe for concurrent use.
type Sink struct {
	clock   clock.Clock
	lines   chan string
	closed  chan struct{}
	done    chan struct{}
	once    sync.Once
	level   atomic.Int32
	sample  atomic.Int32
	routine atomic.Int64

	mu      sync.Mutex
	second  int64
	written int
	limited int64
	full    int64
	dropped int64
}

// New returns a sink that writes to w on a goroutine of its own.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan string, queueLines), closed: make(chan struct{}), done: make(chan struct{})}
	s.sample.Store(defaultSample)
	go s.run(w)
	return s
}

// Configure changes what is logged.
func (s *Sink) Configure(o Options) {
	if o.Sample <= 0 {
		o.Sample = defaultSample
	}
	s.level.Store(int32(o.Level))
	s.sample.Store(int32(o.Sample))
}

// Logger returns a logger that writes to the sink.
func (s *Sink) Logger() logr.Logger {
	const everything = 10 // filtered by the level, which may change
	inner := funcr.NewJSON(s.write, funcr.Options{
		LogTimestamp: true, Verbosity: everything, TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return logr.New(&filter{LogSink: inner.GetSink(), sink: s})
}

// filter drops lines above the level that is in force.
type filter struct {
	logr.LogSink
	sink *Sink
}

// Enabled reports whether lines of a level are written.
func (f *filter) Enabled(level int) bool { return level <= int(f.sink.level.Load()) }

// WithValues returns the filter with values that are in each line.
func (f *filter) WithValues(values ...any) logr.LogSink {
	return &filter{LogSink: f.LogSink.WithValues(values...), sink: f.sink}
}

// WithName returns the filter with a part of a name.
func (f *filter) WithName(name string) logr.LogSink {
	return &filter{LogSink: f.LogSink.WithName(name), sink: f.sink}
}

// Routine reports whether this routine decision is one of the sample.
func (s *Sink) Routine() bool {
	return s.level.Load() >= 1 && s.routine.Add(1)%int64(s.sample.Load()) == 0
}

// write queues a line, or counts it as dropped.
func (s *Sink) write(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := int64(s.clock.Now() / clock.Second); second != s.second {
		s.second, s.written = second, 0
		s.report()
	}
	if s.written >= linesPerSecond {
		s.limited++
		s.dropped++
		return
	}
	s.written++
	if !s.put(line) {
		s.full++
		s.dropped++
	}
}

func (s *Sink) put(line string) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// report logs what was dropped before. The caller holds the lock.
func (s *Sink) report() {
	if s.limited+s.full == 0 {
		return
	}
	line := `{"logger":"logs","level":0,"msg":"lines dropped","overRate":` + strconv.FormatInt(s.limited, 10) +
		`,"queueFull":` + strconv.FormatInt(s.full, 10) + `}`
	if s.put(line) {
		s.limited, s.full = 0, 0
	}
}

// Dropped returns the number of lines that were dropped since the start.
func (s *Sink) Dropped() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			_, _ = io.WriteString(w, line+"\n")
		case <-s.closed:
			for {
				select {
				case line := <-s.lines:
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
	s.once.Do(func() { close(s.closed) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
