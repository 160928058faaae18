// Package inventory decides which daemons read the platform's list of VMs and
// poll the status of upstreams, and distributes the results over the fleet.
//
// If every daemon read the list, the load on the platform would grow with the
// fleet; if every daemon polled every upstream, so would the load on upstreams.
// Two daemons of the fleet read the list and two poll each upstream, chosen by
// rendezvous hashing. Their results are published as fleet records, which the
// membership distributes and stores. A daemon that starts while the platform is
// down therefore gets the list from its peers.
//
// # Usage
//
//	var i inventory.Inventory
//	i.SetMembers(self, aliveIDs)
//	if i.ReadsVMList() {
//		requestedAt := now()
//		publish(i.ObserveVMList(requestedAt, readVMList()))
//	}
//	for _, address := range i.PolledUpstreams() {
//		requestedAt := now()
//		publish(i.ObserveStatus(requestedAt, poll(address)))
//	}
//	known, err := i.ReceiveRecord(now(), record) // from a peer
//	for _, address := range i.TakeChanges() {
//		vm, listed := i.VM(address)
//		...
//	}
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
	// readersPerResource is the number of daemons that read the list, or that poll
	// the same upstream. With one reader, a pause of that daemon would delay updates
	// for the whole fleet until it is declared dead.
	readersPerResource = 2
	// vmListResource is the key by which daemons are ranked as readers of the list.
	vmListResource = "vm-list"
	// recordLifetime is how long a record remains after its reader stopped.
	recordLifetime = 6 * clock.Hour
	// republishInterval is the age at which the record of an unchanged VM or status
	// is published again, so that it does not expire.
	republishInterval = recordLifetime / 3
	// goneRecordLifetime is the lifetime of the record that says that a VM is gone.
	// Until then it supersedes older records of daemons that still list the VM.
	goneRecordLifetime = 10 * clock.Minute
)

// Inventory is one daemon's view of VMs and upstreams. With the zero value, which
// has no members, the daemon reads the list and polls all upstreams itself. It is
// not safe for concurrent use.
type Inventory struct {
	self          string
	rankTable     quota.Table
	vms           map[string]versioned[VM]
	statuses      map[string]versioned[Status]
	upstreamRanks map[string]int  // this daemon's rank for each upstream, by address
	polled        []string        // result of PolledUpstreams
	polledCurrent bool            // polled is up to date
	changed       map[string]bool // addresses that TakeChanges returns next
}

// versioned is the VM or the status at one address, with the sequence of its record.
type versioned[T any] struct {
	value     T
	sequence  uint64
	updatedAt clock.Millis // when the call began that returned it here, or its record was received
	gone      bool         // the VM is no longer listed
}

// changedSince reports whether the state was updated after an instant. The answer to a call
// that began then may be older.
func (v versioned[T]) changedSince(instant clock.Millis) bool { return v.updatedAt > instant }

// SetMembers sets the id of this daemon and the ids of all daemons that are alive,
// this one included.
func (i *Inventory) SetMembers(self string, alive []string) {
	old := i.rankTable
	i.self = self
	i.rankTable = quota.NewTable(alive)
	i.polledCurrent = false
	change, known := i.rankTable.ChangeSince(old, self)
	if !known {
		i.upstreamRanks = nil
		return
	}
	for address, rank := range i.upstreamRanks {
		i.upstreamRanks[address] = change.Rank(address, rank)
	}
}

// ReadsVMList reports whether this daemon must read the platform's list.
func (i *Inventory) ReadsVMList() bool { return i.resourceRank(vmListResource) < readersPerResource }

// PolledUpstreams returns the addresses of the upstreams that this daemon must poll,
// in order. The caller must not modify the slice; the next call may.
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

// markChanged records that the VM or the status at an address has changed.
func (i *Inventory) markChanged(address string) {
	if i.changed == nil {
		i.changed = make(map[string]bool)
	}
	i.changed[address] = true
}

// markVMChanged records that the VM at an address has changed, which may change the
// upstreams to poll.
func (i *Inventory) markVMChanged(address string) {
	i.markChanged(address)
	i.polledCurrent = false
}

