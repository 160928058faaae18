package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/rollout"
)

// fault is a wrong decision injected into the daemons, which a check must detect.
type fault int

const (
	noFault fault = iota
	neverReconnects
	ignoresReportedSettings
	appliesAnything
)

// network runs the state machines of many daemons in one process, on simulated time.
// Messages are encoded and decoded on the way. Runs with the same seed are
// identical.
type network struct {
	now             clock.Millis
	rng             *rand.Rand
	queue           events
	eventOrder      uint64
	daemons         map[fleet.ID]*daemon
	ids             []fleet.ID
	links           map[[2]fleet.ID]uint64 // open links with a number that tells a link from its successor
	lastID          uint64                 // last number given to a link or a daemon
	oneWayDelay     clock.Millis
	lossProbability float64          // per message, 0 to 1
	partitionSide   map[fleet.ID]int // daemons on different sides do not reach each other
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
	dialGeneration map[fleet.ID]uint64 // increases with each dial and hangup; an outdated dial is dropped
	applied        rollout.Document
	inForceAt      map[uint64]clock.Millis // instant at which a revision came into force
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

// schedule runs an event after span.
func (n *network) schedule(span clock.Millis, run func()) {
	n.eventOrder++
	heap.Push(&n.queue, event{at: n.now + span, order: n.eventOrder, run: run})
}

// advance runs the events of the next span.
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

// startDaemon starts daemon i, or replaces it with a new process at the same
// address.
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

// startFleet starts a fleet of which every daemon knows the list of VMs, and
// advances by settle.
func startFleet(seed uint64, size, dataCentres int, settle clock.Millis) *network {
	n := newNetwork(seed)
	var vms []fleet.VM
	for i := range size {
		vms = append(vms, fleet.NewVM(
			daemonID(i), "callers-"+string(daemonID(i)), dataCentreOf(i, dataCentres), "region", false))
	}
	for i := range size {
		n.schedule(clock.Millis(i)*5, func() {
			n.perform(n.startDaemon(i, dataCentres), n.daemons[daemonID(i)].membership.Seed(n.now, vms))
		})
	}
	n.advance(settle + clock.Millis(size)*5)
	return n
}

// isRunning reports whether d is up and has not been replaced.
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

// linkKey returns the same pair for both orders of its arguments.
func linkKey(a, b fleet.ID) [2]fleet.ID {
	if a > b {
		a, b = b, a
	}
	return [2]fleet.ID{a, b}
}

func (n *network) reachable(a, b fleet.ID) bool {
	return n.partitionSide[a] == n.partitionSide[b] && !n.blocked[linkKey(a, b)] &&
		!n.down[a] && !n.down[b] && n.daemons[b] != nil
}

// kill ends a daemon. Peers see their links close, unless the end is silent, as that
// of a lost VM is.
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

// reportLinkDown reports the closed link to peer to the daemon at.
func (n *network) reportLinkDown(at, peer fleet.ID) {
	d := n.daemons[at]
	n.deliver(d, func() {
		if _, open := n.links[linkKey(at, peer)]; !open {
			n.performRollout(d, d.rollout.LinkDown(n.now, peer))
			n.perform(d, d.membership.LinkDown(n.now, peer))
		}
	})
}

// deliver gives an input to d after the one-way delay, or at the end of its pause.
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
		case fleet.Disconnect:
			n.hangup(d, a.Peer())
		case fleet.MembersChanged:
			n.performRollout(d, d.rollout.SetMembers(n.now, d.membership.Members()))
		case fleet.SettingsReported:
			if n.fault != ignoresReportedSettings {
				n.performRollout(d, d.rollout.ReceivePeerSettings(n.now, a.Peer(), a.SettingsVersion()))
			}
		}
	}
}

