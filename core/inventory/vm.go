package inventory

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/snapshot"
)

// VM is one VM in the platform's list: an entry daemon or an upstream.
type VM struct {
	address     string
	peerAddress string
	dataCentre  string
	region      string
	service     string
	entryDaemon bool
	leaving     bool
}

// NewEntryVM returns a VM that runs an entry daemon. The addresses, as IP:port, are
// those for callers and for other daemons.
func NewEntryVM(callerAddress, peerAddress, dataCentre, region string) VM {
	return VM{address: callerAddress, peerAddress: peerAddress, dataCentre: dataCentre, region: region, entryDaemon: true}
}

// NewUpstreamVM returns a VM that runs an upstream. The service has the form
// user/service.
func NewUpstreamVM(address, service, dataCentre, region string) VM {
	return VM{address: address, service: service, dataCentre: dataCentre, region: region}
}

// AsLeaving returns a copy of the VM that is listed as leaving.
func (v VM) AsLeaving() VM {
	v.leaving = true
	return v
}

// Address returns the IP:port for callers of an entry daemon, or for queries of an
// upstream.
func (v VM) Address() string { return v.address }

// PeerAddress returns the IP:port for other daemons, or "" for an upstream.
func (v VM) PeerAddress() string { return v.peerAddress }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// Region returns the region of the data centre.
func (v VM) Region() string { return v.region }

// Service returns the service in the form user/service, or "" for an entry daemon.
func (v VM) Service() string { return v.service }

// RunsEntryDaemon reports whether the VM runs an entry daemon.
func (v VM) RunsEntryDaemon() bool { return v.entryDaemon }

// Leaving reports whether the platform lists the VM as leaving.
func (v VM) Leaving() bool { return v.leaving }

// Status is the status that an upstream reports of itself. It may be outdated or
// wrong.
type Status struct {
	address  string
	boot     string
	cold     bool
	leaving  bool
	holdings []snapshot.Holding
}

// NewStatus returns the status of the upstream at address. It keeps holdings.
func NewStatus(address, boot string, cold, leaving bool, holdings []snapshot.Holding) Status {
	return Status{address: address, boot: boot, cold: cold, leaving: leaving, holdings: holdings}
}

// Address returns the upstream's IP:port.
func (s Status) Address() string { return s.address }

// Boot returns the id of the upstream's process, which changes when it restarts.
func (s Status) Boot() string { return s.boot }

// Cold reports whether the upstream reports a cold start.
func (s Status) Cold() bool { return s.cold }

// Leaving reports whether the upstream reports that it is leaving.
func (s Status) Leaving() bool { return s.leaving }

// Holdings returns the snapshots that the upstream reports to hold.
func (s Status) Holdings() []snapshot.Holding { return s.holdings }

func (s Status) equal(other Status) bool {
	return s.boot == other.boot && s.cold == other.cold && s.leaving == other.leaving &&
		slices.EqualFunc(s.holdings, other.holdings, snapshot.Holding.Equal)
}
