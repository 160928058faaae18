package allowance

import (
	"maps"
	"math"
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/quota"
)

const (
	// demandMemory is the time constant of the estimate of a tenant's requests.
	demandMemory = clock.Second
	// extraDemandFraction is the fraction of the requests expected in the lifetime of a
	// token for which tokens are requested ahead. With all of them, half of the tokens of
	// a Poisson stream would expire.
	extraDemandFraction = 0.5
	// maxNeeded bounds the tokens of one call.
	maxNeeded = 1000
	// silenceDuration is the time for which requests don't wait for an owner that has
	// failed to answer in time. Once no other owner is left, calls still go out in it
	// and end it.
	silenceDuration = 250 * clock.Millisecond
	probeInterval   = 20 * clock.Millisecond
	// maxWait is the time for which a request waits for the owners of its tenant. They
	// answer within 2 ms in a healthy network; requests with 50 ms in all must have time
	// left if they don't.
	maxWait = 15 * clock.Millisecond
	// maxOwnerWait is the part of it after which the next owner is asked.
	maxOwnerWait = 5 * clock.Millisecond
	// maxRefusalMemory bounds the time for which the refusal of an owner is remembered. The
	// owner of a small tenant states up to some ten seconds, in which it may be replaced.
	maxRefusalMemory = clock.Second
	// unavailableMemory is the time for which an owner is not asked again after it could
	// not grant tokens.
	unavailableMemory = 50 * clock.Millisecond
	// unavailableRetryAfter is the time after which a request should be retried if the
	// limit is not known to be reached.
	unavailableRetryAfter = 100 * clock.Millisecond
	// maxReturnAge bounds the age of an unused token that goes back to the owner, in
	// lifetimes of a token. Later returns would add to the requests of a later window.
	maxReturnAge = 1.25
	// purseRetention is the time after which an unused purse is dropped.
	purseRetention = clock.Minute
)

// Kind is the kind of a Decision.
type Kind uint8

// Kinds of decisions.
const (
	// Granted means that the request may run.
	Granted Kind = iota + 1
	// LimitReached means that the tenant has used its allowance.
	LimitReached
	// Unavailable means that an owner did not answer, the others have refused and the
	// reserve is used up.
	Unavailable
	// Pending means that the request waits for the reply to a call.
	Pending
)

// Call is a request of tokens from an owner. The fields are valid until its end.
type Call struct {
	owner, tenant         string
	limit                 Limit
	needed, extra, unused int
	sentAt                clock.Millis
	reply                 Reply
	ended, failed         bool
}

// Owner returns the daemon to which the call goes.
func (c *Call) Owner() string { return c.owner }

// Tenant returns the name of the tenant.
func (c *Call) Tenant() string { return c.tenant }

// Limit returns the limit of the tenant.
func (c *Call) Limit() Limit { return c.limit }

// Needed returns the tokens for requests that wait.
func (c *Call) Needed() int { return c.needed }

// Extra returns the tokens for expected requests.
func (c *Call) Extra() int { return c.extra }

// Unused returns the earlier tokens that expired unused.
func (c *Call) Unused() int { return c.unused }

// Decision is the decision on a request.
type Decision struct {
	kind       Kind
	retryAfter clock.Millis
	tenant     string
	limit      Limit
	waitsFor   *Call
	waitUntil  clock.Millis
	deadline   clock.Millis // end of the time for which the request may wait
	call       *Call
}

// Kind returns the kind of the decision.
func (d Decision) Kind() Kind { return d.kind }

// RetryAfter returns the time after which a refused request may be retried.
func (d Decision) RetryAfter() clock.Millis { return d.retryAfter }

// Call returns a call to send now, or nil.
func (d Decision) Call() *Call { return d.call }

// WaitsFor returns the call whose end a pending request waits for.
func (d Decision) WaitsFor() *Call { return d.waitsFor }

