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
//	g, err := gateway.New(config, gateway.Ports{Store: store, Interpreter: interpreter, Log: log})
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
	Name       string // of the daemon, for logs
	DataCentre string
	Region     string
	Callers    string // address for callers, as IP:port
	Peers      string // address for other daemons
	Seeds      []string
	Key        []byte // proves to peers that they belong to one deployment
	Budget     replica.BudgetPolicy
	Grace      clock.Millis // time from the stop signal to the end
	Lifetime   clock.Millis // of an address answer
	Callees    exchange.Names
	Headers    front.Names
	Prefix     string // of the store's keys that are mirrored
	Registry   string // prefix of the keys under which daemons find each other
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
	Facts(item mirror.Item) []routing.StoreUpdate
}

// Ports are the gateway's connections to what runs outside.
type Ports struct {
	Store       Store
	Interpreter Interpreter
	Log         logr.Logger
	Clock       clock.Clock
	Random      *rand.Rand
	Meter       routing.Meter
	// Routine reports whether a routine decision is logged; nil logs none.
	Routine func() bool
}

// Gateway is the entry daemon for routes. It is safe for concurrent use.
type Gateway struct {
	config Config
	ports  Ports
	log    logr.Logger
	began  clock.Millis

	engine     *routing.Engine
	roster     *roster.Roster
	delegates  *delegates
	hub        *peers.Hub
	view       *view
	compressor compressor

	front    net.Listener
	control  net.Listener
	callers  *http.Server
	servers  []*http.Server
	complete chan struct{} // closed once requests can be served
	ready    atomic.Bool
	leaving  atomic.Bool
	cutOff   atomic.Bool
	wait     sync.WaitGroup
}

// New returns a gateway that listens but does not serve yet.
func New(config Config, ports Ports) (*Gateway, error) {
	now := ports.Clock.Now()
	g := &Gateway{config: config, ports: ports, log: ports.Log, began: now, complete: make(chan struct{})}
	config.Budget.ProcessStart = now
	self := fleet.NewMember(fleet.ID(config.Peers), config.Callers, config.DataCentre, config.Region,
		uint64(time.Now().UnixMilli()))
	g.delegates = newDelegates(ports.Clock, self, config.Key, derive(ports.Random))
	g.engine = routing.New(routing.Dependencies{
		Clock: ports.Clock, Log: g.log.WithName("routing"), DataCentre: config.DataCentre,
		Names: config.Callees, Random: derive(ports.Random), Budget: config.Budget, Meter: ports.Meter,
		LogRoutine: ports.Routine, PublishCrash: g.tellCrash, Delegates: g.delegates,
	})
	g.roster = roster.New(roster.Dependencies{
		Clock: ports.Clock, Log: g.log.WithName("roster"), Self: self, Random: derive(ports.Random),
		DaemonCountChanged: g.engine.SetDaemonCount, SourcesChanged: func(peers []string) { g.view.setSources(peers) },
		RegionsChanged: g.engine.SetRegions, ServingChanged: g.delegates.set, RecordAccepted: g.hearRecord,
	})
	g.hub = peers.New(peers.Control, peers.NewIdentity(config.Peers, self.Incarnation()),
		[][]byte{config.Key}, g.roster, g.log.WithName("peers"))
	g.roster.Connect(g.hub)
	g.view = newView(g)
	var err error
	if g.front, err = net.Listen("tcp", config.Callers); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if g.control, err = net.Listen("tcp", config.Peers); err != nil {
		_ = g.front.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return g, nil
}

// derive returns a generator of its own, since a generator is not safe for
// concurrent use.
func derive(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// Ready reports whether the daemon serves callers.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.leaving.Load() }

// Leaving reports whether the planned stop has begun.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Advice returns the addresses for a caller in a data centre of a region, and
// how long they may be used. A daemon whose data centre is cut off names those
// of others.
func (g *Gateway) Advice(dataCentre, region string) ([]string, clock.Millis) {
	elsewhere, linked := g.roster.RemoteAddresses()
	cutOff := g.engine.CutOff(linked)
	if g.cutOff.Swap(cutOff) != cutOff {
		g.log.Info("data centre cut off from the others", "cutOff", cutOff, "linked", linked)
	}
	if cutOff && len(elsewhere) > 0 {
		return elsewhere, g.config.Lifetime
	}
	return g.roster.Addresses(dataCentre, region), g.config.Lifetime
}

// Reconfigure takes a changed process configuration. Addresses and names hold
// until the next start.
func (g *Gateway) Reconfigure(p Process) {
	config := p.Config()
	g.roster.AddSeeds(config.Seeds)
	config.Budget.ProcessStart = g.began
	g.engine.SetBudget(config.Budget)
	g.log.Info("settings reloaded", "seeds", len(config.Seeds))
}

const (
	// configWait is how long callers are not let in while the configuration is
	// read; after it they are refused.
	configWait = 700 * time.Millisecond
	// stopReserve is kept before the end of the grace for the last answers.
	stopReserve = 600 * clock.Millisecond
	// closeShare of the grace passes before new connections are turned away.
	closeShare = 0.78
	// lastWords is the time in which the last messages to peers leave.
	lastWords = 50 * time.Millisecond
)

// Run serves until the planned stop, which the end of ctx begins, is complete.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	defer g.engine.Close()
	defer g.delegates.client.CloseIdleConnections()
	g.roster.AddSeeds(g.config.Seeds)
	g.serve(g.control, &http.Server{Handler: g.controlHandler(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute})
	g.wait.Go(func() { g.roster.Run(background) })
	g.wait.Go(func() { g.view.run(background) })
	select {
	case <-g.complete:
	case <-time.After(configWait):
	case <-ctx.Done():
	}
	g.serveCallers()
	g.wait.Go(func() { g.announce(background) })
	<-ctx.Done()
	g.stop()
	stop()
	for _, server := range g.servers {
		_ = server.Close()
	}
	g.hub.Close()
	g.wait.Wait()
	return nil
}

// announce lets callers in once requests can be served.
func (g *Gateway) announce(ctx context.Context) {
	select {
	case <-g.complete:
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
	g.callers = front.NewServer(front.New(g.engine, g.config.Headers, g))
	g.serve(front.Listen(g.front, g.engine.Limits), g.callers)
}

func (g *Gateway) serve(l net.Listener, server *http.Server) {
	g.servers = append(g.servers, server)
	g.wait.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			g.log.Error(err, "server ended", "address", l.Addr().String())
		}
	})
}

// stop runs the planned stop: other daemons and callers hear of it at once,
// callers that still come are served, and what cannot end in time is answered
// before the process ends.
func (g *Gateway) stop() {
	began := g.ports.Clock.Now()
	end := began + g.config.Grace - stopReserve
	g.log.Info("planned stop begins", "running", g.engine.Running())
	g.leaving.Store(true)
	g.engine.StopAt(end)
	g.roster.Leave()
	time.Sleep((began + g.config.Grace*closeShare - g.ports.Clock.Now()).Duration())
	// Closes idle connections at once and the others after their answer, so
	// that no request is taken that cannot be answered.
	ctx, cancel := context.WithTimeout(context.Background(), (end + stopReserve/2 - g.ports.Clock.Now()).Duration())
	defer cancel()
	if err := g.callers.Shutdown(ctx); err != nil {
		g.log.Info("callers are still connected at the end", "running", g.engine.Running())
	}
	g.roster.Left()
	time.Sleep(lastWords)
	g.log.Info("planned stop is complete", "running", g.engine.Running())
}
