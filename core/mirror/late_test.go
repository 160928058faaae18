package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// changeBound is the stated bound on the time from a change to its effect, for a daemon with a
// path to the store or to a daemon that knows the changes.
const changeBound = 3 * clock.Second

// pendingReply is a reply on its way to a daemon.
type pendingReply struct {
	at       clock.Millis
	revision uint64
}

// longestLateness returns the longest time from a change to its arrival in the mirror of a
// daemon, if the replies of the store are delayed and a peer at a distance always knows the
// last change.
func longestLateness(seed uint64, delay func(random *rand.Rand) clock.Millis, peerDistance clock.Millis) clock.Millis {
	const step, length = 5 * clock.Millisecond, 2 * clock.Minute
	random := rand.New(rand.NewPCG(seed, 3))
	var m Mirror
	r := NewReader(1, &m, random)
	r.HandlePage(1, nil, 1, false)
	commits := []clock.Millis{0, 0} // by revision
	arrived := uint64(1)
	var longest, nextCommit clock.Millis
	var call Call
	var round *PeerRound
	var storeReply, peerReply *pendingReply
	calling, callSent := false, clock.Millis(0)
	for now := clock.Millis(10); now < length; now += step {
		if now >= nextCommit {
			commits = append(commits, now)
			nextCommit = now + 50 + 400*clock.Millis(random.Float64())
		}
		newest := uint64(len(commits) - 1)
		if next := r.Next(now); !calling && next.At() <= now {
			call, calling, callSent = next, true, now
			r.Begin(now, now)
		}
		if calling && storeReply == nil && (newest > call.AfterRevision() || now >= callSent+call.Wait()) {
			storeReply = &pendingReply{now + delay(random), newest}
		}
		switch {
		case storeReply != nil && now >= storeReply.at:
			r.HandleEvents(now, nil, storeReply.revision)
			calling, storeReply = false, nil
		case calling && now >= callSent+call.Timeout():
			r.RecordFailure(now, ErrUnavailable)
			calling, storeReply = false, nil
		}
		if started, due := r.StartPeerRound(now, now); due && peerReply == nil {
			round, peerReply = started, &pendingReply{now + 2*peerDistance, newest}
		} else if due {
			started.End()
		}
		if peerReply != nil && now >= peerReply.at {
			r.HandlePeerReply(now, nil, false, peerReply.revision, peerDistance)
			round.End()
			peerReply = nil
		}
		for ; arrived < m.Revision(); arrived++ {
			longest = max(longest, now-commits[arrived+1])
		}
	}
	if arrived < uint64(len(commits)-1) {
		longest = max(longest, length-commits[arrived+1])
	}
	return longest
}

// Guards against changes that take effect late while the replies of the store to one daemon
// are delayed, and its mirror passes for current as soon as one arrives.
func TestChangesArriveInTimeWithDelayedReplies(t *testing.T) {
	delays := map[string]func(*rand.Rand) clock.Millis{
		"0 to 2.5 s": func(random *rand.Rand) clock.Millis { return 2500 * clock.Millis(random.Float64()) },
	}
	for _, delay := range []clock.Millis{0, 1000, 1400, 1600, 1700, 1800, 3000} {
		delays[fmt.Sprint(delay)] = func(*rand.Rand) clock.Millis { return delay }
	}
	for name, delay := range delays {
		for _, distance := range []clock.Millis{20, 120} {
			for seed := range uint64(10) {
				assert.LessOrEqual(t, longestLateness(seed, delay, distance), changeBound,
					"replies late by %s, peer at %v, seed %d", name, distance, seed)
			}
		}
	}
}

// Guards against a mirror that looks newer than it is after a delayed reply, and against one
// that looks current because the store has no changes for it.
func TestDelayedRepliesAreDatedBack(t *testing.T) {
	r := newTestReader(newTestMirror())
	r.HandlePage(1, nil, 3, false)
	require.Equal(t, Watch, r.Next(2000).Kind())
	r.Begin(2000, 2000)
	r.HandleEvents(2000+watchWait+replyDelay, nil, 4)
	assert.Zero(t, r.Age(2000+watchWait+replyDelay))
	r.Next(4000)
	r.Begin(4000, 4000)
	r.HandleEvents(4000+watchWait+replyDelay+400, nil, 4)
	assert.EqualValues(t, 400, r.Age(4000+watchWait+replyDelay+400))
	r.RecordFailure(8000, ErrCompacted)
	assert.EqualValues(t, 8000-4000-watchWait-replyDelay, r.Age(8000))

	assert.EqualValues(t, 100, AgeAtArrival(100, watchWait+replyDelay, watchWait))
	assert.EqualValues(t, 150, AgeAtArrival(100, watchWait+replyDelay+50, watchWait))
}
