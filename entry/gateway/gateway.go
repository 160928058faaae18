// Package gateway is the entry daemon for routes: it wires the engine, the
// view of the other daemons, the mirror of the platform's store and the servers
// for callers and peers, and runs their life from start to planned stop.
//
// What the platform calls things stays outside: a program gives the gateway a
// Store, which speaks the protocol of the platform's store, an Interpreter,
// which reads its items, and the names of headers.
//
// # Usage
//
//	g, err := gateway.New(config, gateway.Dependencies{Store: store, Interpreter: interpreter, Log: log})
//	err = g.Run(ctx)             // until the planned stop that ends ctx is complete
//	g.Ready(); g.Advice("ikeja") // for what the platform and callers ask
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/mirror"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/entry/exchange"
	"github.com/lovagegap/lovagegap/entry/front"
	"github.com/lovagegap/lovagegap/entry/peers"
	"github.com/lovagegap/lovagegap/entry/roster"
	"github.com/lovagegap/lovagegap/entry/routing"
)

// Config is what the process is told at its start.
type Config struct {
	Name            string // of the daemon, for logs
	DataCentre      string
	Region          string
	CallerAddress   string // address for callers, as IP:port
	PeerAddress     string // address for other daemons
	Seeds           []string
	Key             []byte // proves to peers that they belong to one deployment
	RetryBudget     replica.BudgetPolicy
	GracePeriod     clock.Millis // time from the stop signal to the end
	AddressLifetime clock.Millis // of an address answer
	ReplicaHeaders  exchange.HeaderNames
	CallerHeaders   front.HeaderNames
	StorePrefix     string // of the store's keys that are mirrored
	RegistryPrefix  string // prefix of the keys under which daemons find each other
}

// Page is a page of a listing of the store.
type Page struct {
	Items    []mirror.Item
	Revision uint64
	More     bool
}

// Store is the platform's key-value service. Errors are marked with
// mirror.ErrCompacted or mirror.ErrUnavailable.
type Store interface {
	List(ctx context.Context, prefix, afterKey string) (Page, error)
	// Watch returns the changes after a revision as soon as there is one, or
	// none after the wait.
	Watch(ctx context.Context, prefix string, after uint64, wait clock.Millis) (Page, error)
	Put(ctx context.Context, key string, value []byte) error
}

// Interpreter reads items of the store.
type Interpreter interface {
	// Facts returns what an item says. An item that cannot be read says that
	// nothing under its key may be used.
	Facts(item mirror.Item) []routing.Fact
}

// Dependencies are the gateway's connections to what runs outside.
type Dependencies struct {
	Store       Store
	Interpreter Interpreter
	Log         logr.Logger
	Clock       clock.Clock
	Random      *rand.Rand
	Meter       routing.Meter
	// LogRoutineDecision reports whether a routine decision is logged; nil logs none.
	LogRoutineDecision func() bool
}

// Gateway is the entry daemon for routes. It is safe for concurrent use.
type Gateway struct {
	config       Config
	dependencies Dependencies
	log          logr.Logger
	startedAt    clock.Millis

	engine       *routing.Engine
	roster       *roster.Roster
	delegates    *delegates
	hub          *peers.Hub
	mirrorSyncer *mirrorSyncer
	compressor   compressor

	callerListener net.Listener
	peerListener   net.Listener
	callerServer   *http.Server
	servers        []*http.Server
	configured     chan struct{} // closed once requests can be served
	ready          atomic.Bool
	leaving        atomic.Bool
	cutOff         atomic.Bool
	tasks          sync.WaitGroup
}

