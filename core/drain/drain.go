// Package drain decides when a daemon that is stopped as planned may close.
//
// The daemon announces that it is leaving, keeps serving the callers that still
// have its address, and closes once the last address answer that names it has
// expired and no request is in flight. An address answer is the list of entry
// addresses that a daemon gives to a caller, valid for its lifetime.
//
// # Usage
//
//	var d drain.Drain
//	d.Configure(3*clock.Second, 0)
//	d.BeginRequest()                             // around each request
//	defer d.EndRequest()
//	d.RecordAdvice(now + lifetime)               // for each address answer that names this daemon
//	perform(d.Start(now, addresses.MaxLifetime()))
//	perform(d.Tick(now))                         // every 100 ms
//	if d.ClosesConnections() { set "Connection: close" on the reply }
//	if !d.MayBeAdvised() { leave this daemon out of its own address answers }
package drain

import (
	"fmt"
	"sync"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// DefaultMargin is the time that the daemon keeps serving after the last address
// answer has expired. It covers the spread of the announcement to all peers, its
// repair by digest when a link loses it, and the time between a caller's decision
// to connect and its request.
const DefaultMargin = 5 * clock.Second

// pauseThreshold is the time between two calls of Tick above which the process
// counts as paused, the same as in package fleet.
const pauseThreshold = 2 * clock.Second

// Action is a step that the adapter must perform.
type Action uint8

// Actions of a planned stop.
const (
	// Announce tells the peers that this daemon is leaving.
	Announce Action = iota + 1
	// Stop tells the peers that this daemon has left and closes its listeners.
	Stop
)

// State is the state of a Drain.
type State uint8

// States of a Drain, in order.
const (
	// Serving means that no stop has been requested.
	Serving State = iota
	// Leaving means that the stop has been announced and requests are still served.
	Leaving
	// Stopped means that Tick has returned Stop.
	Stopped
)

// String returns the name of the state that operators see.
func (s State) String() string { return [...]string{"serving", "leaving", "stopped"}[s] }

// Journal records why the state changed.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}

// Drain is the state of a daemon's planned stop. The zero value is Serving, with
// DefaultMargin, no limit and no journal. It is safe for concurrent use, because
// requests begin and end on their own goroutines.
type Drain struct {
	mu              sync.Mutex
	journal         Journal
	margin          clock.Millis
	maxDuration     clock.Millis
	state           State
	inFlight        int
	adviceExpiresAt clock.Millis // latest expiry of an address answer that names this daemon
	startedAt       clock.Millis
	lastTickAt      clock.Millis // zero before the first Tick
	resumedAt       clock.Millis // end of the latest pause while Leaving
}

// Configure sets the margin after the last address answer has expired and the time
// from Start after which the daemon stops even if requests are in flight. A zero
// margin means DefaultMargin. A zero maxDuration means no limit, since a stop at the
// limit interrupts requests.
func (d *Drain) Configure(margin, maxDuration clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.margin, d.maxDuration = margin, maxDuration
}

// SetJournal sets the journal that records changes of state; nil for none.
func (d *Drain) SetJournal(j Journal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.journal = j
}

// BeginRequest adds a request in flight.
func (d *Drain) BeginRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight++
}

// EndRequest removes a request in flight, once it has been answered. Each
// BeginRequest must be followed by one EndRequest.
func (d *Drain) EndRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

// RecordAdvice records an address answer that names this daemon and expires at
// expiresAt.
func (d *Drain) RecordAdvice(expiresAt clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adviceExpiresAt = max(d.adviceExpiresAt, expiresAt)
}

// Start begins the planned stop. Answers that name this daemon are valid for up to
// maxAdviceLifetime; peers may give new ones until the announcement has reached
// them, which the margin covers. Calls after the first have no effect.
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

// Tick returns Stop, once, when the daemon may close. It must be called in every
// state, because a gap between two calls shows that the process was paused.
// Requests that arrived during a pause wait unread in the sockets and are not
// counted as in flight, so the margin restarts after the pause.
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

// State returns the current state.
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
// callers on kept-alive connections move to another daemon.
func (d *Drain) ClosesConnections() bool { return d.State() != Serving }

// MayBeAdvised reports whether this daemon may be named in address answers.
func (d *Drain) MayBeAdvised() bool { return d.State() == Serving }

func (d *Drain) recordEvent(now clock.Millis, cause string) {
	if d.journal != nil {
		d.journal.Add(now, journal.Drain, "daemon", cause)
	}
}
