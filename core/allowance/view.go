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
	// inquiryInterval is the time after which owners that have not confirmed the
	// continuity of this daemon are asked again.
	inquiryInterval = 200 * clock.Millisecond
	// standingMargin is the time before the start of a process for which it must have been
	// alive in the view of the daemon that confirms its continuity. It covers the delay of
	// the inquiry, in which the daemon may have seen the new process only.
	standingMargin = clock.Second
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
	share  float64 // seen divided by the number of owners of a tenant

	tenantOwners map[string][]string // cache of View.owners
}

// Member is a daemon that is alive.
type Member struct{ Name, DataCentre string }

// Inquiry asks a daemon whether it has seen a gap between the previous process of this
// daemon and the present one.
type Inquiry struct {
	// Peer is the daemon that is asked.
	Peer string
	// Running is the time since the start of the process, or the end of its last pause.
	Running clock.Millis

	generation int
}

// Standing is the answer to an Inquiry.
type Standing struct {
	// Continuous means that the daemon has not granted tokens in place of the one that
	// asks, and will not as long as that is alive.
	Continuous bool
	// Alive is the number of daemons that are alive.
	Alive int
	// Refills means that the buckets of the daemon refill.
	Refills bool
	// Running is the time since the start of the process, or the end of its last pause.
	Running clock.Millis
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
	parts    int // the largest number of owners of a tenant
	alive    map[string]bool
	leaving  map[string]bool         // still answer, but serve no new callers
	lastSeen map[string]clock.Millis // of all known daemons; of those alive, when they became so
	known    quota.Table
	epochs   []epoch  // in order of time, never empty
	refills  []refill // in order of time, never empty
	nextDrop clock.Millis

	dataCentres map[string]string       // of all daemons alive since the start
	aliveSince  map[string]clock.Millis // of the daemons alive
	startedAt   clock.Millis            // start of the process or end of its last pause
	continuedAt clock.Millis            // from when its buckets refill as its continuity was confirmed, or 0
	confirmedAt clock.Millis            // when it was confirmed
	generation  int                     // of alive
	// confirmed holds the start of the daemons that confirmed the continuity in this
	// generation.
	confirmed   map[string]clock.Millis
	nextInquiry clock.Millis
}

// NewView returns a view in which no daemon is alive. The seeds count as known.
func NewView(policy Policy, self string, seeds []string, now clock.Millis) *View {
	v := &View{
		self: self, parts: policy.parts(), alive: make(map[string]bool), lastSeen: map[string]clock.Millis{self: now},
		dataCentres: make(map[string]string), aliveSince: make(map[string]clock.Millis), startedAt: now,
		confirmed: make(map[string]clock.Millis),
	}
	for _, seed := range seeds {
		v.lastSeen[seed] = now
	}
	v.known = quota.NewTable(slices.Collect(maps.Keys(v.lastSeen)))
	v.epochs = []epoch{{since: now}}
	v.refills = []refill{{since: now}}
	return v
}

// SetAlive sets the daemons that are alive, with this one if it is.
func (v *View) SetAlive(now clock.Millis, members []Member) {
	alive := make(map[string]bool, len(members))
	for member := range v.alive {
		v.lastSeen[member] = now
	}
	changed := len(members) != len(v.alive)
	for _, member := range members {
		alive[member.Name] = true
		v.lastSeen[member.Name] = now
		if !v.alive[member.Name] {
			v.aliveSince[member.Name] = now
			changed = true
		}
		if v.dataCentres[member.Name] != member.DataCentre {
			v.dataCentres[member.Name] = member.DataCentre
			changed = true
		}
	}
	v.alive = alive
	maps.DeleteFunc(v.aliveSince, func(member string, _ clock.Millis) bool { return !alive[member] })
	if changed {
		v.generation++
		v.nextInquiry = now
		clear(v.confirmed)
	}
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
	maps.DeleteFunc(v.dataCentres, func(member string, _ string) bool { _, ok := v.lastSeen[member]; return !ok })
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
	v.startedAt, v.continuedAt, v.nextInquiry = now, 0, now
	v.generation++
	clear(v.confirmed)
}

