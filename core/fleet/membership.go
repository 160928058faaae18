package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// Membership is the state machine of one daemon. It is not safe for
// concurrent use.
type Membership struct {
	self    Member
	rng     *rand.Rand
	journal Journal

	table           memberTable
	store           recordStore
	settingsVersion SettingsVersion
	listedVMs       map[ID]VM

	links              map[ID]*link
	indirectProbes     map[ID]*indirectProbe
	suspicionDeadlines map[ID]clock.Millis
	pendingChanges     map[ID]pendingChange
	viewChanged        bool
	neighboursStale    bool

	lastTick      clock.Millis
	nextReconnect clock.Millis
	nextSeed      clock.Millis
	nextSweep     clock.Millis

	ackReceived       bool
	firstAckAt        clock.Millis
	untrustedUntil    clock.Millis
	untrustedSequence uint64
	pingSequence      uint64
}

// New returns the membership of a daemon that starts, with self as its record.
// The journal may be nil.
func New(self Member, rng *rand.Rand, j Journal) *Membership {
	m := &Membership{
		self: self, rng: rng, journal: j,
		listedVMs: make(map[ID]VM), links: make(map[ID]*link), indirectProbes: make(map[ID]*indirectProbe),
		suspicionDeadlines: make(map[ID]clock.Millis), pendingChanges: make(map[ID]pendingChange),
	}
	m.table.put(0, self)
	return m
}

// Self returns the daemon's own record.
func (m *Membership) Self() Member { return m.self }

// Members returns all known members, gone ones included, ordered by id.
func (m *Membership) Members() []Member { return m.table.members() }

