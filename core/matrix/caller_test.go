package matrix_test

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/query"
)

// addressTimeout is the time after which most callers ask another daemon for
// addresses.
const addressTimeout = 500 * clock.Millisecond

// request is what a caller asks for.
type request struct {
	id            string
	sendNumber    int
	body          string
	nonIdempotent bool // non-idempotent
	ticket        string
	timeout       clock.Millis // span
	slow          string
	slowedCount   *int
}

// reply is what a caller received for one sending.
type reply struct {
	kind             string // answer, refusal, broken
	id               string
	runState         query.RunState
	version          uint64
	coverageKnown    bool
	total            int
	covered          int
	missing          []int
	parts            map[int]string
	settingsRevision uint64
}

// call is one sending of a request with everything that came back.
type call struct {
	request      request
	callerCentre string // data centre of the caller
	daemon       *daemon
	sentAt       clock.Millis

	replied    bool // the daemon has sent its reply
	replies    []reply
	receivedAt clock.Millis
}

// caller is a program that follows the advice of the daemons.
type caller struct {
	number            int
	centre            string
	address           string
	addresses         []string
	addressesExpireAt clock.Millis
	resolving         bool // for addresses
	waitsForReply     bool // waits for addresses as long as it takes
	resolveRound      int  // counts questions and replies, so that late replies are known
	requestCount      int
}

func (w *world) daemonByAddress(address string) *daemon {
	for _, d := range w.daemons {
		if d.address() == address {
			return d
		}
	}
	return nil
}

// sendSteadily sends requests at a steady rate, and a burst twice a second, which
// all callers send at once, as long as the run lasts.
func (w *world) sendSteadily(c *caller) {
	w.sendQuery(c)
	w.schedule(240+clock.Millis(w.rng.IntN(20)), func() { w.sendSteadily(c) })
}

func (w *world) sendBursts(c *caller) {
	for range burstSize {
		w.schedule(clock.Millis(w.rng.Float64()*2), func() { w.sendQuery(c) })
	}
	w.schedule(burstInterval, func() { w.sendBursts(c) })
}

func (w *world) sendQuery(c *caller) {
	c.requestCount++
	d := w.chooseDaemon(c)
	if d == nil {
		return
	}
	r := request{id: fmt.Sprintf("c%d-%d", c.number, c.requestCount), sendNumber: 1, timeout: queryTimeout, nonIdempotent: c.requestCount%4 == 0}
	r.body = r.id
	w.sendRequest(c, d, r)
}

// chooseDaemon returns a daemon that the caller may use, or nil while it has no
// address that has not expired.
func (w *world) chooseDaemon(c *caller) *daemon {
	if w.now >= c.addressesExpireAt {
		w.renewAddresses(c)
		return nil
	}
	return w.daemonByAddress(c.addresses[c.requestCount%len(c.addresses)])
}

// renewAddresses asks the daemons that the caller knows for addresses, one after the
// other. A patient caller waits for the reply; the others ask the next one.
func (w *world) renewAddresses(c *caller) {
	if c.resolving {
		return
	}
	c.resolving = true
	known := append(slices.Clone(c.addresses), c.address)
	for _, d := range w.daemons {
		known = append(known, d.address())
	}
	w.requestAddresses(c, known)
}

func (w *world) requestAddresses(c *caller, known []string) {
	if len(known) == 0 {
		c.resolving = false
		return
	}
	d := w.daemonByAddress(known[0])
	c.resolveRound++
	round := c.resolveRound
	next := func() {
		if c.resolveRound == round {
			w.requestAddresses(c, known[1:])
		}
	}
	switch {
	case !w.centresConnected(c.centre, d.centre):
		w.schedule(addressTimeout, next)
		return
	case !d.up:
		w.schedule(1, next)
		return
	case !c.waitsForReply:
		w.schedule(addressTimeout, next)
	}
	w.deliver(d, latency(c.centre, d.centre), func() {
		advice := d.advise(c)
		w.schedule(latency(c.centre, d.centre), func() {
			switch {
			case c.resolveRound != round:
			case len(advice.Addresses()) == 0:
				next()
			default:
				c.resolveRound++
				c.resolving = false
				c.addresses, c.addressesExpireAt = advice.Addresses(), w.now+advice.Lifetime()
			}
		})
	})
}

// advise answers a caller that asks for addresses.
func (d *daemon) advise(c *caller) fleet.Advice {
	if !d.serving || (!d.members.Trustworthy(d.w.now) && d.w.wrongDecision != "stale advice") {
		return fleet.Advice{}
	}
	advice := d.addresses.Advise(c.centre, c.address, d.rng)
	if slices.Contains(advice.Addresses(), d.address()) {
		d.drain.Advised(d.w.now + advice.Lifetime())
	}
	return advice
}

// sendRequest sends a request, with a ticket first if it is not idempotent. Some
// non-idempotent requests are sent twice, as by a caller that lost patience.
func (w *world) sendRequest(c *caller, d *daemon, r request) {
	if !r.nonIdempotent {
		w.sendCall(c.centre, d, r)
		return
	}
	if !d.up || d.pausedUntil > w.now || d.refusesRequests() || !w.centresConnected(c.centre, d.centre) {
		return
	}
	t, err := d.issuer.Issue(w.now)
	if err != nil {
		return
	}
	r.ticket = t.Text()
	w.sendCall(c.centre, d, r)
	if c.requestCount%8 == 0 {
		again := r
		again.sendNumber = 2
		w.schedule(clock.Millis(w.rng.IntN(60)), func() { w.sendIfAdvised(c, d, again) })
		third := r
		third.sendNumber = 3
		w.schedule(100, func() { w.sendIfAdvised(c, w.daemons[(d.number+1)%len(w.daemons)], third) })
	}
}

// sendIfAdvised sends to d if the caller's advice still names it.
func (w *world) sendIfAdvised(c *caller, d *daemon, r request) {
	if w.now < c.addressesExpireAt && slices.Contains(c.addresses, d.address()) {
		w.sendCall(c.centre, d, r)
	}
}

// sendCall sends one request and records what comes back.
func (w *world) sendCall(centre string, d *daemon, r request) {
	k := &call{request: r, callerCentre: centre, daemon: d, sentAt: w.now}
	w.calls = append(w.calls, k)
	if !w.centresConnected(centre, d.centre) {
		return
	}
	if !d.up {
		if d.stoppedAt > 0 {
			w.schedule(2*latency(centre, d.centre), func() { w.receiveReply(k, reply{kind: "broken"}) })
		}
		return
	}
	w.deliver(d, latency(centre, d.centre), func() { d.handleRequest(k) })
}

func (w *world) receiveReply(k *call, r reply) {
	k.replies = append(k.replies, r)
	if k.receivedAt == 0 {
		k.receivedAt = w.now
	}
}

// breakCallerConnections ends the connections of the callers of a daemon that ended.
func (w *world) breakCallerConnections(d *daemon, vmLost bool) {
	for _, k := range w.calls {
		if k.daemon == d && !k.replied && k.receivedAt == 0 && !vmLost && w.now-k.sentAt < 20*clock.Second {
			w.receiveReply(k, reply{kind: "broken"})
		}
	}
}
