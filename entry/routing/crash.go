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
	// quarantinedRetry is the time to return of a request that crashes replicas.
	quarantinedRetry = 2 * clock.Second
	// crashesPerSecond bounds what a daemon tells its peers: when many replicas
	// crash at once, most requests on them are innocent.
	crashesPerSecond = 20
)

// crashes keeps requests away from replicas that have crashed them before. A
// request is one by its method, host, target and body, whoever sends it, and
// whichever daemon gets it. It is blocked once two tries of it, at different
// replicas, have ended with a lost connection and without an answer.
type crashes struct {
	list  quarantine.List
	told  int
	since clock.Millis
}

func (r *Request) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.Method+" "+r.Host+r.Target, r.Body)
}

// quarantined reports whether the request is kept away. The caller holds the
// lock.
func (e *Engine) quarantined(now clock.Millis, request *Request) bool {
	return !e.crashes.list.Empty() && e.crashes.list.IsBlocked(now, request.fingerprint())
}

// noteCrash takes the end of a request. The caller holds the lock.
func (c *call) noteCrash(now clock.Millis, outcome dispatch.OutcomeKind) {
	e := c.engine
	switch outcome {
	case dispatch.Answered, dispatch.Gathered:
		if e.crashes.list.Empty() {
			return
		}
		if f := c.request.fingerprint(); e.crashes.list.IsSuspect(now, f) {
			e.crashes.list.RecordSuccess(now, f)
		}
		return
	case dispatch.Unavailable, dispatch.TimedOut:
	default:
		return
	}
	if lost := c.lost(); lost != "" {
		e.crashed(now, c.request.fingerprint(), lost, c.began)
	}
}

// lost returns a replica whose connection was lost, here or at the daemon to
// which shards were delegated, or "".
func (c *call) lost() string {
	for i := range c.steps {
		if c.steps[i].Result == replica.Lost.String() {
			return c.steps[i].Replica
		}
	}
	return c.part.Lost
}

// crashed counts a lost try, and tells the peers of it.
func (e *Engine) crashed(now clock.Millis, f quarantine.Fingerprint, lost string, began clock.Millis) {
	if e.crashes.list.RecordCrash(now, f, upstream.ID(lost), began) {
		e.parts.Log.Info("request is kept away from replicas", "fingerprint", f.String(), "replica", lost)
	}
	if now-e.crashes.since >= clock.Second {
		e.crashes.since, e.crashes.told = now, 0
	}
	if e.crashes.told < crashesPerSecond && e.parts.Crashed != nil {
		e.crashes.told++
		e.parts.Crashed(f, lost)
	}
}

// HearCrash takes a lost try that a peer has seen.
func (e *Engine) HearCrash(f quarantine.Fingerprint, lost string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock.Now()
	if e.crashes.list.RecordCrash(now, f, upstream.ID(lost), now) {
		e.parts.Log.Info("request is kept away from replicas", "fingerprint", f.String(), "replica", lost, "told", "by a peer")
	}
}

func quarantinedAnswer() Answer {
	return refusal(http.StatusServiceUnavailable, "the request crashes replicas", quarantinedRetry)
}
