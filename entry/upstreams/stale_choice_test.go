package upstreams

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// TestStaleChoiceIsNotSent guards against ungated exchanges that reach a process
// which started after the upstream was chosen: on a new connection, on one that
// another exchange or a status call opened, or on the replacement of an abandoned
// one. An upstream in a cold start would be overloaded (invariant I3).
func TestStaleChoiceIsNotSent(t *testing.T) {
	u := startStandin(t)
	id := upstream.ID(u.Address())
	client := New(clock.Clock{})
	client.SetLimit(id, 3)
	send := func(boot string, gated bool) upstream.Outcome {
		e := newStandinExchange(u, longDeadline)
		e.boot, e.gated = boot, gated
		return exchangeOutcome(client, e)
	}
	first := u.Boot()
	require.Equal(t, upstream.OK, send(first, false))
	restart := func(connect func()) {
		known := u.Boot()
		client.CloseIdleConnections(id)
		closed := func() bool { open, _ := client.Connections(id); return open == 0 }
		require.Eventually(t, closed, 5*time.Second, time.Millisecond)
		u.Restart()
		connect()
		ran := u.Counts().Started
		require.Equal(t, upstream.IdleConnectionsClosed, send(known, false))
		require.Equal(t, ran, u.Counts().Started, "no exchange may run on a process that started after the choice")
	}
	restart(func() {})
	restart(func() { require.Equal(t, upstream.OK, send(first, true)) })
	restart(func() {
		_, err := client.Status(t.Context(), id)
		require.NoError(t, err)
	})
	restart(func() {
		p := client.pool(id)
		p.permitsInUse++
		p.openReplacement()
	})
	require.Equal(t, upstream.OK, send(u.Boot(), false))
	client.CloseIdleConnections(id)
	require.Equal(t, upstream.OK, send(u.Boot(), false), "a new connection to the known process")
	require.Equal(t, upstream.OK, send("", false), "no process known when the upstream was chosen")
}

// TestUnknownProcessGetsNoExchange guards against an ungated exchange with an
// upstream whose process is unknown because its status cannot be read.
func TestUnknownProcessGetsNoExchange(t *testing.T) {
	for name, reply := range map[string]string{
		"no status":          "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"not JSON":           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
		"connection closing": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			s := startScripted(t, func(c net.Conn, _ *http.Request, _ int) { fmt.Fprint(c, reply) })
			client := New(clock.Clock{})
			e := newExchange(s.id(), "q1/0", longDeadline)
			e.boot = "b1"
			require.Equal(t, upstream.IdleConnectionsClosed, exchangeOutcome(client, e))
			requests, _ := s.counts()
			require.Equal(t, 1, requests, "only the status call may be sent")
		})
	}
}