// WaitUntil returns the instant at which a pending request must be resumed if its call has
// not ended by then.
func (d Decision) WaitUntil() clock.Millis { return d.waitUntil }

// refusal is the last word of an owner.
type refusal struct {
	limit       Limit
	until       clock.Millis // the owner is not asked before
	retryAt     clock.Millis
	unavailable bool // the limit is not known to be reached
}

// batch is the tokens of one call.
type batch struct {
	tokens int
	sentAt clock.Millis // of the call; the lifetime begins there
}

// purse holds the tokens of one tenant.
type purse struct {
	batches    []batch      // in order of time
	unused     int          // tokens to return with the next call
	unusedFrom clock.Millis // when the call for the oldest of them was sent
	spentFrom  clock.Millis // when the call for the token spent last was sent
	call       *Call        // not ended, and the one that requests which arrive wait for
	waiting    int          // requests that need a token and aren't counted in call
	demand     float64      // requests per demandMemory
	usedAt     clock.Millis
	refusals   map[string]refusal // by owner
	reserve    []clock.Millis
}

// Wallet decides on the requests of one daemon. A Wallet is not safe for concurrent
// use.
type Wallet struct {
	policy      Policy
	view        *View
	random      *rand.Rand
	purses      map[string]*purse
	silentUntil map[string]clock.Millis // by owner
	nextProbe   map[string]clock.Millis // by owner
	startedAt   clock.Millis
	nextSweep   clock.Millis
	stats       WalletStats
}

// WalletStats counts requests and calls since the start.
type WalletStats struct {
	Granted, LimitReached, Unavailable int64 // requests by decision
	Reserve                            int64 // of the granted ones, those from the reserve
	Calls, Failures                    int64
	Timeouts                           int64 // requests that waited for a call in vain
	Received, Expired                  int64 // tokens
}

// NewWallet returns a wallet without tokens.
func NewWallet(policy Policy, view *View, random *rand.Rand, now clock.Millis) *Wallet {
	return &Wallet{
		policy: policy, view: view, random: random, purses: make(map[string]*purse),
		silentUntil: make(map[string]clock.Millis), nextProbe: make(map[string]clock.Millis), startedAt: now,
	}
}

// Stats returns the counts since the start.
func (w *Wallet) Stats() WalletStats { return w.stats }

// Outstanding returns the number of tokens that are neither spent nor expired.
func (w *Wallet) Outstanding(now clock.Millis) int {
	tokens := 0
	for _, p := range w.purses {
		w.expire(now, p)
		for _, b := range p.batches {
			tokens += b.tokens
		}
	}
	return tokens
}

// Take decides on a request that arrives.
func (w *Wallet) Take(now clock.Millis, tenant string, limit Limit) Decision {
	w.sweep(now)
	p := w.purses[tenant]
	if p == nil {
		p = &purse{usedAt: now}
		w.purses[tenant] = p
	}
	p.demand = p.demand*math.Exp(-float64((now-p.usedAt)/demandMemory)) + 1
	p.usedAt = now
	d := Decision{tenant: tenant, limit: limit, deadline: now + maxWait}
	if w.spend(now, p) {
		return w.granted(d)
	}
	return w.wait(now, p, d, 0)
}

