package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

// siblings returns two documents that follow base and have the same revision, the one with
// the smaller digest first.
func siblings(base Document) (lower, higher Document) {
	lower = base.successor("lower", []byte("lower"))
	for n := 0; ; n++ {
		higher = base.successor(fmt.Sprintf("higher-%d", n), []byte("higher"))
		if higher.Digest() > lower.Digest() {
			return lower, higher
		}
	}
}

// proposeWrite proposes a change of r and returns the write that follows the answer to
// the read of the key.
func proposeWrite(t *testing.T, r *Rollout, changeID string, body []byte, token uint64) Action {
	t.Helper()
	actions := r.Propose(0, NewProposal(r.Current().Revision(), changeID, body))
	require.Equal(t, []ActionKind{Read}, actionKinds(actions))
	actions = r.HandlePlatformEvent(0, NewEvent(Value, actions[0].CallID(), token, r.Current()))
	require.Equal(t, []ActionKind{CompareAndSwap}, actionKinds(actions))
	return actions[0]
}

// Guards against the reply to a write that the platform has lost since: it must neither
// replace the change accepted after the return nor be reported as applied.
func TestLateReplyToLostWriteChangesNothing(t *testing.T) {
	base := NewDocument(1, "base", nil)
	lower, higher := siblings(base)
	for name, c := range map[string]struct{ lost, accepted Document }{
		"lost change has the smaller digest": {lower, higher},
		"lost change has the larger digest":  {higher, lower},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRollout("a:1")
			r.applyIfNewer(0, base, "", "test")
			write := proposeWrite(t, r, c.lost.ChangeID(), c.lost.Body(), 5)
			require.Equal(t, c.lost, write.Document())
			r.applyIfNewer(10, c.accepted, "", "from a peer")

			actions := r.HandlePlatformEvent(20, NewEvent(Written, write.CallID(), 6, Document{}))
			assert.Equal(t, c.accepted, r.Current())
			require.Equal(t, []ActionKind{ReportOutcome}, actionKinds(actions))
			assert.Equal(t, Unknown, actions[0].Outcome())
		})
	}
}

// Guards against the reply to a read or a watch from before a restore that replaces a change
// which was accepted after it: only the platform's present state does.
func TestLateReplyDoesNotReplaceLaterChange(t *testing.T) {
	base := NewDocument(1, "base", nil)
	accepted, sibling := siblings(base)
	for name, lost := range map[string]Document{
		"same revision, larger digest": sibling,
		"higher revision":              sibling.successor("lost", nil),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRollout("a:1")
			r.SetMembers(0, nil)
			r.applyIfNewer(0, base, "", "test")
			read := r.Tick(0)[0]
			require.Equal(t, Read, read.Kind())
			r.HandlePlatformEvent(0, NewEvent(Value, read.CallID(), 5, base))
			watch := r.Tick(0)[0]
			require.Equal(t, Watch, watch.Kind())

			r.applyIfNewer(10, accepted, "", "from a peer")
			assert.Empty(t, r.HandlePlatformEvent(20, NewEvent(Value, watch.CallID(), 6, lost)))
			assert.Equal(t, accepted, r.Current())
			assert.Empty(t, r.HandlePlatformEvent(20, NewEvent(Value, 99, 6, lost)), "a call that was given up")
			assert.Equal(t, accepted, r.Current())

			actions := r.Tick(500)
			require.Equal(t, []ActionKind{Read}, actionKinds(actions), "the key is read again")
			r.HandlePlatformEvent(510, NewEvent(Value, actions[0].CallID(), 6, lost))
			assert.Equal(t, lost, r.Current(), "the platform holds it")
		})
	}
}

// Guards against a proposal that ends by a reply from before a restore: a document that
// replaces none in force must not decide its outcome.
func TestProposalIgnoresLateReply(t *testing.T) {
	base := NewDocument(1, "base", nil)
	accepted, lost := siblings(base)
	r := newRollout("a:1")
	r.applyIfNewer(0, base, "", "test")
	read := r.Propose(0, NewProposal(1, lost.ChangeID(), lost.Body()))[0]
	r.applyIfNewer(10, accepted, "", "from a peer")
	assert.Empty(t, r.HandlePlatformEvent(20, NewEvent(Value, read.CallID(), 6, lost)))
	assert.Equal(t, accepted, r.Current())
	actions := r.Tick(500)
	require.Equal(t, []ActionKind{Read}, actionKinds(actions))
	actions = r.HandlePlatformEvent(510, NewEvent(Value, actions[0].CallID(), 6, accepted))
	require.Equal(t, []ActionKind{ReportOutcome}, actionKinds(actions))
	assert.Equal(t, Conflict, actions[0].Outcome())
}

// key is the platform's key, with the token that a document had when it was written.
type key struct {
	token    uint64
	document Document
}

// call performs a read or a write and returns the answer.
func (k *key) call(a Action) Event {
	switch {
	case a.Kind() == CompareAndSwap && a.Token() == k.token:
		k.token++
		k.document = a.Document()
		return NewEvent(Written, a.CallID(), k.token, Document{})
	case a.Kind() == CompareAndSwap:
		return NewEvent(WriteConflict, a.CallID(), k.token, k.document)
	default:
		return NewEvent(Value, a.CallID(), k.token, k.document)
	}
}

// settle performs the calls of a proposal until its outcome is reported.
func settle(t *testing.T, r *Rollout, k *key, actions []Action) Outcome {
	t.Helper()
	for range 10 {
		var call Action
		for _, a := range actions {
			switch a.Kind() {
			case ReportOutcome:
				return a.Outcome()
			case Read, CompareAndSwap:
				call = a
			}
		}
		require.NotZero(t, call.CallID(), "the proposal makes no call")
		actions = r.HandlePlatformEvent(0, k.call(call))
	}
	require.Fail(t, "the proposal has no outcome")
	return 0
}

