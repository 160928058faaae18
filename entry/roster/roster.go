// Package roster keeps the view of the other entry daemons for a daemon that
// serves routes: who they are, which of them serve callers, and over how many
// daemons the fleet-wide limits are divided.
//
// The decisions are those of package fleet of the core. The roster ticks the
// state machine, feeds it messages and carries out its actions.
//
// # Usage
//
//	r := roster.New(roster.Parts{…})
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

// Parts are what a roster is built from.
type Parts struct {
	Clock  clock.Clock
	Log    logr.Logger
	Self   fleet.Member
	Random *rand.Rand
	// Changed is called with the number of daemons that share the fleet-wide
	// limits. It must not call back.
	Changed func(daemons int)
	// Sources is called with the peers of the same data centre that this daemon
	// may follow, in order. It must not call back.
	Sources func(peers []string)
	// Regions is called with the region of each known data centre. It must not
	// call back, and must not change what it gets.
	Regions func(regions map[string]string)
	// Serving is called with the members that serve callers. It must not call
	// back, and must not keep what it gets.
	Serving func(members []fleet.Member)
	// Record takes a record of another subsystem that a peer has published. It
	// must not call back.
	Record func(record fleet.Record)
}

// Roster is the view of the fleet. It is safe for concurrent use.
type Roster struct {
	parts Parts
	links Links

	mu         sync.Mutex
	membership *fleet.Membership
	seeds      map[fleet.ID]bool
	daemons    int
	began      clock.Millis
	joined     bool // whether the seeds had time to answer
	serving    []fleet.Member
	regions    map[string]string       // by data centre; those of lost daemons stay known
	lastServed map[string]clock.Millis // daemons of other data centres, by address for callers
}

// New returns the roster of a daemon that starts.
func New(parts Parts) *Roster {
	r := &Roster{
		parts: parts, membership: fleet.New(parts.Self, parts.Random, memberLog{parts.Log}),
		seeds: make(map[fleet.ID]bool), daemons: 1, began: parts.Clock.Now(),
		lastServed: make(map[string]clock.Millis), regions: make(map[string]string),
	}
	r.learnRegions([]fleet.Member{parts.Self})
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

// joinTime is how long the seeds count as daemons although they have not
// answered yet.
const joinTime = 5 * clock.Second

// Run ticks the state machine until ctx ends.
func (r *Roster) Run(ctx context.Context) {
	ticker := time.NewTicker(fleet.TickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.do(r.tick)
		}
	}
}

func (r *Roster) tick(now clock.Millis) []fleet.Action {
	if !r.joined && now >= r.began+joinTime {
		r.joined = true
		r.count()
	}
	return r.membership.Tick(now)
}

// do runs one step of the state machine and carries out its actions.
func (r *Roster) do(step func(now clock.Millis) []fleet.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(step(r.parts.Clock.Now()))
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
				r.parts.Log.V(1).Info("message not sent", "peer", string(action.Peer()), "error", err.Error())
			}
		case fleet.Dial:
			r.links.Dial(string(action.Peer()))
		case fleet.Hangup:
			r.links.Hangup(string(action.Peer()))
		case fleet.MembersChanged:
			r.changed()
		case fleet.RecordAccepted:
			r.parts.Record(action.Record())
		}
	}
}