// Member returns the record of id.
func (m *Membership) Member(id ID) (Member, bool) {
	e := m.table.entries[id]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// AliveCount returns the number of members that serve callers, with the
// daemon itself.
func (m *Membership) AliveCount() int { return m.table.alive }

// Links returns the peers with an open link, in order.
func (m *Membership) Links() []ID {
	var up []ID
	for _, id := range m.sortedLinkIDs() {
		if m.links[id].up {
			up = append(up, id)
		}
	}
	return up
}

// Summary summarises what the daemon holds, as its pings do.
func (m *Membership) Summary() Summary {
	return NewSummary(m.table.digest(), m.store.digest(), m.settingsVersion, m.self.load)
}

// FirstAck returns the instant of the first exchange with a peer.
func (m *Membership) FirstAck() (clock.Millis, bool) { return m.firstAckAt, m.ackReceived }

// Trustworthy reports whether the daemon's view may be acted on. After a gap
// between its own ticks it may not, until one exchange with a peer or a short
// time without any.
func (m *Membership) Trustworthy(now clock.Millis) bool {
	return now >= m.untrustedUntil && !m.pauseDetected(now)
}

// SetSettingsVersion says which settings document is in force; pings carry it.
func (m *Membership) SetSettingsVersion(s SettingsVersion) { m.settingsVersion = s }

// SetLoad sets the daemon's load figure; pings carry it.
func (m *Membership) SetLoad(load float64) {
	m.self.load = load
	if e := m.table.entries[m.self.id]; e != nil {
		e.load = load
	}
}

// Ready announces that the daemon serves callers.
func (m *Membership) Ready(now clock.Millis) []Action { return m.announce(now, Joining, Alive) }

// Leave announces that the daemon leaves. It stays a member and serves until
// Left is called.
func (m *Membership) Leave(now clock.Millis) []Action {
	return append(m.announce(now, Joining, Leaving), m.announce(now, Alive, Leaving)...)
}

// Left announces that the daemon has left. The adapter sends the returned
// messages before it closes the links.
func (m *Membership) Left(now clock.Millis) []Action {
	if m.self.state == Left {
		return nil
	}
	return m.announce(now, m.self.state, Left)
}

func (m *Membership) announce(now clock.Millis, from, to State) []Action {
	if m.self.state != from {
		return nil
	}
	m.setSelf(now, m.self.incarnation, to, "announced")
	return m.flush(nil)
}

func (m *Membership) setSelf(now clock.Millis, incarnation uint64, state State, cause string) {
	m.self.incarnation = incarnation
	m.self.state = state
	m.setMember(now, m.self, "", cause)
}

// Seed takes the platform's list of entry VMs. Listed VMs are dialled until
// they answer; only then do they become members, since the list lags. The list
// never removes a member.
func (m *Membership) Seed(now clock.Millis, vms []VM) []Action {
	clear(m.listedVMs)
	for _, vm := range vms {
		if vm.id != m.self.id && len(m.listedVMs) < maxMembers {
			m.listedVMs[vm.id] = vm
		}
	}
	m.nextSeed = now
	return nil
}

// Tick advances the machine. It is called at least every TickInterval.
func (m *Membership) Tick(now clock.Millis) []Action {
	m.handlePause(now)
	m.lastTick = now
	var actions []Action
	actions = m.tickLinks(now, actions)
	actions = m.tickIndirectProbes(now, actions)
	m.tickSuspects(now)
	actions = m.tickSeeds(now, actions)
	actions = m.tickReconnects(now, actions)
	m.sweep(now)
	actions = m.reconcile(now, actions)
	return m.flush(actions)
}

// pauseDetected reports whether the process stood still: no tick came for longer
// than any scheduling delay explains.
func (m *Membership) pauseDetected(now clock.Millis) bool {
	return m.lastTick != 0 && now-m.lastTick > pauseThreshold
}

// handlePause handles a pause before anything else is decided. What looks overdue
// after a pause is the daemon's own fault, so no peer is blamed for it.
func (m *Membership) handlePause(now clock.Millis) {
	if !m.pauseDetected(now) {
		return
	}
	gap := now - m.lastTick
	m.lastTick = now
	m.untrustedUntil = now + pauseThreshold
	m.untrustedSequence = m.pingSequence
	clear(m.indirectProbes)
	for id := range m.suspicionDeadlines {
		m.suspicionDeadlines[id] += gap
	}
	for _, l := range m.links {
		l.unackedSince = now
		l.nextPing = now
	}
	m.recordEvent(now, m.self.id, fmt.Sprintf("paused for %.0f ms", float64(gap)))
	if !m.self.state.gone() {
		m.setSelf(now, m.self.incarnation+1, m.self.state, "resumed after a pause")
	}
}

// observeAck notes an exchange with a peer.
func (m *Membership) observeAck(now clock.Millis, sequence uint64) {
	if !m.ackReceived {
		m.ackReceived, m.firstAckAt = true, now
	}
	if sequence > m.untrustedSequence && m.untrustedUntil > now {
		m.untrustedUntil = now
	}
}

// sweep drops what has expired: gone members and records.
func (m *Membership) sweep(now clock.Millis) {
	if now < m.nextSweep {
		return
	}
	m.nextSweep = now + sweepInterval
	m.store.expire(now)
	for id, e := range m.table.entries {
		if e.state.gone() && id != m.self.id && now-e.changedAt > goneRetention {
			m.table.remove(id)
			m.viewChanged = true
		}
	}
}

func (m *Membership) tickSeeds(now clock.Millis, actions []Action) []Action {
	if now < m.nextSeed || m.openLinkCount() > 0 {
		return actions
	}
	m.nextSeed = now + clock.Second + clock.Millis(m.rng.Float64())*clock.Second
	candidates := make([]ID, 0, len(m.listedVMs))
	for id := range m.listedVMs {
		candidates = append(candidates, id)
	}
	slices.Sort(candidates)
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, id := range candidates[:min(seedBatch, len(candidates))] {
		actions = m.dial(now, id, now+temporaryLinkLifetime, actions)
	}
	return actions
}

// tickReconnects dials dead members and listed VMs that never answered. Only the
// daemons that would be their neighbours do so, which bounds the dials that
// such an address receives whatever the size of the fleet.
func (m *Membership) tickReconnects(now clock.Millis, actions []Action) []Action {
	if now < m.nextReconnect {
		return actions
	}
	first := m.nextReconnect == 0
	m.nextReconnect = now + reconnectInterval*clock.Millis(0.5+m.rng.Float64())
	if first {
		return actions
	}
	var absent []ID
	for id, e := range m.table.entries {
		if e.state == Dead && m.table.isPredecessor(m.self.id, id) {
			absent = append(absent, id)
		}
	}
	for id := range m.listedVMs {
		if m.table.entries[id] == nil && m.table.isPredecessor(m.self.id, id) {
			absent = append(absent, id)
		}
	}
	slices.Sort(absent)
	m.rng.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	for _, id := range absent[:min(reconnectBatch, len(absent))] {
		actions = m.dial(now, id, now+temporaryLinkLifetime, actions)
	}
	return actions
}

func (m *Membership) recordEvent(now clock.Millis, id ID, cause string) {
	if m.journal != nil {
		m.journal.Add(now, journal.Membership, string(id), cause)
	}
}
