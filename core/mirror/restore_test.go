package mirror

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// testSchema derives the kind of a key from its first character: e is ephemeral, r a restriction,
// s conditional. The number at the end of a value, if there is one, is its sequence.
type testSchema struct{}

func (testSchema) Kind(key string) Kind {
	switch key[0] {
	case 'e':
		return Ephemeral
	case 'r':
		return Restriction
	case 's':
		return Conditional
	}
	return Durable
}

func (testSchema) Sequence(item Item) Sequence {
	var n int64
	_, text, _ := strings.Cut(string(item.Value()), " ")
	_, _ = fmt.Sscan(text, &n)
	return Sequence{n}
}

// valued returns an item with a value.
func valued(key, value string, revision Revision) Item {
	return NewItem(key, []byte(value), revision)
}

// inEra returns the revision with a number in an era that the store states.
func inEra(stated, number uint64) Revision { return NewRevision(NewEra(stated, 0), number) }

// restoredStore is a store that is restored from an older copy once.
type restoredStore struct {
	stated   bool // whether it states its era
	restored bool
	newest   uint64
	commits  map[Revision]clock.Millis
	away     bool
}

func (s *restoredStore) revision() Revision {
	era := Era{}
	if s.stated {
		era = NewEra(1, 0)
		if s.restored {
			era = NewEra(2, 0)
		}
	}
	return NewRevision(era, s.newest)
}

// longestTimeToEffect returns the longest time from a commit after the restore of a store to
// its arrival in the mirror of a daemon. The copy lacks the given number of revisions, and the
// store is unavailable for 1.5 s.
func longestTimeToEffect(seed, lost uint64, interval clock.Millis, stated bool) clock.Millis {
	const step, awayAt, restoredAt, end = 5 * clock.Millisecond, 20 * clock.Second, 21500 * clock.Millisecond, clock.Minute
	random := rand.New(rand.NewPCG(seed, 49))
	var m Mirror
	r := NewReader(1, &m, random)
	s := &restoredStore{stated: stated, newest: 1000, commits: make(map[Revision]clock.Millis)}
	var calls []*delayedCall
	var longest, nextCommit clock.Millis
	restored := false
	var waiting []clock.Millis // commits since the restore that have not arrived
	for now := clock.Millis(10); now < end; now += step {
		s.away = now >= awayAt && now < restoredAt
		if now >= restoredAt && !restored {
			restored, s.restored = true, true
			s.newest -= lost
		}
		if now >= nextCommit && !s.away {
			s.newest++
			nextCommit = now + interval*clock.Millis(0.5+random.Float64())
			if restored {
				waiting = append(waiting, now)
			}
		}
		busy := slices.ContainsFunc(calls, func(c *delayedCall) bool { return !c.failed && now < c.sentAt+c.call.Overdue() && r.Awaits(c.call) })
		if next := r.Next(now); !busy && next.At() <= now {
			calls = append(calls, &delayedCall{call: r.Begin(next, now, now), sentAt: now})
		}
		mirrored := m.Revision()
		calls = slices.DeleteFunc(calls, func(c *delayedCall) bool {
			after := c.call.AfterRevision().Number()
			switch {
			case s.away:
				r.RecordFailure(c.call, now, ErrUnavailable)
			case c.call.Kind() == List:
				r.HandlePage(c.call, now, nil, s.revision(), false)
			case after > s.newest:
				r.RecordFailure(c.call, now, ErrCompacted)
			case s.newest > after || now >= c.sentAt+c.call.Wait():
				r.HandleEvents(c.call, now, nil, s.revision())
			default:
				return false
			}
			return true
		})
		if m.Revision() != mirrored && restored && m.Revision().Number() == s.newest {
			for _, at := range waiting {
				longest = max(longest, now-at)
			}
			waiting = nil
		}
	}
	for _, at := range waiting[:max(0, len(waiting)-1)] {
		longest = max(longest, end-at)
	}
	return longest
}

