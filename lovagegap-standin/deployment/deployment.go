// Package deployment describes the services, data centres and entry VMs that
// the stand-ins present.
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

// ErrDeployment means that a deployment file is unreadable or inconsistent.
var ErrDeployment = errors.New("bad deployment")

// Deployment is one user's installation: its data centres, its entry VMs and
// its services.
type Deployment struct {
	User            string    `json:"user"`
	Region          string    `json:"region"`
	DataCentres     []string  `json:"dataCentres"`
	PlatformAddress string    `json:"platform"`  // address of the platform stand-in
	ControlAddress  string    `json:"control"`   // address of the upstreams' fault switches
	UpstreamIP      string    `json:"upstreams"` // IP of all upstreams
	FirstPort       int       `json:"firstPort"` // upstreams take ports from here on
	Entries         []Entry   `json:"entries"`
	Services        []Service `json:"services"`
	Seed            uint64    `json:"seed"`
}

// Entry is an entry VM as the platform lists it.
type Entry struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peer"`
	DataCentre  string `json:"dataCentre"`
}

// Service is the shape of one service.
type Service struct {
	Name             string   `json:"name"`
	ShardCount       int      `json:"shards"`
	ReplicasPerShard int      `json:"replicas"`
	Slots            int      `json:"slots"`
	MaxConnections   int      `json:"connections"`
	ConnectionCost   Duration `json:"connectionCost"`
	ServiceTime      Duration `json:"serviceTime"` // median
	ServiceTimeSigma float64  `json:"spread"`      // sigma of the log-normal service time
	QueueLimit       int      `json:"queue"`       // requests that may wait for a slot
	StartCold        bool     `json:"cold"`        // replicas start cold
}

// Replica is the place of one replica of a service.
type Replica struct {
	Address    string
	DataCentre string
	Service    Service
	Index      int // position within the service
}

// Replicas lists all replicas in the order of their ports. Consecutive
// replicas of a shard are in different data centres.
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

// Duration is a time.Duration written with a unit in JSON.
type Duration time.Duration

// UnmarshalJSON reads a duration such as "6ms".
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(s)
	*d = Duration(parsed)
	return err
}

// MarshalJSON writes the duration with a unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Load reads a deployment file. It returns ErrDeployment.
func Load(path string) (Deployment, error) {
	var d Deployment
	text, err := os.ReadFile(path)
	if err != nil {
		return d, errors.Mark(err, ErrDeployment)
	}
	if err := json.Unmarshal(text, &d); err != nil {
		return d, errors.Mark(errors.Wrapf(err, "%s", path), ErrDeployment)
	}
	if len(d.DataCentres) == 0 || len(d.Services) == 0 {
		return d, errors.Wrapf(ErrDeployment, "%s: at least one data centre and one service are needed", path)
	}
	return d, nil
}
