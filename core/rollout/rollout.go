package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/journal"
)

// Rollout is the state machine of one daemon. It is not safe for concurrent
// use.
type Rollout struct {
	self       fleet.ID
	dataCentre string
	rng        *rand.Rand
	journal    Journal

	current  Document
	settings fleet.SettingsVersion // of current
	links    map[fleet.ID]fleet.SettingsVersion
	repairAt map[fleet.ID]clock.Millis
	pull     *pull

	lastCall uint64
	watcher  watcher
	proposal *proposal
}

// Journal records why settings changed.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}

// New returns the rollout of a daemon that starts without a document. The
// journal may be nil.
func New(self fleet.ID, dataCentre string, rng *rand.Rand, j Journal) *Rollout {
	return &Rollout{
		self: self, dataCentre: dataCentre, rng: rng, journal: j,
		links: make(map[fleet.ID]fleet.SettingsVersion), repairAt: make(map[fleet.ID]clock.Millis),
	}
}

// Current returns the document in force, the zero Document before the first.
func (r *Rollout) Current() Document { return r.current }

// Settings identifies the document in force.
func (r *Rollout) Settings() fleet.SettingsVersion { return r.settings }

// Watching reports whether this daemon watches the platform.
func (r *Rollout) Watching() bool { return r.watcher.active }

// Peer is what a linked daemon has in force.
type Peer struct {
	id       fleet.ID
	settings fleet.SettingsVersion
}

// ID returns the daemon.
func (p Peer) ID() fleet.ID { return p.id }

// Settings identifies the document that the daemon has in force.
func (p Peer) Settings() fleet.SettingsVersion { return p.settings }

// Peers returns what the linked daemons have in force, ordered by id. With a
// handful of daemons every daemon is linked to all others.
func (r *Rollout) Peers() []Peer {
	peers := make([]Peer, 0, len(r.links))
	for _, id := range r.linkOrder() {
		peers = append(peers, Peer{id: id, settings: r.links[id]})
	}
	return peers
}

// Tick advances the machine. It is called at least every fleet.TickInterval.
func (r *Rollout) Tick(now clock.Millis) []Action {
	actions := r.tickPull(now, nil)
	actions = r.tickWatcher(now, actions)
	return r.tickProposal(now, actions)
}

// enforce takes a document that was accepted by the platform. Nothing replaces
// a document but a newer one.
func (r *Rollout) enforce(now clock.Millis, d Document, from fleet.ID, cause string) []Action {
	settings := d.Settings()
	if !newer(settings, r.settings) {
		return nil
	}
	r.current, r.settings = d, settings
	if r.pull != nil && !newer(r.pull.settings, settings) {
		r.pull = nil
	}
	r.note(now, fmt.Sprintf("revision %d, change %s: %s", d.revision, d.change, cause))
	actions := []Action{{kind: InForce, document: d}}
	for _, peer := range r.linkOrder() {
		if peer != from && newer(settings, r.links[peer]) {
			actions = append(actions, r.offer(now, peer))
		}
	}
	return actions
}

func (r *Rollout) offer(now clock.Millis, to fleet.ID) Action {
	r.repairAt[to] = now + repairInterval
	return Action{kind: Send, peer: to, message: NewOffer(r.settings)}
}

func (r *Rollout) linkOrder() []fleet.ID {
	ids := make([]fleet.ID, 0, len(r.links))
	for id := range r.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *Rollout) note(now clock.Millis, cause string) {
	if r.journal != nil {
		r.journal.Add(now, journal.Settings, "settings", cause)
	}
}

func (r *Rollout) nextCall() uint64 {
	r.lastCall++
	return r.lastCall
}