// Guards against changes that take effect late, or never, after the store was restored from an
// older copy: its listings seem to be older than the mirror, and its watches compacted.
func TestChangesArriveInTimeAfterRestore(t *testing.T) {
	for _, lost := range []uint64{0, 1, 5, 20, 60, 400} {
		for _, interval := range []clock.Millis{50, 200, 1000} {
			for seed := range uint64(10) {
				assert.LessOrEqual(t, longestTimeToEffect(seed, lost, interval, true), changeBound,
					"%d revisions lost, a change every %v, seed %d", lost, interval, seed)
				if lost >= 60 {
					// With fewer the revisions have caught up before the daemon's next call.
					assert.LessOrEqual(t, longestTimeToEffect(seed, lost, interval, false), changeBound,
						"era not stated, %d revisions lost, a change every %v, seed %d", lost, interval, seed)
				}
			}
		}
	}
}

// newRestoredReader returns a reader of era 1 whose mirror has the items at revision 100.
func newRestoredReader(items ...Item) *Reader {
	m := &Mirror{}
	m.SetSchema(testSchema{})
	r := newTestReader(m)
	r.HandlePage(r.Begin(r.Next(0), 0, 0), 0, items, inEra(1, 100), false)
	return r
}

// restoreAt lets a reader find that the store is in era 2, and list it.
func restoreAt(t *testing.T, r *Reader, now clock.Millis, revision uint64, items ...Item) []Item {
	t.Helper()
	r.HandleEvents(r.Begin(r.Next(now), now, now), now, nil, inEra(2, revision))
	call := r.Begin(r.Next(now), now, now)
	require.Equal(t, List, call.Kind())
	return r.HandlePage(call, now, items, inEra(2, revision), false)
}

// Guards against what was in force and goes back with a copy that is older: a version of the
// configuration, a replica that is leaving or has left, and a data centre out of service.
func TestKnownStateOutlivesOlderCopy(t *testing.T) {
	const restoredAt = 10 * clock.Second
	for name, c := range map[string]struct {
		known, listed string       // "" if the key is missing
		key           string       // see testSchema
		kept          string       // value just after the restore
		until         clock.Millis // from when on the listed one is in effect
	}{
		"older configuration":        {"v 7", "v 5", "config", "v 7", rewritePeriod},
		"newer configuration":        {"v 7", "v 8", "config", "v 8", 0},
		"same configuration":         {"v 7", "v 7", "config", "v 7", 0},
		"configuration is missing":   {"v 7", "", "config", "v 7", rewritePeriod},
		"removed configuration":      {"", "v 7", "config", "", rewritePeriod},
		"leaving replica is ready":   {"leaving 9", "ready 7", "e1", "leaving 9", rewritePeriod},
		"ready replica is leaving":   {"ready 7", "leaving 9", "e1", "leaving 9", 0},
		"replica is missing":         {"ready 7", "", "e1", "ready 7", lapseGracePeriod},
		"removed replica is listed":  {"", "ready 7", "e1", "", rewritePeriod},
		"data centre out is missing": {"out", "", "r1", "out", rewritePeriod},
		"data centre in is out":      {"", "out", "r1", "out", 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRestoredReader(valued(c.key, cmpOr(c.known, "first 1"), inEra(1, 90)))
			if c.known == "" {
				r.HandleEvents(r.Begin(r.Next(1200), 1200, 1200), 1200, []Item{NewRemoval(c.key, inEra(1, 101))}, inEra(1, 101))
			}
			var listing []Item
			if c.listed != "" {
				listing = append(listing, valued(c.key, c.listed, inEra(2, 80)))
			}
			restoreAt(t, r, restoredAt, 85, listing...)
			value := func() string {
				item, _ := r.mirror.Get(c.key)
				return string(item.Value())
			}
			assert.Equal(t, c.kept, value())
			r.mirror.Expire(restoredAt + c.until - 1)
			assert.Equal(t, c.kept, value())
			r.mirror.Expire(restoredAt + c.until)
			assert.Equal(t, c.listed, value(), "the store is right in the end")
			items, complete, _ := r.mirror.ChangesSince(Revision{})
			assert.True(t, complete)
			assert.Len(t, items, len(listing), "for a peer")
		})
	}
}

// cmpOr returns the first text that is not empty.
func cmpOr(first, second string) string {
	if first == "" {
		return second
	}
	return first
}

