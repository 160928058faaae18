package mirror

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// testRevocation is the revocation time of the first deployments.
const testRevocation = 5 * clock.Second

// newProvenReader returns a reader whose mirror was listed by a call sent at 1000.
func newProvenReader() *Reader {
	r := newTestReader(&Mirror{})
	r.SetMaxProofAge(MaxProofAge(testRevocation))
	r.Begin(1000, 1000)
	r.HandlePage(1010, []Item{item("a", 1)}, 10, false)
	return r
}

// Guards against a proof that is later than what the daemon knows, for each way in which
// replies are lost, late or incomplete. Each case changes a reader whose proof is 1000.
func TestProofIsDatedAtSending(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(r *Reader)
		expected clock.Millis
	}{
		"store silent": {func(r *Reader) {
			r.Begin(2100, 2100)
			r.RecordFailure(4000, ErrUnavailable)
		}, 1000},
		"watch answered late": {func(r *Reader) {
			r.Begin(2100, 2100)
			r.HandleEvents(3900, []Item{item("b", 11)}, 11)
		}, 2100},
		"watch behind the mirror": {func(r *Reader) {
			r.Begin(2100, 2100)
			r.HandleEvents(2110, nil, 9)
		}, 1000},
		"compacted": {func(r *Reader) {
			r.Begin(2100, 2100)
			r.RecordFailure(2110, ErrCompacted)
		}, 1000},
		"listing after compaction": {func(r *Reader) {
			r.RecordFailure(2110, ErrCompacted)
			r.Begin(2200, 2200)
			r.HandlePage(2210, []Item{item("a", 20)}, 20, false)
		}, 2200},
		"listing unfinished": {func(r *Reader) {
			r.RecordFailure(2110, ErrCompacted)
			r.Begin(2200, 2200)
			r.HandlePage(2210, []Item{item("a", 20)}, 20, true)
		}, 1000},
		"listing in pages": {func(r *Reader) {
			r.RecordFailure(2110, ErrCompacted)
			r.Begin(2200, 2200)
			r.HandlePage(2210, []Item{item("a", 20)}, 20, true)
			r.Begin(2300, 2300)
			r.HandlePage(2310, []Item{item("b", 21)}, 21, false)
		}, 2200},
		"listing begun again after a failed page": {func(r *Reader) {
			r.RecordFailure(2110, ErrCompacted)
			r.Begin(2200, 2200)
			r.HandlePage(2210, []Item{item("a", 20)}, 20, true)
			r.RecordFailure(2400, ErrUnavailable)
			r.Begin(2600, 2600)
			r.HandlePage(2610, []Item{item("a", 20)}, 20, false)
		}, 2600},
		"listing behind the mirror": {func(r *Reader) {
			r.RecordFailure(2110, ErrCompacted)
			r.Begin(2200, 2200)
			r.HandlePage(2210, []Item{item("a", 1)}, 9, false)
		}, 1000},
		"suspended during a watch": {func(r *Reader) {
			r.Begin(2100, 2100)
			r.HandleEvents(2200, []Item{item("b", 11)}, 11) // a minute later on the other clock
		}, 2100},
		"peer": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, 10, PeerProof{Age: 400, Held: 2})
		}, 2602},
		"follow held and answered at once": {func(r *Reader) {
			r.HandlePeerProof(3000, 4300, 10, PeerProof{Age: 100, Held: 1200})
		}, 4100},
		"follow reply delayed": {func(r *Reader) {
			r.HandlePeerProof(3000, 9000, 10, PeerProof{Age: 100, Held: 1200})
		}, 4100},
		"peer with an older proof": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, 10, PeerProof{Age: 2500, Held: 2})
		}, 1000},
		"peer behind the mirror": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, 8, PeerProof{Age: 400, Held: 2})
		}, 2602},
		"peer ahead of the mirror": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, 12, PeerProof{Age: 400, Held: 2})
		}, 1000},
		"peer without a mirror": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, 0, PeerProof{Age: 400, Held: 2})
		}, 1000},
		"held longer than the request took": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, 10, PeerProof{Age: 0, Held: 11})
		}, 1000},
		"negative age": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, 10, PeerProof{Age: -1, Held: 1})
		}, 1000},
		"undefined age": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, 10, PeerProof{Age: clock.Millis(math.NaN()), Held: 1})
		}, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			r := newProvenReader()
			c.change(r)
			at, proven := r.ProvenAt()
			assert.True(t, proven)
			assert.Equal(t, c.expected, at)
		})
	}
	empty := newTestReader(&Mirror{})
	empty.HandlePeerProof(3000, 3010, 10, PeerProof{Age: 400, Held: 2})
	_, proven := empty.ProvenAt()
	assert.False(t, proven, "a proof without the changes")
}

