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
	longDeadline  = 20 * clock.Second       // for exchanges that end before their deadline
	shortDeadline = 250 * clock.Millisecond // for exchanges that end at their deadline
)

// scriptedUpstream is an upstream that calls reply for each request, with the
// number of the request, counted from one.
type scriptedUpstream struct {
	net.Listener
	reply func(c net.Conn, r *http.Request, n int)

	mu       sync.Mutex
	requests int
	conns    []net.Conn
}

// startScripted starts an upstream on a free port and closes it at the end of the
// test.
func startScripted(t testing.TB, reply func(c net.Conn, r *http.Request, n int)) *scriptedUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedUpstream{Listener: listener, reply: reply}
	t.Cleanup(func() {
		_ = listener.Close()
		s.closeAll()
	})
	go s.accept()
	return s
}

func (s *scriptedUpstream) id() upstream.ID { return upstream.ID(s.Addr().String()) }

func (s *scriptedUpstream) accept() {
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

func (s *scriptedUpstream) serve(c net.Conn) {
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

func (s *scriptedUpstream) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// counts returns how many requests and connections have reached the upstream.
func (s *scriptedUpstream) counts() (requests, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, len(s.conns)
}

func newExchange(id upstream.ID, requestID string, deadline clock.Millis) Exchange {
	return Exchange{
		upstream: id, service: "u/s", requestID: requestID, shard: 3, version: 17,
		deadline: clock.Clock{}.Now() + deadline, body: []byte(`{"text":"relay"}`),
	}
}

const (
	validBody  = `{"hits":[]}`
	earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
)

// replyHead returns the head of a valid reply to r with a content length.
func replyHead(r *http.Request, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nLovagegap-Request: %s\r\nLovagegap-Shard: 3\r\nLovagegap-Snapshot: 17\r\n"+
		"Lovagegap-Boot: b1\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Lovagegap-Request"), length)
}

// replyValid writes a valid reply.
func replyValid(c net.Conn, r *http.Request, _ int) {
	fmt.Fprint(c, replyHead(r, len(validBody)), validBody)
}

// replyWithChange returns a function that writes a valid reply in which the first
// from is replaced by to.
func replyWithChange(from, to string) func(net.Conn, *http.Request, int) {
	return func(c net.Conn, r *http.Request, _ int) {
		fmt.Fprint(c, strings.Replace(replyHead(r, len(validBody))+validBody, from, to, 1))
	}
}

// replyWithStatus returns a function that replies with the status line and one more
// header, and without a body.
func replyWithStatus(line, header string) func(net.Conn, *http.Request, int) {
	return func(c net.Conn, _ *http.Request, _ int) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", line, header)
	}
}

