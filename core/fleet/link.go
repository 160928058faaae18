package fleet

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// link is the state of the link to a peer, including the attempts to open it.
type link struct {
	up               bool
	dialling         bool
	neighbour        bool // the peer is next to this daemon on a ring
	indirectlyProbed bool // an indirect probe was started for the current failure

	dialledAt clock.Millis
	nextDial  clock.Millis
	failures  int          // broken links and failed dials since the link was last up
	keepUntil clock.Millis // end of the lifetime of a link to a peer that is not a neighbour

	nextPing           clock.Millis
	unackedSince       clock.Millis // instant of the first ping without an ack, zero if none
	lastMessageAt      clock.Millis // instant of the last message of the peer
	differingSummaries int          // consecutive summaries of the peer that differed from the own one

	queuedProbes    []ID // targets of probes to send when the link is up
	probeRequesters []ID // daemons that receive a probe result at the peer's next ack
}

// ensureLink returns the state of the link to id and creates it if necessary.
func (m *Membership) ensureLink(id ID) *link {
	l := m.links[id]
	if l == nil {
		l = &link{}
		m.links[id] = l
	}
	return l
}

func (m *Membership) sortedLinkIDs() []ID {
	ids := make([]ID, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Membership) openLinkCount() int {
	count := 0
	for _, l := range m.links {
		if l.up {
			count++
		}
	}
	return count
}

// LinkUp reports that a link to peer is open and authenticated, whichever side
// dialled it.
func (m *Membership) LinkUp(now clock.Millis, peer ID) []Action {
	m.handlePause(now)
	l := m.ensureLink(peer)
	l.up, l.dialling, l.indirectlyProbed = true, false, false
	l.failures, l.differingSummaries = 0, 0
	l.unackedSince, l.lastMessageAt = 0, now
	l.nextPing = now
	l.keepUntil = max(l.keepUntil, now+temporaryLinkLifetime)
	known, _ := m.Member(peer)
	actions := []Action{m.send(peer, NewHello(m.self, known, m.Summary()))}
	for _, target := range l.queuedProbes {
		actions = append(actions, m.send(peer, NewProbe(target)))
	}
	l.queuedProbes = nil
	return actions
}

// LinkDown reports that the link to peer broke or that a dial failed. The first
// failure is followed by a dial at once, later ones by a dial after an exponential
// backoff. A broken link to a neighbour starts an indirect probe.
func (m *Membership) LinkDown(now clock.Millis, peer ID) []Action {
	m.handlePause(now)
	l := m.links[peer]
	if l == nil {
		return nil
	}
	l.up, l.dialling, l.unackedSince = false, false, 0
	l.failures++
	backoff := min(maxDialBackoff, dialBackoff*clock.Millis(uint(1)<<min(l.failures-1, maxDialDoublings)))
	l.nextDial = now + backoff*clock.Millis(1-intervalJitter+2*intervalJitter*m.random.Float64())
	if l.failures == 1 {
		l.nextDial = now
	}
	var actions []Action
	if l.neighbour && !l.indirectlyProbed {
		actions = m.startIndirectProbe(now, peer, actions)
	}
	return actions
}

// reconcile dials the neighbours without a link, abandons dials that timed out, and
// closes links to other daemons at the end of their lifetime.
func (m *Membership) reconcile(now clock.Millis, actions []Action) []Action {
	if m.self.state == Left {
		return actions
	}
	if m.neighboursStale {
		m.neighboursStale = false
		m.updateNeighbours(now)
	}
	for _, id := range m.sortedLinkIDs() {
		l := m.links[id]
		switch {
		case l.neighbour && !l.up && !l.dialling && now >= l.nextDial:
			actions = m.dial(now, id, 0, actions)
		case l.dialling && now-l.dialledAt > dialTimeout:
			actions = append(actions, Action{kind: Disconnect, peer: id})
			actions = append(actions, m.LinkDown(now, id)...)
		case !l.neighbour && l.up && now > l.keepUntil:
			actions = append(actions, Action{kind: Disconnect, peer: id})
			delete(m.links, id)
		case !l.neighbour && !l.up && !l.dialling && now > l.keepUntil:
			delete(m.links, id)
		}
	}
	return actions
}

// updateNeighbours marks the links to the predecessors and successors on the rings.
// The predecessor dials the successor. Where two daemons are both predecessor and
// successor of each other, the one with the higher id waits for a second, so that
// the two dials do not cross.
func (m *Membership) updateNeighbours(now clock.Millis) {
	predecessors, successors := m.table.neighbours(m.self.id)
	for id, l := range m.links {
		if l.neighbour && !slices.Contains(successors, id) && !slices.Contains(predecessors, id) {
			l.neighbour = false
			l.keepUntil = max(l.keepUntil, now+temporaryLinkLifetime)
		}
	}
	for _, id := range successors {
		m.addNeighbour(now, id, slices.Contains(predecessors, id) && id < m.self.id)
	}
	for _, id := range predecessors {
		if !slices.Contains(successors, id) {
			m.addNeighbour(now, id, true)
		}
	}
}

// addNeighbour marks the link to id as one to a neighbour. If peerDials is set, the
// peer is expected to dial; this daemon dials a second later all the same, since the
// peer may not know it yet.
func (m *Membership) addNeighbour(now clock.Millis, id ID, peerDials bool) {
	l := m.ensureLink(id)
	if l.neighbour {
		return
	}
	l.neighbour = true
	l.nextDial = max(l.nextDial, now)
	if peerDials && !l.up {
		l.nextDial = now + clock.Second
	}
}

// dial opens a link to id unless one is open or being dialled, and extends its
// lifetime to keepUntil.
func (m *Membership) dial(now clock.Millis, id ID, keepUntil clock.Millis, actions []Action) []Action {
	l := m.ensureLink(id)
	l.keepUntil = max(l.keepUntil, keepUntil)
	if l.up || l.dialling {
		return actions
	}
	l.dialling = true
	l.dialledAt = now
	return append(actions, Action{kind: Dial, peer: id})
}

// tickLinks sends the pings that are due and closes links whose ack is overdue.
func (m *Membership) tickLinks(now clock.Millis, actions []Action) []Action {
	for _, id := range m.sortedLinkIDs() {
		l := m.links[id]
		if !l.up {
			continue
		}
		if l.unackedSince != 0 && now-l.unackedSince >= ackTimeout {
			actions = append(actions, Action{kind: Disconnect, peer: id})
			actions = append(actions, m.LinkDown(now, id)...)
			continue
		}
		if now >= l.nextPing {
			actions = append(actions, m.ping(now, id, l))
		}
	}
	return actions
}

func (m *Membership) ping(now clock.Millis, id ID, l *link) Action {
	m.pingSequence++
	// After a late tick the next ping is at least half an interval away.
	l.nextPing = max(l.nextPing+pingInterval, now+pingInterval/2)
	if l.unackedSince == 0 {
		l.unackedSince = now
	}
	return m.send(id, NewPing(m.pingSequence, m.Summary()))
}

func (m *Membership) send(to ID, message Message) Action {
	return Action{kind: Send, peer: to, message: message}
}

// indirectProbe is a pending check, by way of its other neighbours, of a member
// whose own link failed. The member becomes suspect at the deadline.
type indirectProbe struct {
	incarnation uint64
	deadline    clock.Millis
}

// startIndirectProbe asks up to maxProbeHelpers neighbours of target to ping it.
func (m *Membership) startIndirectProbe(now clock.Millis, target ID, actions []Action) []Action {
	e := m.table.entries[target]
	if e == nil || e.state.gone() || e.state == Suspect || m.indirectProbes[target] != nil || m.self.state == Left {
		return actions
	}
	m.ensureLink(target).indirectlyProbed = true
	m.indirectProbes[target] = &indirectProbe{incarnation: e.incarnation, deadline: now + probeTimeout}
	predecessors, successors := m.table.neighbours(target)
	helpers := slices.DeleteFunc(append(predecessors, successors...), func(id ID) bool { return id == m.self.id })
	slices.Sort(helpers)
	helpers = slices.Compact(helpers)
	for _, helper := range helpers[:min(maxProbeHelpers, len(helpers))] {
		l := m.ensureLink(helper)
		if l.up {
			actions = append(actions, m.send(helper, NewProbe(target)))
			continue
		}
		l.queuedProbes = append(l.queuedProbes, target)
		actions = m.dial(now, helper, now+temporaryLinkLifetime, actions)
	}
	return actions
}

// tickIndirectProbes suspects the targets that no neighbour has reached by the
// deadline.
func (m *Membership) tickIndirectProbes(now clock.Millis, actions []Action) []Action {
	for _, target := range sortedIDs(m.indirectProbes) {
		probe := m.indirectProbes[target]
		if now < probe.deadline {
			continue
		}
		delete(m.indirectProbes, target)
		e := m.table.entries[target]
		if e != nil && e.incarnation == probe.incarnation && !e.state.gone() {
			m.setMember(now, e.WithState(Suspect), "", "link failed and no neighbour reached it")
		}
	}
	return actions
}

// observeReachable ends the indirect probe of a member that answered this daemon or
// a neighbour. The next failure of its link starts another probe.
func (m *Membership) observeReachable(target ID) {
	delete(m.indirectProbes, target)
	if l := m.links[target]; l != nil {
		l.indirectlyProbed = false
	}
}

// tickSuspects declares suspects dead and disputed members suspect when the
// suspicion timeout has passed without a refutation.
func (m *Membership) tickSuspects(now clock.Millis) {
	for _, id := range sortedIDs(m.suspicionDeadlines) {
		if now < m.suspicionDeadlines[id] {
			continue
		}
		delete(m.suspicionDeadlines, id)
		e := m.table.entries[id]
		switch {
		case e == nil:
		case e.state == Suspect:
			m.setMember(now, e.WithState(Dead), "", "suspicion not refuted in time")
		case e.state == Disputed:
			m.setMember(now, e.WithState(Suspect), "", "dispute not refuted in time")
		}
	}
}

func sortedIDs[V any](from map[ID]V) []ID {
	ids := make([]ID, 0, len(from))
	for id := range from {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
