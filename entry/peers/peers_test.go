package peers_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/entry/peers"
)

// eventTimeout limits the wait for an expected event. No test depends on how fast the
// event comes.
const eventTimeout = 10 * time.Second

type event struct {
	kind string
	peer string
	body string
}

// recorder is a handler that records the events of a hub. It refuses the message
// "foreign".
type recorder chan event

func (r recorder) LinkUp(peer string)   { r <- event{kind: "up", peer: peer} }
func (r recorder) LinkDown(peer string) { r <- event{kind: "down", peer: peer} }
func (r recorder) Receive(peer string, message []byte) error {
	if string(message) == "foreign" {
		return errors.New("foreign message")
	}
	r <- event{kind: "message", peer: peer, body: string(message)}
	return nil
}

func (r recorder) next(t *testing.T) event {
	t.Helper()
	select {
	case e := <-r:
		return e
	case <-time.After(eventTimeout):
		require.Fail(t, "no event")
		return event{}
	}
}

type daemon struct {
	hub     *peers.Hub
	events  recorder
	address string
}

// startDaemon serves a hub on a free port. The id of the daemon is its address, or
// name, if set, for a daemon that claims to be another one.
func startDaemon(t *testing.T, name string, keys ...string) daemon {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	d := daemon{events: make(recorder, 64), address: server.Listener.Addr().String()}
	if name == "" {
		name = d.address
	}
	d.hub = newHub(t, name, 1, d.events, keys...)
	server.Config.Handler = d.hub
	server.Start()
	t.Cleanup(server.Close)
	return d
}

func newHub(t *testing.T, name string, incarnation uint64, events recorder, keys ...string) *peers.Hub {
	t.Helper()
	secrets := make([][]byte, 0, len(keys))
	for _, key := range keys {
		secrets = append(secrets, []byte(key))
	}
	hub := peers.New(peers.Control, peers.NewIdentity(name, incarnation), secrets, events, logr.Discard())
	t.Cleanup(hub.Close)
	return hub
}

// Guards against links on which only the dialling side can send.
func TestLinkCarriesMessagesBothWays(t *testing.T) {
	a, b := startDaemon(t, "", "key"), startDaemon(t, "", "key")
	a.hub.Dial(b.address)
	require.Equal(t, event{kind: "up", peer: b.address}, a.events.next(t))
	require.Equal(t, event{kind: "up", peer: a.address}, b.events.next(t))
	require.NoError(t, a.hub.Send(b.address, []byte("ping")))
	require.Equal(t, event{"message", a.address, "ping"}, b.events.next(t))
	require.NoError(t, b.hub.Send(a.address, []byte("ack")))
	require.Equal(t, event{"message", b.address, "ack"}, a.events.next(t))
}

// countingListener is a listener that counts the bytes read from its connections.
type countingListener struct {
	net.Listener
	bytesRead *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytesRead: l.bytesRead}, err
}

type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

// Guards against bursts of member rows that saturate the links between data centres,
// as when all daemons start at once and the rows of each daemon reach every other one
// over several links. Rows repeat the same names, so they must be compressed.
func TestBatchesAreCompressed(t *testing.T) {
	var read atomic.Int64
	a, b := startDaemon(t, "", "key"), recorder(make(chan event, 64))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	hub := newHub(t, listener.Addr().String(), 1, b, "key")
	server := &http.Server{Handler: hub}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(countingListener{Listener: listener, bytesRead: &read}) }()
	a.hub.Dial(listener.Addr().String())
	require.Equal(t, "up", a.events.next(t).kind)
	require.Equal(t, "up", b.next(t).kind)
	var rows strings.Builder
	for i := range 300 {
		fmt.Fprintf(&rows, "10.128.%d.%d:8224 10.128.%d.%d:8080 ikeja ng-southwest alive %d;",
			i/250, i%250, i/250, i%250, 1764860000000+i*37)
	}
	before := read.Load()
	require.NoError(t, a.hub.Send(listener.Addr().String(), []byte(rows.String())))
	require.Equal(t, rows.String(), b.next(t).body)
	require.Less(t, 3*(read.Load()-before), int64(rows.Len()))
}

