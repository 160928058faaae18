// Package inventory decides which daemons read the platform's list of VMs and
// the status of upstreams, and spreads what they read over the fleet.
//
// If every daemon read the list, the platform's calls would grow with the
// fleet; if every daemon polled every upstream, so would the upstreams'. Two
// daemons of the fleet read the list, and two poll each upstream, chosen by
// rendezvous hashing. What they read is published as records, which the
// membership floods and keeps, so a daemon that starts while the platform is
// down gets the list from its peers.
//
// # Usage
//
//	var i inventory.Inventory
//	i.SetMembers(self, aliveIDs)
//	if i.Reads() { records := i.Listed(now, vms) }       // publish the records
//	for _, id := range i.Polls() { records := i.Polled(now, status) }
//	i.Learn(record)                                      // from a peer
//	for _, vm := range i.VMs() { ... }
package inventory

import (
	"maps"
	"slices"
	"strings"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/quota"
)

const (
	// readersPerResource is the number of daemons that do the same reading. With one, a
	// pause of that daemon would hold up the fleet until it is declared dead.
	readersPerResource = 2
	// vmListResource is the resource for which list readers are ranked.
	vmListResource = "vm-list"
	// recordLifetime bounds how long a record outlives its readers. Records are
	// published again after a third of it.
	recordLifetime    = 6 * clock.Hour
	republishInterval = recordLifetime / 3
	// goneRecordLifetime is how long the end of a VM is remembered, so that a daemon
	// with an old record does not bring the VM back.
	goneRecordLifetime = 10 * clock.Minute
)

// Inventory is one daemon's view of VMs and upstreams. The zero value is empty
// and reads everything itself. It is not safe for concurrent use.
type Inventory struct {
	self          string
	rankTable     quota.Table
	vms           map[string]versioned[VM]
	statuses      map[string]versioned[Status]
	upstreamRanks map[string]int // this daemon's rank for each upstream
	polled        []string
	polledCurrent bool // polls is up to date
	changed       map[string]bool
}

// versioned is what is known of one address, with the record that told it.
type versioned[T any] struct {
	value     T
	sequence  uint64
	updatedAt clock.Millis
	gone      bool
}

// SetMembers takes the ids of the daemons that are alive, this one included.
func (i *Inventory) SetMembers(self string, alive []string) {
	old := i.rankTable
	i.self = self
	i.rankTable = quota.NewTable(alive)
	i.polledCurrent = false
	change, known := i.rankTable.Since(old, self)
	if !known {
		i.upstreamRanks = nil
		return
	}
	for address, rank := range i.upstreamRanks {
		i.upstreamRanks[address] = change.Rank(address, rank)
	}
}

// ReadsVMList reports whether this daemon reads the platform's list.
func (i *Inventory) ReadsVMList() bool { return i.resourceRank(vmListResource) < readersPerResource }

// PolledUpstreams returns the upstreams whose status this daemon reads. The caller must
// not change the slice.
func (i *Inventory) PolledUpstreams() []string {
	if i.polledCurrent {
		return i.polled
	}
	i.polled = i.polled[:0]
	for address, e := range i.vms {
		if e.gone || e.value.entryDaemon {
			delete(i.upstreamRanks, address)
			continue
		}
		if i.upstreamRank(address) < readersPerResource {
			i.polled = append(i.polled, address)
		}
	}
	slices.Sort(i.polled)
	i.polledCurrent = true
	return i.polled
}

// TakeChanges returns the addresses whose VM or status has changed since the last
// call, in order.
func (i *Inventory) TakeChanges() []string {
	changed := slices.Sorted(maps.Keys(i.changed))
	clear(i.changed)
	return changed
}

// markChanged notes that the status of an address has changed.
func (i *Inventory) markChanged(address string) {
	if i.changed == nil {
		i.changed = make(map[string]bool)
	}
	i.changed[address] = true
}

// markVMChanged notes that the VM at an address has changed.
func (i *Inventory) markVMChanged(address string) {
	i.markChanged(address)
	i.polledCurrent = false
}

