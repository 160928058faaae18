package inventory

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/snapshot"
)

// Kinds of records of this package.
const (
	KindVM     = "vm"
	KindStatus = "upstream"
)

// ErrMalformed reports a record that does not follow the format or exceeds one of
// its limits.
var ErrMalformed = errors.New("malformed inventory record")

// Limits of a status record.
const (
	maxHoldings = 8
	// maxShardCount limits the memory that a query allocates for a snapshot.
	maxShardCount = 65536
)

type wireVM struct {
	Peer       string `cbor:"1,keyasint,omitempty"`
	DataCentre string `cbor:"2,keyasint"`
	Region     string `cbor:"3,keyasint"`
	Service    string `cbor:"4,keyasint,omitempty"`
	Entry      bool   `cbor:"5,keyasint,omitempty"`
	Leaving    bool   `cbor:"6,keyasint,omitempty"`
	Gone       bool   `cbor:"7,keyasint,omitempty"`
}

type wireStatus struct {
	Boot     string        `cbor:"1,keyasint"`
	Cold     bool          `cbor:"2,keyasint,omitempty"`
	Leaving  bool          `cbor:"3,keyasint,omitempty"`
	Holdings []wireHolding `cbor:"4,keyasint,omitempty"`
}

type wireHolding struct {
	Version    snapshot.Version `cbor:"1,keyasint"`
	ShardCount int              `cbor:"2,keyasint"`
	HeldShards []snapshot.Shard `cbor:"3,keyasint"`
}

func vmRecord(e versioned[VM], lifetime clock.Millis) fleet.Record {
	vm := e.value
	body, _ := cbor.Marshal(wireVM{
		Peer: vm.peerAddress, DataCentre: vm.dataCentre, Region: vm.region, Service: vm.service,
		Entry: vm.entryDaemon, Leaving: vm.leaving, Gone: e.gone,
	})
	return fleet.NewRecord(KindVM, vm.address, e.sequence, body, lifetime)
}

func statusRecord(e versioned[Status]) fleet.Record {
	status := e.value
	wire := wireStatus{Boot: status.boot, Cold: status.cold, Leaving: status.leaving}
	for _, h := range status.holdings {
		wire.Holdings = append(wire.Holdings, wireHolding{
			Version: h.Version(), ShardCount: h.ShardCount(), HeldShards: h.HeldShards(),
		})
	}
	body, _ := cbor.Marshal(wire)
	return fleet.NewRecord(KindStatus, status.address, e.sequence, body, recordLifetime)
}

// ReceiveRecord applies a record of a peer unless its sequence is already known. It
// returns false for a kind of another package, and ErrMalformed for a record that
// does not follow the format.
func (i *Inventory) ReceiveRecord(now clock.Millis, record fleet.Record) (bool, error) {
	switch record.Kind() {
	case KindVM:
		return true, i.receiveVM(now, record)
	case KindStatus:
		return true, i.receiveStatus(now, record)
	default:
		return false, nil
	}
}

func (i *Inventory) receiveVM(now clock.Millis, record fleet.Record) error {
	var wire wireVM
	if err := cbor.Unmarshal(record.Body(), &wire); err != nil || record.Key() == "" {
		return errors.Wrapf(ErrMalformed, "VM record with key %.64q: empty key or undecodable body of %d bytes",
			record.Key(), len(record.Body()))
	}
	if record.Sequence() <= i.vms[record.Key()].sequence {
		return nil
	}
	if i.vms == nil {
		i.vms = make(map[string]versioned[VM])
	}
	vm := VM{
		address: record.Key(), peerAddress: wire.Peer, dataCentre: wire.DataCentre, region: wire.Region,
		service: wire.Service, entryDaemon: wire.Entry, leaving: wire.Leaving,
	}
	i.vms[vm.address] = versioned[VM]{value: vm, sequence: record.Sequence(), updatedAt: now, gone: wire.Gone}
	if wire.Gone {
		delete(i.statuses, vm.address)
	}
	i.markVMChanged(vm.address)
	return nil
}

func (i *Inventory) receiveStatus(now clock.Millis, record fleet.Record) error {
	var wire wireStatus
	if err := cbor.Unmarshal(record.Body(), &wire); err != nil || record.Key() == "" || len(wire.Holdings) > maxHoldings {
		return errors.Wrapf(ErrMalformed,
			"status record with key %.64q: empty key, undecodable body of %d bytes or more than %d holdings",
			record.Key(), len(record.Body()), maxHoldings)
	}
	if record.Sequence() <= i.statuses[record.Key()].sequence {
		return nil
	}
	status := Status{address: record.Key(), boot: wire.Boot, cold: wire.Cold, leaving: wire.Leaving}
	for _, h := range wire.Holdings {
		if h.ShardCount < 0 || h.ShardCount > maxShardCount {
			return errors.Wrapf(ErrMalformed, "status record with key %.64q: shard count %d, want 0 to %d",
				record.Key(), h.ShardCount, maxShardCount)
		}
		status.holdings = append(status.holdings, snapshot.NewHolding(h.Version, h.ShardCount, h.HeldShards))
	}
	if i.statuses == nil {
		i.statuses = make(map[string]versioned[Status])
	}
	i.statuses[status.address] = versioned[Status]{value: status, sequence: record.Sequence(), updatedAt: now}
	i.markChanged(status.address)
	return nil
}
