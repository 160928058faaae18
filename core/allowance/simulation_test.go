package allowance_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/allowance"
	"github.com/lovagegap/lovagegap/core/clock"
)

var policy = allowance.Policy{Window: 5 * clock.Second, Overshoot: 0.1, Slack: 20}

const (
	callTimeout = 200 * clock.Millisecond
	tick        = 250 * clock.Millisecond
)

// event is a step of the simulation.
type event struct {
	at   clock.Millis
	next int
	do   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].next < q[j].next
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// daemon is a simulated daemon with its state machines.
type daemon struct {
	number      int
	name        string
	dataCentre  string
	run         int // number of the process
	up          bool
	frozenUntil clock.Millis
	readyAt     clock.Millis
	leaving     bool
	view        *allowance.View
	ledger      *allowance.Ledger
	wallet      *allowance.Wallet
	changeAt    []clock.Millis // when a change of reached is noticed, or 0
	reached     []bool         // the others, by number, as far as noticed
}

type tenant struct {
	name     string
	limits   []allowance.Limit // before and after the change
	demand   float64           // requests per second
	arrivals []clock.Millis
	served   []clock.Millis
	refused  map[allowance.Kind]int
}

// fleet simulates daemons, their network and their callers.
type fleet struct {
	random    *rand.Rand
	now       clock.Millis
	events    queue
	count     int
	daemons   []*daemon
	byName    map[string]*daemon
	tenants   []*tenant
	blocked   [][]bool // by sender and receiver
	loss      float64
	delay     clock.Millis                 // upper end of the delay one way
	changedAt map[string]clock.Millis      // since when a daemon has the second limit
	waiters   map[*allowance.Call][]func() // resumed when the call ends
}

func newFleet(seed uint64, daemons int, tenants []*tenant) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: 1, byName: make(map[string]*daemon),
		blocked: make([][]bool, daemons), delay: 1, tenants: tenants, changedAt: make(map[string]clock.Millis),
		waiters: make(map[*allowance.Call][]func()),
	}
	for i := range daemons {
		f.blocked[i] = make([]bool, daemons)
		d := &daemon{number: i, name: fmt.Sprint("10.0.0.", i, ":7000"), dataCentre: fmt.Sprint("dc-", i%3)}
		f.daemons = append(f.daemons, d)
		f.byName[d.name] = d
	}
	for _, d := range f.daemons {
		f.start(d)
	}
	for _, t := range tenants {
		t.refused = make(map[allowance.Kind]int)
		f.arrive(t)
	}
	return f
}

func (f *fleet) after(delay clock.Millis, do func()) {
	f.count++
	heap.Push(&f.events, event{at: f.now + delay, next: f.count, do: do})
}

// onDaemon runs a step on a process, later if it is frozen, never if it has ended.
func (f *fleet) onDaemon(d *daemon, delay clock.Millis, do func()) {
	run := d.run
	f.after(delay, func() {
		switch {
		case !d.up || d.run != run:
		case f.now < d.frozenUntil:
			f.onDaemon(d, d.frozenUntil-f.now, do)
		default:
			do()
		}
	})
}

func (f *fleet) runUntil(end clock.Millis) {
	for len(f.events) > 0 && f.events[0].at < end {
		e := heap.Pop(&f.events).(event)
		f.now = max(f.now, e.at)
		e.do()
	}
}

func (f *fleet) between(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(f.random.Float64())*(high-low)
}

func (f *fleet) start(d *daemon) {
	d.run++
	d.up, d.leaving, d.frozenUntil, d.readyAt = true, false, 0, f.now+f.between(100, 700)
	var seeds []string
	for _, other := range f.daemons {
		seeds = append(seeds, other.name)
	}
	d.view = allowance.NewView(policy, d.name, seeds, f.now)
	d.ledger = allowance.NewLedger(policy, d.view, f.now)
	d.wallet = allowance.NewWallet(policy, d.view, rand.New(rand.NewPCG(f.random.Uint64(), 1)), f.now)
	d.changeAt, d.reached = make([]clock.Millis, len(f.daemons)), make([]bool, len(f.daemons))
	f.tick(d)
}

