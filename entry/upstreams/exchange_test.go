package upstreams

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/benchtime"
	"github.com/lovagegap/lovagegap/entry/socket"
)

const (
	ample = 20 * clock.Second       // for exchanges that end by themselves
	brief = 250 * clock.Millisecond // for exchanges that must time out
)

// script is an upstream that replies to its n-th request, counted from one,
// as the test says.
type script struct {
	net.Listener
	reply func(c net.Conn, r *http.Request, n int)

	mu       sync.Mutex
	requests int
	conns    []net.Conn
}

func start(t testing.TB, reply func(c net.Conn, r *http.Request, n int)) *script {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &script{Listener: listener, reply: reply}
	t.Cleanup(func() {
		_ = listener.Close()
		s.closeAll()
	})
	go s.accept()
	return s
}

func (s *script) id() upstream.ID { return upstream.ID(s.Addr().String()) }

func (s *script) accept() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *script) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			_ = c.Close()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.requests++
		n := s.requests
		s.mu.Unlock()
		s.reply(c, r, n)
	}
}

func (s *script) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func (s *script) seen() (requests, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, len(s.conns)
}

func newExchange(id upstream.ID, request string, deadline clock.Millis) Exchange {
	return Exchange{
		upstream: id, service: "u/s", request: request, shard: 3, version: 17,
		deadline: clock.Clock{}.Now() + deadline, body: []byte(`{"text":"relay"}`),
	}
}

const sound = `{"hits":[]}`

// head returns the head of a sound reply with a content length.
func head(r *http.Request, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nLovagegap-Request: %s\r\nLovagegap-Shard: 3\r\nLovagegap-Snapshot: 17\r\n"+
		"Lovagegap-Boot: b1\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Lovagegap-Request"), length)
}

func answer(c net.Conn, r *http.Request, _ int) {
	fmt.Fprint(c, head(r, len(sound)), sound)
}

// changed replies soundly except for one replacement.
func changed(from, to string) func(net.Conn, *http.Request, int) {
	return func(c net.Conn, r *http.Request, _ int) {
		fmt.Fprint(c, strings.Replace(head(r, len(sound))+sound, from, to, 1))
	}
}

