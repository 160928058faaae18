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
	// aloneTime is how long a daemon waits for a serving peer before it takes
	// itself for the first one of the fleet.
	aloneTime = 2 * clock.Second
	// copyTime is how long the records of a peer take to arrive after the first
	// exchange: a few rounds of repair.
	copyTime = 1500 * clock.Millisecond
	// releaseTime is how long the others need to release a new daemon's shares.
	releaseTime = 5 * clock.Second
	// settleTime is how long the announcement that a daemon serves takes to
	// reach all others, which then release its parts of cold levels.
	settleTime = clock.Second
	// togetherTime is the greatest distance of two starts that count as one
	// start of the whole fleet.
	togetherTime = 10 * clock.Second
	// pollers bounds the status calls at a time.
	pollers = 32
)

// discover follows the platform's list, the upstreams' status and the fleet
// until ctx ends.
func (d *Daemon) discover(ctx context.Context) {
	d.control.Seed(d.seeds())
	go every(ctx, publishInterval, d.services.quarantine.fresh, d.services.publish)
	started := d.clock.Now()
	every(ctx, discoveryInterval, nil, func() {
		d.readList(ctx)
		d.poll(ctx)
		// The seeds stay among the candidates: each call replaces the earlier
		// ones, and the list is empty while the platform is down.
		d.control.Seed(append(d.seeds(), d.services.apply()...))
		d.join(started)
		d.relay.CloseIdleLinks()
		d.measure()
	})
}

// every calls f at once, then in intervals and when wake has an element, until
// ctx ends.
func every(ctx context.Context, interval clock.Millis, wake <-chan struct{}, f func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
	}
}

// seeds returns the peers named in the configuration, by which a daemon finds
// the fleet while the platform is down.
func (d *Daemon) seeds() []fleet.VM {
	var vms []fleet.VM
	for _, seed := range d.configuration.seeds {
		if seed != d.configuration.peers {
			vms = append(vms, fleet.NewVM(fleet.ID(seed), "", "", "", false))
		}
	}
	return vms
}

// readList reads the platform's list if this daemon is one of its readers.
func (d *Daemon) readList(ctx context.Context) {
	if !d.services.reads() {
		return
	}
	d.telemetry.AddToCounter("platform.vm-list-reads", 1)
	vms, err := d.platform.VMs(ctx)
	if err != nil {
		d.telemetry.AddToCounter("platform.vm-list-failures", 1)
		d.log.V(1).Info("daemon: VM list unavailable", "error", err.Error())
		return
	}
	for _, record := range d.services.listed(convert(vms)) {
		d.control.Publish(record)
	}
}

func convert(vms []platform.VM) []inventory.VM {
	list := make([]inventory.VM, 0, len(vms))
	for _, vm := range vms {
		entry := inventory.NewUpstreamVM(vm.Address(), vm.Service(), vm.DataCentre(), vm.Region())
		if vm.IsEntry() {
			entry = inventory.NewEntryVM(vm.Address(), vm.Peer(), vm.DataCentre(), vm.Region())
		}
		if vm.Leaving() {
			entry = entry.AsLeaving()
		}
		list = append(list, entry)
	}
	return list
}

// poll reads the status of the upstreams that this daemon polls.
func (d *Daemon) poll(ctx context.Context) {
	var wait sync.WaitGroup
	limit := make(chan struct{}, pollers)
	for _, address := range d.services.polls() {
		limit <- struct{}{}
		wait.Go(func() {
			defer func() { <-limit }()
			status, err := d.upstreams.Status(ctx, upstream.ID(address))
			if err != nil {
				return
			}
			for _, record := range d.services.polled(address, status) {
				d.control.Publish(record)
			}
		})
	}
	wait.Wait()
}

// join ends the start of the daemon: it is ready once the settings, the
// upstreams and the cold-start records of its peers are known, and once the
// others had time to release its shares. A daemon without a peer that served
// before it started is one of the first: every upstream is new to it.
func (d *Daemon) join(started clock.Millis) {
	now := d.clock.Now()
	exchanged, met := d.control.Exchanged()
	switch {
	case d.services.hasJoined():
	case met && d.olderPeer(started):
		if now-exchanged > copyTime {
			d.services.join(true, now+releaseTime)
		}
	case now-started > aloneTime:
		d.services.join(false, now)
	}
	if d.services.mayServe(now) && d.control.Known() && d.services.known() {
		d.control.Ready()
		if d.services.settle(now) {
			d.control.Serve()
		}
	}
}

