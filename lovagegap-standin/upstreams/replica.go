package upstreams

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/lovagegap-standin/deployment"
)

const defaultQueueLimit = 64

// Holding lists the shards of one version that a replica holds.
type Holding struct {
	Version    uint64 `json:"version"`
	ShardCount int    `json:"shards"` // number of shards that the version is split into
	HeldShards []int  `json:"holds"`  // shards that this replica holds
}

// Counts are totals since the stand-in started. They continue over restarts of a
// replica.
type Counts struct {
	Accepted       int `json:"accepted"`       // connections accepted
	Refused        int `json:"refused"`        // connections refused: above the limit, or while Faults.Down is set
	MaxConnections int `json:"maxConnections"` // highest number of connections open at a time
	Started        int `json:"started"`        // sub-requests run or queued
	Completed      int `json:"completed"`
	Cancelled      int `json:"cancelled"`
	Shed           int `json:"shed"`
	Crashes        int `json:"crashes"`       // caused by Faults.CrashText
	ColdCrashes    int `json:"fellOver"`      // caused by more sub-requests than a cold process can run
	MaxConcurrent  int `json:"maxConcurrent"` // highest number of sub-requests running and queued
}

// Upstream simulates one replica. It is safe for concurrent use.
type Upstream struct {
	replica deployment.Replica
	clock   clock.Clock
	server  *http.Server

	mu                  sync.Mutex
	random              *rand.Rand
	bootNumber          int
	processCtx          context.Context // cancelled when the process crashes or restarts
	cancelProcess       context.CancelFunc
	cold                bool
	coldCapacity        int // sub-requests that a cold process can run at a time
	completedAtCapacity int // sub-requests completed since coldCapacity last changed
	running             int
	waiting             []chan struct{}
	holdings            []Holding
	conns               map[*conn]struct{}
	faults              Faults
	counts              Counts
	log                 requestLog
}

func newUpstream(replica deployment.Replica, c clock.Clock, seed, index uint64) *Upstream {
	u := &Upstream{
		replica: replica, clock: c, cold: replica.Service.StartCold, coldCapacity: 1,
		random: rand.New(rand.NewPCG(seed, index)),
		conns:  make(map[*conn]struct{}),
	}
	shards := replica.Service.ShardCount
	shard := replica.Index / replica.Service.ReplicasPerShard
	u.holdings = []Holding{{Version: 1, ShardCount: shards, HeldShards: []int{shard}}}
	u.startProcess()
	return u
}

// Address returns the IP:port of the replica.
func (u *Upstream) Address() string { return u.replica.Address }

// DataCentre returns the data centre of the replica.
func (u *Upstream) DataCentre() string { return u.replica.DataCentre }

// Service returns the name of the replica's service.
func (u *Upstream) Service() string { return u.replica.Service.Name }

// Boot returns the boot ID of the running process. It changes with every restart.
func (u *Upstream) Boot() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.currentBootID()
}

func (u *Upstream) currentBootID() string { return u.bootID(u.bootNumber) }

func (u *Upstream) bootID(bootNumber int) string {
	return fmt.Sprintf("%s-%d", u.replica.Address, bootNumber)
}

// Cold reports whether the process is in a cold start, and how many sub-requests
// it can run at a time.
func (u *Upstream) Cold() (cold bool, capacity int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cold, u.capacity()
}

// Counts returns the totals so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}

func (u *Upstream) startProcess() {
	u.bootNumber++
	u.processCtx, u.cancelProcess = context.WithCancel(context.Background())
	u.running, u.waiting = 0, nil
}

func (u *Upstream) stopProcess() { u.cancelProcess() }

// shardRank returns the rank of the replica among those that hold the same shard
// of a version with shardCount shards, counted from 0.
func (u *Upstream) shardRank(shardCount int) int {
	if shardCount == u.replica.Service.ShardCount {
		return u.replica.Index % u.replica.Service.ReplicasPerShard
	}
	return u.replica.Index / max(shardCount, 1)
}

// assignedShards returns the shards that the replica holds of a version with
// shardCount shards. The replicas of the service together hold every shard.
func (u *Upstream) assignedShards(shardCount int) []int {
	service := u.replica.Service
	if shardCount == service.ShardCount {
		return []int{u.replica.Index / service.ReplicasPerShard}
	}
	held := []int{u.replica.Index % shardCount}
	replicaCount := service.ShardCount * service.ReplicasPerShard
	for s := u.replica.Index + replicaCount; s < shardCount; s += replicaCount {
		held = append(held, s)
	}
	return held
}

// Publish adds the replica's shards of a version with shardCount shards, and
// replaces the version if the replica holds it already.
func (u *Upstream) Publish(version uint64, shardCount int) {
	if shardCount <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(version)
	u.holdings = append(u.holdings, Holding{
		Version: version, ShardCount: shardCount, HeldShards: u.assignedShards(shardCount),
	})
}

