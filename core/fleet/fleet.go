// Package fleet keeps a daemon's view of the other daemons and advises callers
// on entry addresses.
//
// Membership is a state machine without I/O. Each daemon keeps links to its
// successors on three hash rings, so the number of links of a daemon does not
// grow with the fleet. The links carry heartbeats, changed member records, and
// small records of other subsystems. The adapter that owns the links and the
// clock carries out the returned actions.
//
// # Usage
//
//	self := fleet.NewMember("10.0.0.1:7200", "10.0.0.1:80", "ikeja", "west", uint64(start.UnixMilli()))
//	m := fleet.New(self, rand.New(rand.NewPCG(seed, 0)), journal)
//	m.Seed(now, vms)             // each time the platform's list of VMs is read
//	perform(m.Ready(now))        // once the daemon serves callers
//	every 100 ms:    perform(m.Tick(now))
//	on a message:    perform(m.Receive(now, from, message))
//	on link changes: perform(m.LinkUp(now, peer)); perform(m.LinkDown(now, peer))
//	on planned stop: perform(m.Leave(now)) ... perform(m.Left(now))
//
//	var a fleet.AddressAdviser
//	a.Configure(3, 10*clock.Second)
//	a.SetMembers(m.Members())
//	advice := a.Advise("ikeja", caller, random)
//
// The adapter keeps at most one link to a peer. It calls LinkUp once a dialled or
// accepted link is authenticated, and LinkDown when a link breaks or a dial
// fails. It does not call LinkDown for a link that a Disconnect action closed.
package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/journal"
)

// Intervals and limits of the membership protocol.
const (
	// TickInterval is the longest time between two calls of Tick. Changed member
	// records are flushed on a tick, so it bounds the delay of a flood per hop.
	TickInterval = 100 * clock.Millisecond

	// pingInterval, ackTimeout, probeTimeout and suspicionTimeout add up to the
	// time in which a silent member is declared dead, about 7 s.
	pingInterval     = 1 * clock.Second
	ackTimeout       = 2 * clock.Second
	probeTimeout     = 1 * clock.Second
	suspicionTimeout = 3 * clock.Second
	// pauseThreshold is the time without a tick after which a daemon takes itself to
	// have been paused, and the longest time for which it distrusts its view
	// afterwards. It is shorter than the detection time, so that the daemon detects
	// the pause before it acts on a state that its peers have replaced.
	pauseThreshold = 2 * clock.Second
	// goneRetention is twice the longest expected partition between regions, one
	// hour.
	goneRetention = 2 * clock.Hour
	// reconnectInterval is the mean time between two rounds in which a daemon dials
	// dead members. It bounds how long the sides of a healed partition stay apart.
	reconnectInterval = 10 * clock.Second
	// intervalJitter is the largest random deviation of reconnectInterval and of a
	// dial backoff in either direction, as a fraction of it.
	intervalJitter = 0.5
	// reconnectBatch bounds the dials of a reconnect round. Without it, a daemon
	// that lost contact with all others would dial the whole fleet at once.
	reconnectBatch = 8
	sweepInterval  = 5 * clock.Second
	// seedBatch is the number of listed VMs that a daemon without a link dials in
	// a round.
	seedBatch      = 3
	dialTimeout    = 2 * clock.Second
	dialBackoff    = 500 * clock.Millisecond
	maxDialBackoff = 15 * clock.Second
	// maxDialDoublings prevents an overflow; maxDialBackoff is reached earlier.
	maxDialDoublings = 8
	// temporaryLinkLifetime is how long a link to a daemon that is not a neighbour
	// is kept after it was dialled or accepted.
	temporaryLinkLifetime = 5 * clock.Second
	// repairAfterPings is the number of ping intervals for which the summaries of
	// two peers must differ before a repair starts.
	repairAfterPings = 3
	maxProbeHelpers  = 3
	ringCount        = 3
	bucketCount      = 64 // at most 64: sets of buckets are bit masks of a uint64
)

