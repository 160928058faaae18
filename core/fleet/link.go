package fleet

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
)

// link is the state of the link to a peer, or of the attempts to open one.
type link struct {
	up               bool
	dialling         bool
	neighbour        bool
	indirectlyProbed bool

	dialledAt clock.Millis
	nextDial  clock.Millis
	failures  int
	keepUntil clock.Millis

	nextPing           clock.Millis
	unackedSince       clock.Millis // instant of the first ping without an ack, zero if none
	lastHeard          clock.Millis
	differingSummaries int

	queuedProbes    []ID // targets to be probed through this peer
	probeRequesters []ID // daemons that wait for this peer's next ack
}

func (m *Membership) ensureLink(id ID) *link {
	l := m.links[id]
	if l == nil {
		l = &link{}
		m.links[id] = l
	}
	return l
}

func (m *Membership) sortedLinkIDs() []ID {
	order := make([]ID, 0, len(m.links))
	for id := range m.links {
		order = append(order, id)
	}
	slices.Sort(order)
	return order
}

func (m *Membership) openLinkCount() int {
	n := 0
	for _, l := range m.links {
		if l.up {
			n++
		}
	}
	return n
}

// LinkUp says that a link to peer is open and authenticated.
func (m *Membership) LinkUp(now clock.Millis, peer ID) []Action {
	m.handlePause(now)
	l := m.ensureLink(peer)
	l.up, l.dialling, l.indirectlyProbed = true, false, false
	l.failures, l.differingSummaries = 0, 0
	l.unackedSince, l.lastHeard = 0, now
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

// LinkDown says that the link to peer broke or that a dial failed.
func (m *Membership) LinkDown(now clock.Millis, peer ID) []Action {
	m.handlePause(now)
	l := m.links[peer]
	if l == nil {
		return nil
	}
	l.up, l.dialling, l.unackedSince = false, false, 0
	l.failures++
	backoff := min(maxDialBackoff, dialBackoff*clock.Millis(uint(1)<<min(l.failures-1, 8)))
	l.nextDial = now + backoff*clock.Millis(0.5+m.rng.Float64())
	if l.failures == 1 {
		l.nextDial = now
	}
	var actions []Action
	if l.neighbour && !l.indirectlyProbed {
		actions = m.startIndirectProbe(now, peer, actions)
	}
	return actions
}

// reconcile dials the neighbours that should have a link and hangs up links
// that neither side needs.
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
			actions = append(actions, Action{kind: Hangup, peer: id})
			actions = append(actions, m.LinkDown(now, id)...)
		case !l.neighbour && l.up && now > l.keepUntil:
			actions = append(actions, Action{kind: Hangup, peer: id})
			delete(m.links, id)
		case !l.neighbour && !l.up && !l.dialling && now > l.keepUntil:
			delete(m.links, id)
		}
	}
	return actions
}

// updateNeighbours marks the links that the rings ask for. The member before
// dials the member after; where both follow each other, the higher id waits
// for a second so that the two dials do not cross.
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

// addNeighbour marks a link as wanted. The side that is dialled also dials in the end,
// because the other side may not know it yet.
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

// tickLinks sends the heartbeats and notices missing acks.
func (m *Membership) tickLinks(now clock.Millis, actions []Action) []Action {
	for _, id := range m.sortedLinkIDs() {
		l := m.links[id]
		if !l.up {
			continue
		}
		if l.unackedSince != 0 && now-l.unackedSince >= ackTimeout {
			actions = append(actions, Action{kind: Hangup, peer: id})
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
	l.nextPing = max(l.nextPing+pingInterval, now+pingInterval/2)
	if l.unackedSince == 0 {
		l.unackedSince = now
	}
	return m.send(id, NewPing(m.pingSequence, m.Summary()))
}

func (m *Membership) send(to ID, message Message) Action {
	return Action{kind: Send, peer: to, message: message}
}

// indirectProbe is the indirect check of a member whose own link failed.
type indirectProbe struct {
	incarnation uint64
	deadline    clock.Millis
}

// startIndirectProbe asks the target's other neighbours whether it answers them.
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

func (m *Membership) tickIndirectProbes(now clock.Millis, actions []Action) []Action {
	for _, target := range sortedIDs(m.indirectProbes) {
		c := m.indirectProbes[target]
		if now < c.deadline {
			continue
		}
		delete(m.indirectProbes, target)
		e := m.table.entries[target]
		if e != nil && e.incarnation == c.incarnation && !e.state.gone() {
			m.setMember(now, e.WithState(Suspect), "", "no answer, also not to its neighbours")
		}
	}
	return actions
}

// observeReachable ends the check of a member that was found to answer. Its broken link
// is checked again at the next failure.
func (m *Membership) observeReachable(target ID) {
	delete(m.indirectProbes, target)
	if l := m.links[target]; l != nil {
		l.indirectlyProbed = false
	}
}

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
			m.setMember(now, e.WithState(Dead), "", "suspicion was not refuted")
		case e.state == Disputed:
			m.setMember(now, e.WithState(Suspect), "", "dispute was not settled")
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
