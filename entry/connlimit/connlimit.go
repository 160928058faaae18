// Package connlimit bounds what the connections of callers take of the memory and the
// descriptors of a process. It wraps the listeners and servers of the process, carries
// out what core/intake decides, and reads the bodies of requests.
//
// The parser is that of net/http. The package bounds what reaches it.
//
// # Usage
//
//	limiter := connlimit.New(connlimit.Config{Resources: connlimit.SystemResources(stated), Log: log})
//	options := connlimit.Options{Class: intake.Callers, …}
//	limiter.Prepare(server, options)
//	err := server.Serve(limiter.Listen(listener, options))
//
// In a handler:
//
//	body, err := connlimit.ReadBody(w, r, 256<<10, 3*time.Second)
package connlimit

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/intake"
)

const (
	// defaultHeadBytes is the limit of heads where Options has none.
	defaultHeadBytes = 16 << 10
	// headSlackBytes is added to the limit of heads. The handler for callers checks the
	// exact size of a head that is complete.
	headSlackBytes = 4 << 10
	// defaultChunkOverhead is the number of bytes of chunk framing per byte of a body. A
	// chunk of one byte without extensions has five.
	defaultChunkOverhead = 8
	// chunkOverheadSlack is the framing that any body may have.
	chunkOverheadSlack = 16 << 10
	// defaultStallTimeout is the time for which a caller may read nothing of an answer.
	defaultStallTimeout = 15 * clock.Second
	// defaultBodyTimeout is the time for a body where Options has none.
	defaultBodyTimeout = 10 * clock.Second
	// logInterval is the time between log lines with the same reason.
	logInterval = clock.Second
)

// Settings are the limits that operators may set. Zero stands for the default.
type Settings struct {
	Connections           int // of callers
	ConnectionsPerAddress int // of callers
	HeadLines             int
	BlankLines            int // before a request
	ChunkOverhead         int // framing bytes per byte of a body
	StallTimeout          clock.Millis
}

// Config configures a Limiter.
type Config struct {
	Resources intake.Resources
	Settings  Settings
	Clock     clock.Clock
	Log       logr.Logger
}

// Options describes a listener and its server.
type Options struct {
	Class intake.Class
	// HeadBytes returns the limit of heads in force; nil stands for 16 KiB.
	HeadBytes func() int
	// BodyTimeout is the time for a body; zero stands for 10 s.
	BodyTimeout clock.Millis
	// BufferedBodyBytes is the limit of bodies that are read before the handler is
	// called. Zero leaves them to the handler, which must use ReadBody.
	BufferedBodyBytes int64
	// Refuse writes the refusal of a request whose body was not read; nil writes the
	// message as text.
	Refuse func(w http.ResponseWriter, status int, message string)
}

// Limiter bounds the connections of a process. It is safe for concurrent use.
type Limiter struct {
	settings Settings
	clock    clock.Clock
	log      logr.Logger

	mu      sync.Mutex
	account *intake.Account
	buffers map[int][][]byte // unused, by capacity
	unused  int64            // bytes in buffers
	counts  map[intake.Reason]int64
	logged  map[intake.Reason]clock.Millis
}

// New returns a limiter without connections.
func New(c Config) *Limiter {
	policy := intake.NewPolicy(c.Resources).WithCallers(c.Settings.Connections, c.Settings.ConnectionsPerAddress)
	if c.Settings.ChunkOverhead == 0 {
		c.Settings.ChunkOverhead = defaultChunkOverhead
	}
	if c.Settings.StallTimeout == 0 {
		c.Settings.StallTimeout = defaultStallTimeout
	}
	return &Limiter{
		settings: c.Settings, clock: c.Clock, log: c.Log, account: intake.NewAccount(policy),
		buffers: make(map[int][][]byte), counts: make(map[intake.Reason]int64),
		logged: make(map[intake.Reason]clock.Millis),
	}
}

// Metrics returns the bytes that connections hold, the open connections, and the refused
// and closed ones by reason.
func (l *Limiter) Metrics() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	metrics := map[string]int64{
		"connections.held-bytes":     l.account.Held(),
		"connections.open.callers":   int64(l.account.Connections(intake.Callers)),
		"connections.open.peers":     int64(l.account.Connections(intake.Peers)),
		"connections.open.operators": int64(l.account.Connections(intake.Operators)),
	}
	for reason, count := range l.counts {
		metrics["connections.refused."+string(reason)] = count
	}
	return metrics
}

// Listen wraps a listener of a server that Prepare has received with the same options.
func (l *Limiter) Listen(inner net.Listener, o Options) net.Listener {
	return &listener{Listener: inner, limiter: l, options: o}
}

type listener struct {
	net.Listener
	limiter *Limiter
	options Options
}

// Accept waits for the next connection that the account admits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.open(inner, &l.options); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// open returns the connection, or nil if it is refused.
func (l *Limiter) open(inner net.Conn, o *Options) *conn {
	c := &conn{Conn: inner, limiter: l, options: o}
	l.mu.Lock()
	state, yielding, reason := l.account.Open(l.clock.Now(), o.Class, callerAddress(inner.RemoteAddr()), c)
	c.state = state
	l.mu.Unlock()
	for _, y := range yielding {
		displaced := y.Handle().(*conn)
		l.report(intake.NoConnection, displaced)
		_ = displaced.shut()
	}
	if reason != "" {
		l.report(reason, c)
		return nil
	}
	return c
}

// callerAddress returns the address that counts as that of one caller: the IPv4 address, or
// the network of 64 bits that an IPv6 host commonly has for itself.
func callerAddress(address net.Addr) string {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return address.String()
	}
	ip := parsed.Addr().Unmap()
	if ip.Is4() {
		return ip.String()
	}
	return netip.PrefixFrom(ip.WithZone(""), 64).Masked().String()
}