// Guards against a daemon that waits for the store with an old proof although peers have
// a newer one: after a suspension, which its other clock does not count.
func TestPeersAreAskedAfterSuspension(t *testing.T) {
	r := newProvenReader()
	assert.False(t, r.StartPeerRequest(1500, 1500))
	assert.True(t, r.StartPeerRequest(1510, 61_500))
	assert.True(t, r.ProofOld(61_500))
}

// proofDaemon is a daemon in a simulated network. Its clock differs from the others' by
// offset.
type proofDaemon struct {
	mirror      Mirror
	reader      *Reader
	source      int // index of the daemon that it follows, or -1
	offset      clock.Millis
	frozenUntil clock.Millis
	call        *proofCall
	poll        *proofCall
	changed     bool // a reply was applied since the last check
	replies     int  // applied so far
	provenAt    clock.Millis
}

// proofCall is a call in progress. Instants are those of the simulation.
type proofCall struct {
	call      Call
	peer      int // or -1 for the store
	sentAt    clock.Millis
	arrivesAt clock.Millis // at the peer or the store
	arrived   bool
	arrivedAt clock.Millis // on the clock of the peer
	proofAge  clock.Millis // of the sender
	lost      bool
	answered  bool
	returnsAt clock.Millis
	apply     func(now clock.Millis)
}

// proofSimulation runs two data centres of three daemons each, one of which reads the
// store for the two others, with random faults of the given probability.
type proofSimulation struct {
	random       *rand.Rand
	now          clock.Millis
	faults       float64
	commits      []clock.Millis // instant of each revision, from 1
	changeChance float64        // of a commit in a step
	removeChance float64        // of a commit to be a removal
	removals     map[uint64]bool
	storeSilent  clock.Millis // until when
	daemons      []*proofDaemon
	worstAge     clock.Millis
	proofs       int // new proofs of all daemons
}

const simulationStep = 5 * clock.Millisecond

func newProofSimulation(seed uint64, changeChance, faults float64) *proofSimulation {
	s := &proofSimulation{random: rand.New(rand.NewPCG(seed, 1)), faults: faults, changeChance: changeChance, commits: []clock.Millis{0},
		removals: make(map[uint64]bool)}
	for i := range 6 {
		d := &proofDaemon{source: i / 3 * 3, offset: clock.Millis(s.random.Float64() * 1e6)}
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

func (s *proofSimulation) delay() clock.Millis {
	if s.random.Float64() < s.faults {
		return clock.Millis(s.random.Float64()) * 4000
	}
	return clock.Millis(s.random.Float64()) * 3
}

// storeChanges returns the latest change of each key after a revision: four keys take
// turns in changing.
func (s *proofSimulation) storeChanges(after uint64) (changes []Item, revision uint64) {
	revision = uint64(len(s.commits) - 1)
	for n := max(after+1, revision-min(revision, 3)); n <= revision; n++ {
		if key := fmt.Sprint(n % 4); s.removals[n] {
			changes = append(changes, NewRemoval(key, n))
		} else {
			changes = append(changes, item(key, n))
		}
	}
	return changes, revision
}

func (s *proofSimulation) step() {
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
		if d.call == nil {
			if call := d.reader.Next(local); call.At() <= local {
				d.reader.Begin(local, local)
				peer := -1
				if call.Kind() == Follow {
					peer = d.source
				}
				d.call = s.start(d, call, peer)
			}
		}
		if d.poll == nil && d.reader.StartPeerRequest(local, local) {
			d.poll = s.start(d, Call{kind: Follow, afterRevision: d.mirror.Revision(), timeout: 1000}, s.random.IntN(len(s.daemons)))
		}
		d.call = s.progress(d, d.call, false)
		d.poll = s.progress(d, d.poll, true)
		s.check(i, d)
	}
}

func (s *proofSimulation) start(d *proofDaemon, call Call, peer int) *proofCall {
	return &proofCall{call: call, peer: peer, sentAt: s.now, arrivesAt: s.now + s.delay(), lost: s.random.Float64() < s.faults/2,
		proofAge: d.reader.ProofAge(s.now + d.offset)}
}

// progress advances a call and returns it, or nil if it has ended.
func (s *proofSimulation) progress(d *proofDaemon, c *proofCall, poll bool) *proofCall {
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
	case s.now >= c.sentAt+c.call.Timeout():
		switch {
		case poll:
		case c.peer >= 0:
			d.reader.RecordSourceFailure(local, fmt.Sprint(c.peer))
		default:
			d.reader.RecordFailure(local, ErrUnavailable)
		}
		return nil
	case !c.answered && s.now >= c.arrivesAt:
		if c.peer >= 0 {
			s.answerFromPeer(d, c, poll)
		} else if s.now >= s.storeSilent {
			s.answerFromStore(d, c)
		}
	}
	return c
}

