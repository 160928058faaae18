package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// callerBucketCount is the number of buckets into which callers are hashed. It
	// is far above the number of daemons in a data centre (72 at the target size),
	// so that a daemon has enough buckets to balance its load.
	callerBucketCount = 1024
	// loadBoundNumerator / loadBoundDenominator is the largest load of a daemon as
	// a multiple of the mean load. A lower bound balances better but moves more
	// callers when the fleet changes.
	loadBoundNumerator   = 5
	loadBoundDenominator = 4
	// lifetimeJitterRatio is the largest fraction of the lifetime by which a random
	// draw shortens it. The lifetime is never extended, so a leaving daemon can rely
	// on the maximum.
	lifetimeJitterRatio = 0.25

	defaultAddressCount    = 3
	defaultAddressLifetime = 10 * clock.Second
)

// Advice is a list of entry addresses for a caller.
type Advice struct {
	addresses []string
	lifetime  clock.Millis
}

// Addresses returns the callers' addresses of daemons, preferred first. The list is
// empty if no daemon serves callers. It is shared and must not be modified.
func (a Advice) Addresses() []string { return a.addresses }

// Lifetime returns how long the caller may use the addresses.
func (a Advice) Lifetime() clock.Millis { return a.lifetime }

// AddressAdviser advises callers on entry addresses. The zero value gives no
// addresses until SetMembers is called. It is not safe for concurrent use.
//
// All daemons with the same view give a caller the same addresses. Callers are
// hashed into buckets. The buckets of a data centre are assigned to its daemons by
// rendezvous hashing with bounded loads: a daemon that has reached its bound gets no
// further buckets. The bound holds for each position in the list of addresses
// separately.
//
// The last address is that of a daemon in another data centre, if possible of the
// region: a caller whose data centre is lost cannot ask for new addresses there.
type AddressAdviser struct {
	count    int // addresses in an advice
	lifetime clock.Millis
	serving  []candidate
	plans    map[string][][]string // addresses by data centre and bucket of callers
}

// candidate is a member that serves callers.
type candidate struct {
	member          Member
	hash            uint64
	assignedBuckets int
}

// Configure sets the number of addresses in an advice and their lifetime. Values of
// zero or less select the defaults.
func (a *AddressAdviser) Configure(count int, lifetime clock.Millis) {
	if a.count != count {
		a.plans = nil
	}
	a.count, a.lifetime = count, lifetime
}

// SetMembers sets the members of the fleet. Only alive members with an address for
// callers are advised.
func (a *AddressAdviser) SetMembers(members []Member) {
	var serving []candidate
	for _, m := range members {
		if m.Alive() && m.callerAddress != "" {
			serving = append(serving, candidate{member: m, hash: xxhash.Sum64String(m.callerAddress)})
		}
	}
	same := slices.EqualFunc(serving, a.serving, func(x, y candidate) bool {
		return x.member.callerAddress == y.member.callerAddress && x.member.dataCentre == y.member.dataCentre &&
			x.member.region == y.member.region
	})
	if !same {
		a.serving, a.plans = serving, nil
	}
}

// MaxLifetime returns the longest lifetime of an advice.
func (a *AddressAdviser) MaxLifetime() clock.Millis {
	if a.lifetime <= 0 {
		return defaultAddressLifetime
	}
	return a.lifetime
}

// Advise returns the addresses for a caller in a data centre, or of an unknown one
// if dataCentre is empty. The caller is any text that stays the same between its
// requests, such as its IP address.
func (a *AddressAdviser) Advise(dataCentre, caller string, random *rand.Rand) Advice {
	lifetime := a.MaxLifetime() * clock.Millis(1-lifetimeJitterRatio*random.Float64())
	if len(a.serving) == 0 {
		return Advice{lifetime: lifetime}
	}
	plan, ok := a.plans[dataCentre]
	if !ok {
		plan = a.plan(dataCentre)
		if a.plans == nil {
			a.plans = make(map[string][][]string)
		}
		// Names of unknown data centres come from callers, so they are not stored and
		// share a plan.
		if a.knowsDataCentre(dataCentre) || dataCentre == "" {
			a.plans[dataCentre] = plan
		}
	}
	return Advice{addresses: plan[xxhash.Sum64String(caller)%callerBucketCount], lifetime: lifetime}
}

