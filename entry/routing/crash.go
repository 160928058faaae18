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
	// quarantineRetryAfter is the time after which callers should retry a quarantined
	// request.
	quarantineRetryAfter = 2 * clock.Second
	// maxCrashReportsPerSecond limits the reports to peers: when many replicas crash
	// at once, most of the requests that they were running did not cause it.
	maxCrashReportsPerSecond = 20
)

// crashTracker quarantines requests that may crash replicas. Requests with the same
// method, host, target and body count as the same request, whichever caller sends
// them to whichever daemon. A request is blocked once two attempts, at different
// replicas, have ended with a lost connection and without an answer.
type crashTracker struct {
	quarantine  quarantine.List
	published   int // reports in the current window of one second
	windowStart clock.Millis
}

func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Method+" "+r.Host+r.Target, r.Body)
}

// isQuarantined reports whether the request is blocked. The caller holds the lock.
func (e *Engine) isQuarantined(now clock.Millis, request *Request) bool {
	return !e.crashes.quarantine.Empty() && e.crashes.quarantine.IsBlocked(now, request.fingerprint())
}

// updateQuarantine records the outcome of a request: an answer counts as a
// success of a suspect request, a lost connection without an answer as a crash. The
// caller holds the lock.
func (c *call) updateQuarantine(now clock.Millis, outcome dispatch.OutcomeKind) {
	e := c.engine
	switch outcome {
	case dispatch.Answered, dispatch.Gathered:
		if e.crashes.quarantine.Empty() {
			return
		}
		if f := c.request.fingerprint(); e.crashes.quarantine.IsSuspect(now, f) {
			e.crashes.quarantine.RecordSuccess(now, f)
		}
		return
	case dispatch.Unavailable, dispatch.TimedOut:
	default:
		return
	}
	if lost := c.lostReplica(); lost != "" {
		e.recordCrash(now, c.request.fingerprint(), lost, c.startedAt)
	}
}

// lostReplica returns a replica whose connection was lost, here or at a daemon to
// which shards were delegated, or "" if there is none.
func (c *call) lostReplica() string {
	for i := range c.traces {
		if c.traces[i].Result == replica.Lost.String() {
			return c.traces[i].Replica
		}
	}
	return c.delegatedPart.LostReplica
}

// recordCrash counts an attempt that ended with a lost connection as a crash, and
// publishes it to the peers within their rate limit. The caller holds the lock.
func (e *Engine) recordCrash(now clock.Millis, f quarantine.Fingerprint, lost string, startedAt clock.Millis) {
	if e.crashes.quarantine.RecordCrash(now, f, upstream.ID(lost), startedAt) {
		e.deps.Log.Info("request quarantined", "fingerprint", f.String(), "replica", lost)
	}
	if now-e.crashes.windowStart >= clock.Second {
		e.crashes.windowStart, e.crashes.published = now, 0
	}
	if e.crashes.published < maxCrashReportsPerSecond && e.deps.PublishCrash != nil {
		e.crashes.published++
		e.deps.PublishCrash(f, lost)
	}
}

// ReceiveCrash counts a crash that a peer observed. It does not publish it again.
func (e *Engine) ReceiveCrash(f quarantine.Fingerprint, lost string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Now()
	if e.crashes.quarantine.RecordCrash(now, f, upstream.ID(lost), now) {
		e.deps.Log.Info("request quarantined", "fingerprint", f.String(), "replica", lost, "told", "by a peer")
	}
}

func quarantinedAnswer() Answer {
	return refusal(http.StatusServiceUnavailable, "the request is quarantined: it may crash replicas", quarantineRetryAfter)
}