// Guards against the status of a release that is written on condition of a revision that the
// store doesn't have, since the status from before the restore stays in effect.
func TestConditionalItemsFollowStoreAtOnce(t *testing.T) {
	r := newRestoredReader(valued("s1", "completed", inEra(1, 90)), valued("s2", "running", inEra(1, 91)), valued("s3", "running", inEra(1, 92)))
	r.HandleEvents(r.Begin(r.Next(1200), 1200, 1200), 1200, []Item{NewRemoval("s3", inEra(1, 101))}, inEra(1, 101))
	changes := restoreAt(t, r, 10_000, 80, valued("s1", "running", inEra(2, 70)), valued("s3", "running", inEra(2, 72)))
	assert.ElementsMatch(t, []Item{
		valued("s1", "running", inEra(2, 70)), NewRemoval("s2", inEra(2, 80)), valued("s3", "running", inEra(2, 72)),
	}, changes)
	assert.Zero(t, r.mirror.Retained())
}

// Guards against a replica, or a version of the configuration, whose return is ignored because
// the state from before the restore stays in effect.
func TestWritesAfterRestoreEndRetention(t *testing.T) {
	r := newRestoredReader(valued("config", "v 7", inEra(1, 90)), valued("e1", "leaving 9", inEra(1, 91)), valued("r1", "out", inEra(1, 92)))
	restoreAt(t, r, 10_000, 80, valued("config", "v 5", inEra(2, 70)), valued("e1", "ready 7", inEra(2, 71)))
	apply := func(now clock.Millis, revision uint64, events ...Item) []string {
		return changedKeys(r.HandleEvents(r.Begin(r.Next(now), now, now), now, events, inEra(2, revision)))
	}
	assert.Empty(t, apply(11_200, 82, valued("config", "v 6", inEra(2, 81))), "written again in order")
	assert.Equal(t, []string{"config"}, apply(12_400, 83, valued("config", "v 8", inEra(2, 83))))
	assert.Equal(t, []string{"e1"}, apply(13_600, 84, valued("e1", "ready 10", inEra(2, 84))))
	assert.Equal(t, []string{"r1"}, apply(14_800, 85, valued("r1", "out", inEra(2, 85))))
	assert.Zero(t, r.mirror.Retained())
	assert.Empty(t, r.mirror.Expire(clock.Minute))
}

// Guards against a key that is withdrawn and stays in force until the end of the retention: it
// was written again after the restore, and the daemon learns only of its removal.
func TestRemovalAfterRestoreEndsRetention(t *testing.T) {
	r := newRestoredReader(valued("config", "v 7", inEra(1, 90)))
	restoreAt(t, r, 10_000, 80)
	call := r.Begin(r.Next(11_200), 11_200, 11_200)
	removal := NewRemoval("config", inEra(2, 82))
	assert.Equal(t, []string{"-config"}, changedKeys(r.HandleEvents(call, 11_200, []Item{removal}, inEra(2, 82))))
	assert.Zero(t, r.mirror.Retained())
}

// Guards against a replica that has left and is used again: after the restore its entry was
// missing, and was then written again in the state of before its leaving.
func TestRepeatedWriteHasNotLapsed(t *testing.T) {
	r := newRestoredReader(valued("e1", "leaving 9", inEra(1, 90)))
	restoreAt(t, r, 10_000, 80)
	call := r.Begin(r.Next(11_200), 11_200, 11_200)
	assert.Empty(t, r.HandleEvents(call, 11_200, []Item{valued("e1", "ready 7", inEra(2, 81))}, inEra(2, 81)))
	assert.Zero(t, r.mirror.Held())
	assert.Empty(t, r.mirror.Expire(10_000+lapseGracePeriod))
	assert.Equal(t, []string{"e1"}, changedKeys(r.mirror.Expire(10_000+rewritePeriod)), "the store is right in the end")

	r = newRestoredReader(valued("e1", "leaving 9", inEra(1, 90)))
	restoreAt(t, r, 10_000, 80)
	r.RecordFailure(r.Begin(r.Next(11_200), 11_200, 11_200), 11_200, ErrUnavailable)
	call = r.Begin(r.Next(12_000), 12_000, 12_000)
	r.HandleEvents(call, 12_000, []Item{valued("e1", "ready 7", inEra(2, 81)), NewRemoval("e1", inEra(2, 82))}, inEra(2, 82))
	assert.False(t, r.mirror.Stored("e1"))
	assert.Equal(t, []string{"-e1"}, changedKeys(r.mirror.Expire(11_200+lapseGracePeriod)))
}

