package connlimit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/intake"
)

const testBodyBytes = 100_000

// echoLength answers with the length of the body, or with the refusal.
func echoLength(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, testBodyBytes, 300*time.Millisecond)
	if err != nil {
		status, message := RefusalOf(err)
		w.Header().Set("Connection", "close")
		http.Error(w, message, status)
		return
	}
	_, _ = fmt.Fprintf(w, "%d", len(body))
}

func newServer(t testing.TB, limiter *Limiter, handler http.HandlerFunc) (server *http.Server, listener net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	t.Cleanup(func() { _ = server.Close() })
	if limiter == nil {
		return server, l
	}
	options := Options{Class: intake.Callers, BodyTimeout: 300}
	limiter.Prepare(server, options)
	return server, limiter.Listen(l, options)
}

func newLimiter(r intake.Resources, s Settings) *Limiter {
	return New(Config{Resources: r, Settings: s, Log: logr.Discard()})
}

// serve starts a server and returns a function that sends text on a new connection and
// returns the statuses of all answers until the connection ends.
func serve(t *testing.T, limiter *Limiter) (send func(text string) []string, address string) {
	server, listener := newServer(t, limiter, echoLength)
	go func() { _ = server.Serve(listener) }()
	address = listener.Addr().String()
	return func(text string) []string {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		go func() { _, _ = io.WriteString(c, text) }()
		var statuses []string
		reader := bufio.NewReader(c)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return statuses
			}
			body, _ := io.ReadAll(response.Body)
			status := fmt.Sprint(response.StatusCode)
			if response.StatusCode == http.StatusOK {
				status += " " + string(body)
			}
			statuses = append(statuses, status)
		}
	}, address
}