// New returns a gateway that listens but does not serve yet.
func New(config Config, dependencies Dependencies) (*Gateway, error) {
	now := dependencies.Clock.Now()
	g := &Gateway{config: config, dependencies: dependencies, log: dependencies.Log, startedAt: now, configured: make(chan struct{})}
	config.RetryBudget.ProcessStart = now
	self := fleet.NewMember(fleet.ID(config.PeerAddress), config.CallerAddress, config.DataCentre, config.Region,
		uint64(time.Now().UnixMilli()))
	g.delegates = newDelegates(dependencies.Clock, self, config.Key, deriveGenerator(dependencies.Random))
	g.engine = routing.New(routing.Parts{
		Clock: dependencies.Clock, Log: g.log.WithName("routing"), DataCentre: config.DataCentre,
		Names: config.ReplicaHeaders, Random: deriveGenerator(dependencies.Random), Budget: config.RetryBudget, Meter: dependencies.Meter,
		Routine: dependencies.LogRoutineDecision, Crashed: g.publishCrash, Delegates: g.delegates,
	})
	g.roster = roster.New(roster.Parts{
		Clock: dependencies.Clock, Log: g.log.WithName("roster"), Self: self, Random: deriveGenerator(dependencies.Random),
		Changed: g.engine.SetDaemons, Sources: func(peers []string) { g.mirrorSyncer.setSources(peers) },
		Regions: g.engine.SetRegions, Serving: g.delegates.setServing, Record: g.handleRecord,
	})
	g.hub = peers.New(peers.Control, peers.NewIdentity(config.PeerAddress, self.Incarnation()),
		[][]byte{config.Key}, g.roster, g.log.WithName("peers"))
	g.roster.Connect(g.hub)
	g.mirrorSyncer = newMirrorSyncer(g)
	var err error
	if g.callerListener, err = net.Listen("tcp", config.CallerAddress); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if g.peerListener, err = net.Listen("tcp", config.PeerAddress); err != nil {
		_ = g.callerListener.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return g, nil
}

// deriveGenerator returns a generator of its own, since a generator is not safe for
// concurrent use.
func deriveGenerator(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Ready reports whether the daemon serves callers.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.leaving.Load() }

// Leaving reports whether the planned stop has begun.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Addresses returns the addresses for a caller in a data centre of a region, and
// how long they may be used. A daemon whose data centre is cut off names those
// of others.
func (g *Gateway) Addresses(dataCentre, region string) ([]string, clock.Millis) {
	elsewhere, linked := g.roster.Elsewhere()
	cutOff := g.engine.CutOff(linked)
	if g.cutOff.Swap(cutOff) != cutOff {
		g.log.Info("data centre cut off from the others", "cutOff", cutOff, "linked", linked)
	}
	if cutOff && len(elsewhere) > 0 {
		return elsewhere, g.config.AddressLifetime
	}
	return g.roster.Addresses(dataCentre, region), g.config.AddressLifetime
}

// Reconfigure takes a changed process configuration. Addresses and names hold
// until the next start.
func (g *Gateway) Reconfigure(p ProcessConfig) {
	config := p.Config()
	g.roster.AddSeeds(config.Seeds)
	config.RetryBudget.ProcessStart = g.startedAt
	g.engine.SetBudget(config.RetryBudget)
	g.log.Info("settings reloaded", "seeds", len(config.Seeds))
}

const (
	// maxConfigurationWait is how long callers are not let in while the configuration is
	// read; after it they are refused.
	maxConfigurationWait = 700 * time.Millisecond
	// stopReserve is kept before the end of the grace for the last answers.
	stopReserve = 600 * clock.Millisecond
	// closeConnectionsFraction of the grace passes before new connections are turned away.
	closeConnectionsFraction = 0.78
	// finalMessageDelay is the time in which the last messages to peers leave.
	finalMessageDelay = 50 * time.Millisecond
)

// Run serves until the planned stop, which the end of ctx begins, is complete.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer g.engine.Close()
	defer g.delegates.client.CloseIdleConnections()
	g.roster.AddSeeds(g.config.Seeds)
	g.serve(g.peerListener, &http.Server{Handler: g.peerHandler(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute})
	g.tasks.Go(func() { g.roster.Run(background) })
	g.tasks.Go(func() { g.mirrorSyncer.run(background) })
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

// announceReady lets callers in once requests can be served.
func (g *Gateway) announceReady(ctx context.Context) {
	select {
	case <-g.configured:
	case <-ctx.Done():
		return
	}
	g.ready.Store(true)
	if !g.leaving.Load() {
		g.roster.Ready()
	}
	g.log.Info("serving callers", "version", g.engine.Version())
}

func (g *Gateway) serveCallers() {
	g.callerServer = front.NewServer(front.New(g.engine, g.config.CallerHeaders, g))
	g.serve(front.Listen(g.callerListener, g.engine.Limits), g.callerServer)
}

func (g *Gateway) serve(l net.Listener, server *http.Server) {
	g.servers = append(g.servers, server)
	g.tasks.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.log.Error(err, "server ended", "address", l.Addr().String())
		}
	})
}

// stop runs the planned stop: other daemons and callers hear of it at once,
// callers that still come are served, and what cannot end in time is answered
// before the process ends.
func (g *Gateway) stop() {
	began := g.dependencies.Clock.Now()
	end := began + g.config.GracePeriod - stopReserve
	g.log.Info("planned stop begins", "running", g.engine.Running())
	g.leaving.Store(true)
	g.engine.StopAt(end)
	g.roster.Leave()
	time.Sleep((began + g.config.GracePeriod*closeConnectionsFraction - g.dependencies.Clock.Now()).Duration())
	// Closes idle connections at once and the others after their answer, so
	// that no request is taken that cannot be answered.
	ctx, cancel := context.WithTimeout(context.Background(), (end + stopReserve/2 - g.dependencies.Clock.Now()).Duration())
	defer cancel()
	if err := g.callerServer.Shutdown(ctx); err != nil {
		g.log.Info("callers are still connected at the end", "running", g.engine.Running())
	}
	g.roster.Left()
	time.Sleep(finalMessageDelay)
	g.log.Info("planned stop is complete", "running", g.engine.Running())
}
