package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	popularPath   = "/recount/now"
	addRouteAt    = 3 * time.Second
	popularFrom   = 4 * time.Second // after the route was added; configApplyMs is 3 s
	crashAfter    = 5 * time.Second // after the first of the popular requests
	steadyAfter   = 15 * time.Second
	observeFor    = 40 * time.Second
	innocentCount = 52 // replicas
	crashCount    = 8  // of them, the busiest; srv_crash takes a share of 0.16 at most
	downFor       = 4500 * time.Millisecond
	minLater      = 20 // requests on added routes, for the rule to apply
)

// popularWork is the time that a replica works on a request.
func popularWork(r *http.Request) time.Duration {
	if r.URL.Path == popularPath {
		return 1500 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// innocentRequest sends reads of many items on the first route and, on a route that is
// added later, one request that many clients send and that may run once only. After some
// seconds a few replicas crash at the same moment and come back. The rule: in steady
// state, requests on routes that were added later are not served less than a quarter as
// often as those on the first routes.
func innocentRequest(l *lab) (bool, error) {
	zones := []string{"z1", "z2", "z3"}
	first := routeJSON("fetch", "/fetch/", "safe", "ledger", 8000, 800, 2)
	later := routeJSON("recount", "/recount/", "unsafe", "ledger", 8000, 3000, 2)
	l.store.put("op/config", configJSON(7, []string{first}, []string{"ledger"}, 110))
	add := func(zone string) (*replica, error) {
		return l.addReplica(replicaSpec{
			service: "ledger", zone: zone, slots: 2, queue: 8, work: popularWork, body: smallBody,
		})
	}
	var all []*replica
	for i := range innocentCount {
		r, err := add(zones[i%3])
		if err != nil {
			return false, err
		}
		all = append(all, r)
	}
	if err := l.startDaemons(zones...); err != nil {
		return false, err
	}
	var mu sync.Mutex
	sent, served := make(map[string]int), make(map[string]int)
	count := func(kind string) func(request, answer) {
		return func(_ request, a answer) {
			mu.Lock()
			defer mu.Unlock()
			sent[kind]++
			if a.status == http.StatusOK {
				served[kind]++
			}
		}
	}
	l.traffic(40, 60, func() request {
		id := l.nextID("f")
		return request{method: http.MethodGet, host: "h.example", path: "/fetch/" + id, id: id, deadline: 8 * time.Second}
	}, count("fetch"))
	time.Sleep(addRouteAt)
	l.store.put("op/config", configJSON(9, []string{first, later}, []string{"ledger"}, 110))
	l.record.add("operator: version 9 adds the route recount")
	time.Sleep(popularFrom)
	l.traffic(100, 26, func() request {
		return request{method: http.MethodPost, host: "h.example", path: popularPath, id: l.nextID("n"), deadline: 8 * time.Second}
	}, count("recount"))
	time.Sleep(crashAfter)
	if l.trouble {
		slices.SortFunc(all, func(a, b *replica) int { return b.runningCount(popularPath) - a.runningCount(popularPath) })
		for _, r := range all[:crashCount] {
			r.end()
			l.record.add("replica %s: crashed; %d requests were running", r.spec.id, len(r.brokenID))
			time.AfterFunc(entryLapse, func() { l.store.remove("servers/" + r.spec.id) })
			time.AfterFunc(downFor, func() { _, _ = add(r.spec.zone) })
		}
	}
	time.Sleep(steadyAfter)
	mu.Lock()
	l.record.add("before the steady state: fetch %d of %d served, recount %d of %d served",
		served["fetch"], sent["fetch"], served["recount"], sent["recount"])
	clear(sent)
	clear(served)
	mu.Unlock()
	time.Sleep(observeFor)
	mu.Lock()
	defer mu.Unlock()
	l.record.add("in steady state: fetch %d of %d served, recount %d of %d served",
		served["fetch"], sent["fetch"], served["recount"], sent["recount"])
	share := func(kind string) float64 { return float64(served[kind]) / float64(max(sent[kind], 1)) }
	return sent["recount"] >= minLater && share("recount") < share("fetch")/4, nil
}