func code(line, header string) func(net.Conn, *http.Request, int) {
	return func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", line, header)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func half(c net.Conn, r *http.Request) { fmt.Fprint(c, head(r, len(sound)), sound[:4]) }

func TestExchange(t *testing.T) {
	const notRun = "Lovagegap-Ran: not-run\r\n"
	cases := []struct {
		name     string
		reply    func(c net.Conn, r *http.Request, n int)
		deadline clock.Millis
		want     upstream.Outcome
		reusable bool
	}{
		{"sound", answer, ample, upstream.OK, true},
		{"slow", func(c net.Conn, r *http.Request, n int) { time.Sleep(20 * time.Millisecond); answer(c, r, n) }, ample, upstream.OK, true},
		{"reset after the request", func(c net.Conn, _ *http.Request, _ int) { reset(c) }, ample, upstream.ConnectionLost, false},
		{"closed after the request", func(c net.Conn, _ *http.Request, _ int) { _ = c.Close() }, ample, upstream.ConnectionLost, false},
		{"silent", func(net.Conn, *http.Request, int) {}, brief, upstream.Timeout, false},
		{"half a body, then closed", func(c net.Conn, r *http.Request, _ int) { half(c, r); _ = c.Close() }, ample, upstream.ConnectionLost, false},
		{"half a body, then silent", func(c net.Conn, r *http.Request, _ int) { half(c, r) }, brief, upstream.Timeout, false},
		{"wrong request", changed("Request: ", "Request: x"), ample, upstream.Failed, false},
		{"wrong shard", changed("Shard: 3", "Shard: 4"), ample, upstream.Failed, true},
		{"wrong version", changed("Snapshot: 17", "Snapshot: 18"), ample, upstream.Failed, true},
		{"no version", changed("Lovagegap-Snapshot", "Other"), ample, upstream.Failed, true},
		{"not JSON", changed("{", "<"), ample, upstream.Failed, true},
		{"empty", func(c net.Conn, r *http.Request, _ int) { fmt.Fprint(c, head(r, 0)) }, ample, upstream.Failed, true},
		{"oversized by length", func(c net.Conn, r *http.Request, _ int) { fmt.Fprint(c, head(r, maxReplySize+1)) }, ample, upstream.Failed, false},
		{"oversized by chunks", func(c net.Conn, r *http.Request, _ int) {
			fmt.Fprint(c, strings.Replace(head(r, 0), "Content-Length: 0", "Transfer-Encoding: chunked", 1))
			fmt.Fprintf(c, "%x\r\n%s\r\n", maxReplySize+2, strings.Repeat("x", maxReplySize+2))
		}, ample, upstream.Failed, false},
		{"oversized head", func(c net.Conn, _ *http.Request, _ int) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX: %s\r\n", strings.Repeat("x", 2*maxHeadSize))
		}, ample, upstream.Failed, false},
		{"not HTTP", func(c net.Conn, _ *http.Request, _ int) { fmt.Fprint(c, "220 ready\r\n\r\n") }, ample, upstream.Failed, false},
		{"more bytes than announced", func(c net.Conn, r *http.Request, _ int) { fmt.Fprint(c, head(r, len(sound)), sound, "more") }, ample, upstream.OK, false},
		{"connection: close", changed("Lovagegap-Boot", "Connection: close\r\nLovagegap-Boot"), ample, upstream.OK, false},
		{"shed by 503", code("503 Shed", notRun), ample, upstream.Shed, true},
		{"shed by 429", code("429 Shed", notRun), ample, upstream.Shed, true},
		{"503 that may have run", code("503 Unavailable", ""), ample, upstream.Failed, true},
		{"version gone", code("410 Gone", ""), ample, upstream.VersionGone, true},
		{"other shard", code("421 Misdirected", ""), ample, upstream.WrongShard, true},
		{"failed", code("500 Failed", ""), ample, upstream.Failed, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, c.reply)
			client := New(clock.Clock{})
			defer client.Close()
			e := newExchange(s.id(), "q1/0", c.deadline)
			result, data := client.carry(t.Context(), &e)
			require.Equal(t, c.want, result.Outcome())
			requests, _ := s.seen()
			require.Equal(t, 1, requests, "the request must be sent once")
			_, idle := client.Connections(s.id())
			require.Equal(t, c.reusable, idle == 1, "kept for the next exchange")
			if c.want == upstream.OK {
				require.Equal(t, sound, string(data))
				require.Equal(t, "b1", result.Boot())
			}
		})
	}
}

func kind(client *Client, e Exchange) upstream.Outcome {
	result, _ := client.carry(context.Background(), &e)
	return result.Outcome()
}

func TestRefused(t *testing.T) {
	s := start(t, answer)
	require.NoError(t, s.Close())
	client := New(clock.Clock{})
	require.Equal(t, upstream.NotConnected, kind(client, newExchange(s.id(), "q1/0", ample)))
	require.Equal(t, upstream.NotConnected, kind(client, newExchange(s.id(), "q1/1", -ample)), "deadline already passed")
	require.Eventually(t, func() bool { open, _ := client.Connections(s.id()); return open == 0 }, 5*time.Second, time.Millisecond)
}

// TestNeverRepeated guards against a second send of a request that left on a
// used connection, which the upstream may have run.
func TestNeverRepeated(t *testing.T) {
	s := start(t, func(c net.Conn, r *http.Request, n int) {
		if n > 1 {
			reset(c)
			return
		}
		answer(c, r, n)
	})
	client := New(clock.Clock{})
	require.Equal(t, upstream.OK, kind(client, newExchange(s.id(), "q1/0", ample)))
	require.Equal(t, upstream.ConnectionLost, kind(client, newExchange(s.id(), "q2/0", ample)))
	requests, connections := s.seen()
	require.Equal(t, 2, requests)
	require.Equal(t, 1, connections)
}

