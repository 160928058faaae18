// Package gateway is the entry daemon for routes. It connects the routing engine,
// the membership, the mirror of the platform's store and the servers for callers
// and peers, and runs them from the start to the planned stop.
//
// The package does not depend on a particular platform. The program supplies a
// Store, which speaks the protocol of the platform's store, an Interpreter, which
// decodes its items, and the names of headers.
//
// # Usage
//
//	g, err := gateway.New(config, gateway.Dependencies{Store: store, Interpreter: interpreter, Log: log, …})
//	err = g.Run(ctx) // cancelling ctx begins the planned stop; returns when it is complete
//	ready := g.Ready()
//	addresses, lifetime := g.Addresses("ikeja", "west", "100.64.0.7")
package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/allowance"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/intake"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/release"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/entry/boottime"
	"github.com/lovagegap/lovagegap/entry/connlimit"
	"github.com/lovagegap/lovagegap/entry/exchange"
	"github.com/lovagegap/lovagegap/entry/frontend"
	"github.com/lovagegap/lovagegap/entry/membership"
	"github.com/lovagegap/lovagegap/entry/peers"
	"github.com/lovagegap/lovagegap/entry/routing"
)

// Config configures a Gateway. ProcessConfig.Config fills it except for the names
// of headers and the prefixes of the store, which depend on the platform.
type Config struct {
	Name          string // of the daemon
	DataCentre    string
	Region        string
	CallerAddress string // IP:port for callers
	PeerAddress   string // IP:port for other daemons; also the member ID of the daemon
	// PeerListenAddress is the IP:port that accepts other daemons, if it is not PeerAddress.
	PeerListenAddress string
	Seeds             []string // IP:port of peers to contact first
	Key               []byte   // shared by the daemons of a deployment; authenticates their requests
	RetryBudget       replica.BudgetPolicy
	Allowances        allowance.Policy // of tenants; the zero value stands for the default
	GracePeriod       clock.Millis     // from the stop signal to the exit of the process
	AddressLifetime   clock.Millis     // for which callers may use the addresses they got
	ReplicaHeaders    exchange.HeaderNames
	CallerHeaders     frontend.HeaderNames
	MaxProofAge       clock.Millis // of the configuration, for requests with a key; 0 for no limit
	StorePrefix       string       // of the keys of the store that are mirrored
	RegistryPrefix    string       // of the keys under which daemons register in the store; empty for none
	Releases          release.Settings
	Resources         intake.Resources   // of the process; zero means unknown
	CallerLimits      connlimit.Settings // of connections
}

// Page is a page of a listing of the store, or a batch of its changes. More
// reports whether further pages of the listing follow. The items and the revision have the
// era that the store states.
type Page struct {
	Items    []mirror.Item
	Revision mirror.Revision
	More     bool
}

// Store is a client of the platform's key-value store. One goroutine at a time
// calls it. Errors are marked with mirror.ErrCompacted or mirror.ErrUnavailable.
type Store interface {
	// List returns a page of the items whose keys have the prefix and come after
	// afterKey.
	List(ctx context.Context, prefix, afterKey string) (Page, error)
	// Watch returns the changes after a revision as soon as there is one, and an
	// empty page if there is none within wait.
	Watch(ctx context.Context, prefix string, after uint64, wait clock.Millis) (Page, error)
	// Put writes the value of a key.
	Put(ctx context.Context, key string, value []byte) error
	// Get returns the item of a key, or a removal with the number 0 if there is none. Its
	// revision has the era that the store states. Get and CompareAndSwap may be called by
	// several goroutines.
	Get(ctx context.Context, key string) (mirror.Item, error)
	// CompareAndSwap writes the value of a key if all expectations hold, and returns its
	// revision in the era that the store states. The store compares numbers only. Otherwise
	// the error is marked with ErrConflict, the items are the current ones of the expected keys,
	// and the revision has the number 0. After another error the write may have taken effect, or
	// may do so later.
	CompareAndSwap(ctx context.Context, expected []Expectation, key string, value []byte) (mirror.Revision, []mirror.Item, error)
}

// ErrConflict means that a key has not the expected revision.
var ErrConflict = errors.New("a key has not the expected revision")

// Expectation states the revision that a key must have; the number 0 means that it does not
// exist.
type Expectation struct {
	Key      string
	Revision mirror.Revision
}

// Interpreter decodes items of the store.
type Interpreter interface {
	// Updates returns the updates of the routing state that an item contains. An
	// entry of a replica that cannot be decoded gives the removal of the replica. A
	// configuration that cannot be decoded gives none, so that the one in force stays.
	Updates(item mirror.Item) []routing.StoreUpdate
}

// Dependencies holds the collaborators of a Gateway.
type Dependencies struct {
	Store       Store
	Interpreter Interpreter
	Schema      mirror.Schema // of the items of the store; nil makes all of them durable
	Releases    ReleaseCodec  // nil disables releases
	Log         logr.Logger
	Clock       clock.Clock
	// SuspendingClock also counts the time during which the machine is suspended. The zero
	// value stands for boottime.Clock.
	SuspendingClock clock.Clock
	Random          *rand.Rand
	Meter           routing.Meter
	// LogRoutineDecision reports whether the next routine decision is logged; nil
	// logs none.
	LogRoutineDecision func() bool
}

