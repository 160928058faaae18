// Package upstreams stands in for the replicas of services: real HTTP servers
// on loopback with the limits of real upstreams (slots, queue, connection cap,
// cost of a connection, cold start) and faults that are switched on while they
// run. Each replica keeps a log of the sub-requests that it saw, so that a test
// can check a property from the upstream's side.
//
// # Usage
//
// As part of a deployment, with the switches over HTTP:
//
//	fleet, err := upstreams.Start(d, clock.Clock{})
//	defer fleet.Close()
//	http.Serve(listener, fleet.Control())
//
// In a test of another module, a deployment of one service:
//
//	d := deployment.Deployment{
//		User: "association", DataCentres: []string{"ikeja"}, Upstreams: "127.0.0.1",
//		Services: []deployment.Service{{Name: "review-desk", Shards: 1, Replicas: 1, Slots: 6, Connections: 45}},
//	}
//	fleet, err := upstreams.Start(d, clock.Clock{})
//	u := fleet.All()[0]
//	u.SetFaults(upstreams.Faults{Shed: 1})
//	u.Log(0) // sub-requests seen
//
// With FirstPort 0 every replica takes a free port; Address returns it.
package upstreams

import (
	"math"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/lovagegap-standin/deployment"
)

// ErrListen means that a replica's address could not be bound.
var ErrListen = errors.New("cannot listen")

// Fleet is all replicas of a deployment.
type Fleet struct {
	upstreams []*Upstream
}

// Start starts every replica of the deployment. It returns ErrListen.
func Start(d deployment.Deployment, c clock.Clock) (*Fleet, error) {
	fleet := &Fleet{}
	for i, replica := range d.Replicas() {
		if d.FirstPort == 0 {
			replica.Address = net.JoinHostPort(d.UpstreamIP, "0")
		}
		u := newUpstream(replica, c, d.Seed, uint64(i))
		if err := u.listen(); err != nil {
			fleet.Close()
			return nil, err
		}
		fleet.upstreams = append(fleet.upstreams, u)
	}
	return fleet, nil
}

// All returns the replicas in the order of the deployment.
func (f *Fleet) All() []*Upstream { return f.upstreams }

// Close stops all replicas.
func (f *Fleet) Close() {
	for _, u := range f.upstreams {
		u.close()
	}
}

// Selector selects replicas. Empty fields select all.
type Selector struct {
	Upstream   string `json:"upstream"`
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
}

// Select returns the replicas that match target.
func (f *Fleet) Select(selector Selector) []*Upstream {
	var selected []*Upstream
	for _, u := range f.upstreams {
		if (selector.Upstream == "" || selector.Upstream == u.Address()) &&
			(selector.Service == "" || selector.Service == u.Service()) &&
			(selector.DataCentre == "" || selector.DataCentre == u.DataCentre()) {
			selected = append(selected, u)
		}
	}
	return selected
}

// Publish gives a version with a number of shards to a share of the replicas
// of a service, the first replica of every shard first. Another call with a
// larger share gives it to more of them.
func (f *Fleet) Publish(service string, version uint64, shardCount int, replicaShare float64) {
	replicas := f.orderAcrossShards(service, shardCount)
	count := int(math.Ceil(replicaShare * float64(len(replicas))))
	for i, u := range replicas {
		if i < count {
			u.Publish(version, shardCount)
		}
	}
}

// Drop takes a version from a share of the replicas of a service.
func (f *Fleet) Drop(service string, version uint64, replicaShare float64) {
	replicas := f.Select(Selector{Service: service})
	count := int(math.Ceil(replicaShare * float64(len(replicas))))
	for _, u := range replicas[:min(count, len(replicas))] {
		u.Drop(version)
	}
}

// orderAcrossShards orders the replicas of a service so that the first ones hold
// different shards.
func (f *Fleet) orderAcrossShards(service string, shardCount int) []*Upstream {
	replicas := f.Select(Selector{Service: service})
	slices.SortStableFunc(replicas, func(a, b *Upstream) int {
		return a.shardRank(shardCount) - b.shardRank(shardCount)
	})
	return replicas
}

func (u *Upstream) listen() error {
	inner, err := net.Listen("tcp", u.replica.Address)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "start upstream"), ErrListen)
	}
	u.replica.Address = inner.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", u.handleStatus)
	mux.HandleFunc("POST /v1/shards/{shard}/query", u.handleQuery)
	u.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ConnContext: withConn}
	go func() { _ = u.server.Serve(&listener{Listener: inner, upstream: u}) }()
	return nil
}

func (u *Upstream) close() {
	_ = u.server.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopProcess()
}