func (f *fleet) kill(d *daemon, downtime clock.Millis) {
	d.up = false
	f.after(downtime, func() {
		if !d.up {
			f.start(d)
		}
	})
}

func (f *fleet) working(d *daemon) bool {
	return d.up && f.now >= d.frozenUntil && f.now >= d.readyAt
}

// component returns which daemons d reaches both ways, directly or through others.
func (f *fleet) component(d *daemon) []bool {
	found := make([]bool, len(f.daemons))
	found[d.number] = true
	for todo := []int{d.number}; len(todo) > 0; todo = todo[1:] {
		for i, other := range f.daemons {
			if !found[i] && !f.blocked[todo[0]][i] && !f.blocked[i][todo[0]] && f.working(other) {
				found[i] = true
				todo = append(todo, i)
			}
		}
	}
	return found
}

// tick updates the view of d. A member that is reached is alive after up to 0.8 s, and
// one that isn't reached is no longer alive after 2 to 4 s, at each daemon on its own.
func (f *fleet) tick(d *daemon) {
	d.ledger.Tick(f.now)
	changed := false
	var leaving []string
	for i, reached := range f.component(d) {
		other := f.daemons[i]
		switch {
		case reached && other.leaving:
			leaving = append(leaving, other.name)
			changed = changed || d.reached[i]
			d.reached[i], d.changeAt[i] = false, 0
		case reached == d.reached[i]:
			d.changeAt[i] = 0
		case d.changeAt[i] == 0 && reached:
			d.changeAt[i] = f.now + f.between(50, 800)
		case d.changeAt[i] == 0:
			d.changeAt[i] = f.now + f.between(2000, 4000)
		case f.now >= d.changeAt[i]:
			d.reached[i], d.changeAt[i], changed = reached, 0, true
		}
	}
	d.view.SetLeaving(leaving)
	if changed {
		var alive []allowance.Member
		for i, other := range f.daemons {
			if d.reached[i] {
				alive = append(alive, allowance.Member{Name: other.name, DataCentre: other.dataCentre})
			}
		}
		d.view.SetAlive(f.now, alive)
	}
	for _, inquiry := range d.view.Inquiries(f.now) {
		f.inquire(d, inquiry)
	}
	f.onDaemon(d, tick, func() { f.tick(d) })
}

// inquire sends an inquiry and its answer.
func (f *fleet) inquire(d *daemon, inquiry allowance.Inquiry) {
	peer := f.byName[inquiry.Peer]
	if f.lost(d, peer) {
		return
	}
	sent := f.now
	f.onDaemon(peer, f.oneWay(), func() {
		if standing := peer.view.Standing(f.now, d.name, inquiry.Running); !f.lost(peer, d) {
			f.onDaemon(d, f.oneWay(), func() {
				if f.now-sent <= callTimeout {
					d.view.HandleStanding(f.now, inquiry, standing)
				}
			})
		}
	})
}

func (f *fleet) arrive(t *tenant) {
	f.after(clock.Millis(f.random.ExpFloat64()/t.demand)*clock.Second, func() {
		f.arrive(t)
		if d := f.daemons[f.random.IntN(len(f.daemons))]; f.working(d) {
			t.arrivals = append(t.arrivals, f.now)
			f.act(d, t, d.wallet.Take(f.now, t.name, f.limit(d, t)))
		}
	})
}

func (f *fleet) limit(d *daemon, t *tenant) allowance.Limit {
	if at, ok := f.changedAt[d.name]; ok && f.now >= at {
		return t.limits[len(t.limits)-1]
	}
	return t.limits[0]
}

func (f *fleet) act(d *daemon, t *tenant, decision allowance.Decision) {
	if call := decision.Call(); call != nil {
		f.send(d, call)
	}
	switch decision.Kind() {
	case allowance.Granted:
		t.served = append(t.served, f.now)
	case allowance.Pending:
		call, resumed := decision.WaitsFor(), false
		resume := func() {
			if !resumed {
				resumed = true
				f.act(d, t, d.wallet.Resume(f.now, decision))
			}
		}
		f.waiters[call] = append(f.waiters[call], resume)
		f.onDaemon(d, decision.WaitUntil()-f.now, resume)
	default:
		t.refused[decision.Kind()]++
	}
}