// Drop removes a version from the replica.
func (u *Upstream) Drop(version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(version)
}

// drop copies the holdings, since callers of Info hold the old slice.
func (u *Upstream) drop(version uint64) {
	u.holdings = slices.DeleteFunc(slices.Clone(u.holdings), func(h Holding) bool { return h.Version == version })
}

// capacity returns how many sub-requests the process can run at a time. The
// caller holds the lock.
func (u *Upstream) capacity() int {
	slots := max(u.replica.Service.Slots, 1)
	if u.cold {
		return min(u.coldCapacity, slots)
	}
	return slots
}

// slotResult is the result of acquireSlot.
type slotResult int

const (
	admitted slotResult = iota
	shed
	aborted // the process ended, or the caller cancelled
)

// process identifies one run of the simulated process, from a start to the next
// restart. A sub-request runs only in the process that accepted its connection.
type process struct {
	bootNumber int
	ctx        context.Context
}

// acquireSlot takes a slot, and waits in the queue if all are taken. It crashes a
// cold process that would have more sub-requests at a time than it can run.
func (u *Upstream) acquireSlot(ctx context.Context, p process, entry *LogEntry) slotResult {
	u.mu.Lock()
	if p.bootNumber != u.bootNumber {
		u.mu.Unlock()
		return aborted
	}
	entry.Injected = u.faults.ShedShare > u.random.Float64()
	if entry.Injected || len(u.waiting) >= u.queueLimit() {
		u.counts.Shed++
		u.mu.Unlock()
		return shed
	}
	u.counts.Started++
	entry.Concurrency = u.running + len(u.waiting) + 1
	entry.Cold, entry.Capacity = u.cold, u.capacity()
	u.counts.MaxConcurrent = max(u.counts.MaxConcurrent, entry.Concurrency)
	if u.cold && entry.Concurrency > u.capacity() {
		u.counts.ColdCrashes++
		u.restart()
		u.mu.Unlock()
		return aborted
	}
	if u.running < u.capacity() {
		u.running++
		u.mu.Unlock()
		return admitted
	}
	granted := make(chan struct{})
	u.waiting = append(u.waiting, granted)
	u.mu.Unlock()
	select {
	case <-granted:
		return admitted
	case <-ctx.Done():
		u.leaveQueue(p, granted)
	case <-p.ctx.Done():
	}
	return aborted
}

func (u *Upstream) queueLimit() int {
	if u.replica.Service.QueueLimit > 0 {
		return u.replica.Service.QueueLimit
	}
	return defaultQueueLimit
}

func (u *Upstream) leaveQueue(p process, granted chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Cancelled++
	i := slices.Index(u.waiting, granted)
	if i >= 0 {
		u.waiting = slices.Delete(u.waiting, i, i+1)
		return
	}
	// freeSlot handed over the slot while the context was cancelled.
	u.freeSlot(p)
}

// finishWork counts a sub-request that has ended and releases its slot. It does
// nothing if process p has ended.
func (u *Upstream) finishWork(p process, completed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p.bootNumber != u.bootNumber {
		return
	}
	if completed {
		u.counts.Completed++
		u.advanceColdStart()
	} else {
		u.counts.Cancelled++
	}
	u.freeSlot(p)
}

// freeSlot releases a slot and hands free slots to queued sub-requests in order of
// arrival. The caller holds the lock.
func (u *Upstream) freeSlot(p process) {
	if p.bootNumber != u.bootNumber {
		return
	}
	u.running--
	for u.running < u.capacity() && len(u.waiting) > 0 {
		close(u.waiting[0])
		u.waiting = u.waiting[1:]
		u.running++
	}
}

// advanceColdStart counts a completed sub-request of a cold process. It doubles
// coldCapacity once that many have completed; the process is warm when
// coldCapacity reaches the number of slots. The caller holds the lock.
func (u *Upstream) advanceColdStart() {
	if !u.cold {
		return
	}
	u.completedAtCapacity++
	if u.completedAtCapacity < u.coldCapacity {
		return
	}
	u.completedAtCapacity = 0
	u.coldCapacity *= 2
	if u.coldCapacity >= max(u.replica.Service.Slots, 1) {
		u.cold = false
	}
}

// drawServiceTime draws the service time of a sub-request from a log-normal
// distribution around the median, multiplied by SlowFactor for a SlowShare.
func (u *Upstream) drawServiceTime(entry *LogEntry) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	service := u.replica.Service
	factor := math.Exp(service.ServiceTimeSigma * u.random.NormFloat64())
	if u.faults.SlowShare > u.random.Float64() && u.faults.SlowFactor > 0 {
		factor *= u.faults.SlowFactor
		entry.Injected = true
	}
	return time.Duration(float64(service.ServiceTime) * factor)
}

// occurs draws whether an event of the given probability (0 to 1) occurs.
func (u *Upstream) occurs(probability float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return probability > u.random.Float64()
}
