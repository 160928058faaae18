package exchange

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
)

var headerNames = HeaderNames{RequestID: "Id", Deadline: "Left", ExpectInstance: "Instance", NotRun: "Refused", Seal: "Seal", Leaving: "Leaving"}

const completeReply = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody"

// scriptedReplica is a replica that answers each request on a connection with the next
// text of its script. For an empty text it sends nothing, and after a text that ends
// with "!" it closes the connection.
type scriptedReplica struct {
	listener net.Listener
	requests chan *http.Request
	accepted chan struct{}
}

func newScriptedReplica(t *testing.T, script ...string) *scriptedReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedReplica{listener: listener, requests: make(chan *http.Request, 16), accepted: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- struct{}{}
			go s.serve(c, script)
		}
	}()
	return s
}

func (s *scriptedReplica) serve(c net.Conn, script []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, text := range script {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests <- request
		if text == "" {
			_, _ = reader.ReadByte() // blocks until the client closes the connection
			return
		}
		_, _ = c.Write([]byte(strings.TrimSuffix(text, "!")))
		if strings.HasSuffix(text, "!") {
			return
		}
	}
	_, _ = reader.ReadByte()
}

func (s *scriptedReplica) spec(request string) Spec {
	return Spec{
		Address: s.listener.Addr().String(), Instance: "i-1", Method: http.MethodGet, Target: "/a/b?c=d", Host: "h.example",
		Header: http.Header{"Id": {request}, "X-Other": {"1", "2"}}, RequestID: request,
		Deadline: clock.Clock{}.Now() + 300,
	}
}

func run(t *testing.T, client *Client, spec Spec) (*Reply, replica.Result) {
	t.Helper()
	return client.NewExchange(spec).Run()
}

// Guards against replies that are classified wrongly, such as an incomplete one or one to
// another request that counts as a success.
func TestResultOfReply(t *testing.T) {
	cases := map[string]struct {
		answer string
		result replica.Result
		body   string
	}{
		"complete":                             {completeReply, replica.OK, "body"},
		"chunked":                              {"HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", replica.OK, "body"},
		"until the end":                        {"HTTP/1.1 200 OK\r\nSeal: s\r\n\r\nbody!", replica.OK, "body"},
		"after another answer":                 {"HTTP/1.1 200 OK\r\nId: r0\r\nSeal: s\r\nContent-Length: 3\r\n\r\nold" + completeReply, replica.OK, "body"},
		"with an informational":                {"HTTP/1.1 103 Early Hints\r\n\r\n" + completeReply, replica.OK, "body"},
		"client error":                         {"HTTP/1.1 404 Not Found\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", replica.OK, ""},
		"no seal":                              {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", replica.Failed, "body"},
		"error of a server that is no replica": {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", replica.Failed, ""},
		"redirect of a server that is no replica": {"HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n", replica.Failed, ""},
		"encoded":            {"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody", replica.Failed, "body"},
		"server error":       {"HTTP/1.1 500 Oops\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", replica.Failed, ""},
		"refused":            {"HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", replica.Shed, ""},
		"foreign":            {"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", replica.Foreign, ""},
		"cut body":           {"HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 9\r\n\r\nbody!", replica.Lost, ""},
		"cut header":         {"HTTP/1.1 200 OK\r\nSe!", replica.Lost, ""},
		"not HTTP":           {"\x00\x01\x02\r\n\r\n!", replica.Garbled, ""},
		"closed":             {"!", replica.Lost, ""},
		"silent":             {"", replica.Silent, ""},
		"only other answers": {strings.Repeat(strings.ReplaceAll(completeReply, "r1", "r0"), maxReplies), replica.Garbled, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScriptedReplica(t, c.answer)
			reply, result := run(t, NewClient(clock.Clock{}, headerNames), s.spec("r1"))
			require.Equal(t, c.result.String(), result.String())
			if c.body != "" {
				assert.Equal(t, c.body, string(reply.Body()))
			}
		})
	}
}

// Guards against a success from a replica that closes the connection in the middle of its
// reply, at any byte, on a new connection or a reused one. Only the body of a reply
// without a length ends with the connection.
func TestCutReplyIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
	replies := map[string]struct {
		text       string
		completeAt int // bytes from which the reply is complete
	}{
		"length":     {head + "Content-Length: 12\r\n\r\nrecord bytes", len(head) + 34},
		"chunks":     {head + "Transfer-Encoding: chunked\r\n\r\n6\r\nrecord\r\n0\r\n\r\n", len(head) + 46},
		"no length":  {head + "\r\nrecord", len(head) + 2},
		"line feeds": {"HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Length: 6\n\nrecord", 56},
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			for end := range len(reply.text) + 1 {
				for _, reused := range []bool{false, true} {
					script := []string{reply.text[:end] + "!"}
					if reused {
						script = append([]string{completeReply}, script...)
					}
					s := newScriptedReplica(t, script...)
					client := NewClient(clock.Clock{}, headerNames)
					if reused {
						_, result := run(t, client, s.spec("r1"))
						require.Equal(t, replica.OK, result)
					}
					got, result := run(t, client, s.spec("r1"))
					require.Equal(t, end >= reply.completeAt, result == replica.OK,
						"%d of %d bytes, reused %t: %v", end, len(reply.text), reused, result)
					require.Equal(t, result == replica.OK, got != nil)
				}
			}
		})
	}
}

