package upstreams

import "github.com/lovagegap/lovagegap/core/clock"

const logCapacity = 1024 // entries per replica

// Outcomes of a sub-request.
const (
	Running   = "running"
	Completed = "completed"
	Cancelled = "cancelled" // the connection was closed, or the deadline passed
	Shed      = "shed"      // refused with 503 and not run
	Crashed   = "crashed"   // the process ended before the sub-request did
	Misrouted = "misrouted" // the replica does not hold the shard or version
)

// LogEntry records one sub-request that a replica received.
type LogEntry struct {
	Sequence    int          `json:"sequence"` // counts from 1 for each replica
	Service     string       `json:"service"`
	Request     string       `json:"request"`
	Shard       string       `json:"shard"`
	Version     string       `json:"version"`
	Body        string       `json:"body,omitempty"` // at most loggedBodyBytes
	Boot        string       `json:"boot"`           // boot ID of the process that received it
	Started     clock.Millis `json:"started"`
	Finished    clock.Millis `json:"finished"`
	Concurrency int          `json:"concurrency"` // sub-requests running and queued, this one included
	Cold        bool         `json:"cold"`        // the process was in a cold start
	Capacity    int          `json:"level"`       // sub-requests that the process could run at a time
	Outcome     string       `json:"outcome"`
	Injected    bool         `json:"injected,omitempty"` // an injected fault refused it or slowed it down
}

// requestLog is a ring buffer of the newest logCapacity entries.
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

// Log returns copies of the entries with a sequence number above after, oldest
// first. Only the newest logCapacity entries are kept.
func (u *Upstream) Log(after int) []LogEntry {
	u.mu.Lock()
	defer u.mu.Unlock()
	entries := []LogEntry{}
	for n := max(after+1, u.log.lastSequence-len(u.log.entries)+1); n <= u.log.lastSequence; n++ {
		entries = append(entries, *u.log.entries[(n-1)%logCapacity])
	}
	return entries
}

// recordArrival logs a sub-request that process p has received.
func (u *Upstream) recordArrival(e *LogEntry, p process) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e.Started, e.Outcome, e.Boot = u.clock.Now(), Running, u.bootID(p.bootNumber)
	u.log.add(e)
}

// recordOutcome completes the log entry of a sub-request that has ended.
func (u *Upstream) recordOutcome(e *LogEntry, outcome string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e.Finished, e.Outcome = u.clock.Now(), outcome
}
