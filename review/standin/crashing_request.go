package main

import (
	"net/http"
	"time"
)

const (
	poisonPath     = "/fetch/poison"
	poisonInterval = 2 * time.Second
	poisonCount    = 24
	restartAfter   = 3 * time.Second
	entryLapse     = 3600 * time.Millisecond // three pings without an answer
	contact        = 4 * time.Second         // contactMs
	allowedRetries = 3                       // of the rule
)

// crashingRequest sends ordinary requests on a safe route and, every two seconds, one
// that crashes each replica that begins to run it. The rule: later than contactMs after
// the third crash it reaches replicas in at most three retries.
func crashingRequest(l *lab) (bool, error) {
	zones := []string{"z1", "z2", "z3"}
	l.store.put("op/config", configJSON(7, []string{
		routeJSON("fetch", "/fetch/", "safe", "ledger", 8000, 800, 2),
	}, []string{"ledger"}, 110))
	var add func(zone string) error
	add = func(zone string) error {
		spec := replicaSpec{
			service: "ledger", zone: zone, slots: 2, queue: 8, work: constantWork(30 * time.Millisecond), body: smallBody,
			crashes: func(r *http.Request) bool { return l.trouble && r.URL.Path == poisonPath },
		}
		var r *replica
		spec.onCrash = func() {
			// The replica is back after some seconds, as a new lifetime with a new id.
			// The entry of the old one lapses.
			time.Sleep(restartAfter)
			_ = add(zone)
			time.Sleep(entryLapse - restartAfter)
			l.store.remove("servers/" + r.spec.id)
		}
		var err error
		r, err = l.addReplica(spec)
		return err
	}
	for i := range 18 {
		if err := add(zones[i%3]); err != nil {
			return false, err
		}
	}
	if err := l.startDaemons(zones...); err != nil {
		return false, err
	}
	l.traffic(18, 90, func() request {
		return request{method: http.MethodGet, host: "h.example", path: "/fetch/item", id: l.nextID("a"), deadline: 8 * time.Second}
	}, func(request, answer) {})
	time.Sleep(4 * time.Second)
	for n := range poisonCount {
		m := l.daemons[n%len(l.daemons)]
		q := request{method: http.MethodGet, host: "h.example", path: poisonPath, id: l.nextID("p"), deadline: 8 * time.Second}
		l.record.add("client: sends %s, which crashes replicas, to %s", q.id, m.name)
		a := l.sendOnce(m, q)
		l.record.add("client: %s to %s: %s", q.id, m.name, a)
		time.Sleep(poisonInterval)
	}
	return l.judgeCrashingRequest(), nil
}

// judgeCrashingRequest counts the retries that reached replicas too late.
func (l *lab) judgeCrashingRequest() bool {
	arrivals, crashes := l.board.copy()
	l.record.add("crashes of replicas: %d", len(crashes))
	if len(crashes) < 3 {
		return false
	}
	from := crashes[2].Add(contact)
	seen := make(map[string]bool)
	retries := 0
	for _, a := range arrivals {
		if a.path != poisonPath {
			continue
		}
		if seen[a.id] && a.at.After(from) {
			retries++
			l.record.add("retry %d of %s reached %s at %.3f s, %.1f s after the third crash", retries, a.id, a.replica,
				a.at.Sub(l.record.start).Seconds(), a.at.Sub(crashes[2]).Seconds())
		}
		seen[a.id] = true
	}
	l.record.add("retries later than contactMs after the third crash: %d; allowed: %d", retries, allowedRetries)
	return retries > allowedRetries
}
