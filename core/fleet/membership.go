package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// Membership is the membership state machine of one daemon. It is not safe for
// concurrent use.
type Membership struct {
	self    Member
	random  *rand.Rand
	journal Journal

	table           memberTable
	store           recordStore
	settingsVersion SettingsVersion
	listedVMs       map[ID]VM

	links              map[ID]*link
	indirectProbes     map[ID]*indirectProbe
	suspicionDeadlines map[ID]clock.Millis // for suspect and disputed members
	pendingChanges     map[ID]pendingChange
	viewChanged        bool // the next flush returns a MembersChanged action
	neighboursStale    bool // ring membership changed since updateNeighbours

	lastTick      clock.Millis // zero before the first tick
	nextReconnect clock.Millis
	nextSeed      clock.Millis
	nextSweep     clock.Millis

	ackReceived       bool
	firstAckAt        clock.Millis
	untrustedUntil    clock.Millis
	untrustedSequence uint64 // sequence of the last ping before the end of the last pause
	pingSequence      uint64 // sequence of the last ping
}

// New returns the membership of a daemon that starts, with self as its record. The
// journal may be nil.
func New(self Member, random *rand.Rand, j Journal) *Membership {
	m := &Membership{
		self: self, random: random, journal: j,
		listedVMs: make(map[ID]VM), links: make(map[ID]*link), indirectProbes: make(map[ID]*indirectProbe),
		suspicionDeadlines: make(map[ID]clock.Millis), pendingChanges: make(map[ID]pendingChange),
	}
	m.table.put(0, self)
	return m
}

// Self returns the daemon's own record.
func (m *Membership) Self() Member { return m.self }

// Members returns the records of all known members ordered by id, including dead
// ones and those that left.
func (m *Membership) Members() []Member { return m.table.members() }

// Member returns the record of the member id, and false if it is unknown.
func (m *Membership) Member(id ID) (Member, bool) {
	e := m.table.entries[id]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// AliveCount returns the number of members that are alive, including the daemon
// itself.
func (m *Membership) AliveCount() int { return m.table.alive }

// Links returns the peers with an open link, ordered by id.
func (m *Membership) Links() []ID {
	var up []ID
	for _, id := range m.sortedLinkIDs() {
		if m.links[id].up {
			up = append(up, id)
		}
	}
	return up
}

// Summary returns the digests, settings version and load that the daemon sends in
// hello, ping and ack messages.
func (m *Membership) Summary() Summary {
	return NewSummary(m.table.digest(), m.store.digest(), m.settingsVersion, m.self.load)
}

// FirstAck returns the instant of the first ack from a peer, and false before it.
func (m *Membership) FirstAck() (clock.Millis, bool) { return m.firstAckAt, m.ackReceived }

// Trustworthy reports whether the member view may be acted on. After a pause of the
// process the view may be out of date, until a peer acknowledges a ping sent after
// the pause or pauseThreshold passes without an ack.
func (m *Membership) Trustworthy(now clock.Millis) bool {
	return now >= m.untrustedUntil && !m.pauseDetected(now)
}

// SetSettingsVersion sets the version of the settings document in force, which later
// summaries carry.
func (m *Membership) SetSettingsVersion(s SettingsVersion) { m.settingsVersion = s }

// SetLoad sets the daemon's load, in a unit common to all daemons. Later summaries
// carry it.
func (m *Membership) SetLoad(load float64) {
	m.self.load = load
	if e := m.table.entries[m.self.id]; e != nil {
		e.load = load
	}
}

// Ready announces that the daemon serves callers. It has no effect unless the daemon
// is joining.
func (m *Membership) Ready(now clock.Millis) []Action { return m.announce(now, Joining, Alive) }

// Leave announces that the daemon is leaving. The daemon stays a member and serves
// callers until Left is called.
func (m *Membership) Leave(now clock.Millis) []Action {
	return append(m.announce(now, Joining, Leaving), m.announce(now, Alive, Leaving)...)
}

// Left announces that the daemon has left. The adapter sends the returned messages
// before it closes the links.
func (m *Membership) Left(now clock.Millis) []Action {
	if m.self.state == Left {
		return nil
	}
	return m.announce(now, m.self.state, Left)
}

// announce changes the daemon's own state and floods it at once, if the daemon is in
// state from.
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

// Seed replaces the platform's list of entry VMs. The list lags behind the fleet, so
// a listed VM becomes a member only when it answers a dial, and the list never
// removes a member. Seed returns no actions; the next Tick dials.
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

// Tick sends the heartbeats, evaluates the timers, dials and closes links, and
// floods pending changes. It must be called at least every TickInterval.
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

// pauseDetected reports whether the time since the last tick is longer than a
// scheduling delay explains, which means that the process was paused.
func (m *Membership) pauseDetected(now clock.Millis) bool {
	return m.lastTick != 0 && now-m.lastTick > pauseThreshold
}

// handlePause runs before any other input is handled. Acks and refutations that seem
// overdue after a pause were missed by this daemon, so its timers restart and no
// peer is suspected.
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
	m.recordEvent(now, m.self.id, fmt.Sprintf("process paused for %.0f ms", float64(gap)))
	if !m.self.state.gone() {
		m.setSelf(now, m.self.incarnation+1, m.self.state, "resumed after a pause")
	}
}

// observeAck records an ack for the ping with the given sequence. An ack for a ping
// that was sent after a pause makes the view trustworthy again.
func (m *Membership) observeAck(now clock.Millis, sequence uint64) {
	if !m.ackReceived {
		m.ackReceived, m.firstAckAt = true, now
	}
	if sequence > m.untrustedSequence && m.untrustedUntil > now {
		m.untrustedUntil = now
	}
}

// sweep removes expired records and members that have been gone for goneRetention.
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

// tickSeeds dials listed VMs while the daemon has no open link.
func (m *Membership) tickSeeds(now clock.Millis, actions []Action) []Action {
	if now < m.nextSeed || m.openLinkCount() > 0 {
		return actions
	}
	m.nextSeed = now + clock.Second + clock.Millis(m.random.Float64())*clock.Second
	candidates := make([]ID, 0, len(m.listedVMs))
	for id := range m.listedVMs {
		candidates = append(candidates, id)
	}
	slices.Sort(candidates)
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, id := range candidates[:min(seedBatch, len(candidates))] {
		actions = m.dial(now, id, now+temporaryLinkLifetime, actions)
	}
	return actions
}

// tickReconnects dials dead members and listed VMs that have not answered yet. Only
// daemons that would be their predecessors dial them, so the number of dials that
// such an address receives does not depend on the size of the fleet.
func (m *Membership) tickReconnects(now clock.Millis, actions []Action) []Action {
	if now < m.nextReconnect {
		return actions
	}
	first := m.nextReconnect == 0
	m.nextReconnect = now + reconnectInterval*clock.Millis(1-intervalJitter+2*intervalJitter*m.random.Float64())
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
	m.random.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
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