// Guards against a configuration that goes back because the store is restored twice, and the second
// copy is older than the state in force but newer than the first copy.
func TestKnownStateOutlivesSecondCopy(t *testing.T) {
	r := newRestoredReader(valued("config", "third", inEra(1, 90)), valued("e1", "ready", inEra(1, 60)))
	r.HandleEvents(r.Begin(r.Next(1200), 1200, 1200), 1200, []Item{NewRemoval("e1", inEra(1, 101))}, inEra(1, 101))
	restoreAt(t, r, 10_000, 55, valued("config", "first", inEra(2, 40)))
	r.HandleEvents(r.Begin(r.Next(11_200), 11_200, 11_200), 11_200, nil, inEra(3, 71))
	call := r.Begin(r.Next(11_200), 11_200, 11_200)
	copied := []Item{valued("config", "second", inEra(3, 65)), valued("e1", "ready", inEra(3, 60))}
	assert.Empty(t, r.HandlePage(call, 11_200, copied, inEra(3, 71), false))
	assert.Empty(t, r.mirror.Expire(11_200+rewritePeriod-1))
	assert.Equal(t, []string{"config", "e1"}, changedKeys(r.mirror.Expire(11_200+rewritePeriod)))
}

// Guards against an evacuation that ends, and a replica that has left and is used again, because
// the store is listed a second time before operators have repeated the writes that it lost.
func TestRetentionOutlivesNextListing(t *testing.T) {
	r := newRestoredReader(valued("config", "v 7", inEra(1, 90)), valued("r1", "out", inEra(1, 92)), valued("e1", "ready 3", inEra(1, 93)))
	r.HandleEvents(r.Begin(r.Next(1200), 1200, 1200), 1200, []Item{NewRemoval("e1", inEra(1, 101))}, inEra(1, 101))
	copied := []Item{valued("config", "v 5", inEra(2, 70)), valued("e1", "ready 3", inEra(2, 71))}
	restoreAt(t, r, 10_000, 80, slices.Clone(copied)...)
	call := r.Begin(r.Next(11_200), 11_200, 11_200)
	r.RecordFailure(call, 11_200, ErrCompacted)
	changes := r.HandlePage(r.Begin(r.Next(11_200), 11_200, 11_200), 11_200, copied, inEra(2, 81), false)
	assert.Empty(t, changes)
	assert.Equal(t, 3, r.mirror.Retained())
	call = r.Begin(r.Next(12_400), 12_400, 12_400)
	r.RecordFailure(call, 12_400, ErrCompacted)
	r.HandlePage(r.Begin(r.Next(12_400), 12_400, 12_400), 12_400, copied[:1], inEra(2, 82), false)
	assert.Equal(t, 2, r.mirror.Retained(), "the store has removed the replica")
}

// Guards against a late reply of an earlier era that changes what is in effect, and against
// changes of a later era that are applied without a listing.
func TestRepliesOfOtherErasChangeNothing(t *testing.T) {
	r := newRestoredReader(valued("a", "1", inEra(1, 90)))
	late := r.Begin(r.Next(1200), 1200, 1200)
	restoreAt(t, r, 2000, 80, valued("a", "1", inEra(2, 70)))
	assert.Empty(t, r.HandleEvents(late, 2100, []Item{valued("b", "late", inEra(1, 101))}, inEra(1, 101)))
	assert.Empty(t, r.HandlePeerReply(2200, []Item{valued("b", "late", inEra(1, 101))}, true, inEra(1, 101), 0), "of a peer")
	assert.Equal(t, inEra(2, 80), r.mirror.Revision())
	assert.EqualValues(t, 2, r.mirror.Revision().Era().Stated())

	call := r.Begin(r.Next(3400), 3400, 3400)
	assert.Empty(t, r.HandleEvents(call, 3400, []Item{valued("b", "new", inEra(3, 90))}, inEra(3, 90)))
	assert.Equal(t, List, r.Next(3400).Kind())
	assert.Empty(t, r.HandlePeerReply(3400, []Item{valued("b", "new", inEra(3, 90))}, false, inEra(3, 90), 0))
	assert.Equal(t, []string{"b"}, changedKeys(r.HandlePeerReply(3400, []Item{valued("b", "new", inEra(3, 90))}, true, inEra(3, 90), 0)))
}

