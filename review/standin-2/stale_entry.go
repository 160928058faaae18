package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// staleEntry: a server leaves while the answers of the store to one machine are held up for
// less than two seconds. Long after, the machine still sends requests to it.
func staleEntry(w *world) (bool, error) {
	const (
		zones     = 3
		perZone   = 5
		rounds    = 8
		every     = 12 * time.Second
		cut       = 1800 * time.Millisecond // less than the longest of the sheet, 5.5 s
		leaveIn   = 600 * time.Millisecond  // after the start of the cut
		leaving   = 2                       // servers of a round, 13 of 100
		serveOn   = 10 * time.Second        // after the removal of the entry: "at times many seconds"
		replaceIn = 3 * time.Second
	)
	if err := w.prepare(smallSite, false); err != nil {
		return false, err
	}
	w.configure(7, []map[string]any{{
		"name": "r-1", "host": "h.example", "prefix": "/ledger/", "kind": "safe", "timeoutMs": 2000, "sloMs": 400, "priority": 0,
		"backend": "ledger", "maxAttempts": 2,
	}}, []map[string]any{{"name": "ledger", "healthPath": "/health", "maxConns": 43, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0}}, nil)
	var running []*server
	number := 0
	add := func(zone string) error {
		number++
		s, err := startServer(w.record, w.store, serverSpec{
			id: fmt.Sprintf("i-%04d", number), service: "ledger", zone: zone, slots: 4, work: 20 * time.Millisecond,
		})
		running = append(running, s)
		return err
	}
	for i := range zones * perZone {
		if err := add(string(rune('a' + i%zones))); err != nil {
			return false, err
		}
		time.Sleep(70 * time.Millisecond) // their beats are spread
	}
	if err := w.start(); err != nil {
		return false, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all []*clients
	for _, zone := range []string{"a", "b", "c"} {
		c := newClients(&clients{
			record: w.record, zone: zone, directories: w.directories(zone), host: "h.example", path: "/ledger/2f",
			method: http.MethodGet, timeLimit: 2 * time.Second, safe: true,
		})
		c.run(ctx, 20)
		all = append(all, c)
	}
	time.Sleep(2 * contactMs)
	type left struct {
		server              *server
		removedAt, inTouch  time.Time
		machine             string
		storeRevisionBefore uint64
	}
	var gone []left
	for round := range rounds {
		began := time.Now()
		// The machines that read the store themselves, in turn. The second one of a zone follows
		// the first.
		which := []int{0, 2, 3}[round%3]
		if w.trouble {
			w.record.line("answers of the store to %s are held up", w.machines[which].name)
			w.proxies[which].hold()
		}
		time.Sleep(leaveIn)
		now := time.Now()
		// Those of the zone of the machine, which it prefers.
		for range leaving {
			i := slices.IndexFunc(running, func(s *server) bool { return s.zone == w.machines[which].zone })
			s := running[i]
			running = slices.Delete(running, i, i+1)
			s.leaveAbruptly()
			gone = append(gone, left{server: s, removedAt: now, inTouch: began.Add(cut + contactMs), machine: w.machines[which].name})
			time.AfterFunc(serveOn, s.end)
		}
		time.Sleep(time.Until(began.Add(cut)))
		if w.trouble {
			w.proxies[which].letGo()
			w.record.line("answers of the store to %s pass again", w.machines[which].name)
		}
		time.Sleep(time.Until(began.Add(replaceIn)))
		for range leaving {
			if err := add(w.machines[which].zone); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(began.Add(every)))
	}
	stop()
	for _, c := range all {
		c.wait.Wait()
	}
	requests := sentByID(all...)
	late := 0
	for _, g := range gone {
		count := 0
		var first time.Time
		for _, a := range g.server.seen() {
			s, known := requests[a.id]
			if !known {
				return false, fmt.Errorf("server %s ran request %s that no client sent", g.server.id, a.id)
			}
			// Both the sending and the arrival are later than drainMs after the removal, and in a
			// time in which every machine is in touch.
			if limit := maxTime(g.removedAt.Add(drainMs), g.inTouch); s.at.After(limit) && a.at.After(limit) {
				if count == 0 {
					first = a.at
				}
				count++
			}
		}
		late += count
		if count > 0 {
			w.record.say("server %s, whose entry was removed while %s was cut off: %d requests, the first %.1f s after the removal",
				g.server.id, g.machine, count, first.Sub(g.removedAt).Seconds())
		}
	}
	answered := 0
	for _, s := range requests {
		if s.status == http.StatusOK {
			answered++
		}
	}
	w.record.say("%d requests sent, %d answered with 200; %d reached servers that were gone for longer than drainMs", len(requests), answered, late)
	if answered*2 < len(requests) {
		return false, fmt.Errorf("less than half of the requests were served")
	}
	return late > 0, nil
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
