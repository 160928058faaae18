package mirror

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Guards against a mirror that stays outdated while the store rejects the daemon, because the
// peer that it asked is outdated too, and against needless requests once one is current.
func TestRoundEndsWithCurrentReply(t *testing.T) {
	type reply struct {
		revision uint64
		age      clock.Millis
		settled  bool
	}
	for name, c := range map[string]struct {
		held    bool
		replies []reply
		asked   int
	}{
		"current":                    {replies: []reply{{9, 100, false}}, asked: 1},
		"outdated, then current":     {replies: []reply{{9, maxSourceAge + 1, true}, {9, 0, false}}, asked: 2},
		"without a copy":             {replies: []reply{{0, 0, false}, {9, 0, false}}, asked: 2},
		"all outdated":               {replies: []reply{{9, 9000, false}, {9, 9000, false}, {9, 9000, false}}, asked: maxRoundPeers},
		"no reply":                   {replies: nil, asked: maxRoundPeers},
		"unsettled, nothing is held": {replies: []reply{{9, 0, false}}, asked: 1},
		"unsettled, removals held":   {held: true, replies: []reply{{9, 0, false}, {9, 0, true}}, asked: 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestReader(newTestMirror())
			if c.held {
				r.RecordFailure(Call{}, 10, ErrUnavailable)
				r.mirror.Apply(11, []Item{NewRemoval("a", revisionAt(5))}, revisionAt(5))
			}
			round, due := r.StartPeerRound(clock.Minute, 0)
			require.True(t, due)
			asked := 0
			for ; round.Next(); asked++ {
				if asked < len(c.replies) {
					round.RecordReply(revisionAt(c.replies[asked].revision), c.replies[asked].age, c.replies[asked].settled)
				}
			}
			assert.Equal(t, c.asked, asked)
		})
	}
}

// Guards against a daemon that starts, or whose proof is old, and trusts the first peer; and
// against several complete copies that are transferred at a time.
func TestRoundOfFirstCopyAsksSeveralPeers(t *testing.T) {
	var m Mirror
	r := newTestReader(&m)
	round, due := r.StartPeerRound(1, 0)
	require.True(t, due)
	asked := 0
	for ; round.Next(); asked++ {
		r.HandlePeerReply(10, []Item{item("a", 3)}, true, revisionAt(3), 0)
		round.RecordReply(revisionAt(3), 0, true)
	}
	assert.Equal(t, maxRoundPeers, asked)

	m, r = Mirror{}, newTestReader(&m)
	round, _ = r.StartPeerRound(1, 0)
	_, due = r.StartPeerRound(1+peerRequestInterval, 0)
	assert.False(t, due, "while another round copies the mirror")
	round.End()
	_, due = r.StartPeerRound(1+peerRequestInterval, 0)
	assert.True(t, due)
}