// olderPeer reports whether there is a serving peer that started well before
// this daemon. Daemons that start together know nothing that the others do
// not.
func (d *Daemon) olderPeer(started clock.Millis) bool {
	for _, m := range d.control.Members() {
		serving := m.State() == fleet.Alive || m.State() == fleet.Leaving
		if string(m.ID()) != d.configuration.peers && serving && clock.Millis(m.Incarnation()) < started-togetherTime {
			return true
		}
	}
	return false
}

func (d *Daemon) measure() {
	running := 0
	for _, service := range d.services.all() {
		running += service.Running()
	}
	d.control.SetLoad(float64(running))
	d.telemetry.SetGauge("queries.running", int64(running))
	d.telemetry.SetGauge("links.control.sent-bytes", int64(d.controlLinks.Sent()))
	d.telemetry.SetGauge("links.control.received-bytes", int64(d.controlLinks.Received()))
	d.telemetry.SetGauge("links.control.rejected", int64(d.controlLinks.Rejected()))
	d.telemetry.SetGauge("links.control.dropped", int64(d.controlLinks.Dropped()))
	d.telemetry.SetGauge("links.relay.sent-bytes", int64(d.relayLinks.Sent()))
	d.telemetry.SetGauge("links.relay.rejected", int64(d.relayLinks.Rejected()))
}

func (s *services) reads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.ReadsVMList()
}

func (s *services) listed(vms []inventory.VM) []fleet.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventory.ObserveVMList(s.daemon.clock.Now(), vms)
}

func (s *services) polls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.inventory.PolledUpstreams()...)
}

func (s *services) polled(address string, status upstreams.Status) []fleet.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := inventory.NewStatus(address, status.Boot(), status.Cold(), status.Leaving(), status.Holdings())
	return s.inventory.ObserveStatus(s.daemon.clock.Now(), found)
}

// apply brings the engines in step with what has changed in the inventory and
// returns the entry VMs that it lists. It visits only what has changed, since
// the status of thousands of upstreams changes with each new snapshot.
func (s *services) apply() []fleet.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.inventory.TakeChanges()
	entries := false
	for _, address := range changed {
		vm, listed := s.inventory.VM(address)
		switch {
		case s.entries[address] != (inventory.VM{}) || listed && vm.RunsEntryDaemon():
			s.applyEntry(address, vm, listed)
			entries = true
		case listed:
			s.applyReplica(vm)
		default:
			s.removeReplica(upstream.ID(address))
		}
	}
	if entries {
		s.seeds = s.listEntries()
		s.applyMembers()
	}
	return s.seeds
}

func (s *services) applyEntry(address string, vm inventory.VM, listed bool) {
	if !listed {
		delete(s.entries, address)
		return
	}
	s.entries[address] = vm
}

// listEntries returns the listed entry VMs for the membership.
func (s *services) listEntries() []fleet.VM {
	vms := make([]fleet.VM, 0, len(s.entries))
	for _, address := range slices.Sorted(maps.Keys(s.entries)) {
		vm := s.entries[address]
		vms = append(vms, fleet.NewVM(fleet.ID(vm.PeerAddress()), vm.Address(), vm.DataCentre(), vm.Region(), vm.Leaving()))
	}
	return vms
}

// applyReplica adds an upstream if it is new and hands on its status. It is
// leaving if either the platform or the upstream itself says so.
func (s *services) applyReplica(vm inventory.VM) {
	id := upstream.ID(vm.Address())
	service := s.service(vm.Service())
	if s.replicas[id] != vm {
		service.Add(upstream.NewReplica(id, vm.DataCentre()).WithRegion(vm.Region()))
		s.replicas[id] = vm
		s.limitOne(service, id)
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
	vm, known := s.replicas[id]
	if !known {
		return
	}
	s.service(vm.Service()).Remove(id)
	s.daemon.upstreams.Remove(id)
	delete(s.replicas, id)
}

func (s *services) hasJoined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// join tells the engines that the daemon has joined the fleet, with or without
// a copy of its peers' cold-start records, and may serve from the given
// instant on.
func (s *services) join(copied bool, serves clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined, s.copied, s.serves = true, copied, serves
	for _, service := range s.byName {
		service.Pool(func(now clock.Millis, p *upstream.Pool) { p.CompleteJoin(now, copied) })
	}
	s.limit()
}

func (s *services) mayServe(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined && now >= s.serves
}

// settle starts the use of cold levels some time after the first call. It
// reports whether daemons that started together with this one use them too.
func (s *services) settle(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announced == 0 {
		s.announced = now
	}
	if !s.settled && now-s.announced >= settleTime {
		s.settled = true
		s.applyMembers()
	}
	return now-s.announced >= 2*settleTime
}

// known reports whether any service can be queried.
func (s *services) known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.byName {
		if service.Known() {
			return true
		}
	}
	return false
}
