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
	// discoveryInterval is a third of the time within which new work to a leaving
	// upstream must stop.
	discoveryInterval = clock.Second
	publishInterval   = 50 * clock.Millisecond
	// noPeerTimeout is the time without a serving peer after which a daemon assumes
	// that it is the first one of the fleet.
	noPeerTimeout = 2 * clock.Second
	// recordCopyTime is the time within which the records of a peer arrive after the
	// first exchange with it: a few rounds of repair.
	recordCopyTime = 1500 * clock.Millisecond
	// shareReleaseTime is the time within which the other daemons release the shares
	// of a daemon that joins.
	shareReleaseTime = 5 * clock.Second
	// announcementTime is the time within which the announcement that a daemon is
	// ready reaches all others, which then release its shares of cold-start levels.
	announcementTime = clock.Second
	// simultaneousStartWindow is the maximum difference between the start times of
	// daemons that count as started together.
	simultaneousStartWindow = 10 * clock.Second
	// maxStatusCalls is the maximum number of concurrent status calls to upstreams.
	maxStatusCalls = 32
)

// runDiscovery keeps the services up to date with the platform's VM list and the
// status of upstreams, publishes their records, and completes the daemon's join.
// It returns when ctx ends.
func (d *Daemon) runDiscovery(ctx context.Context) {
	d.control.Seed(d.configuredSeeds())
	go runEvery(ctx, publishInterval, d.services.quarantine.entryAdded, d.services.publishRecords)
	startedAt := d.clock.Now()
	runEvery(ctx, discoveryInterval, nil, func() {
		d.readVMList(ctx)
		d.pollUpstreams(ctx)
		// Seed replaces the VMs of the previous call, and the inventory may be empty
		// while the platform is down, so the configured seeds are always included.
		d.control.Seed(append(d.configuredSeeds(), d.services.applyInventory()...))
		d.advanceJoin(startedAt)
		d.relay.CloseIdleLinks()
		d.updateGauges()
	})
}

// runEvery calls task at once, then after each interval and each receive from wake.
// It returns when ctx ends. A nil wake is never received from.
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

// configuredSeeds returns the peers named in the configuration, without this daemon.
// Through them a daemon finds the fleet while the platform is down.
func (d *Daemon) configuredSeeds() []fleet.VM {
	var vms []fleet.VM
	for _, seed := range d.configuration.seeds {
		if seed != d.configuration.peerAddress {
			vms = append(vms, fleet.NewVM(fleet.ID(seed), "", "", "", false))
		}
	}
	return vms
}

// readVMList reads the platform's VM list if this daemon is one of its readers, and
// publishes the changes.
func (d *Daemon) readVMList(ctx context.Context) {
	if !d.services.readsVMList() {
		return
	}
	d.telemetry.AddToCounter("platform.vm-list-reads", 1)
	requestedAt := d.clock.Now()
	vms, err := d.platform.VMs(ctx)
	if err != nil {
		d.telemetry.AddToCounter("platform.vm-list-failures", 1)
		d.log.V(1).Info("daemon: cannot read VM list", "error", err.Error())
		return
	}
	if invalid := d.platform.InvalidVMs(); invalid > 0 {
		d.telemetry.AddToCounter("platform.vm-list-invalid-elements", invalid)
		d.log.V(1).Info("daemon: VM list has elements that describe no VM", "elements", invalid)
	}
	for _, record := range d.services.observeVMList(requestedAt, inventoryVMs(vms)) {
		d.control.Publish(record)
	}
}

// inventoryVMs converts the platform's VMs to those of the inventory.
func inventoryVMs(vms []platform.VM) []inventory.VM {
	list := make([]inventory.VM, 0, len(vms))
	for _, vm := range vms {
		converted := inventory.NewUpstreamVM(vm.Address(), vm.Service(), vm.DataCentre(), vm.Region())
		if vm.IsEntry() {
			converted = inventory.NewEntryVM(vm.Address(), vm.Peer(), vm.DataCentre(), vm.Region())
		}
		if vm.Leaving() {
			converted = converted.AsLeaving()
		}
		list = append(list, converted)
	}
	return list
}

// pollUpstreams reads the status of the upstreams that the inventory assigns to this
// daemon, and publishes the changes. It skips upstreams that do not answer.
func (d *Daemon) pollUpstreams(ctx context.Context) {
	var calls sync.WaitGroup
	permits := make(chan struct{}, maxStatusCalls)
	for _, address := range d.services.polledUpstreams() {
		permits <- struct{}{}
		calls.Go(func() {
			defer func() { <-permits }()
			requestedAt := d.clock.Now()
			status, err := d.upstreams.Status(ctx, upstream.ID(address))
			if err != nil {
				return
			}
			for _, record := range d.services.observeStatus(requestedAt, address, status) {
				d.control.Publish(record)
			}
		})
	}
	calls.Wait()
}

// advanceJoin completes the join of the daemon in steps. The daemon is ready once it
// knows the settings, the upstreams and the cold-start records of its peers, and the
// other daemons have had time to release its shares. If no peer served before it
// started, it is one of the first daemons and has no records to copy: every upstream
// begins a cold start.
func (d *Daemon) advanceJoin(startedAt clock.Millis) {
	now := d.clock.Now()
	firstAckAt, acknowledged := d.control.FirstAck()
	switch {
	case d.services.hasJoined():
	case acknowledged && d.hasOlderPeer(startedAt):
		if now-firstAckAt > recordCopyTime {
			d.services.completeJoin(true, now+shareReleaseTime)
		}
	case now-startedAt > noPeerTimeout:
		d.services.completeJoin(false, now)
	}
	if d.services.mayServe(now) && d.control.SettingsKnown() && d.services.hasQueryableService() {
		d.control.Ready()
		if d.services.advanceColdShares(now) {
			d.control.Serve()
		}
	}
}

