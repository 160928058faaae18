package rollout

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

func newRollout(id fleet.ID) *Rollout {
	return New(id, "ikeja", rand.New(rand.NewPCG(1, 1)), nil)
}

func actionKinds(actions []Action) []ActionKind {
	var found []ActionKind
	for _, a := range actions {
		found = append(found, a.Kind())
	}
	return found
}

// deliver passes messages between two rollouts until none is left.
func deliver(t *testing.T, now clock.Millis, from, to *Rollout, actions []Action) {
	for _, a := range actions {
		if a.Kind() != Send || a.Peer() != to.self {
			continue
		}
		data, err := Encode(fleet.NewMember(from.self, "", "", "", 1), a.Message())
		require.NoError(t, err)
		e, err := fleet.DecodeEnvelope(data)
		require.NoError(t, err)
		message, err := Decode(e)
		require.NoError(t, err)
		deliver(t, now, to, from, to.Receive(now, from.self, message))
	}
}

// Guards against daemons that disagree on the document in force, because one of
// them replaced it by a document that is older in the order of documents.
func TestNewerDocumentReplacesOlder(t *testing.T) {
	low, high := NewDocument(2, "x", []byte("1")), NewDocument(2, "y", []byte("2"))
	if low.Digest() > high.Digest() {
		low, high = high, low
	}
	cases := []struct {
		name             string
		current, offered Document
		want             Document
	}{
		{"first document", Document{}, low, low},
		{"older revision", low, NewDocument(1, "z", nil), low},
		{"newer revision", low, NewDocument(3, "z", nil), NewDocument(3, "z", nil)},
		{"same document", low, low, low},
		{"same revision, larger digest", low, high, high},
		{"same revision, smaller digest", high, low, high},
		{"no document", low, Document{}, low},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRollout("a:1")
			r.SetMembers(0, nil)
			r.applyIfNewer(0, c.current, "", "test")
			read := r.Tick(0)
			require.Equal(t, []ActionKind{Read}, actionKinds(read))
			r.HandlePlatformEvent(0, NewEvent(Value, read[0].CallID(), 1, c.offered))
			assert.Equal(t, c.want, r.Current())
		})
	}
}

// Guards against a platform that was restored to the document that a watcher saw last,
// while newer ones came from peers: a watch from that token would not return before its
// end, and the older document would stay at the platform for so long.
func TestRestoreToDocumentOfTokenIsFound(t *testing.T) {
	r := newRollout("a:1")
	old, newer := NewDocument(1, "x", []byte("1")), NewDocument(3, "y", []byte("3"))
	now := clock.Millis(0)
	next := func() Action {
		for ; now < 2*clock.Second; now += fleet.TickInterval {
			if actions := r.Tick(now); len(actions) > 0 {
				return actions[0]
			}
		}
		require.Fail(t, "no call to the platform")
		return Action{}
	}
	r.SetMembers(now, nil)
	read := next()
	require.Equal(t, Read, read.Kind())
	r.HandlePlatformEvent(now, NewEvent(Value, read.CallID(), 7, old))
	r.applyIfNewer(now, newer, "", "from a peer")

	read = next()
	require.Equal(t, Read, read.Kind(), "the platform holds the document of token 7 again")
	r.HandlePlatformEvent(now, NewEvent(Value, read.CallID(), 7, old))
	write := next()
	require.Equal(t, CompareAndSwap, write.Kind())
	assert.Equal(t, newer, write.Document())
	r.HandlePlatformEvent(now, NewEvent(Written, write.CallID(), 8, Document{}))
	assert.Equal(t, Watch, next().Kind(), "the platform holds the document in force")
}

// Guards against documents that arrive truncated or not at all when their size is
// at a limit of a chunk or of a document.
func TestLargeDocumentIsPulledInChunks(t *testing.T) {
	for _, size := range []int{0, 1, MaxChunkBytes, MaxChunkBytes + 1, MaxBodyBytes} {
		a, b := newRollout("a:1"), newRollout("b:1")
		a.LinkUp(0, "b:1")
		b.LinkUp(0, "a:1")
		document := NewDocument(1, "first", bytes.Repeat([]byte("x"), size))
		deliver(t, 0, a, b, a.applyIfNewer(0, document, "", "test"))
		assert.Equal(t, document.SettingsVersion(), b.SettingsVersion(), "%d bytes", size)
		assert.Equal(t, size, len(b.Current().Body()))
	}
}

// Guards against a pull that hangs when its peer stops answering in the middle: it
// must continue from another peer, at the same offset, after pullTimeout.
func TestPullContinuesFromNextPeer(t *testing.T) {
	r := newRollout("a:1")
	document := NewDocument(1, "first", bytes.Repeat([]byte("x"), 3*MaxChunkBytes))
	r.LinkUp(0, "b:1")
	r.LinkUp(0, "c:1")
	r.Receive(0, "b:1", NewOffer(document.SettingsVersion()))
	r.Receive(0, "c:1", NewOffer(document.SettingsVersion()))
	r.Receive(10, "b:1", newChunk(document, document.Digest(), 0))
	assert.Empty(t, r.Tick(900))
	actions := r.Tick(1100)
	require.Equal(t, []ActionKind{Send}, actionKinds(actions))
	assert.Equal(t, fleet.ID("c:1"), actions[0].Peer())
	assert.Equal(t, NewPull(document.SettingsVersion(), MaxChunkBytes), actions[0].Message())
	r.Receive(1200, "c:1", newChunk(document, document.Digest(), MaxChunkBytes))
	r.Receive(1200, "c:1", newChunk(document, document.Digest(), 2*MaxChunkBytes))
	assert.Equal(t, document.SettingsVersion(), r.SettingsVersion())
}