// Guards against requests with unusual framing that get no answer, more than one, or one
// that depends on how they arrive.
func TestOneAnswer(t *testing.T) {
	const (
		get  = "GET / HTTP/1.1\r\nHost: h\r\n"
		post = "POST / HTTP/1.1\r\nHost: h\r\n"
		last = get + "Connection: close\r\n\r\n"
		end  = "Connection: close\r\n"
	)
	limiter := newLimiter(intake.Resources{}, Settings{ChunkOverhead: 8, HeadLines: 300})
	send, _ := serve(t, limiter)
	for name, c := range map[string]struct {
		text string
		want string
	}{
		"ordinary":                        {last, "200 0"},
		"expects continue":                {post + end + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab", "100,200 2"},
		"expects continue, too large":     {post + "Expect: 100-continue\r\nContent-Length: 100001\r\n\r\n", "413"},
		"other expectation":               {post + "Expect: x\r\nContent-Length: 2\r\n\r\nab", "417"},
		"pipelined":                       {get + "\r\n" + post + "Content-Length: 3\r\n\r\nabc" + last, "200 0,200 3,200 0"},
		"HTTP/1.0":                        {"GET / HTTP/1.0\r\n\r\n", "200 0"},
		"HTTP/1.0 kept":                   {"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET / HTTP/1.0\r\n\r\n", "200 0,200 0"},
		"HTTP/1.0 chunked":                {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "200 0"},
		"HTTP/2 preface":                  {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "505"},
		"folded line":                     {get + "A: b\r\n c\r\n" + end + "\r\n", "200 0"},
		"folded first line":               {"GET / HTTP/1.1\r\n Host: h\r\n\r\n", "400"},
		"both lengths":                    {post + end + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "200 2"},
		"same length twice":               {post + end + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", "200 2"},
		"different lengths":               {post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400"},
		"negative length":                 {post + "Content-Length: -2\r\n\r\n", "400"},
		"unknown coding":                  {post + "Transfer-Encoding: gzip\r\n\r\n", "501"},
		"chunk extension":                 {post + end + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0\r\n\r\n", "200 2"},
		"long chunk extension":            {post + "Transfer-Encoding: chunked\r\n\r\n2;" + strings.Repeat("a", 5000) + "\r\nab\r\n0\r\n\r\n", "400"},
		"extensions on all chunks":        {post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;"+strings.Repeat("a", 200)+"\r\nx\r\n", 3000), "400"},
		"chunks of one byte":              {post + end + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", testBodyBytes) + "0\r\n\r\n", fmt.Sprint("200 ", testBodyBytes)},
		"trailer":                         {post + end + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: b\r\n\r\n", "200 2"},
		"long trailer":                    {post + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: " + strings.Repeat("b", 10_000) + "\r\n\r\n", "400"},
		"body of the limit":               {post + end + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", testBodyBytes), "200 100000"},
		"chunked body of the limit":       {post + end + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("x", testBodyBytes) + "\r\n0\r\n\r\n", "200 100000"},
		"chunked body over the limit":     {post + "Transfer-Encoding: chunked\r\n\r\n186a1\r\n" + strings.Repeat("x", testBodyBytes+1) + "\r\n0\r\n\r\n", "413"},
		"body stops":                      {post + "Content-Length: 9\r\n\r\nab", "408"},
		"chunked body stops":              {post + "Transfer-Encoding: chunked\r\n\r\n9\r\nab", "408"},
		"head over the limit":             {get + "A: " + strings.Repeat("x", 30_000) + "\r\n\r\n", "431"},
		"lines over the limit":            {get + strings.Repeat("A: b\r\n", 300) + "\r\n", "431"},
		"head of the limit":               {get + end + "A: " + strings.Repeat("x", 16_000) + "\r\n\r\n", "200 0"},
		"blank line before":               {"\r\n" + get + "\r\n", "400"},
		"blank lines without end":         {strings.Repeat("\r\n", 20_000), "400"},
		"blank line after a body":         {post + "Content-Length: 2\r\n\r\nab\r\n" + last, "200 2,200 0"},
		"no host":                         {"GET / HTTP/1.1\r\n\r\n", "400"},
		"space before the colon":          {get + "A : b\r\n\r\n", "400"},
		"carriage return in a value":      {get + "A: b\rc\r\n\r\n", "400"},
		"space before the chunk's length": {post + "Transfer-Encoding: chunked\r\n\r\n 2\r\nab\r\n0\r\n\r\n", "400"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, strings.Join(send(c.text), ","))
		})
	}
	require.Eventually(t, func() bool { return limiter.Metrics()["connections.held-bytes"] == 0 }, 3*time.Second, 10*time.Millisecond,
		"bytes of ended connections still count")
	metrics := limiter.Metrics()
	for _, reason := range []intake.Reason{intake.HeadBytes, intake.HeadLines, intake.BlankLines, intake.BodyBytes, intake.BodyTimeout} {
		assert.Positive(t, metrics["connections.refused."+string(reason)], reason)
	}
}

// Guards against well-behaved callers that are refused though their bodies fit into the
// memory: many at once, of the largest size, slow within the timeout, from one address.
func TestBodiesWithinTheMemoryAreServed(t *testing.T) {
	limiter := newLimiter(intake.Resources{Memory: 136e6, Descriptors: 2870}, Settings{})
	send, _ := serve(t, limiter)
	var wait sync.WaitGroup
	for range 100 {
		wait.Go(func() {
			assert.Equal(t, []string{"200 100000"}, send("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", testBodyBytes)))
		})
	}
	wait.Wait()
}

// Guards against a request that is neither served nor refused while bodies that stall hold
// the memory: a small one is served at once, and a large one after the grace.
func TestStalledBodiesYield(t *testing.T) {
	limiter := newLimiter(intake.Resources{Memory: 5e6, Descriptors: 2870}, Settings{})
	server, listener := newServer(t, limiter, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, 1<<20, time.Minute)
		if err != nil {
			status, message := RefusalOf(err)
			http.Error(w, message, status)
			return
		}
		_, _ = fmt.Fprintf(w, "%d", len(body))
	})
	go func() { _ = server.Serve(listener) }()
	refused := make(chan int, 3)
	for i := range cap(refused) {
		stalled, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer stalled.Close()
		_, err = io.WriteString(stalled, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 900_000))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return limiter.Metrics()["connections.held-bytes"] > int64(i+1)<<20 }, 3*time.Second, time.Millisecond)
		go func() {
			if response, err := http.ReadResponse(bufio.NewReader(stalled), nil); err == nil {
				refused <- response.StatusCode
			}
		}()
	}
	post := func(bytes int) int {
		response, err := http.Post("http://"+listener.Addr().String(), "", strings.NewReader(strings.Repeat("x", bytes)))
		require.NoError(t, err)
		defer response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, http.StatusOK, post(intake.CoveredBytes))
	require.Eventually(t, func() bool { return post(600_000) == http.StatusOK }, 5*time.Second, 50*time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, <-refused, "a request that yields is refused as not run")
}

// Guards against a caller that has the connections of many addresses by using those of its own
// IPv6 network, and against an IPv4 address that counts twice.
func TestCallerAddress(t *testing.T) {
	for text, want := range map[string]string{
		"192.0.2.1": "192.0.2.1", "::ffff:192.0.2.1": "192.0.2.1", "2001:db8::1": "2001:db8::/64", "2001:db8::2:3": "2001:db8::/64",
	} {
		assert.Equal(t, want, callerAddress(&net.TCPAddr{IP: net.ParseIP(text), Port: 9}), text)
	}
	assert.Equal(t, "pipe", callerAddress(&net.UnixAddr{Name: "pipe"}))
}

// textConn is the server's end of a connection on which a caller sends a text.
type textConn struct {
	reader *bytes.Reader
	closed chan struct{}
	once   sync.Once
}

func (c *textConn) Read(b []byte) (int, error)       { return c.reader.Read(b) }
func (c *textConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *textConn) LocalAddr() net.Addr              { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
func (c *textConn) RemoteAddr() net.Addr             { return c.LocalAddr() }
func (c *textConn) SetDeadline(time.Time) error      { return nil }
func (c *textConn) SetReadDeadline(time.Time) error  { return nil }
func (c *textConn) SetWriteDeadline(time.Time) error { return nil }
func (c *textConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// textListener accepts the connections of a channel.
type textListener struct{ conns chan net.Conn }

func (l *textListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l *textListener) Close() error   { return nil }
func (l *textListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzConnection guards against bytes of a caller that end the process, take more memory
// than a head and a body of the limit may take, or leave bytes in the account.
func FuzzConnection(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nA: b\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\nx", strings.Repeat("\r\n", 100), "GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 5000),
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\nGET / HTTP/1.0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	limiter := newLimiter(intake.Resources{Memory: 136e6, Descriptors: 600}, Settings{})
	l := &textListener{conns: make(chan net.Conn)}
	options := Options{Class: intake.Callers}
	server := &http.Server{Handler: http.HandlerFunc(echoLength)}
	limiter.Prepare(server, options)
	go func() { _ = server.Serve(limiter.Listen(l, options)) }()
	f.Fuzz(func(t *testing.T, text []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c := &textConn{reader: bytes.NewReader(text), closed: make(chan struct{})}
		l.conns <- c
		select {
		case <-c.closed:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection does not end")
		}
		runtime.ReadMemStats(&after)
		// Each request on the connection takes some kilobytes, of which none has less
		// than 16 bytes; a head of the limit in short lines takes 400 bytes a line.
		if taken, bound := after.TotalAlloc-before.TotalAlloc, uint64(1<<20+512*len(text)); taken > bound {
			t.Fatalf("%d bytes allocated for %d, bound %d", taken, len(text), bound)
		}
	})
}

// BenchmarkRequest measures an ordinary request on a kept connection, with and without the
// limiter.
func BenchmarkRequest(b *testing.B) {
	head := strings.Repeat("Some-Header: with a value of some length\r\n", 8)
	for name, request := range map[string]string{
		"get":  "GET / HTTP/1.1\r\nHost: h\r\n" + head + "\r\n",
		"post": "POST / HTTP/1.1\r\nHost: h\r\n" + head + "Content-Length: 300\r\n\r\n" + strings.Repeat("x", 300),
	} {
		for _, limited := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/limited=%v", name, limited), func(b *testing.B) {
				var limiter *Limiter
				if limited {
					limiter = New(Config{Resources: intake.Resources{Memory: 136e6, Descriptors: 600}, Clock: clock.Clock{}, Log: logr.Discard()})
				}
				server, listener := newServer(b, limiter, echoLength)
				go func() { _ = server.Serve(listener) }()
				c, err := net.Dial("tcp", listener.Addr().String())
				require.NoError(b, err)
				defer c.Close()
				reader := bufio.NewReader(c)
				for b.Loop() {
					_, _ = io.WriteString(c, request)
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, response.Body)
				}
			})
		}
	}
}
