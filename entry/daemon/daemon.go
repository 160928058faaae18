// Package daemon builds an entry daemon from its components and runs it: the
// servers for callers, operators and peers, the control plane, the relay between
// daemons and the discovery of upstreams.
//
// # Usage
//
//	configuration, err := daemon.Load("lovagegapd.json")
//	err = daemon.Run(ctx, configuration, logger) // returns after a planned stop
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/intake"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/ticket"
	"github.com/lovagegap/lovagegap/entry/callers"
	"github.com/lovagegap/lovagegap/entry/connlimit"
	"github.com/lovagegap/lovagegap/entry/control"
	"github.com/lovagegap/lovagegap/entry/operators"
	"github.com/lovagegap/lovagegap/entry/peers"
	"github.com/lovagegap/lovagegap/entry/platform"
	"github.com/lovagegap/lovagegap/entry/relay"
	"github.com/lovagegap/lovagegap/entry/telemetry"
	"github.com/lovagegap/lovagegap/entry/upstreams"
)

// ErrListen means that one of the daemon's addresses could not be bound.
var ErrListen = errors.New("cannot listen")

const (
	readHeaderTimeout = 5 * time.Second
	// keepAliveInterval is the time between TCP keep-alive probes. Three unanswered
	// probes close a caller's connection.
	keepAliveInterval = 5 * time.Second
	// callerIdleTimeout is the time after which idle connections of callers are
	// closed. It is longer than the lifetime of address answers, so that the caller
	// closes first.
	callerIdleTimeout = 2 * time.Minute
	// maxPeerBodyBytes bounds bodies of requests to open links, which have none.
	maxPeerBodyBytes = 4 << 10
	// leaveFlushDelay is the time for the announcement that the daemon has left to
	// reach its peers before the links close.
	leaveFlushDelay = 200 * time.Millisecond
)

// Daemon holds the components of an entry daemon.
type Daemon struct {
	configuration Configuration
	log           logr.Logger
	clock         clock.Clock
	journal       journal.Journal
	telemetry     telemetry.Telemetry
	platform      *platform.Client
	upstreams     *upstreams.Client
	control       *control.Control
	relay         *relay.Relay
	services      *services
	controlLinks  *peers.Hub
	relayLinks    *peers.Hub
	limiter       *connlimit.Limiter
}

// Run runs an entry daemon. The end of ctx or an operator's request begins a
// planned stop, and Run returns nil once it is complete. It returns ErrListen if
// an address cannot be bound.
func Run(ctx context.Context, configuration Configuration, log logr.Logger) error {
	d := newDaemon(configuration, log)
	listeners, err := listenAll(configuration.callerAddress, configuration.operatorAddress, configuration.peerAddress)
	if err != nil {
		return err
	}
	servers := d.serve(listeners)
	background, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.control.Run(background)
	}()
	go d.runDiscovery(background)
	log.Info("daemon: started", "name", configuration.name, "callers", configuration.callerAddress)
	select {
	case <-ctx.Done():
		log.Info("daemon: planned stop begins")
		d.control.Drain()
		<-d.control.Left()
	case <-d.control.Left():
	}
	time.Sleep(leaveFlushDelay)
	stop()
	<-done
	d.close(servers)
	log.Info("daemon: stopped")
	return nil
}

// newDaemon builds the components of a daemon without starting any of them.
func newDaemon(configuration Configuration, log logr.Logger) *Daemon {
	d := &Daemon{configuration: configuration, log: log}
	incarnation := uint64(d.clock.Now())
	d.platform = platform.New(configuration.platformURL)
	d.upstreams = upstreams.New(d.clock)
	d.services = newServices(d, incarnation)
	d.relay = relay.New(d.clock, d.services)
	self := fleet.NewMember(fleet.ID(configuration.peerAddress), configuration.callerAddress,
		configuration.dataCentre, configuration.region, incarnation)
	d.control = control.New(control.Dependencies{
		Clock: d.clock, Log: log, Journal: &d.journal, Self: self,
		Store: d.platform, Observer: d.services, Seed: incarnation, DrainMargin: configuration.drainMargin,
	})
	identity := peers.NewIdentity(configuration.peerAddress, incarnation)
	d.controlLinks = peers.New(peers.Control, identity, configuration.peerKeys, d.control, log)
	d.relayLinks = peers.New(peers.Relay, identity, configuration.peerKeys, d.relay, log)
	resources := connlimit.SystemResources(intake.Resources{})
	connlimit.SetMemoryLimit(resources)
	upstreams.LimitReplyMemory(intake.NewPolicy(resources).ReplyBytes())
	d.limiter = connlimit.New(connlimit.Config{Resources: resources, Clock: d.clock, Log: log})
	d.control.Connect(d.controlLinks)
	d.relay.Connect(d.relayLinks)
	return d
}

// listenAll binds all addresses, or none if one of them fails. It returns ErrListen.
func listenAll(addresses ...string) ([]net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAliveInterval}
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			for _, l := range listeners {
				_ = l.Close()
			}
			return nil, errors.Mark(err, ErrListen)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// serve starts the servers on the listeners for callers, operators and peers, in
// this order.
func (d *Daemon) serve(listeners []net.Listener) []*http.Server {
	mux := http.NewServeMux()
	mux.Handle(string(peers.Control), d.controlLinks)
	mux.Handle(string(peers.Relay), d.relayLinks)
	handlers := []http.Handler{d.callerHandler(), d.operatorHandler(), mux}
	options := []connlimit.Options{
		{Class: intake.Callers, BufferedBodyBytes: callers.MaxBodyBytes, Refuse: callers.WriteBodyRefusal},
		{Class: intake.Operators, BufferedBodyBytes: operators.MaxBodyBytes},
		{Class: intake.Peers, BufferedBodyBytes: maxPeerBodyBytes},
	}
	var servers []*http.Server
	for n, handler := range handlers {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}
		d.limiter.Prepare(server, options[n])
		servers = append(servers, server)
		go func() { _ = server.Serve(d.limiter.Listen(listeners[n], options[n])) }()
	}
	return servers
}

func (d *Daemon) callerHandler() http.Handler {
	incarnation := uint64(d.clock.Now())
	return callers.New(callers.Dependencies{
		Clock: d.clock, Daemon: d.configuration.name, Services: d.services, Settings: d.control,
		Directory: d.control, Lifecycle: d.control, Telemetry: &d.telemetry,
		Tickets: ticket.NewIssuer(d.configuration.peerAddress, incarnation, d.configuration.peerKeys...),
	})
}

func (d *Daemon) operatorHandler() http.Handler {
	return operators.New(operators.Dependencies{
		Daemon: d.configuration.name, Settings: d.control, View: &operatorView{daemon: d},
		Events: &d.journal, Metrics: &d.telemetry, Drain: d.control.Drain,
	})
}

// close stops the servers and closes all connections. The callers' server, which
// must be the first one, shuts down before the others so that replies in progress
// are written.
func (d *Daemon) close(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), readHeaderTimeout)
	defer cancel()
	_ = servers[0].Shutdown(ctx)
	d.controlLinks.Close()
	d.relayLinks.Close()
	for _, server := range servers[1:] {
		_ = server.Close()
	}
	d.upstreams.Close()
	d.platform.Close()
}
