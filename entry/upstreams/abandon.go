package upstreams

import (
	"context"
	"io"
	"net"
	"time"
)

// peerCloseTimeout bounds the wait until an upstream has closed an abandoned
// connection. Until then it counts the connection against its cap.
const peerCloseTimeout = 250 * time.Millisecond

// abandon ends a connection whose exchange was cancelled, such as the loser of
// a hedge. The connection keeps its place until the upstream has closed its
// end, and a new one is opened at once if the limit allows: the next exchange
// would otherwise pay for it.
func (p *pool) abandon(c *conn) {
	p.mu.Lock()
	p.closingCount++
	replace := p.permitsInUse < p.limit && len(p.idle) == 0 && len(p.waiters) == 0 && p.mayDialLocked(requirements{})
	if replace {
		p.permitsInUse++
	}
	p.mu.Unlock()
	go func() {
		c.closeAndDrain(peerCloseTimeout)
		p.releasePermitAfterGrace()
	}()
	if replace {
		go p.openReplacement()
	}
}

// openReplacement opens a connection for later exchanges, on a place that is held for
// it, and learns to which process it leads. A failure is no evidence about the upstream: the next exchange will tell.
func (p *pool) openReplacement() {
	c, err := dial(context.Background(), p.client.dialer(), string(p.id))
	if err != nil {
		p.releaseUnusedPermit()
		return
	}
	deadline := time.Now().Add(statusTimeout)
	if _, reusable, _ := c.fetchStatus(context.Background(), deadline, p.id); !reusable {
		p.discard(c)
		return
	}
	p.release(c)
}

// closeAndDrain tells the upstream that nothing more comes, which cancels the exchange
// there, and waits until it has closed its end.
func (c *conn) closeAndDrain(timeout time.Duration) {
	defer func() { _ = c.Close() }()
	half, ok := c.Conn.(*net.TCPConn)
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}
