// Package benchtime adds the processor time of the whole process to a
// benchmark. The time that a parallel benchmark prints is the time between
// results, which says nothing about the cores that were used.
//
// # Usage
//
//	defer benchtime.Report(b)()
package benchtime

import (
	"syscall"
	"testing"
	"time"
)

// Report starts to measure and returns a function that reports the processor
// time for each operation.
func Report(b *testing.B) func() {
	b.Helper()
	before := processorTime()
	return func() {
		b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	}
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
