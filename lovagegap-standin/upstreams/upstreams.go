// Package upstreams simulates the replicas of services with HTTP servers on
// loopback. They have the limits of real upstreams (slots, queue, connection
// limit, cost of a new connection, cold start), and faults can be injected while
// they run. Each replica logs the sub-requests that it receives, so that a test
// can check a property from the upstream's side. A sub-request is the part of a
// query that concerns one shard.
//
// # Usage
//
// As part of a deployment, with fault injection over HTTP:
//
//	fleet, err := upstreams.Start(d, clock.Clock{})
//	defer fleet.Close()
//	http.Serve(listener, fleet.Control())
//
// In a test of another module, a deployment of one service:
//
//	d := deployment.Deployment{
//		User: "association", DataCentres: []string{"ikeja"}, UpstreamIP: "127.0.0.1",
//		Services: []deployment.Service{{
//			Name: "review-desk", ShardCount: 1, ReplicasPerShard: 1, Slots: 6, MaxConnections: 45,
//		}},
//	}
//	fleet, err := upstreams.Start(d, clock.Clock{})
//	u := fleet.All()[0]
//	u.SetFaults(upstreams.Faults{ShedShare: 1})
//	u.Log(0) // sub-requests received
//
// With FirstPort 0 every replica listens on a free port; Address returns it.
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

// ErrListen means that a replica cannot listen on its address.
var ErrListen = errors.New("cannot listen")

// Fleet holds all replicas of a deployment. Its methods are safe for concurrent
// use.
type Fleet struct {
	upstreams []*Upstream
}

// Start starts every replica of the deployment. The caller must call Close. On an
// error, which matches ErrListen, Start stops the replicas already started.
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

// Close stops all replicas and closes their connections.
func (f *Fleet) Close() {
	for _, u := range f.upstreams {
		u.close()
	}
}

// Selector selects the replicas that match all its fields. An empty field matches
// every replica.
type Selector struct {
	Upstream   string `json:"upstream"` // IP:port
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
}

// Select returns the replicas that match selector, in the order of the
// deployment.
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

// Publish publishes a version with shardCount shards to a share (0 to 1) of the
// replicas of a service, rounded up. It starts with the first replica of every
// shard, so that a small share covers as many shards as possible. A later call
// with a larger share publishes the version to more replicas.
func (f *Fleet) Publish(service string, version uint64, shardCount int, replicaShare float64) {
	replicas := f.orderAcrossShards(service, shardCount)
	count := int(math.Ceil(replicaShare * float64(len(replicas))))
	for i, u := range replicas {
		if i < count {
			u.Publish(version, shardCount)
		}
	}
}

// Drop removes a version from a share (0 to 1) of the replicas of a service,
// rounded up.
func (f *Fleet) Drop(service string, version uint64, replicaShare float64) {
	replicas := f.Select(Selector{Service: service})
	count := int(math.Ceil(replicaShare * float64(len(replicas))))
	for _, u := range replicas[:min(count, len(replicas))] {
		u.Drop(version)
	}
}

// orderAcrossShards returns the replicas of a service ordered by their rank
// within the shard, so that the first ones hold different shards.
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
		return errors.Mark(errors.Wrapf(err, "start upstream of service %s", u.Service()), ErrListen)
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
