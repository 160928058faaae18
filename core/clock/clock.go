// Package clock provides the project's time type and a replaceable clock.
//
// All code in the core takes the current time as an argument, so that the same
// code runs in a daemon, in tests and in measurements. Only adapters read a Clock.
//
// # Usage
//
//	var c clock.Clock           // zero value: the system's monotonic clock
//	now := c.Now()
//	deadline := now + 250*clock.Millisecond
//
// In a test:
//
//	var manual clock.Manual
//	c := manual.Clock()
//	manual.Advance(3 * clock.Second)
package clock

import (
	"strconv"
	"sync"
	"time"
)

// Millis is an instant, in milliseconds since the Unix epoch or the start of a
// Manual clock, or a duration in milliseconds. It has fractions, because a message
// between two data centres takes about one millisecond and latency estimates need a
// finer resolution.
type Millis float64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000 * Millisecond
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// FromDuration converts a duration of package time.
func FromDuration(d time.Duration) Millis {
	return Millis(float64(d) / float64(time.Millisecond))
}

// Duration converts a duration in milliseconds to one of package time.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// String formats a duration as milliseconds, for example "12.5ms".
func (m Millis) String() string {
	return strconv.FormatFloat(float64(m), 'f', -1, 64) + "ms"
}

// Parse parses a duration with a unit, for example "250ms" or "5s". It accepts the
// syntax of time.ParseDuration and returns its error.
func Parse(text string) (Millis, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	return FromDuration(d), nil
}

// processStart is the wall-clock time from which the system clock counts. Its
// readings advance with the monotonic clock, so that an adjustment of the wall clock
// does not shift deadlines.
var processStart = time.Now()

// Clock reads the current time. The zero value reads the system's monotonic clock.
// A Clock is safe for concurrent use.
type Clock struct {
	read func() Millis
}

// New returns a clock that calls read, which must be safe for concurrent use.
func New(read func() Millis) Clock { return Clock{read: read} }

// IsZero reports whether the clock is the zero value.
func (c Clock) IsZero() bool { return c.read == nil }

// Now returns the current instant.
func (c Clock) Now() Millis {
	if c.read != nil {
		return c.read()
	}
	return Millis(processStart.UnixMilli()) + FromDuration(time.Since(processStart))
}

// Manual is a clock for tests that changes only in Advance. The zero value reads
// zero. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now Millis
}

// Now returns the instant to which the clock has been advanced.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by duration and returns the new instant.
func (m *Manual) Advance(duration Millis) Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += duration
	return m.now
}

// Clock returns a Clock that reads m.
func (m *Manual) Clock() Clock {
	return Clock{read: m.Now}
}
