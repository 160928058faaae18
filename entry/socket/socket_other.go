//go:build !linux

package socket

import (
	"net"
	"syscall"
	"time"
)

// SetUserTimeout does nothing: it is implemented on Linux only.
func SetUserTimeout(string, string, syscall.RawConn) error { return nil }

// NewProbe returns a function that always returns Open. On a closed connection the
// next write fails.
func NewProbe(syscall.RawConn) func() State { return func() State { return Open } }

// RoundTrip returns 0: it is implemented on Linux only.
func RoundTrip(net.Conn) time.Duration { return 0 }
