package upstreams

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// peerCloseTimeout bounds the wait for an upstream to close its end of an
// abandoned connection. Until then the upstream counts the connection.
const peerCloseTimeout = time.Duration(upstream.AbandonedHold/clock.Millisecond) * time.Millisecond

// abandon closes a connection whose exchange was cancelled, such as that of the
// slower attempt after a hedge. The connection holds its permit until the
// upstream has closed its end. If the limit allows, a replacement is opened at
// once, so that the next exchange does not wait for a dial.
func (p *pool) abandon(c *conn) {
	p.mu.Lock()
	p.closingCount++
	replace := p.permitsInUse < p.limit && len(p.idle) == 0 && len(p.waiters) == 0 &&
		p.mayDialLocked(requirements{})
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

// openReplacement opens a connection for later exchanges with a permit that the
// caller holds, and fetches the status to identify the process at its other end.
// Failures are not recorded; the next exchange detects them.
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

// closeAndDrain closes the sending side, which cancels the exchange at the
// upstream, and reads until the upstream has closed its end or timeout has
// passed. Then it closes the connection.
func (c *conn) closeAndDrain(timeout time.Duration) {
	defer func() { _ = c.Close() }()
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}
