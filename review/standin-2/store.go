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

// storeLatency is the time of an answer of the store, as on the sheets of the small sites.
const storeLatency = 4 * time.Millisecond

const (
	pageItems     = 500
	maxWatchWait  = 30 * time.Second
	maxTxnEntries = 32
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Rev      uint64 `json:"rev"`
	Created  uint64 `json:"createRevision,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	IsRemove bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's store. It keeps its whole history, answers
// linearizably and is never disturbed.
type store struct {
	record *record

	mu      sync.Mutex
	items   map[string]item
	history []item
	rev     uint64
	changed chan struct{}
}

func newStore(r *record) *store {
	return &store{record: r, items: make(map[string]item), rev: 100, changed: make(chan struct{})}
}

// put writes a key and returns the revision.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.putLocked(key, value)
	s.wake()
	return s.rev
}

func (s *store) putLocked(key string, value []byte) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Rev: s.rev, Created: created}
	s.items[key] = it
	s.history = append(s.history, it)
}

// has reports whether there is a key.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

// remove removes a key. Nothing changes if it is missing.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	s.removeLocked(key)
	s.wake()
}

func (s *store) removeLocked(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, IsRemove: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves the store on an address until the process ends.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.handleKey)
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.handleTxn)
	go func() { _ = http.Serve(l, mux) }()
}

func reply(w http.ResponseWriter, status int, body any) {
	time.Sleep(storeLatency)
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"storeRevision": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{it, rev})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "morePages": more, "storeRevision": rev})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("waitMs"))
	if err != nil || err2 != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	limit := time.After(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	for {
		s.mu.Lock()
		events := []item{}
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after }); i < len(s.history); i++ {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expect"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil || len(txn.Expect)+len(txn.Puts)+len(txn.Remove) > maxTxnEntries {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, p := range txn.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	for _, e := range txn.Expect {
		if s.items[e.Key].Rev != e.Rev {
			current := []item{}
			for _, x := range txn.Expect {
				if it, ok := s.items[x.Key]; ok {
					current = append(current, it)
				}
			}
			s.mu.Unlock()
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
			return
		}
	}
	s.rev++
	for _, p := range txn.Puts {
		s.putLocked(p.Key, p.Value)
	}
	for _, key := range txn.Remove {
		if _, ok := s.items[key]; ok {
			s.removeLocked(key)
		}
	}
	rev := s.rev
	s.wake()
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"rev": rev})
}
