package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lab is a small deployment: the store, replicas, daemons and clients of one case.
type lab struct {
	trouble bool // whether the disruption happens
	record  *recorder
	network network
	store   *store
	board   *board
	deploy  *deployment
	daemons []*daemon
	serving []*daemon // that get requests; all if empty

	mu         sync.Mutex
	replicas   map[string]*replica // by id, while it runs
	replicaSeq int
	requestSeq atomic.Int64
	stopped    chan struct{}
	clients    sync.WaitGroup
}

func newLab(root, dir string, record *recorder, trouble bool) (*lab, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	l := &lab{
		trouble: trouble, record: record, network: n, board: &board{record: record},
		replicas: make(map[string]*replica), stopped: make(chan struct{}),
	}
	if l.store, err = newStore(record, n.ip(200)); err != nil {
		return nil, err
	}
	l.deploy, err = newDeployment(root, dir, record, l.store.addr)
	return l, err
}

// addReplica starts a replica and registers it. The spec needs no id or ip.
func (l *lab) addReplica(spec replicaSpec) (*replica, error) {
	l.mu.Lock()
	l.replicaSeq++
	spec.id = fmt.Sprintf("i-%s-%d", spec.service, l.replicaSeq)
	l.mu.Unlock()
	spec.ip = l.network.ip(201)
	r, err := newReplica(l.board, spec)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.replicas[spec.id] = r
	l.mu.Unlock()
	l.store.put("servers/"+spec.id, r.entry("ready"))
	l.record.add("replica %s: started in zone %s at %s", spec.id, spec.zone, r.addr)
	return r, nil
}

// startDaemons starts a daemon in each of the given zones and waits until all are ready.
func (l *lab) startDaemons(zones ...string) error {
	for i := range min(3, len(zones)) {
		l.deploy.seeds = append(l.deploy.seeds, fmt.Sprintf("%s:%d", l.network.ip(i), portControl))
	}
	for i, zone := range zones {
		m, err := l.deploy.newDaemon(fmt.Sprintf("front-%s-%d", zone, i+1), l.network.ip(i), zone)
		if err != nil {
			return err
		}
		l.daemons = append(l.daemons, m)
		if err := m.start(); err != nil {
			return err
		}
	}
	return l.waitReady(15 * time.Second)
}

func (l *lab) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range l.daemons {
		for !m.ready() {
			if time.Now().After(end) {
				return errors.New(m.name + " is not ready in time")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.record.add("all daemons are ready")
	return nil
}

func (l *lab) nextID(kind string) string { return fmt.Sprintf("%s%06x", kind, l.requestSeq.Add(1)) }

// traffic starts clients, each with kept connections and at its own times, that
// together send perSecond requests. Each request goes to one of the serving daemons in
// turn.
func (l *lab) traffic(clients int, perSecond float64, next func() request, done func(request, answer)) {
	serving := l.serving
	if len(serving) == 0 {
		serving = l.daemons
	}
	interval := time.Duration(float64(clients) / perSecond * float64(time.Second))
	for i := range clients {
		l.clients.Go(func() {
			kept := make(map[*daemon]*clientConn)
			defer func() {
				for _, c := range kept {
					c.close()
				}
			}()
			time.Sleep(time.Duration(rand.Int64N(int64(interval))))
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := i; ; n++ {
				select {
				case <-l.stopped:
					return
				case <-ticker.C:
				}
				m := serving[n%len(serving)]
				c := kept[m]
				if c == nil {
					var err error
					if c, err = dialClient(m.front()); err != nil {
						continue
					}
					kept[m] = c
				}
				q := next()
				l.record.add("client: sends %s, %s %s, to %s", q.id, q.method, q.path, m.name)
				a := c.send(q)
				l.record.add("client: %s: %s", q.id, a)
				if a.status == 0 || a.closing {
					c.close()
					delete(kept, m)
				}
				done(q, a)
			}
		})
	}
}

// sendOnce sends a request on a new connection.
func (l *lab) sendOnce(m *daemon, q request) answer {
	c, err := dialClient(m.front())
	if err != nil {
		return answer{failure: err.Error()}
	}
	defer c.close()
	return c.send(q)
}

// close stops the clients and ends all processes.
func (l *lab) close() {
	close(l.stopped)
	l.clients.Wait()
	for _, m := range l.daemons {
		m.kill()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.replicas {
		r.end()
	}
	_ = l.store.server.Close()
}

// keepLogs copies the logs of the daemons to a folder, for the reader of a case.
func (l *lab) keepLogs(dir string) {
	for _, m := range l.daemons {
		if text, err := os.ReadFile(m.logs.Name()); err == nil {
			_ = os.WriteFile(dir+"/"+m.name+".log", text, 0o644)
		}
	}
}

// routeJSON describes a route to one service.
func routeJSON(name, prefix, kind, service string, timeoutMs, sloMs, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"host":"h.example","prefix":%q,"kind":%q,"timeoutMs":%d,"sloMs":%d,"priority":2,"backend":%q,"maxAttempts":%d}`,
		name, prefix, kind, timeoutMs, sloMs, service, attempts)
}

// configJSON is a configuration with the given routes and services.
func configJSON(version int, routes []string, services []string, maxConns int) string {
	var list []string
	for _, s := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":%d,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":0.0}`, s, maxConns))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"backends":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(routes, ","), strings.Join(list, ","))
}

func constantWork(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

func smallBody(r *http.Request) []byte { return []byte("answer to " + r.URL.Path + "\n") }
