package mirror

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

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
	replies     int  // applied so far
	provenAt    clock.Millis
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
	lost      bool
	failed    bool
	answered  bool
	returnsAt clock.Millis
	apply     func(now clock.Millis)
}

// simulation runs two data centres of three daemons each, one of which reads the
// store for the two others, with random faults of the given probability.
type simulation struct {
	random       *rand.Rand
	now          clock.Millis
	faults       float64
	commits      []clock.Millis // instant of each revision, from 1
	changeChance float64        // of a commit in a step
	removeChance float64        // of a commit to be a removal
	removals     map[uint64]bool
	storeSilent  clock.Millis // until when
	daemons      []*simulatedDaemon
	worstAge     clock.Millis
	proofs       int // new proofs of all daemons
}

const simulationStep = 5 * clock.Millisecond

func newSimulation(seed uint64, changeChance, faults float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), faults: faults, changeChance: changeChance, commits: []clock.Millis{0},
		removals: make(map[uint64]bool)}
	for i := range 6 {
		d := &simulatedDaemon{source: i / 3 * 3, offset: clock.Millis(s.random.Float64() * 1e6)}
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
		return clock.Millis(s.random.Float64()) * 4000
	}
	return clock.Millis(s.random.Float64()) * 3
}

// storeChanges returns the latest change of each key after a revision: four keys take
// turns in changing.
func (s *simulation) storeChanges(after uint64) (changes []Item, revision uint64) {
	revision = uint64(len(s.commits) - 1)
	for n := max(after+1, revision-min(revision, 3)); n <= revision; n++ {
		if key := fmt.Sprint(n % 4); s.removals[n] {
			changes = append(changes, NewRemoval(key, revisionAt(n)))
		} else {
			changes = append(changes, item(key, n))
		}
	}
	return changes, revision
}

func (s *simulation) step() {
	s.now += simulationStep
	if s.random.Float64() < s.changeChance {
		s.commits = append(s.commits, s.now)
		if s.removeChance > 0 && s.random.Float64() < s.removeChance {
			s.removals[uint64(len(s.commits)-1)] = true
		}
	}
	if s.random.Float64() < s.faults*0.001 {
		s.storeSilent = s.now + clock.Millis(s.random.Float64())*8000
	}
	for i, d := range s.daemons {
		if s.now >= d.frozenUntil && s.random.Float64() < s.faults*0.001 {
			d.frozenUntil = s.now + clock.Millis(s.random.Float64())*10_000
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
	return slices.ContainsFunc(d.calls, func(c *simulatedCall) bool { return !c.failed && now < c.sentAt+c.call.Overdue() })
}

func (s *simulation) start(d *simulatedDaemon, call Call, peer int) *simulatedCall {
	return &simulatedCall{call: call, peer: peer, sentAt: s.now, arrivesAt: s.now + s.delay(), lost: s.random.Float64() < s.faults/2,
		proofAge: d.reader.ProofAge(s.now + d.offset)}
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
		d.replies++
		return nil
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
	changes, revision := s.storeChanges(c.call.AfterRevision().Number())
	switch {
	case c.call.Kind() == List:
		var page []Item
		for _, change := range changes {
			if !change.Removed() && change.Key() > c.call.AfterKey() {
				page = append(page, change)
			}
		}
		slices.SortFunc(page, func(a, b Item) int { return cmp.Compare(a.Key(), b.Key()) })
		more := len(page) > 2
		page = page[:min(2, len(page))]
		c.answer(s.now, s.delay(), func(now clock.Millis) { d.reader.HandlePage(c.call, now, page, revisionAt(revision), more) })
	case revision > c.call.AfterRevision().Number() && s.random.Float64() < s.faults/10:
		c.answer(s.now, s.delay(), func(now clock.Millis) { d.reader.RecordFailure(c.call, now, ErrCompacted) })
	case revision > c.call.AfterRevision().Number() || s.now >= c.arrivesAt+c.call.Wait():
		c.answer(s.now, s.delay(), func(now clock.Millis) { d.reader.HandleEvents(c.call, now, changes, revisionAt(revision)) })
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
	items, complete, revision := peer.mirror.ChangesSince(c.call.AfterRevision())
	due := poll || len(items) > 0 || local >= c.arrivedAt+c.call.Wait() || peer.reader.HasNewerProof(local, c.arrivedAt, c.proofAge)
	if !peer.mirror.Complete() || !due {
		return
	}
	proof, proven := peer.reader.StateProof(local, c.arrivedAt)
	stated := peer.reader.Age(local)
	c.answer(s.now, s.delay(), func(now clock.Millis) {
		age := AgeAtArrival(stated, now-c.sentAt-d.offset, c.call.Wait())
		if poll {
			d.reader.HandlePeerReply(now, items, complete, revision, age)
		} else {
			d.reader.HandleFollowReply(now, fmt.Sprint(c.peer), items, complete, revision, age)
		}
		if proven {
			d.reader.HandlePeerProof(c.sentAt+d.offset, now, revision, proof)
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
	if !d.changed {
		return
	}
	d.changed = false
	if at != d.provenAt {
		d.provenAt = at
		s.proofs++
	}
	newest := make(map[string]uint64)
	for n := len(s.commits) - 1; n > 0 && n > len(s.commits)-4000; n-- {
		key := fmt.Sprint(n % 4)
		if newest[key] == 0 && s.commits[n] <= at-d.offset {
			newest[key] = uint64(n)
			if s.lacks(d, uint64(n)) {
				panic(fmt.Sprintf("daemon %d at %v: proof %v, but revision %d of %v is missing", i, s.now, at-d.offset, n, s.commits[n]))
			}
			if len(newest) == 4 {
				return
			}
		}
	}
}

// lacks reports whether the mirror of a daemon lacks the change with a revision, or a
// later one of the same key. A key whose removal is held back counts as removed.
func (s *simulation) lacks(d *simulatedDaemon, revision uint64) bool {
	key := fmt.Sprint(revision % 4)
	held, listed := d.mirror.Get(key)
	if _, lapsed := d.mirror.deferred[key]; listed && !lapsed {
		return held.Revision().Number() < revision
	}
	for n := revision; n < uint64(len(s.commits)); n += 4 {
		if s.removals[n] {
			return false
		}
	}
	return true
}