// AddSeeds takes addresses of daemons that may be running.
func (r *Roster) AddSeeds(addresses []string) {
	r.do(func(now clock.Millis) []fleet.Action {
		known := len(r.seeds)
		for _, address := range addresses {
			if id := fleet.ID(address); id != r.parts.Self.ID() {
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
		r.count()
		return r.membership.Seed(now, vms)
	})
}

// changed takes a new view of the members.
func (r *Roster) changed() {
	members := r.membership.Members()
	r.learnRegions(members)
	r.serving = r.serving[:0]
	for _, m := range members {
		switch {
		case m.Alive() && m.CallerAddress() != "":
			r.serving = append(r.serving, m)
		case m.State() == fleet.Leaving, m.State() == fleet.Left:
			delete(r.lastServed, m.CallerAddress())
		}
	}
	r.parts.Serving(r.serving)
	r.remember()
	r.count()
	r.parts.Sources(r.sources())
}

// learnRegions notes in which region the members' data centres are.
func (r *Roster) learnRegions(members []fleet.Member) {
	news := false
	for _, m := range members {
		if m.DataCentre() != "" && m.Region() != "" && r.regions[m.DataCentre()] != m.Region() {
			r.regions[m.DataCentre()] = m.Region()
			news = true
		}
	}
	if news {
		r.parts.Regions(maps.Clone(r.regions))
	}
}

const (
	// remembered is how long a daemon that is not heard of any more is still
	// named by one that is cut off itself.
	remembered = 20 * clock.Second
	// alone is how long it is remembered while others are heard of.
	alone = 6 * clock.Second
)

// remember notes which daemons of other data centres serve callers, and returns
// their addresses for callers.
func (r *Roster) remember() []string {
	now := r.parts.Clock.Now()
	var serving []string
	for _, m := range r.serving {
		if m.DataCentre() != r.parts.Self.DataCentre() {
			serving = append(serving, m.CallerAddress())
			r.lastServed[m.CallerAddress()] = now
		}
	}
	limit := remembered
	if len(serving) > 0 {
		limit = alone
	}
	maps.DeleteFunc(r.lastServed, func(_ string, at clock.Millis) bool { return now-at > limit })
	return serving
}

// Elsewhere returns the callers' addresses of the daemons of other data centres
// that serve, and whether there are any. If there are none, it returns those
// that served when they were last heard of.
func (r *Roster) Elsewhere() (addresses []string, linked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addresses = r.remember()
	linked = len(addresses) > 0
	if !linked {
		addresses = slices.Collect(maps.Keys(r.lastServed))
	}
	r.parts.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAddresses)], linked
}

// maxSources bounds the peers that a daemon may follow.
const maxSources = 3

// sources returns the daemons of the same data centre that come before this
// one: the first one reads the store, the others follow it.
func (r *Roster) sources() []string {
	var before []string
	for _, m := range r.membership.Members() {
		if m.DataCentre() == r.parts.Self.DataCentre() && m.Alive() && m.ID() < r.parts.Self.ID() {
			before = append(before, string(m.ID()))
		}
	}
	return before[:min(len(before), maxSources)]
}

// count derives over how many daemons the limits are divided: all that may
// still send, so also those that are suspected or leave, and shortly after the
// start the seeds.
func (r *Roster) count() {
	present := 0
	for _, m := range r.membership.Members() {
		switch m.State() {
		case fleet.Dead, fleet.Left:
		default:
			present++
		}
	}
	if !r.joined {
		present = max(present, len(r.seeds)+1)
	}
	if present != r.daemons {
		r.daemons = present
		r.parts.Log.Info("shares of fleet-wide limits recomputed", "daemons", present)
		r.parts.Changed(present)
	}
}

// Publish spreads a record of another subsystem to all daemons.
func (r *Roster) Publish(record fleet.Record) {
	r.do(func(now clock.Millis) []fleet.Action { return r.membership.Publish(now, record) })
}

// Ready announces that the daemon serves callers.
func (r *Roster) Ready() { r.do(r.membership.Ready) }

// Leave announces that the daemon is about to stop.
func (r *Roster) Leave() { r.do(r.membership.Leave) }

// Left announces that the daemon has stopped.
func (r *Roster) Left() { r.do(r.membership.Left) }

// Members returns all known daemons.
func (r *Roster) Members() []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Members()
}

// Peers returns the daemons with an open link.
func (r *Roster) Peers() []fleet.ID {
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
	var near, far, abroad []string
	for _, m := range r.serving {
		switch {
		case m.DataCentre() == dataCentre:
			near = append(near, m.CallerAddress())
		case m.Region() == region || region == "":
			far = append(far, m.CallerAddress())
		default:
			abroad = append(abroad, m.CallerAddress())
		}
	}
	if len(near)+len(far) == 0 {
		far = abroad
	}
	if len(near) < 2 {
		r.parts.Random.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
		near = append(near, far[:min(2-len(near), len(far))]...)
	}
	if len(near) > maxAddresses {
		r.parts.Random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
		near = near[:maxAddresses]
	}
	return slices.Clone(near)
}

// LinkUp takes an event of the links.
func (r *Roster) LinkUp(peer string) {
	r.do(func(now clock.Millis) []fleet.Action { return r.membership.LinkUp(now, fleet.ID(peer)) })
}

// LinkDown takes an event of the links.
func (r *Roster) LinkDown(peer string) {
	r.do(func(now clock.Millis) []fleet.Action { return r.membership.LinkDown(now, fleet.ID(peer)) })
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
	r.do(func(now clock.Millis) []fleet.Action { return r.membership.Receive(now, envelope.From(), decoded) })
	return nil
}
