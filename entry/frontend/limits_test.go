package frontend

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/replica"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/exchange"
	"github.com/lovagegap/lovagegap/entry/routing"
	"github.com/lovagegap/lovagegap/entry/telemetry"
)

// notLeaving is the Lifecycle of a daemon before its planned stop.
type notLeaving struct{}

func (notLeaving) Leaving() bool { return false }

// daemon serves callers. Once a limit is set, it has one route, without replicas.
type daemon struct {
	t       testing.TB
	engine  *routing.Engine
	address string
	version uint64
}

func newDaemon(t testing.TB) *daemon {
	d := &daemon{t: t, engine: routing.New(routing.Dependencies{
		Log: logr.Discard(), Names: exchange.HeaderNames{RequestID: "Id", Deadline: "Left", ExpectInstance: "Expect-Id", NotRun: "Not-Run", Seal: "Seal"},
		Random: rand.New(rand.NewPCG(1, 2)),
		Budget: replica.BudgetPolicy{Window: clock.Second}, Meter: &telemetry.Routes{},
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d.address = l.Addr().String()
	server := NewServer(New(d.engine, HeaderNames{RequestID: "Id", Deadline: "Left", ExpectInstance: "Expect-Id"}, notLeaving{}))
	go func() { _ = server.Serve(Listen(l, d.engine.Limits)) }()
	t.Cleanup(func() { _ = server.Close() })
	return d
}

// limit applies a configuration with the limits; zero stands for the default.
func (d *daemon) limit(headerBytes, bodyBytes int, headerTimeout, idleTimeout clock.Millis) {
	d.version++
	r, err := route.NewRoute(route.Spec{
		Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: 200, Objective: 100, MaxAttempts: 1,
		Splits: []route.Split{route.NewSplit("s", 1)},
	})
	require.NoError(d.t, err)
	table, err := route.NewTable(d.version, []*route.Route{r}, []route.Service{route.NewService("s", 1, 0)},
		route.NewLimits(headerBytes, bodyBytes, headerTimeout, idleTimeout))
	require.NoError(d.t, err)
	d.engine.ApplyUpdates([]routing.StoreUpdate{{Table: table}})
}

// startReplica starts the replica of the route. The channel gets a value for each request
// that arrives.
func (d *daemon) startReplica(reply http.HandlerFunc) <-chan struct{} {
	arrived := make(chan struct{}, 16)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		reply(w, r)
	}))
	d.t.Cleanup(server.CloseClientConnections)
	entry := replica.NewEntry(replica.Spec{ID: "i", Service: "s", Address: server.Listener.Addr().String()})
	d.engine.ApplyUpdates([]routing.StoreUpdate{{Replica: &entry}})
	return arrived
}

// caller is a connection to the daemon.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (d *daemon) dial() *caller {
	c, err := net.Dial("tcp", d.address)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = c.Close() })
	require.NoError(d.t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

// status sends text and returns the status of the answer, or 0 if the connection is
// closed without one.
func (c *caller) status(text string) int {
	if _, err := io.WriteString(c, text); err != nil {
		return 0
	}
	reply, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, reply.Body)
	return reply.StatusCode
}

// endsAfter returns how long the connection stays open from now on.
func (c *caller) endsAfter() time.Duration {
	began := time.Now()
	_, _ = c.reader.ReadByte()
	return time.Since(began)
}

const (
	head = "POST /a HTTP/1.1\r\nHost: h\r\nLeft: 5000\r\n"
	// noReplica is the status of a request within all limits, since the route has no
	// replica.
	noReplica = http.StatusServiceUnavailable
)

