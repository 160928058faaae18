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
// fit. The limit on bytes bounds the memory that a daemon uses for records.
const (
	MaxStoredRecords     = 40960
	MaxStoredRecordBytes = 12 << 20
	MaxRecordBodyBytes   = 1 << 10
	// minRecordLifetime excludes records that are about to expire from floods and
	// repairs. Otherwise a record that has expired on one daemon and not yet on
	// its peer would be sent back and forth.
	minRecordLifetime = 5 * clock.Second
	// recordOverheadBytes is the memory counted for a record on top of its kind,
	// key and body.
	recordOverheadBytes = 96
)

// Record is a small value of another subsystem, such as a quarantine entry or the
// cold-start level of an upstream. A record supersedes one with the same kind and
// key if its sequence is higher. Of equal sequences the bytewise larger body wins,
// so that all daemons keep the same record.
type Record struct {
	kind     string
	key      string
	body     []byte
	sequence uint64
	lifetime clock.Millis
}

// NewRecord returns a record that expires after lifetime. The record keeps body,
// which must not change afterwards.
func NewRecord(kind, key string, sequence uint64, body []byte, lifetime clock.Millis) Record {
	return Record{kind: kind, key: key, sequence: sequence, body: body, lifetime: lifetime}
}

// Kind returns the name of the subsystem's kind of record.
func (r Record) Kind() string { return r.kind }

// Key returns the key of the record within its kind.
func (r Record) Key() string { return r.key }

// Sequence returns the sequence; a higher one supersedes a lower one of the same
// kind and key.
func (r Record) Sequence() uint64 { return r.sequence }

// Body returns the content, which this package does not interpret. The caller must
// not modify it.
func (r Record) Body() []byte { return r.body }

// Lifetime returns the remaining time until the record expires, as of its creation,
// receipt or listing.
func (r Record) Lifetime() clock.Millis { return r.lifetime }

// supersedes reports whether r replaces old, a record with the same kind and key.
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

// recordStore holds the records of other subsystems within the limits. A full store
// rejects records with new keys; known keys are still updated.
type recordStore struct {
	records       map[recordKey]*storedRecord
	bucketDigests [bucketCount]uint64 // XOR of the digests of the records in a bucket
	bytes         int                 // memory counted for the records
	refused       int                 // records rejected because of a limit
}

// put stores r if it supersedes the held record and fits the limits, and reports
// whether it did.
func (s *recordStore) put(now clock.Millis, r Record) bool {
	if s.records == nil {
		s.records = make(map[recordKey]*storedRecord)
	}
	key := recordKey{kind: r.kind, key: r.key}
	old := s.records[key]
	if old != nil && !r.supersedes(old.Record) {
		return false
	}
	newBytes := s.bytes + r.size()
	if old != nil {
		newBytes -= old.size()
	}
	if len(r.body) > MaxRecordBodyBytes || newBytes > MaxStoredRecordBytes ||
		(old == nil && len(s.records) >= MaxStoredRecords) {
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
// lifetime, grouped by bucket and ordered by kind and key. It omits records that are
// about to expire.
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
