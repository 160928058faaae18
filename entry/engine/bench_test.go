package engine_test

import (
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
	"golang.org/x/sys/unix"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/engine"
	"github.com/lovagegap/lovagegap/entry/upstreams"
)

// shardCount is the number of shards of the largest service the project is designed
// for.
const shardCount = 270

// standin serves one shard on a loopback address in place of an upstream. It parses
// only the request ID and replies with otherwise fixed headers, so that the measured
// processor time is mostly the client's.
type standin struct {
	id    upstream.ID
	shard int
}

func startStandins(b *testing.B) []standin {
	standins := make([]standin, shardCount)
	for i := range standins {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		b.Cleanup(func() { _ = listener.Close() })
		standins[i] = standin{id: upstream.ID(listener.Addr().String()), shard: i}
		go standins[i].accept(listener)
	}
	return standins
}

func (s standin) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve replies to the requests of a connection. It takes each read for one whole
// request, which holds on loopback.
func (s standin) serve(c net.Conn) {
	defer c.Close()
	request := make([]byte, 4096)
	var reply []byte
	for {
		n, err := c.Read(request)
		if err != nil {
			return
		}
		reply = fmt.Appendf(reply[:0], "HTTP/1.1 200 OK\r\nLovagegap-Shard: %d\r\nLovagegap-Snapshot: 1\r\n"+
			"Lovagegap-Boot: b\r\nLovagegap-Request: %s\r\nContent-Length: 10\r\n\r\n{\"hits\":1}",
			s.shard, requestID(request[:n]))
		if _, err := c.Write(reply); err != nil {
			return
		}
	}
}

// requestID returns the value of the Lovagegap-Request header.
func requestID(request []byte) string {
	_, after, _ := strings.Cut(string(request), "Lovagegap-Request: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}

// clientExchanger sends attempts through the upstream client, as the daemon does.
type clientExchanger struct{ client *upstreams.Client }

func (x clientExchanger) Exchange(
	ctx context.Context, action query.Action, request query.Request,
) query.AttemptResult {
	return x.client.Exchange(ctx, upstreams.NewExchange(action, request.ID(), request.Service(), request.Body()))
}

// newBenchService returns a service with one replica for each stand-in and the
// default settings.
func newBenchService(b *testing.B, standins []standin) *engine.Service {
	client := upstreams.New(clock.Clock{})
	b.Cleanup(client.Close)
	service := engine.New("association/wide", engine.Dependencies{Exchanger: clientExchanger{client}}, 1)
	effective, _ := new(settings.Tree).Effective()
	service.Configure(engine.NewConfiguration(effective))
	for _, s := range standins {
		client.SetLimit(s.id, 45)
		service.AddReplica(upstream.NewReplica(s.id, "ikeja"))
		holding := snapshot.NewHolding(1, shardCount, []snapshot.Shard{snapshot.Shard(s.shard)})
		service.ReceiveReport(upstream.NewReport(s.id, "b", 0), []snapshot.Holding{holding})
	}
	return service
}

// BenchmarkFanOut runs 270-shard queries through the engine and the upstream
// client, one after the other.
func BenchmarkFanOut(b *testing.B) {
	service := newBenchService(b, startStandins(b))
	body := []byte(`{"text":"query"}`)
	measure(b, func() {
		deadline := clock.Clock{}.Now() + 5*clock.Second
		request := query.NewRequest("q", "association/wide", body, deadline)
		answer, err := service.Run(context.Background(), request, engine.NewCaller(50, 1))
		if err != nil || answer.Coverage().Covered() != shardCount {
			b.Fatalf("%v: %d shards covered", err, answer.Coverage().Covered())
		}
	})
}

// BenchmarkPlainFanOut is the baseline: a goroutine with a net/http request for
// each shard, no hedges, no retries and no checks of the reply.
func BenchmarkPlainFanOut(b *testing.B) {
	standins := startStandins(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConns: 2 * shardCount, MaxIdleConnsPerHost: 45}}
	b.Cleanup(client.CloseIdleConnections)
	measure(b, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var group sync.WaitGroup
		for _, s := range standins {
			group.Go(func() {
				if err := plainExchange(ctx, client, s); err != nil {
					b.Error(err)
				}
			})
		}
		group.Wait()
	})
}

func plainExchange(ctx context.Context, client *http.Client, s standin) error {
	url := fmt.Sprintf("http://%s/v1/shards/%d/query", s.id, s.shard)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"text":"query"}`))
	if err != nil {
		return err
	}
	request.Header.Set("Lovagegap-Request", "q/0")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// BenchmarkStandins measures the stand-ins alone with a client that writes a
// fixed request and reads the reply, so that their cost can be subtracted.
func BenchmarkStandins(b *testing.B) {
	standins := startStandins(b)
	conns := make([]net.Conn, shardCount)
	for i, s := range standins {
		c, err := net.Dial("tcp", string(s.id))
		require.NoError(b, err)
		b.Cleanup(func() { _ = c.Close() })
		conns[i] = c
	}
	request := []byte("POST / HTTP/1.1\r\nLovagegap-Request: q/0\r\n\r\n")
	reply := make([]byte, 4096)
	measure(b, func() {
		for _, c := range conns {
			_, _ = c.Write(request)
		}
		for _, c := range conns {
			if _, err := c.Read(reply); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// measure reports the processor time of the whole process per sub-request, where
// fanOut sends shardCount sub-requests. On a busy machine it varies less from run to
// run than elapsed time.
func measure(b *testing.B, fanOut func()) {
	for range 10 {
		fanOut() // opens the connections and fills the latency estimates
	}
	b.ReportAllocs()
	b.ResetTimer()
	startedAt := processTime(b)
	for range b.N {
		fanOut()
	}
	took := processTime(b) - startedAt
	b.StopTimer()
	each := float64(took.Nanoseconds()) / float64(b.N) / shardCount
	b.ReportMetric(each, "cpu-ns/sub-request")
	b.ReportMetric(1e9/each, "sub-requests/cpu-s")
}

// processTime returns the user and system time that the process has used.
func processTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
