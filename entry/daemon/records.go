package daemon

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/codec"
)

// Kinds of records besides those of the inventory.
const (
	kindCold       = "cold"
	kindQuarantine = "quarantine"
)

const (
	// coldLifetime is longer than any cold start. A warm record only has to
	// outlive the flood that it ends.
	coldLifetime = clock.Hour
	warmLifetime = 10 * clock.Minute
)

type wireCold struct {
	Service  string `cbor:"1,keyasint"`
	Episode  uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Boot     string `cbor:"4,keyasint,omitempty"`
	Level    int    `cbor:"5,keyasint"`
	Owner    string `cbor:"6,keyasint"`
	Warm     bool   `cbor:"7,keyasint,omitempty"`
}

type wireQuarantine struct {
	Fingerprint quarantine.Fingerprint `cbor:"1,keyasint"`
	Evidence    []upstream.ID          `cbor:"2,keyasint"`
}

// coldRecord orders records of an upstream by episode and then by sequence.
func coldRecord(service string, r upstream.ColdRecord) fleet.Record {
	body, _ := codec.Encode(wireCold{
		Service: service, Episode: r.Episode(), Sequence: r.Sequence(), Boot: r.Boot(),
		Level: r.Level(), Owner: r.Owner(), Warm: r.Warm(),
	})
	life := coldLifetime
	if r.Warm() {
		life = warmLifetime
	}
	sequence := r.Episode()<<32 | r.Sequence()&0xffffffff
	return fleet.NewRecord(kindCold, string(r.Upstream()), sequence, body, life)
}

// quarantineRecord carries the time left as the record's lifetime, since
// daemons' clocks differ.
func quarantineRecord(now clock.Millis, e quarantine.Entry) fleet.Record {
	body, _ := codec.Encode(wireQuarantine{Fingerprint: e.Fingerprint(), Evidence: e.Evidence()})
	return fleet.NewRecord(kindQuarantine, e.Fingerprint().String(), uint64(e.End()), body, e.End()-now)
}

// Record takes a record that a peer published.
func (s *services) ReceiveRecord(record fleet.Record) bool {
	switch record.Kind() {
	case kindCold:
		return s.learnCold(record)
	case kindQuarantine:
		return s.learnQuarantine(record)
	default:
		return s.learnInventory(record)
	}
}

func (s *services) learnCold(record fleet.Record) bool {
	var wire wireCold
	if codec.Decode(record.Body(), &wire) != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cold := upstream.NewColdRecord(upstream.ID(record.Key()), wire.Episode, wire.Sequence,
		wire.Boot, wire.Level, wire.Owner, wire.Warm)
	s.service(wire.Service).WithPool(func(now clock.Millis, p *upstream.Pool) { p.ReceiveRecord(now, cold) })
	return true
}

func (s *services) learnQuarantine(record fleet.Record) bool {
	var wire wireQuarantine
	if codec.Decode(record.Body(), &wire) != nil {
		return false
	}
	now := s.daemon.clock.Now()
	s.quarantine.learn(now, quarantine.NewEntry(wire.Fingerprint, wire.Evidence, now+record.Lifetime()))
	return true
}

func (s *services) learnInventory(record fleet.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, err := s.inventory.ReceiveRecord(s.daemon.clock.Now(), record)
	return known && err == nil
}

// publish floods what the services decided since the last call.
func (s *services) publish() {
	now := s.daemon.clock.Now()
	for _, service := range s.all() {
		for _, r := range service.Tick() {
			s.daemon.control.Publish(coldRecord(service.Name(), r))
		}
	}
	for _, entry := range s.quarantine.changes() {
		s.daemon.control.Publish(quarantineRecord(now, entry))
	}
}