func (f *fleet) send(d *daemon, call *allowance.Call) {
	ended := false
	end := func(handle func()) func() {
		return func() {
			if ended {
				return
			}
			ended = true
			handle()
			for _, resume := range f.waiters[call] {
				resume()
			}
			delete(f.waiters, call)
		}
	}
	f.onDaemon(d, callTimeout, end(func() { d.wallet.HandleFailure(f.now, call) }))
	owner := f.byName[call.Owner()]
	grant := func(then func(allowance.Reply)) {
		then(owner.ledger.Grant(f.now, call.Tenant(), call.Limit(), call.Needed(), call.Extra(), call.Unused()))
	}
	if owner == d {
		f.onDaemon(d, 0, func() {
			grant(func(r allowance.Reply) { end(func() { d.wallet.HandleReply(f.now, call, r) })() })
		})
		return
	}
	if f.lost(d, owner) {
		return
	}
	f.onDaemon(owner, f.oneWay(), func() {
		grant(func(r allowance.Reply) {
			if !f.lost(owner, d) {
				f.onDaemon(d, f.oneWay(), end(func() { d.wallet.HandleReply(f.now, call, r) }))
			}
		})
	})
}

func (f *fleet) lost(from, to *daemon) bool {
	return f.blocked[from.number][to.number] || f.random.Float64() < f.loss
}

func (f *fleet) oneWay() clock.Millis { return f.between(0.1, f.delay) }

