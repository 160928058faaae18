package fleet

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

// maxRecordBatchBytes keeps a message of records within 64 KiB, a quarter of the
// size limit of a message.
const maxRecordBatchBytes = 64 << 10

// Publish stores a record of another subsystem and floods it. A record that is
// not newer than the held one is ignored.
func (m *Membership) Publish(now clock.Millis, r Record) []Action {
	m.handlePause(now)
	if !m.store.put(now, r) {
		return nil
	}
	return m.floodRecords(m.self.id, []Record{r}, nil)
}

// Records returns the held records of a kind with their remaining lifetime.
func (m *Membership) Records(now clock.Millis, kind string) []Record {
	var found []Record
	for _, rows := range m.store.inBuckets(now, ^uint64(0)) {
		for _, r := range rows {
			if r.kind == kind {
				found = append(found, r)
			}
		}
	}
	return found
}

// RefusedRecords returns the number of records refused for lack of room.
func (m *Membership) RefusedRecords() int { return m.store.refused }

// receiveRecords stores new records, hands them over and passes them on.
func (m *Membership) receiveRecords(now clock.Millis, from ID, rows []Record) []Action {
	var actions []Action
	var fresh []Record
	for _, r := range rows {
		if r.lifetime < minRecordLifetime || !m.store.put(now, r) {
			continue
		}
		fresh = append(fresh, r)
		actions = append(actions, Action{kind: RecordAccepted, peer: from, record: r})
	}
	return m.floodRecords(from, fresh, actions)
}

func (m *Membership) floodRecords(from ID, rows []Record, actions []Action) []Action {
	if len(rows) == 0 {
		return actions
	}
	for _, peer := range m.sortedLinkIDs() {
		if peer == from || !m.links[peer].up {
			continue
		}
		for _, batch := range recordBatches(rows) {
			actions = append(actions, m.send(peer, NewRecords(batch)))
		}
	}
	return actions
}

// recordBatches splits rows into messages of bounded size.
func recordBatches(rows []Record) [][]Record {
	var all [][]Record
	size, first := 0, 0
	for i, r := range rows {
		if size+r.size() > maxRecordBatchBytes && i > first {
			all = append(all, rows[first:i])
			size, first = 0, i
		}
		size += r.size()
	}
	return append(all, rows[first:])
}

func (m *Membership) sendRecordRows(now clock.Millis, to ID, mask uint64) []Action {
	var actions []Action
	for bucket, rows := range m.store.inBuckets(now, mask) {
		if mask&(1<<bucket) == 0 {
			continue
		}
		parts := recordBatches(rows)
		for _, batch := range parts {
			// A bucket that needs several messages is not complete in any of
			// them; the peer's own repair fetches the other direction.
			complete := uint64(1) << bucket
			if len(parts) > 1 {
				complete = 0
			}
			actions = append(actions, m.send(to, NewRecordRows(complete, batch)))
		}
	}
	return actions
}

// receiveRecordRows merges rows of a repair and answers with what the sender
// lacks in the buckets that it sent in full.
func (m *Membership) receiveRecordRows(now clock.Millis, from ID, message RecordRows) []Action {
	theirs := make(map[recordKey]Record, len(message.rows))
	for _, r := range message.rows {
		theirs[recordKey{kind: r.kind, key: r.key}] = r
	}
	var answer []Record
	if message.completeBuckets != 0 {
		for _, rows := range m.store.inBuckets(now, message.completeBuckets) {
			for _, own := range rows {
				row, known := theirs[recordKey{kind: own.kind, key: own.key}]
				if !known || own.supersedes(row) {
					answer = append(answer, own)
				}
			}
		}
	}
	actions := m.receiveRecords(now, from, message.rows)
	if len(answer) == 0 {
		return actions
	}
	for _, batch := range recordBatches(answer) {
		actions = append(actions, m.send(from, NewRecordRows(0, batch)))
	}
	return actions
}
