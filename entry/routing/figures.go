package routing

// Metrics returns what the engine believes at present, by name.
func (e *Engine) Metrics() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.deps.Clock.Now()
	figures := map[string]int64{
		"requests.running":   int64(len(e.running)),
		"connections.opened": e.client.Opened(),
		"datacentres.out":    int64(len(e.outOfService)),
	}
	if e.table != nil {
		figures["configuration.version"] = int64(e.table.Version())
		figures["configuration.routes"] = int64(e.table.RouteCount())
	}
	for state, count := range e.replicas.CountByState(now) {
		figures["replicas."+state] = int64(count)
	}
	for service, left := range e.replicas.RemainingBudgets(now) {
		figures["service."+service+".budget-left"] = int64(left)
	}
	return figures
}
