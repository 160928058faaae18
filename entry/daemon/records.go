package daemon

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/codec"
)

// Kinds of the records that the services publish. Records of other kinds belong to
// the inventory.
const (
	recordKindCold       = "cold"
	recordKindQuarantine = "quarantine"
)

const (
	// coldRecordLifetime is longer than any cold start.
	coldRecordLifetime = clock.Hour
	// warmRecordLifetime only has to outlive the spread of the cold-start records
	// that a warm record ends.
	warmRecordLifetime = 10 * clock.Minute
)

type wireColdRecord struct {
	Service  string `cbor:"1,keyasint"`
	Episode  uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Boot     string `cbor:"4,keyasint,omitempty"`
	Level    int    `cbor:"5,keyasint"`
	Owner    string `cbor:"6,keyasint"`
	Warm     bool   `cbor:"7,keyasint,omitempty"`
}

type wireQuarantineEntry struct {
	Fingerprint quarantine.Fingerprint `cbor:"1,keyasint"`
	Evidence    []upstream.ID          `cbor:"2,keyasint"`
}

// newColdRecord encodes a cold-start record. Its sequence orders the records of an
// upstream by episode (upper 32 bits), then by sequence (lower 32 bits).
func newColdRecord(service string, r upstream.ColdRecord) fleet.Record {
	body, _ := codec.Encode(wireColdRecord{
		Service: service, Episode: r.Episode(), Sequence: r.Sequence(), Boot: r.Boot(),
		Level: r.Level(), Owner: r.Owner(), Warm: r.Warm(),
	})
	lifetime := coldRecordLifetime
	if r.Warm() {
		lifetime = warmRecordLifetime
	}
	sequence := r.Episode()<<32 | r.Sequence()&0xffffffff
	return fleet.NewRecord(recordKindCold, string(r.Upstream()), sequence, body, lifetime)
}

// newQuarantineRecord encodes a quarantine entry. The lifetime of the record is the
// remaining time of the entry, because the clocks of daemons differ.
func newQuarantineRecord(now clock.Millis, e quarantine.Entry) fleet.Record {
	body, _ := codec.Encode(wireQuarantineEntry{Fingerprint: e.Fingerprint(), Evidence: e.Evidence()})
	return fleet.NewRecord(recordKindQuarantine, e.Fingerprint().String(), uint64(e.End()), body, e.End()-now)
}

// ReceiveRecord handles a record that a peer published. It returns false if the record
// cannot be decoded or is of an unknown kind.
func (s *services) ReceiveRecord(record fleet.Record) bool {
	switch record.Kind() {
	case recordKindCold:
		return s.receiveColdRecord(record)
	case recordKindQuarantine:
		return s.receiveQuarantineRecord(record)
	default:
		return s.receiveInventoryRecord(record)
	}
}

func (s *services) receiveColdRecord(record fleet.Record) bool {
	var wire wireColdRecord
	if codec.Decode(record.Body(), &wire) != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cold := upstream.NewColdRecord(upstream.ID(record.Key()), wire.Episode, wire.Sequence,
		wire.Boot, wire.Level, wire.Owner, wire.Warm)
	s.ensureService(wire.Service).WithPool(func(now clock.Millis, p *upstream.Pool) { p.ReceiveRecord(now, cold) })
	return true
}

func (s *services) receiveQuarantineRecord(record fleet.Record) bool {
	var wire wireQuarantineEntry
	if codec.Decode(record.Body(), &wire) != nil {
		return false
	}
	now := s.daemon.clock.Now()
	s.quarantine.receiveEntry(now, quarantine.NewEntry(wire.Fingerprint, wire.Evidence, now+record.Lifetime()))
	return true
}

func (s *services) receiveInventoryRecord(record fleet.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, err := s.inventory.ReceiveRecord(s.daemon.clock.Now(), record)
	return known && err == nil
}

// publishRecords publishes the cold-start records and quarantine entries that have
// changed since the last call.
func (s *services) publishRecords() {
	now := s.daemon.clock.Now()
	for _, service := range s.all() {
		for _, r := range service.Tick() {
			s.daemon.control.Publish(newColdRecord(service.Name(), r))
		}
	}
	for _, entry := range s.quarantine.changes() {
		s.daemon.control.Publish(newQuarantineRecord(now, entry))
	}
}
