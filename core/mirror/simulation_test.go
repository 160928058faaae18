package mirror

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// simulatedDaemon is a daemon in a simulated network. Its clock differs from the others' by
// offset.
type simulatedDaemon struct {
	mirror      Mirror
	reader      *Reader
	source      int // index of the daemon that it follows, or -1
	offset      clock.Millis
	frozenUntil clock.Millis
	calls       []*simulatedCall
	poll        *simulatedCall
	changed     bool // a reply was applied since the last check
	provenAt    clock.Millis
	contents    mirrorCheck
}

// simulatedCall is a call in progress. Instants are those of the simulation.
type simulatedCall struct {
	call      Call
	peer      int // or -1 for the store
	sentAt    clock.Millis
	arrivesAt clock.Millis // at the peer or the store
	arrived   bool
	arrivedAt clock.Millis // on the clock of the peer
	proofAge  clock.Millis // of the sender
	mirrored  Revision     // of the sender
	lost      bool
	failed    bool
	answered  bool
	doubled   bool // the reply comes once more
	returnsAt clock.Millis
	apply     func(now clock.Millis)
}

// simulation runs two data centres of three daemons each, one of which reads the
// store for the two others, with random faults of the given probability.
type simulation struct {
	random       *rand.Rand
	now          clock.Millis
	faults       float64
	store        *simulatedStore
	changeChance float64      // of a commit in a step
	removeChance float64      // of a commit to be a removal
	minLost      uint64       // revisions that a restore loses at least
	storeSilent  clock.Millis // until when
	storeAway    clock.Millis // until when, while it is restored
	faultsEnd    clock.Millis // latest end of the faults so far
	eras         map[Era]int  // index of the history that the daemons take for an era
	unnoticed    bool         // a daemon has taken a reply for one of another era
	daemons      []*simulatedDaemon
	worstAge     clock.Millis
	proofs       int   // new proofs of all daemons
	err          error // first difference between a mirror and the store
}

const simulationStep = 5 * clock.Millisecond

func newSimulation(seed uint64, changeChance, faults float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), faults: faults, changeChance: changeChance,
		store: newSimulatedStore(false), eras: map[Era]int{{}: 0}}
	for i := range 6 {
		d := &simulatedDaemon{source: i / 3 * 3, offset: clock.Millis(s.random.Float64() * 1e6)}
		d.mirror.SetSchema(testSchema{})
		d.contents.mirror = &d.mirror
		d.reader = NewReader(d.offset, &d.mirror, s.random)
		d.reader.SetMaxProofAge(MaxProofAge(testRevocation))
		if i%3 == 0 {
			d.source = -1
		} else {
			d.reader.SetSources([]string{fmt.Sprint(d.source)})
		}
		s.daemons = append(s.daemons, d)
	}
	return s
}

func (s *simulation) delay() clock.Millis {
	if s.random.Float64() < s.faults {
		delay := clock.Millis(s.random.Float64()) * 4000
		s.faultsEnd = max(s.faultsEnd, s.now+delay)
		return delay
	}
	return clock.Millis(s.random.Float64()) * 3
}

// restore makes the store unavailable for up to 1.5 s and restores it from an older copy.
func (s *simulation) restore() {
	if !s.ended() {
		s.storeAway = s.now + 1500*clock.Millis(s.random.Float64())
		s.store.restore(s.now, s.minLost+s.random.Uint64N(1+s.random.Uint64N(60)))
	}
}

