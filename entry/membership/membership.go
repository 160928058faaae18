// Package membership maintains the view of the entry daemons for a daemon that serves
// routes: which members there are, which of them serve callers, and how many share
// the fleet-wide limits.
//
// Package core/fleet takes the decisions. The roster ticks its state machine, feeds
// it the messages of peers and carries out its actions.
//
// # Usage
//
//	r := membership.New(membership.Dependencies{…})
//	r.Connect(hub)
//	go r.Run(ctx)
//	r.Ready() // announces that callers are served
//	addresses := r.Addresses("ikeja", "ng-southwest")
//	r.Leave(); … r.Left() // planned stop
package membership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/journal"
)

// Links sends messages to other daemons. The package peers implements it. Its
// methods must not block, since they are called under the lock of the roster.
type Links interface {
	Dial(peer string)
	Disconnect(peer string)
	// Send queues a message. An error means that no byte of it was sent.
	Send(peer string, message []byte) error
}

// Dependencies holds the collaborators of a roster. The functions are called under
// the lock of the roster and must not call it.
type Dependencies struct {
	Clock  clock.Clock
	Log    logr.Logger
	Self   fleet.Member
	Random *rand.Rand
	// DaemonCountChanged gets the number of daemons that share the fleet-wide limits.
	DaemonCountChanged func(daemons int)
	// SourcesChanged gets the peers of the same data centre that this daemon may
	// follow for changes of the store, in order of preference. None means that it
	// reads the store itself.
	SourcesChanged func(peers []string)
	// RegionsChanged gets the region of each known data centre. It may keep the map
	// but must not modify it.
	RegionsChanged func(regions map[string]string)
	// ServingChanged gets the members that serve callers. It must not keep the slice.
	ServingChanged func(members []fleet.Member)
	// RecordAccepted gets a record of another subsystem that a peer has published.
	RecordAccepted func(record fleet.Record)
}

// Tracker is this daemon's view of the fleet. It is safe for concurrent use.
type Tracker struct {
	deps  Dependencies
	links Links

	mu            sync.Mutex
	membership    *fleet.Membership
	seeds         map[fleet.ID]bool
	daemonCount   int
	startedAt     clock.Millis
	seedGraceOver bool // whether seedGracePeriod has passed
	serving       []fleet.Member
	regions       map[string]string       // by data centre, kept when its daemons are lost
	lastServed    map[string]clock.Millis // time, by caller address of a daemon in another data centre
}

// New returns a roster that knows only the daemon itself. It calls RegionsChanged
// with the daemon's own region.
func New(deps Dependencies) *Tracker {
	r := &Tracker{
		deps: deps, membership: fleet.New(deps.Self, deps.Random, memberLog{deps.Log}),
		seeds: make(map[fleet.ID]bool), daemonCount: 1, startedAt: deps.Clock.Now(),
		lastServed: make(map[string]clock.Millis), regions: make(map[string]string),
	}
	r.updateRegions([]fleet.Member{deps.Self})
	return r
}

// memberLog is a journal that logs changes of members and pauses of this daemon.
type memberLog struct{ log logr.Logger }

// Add logs a change.
func (l memberLog) Add(_ clock.Millis, _ journal.Kind, subject, cause string) {
	l.log.Info("member changed", "member", subject, "cause", cause)
}

// Connect sets the links to other daemons. It must be called before any other
// method.
func (r *Tracker) Connect(links Links) { r.links = links }

// seedGracePeriod is the time from the start in which seeds that have not answered
// count as daemons, so that a starting daemon does not take too large a share of the
// fleet-wide limits.
const seedGracePeriod = 5 * clock.Second

// Run ticks the state machine until ctx ends.
func (r *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(fleet.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.update(r.tick)
		}
	}
}

func (r *Tracker) tick(now clock.Millis) []fleet.Action {
	if !r.seedGraceOver && now >= r.startedAt+seedGracePeriod {
		r.seedGraceOver = true
		r.updateDaemonCount()
	}
	return r.membership.Tick(now)
}

// update runs one step of the state machine under the lock and carries out its
// actions.
func (r *Tracker) update(step func(now clock.Millis) []fleet.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(step(r.deps.Clock.Now()))
}

