package mirror

import (
	"math"
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
	call := r.Begin(r.Next(1000), 1000, 1000)
	r.HandlePage(call, 1010, []Item{item("a", 1)}, revisionAt(10), false)
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
			call := r.Begin(r.Next(2100), 2100, 2100)
			r.RecordFailure(call, 4000, ErrUnavailable)
		}, 1000},
		"watch answered late": {func(r *Reader) {
			call := r.Begin(r.Next(2100), 2100, 2100)
			r.HandleEvents(call, 3900, []Item{item("b", 11)}, revisionAt(11))
		}, 2100},
		"watch behind the mirror": {func(r *Reader) {
			call := r.Begin(r.Next(2100), 2100, 2100)
			r.HandleEvents(call, 2110, nil, revisionAt(9))
		}, 1000},
		"compacted": {func(r *Reader) {
			call := r.Begin(r.Next(2100), 2100, 2100)
			r.RecordFailure(call, 2110, ErrCompacted)
		}, 1000},
		"listing after compaction": {func(r *Reader) {
			r.RecordFailure(Call{}, 2110, ErrCompacted)
			call := r.Begin(r.Next(2200), 2200, 2200)
			r.HandlePage(call, 2210, []Item{item("a", 20)}, revisionAt(20), false)
		}, 2200},
		"listing unfinished": {func(r *Reader) {
			r.RecordFailure(Call{}, 2110, ErrCompacted)
			call := r.Begin(r.Next(2200), 2200, 2200)
			r.HandlePage(call, 2210, []Item{item("a", 20)}, revisionAt(20), true)
		}, 1000},
		"listing in pages": {func(r *Reader) {
			r.RecordFailure(Call{}, 2110, ErrCompacted)
			call := r.Begin(r.Next(2200), 2200, 2200)
			r.HandlePage(call, 2210, []Item{item("a", 20)}, revisionAt(20), true)
			call = r.Begin(r.Next(2300), 2300, 2300)
			r.HandlePage(call, 2310, []Item{item("b", 21)}, revisionAt(21), false)
		}, 2200},
		"listing begun again after a failed page": {func(r *Reader) {
			r.RecordFailure(Call{}, 2110, ErrCompacted)
			call := r.Begin(r.Next(2200), 2200, 2200)
			r.HandlePage(call, 2210, []Item{item("a", 20)}, revisionAt(20), true)
			r.RecordFailure(call, 2400, ErrUnavailable)
			call = r.Begin(r.Next(2600), 2600, 2600)
			r.HandlePage(call, 2610, []Item{item("a", 20)}, revisionAt(20), false)
		}, 2600},
		"listing behind the mirror": {func(r *Reader) {
			r.RecordFailure(Call{}, 2110, ErrCompacted)
			call := r.Begin(r.Next(2200), 2200, 2200)
			r.HandlePeerReply(2205, nil, false, revisionAt(12), 0)
			r.HandlePage(call, 2210, []Item{item("a", 1)}, revisionAt(11), false)
		}, 1000},
		"suspended during a watch": {func(r *Reader) {
			call := r.Begin(r.Next(2100), 2100, 2100)
			r.HandleEvents(call, 2200, []Item{item("b", 11)}, revisionAt(11)) // a minute later on the other clock
		}, 2100},
		"peer": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, revisionAt(10), PeerProof{Age: 400, Held: 2})
		}, 2602},
		"follow held and answered at once": {func(r *Reader) {
			r.HandlePeerProof(3000, 4300, revisionAt(10), PeerProof{Age: 100, Held: 1200})
		}, 4100},
		"follow reply delayed": {func(r *Reader) {
			r.HandlePeerProof(3000, 9000, revisionAt(10), PeerProof{Age: 100, Held: 1200})
		}, 4100},
		"peer with an older proof": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, revisionAt(10), PeerProof{Age: 2500, Held: 2})
		}, 1000},
		"peer behind the mirror": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, revisionAt(8), PeerProof{Age: 400, Held: 2})
		}, 2602},
		"peer ahead of the mirror": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, revisionAt(12), PeerProof{Age: 400, Held: 2})
		}, 1000},
		"peer without a mirror": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, revisionAt(0), PeerProof{Age: 400, Held: 2})
		}, 1000},
		"held longer than the request took": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, revisionAt(10), PeerProof{Age: 0, Held: 11})
		}, 1000},
		"negative age": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, revisionAt(10), PeerProof{Age: -1, Held: 1})
		}, 1000},
		"undefined age": {func(r *Reader) {
			r.HandlePeerProof(3000, 3010, revisionAt(10), PeerProof{Age: clock.Millis(math.NaN()), Held: 1})
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
	empty.HandlePeerProof(3000, 3010, revisionAt(10), PeerProof{Age: 400, Held: 2})
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

// Guards against a proof of a mirror that lacks a change, whatever is lost, delayed,
// frozen, listed again or passed on by peers, and for clocks that differ.
func TestProofHoldsUnderFaults(t *testing.T) {
	proofs := 0
	for seed := range uint64(100) {
		s := newSimulation(seed, 0.05, 0.2)
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
		s := newSimulation(1, changeChance, 0)
		for range 4 {
			s.store.write(0, false)
		}
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
