// Package control drives the control plane of a daemon: membership, the spread
// of settings, addresses for callers and the planned stop.
//
// The decisions are taken by state machines of the core. Control feeds them
// with messages, ticks and replies of the platform, and carries out their
// actions.
//
// # Usage
//
//	c := control.New(control.Dependencies{...})
//	go c.Run(ctx)
//	accepted, err := c.Apply(ctx, expect, document)
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/drain"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/rollout"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/entry/platform"
)

// settingsKey is the platform's key of the settings document.
const settingsKey = "lovagegap/settings"

// Links carries messages to other daemons. An error means that no byte was
// sent.
type Links interface {
	Dial(peer string)
	Hangup(peer string)
	Send(peer string, message []byte) error
}

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, data []byte, expect uint64) (platform.Value, error)
	Watch(ctx context.Context, key string, after uint64) (platform.Value, error)
}

// Observer is told what the control plane found out. It is called under the
// control plane's lock and must not call back.
type Observer interface {
	SettingsApplied(tree *settings.Tree, revision uint64)
	MembersChanged(members []fleet.Member)
	// ReceiveRecord takes a record of another subsystem. It returns false if the
	// record cannot be read.
	ReceiveRecord(record fleet.Record) bool
}

// Dependencies are what the control plane is built from.
type Dependencies struct {
	Clock    clock.Clock
	Log      logr.Logger
	Journal  *journal.Journal
	Self     fleet.Member
	Store    Store
	Observer Observer
	Seed     uint64
	// DrainMargin is the margin of a planned stop; zero stands for the default.
	DrainMargin clock.Millis
}

// Control drives the control plane. It is safe for concurrent use.
type Control struct {
	deps  Dependencies
	links Links
	// ctx bounds the calls of the platform; it ends with Run.
	ctx        context.Context
	stop       context.CancelFunc
	storeCalls sync.WaitGroup

	mu              sync.Mutex
	random          *rand.Rand
	membership      *fleet.Membership
	rollout         *rollout.Rollout
	addresses       fleet.AddressAdviser
	startingDaemons startingDaemons
	drain           drain.Drain
	peerVersions    map[fleet.ID]fleet.SettingsVersion
	pendingChanges  map[string]chan rollout.Action
	cancelWatch     context.CancelFunc
	settingsKnown   bool // whether the settings in force are known
	serving         bool
	document        settings.Document
	tree            *settings.Tree
	left            chan struct{}
}

// New returns the control plane of a daemon. It is driven by Run, once Connect
// has given it links.
func New(deps Dependencies) *Control {
	random := rand.New(rand.NewPCG(deps.Seed, deps.Self.Incarnation()))
	ctx, stop := context.WithCancel(context.Background())
	c := &Control{
		deps: deps, ctx: ctx, stop: stop, random: random,
		membership:     fleet.New(deps.Self, random, deps.Journal),
		rollout:        rollout.New(deps.Self.ID(), deps.Self.DataCentre(), random, deps.Journal),
		peerVersions:   make(map[fleet.ID]fleet.SettingsVersion),
		pendingChanges: make(map[string]chan rollout.Action),
		tree:           &settings.Tree{},
		left:           make(chan struct{}),
	}
	c.drain.SetJournal(deps.Journal)
	c.drain.Configure(deps.DrainMargin, 0)
	return c
}

// Connect gives the control plane its links. It must be called before Run.
func (c *Control) Connect(links Links) { c.links = links }

// Run ticks the state machines until ctx ends.
func (c *Control) Run(ctx context.Context) {
	defer c.storeCalls.Wait()
	defer c.stop()
	ticker := time.NewTicker(fleet.TickInterval.Duration())
	defer ticker.Stop()
	c.update(func(now clock.Millis) { c.performRollout(c.rollout.SetMembers(now, c.membership.Members())) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.update(c.tick)
		}
	}
}

// update runs one step under the lock.
func (c *Control) update(step func(now clock.Millis)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	step(c.deps.Clock.Now())
}

func (c *Control) tick(now clock.Millis) {
	c.performMembership(now, c.membership.Tick(now))
	c.performRollout(c.rollout.Tick(now))
	c.performDrain(now, c.drain.Tick(now))
	if c.startingDaemons.removeExpired(now) {
		c.updateAddresses()
	}
}

