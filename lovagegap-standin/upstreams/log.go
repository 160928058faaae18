package upstreams

import "github.com/lovagegap/lovagegap/core/clock"

const logCapacity = 1024 // entries kept for each replica

// Outcomes of an entry.
const (
	Running   = "running"
	Completed = "completed"
	Cancelled = "cancelled" // the connection was closed, or the deadline passed
	Shed      = "shed"
	Crashed   = "crashed" // the process ended while the sub-request was in it
	Misrouted = "misrouted"
)

// LogEntry is one sub-request as the replica saw it.
type LogEntry struct {
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
	Capacity    int          `json:"level"` // work the process could handle at a time
	Outcome     string       `json:"outcome"`
}

// requestLog is a ring of the last entries.
type requestLog struct {
	lastSequence int
	entries      []*LogEntry
}

func (l *requestLog) add(e *LogEntry) {
	l.lastSequence++
	e.Sequence = l.lastSequence
	if len(l.entries) < logCapacity {
		l.entries = append(l.entries, e)
		return
	}
	l.entries[(l.lastSequence-1)%logCapacity] = e
}

// Log returns the kept entries with a sequence number above after, oldest
// first.
func (u *Upstream) Log(after int) []LogEntry {
	u.mu.Lock()
	defer u.mu.Unlock()
	entries := []LogEntry{}
	for n := max(after+1, u.log.lastSequence-len(u.log.entries)+1); n <= u.log.lastSequence; n++ {
		entries = append(entries, *u.log.entries[(n-1)%logCapacity])
	}
	return entries
}

// recordArrival notes that a sub-request has arrived at the process of the pass.
func (u *Upstream) recordArrival(e *LogEntry, p process) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e.Started, e.Outcome, e.Boot = u.clock.Now(), Running, u.bootID(p.bootNumber)
	u.log.add(e)
}

func (u *Upstream) recordOutcome(e *LogEntry, outcome string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e.Finished, e.Outcome = u.clock.Now(), outcome
}
