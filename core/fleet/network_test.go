package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// fault is a broken decision that a checker must catch.
type fault int

const (
	none fault = iota
	noRetry
	noRepair
	appliesAnything
)

// network runs many daemons in one process over links in memory. Every
// message passes through its wire form. Time moves from event to event.
type network struct {
	now     clock.Millis
	rng     *rand.Rand
	queue   events
	order   uint64
	daemons map[fleet.ID]*daemon
	ids     []fleet.ID
	conns   map[[2]fleet.ID]uint64
	nextID  uint64
	delay   clock.Millis
	loss    float64
	side    map[fleet.ID]int // sides of a partition; daemons on different sides do not reach each other
	down    map[fleet.ID]bool
	blocked map[[2]fleet.ID]bool // pairs that do not reach each other
	store   platform
	fault   fault

	messages, bytes, dials uint64
	failures               []string
}

type daemon struct {
	id      fleet.ID
	m       *fleet.Membership
	r       *rollout.Rollout
	rng     *rand.Rand
	paused  clock.Millis
	dialNo  map[fleet.ID]uint64
	applied rollout.Document
	inForce map[uint64]clock.Millis
	settled []rollout.Action
}

type event struct {
	at    clock.Millis
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newNetwork(seed uint64) *network {
	return &network{
		now: 1000, rng: rand.New(rand.NewPCG(seed, 1)), delay: 1,
		daemons: make(map[fleet.ID]*daemon), conns: make(map[[2]fleet.ID]uint64),
		side: make(map[fleet.ID]int), down: make(map[fleet.ID]bool), blocked: make(map[[2]fleet.ID]bool),
	}
}

func (n *network) after(span clock.Millis, run func()) {
	n.order++
	heap.Push(&n.queue, event{at: n.now + span, order: n.order, run: run})
}

func (n *network) run(span clock.Millis) {
	until := n.now + span
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = until
}

func name(i int) fleet.ID      { return fleet.ID(fmt.Sprintf("10.%d.%d.%d:7200", i>>16, i>>8&255, i&255)) }
func centreOf(i, n int) string { return fmt.Sprintf("centre-%d", i%n) }

// start starts the daemon with the given number, or replaces it.
func (n *network) start(i, centres int) *daemon {
	id := name(i)
	n.nextID++
	rng := rand.New(rand.NewPCG(n.nextID, uint64(i)))
	self := fleet.NewMember(id, "callers-"+string(id), centreOf(i, centres), "region", uint64(n.now))
	d := &daemon{
		id: id, rng: rng, m: fleet.New(self, rng, nil), r: rollout.New(id, self.DataCentre(), rng, nil),
		dialNo: make(map[fleet.ID]uint64), inForce: make(map[uint64]clock.Millis),
	}
	if n.daemons[id] == nil {
		n.ids = append(n.ids, id)
	}
	n.daemons[id] = d
	delete(n.down, id)
	n.tick(d, clock.Millis(rng.Float64())*fleet.TickInterval)
	n.after(500, func() { n.perform(d, d.m.Ready(n.now)) })
	return d
}

// fleetOf starts a fleet, lists it and lets it settle.
func fleetOf(seed uint64, size, centres int, settle clock.Millis) *network {
	n := newNetwork(seed)
	var vms []fleet.VM
	for i := range size {
		vms = append(vms, fleet.NewVM(name(i), "callers-"+string(name(i)), centreOf(i, centres), "region", false))
	}
	for i := range size {
		n.after(clock.Millis(i)*5, func() { n.perform(n.start(i, centres), n.daemons[name(i)].m.Seed(n.now, vms)) })
	}
	n.run(settle + clock.Millis(size)*5)
	return n
}

func (n *network) current(d *daemon) bool { return n.daemons[d.id] == d && !n.down[d.id] }

func (n *network) tick(d *daemon, in clock.Millis) {
	n.after(in, func() {
		if !n.current(d) {
			return
		}
		if d.paused > n.now {
			n.tick(d, d.paused-n.now)
			return
		}
		n.perform(d, d.m.Tick(n.now))
		n.settingsActions(d, d.r.Tick(n.now))
		n.tick(d, fleet.TickInterval)
	})
}

func pair(a, b fleet.ID) [2]fleet.ID {
	if a > b {
		a, b = b, a
	}
	return [2]fleet.ID{a, b}
}

func (n *network) reach(a, b fleet.ID) bool {
	return n.side[a] == n.side[b] && !n.blocked[pair(a, b)] && !n.down[a] && !n.down[b] && n.daemons[b] != nil
}

// kill ends a daemon. Peers of a killed process see their links close; those
// of a lost VM see nothing.
func (n *network) kill(id fleet.ID, silent bool) {
	n.down[id] = true
	for _, other := range n.ids {
		if _, open := n.conns[pair(id, other)]; open && other != id {
			delete(n.conns, pair(id, other))
			if !silent {
				n.broken(other, id)
			}
		}
	}
}

func (n *network) broken(at, peer fleet.ID) {
	d := n.daemons[at]
	n.deliver(d, func() {
		if _, open := n.conns[pair(at, peer)]; !open {
			n.settingsActions(d, d.r.LinkDown(n.now, peer))
			n.perform(d, d.m.LinkDown(n.now, peer))
		}
	})
}

// deliver runs an input of d after the delay, or after its pause.
func (n *network) deliver(d *daemon, input func()) {
	var attempt func()
	attempt = func() {
		if !n.current(d) {
			return
		}
		if d.paused > n.now {
			n.after(d.paused-n.now, attempt)
			return
		}
		input()
	}
	n.after(n.delay, attempt)
}

func (n *network) perform(d *daemon, actions []fleet.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case fleet.Send:
			n.send(d, a.Peer(), a.Message())
		case fleet.Dial:
			if m, _ := d.m.Member(a.Peer()); n.fault != noRetry || m.State() != fleet.Dead {
				n.dial(d, a.Peer())
			}
		case fleet.Hangup:
			n.hangup(d, a.Peer())
		case fleet.MembersChanged:
			n.settingsActions(d, d.r.SetMembers(n.now, d.m.Members()))
		case fleet.SettingsReported:
			if n.fault != noRepair {
				n.settingsActions(d, d.r.Seen(n.now, a.Peer(), a.SettingsVersion()))
			}
		}
	}
}

