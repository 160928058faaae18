package exchange

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/entry/body"
	"github.com/lovagegap/lovagegap/entry/socket"
)

const (
	dialTimeout = 200 * time.Millisecond
	// defaultIdleLimit is the idle limit of connections to replicas that announce
	// none.
	defaultIdleLimit = 8 * clock.Second
	// keepAliveMargin is the time before the idle limit of the replica at which a
	// connection is no longer used, so that a request does not cross the close.
	keepAliveMargin      = 900 * clock.Millisecond
	maxPooledBufferBytes = 64 << 10
	sweepInterval        = 4 * clock.Second
	silentLimit          = 2
)

var errDeadlinePassed = errors.New("deadline passed before a connection was opened")

// buffers pools request buffers of at most maxPooledBufferBytes.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

// Client opens connections to replicas and keeps idle ones for reuse. It is safe for
// concurrent use.
type Client struct {
	clock   clock.Clock
	headers HeaderNames
	memory  *body.Memory // of the replies that are being read

	ignoredRetryAfters atomic.Int64

	mu      sync.Mutex
	idle    map[string][]*conn // by address, the most recently used last
	silent  map[string]int     // reused connections in a row without a byte of a reply, by address
	sweptAt clock.Millis
	opened  int64
}

// NewClient returns a client without connections.
func NewClient(c clock.Clock, headers HeaderNames) *Client {
	return &Client{
		clock: c, headers: headers, memory: body.NewMemory(maxReplyMemory),
		idle: make(map[string][]*conn), silent: make(map[string]int),
	}
}

// LimitReplyMemory bounds the memory of the replies that are read or sent to callers at a
// time.
func (c *Client) LimitReplyMemory(bytes int64) { c.memory.SetLimit(bytes) }

// IgnoredRetryAfters returns the number of replies so far whose Retry-After header is
// not a number of seconds.
func (c *Client) IgnoredRetryAfters() int64 { return c.ignoredRetryAfters.Load() }

// ReplyMemory returns the number of bytes that the replies being read occupy, without
// the first few kilobytes of each, and those of large ones that were not released.
func (c *Client) ReplyMemory() int64 { return c.memory.Used() }

// Opened returns the number of connections opened so far.
func (c *Client) Opened() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// acquire returns an idle connection to the address, or a new one if there is none or
// newOnly is set. The caller must release or close it.
func (c *Client) acquire(address string, newOnly bool, deadline time.Time) (*conn, error) {
	if !newOnly {
		if kept := c.takeIdle(address); kept != nil {
			return kept, nil
		}
	}
	timeout := min(dialTimeout, time.Until(deadline))
	if timeout <= 0 {
		return nil, errDeadlinePassed
	}
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1}
	inner, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return newConn(inner, c.memory)
}

// takeIdle returns the most recently used idle connection that is still usable, or nil,
// and closes the unusable ones that it finds.
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
		if c.clock.Now() < kept.idleUntil && kept.probe() == socket.Open {
			kept.reused = true
			return kept
		}
		_ = kept.Close()
	}
}

// release takes back a connection whose exchange is complete. The connection is closed
// if discard is set or the replica closes it.
func (c *Client) release(address string, kept *conn, discard bool) {
	now := c.clock.Now()
	if discard || kept.closing {
		_ = kept.Close()
		return
	}
	kept.idleUntil = now + kept.idleLimit()
	c.mu.Lock()
	c.idle[address] = append(c.idle[address], kept)
	due := now-c.sweptAt > sweepInterval
	if due {
		c.sweptAt = now
	}
	c.mu.Unlock()
	if due {
		c.sweep(now)
	}
}

// recordReply records that a byte of a reply came from the address.
func (c *Client) recordReply(address string) {
	c.mu.Lock()
	delete(c.silent, address)
	c.mu.Unlock()
}

// recordSilence records that no byte of a reply came on a reused connection. After
// silentLimit of them in a row, all idle connections to the address are closed: a
// device on the path may have lost their state, while new connections work.
func (c *Client) recordSilence(address string) {
	c.mu.Lock()
	c.silent[address]++
	var list []*conn
	if c.silent[address] >= silentLimit {
		list = c.idle[address]
		delete(c.idle, address)
		delete(c.silent, address)
	}
	c.mu.Unlock()
	for _, kept := range list {
		_ = kept.Close()
	}
}

// sweep closes the connections that have reached their idle limit.
func (c *Client) sweep(now clock.Millis) {
	var expired []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		keep := list[:0]
		for _, kept := range list {
			if now < kept.idleUntil {
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

// Close closes the idle connections. Exchanges that run are not affected.
func (c *Client) Close() {
	c.sweep(clock.Millis(1e18))
}

// keepAliveLimit returns the timeout in a Keep-Alive header, and false if there is no
// valid one.
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
