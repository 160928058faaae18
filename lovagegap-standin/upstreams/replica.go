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

// Holding is what a replica holds of one version.
type Holding struct {
	Version    uint64 `json:"version"`
	ShardCount int    `json:"shards"`
	HeldShards []int  `json:"holds"`
}

// Counts are totals since the start of the stand-in.
type Counts struct {
	Accepted       int `json:"accepted"`       // connections
	Refused        int `json:"refused"`        // connections above the cap or while down
	MaxConnections int `json:"maxConnections"` // highest number open at a time
	Started        int `json:"started"`        // sub-requests admitted
	Completed      int `json:"completed"`
	Cancelled      int `json:"cancelled"`
	Shed           int `json:"shed"`
	Crashes        int `json:"crashes"`       // by a query
	ColdCrashes    int `json:"fellOver"`      // by too much work while cold
	MaxConcurrent  int `json:"maxConcurrent"` // highest number running and waiting
}

// Upstream is one replica. It is safe for concurrent use.
type Upstream struct {
	replica deployment.Replica
	clock   clock.Clock
	server  *http.Server

	mu                  sync.Mutex
	random              *rand.Rand
	bootNumber          int
	processCtx          context.Context // ends when the process crashes or restarts
	cancelProcess       context.CancelFunc
	cold                bool
	coldCapacity        int // work that a cold process can handle at a time
	completedAtCapacity int // work completed at this level
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

// Boot returns the identity of the running process.
func (u *Upstream) Boot() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.currentBootID()
}

func (u *Upstream) currentBootID() string { return u.bootID(u.bootNumber) }

func (u *Upstream) bootID(bootNumber int) string {
	return fmt.Sprintf("%s-%d", u.replica.Address, bootNumber)
}

// Cold reports whether the process is in a cold start, and how much work it
// can handle at a time.
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

// shardRank returns the place of the replica among those that hold the same shard
// once the service has the given number of shards.
func (u *Upstream) shardRank(shardCount int) int {
	if shardCount == u.replica.Service.ShardCount {
		return u.replica.Index % u.replica.Service.ReplicasPerShard
	}
	return u.replica.Index / max(shardCount, 1)
}

// assignedShards returns the shards that the replica holds in a version with the given
// number of shards. All replicas together hold each shard.
func (u *Upstream) assignedShards(shardCount int) []int {
	service := u.replica.Service
	if shardCount == service.ShardCount {
		return []int{u.replica.Index / service.ReplicasPerShard}
	}
	held := []int{u.replica.Index % shardCount}
	for s := u.replica.Index + service.ShardCount*service.ReplicasPerShard; s < shardCount; s += service.ShardCount * service.ReplicasPerShard {
		held = append(held, s)
	}
	return held
}

// Publish gives the replica its part of a version.
func (u *Upstream) Publish(version uint64, shardCount int) {
	if shardCount <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(version)
	u.holdings = append(u.holdings, Holding{Version: version, ShardCount: shardCount, HeldShards: u.assignedShards(shardCount)})
}

// Drop takes a version from the replica.
func (u *Upstream) Drop(version uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(version)
}

func (u *Upstream) drop(version uint64) {
	u.holdings = slices.DeleteFunc(slices.Clone(u.holdings), func(h Holding) bool { return h.Version == version })
}

func (u *Upstream) capacity() int {
	slots := max(u.replica.Service.Slots, 1)
	if u.cold {
		return min(u.coldCapacity, slots)
	}
	return slots
}

// slotResult is the outcome of an attempt to enter the process.
type slotResult int

const (
	admitted slotResult = iota
	shed
	aborted // the process crashed, or the caller went away
)

// process is the right to run one sub-request in one life of the process.
type process struct {
	bootNumber int
	ctx        context.Context
}

// acquireSlot takes a slot, waiting in the queue if necessary. More work at a time
// than a cold process can handle makes it crash.
func (u *Upstream) acquireSlot(ctx context.Context, p process, entry *LogEntry) slotResult {
	u.mu.Lock()
	if p.bootNumber != u.bootNumber {
		u.mu.Unlock()
		return aborted
	}
	if u.faults.ShedShare > u.random.Float64() || len(u.waiting) >= u.queueLimit() {
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
	// The slot was handed over at the same moment.
	u.freeSlot(p)
}

// finishWork gives the slot back.
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

// advanceColdStart doubles what a cold process can handle with each full round of
// completed work; at the number of slots it is warm.
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

// drawServiceTime draws the time that a sub-request takes.
func (u *Upstream) drawServiceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	service := u.replica.Service
	factor := math.Exp(service.ServiceTimeSigma * u.random.NormFloat64())
	if u.faults.SlowShare > u.random.Float64() && u.faults.SlowFactor > 0 {
		factor *= u.faults.SlowFactor
	}
	return time.Duration(float64(service.ServiceTime) * factor)
}

// occurs reports whether an event of the given probability occurs.
func (u *Upstream) occurs(probability float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return probability > u.random.Float64()
}