func (s *simulation) step() {
	s.now += simulationStep
	if s.now >= s.storeAway && s.random.Float64() < s.changeChance {
		s.store.write(s.now, s.removeChance > 0 && s.random.Float64() < s.removeChance)
	}
	if s.random.Float64() < s.faults*0.001 {
		s.storeSilent = s.now + clock.Millis(s.random.Float64())*8000
		s.faultsEnd = max(s.faultsEnd, s.storeSilent)
	}
	for i, d := range s.daemons {
		if s.now >= d.frozenUntil && s.random.Float64() < s.faults*0.001 {
			d.frozenUntil = s.now + clock.Millis(s.random.Float64())*10_000
			s.faultsEnd = max(s.faultsEnd, d.frozenUntil)
		}
		if s.now < d.frozenUntil {
			continue
		}
		local := s.now + d.offset
		if next := d.reader.Next(local); !d.waits(s.now) && next.At() <= local {
			call := d.reader.Begin(next, local, local)
			peer := -1
			if call.Kind() == Follow {
				peer = d.source
			}
			d.calls = append(d.calls, s.start(d, call, peer))
		}
		if d.poll == nil && d.reader.StartPeerRequest(local, local) {
			d.poll = s.start(d, Call{kind: Follow, afterRevision: d.mirror.Revision(), timeout: 1000}, s.random.IntN(len(s.daemons)))
		}
		d.calls = slices.DeleteFunc(d.calls, func(c *simulatedCall) bool { return s.progress(d, c, false) == nil })
		d.poll = s.progress(d, d.poll, true)
		s.check(i, d)
	}
}

// waits reports whether a call in progress delays the next one.
func (d *simulatedDaemon) waits(now clock.Millis) bool {
	return slices.ContainsFunc(d.calls, func(c *simulatedCall) bool {
		return !c.failed && now < c.sentAt+c.call.Overdue() && d.reader.Awaits(c.call)
	})
}

func (s *simulation) start(d *simulatedDaemon, call Call, peer int) *simulatedCall {
	c := &simulatedCall{call: call, peer: peer, sentAt: s.now, arrivesAt: s.now + s.delay(), lost: s.random.Float64() < s.faults/2,
		proofAge: d.reader.ProofAge(s.now + d.offset), mirrored: d.mirror.Revision()}
	if c.lost {
		s.faultsEnd = max(s.faultsEnd, s.now+call.Timeout())
	}
	return c
}

// progress advances a call and returns it, or nil if it has ended.
func (s *simulation) progress(d *simulatedDaemon, c *simulatedCall, poll bool) *simulatedCall {
	if c == nil {
		return nil
	}
	local := s.now + d.offset
	switch {
	case c.answered && !c.lost && s.now >= c.returnsAt:
		c.apply(local)
		d.changed = true
		s.compare(d)
		if c.doubled || s.faults == 0 || s.random.Float64() >= s.faults/4 {
			return nil
		}
		c.doubled, c.returnsAt = true, s.now+s.delay()
	case poll && s.now >= c.sentAt+c.call.Timeout(), s.now >= c.sentAt+c.call.Limit():
		if !poll && c.peer >= 0 {
			d.reader.RecordSourceFailure(local, fmt.Sprint(c.peer))
		}
		return nil
	case c.peer < 0 && !c.failed && s.now >= c.sentAt+c.call.Timeout():
		c.failed = true
		d.reader.RecordFailure(c.call, local, ErrNoReply)
	case !c.answered && s.now >= c.arrivesAt:
		if c.peer >= 0 {
			s.answerFromPeer(d, c, poll)
		} else if s.now >= s.storeSilent {
			s.answerFromStore(d, c)
		}
	}
	return c
}

func (c *simulatedCall) answer(now, delay clock.Millis, apply func(now clock.Millis)) {
	c.answered, c.returnsAt, c.apply = true, now+delay, apply
}

func (s *simulation) answerFromStore(d *simulatedDaemon, c *simulatedCall) {
	h := s.store.current()
	after, newest, index := c.call.AfterRevision().Number(), h.newest(), len(s.store.eras)-1
	revision := NewRevision(s.store.era(), newest)
	fail := func(err error) {
		c.answer(s.now, s.delay(), func(now clock.Millis) {
			if !c.failed {
				d.reader.RecordFailure(c.call, now, err)
			}
		})
	}
	switch {
	case s.now < s.storeAway:
		fail(ErrUnavailable)
	case c.call.Kind() == List:
		page := h.listing(c.call.AfterKey(), newest)
		more := len(page) > 2
		page = page[:min(2, len(page))]
		c.answer(s.now, s.delay(), func(now clock.Millis) {
			s.recordEra(d, c, revision, index)
			d.reader.HandlePage(c.call, now, slices.Clone(page), revision, more)
		})
	case after > newest || (newest > after && s.random.Float64() < s.faults/10):
		fail(ErrCompacted)
	case newest > after || s.now >= c.arrivesAt+c.call.Wait():
		c.answer(s.now, s.delay(), func(now clock.Millis) {
			s.recordEra(d, c, revision, index)
			d.reader.HandleEvents(c.call, now, h.changes(after, newest), revision)
		})
	}
}

