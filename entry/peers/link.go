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

// writeTimeout ends a link whose other end does not read. Membership then
// decides what the silence means.
const writeTimeout = 2 * time.Second

// link is one authenticated connection.
type link struct {
	peer        Identity
	dialled     bool
	socket      *websocket.Conn
	queue       chan []byte
	queuedBytes atomic.Int64 // bytes in queue
	closed      chan struct{}
	closeOnce   sync.Once
}

func newLink(socket *websocket.Conn, peer Identity, dialled bool) *link {
	return &link{
		peer: peer, dialled: dialled, socket: socket,
		queue: make(chan []byte, maxQueuedMessages), closed: make(chan struct{}),
	}
}

// send queues a message. It returns ErrCongested or ErrNoLink.
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

// close ends the link. CloseNow is used, because a closing handshake would
// wait for a peer that may be silent.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.socket.CloseNow()
	})
}

// closeLater ends the link after a while in which what is on its way arrives.
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

// batch adds what waits in the queue to the first message, so that many small
// messages cost one write to the socket.
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
	text, err := codec.Encode(messages)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return l.socket.Write(ctx, websocket.MessageBinary, text) == nil
}

// readLoop delivers messages until the link ends. It returns ErrRejected if
// the peer sent something that no daemon sends.
func (l *link) readLoop(ctx context.Context, receive func(peer string, message []byte) error) error {
	defer l.close()
	for {
		kind, message, err := l.socket.Read(ctx)
		if err != nil {
			return err
		}
		if kind != websocket.MessageBinary {
			return errors.Wrap(ErrRejected, "text message")
		}
		var messages [][]byte
		if err := codec.Decode(message, &messages); err != nil {
			return errors.Mark(err, ErrRejected)
		}
		for _, m := range messages {
			if err := receive(l.peer.id, m); err != nil {
				return errors.Mark(err, ErrRejected)
			}
		}
	}
}