// Guards against changes that are missed: a watch that began in an earlier era is answered in the
// next one, after a number that the mirror has not reached there.
func TestWatchOfEarlierEraLeavesGap(t *testing.T) {
	r := newRestoredReader(valued("a", "1", inEra(1, 90)))
	watch := r.Begin(r.Next(1200), 1200, 1200)
	require.Equal(t, inEra(1, 100), watch.AfterRevision())
	restoreAt(t, r, 2000, 80, valued("a", "1", inEra(2, 70)))
	assert.Empty(t, r.HandleEvents(watch, 3000, []Item{valued("b", "2", inEra(2, 101))}, inEra(2, 101)))
	assert.Equal(t, inEra(2, 80), r.mirror.Revision())
	assert.EqualValues(t, 1000, r.Age(3000))
	at, _ := r.ProvenAt()
	assert.EqualValues(t, 2000, at)
	call := r.Begin(r.Next(3100), 3100, 3100)
	r.HandleEvents(call, 3100, []Item{valued("c", "2", inEra(2, 100)), valued("b", "2", inEra(2, 101))}, inEra(2, 101))
	assert.Equal(t, 3, r.mirror.Len())
}

// Guards against a restore that goes unnoticed because the store does not state its era, or
// states the same one as before.
func TestLowerRevisionShowsRestore(t *testing.T) {
	for name, stated := range map[string]uint64{"not stated": 0, "same": 1} {
		t.Run(name, func(t *testing.T) {
			r := newRestoredReader(valued("a", "1", inEra(1, 90)))
			overtaken := r.Begin(r.Next(1200), 1200, 1200)
			r.HandlePeerReply(1300, []Item{valued("a", "2", inEra(1, 110))}, false, inEra(1, 110), 0)
			r.HandleEvents(overtaken, 1400, nil, inEra(stated, 105))
			assert.Equal(t, inEra(1, 110), r.mirror.Revision(), "the call began before revision 110 was known")
			assert.Equal(t, Watch, r.Next(1400).Kind())

			call := r.Begin(r.Next(2600), 2600, 2600)
			r.RecordFailure(call, 2600, ErrCompacted)
			first := r.Begin(r.Next(2600), 2600, 2600)
			r.HandlePage(first, 2610, []Item{valued("a", "1", inEra(stated, 90))}, inEra(stated, 95), true)
			second := r.Begin(r.Next(2620), 2620, 2620)
			r.HandlePage(second, 2630, []Item{valued("b", "1", inEra(stated, 111))}, inEra(stated, 111), false)
			assert.Equal(t, NewRevision(NewEra(1, 1), 95), r.mirror.Revision(), "revisions have caught up before the second page")
			call = r.Begin(r.Next(3800), 3800, 3800)
			assert.Equal(t, []string{"c"}, changedKeys(r.HandleEvents(call, 3800, []Item{valued("c", "1", inEra(stated, 112))}, inEra(stated, 112))))
		})
	}
}

// Guards against a daemon that lists an earlier era than its peers know, because it has
// started after a restore that the store does not state.
func TestEraOfPeerHoldsForNextListing(t *testing.T) {
	r := newTestReader(&Mirror{})
	r.HandlePage(r.Begin(r.Next(0), 0, 0), 0, []Item{item("a", 5)}, revisionAt(10), false)
	r.ObserveEra(500, NewEra(0, 1))
	call := r.Begin(r.Next(600), 600, 600)
	require.Equal(t, List, call.Kind())
	r.HandlePage(call, 600, []Item{item("a", 5)}, revisionAt(10), false)
	assert.Equal(t, NewRevision(NewEra(0, 1), 10), r.mirror.Revision())
	r.ObserveEra(700, NewEra(0, 1))
	assert.Equal(t, Watch, r.Next(700).Kind())
}

