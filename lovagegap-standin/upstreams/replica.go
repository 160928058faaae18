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

const defaultQueue = 64

// Holding is what a replica holds of one version.
type Holding struct {
	Version uint64 `json:"version"`
	Shards  int    `json:"shards"`
	Holds   []int  `json:"holds"`
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
	FellOver       int `json:"fellOver"`      // by too much work while cold
	MaxConcurrent  int `json:"maxConcurrent"` // highest number running and waiting
}

// Upstream is one replica. It is safe for concurrent use.
type Upstream struct {
	place  deployment.Replica
	clock  clock.Clock
	server *http.Server

	mu       sync.Mutex
	random   *rand.Rand
	boot     int
	life     context.Context // ends when the process crashes or restarts
	endOfRun context.CancelFunc
	cold     bool
	level    int // work that a cold process can handle at a time
	round    int // work completed at this level
	running  int
	waiting  []chan struct{}
	holdings []Holding
	conns    map[*conn]struct{}
	faults   Faults
	counts   Counts
	log      log
}

func newUpstream(place deployment.Replica, c clock.Clock, seed, index uint64) *Upstream {
	u := &Upstream{
		place: place, clock: c, cold: place.Service.Cold, level: 1,
		random: rand.New(rand.NewPCG(seed, index)),
		conns:  make(map[*conn]struct{}),
	}
	shards := place.Service.Shards
	shard := place.Index / place.Service.Replicas
	u.holdings = []Holding{{Version: 1, Shards: shards, Holds: []int{shard}}}
	u.startLife()
	return u
}

// Address returns the IP:port of the replica.
func (u *Upstream) Address() string { return u.place.Address }

// DataCentre returns the data centre of the replica.
func (u *Upstream) DataCentre() string { return u.place.DataCentre }

// Service returns the name of the replica's service.
func (u *Upstream) Service() string { return u.place.Service.Name }

// Boot returns the identity of the running process.
func (u *Upstream) Boot() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.bootID()
}

func (u *Upstream) bootID() string { return u.bootOf(u.boot) }

func (u *Upstream) bootOf(boot int) string { return fmt.Sprintf("%s-%d", u.place.Address, boot) }

// Cold reports whether the process is in a cold start, and how much work it
// can handle at a time.
func (u *Upstream) Cold() (cold bool, level int) {
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

func (u *Upstream) startLife() {
	u.boot++
	u.life, u.endOfRun = context.WithCancel(context.Background())
	u.running, u.waiting = 0, nil
}

func (u *Upstream) endLife() { u.endOfRun() }

// turn returns the place of the replica among those that hold the same shard
// once the service has the given number of shards.
func (u *Upstream) turn(shards int) int {
	if shards == u.place.Service.Shards {
		return u.place.Index % u.place.Service.Replicas
	}
	return u.place.Index / max(shards, 1)
}

// holds returns the shards that the replica holds in a version with the given
// number of shards. All replicas together hold each shard.
func (u *Upstream) holds(shards int) []int {
	service := u.place.Service
	if shards == service.Shards {
		return []int{u.place.Index / service.Replicas}
	}
	held := []int{u.place.Index % shards}
	for s := u.place.Index + service.Shards*service.Replicas; s < shards; s += service.Shards * service.Replicas {
		held = append(held, s)
	}
	return held
}

// Publish gives the replica its part of a version.
func (u *Upstream) Publish(version uint64, shards int) {
	if shards <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.drop(version)
	u.holdings = append(u.holdings, Holding{Version: version, Shards: shards, Holds: u.holds(shards)})
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
	slots := max(u.place.Service.Slots, 1)
	if u.cold {
		return min(u.level, slots)
	}
	return slots
}

// verdict is the outcome of an attempt to enter the process.
type verdict int

const (
	admitted verdict = iota
	shed
	lost // the process crashed, or the caller went away
)

// pass is the right to run one sub-request in one life of the process.
type pass struct {
	boot int
	life context.Context
}

// enter takes a slot, waiting in the queue if necessary. More work at a time
// than a cold process can handle makes it crash.
func (u *Upstream) enter(ctx context.Context, p pass, entry *Entry) verdict {
	u.mu.Lock()
	if p.boot != u.boot {
		u.mu.Unlock()
		return lost
	}
	if u.faults.Shed > u.random.Float64() || len(u.waiting) >= u.queue() {
		u.counts.Shed++
		u.mu.Unlock()
		return shed
	}
	u.counts.Started++
	entry.Concurrency = u.running + len(u.waiting) + 1
	entry.Cold, entry.Level = u.cold, u.capacity()
	u.counts.MaxConcurrent = max(u.counts.MaxConcurrent, entry.Concurrency)
	if u.cold && entry.Concurrency > u.capacity() {
		u.counts.FellOver++
		u.restart()
		u.mu.Unlock()
		return lost
	}
	if u.running < u.capacity() {
		u.running++
		u.mu.Unlock()
		return admitted
	}
	turn := make(chan struct{})
	u.waiting = append(u.waiting, turn)
	u.mu.Unlock()
	select {
	case <-turn:
		return admitted
	case <-ctx.Done():
		u.stopWaiting(p, turn)
	case <-p.life.Done():
	}
	return lost
}

func (u *Upstream) queue() int {
	if u.place.Service.Queue > 0 {
		return u.place.Service.Queue
	}
	return defaultQueue
}

func (u *Upstream) stopWaiting(p pass, turn chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Cancelled++
	i := slices.Index(u.waiting, turn)
	if i >= 0 {
		u.waiting = slices.Delete(u.waiting, i, i+1)
		return
	}
	// The slot was handed over at the same moment.
	u.freeSlot(p)
}

// leave gives the slot back.
func (u *Upstream) leave(p pass, completed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p.boot != u.boot {
		return
	}
	if completed {
		u.counts.Completed++
		u.warm()
	} else {
		u.counts.Cancelled++
	}
	u.freeSlot(p)
}

func (u *Upstream) freeSlot(p pass) {
	if p.boot != u.boot {
		return
	}
	u.running--
	for u.running < u.capacity() && len(u.waiting) > 0 {
		close(u.waiting[0])
		u.waiting = u.waiting[1:]
		u.running++
	}
}

// warm doubles what a cold process can handle with each full round of
// completed work; at the number of slots it is warm.
func (u *Upstream) warm() {
	if !u.cold {
		return
	}
	u.round++
	if u.round < u.level {
		return
	}
	u.round = 0
	u.level *= 2
	if u.level >= max(u.place.Service.Slots, 1) {
		u.cold = false
	}
}

// serviceTime draws the time that a sub-request takes.
func (u *Upstream) serviceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	service := u.place.Service
	factor := math.Exp(service.Spread * u.random.NormFloat64())
	if u.faults.SlowShare > u.random.Float64() && u.faults.SlowFactor > 0 {
		factor *= u.faults.SlowFactor
	}
	return time.Duration(float64(service.ServiceTime) * factor)
}

// draw reports whether an event of the given probability occurs.
func (u *Upstream) draw(probability float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return probability > u.random.Float64()
}
