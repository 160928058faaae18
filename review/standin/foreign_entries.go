package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	foreignService = "reports-metrics" // no configuration names it
	foreignFor     = 5 * time.Second
	foreignSteady  = 10 * time.Second // from the removal of the entries to the steady state
	foreignObserve = 30 * time.Second
)

// foreignEntries lets another writer put entries into the list of replicas: for each
// replica of a service one with the address of that replica and the name of a service
// that no configuration names. It removes them after some seconds. The rule: in steady
// state, requests on routes that were added later are not served less than a quarter as
// often as those on the first routes.
func foreignEntries(l *lab) (bool, error) {
	zones := []string{"z1", "z2", "z3"}
	services := []string{"ledger", "reports"}
	first := routeJSON("fetch", "/fetch/", "safe", "ledger", 8000, 800, 2)
	later := routeJSON("report", "/report/", "safe", "reports", 8000, 800, 2)
	l.store.put("op/config", configJSON(7, []string{first}, services, 110))
	var reports []*replica
	for _, service := range services {
		for i := range 6 {
			r, err := l.addReplica(replicaSpec{
				service: service, zone: zones[i%3], slots: 2, queue: 8, work: constantWork(30 * time.Millisecond), body: smallBody,
			})
			if err != nil {
				return false, err
			}
			if service == "reports" {
				reports = append(reports, r)
			}
		}
	}
	if err := l.startDaemons(zones...); err != nil {
		return false, err
	}
	var mu sync.Mutex
	sent, served := make(map[string]int), make(map[string]int)
	traffic := func(kind string) {
		l.traffic(20, 30, func() request {
			id := l.nextID(kind[:1])
			return request{method: http.MethodGet, host: "h.example", path: "/" + kind + "/" + id, id: id, deadline: 8 * time.Second}
		}, func(_ request, a answer) {
			mu.Lock()
			defer mu.Unlock()
			sent[kind]++
			if a.status == http.StatusOK {
				served[kind]++
			}
		})
	}
	traffic("fetch")
	time.Sleep(addRouteAt)
	l.store.put("op/config", configJSON(9, []string{first, later}, services, 110))
	l.record.add("operator: version 9 adds the route report")
	time.Sleep(popularFrom)
	traffic("report")
	time.Sleep(crashAfter)
	if l.trouble {
		for i, r := range reports {
			entry := strings.Replace(r.entry("ready"), `"backend":"reports"`, fmt.Sprintf(`"backend":%q`, foreignService), 1)
			l.store.put(fmt.Sprintf("servers/m-%d", i), entry)
			l.record.add("another writer: servers/m-%d %s", i, entry)
		}
	}
	time.Sleep(foreignFor)
	if l.trouble {
		for i := range reports {
			l.store.remove(fmt.Sprintf("servers/m-%d", i))
		}
		l.record.add("another writer: its entries are removed")
	}
	time.Sleep(foreignSteady)
	mu.Lock()
	l.record.add("before the steady state: fetch %d of %d served, report %d of %d served",
		served["fetch"], sent["fetch"], served["report"], sent["report"])
	clear(sent)
	clear(served)
	mu.Unlock()
	time.Sleep(foreignObserve)
	mu.Lock()
	defer mu.Unlock()
	l.record.add("in steady state: fetch %d of %d served, report %d of %d served",
		served["fetch"], sent["fetch"], served["report"], sent["report"])
	share := func(kind string) float64 { return float64(served[kind]) / float64(max(sent[kind], 1)) }
	return sent["report"] >= minLater && share("report") < share("fetch")/4, nil
}