// Guards against a replica that has left and is used again: the daemon has started after it left, so
// that it knows no removal, and then the store is restored from an older copy.
func TestEntryThatMirrorLackedStaysUnused(t *testing.T) {
	r := newRestoredReader(valued("e1", "ready 3", inEra(1, 90)))
	changes := restoreAt(t, r, 10_000, 111, valued("e1", "ready 3", inEra(2, 80)), valued("e2", "ready 5", inEra(2, 70)),
		valued("e3", "ready 1", inEra(2, 110)), valued("config", "v 1", inEra(2, 71)))
	assert.Equal(t, []string{"e1", "e3", "config"}, changedKeys(changes), "e3 is newer than the mirror was")
	call := r.Begin(r.Next(11_200), 11_200, 11_200)
	changes = r.HandleEvents(call, 11_200, []Item{valued("e2", "ready 6", inEra(2, 112))}, inEra(2, 112))
	assert.Equal(t, []string{"e2"}, changedKeys(changes), "it runs")
}

// Guards against a replica that has left and stays in use: its removal was held back, because the store
// failed, when the store was restored from a copy that has its entry.
func TestHeldRemovalOutlivesRestore(t *testing.T) {
	for name, listed := range map[string][]Item{"listed": {valued("e1", "ready 3", inEra(2, 80))}, "missing": nil} {
		t.Run(name, func(t *testing.T) {
			r := newRestoredReader(valued("e1", "ready 3", inEra(1, 90)))
			r.RecordFailure(r.Begin(r.Next(1200), 1200, 1200), 1200, ErrUnavailable)
			assert.Empty(t, r.HandlePeerReply(1300, []Item{NewRemoval("e1", inEra(1, 101))}, false, inEra(1, 101), 0))
			restoreAt(t, r, 2000, 85, listed...)
			_, used := r.mirror.Get("e1")
			assert.True(t, used, "it may have lapsed")
			assert.Equal(t, 1, r.mirror.Held())
			assert.Empty(t, r.mirror.Expire(1200+lapseGracePeriod-1))
			assert.Equal(t, []string{"-e1"}, changedKeys(r.mirror.Expire(1200+lapseGracePeriod)))
			assert.Zero(t, r.mirror.Held())
			items, _, _ := r.mirror.ChangesSince(Revision{})
			assert.Len(t, items, len(listed), "for a peer")
			call := r.Begin(r.Next(4000), 4000, 4000)
			assert.Equal(t, []string{"e1"},
				changedKeys(r.HandleEvents(call, 4000, []Item{valued("e1", "ready 4", inEra(2, 86))}, inEra(2, 86))), "it runs")
		})
	}
}

// Guards against a replica that has left and stays in use: the store is restored twice while its
// removal is held back.
func TestHeldRemovalOutlivesSecondRestore(t *testing.T) {
	r := newRestoredReader(valued("e1", "ready 3", inEra(1, 90)))
	r.RecordFailure(r.Begin(r.Next(1200), 1200, 1200), 1200, ErrUnavailable)
	r.HandlePeerReply(1300, []Item{NewRemoval("e1", inEra(1, 101))}, false, inEra(1, 101), 0)
	restoreAt(t, r, 2000, 85, valued("e1", "ready 3", inEra(2, 80)))
	assert.Equal(t, 1, r.mirror.Held())
	call := r.Begin(r.Next(2100), 2100, 2100)
	r.HandleEvents(call, 2100, nil, inEra(3, 82))
	call = r.Begin(r.Next(2200), 2200, 2200)
	r.HandlePage(call, 2200, []Item{valued("e1", "ready 3", inEra(3, 80))}, inEra(3, 83), false)
	assert.Equal(t, 1, r.mirror.Held())
	assert.Equal(t, []string{"-e1"}, changedKeys(r.mirror.Expire(1200+lapseGracePeriod)))
}
