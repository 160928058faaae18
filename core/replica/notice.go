package replica

import "github.com/lovagegap/lovagegap/core/clock"

// Notices holds what a reply states about the replica itself.
type Notices struct {
	// Leaving means that the replica is about to shut down.
	Leaving bool
	// RetryAfter is the time for which the replica wants no further request of this
	// daemon; 0 for none.
	RetryAfter clock.Millis
}

const (
	// maxHold bounds the time for which a replica can turn this daemon away.
	maxHold = 10 * clock.Minute
	// holdGrace is the time after a reply with RetryAfter in which the replica is
	// still a last resort: it may have turned away one request of many. A request that
	// is sent at its end may arrive later by the time to open a connection.
	holdGrace = 200 * clock.Millisecond
	// peerLeavingLifetime is how long a report of a peer that a replica leaves applies.
	// Peers repeat it while they know of it.
	peerLeavingLifetime = 5 * clock.Second
)

// HandleNotices applies the notices of the reply to an exchange that began at
// startedAt. They apply until the replica is listed with another incarnation.
func (r *Replica) HandleNotices(now, startedAt clock.Millis, notices Notices) {
	switch {
	case notices.Leaving && !r.leaving:
		if !r.entry.Draining() {
			r.drainingSince = now
		}
		r.leaving = true
	case !notices.Leaving && r.leaving && startedAt > r.drainingSince:
		// A leaving replica states it in all replies, so this is another run.
		r.leaving = false
	}
	if notices.RetryAfter > 0 {
		r.hold.extend(now, min(notices.RetryAfter, maxHold))
	}
}

// draining reports whether the replica is about to shut down, by its entry or by its
// own replies.
func (r *Replica) draining() bool { return r.entry.Draining() || r.leaving }

// LastResort reports whether the replica is to be asked only if no other one is left: it
// has stated that it leaves, to this daemon or to a peer, or it is held.
func (r *Replica) LastResort(now clock.Millis) bool {
	return r.leaving || now < r.peerLeavingUntil || r.Held(now)
}

// Held reports whether the replica has asked this daemon to send nothing for a time
// that has not ended.
func (r *Replica) Held(now clock.Millis) bool { return now < r.hold.until }

// hold is the time for which a replica wants no request. Once holdGrace has passed,
// one request may still be sent in that time, if no other replica is usable.
type hold struct {
	since  clock.Millis // the reply that began it
	until  clock.Millis
	probed bool // the request has been sent
}

func (h *hold) extend(now, length clock.Millis) {
	if now >= h.until {
		h.since, h.probed = now, false
	}
	h.until = max(h.until, now+length)
}

// allows reports whether a request may be sent although the replica is held.
func (h *hold) allows(now clock.Millis) bool {
	return now >= h.until || now < h.since+holdGrace || !h.probed
}

// recordSend records that a request is sent.
func (h *hold) recordSend(now clock.Millis) {
	if now >= h.since+holdGrace && now < h.until {
		h.probed = true
	}
}
