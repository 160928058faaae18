package peers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/lovagegap/lovagegap/entry/codec"
)

// writeTimeout is the time after which a link whose peer does not read is closed.
// The membership then decides whether the peer is suspect.
const writeTimeout = 2 * time.Second

// link is an authenticated connection to a peer.
type link struct {
	peer        Identity
	dialled     bool
	socket      *websocket.Conn
	queue       chan []byte
	queuedBytes atomic.Int64 // size of the messages in queue
	closed      chan struct{}
	closeOnce   sync.Once
}

func newLink(socket *websocket.Conn, peer Identity, dialled bool) *link {
	return &link{
		peer: peer, dialled: dialled, socket: socket,
		queue: make(chan []byte, maxQueuedMessages), closed: make(chan struct{}),
	}
}

// send queues a message. It returns ErrCongested, or ErrNoLink for a closed link.
func (l *link) send(message []byte) error {
	select {
	case <-l.closed:
		return ErrNoLink
	default:
	}
	if l.queuedBytes.Add(int64(len(message))) > maxQueuedBytes {
		l.queuedBytes.Add(-int64(len(message)))
		return ErrCongested
	}
	select {
	case l.queue <- message:
		return nil
	default:
		l.queuedBytes.Add(-int64(len(message)))
		return ErrCongested
	}
}

// close closes the link without a closing handshake, which would wait for a peer that
// may not respond.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.socket.CloseNow()
	})
}

// closeLater closes the link after replacedLinkLifetime, in which messages in flight
// arrive.
func (l *link) closeLater() { time.AfterFunc(replacedLinkLifetime, l.close) }

func (l *link) writeLoop(ctx context.Context) {
	defer l.close()
	for {
		select {
		case <-l.closed:
			return
		case <-ctx.Done():
			return
		case first := <-l.queue:
			if !l.write(ctx, l.batch(first)) {
				return
			}
		}
	}
}

// batch returns the first message and those waiting in the queue until they reach
// batchTargetBytes, so that many small messages cost one write to the socket.
func (l *link) batch(first []byte) [][]byte {
	messages := [][]byte{first}
	size := len(first)
	for size < batchTargetBytes {
		select {
		case next := <-l.queue:
			messages = append(messages, next)
			size += len(next)
		default:
			l.queuedBytes.Add(-int64(size))
			return messages
		}
	}
	l.queuedBytes.Add(-int64(size))
	return messages
}

func (l *link) write(ctx context.Context, messages [][]byte) bool {
	batch, err := codec.Encode(messages)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return l.socket.Write(ctx, websocket.MessageBinary, batch) == nil
}

// readLoop delivers messages until the link ends, and returns the reason. The error is
// marked as ErrRejected if a message was malformed or receive refused it.
func (l *link) readLoop(ctx context.Context, receive func(peer string, message []byte) error) error {
	defer l.close()
	for {
		messageType, batch, err := l.socket.Read(ctx)
		if err != nil {
			return err
		}
		if messageType != websocket.MessageBinary {
			return errors.Wrap(ErrRejected, "text message from peer, want binary")
		}
		var messages [][]byte
		if err := codec.Decode(batch, &messages); err != nil {
			return errors.Mark(err, ErrRejected)
		}
		for _, m := range messages {
			if err := receive(l.peer.id, m); err != nil {
				return errors.Mark(err, ErrRejected)
			}
		}
	}
}
