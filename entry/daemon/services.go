package daemon

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/inventory"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/callers"
	"github.com/lovagegap/lovagegap/entry/engine"
	"github.com/lovagegap/lovagegap/entry/relay"
	"github.com/lovagegap/lovagegap/entry/upstreams"
)

// services holds the engines of all services and keeps them in step with the
// inventory, the settings and the members. It is safe for concurrent use.
type services struct {
	daemon     *Daemon
	seed       uint64
	quarantine quarantineList

	mu        sync.Mutex
	byName    map[string]*engine.Service
	replicas  map[upstream.ID]inventory.VM
	inventory inventory.Inventory
	entries   map[string]inventory.VM // listed entry VMs by callers' address
	seeds     []fleet.VM              // entries, for the membership
	shared    []upstream.Member       // as handed on to the pools
	tree      *settings.Tree
	members   []fleet.Member
	joined    bool
	copied    bool
	serves    clock.Millis // instant from which callers may be served
	announced clock.Millis
	settled   bool // whether this daemon uses its shares of cold levels
}

func newServices(d *Daemon, seed uint64) *services {
	s := &services{
		daemon: d, seed: seed, tree: &settings.Tree{},
		byName:   make(map[string]*engine.Service),
		replicas: make(map[upstream.ID]inventory.VM),
		entries:  make(map[string]inventory.VM),
	}
	s.quarantine.list.SetJournal(&d.journal)
	s.quarantine.fresh = make(chan struct{}, 1)
	return s
}

// Service finds a service by its name in the form user/service.
func (s *services) Service(name string) (callers.Service, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if service := s.byName[name]; service != nil {
		return service, true
	}
	user, service, _ := strings.Cut(name, "/")
	if !s.tree.HasService(user, service) {
		return nil, false
	}
	return s.service(name), true
}

// service returns the engine of a service and creates it if needed.
func (s *services) service(name string) *engine.Service {
	if service := s.byName[name]; service != nil {
		return service
	}
	service := engine.New(name, engine.Parts{
		Clock: s.daemon.clock, Exchanger: s, Quarantine: &s.quarantine, Journal: &s.daemon.journal,
	}, s.seed+uint64(len(s.byName)))
	s.byName[name] = service
	s.configure(service)
	service.Pool(func(now clock.Millis, p *upstream.Pool) {
		p.SetMembers(now, s.daemon.configuration.peers, s.shared)
		p.SetDataCentresOut(now, s.tree.DataCentresOut())
		if s.joined {
			p.CompleteJoin(now, s.copied)
		}
	})
	return service
}

func (s *services) configure(service *engine.Service) {
	user, name, _ := strings.Cut(service.Name(), "/")
	effective, _ := s.tree.Effective(user, name)
	service.Configure(engine.NewConfiguration(effective))
}

// all returns the engines in the order of their names.
func (s *services) all() []*engine.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*engine.Service
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		list = append(list, s.byName[name])
	}
	return list
}

// SettingsInForce puts a settings tree in force.
func (s *services) SettingsInForce(tree *settings.Tree, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = tree
	effective, _ := tree.Effective()
	s.quarantine.enableCanary(effective.CanaryEnabled())
	s.daemon.upstreams.SetTimeouts(effective.ConnectionsDial(), effective.ConnectionsIdle())
	for _, service := range s.byName {
		s.configure(service)
		service.Pool(func(now clock.Millis, p *upstream.Pool) { p.SetDataCentresOut(now, tree.DataCentresOut()) })
	}
	s.limit()
	if revision > keptRevisions {
		s.daemon.telemetry.RemoveRevisionsBefore(revision - keptRevisions)
	}
}

// keptRevisions is the number of settings revisions whose counters of good and
// bad answers are kept: an hour of changes at the design size.
const keptRevisions = 150

// MembersChanged takes a new member view.
func (s *services) MembersChanged(members []fleet.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
	var alive []string
	for _, m := range members {
		if m.Alive() || m.ID() == fleet.ID(s.daemon.configuration.peers) {
			alive = append(alive, string(m.ID()))
		}
	}
	s.inventory.SetMembers(s.daemon.configuration.peers, alive)
	s.applyMembers()
}

// applyMembers hands on the daemons that share limits if they have changed.
// Dividing the limits of 11,000 upstreams takes tens of milliseconds.
func (s *services) applyMembers() {
	shares := s.shares()
	if slices.Equal(shares, s.shared) {
		return
	}
	s.shared = shares
	for _, service := range s.byName {
		service.Pool(func(now clock.Millis, p *upstream.Pool) {
			p.SetMembers(now, s.daemon.configuration.peers, shares)
		})
	}
	s.limit()
}

