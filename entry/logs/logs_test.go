package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// buffer is a writer that is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.text.String()), "\n")
}

// Guards against requests that block when nobody reads the standard output.
func TestStalledWriterDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe() // nobody reads
	defer reader.Close()
	sink := New(writer)
	log := sink.Logger()
	began := time.Now()
	for range 10 * maxQueuedLines {
		log.Info("request failed", "request", "r")
	}
	sink.Close()
	assert.Less(t, time.Since(began), 2*time.Second)
	assert.Positive(t, sink.Dropped())
}

// Guards against a count of dropped lines that its report resets: it then was 0
// when a new second began just before the end.
func TestDroppedCountIsCumulative(t *testing.T) {
	var out buffer
	var manual clock.Manual
	sink := New(&out)
	sink.clock = manual.Clock()
	log := sink.Logger()
	for range maxLinesPerSecond + 5 {
		log.Info("request failed")
	}
	manual.Advance(clock.Second)
	log.Info("request failed")
	sink.Close()
	assert.EqualValues(t, 5, sink.Dropped())
	assert.Contains(t, strings.Join(out.lines(), "\n"), `"overRate":5`)
}

// Guards against a log volume that grows with the load: of ten times the lines
// allowed in a second, those above the rate are dropped and their number is logged.
func TestLogVolumeIsBounded(t *testing.T) {
	var out buffer
	sink := New(&out)
	log := sink.Logger()
	for range 10 * maxLinesPerSecond {
		log.Info("request failed")
	}
	time.Sleep(1100 * time.Millisecond)
	log.Info("request failed")
	sink.Close()
	lines := out.lines()
	assert.LessOrEqual(t, len(lines), 2*maxLinesPerSecond+2)
	assert.Contains(t, strings.Join(lines, "\n"), `"msg":"lines dropped"`)
}

// Guards against lines that are not valid JSON, and against a level that cannot be
// changed while the daemon runs.
func TestLinesAreJSONAndFollowTheLevel(t *testing.T) {
	var out buffer
	sink := New(&out)
	log := sink.Logger().WithName("routing").WithValues("daemon", "a")
	log.V(1).Info("hidden")
	sink.Configure(Options{Level: 1, SampleInterval: 2})
	log.V(1).Info("shown", "request", "x\n\"y")
	assert.False(t, sink.SampleRoutine())
	assert.True(t, sink.SampleRoutine())
	sink.Close()
	lines := out.lines()
	require.Len(t, lines, 1)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &line))
	assert.Equal(t, "shown", line["msg"])
	assert.Equal(t, "x\n\"y", line["request"])
	assert.Equal(t, "a", line["daemon"])
}
