package upstreams

import "github.com/lovagegap/lovagegap/core/clock"

const logSize = 1024 // entries kept for each replica

// Outcomes of an entry.
const (
	Running   = "running"
	Completed = "completed"
	Cancelled = "cancelled" // the connection was closed, or the deadline passed
	Shed      = "shed"
	Crashed   = "crashed" // the process ended while the sub-request was in it
	Misrouted = "misrouted"
)

// Entry is one sub-request as the replica saw it.
type Entry struct {
	Sequence    int          `json:"sequence"`
	Service     string       `json:"service"`
	Request     string       `json:"request"`
	Shard       string       `json:"shard"`
	Version     string       `json:"version"`
	Body        string       `json:"body,omitempty"` // the first bytes
	Boot        string       `json:"boot"`
	Started     clock.Millis `json:"started"`
	Finished    clock.Millis `json:"finished"`
	Concurrency int          `json:"concurrency"` // running and waiting, with this one
	Cold        bool         `json:"cold"`
	Level       int          `json:"level"` // work the process could handle at a time
	Outcome     string       `json:"outcome"`
}

// log is a ring of the last entries.
type log struct {
	next    int
	entries []*Entry
}

func (l *log) add(e *Entry) {
	l.next++
	e.Sequence = l.next
	if len(l.entries) < logSize {
		l.entries = append(l.entries, e)
		return
	}
	l.entries[(l.next-1)%logSize] = e
}

// Log returns the kept entries with a sequence number above after, oldest
// first.
func (u *Upstream) Log(after int) []Entry {
	u.mu.Lock()
	defer u.mu.Unlock()
	entries := []Entry{}
	for n := max(after+1, u.log.next-len(u.log.entries)+1); n <= u.log.next; n++ {
		entries = append(entries, *u.log.entries[(n-1)%logSize])
	}
	return entries
}

// record notes that a sub-request has arrived at the process of the pass.
func (u *Upstream) record(e *Entry, p pass) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e.Started, e.Outcome, e.Boot = u.clock.Now(), Running, u.bootOf(p.boot)
	u.log.add(e)
}

func (u *Upstream) settle(e *Entry, outcome string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e.Finished, e.Outcome = u.clock.Now(), outcome
}
