package upstreams

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// errStaleChoice means that the connections had ended and that the exchange was
// chosen without regard to that.
var errStaleChoice = errors.New("connections had ended")

// dialHoldTime is the time that the end of the connections takes to reach the
// choice of upstreams. Until then no new connection carries an exchange that
// was chosen before: several of them at once would be more than an upstream can
// handle that has just restarted.
const dialHoldTime = 100 * clock.Millisecond

// requirements is what an exchange demands of its connection.
type requirements struct {
	fresh bool // a new connection
	gated bool // chosen with regard to a cold start
}

// dialHold is what the ends of connections tell.
type dialHold struct {
	unreported bool // all idle connections had ended, which no exchange has told yet
	until      clock.Millis
}

// mayDialLocked reports whether the exchange may use a new connection. The caller
// holds the lock and returns errStale otherwise.
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

// verifyProcess makes sure that the connection leads to the process for which the
// exchange was chosen. A new process may be in a cold start, of which the
// choice did not know. It returns errStale if the connection leads to another
// process, or to an unknown one; the connection then waits for an exchange that
// was chosen for its process.
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

// recordIdleClosed notes that a used connection had ended before a byte was sent.
func (p *pool) recordIdleClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialHold.unreported = len(p.idle) == 0
}

// recordConnectionLoss notes a refused or lost connection, which the result of its exchange
// tells.
func (p *pool) recordConnectionLoss() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialHold = dialHold{until: p.client.clock.Now() + dialHoldTime}
}

// recordAnswer notes an answer, which proves what the process is.
func (p *pool) recordAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialHold = dialHold{}
}
