package routing

// Metrics returns the current values of the engine's gauges, by metric name.
func (e *Engine) Metrics() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Now()
	metrics := map[string]int64{
		"requests.running":            int64(len(e.running)),
		"connections.opened":          e.client.Opened(),
		"datacentres.out":             int64(len(e.outOfService)),
		"requests.panics":             e.panics,
		"replies.memory":              e.client.ReplyMemory(),
		"replies.retry-after-ignored": e.client.IgnoredRetryAfters(),
	}
	if e.table != nil {
		metrics["configuration.version"] = int64(e.table.Version())
		metrics["configuration.routes"] = int64(e.table.RouteCount())
		metrics["configuration.tenants"] = int64(len(e.table.Tenants()))
		if e.table.HasTenants() && e.proven {
			metrics["configuration.proof-age-ms"] = int64(e.deps.SuspendingClock.Now() - e.provenAt)
		}
	}
	for state, count := range e.replicas.CountByState(now) {
		metrics["replicas."+state] = int64(count)
	}
	for service, left := range e.replicas.RemainingBudgets(now) {
		metrics["service."+service+".budget-left"] = int64(left)
	}
	return metrics
}
