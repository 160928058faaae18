package allowance

import (
	"maps"
	"math"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quota"
)

const (
	// takeoverDelay is the time from becoming the owner of a tenant until the bucket
	// refills. The previous owner may be in another part of a divided fleet; it notices
	// the division within this time, which is the time in which members suspect and
	// declare each other dead, and reduces its rate.
	takeoverDelay = 3500 * clock.Millisecond
	// riseDelay is the time for which the daemons alive must have been so many before the
	// share rises. When a divided fleet comes together, the owners of its parts grant in
	// parallel until all daemons know it, and each must keep to the share of its part.
	riseDelay = 3500 * clock.Millisecond
	// handoverGrace is the time for which a daemon grants tokens of a tenant that it no
	// longer owns. It ends before the new owner's bucket refills.
	handoverGrace = 2700 * clock.Millisecond
	// switchDelay is the time for which tokens are still requested from the previous
	// owner if that is alive. It is shorter than handoverGrace by the time in which
	// members learn of a change.
	switchDelay = 2400 * clock.Millisecond
	// knownRetention is the time for which a daemon that is no longer alive counts in
	// the share of the rate. A division of the fleet that lasts longer lets each part
	// grant the whole rate.
	knownRetention = 10 * clock.Minute
	// epochRetention is the time for which past owners and shares are remembered.
	epochRetention = 30 * clock.Second
	// ownersResource ranks the daemons that may be owners.
	ownersResource = "allowance/owners"
)

// maxOwners returns the number of daemons that may be owners in a fleet of the given
// size. Each daemon keeps one connection to each of them. The square root balances
// the connections of a daemon with the share of all calls that an owner handles.
func maxOwners(members int) int { return 2 + int(math.Ceil(math.Sqrt(float64(members)))) }

// epoch is a time in which the owners and the daemons alive did not change.
type epoch struct {
	since  clock.Millis
	owners quota.Table
	seen   float64 // daemons alive, as a fraction of those known
}

// refill is a time in which the share of the rate did not change.
type refill struct {
	since  clock.Millis
	share  float64
	weight clock.Millis // integral of share over the time until since
}

// View derives the owners of tenants and the share of the rate from the members of
// the fleet, as one daemon sees them. A View is not safe for concurrent use.
type View struct {
	self     string
	alive    map[string]bool
	leaving  map[string]bool         // still answer, but serve no new callers
	lastSeen map[string]clock.Millis // of all known daemons; of those alive, when they became so
	known    quota.Table
	epochs   []epoch  // in order of time, never empty
	refills  []refill // in order of time, never empty
	nextDrop clock.Millis
}

// NewView returns a view in which no daemon is alive. The seeds count as known.
func NewView(self string, seeds []string, now clock.Millis) *View {
	v := &View{self: self, alive: make(map[string]bool), lastSeen: map[string]clock.Millis{self: now}}
	for _, seed := range seeds {
		v.lastSeen[seed] = now
	}
	v.known = quota.NewTable(slices.Collect(maps.Keys(v.lastSeen)))
	v.epochs = []epoch{{since: now}}
	v.refills = []refill{{since: now}}
	return v
}

// SetAlive sets the daemons that are alive, with this one if it is.
func (v *View) SetAlive(now clock.Millis, members []string) {
	alive := make(map[string]bool, len(members))
	for member := range v.alive {
		v.lastSeen[member] = now
	}
	for _, member := range members {
		alive[member] = true
		v.lastSeen[member] = now
	}
	v.alive = alive
	v.update(now)
}

// SetLeaving sets the daemons that are about to stop. Tokens of the tenants that they
// owned are requested from them for the time of a handover.
func (v *View) SetLeaving(members []string) {
	v.leaving = make(map[string]bool, len(members))
	for _, member := range members {
		v.leaving[member] = true
	}
}

// Tick updates the share and drops daemons that have not been alive for a long time.
func (v *View) Tick(now clock.Millis) {
	v.updateShare(now)
	if now < v.nextDrop {
		return
	}
	v.nextDrop = now + clock.Second
	size := len(v.lastSeen)
	maps.DeleteFunc(v.lastSeen, func(member string, seen clock.Millis) bool {
		return !v.alive[member] && member != v.self && now-seen > knownRetention
	})
	if len(v.lastSeen) != size {
		v.update(now)
	}
}

// Restart forgets since when this daemon owns its tenants. It must be called after a
// pause, in which other daemons may have become owners.
func (v *View) Restart(now clock.Millis) {
	last := v.epochs[len(v.epochs)-1]
	last.since = now
	v.epochs = []epoch{last}
}

