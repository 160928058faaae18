package relay

import (
	"context"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// linkWaitTimeout bounds the wait for a link, since the query can still ask
	// another replica.
	linkWaitTimeout = 250 * clock.Millisecond
	// linkIdleTimeout is how long an unused link stays open.
	linkIdleTimeout = 30 * clock.Second
)

// awaitLink waits for a link to the peer. It returns false if there is none in
// time.
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

// LinkUp ends the wait for a link to the peer.
func (r *Relay) LinkUp(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLinkWait(peer)
}

// endLinkWait wakes those that wait for a link, whether there is one now or not.
func (r *Relay) endLinkWait(peer string) {
	if opened := r.linkWaits[peer]; opened != nil {
		close(opened)
		delete(r.linkWaits, peer)
	}
}

// CloseIdleLinks closes the links that have been idle.
func (r *Relay) CloseIdleLinks() {
	for _, peer := range r.takeIdlePeers() {
		r.links.Hangup(peer)
	}
}

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
