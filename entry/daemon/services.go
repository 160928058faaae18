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

// services holds the engines of all services and applies changes of the inventory,
// the settings and the members to them. It is safe for concurrent use.
type services struct {
	daemon     *Daemon
	engineSeed uint64 // the seed of an engine is engineSeed plus the number of engines before it
	quarantine quarantineList

	mu             sync.Mutex
	byName         map[string]*engine.Service // engines by service name, user/service
	upstreamVMs    map[upstream.ID]inventory.VM
	inventory      inventory.Inventory
	entryVMs       map[string]inventory.VM // listed entry VMs by the address for callers
	entrySeeds     []fleet.VM              // entryVMs as seeds for the membership
	poolMembers    []upstream.Member       // members last passed to the pools
	tree           *settings.Tree
	members        []fleet.Member
	joined         bool
	recordsCopied  bool
	servesFrom     clock.Millis // time from which callers may be served
	readyAt        clock.Millis // time of the first call of advanceColdShares; zero before
	usesColdShares bool         // whether this daemon uses its shares of cold-start levels
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

// Service returns the engine of a service named user/service, and false if it has
// no engine and is not in the settings.
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

// ensureService returns the engine of a service and creates it if needed. The caller
// holds the lock.
func (s *services) ensureService(name string) *engine.Service {
	if service := s.byName[name]; service != nil {
		return service
	}
	service := engine.New(name, engine.Dependencies{
		Clock: s.daemon.clock, Exchanger: s, Quarantine: &s.quarantine, Journal: &s.daemon.journal,
	}, s.engineSeed+uint64(len(s.byName)))
	s.byName[name] = service
	s.configure(service)
	service.WithPool(func(now clock.Millis, p *upstream.Pool) {
		p.SetMembers(now, s.daemon.configuration.peerAddress, s.poolMembers)
		p.SetDataCentresOut(now, s.tree.DataCentresOut())
		if s.joined {
			p.CompleteJoin(now, s.recordsCopied)
		}
	})
	return service
}

// configure passes the settings in force to an engine. The caller holds the lock.
func (s *services) configure(service *engine.Service) {
	user, name, _ := strings.Cut(service.Name(), "/")
	effective, _ := s.tree.Effective(user, name)
	service.Configure(engine.NewConfiguration(effective))
}

// all returns the engines sorted by name.
func (s *services) all() []*engine.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*engine.Service
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		list = append(list, s.byName[name])
	}
	return list
}

// SettingsApplied applies a settings tree to the engines and the upstream client.
func (s *services) SettingsApplied(tree *settings.Tree, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = tree
	effective, _ := tree.Effective()
	s.quarantine.setCanaryEnabled(effective.CanaryEnabled())
	s.daemon.upstreams.SetTimeouts(effective.ConnectionsDial(), effective.ConnectionsIdle())
	for _, service := range s.byName {
		s.configure(service)
		service.WithPool(func(now clock.Millis, p *upstream.Pool) { p.SetDataCentresOut(now, tree.DataCentresOut()) })
	}
	s.applyConnectionLimits()
	if revision > keptRevisions {
		s.daemon.telemetry.RemoveRevisionsBefore(revision - keptRevisions)
	}
}

// keptRevisions is the number of settings revisions for which the counters of good
// and bad answers are kept: an hour of changes at the design size.
const keptRevisions = 150

// MembersChanged applies a new list of members to the inventory and the engines.
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

// applyMembers passes the daemons that share the limits of upstreams to the pools. It
// does nothing if they are unchanged, because the division of the limits of 11,000
// upstreams takes tens of milliseconds. The caller holds the lock.
func (s *services) applyMembers() {
	members := s.shareMembers()
	if slices.Equal(members, s.poolMembers) {
		return
	}
	s.poolMembers = members
	for _, service := range s.byName {
		service.WithPool(func(now clock.Millis, p *upstream.Pool) {
			p.SetMembers(now, s.daemon.configuration.peerAddress, members)
		})
	}
	s.applyConnectionLimits()
}

// applyConnectionLimits passes this daemon's share of the connections of each upstream
// to the upstream client. The caller holds the lock.
func (s *services) applyConnectionLimits() {
	for id, vm := range s.upstreamVMs {
		s.applyConnectionLimit(s.byName[vm.Service()], id)
	}
}

func (s *services) applyConnectionLimit(service *engine.Service, id upstream.ID) {
	service.WithPool(func(_ clock.Millis, p *upstream.Pool) {
		s.daemon.upstreams.SetLimit(id, p.ConnectionLimit(id))
	})
}

// shareMembers returns the daemons that share the limits of upstreams: the members
// and the listed entry VMs. This daemon counts as joining until it uses its shares of
// cold-start levels. The caller holds the lock.
func (s *services) shareMembers() []upstream.Member {
	listed := make(map[string]inventory.VM)
	for _, vm := range s.entryVMs {
		listed[vm.PeerAddress()] = vm
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

// poolMemberState converts the state of a member to that of a pool's member.
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

// Exchange sends a sub-request to the chosen upstream, directly or through the peer
// that the choice names.
func (s *services) Exchange(ctx context.Context, action query.Action, request query.Request) query.AttemptResult {
	choice := action.Choice()
	if choice.Via() == "" {
		exchange := upstreams.NewExchange(action, request.ID(), request.Service(), request.Body())
		return s.daemon.upstreams.Exchange(ctx, exchange)
	}
	subRequest := relay.NewSubRequest(action, request.ID(), request.Service(), request.Body())
	return s.daemon.relay.Exchange(ctx, choice.Via(), subRequest)
}

// RunRelayed runs a sub-request of a peer's query on this daemon's share. It counts
// as a request of a caller, so that a planned stop waits for its end.
func (s *services) RunRelayed(ctx context.Context, subRequest relay.SubRequest) query.AttemptResult {
	s.daemon.control.BeginRequest()
	defer s.daemon.control.EndRequest()
	s.mu.Lock()
	service := s.byName[subRequest.Service()]
	s.mu.Unlock()
	if service == nil {
		return query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, ""))
	}
	upstreamIDs := []string{string(subRequest.Upstream())}
	pick := upstream.NewPickRequest(subRequest.Shard(), subRequest.Version(), upstreamIDs).
		ForPeer(subRequest.ColdShareGranted())
	return service.RunForPeer(ctx, pick, func(ctx context.Context, choice upstream.Choice) query.AttemptResult {
		return s.daemon.upstreams.Exchange(ctx, upstreams.NewRelayedExchange(subRequest, choice))
	})
}

// quarantineList is a quarantine.List that is safe for concurrent use. All engines
// share it, and each calls it under its own lock only.
type quarantineList struct {
	mu         sync.Mutex
	list       quarantine.List
	entryAdded chan struct{} // buffered signal: an entry was added
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

func (q *quarantineList) RecordCrash(
	now clock.Millis, f quarantine.Fingerprint, id upstream.ID, sent clock.Millis,
) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.signalIfBlocked(q.list.RecordCrash(now, f, id, sent))
}

func (q *quarantineList) BlockIfConfirmed(now clock.Millis, f quarantine.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.signalIfBlocked(q.list.BlockIfConfirmed(now, f))
}

// signalIfBlocked has a new entry published at once if blocked, and returns blocked.
// Callers resend at once, so peers must not have to wait for the entry until the next
// publishInterval. The caller holds the lock.
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

// changes returns the entries to publish that changed since the last call.
func (q *quarantineList) changes() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.TakeChanges()
}

// receiveEntry adds an entry that a peer published.
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
