package upstreams

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// errStaleChoice means that the upstream was chosen before it was known that its
// connections had closed or that its process had changed.
var errStaleChoice = errors.New("upstream was chosen before its connections closed")

// dialHoldTime is the time within which closed connections are taken into account
// when upstreams are chosen. Until then only gated exchanges use new connections,
// because the upstream may have restarted and several ungated exchanges at once
// may overload it.
const dialHoldTime = 100 * clock.Millisecond

// requirements are the properties of an exchange that decide which connection it
// may use.
type requirements struct {
	fresh bool // only a new connection
	gated bool // the choice respects cold-start concurrency
}

// dialHold delays new connections for ungated exchanges after connections closed.
type dialHold struct {
	unreported bool // all idle connections had closed, and no exchange has reported it yet
	until      clock.Millis
}

// mayDialLocked reports whether the exchange may use a new connection. If not,
// the caller fails the exchange with errStaleChoice.
//
// The first call after all idle connections had closed starts the hold, because
// its exchange then reports that they had.
func (p *pool) mayDialLocked(required requirements) bool {
	if required.gated {
		return true
	}
	now := p.client.clock.Now()
	if p.dialHold.unreported {
		p.dialHold.unreported = false
		p.dialHold.until = now + dialHoldTime
	}
	return now >= p.dialHold.until
}

// verifyProcess checks that the connection leads to the process for which the
// upstream was chosen, and fetches the status if its boot id is unknown. A new
// process may be in a cold start that the choice did not take into account.
// Gated exchanges, and those without a boot id, may run on any process.
//
// It returns errStaleChoice, or the error of the status call if that failed. After
// an error the caller no longer owns c: it is released for an exchange that was
// chosen for its process, or discarded if it cannot be used again.
func (p *pool) verifyProcess(ctx context.Context, c *conn, e *Exchange, deadline time.Time) error {
	if e.gated || e.boot == "" || c.boot == e.boot {
		return nil
	}
	if c.boot == "" {
		_, reusable, err := c.fetchStatus(ctx, deadline, p.id)
		switch {
		case !reusable:
			p.discard(c)
			return errors.CombineErrors(err, errStaleChoice)
		case c.boot == e.boot:
			return nil
		}
	}
	p.release(c)
	return errStaleChoice
}

// recordIdleClosed records that a reused connection had closed before a byte of a
// request was sent.
func (p *pool) recordIdleClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialHold.unreported = len(p.idle) == 0
}

// recordConnectionLoss records a refused or lost connection and starts the dial
// hold. The outcome of the exchange reports the loss.
func (p *pool) recordConnectionLoss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialHold = dialHold{until: p.client.clock.Now() + dialHoldTime}
}

// recordAnswer ends the dial hold after a reply. Its boot id identifies the
// process.
func (p *pool) recordAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialHold = dialHold{}
}
