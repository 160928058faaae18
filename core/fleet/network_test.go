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
	noFault fault = iota
	neverReconnects
	ignoresReportedSettings
	appliesAnything
)

// network runs many daemons in one process over links in memory. Every
// message passes through its wire form. Time moves from event to event.
type network struct {
	now             clock.Millis
	rng             *rand.Rand
	queue           events
	eventOrder      uint64
	daemons         map[fleet.ID]*daemon
	ids             []fleet.ID
	links           map[[2]fleet.ID]uint64
	lastID          uint64
	oneWayDelay     clock.Millis
	lossProbability float64
	partitionSide   map[fleet.ID]int // sides of a partition; daemons on different sides do not reach each other
	down            map[fleet.ID]bool
	blocked         map[[2]fleet.ID]bool // pairs that do not reach each other
	platform        platform
	fault           fault

	messagesSent, bytesSent, dialCount uint64
	failures                           []string
}

type daemon struct {
	id             fleet.ID
	membership     *fleet.Membership
	rollout        *rollout.Rollout
	rng            *rand.Rand
	pausedUntil    clock.Millis
	dialGeneration map[fleet.ID]uint64
	applied        rollout.Document
	inForceAt      map[uint64]clock.Millis
	settledActions []rollout.Action
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
		now: 1000, rng: rand.New(rand.NewPCG(seed, 1)), oneWayDelay: 1,
		daemons: make(map[fleet.ID]*daemon), links: make(map[[2]fleet.ID]uint64),
		partitionSide: make(map[fleet.ID]int), down: make(map[fleet.ID]bool), blocked: make(map[[2]fleet.ID]bool),
	}
}

func (n *network) schedule(span clock.Millis, run func()) {
	n.eventOrder++
	heap.Push(&n.queue, event{at: n.now + span, order: n.eventOrder, run: run})
}

func (n *network) advance(span clock.Millis) {
	until := n.now + span
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = until
}

func daemonID(i int) fleet.ID {
	return fleet.ID(fmt.Sprintf("10.%d.%d.%d:7200", i>>16, i>>8&255, i&255))
}
func dataCentreOf(i, dataCentres int) string { return fmt.Sprintf("centre-%d", i%dataCentres) }

// startDaemon starts the daemon with the given number, or replaces it.
func (n *network) startDaemon(i, dataCentres int) *daemon {
	id := daemonID(i)
	n.lastID++
	rng := rand.New(rand.NewPCG(n.lastID, uint64(i)))
	self := fleet.NewMember(id, "callers-"+string(id), dataCentreOf(i, dataCentres), "region", uint64(n.now))
	d := &daemon{
		id: id, rng: rng, membership: fleet.New(self, rng, nil), rollout: rollout.New(id, self.DataCentre(), rng, nil),
		dialGeneration: make(map[fleet.ID]uint64), inForceAt: make(map[uint64]clock.Millis),
	}
	if n.daemons[id] == nil {
		n.ids = append(n.ids, id)
	}
	n.daemons[id] = d
	delete(n.down, id)
	n.scheduleTick(d, clock.Millis(rng.Float64())*fleet.TickInterval)
	n.schedule(500, func() { n.perform(d, d.membership.Ready(n.now)) })
	return d
}

// startFleet starts a fleet, lists it and lets it settle.
func startFleet(seed uint64, size, dataCentres int, settle clock.Millis) *network {
	n := newNetwork(seed)
	var vms []fleet.VM
	for i := range size {
		vms = append(vms, fleet.NewVM(daemonID(i), "callers-"+string(daemonID(i)), dataCentreOf(i, dataCentres), "region", false))
	}
	for i := range size {
		n.schedule(clock.Millis(i)*5, func() { n.perform(n.startDaemon(i, dataCentres), n.daemons[daemonID(i)].membership.Seed(n.now, vms)) })
	}
	n.advance(settle + clock.Millis(size)*5)
	return n
}

func (n *network) isRunning(d *daemon) bool { return n.daemons[d.id] == d && !n.down[d.id] }

func (n *network) scheduleTick(d *daemon, delay clock.Millis) {
	n.schedule(delay, func() {
		if !n.isRunning(d) {
			return
		}
		if d.pausedUntil > n.now {
			n.scheduleTick(d, d.pausedUntil-n.now)
			return
		}
		n.perform(d, d.membership.Tick(n.now))
		n.performRollout(d, d.rollout.Tick(n.now))
		n.scheduleTick(d, fleet.TickInterval)
	})
}

