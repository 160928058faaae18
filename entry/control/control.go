// Package control runs the control plane of a daemon: membership, the rollout of
// settings, the entry addresses given to callers, and the planned stop.
//
// The state machines in core/fleet, core/rollout and core/drain take the
// decisions. Control passes them peer messages, timer ticks and replies of the
// platform's store, and performs the actions they return.
//
// # Usage
//
//	c := control.New(control.Dependencies{...})
//	c.Connect(links)
//	go c.Run(ctx)
//	accepted, err := c.Apply(ctx, expectedRevision, document)
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

// settingsKey is the key of the settings document in the platform's store.
const settingsKey = "lovagegap/settings"

// Links opens and closes connections to peers and sends messages over them.
type Links interface {
	// Dial starts to connect to a peer. The outcome is reported to
	// Control.LinkUp or Control.LinkDown.
	Dial(peer string)
	// Disconnect closes the link to a peer without a call of Control.LinkDown.
	Disconnect(peer string)
	// Send queues a message. An error means that no byte of it was sent.
	Send(peer string, message []byte) error
}

// Store is the platform's key-value store. A key that was never written has a
// value of revision 0.
type Store interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	// CompareAndSwap writes data if the key is at revision expect. Otherwise it
	// returns the value that is present and platform.ErrConflict.
	CompareAndSwap(ctx context.Context, key string, data []byte, expect uint64) (platform.Value, error)
	// Watch waits until the key is at another revision than after, or ctx ends.
	Watch(ctx context.Context, key string, after uint64) (platform.Value, error)
}

// Observer is notified of changes in the control plane. It is called under the
// lock of Control and must not call Control.
type Observer interface {
	// SettingsApplied is called when a settings document comes into force.
	SettingsApplied(tree *settings.Tree, revision uint64)
	// MembersChanged is called with all members of the fleet when one changed.
	MembersChanged(members []fleet.Member)
	// ReceiveRecord takes a record of another subsystem. It returns false if the
	// record cannot be decoded.
	ReceiveRecord(record fleet.Record) bool
}

// Dependencies are the collaborators and parameters of a Control.
type Dependencies struct {
	Clock    clock.Clock
	Log      logr.Logger
	Journal  *journal.Journal
	Self     fleet.Member // this daemon
	Store    Store
	Observer Observer
	Seed     uint64 // of the random choices; combined with the incarnation of Self
	// DrainMargin is passed to drain.Drain.Configure; zero means the default.
	DrainMargin clock.Millis
}

// Control runs the control plane. It is safe for concurrent use.
type Control struct {
	deps  Dependencies
	links Links
	// ctx is the parent of all store calls; it ends with Run.
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
	pendingChanges  map[string]chan rollout.Action // by change ID
	cancelWatch     context.CancelFunc
	settingsKnown   bool // see SettingsKnown
	serving         bool // whether Serve was called
	document        settings.Document
	tree            *settings.Tree
	left            chan struct{}
}

// New returns the control plane of a daemon. The caller must call Connect and
// then Run.
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

// Connect sets the links to peers. It must be called before Run.
func (c *Control) Connect(links Links) { c.links = links }

// Run ticks the state machines every fleet.TickInterval until ctx ends, then
// cancels the running store calls and waits for them.
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

// update calls step with the current time under the lock.
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

// Seed passes the entry VMs of the platform's list to the membership.
func (c *Control) Seed(vms []fleet.VM) {
	c.update(func(now clock.Millis) { c.performMembership(now, c.membership.Seed(now, vms)) })
}

// Ready announces to the fleet that the daemon uses its shares of the upstreams.
// Peers give its address to callers only after Serve. It may be called repeatedly
// and renews the starting record until Serve is called.
func (c *Control) Ready() {
	c.update(func(now clock.Millis) {
		if !c.serving {
			c.publishStart(now, true)
		}
		c.performMembership(now, c.membership.Ready(now))
	})
}

// Serve admits callers and announces to the fleet that the start is over.
func (c *Control) Serve() {
	c.update(func(now clock.Millis) {
		if !c.serving {
			c.serving = true
			c.publishStart(now, false)
		}
	})
}

// Publish distributes a record of another subsystem to all daemons.
func (c *Control) Publish(record fleet.Record) {
	c.update(func(now clock.Millis) { c.performMembership(now, c.membership.Publish(now, record)) })
}

// SetLoad sets the load that this daemon reports to its peers.
func (c *Control) SetLoad(load float64) {
	c.update(func(clock.Millis) { c.membership.SetLoad(load) })
}

// LinkUp records that a link to the peer is open.
func (c *Control) LinkUp(peer string) {
	c.update(func(now clock.Millis) {
		// The first membership messages of a link carry the settings version of the
		// peer, so the rollout must know the link before they arrive.
		c.performRollout(c.rollout.LinkUp(now, fleet.ID(peer)))
		c.performMembership(now, c.membership.LinkUp(now, fleet.ID(peer)))
	})
}

// LinkDown records that the link to the peer is closed or could not be opened.
func (c *Control) LinkDown(peer string) {
	c.update(func(now clock.Millis) {
		c.performMembership(now, c.membership.LinkDown(now, fleet.ID(peer)))
		c.performRollout(c.rollout.LinkDown(now, fleet.ID(peer)))
	})
}

// Receive handles a message of an authenticated peer. For a malformed message,
// or one with another sender than peer, it returns an error of package fleet or
// rollout, such as fleet.ErrMalformed.
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

// performMembership performs actions of the membership. The caller holds the lock.
func (c *Control) performMembership(now clock.Millis, actions []fleet.Action) {
	for _, action := range actions {
		switch action.Kind() {
		case fleet.Send:
			encoded, err := fleet.Encode(c.membership.Self(), action.Message())
			c.send(action.Peer(), encoded, err)
		case fleet.Dial:
			c.links.Dial(string(action.Peer()))
		case fleet.Disconnect:
			c.links.Disconnect(string(action.Peer()))
			c.performRollout(c.rollout.LinkDown(now, action.Peer()))
		case fleet.MembersChanged:
			c.handleMembersChanged(now)
		case fleet.RecordAccepted:
			if c.startingDaemons.receiveRecord(now, action.Record()) {
				c.updateAddresses()
				continue
			}
			if !c.deps.Observer.ReceiveRecord(action.Record()) {
				c.deps.Log.Info("control: record not decoded", "kind", action.Record().Kind(), "key", action.Record().Key())
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

// send sends an encoded message, or logs why it was not encoded or sent. A lost
// message is not repeated: later heartbeats and the comparison of digests repair
// the difference.
func (c *Control) send(peer fleet.ID, encoded []byte, err error) {
	if err == nil {
		err = c.links.Send(string(peer), encoded)
	}
	if err != nil {
		c.deps.Log.V(1).Info("control: message not sent", "peer", peer, "error", err.Error())
	}
}
