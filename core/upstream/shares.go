package upstream

import (
	"maps"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quota"
)

const (
	// joinDelay is the time for which a joining daemon leaves its shares
	// unused, so that the others have released them before.
	joinDelay = 5 * clock.Second
	// takeoverDelay is the time after a member's death for which its cold
	// share stays reserved; the member may be running behind a partition
	// that it has not noticed.
	takeoverDelay = 10 * clock.Second
)

// fleetView is what this daemon knows of the daemons that share the limits.
// The zero value is a daemon on its own, which has all shares.
type fleetView struct {
	membersKnown       bool
	self               Member
	members            map[string]Member
	diedAt             map[string]clock.Millis
	shareTable         quota.Table
	tableVersion       uint64       // number of counted, raised with each new table
	tableChange        quota.Change // from the table before, if known
	tableChangeKnown   bool
	coldTables         map[string]quota.Table // members with cold shares, by region
	joined             bool                   // whether this daemon has used shares at all
	inMinority         bool
	sharesUsableAt     clock.Millis // end of the wait before shares are used
	coldSharesUsableAt clock.Millis // end of the wait before cold shares are used
	nextChangeAt       clock.Millis // instant at which the view changes by itself, or 0
}

func (v *fleetView) due(now clock.Millis) bool { return v.nextChangeAt > 0 && now >= v.nextChangeAt }

// sharesWithheld reports whether this daemon has joined too recently to use shares.
func (v *fleetView) sharesWithheld(now clock.Millis) bool { return now < v.sharesUsableAt }

// coldSharesWithheld reports whether this daemon may send nothing to cold upstreams.
func (v *fleetView) coldSharesWithheld(now clock.Millis) bool {
	return v.inMinority || now < v.coldSharesUsableAt
}

// SetMembers replaces the list of daemons that share the limits. Self names
// this daemon, which is part of the list.
func (p *Pool) SetMembers(now clock.Millis, self string, members []Member) {
	p.advanceTo(now)
	if p.fleet.setMembers(p.now, self, members) {
		p.recomputeShares()
	}
}

// CompleteJoin tells the pool that the daemon has joined the fleet. If it copied the
// cold-start records of a peer, the upstreams known so far are warm unless a
// record says otherwise, and shares are used after a wait. Without any peer
// nobody knows the upstreams, so all of them are cold.
func (p *Pool) CompleteJoin(now clock.Millis, copied bool) {
	p.advanceTo(now)
	if p.joined {
		return
	}
	p.joined = true
	p.fleet.joined = true
	if copied {
		p.fleet.sharesUsableAt = p.now + joinDelay
		p.recomputeShares()
		return
	}
	for id := range p.replicas {
		if p.coldStates[id] == nil {
			p.beginColdStart(id, "", "upstream unknown to a daemon without peers")
		}
	}
}

// Resume tells the pool that the daemon was paused, so that its member list and
// cold-start records may be old. Shares are used again after a wait in which
// peers repair both.
func (p *Pool) Resume(now clock.Millis) {
	p.advanceTo(now)
	p.fleet.sharesUsableAt = p.now + joinDelay
	p.fleet.coldSharesUsableAt = p.fleet.sharesUsableAt
	p.recomputeShares()
}

// setMembers puts a member list in force and reports whether it differs from the
// previous one.
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

// recordDeaths notes when members died. A member that vanishes from the list without
// having left counts as dead from now on.
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

// recomputeTables derives the tables that hold until the next change.
func (v *fleetView) recomputeTables(now clock.Millis) {
	v.nextChangeAt = 0
	v.updateMinority(now)
	v.scheduleChange(now, v.sharesUsableAt)
	v.scheduleChange(now, v.coldSharesUsableAt)
	var counted []string
	regions := make(map[string][]string)
	for id, m := range v.members {
		if m.hasShare() {
			counted = append(counted, id)
		}
		if v.reservesColdShare(now, m) {
			regions[m.region] = append(regions[m.region], id)
			regions[""] = append(regions[""], id)
		}
	}
	old := v.shareTable
	v.shareTable = quota.NewTable(counted)
	v.tableChange, v.tableChangeKnown = v.shareTable.Since(old, v.self.id)
	v.tableVersion++
	v.coldTables = make(map[string]quota.Table, len(regions))
	for region, ids := range regions {
		v.coldTables[region] = quota.NewTable(ids)
	}
}

// updateMinority decides whether this daemon is in a minority. After it was, it learns
// of the cold starts that it missed before it uses cold shares again.
func (v *fleetView) updateMinority(now clock.Millis) {
	before := v.inMinority
	v.inMinority = v.membersKnown && v.isMinority()
	if v.joined && before && !v.inMinority {
		v.coldSharesUsableAt = max(v.coldSharesUsableAt, now+joinDelay)
	}
}

// scheduleChange makes the view due at the instant at, if that lies ahead.
func (v *fleetView) scheduleChange(now, at clock.Millis) {
	if at > now && (v.nextChangeAt == 0 || at < v.nextChangeAt) {
		v.nextChangeAt = at
	}
}

// reservesColdShare reports whether a part of cold levels is set aside for m.
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

// isMinority reports whether this daemon reaches less than half of its
// region's members. Of two equal halves, the one with the lowest id remains.
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

// recomputeShares recomputes the shares of all replicas and cold levels.
func (p *Pool) recomputeShares() {
	p.fleet.recomputeTables(p.now)
	for _, r := range p.replicas {
		p.recomputeReplicaShare(r)
	}
	for _, c := range p.coldStates {
		p.recomputeLevelShare(c)
	}
}

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
	r.slotShare = quota.Part(p.policy.Slots(), members, r.rank)
	r.connectionShare = quota.Part(p.policy.Connections(), members, r.rank)
}

// rank brings this daemon's rank for r in step with the counted members. A rank
// that is known is corrected by the change, which is much cheaper with 2,100
// members. It returns false if this daemon is not counted.
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

// connections returns the connections that this daemon may have open to r.
func (p *Pool) connections(r *replicaState) int {
	if p.fleet.sharesWithheld(p.now) {
		return 0
	}
	return r.connectionShare
}

// relay returns the peer through which this daemon reaches r without a share
// of connections. Daemons without a share spread over those with one.
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

// findRelays lists the alive peers with a share of connections, those of this
// daemon's region if there are any.
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