func (n *network) dial(d *daemon, to fleet.ID) {
	n.dials++
	d.dialNo[to]++
	number := d.dialNo[to]
	n.after(2*n.delay, func() {
		target := n.daemons[to]
		if !n.current(d) || d.dialNo[to] != number || target == nil || !n.reach(d.id, to) || target.paused > n.now {
			return
		}
		if _, open := n.conns[pair(d.id, to)]; open {
			return
		}
		n.nextID++
		n.conns[pair(d.id, to)] = n.nextID
		for _, end := range [][2]*daemon{{d, target}, {target, d}} {
			n.settingsActions(end[0], end[0].r.LinkUp(n.now, end[1].id))
			n.perform(end[0], end[0].m.LinkUp(n.now, end[1].id))
		}
	})
}

func (n *network) hangup(d *daemon, peer fleet.ID) {
	d.dialNo[peer]++
	if _, open := n.conns[pair(d.id, peer)]; open {
		delete(n.conns, pair(d.id, peer))
		if n.reach(d.id, peer) {
			n.broken(peer, d.id)
		}
	}
	n.settingsActions(d, d.r.LinkDown(n.now, peer))
}

func (n *network) send(d *daemon, to fleet.ID, message fleet.Message) {
	conn, open := n.conns[pair(d.id, to)]
	if !open {
		return
	}
	data, err := encode(d.m.Self(), message)
	if err != nil {
		n.fail("encode: %v", err)
		return
	}
	n.messages++
	// 48 bytes for the headers of WebSocket, TCP and IP.
	n.bytes += uint64(len(data)) + 48
	if !n.reach(d.id, to) || n.rng.Float64() < n.loss {
		return
	}
	target := n.daemons[to]
	n.deliver(target, func() {
		if n.conns[pair(d.id, to)] == conn {
			n.receive(target, data)
		}
	})
}

func encode(from fleet.Member, message fleet.Message) ([]byte, error) {
	switch message.(type) {
	case rollout.Offer, rollout.Pull, rollout.Chunk:
		return rollout.Encode(from, message)
	default:
		return fleet.Encode(from, message)
	}
}

func (n *network) receive(d *daemon, data []byte) {
	e, err := fleet.DecodeEnvelope(data)
	if err != nil {
		n.fail("open: %v", err)
		return
	}
	switch e.Kind() {
	case rollout.KindOffer, rollout.KindPull, rollout.KindDocument:
		message, err := rollout.Decode(e)
		if err != nil {
			n.fail("decode: %v", err)
			return
		}
		n.settingsActions(d, d.r.Receive(n.now, e.From(), message))
		if chunk, ok := message.(rollout.Chunk); ok && n.fault == appliesAnything {
			n.apply(d, rollout.NewDocument(chunk.Settings().Revision()-1, "broken", nil))
		}
	default:
		message, err := fleet.Decode(e)
		if err != nil {
			n.fail("decode: %v", err)
			return
		}
		n.perform(d, d.m.Receive(n.now, e.From(), message))
	}
}

func (n *network) settingsActions(d *daemon, actions []rollout.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case rollout.Send:
			n.send(d, a.Peer(), a.Message())
		case rollout.InForce:
			n.apply(d, a.Document())
			d.m.SetSettingsVersion(d.r.Settings())
		case rollout.Settled:
			d.settled = append(d.settled, a)
		default:
			n.store.call(n, d, a)
		}
	}
}

