package fleet

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/clock"
)

// memberRowsPerMessage keeps a message of member rows near 64 KiB, far below
// MaxMessageBytes. It also bounds the probe requesters of a link.
const memberRowsPerMessage = 512

// pendingChange is a changed member record to be flooded at the next flush. It is
// not sent back to its source.
type pendingChange struct{ source ID }

// Receive handles a message from an authenticated peer. Messages of other packages
// are ignored.
func (m *Membership) Receive(now clock.Millis, from ID, message Message) []Action {
	m.handlePause(now)
	if l := m.links[from]; l != nil {
		l.lastMessageAt = now
	}
	switch v := message.(type) {
	case Hello:
		return m.receiveHello(now, from, v)
	case Ping:
		actions := []Action{m.send(from, NewAck(v.sequence, m.Summary()))}
		return m.compareSummary(from, v.summary, false, actions)
	case Ack:
		return m.receiveAck(now, from, v)
	case Probe:
		return m.receiveProbe(now, from, v.target)
	case ProbeResult:
		m.observeReachable(v.target)
		return nil
	case Members:
		for _, row := range v.members {
			m.mergeMember(now, from, row, false)
		}
		return nil
	case TableDigests:
		return m.sendMemberRows(from, differingBuckets(&v.digests, &m.table.bucketDigests))
	case TableRows:
		return m.receiveTableRows(now, from, v)
	case Records:
		return m.receiveRecords(now, from, v.records)
	case RecordDigests:
		return m.sendRecordRows(now, from, differingBuckets(&v.digests, &m.store.bucketDigests))
	case RecordRows:
		return m.receiveRecordRows(now, from, v)
	default:
		return nil
	}
}

// receiveHello ignores a hello whose own record does not name the peer.
func (m *Membership) receiveHello(now clock.Millis, from ID, hello Hello) []Action {
	if hello.self.id != from {
		return nil
	}
	m.mergeMember(now, from, hello.self, false)
	if hello.peer.id == m.self.id {
		m.mergeMember(now, from, hello.peer, true)
	}
	// A peer that is dead in this view receives that record with this daemon's
	// hello and refutes it; the peer stays dead here until the refutation arrives.
	m.observeReachable(from)
	return m.compareSummary(from, hello.summary, m.self.id < from, nil)
}

func (m *Membership) receiveAck(now clock.Millis, from ID, ack Ack) []Action {
	m.observeAck(now, ack.sequence)
	m.observeReachable(from)
	l := m.links[from]
	if l == nil {
		return nil
	}
	l.unackedSince = 0
	var actions []Action
	for _, waiting := range l.probeRequesters {
		actions = append(actions, m.send(waiting, NewProbeResult(from)))
	}
	l.probeRequesters = nil
	return m.compareSummary(from, ack.summary, false, actions)
}

// receiveProbe pings target if the link to it is up. The probe result follows when
// target acknowledges; an unreachable target gives no result.
func (m *Membership) receiveProbe(now clock.Millis, from, target ID) []Action {
	if target == m.self.id {
		return []Action{m.send(from, NewProbeResult(target))}
	}
	l := m.links[target]
	if l == nil || !l.up {
		return nil
	}
	if len(l.probeRequesters) < memberRowsPerMessage {
		l.probeRequesters = append(l.probeRequesters, from)
	}
	return []Action{m.ping(now, target, l)}
}

// compareSummary takes the peer's load and settings version, and starts a repair if
// the peer's digests differ from the own ones. With immediately set, as for a new
// link, the repair starts at once; otherwise only after several differing summaries,
// since a flood in flight explains a short difference.
func (m *Membership) compareSummary(from ID, summary Summary, immediately bool, actions []Action) []Action {
	if e := m.table.entries[from]; e != nil {
		e.load = summary.load
	}
	actions = append(actions, Action{kind: SettingsReported, peer: from, settingsVersion: summary.settingsVersion})
	l := m.links[from]
	if l == nil || !l.up {
		return actions
	}
	tableDiffers := summary.tableDigest != m.table.digest()
	recordsDiffer := summary.recordsDigest != m.store.digest()
	if !tableDiffers && !recordsDiffer {
		l.differingSummaries = 0
		return actions
	}
	l.differingSummaries++
	// A ping and an ack of the peer arrive in each ping interval, both with a
	// summary.
	if !immediately && l.differingSummaries < 2*repairAfterPings {
		return actions
	}
	l.differingSummaries = 0
	if tableDiffers {
		actions = append(actions, m.send(from, NewTableDigests(m.table.bucketDigests)))
	}
	if recordsDiffer {
		actions = append(actions, m.send(from, NewRecordDigests(m.store.bucketDigests)))
	}
	return actions
}

