// Package boottime provides a clock that also counts the time during which the machine
// is suspended.
//
// The monotonic clock of package clock stands still while a VM is suspended, so a state
// that is known to be current for some seconds would appear to be so after the machine
// resumes. Instants of this clock mean nothing on other machines.
//
// # Usage
//
//	c := boottime.Clock()
//	provenAt := c.Now()
//	age := c.Now() - provenAt // includes suspension
package boottime

import (
	"sync"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Clock returns the clock. It never goes back and is safe for concurrent use.
func Clock() clock.Clock { return clock.New(read) }

// wallClock counts suspension with the time of day, for systems without a clock that does.
// A step of the time of day forward counts as suspension, so that ages are never
// understated; steps back are ignored.
type wallClock struct {
	mu        sync.Mutex
	suspended clock.Millis // largest lead of the time of day over the monotonic clock
}

// now returns the instant at which the time of day and the monotonic clock have advanced
// by wall and monotonic since the start of the process.
func (c *wallClock) now(wall, monotonic clock.Millis) clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended = max(c.suspended, wall-monotonic)
	return monotonic + c.suspended
}

var (
	processStart  = time.Now()
	processClock  wallClock
	firstReadWall = processStart.Round(0) // without the monotonic reading
)

func readWallClock() clock.Millis {
	now := time.Now()
	return processClock.now(clock.FromDuration(now.Round(0).Sub(firstReadWall)), clock.FromDuration(now.Sub(processStart)))
}