func (n *network) dial(d *daemon, to fleet.ID) {
	n.dialCount++
	d.dialGeneration[to]++
	generation := d.dialGeneration[to]
	n.schedule(2*n.oneWayDelay, func() {
		target := n.daemons[to]
		if !n.isRunning(d) || d.dialGeneration[to] != generation || target == nil ||
			!n.reachable(d.id, to) || target.pausedUntil > n.now {
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
	link, open := n.links[linkKey(d.id, to)]
	if !open {
		return
	}
	data, err := encode(d.membership.Self(), message)
	if err != nil {
		n.recordFailure("%s: encode message to %s: %v", d.id, to, err)
		return
	}
	n.messagesSent++
	// The headers of WebSocket, TCP and IP take 48 bytes.
	n.bytesSent += uint64(len(data)) + 48
	if !n.reachable(d.id, to) || n.rng.Float64() < n.lossProbability {
		return
	}
	target := n.daemons[to]
	n.deliver(target, func() {
		if n.links[linkKey(d.id, to)] == link {
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
		n.recordFailure("%s: decode envelope: %v", d.id, err)
		return
	}
	switch e.Kind() {
	case rollout.KindOffer, rollout.KindPull, rollout.KindDocument:
		message, err := rollout.Decode(e)
		if err != nil {
			n.recordFailure("%s: decode message from %s: %v", d.id, e.From(), err)
			return
		}
		n.performRollout(d, d.rollout.Receive(n.now, e.From(), message))
		if chunk, ok := message.(rollout.Chunk); ok && n.fault == appliesAnything {
			n.apply(d, rollout.NewDocument(chunk.SettingsVersion().Revision()-1, "broken", nil))
		}
	default:
		message, err := fleet.Decode(e)
		if err != nil {
			n.recordFailure("%s: decode message from %s: %v", d.id, e.From(), err)
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
		case rollout.ApplyDocument:
			n.apply(d, a.Document())
			d.membership.SetSettingsVersion(d.rollout.SettingsVersion())
		case rollout.ReportOutcome:
			d.settledActions = append(d.settledActions, a)
		default:
			n.platform.call(n, d, a)
		}
	}
}

// apply puts a document in force and checks that the revision does not decrease, nor the
// digest with the same revision.
func (n *network) apply(d *daemon, document rollout.Document) {
	if document.Revision() < d.applied.Revision() ||
		document.Revision() == d.applied.Revision() && document.Digest() <= d.applied.Digest() {
		n.recordFailure("%s reverted from revision %d, change %q, to %d, change %q", d.id,
			d.applied.Revision(), d.applied.ChangeID(), document.Revision(), document.ChangeID())
	}
	d.applied = document
	if _, seen := d.inForceAt[document.Revision()]; !seen {
		d.inForceAt[document.Revision()] = n.now
	}
}

// recordFailure records a violation with the simulated time in milliseconds.
func (n *network) recordFailure(format string, args ...any) {
	if len(n.failures) < 20 {
		n.failures = append(n.failures, fmt.Sprintf("at %.0f: ", float64(n.now))+fmt.Sprintf(format, args...))
	}
}

// checkViews records a failure for every running daemon that does not see exactly
// the running daemons alive.
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
				n.recordFailure("%s sees running daemon %s as %s", id, m.ID(), m.State())
			}
		}
	}
}

// checkSettings records a failure for every running daemon that does not have the
// document in force.
func (n *network) checkSettings(revision uint64, change string) {
	for _, id := range n.ids {
		d := n.daemons[id]
		if !n.down[id] && (d.applied.Revision() != revision || d.applied.ChangeID() != change) {
			n.recordFailure("%s has revision %d, change %q in force, want %d, %q",
				id, d.applied.Revision(), d.applied.ChangeID(), revision, change)
		}
	}
}

// platform simulates the platform's key-value service with the settings as its only
// key.
type platform struct {
	down           bool
	loseReply      bool // the reply to the next accepted write is lost
	downAfterWrite bool // becomes unavailable right after it accepts a write
	document       rollout.Document
	token          uint64
	lastToken      uint64
	watchers       []*pendingWatch
	maxDelay       clock.Millis // of a request, and of a reply, on top of the one-way delay
	calls          int
	killWriter     bool // the writer dies before it learns that its write was accepted
	acceptedAt     clock.Millis
	writeCalls     []clock.Millis      // instants of the writes, whether they were accepted or not
	unavailable    func(fleet.ID) bool // reports whether a daemon cannot reach the platform
}

type pendingWatch struct {
	d       *daemon
	call    uint64
	token   uint64
	cut     bool // the connection was cut silently: no change is reported
	pending bool
}

func (p *platform) call(n *network, d *daemon, a rollout.Action) {
	if a.Kind() == rollout.Unwatch {
		return
	}
	p.calls++
	n.schedule(n.oneWayDelay+p.delay(n), func() {
		if p.down || (p.unavailable != nil && p.unavailable(d.id)) {
			p.answer(n, d, rollout.NewEvent(rollout.Failed, a.CallID(), 0, rollout.Document{}))
			return
		}
		switch a.Kind() {
		case rollout.Read:
			p.answer(n, d, rollout.NewEvent(rollout.Value, a.CallID(), p.token, p.document))
		case rollout.Watch:
			p.watch(n, d, a)
		case rollout.CompareAndSwap:
			p.write(n, d, a)
		}
	})
}

// delay returns a random delay of at most maxDelay.
func (p *platform) delay(n *network) clock.Millis {
	if p.maxDelay == 0 {
		return 0
	}
	return p.maxDelay * clock.Millis(n.rng.Float64())
}

func (p *platform) watch(n *network, d *daemon, a rollout.Action) {
	if a.Token() != p.token {
		p.answer(n, d, rollout.NewEvent(rollout.Value, a.CallID(), p.token, p.document))
		return
	}
	w := &pendingWatch{d: d, call: a.CallID(), token: a.Token(), pending: true}
	p.watchers = append(p.watchers, w)
	n.schedule(rollout.WatchTimeout, func() {
		if w.pending {
			p.endWatch(n, w, rollout.NewEvent(rollout.Unchanged, a.CallID(), p.token, rollout.Document{}))
		}
	})
}

// endWatch answers a pending watch.
func (p *platform) endWatch(n *network, w *pendingWatch, e rollout.Event) {
	w.pending = false
	p.watchers = slices.DeleteFunc(p.watchers, func(other *pendingWatch) bool { return other == w })
	p.answer(n, w.d, e)
}

// cutWatches cuts the connections of the pending watches without an answer.
func (p *platform) cutWatches() {
	for _, w := range p.watchers {
		w.cut = true
	}
}

// restore brings the platform back with an older document and its token. Later tokens are
// given out again.
func (p *platform) restore(n *network, document rollout.Document, token uint64) {
	p.down = false
	p.document, p.token, p.lastToken = document, token, token
	p.answerWatches(n)
}

// answerWatches answers the pending watches for which the token has changed.
func (p *platform) answerWatches(n *network) {
	for _, w := range slices.Clone(p.watchers) {
		if !w.cut && w.token != p.token {
			p.endWatch(n, w, rollout.NewEvent(rollout.Value, w.call, p.token, p.document))
		}
	}
}

func (p *platform) write(n *network, d *daemon, a rollout.Action) {
	p.writeCalls = append(p.writeCalls, n.now)
	if a.Token() != p.token {
		p.answer(n, d, rollout.NewEvent(rollout.WriteConflict, a.CallID(), p.token, p.document))
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
	p.answer(n, d, rollout.NewEvent(kind, a.CallID(), p.token, rollout.Document{}))
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
	p.answerWatches(n)
}

// goDown makes the platform unavailable and ends the pending watches with an error.
func (p *platform) goDown(n *network) {
	p.down, p.downAfterWrite = true, false
	for _, w := range slices.Clone(p.watchers) {
		if !w.cut {
			p.endWatch(n, w, rollout.NewEvent(rollout.Failed, w.call, 0, rollout.Document{}))
		}
	}
}

func (p *platform) answer(n *network, d *daemon, e rollout.Event) {
	n.schedule(p.delay(n), func() {
		n.deliver(d, func() { n.performRollout(d, d.rollout.HandlePlatformEvent(n.now, e)) })
	})
}