// apply checks that settings never go back.
func (n *network) apply(d *daemon, document rollout.Document) {
	if document.Revision() < d.applied.Revision() {
		n.fail("%s reverted from revision %d to %d", d.id, d.applied.Revision(), document.Revision())
	}
	d.applied = document
	if _, seen := d.inForce[document.Revision()]; !seen {
		d.inForce[document.Revision()] = n.now
	}
}

func (n *network) fail(format string, args ...any) {
	if len(n.failures) < 20 {
		n.failures = append(n.failures, fmt.Sprintf("at %.0f: ", float64(n.now))+fmt.Sprintf(format, args...))
	}
}

// checkViews fails for every daemon that does not hold exactly the running
// daemons for alive.
func (n *network) checkViews() {
	running := 0
	for _, id := range n.ids {
		if !n.down[id] {
			running++
		}
	}
	for _, id := range n.ids {
		d := n.daemons[id]
		if n.down[id] {
			continue
		}
		if d.m.AliveCount() != running {
			n.fail("%s counts %d alive of %d", id, d.m.AliveCount(), running)
		}
		for _, m := range d.m.Members() {
			if !n.down[m.ID()] && !m.Alive() {
				n.fail("%s holds running %s for %s", id, m.ID(), m.State())
			}
		}
	}
}

// checkSettings fails for every running daemon without the document.
func (n *network) checkSettings(revision uint64, change string) {
	for _, id := range n.ids {
		d := n.daemons[id]
		if !n.down[id] && (d.applied.Revision() != revision || d.applied.Change() != change) {
			n.fail("%s has revision %d, change %q in force, not %d, %q", id, d.applied.Revision(), d.applied.Change(), revision, change)
		}
	}
}

// platform is the key-value service with one key.
type platform struct {
	down        bool
	loseReply   bool
	downAfter   bool // goes down right after it accepted a write
	document    rollout.Document
	token       uint64
	tokens      uint64
	watchers    []watching
	calls       int
	killWriter  bool // the writer dies before it learns that its write was accepted
	acceptedAt  clock.Millis
	unavailable func(fleet.ID) bool
}

type watching struct {
	d    *daemon
	call uint64
}

func (p *platform) call(n *network, d *daemon, a rollout.Action) {
	if a.Kind() == rollout.Unwatch {
		return
	}
	p.calls++
	n.after(n.delay, func() {
		if p.down || (p.unavailable != nil && p.unavailable(d.id)) {
			p.answer(n, d, rollout.NewEvent(rollout.Failed, a.Call(), 0, rollout.Document{}))
			return
		}
		switch a.Kind() {
		case rollout.Read:
			p.answer(n, d, rollout.NewEvent(rollout.Value, a.Call(), p.token, p.document))
		case rollout.Watch:
			p.watch(n, d, a)
		case rollout.CompareAndSwap:
			p.write(n, d, a)
		}
	})
}

func (p *platform) watch(n *network, d *daemon, a rollout.Action) {
	if a.Token() != p.token {
		p.answer(n, d, rollout.NewEvent(rollout.Value, a.Call(), p.token, p.document))
		return
	}
	w := watching{d: d, call: a.Call()}
	p.watchers = append(p.watchers, w)
	n.after(rollout.WatchTime, func() {
		for i, other := range p.watchers {
			if other == w {
				p.watchers = append(p.watchers[:i:i], p.watchers[i+1:]...)
				p.answer(n, d, rollout.NewEvent(rollout.Unchanged, a.Call(), p.token, rollout.Document{}))
				return
			}
		}
	})
}

func (p *platform) write(n *network, d *daemon, a rollout.Action) {
	if a.Token() != p.token {
		p.answer(n, d, rollout.NewEvent(rollout.Conflicting, a.Call(), p.token, p.document))
		return
	}
	p.set(n, a.Document())
	p.acceptedAt = n.now
	if p.killWriter {
		p.killWriter = false
		n.kill(d.id, false)
	}
	kind := rollout.Written
	if p.loseReply {
		kind, p.loseReply = rollout.Failed, false
	}
	p.answer(n, d, rollout.NewEvent(kind, a.Call(), p.token, rollout.Document{}))
	if p.downAfter {
		p.fall(n)
	}
}

// set stores a document and answers the pending watches.
func (p *platform) set(n *network, document rollout.Document) {
	p.tokens++
	p.token, p.document = p.tokens, document
	if p.downAfter {
		return
	}
	for _, w := range p.watchers {
		p.answer(n, w.d, rollout.NewEvent(rollout.Value, w.call, p.token, document))
	}
	p.watchers = nil
}

// fall ends all pending watches with an error.
func (p *platform) fall(n *network) {
	p.down, p.downAfter = true, false
	for _, w := range p.watchers {
		p.answer(n, w.d, rollout.NewEvent(rollout.Failed, w.call, 0, rollout.Document{}))
	}
	p.watchers = nil
}

func (p *platform) answer(n *network, d *daemon, e rollout.Event) {
	n.deliver(d, func() { n.settingsActions(d, d.r.Platform(n.now, e)) })
}
