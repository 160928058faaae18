package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const strayFor = 15 * time.Second

// strayEntry lets another writer put one entry into the list of replicas that lacks
// fields. Its address is that of a web server of the other writer, which knows nothing of
// the platform and answers 404 to each path. The rule: at most 5 and one in 500 of all
// proper requests end with a 4xx that no replica gave.
func strayEntry(l *lab) (bool, error) {
	zones := []string{"z1", "z2", "z3"}
	l.store.put("op/config", configJSON(7, []string{
		routeJSON("pay", "/pay/", "unsafe", "ledger", 8000, 800, 2),
	}, []string{"ledger"}, 110))
	for i := range 9 {
		if _, err := l.addReplica(replicaSpec{
			service: "ledger", zone: zones[i%3], slots: 2, queue: 8, work: constantWork(30 * time.Millisecond), body: smallBody,
		}); err != nil {
			return false, err
		}
	}
	var taken atomic.Int64 // requests of clients that reached the web server
	listener, err := net.Listen("tcp", l.network.ip(203)+":0")
	if err != nil {
		return false, err
	}
	web := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		taken.Add(1)
		l.record.add("web server: %s %s of %s, answered 404", r.Method, r.URL.Path, r.Header.Get("Request-Id"))
		http.NotFound(w, r)
	})}
	defer web.Close()
	go func() { _ = web.Serve(listener) }()
	if err := l.startDaemons(zones...); err != nil {
		return false, err
	}
	var sent, served, denied atomic.Int64
	l.traffic(30, 90, func() request {
		return request{method: http.MethodPost, host: "h.example", path: "/pay/one", body: "pay", id: l.nextID("u"), deadline: 8 * time.Second}
	}, func(_ request, a answer) {
		sent.Add(1)
		switch {
		case a.status == http.StatusOK:
			served.Add(1)
		case a.status == http.StatusRequestTimeout, a.status == http.StatusMisdirectedRequest, a.status == http.StatusTooManyRequests:
			// The rule leaves these out.
		case a.status >= 300 && a.status < 500 && a.stamp == "":
			denied.Add(1)
		}
	})
	time.Sleep(8 * time.Second)
	if l.trouble {
		entry := fmt.Sprintf(`{"backend":"ledger","addr":%q,"zone":"z1","slots":2,"state":"ready"}`, listener.Addr())
		l.store.put("servers/agent-1", entry)
		l.record.add("another writer: servers/agent-1 %s", entry)
	}
	time.Sleep(strayFor)
	allowed := 5 + sent.Load()/500
	l.record.add("requests %d, served %d, reached the web server %d, answered 3xx or 4xx without a replica's stamp %d, allowed %d",
		sent.Load(), served.Load(), taken.Load(), denied.Load(), allowed)
	return denied.Load() > allowed, nil
}
