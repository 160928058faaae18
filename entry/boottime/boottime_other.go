//go:build !linux

package boottime

import "github.com/lovagegap/lovagegap/core/clock"

func read() clock.Millis { return readWallClock() }
