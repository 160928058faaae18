package fleet

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

// maxRecordBatchBytes is the largest size of a batch of records in a message, a
// quarter of MaxMessageBytes.
const maxRecordBatchBytes = 64 << 10

// Publish stores a record of another subsystem and floods it. A record that does not
// supersede the held one or exceeds a limit is dropped; RefusedRecords counts the
// latter.
func (m *Membership) Publish(now clock.Millis, r Record) []Action {
	m.handlePause(now)
	if !m.store.put(now, r) {
		return nil
	}
	return m.floodRecords(m.self.id, []Record{r}, nil)
}

// Records returns the records of a kind with their remaining lifetime, in a fixed
// order. It omits records that expire within minRecordLifetime.
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

// RefusedRecords returns the number of records rejected because of a limit.
func (m *Membership) RefusedRecords() int { return m.store.refused }

// receiveRecords stores the records that are new, returns a RecordAccepted action
// for each, and floods them to the other peers.
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

// floodRecords sends rows over all open links except the one to from.
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

// recordBatches splits rows into batches of at most maxRecordBatchBytes.
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

// sendRecordRows sends the records of the buckets in mask, one bucket per message or
// several messages for a large bucket.
func (m *Membership) sendRecordRows(now clock.Millis, to ID, mask uint64) []Action {
	var actions []Action
	for bucket, rows := range m.store.inBuckets(now, mask) {
		if mask&(1<<bucket) == 0 {
			continue
		}
		batches := recordBatches(rows)
		for _, batch := range batches {
			// No message holds a bucket completely that takes several, so the peer
			// does not answer with its own rows; those follow when it starts a
			// repair.
			complete := uint64(1) << bucket
			if len(batches) > 1 {
				complete = 0
			}
			actions = append(actions, m.send(to, NewRecordRows(complete, batch)))
		}
	}
	return actions
}

// receiveRecordRows merges the rows of a repair and answers with the records that
// the sender lacks in the buckets that the message holds completely.
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
