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
// The last address is that of a daemon in another data centre of the region: callers
// whose data centre is lost cannot ask for new addresses there.
type AddressAdviser struct {
	count        int // addresses in an advice
	lifetime     clock.Millis
	stayInRegion bool
	serving      []candidate
	plans        map[origin][][]string // addresses by bucket of callers
}

// origin is where callers are. A data centre or region without a daemon that serves
// callers is empty: the names come from callers, so the others are not stored.
type origin struct{ dataCentre, region string }

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

// StayInRegion lets the adviser return daemons of other regions only to callers whose
// region has none that serves callers.
func (a *AddressAdviser) StayInRegion() {
	if !a.stayInRegion {
		a.stayInRegion, a.plans = true, nil
	}
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

// Advise returns the addresses for a caller in a data centre of a region; both are
// empty if unknown. The region matters only if no daemon serves callers in the data
// centre. The caller is any text that stays the same between its requests, such as its
// IP address.
func (a *AddressAdviser) Advise(dataCentre, region, caller string, random *rand.Rand) Advice {
	lifetime := a.MaxLifetime() * clock.Millis(1-lifetimeJitterRatio*random.Float64())
	if len(a.serving) == 0 {
		return Advice{lifetime: lifetime}
	}
	from := a.origin(dataCentre, region)
	plan, ok := a.plans[from]
	if !ok {
		plan = a.plan(from)
		if a.plans == nil {
			a.plans = make(map[origin][][]string)
		}
		a.plans[from] = plan
	}
	return Advice{addresses: plan[xxhash.Sum64String(caller)%callerBucketCount], lifetime: lifetime}
}

// origin returns the origin of callers that state the data centre and region.
func (a *AddressAdviser) origin(dataCentre, region string) origin {
	var found origin
	for i := range a.serving {
		m := &a.serving[i].member
		if dataCentre != "" && m.dataCentre == dataCentre {
			return origin{dataCentre, m.region}
		}
		if m.region == region {
			found.region = region
		}
	}
	return found
}

// plan assigns addresses to all buckets of the callers at an origin. The result is
// indexed by bucket.
func (a *AddressAdviser) plan(from origin) [][]string {
	count := a.count
	if count <= 0 {
		count = defaultAddressCount
	}
	tiers := a.proximityTiers(from)
	if a.stayInRegion && len(tiers[0])+len(tiers[1]) > 0 {
		tiers[2] = nil
	}
	count = min(count, len(tiers[0])+len(tiers[1])+len(tiers[2]))
	elsewhereFirst := [][]candidate{tiers[1], tiers[0], tiers[2]}
	plan := make([][]string, callerBucketCount)
	for position := range count {
		for _, tier := range tiers {
			for i := range tier {
				tier[i].assignedBuckets = 0
			}
		}
		order := tiers
		if position > 0 && position == count-1 {
			order = elsewhereFirst
		}
		for bucket := range plan {
			plan[bucket] = append(plan[bucket], pickAddress(order, position, uint64(bucket), plan[bucket]))
		}
	}
	return plan
}

// proximityTiers groups the serving members by proximity to callers: those in their
// data centre, those in their region, all others. For callers of whom neither is known
// all are in the first group.
func (a *AddressAdviser) proximityTiers(from origin) [][]candidate {
	tiers := make([][]candidate, 3)
	for _, c := range a.serving {
		switch {
		case from == origin{}, from.dataCentre != "" && c.member.dataCentre == from.dataCentre:
			tiers[0] = append(tiers[0], c)
		case c.member.region == from.region:
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
	bucketHash := mix(bucket + 1)
	for _, tier := range tiers {
		best := heaviest(tier, bucketHash, taken)
		if best == nil {
			best = leastLoaded(tier, taken)
		}
		if best != nil {
			best.assignedBuckets++
			return best.member.callerAddress
		}
	}
	panic("fewer members than addresses at position " + string(rune('0'+position))) // the caller bounds positions
}

// heaviest returns the candidate below the load bound with the highest rendezvous
// weight, or nil if there is none that is not taken.
func heaviest(tier []candidate, bucketHash uint64, taken []string) *candidate {
	bound := loadBound(len(tier))
	var best *candidate
	var bestWeight uint64
	for i := range tier {
		c := &tier[i]
		if c.assignedBuckets >= bound {
			continue
		}
		weight := mix(c.hash ^ bucketHash)
		if best != nil && (weight < bestWeight ||
			weight == bestWeight && strings.Compare(c.member.callerAddress, best.member.callerAddress) >= 0) {
			continue
		}
		if !slices.Contains(taken, c.member.callerAddress) {
			best, bestWeight = c, weight
		}
	}
	return best
}

// leastLoaded returns the candidate with the fewest buckets, or nil if all are taken.
func leastLoaded(tier []candidate, taken []string) *candidate {
	var least *candidate
	for i := range tier {
		c := &tier[i]
		if (least == nil || c.assignedBuckets < least.assignedBuckets) && !slices.Contains(taken, c.member.callerAddress) {
			least = c
		}
	}
	return least
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