// recordEra records that a daemon takes a reply, which has the history of an index, for one of an
// era. If the store doesn't state its era, a restore goes unnoticed if its revisions have overtaken
// those of the daemon before its next call: the reply could be one of the earlier era as
// well. From then on nothing can be claimed.
func (s *simulation) recordEra(d *simulatedDaemon, c *simulatedCall, revision Revision, index int) {
	era := c.call.Resolve(revision).Era()
	known, ok := s.eras[era]
	switch {
	case era.Compare(d.mirror.Revision().Era()) < 0:
	case !ok:
		s.eras[era] = index
	case known != index && era == c.mirrored.Era() && revision.Number() < c.mirrored.Number():
		s.err = errors.Newf("restore at %v not noticed: %v after %v", s.now, revision, c.mirrored)
	case known != index:
		s.unnoticed = true
	}
}

func (s *simulation) answerFromPeer(d *simulatedDaemon, c *simulatedCall, poll bool) {
	peer := s.daemons[c.peer]
	if s.now < peer.frozenUntil {
		return
	}
	local := s.now + peer.offset
	if !c.arrived {
		c.arrived, c.arrivedAt = true, local
	}
	peer.reader.ObserveEra(local, c.call.AfterRevision().Era())
	items, complete, revision := peer.mirror.ChangesSince(c.call.AfterRevision())
	due := poll || len(items) > 0 || revision.Era() != c.call.AfterRevision().Era() || local >= c.arrivedAt+c.call.Wait() || peer.reader.HasNewerProof(local, c.arrivedAt, c.proofAge)
	if !peer.mirror.Complete() || !due {
		return
	}
	proof, proven := peer.reader.StateProof(local, c.arrivedAt)
	through := peer.reader.ListedThrough()
	stated, settled := peer.reader.Age(local), peer.reader.Settled(local)
	c.answer(s.now, s.delay(), func(now clock.Millis) {
		age := AgeAtArrival(stated, now-c.sentAt-d.offset, c.call.Wait())
		if poll {
			d.reader.HandlePeerReply(now, items, complete, revision, age)
		} else {
			d.reader.HandleFollowReply(now, fmt.Sprint(c.peer), items, complete, revision, age)
		}
		d.reader.HandleListedThrough(revision, through)
		if proven {
			d.reader.HandlePeerProof(c.sentAt+d.offset, now, revision, proof)
		}
		if settled {
			d.reader.HandleSettledReply(now, revision, !poll)
		}
	})
}

// check records the age of the proof, and panics if the mirror lacks a change that was
// committed before the instant of the proof.
func (s *simulation) check(i int, d *simulatedDaemon) {
	at, proven := d.reader.ProvenAt()
	if !proven {
		return
	}
	s.worstAge = max(s.worstAge, s.now+d.offset-at)
	if !d.changed || s.unnoticed {
		return
	}
	d.changed = false
	if at != d.provenAt {
		d.provenAt = at
		s.proofs++
	}
	if err := d.mirror.lacksAny(s.histories(d), at-d.offset); err != nil {
		panic(fmt.Sprintf("proof of daemon %d at %v: %v", i, s.now, err))
	}
}

// histories returns the histories of the era that a daemon is in and of later ones.
func (s *simulation) histories(d *simulatedDaemon) []*history {
	return s.store.eras[s.eras[d.mirror.Revision().Era()]:]
}

// maxDatingError is by how much a mirror may look younger than it is: the replies of the source and
// the store may have been on their way for as long as they may wait.
const maxDatingError = watchWait + followWait + 2*replyDelay