func (r *Tracker) perform(actions []fleet.Action) {
	for _, action := range actions {
		switch action.Kind() {
		case fleet.Send:
			data, err := fleet.Encode(r.membership.Self(), action.Message())
			if err == nil {
				err = r.links.Send(string(action.Peer()), data)
			}
			if err != nil {
				r.deps.Log.V(1).Info("message not sent", "peer", string(action.Peer()), "error", err.Error())
			}
		case fleet.Dial:
			r.links.Dial(string(action.Peer()))
		case fleet.Disconnect:
			r.links.Disconnect(string(action.Peer()))
		case fleet.MembersChanged:
			r.handleMembersChanged()
		case fleet.RecordAccepted:
			r.deps.RecordAccepted(action.Record())
		}
	}
}

// AddSeeds adds peer addresses of daemons that may be running.
func (r *Tracker) AddSeeds(addresses []string) {
	r.update(func(now clock.Millis) []fleet.Action {
		known := len(r.seeds)
		for _, address := range addresses {
			if id := fleet.ID(address); id != r.deps.Self.ID() {
				r.seeds[id] = true
			}
		}
		if len(r.seeds) == known {
			return nil
		}
		vms := make([]fleet.VM, 0, len(r.seeds))
		for id := range r.seeds {
			vms = append(vms, fleet.NewVM(id, "", "", "", false))
		}
		r.updateDaemonCount()
		return r.membership.Seed(now, vms)
	})
}

// handleMembersChanged derives the state that depends on the members and calls
// the functions of Dependencies that depend on it.
func (r *Tracker) handleMembersChanged() {
	members := r.membership.Members()
	r.updateRegions(members)
	r.serving = r.serving[:0]
	for _, m := range members {
		switch {
		case m.Alive() && m.CallerAddress() != "":
			r.serving = append(r.serving, m)
		case m.State() == fleet.Leaving, m.State() == fleet.Left:
			delete(r.lastServed, m.CallerAddress())
		}
	}
	r.deps.ServingChanged(r.serving)
	r.updateLastServed()
	r.updateDaemonCount()
	r.deps.SourcesChanged(r.sources())
}

// updateRegions records the regions of the members' data centres.
func (r *Tracker) updateRegions(members []fleet.Member) {
	changed := false
	for _, m := range members {
		if m.DataCentre() != "" && m.Region() != "" && r.regions[m.DataCentre()] != m.Region() {
			r.regions[m.DataCentre()] = m.Region()
			changed = true
		}
	}
	if changed {
		r.deps.RegionsChanged(maps.Clone(r.regions))
	}
}

const (
	// cutOffRetention is how long a daemon that was last seen serving is still
	// returned to callers while no other data centre is reachable.
	cutOffRetention = 20 * clock.Second
	// linkedRetention is how long it is kept while other data centres are reachable:
	// then the daemon itself has probably stopped.
	linkedRetention = 6 * clock.Second
)

// updateLastServed records which daemons of other data centres serve callers and
// returns their caller addresses. It drops those past their retention.
func (r *Tracker) updateLastServed() []string {
	now := r.deps.Clock.Now()
	var serving []string
	for _, m := range r.serving {
		if m.DataCentre() != r.deps.Self.DataCentre() {
			serving = append(serving, m.CallerAddress())
			r.lastServed[m.CallerAddress()] = now
		}
	}
	limit := cutOffRetention
	if len(serving) > 0 {
		limit = linkedRetention
	}
	maps.DeleteFunc(r.lastServed, func(_ string, at clock.Millis) bool { return now-at > limit })
	return serving
}

// RemoteAddresses returns caller addresses of serving daemons in other data centres, at
// most maxAddresses in random order. If no such daemon is known to serve, linked is
// false and the addresses are those of the daemons that were seen serving last.
func (r *Tracker) RemoteAddresses() (addresses []string, linked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses = r.updateLastServed()
	linked = len(addresses) > 0
	if !linked {
		addresses = slices.Collect(maps.Keys(r.lastServed))
	}
	r.deps.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAddresses)], linked
}

// maxSources limits the peers that a daemon may follow.
const maxSources = 3

