// Package benchtime adds the processor time of the process to the results of a
// benchmark. The elapsed time for each operation of a parallel benchmark does not
// show how many cores were in use.
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

// Report returns a function that reports, as the metric cpu-ns/op, the processor time
// since the call of Report for each operation.
func Report(b *testing.B) func() {
	b.Helper()
	before := processorTime()
	return func() {
		b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	}
}

// processorTime returns the user and system time of the process, or 0 if the system
// does not provide it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