// upstreamRank returns this daemon's rank for an upstream, from the cache if possible.
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

// resourceRank returns this daemon's rank among the members for a resource. A daemon
// that knows no members reads every resource; one that is not itself a member reads
// none.
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

// ObserveVMList applies a list that was read from the platform by a call that began at
// requestedAt, and returns the records to publish: those of VMs that are new, changed,
// no longer listed, or due to be published again. VMs that have changed since the call
// began stay as they are, because the list may be older.
func (i *Inventory) ObserveVMList(requestedAt clock.Millis, list []VM) []fleet.Record {
	if i.vms == nil {
		i.vms = make(map[string]versioned[VM])
	}
	var records []fleet.Record
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.address] = true
		old, known := i.vms[vm.address]
		unchanged := known && !old.gone && old.value == vm
		if old.changedSince(requestedAt) || unchanged && requestedAt-old.updatedAt < republishInterval {
			continue
		}
		updated := versioned[VM]{value: vm, sequence: nextSequence(requestedAt, old.sequence), updatedAt: requestedAt}
		i.vms[vm.address] = updated
		i.markVMChanged(vm.address)
		records = append(records, vmRecord(updated, recordLifetime))
	}
	return append(records, i.endUnlisted(requestedAt, listed)...)
}

// endUnlisted marks VMs that the platform no longer lists as gone and returns their
// records. An empty list is ignored: the platform has lost its content, since this
// daemon itself runs on a VM.
func (i *Inventory) endUnlisted(requestedAt clock.Millis, listed map[string]bool) []fleet.Record {
	if len(listed) == 0 {
		return nil
	}
	var records []fleet.Record
	for address, old := range i.vms {
		if old.gone || listed[address] || old.changedSince(requestedAt) {
			continue
		}
		ended := versioned[VM]{value: old.value, sequence: nextSequence(requestedAt, old.sequence), updatedAt: requestedAt, gone: true}
		i.vms[address] = ended
		i.markVMChanged(address)
		delete(i.statuses, address)
		records = append(records, vmRecord(ended, goneRecordLifetime))
	}
	slices.SortFunc(records, func(a, b fleet.Record) int { return strings.Compare(a.Key(), b.Key()) })
	return records
}

// ObserveStatus applies the status of an upstream that was polled by a call that began at
// requestedAt, and returns the records to publish: none if the status has changed since, so
// that this one may be older, or if it is unchanged and not due to be published again.
func (i *Inventory) ObserveStatus(requestedAt clock.Millis, status Status) []fleet.Record {
	old, known := i.statuses[status.address]
	unchanged := known && old.value.equal(status)
	if old.changedSince(requestedAt) || unchanged && requestedAt-old.updatedAt < republishInterval {
		return nil
	}
	if i.statuses == nil {
		i.statuses = make(map[string]versioned[Status])
	}
	updated := versioned[Status]{value: status, sequence: nextSequence(requestedAt, old.sequence), updatedAt: requestedAt}
	i.statuses[status.address] = updated
	i.markChanged(status.address)
	return []fleet.Record{statusRecord(updated)}
}

// nextSequence returns a sequence number above the previous one. It is the current
// time in milliseconds where possible, so that the records of a new reader supersede
// those of the reader before it.
func nextSequence(now clock.Millis, previous uint64) uint64 {
	return max(uint64(max(now, 0)), previous+1)
}

// VMs returns the listed VMs, ordered by address.
func (i *Inventory) VMs() []VM {
	var list []VM
	for _, address := range slices.Sorted(maps.Keys(i.vms)) {
		if e := i.vms[address]; !e.gone {
			list = append(list, e.value)
		}
	}
	return list
}

// VM returns the VM at an address, and false if it is not listed.
func (i *Inventory) VM(address string) (VM, bool) {
	e, ok := i.vms[address]
	return e.value, ok && !e.gone
}

// Status returns the last known status of the upstream at an address, and false if
// none is known.
func (i *Inventory) Status(address string) (Status, bool) {
	e, ok := i.statuses[address]
	return e.value, ok
}
