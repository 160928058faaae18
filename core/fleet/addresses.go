package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// callerBucketCount is the number of groups into which callers are hashed. It
	// is well above the daemons of a data centre (72 at the target size), so
	// the buckets of one daemon balance its load.
	callerBucketCount = 1024
	// loadBoundNumerator / loadBoundDenominator is the largest load of a
	// daemon relative to the mean. A lower bound balances better but moves
	// more callers when the fleet changes.
	loadBoundNumerator   = 5
	loadBoundDenominator = 4
	// lifetimeJitterRatio is the part of the lifetime that is drawn at random. It
	// only shortens the lifetime, so a leaving daemon can rely on the maximum.
	lifetimeJitterRatio = 0.25

	defaultAddressCount    = 3
	defaultAddressLifetime = 10 * clock.Second
)

// Advice names entry addresses for a caller.
type Advice struct {
	addresses []string
	lifetime  clock.Millis
}

// Addresses returns the callers' addresses, preferred first; none if no daemon
// serves.
func (a Advice) Addresses() []string { return a.addresses }

// Lifetime returns how long the caller may use the addresses.
func (a Advice) Lifetime() clock.Millis { return a.lifetime }

// AddressAdviser advises callers on entry addresses. The zero value names no
// address until it knows members. It is not safe for concurrent use.
//
// Every daemon with the same view gives a caller the same addresses. Callers
// are hashed into buckets, and the buckets of a data centre are assigned to
// its daemons by rendezvous hashing, except that a daemon with its bound of
// buckets gets no more. Each position of the answer is bounded on its own.
type AddressAdviser struct {
	count    int
	lifetime clock.Millis
	serving  []candidate
	plans    map[string][][]string
}

type candidate struct {
	member          Member
	hash            uint64
	assignedBuckets int
}

// Configure sets the number of addresses in an answer and their lifetime.
func (a *AddressAdviser) Configure(count int, lifetime clock.Millis) {
	if a.count != count {
		a.plans = nil
	}
	a.count, a.lifetime = count, lifetime
}

// SetMembers takes the members of the fleet. Only members that serve and do
// not leave are advised.
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

// MaxLifetime returns the longest lifetime that an answer carries.
func (a *AddressAdviser) MaxLifetime() clock.Millis {
	if a.lifetime <= 0 {
		return defaultAddressLifetime
	}
	return a.lifetime
}

// Advise returns the addresses for a caller in a data centre. The caller is any
// text that stays the same between its requests, such as its IP address.
func (a *AddressAdviser) Advise(dataCentre, caller string, rng *rand.Rand) Advice {
	lifetime := a.MaxLifetime() * clock.Millis(1-lifetimeJitterRatio*rng.Float64())
	if len(a.serving) == 0 {
		return Advice{lifetime: lifetime}
	}
	plan, ok := a.plans[dataCentre]
	if !ok {
		plan = a.plan(dataCentre)
		if a.plans == nil {
			a.plans = make(map[string][][]string)
		}
		// Names of unknown data centres come from callers, so they share one plan.
		if a.knowsDataCentre(dataCentre) || dataCentre == "" {
			a.plans[dataCentre] = plan
		}
	}
	return Advice{addresses: plan[xxhash.Sum64String(caller)%callerBucketCount], lifetime: lifetime}
}

func (a *AddressAdviser) knowsDataCentre(dataCentre string) bool {
	return slices.ContainsFunc(a.serving, func(c candidate) bool { return c.member.dataCentre == dataCentre })
}

// plan assigns addresses to all buckets of the callers in a data centre.
func (a *AddressAdviser) plan(dataCentre string) [][]string {
	if dataCentre != "" && !a.knowsDataCentre(dataCentre) {
		return a.sharedPlan()
	}
	count := a.count
	if count <= 0 {
		count = defaultAddressCount
	}
	tiers := a.proximityTiers(dataCentre)
	plan := make([][]string, callerBucketCount)
	for position := range min(count, len(a.serving)) {
		for _, tier := range tiers {
			for i := range tier {
				tier[i].assignedBuckets = 0
			}
		}
		for bucket := range plan {
			plan[bucket] = append(plan[bucket], pickAddress(tiers, position, uint64(bucket), plan[bucket]))
		}
	}
	return plan
}

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

// proximityTiers groups the serving members by nearness: the data centre, its region,
// all others. Callers without a data centre have one group.
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

// pickAddress returns the address for a bucket from the nearest tier with a member
// that the bucket does not have yet: the one ranked first that is below its
// bound, or the least loaded if all are at their bound.
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
	panic("no address left for position " + string(rune('0'+position))) // the caller bounds positions
}

func loadBound(members int) int {
	if members == 0 {
		return 0
	}
	mean := (callerBucketCount + members - 1) / members
	return max(mean, callerBucketCount*loadBoundNumerator/(members*loadBoundDenominator))
}

// mix is the finalizer of SplitMix64; it spreads the bits of a small number.
func mix(v uint64) uint64 {
	v = (v ^ (v >> 30)) * 0xbf58476d1ce4e5b9
	v = (v ^ (v >> 27)) * 0x94d049bb133111eb
	return v ^ (v >> 31)
}
