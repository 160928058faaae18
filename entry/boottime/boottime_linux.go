package boottime

import (
	"golang.org/x/sys/unix"

	"github.com/lovagegap/lovagegap/core/clock"
)

// available is decided once, so that instants of the two clocks are never compared.
var available = func() bool {
	var t unix.Timespec
	return unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) == nil
}()

func read() clock.Millis {
	if !available {
		return readWallClock()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // it has succeeded before, and has no other cause
	}
	return clock.Millis(float64(t.Nano()) / 1e6)
}