// Guards against links to daemons that share no key, or whose id is not the address
// that was dialled.
func TestHandshakeChecksKeyAndName(t *testing.T) {
	cases := []struct {
		name       string
		dialKeys   []string
		acceptKeys []string
		acceptName string
		up         bool
	}{
		{name: "same key", dialKeys: []string{"k"}, acceptKeys: []string{"k"}, up: true},
		{name: "old key while keys are replaced", dialKeys: []string{"old"}, acceptKeys: []string{"new", "old"}, up: true},
		{name: "new key while keys are replaced", dialKeys: []string{"new", "old"}, acceptKeys: []string{"old", "new"}, up: true},
		{name: "wrong key", dialKeys: []string{"k"}, acceptKeys: []string{"other"}},
		{name: "other daemon at the address", dialKeys: []string{"k"}, acceptKeys: []string{"k"}, acceptName: "127.0.0.1:1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a, b := startDaemon(t, "", tc.dialKeys...), startDaemon(t, tc.acceptName, tc.acceptKeys...)
			a.hub.Dial(b.address)
			want := event{kind: "down", peer: b.address}
			if tc.up {
				want.kind = "up"
			}
			require.Equal(t, want, a.events.next(t))
			require.Equal(t, tc.up, a.hub.Linked(b.address))
		})
	}
}

// Guards against two live links between daemons that dialled each other at the same
// time, on which messages could arrive out of order.
func TestSimultaneousDialKeepsOneLink(t *testing.T) {
	a, b := startDaemon(t, "", "key"), startDaemon(t, "", "key")
	a.hub.Dial(b.address)
	b.hub.Dial(a.address)
	require.Eventually(t, func() bool {
		return a.hub.Send(b.address, []byte("x")) == nil && b.hub.Send(a.address, []byte("y")) == nil
	}, eventTimeout, time.Millisecond)
	require.True(t, a.hub.Linked(b.address))
	require.True(t, b.hub.Linked(a.address))
}

// greetingHandler is a recorder that sends a message as soon as a link is up.
type greetingHandler struct {
	recorder
	hub  *peers.Hub
	sent chan struct{}
}

func (g *greetingHandler) LinkUp(peer string) {
	if g.hub.Send(peer, []byte("hello")) == nil {
		g.sent <- struct{}{}
	}
}

func startGreetingHandler(t *testing.T) (*greetingHandler, string) {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	g := &greetingHandler{recorder: make(recorder, 64), sent: make(chan struct{}, 64)}
	name := server.Listener.Addr().String()
	g.hub = peers.New(peers.Control, peers.NewIdentity(name, 1), [][]byte{[]byte("key")}, g, logr.Discard())
	server.Config.Handler = g.hub
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(g.hub.Close)
	return g, name
}

// Guards against messages that are lost without LinkDown when both ends dial at the
// same time and one of the two links is closed.
func TestSimultaneousDialLosesNoMessage(t *testing.T) {
	for range 30 {
		a, nameA := startGreetingHandler(t)
		b, nameB := startGreetingHandler(t)
		go a.hub.Dial(nameB)
		go b.hub.Dial(nameA)
		for _, end := range []struct{ from, to *greetingHandler }{{a, b}, {b, a}} {
			<-end.from.sent
			require.Equal(t, "hello", end.to.next(t).body)
		}
		for _, end := range []struct{ from, to *greetingHandler }{{a, b}, {b, a}} {
			for len(end.from.sent) > 0 {
				<-end.from.sent
				require.Equal(t, "hello", end.to.next(t).body)
			}
		}
	}
}