// Inquiries returns the inquiries to send now. Once all other owners have confirmed that
// they have not replaced the previous process of this daemon, its buckets refill without
// the delay of a new owner, from the last start of one of the processes that started
// recently. Those that refill must have as many daemons alive as this one. If none has run
// for longer than a takeover takes, and so knows the fleet from before, all known daemons
// must be alive.
func (v *View) Inquiries(now clock.Millis) []Inquiry {
	owners := v.epochs[len(v.epochs)-1].owners
	if v.continuedAt > 0 || now-v.startedAt >= takeoverDelay || now < v.nextInquiry || !owners.Has(v.self) {
		return nil
	}
	v.nextInquiry = now + inquiryInterval
	// A daemon that knows no other one may not have found them yet.
	if owners.Len() == 1 && now-v.startedAt > standingMargin {
		v.confirm(now)
	}
	var inquiries []Inquiry
	for _, owner := range owners.Members() {
		if _, ok := v.confirmed[owner]; !ok && owner != v.self {
			inquiries = append(inquiries, Inquiry{Peer: owner, Running: now - v.startedAt, generation: v.generation})
		}
	}
	return inquiries
}

// Standing answers the inquiry of a daemon whose process has been running for a time.
func (v *View) Standing(now clock.Millis, member string, running clock.Millis) Standing {
	since, alive := v.aliveSince[member]
	refillsAt := v.startedAt + takeoverDelay
	if v.continuedAt > 0 {
		refillsAt = v.confirmedAt
	}
	return Standing{
		// What this daemon granted as the owner before its buckets refilled is a start value.
		Continuous: alive && (since <= now-running-standingMargin || since <= refillsAt),
		Alive:      len(v.alive), Refills: now > refillsAt, Running: now - v.startedAt,
	}
}

// HandleStanding handles the answer to an inquiry.
func (v *View) HandleStanding(now clock.Millis, inquiry Inquiry, standing Standing) {
	if inquiry.generation == v.generation && standing.Continuous && (!standing.Refills || standing.Alive == len(v.alive)) {
		v.confirmed[inquiry.Peer] = now - standing.Running
		v.confirm(now)
	}
}

// confirm ends the delay of a new owner if all other owners have confirmed the continuity.
func (v *View) confirm(now clock.Millis) {
	last := v.epochs[len(v.epochs)-1]
	if v.continuedAt > 0 || len(v.confirmed) < last.owners.Len()-1 {
		return
	}
	complete := len(v.alive) == v.known.Len()
	from := v.startedAt
	for _, startedAt := range v.confirmed {
		if now-startedAt > takeoverDelay+standingMargin {
			complete = true
		} else {
			from = max(from, startedAt)
		}
	}
	if complete {
		v.confirmedAt, v.continuedAt = now, min(from, now)
		last.since = v.continuedAt - takeoverDelay
		v.epochs = []epoch{last}
		v.refills = []refill{{since: v.continuedAt, share: last.share}}
	}
}

// continued reports whether this daemon owns tenants since its continuity was confirmed,
// if it owns them since the given instant.
func (v *View) continued(since clock.Millis) bool {
	return v.continuedAt > 0 && since <= v.continuedAt-takeoverDelay
}

// update begins a new epoch if the owners or the daemons alive have changed.
func (v *View) update(now clock.Millis) {
	if v.known.Len() != len(v.lastSeen) || !v.knowsAll() {
		v.known = quota.NewTable(slices.Collect(maps.Keys(v.lastSeen)))
	}
	members := quota.NewTable(slices.Collect(maps.Keys(v.alive)))
	ranked := members.Leading(ownersResource, members.Len())
	count := maxOwners(len(ranked))
	owners := quota.NewTable(v.spread(ranked, count, (count+v.countDataCentres(ranked)-1)/max(1, v.countDataCentres(ranked))))
	seen := float64(members.Len()) / float64(max(1, v.known.Len()))
	last := v.epochs[len(v.epochs)-1]
	if last.seen == seen && slices.Equal(last.owners.Members(), owners.Members()) {
		return
	}
	share := seen / float64(max(1, min(v.parts, owners.Len())))
	v.epochs = append(v.epochs, epoch{since: now, owners: owners, seen: seen, share: share, tenantOwners: make(map[string][]string)})
	for len(v.epochs) > 1 && now-v.epochs[1].since > epochRetention {
		v.epochs = v.epochs[1:]
	}
	v.updateShare(now)
}