// ID identifies a daemon by its address for peers, as IP:port. The incarnation tells
// a daemon from an earlier one at the same address.
type ID string

// State is the state of a member. Within an incarnation, a state with a higher value
// supersedes one with a lower value.
type State uint8

// States of a member.
const (
	// Joining means that the daemon runs but does not serve callers yet.
	Joining State = iota + 1
	// Alive means that the daemon serves callers.
	Alive
	// Leaving means that the daemon serves its callers until they have moved to
	// other daemons.
	Leaving
	// Disputed means that the other side of a healed partition has declared the
	// member dead, while this side sees it alive. A disputed member counts as alive;
	// it refutes with a higher incarnation, or becomes suspect when the suspicion
	// timeout expires.
	Disputed
	// Suspect means that neither the direct link nor an indirect probe reaches the
	// member. It becomes dead unless it refutes within the suspicion timeout.
	Suspect
	// Dead means that the member did not refute a suspicion.
	Dead
	// Left means that the daemon announced its end.
	Left
)

var stateNames = [...]string{"unknown", "joining", "alive", "leaving", "disputed", "suspect", "dead", "left"}

// String returns the name of the state as logs, metrics and the journal show it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return stateNames[0]
}

// gone reports whether the member has ended, by failure or by plan.
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

// NewMember returns the record of a daemon that starts, in state Joining. The
// incarnation must be higher than that of every earlier process at the same address;
// the start time in milliseconds satisfies this.
func NewMember(id ID, callerAddress, dataCentre, region string, incarnation uint64) Member {
	return Member{
		id: id, callerAddress: callerAddress, dataCentre: dataCentre, region: region,
		incarnation: incarnation, state: Joining,
	}
}

// ID returns the identity of the daemon, which is its address for peers.
func (m Member) ID() ID { return m.id }

// PeerAddress returns the address for other daemons, as IP:port.
func (m Member) PeerAddress() string { return string(m.id) }

// CallerAddress returns the address for callers, empty if unknown.
func (m Member) CallerAddress() string { return m.callerAddress }

// DataCentre returns the data centre in which the daemon runs.
func (m Member) DataCentre() string { return m.dataCentre }

// Region returns the region of the data centre.
func (m Member) Region() string { return m.region }

// Incarnation returns the incarnation. Of two records of a daemon, the one with the
// higher incarnation is newer.
func (m Member) Incarnation() uint64 { return m.incarnation }

// State returns the state of the member in the view that holds the record.
func (m Member) State() State { return m.state }

// Load returns the load last received, as given to SetLoad on that daemon.
// Neighbours receive it with every ping; other daemons only with a change of the
// member's state.
func (m Member) Load() float64 { return m.load }

// Alive reports whether the member serves callers, as far as this daemon knows.
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

// digest covers only the fields by which records supersede each other.
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

// VM is an entry VM in the platform's list.
type VM struct {
	id            ID
	callerAddress string
	dataCentre    string
	region        string
	leaving       bool
}

// NewVM returns a VM of the platform's list.
func NewVM(id ID, callerAddress, dataCentre, region string, leaving bool) VM {
	return VM{id: id, callerAddress: callerAddress, dataCentre: dataCentre, region: region, leaving: leaving}
}

// ID returns the identity of the daemon on the VM, which is its address for peers.
func (v VM) ID() ID { return v.id }

// CallerAddress returns the address for callers.
func (v VM) CallerAddress() string { return v.callerAddress }

// DataCentre returns the data centre of the VM.
func (v VM) DataCentre() string { return v.dataCentre }

// Region returns the region of the data centre.
func (v VM) Region() string { return v.region }

// Leaving reports whether the platform lists the VM as leaving.
func (v VM) Leaving() bool { return v.leaving }

// Journal records changes of the member view with their cause.
type Journal interface {
	Add(now clock.Millis, kind journal.Kind, subject, cause string)
}
