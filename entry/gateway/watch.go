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
	text     []byte // last seen, usable or not
	changes  chan Process
}

// Watch sends the process configuration of a file each time that it has
// changed, and after each signal. A file that cannot be used is logged, and the
// last configuration stays in force. The channel is never closed.
func Watch(ctx context.Context, path string, signals <-chan os.Signal, log logr.Logger) <-chan Process {
	w := &watcher{path: path, log: log, interval: reloadInterval, changes: make(chan Process)}
	w.text, _ = os.ReadFile(path)
	go w.run(ctx, signals)
	return w.changes
}

func (w *watcher) run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			asked = true
		case <-ticker.C:
		}
		process, ok := w.read(asked)
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
func (w *watcher) read(asked bool) (Process, bool) {
	text, err := os.ReadFile(w.path)
	if !asked && (err != nil || bytes.Equal(text, w.text)) {
		return Process{}, false
	}
	if err != nil {
		w.log.Error(err, "settings are not reloaded")
		return Process{}, false
	}
	w.text = text
	process, err := Parse(text)
	if err != nil {
		w.log.Error(err, "settings are not reloaded")
		return Process{}, false
	}
	return process, true
}
