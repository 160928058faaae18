// Package peers provides authenticated links between entry daemons.
//
// A link is a WebSocket that carries batches of messages, encoded as CBOR. Both ends
// prove that they know a shared key before any message is accepted. The messages
// themselves are opaque: the subsystem that owns the links encodes and decodes them.
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
	// ErrNoLink is returned when there is no authenticated link to the peer.
	ErrNoLink = errors.New("no link to peer")
	// ErrCongested is returned when the send queue of the link is full. The message
	// was not queued.
	ErrCongested = errors.New("peer link congested")
	// ErrRejected marks errors of the protocol: a failed handshake, or a message that
	// is malformed, too large or refused by the Handler.
	ErrRejected = errors.New("peer rejected")
)

// Path is the URL path of a link and selects its subsystem. Each subsystem has
// links of its own, so that bulk traffic never delays heartbeats.
type Path string

// Paths of the subsystems.
const (
	Control Path = "/v1/control"
	Relay   Path = "/v1/relay"
)

const (
	// protocolVersion is incremented when the handshake changes incompatibly.
	protocolVersion = 1
	// maxMessageBytes limits a message. Settings documents are sent in chunks.
	maxMessageBytes = 256 << 10
	// batchTargetBytes is the size from which on a batch gets no further message.
	batchTargetBytes = 64 << 10
	// maxBatchBytes limits an encoded batch. It leaves room for a last message of
	// maxMessageBytes and for the encoding.
	maxBatchBytes = batchTargetBytes + maxMessageBytes + 4096
	// maxQueuedMessages and maxQueuedBytes limit the send queue of a link. Above
	// them Send fails, since a slow peer must not block the daemon.
	maxQueuedMessages = 1024
	maxQueuedBytes    = 4 << 20
)

// Identity identifies one run of a daemon: its id is the address for peers, as
// IP:port, its incarnation differs for each start of the process.
type Identity struct {
	id          string
	incarnation uint64
}

// NewIdentity returns the identity of a run of the daemon id.
func NewIdentity(id string, incarnation uint64) Identity {
	return Identity{id: id, incarnation: incarnation}
}

// ID returns the daemon's address for peers.
func (i Identity) ID() string { return i.id }

// Incarnation returns the incarnation of the process.
func (i Identity) Incarnation() uint64 { return i.incarnation }

// Handler handles the events of all links of a hub. Its methods are called
// concurrently from several goroutines.
type Handler interface {
	// LinkUp is called when a link is open and authenticated.
	LinkUp(peer string)
	// LinkDown is called when a link broke or a dial failed, but not for a link that
	// Disconnect closed.
	LinkDown(peer string)
	// Receive handles a message. If it returns an error, the message counts as
	// rejected and the link is closed, since no daemon sends such a message.
	Receive(peer string, message []byte) error
}
