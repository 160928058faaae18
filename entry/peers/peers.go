// Package peers is the adapter for the links between entry daemons.
//
// A link is a WebSocket that carries CBOR messages. Both ends prove that they
// know a shared key before any message is accepted. The subsystem that owns the
// links encodes and decodes the messages.
//
// # Usage
//
//	hub := peers.New(peers.Control, peers.NewIdentity("10.0.0.1:7200", 7), keys, handler, log)
//	mux.Handle(string(peers.Control), hub)
//	hub.Dial("10.0.0.2:7200")
//	err := hub.Send("10.0.0.2:7200", message)
//	defer hub.Close()
package peers

import (
	"github.com/cockroachdb/errors"
)

// Sentinel errors.
var (
	// ErrNoLink means that there is no authenticated link to the peer.
	ErrNoLink = errors.New("no link to peer")
	// ErrCongested means that the send queue of the link is full. The frame
	// was not sent.
	ErrCongested = errors.New("peer link congested")
	// ErrRejected means that the other end failed the handshake or sent a
	// message that is not allowed.
	ErrRejected = errors.New("peer rejected")
)

// Path selects the subsystem that a link belongs to. Each subsystem has links
// of its own, so that bulk traffic never delays heartbeats.
type Path string

// Paths.
const (
	Control Path = "/v1/control"
	Relay   Path = "/v1/relay"
)

const (
	// protocolVersion changes when the handshake becomes incompatible.
	protocolVersion = 1
	// maxMessageBytes bounds a message. A settings document is sent in chunks.
	maxMessageBytes = 256 << 10
	// batchTargetBytes ends a batch of messages. A batch with a last message of the
	// greatest length stays within maxBatch.
	batchTargetBytes = 64 << 10
	maxBatchBytes    = batchTargetBytes + maxMessageBytes + 4096
	// maxQueuedMessages and sendQueueBytes bound what waits on one link. At the limit
	// new messages are refused, since a slow peer must not hold up the daemon.
	maxQueuedMessages = 1024
	maxQueuedBytes    = 4 << 20
)

// Identity names a daemon by its peers' address, as IP:port, and one run of its
// process.
type Identity struct {
	id          string
	incarnation uint64
}

// NewIdentity returns the identity of the daemon id in its run incarnation.
func NewIdentity(id string, incarnation uint64) Identity {
	return Identity{id: id, incarnation: incarnation}
}

// ID returns the daemon's peers' address.
func (i Identity) ID() string { return i.id }

// Incarnation returns the run of the process.
func (i Identity) Incarnation() uint64 { return i.incarnation }

// Handler receives the events of all links of a hub. Its methods are called
// from several goroutines.
type Handler interface {
	// LinkUp says that a link is open and authenticated.
	LinkUp(peer string)
	// LinkDown says that a link broke or that a dial failed. It is not called
	// for a link that Hangup closed.
	LinkDown(peer string)
	// Receive takes a message. An error closes the link, since no daemon sends
	// such a message.
	Receive(peer string, message []byte) error
}
