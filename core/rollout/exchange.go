package rollout

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
)

const (
	// pullTimeout is the time without progress after which another peer is
	// asked; three attempts fit into the 5 s target.
	pullTimeout = 1 * clock.Second
	// repairInterval bounds the offers that a slow or silent peer receives.
	repairInterval = 1 * clock.Second
)

// pull is the transfer of a newer document from a peer.
type pull struct {
	settings fleet.SettingsVersion
	from     fleet.ID
	document Document
	deadline clock.Millis
	total    int
}

// LinkUp says that a link to peer is open. The heartbeats on it tell what the
// peer has in force.
func (r *Rollout) LinkUp(_ clock.Millis, peer fleet.ID) []Action {
	r.links[peer] = fleet.SettingsVersion{}
	delete(r.repairAt, peer)
	return nil
}

// LinkDown says that the link to peer is closed, by whichever side.
func (r *Rollout) LinkDown(now clock.Millis, peer fleet.ID) []Action {
	delete(r.links, peer)
	delete(r.repairAt, peer)
	if r.pull != nil && r.pull.from == peer {
		return r.pullElsewhere(now, nil)
	}
	return nil
}

// Seen takes the settings that a peer reported in a heartbeat and repairs a
// difference in either direction.
func (r *Rollout) Seen(now clock.Millis, peer fleet.ID, settings fleet.SettingsVersion) []Action {
	if _, linked := r.links[peer]; !linked {
		return nil
	}
	r.links[peer] = settings
	switch {
	case newer(settings, r.settings):
		return r.startPull(now, peer, settings)
	case newer(r.settings, settings) && now >= r.repairAt[peer]:
		return []Action{r.offer(now, peer)}
	default:
		return nil
	}
}

// Receive handles a message of an authenticated peer.
func (r *Rollout) Receive(now clock.Millis, from fleet.ID, message fleet.Message) []Action {
	switch v := message.(type) {
	case Offer:
		if _, linked := r.links[from]; !linked {
			return nil
		}
		r.links[from] = v.settings
		return r.startPull(now, from, v.settings)
	case Pull:
		return r.serve(from, v)
	case Chunk:
		return r.receiveChunk(now, from, v)
	default:
		return nil
	}
}

func (r *Rollout) startPull(now clock.Millis, from fleet.ID, settings fleet.SettingsVersion) []Action {
	if !newer(settings, r.settings) || (r.pull != nil && !newer(settings, r.pull.settings)) {
		return nil
	}
	r.pull = &pull{settings: settings}
	return r.pullFrom(now, from, nil)
}

func (r *Rollout) pullFrom(now clock.Millis, from fleet.ID, actions []Action) []Action {
	r.pull.from = from
	r.pull.deadline = now + pullTimeout
	message := NewPull(r.pull.settings, len(r.pull.document.body))
	return append(actions, Action{kind: Send, peer: from, message: message})
}

// serve sends the rest of the document at once: a request for each piece would
// cost a round trip between regions for each.
func (r *Rollout) serve(to fleet.ID, request Pull) []Action {
	if request.settings != r.settings || request.offset > len(r.current.body) {
		if newer(r.settings, request.settings) {
			return []Action{{kind: Send, peer: to, message: NewOffer(r.settings)}}
		}
		return nil
	}
	var actions []Action
	for offset := request.offset; ; offset += ChunkSize {
		chunk := chunkOf(r.current, r.settings.Digest(), offset)
		actions = append(actions, Action{kind: Send, peer: to, message: chunk})
		if offset+ChunkSize >= len(r.current.body) {
			return actions
		}
	}
}

func (r *Rollout) receiveChunk(now clock.Millis, from fleet.ID, c Chunk) []Action {
	p := r.pull
	if p == nil || c.settings != p.settings || c.offset != len(p.document.body) {
		return nil
	}
	if c.offset == 0 {
		p.document = Document{revision: c.settings.Revision(), change: c.change, ancestors: c.ancestors}
		p.total = c.total
	}
	p.document.body = append(p.document.body, c.data...)
	p.deadline = now + pullTimeout
	if len(p.document.body) < p.total {
		return nil
	}
	r.pull = nil
	if p.document.Digest() != p.settings.Digest() {
		r.note(now, "document of "+string(from)+" does not match its digest")
		return nil
	}
	return r.enforce(now, p.document, from, "from "+string(from))
}

func (r *Rollout) tickPull(now clock.Millis, actions []Action) []Action {
	if r.pull == nil || now < r.pull.deadline {
		return actions
	}
	return r.pullElsewhere(now, actions)
}

// pullElsewhere continues a transfer from the next peer that has the document.
func (r *Rollout) pullElsewhere(now clock.Millis, actions []Action) []Action {
	order := r.linkOrder()
	first := 0
	for first < len(order) && order[first] <= r.pull.from {
		first++
	}
	for i := range order {
		peer := order[(first+i)%len(order)]
		if r.links[peer] == r.pull.settings {
			return r.pullFrom(now, peer, actions)
		}
	}
	// Nobody reachable has it; the next heartbeat or offer starts anew.
	r.pull = nil
	return actions
}
