// Package drain decides when a daemon that stops as planned may close.
//
// The daemon announces that it leaves, keeps serving the callers that still
// hold its address, and closes once the last address answer that named it has
// expired and no request is in flight.
//
// # Usage
//
//	var d drain.Drain
//	d.Configure(3*clock.Second, 0)
//	d.Begin(); defer d.End()                     // around each request
//	d.Advised(now + lifetime)                    // for each answer that names this daemon
//	perform(d.Start(now, addresses.MaxLifetime()))
//	every 100 ms: perform(d.Tick(now))
//	if d.Closing() { set "Connection: close" on the reply }
//	if !d.Advises() { leave this daemon out of its own address answers }
package drain

import (
	"fmt"
	"sync"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// DefaultMargin covers the flood of the announcement, its repair by digest
// when a link loses it, and the time between a caller's decision to connect
// and its request.
const DefaultMargin = 5 * clock.Second

// pauseThreshold is the time without a Tick from which the process counts as paused,
// the same as in package fleet.
const pauseThreshold = 2 * clock.Second

// Action is a step for the adapter.
type Action uint8

// Actions.
const (
	// Announce tells the peers that this daemon leaves.
	Announce Action = iota + 1
	// Stop tells the peers that this daemon has left and closes its listeners.
	Stop
)

// State is the state of a Drain.
type State uint8

// States.
const (
	Serving State = iota
	Leaving
	Stopped
)

// String names the state as operators see it.
func (s State) String() string { return [...]string{"serving", "leaving", "stopped"}[s] }

// Journal records why the state changed.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}

// Drain is the planned stop of a daemon. The zero value serves. It is safe for
// concurrent use, because requests begin and end on their own goroutines.
type Drain struct {
	mu              sync.Mutex
	journal         Journal
	margin          clock.Millis
	maxDuration     clock.Millis
	state           State
	inFlight        int
	adviceExpiresAt clock.Millis // end of the last answer that names this daemon
	startedAt       clock.Millis
	lastTickAt      clock.Millis // latest Tick, or 0
	resumedAt       clock.Millis // end of the latest pause while leaving
}

// Configure sets the margin after the last answer has expired, and a hard limit
// after which the daemon stops although requests are in flight. A margin of
// zero stands for DefaultMargin; a limit of zero for no limit, since stopping
// by the limit interrupts requests.
func (d *Drain) Configure(margin, maxDuration clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.margin, d.maxDuration = margin, maxDuration
}

// SetJournal sets where changes of state are recorded.
func (d *Drain) SetJournal(j Journal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.journal = j
}

// BeginRequest counts a request that starts.
func (d *Drain) BeginRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
}

// EndRequest counts a request that has been answered.
func (d *Drain) EndRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

// RecordAdvice notes an answer that names this daemon and expires at expires.
func (d *Drain) RecordAdvice(expiresAt clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adviceExpiresAt = max(d.adviceExpiresAt, expiresAt)
}

// Start begins the planned stop. Until the announcement has reached them,
// peers may hand out answers that name this daemon for up to lifetime; the
// margin covers the announcement. Starting twice has no effect.
func (d *Drain) Start(now, maxAdviceLifetime clock.Millis) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != Serving {
		return nil
	}
	d.state = Leaving
	d.startedAt = now
	d.adviceExpiresAt = max(d.adviceExpiresAt, now+maxAdviceLifetime)
	d.recordEvent(now, fmt.Sprintf("leaving, answers expire in %.0f ms", float64(d.adviceExpiresAt-now)))
	return []Action{Announce}
}

// Tick returns Stop once the daemon may close. It is called in every state, since
// a gap between two calls shows that the process was paused. Requests that
// arrived during a pause wait in its sockets, not counted as in flight, so the
// margin begins again after it.
func (d *Drain) Tick(now clock.Millis) []Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	paused := d.lastTickAt > 0 && now-d.lastTickAt > pauseThreshold
	d.lastTickAt = now
	if d.state != Leaving {
		return nil
	}
	if paused {
		d.resumedAt = now
		d.recordEvent(now, "resumed from a pause while leaving")
	}
	margin := d.margin
	if margin <= 0 {
		margin = DefaultMargin
	}
	overdue := d.maxDuration > 0 && now >= d.startedAt+d.maxDuration
	if !overdue && (d.inFlight > 0 || now < max(d.adviceExpiresAt, d.resumedAt)+margin) {
		return nil
	}
	d.state = Stopped
	d.recordEvent(now, fmt.Sprintf("stopped with %d requests in flight", d.inFlight))
	return []Action{Stop}
}

// State returns the state.
func (d *Drain) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}

// InFlight returns the number of requests that have begun and not ended.
func (d *Drain) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// ClosesConnections reports whether replies must carry "Connection: close", so that
// callers on kept-alive connections move.
func (d *Drain) ClosesConnections() bool { return d.State() != Serving }

// MayBeAdvised reports whether this daemon may be named in address answers.
func (d *Drain) MayBeAdvised() bool { return d.State() == Serving }

func (d *Drain) recordEvent(now clock.Millis, cause string) {
	if d.journal != nil {
		d.journal.Add(now, journal.Drain, "daemon", cause)
	}
}
