package mirror

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// disorder delivers the replies of a store, and of peers, to a reader in any order.
type disorder struct {
	random  *rand.Rand
	now     clock.Millis
	store   *simulatedStore
	mirror  Mirror
	reader  *Reader
	check   mirrorCheck
	open    []Call   // without a reply
	replies []func() // on their way
}

// answer sends a reply of the store to a call.
func (o *disorder) answer(call Call) {
	h := o.store.current()
	after, newest := call.AfterRevision().Number(), h.newest()
	revision := NewRevision(o.store.era(), newest)
	switch {
	case call.Kind() == List:
		items := h.listing(call.AfterKey(), newest)
		page := items[:min(len(items), 1+o.random.IntN(3))]
		o.replies = append(o.replies, func() {
			o.reader.HandlePage(call, o.now, slices.Clone(page), revision, len(page) < len(items))
		})
	case after > newest:
		o.replies = append(o.replies, func() { o.reader.RecordFailure(call, o.now, ErrCompacted) })
	default:
		o.replies = append(o.replies, func() { o.reader.HandleEvents(call, o.now, h.changes(after, newest), revision) })
	}
}

// answerFromPeer sends the reply of a peer whose mirror is at any revision of any era. A
// complete listing may have been read in pages.
func (o *disorder) answerFromPeer() {
	index := o.random.IntN(len(o.store.eras))
	h, sent, after := o.store.eras[index], o.now, o.mirror.Revision()
	number := h.copied + o.random.Uint64N(h.newest()-h.copied+1)
	revision := NewRevision(NewEra(uint64(index+1), 0), number)
	complete := revision.era != after.era || number < after.number || o.random.IntN(3) == 0
	var items []Item
	through := number
	switch {
	case revision.era.Compare(after.era) < 0:
		complete = false
	case complete:
		through += o.random.Uint64N(h.newest() - number + 1)
		items = slices.Concat(h.listing("", number)[:len(h.listing("", number))-len(h.listing("e", number))], h.listing("e", through))
	default:
		items = h.changes(after.number, number)
	}
	proven := h.ended
	if number < h.newest() {
		proven = h.commits[number+1].at - 1
	} else if index == len(o.store.eras)-1 {
		proven = o.now
	}
	stamp(items, revision.era)
	o.replies = append(o.replies, func() {
		o.reader.HandlePeerReply(o.now, items, complete, revision, o.now-proven)
		o.reader.HandleListedThrough(revision, NewRevision(revision.era, through))
		o.reader.HandlePeerProof(sent, o.now, revision, PeerProof{Age: sent - proven})
	})
}

// step makes one thing happen.
func (o *disorder) step() error {
	o.now += clock.Millis(o.random.Float64()) * 200
	switch n := o.random.IntN(100); {
	case n < 30:
		o.store.write(o.now, o.random.IntN(3) == 0)
	case n < 33:
		o.store.restore(o.now, o.random.Uint64N(20))
	case n < 45:
		o.open = append(o.open, o.reader.Begin(o.reader.Next(o.now), o.now, o.now))
	case n < 50:
		o.answerFromPeer()
	case n < 65 && len(o.open) > 0:
		i := o.random.IntN(len(o.open))
		o.answer(o.open[i])
		o.open = slices.Delete(o.open, i, i+1)
	case n < 68 && len(o.open) > 0:
		o.reader.RecordFailure(o.open[o.random.IntN(len(o.open))], o.now, [...]error{ErrNoReply, ErrUnavailable}[n%2])
	case n < 95 && len(o.replies) > 0:
		i := o.random.IntN(len(o.replies))
		o.replies[i]()
		if o.random.IntN(3) > 0 {
			o.replies = slices.Delete(o.replies, i, i+1)
		}
	default:
		o.mirror.Expire(o.now)
	}
	if !o.mirror.Complete() {
		return nil
	}
	eras := o.store.eras[o.mirror.Revision().Era().Stated()-1:]
	if at, proven := o.reader.ProvenAt(); proven {
		if err := o.mirror.lacksAny(eras, at); err != nil {
			return err
		}
	}
	return o.check.run(eras[0])
}

// Guards against a mirror that goes back, lacks changes or proves what it lacks, after replies
// that come late, twice or never, overlap, or are those of peers of any era.
func TestRepliesInAnyOrder(t *testing.T) {
	for seed := range uint64(500) {
		o := &disorder{random: rand.New(rand.NewPCG(seed, 2)), now: 1, store: newSimulatedStore(true)}
		o.mirror.SetSchema(testSchema{})
		o.reader, o.check.mirror = NewReader(o.now, &o.mirror, o.random), &o.mirror
		for range 1000 {
			require.NoError(t, o.step(), "seed %d", seed)
		}
		o.replies, o.open = nil, nil
		for range 8 {
			o.answer(o.reader.Begin(o.reader.Next(o.now), o.now, o.now))
			o.replies[len(o.replies)-1]()
		}
		h := o.store.current()
		assert.Equal(t, NewRevision(o.store.era(), h.newest()), o.mirror.Revision(), "seed %d", seed)
		o.mirror.Expire(o.now + rewritePeriod)
		items, _, _ := o.mirror.ChangesSince(Revision{})
		assert.Zero(t, o.mirror.Retained()+o.mirror.Held(), "seed %d", seed)
		assert.Len(t, items, len(h.listing("", h.newest())), "seed %d", seed)
	}
}