// Gateway is the entry daemon for routes. It is safe for concurrent use.
type Gateway struct {
	config       Config
	dependencies Dependencies
	log          logr.Logger
	startedAt    clock.Millis

	engine       *routing.Engine
	tracker      *membership.Tracker
	delegates    *delegates
	allowances   *allowances
	hub          *peers.Hub
	mirrorSyncer *mirrorSyncer
	releases     *releases
	compressor   compressor
	limiter      *connlimit.Limiter

	callerListener net.Listener
	peerListener   net.Listener
	callerServer   *http.Server
	servers        []*http.Server
	configured     chan struct{} // closed once the mirror is complete and a configuration is in force
	ready          atomic.Bool
	leaving        atomic.Bool
	cutOff         atomic.Bool // the last logged result of engine.CutOff
	tasks          sync.WaitGroup
}

// New returns a gateway that listens for callers and peers but serves no
// connection until Run is called.
func New(config Config, dependencies Dependencies) (*Gateway, error) {
	if dependencies.SuspendingClock.IsZero() {
		dependencies.SuspendingClock = boottime.Clock()
	}
	now := dependencies.Clock.Now()
	g := &Gateway{
		config: config, dependencies: dependencies, log: dependencies.Log, startedAt: now,
		configured: make(chan struct{}),
	}
	config.RetryBudget.ProcessStart = now
	self := fleet.NewMember(fleet.ID(config.PeerAddress), config.CallerAddress, config.DataCentre, config.Region,
		uint64(time.Now().UnixMilli()))
	g.releases = newReleases(g, self)
	g.delegates = newDelegates(dependencies.Clock, self, config.Key, deriveGenerator(dependencies.Random))
	g.allowances = newAllowances(dependencies.SuspendingClock, config, deriveGenerator(dependencies.Random))
	resources := connlimit.SystemResources(config.Resources)
	g.engine = routing.New(routing.Dependencies{
		Clock: dependencies.Clock, Log: g.log.WithName("routing"), DataCentre: config.DataCentre,
		SuspendingClock: dependencies.SuspendingClock, MaxProofAge: config.MaxProofAge,
		Names: config.ReplicaHeaders, Random: deriveGenerator(dependencies.Random), Budget: config.RetryBudget,
		Meter: dependencies.Meter, LogRoutine: dependencies.LogRoutineDecision, PublishCrash: g.publishCrash,
		PublishQuarantine: g.publishQuarantine, Delegates: g.delegates, Allowances: g.allowances,
		ReplyMemory: intake.NewPolicy(resources).ReplyBytes(),
	})
	g.tracker = membership.New(membership.Dependencies{
		Clock: dependencies.Clock, Log: g.log.WithName("roster"), Self: self, Random: deriveGenerator(dependencies.Random),
		DaemonCountChanged: g.engine.SetDaemonCount, SourcesChanged: func(peers []string) { g.mirrorSyncer.setSources(peers) },
		RegionsChanged: g.engine.SetRegions, ServingChanged: g.delegates.setServing,
		AvailableChanged: g.allowances.setAvailable, LeavingChanged: g.allowances.setLeaving, RecordAccepted: g.handleRecord,
	})
	g.hub = peers.New(peers.Control, peers.NewIdentity(config.PeerAddress, self.Incarnation()),
		[][]byte{config.Key}, g.tracker, g.log.WithName("peers"))
	g.tracker.Connect(g.hub)
	g.mirrorSyncer = newMirrorSyncer(g)
	g.limiter = connlimit.New(connlimit.Config{
		Resources: resources, Settings: config.CallerLimits,
		Clock: dependencies.Clock, Log: g.log.WithName("connections"),
	})
	var err error
	if g.callerListener, err = net.Listen("tcp", config.CallerAddress); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if g.peerListener, err = net.Listen("tcp", cmp.Or(config.PeerListenAddress, config.PeerAddress)); err != nil {
		_ = g.callerListener.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return g, nil
}

// deriveGenerator returns a new generator seeded from random. Each component gets
// its own, since a generator is not safe for concurrent use.
func deriveGenerator(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Limiter returns the limiter of the connections of the process, for its further listeners.
func (g *Gateway) Limiter() *connlimit.Limiter { return g.limiter }

// Ready reports whether the daemon serves callers: it has a configuration, and no
// planned stop has begun.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.leaving.Load() }

// Leaving reports whether the planned stop has begun.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Addresses returns the addresses of entry daemons for a caller in a data centre of
// a region, and how long the caller may use them. The caller is any text that stays the
// same between its requests, such as its IP address. While this data centre is cut
// off from the others, they are those of daemons in other data centres if any are
// known. The list is empty if no daemon serves callers.
func (g *Gateway) Addresses(dataCentre, region, caller string) ([]string, clock.Millis) {
	elsewhere, linked := g.tracker.RemoteAddresses()
	cutOff := g.engine.CutOff(linked)
	if g.cutOff.Swap(cutOff) != cutOff {
		g.log.Info("data centre cut-off state changed", "cutOff", cutOff, "linked", linked)
	}
	if cutOff && len(elsewhere) > 0 {
		return elsewhere, g.config.AddressLifetime
	}
	return g.tracker.Addresses(dataCentre, region, caller), g.config.AddressLifetime
}

// Reconfigure applies the seeds and the retry budget of a changed process
// configuration. The gateway uses the other fields only at its start.
func (g *Gateway) Reconfigure(p ProcessConfig) {
	config := p.Config()
	g.tracker.AddSeeds(config.Seeds)
	config.RetryBudget.ProcessStart = g.startedAt
	g.engine.SetBudget(config.RetryBudget)
	g.log.Info("process configuration reloaded", "seeds", len(config.Seeds))
}

const (
	// maxConfigurationWait is how long connections of callers wait at the start for
	// the configuration; after it requests are refused until there is one.
	maxConfigurationWait = 700 * time.Millisecond
	// stopReserve is the time before the end of the grace period at which the
	// remaining requests are answered, so that the answers reach the callers.
	stopReserve = 600 * clock.Millisecond
	// closeConnectionsFraction is the fraction of the grace period after which new
	// connections are refused and idle ones closed.
	closeConnectionsFraction = 0.78
	// finalMessageDelay is the time for the last messages to peers to be sent before
	// the connections are closed.
	finalMessageDelay = 50 * time.Millisecond
)

// Run serves callers and peers until the planned stop is complete. The planned
// stop begins when ctx ends. Run may be called once.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer g.engine.Close()
	defer g.delegates.client.CloseIdleConnections()
	g.tracker.AddSeeds(g.config.Seeds)
	g.serve(g.peerListener, &http.Server{
		Handler: g.peerHandler(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute,
	}, connlimit.Options{Class: intake.Peers, BodyTimeout: clock.FromDuration(peerBodyTimeout)})
	g.tasks.Go(func() { g.tracker.Run(background) })
	g.tasks.Go(func() { g.mirrorSyncer.run(background) })
	g.tasks.Go(func() { g.allowances.run(background) })
	if g.dependencies.Releases != nil {
		g.tasks.Go(func() { g.releases.run(background) })
	}
	select {
	case <-g.configured:
	case <-time.After(maxConfigurationWait):
	case <-ctx.Done():
	}
	g.serveCallers()
	g.tasks.Go(func() { g.announceReady(background) })
	<-ctx.Done()
	g.stop()
	stop()
	for _, server := range g.servers {
		_ = server.Close()
	}
	g.hub.Close()
	g.tasks.Wait()
	return nil
}

// announceReady reports the daemon as ready, to readiness checks and peers, once
// requests can be served.
func (g *Gateway) announceReady(ctx context.Context) {
	select {
	case <-g.configured:
	case <-ctx.Done():
		return
	}
	g.ready.Store(true)
	if !g.leaving.Load() {
		g.tracker.Ready()
	}
	g.log.Info("serving callers", "version", g.engine.Version())
}

// serveCallers starts the server for callers.
func (g *Gateway) serveCallers() {
	g.callerServer = frontend.NewServer(frontend.New(g.engine, g.config.CallerHeaders, g))
	g.serve(frontend.Listen(g.callerListener, g.engine.Limits), g.callerServer, connlimit.Options{
		Class: intake.Callers, HeadBytes: func() int { return frontend.HeadBytes(g.engine.Limits) },
	})
}

// serve runs a server on a listener in the background until the planned stop.
func (g *Gateway) serve(l net.Listener, server *http.Server, options connlimit.Options) {
	g.limiter.Prepare(server, options)
	g.servers = append(g.servers, server)
	g.tasks.Go(func() {
		if err := server.Serve(g.limiter.Listen(l, options)); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.log.Error(err, "server failed", "address", l.Addr().String())
		}
	})
}

// stop carries out the planned stop. Peers and callers are notified at once. Requests
// that still arrive are served, and those that cannot complete in time are answered
// before the process exits.
func (g *Gateway) stop() {
	began := g.dependencies.Clock.Now()
	end := began + g.config.GracePeriod - stopReserve
	g.log.Info("planned stop begins", "running", g.engine.Running())
	g.leaving.Store(true)
	g.engine.StopAt(end)
	g.tracker.Leave()
	time.Sleep((began + g.config.GracePeriod*closeConnectionsFraction - g.dependencies.Clock.Now()).Duration())
	// Shutdown closes idle connections immediately and the others after their
	// answer, so that no request is accepted that cannot be answered.
	ctx, cancel := context.WithTimeout(context.Background(), (end + stopReserve/2 - g.dependencies.Clock.Now()).Duration())
	defer cancel()
	if err := g.callerServer.Shutdown(ctx); err != nil {
		g.log.Info("callers still connected at the end of the planned stop", "running", g.engine.Running())
	}
	g.tracker.Left()
	time.Sleep(finalMessageDelay)
	g.log.Info("planned stop complete", "running", g.engine.Running())
}
