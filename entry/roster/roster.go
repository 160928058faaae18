// Package roster keeps the view of the other entry daemons for a daemon that
// serves routes: who they are, which of them serve callers, and over how many
// daemons the fleet-wide limits are divided.
//
// The decisions are those of package fleet of the core. The roster ticks the
// state machine, feeds it messages and carries out its actions.
//
// # Usage
//
//	r := roster.New(roster.Dependencies{…})
//	r.Connect(hub)
//	go r.Run(ctx)
//	r.Ready()                        // callers may come
//	addresses := r.Addresses("ikeja")
//	r.Leave(); … r.Left()            // planned stop
package roster

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

// Links carries messages to other daemons. An error means that no byte was
// sent.
type Links interface {
	Dial(peer string)
	Hangup(peer string)
	Send(peer string, message []byte) error
}

// Dependencies are what a roster is built from.
type Dependencies struct {
	Clock  clock.Clock
	Log    logr.Logger
	Self   fleet.Member
	Random *rand.Rand
	// DaemonCountChanged is called with the number of daemons that share the fleet-wide
	// limits. It must not call back.
	DaemonCountChanged func(daemons int)
	// SourcesChanged is called with the peers of the same data centre that this daemon
	// may follow, in order. It must not call back.
	SourcesChanged func(peers []string)
	// RegionsChanged is called with the region of each known data centre. It must not
	// call back, and must not change what it gets.
	RegionsChanged func(regions map[string]string)
	// ServingChanged is called with the members that serve callers. It must not call
	// back, and must not keep what it gets.
	ServingChanged func(members []fleet.Member)
	// RecordAccepted takes a record of another subsystem that a peer has published. It
	// must not call back.
	RecordAccepted func(record fleet.Record)
}

// Roster is the view of the fleet. It is safe for concurrent use.
type Roster struct {
	deps  Dependencies
	links Links

	mu            sync.Mutex
	membership    *fleet.Membership
	seeds         map[fleet.ID]bool
	daemonCount   int
	startedAt     clock.Millis
	seedGraceOver bool // whether the seeds had time to answer
	serving       []fleet.Member
	regions       map[string]string       // by data centre; those of lost daemons stay known
	lastServed    map[string]clock.Millis // daemons of other data centres, by address for callers
}

// New returns the roster of a daemon that starts.
func New(deps Dependencies) *Roster {
	r := &Roster{
		deps: deps, membership: fleet.New(deps.Self, deps.Random, memberLog{deps.Log}),
		seeds: make(map[fleet.ID]bool), daemonCount: 1, startedAt: deps.Clock.Now(),
		lastServed: make(map[string]clock.Millis), regions: make(map[string]string),
	}
	r.updateRegions([]fleet.Member{deps.Self})
	return r
}

// memberLog writes a line for each change of the view of the members, and for a
// pause of this daemon.
type memberLog struct{ log logr.Logger }

// Add takes a change from the membership.
func (l memberLog) Add(_ clock.Millis, _ journal.Kind, subject, cause string) {
	l.log.Info("member changed", "member", subject, "cause", cause)
}

// Connect gives the roster its links. It must be called before Run.
func (r *Roster) Connect(links Links) { r.links = links }

// seedGracePeriod is how long the seeds count as daemons although they have not
// answered yet.
const seedGracePeriod = 5 * clock.Second

