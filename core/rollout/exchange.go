package rollout

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

const (
	// pullTimeout is the time without a chunk after which another peer is asked.
	// Three attempts fit into the 5 s within which a document must reach a daemon.
	pullTimeout = 1 * clock.Second
	// minOfferInterval is the minimum time between two offers to a peer that does
	// not pull the document.
	minOfferInterval = 1 * clock.Second
)

// pull is the transfer of a newer document from a peer in progress.
type pull struct {
	settingsVersion fleet.SettingsVersion
	source          fleet.ID
	document        Document // as far as it has arrived
	deadline        clock.Millis
	totalBytes      int
}

// LinkUp records that a link to peer is open. The peer's version is unknown until
// its first heartbeat or offer.
func (r *Rollout) LinkUp(_ clock.Millis, peer fleet.ID) []Action {
	r.peerVersions[peer] = fleet.SettingsVersion{}
	delete(r.nextOfferAt, peer)
	return nil
}

// LinkDown records that the link to peer is closed, by either side. A pull from
// that peer continues from another one.
func (r *Rollout) LinkDown(now clock.Millis, peer fleet.ID) []Action {
	delete(r.peerVersions, peer)
	delete(r.nextOfferAt, peer)
	if r.pull != nil && r.pull.source == peer {
		return r.pullFromNextPeer(now, nil)
	}
	return nil
}

// ReceivePeerSettings handles the version that a peer reported in a heartbeat. It
// pulls a newer document and offers the document in force to a peer with an older
// one. Reports of peers without a link are ignored.
func (r *Rollout) ReceivePeerSettings(now clock.Millis, peer fleet.ID, version fleet.SettingsVersion) []Action {
	if _, linked := r.peerVersions[peer]; !linked {
		return nil
	}
	r.peerVersions[peer] = version
	switch {
	case isNewer(version, r.settingsVersion):
		return r.startPull(now, peer, version)
	case isNewer(r.settingsVersion, version) && now >= r.nextOfferAt[peer]:
		return []Action{r.offer(now, peer)}
	default:
		return nil
	}
}

// Receive handles a message of an authenticated peer. Messages of other packages
// are ignored.
func (r *Rollout) Receive(now clock.Millis, from fleet.ID, message fleet.Message) []Action {
	switch v := message.(type) {
	case Offer:
		if _, linked := r.peerVersions[from]; !linked {
			return nil
		}
		r.peerVersions[from] = v.settingsVersion
		return r.startPull(now, from, v.settingsVersion)
	case Pull:
		return r.sendDocument(from, v)
	case Chunk:
		return r.receiveChunk(now, from, v)
	default:
		return nil
	}
}

func (r *Rollout) startPull(now clock.Millis, from fleet.ID, version fleet.SettingsVersion) []Action {
	if !isNewer(version, r.settingsVersion) || (r.pull != nil && !isNewer(version, r.pull.settingsVersion)) {
		return nil
	}
	r.pull = &pull{settingsVersion: version}
	return r.pullFrom(now, from, nil)
}

func (r *Rollout) pullFrom(now clock.Millis, from fleet.ID, actions []Action) []Action {
	r.pull.source = from
	r.pull.deadline = now + pullTimeout
	message := NewPull(r.pull.settingsVersion, len(r.pull.document.body))
	return append(actions, Action{kind: Send, peer: from, message: message})
}

// sendDocument sends all remaining chunks at once, because a request for each chunk
// would cost a round trip between regions per chunk.
func (r *Rollout) sendDocument(to fleet.ID, request Pull) []Action {
	if request.settingsVersion != r.settingsVersion || request.offset > len(r.current.body) {
		if isNewer(r.settingsVersion, request.settingsVersion) {
			return []Action{{kind: Send, peer: to, message: NewOffer(r.settingsVersion)}}
		}
		return nil
	}
	var actions []Action
	for offset := request.offset; ; offset += MaxChunkBytes {
		chunk := newChunk(r.current, r.settingsVersion.Digest(), offset)
		actions = append(actions, Action{kind: Send, peer: to, message: chunk})
		if offset+MaxChunkBytes >= len(r.current.body) {
			return actions
		}
	}
}

func (r *Rollout) receiveChunk(now clock.Millis, from fleet.ID, c Chunk) []Action {
	p := r.pull
	if p == nil || c.settingsVersion != p.settingsVersion || c.offset != len(p.document.body) {
		return nil
	}
	if c.offset == 0 {
		p.document = Document{revision: c.settingsVersion.Revision(), changeID: c.changeID, ancestors: c.ancestors}
		p.totalBytes = c.totalBytes
	}
	p.document.body = append(p.document.body, c.data...)
	p.deadline = now + pullTimeout
	if len(p.document.body) < p.totalBytes {
		return nil
	}
	r.pull = nil
	if p.document.Digest() != p.settingsVersion.Digest() {
		r.recordEvent(now, "document of "+string(from)+" does not match its digest")
		return nil
	}
	return r.applyIfNewer(now, p.document, from, "from "+string(from))
}

func (r *Rollout) tickPull(now clock.Millis, actions []Action) []Action {
	if r.pull == nil || now < r.pull.deadline {
		return actions
	}
	return r.pullFromNextPeer(now, actions)
}

// pullFromNextPeer continues the pull from the next peer, in the order of ids, that
// has the document.
func (r *Rollout) pullFromNextPeer(now clock.Millis, actions []Action) []Action {
	peers := r.sortedPeers()
	first := 0
	for first < len(peers) && peers[first] <= r.pull.source {
		first++
	}
	for i := range peers {
		peer := peers[(first+i)%len(peers)]
		if r.peerVersions[peer] == r.pull.settingsVersion {
			return r.pullFrom(now, peer, actions)
		}
	}
	// No linked peer has the document; the next heartbeat or offer starts a new pull.
	r.pull = nil
	return actions
}