// Guards against limits for callers that remain those of the first configuration that a
// process has received.
func TestLimitsFollowNewestConfiguration(t *testing.T) {
	d := newDaemon(t)
	huge := head + "Extra: " + strings.Repeat("x", 20_000) + "\r\nContent-Length: 0\r\n\r\n"
	require.Equal(t, noReplica, d.dial().status(huge), "no limit applies before the first configuration")
	d.limit(0, 0, 0, 0)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, d.dial().status(huge))
	open := d.dial()
	large := head + "Extra: " + strings.Repeat("x", 2000) + "\r\nContent-Length: 0\r\n\r\n"
	require.Equal(t, noReplica, open.status(large))

	d.limit(1000, 10, 150, 300)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, d.dial().status(large))
	assert.Equal(t, http.StatusRequestEntityTooLarge, d.dial().status(head+"Content-Length: 11\r\n\r\n"))
	assert.Equal(t, http.StatusRequestEntityTooLarge,
		d.dial().status(head+"Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n6\r\nabcdef\r\n0\r\n\r\n"))
	small := head + "Content-Length: 2\r\n\r\nab"
	require.Equal(t, noReplica, open.status(small), "an open connection stays usable")
	idle := open.endsAfter()
	assert.Greater(t, idle, 200*time.Millisecond, "closed before the idle timeout")
	assert.Less(t, idle, 4*time.Second, "open for longer than the idle timeout, which was 15 s before")

	half := d.dial()
	_, _ = io.WriteString(half, head)
	assert.Less(t, half.endsAfter(), 2500*time.Millisecond, "incomplete header; the timeout was 3 s before")

	d.limit(0, 0, 0, 60*clock.Second)
	raised := d.dial()
	require.Equal(t, noReplica, raised.status(large))
	time.Sleep(700 * time.Millisecond)
	assert.Equal(t, noReplica, raised.status(small), "idle for longer than the previous idle timeout")
}

// Guards against a success without the replica's reply for a caller that closes its
// sending side while the request runs: it counts as gone, and must not get an answer.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			d := newDaemon(t)
			d.limit(0, 0, 0, 0)
			arrived := d.startReplica(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			c := d.dial()
			_, err := io.WriteString(c, method+" /a HTTP/1.1\r\nHost: h\r\nLeft: 5000\r\nContent-Length: 0\r\n\r\n")
			require.NoError(t, err)
			select {
			case <-arrived:
			case <-time.After(5 * time.Second):
				require.Fail(t, "the request has not reached the replica")
			}
			require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
			text, _ := io.ReadAll(c)
			assert.NotContains(t, string(text), " 200 ")
		})
	}
}

// Guards against a HEAD request that is answered 502, or with a length other than that
// of the body which the replica would send.
func TestHeadIsPassedOn(t *testing.T) {
	d := newDaemon(t)
	d.limit(0, 0, 0, 0)
	d.startReplica(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "proof")
		w.Header().Set("Content-Length", "12")
	})
	request, err := http.NewRequest(http.MethodHead, "http://"+d.address+"/a", nil)
	require.NoError(t, err)
	request.Host = "h"
	reply, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer reply.Body.Close()
	assert.Equal(t, http.StatusOK, reply.StatusCode)
	assert.EqualValues(t, 12, reply.ContentLength)
}

// Guards against a caller that sends part of a body and so occupies the daemon for ever.
func TestIncompleteBodyIsAnswered(t *testing.T) {
	d := newDaemon(t)
	d.limit(0, 0, 0, 0)
	for name, rest := range map[string]string{
		"length":  "Content-Length: 9\r\n\r\nabc",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n6\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			assert.Equal(t, http.StatusRequestTimeout, d.dial().status(head+rest))
			assert.Less(t, time.Since(began), 4*time.Second)
		})
	}
	for name, wrong := range map[string]string{
		"ends early": "Content-Length: 9\r\n\r\nabc",
		"no chunk":   "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := d.dial()
			_, _ = io.WriteString(c, head+wrong)
			require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
			status := c.status("")
			assert.Contains(t, []int{http.StatusBadRequest, 0}, status, fmt.Sprint("status ", status))
		})
	}
}