// wait makes the request wait for a call to the first owner that may have tokens, and
// decides on it if there is none. Promised is the time until the token that an owner has
// just promised to the request, or 0.
func (w *Wallet) wait(now clock.Millis, p *purse, d Decision, promised clock.Millis) Decision {
	owners := w.view.TenantOwners(now, d.tenant)
	next, last, silent := "", true, ""
	unreachable := len(owners) == 0
	retryAt := now + w.policy.Window
	for _, owner := range owners {
		r, ok := p.refusals[owner]
		switch {
		case now < w.silentUntil[owner]:
			unreachable = true
			if silent == "" {
				silent = owner
			}
		case ok && now < r.until && r.limit == d.limit:
			unreachable = unreachable || r.unavailable
			retryAt = min(retryAt, r.retryAt)
		case next == "":
			next = owner
		default:
			last = false
		}
	}
	if p.call != nil && now < w.silentUntil[p.call.owner] {
		p.call = nil // its tokens are used if it is answered
	}
	switch {
	case next != "" && now < d.deadline:
	case !unreachable && next == "":
		if promised == 0 {
			// The owners have named their refill to others meanwhile.
			promised = max(0, retryAt-now) * clock.Millis(1+w.random.Float64())
		}
		return w.refused(d, min(promised, w.policy.Window))
	default:
		if next == "" && silent != "" && now >= w.nextProbe[silent] {
			// A reply ends the silence.
			w.nextProbe[silent] = now + probeInterval
			d.call = w.newCall(now, silent, p, d)
			p.call = nil
		}
		return w.fallback(now, p, d)
	}
	p.waiting++
	if p.call == nil {
		d.call = w.newCall(now, next, p, d)
	}
	d.kind, d.waitsFor, d.waitUntil = Pending, p.call, d.deadline
	if !last {
		d.waitUntil = min(d.deadline, now+maxOwnerWait)
	}
	return d
}

func (w *Wallet) newCall(now clock.Millis, owner string, p *purse, d Decision) *Call {
	if now-p.unusedFrom > w.policy.Lifetime()*maxReturnAge {
		p.unused = 0
	}
	lifetimes := float64(w.policy.Lifetime() / demandMemory)
	p.call = &Call{
		owner: owner, tenant: d.tenant, limit: d.limit, needed: min(p.waiting, maxNeeded),
		extra: min(int(p.demand*lifetimes*extraDemandFraction), maxNeeded), unused: min(p.unused, maxNeeded), sentAt: now,
	}
	p.waiting, p.unused = 0, 0
	w.stats.Calls++
	return p.call
}

// HandleReply handles the reply to a call.
func (w *Wallet) HandleReply(now clock.Millis, call *Call, reply Reply) {
	p := w.end(call)
	call.reply, call.failed = reply, reply.Unavailable
	delete(w.silentUntil, call.owner)
	if reply.Unavailable {
		w.stats.Failures++
		p.refuse(call, refusal{limit: call.limit, until: now + unavailableMemory, retryAt: now + unavailableRetryAfter, unavailable: true})
		return
	}
	if reply.Granted > 0 {
		w.stats.Received += int64(reply.Granted)
		// The instant of sending is before that of the grant.
		p.batches = append(p.batches, batch{tokens: reply.Granted, sentAt: call.sentAt})
	}
	if reply.Granted < call.needed {
		p.refuse(call, refusal{limit: call.limit, until: now + min(reply.NextIn, maxRefusalMemory), retryAt: now + reply.RetryAfter})
	} else {
		delete(p.refusals, call.owner)
	}
}

func (p *purse) refuse(call *Call, r refusal) {
	if p.refusals == nil {
		p.refusals = make(map[string]refusal)
	}
	p.refusals[call.owner] = r
}

// HandleFailure handles a call that got no reply.
func (w *Wallet) HandleFailure(now clock.Millis, call *Call) {
	w.end(call)
	call.failed = true
	w.stats.Failures++
	w.silentUntil[call.owner] = now + silenceDuration
}

// end ends a call and returns the purse of its tenant.
func (w *Wallet) end(call *Call) *purse {
	call.ended = true
	p := w.purses[call.tenant]
	if p == nil {
		p = &purse{usedAt: call.sentAt}
		w.purses[call.tenant] = p
	}
	if p.call == call {
		p.call = nil
	}
	return p
}

