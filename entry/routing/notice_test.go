package routing

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/replica"
)

// repeatingReplica sheds the first request and runs the others. On each connection it
// sends the first reply once more, late: when the next request arrives.
type repeatingReplica struct {
	net.Listener
	arrived, ran atomic.Int32
}

func (r *repeatingReplica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	first := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = c.Write([]byte(first))
		head := "HTTP/1.1 200 OK\r\nSeal: proof\r\n"
		if r.arrived.Add(1) == 1 {
			head = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n"
		} else {
			r.ran.Add(1)
		}
		reply := fmt.Sprintf("%sId: %s\r\nContent-Length: 0\r\n\r\n", head, request.Header.Get("Id"))
		_, _ = c.Write([]byte(reply))
		if first == "" {
			first = reply
		}
	}
}

// Guards against the second copy of a reply that is taken for the reply to a later
// attempt of the same request at the same replica: the request would run again, or be
// refused as not run.
func TestSecondReplyIsNotTakenForLaterAttempt(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
	l.configure(singleRoute(true))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	r := &repeatingReplica{Listener: listener}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	l.listReplica(replica.Spec{ID: "i-0", Service: "s0", Address: listener.Addr().String(), DataCentre: "x", Slots: 4})
	l.startReplica("s0", "i-1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	answer := l.serve(t.Context(), "r1")
	assert.Equal(t, http.StatusOK, answer.Status())
	assert.EqualValues(t, 1, r.ran.Load(), "runs of the request")
}

// Guards against notices in replies that do not reach the choice of replicas: one that
// leaves, also if it fails or rejects the request, and one that turns the daemon away
// get no further request while there is another one.
func TestNoticesOfReplicaAreApplied(t *testing.T) {
	cases := map[string]replyFunc{
		"leaving": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			replyGood(w, r)
		},
		"leaving and failing": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			replyFailing(w, r)
		},
		"turned away": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Retry-After", "30")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	}
	for name, reply := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLoggedEngine(t, replica.BudgetPolicy{Ratio: 0.2, Slack: 50})
			l.configure(singleRoute(true))
			var asked atomic.Int32
			l.startReplica("s0", "i-0", func(w http.ResponseWriter, r *http.Request) {
				asked.Add(1)
				reply(w, r)
			})
			for i := 0; asked.Load() == 0; i++ {
				l.serve(t.Context(), fmt.Sprint("first-", i))
			}
			l.startReplica("s0", "i-1", replyGood)
			before := asked.Load()
			for i := range 30 {
				assert.Equal(t, http.StatusOK, l.serve(t.Context(), fmt.Sprint("later-", i)).Status())
			}
			assert.Equal(t, before, asked.Load())
		})
	}
}

// Guards against a daemon that asks a replica itself after another daemon, to which it
// had delegated the shard, has learned that the replica leaves.
func TestDelegateReportsLeavingReplicas(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.configure(shardedRoute(1, 0.5))
	spec := l.startReplica("s0", "i-0", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		replyGood(w, r)
	})
	part := l.Gather(t.Context(), GatherRequest{
		Request: Request{ID: "r1", Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{}, Deadline: 1000},
		Route:   "search", Services: []string{"s0"}, Objective: 600, ReportIn: 300, TopK: 2,
	}, func(Part) {})
	require.Len(t, part.Leaving, 1)
	assert.Equal(t, spec.ID, part.Leaving[0].ID())
}

// panickingMeter panics when an attempt of a service ends.
type panickingMeter struct {
	noMeter
	service string
}

func (m panickingMeter) AttemptEnded(service, _ string) {
	if service == m.service {
		panic("unexpected result")
	}
}

// Guards against an unexpected error in one request that ends the process, and with it
// all other requests, or that leaves its caller without an answer.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.deps.Meter = panickingMeter{service: "s0"}
	l.configure(singleRoute(true))
	l.startReplica("s0", "i-0", replyGood)
	answer := l.serve(t.Context(), "r1")
	assert.Equal(t, http.StatusBadGateway, answer.Status(), "it may have run")
	assert.EqualValues(t, 1, l.Metrics()["requests.panics"])
	assert.Zero(t, l.Running())
	line := l.findLine("panic in a request; only this request ends")
	require.NotNil(t, line)
	assert.Equal(t, "r1", line["request"])
	l.deps.Meter = noMeter{}
	assert.Equal(t, http.StatusOK, l.serve(t.Context(), "r2").Status(), "the engine goes on")
}

// Guards against a line of a request whose time limit cannot be seen in it: the limit is
// the smaller one of the caller's deadline and the route's timeout.
func TestLogLineHasTimeoutOfRoute(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.configure(singleRoute(true))
	l.serve(t.Context(), "r1")
	line := l.findLine("request not served")
	require.NotNil(t, line)
	assert.Equal(t, "2400ms", fmt.Sprint(line["timeout"]))
	assert.NotEmpty(t, line["deadline"])
}

// Guards against a shard that is missing from an answer without a trace of why no other
// replica was asked: the line names the shards whose hedge was withheld, and the reason.
func TestLogLineNamesWithheldHedges(t *testing.T) {
	l := newLoggedEngine(t, replica.BudgetPolicy{})
	l.configure(shardedRoute(2, 0.5))
	l.startReplica("s0", "i-0", replyGood)
	l.startReplica("s1", "i-1", replyAfter(3*time.Second))
	l.startReplica("s1", "i-2", replyAfter(3*time.Second))
	l.serve(t.Context(), "r1")
	line := l.findLine("answer partial")
	require.NotNil(t, line)
	withheld := fmt.Sprint(line["withheldHedges"])
	assert.Contains(t, withheld, "s1")
	assert.Contains(t, withheld, "budget")
}
