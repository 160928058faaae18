package relay

import (
	"context"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// linkWaitTimeout bounds the wait for a link. It is short, since the query
	// can still try another replica.
	linkWaitTimeout = 250 * clock.Millisecond
	// linkIdleTimeout is the time without an exchange after which a link is
	// closed.
	linkIdleTimeout = 30 * clock.Second
)

// awaitLink opens a link to the peer, if there is none, and waits for it. It
// returns false if the link is not open within linkWaitTimeout.
func (r *Relay) awaitLink(ctx context.Context, peer string) bool {
	r.mu.Lock()
	r.lastUsed[peer] = r.clock.Now()
	if r.links.Linked(peer) {
		r.mu.Unlock()
		return true
	}
	done := r.linkWaits[peer]
	if done == nil {
		done = make(chan struct{})
		r.linkWaits[peer] = done
	}
	r.mu.Unlock()
	r.links.Dial(peer)
	ctx, cancel := context.WithTimeout(ctx, linkWaitTimeout.Duration())
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return r.links.Linked(peer)
}

// LinkUp handles a link to the peer that opened.
func (r *Relay) LinkUp(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLinkWait(peer)
}

// endLinkWait wakes the exchanges that wait for a link to the peer, whether it
// opened or not. The caller holds the lock.
func (r *Relay) endLinkWait(peer string) {
	if done := r.linkWaits[peer]; done != nil {
		close(done)
		delete(r.linkWaits, peer)
	}
}

// CloseIdleLinks closes the links that have had no exchange for 30 s. It must be
// called regularly.
func (r *Relay) CloseIdleLinks() {
	for _, peer := range r.takeIdlePeers() {
		r.links.Disconnect(peer)
	}
}

// takeIdlePeers returns the peers whose links are idle, and removes them from
// lastUsed.
func (r *Relay) takeIdlePeers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	busy := make(map[string]bool)
	for key := range r.pending {
		busy[key.peer] = true
	}
	for key := range r.running {
		busy[key.peer] = true
	}
	var idle []string
	for peer, usedAt := range r.lastUsed {
		if r.clock.Now()-usedAt > linkIdleTimeout && !busy[peer] {
			idle = append(idle, peer)
			delete(r.lastUsed, peer)
		}
	}
	return idle
}
