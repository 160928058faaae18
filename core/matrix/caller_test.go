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

// request is a request of a caller, which may be sent several times.
type request struct {
	id            string
	sendNumber    int // starts at 1 and is raised when the request is sent again
	body          string
	nonIdempotent bool
	ticket        string       // of a non-idempotent request
	timeout       clock.Millis // from the sending to the deadline
	slow          string       // "all": slow at every shard; "shard": slow once at shard 0
	slowedCount   *int         // times that the request was slow, with slow "shard"
}

// reply is what a caller received for one sending of a request.
type reply struct {
	kind             string // "answer", "refusal", or "broken" for a broken connection
	id               string
	runState         query.RunState
	version          uint64
	coverageKnown    bool
	total            int            // shards
	covered          int            // shards
	missing          []int          // shards
	parts            map[int]string // data by shard
	settingsRevision uint64
}

// call is one sending of a request with all replies to it.
type call struct {
	request      request
	callerCentre string // data centre
	daemon       *daemon
	sentAt       clock.Millis

	replied    bool // the daemon has sent its reply
	replies    []reply
	receivedAt clock.Millis // of the first reply, or 0
}

// caller is a client that sends requests only to the daemons that it was advised
// to use.
type caller struct {
	number            int
	centre            string
	address           string   // configured address, with which the caller starts
	addresses         []string // from the latest advice
	addressesExpireAt clock.Millis
	resolving         bool // a request for addresses is pending
	waitsForReply     bool // has no addressTimeout
	resolveRound      int  // raised with each request and accepted reply, to ignore late replies
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

// sendSteadily sends queries at a steady rate until the end of the run.
func (w *world) sendSteadily(c *caller) {
	w.sendQuery(c)
	w.schedule(240+clock.Millis(w.rng.IntN(20)), func() { w.sendSteadily(c) })
}

// sendBursts sends a burst of queries every burstInterval until the end of the run.
// All callers send their bursts at the same time.
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
	r := request{
		id: fmt.Sprintf("c%d-%d", c.number, c.requestCount), sendNumber: 1, timeout: queryTimeout,
		nonIdempotent: c.requestCount%4 == 0,
	}
	r.body = r.id
	w.sendRequest(c, d, r)
}

// chooseDaemon returns a daemon that the caller is advised to use. If the advice
// has expired, it starts to renew the addresses and returns nil.
func (w *world) chooseDaemon(c *caller) *daemon {
	if w.now >= c.addressesExpireAt {
		w.renewAddresses(c)
		return nil
	}
	return w.daemonByAddress(c.addresses[c.requestCount%len(c.addresses)])
}

// renewAddresses asks the daemons that the caller knows for addresses, one after
// the other. It goes on to the next one after addressTimeout, unless the caller
// waits for each reply.
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

// requestAddresses asks the first of the known daemons for addresses, and the
// others if it cannot advise.
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

// advise returns the addresses for a caller, or no addresses if d is not serving or
// cannot trust its member list.
func (d *daemon) advise(c *caller) fleet.Advice {
	if !d.serving || (!d.members.Trustworthy(d.w.now) && d.w.wrongDecision != "stale advice") {
		return fleet.Advice{}
	}
	advice := d.addresses.Advise(c.centre, c.address, d.rng)
	if slices.Contains(advice.Addresses(), d.address()) {
		d.drain.RecordAdvice(d.w.now + advice.Lifetime())
	}
	return advice
}

// sendRequest sends a request, and gets a ticket for it first if it is
// non-idempotent. Some non-idempotent requests are sent again before a reply, to
// the same daemon and to another one, as by a caller that retries too early.
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
		second := r
		second.sendNumber = 2
		w.schedule(clock.Millis(w.rng.IntN(60)), func() { w.sendIfAdvised(c, d, second) })
		third := r
		third.sendNumber = 3
		w.schedule(100, func() { w.sendIfAdvised(c, w.daemons[(d.number+1)%len(w.daemons)], third) })
	}
}

// sendIfAdvised sends a request to d if the caller's advice is valid and contains d.
func (w *world) sendIfAdvised(c *caller, d *daemon, r request) {
	if w.now < c.addressesExpireAt && slices.Contains(c.addresses, d.address()) {
		w.sendCall(c.centre, d, r)
	}
}

// sendCall sends a request from a data centre and records the call. The connection
// breaks if d has stopped as planned; it stays silent if d is down otherwise or cut
// off.
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

// breakCallerConnections breaks the connections of callers that wait for a reply of
// a daemon whose process ended. If its VM is lost, callers see nothing.
func (w *world) breakCallerConnections(d *daemon, vmLost bool) {
	for _, k := range w.calls {
		if k.daemon == d && !k.replied && k.receivedAt == 0 && !vmLost && w.now-k.sentAt < 20*clock.Second {
			w.receiveReply(k, reply{kind: "broken"})
		}
	}
}