// Guards against a change that replaces newer ones: the platform was restored from an older
// copy, and the token after which this daemon still watches was given out again.
func TestProposalDoesNotUseWatchedTokenAfterRestore(t *testing.T) {
	r := newRollout("a:1")
	r.SetMembers(0, nil)
	known := NewDocument(5, "known", nil)
	read := r.Tick(0)[0]
	r.HandlePlatformEvent(0, NewEvent(Value, read.CallID(), 9, known))
	watch := r.Tick(0)[0]
	require.Equal(t, Watch, watch.Kind())
	require.Equal(t, uint64(9), watch.Token())

	newer := known.successor("second", nil).successor("third", nil)
	k := key{token: 9, document: newer}
	outcome := settle(t, r, &k, r.Propose(0, NewProposal(5, "late", nil)))
	assert.Equal(t, Conflict, outcome)
	assert.Equal(t, key{token: 9, document: newer}, k)
	assert.Equal(t, newer, r.Current())
}

// Guards against a change that replaces another one with the revision that it expects: after
// a restore the revision was given out again, and the other change came into force before
// the write.
func TestProposalKeepsDocumentOfReusedRevision(t *testing.T) {
	base := NewDocument(1, "base", nil)
	seen, accepted := siblings(base)
	var r *Rollout
	propose := func() Action {
		r = newRollout("a:1")
		r.applyIfNewer(0, seen, "", "test")
		actions := r.Propose(0, NewProposal(2, "late", nil))
		require.Equal(t, []ActionKind{Read}, actionKinds(actions))
		return actions[0]
	}
	accept := func() key {
		r.applyIfNewer(0, accepted, "", "from a peer")
		return key{token: 6, document: accepted}
	}
	t.Run("before the read is answered", func(t *testing.T) {
		read := propose()
		k := accept()
		actions := r.HandlePlatformEvent(0, NewEvent(Value, read.CallID(), 6, seen))
		assert.Equal(t, Conflict, settle(t, r, &k, actions))
		assert.Equal(t, key{token: 6, document: accepted}, k)
	})
	t.Run("before the write is repeated", func(t *testing.T) {
		actions := r.HandlePlatformEvent(0, NewEvent(Value, propose().CallID(), 5, base))
		require.Equal(t, []ActionKind{CompareAndSwap}, actionKinds(actions))
		r.HandlePlatformEvent(0, NewEvent(WriteConflict, actions[0].CallID(), 6, seen))
		k := accept()
		assert.Equal(t, Conflict, settle(t, r, &k, r.Tick(clock.Second)))
		assert.Equal(t, key{token: 6, document: accepted}, k)
	})
}

// Guards against a repeated change that is reported as accepted although it isn't in force:
// the restored platform holds an older document with it, which is about to be replaced.
func TestChangeOfRestoredDocumentIsNotReportedAsApplied(t *testing.T) {
	base := NewDocument(1, "base", nil)
	lost, inForce := siblings(base)
	r := newRollout("a:1")
	r.applyIfNewer(0, inForce, "", "test")
	k := key{token: 6, document: lost}
	assert.Equal(t, Applied, settle(t, r, &k, r.Propose(0, NewProposal(2, lost.ChangeID(), lost.Body()))))
	assert.True(t, r.Current().IncludesChange(lost.ChangeID()), "the change is in force")
	assert.True(t, r.Current().IncludesChange(inForce.ChangeID()), "with the one that was in force before")
	assert.Equal(t, r.Current(), k.document)
}

// Guards against a proposal that is accepted on top of the outdated document of a restored
// platform although a peer has announced a newer one, and is lost with it; and against a
// proposal that waits for a document whose announcing peer was lost.
func TestProposalWaitsForNewerDocumentOfPeer(t *testing.T) {
	old := NewDocument(3, "old", nil)
	newer := old.successor("second", nil).successor("third", nil)
	for name, c := range map[string]struct {
		peer    func(r *Rollout) // what the peer does after 200 ms
		outcome Outcome
		key     key
	}{
		"peer sends it": {
			func(r *Rollout) { r.Receive(200, "b:1", newChunk(newer, newer.Digest(), 0)) }, Conflict,
			key{token: 5, document: old},
		},
		"peer is lost": {
			func(r *Rollout) { r.LinkDown(200, "b:1") }, Applied,
			key{token: 6, document: old.successor("late", nil)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRollout("a:1")
			r.applyIfNewer(0, old, "", "test")
			r.LinkUp(0, "b:1")
			r.Receive(0, "b:1", NewOffer(newer.SettingsVersion()))
			k := key{token: 5, document: old}
			var outcome Outcome
			actions := r.Propose(0, NewProposal(3, "late", nil))
			for now := clock.Millis(0); now < clock.Second; now += fleet.TickInterval {
				for len(actions) > 0 {
					a := actions[0]
					actions = actions[1:]
					switch a.Kind() {
					case Read, CompareAndSwap:
						actions = append(actions, r.HandlePlatformEvent(now, k.call(a))...)
					case ReportOutcome:
						outcome = a.Outcome()
					}
				}
				if now == 200 {
					c.peer(r)
				}
				actions = r.Tick(now)
			}
			assert.Equal(t, c.outcome, outcome)
			assert.Equal(t, c.key, k)
			if outcome == Applied {
				assert.True(t, r.Current().IncludesChange("late"))
			}
		})
	}
}
