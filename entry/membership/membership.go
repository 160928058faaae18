// Package membership maintains the view of the entry daemons for a daemon that serves
// routes: which members there are, which of them serve callers, and how many share
// the fleet-wide limits.
//
// Package core/fleet takes the decisions. The tracker ticks its state machine, passes
// it the messages of peers and carries out its actions.
//
// # Usage
//
//	tracker := membership.New(membership.Dependencies{…})
//	tracker.Connect(hub)
//	go tracker.Run(ctx)
//	tracker.Ready() // announces that callers are served
//	addresses := tracker.Addresses("ikeja", "ng-southwest", "100.64.0.7")
//	tracker.Leave(); … tracker.Left() // planned stop
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
// methods must not block, since they are called under the lock of the tracker.
type Links interface {
	Dial(peer string)
	// Disconnect closes the link to a peer without a call of Tracker.LinkDown.
	Disconnect(peer string)
	// Send queues a message. An error means that no byte of it was sent.
	Send(peer string, message []byte) error
}

// Dependencies holds the collaborators of a tracker. The functions are called under
// the lock of the tracker and must not call it.
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
	// AvailableChanged gets the members that answer peers and are not about to stop,
	// whether they serve callers yet or not; nil ignores them.
	AvailableChanged func(members []fleet.Member)
	// LeavingChanged gets the ids of the members that are about to stop, before
	// ServingChanged is called; nil ignores them.
	LeavingChanged func(members []string)
	// RecordAccepted gets a record of another subsystem that a peer has published.
	RecordAccepted func(record fleet.Record)
}

// Tracker maintains this daemon's view of the fleet. It is safe for concurrent use.
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
	directory     fleet.Directory
	regions       map[string]string       // by data centre, kept when its daemons are lost
	lastServed    map[string]clock.Millis // time, by caller address of a daemon in another data centre
}

// New returns a tracker whose only member is the daemon itself. It calls RegionsChanged
// with the daemon's own region.
func New(deps Dependencies) *Tracker {
	t := &Tracker{
		deps: deps, membership: fleet.New(deps.Self, deps.Random, memberLog{deps.Log}),
		seeds: make(map[fleet.ID]bool), daemonCount: 1, startedAt: deps.Clock.Now(),
		lastServed: make(map[string]clock.Millis), regions: make(map[string]string),
	}
	t.updateRegions([]fleet.Member{deps.Self})
	return t
}

// memberLog is a journal that logs changes of members and pauses of this daemon.
type memberLog struct{ log logr.Logger }

// Add logs a change.
func (l memberLog) Add(_ clock.Millis, _ journal.Kind, subject, cause string) {
	l.log.Info("member changed", "member", subject, "cause", cause)
}

// Connect sets the links to other daemons. It must be called before any other
// method.
func (t *Tracker) Connect(links Links) { t.links = links }

// seedGracePeriod is the time from the start in which seeds that have not answered
// count as daemons, so that a starting daemon does not take too large a share of the
// fleet-wide limits.
const seedGracePeriod = 5 * clock.Second

// Run ticks the state machine until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(fleet.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.update(t.tick)
		}
	}
}

func (t *Tracker) tick(now clock.Millis) []fleet.Action {
	if !t.seedGraceOver && now >= t.startedAt+seedGracePeriod {
		t.seedGraceOver = true
		t.updateDaemonCount()
	}
	return t.membership.Tick(now)
}

// update runs one step of the state machine under the lock and carries out its
// actions.
func (t *Tracker) update(step func(now clock.Millis) []fleet.Action) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.perform(step(t.deps.Clock.Now()))
}

func (t *Tracker) perform(actions []fleet.Action) {
	for _, action := range actions {
		switch action.Kind() {
		case fleet.Send:
			data, err := fleet.Encode(t.membership.Self(), action.Message())
			if err == nil {
				err = t.links.Send(string(action.Peer()), data)
			}
			if err != nil {
				t.deps.Log.V(1).Info("message not sent", "peer", string(action.Peer()), "error", err.Error())
			}
		case fleet.Dial:
			t.links.Dial(string(action.Peer()))
		case fleet.Disconnect:
			t.links.Disconnect(string(action.Peer()))
		case fleet.MembersChanged:
			t.handleMembersChanged()
		case fleet.RecordAccepted:
			t.deps.RecordAccepted(action.Record())
		}
	}
}

// AddSeeds adds peer addresses of daemons that may be running.
func (t *Tracker) AddSeeds(addresses []string) {
	t.update(func(now clock.Millis) []fleet.Action {
		known := len(t.seeds)
		for _, address := range addresses {
			if id := fleet.ID(address); id != t.deps.Self.ID() {
				t.seeds[id] = true
			}
		}
		if len(t.seeds) == known {
			return nil
		}
		vms := make([]fleet.VM, 0, len(t.seeds))
		for id := range t.seeds {
			vms = append(vms, fleet.NewVM(id, "", "", "", false))
		}
		t.updateDaemonCount()
		return t.membership.Seed(now, vms)
	})
}