// sources returns the live daemons of the same data centre whose ids sort before
// this one's: the first daemon reads the store, the others follow it.
func (r *Tracker) sources() []string {
	var before []string
	for _, m := range r.membership.Members() {
		if m.DataCentre() == r.deps.Self.DataCentre() && m.Alive() && m.ID() < r.deps.Self.ID() {
			before = append(before, string(m.ID()))
		}
	}
	return before[:min(len(before), maxSources)]
}

// updateDaemonCount counts the daemons that share the fleet-wide limits. These are
// all that may still send requests, so suspected and leaving ones too, and within
// seedGracePeriod the seeds.
func (r *Tracker) updateDaemonCount() {
	present := 0
	for _, m := range r.membership.Members() {
		switch m.State() {
		case fleet.Dead, fleet.Left:
		default:
			present++
		}
	}
	if !r.seedGraceOver {
		present = max(present, len(r.seeds)+1)
	}
	if present != r.daemonCount {
		r.daemonCount = present
		r.deps.Log.Info("shares of fleet-wide limits recomputed", "daemons", present)
		r.deps.DaemonCountChanged(present)
	}
}

// Publish distributes a record of another subsystem to all daemons.
func (r *Tracker) Publish(record fleet.Record) {
	r.update(func(now clock.Millis) []fleet.Action { return r.membership.Publish(now, record) })
}

// Ready announces that the daemon serves callers.
func (r *Tracker) Ready() { r.update(r.membership.Ready) }

// Leave announces that the daemon is about to stop.
func (r *Tracker) Leave() { r.update(r.membership.Leave) }

// Left announces that the daemon has stopped.
func (r *Tracker) Left() { r.update(r.membership.Left) }

// Members returns the records of all known members, including dead ones and those
// that left.
func (r *Tracker) Members() []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Members()
}

// LinkedPeers returns the daemons with an open link.
func (r *Tracker) LinkedPeers() []fleet.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Links()
}

// maxAddresses limits the addresses in an answer to a caller.
const maxAddresses = 64

// Addresses returns the caller addresses of the daemons that serve a data centre, at
// most maxAddresses. If the data centre has fewer than two, daemons of its region are
// added, since a caller needs a second address for when the first one fails. Daemons
// of other regions are returned only if the region has none. The region matters only
// if that of the data centre is not known.
func (r *Tracker) Addresses(dataCentre, region string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.regions[dataCentre]; known != "" {
		region = known
	}
	var local, sameRegion, otherRegions []string
	for _, m := range r.serving {
		switch {
		case m.DataCentre() == dataCentre:
			local = append(local, m.CallerAddress())
		case m.Region() == region || region == "":
			sameRegion = append(sameRegion, m.CallerAddress())
		default:
			otherRegions = append(otherRegions, m.CallerAddress())
		}
	}
	if len(local)+len(sameRegion) == 0 {
		sameRegion = otherRegions
	}
	if len(local) < 2 {
		r.deps.Random.Shuffle(len(sameRegion), func(i, j int) { sameRegion[i], sameRegion[j] = sameRegion[j], sameRegion[i] })
		local = append(local, sameRegion[:min(2-len(local), len(sameRegion))]...)
	}
	if len(local) > maxAddresses {
		r.deps.Random.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
		local = local[:maxAddresses]
	}
	return slices.Clone(local)
}

// LinkUp handles a link to the peer that opened.
func (r *Tracker) LinkUp(peer string) {
	r.update(func(now clock.Millis) []fleet.Action { return r.membership.LinkUp(now, fleet.ID(peer)) })
}

// LinkDown handles a link to the peer that broke or could not be opened.
func (r *Tracker) LinkDown(peer string) {
	r.update(func(now clock.Millis) []fleet.Action { return r.membership.LinkDown(now, fleet.ID(peer)) })
}

// Receive handles a message of an authenticated peer. For a malformed message it
// returns a sentinel error of package fleet.
func (r *Tracker) Receive(peer string, message []byte) error {
	envelope, err := fleet.DecodeEnvelope(message)
	if err != nil {
		return err
	}
	if string(envelope.From()) != peer {
		return fleet.ErrMalformed
	}
	decoded, err := fleet.Decode(envelope)
	if err != nil {
		return err
	}
	r.update(func(now clock.Millis) []fleet.Action { return r.membership.Receive(now, envelope.From(), decoded) })
	return nil
}
