package gateway

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const processText = `{"name": "a", "dataCentre": "x", "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
"addresses": "127.0.0.1:3", "peers": "127.0.0.1:4", "store": "127.0.0.1:5", "key": "k", "graceS": 6, "lifetimeS": 1,
"repeats": {"ratio": 0.2, "slack": 10, "windowS": 10}, "log": {"level": 0}}`

// Guards against a changed file that is not loaded because no signal came, and against
// an invalid file that ends the watch or is logged at each interval.
func TestChangedConfigurationIsReloadedWithoutSignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "process.json")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(processText)
	lines := make(chan string, 100)
	log := funcr.New(func(_, line string) { lines <- line }, funcr.Options{})
	w := &watcher{path: path, log: log, interval: 5 * time.Millisecond, lastText: []byte(processText), changes: make(chan ProcessConfig)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	signals := make(chan os.Signal)
	go w.run(ctx, signals)

	write("{")
	require.Contains(t, <-lines, "process configuration not reloaded")
	time.Sleep(20 * w.interval)
	assert.Empty(t, lines, "an invalid file is logged once")

	write(strings.Replace(processText, `"level": 0`, `"level": 2`, 1))
	process := <-w.changes
	assert.Equal(t, 2, process.Log.Level)

	signals <- os.Interrupt
	process = <-w.changes
	assert.Equal(t, 2, process.Log.Level, "a signal reloads an unchanged file too")
}
