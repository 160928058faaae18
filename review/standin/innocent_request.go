package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	popularPath   = "/recount/now"
	crashAt       = 8 * time.Second
	observeFor    = 60 * time.Second
	innocentCount = 52 // replicas
	crashCount    = 8  // of them; srv_crash takes a share of 0.16 at most
	downFor       = 4500 * time.Millisecond
)

// popularWork is the time that a replica works on a request.
func popularWork(r *http.Request) time.Duration {
	if r.URL.Path == popularPath {
		return 600 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// innocentRequest sends two kinds of requests: reads of many items, and one request that
// many clients send and that may run once only. After some seconds a few replicas crash
// at the same moment and come back. The rule: no kind of request is served less than a
// quarter as often as all requests.
func innocentRequest(l *lab) (bool, error) {
	zones := []string{"z1", "z2", "z3"}
	l.store.put("op/config", configJSON(7, []string{
		routeJSON("fetch", "/fetch/", "safe", "ledger", 8000, 800, 2),
		routeJSON("recount", "/recount/", "unsafe", "ledger", 8000, 800, 2),
	}, []string{"ledger"}, 110))
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
	l.traffic(60, 150, func() request {
		id := l.nextID("f")
		return request{method: http.MethodGet, host: "h.example", path: "/fetch/" + id, id: id, deadline: 8 * time.Second}
	}, count("fetch"))
	l.traffic(40, 75, func() request {
		return request{method: http.MethodPost, host: "h.example", path: popularPath, id: l.nextID("n"), deadline: 8 * time.Second}
	}, count("recount"))
	time.Sleep(crashAt)
	if l.trouble {
		for i := range crashCount {
			r := all[i]
			r.end()
			l.record.add("replica %s: crashed; %d requests were running", r.spec.id, len(r.brokenID))
			time.AfterFunc(entryLapse, func() { l.store.remove("servers/" + r.spec.id) })
			time.AfterFunc(downFor, func() { _, _ = add(r.spec.zone) })
		}
	}
	for range int(observeFor / (5 * time.Second)) {
		time.Sleep(5 * time.Second)
		mu.Lock()
		l.record.add("so far: fetch %d of %d served, recount %d of %d served", served["fetch"], sent["fetch"], served["recount"], sent["recount"])
		mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	share := func(kinds ...string) float64 {
		s, n := 0, 0
		for _, kind := range kinds {
			s, n = s+served[kind], n+sent[kind]
		}
		return float64(s) / float64(max(n, 1))
	}
	recount, whole := share("recount"), share("fetch", "recount")
	l.record.add("served: %.3f of recount, %.3f of fetch, %.3f of all", recount, share("fetch"), whole)
	return recount < whole/4, nil
}
