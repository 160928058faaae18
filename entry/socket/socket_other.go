//go:build !linux

package socket

import "syscall"

// SetUserTimeout does nothing: it is implemented on Linux only.
func SetUserTimeout(string, string, syscall.RawConn) error { return nil }

// NewProbe returns a function that always returns Open. On a closed connection the
// next write fails.
func NewProbe(syscall.RawConn) func() State { return func() State { return Open } }
