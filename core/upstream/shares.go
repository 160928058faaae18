package upstream

import (
	"maps"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quota"
)

const (
	// joinDelay is the time for which a daemon does not use its shares after it
	// joins, because the other daemons must first reduce theirs.
	joinDelay = 5 * clock.Second
	// takeoverDelay is the time for which the level share of a dead member stays
	// reserved. The member may still use it behind a partition that it has not
	// detected.
	takeoverDelay = 10 * clock.Second
)

// fleetView is this daemon's view of the members among which limits are divided.
// The zero value is the view of a single daemon, which holds all shares.
type fleetView struct {
	membersKnown       bool
	self               Member
	members            map[string]Member
	diedAt             map[string]clock.Millis // when this daemon learned of the death
	shareTable         quota.Table             // members with a share of slots and connections
	tableVersion       uint64                  // version of shareTable
	tableChange        quota.Change            // from the previous version, if tableChangeKnown
	tableChangeKnown   bool
	coldTables         map[string]quota.Table // members with a level share, by region; "" has all
	joined             bool                   // CompleteJoin was called
	inMinority         bool                   // see isMinority
	sharesUsableAt     clock.Millis           // end of the wait before any share is used
	coldSharesUsableAt clock.Millis           // end of the wait before level shares are used
	nextChangeAt       clock.Millis           // time of the next change without new members, or 0
}

// due reports whether the tables must be recomputed because of time alone.
func (v *fleetView) due(now clock.Millis) bool { return v.nextChangeAt > 0 && now >= v.nextChangeAt }

// sharesWithheld reports whether this daemon may not use its shares, because it
// joined or resumed less than joinDelay ago.
func (v *fleetView) sharesWithheld(now clock.Millis) bool { return now < v.sharesUsableAt }

// coldSharesWithheld reports whether this daemon may not use its level shares,
// because it is or recently was in a minority or was paused.
func (v *fleetView) coldSharesWithheld(now clock.Millis) bool {
	return v.inMinority || now < v.coldSharesUsableAt
}

// SetMembers replaces the members among which limits are divided. Self is the id of
// this daemon, which must be among the members. A member that is missing from the
// list without having left counts as dead.
func (p *Pool) SetMembers(now clock.Millis, self string, members []Member) {
	p.advanceTo(now)
	if p.fleet.setMembers(p.now, self, members) {
		p.recomputeShares()
	}
}

// CompleteJoin tells the pool that the daemon has joined the fleet; further calls do
// nothing. If recordsCopied, ReceiveRecord was called with the cold-start records of
// a peer: upstreams without a record are warm, and the daemon uses its shares after
// joinDelay. Otherwise no daemon knows the state of the upstreams, so each without a
// record begins a cold start.
func (p *Pool) CompleteJoin(now clock.Millis, recordsCopied bool) {
	p.advanceTo(now)
	if p.joined {
		return
	}
	p.joined = true
	p.fleet.joined = true
	if recordsCopied {
		p.fleet.sharesUsableAt = p.now + joinDelay
		p.recomputeShares()
		return
	}
	for id := range p.replicas {
		if p.coldStates[id] == nil {
			p.beginColdStart(id, "", "daemon joined without cold-start records of a peer")
		}
	}
}

// Resume tells the pool that the daemon was paused, so that its members and
// cold-start records may be outdated. The daemon uses its shares again after
// joinDelay, in which peers send it the current ones.
func (p *Pool) Resume(now clock.Millis) {
	p.advanceTo(now)
	p.fleet.sharesUsableAt = p.now + joinDelay
	p.fleet.coldSharesUsableAt = p.fleet.sharesUsableAt
	p.recomputeShares()
}

// setMembers replaces the members and reports whether anything changed.
func (v *fleetView) setMembers(now clock.Millis, self string, members []Member) bool {
	fresh := make(map[string]Member, len(members))
	for _, m := range members {
		fresh[m.id] = m
	}
	if v.membersKnown && v.self.id == self && maps.Equal(fresh, v.members) {
		return false
	}
	previous := v.members
	v.membersKnown = true
	v.members = fresh
	v.self = v.members[self]
	v.self.id = self
	if v.diedAt == nil {
		v.diedAt = make(map[string]clock.Millis)
	}
	v.recordDeaths(now, previous)
	return true
}

// recordDeaths records when members died. A member that is missing from the list
// without having left counts as dead from now on.
func (v *fleetView) recordDeaths(now clock.Millis, previous map[string]Member) {
	for id, m := range previous {
		if _, ok := v.members[id]; !ok && (m.holdsColdShare() || v.recentlyDead(now, id)) {
			m.state, m.listed = Dead, false
			v.members[id] = m
		}
	}
	for id, m := range v.members {
		if m.state != Dead {
			delete(v.diedAt, id)
			continue
		}
		if _, ok := v.diedAt[id]; !ok {
			v.diedAt[id] = now
		}
	}
	for id, at := range v.diedAt {
		if _, ok := v.members[id]; !ok && now-at >= takeoverDelay {
			delete(v.diedAt, id)
		}
	}
}

func (v *fleetView) recentlyDead(now clock.Millis, id string) bool {
	at, ok := v.diedAt[id]
	return ok && now < at+takeoverDelay
}