// Resume decides on a pending request, once its call has ended or the time for which it
// may wait is over. The decision is Pending again if the call was sent before the
// request arrived and granted too little for it, or if another owner is asked.
func (w *Wallet) Resume(now clock.Millis, d Decision) Decision {
	call := d.waitsFor
	p := w.purses[d.tenant]
	if p == nil {
		p = &purse{usedAt: now}
		w.purses[d.tenant] = p
	}
	if d.call == nil { // the request isn't counted in the call
		p.waiting = max(0, p.waiting-1)
	}
	d.call = nil
	if w.spend(now, p) {
		return w.granted(d)
	}
	if !call.ended {
		w.stats.Timeouts++
		w.silentUntil[call.owner] = now + silenceDuration
	}
	return w.wait(now, p, d, call.reply.RetryAfter)
}

// Abandon ends a pending request whose caller has left.
func (w *Wallet) Abandon(d Decision) {
	if p := w.purses[d.tenant]; p != nil && d.call == nil {
		p.waiting = max(0, p.waiting-1)
	}
}

// Return takes back the token of a request that provably did not run. A token that is
// too old to be granted again is dropped.
func (w *Wallet) Return(now clock.Millis, tenant string) {
	if p := w.purses[tenant]; p != nil {
		p.batches = append([]batch{{tokens: 1, sentAt: p.spentFrom}}, p.batches...)
		w.expire(now, p)
	}
}

func (w *Wallet) granted(d Decision) Decision {
	w.stats.Granted++
	d.kind, d.waitsFor = Granted, nil
	return d
}

func (w *Wallet) refused(d Decision, retryAfter clock.Millis) Decision {
	w.stats.LimitReached++
	d.kind, d.waitsFor, d.retryAfter = LimitReached, nil, retryAfter
	return d
}

// fallback grants the request from the reserve or refuses it.
func (w *Wallet) fallback(now clock.Millis, p *purse, d Decision) Decision {
	for len(p.reserve) > 0 && now-p.reserve[0] > w.policy.Window {
		p.reserve = p.reserve[1:]
	}
	// An earlier process of this daemon may have used the reserve of the window.
	part := 0
	if now-w.startedAt > w.policy.Window {
		part = quota.ShareAtRank(w.policy.reserve(d.limit), w.view.Known(), w.view.rank(d.tenant))
	}
	if len(p.reserve) < part {
		p.reserve = append(p.reserve, now)
		w.stats.Reserve++
		return w.granted(d)
	}
	w.stats.Unavailable++
	d.kind, d.waitsFor = Unavailable, nil
	d.retryAfter = unavailableRetryAfter * clock.Millis(1+w.random.Float64())
	return d
}

// spend takes a valid token from the purse.
func (w *Wallet) spend(now clock.Millis, p *purse) bool {
	w.expire(now, p)
	if len(p.batches) == 0 {
		return false
	}
	p.spentFrom = p.batches[0].sentAt
	if p.batches[0].tokens--; p.batches[0].tokens == 0 {
		p.batches = p.batches[1:]
	}
	return true
}

func (w *Wallet) expire(now clock.Millis, p *purse) {
	for len(p.batches) > 0 && now > p.batches[0].sentAt+w.policy.Lifetime() {
		if b := p.batches[0]; now-b.sentAt <= w.policy.Lifetime()*maxReturnAge {
			if p.unused == 0 || now-p.unusedFrom > w.policy.Lifetime()*maxReturnAge {
				p.unused, p.unusedFrom = 0, b.sentAt
			}
			p.unused += b.tokens
		}
		w.stats.Expired += int64(p.batches[0].tokens)
		p.batches = p.batches[1:]
	}
}

// sweep drops purses that have not been used for a long time.
func (w *Wallet) sweep(now clock.Millis) {
	if now < w.nextSweep {
		return
	}
	w.nextSweep = now + purseRetention
	maps.DeleteFunc(w.purses, func(_ string, p *purse) bool {
		return now-p.usedAt > purseRetention && p.call == nil
	})
	for _, until := range []map[string]clock.Millis{w.silentUntil, w.nextProbe} {
		maps.DeleteFunc(until, func(_ string, at clock.Millis) bool { return now > at })
	}
}
