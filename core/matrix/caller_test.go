package matrix_test

import (
	"fmt"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/query"
)

// patience is the time after which most callers ask another daemon for
// addresses.
const patience = 500 * clock.Millisecond

// request is what a caller asks for.
type request struct {
	id       string
	send     int
	body     string
	once     bool // non-idempotent
	ticket   string
	deadline clock.Millis // span
	slow     string
	slowed   *int
}

// reply is what a caller received for one sending.
type reply struct {
	kind     string // answer, refusal, broken
	id       string
	ran      query.RunState
	version  uint64
	known    bool
	asked    int
	covered  int
	missing  []int
	parts    map[int]string
	revision uint64
}

// call is one sending of a request with everything that came back.
type call struct {
	request request
	from    string // data centre of the caller
	daemon  *daemon
	at      clock.Millis

	written bool // the daemon has sent its reply
	replies []reply
	got     clock.Millis
}

// caller is a program that follows the advice of the daemons.
type caller struct {
	number  int
	centre  string
	address string
	held    []string
	expires clock.Millis
	asking  bool // for addresses
	patient bool // waits for addresses as long as it takes
	round   int  // counts questions and replies, so that late replies are known
	count   int
}

func (w *world) byAddress(address string) *daemon {
	for _, d := range w.daemons {
		if d.address() == address {
			return d
		}
	}
	return nil
}

// traffic sends requests at a steady rate, and a burst twice a second, which
// all callers send at once, as long as the run lasts.
func (w *world) traffic(c *caller) {
	w.query(c)
	w.after(240+clock.Millis(w.rng.IntN(20)), func() { w.traffic(c) })
}

func (w *world) burst(c *caller) {
	for range burstSize {
		w.after(clock.Millis(w.rng.Float64()*2), func() { w.query(c) })
	}
	w.after(burstInterval, func() { w.burst(c) })
}

func (w *world) query(c *caller) {
	c.count++
	d := w.target(c)
	if d == nil {
		return
	}
	r := request{id: fmt.Sprintf("c%d-%d", c.number, c.count), send: 1, deadline: queryTime, once: c.count%4 == 0}
	r.body = r.id
	w.ask(c, d, r)
}

// target returns a daemon that the caller may use, or nil while it has no
// address that has not expired.
func (w *world) target(c *caller) *daemon {
	if w.now >= c.expires {
		w.renew(c)
		return nil
	}
	return w.byAddress(c.held[c.count%len(c.held)])
}

// renew asks the daemons that the caller knows for addresses, one after the
// other. A patient caller waits for the reply; the others ask the next one.
func (w *world) renew(c *caller) {
	if c.asking {
		return
	}
	c.asking = true
	known := append(slices.Clone(c.held), c.address)
	for _, d := range w.daemons {
		known = append(known, d.address())
	}
	w.askAddresses(c, known)
}

func (w *world) askAddresses(c *caller, known []string) {
	if len(known) == 0 {
		c.asking = false
		return
	}
	d := w.byAddress(known[0])
	c.round++
	round := c.round
	next := func() {
		if c.round == round {
			w.askAddresses(c, known[1:])
		}
	}
	switch {
	case !w.joined(c.centre, d.centre):
		w.after(patience, next)
		return
	case !d.up:
		w.after(1, next)
		return
	case !c.patient:
		w.after(patience, next)
	}
	w.deliver(d, latency(c.centre, d.centre), func() {
		advice := d.advise(c)
		w.after(latency(c.centre, d.centre), func() {
			switch {
			case c.round != round:
			case len(advice.Addresses()) == 0:
				next()
			default:
				c.round++
				c.asking = false
				c.held, c.expires = advice.Addresses(), w.now+advice.Lifetime()
			}
		})
	})
}

// advise answers a caller that asks for addresses.
func (d *daemon) advise(c *caller) fleet.Advice {
	if !d.serving || (!d.members.Trustworthy(d.w.now) && d.w.broken != "stale advice") {
		return fleet.Advice{}
	}
	advice := d.addresses.Advise(c.centre, c.address, d.rng)
	if slices.Contains(advice.Addresses(), d.address()) {
		d.drain.RecordAdvice(d.w.now + advice.Lifetime())
	}
	return advice
}

// ask sends a request, with a ticket first if it is not idempotent. Some
// non-idempotent requests are sent twice, as by a caller that lost patience.
func (w *world) ask(c *caller, d *daemon, r request) {
	if !r.once {
		w.sendCall(c.centre, d, r)
		return
	}
	if !d.up || d.paused > w.now || d.refuses() || !w.joined(c.centre, d.centre) {
		return
	}
	t, err := d.issuer.Issue(w.now)
	if err != nil {
		return
	}
	r.ticket = t.Text()
	w.sendCall(c.centre, d, r)
	if c.count%8 == 0 {
		again := r
		again.send = 2
		w.after(clock.Millis(w.rng.IntN(60)), func() { w.sendAdvised(c, d, again) })
		third := r
		third.send = 3
		w.after(100, func() { w.sendAdvised(c, w.daemons[(d.number+1)%len(w.daemons)], third) })
	}
}

// sendAdvised sends to d if the caller's advice still names it.
func (w *world) sendAdvised(c *caller, d *daemon, r request) {
	if w.now < c.expires && slices.Contains(c.held, d.address()) {
		w.sendCall(c.centre, d, r)
	}
}

// sendCall sends one request and records what comes back.
func (w *world) sendCall(centre string, d *daemon, r request) {
	k := &call{request: r, from: centre, daemon: d, at: w.now}
	w.calls = append(w.calls, k)
	if !w.joined(centre, d.centre) {
		return
	}
	if !d.up {
		if d.stopped > 0 {
			w.after(2*latency(centre, d.centre), func() { w.receive(k, reply{kind: "broken"}) })
		}
		return
	}
	w.deliver(d, latency(centre, d.centre), func() { d.accept(k) })
}

func (w *world) receive(k *call, r reply) {
	k.replies = append(k.replies, r)
	if k.got == 0 {
		k.got = w.now
	}
}

// breakCalls ends the connections of the callers of a daemon that ended.
func (w *world) breakCalls(d *daemon, silent bool) {
	for _, k := range w.calls {
		if k.daemon == d && !k.written && k.got == 0 && !silent && w.now-k.at < 20*clock.Second {
			w.receive(k, reply{kind: "broken"})
		}
	}
}
