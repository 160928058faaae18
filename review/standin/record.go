package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt. It is safe for
// concurrent use.
type recorder struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// add writes a line with the time in seconds since the start.
func (r *recorder) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
