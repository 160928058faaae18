package control

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/drain"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// BeginRequest counts a request of a caller.
func (c *Control) BeginRequest() { c.drain.Begin() }

// EndRequest ends a request of a caller.
func (c *Control) EndRequest() { c.drain.End() }

// Leaving reports whether callers on open connections should connect
// elsewhere.
func (c *Control) Leaving() bool { return c.drain.Closing() }

// NotReadyReason returns why no new request is taken at present, or "".
func (c *Control) NotReadyReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.serving:
		return "the daemon is starting"
	case c.drain.State() == drain.Stopped:
		return "the daemon has left"
	case !c.membership.Trustworthy(c.deps.Clock.Now()):
		return "the daemon was paused and waits for its peers"
	default:
		return ""
	}
}

// Drain begins the planned stop.
func (c *Control) Drain() {
	c.deps.Log.Info("control: planned stop begins")
	c.update(func(now clock.Millis) { c.performDrain(now, c.drain.Start(now, c.addresses.MaxLifetime())) })
}

// Left is closed once the planned stop is complete.
func (c *Control) Left() <-chan struct{} { return c.left }

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

// Advice returns the entry addresses for a caller and their lifetime. It returns
// none while the member view is not to be trusted: after a pause it may name
// daemons that have left.
func (c *Control) Advice(dataCentre, caller string) ([]string, clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.membership.Trustworthy(c.deps.Clock.Now()) {
		return nil, 0
	}
	advice := c.addresses.Advise(dataCentre, caller, c.random)
	if slices.Contains(advice.Addresses(), c.deps.Self.CallerAddress()) {
		c.drain.Advised(c.deps.Clock.Now() + advice.Lifetime())
	}
	return advice.Addresses(), advice.Lifetime()
}

// CallerAddress returns the callers' address of a daemon, or "".
func (c *Control) CallerAddress(daemon string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	member, _ := c.membership.Member(fleet.ID(daemon))
	return member.CallerAddress()
}

// Members returns the member view.
func (c *Control) Members() []fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.Members()
}

// FirstAck returns the instant of the first exchange with a peer.
func (c *Control) FirstAck() (clock.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.FirstAck()
}

// SettingsVersion returns the settings that a peer was last seen to have in force.
func (c *Control) SettingsVersion(peer fleet.ID) (fleet.SettingsVersion, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer == c.deps.Self.ID() {
		return c.rollout.Settings(), true
	}
	seen, ok := c.peerVersions[peer]
	return seen, ok
}