// Guards against content other than the offered one, which a faulty peer sends
// under the offered version, coming into force.
func TestDocumentWithWrongDigestIsRejected(t *testing.T) {
	r := newRollout("a:1")
	r.LinkUp(0, "b:1")
	document := NewDocument(1, "first", []byte("good"))
	r.Receive(0, "b:1", NewOffer(document.SettingsVersion()))
	assert.Empty(t, r.Receive(0, "b:1", newChunk(NewDocument(1, "first", []byte("evil")), document.Digest(), 0)))
	assert.Zero(t, r.Current().Revision())
}

// Guards against a change that is applied twice or refused as a conflict when an
// operator repeats it after a lost reply.
func TestRepeatedChangeIsAppliedOnce(t *testing.T) {
	first := NewDocument(1, "first", []byte("1"))
	cases := []struct {
		name             string
		current          Document
		expectedRevision uint64
	}{
		{"expecting its own revision", first, 1},
		{"expecting the revision before", first, 0},
		{"after another change", first.successor("second", []byte("2")), 0},
		{"on top of another change", first.successor("second", []byte("2")), 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRollout("a:1")
			r.applyIfNewer(0, c.current, "", "test")
			actions := r.Propose(0, NewProposal(c.expectedRevision, "first", []byte("1")))
			require.Equal(t, []ActionKind{ReportOutcome}, actionKinds(actions))
			assert.Equal(t, Applied, actions[0].Outcome())
			assert.Equal(t, c.current, r.Current())
		})
	}
}

// Guards against a data centre without a watcher and against calls to the platform
// that grow with the number of daemons.
func TestTwoDaemonsPerDataCentreWatchPlatform(t *testing.T) {
	var members []fleet.Member
	for _, id := range []fleet.ID{"a:1", "b:1", "c:1", "d:1", "e:1"} {
		members = append(members, fleet.NewMember(id, "", "ikeja", "", 1).WithState(fleet.Alive))
	}
	watching := 0
	for _, m := range members {
		r := newRollout(m.ID())
		r.SetMembers(0, members)
		if r.Watching() {
			watching++
		}
	}
	assert.Equal(t, 2, watching)
	alone := newRollout("a:1")
	alone.SetMembers(0, nil)
	assert.True(t, alone.Watching(), "a daemon without peers watches")
	assert.Equal(t, []ActionKind{Read}, actionKinds(alone.Tick(0)))
}

// Guards against a watcher that calls a failing platform at a high constant rate, and
// against a backoff that exceeds the 5 s target after the platform has recovered.
func TestWatcherBacksOff(t *testing.T) {
	r := newRollout("a:1")
	r.SetMembers(0, nil)
	calls, last, longest := 0, clock.Millis(0), clock.Millis(0)
	for now := clock.Millis(0); now < clock.Minute; now += 100 {
		for _, a := range r.Tick(now) {
			calls++
			longest = max(longest, now-last)
			last = now
			r.HandlePlatformEvent(now, NewEvent(Failed, a.CallID(), 0, Document{}))
		}
	}
	assert.Less(t, calls, 60)
	assert.Less(t, longest, 5*clock.Second)
}

// Guards against a document with another digest after it was stored and parsed, so
// that watchers and peers would disagree, and against stored values that break a
// limit.
func TestStoredDocumentRoundTrip(t *testing.T) {
	document := NewDocument(1, "a", []byte(`{"x": "é\n"}`)).successor("b", []byte(`{ "y" : 1 }`))
	value, err := document.EncodeStored()
	require.NoError(t, err)
	parsed, err := ParseStored(value)
	require.NoError(t, err)
	assert.Equal(t, document, parsed)
	assert.Equal(t, document.Digest(), parsed.Digest(), "watchers and peers see the same digest")
	for name, value := range map[string]string{
		"not JSON": "{", "no revision": `{"changeId":"a"}`, "no change": `{"revision":1}`,
		"long change": `{"revision":1,"changeId":"` + strings.Repeat("x", maxChangeIDBytes+1) + `"}`,
	} {
		_, err := ParseStored([]byte(value))
		assert.ErrorIs(t, err, ErrMalformed, name)
	}
	_, err = NewDocument(1, "a", make([]byte, MaxBodyBytes+1)).EncodeStored()
	assert.ErrorIs(t, err, ErrTooLarge)
}

// Guards against a panic, or an error other than ErrMalformed, on arbitrary bytes
// from a peer.
func FuzzDecode(f *testing.F) {
	from := fleet.NewMember("a:1", "", "", "", 1)
	document := NewDocument(3, "c", []byte("body"))
	version := document.SettingsVersion()
	for _, message := range []fleet.Message{NewOffer(version), NewPull(version, 2), newChunk(document, 1, 0)} {
		data, err := Encode(from, message)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := fleet.DecodeEnvelope(data)
		if err != nil {
			return
		}
		if _, err := Decode(e); err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
		}
	})
}