// sendMemberRows sends the records of the buckets in mask, whole buckets per
// message.
func (m *Membership) sendMemberRows(to ID, mask uint64) []Action {
	var actions []Action
	var rows []Member
	var complete uint64
	appendMessage := func() {
		if complete != 0 {
			actions = append(actions, m.send(to, NewTableRows(complete, rows)))
		}
		rows, complete = nil, 0
	}
	for bucket, members := range m.table.inBuckets(mask) {
		if mask&(1<<bucket) == 0 {
			continue
		}
		if len(rows)+len(members) > memberRowsPerMessage {
			appendMessage()
		}
		rows = append(rows, members...)
		complete |= 1 << bucket
	}
	appendMessage()
	return actions
}

// receiveTableRows merges the rows and answers with the records that the sender
// lacks in the buckets that the message holds completely.
func (m *Membership) receiveTableRows(now clock.Millis, from ID, message TableRows) []Action {
	theirs := make(map[ID]Member, len(message.rows))
	for _, row := range message.rows {
		theirs[row.id] = row
	}
	var answer []Member
	if message.completeBuckets != 0 {
		for _, rows := range m.table.inBuckets(message.completeBuckets) {
			for _, own := range rows {
				row, known := theirs[own.id]
				if (known && own.supersedes(row)) || (!known && !own.state.gone()) {
					answer = append(answer, own)
				}
			}
		}
	}
	source := from
	if m.self.state == Joining {
		// A joining daemon copies the whole table. Its other links carry their own
		// repairs, so flooding the copy would send the records twice.
		source = m.self.id
	}
	for _, row := range message.rows {
		m.mergeMember(now, source, row, true)
	}
	var actions []Action
	for len(answer) > 0 {
		n := min(memberRowsPerMessage, len(answer))
		actions = append(actions, m.send(from, NewTableRows(0, answer[:n])))
		answer = answer[n:]
	}
	return actions
}

// mergeMember takes over a member record from a peer if it supersedes the known one.
// Rows of a repair may be out of date, so a dead row of a repair makes an alive or
// joining member disputed and any other one suspect, but never dead.
func (m *Membership) mergeMember(now clock.Millis, from ID, row Member, repair bool) {
	if row.id == m.self.id {
		m.refute(now, row)
		return
	}
	e := m.table.entries[row.id]
	if e == nil {
		if !row.state.gone() && len(m.table.entries) < maxMembers {
			m.setMember(now, row, from, "first record received")
		}
		return
	}
	if repair && row.state == Dead && !e.state.gone() {
		row.state = Suspect
		if e.Alive() || e.state == Joining {
			row.state = Disputed
		}
	}
	if row.supersedes(e.Member) {
		m.setMember(now, row, from, "received from a peer")
	}
}

// refute raises the daemon's own incarnation if a peer holds a record that
// supersedes the daemon's own one.
func (m *Membership) refute(now clock.Millis, row Member) {
	if m.self.state == Left || !row.supersedes(m.self) {
		return
	}
	m.setSelf(now, row.incarnation+1, m.self.state, fmt.Sprintf("refuted %s", row.state))
}

// setMember stores a record, schedules its flood, and starts or stops the member's
// suspicion timeout. The record of another member is not flooded if from is the
// daemon itself.
func (m *Membership) setMember(now clock.Millis, row Member, from ID, cause string) {
	old := m.table.put(now, row)
	if from != m.self.id || row.id == m.self.id {
		m.pendingChanges[row.id] = pendingChange{source: from}
	}
	m.viewChanged = true
	if old == 0 || old.gone() != row.state.gone() {
		m.neighboursStale = true
	}
	delete(m.suspicionDeadlines, row.id)
	if row.state == Suspect || row.state == Disputed {
		m.suspicionDeadlines[row.id] = now + suspicionTimeout
	}
	if old != row.state || row.id == m.self.id {
		m.recordEvent(now, row.id, fmt.Sprintf("%s, incarnation %d: %s", row.state, row.incarnation, cause))
	}
}

// flush floods the pending changes over the open links in batches.
func (m *Membership) flush(actions []Action) []Action {
	if m.viewChanged {
		m.viewChanged = false
		actions = append(actions, Action{kind: MembersChanged})
	}
	if len(m.pendingChanges) == 0 {
		return actions
	}
	ids := sortedIDs(m.pendingChanges)
	for _, peer := range m.sortedLinkIDs() {
		if !m.links[peer].up {
			continue
		}
		var batch []Member
		for _, id := range ids {
			e := m.table.entries[id]
			if e == nil || m.pendingChanges[id].source == peer {
				continue
			}
			batch = append(batch, e.Member)
			if len(batch) == memberRowsPerMessage {
				actions = append(actions, m.send(peer, NewMembers(batch)))
				batch = nil
			}
		}
		if len(batch) > 0 {
			actions = append(actions, m.send(peer, NewMembers(batch)))
		}
	}
	clear(m.pendingChanges)
	return actions
}