// countDataCentres returns the number of data centres of the daemons.
func (v *View) countDataCentres(members []string) int {
	dataCentres := make(map[string]bool)
	for _, member := range members {
		dataCentres[v.dataCentres[member]] = true
	}
	return len(dataCentres)
}

// spread returns the first count of the ranked daemons of which no data centre has more
// than perDataCentre, and fills up with the first others if these are fewer.
func (v *View) spread(ranked []string, count, perDataCentre int) []string {
	var chosen, others []string
	used := make(map[string]int)
	for _, member := range ranked {
		dataCentre := v.dataCentres[member]
		if used[dataCentre]++; used[dataCentre] > perDataCentre {
			others = append(others, member)
		} else if chosen = append(chosen, member); len(chosen) == count {
			return chosen
		}
	}
	return append(chosen, others[:min(count-len(chosen), len(others))]...)
}

// owners returns the owners of a tenant in an epoch, in order of rank.
func (v *View) owners(e epoch, tenant string) []string {
	owners, ok := e.tenantOwners[tenant]
	if !ok && e.owners.Len() > 0 {
		owners = v.spread(e.owners.Leading(tenant, e.owners.Len()), v.parts, 1)
		e.tenantOwners[tenant] = owners
	}
	return owners
}

// owns reports whether this daemon is an owner of a tenant in an epoch.
func (v *View) owns(e epoch, tenant string) bool {
	return e.owners.Has(v.self) && slices.Contains(v.owners(e, tenant), v.self)
}

// updateShare sets the share to the least of those within riseDelay.
func (v *View) updateShare(now clock.Millis) {
	share := 1.0
	for i := len(v.epochs) - 1; i >= 0; i-- {
		share = min(share, v.epochs[i].share)
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

// Share returns the share of the rate that one owner may grant, 0 to 1.
func (v *View) Share() float64 { return v.refills[len(v.refills)-1].share }

// seen returns the daemons alive as a fraction of those known.
func (v *View) seen() float64 { return v.epochs[len(v.epochs)-1].seen }

// ownerCount returns the number of owners of a tenant.
func (v *View) ownerCount() float64 {
	return float64(max(1, min(v.parts, v.epochs[len(v.epochs)-1].owners.Len())))
}

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

// TenantOwners returns the daemons from which tokens of the tenant are requested, at most
// as many as a tenant has owners: the one in the data centre of this daemon first, then by
// rank. While the owners change, the previous ones are preferred as long as they answer.
func (v *View) TenantOwners(now clock.Millis, tenant string) []string {
	i := len(v.epochs) - 1
	owners := slices.Clone(v.owners(v.epochs[i], tenant))
	for ; i > 0 && now-v.epochs[i].since < switchDelay; i-- {
		previous := v.epochs[i-1]
		// The owners of a short time, as after the start of the process, have little
		// in their buckets.
		if v.epochs[i].since-previous.since < takeoverDelay {
			continue
		}
		before := slices.DeleteFunc(slices.Clone(v.owners(previous, tenant)), func(owner string) bool {
			return !v.alive[owner] && !v.leaving[owner]
		})
		for _, owner := range owners {
			if !slices.Contains(before, owner) && len(before) < v.parts {
				before = append(before, owner)
			}
		}
		owners = before
		break
	}
	own := v.dataCentres[v.self]
	slices.SortStableFunc(owners, func(a, b string) int {
		switch aNear, bNear := v.dataCentres[a] == own, v.dataCentres[b] == own; {
		case aNear == bNear:
			return 0
		case aNear:
			return -1
		}
		return 1
	})
	return owners
}

// ownedSince returns since when this daemon is an owner of the tenant.
func (v *View) ownedSince(tenant string) (since clock.Millis, ok bool) {
	for i := len(v.epochs) - 1; i >= 0 && v.owns(v.epochs[i], tenant); i-- {
		since, ok = v.epochs[i].since, true
	}
	return since, ok
}

// ownedUntil returns when this daemon ceased to own the tenant, which it does not own,
// and since when it had owned it.
func (v *View) ownedUntil(tenant string) (since, until clock.Millis, ok bool) {
	for i := len(v.epochs) - 1; i >= 0; i-- {
		if v.owns(v.epochs[i], tenant) {
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