// Guards against a data race: an exchange that reads the state of its connection after
// another one has taken the connection over. It fails under the race detector only.
func TestReleasedConnectionIsNotRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
	}))
	t.Cleanup(server.Close)
	client := NewClient(clock.Clock{}, headerNames)
	t.Cleanup(client.Close)
	s := &scriptedReplica{listener: server.Listener}
	var exchanges sync.WaitGroup
	for range 8 {
		exchanges.Go(func() {
			for range 100 {
				_, result := client.NewExchange(s.spec("r1")).Run()
				assert.Equal(t, replica.OK, result)
			}
		})
	}
	exchanges.Wait()
}

// Guards against replies without a body that count as cut short because they state the
// length that the body would have, and so as a crash of the replica.
func TestReplyWithoutBodyIsComplete(t *testing.T) {
	const head = "Id: r1\r\nSeal: s\r\nContent-Length: 12\r\n\r\n"
	for _, c := range []struct{ method, reply string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\n" + head},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + head},
	} {
		s := newScriptedReplica(t, c.reply, c.reply)
		client := NewClient(clock.Clock{}, headerNames)
		for range 2 {
			spec := s.spec("r1")
			spec.Method = c.method
			reply, result := run(t, client, spec)
			require.Equal(t, replica.OK.String(), result.String(), c.method)
			assert.Empty(t, reply.Body())
			assert.Equal(t, "12", reply.Header().Get("Content-Length"))
		}
		assert.EqualValues(t, 1, client.Opened(), "the connection is reused")
	}
}

// Guards against a success from a replica whose connection is reset in a body without a
// length.
func TestResetReplyIsNoSuccess(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\nrecord"))
		time.Sleep(20 * time.Millisecond) // so that the client reads it before the reset
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	s := &scriptedReplica{listener: listener}
	reply, result := run(t, NewClient(clock.Clock{}, headerNames), s.spec("r1"))
	assert.Nil(t, reply)
	assert.Equal(t, replica.Lost, result)
}

// Guards against requests that reach the replica with a changed target, host, header or
// body.
func TestRequestArrivesUnchanged(t *testing.T) {
	s := newScriptedReplica(t, completeReply)
	spec := s.spec("r1")
	spec.Method, spec.Body = http.MethodPost, []byte("payload")
	_, result := run(t, NewClient(clock.Clock{}, headerNames), spec)
	require.Equal(t, replica.OK, result)
	request := <-s.requests
	assert.Equal(t, "/a/b?c=d", request.RequestURI)
	assert.Equal(t, "h.example", request.Host)
	assert.Equal(t, []string{"1", "2"}, request.Header["X-Other"])
	assert.Equal(t, "i-1", request.Header.Get("Instance"))
	assert.Equal(t, int64(7), request.ContentLength)
	assert.Regexp(t, `^(2\d\d|300)$`, request.Header.Get("Left"))
}