// hasOlderPeer reports whether a serving peer started more than
// simultaneousStartWindow before this daemon. Daemons that start together have no
// records that this one lacks.
func (d *Daemon) hasOlderPeer(startedAt clock.Millis) bool {
	for _, m := range d.control.Members() {
		serving := m.State() == fleet.Alive || m.State() == fleet.Leaving
		if string(m.ID()) != d.configuration.peerAddress && serving &&
			clock.Millis(m.Incarnation()) < startedAt-simultaneousStartWindow {
			return true
		}
	}
	return false
}

// updateGauges updates the gauges of the daemon and the load that it announces to
// its peers: the number of running queries.
func (d *Daemon) updateGauges() {
	running := 0
	for _, service := range d.services.all() {
		running += service.QueryCount()
	}
	d.control.SetLoad(float64(running))
	d.telemetry.SetGauge("queries.running", int64(running))
	for name, value := range d.limiter.Metrics() {
		d.telemetry.SetGauge(name, value)
	}
	d.telemetry.SetGauge("links.control.sent-bytes", int64(d.controlLinks.SentBytes()))
	d.telemetry.SetGauge("links.control.received-bytes", int64(d.controlLinks.ReceivedBytes()))
	d.telemetry.SetGauge("links.control.rejected", int64(d.controlLinks.Rejected()))
	d.telemetry.SetGauge("links.control.dropped", int64(d.controlLinks.Dropped()))
	d.telemetry.SetGauge("links.relay.sent-bytes", int64(d.relayLinks.SentBytes()))
	d.telemetry.SetGauge("links.relay.rejected", int64(d.relayLinks.Rejected()))
}

func (s *services) readsVMList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.ReadsVMList()
}

func (s *services) observeVMList(requestedAt clock.Millis, vms []inventory.VM) []fleet.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.ObserveVMList(requestedAt, vms)
}

func (s *services) polledUpstreams() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.inventory.PolledUpstreams()...)
}

func (s *services) observeStatus(requestedAt clock.Millis, address string, status upstreams.Status) []fleet.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	observed := inventory.NewStatus(address, status.Boot(), status.Cold(), status.Leaving(), status.Holdings())
	return s.inventory.ObserveStatus(requestedAt, observed)
}

// applyInventory applies the changes of the inventory to the engines and returns the
// listed entry VMs. It visits only changed VMs, because each new snapshot changes the
// status of thousands of upstreams.
func (s *services) applyInventory() []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.inventory.TakeChanges()
	entriesChanged := false
	for _, address := range changed {
		vm, listed := s.inventory.VM(address)
		switch {
		case s.entryVMs[address] != (inventory.VM{}) || listed && vm.RunsEntryDaemon():
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

// applyEntry adds, updates or removes a listed entry VM. The caller holds the lock.
func (s *services) applyEntry(address string, vm inventory.VM, listed bool) {
	if !listed {
		delete(s.entryVMs, address)
		return
	}
	s.entryVMs[address] = vm
}

// listEntrySeeds returns the listed entry VMs as seeds for the membership, sorted by
// address. The caller holds the lock.
func (s *services) listEntrySeeds() []fleet.VM {
	vms := make([]fleet.VM, 0, len(s.entryVMs))
	for _, address := range slices.Sorted(maps.Keys(s.entryVMs)) {
		vm := s.entryVMs[address]
		vms = append(vms, fleet.NewVM(fleet.ID(vm.PeerAddress()), vm.Address(), vm.DataCentre(), vm.Region(), vm.Leaving()))
	}
	return vms
}

// applyReplica adds an upstream if it is new or has changed, and reports its status
// to the engine. The upstream is leaving if either the platform or the upstream
// itself says so. The caller holds the lock.
func (s *services) applyReplica(vm inventory.VM) {
	id := upstream.ID(vm.Address())
	service := s.ensureService(vm.Service())
	if s.upstreamVMs[id] != vm {
		service.AddReplica(upstream.NewReplica(id, vm.DataCentre()).WithRegion(vm.Region()))
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
	service.ReceiveReport(report, status.Holdings())
}

// removeReplica removes an upstream that is no longer listed. The caller holds the
// lock.
func (s *services) removeReplica(id upstream.ID) {
	vm, known := s.upstreamVMs[id]
	if !known {
		return
	}
	s.ensureService(vm.Service()).RemoveReplica(id)
	s.daemon.upstreams.Remove(id)
	delete(s.upstreamVMs, id)
}

func (s *services) hasJoined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// completeJoin notifies the engines that the daemon has joined the fleet. recordsCopied
// says whether the daemon has the cold-start records of a peer; servesFrom is the
// time from which it may serve callers.
func (s *services) completeJoin(recordsCopied bool, servesFrom clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined, s.recordsCopied, s.servesFrom = true, recordsCopied, servesFrom
	for _, service := range s.byName {
		service.WithPool(func(now clock.Millis, p *upstream.Pool) { p.CompleteJoin(now, recordsCopied) })
	}
	s.applyConnectionLimits()
}

// mayServe reports whether the daemon has joined and its shares have been released
// by the other daemons.
func (s *services) mayServe(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined && now >= s.servesFrom
}

// advanceColdShares starts the use of the daemon's shares of cold-start levels
// announcementTime after the first call. It reports true from 2*announcementTime
// after the first call, when daemons that started together with this one use theirs
// too.
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

// hasQueryableService reports whether at least one service has a known snapshot.
func (s *services) hasQueryableService() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.byName {
		if service.SnapshotKnown() {
			return true
		}
	}
	return false
}