// update begins a new epoch if the owners or the daemons alive have changed.
func (v *View) update(now clock.Millis) {
	if v.known.Len() != len(v.lastSeen) || !v.knowsAll() {
		v.known = quota.NewTable(slices.Collect(maps.Keys(v.lastSeen)))
	}
	members := quota.NewTable(slices.Collect(maps.Keys(v.alive)))
	owners := quota.NewTable(members.Leading(ownersResource, maxOwners(members.Len())))
	seen := float64(members.Len()) / float64(max(1, v.known.Len()))
	last := v.epochs[len(v.epochs)-1]
	if last.seen == seen && slices.Equal(last.owners.Members(), owners.Members()) {
		return
	}
	v.epochs = append(v.epochs, epoch{since: now, owners: owners, seen: seen})
	for len(v.epochs) > 1 && now-v.epochs[1].since > epochRetention {
		v.epochs = v.epochs[1:]
	}
	v.updateShare(now)
}

// updateShare sets the share to the least fraction of daemons alive within riseDelay.
func (v *View) updateShare(now clock.Millis) {
	share := 1.0
	for i := len(v.epochs) - 1; i >= 0; i-- {
		share = min(share, v.epochs[i].seen)
		if v.epochs[i].since <= now-riseDelay {
			break
		}
	}
	if share == v.Share() {
		return
	}
	v.refills = append(v.refills, refill{since: now, share: share, weight: v.weightAt(now)})
	for len(v.refills) > 1 && now-v.refills[1].since > epochRetention {
		v.refills = v.refills[1:]
	}
}

func (v *View) knowsAll() bool {
	for member := range v.lastSeen {
		if !v.known.Has(member) {
			return false
		}
	}
	return true
}

// Share returns the share of the rate that an owner may grant, 0 to 1.
func (v *View) Share() float64 { return v.refills[len(v.refills)-1].share }

// seen returns the daemons alive as a fraction of those known.
func (v *View) seen() float64 { return v.epochs[len(v.epochs)-1].seen }

// Known returns the number of daemons among which limits are divided.
func (v *View) Known() int { return v.known.Len() }

// Owners returns the daemons that may be owners.
func (v *View) Owners() []string { return v.epochs[len(v.epochs)-1].owners.Members() }

// weightAt returns the integral of the share over time until at. The share counts as
// zero before the time that is remembered.
func (v *View) weightAt(at clock.Millis) clock.Millis {
	for i := len(v.refills) - 1; i >= 0; i-- {
		if r := v.refills[i]; at >= r.since {
			return r.weight + (at-r.since)*clock.Millis(r.share)
		}
	}
	return v.refills[0].weight
}

// Owner returns the daemon from which tokens of the tenant are requested, or "".
func (v *View) Owner(now clock.Millis, tenant string) string {
	i := len(v.epochs) - 1
	owner := v.epochs[i].owners.First(tenant)
	for ; i > 0 && now-v.epochs[i].since < switchDelay; i-- {
		previous := v.epochs[i-1]
		// The owners of a short time, as after the start of the process, have little
		// in their buckets.
		if v.epochs[i].since-previous.since < takeoverDelay {
			continue
		}
		if before := previous.owners.First(tenant); v.alive[before] || v.leaving[before] {
			return before
		}
		break
	}
	return owner
}

// ownedSince returns since when this daemon owns the tenant.
func (v *View) ownedSince(tenant string) (since clock.Millis, ok bool) {
	for i := len(v.epochs) - 1; i >= 0 && v.epochs[i].owners.First(tenant) == v.self; i-- {
		since, ok = v.epochs[i].since, true
	}
	return since, ok
}

// ownedUntil returns when this daemon ceased to own the tenant, which it does not own,
// and since when it had owned it.
func (v *View) ownedUntil(tenant string) (since, until clock.Millis, ok bool) {
	for i := len(v.epochs) - 1; i >= 0; i-- {
		if v.epochs[i].owners.First(tenant) == v.self {
			since, ok = v.epochs[i].since, true
		} else if ok {
			break
		} else {
			until = v.epochs[i].since
		}
	}
	return since, until, ok
}

// rank returns the position of this daemon among all known ones for the tenant.
func (v *View) rank(tenant string) int {
	rank, _ := v.known.Rank(tenant, v.self)
	return rank
}

// seesLeading reports whether one of the first n known daemons for the tenant is
// alive. At most n parts of a divided fleet see one.
func (v *View) seesLeading(tenant string, n int) bool {
	return slices.ContainsFunc(v.known.Leading(tenant, n), func(member string) bool { return v.alive[member] })
}