// upstreamRank returns this daemon's rank for an upstream.
func (i *Inventory) upstreamRank(address string) int {
	if rank, ok := i.upstreamRanks[address]; ok {
		return rank
	}
	if i.upstreamRanks == nil {
		i.upstreamRanks = make(map[string]int)
	}
	i.upstreamRanks[address] = i.resourceRank(address)
	return i.upstreamRanks[address]
}

// resourceRank ranks this daemon for a resource. A daemon without a member view
// reads everything; one that is not in the view reads nothing.
func (i *Inventory) resourceRank(resource string) int {
	if i.rankTable.Len() == 0 {
		return 0
	}
	rank, ok := i.rankTable.Rank(resource, i.self)
	if !ok {
		return readersPerResource
	}
	return rank
}

// ObserveVMList takes the platform's list and returns the records to publish: VMs
// that are new, changed, gone, or due to be published again.
func (i *Inventory) ObserveVMList(now clock.Millis, list []VM) []fleet.Record {
	if i.vms == nil {
		i.vms = make(map[string]versioned[VM])
	}
	var records []fleet.Record
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.address] = true
		old, known := i.vms[vm.address]
		if known && !old.gone && old.value == vm && now-old.updatedAt < republishInterval {
			continue
		}
		fresh := versioned[VM]{value: vm, sequence: nextSequence(now, old.sequence), updatedAt: now}
		i.vms[vm.address] = fresh
		i.markVMChanged(vm.address)
		records = append(records, vmRecord(fresh, recordLifetime))
	}
	return append(records, i.endUnlisted(now, listed)...)
}

// endUnlisted records the end of VMs that the platform no longer lists. An empty
// list ends nothing: it is a platform that lost its content, since the reader
// itself runs on a VM.
func (i *Inventory) endUnlisted(now clock.Millis, listed map[string]bool) []fleet.Record {
	if len(listed) == 0 {
		return nil
	}
	var records []fleet.Record
	for address, old := range i.vms {
		if old.gone || listed[address] {
			continue
		}
		ended := versioned[VM]{value: old.value, sequence: nextSequence(now, old.sequence), updatedAt: now, gone: true}
		i.vms[address] = ended
		i.markVMChanged(address)
		delete(i.statuses, address)
		records = append(records, vmRecord(ended, goneRecordLifetime))
	}
	slices.SortFunc(records, func(a, b fleet.Record) int { return strings.Compare(a.Key(), b.Key()) })
	return records
}

// ObserveStatus takes an upstream's status and returns the records to publish, none
// if nothing changed.
func (i *Inventory) ObserveStatus(now clock.Millis, status Status) []fleet.Record {
	old, known := i.statuses[status.address]
	if known && old.value.equal(status) && now-old.updatedAt < republishInterval {
		return nil
	}
	if i.statuses == nil {
		i.statuses = make(map[string]versioned[Status])
	}
	fresh := versioned[Status]{value: status, sequence: nextSequence(now, old.sequence), updatedAt: now}
	i.statuses[status.address] = fresh
	i.markChanged(status.address)
	return []fleet.Record{statusRecord(fresh)}
}

// nextSequence returns a sequence above the old one. Sequences follow the clock, so
// that a new reader's records supersede those of the reader before.
func nextSequence(now clock.Millis, previous uint64) uint64 {
	return max(uint64(max(now, 0)), previous+1)
}

// VMs returns the VMs that are listed, in the order of their addresses.
func (i *Inventory) VMs() []VM {
	var list []VM
	for _, address := range slices.Sorted(maps.Keys(i.vms)) {
		if e := i.vms[address]; !e.gone {
			list = append(list, e.value)
		}
	}
	return list
}

// VM returns the listed VM at an address.
func (i *Inventory) VM(address string) (VM, bool) {
	e, ok := i.vms[address]
	return e.value, ok && !e.gone
}

// Status returns the last known status of the upstream at an address.
func (i *Inventory) Status(address string) (Status, bool) {
	e, ok := i.statuses[address]
	return e.value, ok
}
