// Package platformtest provides an in-memory fake of the platform for tests. It
// has the methods of platform.Client and passes the same contract tests.
//
// # Usage
//
//	var fake platformtest.Fake
//	fake.SetVMs(platform.NewEntryVM("10.0.0.1:80", "10.0.0.1:81", "ikeja", "west"))
//	fake.LoseReplies(1) // the next write takes effect, but its reply is lost
package platformtest

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/entry/platform"
)

// Fake is an in-memory platform. The zero value has no keys and no VMs and is
// available. It is safe for concurrent use.
type Fake struct {
	mu            sync.Mutex
	keys          map[string]platform.Value
	vms           []platform.VM
	down          bool
	repliesToLose int
	calls         map[string]int
	changed       chan struct{}
}

// SetVMs replaces the list of VMs.
func (f *Fake) SetVMs(vms ...platform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = slices.Clone(vms)
}

// SetDown makes the platform unavailable or available again. Pending watches fail
// when it becomes unavailable.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.wakeWatches()
}

// LoseReplies makes the next n writes take effect and return
// platform.ErrUnknownOutcome.
func (f *Fake) LoseReplies(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repliesToLose = n
}

// Restore sets key to value, as the restore of a backup does.
func (f *Fake) Restore(key string, value platform.Value) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set(key, value)
}

// Calls returns the number of calls of a kind: get, watch, put or vms. A watch
// counts as one call.
func (f *Fake) Calls(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[kind]
}

// Get returns the value of key. The error is platform.ErrUnavailable.
func (f *Fake) Get(ctx context.Context, key string) (platform.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall(ctx, "get"); err != nil {
		return platform.Value{}, err
	}
	return f.keys[key], nil
}

// CompareAndSwap writes data if key has expectedRevision, with the errors of
// platform.Client. While the platform is unavailable the outcome is unknown, as for
// a client that lost the connection after it sent the write.
func (f *Fake) CompareAndSwap(ctx context.Context, key string, data []byte, expectedRevision uint64) (platform.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(data) > platform.MaxValueBytes {
		return platform.Value{}, platform.ErrTooLarge
	}
	if err := f.recordCall(ctx, "put"); err != nil {
		if f.down {
			return platform.Value{}, platform.ErrUnknownOutcome
		}
		return platform.Value{}, err
	}
	if present := f.keys[key]; present.Revision() != expectedRevision {
		return present, platform.ErrConflict
	}
	value := platform.NewValue(slices.Clone(data), expectedRevision+1)
	f.set(key, value)
	if f.repliesToLose > 0 {
		f.repliesToLose--
		return platform.Value{}, platform.ErrUnknownOutcome
	}
	return value, nil
}

// Watch blocks until the revision of key is not afterRevision, and returns the
// value. The error is platform.ErrUnavailable, also if ctx ends.
func (f *Fake) Watch(ctx context.Context, key string, afterRevision uint64) (platform.Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for first := true; ; first = false {
		if err := f.recordWatch(ctx, first); err != nil {
			return platform.Value{}, err
		}
		if value := f.keys[key]; value.Revision() != afterRevision {
			return value, nil
		}
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		f.mu.Lock()
	}
}

// VMs returns the list of VMs. The error is platform.ErrUnavailable.
func (f *Fake) VMs(ctx context.Context) ([]platform.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall(ctx, "vms"); err != nil {
		return nil, err
	}
	return slices.Clone(f.vms), nil
}

func (f *Fake) set(key string, value platform.Value) {
	if f.keys == nil {
		f.keys = make(map[string]platform.Value)
	}
	f.keys[key] = value
	f.wakeWatches()
}

func (f *Fake) wakeWatches() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

func (f *Fake) recordWatch(ctx context.Context, first bool) error {
	if first {
		return f.recordCall(ctx, "watch")
	}
	return f.checkAvailable(ctx)
}

func (f *Fake) recordCall(ctx context.Context, kind string) error {
	if f.calls == nil {
		f.calls = make(map[string]int)
	}
	f.calls[kind]++
	return f.checkAvailable(ctx)
}

func (f *Fake) checkAvailable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return errors.Mark(err, platform.ErrUnavailable)
	}
	if f.down {
		return platform.ErrUnavailable
	}
	return nil
}
