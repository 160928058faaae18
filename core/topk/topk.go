// Package topk selects the greatest records from the answers of many shards.
//
// # Usage
//
//	var m topk.Merger
//	m.Add(part)             // the answer of a shard; once for each shard
//	body := m.Greatest(10)  // the ten greatest records, greatest first
package topk

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. Records are ordered lexicographically
// by their bytes.
const RecordSize = 16

// Merger collects records. The zero value is an empty Merger. It retains the parts
// passed to Add, which must not be changed. It is not safe for concurrent use.
type Merger struct {
	records [][]byte
}

// Add adds the records of a part, which may be in any order. A trailing remainder
// shorter than RecordSize is ignored.
func (m *Merger) Add(part []byte) {
	for len(part) >= RecordSize {
		m.records = append(m.records, part[:RecordSize:RecordSize])
		part = part[RecordSize:]
	}
}

// Greatest returns the k greatest records, or all if there are fewer, concatenated in
// descending order. Duplicates are kept.
func (m *Merger) Greatest(k int) []byte {
	slices.SortFunc(m.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	n := max(0, min(k, len(m.records)))
	body := make([]byte, 0, n*RecordSize)
	for _, record := range m.records[:n] {
		body = append(body, record...)
	}
	return body
}