// Guards against malformed handshake frames from other programs: each must end the
// link and count as rejected.
func TestForeignMessagesAreRejected(t *testing.T) {
	encode := func(v any) []byte {
		text, err := cbor.Marshal(v)
		require.NoError(t, err)
		return text
	}
	cases := []struct {
		name string
		kind websocket.MessageType
		text []byte
	}{
		{"text message", websocket.MessageText, []byte("hello")},
		{"not CBOR", websocket.MessageBinary, []byte{0xff, 0x00}},
		{"unknown field", websocket.MessageBinary, encode(map[int]int{99: 1})},
		{"wrong version", websocket.MessageBinary, encode(map[int]any{1: 99, 2: "z"})},
		{"no proof", websocket.MessageBinary, encode(map[int]any{1: 1, 2: "z", 3: 1, 4: make([]byte, 16), 5: make([]byte, 32)})},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			a := startDaemon(t, "", "key")
			ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
			defer cancel()
			socket, _, err := websocket.Dial(ctx, "ws://"+a.address+string(peers.Control), nil)
			require.NoError(t, err)
			defer func() { _ = socket.CloseNow() }()
			_, _, err = socket.Read(ctx)
			require.NoError(t, err)
			require.NoError(t, socket.Write(ctx, tc.kind, tc.text))
			_, _, err = socket.Read(ctx)
			require.Error(t, err)
			require.Eventually(t, func() bool { return a.hub.Rejected() == 1 }, eventTimeout, time.Millisecond)
		})
	}
}

// Guards against a peer that has not proved to know the key and sends a message of the size
// that only batches may have.
func TestLargeHandshakeEndsLink(t *testing.T) {
	a := startDaemon(t, "", "key")
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, "ws://"+a.address+string(peers.Control), nil)
	require.NoError(t, err)
	defer func() { _ = socket.CloseNow() }()
	_, _, err = socket.Read(ctx)
	require.NoError(t, err)
	require.NoError(t, socket.Write(ctx, websocket.MessageBinary, make([]byte, 8<<10)))
	_, _, err = socket.Read(ctx)
	require.Equal(t, websocket.StatusMessageTooBig, websocket.CloseStatus(err))
}

// Guards against a link that stays open although its peer, after a valid handshake,
// sends messages that the handler refuses.
func TestRefusedMessageClosesLink(t *testing.T) {
	a, b := startDaemon(t, "", "key"), startDaemon(t, "", "key")
	a.hub.Dial(b.address)
	require.Equal(t, "up", a.events.next(t).kind)
	require.NoError(t, a.hub.Send(b.address, []byte("foreign")))
	require.Equal(t, event{kind: "down", peer: b.address}, a.events.next(t))
	require.Eventually(t, func() bool { return b.hub.Rejected() == 1 }, eventTimeout, time.Millisecond)
}

// Guards against a restarted peer that cannot link because its old link, which was cut
// without a close, is still registered.
func TestNewIncarnationReplacesLink(t *testing.T) {
	a, old := startDaemon(t, "", "key"), startDaemon(t, "", "key")
	a.hub.Dial(old.address)
	require.Equal(t, "up", a.events.next(t).kind)
	events := make(recorder, 64)
	restarted := newHub(t, old.address, 2, events, "key")
	restarted.Dial(a.address)
	require.Equal(t, event{kind: "up", peer: a.address}, events.next(t))
	require.Eventually(t, func() bool {
		_ = a.hub.Send(old.address, []byte("to the new incarnation"))
		return len(events) > 0
	}, eventTimeout, time.Millisecond)
}

// Guards against messages to an unknown peer that are dropped without an error.
func TestSendWithoutLink(t *testing.T) {
	a := startDaemon(t, "", "key")
	require.ErrorIs(t, a.hub.Send("127.0.0.1:1", nil), peers.ErrNoLink)
}

// Guards against LinkDown for a link that the subsystem closed itself, and against a
// link that stays open on the other side.
func TestDisconnectIsReportedToTheOtherSideOnly(t *testing.T) {
	a, b := startDaemon(t, "", "key"), startDaemon(t, "", "key")
	a.hub.Dial(b.address)
	require.Equal(t, "up", a.events.next(t).kind)
	require.Equal(t, "up", b.events.next(t).kind)
	a.hub.Disconnect(b.address)
	require.Equal(t, event{kind: "down", peer: a.address}, b.events.next(t))
	require.Empty(t, a.events)
}
