package upstream

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/quota"
)

const (
	// jumpAnswerLimit is the number of answers in a row above the latency jump that is
	// evidence of a cold start.
	jumpAnswerLimit = 3
	// baselineSamples is the number of samples after which the baseline latency is
	// reliable enough to detect jumps.
	baselineSamples = 10
	// coldRecordRetention is the time for which the record of a finished cold start is
	// kept, so that a daemon that adds the upstream late does not begin another.
	coldRecordRetention = 10 * clock.Minute
	// coldExpiryInterval is the interval at which old records are deleted.
	coldExpiryInterval = 10 * clock.Second
	// maxEpisodeSkew is how far a received episode may be ahead of this daemon's clock.
	// A larger one is malformed and would take precedence over all later episodes.
	maxEpisodeSkew = clock.Hour
)

// coldState is what this daemon knows of the cold start of an upstream.
type coldState struct {
	record     ColdRecord
	localGate  bool // set after connections failed or ended, until a restart is confirmed or refuted
	changedAt  clock.Millis
	successes  int  // in the current round
	levelShare int  // this daemon's share of the level
	manages    bool // whether this daemon is the manager
}

// gated reports whether cold-start concurrency applies to the upstream.
func (c *coldState) gated() bool { return c.localGate || (c.record.episode > 0 && !c.record.warm) }

// ReceiveRecord applies the record of a peer. It reports whether the record is valid and
// newer than the known one; the caller then forwards it to the other peers.
func (p *Pool) ReceiveRecord(now clock.Millis, record ColdRecord) bool {
	p.advanceTo(now)
	maxEpisode := uint64(max(p.now, 0) + maxEpisodeSkew)
	if record.upstream == "" || record.episode == 0 || record.episode > maxEpisode || record.level < 1 {
		return false
	}
	c := p.coldStateOf(record.upstream)
	if !record.newer(c.record) {
		return false
	}
	restarted := record.episode != c.record.episode
	c.record = record
	c.changedAt = p.now
	c.successes = 0
	if restarted && !record.warm {
		c.localGate = false
		p.acceptColdStart(record)
		p.recordEvent(journal.ColdStart, record.upstream, "cold start reported by "+record.owner)
	}
	p.recomputeLevelShare(c)
	return true
}

// acceptColdStart applies the record of a peer that begins a cold start. It clears this
// daemon's evidence of the same restart, which would otherwise begin a second one.
func (p *Pool) acceptColdStart(record ColdRecord) {
	r := p.replicas[record.upstream]
	if r == nil {
		return
	}
	r.connectionFailed, r.connectionsClosed = false, false
	if record.boot != "" {
		p.setBoot(r, record.boot)
	}
}

// TakeChanges returns the records that this daemon wrote since the last call, sorted by
// upstream. The caller sends them to the peers.
func (p *Pool) TakeChanges() []ColdRecord {
	changes := p.changedRecords
	p.changedRecords = nil
	slices.SortStableFunc(changes, ColdRecord.compare)
	return changes
}

// Records returns all records, sorted by upstream. A peer that joins copies them.
func (p *Pool) Records() []ColdRecord {
	records := make([]ColdRecord, 0, len(p.coldStates))
	for _, c := range p.coldStates {
		if c.record.episode > 0 {
			records = append(records, c.record)
		}
	}
	slices.SortFunc(records, ColdRecord.compare)
	return records
}

// coldStateOf returns the cold-start state of an upstream and creates it if there is
// none. The pool need not have the upstream as a replica.
func (p *Pool) coldStateOf(id ID) *coldState {
	if p.coldStates == nil {
		p.coldStates = make(map[ID]*coldState)
	}
	c := p.coldStates[id]
	if c == nil {
		c = &coldState{record: ColdRecord{upstream: id}, changedAt: p.now}
		p.coldStates[id] = c
	}
	return c
}

// updateGate sets r.cold if cold-start concurrency applies to r.
func (p *Pool) updateGate(r *replicaState) {
	r.cold = nil
	c := p.coldStates[r.replica.id]
	if c != nil && c.gated() && p.policy.ColdStartEnabled() {
		r.cold = c
	}
}

// beginColdStart begins a new episode at the initial level and queues its record for the
// peers. It does nothing if the policy disables cold starts.
func (p *Pool) beginColdStart(id ID, boot, cause string) {
	if !p.policy.ColdStartEnabled() {
		return
	}
	c := p.coldStateOf(id)
	c.localGate = false
	episode := max(c.record.episode+1, uint64(max(p.now, 0)))
	p.putRecord(c, ColdRecord{upstream: id, episode: episode, boot: boot, level: p.policy.InitialLevel()})
	if r := p.replicas[id]; r != nil {
		r.connectionFailed, r.connectionsClosed = false, false
		r.jumpedAnswers = 0
	}
	p.recordEvent(journal.ColdStart, id, "cold start: "+cause)
}

