package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"syscall"
	"time"
)

// restartApart: in the past machines ran and were removed for good. Later all daemons are killed at
// the same moment and start again, with seeds that start too. The registry in the store still
// names the machines that were removed, so the daemons find each other late, and each group of
// them grants a large part of a tenant's limit.
func restartApart(w *world) (bool, error) {
	const (
		rate          = 43.0 // of the tenant, requests per second
		burst         = 43.0
		window        = 5 * time.Second
		over          = 0.1
		slack         = 20.0
		allowed       = (rate*5+burst)*(1+over) + slack
		clientsOfZone = 20
		past          = 15    // rounds in which machines are added and removed
		perZoneS      = 100.0 // requests of the tenant per second and zone: 7 times its limit
	)
	if err := w.prepare(mediumFleet(), true); err != nil {
		return false, err
	}
	w.configure(7, []map[string]any{{
		"name": "r-1", "host": "h.example", "prefix": "/archive/", "kind": "safe", "timeoutMs": 1500, "sloMs": 400, "priority": 0,
		"backend": "archive", "maxAttempts": 2, "public": false,
	}}, []map[string]any{{"name": "archive", "healthPath": "/health", "maxConns": 510, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0}},
		[]map[string]any{{"name": "t-1", "apiKeys": []string{"6dnvhz6prvnzqjynjcfv"}, "priority": 0, "ratePerS": rate, "burst": burst}})
	var servers []*server
	for i := range 18 {
		s, err := startServer(w.record, w.store, serverSpec{
			id: fmt.Sprintf("i-%04d", i+1), service: "archive", zone: string(rune('a' + i%3)), slots: 4, work: 10 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := w.start(); err != nil {
		return false, err
	}
	if err := w.past(past); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all []*clients
	for _, zone := range []string{"a", "b", "c"} {
		for range clientsOfZone {
			c := newClients(&clients{
				record: w.record, zone: zone, directories: w.directories(zone), host: "h.example", path: "/archive/2f",
				method: http.MethodGet, timeLimit: 1500 * time.Millisecond, safe: true, key: "6dnvhz6prvnzqjynjcfv", obeys: true,
			})
			c.run(ctx, perZoneS/clientsOfZone)
			all = append(all, c)
		}
	}
	time.Sleep(10 * time.Second)
	if w.trouble {
		if err := w.killAndStartAll(); err != nil {
			return false, err
		}
	}
	time.Sleep(30 * time.Second)
	stop()
	for _, c := range all {
		c.wait.Wait()
	}
	requests := sentByID(all...)
	type ran struct{ sent, arrived time.Time }
	var runs []ran
	for _, s := range servers {
		for _, a := range s.seen() {
			r, known := requests[a.id]
			if !known {
				return false, fmt.Errorf("server %s ran request %s that no client sent", s.id, a.id)
			}
			runs = append(runs, ran{r.at, a.at})
		}
	}
	// A request counts once, however often it was repeated.
	first := make(map[time.Time]time.Time)
	for _, r := range runs {
		if at, ok := first[r.sent]; !ok || r.arrived.Before(at) {
			first[r.sent] = r.arrived
		}
	}
	runs = runs[:0]
	for sentAt, arrived := range first {
		runs = append(runs, ran{sentAt, arrived})
	}
	sort.Slice(runs, func(a, b int) bool { return runs[a].sent.Before(runs[b].sent) })
	most, at := 0, time.Time{}
	for i, from := range runs {
		count := 0
		for _, r := range runs[i:] {
			if r.sent.After(from.sent.Add(window)) {
				break
			}
			if !r.arrived.After(from.sent.Add(window)) {
				count++
			}
		}
		if count > most {
			most, at = count, from.sent
		}
	}
	w.record.say("%d requests sent, %d run; at most %d of the tenant were sent and run in %v, from second %.1f on; allowed %.0f",
		len(requests), len(runs), most, window, at.Sub(w.record.began).Seconds(), allowed)
	if len(runs) < 500 {
		return false, fmt.Errorf("too few requests were run")
	}
	return float64(most) > allowed, nil
}

// passingMachines adds machines and removes each for good, without a SIGTERM, as soon as it has
// made itself known in the store. It stands for machines of the past: the daemons that run don't
// get to know them as members, as they have forgotten those that left more than ten minutes ago.
func (w *world) passingMachines(round, count int) error {
	var added []*machine
	defer func() {
		for _, m := range added {
			m.kill()
		}
	}()
	for i := range count {
		like := w.machines[i%len(w.machines)]
		m := &machine{
			name: fmt.Sprintf("front-%s-past-%d-%d", like.zone, round, i), zone: like.zone, ip: fmt.Sprintf("127.0.%d.%d", 10+round, 1+i),
			ports: like.ports, store: like.store, seeds: like.seeds, tenants: like.tenants, folder: w.folder,
			retrySlack: like.retrySlack,
		}
		if err := m.start(w.root, w.command); err != nil {
			return err
		}
		added = append(added, m)
	}
	left := append([]*machine(nil), added...)
	for end := time.Now().Add(15 * time.Second); len(left) > 0; time.Sleep(2 * time.Millisecond) {
		left = slices.DeleteFunc(left, func(m *machine) bool {
			known := w.store.has("lovagegap/daemons/" + m.at(m.ports.peers))
			if known {
				m.signal(syscall.SIGKILL)
			}
			return known
		})
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d added machines are not known in the store", len(left), len(added))
		}
	}
	w.record.line("%d machines were added and removed for good", len(added))
	return nil
}
