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
	// readers is the number of daemons that do the same reading. With one, a
	// pause of that daemon would hold up the fleet until it is declared dead.
	readers = 2
	// listResource is the resource for which list readers are ranked.
	listResource = "vm-list"
	// lifetime bounds how long a record outlives its readers. Records are
	// published again after a third of it.
	lifetime = 6 * clock.Hour
	refresh  = lifetime / 3
	// goneLifetime is how long the end of a VM is remembered, so that a daemon
	// with an old record does not bring the VM back.
	goneLifetime = 10 * clock.Minute
)

// Inventory is one daemon's view of VMs and upstreams. The zero value is empty
// and reads everything itself. It is not safe for concurrent use.
type Inventory struct {
	self      string
	table     quota.Table
	vms       map[string]entry[VM]
	statuses  map[string]entry[Status]
	ranks     map[string]int // this daemon's rank for each upstream
	polls     []string
	pollsDone bool // polls is up to date
	dirty     map[string]bool
}

// entry is what is known of one address, with the record that told it.
type entry[T any] struct {
	value     T
	sequence  uint64
	published clock.Millis
	gone      bool
}

// SetMembers takes the ids of the daemons that are alive, this one included.
func (i *Inventory) SetMembers(self string, alive []string) {
	old := i.table
	i.self = self
	i.table = quota.NewTable(alive)
	i.pollsDone = false
	change, known := i.table.ChangeSince(old, self)
	if !known {
		i.ranks = nil
		return
	}
	for address, rank := range i.ranks {
		i.ranks[address] = change.Rank(address, rank)
	}
}

// Reads reports whether this daemon reads the platform's list.
func (i *Inventory) Reads() bool { return i.rankFor(listResource) < readers }

// Polls returns the upstreams whose status this daemon reads. The caller must
// not change the slice.
func (i *Inventory) Polls() []string {
	if i.pollsDone {
		return i.polls
	}
	i.polls = i.polls[:0]
	for address, e := range i.vms {
		if e.gone || e.value.entry {
			delete(i.ranks, address)
			continue
		}
		if i.rank(address) < readers {
			i.polls = append(i.polls, address)
		}
	}
	slices.Sort(i.polls)
	i.pollsDone = true
	return i.polls
}

// Changed returns the addresses whose VM or status has changed since the last
// call, in order.
func (i *Inventory) Changed() []string {
	changed := slices.Sorted(maps.Keys(i.dirty))
	clear(i.dirty)
	return changed
}

// touch notes that the status of an address has changed.
func (i *Inventory) touch(address string) {
	if i.dirty == nil {
		i.dirty = make(map[string]bool)
	}
	i.dirty[address] = true
}

// touchVM notes that the VM at an address has changed.
func (i *Inventory) touchVM(address string) {
	i.touch(address)
	i.pollsDone = false
}

// rank returns this daemon's rank for an upstream.
func (i *Inventory) rank(address string) int {
	if rank, ok := i.ranks[address]; ok {
		return rank
	}
	if i.ranks == nil {
		i.ranks = make(map[string]int)
	}
	i.ranks[address] = i.rankFor(address)
	return i.ranks[address]
}

// rankFor ranks this daemon for a resource. A daemon without a member view
// reads everything; one that is not in the view reads nothing.
func (i *Inventory) rankFor(resource string) int {
	if i.table.Len() == 0 {
		return 0
	}
	rank, ok := i.table.Rank(resource, i.self)
	if !ok {
		return readers
	}
	return rank
}

// Listed takes the platform's list and returns the records to publish: VMs
// that are new, changed, gone, or due to be published again.
func (i *Inventory) Listed(now clock.Millis, list []VM) []fleet.Record {
	if i.vms == nil {
		i.vms = make(map[string]entry[VM])
	}
	var records []fleet.Record
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.address] = true
		old, known := i.vms[vm.address]
		if known && !old.gone && old.value == vm && now-old.published < refresh {
			continue
		}
		fresh := entry[VM]{value: vm, sequence: next(now, old.sequence), published: now}
		i.vms[vm.address] = fresh
		i.touchVM(vm.address)
		records = append(records, vmRecord(fresh, lifetime))
	}
	return append(records, i.unlisted(now, listed)...)
}

// unlisted records the end of VMs that the platform no longer lists. An empty
// list ends nothing: it is a platform that lost its content, since the reader
// itself runs on a VM.
func (i *Inventory) unlisted(now clock.Millis, listed map[string]bool) []fleet.Record {
	if len(listed) == 0 {
		return nil
	}
	var records []fleet.Record
	for address, old := range i.vms {
		if old.gone || listed[address] {
			continue
		}
		ended := entry[VM]{value: old.value, sequence: next(now, old.sequence), published: now, gone: true}
		i.vms[address] = ended
		i.touchVM(address)
		delete(i.statuses, address)
		records = append(records, vmRecord(ended, goneLifetime))
	}
	slices.SortFunc(records, func(a, b fleet.Record) int { return strings.Compare(a.Key(), b.Key()) })
	return records
}

// Polled takes an upstream's status and returns the records to publish, none
// if nothing changed.
func (i *Inventory) Polled(now clock.Millis, status Status) []fleet.Record {
	old, known := i.statuses[status.address]
	if known && old.value.equal(status) && now-old.published < refresh {
		return nil
	}
	if i.statuses == nil {
		i.statuses = make(map[string]entry[Status])
	}
	fresh := entry[Status]{value: status, sequence: next(now, old.sequence), published: now}
	i.statuses[status.address] = fresh
	i.touch(status.address)
	return []fleet.Record{statusRecord(fresh)}
}

// next returns a sequence above the old one. Sequences follow the clock, so
// that a new reader's records supersede those of the reader before.
func next(now clock.Millis, old uint64) uint64 {
	return max(uint64(max(now, 0)), old+1)
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