// Guards against bytes of an earlier exchange that are read as the reply to a later one.
// A replica that sends its reply twice leaves unread bytes on the connection.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	s := newScriptedReplica(t, completeReply+completeReply, completeReply)
	client := NewClient(clock.Clock{}, headerNames)
	_, result := run(t, client, s.spec("r1"))
	require.Equal(t, replica.OK, result)
	time.Sleep(20 * time.Millisecond)
	_, result = run(t, client, s.spec("r1"))
	require.Equal(t, replica.OK, result)
	assert.Equal(t, int64(2), client.Opened())
}

// Guards against a new connection for each request, and against a reused one for a request
// that requires a new one.
func TestConnectionIsReused(t *testing.T) {
	s := newScriptedReplica(t, completeReply, completeReply, completeReply)
	client := NewClient(clock.Clock{}, headerNames)
	for range 3 {
		_, result := run(t, client, s.spec("r1"))
		require.Equal(t, replica.OK, result)
	}
	assert.Equal(t, int64(1), client.Opened())
	spec := s.spec("r1")
	spec.NewConnection = true
	_, result := run(t, client, spec)
	require.Equal(t, replica.OK, result)
	assert.Equal(t, int64(2), client.Opened(), "NewConnection opens a connection")
}

// Guards against a request on a reused connection that the replica has closed while idle
// and that counts as a crash of the replica, or as not run although that is unknown.
func TestConnectionClosedWhileIdle(t *testing.T) {
	s := newScriptedReplica(t, completeReply+"!", completeReply)
	client := NewClient(clock.Clock{}, headerNames)
	_, result := run(t, client, s.spec("r1"))
	require.Equal(t, replica.OK, result)
	time.Sleep(20 * time.Millisecond)
	_, result = run(t, client, s.spec("r1"))
	assert.Equal(t, replica.OK, result, "the close is noticed before the request is sent")
	s = newScriptedReplica(t, completeReply, "!")
	_, result = run(t, client, s.spec("r1"))
	require.Equal(t, replica.OK, result)
	_, result = run(t, client, s.spec("r1"))
	assert.Equal(t, replica.Closed, result)
}

// Guards against replicas that continue to work on a request after its exchange was
// abandoned.
func TestAbandonedExchangeClosesItsConnection(t *testing.T) {
	s := newScriptedReplica(t, "")
	client := NewClient(clock.Clock{}, headerNames)
	x := client.NewExchange(s.spec("r1"))
	ended := make(chan replica.Result)
	go func() {
		_, result := x.Run()
		ended <- result
	}()
	<-s.requests
	x.Abandon()
	select {
	case result := <-ended:
		assert.Equal(t, replica.Abandoned, result)
	case <-time.After(200 * time.Millisecond):
		t.Fatal("Run has not returned within 200 ms of Abandon")
	}
}

// Guards against requests that time out one after the other because all idle connections
// to a replica have become silent: after silentLimit of them the others are closed.
func TestIdleConnectionsAreClosedAfterSilence(t *testing.T) {
	s := newScriptedReplica(t, completeReply, "")
	client := NewClient(clock.Clock{}, headerNames)
	const open = 5
	var connections []*conn
	for range open {
		c, err := client.acquire(s.listener.Addr().String(), true, time.Now().Add(time.Second))
		require.NoError(t, err)
		_, result, reusable := client.NewExchange(s.spec("r1")).roundTrip(c)
		require.Equal(t, replica.OK, result)
		require.True(t, reusable)
		connections = append(connections, c)
	}
	for _, c := range connections {
		client.release(s.listener.Addr().String(), c, false)
	}
	for range silentLimit {
		spec := s.spec("r1")
		spec.Deadline = clock.Clock{}.Now() + 30
		_, result := run(t, client, spec)
		require.Equal(t, replica.Silent, result)
	}
	_, result := run(t, client, s.spec("r1"))
	assert.Equal(t, replica.OK, result)
}

// Guards against a Keep-Alive timeout of a replica that is ignored or misread.
func TestKeepAliveLimits(t *testing.T) {
	for value, want := range map[string]clock.Millis{"timeout=5": 5000, "max=3, timeout=0": 0, "Timeout=12, max=1": 12000} {
		limit, ok := keepAliveLimit(value)
		assert.True(t, ok, value)
		assert.Equal(t, want, limit, value)
	}
	for _, value := range []string{"", "timeout", "timeout=x", "timeout=-1", "max=5"} {
		_, ok := keepAliveLimit(value)
		assert.False(t, ok, value)
	}
}