// limit tells the upstream client this daemon's share of each upstream's
// connections.
func (s *services) limit() {
	for id, vm := range s.replicas {
		s.limitOne(s.byName[vm.Service()], id)
	}
}

func (s *services) limitOne(service *engine.Service, id upstream.ID) {
	service.Pool(func(_ clock.Millis, p *upstream.Pool) {
		s.daemon.upstreams.SetLimit(id, p.ConnectionLimit(id))
	})
}

// shares returns the daemons that share the limits of upstreams: the members
// and the entry VMs that the platform lists.
func (s *services) shares() []upstream.Member {
	listed := make(map[string]inventory.VM)
	for _, vm := range s.entries {
		listed[vm.PeerAddress()] = vm
	}
	var members []upstream.Member
	for _, m := range s.members {
		state := shareState(m.State())
		if string(m.ID()) == s.daemon.configuration.peers && !s.settled {
			state = upstream.Joining
		}
		member := upstream.NewMember(string(m.ID()), m.Region(), m.DataCentre(), state)
		if _, ok := listed[string(m.ID())]; ok {
			member = member.WithListed()
			delete(listed, string(m.ID()))
		}
		members = append(members, member)
	}
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		vm := listed[id]
		members = append(members, upstream.NewMember(id, vm.Region(), vm.DataCentre(), upstream.ListedOnly).WithListed())
	}
	return members
}

func shareState(state fleet.State) upstream.MemberState {
	switch state {
	case fleet.Joining:
		return upstream.Joining
	case fleet.Leaving:
		return upstream.Leaving
	case fleet.Suspect:
		return upstream.Suspect
	case fleet.Dead:
		return upstream.Dead
	case fleet.Left:
		return upstream.Left
	default:
		return upstream.Alive
	}
}

// Exchange carries a sub-request to its upstream, directly or through a peer.
func (s *services) Exchange(ctx context.Context, action query.Action, request query.Request) query.AttemptResult {
	choice := action.Choice()
	if choice.Via() == "" {
		exchange := upstreams.NewExchange(action, request.ID(), request.Service(), request.Body())
		return s.daemon.upstreams.Exchange(ctx, exchange)
	}
	sub := relay.NewSubRequest(action, request.ID(), request.Service(), request.Body())
	return s.daemon.relay.Exchange(ctx, choice.Via(), sub)
}

// RunRelayed runs a sub-request of a peer's query on this daemon's share. A
// planned stop waits for it.
func (s *services) RunRelayed(ctx context.Context, sub relay.SubRequest) query.AttemptResult {
	s.daemon.control.Begin()
	defer s.daemon.control.End()
	s.mu.Lock()
	service := s.byName[sub.Service()]
	s.mu.Unlock()
	if service == nil {
		return query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, ""))
	}
	ask := upstream.NewPickRequest(sub.Shard(), sub.Version(), []string{string(sub.Upstream())}).ForPeer(sub.ColdShareGranted())
	return service.RunForPeer(ctx, ask, func(ctx context.Context, choice upstream.Choice) query.AttemptResult {
		return s.daemon.upstreams.Exchange(ctx, upstreams.NewRelayedExchange(sub, choice))
	})
}

// quarantineList makes a quarantine.List safe for concurrent use: the services
// share one list, each under its own lock.
type quarantineList struct {
	mu    sync.Mutex
	list  quarantine.List
	fresh chan struct{} // has an element once there is a new entry
}

func (q *quarantineList) IsBlocked(now clock.Millis, f quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.IsBlocked(now, f)
}

func (q *quarantineList) IsSuspect(now clock.Millis, f quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.IsSuspect(now, f)
}

func (q *quarantineList) NeedsCanary(now clock.Millis, f quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.NeedsCanary(now, f)
}

func (q *quarantineList) RecordCrash(now clock.Millis, f quarantine.Fingerprint, id upstream.ID, sent clock.Millis) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.announce(q.list.RecordCrash(now, f, id, sent))
}

func (q *quarantineList) BlockIfConfirmed(now clock.Millis, f quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.announce(q.list.BlockIfConfirmed(now, f))
}

// announce has a new entry flooded at once: callers resend at once, so that
// peers must not hear of it at the next interval only.
func (q *quarantineList) announce(blocked bool) bool {
	if blocked {
		select {
		case q.fresh <- struct{}{}:
		default:
		}
	}
	return blocked
}

func (q *quarantineList) RecordSuccess(now clock.Millis, f quarantine.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.RecordSuccess(now, f)
}

func (q *quarantineList) changes() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Changes()
}

func (q *quarantineList) learn(now clock.Millis, entry quarantine.Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.ReceiveEntry(now, entry)
}

func (q *quarantineList) enableCanary(enabled bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.SetCanaryEnabled(enabled)
}