// recomputeTables recomputes the tables of members with shares, which hold until the
// members change or nextChangeAt.
func (v *fleetView) recomputeTables(now clock.Millis) {
	v.nextChangeAt = 0
	v.updateMinority(now)
	v.scheduleChange(now, v.sharesUsableAt)
	v.scheduleChange(now, v.coldSharesUsableAt)
	var sharing []string
	regions := make(map[string][]string)
	for id, m := range v.members {
		if m.hasShare() {
			sharing = append(sharing, id)
		}
		if v.reservesColdShare(now, m) {
			regions[m.region] = append(regions[m.region], id)
			regions[""] = append(regions[""], id)
		}
	}
	old := v.shareTable
	v.shareTable = quota.NewTable(sharing)
	v.tableChange, v.tableChangeKnown = v.shareTable.ChangeSince(old, v.self.id)
	v.tableVersion++
	v.coldTables = make(map[string]quota.Table, len(regions))
	for region, ids := range regions {
		v.coldTables[region] = quota.NewTable(ids)
	}
}

// updateMinority updates inMinority. After a minority ends, the daemon does not use
// its level shares for joinDelay, in which it receives the cold-start records that
// it missed. Before the daemon has joined, a minority is no sign of a partition.
func (v *fleetView) updateMinority(now clock.Millis) {
	wasInMinority := v.inMinority
	v.inMinority = v.membersKnown && v.isMinority()
	if v.joined && wasInMinority && !v.inMinority {
		v.coldSharesUsableAt = max(v.coldSharesUsableAt, now+joinDelay)
	}
}

// scheduleChange makes the view due at the given time, if that is after now.
func (v *fleetView) scheduleChange(now, at clock.Millis) {
	if at > now && (v.nextChangeAt == 0 || at < v.nextChangeAt) {
		v.nextChangeAt = at
	}
}

// reservesColdShare reports whether m has a level share, used or reserved.
func (v *fleetView) reservesColdShare(now clock.Millis, m Member) bool {
	if m.holdsColdShare() {
		return true
	}
	until := v.diedAt[m.id] + takeoverDelay
	if m.state != Dead || now >= until {
		return false
	}
	v.scheduleChange(now, until)
	return true
}

// isMinority reports whether this daemon reaches less than half of the members of its
// region. Of two equal halves, the one without the lowest id is the minority.
func (v *fleetView) isMinority() bool {
	total, reached := 0, 0
	lowest, lowestReached := "", ""
	for id, m := range v.members {
		if !m.hasShare() || m.region != v.self.region {
			continue
		}
		total++
		if lowest == "" || id < lowest {
			lowest = id
		}
		if !m.reachable() && id != v.self.id {
			continue
		}
		reached++
		if lowestReached == "" || id < lowestReached {
			lowestReached = id
		}
	}
	if 2*reached == total {
		return lowest != lowestReached
	}
	return 2*reached < total
}

// recomputeShares recomputes all shares of slots, connections and levels.
func (p *Pool) recomputeShares() {
	p.fleet.recomputeTables(p.now)
	for _, r := range p.replicas {
		p.recomputeReplicaShare(r)
	}
	for _, c := range p.coldStates {
		p.recomputeLevelShare(c)
	}
}

// recomputeReplicaShare recomputes this daemon's shares of the slots and connections
// of r.
func (p *Pool) recomputeReplicaShare(r *replicaState) {
	r.relays, r.relaysComputed = nil, false
	if !p.fleet.membersKnown {
		r.slotShare, r.connectionShare = p.policy.Slots(), p.policy.Connections()
		return
	}
	r.slotShare, r.connectionShare = 0, 0
	if !p.rank(r) {
		return
	}
	members := p.fleet.shareTable.Len()
	r.slotShare = quota.ShareAtRank(p.policy.Slots(), members, r.rank)
	r.connectionShare = quota.ShareAtRank(p.policy.Connections(), members, r.rank)
}

// rank updates this daemon's rank for r to the current share table. It applies the
// table's change to a rank of the previous version, which is much cheaper than a
// new computation with 2,100 members. It returns false if this daemon is not in the
// table.
func (p *Pool) rank(r *replicaState) bool {
	if r.rankVersion == p.fleet.tableVersion-1 && p.fleet.tableChangeKnown {
		r.rank = p.fleet.tableChange.Rank(string(r.replica.id), r.rank)
		r.rankVersion = p.fleet.tableVersion
		return true
	}
	if r.rankVersion == p.fleet.tableVersion {
		return true
	}
	rank, ok := p.fleet.shareTable.Rank(string(r.replica.id), p.fleet.self.id)
	if ok {
		r.rank, r.rankVersion = rank, p.fleet.tableVersion
	}
	return ok
}

// usableConnections returns the number of connections that this daemon may have open
// to r at the moment.
func (p *Pool) usableConnections(r *replicaState) int {
	if p.fleet.sharesWithheld(p.now) {
		return 0
	}
	return r.connectionShare
}

// relay returns the peer that relays to r if this daemon has no share of its
// connections, or "". Rank and relayOffset spread the daemons over the relays.
func (p *Pool) relay(r *replicaState) string {
	if !r.relaysComputed {
		r.relays = p.findRelays(r)
		r.relaysComputed = true
	}
	if len(r.relays) == 0 {
		return ""
	}
	return r.relays[(r.rank+r.relayOffset)%len(r.relays)]
}

// findRelays returns the alive peers with a share of the connections of r, only those
// of this daemon's region if there are any.
func (p *Pool) findRelays(r *replicaState) []string {
	leading := p.fleet.shareTable.Leading(string(r.replica.id), p.policy.Connections())
	alive := slices.DeleteFunc(leading, func(id string) bool {
		return id == p.fleet.self.id || p.fleet.members[id].state != Alive
	})
	near := slices.DeleteFunc(slices.Clone(alive), func(id string) bool {
		return p.fleet.members[id].region != p.fleet.self.region
	})
	if len(near) > 0 {
		return near
	}
	return alive
}