func linkKey(a, b fleet.ID) [2]fleet.ID {
	if a > b {
		a, b = b, a
	}
	return [2]fleet.ID{a, b}
}

func (n *network) reachable(a, b fleet.ID) bool {
	return n.partitionSide[a] == n.partitionSide[b] && !n.blocked[linkKey(a, b)] && !n.down[a] && !n.down[b] && n.daemons[b] != nil
}

// kill ends a daemon. Peers of a killed process see their links close; those
// of a lost VM see nothing.
func (n *network) kill(id fleet.ID, silent bool) {
	n.down[id] = true
	for _, other := range n.ids {
		if _, open := n.links[linkKey(id, other)]; open && other != id {
			delete(n.links, linkKey(id, other))
			if !silent {
				n.reportLinkDown(other, id)
			}
		}
	}
}

func (n *network) reportLinkDown(at, peer fleet.ID) {
	d := n.daemons[at]
	n.deliver(d, func() {
		if _, open := n.links[linkKey(at, peer)]; !open {
			n.performRollout(d, d.rollout.LinkDown(n.now, peer))
			n.perform(d, d.membership.LinkDown(n.now, peer))
		}
	})
}

// deliver runs an input of d after the delay, or after its pause.
func (n *network) deliver(d *daemon, input func()) {
	var attempt func()
	attempt = func() {
		if !n.isRunning(d) {
			return
		}
		if d.pausedUntil > n.now {
			n.schedule(d.pausedUntil-n.now, attempt)
			return
		}
		input()
	}
	n.schedule(n.oneWayDelay, attempt)
}

func (n *network) perform(d *daemon, actions []fleet.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case fleet.Send:
			n.send(d, a.Peer(), a.Message())
		case fleet.Dial:
			if m, _ := d.membership.Member(a.Peer()); n.fault != neverReconnects || m.State() != fleet.Dead {
				n.dial(d, a.Peer())
			}
		case fleet.Hangup:
			n.hangup(d, a.Peer())
		case fleet.MembersChanged:
			n.performRollout(d, d.rollout.SetMembers(n.now, d.membership.Members()))
		case fleet.SettingsReported:
			if n.fault != ignoresReportedSettings {
				n.performRollout(d, d.rollout.Seen(n.now, a.Peer(), a.SettingsVersion()))
			}
		}
	}
}

func (n *network) dial(d *daemon, to fleet.ID) {
	n.dialCount++
	d.dialGeneration[to]++
	number := d.dialGeneration[to]
	n.schedule(2*n.oneWayDelay, func() {
		target := n.daemons[to]
		if !n.isRunning(d) || d.dialGeneration[to] != number || target == nil || !n.reachable(d.id, to) || target.pausedUntil > n.now {
			return
		}
		if _, open := n.links[linkKey(d.id, to)]; open {
			return
		}
		n.lastID++
		n.links[linkKey(d.id, to)] = n.lastID
		for _, end := range [][2]*daemon{{d, target}, {target, d}} {
			n.performRollout(end[0], end[0].rollout.LinkUp(n.now, end[1].id))
			n.perform(end[0], end[0].membership.LinkUp(n.now, end[1].id))
		}
	})
}

func (n *network) hangup(d *daemon, peer fleet.ID) {
	d.dialGeneration[peer]++
	if _, open := n.links[linkKey(d.id, peer)]; open {
		delete(n.links, linkKey(d.id, peer))
		if n.reachable(d.id, peer) {
			n.reportLinkDown(peer, d.id)
		}
	}
	n.performRollout(d, d.rollout.LinkDown(n.now, peer))
}

