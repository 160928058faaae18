package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	id      string
	path    string
	replica string
	at      time.Time
	ran     bool
}

// board collects what all replicas have seen. It is safe for concurrent use.
type board struct {
	record *recorder

	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
}

func (b *board) arrived(a arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, a)
}

func (b *board) crashed(at time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes = append(b.crashes, at)
	return len(b.crashes)
}

func (b *board) copy() ([]arrival, []time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...), append([]time.Time(nil), b.crashes...)
}

// replicaSpec describes a replica.
type replicaSpec struct {
	id, service, zone, ip string
	slots, queue          int
	work                  func(r *http.Request) time.Duration
	crashes               func(r *http.Request) bool // whether a request crashes the replica that runs it
	body                  func(r *http.Request) []byte
	onCrash               func() // called once, after a crash
}

// replica is a stand-in for one lifetime of a replica of a service. It behaves as the
// users' pages say: it echoes the ID, answers 421 to a request that expects another
// instance, runs as many requests as it has slots, queues a few more and rejects the
// others as not run.
type replica struct {
	spec   replicaSpec
	board  *board
	addr   string
	server *http.Server
	slots  chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]bool
	waiting  int
	gone     bool
	brokenID []string          // requests that were running when the replica ended
	runs     map[string]string // path of the requests that run, by id
}

func newReplica(b *board, spec replicaSpec) (*replica, error) {
	r := &replica{
		spec: spec, board: b, slots: make(chan struct{}, spec.slots),
		conns: make(map[net.Conn]bool), runs: make(map[string]string),
	}
	listener, err := net.Listen("tcp", spec.ip+":0")
	if err != nil {
		return nil, err
	}
	r.addr = listener.Addr().String()
	r.server = &http.Server{Handler: r, IdleTimeout: 15 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		switch state {
		case http.StateNew:
			r.conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(r.conns, c)
		}
	}}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// entry is what the replica writes to the store.
func (r *replica) entry(state string) string {
	return fmt.Sprintf(
		`{"backend":%q,"addr":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmupLeftMs":0,"seq":1,"born":%d}`,
		r.spec.service, r.addr, r.spec.zone, r.spec.slots, state, time.Now().UnixMilli())
}

// end ends the process of the replica: all connections are reset and the port is closed.
func (r *replica) end() {
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		return
	}
	r.gone = true
	for id := range r.runs {
		r.brokenID = append(r.brokenID, id)
	}
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	r.mu.Unlock()
	_ = r.server.Close()
}

// runningCount returns the number of requests with the path that run.
func (r *replica) runningCount(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, running := range r.runs {
		if running == path {
			n++
		}
	}
	return n
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=15")
	if q.URL.Path == "/health" {
		w.Header().Set("Instance-Id", r.spec.id)
		return
	}
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.spec.id {
		r.board.record.add("replica %s: 421 to %s, which expects %s", r.spec.id, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	_, _ = io.Copy(io.Discard, q.Body)
	if !r.takeSlot(q) {
		r.board.arrived(arrival{id: id, path: q.URL.Path, replica: r.spec.id, at: at})
		r.board.record.add("replica %s: rejects %s as not run", r.spec.id, id)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	r.runs[id] = q.URL.Path
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.runs, id)
		r.mu.Unlock()
	}()
	r.board.arrived(arrival{id: id, path: q.URL.Path, replica: r.spec.id, at: at, ran: true})
	r.board.record.add("replica %s: runs %s", r.spec.id, id)
	if r.spec.crashes != nil && r.spec.crashes(q) {
		n := r.board.crashed(time.Now())
		r.board.record.add("replica %s: began to run %s and crashed (crash %d)", r.spec.id, id, n)
		r.end()
		if r.spec.onCrash != nil {
			go r.spec.onCrash()
		}
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(r.spec.work(q)):
	case <-q.Context().Done(): // the connection has closed; the request is dropped
		return
	}
	w.Header().Set("Server-Stamp", "stamp."+r.spec.id+"."+id)
	_, _ = w.Write(r.spec.body(q))
}

// takeSlot waits for a slot, and returns false if the queue is full.
func (r *replica) takeSlot(q *http.Request) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	if r.waiting >= r.spec.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.slots <- struct{}{}:
		return true
	case <-q.Context().Done():
		return false
	}
}