// Run ticks the state machine until ctx ends.
func (r *Roster) Run(ctx context.Context) {
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

func (r *Roster) tick(now clock.Millis) []fleet.Action {
	if !r.seedGraceOver && now >= r.startedAt+seedGracePeriod {
		r.seedGraceOver = true
		r.updateDaemonCount()
	}
	return r.membership.Tick(now)
}

// update runs one step of the state machine and carries out its actions.
func (r *Roster) update(step func(now clock.Millis) []fleet.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(step(r.deps.Clock.Now()))
}

func (r *Roster) perform(actions []fleet.Action) {
	for _, action := range actions {
		switch action.Kind() {
		case fleet.Send:
			text, err := fleet.Encode(r.membership.Self(), action.Message())
			if err == nil {
				err = r.links.Send(string(action.Peer()), text)
			}
			if err != nil {
				r.deps.Log.V(1).Info("message not sent", "peer", string(action.Peer()), "error", err.Error())
			}
		case fleet.Dial:
			r.links.Dial(string(action.Peer()))
		case fleet.Hangup:
			r.links.Hangup(string(action.Peer()))
		case fleet.MembersChanged:
			r.handleMembersChanged()
		case fleet.RecordAccepted:
			r.deps.RecordAccepted(action.Record())
		}
	}
}

// AddSeeds takes addresses of daemons that may be running.
func (r *Roster) AddSeeds(addresses []string) {
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

// handleMembersChanged takes a new view of the members.
func (r *Roster) handleMembersChanged() {
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

// updateRegions notes in which region the members' data centres are.
func (r *Roster) updateRegions(members []fleet.Member) {
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
	// cutOffRetention is how long a daemon that is not heard of any more is still
	// named by one that is cut off itself.
	cutOffRetention = 20 * clock.Second
	// linkedRetention is how long it is remembered while others are heard of.
	linkedRetention = 6 * clock.Second
)

// updateLastServed notes which daemons of other data centres serve callers, and returns
// their addresses for callers.
func (r *Roster) updateLastServed() []string {
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

// RemoteAddresses returns the callers' addresses of the daemons of other data centres
// that serve, and whether there are any. If there are none, it returns those
// that served when they were last heard of.
func (r *Roster) RemoteAddresses() (addresses []string, linked bool) {
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

// maxSources bounds the peers that a daemon may follow.
const maxSources = 3

// sources returns the daemons of the same data centre that come before this
// one: the first one reads the store, the others follow it.
func (r *Roster) sources() []string {
	var before []string
	for _, m := range r.membership.Members() {
		if m.DataCentre() == r.deps.Self.DataCentre() && m.Alive() && m.ID() < r.deps.Self.ID() {
			before = append(before, string(m.ID()))
		}
	}
	return before[:min(len(before), maxSources)]
}

// updateDaemonCount derives over how many daemons the limits are divided: all that may
// still send, so also those that are suspected or leave, and shortly after the
// start the seeds.
func (r *Roster) updateDaemonCount() {
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

// Publish spreads a record of another subsystem to all daemons.
func (r *Roster) Publish(record fleet.Record) {
	r.update(func(now clock.Millis) []fleet.Action { return r.membership.Publish(now, record) })
}

// Ready announces that the daemon serves callers.
func (r *Roster) Ready() { r.update(r.membership.Ready) }

// Leave announces that the daemon is about to stop.
func (r *Roster) Leave() { r.update(r.membership.Leave) }

// Left announces that the daemon has stopped.
func (r *Roster) Left() { r.update(r.membership.Left) }

// Members returns all known daemons.
func (r *Roster) Members() []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Members()
}

// LinkedPeers returns the daemons with an open link.
func (r *Roster) LinkedPeers() []fleet.ID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Links()
}

// maxAddresses bounds an answer to a caller.
const maxAddresses = 64

// Addresses returns the callers' addresses of the daemons that serve a data
// centre of a region: its own, and one of the region if it has fewer than two,
// since a caller needs a second address to turn to when the first one fails.
// Daemons of other regions are named only if the region has none.
func (r *Roster) Addresses(dataCentre, region string) []string {
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

// LinkUp takes an event of the links.
func (r *Roster) LinkUp(peer string) {
	r.update(func(now clock.Millis) []fleet.Action { return r.membership.LinkUp(now, fleet.ID(peer)) })
}

// LinkDown takes an event of the links.
func (r *Roster) LinkDown(peer string) {
	r.update(func(now clock.Millis) []fleet.Action { return r.membership.LinkDown(now, fleet.ID(peer)) })
}

// Receive takes a message of an authenticated peer. It returns the sentinels of
// fleet for a message that no daemon sends.
func (r *Roster) Receive(peer string, message []byte) error {
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
