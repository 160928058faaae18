package mirror

import "github.com/lovagegap/lovagegap/core/clock"

const (
	// maxRoundPeers is the number of peers that a round asks at most. Some of them may be as
	// outdated as this daemon.
	maxRoundPeers = 3
	// peerReplyDelay is how long a round waits for the reply of a peer before it asks the next
	// one. A first copy is large, so it is waited for longer.
	peerReplyDelay = 200 * clock.Millisecond
	firstCopyDelay = clock.Second
)

// PeerRound is a round of requests for the mirrors of peers. It asks one after the other
// until a reply is current. It is not safe for concurrent use.
type PeerRound struct {
	reader *Reader
	all    bool // ask all peers, whatever they reply
	asked  int
	ended  bool
}

// StartPeerRound returns the round to start now, because the store has been silent or the
// proof is old, and false if there is none. SuspendingNow is the same instant on the clock
// that counts suspension. Rounds may overlap once the mirror is complete: a peer that does
// not reply must not delay the next one. The caller calls End.
func (r *Reader) StartPeerRound(now, suspendingNow clock.Millis) (*PeerRound, bool) {
	if (r.peerRounds > 0 && !r.mirror.Complete()) || !r.StartPeerRequest(now, suspendingNow) {
		return nil, false
	}
	r.peerRounds++
	return &PeerRound{reader: r, all: !r.mirror.Complete() || r.ProofOld(suspendingNow)}, true
}

// Next reports whether to ask another peer.
func (p *PeerRound) Next() bool {
	if p.ended || p.asked == maxRoundPeers {
		return false
	}
	p.asked++
	return true
}

// End ends the round. All replies have been recorded or given up.
func (p *PeerRound) End() { p.reader.peerRounds-- }

// Delay returns how long to wait for the reply of a peer before asking the next one.
func (p *PeerRound) Delay() clock.Millis {
	if !p.reader.mirror.Complete() {
		return firstCopyDelay
	}
	return peerReplyDelay
}

// RecordReply records the reply of a peer after it has been applied: the age of its mirror
// when it arrived, and whether the peer is settled. The round ends with a mirror that is
// current, unless removals are held back that it does not confirm.
func (p *PeerRound) RecordReply(revision Revision, age clock.Millis, settled bool) {
	known := !revision.IsZero() && revision.era == p.reader.mirror.Revision().era
	if known && age <= maxSourceAge && (settled || p.reader.mirror.Held() == 0) {
		p.ended = !p.all
	}
}