// compare compares the mirror of a daemon with the history of its era, and records the first
// error.
func (s *simulation) compare(d *simulatedDaemon) {
	if !d.mirror.Complete() || s.ended() {
		return
	}
	s.err = d.contents.run(s.histories(d)[0])
	if s.err == nil {
		s.err = d.mirror.lacksAny(s.histories(d), s.now-d.reader.Age(s.now+d.offset)-maxDatingError)
	}
	s.err = errors.Wrapf(s.err, "daemon %d at %v", slices.Index(s.daemons, d), s.now)
}

// ended reports whether there is an error, or nothing can be claimed any more.
func (s *simulation) ended() bool { return s.err != nil || s.unnoticed }

// run advances the simulation and compares the mirrors after each reply.
func (s *simulation) run(end clock.Millis) {
	for s.now < end && !s.ended() {
		s.step()
		for _, d := range s.daemons {
			if len(d.mirror.Expire(s.now+d.offset)) > 0 {
				s.compare(d)
			}
		}
	}
}

// compareNewest records an error if a daemon lacks a change that is older than a duration.
func (s *simulation) compareNewest(age clock.Millis) {
	h := s.store.current()
	revision := h.newest()
	for revision > 0 && h.commits[revision].at > s.now-age {
		revision--
	}
	for i, d := range s.daemons {
		if now := d.mirror.Revision(); !s.ended() && (len(s.histories(d)) > 1 || now.Number() < revision) {
			s.err = errors.Newf("daemon %d at %v: mirror is at %v, store at %v/%d", i, s.now, now, s.store.era(), revision)
		}
	}
}

// runRestores runs periods with faults, in which the store is restored once or twice, and
// periods in which it is restored while nothing else fails.
func (s *simulation) runRestores(faults float64) {
	for range 3 {
		s.faults = faults
		end := s.now + 8*clock.Second
		for range 1 + s.random.IntN(2) {
			s.run(s.now + 3000*clock.Millis(s.random.Float64()))
			s.restore()
		}
		s.run(max(end, s.storeAway))
		s.faults = 0
		s.run(max(s.now, s.faultsEnd) + changeBound)
		s.compareNewest(changeBound)
		s.restore()
		s.run(s.storeAway + changeBound)
		s.compareNewest(changeBound)
	}
	s.run(s.now + rewritePeriod)
	s.changeChance = 0
	s.run(s.now + changeBound)
	s.compareNewest(0)
	for i, d := range s.daemons {
		if !s.ended() && d.mirror.Retained()+d.mirror.Held() > 0 {
			s.err = errors.Newf("daemon %d: %d keys retained, %d held", i, d.mirror.Retained(), d.mirror.Held())
		}
	}
}

// Guards against a mirror that goes back, lacks changes, proves what it lacks, looks younger than
// it is or stays behind, when the store is restored while messages are lost, delayed and doubled,
// and daemons stand still.
func TestMirrorsFollowRestoredStoreUnderFaults(t *testing.T) {
	for _, stated := range []bool{true, false} {
		t.Run(fmt.Sprintf("era stated %v", stated), func(t *testing.T) {
			restores, unnoticed := 0, 0
			for seed := range uint64(100) {
				s := newSimulation(seed, 0.05, 0)
				s.removeChance, s.store = 0.4, newSimulatedStore(stated)
				s.eras = map[Era]int{s.store.era(): 0}
				if !stated {
					// With fewer the revisions have often caught up before a daemon's next call.
					s.minLost = 100
				}
				for range 10 * s.minLost {
					s.store.write(0, false)
				}
				require.NotPanics(t, func() { s.runRestores(0.2) }, "seed %d", seed)
				if s.err != nil {
					require.Fail(t, s.err.Error(), "seed %d", seed)
				}
				restores += len(s.store.eras) - 1
				if s.unnoticed {
					unnoticed++
				}
			}
			t.Logf("%d restores, %d runs ended early with one that can't be noticed", restores, unnoticed)
			require.Greater(t, restores, 200+unnoticed, "too little is checked")
		})
	}
}