// putRecord stores a record that this daemon changed and queues it for the peers.
func (p *Pool) putRecord(c *coldState, record ColdRecord) {
	record.sequence++
	record.owner = p.fleet.self.id
	c.record = record
	c.changedAt = p.now
	c.successes = 0
	p.changedRecords = append(p.changedRecords, record)
	p.recomputeLevelShare(c)
}

// setLocalGate restricts a replica to the initial level after connections failed or
// ended. The peers receive no record until a success shows that the upstream restarted;
// otherwise a daemon with a broken network would begin cold starts everywhere.
func (p *Pool) setLocalGate(r *replicaState) {
	if !p.policy.ColdStartEnabled() {
		return
	}
	c := p.coldStateOf(r.replica.id)
	if c.localGate {
		return
	}
	c.localGate = true
	c.changedAt = p.now
	p.recomputeLevelShare(c)
}

// clearLocalGate removes a local gate after an answer with the known boot id, reached
// through a peer whose connections did not fail: the upstream did not restart.
func (p *Pool) clearLocalGate(r *replicaState) {
	r.connectionFailed, r.connectionsClosed = false, false
	if r.cold == nil || !r.cold.localGate {
		return
	}
	r.cold.localGate = false
	p.recomputeLevelShare(r.cold)
}

// detectColdStart begins a cold start if a valid response is evidence of one, and
// reports whether it did.
func (p *Pool) detectColdStart(r *replicaState, choice *Choice, result Result) bool {
	sameProcess := result.boot != "" && result.boot == r.boot
	if p.detectRestart(r, choice, result.boot) {
		return true
	}
	if r.connectionFailed && choice.via != "" && sameProcess {
		p.clearLocalGate(r)
	}
	if r.connectionsClosed && !r.connectionFailed && choice.pickedAt >= r.connectionsClosedAt {
		return p.resolveClosedConnections(r, sameProcess)
	}
	if r.connectionFailed && choice.pickedAt >= r.connectionFailedAt {
		p.beginColdStart(r.replica.id, r.boot, "upstream answered after a refused or lost connection")
		return true
	}
	if p.latencyJumped(r, result.latency) {
		p.beginColdStart(r.replica.id, r.boot, fmt.Sprintf("latency jumped to %v", result.latency))
		return true
	}
	return false
}

// resolveClosedConnections handles the first success after idle connections were closed.
// It removes the local gate if the process is the known one, else begins a cold
// start, and reports whether it began one.
func (p *Pool) resolveClosedConnections(r *replicaState, sameProcess bool) bool {
	if sameProcess {
		p.clearLocalGate(r)
		return false
	}
	p.beginColdStart(r.replica.id, r.boot, "idle connections closed and boot id not confirmed")
	return true
}

// detectRestart begins a cold start if an answer has a new boot id, and reports whether it
// did.
func (p *Pool) detectRestart(r *replicaState, choice *Choice, boot string) bool {
	if !p.observeBoot(r, boot, choice.pickedAt) {
		return false
	}
	p.beginColdStart(r.replica.id, boot, "answer has a new boot id")
	return true
}

// observeBoot records a boot id and reports whether it replaces another one. It ignores
// exchanges that began before the current boot id was seen, since they may have
// reached the previous process.
func (p *Pool) observeBoot(r *replicaState, boot string, begunAt clock.Millis) bool {
	if boot == "" || boot == r.boot || boot == r.previousBoot || begunAt < r.bootAt {
		return false
	}
	first := r.boot == ""
	p.setBoot(r, boot)
	return !first
}

func (p *Pool) setBoot(r *replicaState, boot string) {
	if r.boot == boot {
		return
	}
	r.previousBoot, r.boot = r.boot, boot
	r.bootAt = p.now
}

// acceptsColdReport reports whether a report of a cold start begins a new one. It rejects
// reports during a cold start, and those of a process whose cold start is over.
func (p *Pool) acceptsColdReport(report Report) bool {
	c := p.coldStates[report.upstream]
	if c == nil {
		return true
	}
	if c.record.episode > 0 && !c.record.warm {
		return false
	}
	return c.record.boot == "" || c.record.boot != report.boot
}

