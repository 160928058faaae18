package upstreams

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// errStale means that the connections had ended and that the exchange was
// chosen without regard to that.
var errStale = errors.New("connections had ended")

// staleTime is the time that the end of the connections takes to reach the
// choice of upstreams. Until then no new connection carries an exchange that
// was chosen before: several of them at once would be more than an upstream can
// handle that has just restarted.
const staleTime = 100 * clock.Millisecond

// want is what an exchange demands of its connection.
type want struct {
	fresh bool // a new connection
	gated bool // chosen with regard to a cold start
}

// staleness is what the ends of connections tell.
type staleness struct {
	found bool // all idle connections had ended, which no exchange has told yet
	until clock.Millis
}

// mayDial reports whether the exchange may use a new connection. The caller
// holds the lock and returns errStale otherwise.
func (p *pool) mayDial(w want) bool {
	if w.gated {
		return true
	}
	now := p.client.clock.Now()
	if p.stale.found {
		p.stale.found = false
		p.stale.until = now + staleTime
	}
	return now >= p.stale.until
}

// prove makes sure that the connection leads to the process for which the
// exchange was chosen. A new process may be in a cold start, of which the
// choice did not know. It returns errStale if the connection leads to another
// process, or to an unknown one; the connection then waits for an exchange that
// was chosen for its process.
func (p *pool) prove(ctx context.Context, c *conn, e *Exchange, deadline time.Time) error {
	if e.gated || e.boot == "" || c.boot == e.boot {
		return nil
	}
	if c.boot == "" {
		_, reusable, err := c.status(ctx, deadline, p.id)
		switch {
		case !reusable:
			p.discard(c)
			return errors.CombineErrors(err, errStale)
		case c.boot == e.boot:
			return nil
		}
	}
	p.release(c)
	return errStale
}

// ended notes that a used connection had ended before a byte was sent.
func (p *pool) ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale.found = len(p.idle) == 0
}

// lost notes a refused or lost connection, which the result of its exchange
// tells.
func (p *pool) lost() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = staleness{until: p.client.clock.Now() + staleTime}
}

// answered notes an answer, which proves what the process is.
func (p *pool) answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = staleness{}
}
