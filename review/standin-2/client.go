package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sent is one client attempt.
type sent struct {
	id       string
	at       time.Time
	address  string
	status   int // 0 without an answer
	stamp    string
	complete bool
	ended    time.Time

	retryAfter time.Duration
}

// clients stands for the clients of one zone. They ask the directory and keep connections.
type clients struct {
	record      *record
	zone        string
	directories []string
	host, path  string
	method      string
	body        []byte
	timeLimit   time.Duration
	safe        bool
	key         string
	obeys       bool // waits as Retry-After says, up to a third of the time left

	mu        sync.Mutex
	addresses []string
	until     time.Time
	attempts  []*sent
	http      *http.Client
	wait      sync.WaitGroup
}

func newClients(c *clients) *clients {
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}
	return c
}

// resolve returns an address of a daemon.
func (c *clients) resolve() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		for _, d := range c.directories {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d+"/v1/resolve?name="+c.host+"&region=r1&zone="+c.zone, nil)
			response, err := c.http.Do(r)
			if err == nil {
				var answer struct {
					Addrs []string `json:"addrs"`
					TTL   float64  `json:"ttl_s"`
				}
				err = json.NewDecoder(response.Body).Decode(&answer)
				_ = response.Body.Close()
				if err == nil && len(answer.Addrs) > 0 {
					c.addresses, c.until = answer.Addrs, time.Now().Add(time.Duration(min(5, answer.TTL)*float64(time.Second)))
					cancel()
					break
				}
			}
			cancel()
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// run sends requests at a rate, evenly spread, until the context ends.
func (c *clients) run(ctx context.Context, perSecond float64) {
	c.wait.Go(func() {
		interval := time.Duration(float64(time.Second) / perSecond)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c.wait.Go(func() { c.request() })
			}
		}
	})
}

// request sends one request, and repeats it once as the pages allow.
func (c *clients) request() {
	began := time.Now()
	for range 2 {
		address := c.resolve()
		left := c.timeLimit - time.Since(began)
		if address == "" || left < 20*time.Millisecond {
			return
		}
		s := c.attempt(address, left)
		switch {
		case s.status >= 200 && s.status < 300, s.status == 400, s.status == 401, s.status == 404, s.status == 413, s.status == 431:
			return
		case c.obeys && s.retryAfter > 0:
			time.Sleep(min(s.retryAfter, (c.timeLimit-time.Since(began))/3))
		case !c.safe && s.status != 429 && s.status != 503 && s.status != 408 && s.status != 421:
			return
		}
	}
}

func (c *clients) attempt(address string, left time.Duration) *sent {
	s := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), at: time.Now(), address: address}
	c.mu.Lock()
	c.attempts = append(c.attempts, s)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), left+200*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	r.Host = c.host
	r.Header.Set("Request-Id", s.id)
	r.Header.Set("Deadline-Ms", strconv.Itoa(int(left.Milliseconds())))
	if c.key != "" {
		r.Header.Set("Key", c.key)
	}
	c.record.line("request %s is sent to %s", s.id, address)
	response, err := c.http.Do(r)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.mu.Lock()
		s.status, s.stamp, s.complete = response.StatusCode, response.Header.Get("Server-Stamp"), err == nil
		if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			s.retryAfter = time.Duration(after * float64(time.Second))
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	s.ended = time.Now()
	c.mu.Unlock()
	c.record.line("request %s is answered: status %d, stamp %q, complete %v", s.id, s.status, s.stamp, s.complete)
	return s
}

// sentByID returns the attempts of all clients by id.
func sentByID(all ...*clients) map[string]sent {
	found := make(map[string]sent)
	for _, c := range all {
		c.mu.Lock()
		for _, s := range c.attempts {
			found[s.id] = *s
		}
		c.mu.Unlock()
	}
	return found
}
