// Package fleet keeps a daemon's view of the other daemons and advises callers
// on entry addresses.
//
// Membership is a state machine without I/O. Each daemon links to its
// successors on three hash rings, so the number of links does not grow with
// the fleet; the links carry heartbeats, changed member records, and small
// records of other subsystems. An adapter carries out the returned actions.
//
// # Usage
//
//	self := fleet.NewMember("10.0.0.1:7200", "10.0.0.1:80", "ikeja", "west", uint64(start.UnixMilli()))
//	m := fleet.New(self, rand.New(rand.NewPCG(seed, 0)), journal)
//	m.Seed(now, vms)             // from the platform's list, each time it is read
//	perform(m.Ready(now))        // once the daemon serves callers
//	every 100 ms:    perform(m.Tick(now))
//	on a message:    perform(m.Receive(now, from, message))
//	on link changes: perform(m.LinkUp(now, peer)); perform(m.LinkDown(now, peer))
//	on planned stop: perform(m.Leave(now)) ... perform(m.Left(now))
//
//	var a fleet.AddressAdviser
//	a.Configure(3, 10*clock.Second)
//	a.SetMembers(m.Members())
//	advice := a.For("ikeja", callerKey, rng)
//
// The adapter keeps at most one link to a peer. It reports LinkUp once a dialled or
// accepted link is authenticated, and LinkDown when a link breaks or a dial
// fails; it reports nothing for a link that a Hangup action closed.
package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// Intervals of the membership protocol.
const (
	// TickInterval is the longest time between two calls of Tick. Changed
	// records are flushed on a tick, so it bounds the delay of a flood per hop.
	TickInterval = 100 * clock.Millisecond

	pingInterval = 1 * clock.Second
	// ackTimeout, probeTimeout and suspicionTimeout add up to the detection
	// time of a silent member, about 7 s with the ping interval.
	ackTimeout       = 2 * clock.Second
	probeTimeout     = 1 * clock.Second
	suspicionTimeout = 3 * clock.Second
	// pauseThreshold is shorter than the detection time, so a paused daemon notices
	// the pause itself before it acts on a state that peers have given up.
	pauseThreshold = 2 * clock.Second
	// goneRetention is twice the hour for which regions lose contact.
	goneRetention = 2 * clock.Hour
	// reconnectInterval bounds how long two healed sides stay apart.
	reconnectInterval = 10 * clock.Second
	// reconnectBatch bounds the dials of one retry round; a daemon that lost
	// contact with everybody would otherwise dial the whole fleet at once.
	reconnectBatch        = 8
	sweepInterval         = 5 * clock.Second
	seedBatch             = 3
	dialTimeout           = 2 * clock.Second
	dialBackoff           = 500 * clock.Millisecond
	maxDialBackoff        = 15 * clock.Second
	temporaryLinkLifetime = 5 * clock.Second
	repairAfterPings      = 3
	maxProbeHelpers       = 3
	ringCount             = 3
	bucketCount           = 64
)

// ID identifies a daemon by its peers' address, as IP:port. A replaced daemon
// at the same address is told apart by its incarnation.
type ID string

// State is the state of a member. The order is the order of precedence within
// one incarnation: a later state replaces an earlier one.
type State uint8

// States.
const (
	// Joining means that the daemon runs but does not serve callers yet.
	Joining State = iota + 1
	Alive
	// Leaving means that the daemon serves its callers until they have moved.
	Leaving
	// Disputed means that a side of a healed partition holds the member for
	// dead while this side sees it alive. It counts as alive; the member
	// settles the matter with a higher incarnation.
	Disputed
	Suspect
	Dead
	Left
)

var stateNames = [...]string{"unknown", "joining", "alive", "leaving", "disputed", "suspect", "dead", "left"}

// String names the state as operators see it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

func (s State) gone() bool { return s == Dead || s == Left }

// Member is the record of a daemon.
type Member struct {
	id            ID
	callerAddress string
	dataCentre    string
	region        string
	incarnation   uint64
	load          float64
	state         State
}

// NewMember returns the record of a daemon that starts. The incarnation is
// larger than that of every earlier process at the same address; the start
// time in milliseconds serves.
func NewMember(id ID, callerAddress, dataCentre, region string, incarnation uint64) Member {
	return Member{
		id: id, callerAddress: callerAddress, dataCentre: dataCentre, region: region,
		incarnation: incarnation, state: Joining,
	}
}

// ID returns the identity, which is the peers' address.
func (m Member) ID() ID { return m.id }

// PeerAddress returns the address for other daemons.
func (m Member) PeerAddress() string { return string(m.id) }

// CallerAddress returns the address for callers.
func (m Member) CallerAddress() string { return m.callerAddress }

// DataCentre returns the data centre in which the daemon runs.
func (m Member) DataCentre() string { return m.dataCentre }

// Region returns the region of the data centre.
func (m Member) Region() string { return m.region }

// Incarnation orders the records of a daemon.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns the state.
func (m Member) State() State { return m.state }

// Load returns the load figure last heard. Neighbours hear it every second;
// other daemons with the member's last change of state.
func (m Member) Load() float64 { return m.load }

// Alive reports whether the member serves callers as far as is known.
func (m Member) Alive() bool { return m.state == Alive || m.state == Disputed }

// WithState returns a copy of the record in state s.
func (m Member) WithState(s State) Member {
	m.state = s
	return m
}

// supersedes reports whether m replaces old.
func (m Member) supersedes(old Member) bool {
	if m.incarnation != old.incarnation {
		return m.incarnation > old.incarnation
	}
	return m.state > old.state
}

func (m Member) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(m.id))
	var tail [10]byte
	putUint64(tail[1:], m.incarnation)
	tail[9] = byte(m.state)
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

func putUint64(dst []byte, v uint64) {
	for i := range 8 {
		dst[i] = byte(v >> (8 * i))
	}
}

// VM is an entry VM of the platform's list.
type VM struct {
	id            ID
	callerAddress string
	dataCentre    string
	region        string
	leaving       bool
}

// NewVM returns an entry of the platform's list.
func NewVM(id ID, callerAddress, dataCentre, region string, leaving bool) VM {
	return VM{id: id, callerAddress: callerAddress, dataCentre: dataCentre, region: region, leaving: leaving}
}

// ID returns the peers' address.
func (v VM) ID() ID { return v.id }

// CallerAddress returns the callers' address.
func (v VM) CallerAddress() string { return v.callerAddress }

// DataCentre returns the data centre.
func (v VM) DataCentre() string { return v.dataCentre }

// Region returns the region.
func (v VM) Region() string { return v.region }

// Leaving reports whether the platform lists the VM as leaving.
func (v VM) Leaving() bool { return v.leaving }

// Journal records why the view changed.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}
