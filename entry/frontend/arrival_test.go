package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/dispatch"
	"github.com/lovagegap/lovagegap/core/route"
)

// reportingListener reports connections that it has accepted.
type reportingListener struct {
	net.Listener

	accepted chan<- struct{}
}

func (l reportingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
	}
	return c, err
}

// Guards against a caller's time that begins at the wrong instant: the wait before the
// first byte counts on a new connection, and the idle time between requests never.
func TestArrivalCountsFromAcceptOrFirstByte(t *testing.T) {
	const pause = 60 * time.Millisecond
	arrivals := make(chan dispatch.Arrival, 2)
	server := NewServer(nil)
	server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrivals <- arrival(r.Context())
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan struct{}, 1)
	go func() {
		_ = server.Serve(reportingListener{Listen(l, func() (route.Limits, bool) { return route.Limits{}, false }), accepted})
	}()
	defer server.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	<-accepted // Dial returns before that
	reader := bufio.NewReader(c)
	ask := func(between time.Duration) dispatch.Arrival {
		time.Sleep(pause)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
		require.NoError(t, err)
		time.Sleep(between)
		_, err = io.WriteString(c, "Host: h\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return <-arrivals
	}
	first, second, third := ask(0), ask(0), ask(pause)
	assert.True(t, first.NewConnection)
	assert.GreaterOrEqual(t, first.Silent, clock.FromDuration(pause))
	assert.Less(t, first.Waited, clock.FromDuration(pause))
	assert.False(t, second.NewConnection)
	assert.Less(t, second.Waited, clock.FromDuration(pause), "idle time")
	assert.GreaterOrEqual(t, third.Waited, clock.FromDuration(pause), "time between the first byte and the last")
	assert.Zero(t, third.Silent)
	assert.Equal(t, first.RoundTrip, second.RoundTrip)
}
