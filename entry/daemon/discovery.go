package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/inventory"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/platform"
	"github.com/lovagegap/lovagegap/entry/upstreams"
)

const (
	// discoveryInterval is a third of the time within which work to leaving
	// upstreams must end.
	discoveryInterval = clock.Second
	publishInterval   = 50 * clock.Millisecond
	// noPeerTimeout is how long a daemon waits for a serving peer before it takes
	// itself for the first one of the fleet.
	noPeerTimeout = 2 * clock.Second
	// recordCopyTime is how long the records of a peer take to arrive after the first
	// exchange: a few rounds of repair.
	recordCopyTime = 1500 * clock.Millisecond
	// shareReleaseTime is how long the others need to release a new daemon's shares.
	shareReleaseTime = 5 * clock.Second
	// announcementTime is how long the announcement that a daemon serves takes to
	// reach all others, which then release its parts of cold levels.
	announcementTime = clock.Second
	// simultaneousStartWindow is the greatest distance of two starts that count as one
	// start of the whole fleet.
	simultaneousStartWindow = 10 * clock.Second
	// maxStatusCalls bounds the status calls at a time.
	maxStatusCalls = 32
)

// runDiscovery follows the platform's list, the upstreams' status and the fleet
// until ctx ends.
func (d *Daemon) runDiscovery(ctx context.Context) {
	d.control.Seed(d.configuredSeeds())
	go runEvery(ctx, publishInterval, d.services.quarantine.entryAdded, d.services.publishRecords)
	startedAt := d.clock.Now()
	runEvery(ctx, discoveryInterval, nil, func() {
		d.readVMList(ctx)
		d.pollUpstreams(ctx)
		// The seeds stay among the candidates: each call replaces the earlier
		// ones, and the list is empty while the platform is down.
		d.control.Seed(append(d.configuredSeeds(), d.services.applyInventory()...))
		d.advanceJoin(startedAt)
		d.relay.Sweep()
		d.updateGauges()
	})
}

// runEvery calls f at once, then in intervals and when wake has an element, until
// ctx ends.
func runEvery(ctx context.Context, interval clock.Millis, wake <-chan struct{}, task func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		task()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
	}
}

// configuredSeeds returns the peers named in the configuration, by which a daemon finds
// the fleet while the platform is down.
func (d *Daemon) configuredSeeds() []fleet.VM {
	var vms []fleet.VM
	for _, seed := range d.configuration.seeds {
		if seed != d.configuration.peerAddress {
			vms = append(vms, fleet.NewVM(fleet.ID(seed), "", "", "", false))
		}
	}
	return vms
}

// readVMList reads the platform's list if this daemon is one of its readers.
func (d *Daemon) readVMList(ctx context.Context) {
	if !d.services.readsVMList() {
		return
	}
	d.telemetry.Count("platform.vm-list-reads", 1)
	vms, err := d.platform.VMs(ctx)
	if err != nil {
		d.telemetry.Count("platform.vm-list-failures", 1)
		d.log.V(1).Info("daemon: VM list unavailable", "error", err.Error())
		return
	}
	for _, record := range d.services.observeVMList(inventoryVMs(vms)) {
		d.control.Publish(record)
	}
}

func inventoryVMs(vms []platform.VM) []inventory.VM {
	list := make([]inventory.VM, 0, len(vms))
	for _, vm := range vms {
		converted := inventory.NewUpstreamVM(vm.Address(), vm.Service(), vm.DataCentre(), vm.Region())
		if vm.Entry() {
			converted = inventory.NewEntryVM(vm.Address(), vm.Peer(), vm.DataCentre(), vm.Region())
		}
		if vm.Leaving() {
			converted = converted.AsLeaving()
		}
		list = append(list, converted)
	}
	return list
}

// pollUpstreams reads the status of the upstreams that this daemon polls.
func (d *Daemon) pollUpstreams(ctx context.Context) {
	var wait sync.WaitGroup
	limit := make(chan struct{}, maxStatusCalls)
	for _, address := range d.services.polledUpstreams() {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			status, err := d.upstreams.Status(ctx, upstream.ID(address))
			if err != nil {
				return
			}
			for _, record := range d.services.observeStatus(address, status) {
				d.control.Publish(record)
			}
		})
	}
	wait.Wait()
}

// advanceJoin ends the start of the daemon: it is ready once the settings, the
// upstreams and the cold-start records of its peers are known, and once the
// others had time to release its shares. A daemon without a peer that served
// before it started is one of the first: every upstream is new to it.
func (d *Daemon) advanceJoin(startedAt clock.Millis) {
	now := d.clock.Now()
	exchangedAt, met := d.control.Exchanged()
	switch {
	case d.services.hasJoined():
	case met && d.hasOlderPeer(startedAt):
		if now-exchangedAt > recordCopyTime {
			d.services.completeJoin(true, now+shareReleaseTime)
		}
	case now-startedAt > noPeerTimeout:
		d.services.completeJoin(false, now)
	}
	if d.services.mayServe(now) && d.control.Known() && d.services.hasQueryableService() {
		d.control.Ready()
		if d.services.advanceColdShares(now) {
			d.control.Serve()
		}
	}
}

