package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/journal"
)

// Rollout is the state machine that keeps one daemon's settings document up to
// date. Its methods return the actions that the adapter must perform, in order.
// It is not safe for concurrent use.
type Rollout struct {
	self       fleet.ID
	dataCentre string
	random     *rand.Rand
	journal    Journal

	current         Document
	settingsVersion fleet.SettingsVersion // of current
	peerVersions    map[fleet.ID]fleet.SettingsVersion
	nextOfferAt     map[fleet.ID]clock.Millis
	pull            *pull

	lastCallID uint64
	watcher    watcher
	proposal   *proposal
}

// Journal records why the document in force changed.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}

// New returns the Rollout of a daemon that has no document in force. The random source
// jitters calls to the platform. The journal may be nil.
func New(self fleet.ID, dataCentre string, random *rand.Rand, j Journal) *Rollout {
	return &Rollout{
		self: self, dataCentre: dataCentre, random: random, journal: j,
		peerVersions: make(map[fleet.ID]fleet.SettingsVersion), nextOfferAt: make(map[fleet.ID]clock.Millis),
	}
}

// Current returns the document in force, or the zero Document if there is none.
func (r *Rollout) Current() Document { return r.current }

// SettingsVersion returns the version of the document in force.
func (r *Rollout) SettingsVersion() fleet.SettingsVersion { return r.settingsVersion }

// Watching reports whether this daemon watches the platform's key.
func (r *Rollout) Watching() bool { return r.watcher.active }

// Peer is a linked daemon with the version that it last reported.
type Peer struct {
	id              fleet.ID
	settingsVersion fleet.SettingsVersion
}

// ID returns the id of the daemon.
func (p Peer) ID() fleet.ID { return p.id }

// SettingsVersion returns the version of the daemon's document, zero if it has
// reported none since the link opened.
func (p Peer) SettingsVersion() fleet.SettingsVersion { return p.settingsVersion }

// Peers returns the linked daemons, ordered by id. In a fleet of a few daemons
// each one is linked to all others.
func (r *Rollout) Peers() []Peer {
	peers := make([]Peer, 0, len(r.peerVersions))
	for _, id := range r.sortedPeers() {
		peers = append(peers, Peer{id: id, settingsVersion: r.peerVersions[id]})
	}
	return peers
}

// Tick starts calls that are due and handles timeouts. It must be called at least
// every fleet.TickInterval.
func (r *Rollout) Tick(now clock.Millis) []Action {
	actions := r.tickPull(now, nil)
	actions = r.tickWatcher(now, actions)
	return r.tickProposal(now, actions)
}

// applyIfNewer brings a document that the platform accepted into force if it is
// newer than the present one, and offers it to linked peers other than source.
func (r *Rollout) applyIfNewer(now clock.Millis, d Document, source fleet.ID, cause string) []Action {
	version := d.SettingsVersion()
	if !isNewer(version, r.settingsVersion) {
		return nil
	}
	r.current, r.settingsVersion = d, version
	if r.pull != nil && !isNewer(r.pull.settingsVersion, version) {
		r.pull = nil
	}
	r.recordEvent(now, fmt.Sprintf("revision %d, change %s: %s", d.revision, d.changeID, cause))
	actions := []Action{{kind: ApplyDocument, document: d}}
	for _, peer := range r.sortedPeers() {
		if peer != source && isNewer(version, r.peerVersions[peer]) {
			actions = append(actions, r.offer(now, peer))
		}
	}
	return actions
}

func (r *Rollout) offer(now clock.Millis, to fleet.ID) Action {
	r.nextOfferAt[to] = now + minOfferInterval
	return Action{kind: Send, peer: to, message: NewOffer(r.settingsVersion)}
}

func (r *Rollout) sortedPeers() []fleet.ID {
	ids := make([]fleet.ID, 0, len(r.peerVersions))
	for id := range r.peerVersions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *Rollout) recordEvent(now clock.Millis, cause string) {
	if r.journal != nil {
		r.journal.Add(now, journal.Settings, "settings", cause)
	}
}

func (r *Rollout) nextCallID() uint64 {
	r.lastCallID++
	return r.lastCallID
}
