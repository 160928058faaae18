package gateway

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"
)

// reloadInterval is the interval at which the file of the process configuration
// is compared, since it may change without a signal.
const reloadInterval = 3 * time.Second

// watcher follows the file of a process configuration.
type watcher struct {
	path     string
	log      logr.Logger
	interval time.Duration
	lastText []byte // last seen, usable or not
	changes  chan ProcessConfig
}

// WatchProcessConfig sends the process configuration of a file each time that it has
// changed, and after each signal. A file that cannot be used is logged, and the
// last configuration stays in force. The channel is never closed.
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

// read returns the configuration if it was asked for or has changed.
func (w *watcher) read(forced bool) (ProcessConfig, bool) {
	text, err := os.ReadFile(w.path)
	if !forced && (err != nil || bytes.Equal(text, w.lastText)) {
		return ProcessConfig{}, false
	}
	if err != nil {
		w.log.Error(err, "settings are not reloaded")
		return ProcessConfig{}, false
	}
	w.lastText = text
	process, err := ParseProcessConfig(text)
	if err != nil {
		w.log.Error(err, "settings are not reloaded")
		return ProcessConfig{}, false
	}
	return process, true
}
