package exchange

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/entry/socket"
)

const (
	dialTimeout = 200 * time.Millisecond
	// defaultIdle applies to replicas that do not say how long they keep an
	// idle connection.
	defaultIdle = 8 * clock.Second
	// idleMargin is kept before the replica's own limit, so that a request does
	// not cross its close.
	idleMargin = 900 * clock.Millisecond
	keptBuffer = 64 << 10
	sweepTime  = 4 * clock.Second
	muteLimit  = 2
)

var errNoTime = errors.New("no time left for a connection")

// buffers holds request buffers up to keptBuffer bytes.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// Client holds the idle connections to replicas. It is safe for concurrent use.
type Client struct {
	clock clock.Clock
	names Names

	mu     sync.Mutex
	idle   map[string][]*conn // the most recently used last
	mute   map[string]int     // used connections in a row without a byte of an answer
	swept  clock.Millis
	opened int64
}

// NewClient returns a client without connections.
func NewClient(c clock.Clock, names Names) *Client {
	return &Client{clock: c, names: names, idle: make(map[string][]*conn), mute: make(map[string]int)}
}

// Opened returns how many connections were opened.
func (c *Client) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// acquire returns an idle connection, or a new one if there is none or a fresh
// one is wanted.
func (c *Client) acquire(address string, fresh bool, deadline time.Time) (*conn, error) {
	if !fresh {
		if kept := c.takeIdle(address); kept != nil {
			return kept, nil
		}
	}
	timeout := min(dialTimeout, time.Until(deadline))
	if timeout <= 0 {
		return nil, errNoTime
	}
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	inner, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return newConn(inner)
}

func (c *Client) takeIdle(address string) *conn {
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		kept := list[len(list)-1]
		list[len(list)-1] = nil
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if c.clock.Now() < kept.expires && kept.probe() == socket.Open {
			kept.reused = true
			return kept
		}
		_ = kept.Close()
	}
}

// release keeps a connection whose exchange is complete.
func (c *Client) release(address string, kept *conn, fresh bool) {
	now := c.clock.Now()
	if fresh || kept.last {
		_ = kept.Close()
		return
	}
	kept.expires = now + kept.idleLimit()
	c.mu.Lock()
	c.idle[address] = append(c.idle[address], kept)
	due := now-c.swept > sweepTime
	if due {
		c.swept = now
	}
	c.mu.Unlock()
	if due {
		c.sweep(now)
	}
}

// answered notes that a replica answered on a connection.
func (c *Client) answered(address string) {
	c.mu.Lock()
	delete(c.mute, address)
	c.mu.Unlock()
}

// unheard notes that no byte of an answer came on a used connection. After a
// few in a row, all idle connections to the replica are closed: something on
// the path may have lost track of them while new ones work.
func (c *Client) unheard(address string) {
	c.mu.Lock()
	c.mute[address]++
	var list []*conn
	if c.mute[address] >= muteLimit {
		list = c.idle[address]
		delete(c.idle, address)
		delete(c.mute, address)
	}
	c.mu.Unlock()
	for _, kept := range list {
		_ = kept.Close()
	}
}

// sweep closes what has been idle for too long.
func (c *Client) sweep(now clock.Millis) {
	var expired []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		keep := list[:0]
		for _, kept := range list {
			if now < kept.expires {
				keep = append(keep, kept)
			} else {
				expired = append(expired, kept)
			}
		}
		if len(keep) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = keep
		}
	}
	c.mu.Unlock()
	for _, kept := range expired {
		_ = kept.Close()
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.sweep(clock.Millis(1e18))
}

// keepAliveLimit reads the timeout of a Keep-Alive header.
func keepAliveLimit(value string) (clock.Millis, bool) {
	for _, part := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(text)
		if err != nil || seconds < 0 {
			return 0, false
		}
		return clock.Second * clock.Millis(seconds), true
	}
	return 0, false
}
