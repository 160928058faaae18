package allowance

import (
	"maps"
	"math"

	"github.com/lovagegap/lovagegap/core/clock"
)

const (
	// maxPause is the longest time between two calls of Tick after which the daemon
	// can't have been replaced as the owner: members are suspected after 2 s of silence.
	maxPause = 1500 * clock.Millisecond
	// resumeDelay is the time after a pause in which nothing is granted: calls that arrived
	// during the pause are late, and the members may have changed.
	resumeDelay = clock.Second
	// accountRetention is the time after which an unused account is dropped. Its bucket
	// is then computed from the time of ownership.
	accountRetention = 5 * clock.Minute
	// minRetryShare bounds the share of the rate from which RetryAfter is computed.
	minRetryShare = 0.01
	// extraTokensFraction is the fraction of the burst that must be left for tokens to be
	// granted beyond those for requests that wait, since such tokens may expire unused.
	extraTokensFraction = 0.5
)

// Reply is the answer of an owner to a Call.
type Reply struct {
	// Granted is the number of tokens.
	Granted int
	// Unavailable means that the daemon can't grant tokens of the tenant, as it is not
	// the owner or became it only now. It does not mean that the limit is reached.
	Unavailable bool
	// NextIn is the time until the next token, if fewer than needed were granted.
	NextIn clock.Millis
	// RetryAfter is the time until a token that is not promised to an earlier request.
	RetryAfter clock.Millis
}

// account is the token bucket of a tenant.
type account struct {
	limit  Limit
	tokens float64
	at     clock.Millis // up to which tokens have been added; in the future in a takeover
	usedAt clock.Millis
	start  float64 // tokens that the account began with
	// promised is the instant up to which the refill has been named as RetryAfter.
	promised clock.Millis
}

// Ledger grants the tokens of the tenants that this daemon owns. A Ledger is not safe
// for concurrent use.
type Ledger struct {
	policy    Policy
	view      *View
	accounts  map[string]*account
	resumedAt clock.Millis // end of the last pause; before the start if there was none
	tickedAt  clock.Millis
	nextSweep clock.Millis
	stats     LedgerStats
}

// LedgerStats counts tokens and calls since the start.
type LedgerStats struct {
	Calls, Requested, Granted, Refused, Unavailable, Pauses int64
}

// NewLedger returns a ledger without accounts.
func NewLedger(policy Policy, view *View, now clock.Millis) *Ledger {
	return &Ledger{policy: policy, view: view, accounts: make(map[string]*account), resumedAt: now - resumeDelay, tickedAt: now}
}

// Stats returns the counts since the start.
func (l *Ledger) Stats() LedgerStats { return l.stats }

// Accounts returns the number of tenants with an account.
func (l *Ledger) Accounts() int { return len(l.accounts) }

// Tick must be called several times a second. A longer interval is taken as a pause of
// the process or the machine, after which the ledger acts as that of a new owner.
func (l *Ledger) Tick(now clock.Millis) {
	if now-l.tickedAt > maxPause {
		l.resumedAt = now
		l.view.Restart(now)
		l.stats.Pauses++
	}
	l.tickedAt = max(l.tickedAt, now)
	l.view.Tick(now)
	if now >= l.nextSweep {
		l.nextSweep = now + clock.Minute
		maps.DeleteFunc(l.accounts, func(_ string, a *account) bool { return now-a.usedAt > accountRetention })
	}
}

