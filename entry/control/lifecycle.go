package control

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/drain"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// BeginRequest records the start of a caller's request. A planned stop waits for
// the matching EndRequest.
func (c *Control) BeginRequest() { c.drain.BeginRequest() }

// EndRequest records the end of a caller's request.
func (c *Control) EndRequest() { c.drain.EndRequest() }

// Leaving reports whether a planned stop has begun, so that callers on open
// connections should connect to another daemon.
func (c *Control) Leaving() bool { return c.drain.ClosesConnections() }

// NotReadyReason returns why the daemon takes no new requests at present, or ""
// if it takes them.
func (c *Control) NotReadyReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.serving:
		return "the daemon is starting"
	case c.drain.State() == drain.Stopped:
		return "the daemon has left"
	case !c.membership.Trustworthy(c.deps.Clock.Now()):
		return "the daemon was paused and has not heard from its peers since"
	default:
		return ""
	}
}

// Drain starts the planned stop. Left is closed when it is complete.
func (c *Control) Drain() {
	c.deps.Log.Info("control: planned stop begins")
	c.update(func(now clock.Millis) { c.performDrain(now, c.drain.Start(now, c.addresses.MaxLifetime())) })
}

// Left returns a channel that is closed when the planned stop is complete.
func (c *Control) Left() <-chan struct{} { return c.left }

// performDrain performs actions of the planned stop. The caller holds the lock.
func (c *Control) performDrain(now clock.Millis, actions []drain.Action) {
	for _, action := range actions {
		switch action {
		case drain.Announce:
			c.performMembership(now, c.membership.Leave(now))
		case drain.Stop:
			c.performMembership(now, c.membership.Left(now))
			close(c.left)
		}
	}
}

// Addresses returns the entry addresses for a caller and their lifetime. It returns
// none while the member view is not trustworthy: after a pause of the process it
// may contain daemons that have left.
func (c *Control) Addresses(dataCentre, caller string) ([]string, clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.membership.Trustworthy(c.deps.Clock.Now()) {
		return nil, 0
	}
	advice := c.addresses.Advise(dataCentre, caller, c.random)
	if slices.Contains(advice.Addresses(), c.deps.Self.CallerAddress()) {
		c.drain.RecordAdvice(c.deps.Clock.Now() + advice.Lifetime())
	}
	return advice.Addresses(), advice.Lifetime()
}

// CallerAddress returns the address at which a daemon serves callers, or "" if the
// daemon is unknown.
func (c *Control) CallerAddress(daemon string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	member, _ := c.membership.Member(fleet.ID(daemon))
	return member.CallerAddress()
}

// Members returns the members of the fleet as this daemon sees them.
func (c *Control) Members() []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.Members()
}

// FirstAck returns the instant at which the first peer acknowledged a ping of this
// daemon. It returns false before it.
func (c *Control) FirstAck() (clock.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.FirstAck()
}

// SettingsVersion returns the version of the settings that a daemon last reported
// to have in force. It returns false for a peer that has not reported one.
func (c *Control) SettingsVersion(peer fleet.ID) (fleet.SettingsVersion, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer == c.deps.Self.ID() {
		return c.rollout.SettingsVersion(), true
	}
	version, ok := c.peerVersions[peer]
	return version, ok
}