// TestIdleClosed guards against a lost exchange on a connection that the
// upstream closed before, and against exchanges that reach an upstream on new
// connections although nobody has taken into account that it may have
// restarted.
func TestIdleClosed(t *testing.T) {
	s := start(t, answer)
	client := New(clock.Clock{})
	require.Equal(t, upstream.OK, kind(client, newExchange(s.id(), "q1/0", ample)))
	s.closeAll()
	p := client.pool(s.id())
	require.Eventually(t, func() bool { return p.idle[0].probe() == socket.Closed }, 5*time.Second, time.Millisecond)
	require.Equal(t, upstream.IdleConnectionsClosed, kind(client, newExchange(s.id(), "q2/0", ample)))
	require.Equal(t, upstream.IdleConnectionsClosed, kind(client, newExchange(s.id(), "q3/0", ample)), "chosen before the end was told")
	requests, connections := s.seen()
	require.Equal(t, 1, requests)
	require.Equal(t, 1, connections)

	gated := newExchange(s.id(), "q4/0", ample)
	gated.gated = true
	require.Equal(t, upstream.OK, kind(client, gated))
	require.Equal(t, upstream.OK, kind(client, newExchange(s.id(), "q5/0", ample)))
	_, connections = s.seen()
	require.Equal(t, 2, connections)
}

// TestLateReply guards against a reply that arrives after its exchange was
// cancelled and is read as the answer to the next one.
func TestLateReply(t *testing.T) {
	arrived, late := make(chan struct{}), make(chan struct{})
	s := start(t, func(c net.Conn, r *http.Request, n int) {
		if n == 1 {
			close(arrived)
			<-late
		}
		answer(c, r, n)
	})
	client := New(clock.Clock{})
	client.SetLimit(s.id(), 2)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	e := newExchange(s.id(), "q1/0", ample)
	first, _ := client.carry(ctx, &e)
	require.Equal(t, upstream.Cancelled, first.Outcome())
	close(late)
	require.Equal(t, upstream.OK, kind(client, newExchange(s.id(), "q2/0", ample)))
	_, connections := s.seen()
	require.Equal(t, 2, connections)
}

// TestFresh guards against a retry on a connection of a pair that is suspected
// to be silent.
func TestFresh(t *testing.T) {
	s := start(t, answer)
	client := New(clock.Clock{})
	client.SetLimit(s.id(), 2)
	require.Equal(t, upstream.OK, kind(client, newExchange(s.id(), "q1/0", ample)))
	fresh := newExchange(s.id(), "q1/1", ample)
	fresh.fresh = true
	require.Equal(t, upstream.OK, kind(client, fresh))
	_, connections := s.seen()
	require.Equal(t, 2, connections)
	_, idle := client.Connections(s.id())
	require.Equal(t, 1, idle, "only the new connection is kept")
}

func TestHeaderValue(t *testing.T) {
	require.Equal(t, "q 1/é", headerValue("q 1/é"))
	require.Equal(t, "q%0D%0AX%3A+1", headerValue("q\r\nX: 1"))
}

// constantReplies serves without allocations, so that a benchmark counts those
// of the client alone.
func constantReplies(b *testing.B) upstream.ID {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	reply := []byte(head(&http.Request{Header: http.Header{"Lovagegap-Request": {"q1/0"}}}, len(sound)) + sound)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				request := make([]byte, 4096) // a request arrives whole
				for {
					if _, err := c.Read(request); err != nil {
						_ = c.Close()
						return
					}
					_, _ = c.Write(reply)
				}
			}()
		}
	}()
	return upstream.ID(listener.Addr().String())
}

func BenchmarkExchange(b *testing.B) {
	id := constantReplies(b)
	client := New(clock.Clock{})
	client.SetLimit(id, 64)
	b.ReportAllocs()
	defer benchtime.Report(b)()
	b.RunParallel(func(pb *testing.PB) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for pb.Next() {
			e := newExchange(id, "q1/0", ample)
			if result, _ := client.carry(ctx, &e); result.Outcome() != upstream.OK {
				b.Error(result.Outcome())
			}
		}
	})
}

func BenchmarkExchangeSerial(b *testing.B) {
	id := constantReplies(b)
	client := New(clock.Clock{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.ReportAllocs()
	defer benchtime.Report(b)()
	for b.Loop() {
		e := newExchange(id, "q1/0", ample)
		if result, _ := client.carry(ctx, &e); result.Outcome() != upstream.OK {
			b.Fatal(result.Outcome())
		}
	}
}