// hasOlderPeer reports whether there is a serving peer that started well before
// this daemon. Daemons that start together know nothing that the others do
// not.
func (d *Daemon) hasOlderPeer(startedAt clock.Millis) bool {
	for _, m := range d.control.Members() {
		serving := m.State() == fleet.Alive || m.State() == fleet.Leaving
		if string(m.ID()) != d.configuration.peerAddress && serving && clock.Millis(m.Incarnation()) < startedAt-simultaneousStartWindow {
			return true
		}
	}
	return false
}

func (d *Daemon) updateGauges() {
	running := 0
	for _, service := range d.services.all() {
		running += service.Running()
	}
	d.control.SetLoad(float64(running))
	d.telemetry.Gauge("queries.running", int64(running))
	d.telemetry.Gauge("links.control.sent-bytes", int64(d.controlLinks.Sent()))
	d.telemetry.Gauge("links.control.received-bytes", int64(d.controlLinks.Received()))
	d.telemetry.Gauge("links.control.rejected", int64(d.controlLinks.Rejected()))
	d.telemetry.Gauge("links.control.dropped", int64(d.controlLinks.Dropped()))
	d.telemetry.Gauge("links.relay.sent-bytes", int64(d.relayLinks.Sent()))
	d.telemetry.Gauge("links.relay.rejected", int64(d.relayLinks.Rejected()))
}

func (s *services) readsVMList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.Reads()
}

func (s *services) observeVMList(vms []inventory.VM) []fleet.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.Listed(s.daemon.clock.Now(), vms)
}

func (s *services) polledUpstreams() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.inventory.Polls()...)
}

func (s *services) observeStatus(address string, status upstreams.Status) []fleet.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	observed := inventory.NewStatus(address, status.Boot(), status.Cold(), status.Leaving(), status.Holdings())
	return s.inventory.Polled(s.daemon.clock.Now(), observed)
}

// applyInventory brings the engines in step with what has changed in the inventory and
// returns the entry VMs that it lists. It visits only what has changed, since
// the status of thousands of upstreams changes with each new snapshot.
func (s *services) applyInventory() []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.inventory.Changed()
	entriesChanged := false
	for _, address := range changed {
		vm, listed := s.inventory.VM(address)
		switch {
		case s.entryVMs[address] != (inventory.VM{}) || listed && vm.Entry():
			s.applyEntry(address, vm, listed)
			entriesChanged = true
		case listed:
			s.applyReplica(vm)
		default:
			s.removeReplica(upstream.ID(address))
		}
	}
	if entriesChanged {
		s.entrySeeds = s.listEntrySeeds()
		s.applyMembers()
	}
	return s.entrySeeds
}

func (s *services) applyEntry(address string, vm inventory.VM, listed bool) {
	if !listed {
		delete(s.entryVMs, address)
		return
	}
	s.entryVMs[address] = vm
}

// listEntrySeeds returns the listed entry VMs for the membership.
func (s *services) listEntrySeeds() []fleet.VM {
	vms := make([]fleet.VM, 0, len(s.entryVMs))
	for _, address := range slices.Sorted(maps.Keys(s.entryVMs)) {
		vm := s.entryVMs[address]
		vms = append(vms, fleet.NewVM(fleet.ID(vm.Peer()), vm.Address(), vm.DataCentre(), vm.Region(), vm.Leaving()))
	}
	return vms
}

// applyReplica adds an upstream if it is new and hands on its status. It is
// leaving if either the platform or the upstream itself says so.
func (s *services) applyReplica(vm inventory.VM) {
	id := upstream.ID(vm.Address())
	service := s.ensureService(vm.Service())
	if s.upstreamVMs[id] != vm {
		service.Add(upstream.NewReplica(id, vm.DataCentre()).WithRegion(vm.Region()))
		s.upstreamVMs[id] = vm
		s.applyConnectionLimit(service, id)
	}
	status, known := s.inventory.Status(vm.Address())
	if !known && !vm.Leaving() {
		return
	}
	report := upstream.NewReport(id, status.Boot(), 0)
	if status.Cold() {
		report = report.WithCold()
	}
	if status.Leaving() || vm.Leaving() {
		report = report.WithLeaving()
	}
	service.Report(report, status.Holdings())
}

func (s *services) removeReplica(id upstream.ID) {
	vm, known := s.upstreamVMs[id]
	if !known {
		return
	}
	s.ensureService(vm.Service()).Remove(id)
	s.daemon.upstreams.Remove(id)
	delete(s.upstreamVMs, id)
}

func (s *services) hasJoined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// completeJoin tells the engines that the daemon has joined the fleet, with or without
// a copy of its peers' cold-start records, and may serve from the given
// instant on.
func (s *services) completeJoin(recordsCopied bool, servesFrom clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined, s.recordsCopied, s.servesFrom = true, recordsCopied, servesFrom
	for _, service := range s.byName {
		service.Pool(func(now clock.Millis, p *upstream.Pool) { p.CompleteJoin(now, recordsCopied) })
	}
	s.applyConnectionLimits()
}

func (s *services) mayServe(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined && now >= s.servesFrom
}

// advanceColdShares starts the use of cold levels some time after the first call. It
// reports whether daemons that started together with this one use them too.
func (s *services) advanceColdShares(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readyAt == 0 {
		s.readyAt = now
	}
	if !s.usesColdShares && now-s.readyAt >= announcementTime {
		s.usesColdShares = true
		s.applyMembers()
	}
	return now-s.readyAt >= 2*announcementTime
}

// hasQueryableService reports whether any service can be queried.
func (s *services) hasQueryableService() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.byName {
		if service.Known() {
			return true
		}
	}
	return false
}
