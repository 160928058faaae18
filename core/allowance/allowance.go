// Package allowance keeps the requests of a tenant within a limit that holds over
// the whole fleet.
//
// Each tenant has up to three owners among the daemons, in different data centres as far
// as possible. The Ledger of each owner keeps a token bucket with an equal part of the
// limit; the Wallet of each daemon requests tokens from the owners in turn and spends one
// per request. Tokens expire soon after they were requested, so that the requests of any
// window exceed the refill of the window only by those of one lifetime. View derives
// the owners, and the share of the rate that an owner may grant, from the members of
// the fleet that are alive.
//
// When an owner doesn't answer and the others refuse, a Wallet spends its part of a reserve that is taken
// out of the excess that the Policy allows.
//
// All instants must come from a clock that counts the time in which the machine is
// suspended. The state machines do no I/O and read no clock. They are not safe for
// concurrent use.
//
// # Usage
//
//	view := allowance.NewView(policy, self, seeds, now)
//	view.SetAlive(now, members)
//	ledger := allowance.NewLedger(policy, view, now)
//	wallet := allowance.NewWallet(policy, view, random, now)
//
//	decision := wallet.Take(now, "hats", allowance.NewLimit(43, 43))
//	if call := decision.Call(); call != nil {
//		// Send call to the ledger of call.Owner(), then:
//		wallet.HandleReply(now, call, reply) // or HandleFailure
//	}
//	if decision.Kind() == allowance.Pending {
//		// After the reply or at decision.WaitUntil():
//		decision = wallet.Resume(now, decision) // Pending again if the next owner is asked
//	}
//
// After a start, view.Inquiries names the owners that may confirm that the daemon was not
// replaced; their views answer with Standing.
package allowance

import "github.com/lovagegap/lovagegap/core/clock"

// Limit is the fleet-wide limit of a tenant: rate requests per second and a burst.
type Limit struct{ rate, burst float64 }

// NewLimit returns a limit. A burst below one counts as one, since a bucket that holds
// less than a token grants nothing.
func NewLimit(rate, burst float64) Limit { return Limit{rate: rate, burst: max(1, burst)} }

// Rate returns the requests per second.
func (l Limit) Rate() float64 { return l.rate }

// Burst returns the requests that may be sent at once.
func (l Limit) Burst() float64 { return l.burst }

// Policy bounds the requests of a tenant in any window of the given length by
// (rate * Window + burst) * (1 + Overshoot) + Slack.
type Policy struct {
	Window    clock.Millis
	Overshoot float64
	Slack     float64
}

// Division of the permitted excess, which is Slack and Overshoot * (rate * Window +
// burst). docs/design/allowances.md derives the bound from it.
const (
	lifetimeOvershootPart = 0.4  // tokens that were requested before the window
	capacitySlackPart     = 0.15 // tokens of several owners of a tenant beyond the burst
	startSlackPart        = 0.3  // tokens of the new owners of a tenant
	// continuedSlackPart is that of owners that were confirmed to continue a previous
	// process. It takes the place of two changes of the owners, less the start values of
	// daemons that did not yet see each other.
	continuedSlackPart   = 0.5
	reserveSlackPart     = 0.25 // requests without an answer of the owner, in a window
	reserveOvershootPart = 0.1
	// minLifetime covers the round trip of a call where Overshoot is zero.
	minLifetime = 20 * clock.Millisecond
)

// Bound returns the number of requests that are permitted in any window.
func (p Policy) Bound(limit Limit) float64 {
	return (limit.rate*float64(p.Window/clock.Second)+limit.burst)*(1+p.Overshoot) + p.Slack
}

// Lifetime returns the time after its request for which a token is valid.
func (p Policy) Lifetime() clock.Millis {
	return max(minLifetime, p.Window*clock.Millis(p.Overshoot*lifetimeOvershootPart))
}

// maxParts is the number of owners of a tenant: after the loss of one, two thirds of the
// limit are left, which is more than tenants usually need.
const maxParts = 3

// parts returns the largest number of owners of a tenant, which is one where the slack
// doesn't permit that several hold more than the burst, see capacity.
func (p Policy) parts() int {
	if maxParts <= p.Slack*capacitySlackPart {
		return maxParts
	}
	return 1
}

// capacity returns the tokens that all owners of a tenant hold at most. Each of several
// owners must be able to hold a whole token beside a part of one that it can't grant yet.
func capacity(limit Limit, owners float64) float64 {
	if owners <= 1 {
		return limit.burst
	}
	return limit.burst + owners
}

// start returns the tokens in the bucket of one of the owners of a tenant, which are new
// or continue a previous process.
func (p Policy) start(limit Limit, owners float64, continued bool) float64 {
	slackPart := startSlackPart
	if continued {
		slackPart = continuedSlackPart
	}
	return min(capacity(limit, owners), p.Slack*slackPart) / owners
}

// reserve returns the requests that all daemons together may send in a window without
// an answer of the owners.
func (p Policy) reserve(limit Limit) int {
	nominal := limit.rate*float64(p.Window/clock.Second) + limit.burst
	return int(p.Slack*reserveSlackPart + nominal*p.Overshoot*reserveOvershootPart)
}
