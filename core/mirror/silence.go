package mirror

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// minSilence is the least time without a write of an ephemeral key after which its writer
	// counts as silent. After a restore of the store live writers write again at once, whatever
	// their interval.
	minSilence             = 3 * clock.Second
	minSilenceAfterRestore = 2 * clock.Second
	// silenceFactor of the time within which half of the writers have written bounds their
	// interval, if they write at all instants alike.
	silenceFactor = 2
	// writtenFraction of the keys are most of them. With fewer the store, or a data centre, is at
	// fault rather than single writers.
	writtenFraction = 0.75
	// maxWithdrawal is the time after which a key that the store still has is in effect again.
	maxWithdrawal = clock.Minute
	// maxApplyGap is the time between two replies with changes from which the store, or this
	// daemon, may have stood still.
	maxApplyGap = 2 * clock.Second
	// maxSilenceCheck is the time after which a check without a result ends.
	maxSilenceCheck = 10 * clock.Second
)

// silenceCheck watches which of the ephemeral keys that a daemon finds at its start, or after a
// restore of the store, are written again. The entry of a replica that has left may be back with the
// copy. A daemon that has learned of the leaving knows that; the others find it by the silence, before
// the store does. The zero value watches none.
type silenceCheck struct {
	since  clock.Millis
	least  clock.Millis // without a write
	factor clock.Millis // of the time that half of the writers took, or 0
	total  int
	silent map[string]bool // not written since then
	halfAt clock.Millis    // when half of the keys had been written, or 0
	// appliedAt is when changes were last applied.
	appliedAt clock.Millis
}

// start begins the check with the keys of a listing, the least time without a write, and the
// factor of the time that half of the writers take.
func (c *silenceCheck) start(now, least, factor clock.Millis, m *Mirror, items []Item) {
	*c = silenceCheck{since: now, least: least, factor: factor, appliedAt: now, silent: make(map[string]bool)}
	for _, item := range items {
		if m.kind(item.key) == Ephemeral {
			c.silent[item.key] = true
		}
	}
	c.total = len(c.silent)
}

// recordReply records that changes were applied.
func (c *silenceCheck) recordReply(now clock.Millis) {
	if now > c.appliedAt+maxApplyGap || now > c.since+maxSilenceCheck {
		*c = silenceCheck{}
	}
	c.appliedAt = now
}

// recordWrite records that a key was written or removed.
func (c *silenceCheck) recordWrite(now clock.Millis, key string) {
	if !c.silent[key] {
		return
	}
	delete(c.silent, key)
	if c.halfAt == 0 && 2*len(c.silent) <= c.total {
		c.halfAt = now
	}
}

// recordListing begins the check with the first listing, and records what a later one shows.
func (m *Mirror) recordListing(now clock.Millis, items []Item) {
	if !m.complete {
		m.silence.start(now, minSilence, silenceFactor, m, items)
		return
	}
	m.silence.recordReply(now)
	for _, item := range items {
		if m.revision.Before(item.revision) {
			m.silence.recordWrite(now, item.key)
		}
	}
}

// due reports whether the keys that are left count as silent. What was written since the last
// changes were applied is not known.
func (c *silenceCheck) due() bool {
	most := float64(len(c.silent)) <= (1-writtenFraction)*float64(c.total)
	return len(c.silent) > 0 && most && c.appliedAt >= c.since+max(c.least, c.factor*(c.halfAt-c.since))
}

// WithdrawSilent takes the keys of silent writers out of effect until they are written, and returns
// the removals.
func (m *Mirror) WithdrawSilent(now clock.Millis) []Item {
	if !m.silence.due() || (m.storeFailedAt > 0 && now < m.storeFailedAt+lapseGracePeriod) {
		return nil
	}
	var changes []Item
	for key := range m.silence.silent {
		stored, inEffect := m.items[key]
		if d, isDeferred := m.deferred[key]; isDeferred {
			stored = d.change
		}
		if inEffect && !stored.removed {
			m.postpone(deferredChange{change: stored, until: now + maxWithdrawal})
			delete(m.items, key)
			changes = append(changes, NewRemoval(key, m.revision))
		}
	}
	m.silence = silenceCheck{}
	return changes
}
