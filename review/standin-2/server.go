package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// beatInterval is beatIntervalMs of the settings.
const beatInterval = 1200 * time.Millisecond

// serverSpec describes a server of a service.
type serverSpec struct {
	id, service, zone string
	slots             int
	work              time.Duration
	warmup            time.Duration // cold for so long after its start
}

// server is a stand-in for a replica. It behaves as the pages say of a sound one.
type server struct {
	serverSpec
	record   *record
	store    *store
	address  string
	born     int64
	started  time.Time
	listener net.Listener
	http     *http.Server
	slotsIn  chan struct{}
	stopBeat chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex
	state    string
	arrivals []arrival
	handle   func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool // true if it has answered
}

type arrival struct {
	at    time.Time
	id    string
	ran   bool
	begun time.Time
}

func startServer(rec *record, st *store, spec serverSpec) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		serverSpec: spec, record: rec, store: st, address: l.Addr().String(), born: time.Now().UnixMilli(),
		started: time.Now(), listener: l, slotsIn: make(chan struct{}, spec.slots), stopBeat: make(chan struct{}), state: "ready",
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 8 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
	rec.line("server %s of %s in %s starts at %s", spec.id, spec.service, spec.zone, s.address)
	return s, nil
}

// beat writes the entry of the server at each interval.
func (s *server) beat() {
	for seq := 1; ; seq++ {
		s.mu.Lock()
		state := s.state
		s.mu.Unlock()
		left := max(0, s.warmup-time.Since(s.started))
		text, _ := json.Marshal(map[string]any{
			"backend": s.service, "addr": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
			"warmupLeftMs": left.Milliseconds(), "seq": seq, "born": s.born,
		})
		select {
		case <-s.stopBeat:
			return
		default:
		}
		s.store.put("servers/"+s.id, text)
		select {
		case <-s.stopBeat:
			return
		case <-time.After(beatInterval):
		}
	}
}

// leaveAbruptly removes the entry. The server goes on serving until end.
func (s *server) leaveAbruptly() {
	s.stopOnce.Do(func() { close(s.stopBeat) })
	s.store.remove("servers/" + s.id)
	s.record.line("entry of server %s is removed from the store; it serves on", s.id)
}

// end ends the server: requests that it runs are completed.
func (s *server) end() {
	s.stopOnce.Do(func() { close(s.stopBeat) })
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = s.http.Shutdown(ctx)
	_ = s.http.Close()
	s.record.line("server %s exits", s.id)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	w.Header().Set("Keep-Alive", "timeout=8")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadline := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	select {
	case s.slotsIn <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-time.After(deadline):
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slotsIn }()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{at: at, id: id, ran: true, begun: time.Now()})
	handle := s.handle
	s.mu.Unlock()
	s.record.line("request %s begins at server %s", id, s.id)
	if handle != nil && handle(s, w, r, body) {
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Server-Stamp", stamp(s.id, id))
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.id, id)
}

// stamp stands for the MAC of an answer.
func stamp(server, request string) string { return "stamp." + server + "." + request }

// setHandle replaces what the server does with requests; nil is to run them.
func (s *server) setHandle(handle func(*server, http.ResponseWriter, *http.Request, []byte) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle = handle
}

func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
