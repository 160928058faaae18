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
	dialTimeout = 2 * time.Second
	// replacedLinkLifetime is how long a link that another one replaced is still read:
	// the peer may have sent on it before it knew of the other one.
	replacedLinkLifetime = 2 * time.Second
)

// Batches of member rows and records repeat the same names many times. Pings stay
// below the size and cost nothing.
const (
	compressionMode      = websocket.CompressionNoContextTakeover
	compressionThreshold = 2048
)

// Hub holds the links of one subsystem, at most one for each peer. It is an
// http.Handler that accepts links, and is safe for concurrent use.
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

// New returns a hub without links. The first key is the one used to dial; all
// keys are accepted.
func New(path Path, self Identity, keys [][]byte, handler Handler, log logr.Logger) *Hub {
	ctx, stop := context.WithCancel(context.Background())
	return &Hub{
		path: path, self: self, keys: keys, handler: handler, log: log, ctx: ctx, cancel: stop,
		links:   make(map[string]*link),
		dialing: make(map[string]bool),
	}
}

// Rejected returns how many links were refused or ended for a bad handshake
// or a bad message.
func (h *Hub) Rejected() uint64 { return h.rejected.Load() }

// Dropped returns how many messages were not queued because a link was congested.
func (h *Hub) Dropped() uint64 { return h.dropped.Load() }

// SentBytes returns the bytes of all messages that were queued.
func (h *Hub) SentBytes() uint64 { return h.sentBytes.Load() }

// ReceivedBytes returns the bytes of all messages that arrived.
func (h *Hub) ReceivedBytes() uint64 { return h.receivedBytes.Load() }

// Linked reports whether there is a link to the peer.
func (h *Hub) Linked(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[peer] != nil
}

// ServeHTTP accepts a link.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: compressionMode, CompressionThreshold: compressionThreshold})
	if err != nil {
		return
	}
	socket.SetReadLimit(maxBatchBytes)
	peer, err := accept(h.ctx, socket, h.path, h.self, h.keys)
	if err != nil {
		h.countIfRejected(err)
		_ = socket.CloseNow()
		return
	}
	h.run(newLink(socket, peer, false))
}

// Dial opens a link to the peer unless there is one. The outcome is told by
// Handler.LinkUp or LinkDown.
func (h *Hub) Dial(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.links[peer] != nil || h.dialing[peer] {
		return
	}
	h.dialing[peer] = true
	h.goroutines.Go(func() { h.dial(peer) })
}

// Hangup closes the link to the peer without reporting it.
func (h *Hub) Hangup(peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.links[peer]; l != nil {
		delete(h.links, peer)
		l.close()
	}
}

// Send queues a message for the peer. It returns ErrNoLink or ErrCongested; in
// both cases no byte of the message was sent.
func (h *Hub) Send(peer string, message []byte) error {
	if len(message) > maxMessageBytes {
		return errors.Wrapf(ErrRejected, "message of %d bytes, at most %d are allowed", len(message), maxMessageBytes)
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

// Close ends all links and waits for their goroutines.
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
	socket.SetReadLimit(maxBatchBytes)
	found, err := dial(h.ctx, socket, h.path, h.self, h.keys)
	if err == nil && found.id != peer {
		err = errors.Wrapf(ErrRejected, "%s names itself %q", peer, found.id)
	}
	if err != nil {
		_ = socket.CloseNow()
		return nil, err
	}
	return newLink(socket, found, true), nil
}

// run serves a link until it ends. It returns when the link is closed.
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

// register makes l the link to its peer and starts to send on it. If both ends
// dialled at the same time, both keep the link that the lower name dialled, so
// that they agree; the other one is still read for a while. A link from a new
// run of the peer's process always replaces the old one.
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

// isPreferred reports whether l was dialled by the end with the lower name.
func (h *Hub) isPreferred(l *link) bool {
	return l.dialled == (h.self.id < l.peer.id)
}

// unregister removes l and reports whether it was still the link to its peer.
func (h *Hub) unregister(l *link) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[l.peer.id] != l {
		return false
	}
	delete(h.links, l.peer.id)
	return true
}

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