// Grant answers a call: at most needed tokens for requests that wait and extra ones for
// expected requests. Unused is the number of earlier tokens that expired unused and
// go back to the bucket.
func (l *Ledger) Grant(now clock.Millis, tenant string, limit Limit, needed, extra, unused int) Reply {
	l.Tick(now)
	l.stats.Calls++
	l.stats.Requested += int64(needed + extra)
	a := l.openAccount(now, tenant, limit)
	if a == nil {
		l.stats.Unavailable++
		return Reply{Unavailable: true}
	}
	capacity := l.capacity(tenant, limit)
	l.refill(now, a, limit, max(capacity, a.start))
	a.tokens = max(a.tokens, min(capacity, a.tokens+float64(unused)))
	if capacity < 1 || limit.rate <= 0 {
		l.stats.Unavailable++
		return Reply{Unavailable: true}
	}
	granted := min(needed, int(a.tokens))
	spare := int(a.tokens - float64(granted) - capacity*extraTokensFraction)
	granted += max(0, min(extra, spare))
	a.tokens -= float64(granted)
	l.stats.Granted += int64(granted)
	switch {
	case granted >= needed:
		return Reply{Granted: granted}
	case granted == 0 && now < a.at:
		l.stats.Unavailable++
		return Reply{Unavailable: true}
	}
	l.stats.Refused += int64(needed - granted)
	perToken := clock.Millis(float64(clock.Second) / (limit.rate * max(l.view.Share(), minRetryShare)))
	next := max(now, a.at) + clock.Millis(1-a.tokens)*perToken
	// Each refused request gets a later RetryAfter, so that retries don't arrive together.
	// A token more than a window ahead is not promised.
	a.promised = max(next, min(a.promised+perToken, now+l.policy.Window))
	return Reply{Granted: granted, NextIn: next - now, RetryAfter: min(a.promised-now, l.policy.Window)}
}

// openAccount returns the account of a tenant, or nil if this daemon may not grant its
// tokens.
func (l *Ledger) openAccount(now clock.Millis, tenant string, limit Limit) *account {
	if now < l.resumedAt+resumeDelay {
		return nil
	}
	since, owned := l.view.ownedSince(tenant)
	if !owned {
		var until clock.Millis
		since, until, owned = l.view.ownedUntil(tenant)
		// The bucket of an owner of a short time has not been refilled.
		if !owned || now-until > handoverGrace || until-since < takeoverDelay {
			return nil
		}
	}
	start := l.start(tenant, limit, l.view.continued(since))
	a := l.accounts[tenant]
	switch {
	case a == nil:
		a = &account{limit: limit, tokens: start, start: start, at: since + takeoverDelay}
		l.accounts[tenant] = a
	case a.usedAt < since: // another daemon may have owned the tenant in between
		a.tokens = min(a.tokens, start)
		a.start = start
		a.at = since + takeoverDelay
	case a.at > now && l.view.continued(since): // the delay was ended by a confirmation
		a.at = since + takeoverDelay
		a.tokens += max(0, start-a.start)
		a.start = start
	}
	a.usedAt = now
	return a
}

// start returns the tokens of a new owner: its share, or one if its bucket can hold one.
func (l *Ledger) start(tenant string, limit Limit, continued bool) float64 {
	start := l.policy.start(limit, l.view.ownerCount(), continued)
	return max(start*l.view.seen(), min(start, l.capacity(tenant, limit), 1))
}

// capacity returns the size of the bucket: the capacity of all owners times the share. Where that is less
// than one token, the owners in a part of the fleet with more than half of the daemons hold
// one token each, and in as many other parts as new owners may.
func (l *Ledger) capacity(tenant string, limit Limit) float64 {
	capacity := capacity(limit, l.view.ownerCount()) * l.view.Share()
	if capacity >= 1 {
		return capacity
	}
	parts := int(math.Max(1, l.policy.Slack*startSlackPart/l.view.ownerCount()))
	if l.view.seen() > 0.5 || l.view.seesLeading(tenant, parts) {
		return 1
	}
	return capacity
}

// refill adds the tokens since the last refill at the limit of that time, and applies
// the new one.
func (l *Ledger) refill(now clock.Millis, a *account, limit Limit, capacity float64) {
	if now > a.at {
		a.tokens += a.limit.rate * float64((l.view.weightAt(now)-l.view.weightAt(a.at))/clock.Second)
		a.at = now
	}
	a.limit = limit
	a.tokens = min(a.tokens, capacity)
}