// report counts a refusal or close, and logs a sample.
func (l *Limiter) report(reason intake.Reason, c *conn) {
	now := l.clock.Now()
	l.mu.Lock()
	l.counts[reason]++
	count := l.counts[reason]
	last, logged := l.logged[reason]
	due := !logged || now-last >= logInterval
	if due {
		l.logged[reason] = now
	}
	l.mu.Unlock()
	if due {
		l.log.Info("connection refused or closed", "reason", string(reason),
			"caller", c.RemoteAddr().String(), "listener", c.LocalAddr().String(), "count", count)
	}
}

// setPhase records the phase of a connection.
func (l *Limiter) setPhase(c *conn, phase intake.Phase) {
	now := l.clock.Now()
	l.mu.Lock()
	l.account.SetPhase(now, c.state, phase)
	l.mu.Unlock()
}

// progress records that a connection makes progress.
func (l *Limiter) progress(c *conn) {
	now := l.clock.Now()
	l.mu.Lock()
	l.account.Progress(now, c.state)
	l.mu.Unlock()
}

// reserve reserves bytes for a connection, and reports whether they are granted. Those
// that the process holds in any case are always granted.
func (l *Limiter) reserve(c *conn, bytes int64, held bool) bool {
	now := l.clock.Now()
	granted := true
	var yielding []*intake.Conn
	l.mu.Lock()
	if held {
		yielding = l.account.ReserveHeld(now, c.state, bytes)
	} else {
		granted, yielding = l.account.Reserve(now, c.state, bytes)
	}
	l.mu.Unlock()
	for _, y := range yielding {
		y.Handle().(*conn).yield()
	}
	return granted
}

func (l *Limiter) release(c *conn, bytes int64) {
	l.mu.Lock()
	l.account.Release(c.state, bytes)
	l.dropIdleBuffers()
	l.mu.Unlock()
}

// dropIdleBuffers leaves the unused buffers to the garbage collector when nothing is
// reserved. The caller holds the lock.
func (l *Limiter) dropIdleBuffers() {
	if l.unused > 0 && l.account.Reserved() == 0 {
		clear(l.buffers)
		l.unused = 0
	}
}

// takeBuffer returns an empty buffer of a capacity.
func (l *Limiter) takeBuffer(capacity int) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.buffers[capacity]
	if len(list) == 0 {
		if l.unused > l.account.Room() {
			clear(l.buffers)
			l.unused = 0
		}
		return make([]byte, 0, capacity)
	}
	last := len(list) - 1
	buffer := list[last]
	list[last] = nil
	l.buffers[capacity] = list[:last]
	l.unused -= int64(capacity)
	return buffer
}

// giveBuffer takes back a buffer to which no reference is left. Left to the garbage
// collector, those of bodies that are given up would exceed the bound several times over.
// Unused buffers take only what nothing is reserved of.
func (l *Limiter) giveBuffer(buffer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unused+int64(cap(buffer)) > l.account.Room() {
		return
	}
	l.unused += int64(cap(buffer))
	l.buffers[cap(buffer)] = append(l.buffers[cap(buffer)], buffer[:0])
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Prepare sets what the server needs to serve connections of Listen with the same options.
func (l *Limiter) Prepare(server *http.Server, o Options) {
	next := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			inner := c
			if limited, ok := c.(*conn); ok {
				inner = limited.Conn
			}
			ctx = next(ctx, inner)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		limited, ok := c.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			limited.mode.Store(modeRequest)
			l.setPhase(limited, intake.Running)
		case http.StateIdle:
			limited.head = intake.Head{}
			limited.headReserved = 0
			limited.mode.Store(modeHead)
			l.setPhase(limited, intake.Idle)
		case http.StateHijacked:
			limited.mode.Store(modeDetached)
			l.setPhase(limited, intake.Detached)
		}
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = defaultBodyTimeout
	}
	server.Handler = &handler{inner: server.Handler, options: o}
}

// handler bounds the time for the bodies of requests, and reads those that the options
// want to be buffered.
type handler struct {
	inner   http.Handler
	options Options
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		// The server passes on the preface of HTTP/2 as a request.
		w.Header().Set("Connection", "close")
		http.Error(w, "only HTTP/1.1 and HTTP/1.0 are served", http.StatusHTTPVersionNotSupported)
		return
	}
	if r.Body == nil || r.Body == http.NoBody {
		h.inner.ServeHTTP(w, r)
		return
	}
	c := connOf(r)
	if c != nil && h.options.BufferedBodyBytes == 0 && c.hasBody(r) {
		h.inner.ServeHTTP(w, r)
		return
	}
	// The server reads the rest of a body that the handler leaves. Without a deadline it
	// would wait for ever, in a phase in which the connection does not yield.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.options.BodyTimeout.Duration()))
	if c != nil {
		c.limiter.setPhase(c, intake.ReadingBody)
	}
	if h.options.BufferedBodyBytes > 0 {
		text, err := ReadBody(w, r, h.options.BufferedBodyBytes, h.options.BodyTimeout.Duration())
		if err != nil {
			h.refuse(w, err)
			return
		}
		r.Body = newBuffered(text)
	}
	h.inner.ServeHTTP(w, r)
}

func (h *handler) refuse(w http.ResponseWriter, err error) {
	status, message := RefusalOf(err)
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", RetryAfter)
	}
	if h.options.Refuse != nil {
		h.options.Refuse(w, status, message)
		return
	}
	http.Error(w, message, status)
}
