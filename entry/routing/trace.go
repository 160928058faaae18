package routing

import (
	"net/http"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/replica"
)

// exchangeTrace describes one exchange of a request in the log line of the request.
type exchangeTrace struct {
	Service   string       `json:"service"`
	Replica   string       `json:"replica"`
	Version   string       `json:"version,omitempty"` // during a release
	Purpose   string       `json:"purpose"`
	At        clock.Millis `json:"at"`             // ms since the request arrived
	Took      clock.Millis `json:"took,omitempty"` // ms
	Result    string       `json:"result"`
	InFlight  int          `json:"inFlight"`  // exchanges of this daemon in flight at the replica
	ListedAgo clock.Millis `json:"listedAgo"` // age of the view of the store, ms
}

const unanswered = "unanswered"

func (c *call) traceSend(now clock.Millis, action dispatch.Action) {
	entry := action.Replica().Entry()
	version := ""
	if c.engine.releases[entry.Service()] != nil {
		version = entry.Version()
	}
	c.traces = append(c.traces, exchangeTrace{
		Service: entry.Service(), Replica: entry.ID(), Version: version, Purpose: action.Purpose().String(),
		At: truncateToTenths(now - c.startedAt), Result: unanswered, InFlight: action.Replica().InFlight(),
		ListedAgo: truncateToTenths(now - c.engine.storeViewTime),
	})
}

func (c *call) traceEnd(now clock.Millis, attempt int, result string) {
	s := &c.traces[attempt]
	s.Result, s.Took = result, truncateToTenths(now-c.startedAt-s.At)
}

// truncateToTenths cuts a time to tenths of a millisecond, which keeps log lines
// short.
func truncateToTenths(m clock.Millis) clock.Millis { return clock.Millis(int64(m*10)) / 10 }

// logFinished writes the log line of a finished request. Requests that failed, were
// late or lack shards are always logged, the others as LogRoutine decides.
func (c *call) logFinished(now clock.Millis, answer Answer, outcome string, shards []string) {
	e := c.engine
	elapsed := now - c.startedAt
	message, level := "", 0
	switch {
	case answer.callerGone && c.delegated:
		return // the delegating daemon had enough parts
	case answer.callerGone:
		message = "caller disconnected"
	case answer.status >= http.StatusInternalServerError:
		message = "request not served"
	case len(shards) > 0:
		message = "answer partial"
	case elapsed > c.route.Objective():
		message = "answer late"
	case e.deps.LogRoutine != nil && e.deps.LogRoutine():
		message, level = "request served", 1
	default:
		return
	}
	values := []any{
		"request", c.request.ID, "route", c.route.Name(), "version", c.configurationVersion, "outcome", outcome,
		"status", answer.status, "ms", truncateToTenths(elapsed), "objective", c.route.Objective(),
		"deadline", truncateToTenths(c.request.Deadline), "timeout", c.route.Timeout(),
	}
	if c.delegated {
		values = append(values, "delegated", true)
	}
	if c.request.Tenant != nil {
		values = append(values, "tenant", c.request.Tenant.Name())
	}
	if answer.reason != "" {
		values = append(values, "reason", answer.reason)
	}
	if answer.retryAfter > 0 {
		values = append(values, "retryAfter", truncateToTenths(answer.retryAfter))
	}
	if len(shards) > 0 {
		values = append(values, "missing", shards)
	}
	if c.machine != nil {
		if len(c.route.Shards()) > 0 && !c.delegated {
			values = append(values, "margin", truncateToTenths(c.machine.Margin()))
		}
		if withheld := c.machine.WithheldHedges(); len(withheld) > 0 {
			values = append(values, "withheldHedges", withheld[:min(len(withheld), maxLoggedExchanges)])
		}
		if unavailable := c.machine.UnavailableServices(now); len(unavailable) > 0 {
			values = append(values, "unavailable", unavailable[:min(len(unavailable), maxLoggedExchanges)])
		}
	}
	e.deps.Log.V(level).Info(message, append(values, "exchanges", c.notableExchanges(elapsed))...)
}

// LogRejected writes the log line of a request that was rejected before Serve: it
// matches no route, or its header or body is unacceptable.
func (e *Engine) LogRejected(id, host, path string, status int, reason string) {
	e.deps.Log.Info("request rejected", "request", id, "host", host, "path", path,
		"version", e.Version(), "status", status, "reason", reason)
}

// logStateChange writes a log line if an attempt changed the state of its replica.
// The caller holds the lock.
func (e *Engine) logStateChange(now clock.Millis, r *replica.Replica, result replica.Result) {
	log := e.deps.Log.V(1)
	if !log.Enabled() {
		return
	}
	if change, changed := r.TakeStateChange(now); changed {
		entry := r.Entry()
		log.Info("replica is "+change.State(), "replica", entry.ID(), "service", entry.Service(),
			"before", change.Previous(), "result", result.String(),
			"slowness", change.Slowness(), "failing", change.FailureRate(),
			"inFlight", r.InFlight(), "listedAgo", truncateToTenths(now-e.storeViewTime))
	}
}

// maxLoggedExchanges limits the exchanges in a log line.
const maxLoggedExchanges = 12

// notableExchanges returns the exchanges that explain the outcome. Of a request over
// many shards these are the ones that failed, were no first attempt, or took more
// than half of the elapsed time.
func (c *call) notableExchanges(elapsed clock.Millis) []exchangeTrace {
	if len(c.route.Shards()) == 0 {
		return c.traces[:min(len(c.traces), maxLoggedExchanges)]
	}
	var found []exchangeTrace
	for _, s := range c.traces {
		if (s.Result != "ok" || s.Purpose != "first" || s.Took > elapsed/2) && len(found) < maxLoggedExchanges {
			found = append(found, s)
		}
	}
	return found
}
