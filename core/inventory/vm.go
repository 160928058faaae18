package inventory

import (
	"slices"

	"github.com/lovagegap/lovagegap/core/snapshot"
)

// VM is an entry of the platform's list.
type VM struct {
	address     string
	peerAddress string
	dataCentre  string
	region      string
	service     string
	entryDaemon bool
	leaving     bool
}

// NewEntryVM returns a VM that runs an entry daemon, with its addresses for
// callers and for other daemons.
func NewEntryVM(callerAddress, peerAddress, dataCentre, region string) VM {
	return VM{address: callerAddress, peerAddress: peerAddress, dataCentre: dataCentre, region: region, entryDaemon: true}
}

// NewUpstreamVM returns a VM that runs an upstream of service, in the form
// user/service.
func NewUpstreamVM(address, service, dataCentre, region string) VM {
	return VM{address: address, service: service, dataCentre: dataCentre, region: region}
}

// AsLeaving returns the VM listed as leaving.
func (v VM) AsLeaving() VM {
	v.leaving = true
	return v
}

// Address returns the IP:port at which the VM serves.
func (v VM) Address() string { return v.address }

// PeerAddress returns the IP:port for other daemons, or "" for an upstream.
func (v VM) PeerAddress() string { return v.peerAddress }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// Region returns the region of the data centre.
func (v VM) Region() string { return v.region }

// Service returns the service in the form user/service, or "" for an entry VM.
func (v VM) Service() string { return v.service }

// RunsEntryDaemon reports whether the VM runs an entry daemon.
func (v VM) RunsEntryDaemon() bool { return v.entryDaemon }

// Leaving reports whether the platform lists the VM as leaving.
func (v VM) Leaving() bool { return v.leaving }

// Status is what an upstream says about itself. It may lag or mislead.
type Status struct {
	address  string
	boot     string
	cold     bool
	leaving  bool
	holdings []snapshot.Holding
}

// NewStatus returns the status of the upstream at address.
func NewStatus(address, boot string, cold, leaving bool, holdings []snapshot.Holding) Status {
	return Status{address: address, boot: boot, cold: cold, leaving: leaving, holdings: holdings}
}

// Address returns the upstream's IP:port.
func (s Status) Address() string { return s.address }

// Boot returns the identity of the upstream's process.
func (s Status) Boot() string { return s.boot }

// Cold reports whether the upstream says that it is in a cold start.
func (s Status) Cold() bool { return s.cold }

// Leaving reports whether the upstream says that it is leaving.
func (s Status) Leaving() bool { return s.leaving }

// Holdings returns the snapshots that the upstream says it holds.
func (s Status) Holdings() []snapshot.Holding { return s.holdings }

func (s Status) equal(other Status) bool {
	return s.boot == other.boot && s.cold == other.cold && s.leaving == other.leaving &&
		slices.EqualFunc(s.holdings, other.holdings, snapshot.Holding.Equal)
}