// handleMembersChanged derives the state that depends on the members and calls
// the functions of Dependencies that depend on it.
func (t *Tracker) handleMembersChanged() {
	members := t.membership.Members()
	t.updateRegions(members)
	t.serving = t.serving[:0]
	var leaving []string
	var available []fleet.Member
	for _, m := range members {
		if m.Alive() || m.State() == fleet.Joining {
			available = append(available, m)
		}
		switch {
		case m.Alive() && m.CallerAddress() != "":
			t.serving = append(t.serving, m)
		case m.State() == fleet.Leaving, m.State() == fleet.Left:
			delete(t.lastServed, m.CallerAddress())
		}
		if m.State() == fleet.Leaving {
			leaving = append(leaving, string(m.ID()))
		}
	}
	if t.deps.LeavingChanged != nil {
		t.deps.LeavingChanged(leaving)
	}
	if t.deps.AvailableChanged != nil {
		t.deps.AvailableChanged(available)
	}
	t.directory.SetMembers(t.serving)
	t.deps.ServingChanged(t.serving)
	t.updateLastServed()
	t.updateDaemonCount()
	t.deps.SourcesChanged(t.sources())
}

// updateRegions records the regions of the members' data centres.
func (t *Tracker) updateRegions(members []fleet.Member) {
	changed := false
	for _, m := range members {
		if m.DataCentre() != "" && m.Region() != "" && t.regions[m.DataCentre()] != m.Region() {
			t.regions[m.DataCentre()] = m.Region()
			changed = true
		}
	}
	if changed {
		t.deps.RegionsChanged(maps.Clone(t.regions))
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
func (t *Tracker) updateLastServed() []string {
	now := t.deps.Clock.Now()
	var serving []string
	for _, m := range t.serving {
		if m.DataCentre() != t.deps.Self.DataCentre() {
			serving = append(serving, m.CallerAddress())
			t.lastServed[m.CallerAddress()] = now
		}
	}
	limit := cutOffRetention
	if len(serving) > 0 {
		limit = linkedRetention
	}
	maps.DeleteFunc(t.lastServed, func(_ string, at clock.Millis) bool { return now-at > limit })
	return serving
}

// RemoteAddresses returns caller addresses of serving daemons in other data centres, at
// most maxAddresses in random order. If no such daemon is known to serve, linked is
// false and the addresses are those of the daemons that were seen serving last.
func (t *Tracker) RemoteAddresses() (addresses []string, linked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses = t.updateLastServed()
	linked = len(addresses) > 0
	if !linked {
		addresses = slices.Collect(maps.Keys(t.lastServed))
	}
	t.deps.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAddresses)], linked
}

// maxSources limits the peers that a daemon may follow.
const maxSources = 3

// sources returns the live daemons of the same data centre whose ids sort before
// this one's: the first daemon reads the store, the others follow it.
func (t *Tracker) sources() []string {
	var before []string
	for _, m := range t.membership.Members() {
		if m.DataCentre() == t.deps.Self.DataCentre() && m.Alive() && m.ID() < t.deps.Self.ID() {
			before = append(before, string(m.ID()))
		}
	}
	return before[:min(len(before), maxSources)]
}

// updateDaemonCount counts the daemons that share the fleet-wide limits. These are
// all that may still send requests, so suspected and leaving ones too, and within
// seedGracePeriod the seeds.
func (t *Tracker) updateDaemonCount() {
	present := 0
	for _, m := range t.membership.Members() {
		switch m.State() {
		case fleet.Dead, fleet.Left:
		default:
			present++
		}
	}
	if !t.seedGraceOver {
		present = max(present, len(t.seeds)+1)
	}
	if present != t.daemonCount {
		t.daemonCount = present
		t.deps.Log.Info("shares of fleet-wide limits recomputed", "daemons", present)
		t.deps.DaemonCountChanged(present)
	}
}

// Publish distributes a record of another subsystem to all daemons.
func (t *Tracker) Publish(record fleet.Record) {
	t.update(func(now clock.Millis) []fleet.Action { return t.membership.Publish(now, record) })
}

// Ready announces that the daemon serves callers.
func (t *Tracker) Ready() { t.update(t.membership.Ready) }

// Leave announces that the daemon is about to stop.
func (t *Tracker) Leave() { t.update(t.membership.Leave) }

// Left announces that the daemon has stopped.
func (t *Tracker) Left() { t.update(t.membership.Left) }

// Members returns the records of all known members, including dead ones and those
// that left.
func (t *Tracker) Members() []fleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.membership.Members()
}

// LinkedPeers returns the daemons with an open link.
func (t *Tracker) LinkedPeers() []fleet.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.membership.Links()
}

// maxAddresses limits the addresses in an answer to a caller whose data centre is cut
// off.
const maxAddresses = 64

// Addresses returns the caller addresses of daemons for a caller in a data centre of a
// region; see fleet.Directory. Daemons of other regions are returned only if the
// region has none. The region matters only if that of the data centre is not known.
func (t *Tracker) Addresses(dataCentre, region, caller string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.regions[dataCentre]; known != "" {
		region = known
	}
	return t.directory.Addresses(dataCentre, region, caller)
}

// LinkUp handles a link to the peer that opened.
func (t *Tracker) LinkUp(peer string) {
	t.update(func(now clock.Millis) []fleet.Action { return t.membership.LinkUp(now, fleet.ID(peer)) })
}

// LinkDown handles a link to the peer that broke or could not be opened.
func (t *Tracker) LinkDown(peer string) {
	t.update(func(now clock.Millis) []fleet.Action { return t.membership.LinkDown(now, fleet.ID(peer)) })
}

// Receive handles a message of an authenticated peer. For a malformed message it
// returns a sentinel error of package fleet.
func (t *Tracker) Receive(peer string, message []byte) error {
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
	t.update(func(now clock.Millis) []fleet.Action { return t.membership.Receive(now, envelope.From(), decoded) })
	return nil
}
