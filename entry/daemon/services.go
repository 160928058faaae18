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
	engineSeed uint64
	quarantine quarantineList

	mu             sync.Mutex
	byName         map[string]*engine.Service
	upstreamVMs    map[upstream.ID]inventory.VM
	inventory      inventory.Inventory
	entryVMs       map[string]inventory.VM // listed entry VMs by callers' address
	entrySeeds     []fleet.VM              // entries, for the membership
	poolMembers    []upstream.Member       // as handed on to the pools
	tree           *settings.Tree
	members        []fleet.Member
	joined         bool
	recordsCopied  bool
	servesFrom     clock.Millis // instant from which callers may be served
	readyAt        clock.Millis
	usesColdShares bool // whether this daemon uses its shares of cold levels
}

func newServices(d *Daemon, seed uint64) *services {
	s := &services{
		daemon: d, engineSeed: seed, tree: &settings.Tree{},
		byName:      make(map[string]*engine.Service),
		upstreamVMs: make(map[upstream.ID]inventory.VM),
		entryVMs:    make(map[string]inventory.VM),
	}
	s.quarantine.list.SetJournal(&d.journal)
	s.quarantine.entryAdded = make(chan struct{}, 1)
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
	return s.ensureService(name), true
}

// ensureService returns the engine of a service and creates it if needed.
func (s *services) ensureService(name string) *engine.Service {
	if service := s.byName[name]; service != nil {
		return service
	}
	service := engine.New(name, engine.Parts{
		Clock: s.daemon.clock, Exchanger: s, Quarantine: &s.quarantine, Journal: &s.daemon.journal,
	}, s.engineSeed+uint64(len(s.byName)))
	s.byName[name] = service
	s.configure(service)
	service.Pool(func(now clock.Millis, p *upstream.Pool) {
		p.SetMembers(now, s.daemon.configuration.peerAddress, s.poolMembers)
		p.SetDataCentresOut(now, s.tree.DataCentresOut())
		if s.joined {
			p.CompleteJoin(now, s.recordsCopied)
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
	s.quarantine.setCanaryEnabled(effective.CanaryEnabled())
	s.daemon.upstreams.SetTimeouts(effective.ConnectionsDial(), effective.ConnectionsIdle())
	for _, service := range s.byName {
		s.configure(service)
		service.Pool(func(now clock.Millis, p *upstream.Pool) { p.SetDataCentresOut(now, tree.DataCentresOut()) })
	}
	s.applyConnectionLimits()
	if revision > keptRevisions {
		s.daemon.telemetry.Forget(revision - keptRevisions)
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
		if m.Alive() || m.ID() == fleet.ID(s.daemon.configuration.peerAddress) {
			alive = append(alive, string(m.ID()))
		}
	}
	s.inventory.SetMembers(s.daemon.configuration.peerAddress, alive)
	s.applyMembers()
}

// applyMembers hands on the daemons that share limits if they have changed.
// Dividing the limits of 11,000 upstreams takes tens of milliseconds.
func (s *services) applyMembers() {
	members := s.shareMembers()
	if slices.Equal(members, s.poolMembers) {
		return
	}
	s.poolMembers = members
	for _, service := range s.byName {
		service.Pool(func(now clock.Millis, p *upstream.Pool) {
			p.SetMembers(now, s.daemon.configuration.peerAddress, members)
		})
	}
	s.applyConnectionLimits()
}

// applyConnectionLimits tells the upstream client this daemon's share of each upstream's
// connections.
func (s *services) applyConnectionLimits() {
	for id, vm := range s.upstreamVMs {
		s.applyConnectionLimit(s.byName[vm.Service()], id)
	}
}

func (s *services) applyConnectionLimit(service *engine.Service, id upstream.ID) {
	service.Pool(func(_ clock.Millis, p *upstream.Pool) {
		s.daemon.upstreams.SetLimit(id, p.ConnectionLimit(id))
	})
}

// shareMembers returns the daemons that share the limits of upstreams: the members
// and the entry VMs that the platform lists.
func (s *services) shareMembers() []upstream.Member {
	listed := make(map[string]inventory.VM)
	for _, vm := range s.entryVMs {
		listed[vm.Peer()] = vm
	}
	var members []upstream.Member
	for _, m := range s.members {
		state := poolMemberState(m.State())
		if string(m.ID()) == s.daemon.configuration.peerAddress && !s.usesColdShares {
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

func poolMemberState(state fleet.State) upstream.MemberState {
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
	subRequest := relay.NewSub(action, request.ID(), request.Service(), request.Body())
	return s.daemon.relay.Exchange(ctx, choice.Via(), subRequest)
}

// RunRelayed runs a sub-request of a peer's query on this daemon's share. A
// planned stop waits for it.
func (s *services) RunRelayed(ctx context.Context, subRequest relay.Sub) query.AttemptResult {
	s.daemon.control.Begin()
	defer s.daemon.control.End()
	s.mu.Lock()
	service := s.byName[subRequest.Service()]
	s.mu.Unlock()
	if service == nil {
		return query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, ""))
	}
	pick := upstream.NewPickRequest(subRequest.Shard(), subRequest.Version(), []string{string(subRequest.Upstream())}).ForPeer(subRequest.Granted())
	return service.RunForPeer(ctx, pick, func(ctx context.Context, choice upstream.Choice) query.AttemptResult {
		return s.daemon.upstreams.Exchange(ctx, upstreams.NewRelayedExchange(subRequest, choice))
	})
}

// quarantineList makes a quarantine.List safe for concurrent use: the services
// share one list, each under its own lock.
type quarantineList struct {
	mu         sync.Mutex
	list       quarantine.List
	entryAdded chan struct{} // has an element once there is a new entry
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
	return q.signalIfBlocked(q.list.RecordCrash(now, f, id, sent))
}

func (q *quarantineList) BlockIfConfirmed(now clock.Millis, f quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.signalIfBlocked(q.list.BlockIfConfirmed(now, f))
}

// signalIfBlocked has a new entry flooded at once: callers resend at once, so that
// peers must not hear of it at the next interval only.
func (q *quarantineList) signalIfBlocked(blocked bool) bool {
	if blocked {
		select {
		case q.entryAdded <- struct{}{}:
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

func (q *quarantineList) receiveEntry(now clock.Millis, entry quarantine.Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.ReceiveEntry(now, entry)
}

func (q *quarantineList) setCanaryEnabled(enabled bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.SetCanaryEnabled(enabled)
}
