package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNearAddresses bounds the addresses of the caller's own data centre.
	maxNearAddresses = 32
	// nearPerFarAddress is the number of addresses of the own data centre for each one
	// of another. A larger one leaves a caller whose data centre is lost with fewer
	// connections that succeed, a lower one harms more callers of other data centres.
	nearPerFarAddress = 2
)

// Directory names entry addresses to callers that pick one at random for each
// connection, and that leave out those that have failed. It names many daemons of the
// caller's data centre, since a caller that has few runs out of them while a part of
// the fleet is down, and some of other data centres of the region, since a caller whose
// data centre is lost cannot ask for new addresses there. The zero value names none.
// It is not safe for concurrent use.
type Directory struct {
	serving []Member
}

// SetMembers sets the members of the fleet. Only alive ones with an address for callers
// are named.
func (d *Directory) SetMembers(members []Member) {
	d.serving = d.serving[:0]
	for _, m := range members {
		if m.Alive() && m.callerAddress != "" {
			d.serving = append(d.serving, m)
		}
	}
}

// Addresses returns the addresses for a caller in a data centre of a region; both are
// empty if unknown. Daemons of other regions are named only if the region has none. The
// caller is any text that stays the same between its requests, such as its IP address:
// it decides which daemons are named, so that they stay the same too.
func (d *Directory) Addresses(dataCentre, region, caller string) []string {
	var near, far, otherRegions []string
	for _, m := range d.serving {
		switch {
		case m.dataCentre == dataCentre:
			near = append(near, m.callerAddress)
		case m.region == region || region == "":
			far = append(far, m.callerAddress)
		default:
			otherRegions = append(otherRegions, m.callerAddress)
		}
	}
	switch {
	case len(near) > 0:
	case len(far) > 0:
		near, far = far, nil
	default:
		near = otherRegions
	}
	near = heaviest(near, caller, maxNearAddresses)
	farCount := (len(near) + nearPerFarAddress - 1) / nearPerFarAddress
	return append(near, heaviest(far, caller, farCount)...)
}

// heaviest returns the count addresses with the highest rendezvous weights for the
// caller, or all if there are no more.
func heaviest(addresses []string, caller string, count int) []string {
	if len(addresses) <= count {
		return addresses
	}
	type weighted struct {
		weight  uint64
		address string
	}
	hash := xxhash.Sum64String(caller)
	all := make([]weighted, len(addresses))
	for i, address := range addresses {
		all[i] = weighted{mix(xxhash.Sum64String(address) ^ hash), address}
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	chosen := make([]string, count)
	for i := range chosen {
		chosen[i] = all[i].address
	}
	return chosen
}
