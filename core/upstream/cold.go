package upstream

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/quota"
)

const (
	// jumpAnswerLimit is the number of answers in a row whose latency must have
	// jumped.
	jumpAnswerLimit = 3
	// baselineSamples is the number of samples that make a baseline.
	baselineSamples = 10
	// coldRecordRetention is the time for which the end of a cold start is remembered,
	// so that a daemon that hears of the upstream late does not start another.
	coldRecordRetention = 10 * clock.Minute
	// coldExpiryInterval is the interval at which old records are dropped.
	coldExpiryInterval = 10 * clock.Second
	// maxEpisodeSkew bounds how far ahead of this daemon's clock an episode may
	// be. A larger one is malformed and would outrank all later episodes.
	maxEpisodeSkew = clock.Hour
)

// coldState is the cold start of one upstream as this daemon knows it.
type coldState struct {
	record     ColdRecord
	localGate  bool // closed by a failed connection, before any proof
	changedAt  clock.Millis
	successes  int
	levelShare int
	manages    bool
}

// gated reports whether the upstream's concurrency is gated.
func (c *coldState) gated() bool { return c.localGate || (c.record.episode > 0 && !c.record.warm) }

// ReceiveRecord takes a record from a peer. It returns true if the record was news, in
// which case it is passed on.
func (p *Pool) ReceiveRecord(now clock.Millis, record ColdRecord) bool {
	p.advanceTo(now)
	limit := uint64(max(p.now, 0) + maxEpisodeSkew)
	if record.upstream == "" || record.episode == 0 || record.episode > limit || record.level < 1 {
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

// acceptColdStart takes an open record as known evidence, so that it is not inferred a
// second time from the same restart.
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

// TakeChanges returns the records that this daemon wrote since the last call.
func (p *Pool) TakeChanges() []ColdRecord {
	changes := p.changedRecords
	p.changedRecords = nil
	slices.SortStableFunc(changes, ColdRecord.compare)
	return changes
}

// Records returns all records, for a peer that joins.
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

// coldStateOf returns the state of an upstream, which may be unknown to the pool.
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

// updateGate closes or opens the gate of a replica according to its records.
func (p *Pool) updateGate(r *replicaState) {
	r.cold = nil
	c := p.coldStates[r.replica.id]
	if c != nil && c.gated() && p.policy.ColdStartEnabled() {
		r.cold = c
	}
}

// beginColdStart starts a cold start at the initial level and tells the peers.
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

// putRecord puts a changed record in force and queues it for the peers.
func (p *Pool) putRecord(c *coldState, record ColdRecord) {
	record.sequence++
	record.owner = p.fleet.self.id
	c.record = record
	c.changedAt = p.now
	c.successes = 0
	p.changedRecords = append(p.changedRecords, record)
	p.recomputeLevelShare(c)
}

// setLocalGate restricts a replica to the initial level after a failed connection. The
// restriction is local until a success proves that the upstream came back; a
// daemon with a broken network would otherwise make all upstreams cold.
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

// clearLocalGate ends a local restriction because the upstream still runs the process
// known before, reached through a peer whose connections did not fail.
func (p *Pool) clearLocalGate(r *replicaState) {
	r.connectionFailed, r.connectionsClosed = false, false
	if r.cold == nil || !r.cold.localGate {
		return
	}
	r.cold.localGate = false
	p.recomputeLevelShare(r.cold)
}

// detectColdStart looks for evidence of a cold start in a valid sub-answer.
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
		p.beginColdStart(r.replica.id, r.boot, "connection refused or lost, then accepted")
		return true
	}
	if p.latencyJumped(r, result.latency) {
		p.beginColdStart(r.replica.id, r.boot, fmt.Sprintf("latency jumped to %v", result.latency))
		return true
	}
	return false
}

// resolveClosedConnections decides about an upstream whose idle connections had ended, and
// reports whether it opened a cold start.
func (p *Pool) resolveClosedConnections(r *replicaState, sameProcess bool) bool {
	if sameProcess {
		p.clearLocalGate(r)
		return false
	}
	p.beginColdStart(r.replica.id, r.boot, "idle connections ended, process unknown")
	return true
}

// detectRestart takes the boot id of an answer and reports whether it opened a
// cold start.
func (p *Pool) detectRestart(r *replicaState, choice *Choice, boot string) bool {
	if !p.observeBoot(r, boot, choice.pickedAt) {
		return false
	}
	p.beginColdStart(r.replica.id, boot, "new boot id in an answer")
	return true
}

// observeBoot notes a boot id and reports whether it replaces another one. A reply
// to an exchange that began before the present boot id was seen may carry the
// previous one.
func (p *Pool) observeBoot(r *replicaState, boot string, began clock.Millis) bool {
	if boot == "" || boot == r.boot || boot == r.previousBoot || began < r.bootAt {
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

// acceptsColdReport filters reports that lag behind a cold start that is over.
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

// latencyJumped follows the baseline and reports whether several answers in a row
// were above it by the policy's factor.
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

// countRoundSuccess counts a success towards the round and doubles the level after a
// full one. Only the managing daemon does so.
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

// lowerLevel halves the level of a cold upstream that fails, and starts its
// round again.
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
	p.recordEvent(journal.ColdStart, r.replica.id, fmt.Sprintf("level %d: %s", record.level, cause))
}

// recomputeLevelShare recomputes this daemon's part of a cold level.
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
	c.levelShare = quota.Part(level, table.Len(), rank)
	if c.manages && !c.localGate {
		p.takeOver(c)
	}
}

// takeOver starts at the lowest level again if the writer of the record is
// gone, because its last change may not have reached this daemon.
func (p *Pool) takeOver(c *coldState) {
	owner, ok := p.fleet.members[c.record.owner]
	if c.record.owner == p.fleet.self.id || (ok && owner.state != Dead) {
		return
	}
	record := c.record
	record.level = p.policy.InitialLevel()
	p.putRecord(c, record)
	p.recordEvent(journal.ColdStart, record.upstream, "taken over from "+c.record.owner)
}

// coldStartManager returns the peer that manages the cold start of r.
func (p *Pool) coldStartManager(r *replicaState) string {
	first := p.fleet.coldTables[r.replica.region].First(string(r.replica.id))
	if first == p.fleet.self.id || p.fleet.members[first].state != Alive {
		return ""
	}
	return first
}

// disableGates ends all gating when cold start is switched off.
func (p *Pool) disableGates() {
	for _, r := range p.replicas {
		r.cold = nil
	}
	p.coldStates = nil
}

// expireColdStates drops the records of cold starts that ended long ago, and those of
// upstreams that never appeared.
func (p *Pool) expireColdStates() {
	p.coldExpiryAt = p.now
	for id, c := range p.coldStates {
		unused := !c.gated() || p.replicas[id] == nil
		if unused && p.now-c.changedAt > coldRecordRetention {
			delete(p.coldStates, id)
		}
	}
}