// mostInWindow returns the largest number of instants in a window of the policy that
// begins at or after from.
func mostInWindow(instants []clock.Millis, from clock.Millis) int {
	most, first := 0, 0
	for i, at := range instants {
		for instants[first] <= at-policy.Window || instants[first] < from && first < i {
			first++
		}
		if instants[first] >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

// allowed returns how many of the arrivals after from a single token bucket admits that
// is full at the start.
func allowed(limit allowance.Limit, arrivals []clock.Millis, from clock.Millis) int {
	tokens, last, count := limit.Burst(), clock.Millis(0), 0
	for _, at := range arrivals {
		tokens = min(limit.Burst(), tokens+limit.Rate()*float64((at-last)/clock.Second))
		last = at
		if tokens < 1 {
			continue
		}
		tokens--
		if at >= from {
			count++
		}
	}
	return count
}

func countFrom(instants []clock.Millis, from clock.Millis) int {
	n := 0
	for _, at := range instants {
		if at >= from {
			n++
		}
	}
	return n
}

// newTenants returns tenants of falling size. Their demand is the limit divided by 1.6,
// or 7.5 times that for the tenant with the number hot.
func newTenants(hot int) []*tenant {
	var tenants []*tenant
	for i, limit := range []allowance.Limit{
		allowance.NewLimit(43, 43), allowance.NewLimit(18.7, 19), allowance.NewLimit(8.1, 8), allowance.NewLimit(4, 4),
		allowance.NewLimit(2, 3), allowance.NewLimit(1, 2), allowance.NewLimit(0.6, 1), allowance.NewLimit(0.3, 1),
	} {
		t := &tenant{name: fmt.Sprint("tenant-", i), limits: []allowance.Limit{limit}, demand: limit.Rate() / 1.6}
		if i == hot {
			t.demand *= 7.5
		}
		tenants = append(tenants, t)
	}
	return tenants
}

const settled = 30 * clock.Second // buckets are full and the members known

// Guards against tokens lost on the way to the requests: without faults, a tenant must
// get at least 0.99 of what one bucket for the whole fleet would admit. The tenants
// include those of which a daemon sees one request in 20 s and longer, and one at 7.5
// times its usual rate.
func TestNoRefusalsBelowAllowanceWithoutFaults(t *testing.T) {
	for _, hot := range []int{-1, 0, 2, 6} {
		t.Run(fmt.Sprint("hot ", hot), func(t *testing.T) {
			served, ideal := make(map[string]int), make(map[string]int)
			for seed := range uint64(10) {
				tenants := newTenants(hot)
				f := newFleet(seed, 30, tenants)
				f.runUntil(120 * clock.Second)
				for _, tenant := range tenants {
					served[tenant.name] += countFrom(tenant.served, settled)
					ideal[tenant.name] += allowed(tenant.limits[0], tenant.arrivals, settled)
					require.LessOrEqual(t, float64(mostInWindow(tenant.served, 0)), policy.Bound(tenant.limits[0]))
				}
			}
			for _, tenant := range newTenants(hot) {
				name := tenant.name
				t.Logf("%s served %d of %d", name, served[name], ideal[name])
				require.GreaterOrEqual(t, float64(served[name]), 0.99*float64(ideal[name]), name)
			}
		})
	}
}

// fault is a kind of fault that the simulation injects.
type fault func(f *fleet)

func (f *fleet) pick() *daemon { return f.daemons[f.random.IntN(len(f.daemons))] }

// cut blocks the network between a random part of the daemons and the others for a
// while, in one or both directions.
func (f *fleet) cut(both bool, duration clock.Millis) {
	part := make([]bool, len(f.daemons))
	share := f.random.Float64()
	for i := range part {
		part[i] = f.random.Float64() < share
	}
	set := func(blocked bool) {
		for a := range part {
			for b := range part {
				if part[a] != part[b] && (both || part[a]) {
					f.blocked[a][b] = blocked
				}
			}
		}
	}
	set(true)
	f.after(duration, func() { set(false) })
}

// stop stops a daemon as planned and starts it again.
func (f *fleet) stop(d *daemon, grace, downtime clock.Millis) {
	d.leaving = true
	run := d.run
	f.after(grace, func() {
		if d.run == run {
			f.kill(d, downtime)
		}
	})
}

func (f *fleet) freeze(d *daemon, duration clock.Millis) {
	if d.up {
		d.frozenUntil = max(d.frozenUntil, f.now+duration)
	}
}

var faults = map[string]fault{
	"loss and delay": func(f *fleet) {
		f.loss, f.delay = 0.3*f.random.Float64(), f.between(1, 300)
		f.after(3*clock.Second, func() { f.loss, f.delay = 0, 1 })
	},
	"kill":         func(f *fleet) { f.kill(f.pick(), f.between(100, 6000)) },
	"planned stop": func(f *fleet) { f.stop(f.pick(), 4*clock.Second, f.between(100, 6000)) },
	"restart of all": func(f *fleet) {
		downtime := f.between(100, 2000)
		for _, d := range f.daemons {
			f.kill(d, downtime+f.between(0, 300))
		}
	},
	"partition":         func(f *fleet) { f.cut(true, f.between(1000, 20000)) },
	"one-way partition": func(f *fleet) { f.cut(false, f.between(1000, 20000)) },
	"freeze":            func(f *fleet) { f.freeze(f.pick(), f.between(100, 10000)) },
	"suspension of many": func(f *fleet) {
		duration := f.between(500, 8000)
		for _, d := range f.daemons {
			if f.random.IntN(2) == 0 {
				f.freeze(d, duration+f.between(0, 500))
			}
		}
	},
}

// ownerFaults are those that change or restart several owners of a tenant.
var ownerFaults = map[string]fault{
	"quick restart": func(f *fleet) { f.kill(f.pick(), f.between(100, 2000)) },
	"quick restart of owners": func(f *fleet) {
		for _, owner := range f.ownersOf(f.tenants[0]) {
			f.kill(owner, f.between(100, 2000))
		}
	},
	"simultaneous restart of all": func(f *fleet) {
		for _, d := range f.daemons {
			f.kill(d, f.between(100, 2000))
		}
	},
	"loss of a data centre": func(f *fleet) {
		downtime := f.between(100, 15000)
		for _, d := range f.dataCentre() {
			f.kill(d, downtime+f.between(0, 300))
		}
	},
	"partition of a data centre": func(f *fleet) {
		duration := f.between(1000, 20000)
		both := f.random.IntN(2) == 0
		f.isolate(f.dataCentre(), both, duration)
	},
	"partition and restart of a data centre": func(f *fleet) {
		daemons := f.dataCentre()
		f.isolate(daemons, true, f.between(1000, 20000))
		for _, d := range daemons {
			f.kill(d, f.between(100, 2000))
		}
	},
}

// ownersOf returns the owners of a tenant as the first daemon sees them.
func (f *fleet) ownersOf(t *tenant) []*daemon {
	var owners []*daemon
	for _, name := range f.daemons[0].view.TenantOwners(f.now, t.name) {
		owners = append(owners, f.byName[name])
	}
	return owners
}

// dataCentre returns the daemons of a random data centre.
func (f *fleet) dataCentre() []*daemon {
	name := f.pick().dataCentre
	return slices.DeleteFunc(slices.Clone(f.daemons), func(d *daemon) bool { return d.dataCentre != name })
}

// isolate blocks the network between the daemons and the others for a while, or only that
// from the daemons to the others.
func (f *fleet) isolate(daemons []*daemon, both bool, duration clock.Millis) {
	set := func(blocked bool) {
		for _, a := range daemons {
			for _, b := range f.daemons {
				if !slices.Contains(daemons, b) {
					f.blocked[a.number][b.number] = blocked
					f.blocked[b.number][a.number] = blocked && both
				}
			}
		}
	}
	set(true)
	f.after(duration, func() { set(false) })
}

// Guards against more requests of a tenant in any window than its limit permits, in
// fleets in which daemons fail in one way or in all ways, with tenants that all send
// 7.5 times their usual rate.
func TestBoundHoldsUnderFaults(t *testing.T) {
	requireBound(t, faults, append(slices.Collect(maps.Keys(faults)), "all"))
}

// Guards against the same where owners continue without the delay of a takeover, or where
// all owners of a tenant fail at once.
func TestBoundHoldsUnderFaultsOfOwners(t *testing.T) {
	all := maps.Clone(faults)
	maps.Copy(all, ownerFaults)
	requireBound(t, all, append(slices.Collect(maps.Keys(ownerFaults)), "all"))
}

// requireBound runs fleets with faults of each of the kinds; "all" stands for all faults.
func requireBound(t *testing.T, faults map[string]fault, kinds []string) {
	names := slices.Sorted(maps.Keys(faults))
	slices.Sort(kinds)
	for _, kind := range kinds {
		t.Run(kind, func(t *testing.T) {
			for seed := range uint64(30) {
				tenants := newTenants(-1)
				for _, tenant := range tenants {
					tenant.demand *= 7.5
				}
				f := newFleet(seed, 12, tenants)
				var inject func()
				inject = func() {
					name := kind
					if kind == "all" {
						name = names[f.random.IntN(len(names))]
					}
					faults[name](f)
					f.after(f.between(500, 8000), inject)
				}
				f.after(f.between(4000, 12000), inject)
				f.runUntil(60 * clock.Second)
				for _, tenant := range tenants {
					most, bound := mostInWindow(tenant.served, 0), policy.Bound(tenant.limits[0])
					if float64(most) > bound {
						t.Errorf("seed %d, %s: %d requests in a window, bound %.1f", seed, tenant.name, most, bound)
					}
				}
			}
		})
	}
}

// Guards against a changed limit that is not applied to buckets in use: one window after
// all daemons have had a lower limit, that limit binds, and a tenant whose limit was
// raised gets the requests of the higher one.
func TestChangedLimitApplies(t *testing.T) {
	const begins, spread, settledAt = 20 * clock.Second, 5 * clock.Second, 30 * clock.Second
	for _, factor := range []float64{0.1, 0.5, 3} {
		served, ideal := 0, 0
		for seed := range uint64(10) {
			tenants := newTenants(-1)
			for _, tenant := range tenants {
				before := tenant.limits[0]
				tenant.limits = append(tenant.limits, allowance.NewLimit(before.Rate()*factor, before.Burst()*factor))
				tenant.demand = before.Rate() * 5
			}
			f := newFleet(seed, 12, tenants)
			for _, d := range f.daemons {
				f.changedAt[d.name] = begins + f.between(0, spread)
			}
			f.runUntil(60 * clock.Second)
			for _, tenant := range tenants {
				after := tenant.limits[1]
				require.LessOrEqual(t, float64(mostInWindow(tenant.served, settledAt)), policy.Bound(after))
				served += countFrom(tenant.served, settledAt)
				ideal += allowed(after, tenant.arrivals, settledAt)
			}
		}
		require.GreaterOrEqual(t, float64(served), 0.99*float64(ideal), "factor %v", factor)
	}
}

// Guards against tenants that stay without an owner after their owner was killed or cut
// off: 8 s later, each gets at least 0.95 of what one bucket admits, and before, the
// small ones are served from the reserve and by the new owner.
func TestServiceAfterOwnerIsLost(t *testing.T) {
	served, ideal := 0, 0
	for seed := range uint64(30) {
		tenants := newTenants(-1)
		f := newFleet(seed, 30, tenants)
		f.runUntil(settled)
		for _, tenant := range tenants[:3] {
			if owner := f.byName[f.daemons[0].view.TenantOwners(f.now, tenant.name)[0]]; owner.up {
				f.kill(owner, clock.Minute)
			}
		}
		f.runUntil(90 * clock.Second)
		for _, tenant := range tenants {
			served += countFrom(tenant.served, settled+8*clock.Second)
			ideal += allowed(tenant.limits[0], tenant.arrivals, settled+8*clock.Second)
		}
	}
	t.Logf("served %d of %d", served, ideal)
	require.GreaterOrEqual(t, float64(served), 0.95*float64(ideal))
}

// complete reports whether all daemons have restarted and know all others.
func (f *fleet) complete() bool {
	return !slices.ContainsFunc(f.daemons, func(d *daemon) bool {
		return !f.working(d) || d.run < 2 || slices.Contains(d.reached, false)
	})
}

// Guards against refusals below the limit after the loss of one owner, whether it comes
// back at once or not, and after a restart of all daemons: a tenant that sends 0.6 of its
// limit gets at least 0.95 of what one bucket admits, in the ten seconds from the fault on.
// After a restart of all that holds from the instant at which all daemons know all others.
func TestServiceContinuesAfterFaults(t *testing.T) {
	for name, inject := range map[string]func(f *fleet, target *tenant){
		"loss of one owner": func(f *fleet, target *tenant) { f.kill(f.ownersOf(target)[f.random.IntN(3)], clock.Minute) },
		"restart of one owner": func(f *fleet, target *tenant) {
			f.kill(f.ownersOf(target)[f.random.IntN(3)], f.between(100, 2000))
		},
		"restart of all": func(f *fleet, _ *tenant) {
			downtime := f.between(100, 2000)
			for _, d := range f.daemons {
				f.kill(d, downtime+f.between(0, 300))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			served, ideal := make(map[string]int), make(map[string]int)
			servedInAll, idealInAll, waited := 0, 0, clock.Millis(0)
			for seed := range uint64(60) {
				tenants := newTenants(-1)
				for _, tenant := range tenants {
					tenant.demand = 0.6 * tenant.limits[0].Rate()
				}
				f := newFleet(seed, 30, tenants)
				f.runUntil(settled)
				inject(f, tenants[seed%uint64(len(tenants))])
				from := f.now
				for f.runUntil(from + 50); name == "restart of all" && !f.complete(); f.runUntil(from) {
					from += 50
				}
				waited += from - settled
				f.runUntil(from + 10*clock.Second)
				for _, tenant := range tenants {
					served[tenant.name] += countFrom(tenant.served, from)
					ideal[tenant.name] += allowed(tenant.limits[0], tenant.arrivals, from)
					servedInAll += countFrom(tenant.served, settled)
					idealInAll += allowed(tenant.limits[0], tenant.arrivals, settled)
				}
			}
			t.Logf("from the fault on served %d of %d, views complete after %.0f ms", servedInAll, idealInAll, float64(waited/60))
			for _, tenant := range newTenants(-1) {
				name := tenant.name
				t.Logf("%s served %d of %d", name, served[name], ideal[name])
				assert.GreaterOrEqual(t, float64(served[name]), 0.95*float64(ideal[name]), name)
			}
		})
	}
}
