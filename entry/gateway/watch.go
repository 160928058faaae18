package gateway

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"
)

// reloadInterval is the interval at which the file is compared with its last text,
// since it may change without a signal.
const reloadInterval = 3 * time.Second

// watcher watches the file of a process configuration.
type watcher struct {
	path     string
	log      logr.Logger
	interval time.Duration
	lastText []byte // valid or not
	changes  chan ProcessConfig
}

// WatchProcessConfig sends the process configuration in a file whenever the file has
// changed, and after each signal, until ctx ends. An invalid file is logged and not
// sent, so the last configuration stays in force. The channel is never closed.
func WatchProcessConfig(ctx context.Context, path string, signals <-chan os.Signal, log logr.Logger) <-chan ProcessConfig {
	w := &watcher{path: path, log: log, interval: reloadInterval, changes: make(chan ProcessConfig)}
	w.lastText, _ = os.ReadFile(path)
	go w.run(ctx, signals)
	return w.changes
}

func (w *watcher) run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			forced = true
		case <-ticker.C:
		}
		process, ok := w.read(forced)
		if !ok {
			continue
		}
		select {
		case w.changes <- process:
		case <-ctx.Done():
			return
		}
	}
}

// read returns the configuration if it has changed or the reload is forced, and
// false if it has not or the file is invalid.
func (w *watcher) read(forced bool) (ProcessConfig, bool) {
	text, err := os.ReadFile(w.path)
	if !forced && (err != nil || bytes.Equal(text, w.lastText)) {
		return ProcessConfig{}, false
	}
	if err != nil {
		w.log.Error(err, "process configuration not reloaded")
		return ProcessConfig{}, false
	}
	w.lastText = text
	process, err := ParseProcessConfig(text)
	if err != nil {
		w.log.Error(err, "process configuration not reloaded")
		return ProcessConfig{}, false
	}
	return process, true
}