func (a *AddressAdviser) knowsDataCentre(dataCentre string) bool {
	return slices.ContainsFunc(a.serving, func(c candidate) bool { return c.member.dataCentre == dataCentre })
}

// plan assigns addresses to all buckets of the callers in a data centre. The result
// is indexed by bucket.
func (a *AddressAdviser) plan(dataCentre string) [][]string {
	if dataCentre != "" && !a.knowsDataCentre(dataCentre) {
		return a.sharedPlan()
	}
	count := a.count
	if count <= 0 {
		count = defaultAddressCount
	}
	tiers := a.proximityTiers(dataCentre)
	elsewhereFirst := [][]candidate{tiers[1], tiers[2], tiers[0]}
	count = min(count, len(a.serving))
	plan := make([][]string, callerBucketCount)
	for position := range count {
		order := tiers
		if position > 0 && position == count-1 {
			order = elsewhereFirst
		}
		for _, tier := range tiers {
			for i := range tier {
				tier[i].assignedBuckets = 0
			}
		}
		for bucket := range plan {
			plan[bucket] = append(plan[bucket], pickAddress(order, position, uint64(bucket), plan[bucket]))
		}
	}
	return plan
}

// sharedPlan returns the plan for callers whose data centre is not known.
func (a *AddressAdviser) sharedPlan() [][]string {
	if plan, ok := a.plans[""]; ok {
		return plan
	}
	plan := a.plan("")
	if a.plans == nil {
		a.plans = make(map[string][][]string)
	}
	a.plans[""] = plan
	return plan
}

// proximityTiers groups the serving members by proximity to the data centre: those
// in it, those in its region, all others. For callers without a data centre all are
// in the first group.
func (a *AddressAdviser) proximityTiers(dataCentre string) [][]candidate {
	region := ""
	for _, c := range a.serving {
		if c.member.dataCentre == dataCentre {
			region = c.member.region
		}
	}
	tiers := make([][]candidate, 3)
	for _, c := range a.serving {
		switch {
		case dataCentre == "" || c.member.dataCentre == dataCentre:
			tiers[0] = append(tiers[0], c)
		case c.member.region == region:
			tiers[1] = append(tiers[1], c)
		default:
			tiers[2] = append(tiers[2], c)
		}
	}
	return tiers
}

// pickAddress returns the next address of a bucket, from the nearest tier with a
// member that the bucket does not have yet. In the tier it prefers the member with
// the highest rendezvous weight that is below the load bound, or the least loaded
// one if all have reached the bound.
func pickAddress(tiers [][]candidate, position int, bucket uint64, taken []string) string {
	for _, tier := range tiers {
		bound := loadBound(len(tier))
		var best, least *candidate
		var bestWeight uint64
		for i := range tier {
			c := &tier[i]
			if slices.Contains(taken, c.member.callerAddress) {
				continue
			}
			if least == nil || c.assignedBuckets < least.assignedBuckets {
				least = c
			}
			weight := mix(c.hash ^ mix(bucket+1))
			if c.assignedBuckets < bound && (best == nil || weight > bestWeight ||
				(weight == bestWeight && strings.Compare(c.member.callerAddress, best.member.callerAddress) < 0)) {
				best, bestWeight = c, weight
			}
		}
		if best == nil {
			best = least
		}
		if best != nil {
			best.assignedBuckets++
			return best.member.callerAddress
		}
	}
	panic("fewer members than addresses at position " + string(rune('0'+position))) // the caller bounds positions
}

// loadBound returns the number of buckets that a daemon may get among members
// daemons.
func loadBound(members int) int {
	if members == 0 {
		return 0
	}
	mean := (callerBucketCount + members - 1) / members
	return max(mean, callerBucketCount*loadBoundNumerator/(members*loadBoundDenominator))
}

// mix is the finaliser of SplitMix64. It spreads the few bits of a bucket number
// over the whole word.
func mix(v uint64) uint64 {
	v = (v ^ (v >> 30)) * 0xbf58476d1ce4e5b9
	v = (v ^ (v >> 27)) * 0x94d049bb133111eb
	return v ^ (v >> 31)
}
