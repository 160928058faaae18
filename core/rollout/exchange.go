package rollout

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

const (
	// pullTimeout is the time without progress after which another peer is
	// asked; three attempts fit into the 5 s target.
	pullTimeout = 1 * clock.Second
	// minOfferInterval bounds the offers that a slow or silent peer receives.
	minOfferInterval = 1 * clock.Second
)

// pull is the transfer of a newer document from a peer.
type pull struct {
	settingsVersion fleet.SettingsVersion
	source          fleet.ID
	document        Document
	deadline        clock.Millis
	totalBytes      int
}

// LinkUp says that a link to peer is open. The heartbeats on it tell what the
// peer has in force.
func (r *Rollout) LinkUp(_ clock.Millis, peer fleet.ID) []Action {
	r.peerVersions[peer] = fleet.SettingsVersion{}
	delete(r.nextOfferAt, peer)
	return nil
}

// LinkDown says that the link to peer is closed, by whichever side.
func (r *Rollout) LinkDown(now clock.Millis, peer fleet.ID) []Action {
	delete(r.peerVersions, peer)
	delete(r.nextOfferAt, peer)
	if r.pull != nil && r.pull.source == peer {
		return r.pullFromNextPeer(now, nil)
	}
	return nil
}

// ReceivePeerSettings takes the settings that a peer reported in a heartbeat and repairs a
// difference in either direction.
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

// Receive handles a message of an authenticated peer.
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

// sendDocument sends the rest of the document at once: a request for each piece would
// cost a round trip between regions for each.
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

// pullFromNextPeer continues a transfer from the next peer that has the document.
func (r *Rollout) pullFromNextPeer(now clock.Millis, actions []Action) []Action {
	order := r.sortedPeers()
	first := 0
	for first < len(order) && order[first] <= r.pull.source {
		first++
	}
	for i := range order {
		peer := order[(first+i)%len(order)]
		if r.peerVersions[peer] == r.pull.settingsVersion {
			return r.pullFrom(now, peer, actions)
		}
	}
	// Nobody reachable has it; the next heartbeat or offer starts anew.
	r.pull = nil
	return actions
}