func resetConnection(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// replyHalf writes a valid reply up to a part of its body.
func replyHalf(c net.Conn, r *http.Request) {
	fmt.Fprint(c, replyHead(r, len(validBody)), validBody[:4])
}

// TestExchangeOutcomes guards against a wrong outcome of a reply or failure, against
// a second send of the request, and against a connection that is kept although
// bytes of its reply may still arrive.
func TestExchangeOutcomes(t *testing.T) {
	const notRun = "Lovagegap-Ran: not-run\r\n"
	cases := []struct {
		name     string
		reply    func(c net.Conn, r *http.Request, n int)
		deadline clock.Millis
		want     upstream.Outcome
		reusable bool
	}{
		{"valid", replyValid, longDeadline, upstream.OK, true},
		{"slow", func(c net.Conn, r *http.Request, n int) { time.Sleep(20 * time.Millisecond); replyValid(c, r, n) }, longDeadline, upstream.OK, true},
		{"reset after the request", func(c net.Conn, _ *http.Request, _ int) { resetConnection(c) }, longDeadline, upstream.ConnectionLost, false},
		{"closed after the request", func(c net.Conn, _ *http.Request, _ int) { _ = c.Close() }, longDeadline, upstream.ConnectionLost, false},
		{"silent", func(net.Conn, *http.Request, int) {}, shortDeadline, upstream.Timeout, false},
		{"half a body, then closed", func(c net.Conn, r *http.Request, _ int) { replyHalf(c, r); _ = c.Close() }, longDeadline, upstream.ConnectionLost, false},
		{"half a body, then silent", func(c net.Conn, r *http.Request, _ int) { replyHalf(c, r) }, shortDeadline, upstream.Timeout, false},
		{"wrong request", replyWithChange("Request: ", "Request: x"), longDeadline, upstream.Failed, false},
		{"wrong shard", replyWithChange("Shard: 3", "Shard: 4"), longDeadline, upstream.Failed, true},
		{"wrong version", replyWithChange("Snapshot: 17", "Snapshot: 18"), longDeadline, upstream.Failed, true},
		{"no version", replyWithChange("Lovagegap-Snapshot", "Other"), longDeadline, upstream.Failed, true},
		{"not JSON", replyWithChange("{", "<"), longDeadline, upstream.Failed, true},
		{"empty", func(c net.Conn, r *http.Request, _ int) { fmt.Fprint(c, replyHead(r, 0)) }, longDeadline, upstream.Failed, true},
		{"oversized by length", func(c net.Conn, r *http.Request, _ int) { fmt.Fprint(c, replyHead(r, maxBodyBytes+1)) }, longDeadline, upstream.Failed, false},
		{"oversized by chunks", func(c net.Conn, r *http.Request, _ int) {
			fmt.Fprint(c, strings.Replace(replyHead(r, 0), "Content-Length: 0", "Transfer-Encoding: chunked", 1))
			fmt.Fprintf(c, "%x\r\n%s\r\n", maxBodyBytes+2, strings.Repeat("x", maxBodyBytes+2))
		}, longDeadline, upstream.Failed, false},
		{"oversized head", func(c net.Conn, _ *http.Request, _ int) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX: %s\r\n", strings.Repeat("x", 2*maxHeadBytes))
		}, longDeadline, upstream.Failed, false},
		{"not HTTP", func(c net.Conn, _ *http.Request, _ int) { fmt.Fprint(c, "220 ready\r\n\r\n") }, longDeadline, upstream.Failed, false},
		{"status 000", replyWithStatus("000 Odd", ""), longDeadline, upstream.Failed, false},
		{"status 099", replyWithStatus("099 Odd", ""), longDeadline, upstream.Failed, false},
		{"status 600", replyWithStatus("600 Odd", ""), longDeadline, upstream.Failed, false},
		{"early hints", replyWithChange("HTTP/1.1 200", earlyHints+"HTTP/1.1 200"), longDeadline, upstream.OK, true},
		{"early hints with a slow reply", func(c net.Conn, r *http.Request, n int) {
			fmt.Fprint(c, earlyHints)
			time.Sleep(20 * time.Millisecond)
			replyValid(c, r, n)
		}, longDeadline, upstream.OK, true},
		{"early hints only", replyWithChange("HTTP/1.1 200", strings.Repeat(earlyHints, maxReplyHeads)+"HTTP/1.1 200"), longDeadline, upstream.Failed, false},
		{"early hints with a folded line", replyWithChange("HTTP/1.1 200", "HTTP/1.1 103 Early Hints\r\nX: 1\r\n Y: 1\r\n\r\nHTTP/1.1 200"), longDeadline, upstream.Failed, false},
		{"switch of protocols", replyWithChange("HTTP/1.1 200", "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200"), longDeadline, upstream.Failed, false},
		{"space in a header name", replyWithChange("Lovagegap-Boot", "X Y: 1\r\nLovagegap-Boot"), longDeadline, upstream.Failed, false},
		{"space after a header name", replyWithChange("Lovagegap-Boot", "X : 1\r\nLovagegap-Boot"), longDeadline, upstream.Failed, false},
		{"control byte in a header name", replyWithChange("Lovagegap-Boot", "X\x01: 1\r\nLovagegap-Boot"), longDeadline, upstream.Failed, false},
		{"version 9.9", replyWithChange("HTTP/1.1", "HTTP/9.9"), longDeadline, upstream.Failed, false},
		{"transfer encoding of version 1.0", replyWithChange("HTTP/1.1 200 OK", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"), longDeadline, upstream.Failed, false},
		{"folded line", replyWithChange("Lovagegap-Boot", "X: 1\r\n Y: 1\r\nLovagegap-Boot"), longDeadline, upstream.Failed, false},
		{"length with an invalid name", func(c net.Conn, r *http.Request, _ int) {
			// The bytes after the body would make it another valid one.
			fmt.Fprint(c, strings.Replace(replyHead(r, 1), "Content-Length", "Content-Length ", 1), "12")
			_ = c.Close()
		}, longDeadline, upstream.Failed, false},
		{"more bytes than announced", func(c net.Conn, r *http.Request, _ int) {
			fmt.Fprint(c, replyHead(r, len(validBody)), validBody, "more")
		}, longDeadline, upstream.OK, false},
		{"connection: close", replyWithChange("Lovagegap-Boot", "Connection: close\r\nLovagegap-Boot"), longDeadline, upstream.OK, false},
		{"shed by 503", replyWithStatus("503 Shed", notRun), longDeadline, upstream.Shed, true},
		{"shed by 429", replyWithStatus("429 Shed", notRun), longDeadline, upstream.Shed, true},
		{"503 that may have run", replyWithStatus("503 Unavailable", ""), longDeadline, upstream.Failed, true},
		{"version gone", replyWithStatus("410 Gone", ""), longDeadline, upstream.VersionGone, true},
		{"other shard", replyWithStatus("421 Misdirected", ""), longDeadline, upstream.WrongShard, true},
		{"failed", replyWithStatus("500 Failed", ""), longDeadline, upstream.Failed, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startScripted(t, c.reply)
			client := New(clock.Clock{})
			defer client.Close()
			e := newExchange(s.id(), "q1/0", c.deadline)
			result, data := client.runExchange(t.Context(), &e)
			require.Equal(t, c.want, result.Outcome())
			requests, _ := s.counts()
			require.Equal(t, 1, requests, "the request must be sent once")
			_, idle := client.Connections(s.id())
			require.Equal(t, c.reusable, idle == 1, "connection kept for the next exchange")
			if c.want == upstream.OK {
				require.Equal(t, validBody, string(data))
				require.Equal(t, "b1", result.Boot())
			}
		})
	}
}

// TestSecondReplyIsNotTakenForNextRequest guards against a second copy of a reply that
// arrives while the next sub-request waits on the connection, and that passes as its
// reply: a sub-request that runs would count as not run, and run again at another upstream.
func TestSecondReplyIsNotTakenForNextRequest(t *testing.T) {
	for name, reply := range map[string]func(net.Conn, *http.Request, int){
		"shed":                 replyWithStatus("503 Shed", "Lovagegap-Ran: not-run\r\nLovagegap-Request: q1/0\r\n"),
		"shed without id":      replyWithStatus("503 Shed", "Lovagegap-Ran: not-run\r\n"),
		"gone":                 replyWithStatus("410 Gone", "Lovagegap-Request: q1/0\r\n"),
		"other shard, no id":   replyWithStatus("421 Misdirected", ""),
		"valid for another id": replyWithChange("q2/0", "q1/0"),
	} {
		t.Run(name, func(t *testing.T) {
			s := startScripted(t, func(c net.Conn, r *http.Request, n int) {
				reply(c, r, n)
			})
			client := New(clock.Clock{})
			defer client.Close()
			exchangeOutcome(client, newExchange(s.id(), "q1/0", longDeadline))
			require.Equal(t, upstream.Failed, exchangeOutcome(client, newExchange(s.id(), "q2/0", longDeadline)))
			requests, _ := s.counts()
			require.Equal(t, 2, requests)
			_, idle := client.Connections(s.id())
			require.Zero(t, idle, "the connection must not be used again")
		})
	}
}

// Guards against a head that takes a multiple of its bytes in memory because it consists
// of very many short lines, and against a limit that rejects sound replies.
func TestLinesOfHeadAreBounded(t *testing.T) {
	for lines, outcome := range map[int]upstream.Outcome{128: upstream.OK, 2000: upstream.Failed} {
		t.Run(fmt.Sprint(lines), func(t *testing.T) {
			more := "HTTP/1.1 200 OK\r\n"
			for i := range lines {
				more += fmt.Sprintf("%x:\r\n", 0xa00+i)
			}
			s := startScripted(t, replyWithChange("HTTP/1.1 200 OK\r\n", more))
			client := New(clock.Clock{})
			defer client.Close()
			require.Equal(t, outcome.String(), exchangeOutcome(client, newExchange(s.id(), "q1/0", longDeadline)).String())
		})
	}
}

// exchangeOutcome runs e without cancellation and returns its outcome.
func exchangeOutcome(client *Client, e Exchange) upstream.Outcome {
	result, _ := client.runExchange(context.Background(), &e)
	return result.Outcome()
}

// TestNotConnected guards against an exchange without a connection that is reported
// as lost, and against a permit that is kept after a refused dial.
func TestNotConnected(t *testing.T) {
	s := startScripted(t, replyValid)
	require.NoError(t, s.Close())
	client := New(clock.Clock{})
	require.Equal(t, upstream.NotConnected, exchangeOutcome(client, newExchange(s.id(), "q1/0", longDeadline)))
	require.Equal(t, upstream.NotConnected, exchangeOutcome(client, newExchange(s.id(), "q1/1", -longDeadline)), "deadline already passed")
	require.Eventually(t, func() bool { open, _ := client.Connections(s.id()); return open == 0 }, 5*time.Second, time.Millisecond)
}

// TestLostRequestIsNotRepeated guards against a second send of a request after its
// connection was lost: the upstream may have run it.
func TestLostRequestIsNotRepeated(t *testing.T) {
	s := startScripted(t, func(c net.Conn, r *http.Request, n int) {
		if n > 1 {
			resetConnection(c)
			return
		}
		replyValid(c, r, n)
	})
	client := New(clock.Clock{})
	require.Equal(t, upstream.OK, exchangeOutcome(client, newExchange(s.id(), "q1/0", longDeadline)))
	require.Equal(t, upstream.ConnectionLost, exchangeOutcome(client, newExchange(s.id(), "q2/0", longDeadline)))
	requests, connections := s.counts()
	require.Equal(t, 2, requests)
	require.Equal(t, 1, connections)
}

// TestIdleConnectionsClosedByUpstream guards against an exchange that is lost on a
// connection which the upstream had closed while idle, and against ungated
// exchanges on new connections before the choice of upstreams takes into account
// that the upstream may have restarted.
func TestIdleConnectionsClosedByUpstream(t *testing.T) {
	s := startScripted(t, replyValid)
	client := New(clock.Clock{})
	require.Equal(t, upstream.OK, exchangeOutcome(client, newExchange(s.id(), "q1/0", longDeadline)))
	s.closeAll()
	p := client.pool(s.id())
	require.Eventually(t, func() bool { return p.idle[0].probe() == socket.Closed }, 5*time.Second, time.Millisecond)
	require.Equal(t, upstream.IdleConnectionsClosed, exchangeOutcome(client, newExchange(s.id(), "q2/0", longDeadline)))
	require.Equal(t, upstream.IdleConnectionsClosed, exchangeOutcome(client, newExchange(s.id(), "q3/0", longDeadline)), "chosen before the closed connections were reported")
	requests, connections := s.counts()
	require.Equal(t, 1, requests)
	require.Equal(t, 1, connections)

	gated := newExchange(s.id(), "q4/0", longDeadline)
	gated.gated = true
	require.Equal(t, upstream.OK, exchangeOutcome(client, gated))
	require.Equal(t, upstream.OK, exchangeOutcome(client, newExchange(s.id(), "q5/0", longDeadline)))
	_, connections = s.counts()
	require.Equal(t, 2, connections)
}

// TestLateReplyIsNotRead guards against a reply that arrives after its exchange was
// cancelled and is read as the reply to the next exchange.
func TestLateReplyIsNotRead(t *testing.T) {
	arrived, late := make(chan struct{}), make(chan struct{})
	s := startScripted(t, func(c net.Conn, r *http.Request, n int) {
		if n == 1 {
			close(arrived)
			<-late
		}
		replyValid(c, r, n)
	})
	client := New(clock.Clock{})
	client.SetLimit(s.id(), 2)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	e := newExchange(s.id(), "q1/0", longDeadline)
	first, _ := client.runExchange(ctx, &e)
	require.Equal(t, upstream.Cancelled, first.Outcome())
	close(late)
	require.Equal(t, upstream.OK, exchangeOutcome(client, newExchange(s.id(), "q2/0", longDeadline)))
	_, connections := s.counts()
	require.Equal(t, 2, connections)
}

// TestFreshExchangeOpensConnection guards against a retry on an idle connection
// whose network path may have failed silently.
func TestFreshExchangeOpensConnection(t *testing.T) {
	s := startScripted(t, replyValid)
	client := New(clock.Clock{})
	client.SetLimit(s.id(), 2)
	require.Equal(t, upstream.OK, exchangeOutcome(client, newExchange(s.id(), "q1/0", longDeadline)))
	fresh := newExchange(s.id(), "q1/1", longDeadline)
	fresh.fresh = true
	require.Equal(t, upstream.OK, exchangeOutcome(client, fresh))
	_, connections := s.counts()
	require.Equal(t, 2, connections)
	_, idle := client.Connections(s.id())
	require.Equal(t, 1, idle, "only the new connection is kept")
}

// TestHeaderValue guards against a text with line breaks that adds headers to a
// request.
func TestHeaderValue(t *testing.T) {
	require.Equal(t, "q 1/é", headerValue("q 1/é"))
	require.Equal(t, "q%0D%0AX%3A+1", headerValue("q\r\nX: 1"))
}

// startConstantUpstream starts an upstream that replies without allocations, so
// that a benchmark counts the allocations of the client alone.
func startConstantUpstream(b *testing.B) upstream.ID {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	reply := []byte(replyHead(&http.Request{Header: http.Header{"Lovagegap-Request": {"q1/0"}}}, len(validBody)) + validBody)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				request := make([]byte, 4096) // holds a whole request, which arrives in one read
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

// BenchmarkExchange measures exchanges of several goroutines with one upstream.
func BenchmarkExchange(b *testing.B) {
	id := startConstantUpstream(b)
	client := New(clock.Clock{})
	client.SetLimit(id, 64)
	b.ReportAllocs()
	defer benchtime.Report(b)()
	b.RunParallel(func(pb *testing.PB) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for pb.Next() {
			e := newExchange(id, "q1/0", longDeadline)
			if result, _ := client.runExchange(ctx, &e); result.Outcome() != upstream.OK {
				b.Error(result.Outcome())
			}
		}
	})
}

// BenchmarkExchangeSerial measures one exchange after the other on one connection.
func BenchmarkExchangeSerial(b *testing.B) {
	id := startConstantUpstream(b)
	client := New(clock.Clock{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.ReportAllocs()
	defer benchtime.Report(b)()
	for b.Loop() {
		e := newExchange(id, "q1/0", longDeadline)
		if result, _ := client.runExchange(ctx, &e); result.Outcome() != upstream.OK {
			b.Fatal(result.Outcome())
		}
	}
}
