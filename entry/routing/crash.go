package routing

import (
	"net/http"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const (
	// quarantineRetryAfter is the time to return of a request that crashes replicas.
	quarantineRetryAfter = 2 * clock.Second
	// maxCrashReportsPerSecond bounds what a daemon tells its peers: when many replicas
	// crash at once, most requests on them are innocent.
	maxCrashReportsPerSecond = 20
)

// crashTracker keeps requests away from replicas that have crashed them before. A
// request is one by its method, host, target and body, whoever sends it, and
// whichever daemon gets it. It is blocked once two tries of it, at different
// replicas, have ended with a lost connection and without an answer.
type crashTracker struct {
	quarantine  quarantine.List
	published   int
	windowStart clock.Millis
}

func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Method+" "+r.Host+r.Target, r.Body)
}

// isQuarantined reports whether the request is kept away. The caller holds the
// lock.
func (e *Engine) isQuarantined(now clock.Millis, request *Request) bool {
	return !e.crashes.quarantine.Idle() && e.crashes.quarantine.Blocked(now, request.fingerprint())
}

// updateQuarantine takes the end of a request. The caller holds the lock.
func (c *call) updateQuarantine(now clock.Millis, outcome dispatch.OutcomeKind) {
	e := c.engine
	switch outcome {
	case dispatch.Answered, dispatch.Gathered:
		if e.crashes.quarantine.Idle() {
			return
		}
		if f := c.request.fingerprint(); e.crashes.quarantine.Suspect(now, f) {
			e.crashes.quarantine.Success(now, f)
		}
		return
	case dispatch.Unavailable, dispatch.TimedOut:
	default:
		return
	}
	if lost := c.lostReplica(); lost != "" {
		e.recordCrash(now, c.request.fingerprint(), lost, c.began)
	}
}

// lostReplica returns a replica whose connection was lost, here or at the daemon to
// which shards were delegated, or "".
func (c *call) lostReplica() string {
	for i := range c.traces {
		if c.traces[i].Result == replica.Lost.String() {
			return c.traces[i].Replica
		}
	}
	return c.delegatedPart.LostReplica
}

// recordCrash counts a lost try, and tells the peers of it.
func (e *Engine) recordCrash(now clock.Millis, f quarantine.Fingerprint, lost string, began clock.Millis) {
	if e.crashes.quarantine.Crash(now, f, upstream.ID(lost), began) {
		e.deps.Log.Info("request is kept away from replicas", "fingerprint", f.String(), "replica", lost)
	}
	if now-e.crashes.windowStart >= clock.Second {
		e.crashes.windowStart, e.crashes.published = now, 0
	}
	if e.crashes.published < maxCrashReportsPerSecond && e.deps.PublishCrash != nil {
		e.crashes.published++
		e.deps.PublishCrash(f, lost)
	}
}

// ReceiveCrash takes a lost try that a peer has seen.
func (e *Engine) ReceiveCrash(f quarantine.Fingerprint, lost string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Now()
	if e.crashes.quarantine.Crash(now, f, upstream.ID(lost), now) {
		e.deps.Log.Info("request is kept away from replicas", "fingerprint", f.String(), "replica", lost, "told", "by a peer")
	}
}

func quarantinedAnswer() Answer {
	return refusal(http.StatusServiceUnavailable, "the request crashes replicas", quarantineRetryAfter)
}
