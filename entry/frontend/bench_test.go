package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/intake"
	"github.com/lovagegap/lovagegap/entry/connlimit"
)

// BenchmarkForwardedRequest measures an ordinary request on a kept connection, from the caller to
// a replica and back, with and without limits on connections.
func BenchmarkForwardedRequest(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("limited=%v", limited), func(b *testing.B) {
			d := newDaemon(b)
			d.limit(0, 0, 0, 0)
			arrived := d.startReplica(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Seal", "proof")
				_, _ = io.WriteString(w, "ok")
			})
			go func() {
				for range arrived {
				}
			}()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			server := NewServer(New(d.engine, HeaderNames{RequestID: "Id", Deadline: "Left", ExpectInstance: "Expect-Id"}, notLeaving{}))
			defer server.Close()
			address, listener := l.Addr().String(), Listen(l, d.engine.Limits)
			if limited {
				limiter := connlimit.New(connlimit.Config{Resources: intake.Resources{Memory: 136e6, Descriptors: 600}, Log: logr.Discard()})
				options := connlimit.Options{Class: intake.Callers, HeadBytes: func() int { return HeadBytes(d.engine.Limits) }}
				limiter.Prepare(server, options)
				listener = limiter.Listen(listener, options)
			}
			go func() { _ = server.Serve(listener) }()
			c, err := net.Dial("tcp", address)
			require.NoError(b, err)
			defer c.Close()
			reader := bufio.NewReader(c)
			i := 0
			for b.Loop() {
				i++
				_, _ = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nId: r%d\r\nLeft: 5000\r\n%sContent-Length: 300\r\n\r\n%s",
					i, strings.Repeat("Some-Header: with a value of some length\r\n", 6), strings.Repeat("x", 300))
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				if response.StatusCode != http.StatusOK {
					b.Fatal(response.Status)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}