// latencyJumped updates the baseline latency and reports whether jumpAnswerLimit answers
// in a row exceeded it by the policy's factor outside a cold start.
func (p *Pool) latencyJumped(r *replicaState, latency clock.Millis) bool {
	if r.baselineLatency == 0 {
		r.baselineLatency = latency
	}
	if r.samples < baselineSamples || latency <= r.baselineLatency*clock.Millis(p.policy.LatencyJump()) {
		r.jumpedAnswers = 0
		r.baselineLatency += baselineWeight * (latency - r.baselineLatency)
		return false
	}
	r.jumpedAnswers++
	if r.jumpedAnswers < jumpAnswerLimit {
		return false
	}
	r.jumpedAnswers = 0
	r.baselineLatency = latency
	return r.cold == nil
}

// countRoundSuccess counts a success of the current round. A round has as many successes
// as the level; after it the level doubles, or the cold start ends if the level has
// reached the slots. Only the manager counts.
func (p *Pool) countRoundSuccess(r *replicaState, choice *Choice) {
	c := r.cold
	if c == nil || c.localGate || !c.manages || choice.pickedAt < c.changedAt {
		return
	}
	c.successes++
	if c.successes < c.record.level {
		return
	}
	record := c.record
	if record.level >= p.policy.Slots() {
		record.warm = true
		p.putRecord(c, record)
		p.recordEvent(journal.ColdStart, r.replica.id, "warm")
		return
	}
	record.level = min(2*record.level, p.policy.Slots())
	p.putRecord(c, record)
}

// lowerLevel halves the level of a cold upstream after a failure, down to the initial
// level, and restarts the round. Only the manager does so.
func (p *Pool) lowerLevel(r *replicaState, cause string) {
	c := r.cold
	if c == nil || c.localGate || !c.manages {
		return
	}
	c.successes = 0
	record := c.record
	record.level = max(record.level/2, p.policy.InitialLevel())
	if record.level == c.record.level {
		return
	}
	p.putRecord(c, record)
	p.recordEvent(journal.ColdStart, r.replica.id, fmt.Sprintf("level lowered to %d: %s", record.level, cause))
}

// recomputeLevelShare recomputes this daemon's share of the level and whether it is the
// manager.
func (p *Pool) recomputeLevelShare(c *coldState) {
	r := p.replicas[c.record.upstream]
	if r == nil {
		return
	}
	p.updateGate(r)
	c.levelShare, c.manages = 0, false
	if !c.gated() {
		return
	}
	level := min(c.record.level, p.policy.Slots())
	if c.localGate {
		level = p.policy.InitialLevel()
	}
	if !p.fleet.membersKnown {
		c.levelShare, c.manages = level, true
		return
	}
	if p.fleet.sharesWithheld(p.now) || p.fleet.coldSharesWithheld(p.now) {
		return
	}
	table := p.fleet.coldTables[r.replica.region]
	rank, ok := table.Rank(string(r.replica.id), p.fleet.self.id)
	if !ok {
		return
	}
	c.manages = rank == 0
	c.levelShare = quota.ShareAtRank(level, table.Len(), rank)
	if c.manages && !c.localGate {
		p.takeOver(c)
	}
}

// takeOver restarts at the initial level if the daemon that wrote the record is dead or
// unknown, because its last change may not have reached this daemon.
func (p *Pool) takeOver(c *coldState) {
	owner, ok := p.fleet.members[c.record.owner]
	if c.record.owner == p.fleet.self.id || (ok && owner.state != Dead) {
		return
	}
	record := c.record
	record.level = p.policy.InitialLevel()
	p.putRecord(c, record)
	p.recordEvent(journal.ColdStart, record.upstream, "cold start taken over from "+c.record.owner)
}

// coldStartManager returns the peer that manages the cold start of r, or "" if this daemon
// does or the manager is not alive.
func (p *Pool) coldStartManager(r *replicaState) string {
	manager := p.fleet.coldTables[r.replica.region].First(string(r.replica.id))
	if manager == p.fleet.self.id || p.fleet.members[manager].state != Alive {
		return ""
	}
	return manager
}

// disableGates ends all cold starts and local gates when the policy disables cold starts.
func (p *Pool) disableGates() {
	for _, r := range p.replicas {
		r.cold = nil
	}
	p.coldStates = nil
}

// expireColdStates deletes the states of cold starts that ended, and of upstreams that are
// not in the pool, after coldRecordRetention without a change.
func (p *Pool) expireColdStates() {
	p.coldExpiryAt = p.now
	for id, c := range p.coldStates {
		unused := !c.gated() || p.replicas[id] == nil
		if unused && p.now-c.changedAt > coldRecordRetention {
			delete(p.coldStates, id)
		}
	}
}
