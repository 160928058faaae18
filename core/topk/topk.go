// Package topk merges the records of many shards into the greatest ones.
//
// # Usage
//
//	var m topk.Merger
//	m.Add(part)             // for each shard
//	body := m.Greatest(10)  // the ten greatest records, greatest first
package topk

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes. Records compare byte by byte.
const RecordSize = 16

// Merger collects the records of parts. The zero value is empty. It keeps the
// parts that it was given, which must not be changed.
type Merger struct {
	records [][]byte
}

// Add takes the records of a part in any order. A remainder that is shorter
// than a record is not one.
func (m *Merger) Add(part []byte) {
	for len(part) >= RecordSize {
		m.records = append(m.records, part[:RecordSize:RecordSize])
		part = part[RecordSize:]
	}
}

// Greatest returns the k greatest records, greatest first, in one piece. Equal
// records all count.
func (m *Merger) Greatest(k int) []byte {
	slices.SortFunc(m.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	n := max(0, min(k, len(m.records)))
	body := make([]byte, 0, n*RecordSize)
	for _, record := range m.records[:n] {
		body = append(body, record...)
	}
	return body
}
