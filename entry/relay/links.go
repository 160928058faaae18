package relay

import (
	"context"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// openTime bounds the wait for a link, since the query can still ask
	// another replica.
	openTime = 250 * clock.Millisecond
	// idleTime is how long an unused link stays open.
	idleTime = 30 * clock.Second
)

// open waits for a link to the peer. It returns false if there is none in
// time.
func (r *Relay) open(ctx context.Context, peer string) bool {
	r.mu.Lock()
	r.used[peer] = r.clock.Now()
	if r.links.Linked(peer) {
		r.mu.Unlock()
		return true
	}
	opened := r.opening[peer]
	if opened == nil {
		opened = make(chan struct{})
		r.opening[peer] = opened
	}
	r.mu.Unlock()
	r.links.Dial(peer)
	ctx, cancel := context.WithTimeout(ctx, openTime.Duration())
	defer cancel()
	select {
	case <-opened:
	case <-ctx.Done():
	}
	return r.links.Linked(peer)
}

// LinkUp ends the wait for a link to the peer.
func (r *Relay) LinkUp(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened(peer)
}

// opened wakes those that wait for a link, whether there is one now or not.
func (r *Relay) opened(peer string) {
	if opened := r.opening[peer]; opened != nil {
		close(opened)
		delete(r.opening, peer)
	}
}

// Sweep closes the links that have been idle.
func (r *Relay) Sweep() {
	for _, peer := range r.idle() {
		r.links.Hangup(peer)
	}
}

func (r *Relay) idle() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	busy := make(map[string]bool)
	for key := range r.waiting {
		busy[key.peer] = true
	}
	for key := range r.running {
		busy[key.peer] = true
	}
	var idle []string
	for peer, at := range r.used {
		if r.clock.Now()-at > idleTime && !busy[peer] {
			idle = append(idle, peer)
			delete(r.used, peer)
		}
	}
	return idle
}
