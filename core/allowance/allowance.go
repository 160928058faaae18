// Package allowance keeps the requests of a tenant within a limit that holds over
// the whole fleet.
//
// Each tenant has an owner among the daemons. The Ledger of the owner keeps a token
// bucket; the Wallet of each daemon requests tokens from the owner and spends one per
// request. Tokens expire soon after they were requested, so that the requests of any
// window exceed the refill of the window only by those of one lifetime. View derives
// the owners, and the share of the rate that an owner may grant, from the members of
// the fleet that are alive.
//
// When the owner doesn't answer, a Wallet spends its part of a reserve that is taken
// out of the excess that the Policy allows.
//
// All instants must come from a clock that counts the time in which the machine is
// suspended. The state machines do no I/O and read no clock. They are not safe for
// concurrent use.
//
// # Usage
//
//	view := allowance.NewView(self, seeds, now)
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
//		// After the reply or the end of the time to wait:
//		decision = wallet.Resume(now, decision)
//	}
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
	startSlackPart        = 0.35 // tokens of one new owner
	reserveSlackPart      = 0.25 // requests without an answer of the owner, in a window
	reserveOvershootPart  = 0.1
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

// start returns the tokens in the bucket of a new owner.
func (p Policy) start(limit Limit) float64 { return min(limit.burst, p.Slack*startSlackPart) }

// reserve returns the requests that all daemons together may send in a window without
// an answer of the owner.
func (p Policy) reserve(limit Limit) int {
	nominal := limit.rate*float64(p.Window/clock.Second) + limit.burst
	return int(p.Slack*reserveSlackPart + nominal*p.Overshoot*reserveOvershootPart)
}
