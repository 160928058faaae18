package fleet

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Limits of the records of other subsystems. The VMs and the status of 11,000
// upstreams, the VMs of 2,100 daemons, and a cold-start record for each upstream
// fit; the bytes bound keeps a daemon within its memory.
const (
	MaxStoredRecords     = 40960
	MaxStoredRecordBytes = 12 << 20
	MaxRecordBodyBytes   = 1 << 10
	// minRecordLifetime keeps records that are about to expire out of repairs;
	// a record dropped here and not yet there would otherwise travel to and fro.
	minRecordLifetime   = 5 * clock.Second
	recordOverheadBytes = 96
)

// Record is a small value of another subsystem, such as a quarantine entry or
// the cold-start level of an upstream. A record replaces the one with the same
// kind and key if its sequence is higher; equal sequences are decided by the
// larger body, so that all daemons keep the same one.
type Record struct {
	kind     string
	key      string
	body     []byte
	sequence uint64
	lifetime clock.Millis
}

// NewRecord returns a record that expires after lifetime.
func NewRecord(kind, key string, sequence uint64, body []byte, lifetime clock.Millis) Record {
	return Record{kind: kind, key: key, sequence: sequence, body: body, lifetime: lifetime}
}

// Kind names the subsystem.
func (r Record) Kind() string { return r.kind }

// Key identifies the record within its kind.
func (r Record) Key() string { return r.key }

// Sequence orders the records of a key.
func (r Record) Sequence() uint64 { return r.sequence }

// Body returns the content, opaque to this package.
func (r Record) Body() []byte { return r.body }

// Lifetime returns the remaining time until the record expires.
func (r Record) Lifetime() clock.Millis { return r.lifetime }

func (r Record) supersedes(old Record) bool {
	if r.sequence != old.sequence {
		return r.sequence > old.sequence
	}
	return bytes.Compare(r.body, old.body) > 0
}

func (r Record) size() int { return len(r.kind) + len(r.key) + len(r.body) + recordOverheadBytes }

func (r Record) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.kind)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(r.key)
	var tail [9]byte
	putUint64(tail[1:], r.sequence)
	_, _ = d.Write(tail[:])
	_, _ = d.Write(r.body)
	return d.Sum64()
}

type recordKey struct{ kind, key string }

func (k recordKey) bucket() int { return bucketOf(k.kind + "\x00" + k.key) }

type storedRecord struct {
	Record
	expires clock.Millis
	digest  uint64
}

// recordStore holds the records of other subsystems within its limits. When it is
// full, new keys are refused; known keys are still updated.
type recordStore struct {
	records       map[recordKey]*storedRecord
	bucketDigests [bucketCount]uint64
	bytes         int
	refused       int
}

// put stores r if it is newer than the held record and reports whether it did.
func (s *recordStore) put(now clock.Millis, r Record) bool {
	if s.records == nil {
		s.records = make(map[recordKey]*storedRecord)
	}
	key := recordKey{kind: r.kind, key: r.key}
	old := s.records[key]
	if old != nil && !r.supersedes(old.Record) {
		return false
	}
	grown := s.bytes + r.size()
	if old != nil {
		grown -= old.size()
	}
	if len(r.body) > MaxRecordBodyBytes || grown > MaxStoredRecordBytes || (old == nil && len(s.records) >= MaxStoredRecords) {
		s.refused++
		return false
	}
	s.remove(key)
	stored := &storedRecord{Record: r, expires: now + r.lifetime, digest: r.digest()}
	s.records[key] = stored
	s.bytes += r.size()
	s.bucketDigests[key.bucket()] ^= stored.digest
	return true
}

func (s *recordStore) remove(key recordKey) {
	old := s.records[key]
	if old == nil {
		return
	}
	s.bytes -= old.size()
	s.bucketDigests[key.bucket()] ^= old.digest
	delete(s.records, key)
}

func (s *recordStore) expire(now clock.Millis) {
	for key, r := range s.records {
		if r.expires <= now {
			s.remove(key)
		}
	}
}

func (s *recordStore) digest() uint64 { return foldDigests(&s.bucketDigests) }

// inBuckets returns the records of the buckets in mask with their remaining
// lifetime, in a fixed order.
func (s *recordStore) inBuckets(now clock.Millis, mask uint64) [bucketCount][]Record {
	var found [bucketCount][]Record
	for key, r := range s.records {
		bucket := key.bucket()
		if mask&(1<<bucket) == 0 || r.expires-now < minRecordLifetime {
			continue
		}
		copied := r.Record
		copied.lifetime = r.expires - now
		found[bucket] = append(found[bucket], copied)
	}
	for _, rows := range found {
		slices.SortFunc(rows, func(a, b Record) int {
			return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.key, b.key))
		})
	}
	return found
}
