package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store with its value, or the removal of a key.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store. It implements the calls that
// a daemon makes: kv-key, kv-range, kv-watch and kv-txn with puts.
type store struct {
	record *recorder
	server *http.Server
	addr   string

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{} // closed at the next change
	cut      chan struct{} // closed to cut the watches that are waiting
	delay    func(path string) time.Duration
}

const pageItems = 50

func newStore(record *recorder, ip string) (*store, error) {
	s := &store{
		record: record, items: make(map[string]item), revision: 1,
		changed: make(chan struct{}), cut: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a key and returns when the store has accepted it.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = item{Key: key, Value: []byte(value), Rev: s.revision}
	s.publish(s.items[key])
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Rev: s.revision, Removed: true})
}

func (s *store) publish(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches closes the connections of the watches that are waiting now.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// setDelay sets a function that gives the time by which the answer to a call is late.
func (s *store) setDelay(delay func(path string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay != nil {
		if d := delay(r.URL.Path); d > 0 {
			time.Sleep(d)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/kv-key":
		s.key(w, r)
	case "GET /v1/kv-range":
		s.list(w, r)
	case "GET /v1/kv-watch":
		s.watch(w, r)
	case "POST /v1/kv-txn":
		s.txn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply sends a reply with its length.
func reply(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.FormValue("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{"key": found.Key, "value": found.Value, "rev": found.Rev, "storeRevision": revision})
}

type rangeReply struct {
	Items    []item `json:"items"`
	More     bool   `json:"morePages"`
	Revision uint64 `json:"storeRevision"`
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	page := rangeReply{Revision: s.revision, Items: []item{}}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for i, key := range keys {
		if i == pageItems {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	s.mu.Unlock()
	reply(w, page)
}

type watchReply struct {
	Events   []item `json:"events"`
	Revision uint64 `json:"storeRevision"`
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	limit := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, cut := s.changed, s.cut
		changes := watchReply{Revision: s.revision, Events: []item{}}
		for _, event := range s.events {
			if event.Rev > after && strings.HasPrefix(event.Key, prefix) {
				changes.Events = append(changes.Events, event)
			}
		}
		s.mu.Unlock()
		if len(changes.Events) > 0 {
			reply(w, changes)
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(w, changes)
			return
		case <-cut:
			s.record.add("store: cut a watch that was waiting, of %s", r.RemoteAddr)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range body.Puts {
		s.put(p.Key, string(p.Value))
	}
	s.mu.Lock()
	revision := s.revision
	s.mu.Unlock()
	reply(w, map[string]any{"rev": revision})
}
