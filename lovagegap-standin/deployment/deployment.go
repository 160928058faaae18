// Package deployment describes the services, data centres and entry VMs that the
// stand-ins simulate.
//
// # Usage
//
//	d, err := deployment.Load("examples/association/deployment.json")
package deployment

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrDeployment means that a deployment file is unreadable, malformed or
// incomplete.
var ErrDeployment = errors.New("invalid deployment file")

// Deployment is one user's installation: its data centres, its entry VMs and
// its services.
type Deployment struct {
	User            string    `json:"user"`
	Region          string    `json:"region"`
	DataCentres     []string  `json:"dataCentres"`
	PlatformAddress string    `json:"platform"`  // where the platform stand-in listens
	ControlAddress  string    `json:"control"`   // where fault injection for the upstreams listens
	UpstreamIP      string    `json:"upstreams"` // on which all upstreams listen
	FirstPort       int       `json:"firstPort"` // port of the first upstream, the others follow; 0 takes free ports
	Entries         []Entry   `json:"entries"`
	Services        []Service `json:"services"`
	Seed            uint64    `json:"seed"` // of the random numbers of the upstreams
}

// Entry is an entry VM as the platform lists it.
type Entry struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peer"`
	DataCentre  string `json:"dataCentre"`
}

// Service describes one service and the limits of its replicas.
type Service struct {
	Name             string   `json:"name"`
	ShardCount       int      `json:"shards"` // of version 1
	ReplicasPerShard int      `json:"replicas"`
	Slots            int      `json:"slots"`          // sub-requests that a replica runs at a time
	MaxConnections   int      `json:"connections"`    // open connections to a replica; 0 means no limit
	ConnectionCost   Duration `json:"connectionCost"` // delay before the first read from a new connection
	ServiceTime      Duration `json:"serviceTime"`    // median
	ServiceTimeSigma float64  `json:"spread"`         // sigma of the logarithm of the service time, which is log-normal
	QueueLimit       int      `json:"queue"`          // sub-requests that may wait at a replica; 0 means 64
	StartCold        bool     `json:"cold"`           // replicas begin in a cold start
}

// Replica describes one replica of a service.
type Replica struct {
	Address    string
	DataCentre string
	Service    Service
	Index      int // within the service, counted from 0; replicas of a shard are consecutive
}

// Replicas returns all replicas in the order of their ports. Consecutive replicas
// of a shard are in different data centres if there are several.
func (d Deployment) Replicas() []Replica {
	var replicas []Replica
	port := d.FirstPort
	for _, service := range d.Services {
		for i := range service.ShardCount * service.ReplicasPerShard {
			shard, rank := i/service.ReplicasPerShard, i%service.ReplicasPerShard
			replicas = append(replicas, Replica{
				Address:    net.JoinHostPort(d.UpstreamIP, strconv.Itoa(port)),
				DataCentre: d.DataCentres[(shard+rank)%len(d.DataCentres)],
				Service:    service,
				Index:      i,
			})
			port++
		}
	}
	return replicas
}

// Duration is a time.Duration that JSON writes with its unit, such as "6ms".
type Duration time.Duration

// UnmarshalJSON parses a duration such as "6ms".
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(s)
	*d = Duration(parsed)
	return err
}

// MarshalJSON writes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Load reads and checks a deployment file. Its errors match ErrDeployment.
func Load(path string) (Deployment, error) {
	var d Deployment
	text, err := os.ReadFile(path)
	if err != nil {
		return d, errors.Mark(err, ErrDeployment)
	}
	if err := json.Unmarshal(text, &d); err != nil {
		return d, errors.Mark(errors.Wrapf(err, "parse %s", path), ErrDeployment)
	}
	if len(d.DataCentres) == 0 || len(d.Services) == 0 {
		return d, errors.Wrapf(ErrDeployment, "%s: needs at least one data centre and one service, has %d and %d",
			path, len(d.DataCentres), len(d.Services))
	}
	return d, nil
}
