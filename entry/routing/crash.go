package routing

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/quarantine"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/exchange"
)

const (
	// quarantineRetryAfter is the time after which callers should retry a quarantined
	// request.
	quarantineRetryAfter = 2 * clock.Second
	// maxCrashReportsPerSecond limits the reports to peers: when many replicas crash
	// at once, most of the requests that they were running did not cause it.
	maxCrashReportsPerSecond = 20
	// outageSpread is the time within which replicas that fail together are lost.
	outageSpread = 250 * clock.Millisecond
)

// crashTracker quarantines requests that may crash replicas. Requests with the same
// method, host, target, tenant and body count as the same request, whichever caller sends
// them to whichever daemon. A request is blocked once two attempts, at different
// replicas or at different runs of one, have ended with a lost connection and without
// an answer. The second one must be this daemon's own, over a new connection, and begin
// outageSpread after this daemon learned of the first loss. When many replicas fail
// together, requests that all callers send alike are in flight on several of them, and
// each daemon reports its own.
type crashTracker struct {
	quarantine  quarantine.List
	published   int // reports in the current window of one second
	windowStart clock.Millis
}

// fingerprint identifies the request for the quarantine. The tenant stands for the key,
// which it must not contain.
func (r *Request) fingerprint() quarantine.Fingerprint {
	head := r.Method + " " + r.Host + r.Target
	if r.Tenant != nil {
		head += " " + r.Tenant.Name() // neither a target nor a name contains a space
	}
	return quarantine.FingerprintOf(head, r.Body)
}

// isQuarantined reports whether the request is blocked. The caller holds the lock.
func (e *Engine) isQuarantined(now clock.Millis, request *Request) bool {
	return !e.crashes.quarantine.Empty() && e.crashes.quarantine.IsBlocked(now, request.fingerprint())
}

// isSuspect reports whether the request may have crashed a replica. The caller holds
// the lock.
func (e *Engine) isSuspect(now clock.Millis, request *Request) bool {
	return !e.crashes.quarantine.Empty() && e.crashes.quarantine.IsSuspect(now, request.fingerprint())
}

// runOf identifies one run of a replica. A replica that restarts under the same ID and
// crashes again counts as another one.
func runOf(entry replica.Entry) string {
	if entry.Incarnation() == 0 {
		return entry.ID()
	}
	return entry.ID() + "@" + strconv.FormatInt(entry.Incarnation(), 10)
}

// updateQuarantine records the result of an exchange with a replica: a reply that the
// replica has sealed counts as a success of a suspect request, a lost connection as a
// crash. A reused connection that ended may have been idle for too long; this only makes
// the request a suspect. The caller holds the lock.
func (c *call) updateQuarantine(now, sent clock.Millis, target replica.Entry, result replica.Result, reply *exchange.Reply) {
	e := c.engine
	switch result {
	case replica.OK, replica.Failed:
		if reply.Seal() != "" && e.isSuspect(now, &c.request) {
			e.crashes.quarantine.RecordSuccess(now, c.request.fingerprint())
		}
	case replica.Closed:
		c.suspect(now, runOf(target))
	case replica.Lost:
		c.addLostReplica(runOf(target))
		f := c.request.fingerprint()
		if e.crashes.quarantine.RecordCrash(now, f, upstream.ID(runOf(target)), sent) {
			c.machine.ForbidRepeats()
		}
		e.publishQuarantined(now)
	}
}

// publishQuarantined sends the requests that this daemon has quarantined to the peers.
// The caller holds the lock.
func (e *Engine) publishQuarantined(now clock.Millis) {
	for _, entry := range e.crashes.quarantine.TakeChanges() {
		e.deps.Log.Info("request quarantined", "fingerprint", entry.Fingerprint().String(), "replicas", entry.Evidence())
		if e.deps.PublishQuarantine != nil {
			e.deps.PublishQuarantine(entry.Fingerprint(), entry.End()-now)
		}
	}
}

// needsNewConnection reports whether the next exchange needs a new connection, because a
// replica was lost with this request or with an earlier one like it. A reused connection
// may end only because it was idle for too long. The caller holds the lock.
func (c *call) needsNewConnection(now clock.Millis) bool {
	return len(c.lostReplicas) > 0 || c.engine.isSuspect(now, &c.request)
}

// suspect records that the request may have crashed a run of a replica, as runOf names
// it. The caller holds the lock.
func (c *call) suspect(now clock.Millis, run string) {
	c.addLostReplica(run)
	c.engine.crashes.quarantine.Suspect(now, c.request.fingerprint(), upstream.ID(run))
}

// addLostReplica adds a run of a replica to those that are reported. A delegate names the
// same one in each of its reports.
func (c *call) addLostReplica(run string) {
	if !slices.Contains(c.lostReplicas, run) {
		c.lostReplicas = append(c.lostReplicas, run)
	}
}

// reportCrashes reports the replicas that the request may have crashed to the peers,
// within their rate limit, unless it was served. The caller holds the lock.
func (c *call) reportCrashes(now clock.Millis, outcome dispatch.OutcomeKind) {
	e := c.engine
	if e.deps.PublishCrash == nil || (outcome != dispatch.Unavailable && outcome != dispatch.TimedOut) {
		return
	}
	if now-e.crashes.windowStart >= clock.Second {
		e.crashes.windowStart, e.crashes.published = now, 0
	}
	for _, id := range c.lostReplicas {
		if e.crashes.published == maxCrashReportsPerSecond {
			return
		}
		e.crashes.published++
		e.deps.PublishCrash(c.request.fingerprint(), id)
	}
}

// ReceiveCrash takes a report of a peer that a request may have crashed a replica. The
// request becomes a suspect. The report does not say when the request was sent, so any
// number of reports may be due to one outage, and they do not block it.
func (e *Engine) ReceiveCrash(f quarantine.Fingerprint, lost string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes.quarantine.Suspect(e.deps.Clock.Now(), f, upstream.ID(lost))
}

// ReceiveQuarantine blocks a request that a peer has quarantined, for the time that is
// left.
func (e *Engine) ReceiveQuarantine(f quarantine.Fingerprint, left clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Now()
	if e.crashes.quarantine.ReceiveEntry(now, quarantine.NewEntry(f, nil, now+left)) {
		e.deps.Log.Info("request quarantined", "fingerprint", f.String(), "told", "by a peer")
		e.crashes.quarantine.TakeChanges() // the record of the peer reaches all daemons
	}
}

func quarantinedAnswer() Answer {
	return refusal(http.StatusServiceUnavailable, "the request is quarantined: it may crash replicas", quarantineRetryAfter)
}