func (c *proofCall) answer(now, delay clock.Millis, apply func(now clock.Millis)) {
	c.answered, c.returnsAt, c.apply = true, now+delay, apply
}

func (s *proofSimulation) answerFromStore(d *proofDaemon, c *proofCall) {
	changes, revision := s.storeChanges(c.call.AfterRevision())
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
		c.answer(s.now, s.delay(), func(now clock.Millis) { d.reader.HandlePage(now, page, revision, more) })
	case revision > c.call.AfterRevision() && s.random.Float64() < s.faults/10:
		c.answer(s.now, s.delay(), func(now clock.Millis) { d.reader.RecordFailure(now, ErrCompacted) })
	case revision > c.call.AfterRevision() || s.now >= c.arrivesAt+c.call.Wait():
		c.answer(s.now, s.delay(), func(now clock.Millis) { d.reader.HandleEvents(now, changes, revision) })
	}
}

func (s *proofSimulation) answerFromPeer(d *proofDaemon, c *proofCall, poll bool) {
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
	age := peer.reader.Age(local)
	c.answer(s.now, s.delay(), func(now clock.Millis) {
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
func (s *proofSimulation) check(i int, d *proofDaemon) {
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
func (s *proofSimulation) lacks(d *proofDaemon, revision uint64) bool {
	key := fmt.Sprint(revision % 4)
	held, listed := d.mirror.Get(key)
	if _, lapsed := d.mirror.heldUntil[key]; listed && !lapsed {
		return held.Revision() < revision
	}
	for n := revision; n < uint64(len(s.commits)); n += 4 {
		if s.removals[n] {
			return false
		}
	}
	return true
}

// Guards against a replica that has left and is used again, or one that is lost: whatever
// replies are lost, delayed, listed again or passed on by peers, the mirror must have all
// changes up to its revision.
func TestRemovedKeysStayRemovedUnderFaults(t *testing.T) {
	checked := 0
	for seed := range uint64(100) {
		s := newProofSimulation(seed, 0.05, 0.2)
		s.removeChance = 0.5
		replies := make([]int, len(s.daemons))
		for s.now < 2*clock.Minute {
			require.NotPanics(t, s.step, "seed %d", seed)
			for i, d := range s.daemons {
				expired := d.mirror.Expire(s.now + d.offset)
				if d.replies == replies[i] && len(expired) == 0 {
					continue
				}
				replies[i] = d.replies
				revision := d.mirror.Revision()
				for n := revision; n > 0 && n+4 > revision; n-- {
					if s.lacks(d, n) {
						require.Failf(t, "change is missing", "seed %d, daemon %d at %v: %d of %d", seed, i, s.now, n, revision)
					}
					checked++
				}
			}
		}
	}
	t.Logf("%d changes checked", checked)
}

// Guards against a proof of a mirror that lacks a change, whatever is lost, delayed,
// frozen, listed again or passed on by peers, and for clocks that differ.
func TestProofHoldsUnderFaults(t *testing.T) {
	proofs := 0
	for seed := range uint64(100) {
		s := newProofSimulation(seed, 0.05, 0.2)
		require.NotPanics(t, func() {
			for s.now < 2*clock.Minute {
				s.step()
			}
		}, "seed %d", seed)
		require.Greater(t, s.proofs, 100, "seed %d: the faults leave too little to check", seed)
		proofs += s.proofs
	}
	t.Logf("%d new proofs checked", proofs)
}

// Guards against refusals in normal operation: the proof must stay well below its limit,
// with a store that changes constantly and with one that does not change.
func TestNormalAgeOfProofIsFarBelowLimit(t *testing.T) {
	for name, changeChance := range map[string]float64{"busy": 0.5, "slow": 0.002, "quiet": 0} {
		s := newProofSimulation(1, changeChance, 0)
		s.commits = append(s.commits, 0, 0, 0, 0)
		for s.now < 5*clock.Minute {
			s.step()
			if s.now < 3*clock.Second {
				s.worstAge = 0
			}
		}
		t.Logf("%s store: worst age of a proof %.0f ms of at most %.0f ms", name, float64(s.worstAge), float64(MaxProofAge(testRevocation)))
		assert.Less(t, float64(s.worstAge), float64(MaxProofAge(testRevocation)*proofRefreshFraction), name)
	}
}