// Seed takes the entry VMs of the platform's list.
func (c *Control) Seed(vms []fleet.VM) {
	c.update(func(now clock.Millis) { c.performMembership(now, c.membership.Seed(now, vms)) })
}

// Ready announces that the daemon takes its shares into use. Peers do not name
// it to callers before Serve.
func (c *Control) Ready() {
	c.update(func(now clock.Millis) {
		if !c.serving {
			c.publishStart(now, true)
		}
		c.performMembership(now, c.membership.Ready(now))
	})
}

// Serve lets callers in.
func (c *Control) Serve() {
	c.update(func(now clock.Millis) {
		if !c.serving {
			c.serving = true
			c.publishStart(now, false)
		}
	})
}

// Publish floods a record of another subsystem.
func (c *Control) Publish(record fleet.Record) {
	c.update(func(now clock.Millis) { c.performMembership(now, c.membership.Publish(now, record)) })
}

// SetLoad sets the load figure that peers see.
func (c *Control) SetLoad(load float64) {
	c.update(func(clock.Millis) { c.membership.SetLoad(load) })
}

// LinkUp takes an event of the links.
func (c *Control) LinkUp(peer string) {
	c.update(func(now clock.Millis) {
		// The first messages of the membership tell what the peer has in force,
		// so the rollout must know the link before.
		c.performRollout(c.rollout.LinkUp(now, fleet.ID(peer)))
		c.performMembership(now, c.membership.LinkUp(now, fleet.ID(peer)))
	})
}

// LinkDown takes an event of the links.
func (c *Control) LinkDown(peer string) {
	c.update(func(now clock.Millis) {
		c.performMembership(now, c.membership.LinkDown(now, fleet.ID(peer)))
		c.performRollout(c.rollout.LinkDown(now, fleet.ID(peer)))
	})
}

// Receive takes a message of an authenticated peer. It returns the sentinels
// of fleet and rollout for a message that no daemon sends.
func (c *Control) Receive(peer string, message []byte) error {
	envelope, err := fleet.DecodeEnvelope(message)
	if err != nil {
		return err
	}
	if string(envelope.From()) != peer {
		return fleet.ErrMalformed
	}
	switch envelope.Kind() {
	case rollout.KindOffer, rollout.KindPull, rollout.KindDocument:
		decoded, err := rollout.Decode(envelope)
		if err != nil {
			return err
		}
		c.update(func(now clock.Millis) { c.performRollout(c.rollout.Receive(now, envelope.From(), decoded)) })
	default:
		decoded, err := fleet.Decode(envelope)
		if err != nil {
			return err
		}
		c.update(func(now clock.Millis) { c.performMembership(now, c.membership.Receive(now, envelope.From(), decoded)) })
	}
	return nil
}

// performMembership carries out actions of the membership.
func (c *Control) performMembership(now clock.Millis, actions []fleet.Action) {
	for _, action := range actions {
		switch action.Kind() {
		case fleet.Send:
			text, err := fleet.Encode(c.membership.Self(), action.Message())
			c.send(action.Peer(), text, err)
		case fleet.Dial:
			c.links.Dial(string(action.Peer()))
		case fleet.Hangup:
			c.links.Hangup(string(action.Peer()))
			c.performRollout(c.rollout.LinkDown(now, action.Peer()))
		case fleet.MembersChanged:
			c.handleMembersChanged(now)
		case fleet.RecordAccepted:
			if c.startingDaemons.receiveRecord(now, action.Record()) {
				c.updateAddresses()
				continue
			}
			if !c.deps.Observer.ReceiveRecord(action.Record()) {
				c.deps.Log.Info("control: unreadable record", "kind", action.Record().Kind(), "key", action.Record().Key())
			}
		case fleet.SettingsReported:
			c.receivePeerSettings(now, action.Peer(), action.SettingsVersion())
		}
	}
}

func (c *Control) handleMembersChanged(now clock.Millis) {
	members := c.membership.Members()
	c.updateAddresses()
	c.performRollout(c.rollout.SetMembers(now, members))
	c.deps.Observer.MembersChanged(members)
}

// send drops a message that cannot be sent: heartbeats and repairs by digest
// make up for every lost message.
func (c *Control) send(peer fleet.ID, encoded []byte, err error) {
	if err == nil {
		err = c.links.Send(string(peer), encoded)
	}
	if err != nil {
		c.deps.Log.V(1).Info("control: message not sent", "peer", peer, "error", err.Error())
	}
}