func (n *network) send(d *daemon, to fleet.ID, message fleet.Message) {
	conn, open := n.links[linkKey(d.id, to)]
	if !open {
		return
	}
	data, err := encode(d.membership.Self(), message)
	if err != nil {
		n.recordFailure("encode: %v", err)
		return
	}
	n.messagesSent++
	// 48 bytes for the headers of WebSocket, TCP and IP.
	n.bytesSent += uint64(len(data)) + 48
	if !n.reachable(d.id, to) || n.rng.Float64() < n.lossProbability {
		return
	}
	target := n.daemons[to]
	n.deliver(target, func() {
		if n.links[linkKey(d.id, to)] == conn {
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
		n.recordFailure("open: %v", err)
		return
	}
	switch e.Kind() {
	case rollout.KindOffer, rollout.KindPull, rollout.KindDocument:
		message, err := rollout.Decode(e)
		if err != nil {
			n.recordFailure("decode: %v", err)
			return
		}
		n.performRollout(d, d.rollout.Receive(n.now, e.From(), message))
		if chunk, ok := message.(rollout.Chunk); ok && n.fault == appliesAnything {
			n.apply(d, rollout.NewDocument(chunk.Settings().Revision()-1, "broken", nil))
		}
	default:
		message, err := fleet.Decode(e)
		if err != nil {
			n.recordFailure("decode: %v", err)
			return
		}
		n.perform(d, d.membership.Receive(n.now, e.From(), message))
	}
}

func (n *network) performRollout(d *daemon, actions []rollout.Action) {
	for _, a := range actions {
		switch a.Kind() {
		case rollout.Send:
			n.send(d, a.Peer(), a.Message())
		case rollout.InForce:
			n.apply(d, a.Document())
			d.membership.SetSettingsVersion(d.rollout.Settings())
		case rollout.Settled:
			d.settledActions = append(d.settledActions, a)
		default:
			n.platform.call(n, d, a)
		}
	}
}

// apply checks that settings never go back.
func (n *network) apply(d *daemon, document rollout.Document) {
	if document.Revision() < d.applied.Revision() {
		n.recordFailure("%s reverted from revision %d to %d", d.id, d.applied.Revision(), document.Revision())
	}
	d.applied = document
	if _, seen := d.inForceAt[document.Revision()]; !seen {
		d.inForceAt[document.Revision()] = n.now
	}
}

func (n *network) recordFailure(format string, args ...any) {
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
		if d.membership.AliveCount() != running {
			n.recordFailure("%s counts %d alive of %d", id, d.membership.AliveCount(), running)
		}
		for _, m := range d.membership.Members() {
			if !n.down[m.ID()] && !m.Alive() {
				n.recordFailure("%s holds running %s for %s", id, m.ID(), m.State())
			}
		}
	}
}

// checkSettings fails for every running daemon without the document.
func (n *network) checkSettings(revision uint64, change string) {
	for _, id := range n.ids {
		d := n.daemons[id]
		if !n.down[id] && (d.applied.Revision() != revision || d.applied.Change() != change) {
			n.recordFailure("%s has revision %d, change %q in force, not %d, %q", id, d.applied.Revision(), d.applied.Change(), revision, change)
		}
	}
}

// platform is the key-value service with one key.
type platform struct {
	down           bool
	loseReply      bool
	downAfterWrite bool // goes down right after it accepted a write
	document       rollout.Document
	token          uint64
	lastToken      uint64
	watchers       []pendingWatch
	calls          int
	killWriter     bool // the writer dies before it learns that its write was accepted
	acceptedAt     clock.Millis
	unavailable    func(fleet.ID) bool
}

type pendingWatch struct {
	d    *daemon
	call uint64
}

func (p *platform) call(n *network, d *daemon, a rollout.Action) {
	if a.Kind() == rollout.Unwatch {
		return
	}
	p.calls++
	n.schedule(n.oneWayDelay, func() {
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
	w := pendingWatch{d: d, call: a.Call()}
	p.watchers = append(p.watchers, w)
	n.schedule(rollout.WatchTime, func() {
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
	if p.downAfterWrite {
		p.goDown(n)
	}
}

// set stores a document and answers the pending watches.
func (p *platform) set(n *network, document rollout.Document) {
	p.lastToken++
	p.token, p.document = p.lastToken, document
	if p.downAfterWrite {
		return
	}
	for _, w := range p.watchers {
		p.answer(n, w.d, rollout.NewEvent(rollout.Value, w.call, p.token, document))
	}
	p.watchers = nil
}

// goDown ends all pending watches with an error.
func (p *platform) goDown(n *network) {
	p.down, p.downAfterWrite = true, false
	for _, w := range p.watchers {
		p.answer(n, w.d, rollout.NewEvent(rollout.Failed, w.call, 0, rollout.Document{}))
	}
	p.watchers = nil
}

func (p *platform) answer(n *network, d *daemon, e rollout.Event) {
	n.deliver(d, func() { n.performRollout(d, d.rollout.Platform(n.now, e)) })
}
