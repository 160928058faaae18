package peers

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/go-logr/logr"
)

const (
	// dialTimeout limits the opening of the WebSocket, before the handshake.
	dialTimeout = 2 * time.Second
	// replacedLinkLifetime is how long a replaced link is still read: the peer may
	// have sent on it before it noticed the replacement.
	replacedLinkLifetime = 2 * time.Second
)

// Batches of member rows and records repeat the same names and compress well. Pings
// are below the threshold, so they cost no compression.
const (
	compressionMode      = websocket.CompressionNoContextTakeover
	compressionThreshold = 2048 // bytes
)

// Hub manages the links of one subsystem, at most one for each peer. As an
// http.Handler it accepts links. It is safe for concurrent use.
type Hub struct {
	path       Path
	self       Identity
	keys       [][]byte
	handler    Handler
	log        logr.Logger
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	rejected      atomic.Uint64
	dropped       atomic.Uint64
	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64

	mu      sync.Mutex
	closed  bool
	links   map[string]*link
	dialing map[string]bool
}

// New returns a hub without links. It dials with the first key and accepts all keys,
// of which there must be at least one.
func New(path Path, self Identity, keys [][]byte, handler Handler, log logr.Logger) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	return &Hub{
		path: path, self: self, keys: keys, handler: handler, log: log, ctx: ctx, cancel: cancel,
		links:   make(map[string]*link),
		dialing: make(map[string]bool),
	}
}

// Rejected returns the number of links that ended because of a failed handshake or
// a rejected message.
func (h *Hub) Rejected() uint64 { return h.rejected.Load() }

// Dropped returns the number of messages that were not queued because the link was
// congested or closing.
func (h *Hub) Dropped() uint64 { return h.dropped.Load() }

// SentBytes returns the total size of the messages that were queued, before batching
// and compression.
func (h *Hub) SentBytes() uint64 { return h.sentBytes.Load() }

// ReceivedBytes returns the total size of the messages that arrived, after
// decompression.
func (h *Hub) ReceivedBytes() uint64 { return h.receivedBytes.Load() }

// Linked reports whether there is an authenticated link to the peer.
func (h *Hub) Linked(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[peer] != nil
}

// ServeHTTP accepts a link and serves it until it ends.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: compressionMode, CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		return
	}
	socket.SetReadLimit(maxHandshakeBytes)
	peer, err := accept(h.ctx, socket, h.path, h.self, h.keys)
	if err != nil {
		h.countIfRejected(err)
		_ = socket.CloseNow()
		return
	}
	socket.SetReadLimit(maxBatchBytes)
	h.run(newLink(socket, peer, false))
}

// Dial opens a link to the peer in the background, unless there is one or it is
// being dialled. The outcome is reported by Handler.LinkUp or Handler.LinkDown.
func (h *Hub) Dial(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.links[peer] != nil || h.dialing[peer] {
		return
	}
	h.dialing[peer] = true
	h.goroutines.Go(func() { h.dial(peer) })
}

// Disconnect closes the link to the peer, if any, without a call of Handler.LinkDown.
func (h *Hub) Disconnect(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.links[peer]; l != nil {
		delete(h.links, peer)
		l.close()
	}
}

// Send queues a message for the peer, which must not be modified afterwards. It
// returns ErrNoLink, ErrCongested, or ErrRejected for a message that is too large; in
// each case no byte of the message was sent.
func (h *Hub) Send(peer string, message []byte) error {
	if len(message) > maxMessageBytes {
		return errors.Wrapf(ErrRejected, "message of %d bytes exceeds the limit of %d", len(message), maxMessageBytes)
	}
	h.mu.Lock()
	l := h.links[peer]
	h.mu.Unlock()
	if l == nil {
		return ErrNoLink
	}
	if err := l.send(message); err != nil {
		h.dropped.Add(1)
		return err
	}
	h.sentBytes.Add(uint64(len(message)))
	return nil
}

// Close closes all links and waits for the hub's goroutines. Links that were accepted
// by ServeHTTP are closed but not waited for.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closed = true
	for _, l := range h.links {
		l.close()
	}
	h.mu.Unlock()
	h.cancel()
	h.goroutines.Wait()
}

func (h *Hub) dial(peer string) {
	l, err := h.connect(peer)
	h.mu.Lock()
	delete(h.dialing, peer)
	h.mu.Unlock()
	if err != nil {
		h.countIfRejected(err)
		h.handler.LinkDown(peer)
		return
	}
	h.run(l)
}

func (h *Hub) connect(peer string) (*link, error) {
	ctx, cancel := context.WithTimeout(h.ctx, dialTimeout)
	defer cancel()
	options := &websocket.DialOptions{CompressionMode: compressionMode, CompressionThreshold: compressionThreshold}
	socket, _, err := websocket.Dial(ctx, "ws://"+peer+string(h.path), options)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", peer)
	}
	socket.SetReadLimit(maxHandshakeBytes)
	identity, err := dial(h.ctx, socket, h.path, h.self, h.keys)
	if err == nil && identity.id != peer {
		err = errors.Wrapf(ErrRejected, "daemon at %s identifies itself as %q", peer, identity.id)
	}
	if err != nil {
		_ = socket.CloseNow()
		return nil, err
	}
	socket.SetReadLimit(maxBatchBytes)
	return newLink(socket, identity, true), nil
}

// run serves a link until it is closed.
func (h *Hub) run(l *link) {
	if !h.register(l) {
		l.closeLater()
		h.countIfRejected(l.readLoop(h.ctx, h.receive))
		return
	}
	h.handler.LinkUp(l.peer.id)
	err := l.readLoop(h.ctx, h.receive)
	h.countIfRejected(err)
	if h.unregister(l) {
		h.handler.LinkDown(l.peer.id)
	}
}

// register makes l the link to its peer and starts to send on it, or returns
// false. If both ends dialled at the same time, both keep the link that the end with
// the lower id dialled, so that they agree; the other one is read for
// replacedLinkLifetime. A link of another incarnation of the peer always replaces
// the old one.
func (h *Hub) register(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		l.close()
		return false
	}
	old := h.links[l.peer.id]
	if old != nil && old.peer == l.peer && !h.isPreferred(l) && h.isPreferred(old) {
		return false
	}
	h.links[l.peer.id] = l
	switch {
	case old == nil:
	case old.peer == l.peer:
		old.closeLater()
	default:
		old.close()
	}
	h.goroutines.Go(func() { l.writeLoop(h.ctx) })
	return true
}

// isPreferred reports whether l was dialled by the end with the lower id.
func (h *Hub) isPreferred(l *link) bool {
	return l.dialled == (h.self.id < l.peer.id)
}

// unregister removes l and reports whether it was still the current link to its
// peer.
func (h *Hub) unregister(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[l.peer.id] != l {
		return false
	}
	delete(h.links, l.peer.id)
	return true
}

// countIfRejected counts and logs an error of the protocol.
func (h *Hub) countIfRejected(err error) {
	if errors.Is(err, ErrRejected) {
		h.rejected.Add(1)
		h.log.Info("peers: link rejected", "error", err.Error())
	}
}

func (h *Hub) receive(peer string, message []byte) error {
	h.receivedBytes.Add(uint64(len(message)))
	return h.handler.Receive(peer, message)
}
